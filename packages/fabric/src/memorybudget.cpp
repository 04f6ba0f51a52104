/*
    Accounting of the memory that connections hold, and eviction.

    [SECTION] Budget
    [SECTION] Holder
*/
#include <foxwing/fabric/memorybudget.h>

namespace foxwing::fabric {

// [SECTION] Budget

// Of holders of the same size, the oldest: a connection that completes its message is short-lived.
MemoryHolder *MemoryBudget::largest() const
{
    MemoryHolder *found = nullptr;
    for (MemoryHolder *holder : m_holders) {
        if (holder->m_held == 0 || !holder->isEvictable())
            continue;
        if (!found || holder->m_held > found->m_held
            || (holder->m_held == found->m_held && holder->m_number < found->m_number))
            found = holder;
    }
    return found;
}

// [SECTION] Holder

MemoryHolder::MemoryHolder(std::shared_ptr<MemoryBudget> budget)
    : m_budget(std::move(budget))
    , m_number(++m_budget->m_lastNumber)
{
    m_budget->m_holders.insert(this);
}

MemoryHolder::~MemoryHolder()
{
    m_budget->m_held -= m_held;
    m_budget->m_holders.erase(this);
}

bool MemoryHolder::setHeld(std::size_t bytes)
{
    const bool grows = bytes > m_held;
    m_budget->m_held = m_budget->m_held - m_held + bytes;
    m_held = bytes;
    // Only growth evicts: a connection that releases memory must not be closed for it.
    while (grows && m_budget->m_held > m_budget->m_limit) {
        MemoryHolder *victim = m_budget->largest();
        if (!victim)
            return false;
        ++m_budget->m_evictions;
        const bool isThis = victim == this;
        victim->evict();
        if (isThis)
            return false;
    }
    return true;
}

} // namespace foxwing::fabric

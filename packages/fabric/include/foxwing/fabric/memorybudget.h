/*
    A limit on the memory that all connections of a process hold together.

    Each connection reports how much it holds: bytes received and not processed yet, and bytes to
    send. When the total exceeds the limit, the connection that holds most is evicted, so that a few
    large or many unfinished messages can't displace small ones.

        auto budget = std::make_shared<MemoryBudget>(32U << 20U);
        class Connection : private MemoryHolder { ... };
        if (!setHeld(bytes))
            return; // this connection was evicted

    [SECTION] Budget
    [SECTION] Holder
*/
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>

namespace foxwing::fabric {

// [SECTION] Budget

class MemoryHolder;

class MemoryBudget
{
public:
    explicit MemoryBudget(std::size_t limitBytes)
        : m_limit(limitBytes)
    { }

    std::size_t limit() const { return m_limit; }
    std::size_t held() const { return m_held; }

    // Number of connections evicted so far
    std::uint64_t evictions() const { return m_evictions; }

private:
    friend class MemoryHolder;
    MemoryHolder *largest() const;

    std::size_t m_limit;
    std::size_t m_held = 0;
    std::uint64_t m_evictions = 0;
    std::uint64_t m_lastNumber = 0;
    std::set<MemoryHolder *> m_holders;
};

// [SECTION] Holder

class MemoryHolder
{
public:
    explicit MemoryHolder(std::shared_ptr<MemoryBudget> budget);
    virtual ~MemoryHolder();

    MemoryHolder(const MemoryHolder &) = delete;
    MemoryHolder &operator=(const MemoryHolder &) = delete;

protected:
    // Sets the bytes that this connection holds. May evict others, or this one: then it returns
    // false. It also returns false if nothing can be evicted; the caller must then release memory.
    bool setHeld(std::size_t bytes);

private:
    friend class MemoryBudget;

    // Whether evict() may be called, and releases most of the memory at once.
    virtual bool isEvictable() const = 0;
    virtual void evict() = 0;

    std::shared_ptr<MemoryBudget> m_budget;
    std::size_t m_held = 0;

    // Order of creation
    std::uint64_t m_number = 0;
};

} // namespace foxwing::fabric

/*
    Links, listeners and dialers over Boost.Asio.

    [SECTION] Link
    [SECTION] Listener
    [SECTION] Dialer
*/
#include <foxwing/fabric/link.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <limits>

#include <foxwing/base/clock.h>

namespace foxwing::fabric {

// [SECTION] Link

namespace {

constexpr std::size_t HeaderBytes = 4;
constexpr std::size_t ReadBytes = 16384;

// Buffers above this size are freed when they become empty.
constexpr std::size_t KeptBytes = 65536;

std::string makeHeader(std::size_t size)
{
    std::string header(HeaderBytes, '\0');
    for (std::size_t i = 0; i < HeaderBytes; ++i)
        header[i] = static_cast<char>((size >> (8 * i)) & 0xffU);
    return header;
}

std::size_t parseHeader(std::string_view bytes)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < HeaderBytes; ++i)
        size |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return size;
}

void freeIfLarge(std::string &buffer)
{
    if (buffer.capacity() > KeptBytes)
        std::string().swap(buffer);
}

std::shared_ptr<MemoryBudget> budgetOf(const LinkLimits &limits)
{
    return limits.memory ? limits.memory
                         : std::make_shared<MemoryBudget>(std::numeric_limits<std::size_t>::max());
}

} // namespace

Link::Link(Socket socket, const LinkLimits &limits)
    : MemoryHolder(budgetOf(limits))
    , m_socket(std::move(socket))
    , m_limits(limits)
{
    boost::system::error_code ignored;
    m_remote = toString(m_socket.remote_endpoint(ignored));
    setSocketOptions(m_socket, limits.ackTimeout);
}

void Link::start(FrameHandler onFrame, ClosedHandler onClosed)
{
    m_onFrame = std::move(onFrame);
    m_onClosed = std::move(onClosed);
    read();
}

void Link::send(const std::string &frame)
{
    if (m_closed)
        return;
    m_queued += makeHeader(frame.size());
    m_queued += frame;
    if (m_queued.size() > m_limits.maxQueuedBytes)
        return fail();
    if (!reportHeld())
        return;
    if (m_flushPosted || !m_writing.empty())
        return;
    m_flushPosted = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_flushPosted = false;
        self->flush();
    });
}

void Link::flush()
{
    if (m_closed || m_queued.empty() || !m_writing.empty())
        return;
    m_writing.swap(m_queued);
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                          self->m_writing.clear();
                          freeIfLarge(self->m_writing);
                          if (error)
                              self->fail();
                          else
                              self->flush();
                      });
}

// Returns false if the link was closed because its process holds too much for all links together.
bool Link::reportHeld()
{
    return setHeld(m_received.capacity() + m_queued.capacity() + m_writing.capacity());
}

void Link::read()
{
    if (m_receivedSize == 0)
        freeIfLarge(m_received);
    if (m_received.size() < m_receivedSize + ReadBytes)
        m_received.resize(m_receivedSize + ReadBytes);
    if (!reportHeld())
        return;
    m_socket.async_read_some(asio::buffer(&m_received[m_receivedSize],
                                          m_received.size() - m_receivedSize),
                             [self = shared_from_this()](boost::system::error_code error,
                                                         std::size_t count) {
                                 if (error)
                                     return self->fail();
                                 self->m_receivedSize += count;
                                 self->handleFrames();
                                 if (!self->m_closed)
                                     self->read();
                             });
}

void Link::handleFrames()
{
    std::size_t consumed = 0;
    while (!m_closed && m_receivedSize - consumed >= HeaderBytes) {
        const std::string_view rest(m_received.data() + consumed, m_receivedSize - consumed);
        const std::size_t size = parseHeader(rest);
        if (size > (m_introduced ? m_limits.maxFrameBytes : m_limits.maxIntroductionBytes))
            return fail();
        if (rest.size() < HeaderBytes + size)
            break;
        m_onFrame(rest.substr(HeaderBytes, size));
        consumed += HeaderBytes + size;
    }
    std::copy(m_received.begin() + static_cast<std::ptrdiff_t>(consumed),
              m_received.begin() + static_cast<std::ptrdiff_t>(m_receivedSize), m_received.begin());
    m_receivedSize -= consumed;
}

void Link::close()
{
    fail();
}

void Link::fail()
{
    if (m_closed)
        return;
    m_closed = true;
    boost::system::error_code ignored;
    // Resets the connection: data in flight must not arrive after this side treats it as closed.
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    setHeld(0);
    // The buffers may be in use by the caller.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        std::string().swap(self->m_received);
        std::string().swap(self->m_queued);
        std::string().swap(self->m_writing);
        const ClosedHandler closed = std::move(self->m_onClosed);
        self->m_onClosed = nullptr;
        self->m_onFrame = nullptr;
        if (closed)
            closed();
    });
}

// [SECTION] Listener

namespace {

// Delay after a failed accept, so that a lack of file descriptors doesn't cause a busy loop.
constexpr Milliseconds AcceptRetryDelay { 100 };

} // namespace

Listener::Listener(asio::io_context &io, asio::ip::tcp::acceptor acceptor, LinkLimits limits,
                   Accepted onAccepted)
    : m_acceptor(std::move(acceptor))
    , m_retryTimer(io)
    , m_introductionTimer(io)
    , m_limits(std::move(limits))
    , m_onAccepted(std::move(onAccepted))
{
    accept();
}

void Listener::stop()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void Listener::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, Socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!error) {
            add(std::move(socket));
            return accept();
        }
        m_retryTimer.expires_after(AcceptRetryDelay);
        m_retryTimer.async_wait([this](boost::system::error_code waitError) {
            if (!waitError)
                accept();
        });
    });
}

void Listener::add(Socket socket)
{
    if (m_links.size() >= m_limits.maxConnections && !makeRoom()) {
        ++m_refused;
        return;
    }
    auto link = std::make_shared<Link>(std::move(socket), m_limits);
    m_links.push_back({ link, steadyNow() });
    if (m_limits.introductionTimeout.count() > 0) {
        link->m_introduced = false;
        m_strangers.push_back(m_links.back());
        watchIntroductions();
    }
    m_onAccepted(link);
}

// Removes links that are closed, or closes the oldest one that has not introduced itself.
bool Listener::makeRoom()
{
    const auto isClosed = [](const AcceptedLink &accepted) {
        const auto link = accepted.link.lock();
        return !link || !link->open();
    };
    m_links.erase(std::remove_if(m_links.begin(), m_links.end(), isClosed), m_links.end());
    if (m_links.size() < m_limits.maxConnections)
        return true;
    const auto stranger = std::find_if(m_links.begin(), m_links.end(),
                                       [](const AcceptedLink &accepted) {
                                           return !accepted.link.lock()->introduced();
                                       });
    if (stranger == m_links.end())
        return false;
    ++m_displaced;
    stranger->link.lock()->close();
    m_links.erase(stranger);
    return true;
}

void Listener::closeLate()
{
    const Time now = steadyNow();
    while (!m_strangers.empty()
           && now >= m_strangers.front().acceptedAt + m_limits.introductionTimeout) {
        const auto link = m_strangers.front().link.lock();
        m_strangers.pop_front();
        if (!link || !link->open() || link->introduced())
            continue;
        ++m_displaced;
        link->close();
    }
}

void Listener::watchIntroductions()
{
    if (m_watching || m_strangers.empty())
        return;
    m_watching = true;
    m_introductionTimer.expires_after(m_strangers.front().acceptedAt + m_limits.introductionTimeout
                                      - steadyNow());
    m_introductionTimer.async_wait([this](boost::system::error_code waitError) {
        if (waitError)
            return;
        m_watching = false;
        closeLate();
        watchIntroductions();
    });
}

// [SECTION] Dialer

struct Dialer::State : std::enable_shared_from_this<Dialer::State>
{
    State(asio::io_context &io, std::string targetAddress, const DialerSettings &initialSettings,
          Connected handler)
        : socket(io)
        , timer(io)
        , address(std::move(targetAddress))
        , settings(initialSettings)
        , backoff(initialSettings.minBackoff)
        , onConnected(std::move(handler))
    { }

    void dial()
    {
        Error reason;
        const auto endpoint = parseEndpoint(address, &reason);
        if (stopped || !endpoint)
            return;
        socket = Socket(timer.get_executor());
        const std::uint64_t attempt = ++attempts;
        socket.async_connect(*endpoint,
                             [self = shared_from_this(), attempt](boost::system::error_code error) {
                                 self->finishAttempt(attempt, !error);
                             });
        timer.expires_after(settings.connectTimeout);
        timer.async_wait([self = shared_from_this(), attempt](boost::system::error_code waitError) {
            if (!waitError)
                self->finishAttempt(attempt, false);
        });
    }

    // Only the first result of an attempt counts: connected, refused or timed out.
    void finishAttempt(std::uint64_t attempt, bool connected)
    {
        if (stopped || attempt != attempts)
            return;
        ++attempts;
        timer.cancel();
        if (!connected)
            return retryAfterBackoff();
        isConnected = true;
        backoff = settings.minBackoff;
        onConnected(std::make_shared<Link>(std::move(socket), settings.limits));
    }

    void dialNow()
    {
        if (stopped || isConnected)
            return;
        timer.cancel();
        boost::system::error_code ignored;
        socket.close(ignored);
        backoff = settings.minBackoff;
        dial();
    }

    void retryAfterBackoff()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
        timer.expires_after(backoff);
        backoff = std::min(backoff * 2, settings.maxBackoff);
        timer.async_wait([self = shared_from_this()](boost::system::error_code waitError) {
            if (!waitError)
                self->dial();
        });
    }

    Socket socket;
    asio::steady_timer timer;
    std::string address;
    DialerSettings settings;
    Milliseconds backoff;
    Connected onConnected;
    std::uint64_t attempts = 0;
    bool isConnected = false;
    bool stopped = false;
};

Dialer::Dialer(asio::io_context &io, const std::string &address, const DialerSettings &settings,
               Connected onConnected)
    : m_state(std::make_shared<State>(io, address, settings, std::move(onConnected)))
{
    m_state->dial();
}

Dialer::~Dialer()
{
    m_state->stopped = true;
    m_state->timer.cancel();
    boost::system::error_code ignored;
    m_state->socket.close(ignored);
}

const std::string &Dialer::address() const
{
    return m_state->address;
}

void Dialer::redial()
{
    m_state->isConnected = false;
    if (!m_state->stopped)
        m_state->retryAfterBackoff();
}

void Dialer::dialNow()
{
    m_state->dialNow();
}

} // namespace foxwing::fabric

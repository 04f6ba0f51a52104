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

namespace foxwing::fabric {

// [SECTION] Link

namespace {

constexpr std::size_t HeaderBytes = 4;
constexpr std::size_t ReadBytes = 16384;

std::string makeHeader(std::size_t size)
{
    std::string header(HeaderBytes, '\0');
    for (std::size_t i = 0; i < HeaderBytes; ++i)
        header[i] = static_cast<char>((size >> (8 * i)) & 0xffU);
    return header;
}

std::size_t readHeader(std::string_view bytes)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < HeaderBytes; ++i)
        size |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return size;
}

} // namespace

Link::Link(Socket socket, const LinkLimits &limits)
    : m_socket(std::move(socket))
    , m_limits(limits)
{
    boost::system::error_code ignored;
    m_remote = toString(m_socket.remote_endpoint(ignored));
    tune(m_socket, limits.silence);
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
    if (m_queued.size() > m_limits.mostQueuedBytes)
        return fail();
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
                      [self = shared_from_this()](boost::system::error_code wrong, std::size_t) {
                          self->m_writing.clear();
                          if (wrong)
                              self->fail();
                          else
                              self->flush();
                      });
}

void Link::read()
{
    if (m_received.size() < m_filled + ReadBytes)
        m_received.resize(m_filled + ReadBytes);
    m_socket.async_read_some(asio::buffer(&m_received[m_filled], m_received.size() - m_filled),
                             [self = shared_from_this()](boost::system::error_code wrong,
                                                         std::size_t count) {
                                 if (wrong)
                                     return self->fail();
                                 self->m_filled += count;
                                 self->takeFrames();
                                 if (!self->m_closed)
                                     self->read();
                             });
}

void Link::takeFrames()
{
    std::size_t taken = 0;
    while (!m_closed && m_filled - taken >= HeaderBytes) {
        const std::string_view rest(m_received.data() + taken, m_filled - taken);
        const std::size_t size = readHeader(rest);
        if (size > m_limits.mostFrameBytes)
            return fail();
        if (rest.size() < HeaderBytes + size)
            break;
        m_onFrame(rest.substr(HeaderBytes, size));
        taken += HeaderBytes + size;
    }
    std::copy(m_received.begin() + static_cast<std::ptrdiff_t>(taken),
              m_received.begin() + static_cast<std::ptrdiff_t>(m_filled), m_received.begin());
    m_filled -= taken;
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
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
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
constexpr Milliseconds AcceptPause { 100 };

} // namespace

Listener::Listener(asio::io_context &io, asio::ip::tcp::acceptor acceptor, LinkLimits limits,
                   Accepted onAccepted)
    : m_acceptor(std::move(acceptor))
    , m_pause(io)
    , m_limits(limits)
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
    m_acceptor.async_accept([this](boost::system::error_code wrong, Socket socket) {
        if (wrong == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!wrong) {
            m_onAccepted(std::make_shared<Link>(std::move(socket), m_limits));
            return accept();
        }
        m_pause.expires_after(AcceptPause);
        m_pause.async_wait([this](boost::system::error_code ended) {
            if (!ended)
                accept();
        });
    });
}

// [SECTION] Dialer

struct Dialer::State : std::enable_shared_from_this<Dialer::State>
{
    State(asio::io_context &io, std::string to, DialerSettings with, Connected handler)
        : socket(io)
        , timer(io)
        , address(std::move(to))
        , settings(with)
        , pause(with.minBackoff)
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
                             [self = shared_from_this(), attempt](boost::system::error_code wrong) {
                                 self->finish(attempt, !wrong);
                             });
        timer.expires_after(settings.connectTimeout);
        timer.async_wait([self = shared_from_this(), attempt](boost::system::error_code ended) {
            if (!ended)
                self->finish(attempt, false);
        });
    }

    // Only the first result of an attempt counts: connected, refused or timed out.
    void finish(std::uint64_t attempt, bool connected)
    {
        if (stopped || attempt != attempts)
            return;
        ++attempts;
        timer.cancel();
        if (!connected)
            return wait();
        linked = true;
        pause = settings.minBackoff;
        onConnected(std::make_shared<Link>(std::move(socket), settings.limits));
    }

    void dialNow()
    {
        if (stopped || linked)
            return;
        timer.cancel();
        boost::system::error_code ignored;
        socket.close(ignored);
        pause = settings.minBackoff;
        dial();
    }

    void wait()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
        timer.expires_after(pause);
        pause = std::min(pause * 2, settings.maxBackoff);
        timer.async_wait([self = shared_from_this()](boost::system::error_code ended) {
            if (!ended)
                self->dial();
        });
    }

    Socket socket;
    asio::steady_timer timer;
    std::string address;
    DialerSettings settings;
    Milliseconds pause;
    Connected onConnected;
    std::uint64_t attempts = 0;
    bool linked = false;
    bool stopped = false;
};

Dialer::Dialer(asio::io_context &io, const std::string &address, DialerSettings settings,
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
    m_state->linked = false;
    if (!m_state->stopped)
        m_state->wait();
}

void Dialer::dialNow()
{
    m_state->dialNow();
}

} // namespace foxwing::fabric

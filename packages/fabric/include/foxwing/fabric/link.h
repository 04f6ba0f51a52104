/*
    Persistent connections between two processes that carry frames in both directions.

    A frame is a length of four bytes (little-endian) and as many bytes of payload. Frames sent
    during one turn of the event loop go out in one write. All calls and handlers run on the thread
    that runs the io_context.

        auto link = std::make_shared<Link>(std::move(socket), LinkLimits());
        link->start([](std::string_view frame) { ... }, [] { ... closed ... });
        link->send(encodeFrame(message));

    [SECTION] Limits
    [SECTION] Link
    [SECTION] Listener
    [SECTION] Dialer
*/
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <foxwing/fabric/address.h>

namespace foxwing::fabric {

// [SECTION] Limits

struct LinkLimits
{
    // A larger frame closes the connection: only a faulty peer sends one. The largest valid frame
    // is a configuration of 256 KiB, or a snapshot that contains one.
    std::size_t maxFrameBytes = 8U << 20U;

    // The connection is closed when more than this is queued for a peer that does not read.
    std::size_t maxQueuedBytes = 16U << 20U;

    // The connection is closed when sent data is not acknowledged for this long. Three times the
    // longest heartbeat interval, so that a single lost packet does not close it.
    Milliseconds ackTimeout { 3000 };
};

// [SECTION] Link

class Link : public std::enable_shared_from_this<Link>
{
public:
    using FrameHandler = std::function<void(std::string_view)>;
    using ClosedHandler = std::function<void()>;

    Link(Socket socket, const LinkLimits &limits);

    void start(FrameHandler onFrame, ClosedHandler onClosed);
    void send(const std::string &frame);

    // Closes the connection; the closed handler is called later from the event loop, once.
    void close();

    bool open() const { return !m_closed; }
    const std::string &remote() const { return m_remote; }

private:
    void read();
    void handleFrames();
    void flush();
    void fail();

    Socket m_socket;
    LinkLimits m_limits;
    std::string m_remote;
    FrameHandler m_onFrame;
    ClosedHandler m_onClosed;
    std::string m_received;
    std::size_t m_receivedSize = 0;
    std::string m_queued;
    std::string m_writing;
    bool m_flushPosted = false;
    bool m_closed = false;
};

// [SECTION] Listener

// Accepts connections and passes each to a handler as a link that is not started yet.
class Listener
{
public:
    using Accepted = std::function<void(std::shared_ptr<Link>)>;

    Listener(asio::io_context &io, asio::ip::tcp::acceptor acceptor, LinkLimits limits,
             Accepted onAccepted);
    void stop();

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    LinkLimits m_limits;
    Accepted m_onAccepted;
};

// [SECTION] Dialer

struct DialerSettings
{
    // Timeout of one attempt: four times the longest round trip between regions (24 ms). Hosts that
    // start together dial hosts that are still powered off and don't respond; the kernel would
    // retransmit only after a second.
    Milliseconds connectTimeout { 100 };

    // Delay between attempts, doubled up to the maximum. Kept short: hosts that start together must
    // connect within the time that an election takes, and an attempt at a host that is down costs
    // almost nothing.
    Milliseconds minBackoff { 20 };
    Milliseconds maxBackoff { 100 };
    LinkLimits limits;
};

// Keeps one connection to an address, and dials again whenever it is lost, until destroyed.
class Dialer
{
public:
    using Connected = std::function<void(std::shared_ptr<Link>)>;

    Dialer(asio::io_context &io, const std::string &address, DialerSettings settings,
           Connected onConnected);
    ~Dialer();

    Dialer(const Dialer &) = delete;
    Dialer &operator=(const Dialer &) = delete;

    const std::string &address() const;

    // Call when the connection passed to onConnected is lost; dials again after the backoff.
    void redial();

    // Call when the peer is known to be reachable: dials at once instead of waiting for the backoff
    // or for an earlier attempt. Does nothing while connected.
    void dialNow();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxwing::fabric

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
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <foxwing/fabric/address.h>
#include <foxwing/fabric/memorybudget.h>

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

    // An accepted connection must introduce itself within this time, and until then its frames may
    // have this size: that of the name, address and labels of a process. Zero: it need not.
    Milliseconds introductionTimeout { 0 };
    std::size_t maxIntroductionBytes = 4096;

    // Limit on accepted connections. When one more is accepted, the oldest one that has not
    // introduced itself is closed. If all have, the new one is.
    std::size_t maxConnections = 3000;

    // Shared by the connections of a process; without one, only the limits above apply.
    std::shared_ptr<MemoryBudget> memory;
};

// [SECTION] Link

class Link : public std::enable_shared_from_this<Link>, private MemoryHolder
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

    // Whether the peer has said who it is. Accepted links that must introduce themselves have not
    // until setIntroduced() is called.
    bool introduced() const { return m_introduced; }
    void setIntroduced() { m_introduced = true; }
    const std::string &remote() const { return m_remote; }

private:
    friend class Listener;
    void read();
    void handleFrames();
    void flush();
    void fail();
    bool reportHeld();
    bool isEvictable() const override { return !m_closed; }
    void evict() override { fail(); }

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
    bool m_introduced = true;
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

    // Links closed because they did not introduce themselves in time, or to make room for new ones
    std::uint64_t displaced() const { return m_displaced; }

    // Connections refused because all others had introduced themselves
    std::uint64_t refused() const { return m_refused; }

private:
    struct AcceptedLink
    {
        std::weak_ptr<Link> link;
        Time acceptedAt {};
    };

    void accept();
    void add(Socket socket);
    bool makeRoom();
    void closeLate();
    void watchIntroductions();

    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    asio::steady_timer m_introductionTimer;
    LinkLimits m_limits;
    Accepted m_onAccepted;

    // Oldest first; links that were closed are removed when the limit is reached.
    std::vector<AcceptedLink> m_links;

    // Links that may not have introduced themselves, oldest first
    std::deque<AcceptedLink> m_strangers;
    bool m_watching = false;
    std::uint64_t m_displaced = 0;
    std::uint64_t m_refused = 0;
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

    Dialer(asio::io_context &io, const std::string &address, const DialerSettings &settings,
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

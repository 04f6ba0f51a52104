/*
    A kept connection between two processes that carries frames both ways.

    A frame is a length of four bytes and that many bytes. Frames that are sent during one turn of
    the loop leave in one write. All calls and handlers are on the thread that runs the io_context.

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
    // Larger frames end the connection: only a broken peer sends them. The largest of ours is a
    // configuration of 256 KiB, or a snapshot that holds one.
    std::size_t mostFrameBytes = 8U << 20U;

    // A peer that does not read is cut once so much waits for it.
    std::size_t mostQueuedBytes = 16U << 20U;

    // A write that is not acknowledged for this long ends the connection. Three times the longest
    // beat, so that a single lost packet does not.
    Milliseconds silence { 3000 };
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

    // Ends the connection; the closed handler is called from the loop, once.
    void close();

    bool open() const { return !m_closed; }
    const std::string &remote() const { return m_remote; }

private:
    void read();
    void takeFrames();
    void flush();
    void fail();

    Socket m_socket;
    LinkLimits m_limits;
    std::string m_remote;
    FrameHandler m_onFrame;
    ClosedHandler m_onClosed;
    std::string m_received;
    std::size_t m_filled = 0;
    std::string m_queued;
    std::string m_writing;
    bool m_flushPosted = false;
    bool m_closed = false;
};

// [SECTION] Listener

// Accepts connections and hands each over as a link that is not started yet.
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
    asio::steady_timer m_pause;
    LinkLimits m_limits;
    Accepted m_onAccepted;
};

// [SECTION] Dialer

struct DialerSettings
{
    // A connection that is not there after this long is given up: four times the longest round trip
    // between regions (24 ms). Hosts that start together dial hosts that are still without power,
    // which say nothing; the kernel itself would ask again only after a second.
    Milliseconds connectTimeout { 100 };

    // Between tries; doubles up to the longest. Hosts that start together must find each other
    // within the time that an election takes, and a try at a host that is down costs next to
    // nothing.
    Milliseconds minBackoff { 20 };
    Milliseconds maxBackoff { 100 };
    LinkLimits limits;
};

// Keeps one connection to an address: dials again whenever it is lost, until destroyed.
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

    // The connection that onConnected handed over is gone: dials anew.
    void lost();

    // The other side is known to be there: dials at once in place of waiting out a pause or a try
    // that began before. Changes nothing while a connection is there.
    void dialNow();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxwing::fabric

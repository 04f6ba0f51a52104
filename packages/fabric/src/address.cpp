/*
    Addresses, socket options and listening sockets.

    [SECTION] Functions
*/
#include <foxwing/fabric/address.h>

#include <limits>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace foxwing::fabric {

// [SECTION] Functions

namespace {

// Large enough for a burst of reconnecting peers.
constexpr int AcceptBacklog = 512;

void setOption(Socket &socket, int level, int option, int value)
{
    // Without the option the connection is only slower, or its loss is noticed later.
    (void)::setsockopt(socket.native_handle(), level, option, &value, sizeof value);
}

} // namespace

std::optional<Endpoint> parseEndpoint(const std::string &text, Error *reason)
{
    const std::size_t colon = text.rfind(':');
    boost::system::error_code error;
    const auto address = asio::ip::make_address_v4(text.substr(0, colon), error);
    const std::string port = colon == std::string::npos ? "" : text.substr(colon + 1);
    const bool digits = !port.empty() && port.size() < 6
            && port.find_first_not_of("0123456789") == std::string::npos;
    const unsigned long number = digits ? std::stoul(port) : 0;
    if (error || number == 0 || number > 65535)
        return fail(reason, ErrorKind::BadRequest,
                    "\"" + text + "\" is not an IPv4 address and port; write it as 10.0.0.1:7100");
    return Endpoint(address, static_cast<unsigned short>(number));
}

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

void setSocketOptions(Socket &socket, Milliseconds ackTimeout)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ackTimeout.count()));
}

std::size_t allowedDescriptors()
{
    rlimit allowed {};
    const bool known = ::getrlimit(RLIMIT_NOFILE, &allowed) == 0;
    return known ? allowed.rlim_cur : std::numeric_limits<std::size_t>::max();
}

std::optional<asio::ip::tcp::acceptor> listenAt(asio::io_context &io, const std::string &address,
                                                Error *reason, int receiveBytes)
{
    const auto endpoint = parseEndpoint(address, reason);
    if (!endpoint)
        return std::nullopt;
    asio::ip::tcp::acceptor acceptor(io);
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    // Before listening, so that accepted connections inherit it. Without it the kernel keeps more.
    boost::system::error_code ignored;
    if (!error && receiveBytes > 0)
        acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBytes), ignored);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(AcceptBacklog, error);
    if (error)
        return fail(reason, ErrorKind::Unavailable,
                    "can't listen on " + address + ": " + error.message()
                            + "; check that the address belongs to this host and the port is free");
    return acceptor;
}

} // namespace foxwing::fabric

/*
    Parses and formats IPv4 endpoints, sets socket options and opens listening sockets.

        Error reason;
        std::optional<Endpoint> endpoint = parseEndpoint("10.0.0.4:7100", &reason);

    [SECTION] Types
    [SECTION] Functions
*/
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

#include <foxwing/base/error.h>
#include <foxwing/base/time.h>

namespace foxwing::fabric {

// [SECTION] Types

namespace asio = boost::asio;
using Socket = asio::ip::tcp::socket;
using Endpoint = asio::ip::tcp::endpoint;

// [SECTION] Functions

// Parses an address such as "10.0.0.4:7100". Host names are not resolved.
std::optional<Endpoint> parseEndpoint(const std::string &text, Error *reason);

std::string toString(const Endpoint &endpoint);

// The part of an address before the colon, or all of it if there is no colon.
std::string hostOf(const std::string &address);

// Disables Nagle's algorithm, and ends the connection when sent data is not acknowledged within the
// timeout: otherwise a peer behind a network partition would keep it open for minutes.
void setSocketOptions(Socket &socket, Milliseconds ackTimeout);

// Number of descriptors that the system lets this process open.
std::size_t allowedDescriptors();

// Opens a listening socket; on failure, returns nothing and stores the reason. The kernel keeps at
// most receiveBytes of what a connection has not read yet; zero: the system's default.
std::optional<asio::ip::tcp::acceptor> listenAt(asio::io_context &io, const std::string &address,
                                                Error *reason, int receiveBytes = 0);

} // namespace foxwing::fabric

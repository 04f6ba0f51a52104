/*
    IPv4 addresses as text, and sockets set up the way this project wants them.

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

// "10.0.0.4:7100". Names are not looked up.
std::optional<Endpoint> parseEndpoint(const std::string &text, Error *reason);

std::string toString(const Endpoint &endpoint);

// The part before the colon, or all of it.
std::string hostOf(const std::string &address);

// No delay for small writes, and an end for connections whose other side is silent: without one, a
// peer behind a cut would hold its connection open for minutes.
void tune(Socket &socket, Milliseconds silence);

// An acceptor that listens, or nothing with the reason.
std::optional<asio::ip::tcp::acceptor> listenAt(asio::io_context &io, const std::string &address,
                                                Error *reason);

} // namespace foxwing::fabric

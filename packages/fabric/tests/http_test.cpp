/*
    Tests of the HTTP server and client: limits, slow senders, disconnected callers, timeouts.

    [SECTION] Helpers
    [SECTION] Server
    [SECTION] Client
*/
#include <gtest/gtest.h>
#include <thread>

#include <boost/asio/write.hpp>

#include <foxwing/fabric/httpclient.h>

namespace foxwing::fabric {
namespace {

// [SECTION] Helpers

constexpr Milliseconds Patience { 5000 };

struct Site
{
    explicit Site(HttpLimits limits = {})
        : server(io, listen(), limits, [this](const ExchangePtr &exchange) {
            exchanges.push_back(exchange);
            if (answers)
                exchange->answer(makeResponse(200, "text/plain", exchange->request().body()));
        })
    { }

    asio::ip::tcp::acceptor listen()
    {
        asio::ip::tcp::acceptor acceptor(io, Endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
        address = toString(acceptor.local_endpoint());
        return acceptor;
    }

    template<class Condition>
    bool until(Condition condition, Milliseconds patience = Patience)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!condition() && std::chrono::steady_clock::now() < end)
            io.run_one_for(Milliseconds(5));
        return condition();
    }

    // Sends the bytes and returns what the server sends back, until it closes the connection or an
    // answer's header is complete.
    std::string exchangeText(const std::string &sent, Milliseconds patience = Patience)
    {
        Socket socket(io);
        socket.connect(*parseEndpoint(address, nullptr));
        asio::write(socket, asio::buffer(sent));
        std::string got;
        std::array<char, 4096> part {};
        bool ended = false;
        std::function<void()> readMore = [&] {
            socket.async_read_some(asio::buffer(part),
                                   [&](boost::system::error_code wrong, std::size_t count) {
                                       got.append(part.data(), count);
                                       ended = bool(wrong);
                                       if (!wrong)
                                           readMore();
                                   });
        };
        readMore();
        until([&] { return ended || got.find("\r\n\r\n") != std::string::npos; }, patience);
        closed = ended;
        boost::system::error_code ignored;
        socket.close(ignored);
        until([&] { return ended; }, Milliseconds(100));
        return got;
    }

    asio::io_context io { 1 };
    std::string address;
    bool answers = true;
    bool closed = false;
    std::vector<ExchangePtr> exchanges;
    HttpServer server;
};

// [SECTION] Server

struct InputCase
{
    const char *name;
    std::string sent;

    // Expected beginning of the answer; empty if the connection closes without one
    const char *answer;
};

class Input : public testing::TestWithParam<InputCase>
{ };

TEST_P(Input, HasADefinedAnswer)
{
    HttpLimits limits;
    limits.headerBytes = 1000;
    limits.bodyBytes = 1000;
    limits.headerTimeout = Milliseconds(150);
    limits.idleTimeout = Milliseconds(150);
    Site site(limits);
    const std::string got = site.exchangeText(GetParam().sent);
    EXPECT_EQ(got.substr(0, std::string(GetParam().answer).size()), GetParam().answer);
    if (*GetParam().answer == '\0') {
        EXPECT_TRUE(site.closed);
    }
    EXPECT_EQ(site.server.pendingRequests(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
        Fabric, Input,
        testing::Values(
                InputCase { "Whole", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi",
                            "HTTP/1.1 200" },
                InputCase { "NoHttp", "\x01\x02\x03\r\n\r\n", "HTTP/1.1 400" },
                InputCase { "LongHeader",
                            "GET / HTTP/1.1\r\nA: " + std::string(2000, 'a') + "\r\n\r\n",
                            "HTTP/1.1 431" },
                InputCase { "LongBody", "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
                            "HTTP/1.1 413" },
                InputCase { "SlowHeader", "GET / HTTP/1.1\r\nHost:", "" },
                InputCase { "SlowBody", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhal", "" },
                InputCase { "Nothing", "", "" },
                InputCase { "LengthOfText", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                            "HTTP/1.1 400" }),
        [](const auto &tested) { return tested.param.name; });

TEST(FabricHttpServer, TellsThatACallerHasGone)
{
    Site site;
    site.answers = false;
    Socket socket(site.io);
    socket.connect(*parseEndpoint(site.address, nullptr));
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    ASSERT_TRUE(site.until([&] { return site.exchanges.size() == 1; }));
    bool gone = false;
    site.exchanges[0]->onDisconnect([&] { gone = true; });
    EXPECT_EQ(site.server.pendingRequests(), 1U);
    socket.close();
    EXPECT_TRUE(site.until([&] { return gone; }));
    EXPECT_EQ(site.server.pendingRequests(), 0U);
    // An answer after the caller disconnected must be ignored.
    site.exchanges[0]->answer(makeResponse(200, "text/plain", ""));
}

// A caller may disconnect before its request is read; no event reports that.
TEST(FabricHttpServer, KnowsThatACallerHasGoneWithItsRequest)
{
    Site site;
    site.answers = false;
    Socket leaver(site.io);
    leaver.connect(*parseEndpoint(site.address, nullptr));
    Socket stayer(site.io);
    stayer.connect(*parseEndpoint(site.address, nullptr));
    const std::string request = "POST /order HTTP/1.1\r\nHost: a\r\n\r\n";
    asio::write(leaver, asio::buffer(request));
    leaver.close();
    asio::write(stayer, asio::buffer(request));
    std::vector<bool> there;
    site.until([&] {
        while (there.size() < site.exchanges.size())
            there.push_back(site.exchanges[there.size()]->isCallerConnected());
        return there.size() == 2;
    });
    EXPECT_EQ(there, std::vector<bool>({ false, true }));
}

TEST(FabricHttpServer, AnswersWhatIsUnderWayWhenItStopsAccepting)
{
    Site site;
    site.answers = false;
    HttpClient client(site.io, site.address, {});
    std::optional<CallResult> result;
    client.call(Request(http::verb::get, "/", 11), Patience,
                [&](CallResult got) { result = std::move(got); });
    ASSERT_TRUE(site.until([&] { return site.exchanges.size() == 1; }));
    site.server.setCloseAfterAnswers(true);
    site.server.stopAccepting();
    site.exchanges[0]->answer(makeResponse(200, "text/plain", "late"));
    ASSERT_TRUE(site.until([&] { return result.has_value(); }));
    ASSERT_TRUE(result->response);
    EXPECT_EQ(result->response->body(), "late");
    EXPECT_FALSE(result->response->keep_alive());
    EXPECT_TRUE(site.until([&] { return site.server.connections() == 0; }));
}

struct UnreadCase
{
    const char *name;

    // How long the server doesn't read after the request is sent
    Milliseconds stoodStill;
};

class Unread : public testing::TestWithParam<UnreadCase>
{ };

// The time of a second request on the connection starts with its own bytes.
TEST_P(Unread, TimeOfARequestIsKnown)
{
    constexpr Milliseconds Coarse { 10 };
    Site site;
    site.answers = false;
    Socket socket(site.io);
    socket.connect(*parseEndpoint(site.address, nullptr));
    for (const std::size_t number : { 1U, 2U }) {
        const auto sent = std::chrono::steady_clock::now();
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        std::this_thread::sleep_for(GetParam().stoodStill);
        ASSERT_TRUE(site.until([&] { return site.exchanges.size() == number; }));
        const Milliseconds unread = site.exchanges.back()->sinceReceived();
        const auto passed = std::chrono::duration_cast<Milliseconds>(
                std::chrono::steady_clock::now() - sent);
        EXPECT_GE(unread + Coarse, GetParam().stoodStill);
        EXPECT_LE(unread, passed + Coarse);
        site.exchanges.back()->answer(makeResponse(200, "text/plain", ""));
        site.until([] { return false; }, Milliseconds(50));
    }
    socket.close();
    EXPECT_TRUE(site.until([&] { return site.server.connections() == 0; }));
    EXPECT_EQ(site.exchanges.back()->sinceReceived(), Milliseconds(0));
}

INSTANTIATE_TEST_SUITE_P(Fabric, Unread,
                         testing::Values(UnreadCase { "ReadAtOnce", Milliseconds(0) },
                                         UnreadCase { "ReadLate", Milliseconds(120) }),
                         [](const auto &tested) { return tested.param.name; });

struct ClosingCase
{
    const char *name;

    // Whether answers close the connection: at the first call, before its answer, at the second
    // call
    bool atCall;
    bool atAnswer;
    bool atNext;

    // Number of connections that the two calls need
    std::size_t opened;
};

class Closing : public testing::TestWithParam<ClosingCase>
{ };

// The setting at the time of the answer applies; a connection that stays open is reused.
TEST_P(Closing, FollowsTheServersWish)
{
    Site site;
    site.answers = false;
    HttpClient client(site.io, site.address, {});
    std::vector<bool> kept;
    const auto call = [&](bool atCall, bool atAnswer) {
        const std::size_t before = site.exchanges.size();
        site.server.setCloseAfterAnswers(atCall);
        client.call(Request(http::verb::get, "/", 11), Patience, [&](const CallResult &result) {
            ASSERT_TRUE(result.response);
            kept.push_back(result.response->keep_alive());
        });
        ASSERT_TRUE(site.until([&] { return site.exchanges.size() > before; }));
        site.server.setCloseAfterAnswers(atAnswer);
        site.exchanges.back()->answer(makeResponse(200, "text/plain", ""));
        ASSERT_TRUE(site.until([&] { return kept.size() > before; }));
        EXPECT_TRUE(site.until([&] { return site.server.connections() == (atAnswer ? 0U : 1U); }));
    };
    call(GetParam().atCall, GetParam().atAnswer);
    call(GetParam().atNext, GetParam().atNext);
    EXPECT_EQ(kept, std::vector<bool>({ !GetParam().atAnswer, !GetParam().atNext }));
    EXPECT_EQ(client.opened(), GetParam().opened);
}

INSTANTIATE_TEST_SUITE_P(Fabric, Closing,
                         testing::Values(ClosingCase { "Never", false, false, false, 1 },
                                         ClosingCase { "AndKeepsOpenAgain", true, true, false, 2 },
                                         ClosingCase { "BegunDuringACall", false, true, true, 2 },
                                         ClosingCase { "OverBeforeTheAnswer", true, false, false,
                                                       1 }),
                         [](const auto &tested) { return tested.param.name; });

// [SECTION] Client

TEST(FabricHttpClient, KeepsItsConnections)
{
    Site site;
    HttpClient client(site.io, site.address, {});
    int done = 0;
    std::function<void()> next = [&] {
        Request request(http::verb::post, "/", 11);
        request.body() = std::to_string(done);
        client.call(std::move(request), Patience, [&](const CallResult &result) {
            ASSERT_TRUE(result.response);
            EXPECT_EQ(result.response->body(), std::to_string(done));
            if (++done < 20)
                next();
        });
    };
    next();
    ASSERT_TRUE(site.until([&] { return done == 20; }));
    EXPECT_LE(client.opened(), 2U);
}

struct FailureCase
{
    const char *name;
    bool listens;
    CallFailure failure;
};

class Failures : public testing::TestWithParam<FailureCase>
{ };

TEST_P(Failures, AreToldApart)
{
    Site site;
    site.answers = false;
    std::string address = site.address;
    if (!GetParam().listens) {
        asio::ip::tcp::acceptor free(site.io, Endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
        address = toString(free.local_endpoint());
    }
    HttpClient client(site.io, address, {});
    std::optional<CallFailure> failure;
    client.call(Request(http::verb::get, "/", 11), Milliseconds(100),
                [&](const CallResult &result) { failure = result.failure; });
    ASSERT_TRUE(site.until([&] { return failure.has_value(); }));
    EXPECT_EQ(*failure, GetParam().failure);
}

INSTANTIATE_TEST_SUITE_P(Fabric, Failures,
                         testing::Values(FailureCase { "NobodyListens", false,
                                                       CallFailure::Refused },
                                         FailureCase { "NoAnswer", true, CallFailure::NoAnswer }),
                         [](const auto &tested) { return tested.param.name; });

// The write must not access the request of a call that has ended.
TEST(FabricHttpClient, ACallMayEndWhileItsRequestIsBeingWritten)
{
    Site site;
    site.answers = false;
    HttpClient client(site.io, site.address, {});
    int ended = 0;
    for (int i = 0; i < 40; ++i) {
        Request request(http::verb::post, "/", 11);
        request.body() = std::string(2U << 20U, 'x');
        client.call(std::move(request), Milliseconds(1 + i % 7),
                    [&](const CallResult &) { ++ended; });
    }
    EXPECT_TRUE(site.until([&] { return ended == 40; }));
    site.until([] { return false; }, Milliseconds(50));
}

TEST(FabricHttpClient, CallsBeyondTheConnectionsWait)
{
    Site site;
    site.answers = false;
    HttpClientSettings settings;
    settings.maxConnections = 2;
    HttpClient client(site.io, site.address, settings);
    int answered = 0;
    for (int i = 0; i < 5; ++i)
        client.call(Request(http::verb::get, "/", 11), Patience,
                    [&](const CallResult &result) { answered += result.response ? 1 : 0; });
    ASSERT_TRUE(site.until([&] { return site.exchanges.size() == 2; }));
    EXPECT_FALSE(site.until([&] { return site.exchanges.size() > 2; }, Milliseconds(50)));
    for (std::size_t i = 0; i < 5; ++i) {
        ASSERT_TRUE(site.until([&] { return site.exchanges.size() > i; }));
        site.exchanges[i]->answer(makeResponse(200, "text/plain", ""));
    }
    EXPECT_TRUE(site.until([&] { return answered == 5; }));
}

} // namespace
} // namespace foxwing::fabric

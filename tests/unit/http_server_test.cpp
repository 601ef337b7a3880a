// The HTTP server at its end, and under heads that take much memory.
#include "anvilscale/net.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <array>
#include <list>
#include <mutex>

namespace anvilscale {
namespace {

HttpServer::Handlers silentHandlers()
{
    HttpServer::Handlers handlers;
    handlers.request = [](HttpExchange, const HttpRequestData &) {};
    handlers.disconnected = [](HttpExchange, FailureReason) {};
    handlers.bytesSent = [](HttpExchange, std::uint64_t) {};
    handlers.errorReply = [](HttpError) { return HttpReply{}; };
    return handlers;
}

// Guards against a crash of a process that shuts down: other threads still send answers and tasks to its server.
TEST(HttpServerTest, CallsAfterTheShutdownHaveNoEffect)
{
    HttpServerInit init;
    init.address = "127.0.0.1";
    auto server = HttpServer::create(init, silentHandlers());
    ASSERT_TRUE(server);
    (*server)->start();
    (*server)->shutdown();
    (*server)->reply(HttpExchange{1U << 8}, HttpReply{});
    bool hasRun = false;
    (*server)->loop().post([&] { hasRun = true; });
    (*server)->closeAfterAnswers();
    (*server)->shutdown();
    EXPECT_FALSE(hasRun);
    EXPECT_EQ((*server)->stats().openConnections, 0U);
}

// Guards against callers that fill the memory of an entry with heads of very many fields, each within its limit.
TEST(HttpServerTest, FieldsOfAllHeadsStayWithinTheMemory)
{
    constexpr std::uint64_t limitBytes = 1U << 20;
    constexpr std::size_t callers = 12;
    constexpr std::size_t fields = 3000; // 196 kB in memory
    HttpServerInit init;
    init.address = "127.0.0.1";
    MemoryAccountInit memory;
    memory.limitBytes = limitBytes;
    init.memory = std::make_shared<MemoryAccount>(memory);
    std::mutex mutex;
    std::list<HttpRequestData> requests; // guarded by the mutex
    auto handlers = silentHandlers();
    handlers.errorReply = [](HttpError error) { return HttpReply{statusOf(error), {}, {}, true}; };
    handlers.request = [&](HttpExchange, HttpRequestData request) {
        const std::scoped_lock lock(mutex);
        requests.push_back(std::move(request));
    };
    auto server = HttpServer::create(init, handlers);
    ASSERT_TRUE(server);
    (*server)->start();
    std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
    for (std::size_t i = 0; i < fields; ++i) {
        head += "a:\r\n";
    }
    head += "\r\n";
    std::list<Poco::Net::StreamSocket> sockets;
    std::size_t refused = 0;
    for (std::size_t i = 0; i < callers; ++i) {
        auto &socket = sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1", (*server)->port()));
        socket.sendBytes(head.data(), static_cast<int>(head.size()));
    }
    const auto taken = [&] {
        const std::scoped_lock lock(mutex);
        return requests.size();
    };
    while (taken() + refused < callers) {
        for (auto &socket : sockets) {
            std::array<char, 12> statusLine{};
            if (socket.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)
                && socket.receiveBytes(statusLine.data(), static_cast<int>(statusLine.size())) > 0
                && std::string_view(statusLine.data(), statusLine.size()) == "HTTP/1.1 503") {
                ++refused;
            }
        }
    }
    EXPECT_GE(taken(), 3U);
    EXPECT_LE(taken() * fields * sizeof(HttpHeaders::value_type), limitBytes);
    (*server)->shutdown();
    requests.clear();
    EXPECT_EQ(init.memory->stats().totalBytes(), 0U);
}

} // namespace
} // namespace anvilscale

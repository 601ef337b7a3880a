// The HTTP server at its end.
#include "anvilscale/net.h"

#include <gtest/gtest.h>

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

} // namespace
} // namespace anvilscale

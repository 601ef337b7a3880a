// Tests of the client of an endpoint against a server of raw sockets: outcomes of streams.
#include "anvilscale/endpoint.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <future>

namespace anvilscale {
namespace {

constexpr auto maxWait = std::chrono::seconds(20);

/// Returns the outcome of a call whose endpoint sends `response` and closes the connection.
CallOutcome outcomeOf(const std::string &response)
{
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::promise<CallOutcome> outcome;
    Endpoint::Handlers handlers;
    handlers.send = [](PeerHandle, const wire::Envelope &) {};
    handlers.onStarted = [](ExecutionHandle) {};
    handlers.onEnded = [&](ExecutionHandle, const CachedAnswer &answer, std::uint32_t) {
        outcome.set_value(answer.outcome);
    };
    EndpointInit init;
    init.address = NetAddress::parse(server.address().toString()).value();
    Endpoint endpoint(init, handlers);
    StartExecution start;
    start.execution = ExecutionHandle{1};
    start.sendDeadline = EventLoop::now() + maxWait;
    start.request.set_credit_bytes(1U << 20);
    endpoint.start(start);
    auto socket = server.acceptConnection();
    std::array<char, 4096> request{};
    EXPECT_GT(socket.receiveBytes(request.data(), static_cast<int>(request.size())), 0);
    socket.sendBytes(response.data(), static_cast<int>(response.size()));
    socket.shutdownSend();
    auto result = outcome.get_future();
    EXPECT_EQ(result.wait_for(maxWait), std::future_status::ready);
    endpoint.shutdown();
    return result.get();
}

// Guards against reporting a stream as complete that its endpoint broke off inside an event: the endpoint marks the end
// of the stream only by closing its connection.
TEST(EndpointStream, UnframedStreamThatEndsInsideAnEventIsNotComplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    EXPECT_EQ(outcomeOf(head + "data: a\n\n"), CallOutcome::Complete);
    EXPECT_EQ(outcomeOf(head + "data: a\n\ndata: b"), CallOutcome::Unknown);
}

} // namespace
} // namespace anvilscale

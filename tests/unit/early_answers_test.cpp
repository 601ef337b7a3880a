// Answers that come while the request is still being written, from a server that then resets the connection: none of
// the clients takes the part that has come for a whole answer.
#include "platform/http_connection.h"
#include "support/early_resets.h"
#include "support/run_on_loop.h"

#include "anvilscale/endpoint.h"

#include <gtest/gtest.h>

#include <future>

namespace anvilscale::test {
namespace {

constexpr std::size_t uploadBytes = 8U << 20; // more than the sockets hold
constexpr std::size_t maxBytes = 1U << 20;
constexpr std::uint32_t rounds = 24;
constexpr Duration timeout = Seconds(20);
const std::vector<std::string> partialAnswers{
    "HTTP/1.1 200 OK\r\n\r\na part", "HTTP/1.0 200 OK\r\n\r\na part",
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\na part",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n"};

class EarlyAnswers : public testing::Test
{
protected:
    EarlyResetServer::Script script() const
    {
        return [this](const std::string & /*head*/) { return *answer_; };
    }
    void setAnswer(std::uint32_t round)
    {
        answer_ = &partialAnswers[round % partialAnswers.size()];
    }

    std::atomic<const std::string *> answer_ = &partialAnswers.front();
    EarlyResetServer server_{78, script()};
    BusyThreads busyThreads_{std::thread::hardware_concurrency()};
};

// Guards against a part of an answer that the client of entries and sidecars reports as complete.
TEST_F(EarlyAnswers, ClientTakesNoPartForAnAnswer)
{
    EventLoop loop("test");
    std::unique_ptr<HttpClient> client;
    runOnLoop(loop, [&] {
        HttpClientInit init;
        init.address = NetAddress::parse(server_.address()).value();
        init.connectTimeout = timeout;
        client = std::make_unique<HttpClient>(loop, init);
    });
    for (std::uint32_t round = 0; round < rounds; ++round) {
        setAnswer(round);
        std::promise<ExchangeEnd> end;
        runOnLoop(loop, [&] {
            EndpointRequest request;
            request.method = "POST";
            request.body.assign(uploadBytes, 'x');
            ExchangeHandlers handlers;
            handlers.end = [&end](ExchangeEnd reported) { end.set_value(reported); };
            client->start(request, timeout, handlers);
        });
        EXPECT_EQ(end.get_future().get(), ExchangeEnd::Broken) << round << " " << *answer_;
    }
    EXPECT_EQ(server_.resets(), rounds);
    runOnLoop(loop, [&] { client.reset(); });
    loop.stop();
}

// Guards against a part of an answer that a sidecar of the relayed path passes on as a complete one.
TEST_F(EarlyAnswers, RelayedCallIsNotComplete)
{
    std::promise<CallOutcome> outcome;
    Endpoint::Handlers handlers;
    handlers.send = [](PeerHandle, const wire::Envelope &) {};
    handlers.onStarted = [](ExecutionHandle) {};
    handlers.onEnded = [&](ExecutionHandle, const CachedAnswer &answer, std::uint32_t) {
        std::exchange(outcome, {}).set_value(answer.outcome);
    };
    EndpointInit init;
    init.address = NetAddress::parse(server_.address()).value();
    Endpoint endpoint(init, handlers);
    for (std::uint32_t round = 0; round < rounds; ++round) {
        setAnswer(round);
        auto result = outcome.get_future();
        StartExecution start;
        start.execution = ExecutionHandle{round + 1};
        start.sendDeadline = EventLoop::now() + timeout;
        start.request.set_credit_bytes(maxBytes);
        start.request.set_method("POST");
        start.request.set_path("/");
        start.request.set_body(std::string(uploadBytes, 'x'));
        endpoint.start(start);
        EXPECT_EQ(result.get(), CallOutcome::Unknown) << round << " " << *answer_;
    }
    EXPECT_EQ(server_.resets(), rounds);
    endpoint.shutdown();
}

// Guards against a part of an answer that counts as an answer of the store.
TEST_F(EarlyAnswers, ConnectionToThePlatformTakesNoPartForAnAnswer)
{
    for (std::uint32_t round = 0; round < rounds; ++round) {
        setAnswer(round);
        HttpConnection connection("http://" + server_.address());
        const auto answer = connection.exchange("POST", "/", std::string(uploadBytes, 'x'),
                                                HttpConnection::Clock::now() + timeout, maxBytes);
        EXPECT_FALSE(answer) << round << " " << *answer_;
    }
    EXPECT_EQ(server_.resets(), rounds);
}

} // namespace
} // namespace anvilscale::test

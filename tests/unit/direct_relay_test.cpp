// DirectRelay with an endpoint whose answers are scripted: which answers it takes for those of an attempt.
#include "daemon/direct_relay.h"
#include "site_dialect.h"
#include "support/scripted_endpoint.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <future>
#include <mutex>

namespace anvilscale::test {

namespace {

/// A relay that sends each call to one endpoint, and again there while the attempts are refused.
class RelayToOne
{
public:
    static constexpr std::uint32_t maxAttempts = 3;

    /// `lastAttempt`: calls wait after it until the relay ends them.
    explicit RelayToOne(std::string address, std::uint32_t lastAttempt = maxAttempts)
        : address_(std::move(address))
        , lastAttempt_(lastAttempt)
        , relay_(handlers())
    {
        HttpServerInit init;
        init.address = "127.0.0.1";
        HttpServer::Handlers serverHandlers;
        serverHandlers.request = [this](HttpExchange exchange, HttpRequestData request) {
            relay_.onRequest(exchange, std::move(request));
        };
        serverHandlers.disconnected = [this](HttpExchange exchange, FailureReason) {
            relay_.onCallerDisconnected(exchange);
        };
        serverHandlers.bytesSent = [this](HttpExchange exchange, std::uint64_t bytes) {
            relay_.onBytesSent(exchange, bytes);
        };
        serverHandlers.errorReply = [](HttpError) { return HttpReply{}; };
        server_ = std::move(*HttpServer::create(init, serverHandlers));
        relay_.attach(*server_);
        server_->start();
    }
    ~RelayToOne()
    {
        server_->loop().post([this] { relay_.close(); });
        server_->shutdown();
    }
    RelayToOne(const RelayToOne &) = delete;
    RelayToOne &operator=(const RelayToOne &) = delete;

    /// The traffic thread stands still after the next attempt has been started, until `isReleased`.
    void holdAfterSend(std::promise<void> &isHeld, std::future<void> isReleased)
    {
        isHeld_ = &isHeld;
        isReleased_ = std::move(isReleased);
    }
    std::uint16_t port() const
    {
        return server_->port();
    }
    /// Ends all calls once `count` attempts have ended and `open` calls are in progress.
    void endCallsAfter(std::size_t count, std::uint64_t open)
    {
        while (ends().size() < count || openCalls() < open) {
            std::this_thread::sleep_for(Milliseconds(1));
        }
        server_->loop().post([this] { relay_.endCalls(); });
    }
    /// Returns the status that a caller gets.
    int call(const std::string &id) const
    {
        Poco::Net::HTTPClientSession session("127.0.0.1", server_->port());
        Poco::Net::HTTPRequest request("POST", "/n/x", "HTTP/1.1");
        request.set("X-Anvilscale-Request-Id", id);
        request.setContentLength(0);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        return response.getStatus();
    }
    std::vector<AttemptEnd> ends() const
    {
        const std::scoped_lock lock(mutex_);
        return ends_;
    }
    /// Status that was reported with the first end.
    std::uint32_t firstStatus() const
    {
        const std::scoped_lock lock(mutex_);
        return firstStatus_;
    }

private:
    RelayHandlers handlers()
    {
        RelayHandlers result;
        result.onCall = [this](HttpExchange exchange, const CallInfo &) {
            if (lastAttempt_ != 0) {
                send(exchange, 1);
            }
        };
        result.onEndpointNotice = [](const std::string &, EndpointNotice) {};
        result.onAnswerStarted = [](HttpExchange, std::uint32_t) {};
        result.onStreamStarted = [](HttpExchange, const StreamOrigin &) {};
        result.onCallerGone = [](HttpExchange) {};
        result.onAttemptEnded = [this](HttpExchange exchange, std::uint32_t attempt,
                                       const AttemptResult &attemptResult) {
            {
                const std::scoped_lock lock(mutex_);
                firstStatus_ = ends_.empty() ? attemptResult.status : firstStatus_;
                ends_.push_back(attemptResult.end);
            }
            if (attempt >= lastAttempt_ && lastAttempt_ != maxAttempts) {
                return;
            }
            if (attemptResult.end == AttemptEnd::Refused && attempt < maxAttempts) {
                send(exchange, attempt + 1);
            } else if (attemptResult.end != AttemptEnd::Answered) {
                server_->loop().post([this, exchange] {
                    relay_.perform(AbandonCall{CallHandle{exchange.value}, FailureReason::EndpointCut});
                });
            }
        };
        return result;
    }

    std::uint64_t openCalls()
    {
        std::promise<std::uint64_t> open;
        server_->loop().post([&] { open.set_value(relay_.calls().open); });
        return open.get_future().get();
    }

    void send(HttpExchange exchange, std::uint32_t attempt)
    {
        SendCall action;
        action.call = CallHandle{exchange.value};
        action.attempt = attempt;
        action.endpointId = "s-1";
        action.address = address_;
        action.deadline = EventLoop::now() + Seconds(30);
        auto &loop = server_->loop();
        if (isHeld_ == nullptr) {
            loop.post([this, action] { relay_.perform(action); });
            return;
        }
        // The loop has polled the caller's connection without a result when the attempt is started.
        loop.timers().subscribe(EventLoop::now() + Milliseconds(20), [this, action](TimePoint) {
            relay_.perform(action);
            std::exchange(isHeld_, nullptr)->set_value();
            isReleased_.wait();
        });
    }

    std::string address_;
    std::uint32_t lastAttempt_;
    mutable std::mutex mutex_;
    std::vector<AttemptEnd> ends_; // guarded by mutex_
    std::uint32_t firstStatus_ = 0; // guarded by mutex_
    std::promise<void> *isHeld_ = nullptr; // traffic thread, once a call was sent
    std::future<void> isReleased_;
    std::unique_ptr<HttpServer> server_;
    DirectRelay<site::SiteDialect> relay_;
};

std::string refusal(const std::string &headers)
{
    return ScriptedEndpoint::answer("421 Misdirected Request", headers);
}

} // namespace

// Guards against the refusal of an attempt that comes twice and is taken for the refusal of the next attempt of the
// same call, which runs: both carry the call's id.
TEST(DirectRelay, SecondRefusalOfAnAttemptIsNotTakenForThatOfTheNext)
{
    std::atomic<int> requests = 0;
    ScriptedEndpoint endpoint([&](const ScriptedRequest &request) {
        auto refused = refusal("X-Anvilscale-Request-Id: " + request.id + "\r\n");
        if (++requests == 1) {
            return refused;
        }
        return (request.number == 1 ? std::string() : refused) + ScriptedEndpoint::success(request.id);
    });
    RelayToOne relay(endpoint.address());
    EXPECT_EQ(relay.call("r-1"), 200);
    EXPECT_EQ(relay.ends(), (std::vector{AttemptEnd::Refused, AttemptEnd::Answered}));
    EXPECT_EQ(requests, 2);
}

// Guards against the failure of another request, which carries no id and comes late on a reused connection, forwarded
// as the answer to this one.
TEST(DirectRelay, LateFailureWithoutAnIdIsNotForwarded)
{
    ScriptedEndpoint endpoint([&](const ScriptedRequest &request) {
        const auto failure = ScriptedEndpoint::answer("500 Error", "X-Anvilscale-Server-Signature: sig\r\n");
        return (request.number == 1 ? std::string() : failure) + ScriptedEndpoint::success(request.id);
    });
    RelayToOne relay(endpoint.address());
    EXPECT_EQ(relay.call("r-1"), 200);
    EXPECT_EQ(relay.call("r-2"), 502);
    EXPECT_EQ(relay.ends(), (std::vector{AttemptEnd::Answered, AttemptEnd::Broken}));
}

// Guards against distrust of an endpoint that refuses a request on a new connection without naming it.
TEST(DirectRelay, RefusalWithoutAnIdCountsOnANewConnection)
{
    ScriptedEndpoint endpoint([&](const ScriptedRequest &) { return refusal(""); });
    RelayToOne relay(endpoint.address());
    EXPECT_EQ(relay.call("r-1"), 502);
    EXPECT_EQ(relay.ends().front(), AttemptEnd::Refused);
}

// Guards against a run for a caller that has left while the connection to the endpoint was being established: the
// process stood still, and finds the connection established before it finds the caller gone.
TEST(DirectRelay, CallerThatLeavesDuringAConnectGetsNoRun)
{
    std::mutex mutex;
    std::vector<std::string> runs;
    ScriptedEndpoint endpoint([&](const ScriptedRequest &request) {
        const std::scoped_lock lock(mutex);
        runs.push_back(request.id);
        return ScriptedEndpoint::success(request.id);
    });
    RelayToOne relay(endpoint.address());
    std::promise<void> isHeld;
    std::promise<void> isReleased;
    relay.holdAfterSend(isHeld, isReleased.get_future());
    {
        Poco::Net::StreamSocket caller(Poco::Net::SocketAddress("127.0.0.1", relay.port()));
        const std::string text =
            "POST /n/x HTTP/1.1\r\nHost: h\r\nX-Anvilscale-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n";
        caller.sendBytes(text.data(), static_cast<int>(text.size()));
        isHeld.get_future().wait();
        std::this_thread::sleep_for(Milliseconds(50)); // the kernel completes the connection to the endpoint
    }
    isReleased.set_value();
    EXPECT_EQ(relay.call("r-2"), 200);
    const std::scoped_lock lock(mutex);
    EXPECT_EQ(runs, std::vector<std::string>{"r-2"});
}

// Guards against a log that names a success where an endpoint refused a request or did not answer it.
TEST(DirectRelay, StatusOfAFailedAttemptIsTheEndpoints)
{
    struct Case
    {
        std::string answer; // of the endpoint; the connection breaks if empty
        std::uint32_t status;
    };
    for (const auto &item : {Case{refusal(""), 421}, Case{"", 0}}) {
        ScriptedEndpoint endpoint([&](const ScriptedRequest &) { return item.answer; });
        RelayToOne relay(endpoint.address());
        EXPECT_EQ(relay.call("r-1"), 502);
        EXPECT_EQ(relay.firstStatus(), item.status);
    }
}

// Guards against a process that ends because a record's text is no address, which costs the attempt only.
TEST(DirectRelay, AttemptAtATextThatIsNoAddressEndsAsUnreachable)
{
    for (const auto *address : {"::1:80", "fe80::1%lo:80", "host:80", "", "127.0.0.1:65536"}) {
        RelayToOne relay(address);
        EXPECT_EQ(relay.call("r-1"), 502);
        EXPECT_EQ(relay.call("r-2"), 502);
        EXPECT_EQ(relay.ends(), (std::vector{AttemptEnd::Unreachable, AttemptEnd::Unreachable}));
    }
}

// Guards against connections that are closed without an answer when the process ends while calls wait: callers could
// not tell whether they have run.
TEST(DirectRelay, CallsThatWaitWhenTheProcessEndsAreAnsweredByWhatIsKnownOfThem)
{
    struct Case
    {
        std::string answer; // of the endpoint; the connection breaks if empty
        std::uint32_t attempts;
        int status;
    };
    const std::vector<Case> cases{{"", 0, 503}, {refusal(""), 1, 503}, {"", 1, 502}};
    for (const auto &item : cases) {
        ScriptedEndpoint endpoint([&](const ScriptedRequest &) { return item.answer; });
        RelayToOne relay(endpoint.address(), item.attempts);
        auto status = std::async(std::launch::async, [&] { return relay.call("r-1"); });
        relay.endCallsAfter(item.attempts, 1);
        EXPECT_EQ(status.get(), item.status) << item.attempts << " attempts, answer " << item.answer;
        EXPECT_EQ(relay.call("r-2"), 503) << "a new call";
    }
}

} // namespace anvilscale::test

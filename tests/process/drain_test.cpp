// Calls that are in the listener's queue, wait, or are being answered when an entry ends.
#include "direct_fleet.h"
#include "support/scripted_endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <future>

namespace fleet {
namespace {

constexpr int callCount = 12; // more than the slots of both plain endpoints
constexpr int queuedCount = 150; // more than an entry accepts at once
constexpr std::size_t answerBytes = 8U << 20; // more than the sockets and the entry hold
constexpr auto balancerDelay = std::chrono::milliseconds(2600); // from SIGTERM to the end of the listener

/// A connection of a caller that sends and reads at its own pace.
class SlowCaller
{
public:
    explicit SlowCaller(unsigned port)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port)))
    {
    }
    void send(const std::string &path, const std::string &id)
    {
        sendHead(path, id);
        sendText("body");
    }
    /// Sends a request without its body of 4 bytes.
    void sendHead(const std::string &path, const std::string &id)
    {
        sendText("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Anvilscale-Request-Id: " + id
                 + "\r\nX-Anvilscale-Deadline-Ms: 6000\r\nContent-Length: 4\r\n\r\n");
    }
    void sendText(const std::string &text)
    {
        socket_.sendBytes(text.data(), static_cast<int>(text.size()));
    }
    bool hasInput()
    {
        return socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }
    /// Returns all bytes up to the end of the connection.
    std::string read()
    {
        std::string bytes;
        std::vector<char> buffer(256U << 10);
        try {
            while (true) {
                const int got = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                if (got <= 0) {
                    return bytes;
                }
                bytes.append(buffer.data(), static_cast<std::size_t>(got));
            }
        } catch (const Poco::Exception &) {
            return bytes; // reset
        }
    }

private:
    Poco::Net::StreamSocket socket_;
};

class Drain : public Direct
{
protected:
    bool hasLogged(const std::string &event) const
    {
        return readLog("entry-1").find("\"" + event + "\"") != std::string::npos;
    }
    bool hasOpenConnections(int count) const
    {
        const auto line = "anvilscale_http_connections_open " + std::to_string(count);
        return request(metricsPort_, "GET", "/metrics").body.find(line) != std::string::npos;
    }
    void expectCleanExit()
    {
        ASSERT_TRUE(eventually([&] { return !daemons_.at("entry-1")->isRunning(); }));
        EXPECT_EQ(daemons_.at("entry-1")->wait(), 0);
    }
};

// Guards against requests that were sent before the listener was closed, but whose connections are closed unread.
TEST_F(Drain, RequestsInTheQueueOfTheListenerAreAnswered)
{
    start();
    const auto &entry = *daemons_.at("entry-1");
    entry.signal(SIGTERM);
    ASSERT_TRUE(eventually([&] { return hasLogged("drain_started"); }));
    entry.signal(SIGSTOP);
    std::vector<SlowCaller> callers;
    for (int i = 0; i < queuedCount; ++i) {
        callers.emplace_back(httpPort_).send("/i/", "queued-" + std::to_string(i));
    }
    std::this_thread::sleep_for(balancerDelay);
    entry.signal(SIGCONT);
    for (auto &caller : callers) {
        const auto answer = caller.read();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    }
    expectCleanExit();
}

// Guards against requests that are discarded half read when an entry begins to drain, and against an entry that waits
// beyond its grace period for the rest of another.
TEST_F(Drain, RequestsThatAreHalfReadEndWithTheGracePeriod)
{
    graceMs_ = 4000;
    start();
    SlowCaller caller(httpPort_);
    SlowCaller silent(httpPort_);
    caller.sendHead("/i/", "half");
    silent.sendHead("/i/", "silent");
    silent.sendText("bo");
    ASSERT_TRUE(eventually([&] { return hasOpenConnections(2); }));
    daemons_.at("entry-1")->signal(SIGTERM);
    ASSERT_TRUE(eventually([&] { return hasLogged("drain_started"); }));
    caller.sendText("body");
    const auto answer = caller.read();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    const auto other = silent.read();
    EXPECT_FALSE(other.starts_with("HTTP/1.1 200 ")) << other;
    EXPECT_EQ(plainExecutionCount("silent"), 0);
    expectCleanExit();
}

// Guards against calls that wait or are at an endpoint when the grace period ends and get no answer.
TEST_F(Drain, CallsThatAreOpenAtTheEndAreAnswered)
{
    graceMs_ = 4000;
    start();
    for (const auto port : plainPorts_) {
        controlStandin(port, R"({"fault":"mute","times":100})");
    }
    std::vector<std::future<Answer>> answers;
    answers.reserve(callCount);
    for (int i = 0; i < callCount; ++i) {
        answers.push_back(
            std::async(std::launch::async, [this, i] { return call("/i/", "open-" + std::to_string(i)); }));
    }
    ASSERT_TRUE(eventually([&] { return hasOpenConnections(12); }));
    daemons_.at("entry-1")->signal(SIGTERM);
    for (auto &answer : answers) {
        const auto status = answer.get().status;
        EXPECT_TRUE(status == 502 || status == 503 || status == 504) << status;
    }
    expectCleanExit();
}

// Guards against an answer that is cut although its caller still reads it before the process is killed.
TEST_F(Drain, AnswerIsWrittenUpToTheEndOfTheGracePeriod)
{
    const anvilscale::test::ScriptedEndpoint endpoint([](const anvilscale::test::ScriptedRequest &request) {
        return anvilscale::test::ScriptedEndpoint::answer(
            "200 OK",
            "X-Anvilscale-Request-Id: " + request.id + "\r\nX-Anvilscale-Server-Signature: sig." + request.id + "\r\n",
            std::string(answerBytes, 'x'));
    });
    setPlainEndpoints(endpoint.address());
    graceMs_ = 4000;
    start();
    SlowCaller caller(httpPort_);
    caller.send("/i/", "slow");
    ASSERT_TRUE(eventually([&] { return caller.hasInput(); }));
    daemons_.at("entry-1")->signal(SIGTERM);
    ASSERT_TRUE(eventually([&] { return hasLogged("drain_finished"); }));
    const auto answer = caller.read();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 "));
    EXPECT_GT(answer.size(), answerBytes);
    expectCleanExit();
}

// Guards against late requests that are sent to an endpoint although the process ends before the answer, so that their
// outcome is unknown, and against the refusal of those that can be answered in time.
TEST_F(Drain, LateRequestsAreAnsweredInTimeOrRefusedAtOnce)
{
    constexpr auto workTime = std::chrono::milliseconds(1500);
    std::atomic<int> lateRuns = 0;
    const anvilscale::test::ScriptedEndpoint endpoint([&](const anvilscale::test::ScriptedRequest &request) {
        lateRuns += request.id.starts_with("late-") ? 1 : 0;
        std::this_thread::sleep_for(workTime);
        return anvilscale::test::ScriptedEndpoint::success(request.id);
    });
    setPlainEndpoints(endpoint.address());
    graceMs_ = 6600;
    start();
    const std::vector<std::string> paths{"/i/", "/n/"};
    for (const auto &path : paths) {
        EXPECT_EQ(call(path, "measured" + path.substr(1, 1)).status, 200);
    }
    std::vector<SlowCaller> inTime;
    std::vector<SlowCaller> late;
    for (const auto &path : paths) {
        inTime.emplace_back(httpPort_).sendHead(path, "in-time-" + path.substr(1, 1));
        late.emplace_back(httpPort_).sendHead(path, "late-" + path.substr(1, 1));
    }
    ASSERT_TRUE(eventually([&] { return hasOpenConnections(4); }));
    daemons_.at("entry-1")->signal(SIGTERM);
    ASSERT_TRUE(eventually([&] { return hasLogged("drain_started"); }));
    std::this_thread::sleep_for(balancerDelay);
    for (auto &caller : inTime) {
        caller.sendText("body");
    }
    for (auto &caller : inTime) {
        const auto answer = caller.read();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    }
    // Less than the time of a call is left.
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    for (auto &caller : late) {
        caller.sendText("body");
    }
    for (auto &caller : late) {
        const auto answer = caller.read();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
        EXPECT_NE(answer.find("Retry-After"), std::string::npos) << answer;
    }
    EXPECT_EQ(lateRuns, 0);
    expectCleanExit();
}

} // namespace
} // namespace fleet

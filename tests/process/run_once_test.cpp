// Requests that must run once, and refusals by which callers may send a request again: real entries, callers that go on
// at another entry, and endpoints that answer beyond the protocol.
#include "direct_fleet.h"
#include "support/scripted_endpoint.h"

namespace {

using namespace fleet;
using anvilscale::test::ScriptedEndpoint;
using anvilscale::test::ScriptedRequest;

/// Connection of a caller that sends its requests itself, to see what becomes of a connection.
class CallerSocket
{
public:
    explicit CallerSocket(unsigned port)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port)))
    {
        socket_.setReceiveTimeout(Poco::Timespan(60, 0));
    }
    void send(const std::string &path, const std::string &id)
    {
        const auto text = "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Anvilscale-Request-Id: " + id
                          + "\r\nX-Anvilscale-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody";
        socket_.sendBytes(text.data(), static_cast<int>(text.size()));
    }
    /// Returns the status of the next answer; 0 if the connection ends without one.
    int receiveStatus()
    {
        const std::string_view headEnd = "\r\n\r\n";
        while (input_.find(headEnd) == std::string::npos || !isBodyComplete()) {
            std::array<char, 4096> buffer{};
            int received = 0;
            try {
                received = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            } catch (const Poco::Exception &) {
                received = 0;
            }
            if (received <= 0) {
                return 0;
            }
            input_.append(buffer.data(), static_cast<std::size_t>(received));
        }
        const int status = std::stoi(input_.substr(input_.find(' ') + 1));
        input_.clear();
        return status;
    }
    void close()
    {
        socket_.close();
    }
    void reset()
    {
        socket_.setLinger(true, 0);
        socket_.close();
    }

private:
    bool isBodyComplete() const
    {
        const std::string name = "Content-Length: ";
        const auto length = input_.find(name);
        const auto bodyAt = input_.find("\r\n\r\n") + 4;
        return length == std::string::npos || input_.size() - bodyAt >= std::stoul(input_.substr(length + name.size()));
    }

    Poco::Net::StreamSocket socket_;
    std::string input_;
};

class RunOnce : public Direct
{
protected:
    /// True once all threads of the process have stopped: on a busy machine some run on for a while after the signal.
    static bool hasStopped(pid_t process)
    {
        const auto tasks = std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/task");
        return std::all_of(begin(tasks), end(tasks), [](const auto &task) {
            std::ifstream stat(task.path() / "stat");
            const std::string line{std::istreambuf_iterator<char>(stat), {}};
            return line.find(") T ") != std::string::npos;
        });
    }
    void startSecondEntry()
    {
        startEntry("entry-2", "127.0.0.3", secondPorts_);
        ASSERT_TRUE(eventually([&] { return request(secondPorts_.ready, "GET", "/api/readyz").status == 200; }));
    }
    /// All ids that the plain endpoints have run.
    std::map<std::string, int> plainRuns() const
    {
        std::map<std::string, int> runs;
        for (const auto port : plainPorts_) {
            const auto list = parse(request(port, "GET", "/standin").body)->getArray("ran");
            for (std::size_t i = 0; i < list->size(); ++i) {
                ++runs[list->getElement<std::string>(static_cast<unsigned>(i))];
            }
        }
        return runs;
    }

    EntryPorts secondPorts_;
};

} // namespace

// Guards against a second run of a request whose caller has closed its connection to a paused entry and gone to another
// one: the paused entry must not send it on when it continues.
TEST_F(RunOnce, RequestTakenBackFromAPausedEntryIsNotRun)
{
    constexpr int rounds = 5;
    constexpr int callersPerRound = 60;
    start();
    startSecondEntry();
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::unique_ptr<CallerSocket>> callers;
        for (int i = 0; i < callersPerRound / 2; ++i) {
            callers.push_back(std::make_unique<CallerSocket>(httpPort_));
            callers.back()->send("/n/x", "kept-" + std::to_string(round) + "-" + std::to_string(i));
            ASSERT_EQ(callers.back()->receiveStatus(), 200);
        }
        daemons_["entry-1"]->signal(SIGSTOP);
        ASSERT_TRUE(eventually([&] { return hasStopped(daemons_["entry-1"]->pid()); }));
        for (int i = 0; i < callersPerRound / 2; ++i) {
            callers.push_back(std::make_unique<CallerSocket>(httpPort_)); // the kernel accepts it
        }
        for (int i = 0; i < callersPerRound; ++i) {
            auto &caller = *callers[static_cast<std::size_t>(i)];
            const auto number = std::to_string(round) + "-" + std::to_string(i);
            caller.send("/n/x", "taken-back-" + number);
            i % 4 < 2 ? caller.close() : caller.reset();
            CallerSocket other(secondPorts_.http);
            other.send("/n/x", "again-" + number);
            EXPECT_EQ(other.receiveStatus(), 200);
        }
        daemons_["entry-1"]->signal(SIGCONT);
        EXPECT_EQ(call("/n/x", "after-" + std::to_string(round)).status, 200);
    }
    int secondRuns = 0;
    for (const auto &[id, count] : plainRuns()) {
        secondRuns += id.starts_with("taken-back-") ? count : 0;
        EXPECT_EQ(count, 1) << id;
    }
    EXPECT_EQ(secondRuns, 0);
}

// Guards against a connection that is closed without an answer while its request runs at an endpoint: the caller takes
// the request for one that was not read and sends it again.
TEST_F(RunOnce, CallAtAnEndpointIsAnsweredWhenTheGracePeriodEnds)
{
    graceMs_ = 3400;
    start();
    for (const auto port : plainPorts_) {
        controlStandin(port, R"({"fault":"mute","times":1})");
    }
    CallerSocket caller(httpPort_);
    caller.send("/n/x", "r-1");
    ASSERT_TRUE(eventually([&] { return plainExecutionCount("r-1") == 1; }));
    daemons_["entry-1"]->signal(SIGTERM);
    EXPECT_EQ(caller.receiveStatus(), 502);
    EXPECT_EQ(daemons_["entry-1"]->wait(), 0);
}

// Guards against the refusal of another request, which carries no id and comes late on a reused connection, taken for
// the refusal of a request that runs: the caller would be told that it has not run.
TEST_F(RunOnce, LateRefusalWithoutAnIdIsNotTakenForTheRequestsOwn)
{
    std::atomic<int> runs = 0;
    ScriptedEndpoint endpoint([&](const ScriptedRequest &request) {
        ++runs;
        const auto refusal = ScriptedEndpoint::answer("503 Service Unavailable", "X-Anvilscale-Not-Executed: 1\r\n");
        return (request.number == 1 ? std::string() : refusal) + ScriptedEndpoint::success(request.id);
    });
    controlStandin(storePort_, R"({"deletes":["servers/p-1","servers/p-2"]})");
    putKey("servers/s-1", record("plain", endpoint.address()));
    start();
    EXPECT_EQ(call("/n/x", "r-1").status, 200);
    const auto second = call("/n/x", "r-2");
    ASSERT_EQ(runs, 2);
    EXPECT_EQ(second.status, 502) << "503 promises that it has not run";
}

// Rate limits that endpoints announce in their answers, with several entries as real processes.
#include "direct_fleet.h"

#include <chrono>
#include <deque>
#include <thread>

namespace {

using namespace fleet;
using Clock = std::chrono::steady_clock;

class DirectLimit : public Direct
{
protected:
    static constexpr std::size_t entryCount = 3;
    static constexpr auto callInterval = std::chrono::milliseconds(5);

    void startAll()
    {
        start();
        httpPorts_[0] = httpPort_;
        for (std::size_t i = 1; i < entryCount; ++i) {
            const EntryPorts ports;
            const auto number = std::to_string(i + 1);
            startEntry("entry-" + number, "127.0.0." + std::to_string(i + 2), ports);
            EXPECT_TRUE(eventually([&] { return request(ports.ready, "GET", "/api/readyz").status == 200; }));
            httpPorts_[i] = ports.http;
        }
    }
    /// Sends a call to the entry that is next in turn. Returns true if the first plain endpoint has run it.
    bool callReachesFirstEndpoint()
    {
        std::this_thread::sleep_for(callInterval);
        const auto id = "l-" + std::to_string(++probeCount_);
        const auto port = httpPorts_[static_cast<std::size_t>(probeCount_) % entryCount];
        const auto answer =
            request(port, "POST", "/n/x", "body",
                    {{"Host", "h.example"}, {"X-Anvilscale-Request-Id", id}, {"X-Anvilscale-Deadline-Ms", "5000"}});
        EXPECT_EQ(answer.status, 200);
        return executionCount(plainPorts_[0], id) == 1;
    }

    std::array<unsigned, entryCount> httpPorts_{};
};

// Guards against entries that ignore an endpoint's rate limit, or of which each one uses the whole limit.
TEST_F(DirectLimit, LimitHoldsForAllEntriesTogether)
{
    startAll();
    constexpr double limitPerSecond = 1;
    controlStandin(plainPorts_[0], R"({"limit":"1"})");
    std::array<bool, entryCount> isTold{};
    int callsOfToldEntries = 0;
    const auto startedAt = Clock::now();
    for (int i = 0; i < 400; ++i) {
        const bool reached = callReachesFirstEndpoint();
        auto &told = isTold[static_cast<std::size_t>(probeCount_) % entryCount];
        callsOfToldEntries += reached && told ? 1 : 0;
        told = told || reached;
    }
    const double seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    EXPECT_LE(callsOfToldEntries, tolerance * limitPerSecond * seconds + slack) << seconds << " s";
}

// Guards against entries that keep to a limit that the endpoint no longer announces.
TEST_F(DirectLimit, EndpointIsUsedFullyAfterItsLimitHasEnded)
{
    startAll();
    controlStandin(plainPorts_[0], R"({"limit":"2"})");
    EXPECT_TRUE(eventually([&] { return callReachesFirstEndpoint(); }));
    controlStandin(plainPorts_[0], R"({"limit":""})");
    constexpr int requiredCalls = 15; // of the last 50: far more than the limit allows in that time
    std::deque<bool> reached;
    EXPECT_TRUE(eventually([&] {
        reached.push_back(callReachesFirstEndpoint());
        if (reached.size() > 50) {
            reached.pop_front();
        }
        return std::count(reached.begin(), reached.end(), true) >= requiredCalls;
    }));
}

} // namespace

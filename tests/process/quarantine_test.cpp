// Quarantine of requests that crash endpoints, shared by two entries, with real processes.
#include "direct_fleet.h"

namespace {

using namespace fleet;

class DirectQuarantine : public Direct
{
protected:
    static constexpr int extraEndpoints = 6;

    void startAll()
    {
        for (int i = 0; i < extraEndpoints; ++i) {
            const auto id = "c-" + std::to_string(i);
            const auto port = fleet_.startStandin("site-replica", {"--id", id}, id);
            putKey("servers/" + id, record("plain", "127.0.0.1:" + std::to_string(port)));
            endpointPorts_.push_back(port);
        }
        endpointPorts_.insert(endpointPorts_.end(), plainPorts_.begin(), plainPorts_.end());
        for (const auto port : endpointPorts_) {
            controlStandin(port, R"({"crashOn":"fatal"})");
        }
        start();
        startEntry("entry-2", "127.0.0.3", secondEntry_);
        EXPECT_TRUE(eventually([&] { return request(secondEntry_.ready, "GET", "/api/readyz").status == 200; }));
    }
    /// Sends the body with a new request id, as each try of a caller does.
    Answer sendRequest(unsigned entry, const std::string &body)
    {
        const std::map<std::string, std::string> headers{
            {"Host", "h.example"},
            {"X-Anvilscale-Request-Id", "q-" + std::to_string(++requestCount_)},
            {"X-Anvilscale-Deadline-Ms", "5000"}};
        return request(entry, "POST", "/n/x", body, headers);
    }
    /// Returns the number of runs started at all endpoints.
    std::size_t runCount() const
    {
        std::size_t count = 0;
        for (const auto port : endpointPorts_) {
            count += parse(request(port, "GET", "/standin").body)->getArray("ran")->size();
        }
        return count;
    }

    EntryPorts secondEntry_;
    std::vector<unsigned> endpointPorts_;
    int requestCount_ = 0;
};

// Guards against a request that crashes one endpoint after another because entries do not share its crashes.
TEST_F(DirectQuarantine, CrashingRequestIsRefusedAtEveryEntry)
{
    startAll();
    EXPECT_TRUE(eventually([&] {
        const auto first = sendRequest(httpPort_, "fatal");
        const auto second = sendRequest(secondEntry_.http, "fatal");
        return first.status == 503 && second.status == 503;
    }));
    const auto runsBefore = runCount();
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(sendRequest(httpPort_, "fatal").status, 503);
        EXPECT_EQ(sendRequest(secondEntry_.http, "fatal").status, 503);
    }
    EXPECT_EQ(runCount(), runsBefore);
    EXPECT_EQ(sendRequest(httpPort_, "harmless").status, 200);
    EXPECT_EQ(sendRequest(secondEntry_.http, "harmless").status, 200);
}

} // namespace

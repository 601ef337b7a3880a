// Slots of a contended plain service, granted by a real sidecar to a real entry.
#include "direct_fleet.h"

#include <atomic>
#include <thread>

namespace {

using namespace fleet;

// Guards against requests for slots, answers or returns that one of the processes does not pass on.
TEST_F(Direct, ContendedPlainCallsGetSlotsFromTheSidecar)
{
    for (std::size_t i = 0; i < plainPorts_.size(); ++i) {
        auto text = record("plain", "127.0.0.1:" + std::to_string(plainPorts_[i]));
        text = std::regex_replace(text, std::regex(R"("slots":4)"), R"("slots":1)");
        putKey("servers/p-" + std::to_string(i + 1), text);
    }
    start();
    std::atomic<bool> isDone = false;
    std::atomic<int> failures = 0;
    const auto sendCalls = [&](const std::string &name) {
        for (int i = 0; !isDone; ++i) {
            failures += call("/i/x", name + std::to_string(i)).status == 200 ? 0 : 1;
        }
    };
    std::thread first(sendCalls, "a-");
    std::thread second(sendCalls, "b-");
    const std::regex grants(R"("slots_leased"[^\n]*"grants":[1-9])");
    const auto readCounter = [&](const std::string &name) {
        std::smatch found;
        const auto text = request(metricsPort_, "GET", "/metrics").body;
        const bool isKnown = std::regex_search(text, found, std::regex("\n" + name + " ([0-9]+)"));
        return isKnown ? std::stoi(found[1]) : 0;
    };
    EXPECT_TRUE(eventually([&] { return std::regex_search(readLog("side-1"), grants); }));
    EXPECT_TRUE(eventually([&] { return readCounter("anvilscale_slots_requests_total") > 0; }));
    isDone = true;
    first.join();
    second.join();
    EXPECT_EQ(failures, 0);
    EXPECT_LT(readCounter("anvilscale_slots_timeouts_total"), readCounter("anvilscale_slots_requests_total"));
}

} // namespace

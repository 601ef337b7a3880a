// Fencing numbers of sidecars over restarts, with real processes: clocks that are off, and a store that is away or has
// come back from an older copy.
#include "direct_fleet.h"

namespace {

using namespace fleet;

class Fencing : public Direct
{
protected:
    Fencing()
    {
        controlStandin(enginePort_, R"({"checksFencing":false})", sidecarAddress);
    }

    /// Starts the sidecar with a time of day that is off by this time, in place of the running one.
    void restartSidecar(std::chrono::milliseconds clockOffset = {})
    {
        if (const auto running = daemons_.find("side-1"); running != daemons_.end()) {
            running->second->signal(SIGKILL);
            running->second->wait();
        }
        startSidecar("side-1", sidecarAddress, enginePort_,
                     {{"LD_PRELOAD", buildFolder() + "/tests/libshifted_clock.so"},
                      {"SHIFTED_CLOCK_MS", std::to_string(clockOffset.count())}});
    }
    bool isServed(const std::string &adapter)
    {
        return eventually([&] { return call("/s/x", "r-" + std::to_string(++calls_), adapter).status == 200; });
    }
    /// Fencing numbers of all orders that the engine has received.
    std::vector<std::int64_t> receivedFences() const
    {
        const auto orders = parse(requestAt(sidecarAddress, enginePort_, "GET", "/standin").body)->getArray("orders");
        std::vector<std::int64_t> fences;
        for (std::size_t i = 0; i < orders->size(); ++i) {
            const auto order = parse(orders->getElement<std::string>(static_cast<unsigned>(i)));
            fences.push_back(order->getValue<std::int64_t>("fencing_token"));
        }
        return fences;
    }
    std::size_t orderCount() const
    {
        return receivedFences().size();
    }
    /// The numbers never fall, and the last one is above the first.
    void expectGrowingFences() const
    {
        const auto fences = receivedFences();
        EXPECT_TRUE(std::is_sorted(fences.begin(), fences.end())) << testing::PrintToString(fences);
        ASSERT_FALSE(fences.empty());
        EXPECT_GT(fences.back(), fences.front());
    }

    int calls_ = 0;
};

// Guards against a sidecar that orders with a lower number than its predecessor, whose clock was ahead: an engine that
// does not check fencing numbers accepts both.
TEST_F(Fencing, NumbersGrowAfterTheClockIsSetBack)
{
    startEntry();
    for (const auto offset : {std::chrono::minutes(2), std::chrono::minutes(0), std::chrono::minutes(-2)}) {
        const auto before = orderCount();
        restartSidecar(offset);
        EXPECT_TRUE(isServed("a" + std::to_string(before)));
        EXPECT_GT(orderCount(), before) << "the new process has sent orders";
    }
    expectGrowingFences();
}

// Guards against a sidecar that orders with a lower number than its predecessor because the store has lost the change
// from which that one had its number, with the clock set back as well.
TEST_F(Fencing, NumbersGrowAfterTheStoreIsRestored)
{
    startEntry();
    controlStandin(storePort_, R"({"copy":true})");
    for (int i = 0; i < 10; ++i) {
        putKey("op/unused", "{}");
    }
    restartSidecar(std::chrono::minutes(2));
    EXPECT_TRUE(isServed("a1"));
    const auto before = orderCount();
    controlStandin(storePort_, R"({"restore":true})");
    restartSidecar();
    EXPECT_TRUE(isServed("a2"));
    EXPECT_GT(orderCount(), before);
    expectGrowingFences();
}

// Guards against orders of a restarted sidecar that does not know which number its predecessor had, and against callers
// who wait for a load that nobody can order.
TEST_F(Fencing, SidecarThatStartsWithoutTheStoreSendsNoOrders)
{
    startEntry();
    restartSidecar(std::chrono::minutes(2));
    EXPECT_TRUE(isServed("a1"));
    const auto before = orderCount();
    controlStandin(storePort_, R"({"status":503})");
    restartSidecar();
    ASSERT_TRUE(eventually([&] { return readLog("side-1").find("fencing_number_failed") != std::string::npos; }));
    Answer refused;
    EXPECT_TRUE(eventually([&] {
        refused = call("/s/x", "w-" + std::to_string(++calls_), "a2");
        return refused.body.find("deadline_unreachable") != std::string::npos;
    }));
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(refused.headers.count("Retry-After"));
    EXPECT_EQ(call("/s/x", "r-resident", "a1").status, 200);
    EXPECT_EQ(orderCount(), before);
    controlStandin(storePort_, R"({"status":0})");
    EXPECT_TRUE(isServed("a2"));
    EXPECT_GT(orderCount(), before);
    expectGrowingFences();
}

} // namespace

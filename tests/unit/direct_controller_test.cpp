// Orders to one engine: loads, evictions, lost answers and engine restarts.
#include "anvilscale/direct.h"

#include <gtest/gtest.h>

namespace anvilscale {
namespace {

constexpr std::uint64_t firstFence = 1000;
constexpr std::uint32_t engineSlots = 2;
const std::string modelName = "base";

wire::DirectDemand demandFor(const std::string &endpointId, const std::vector<std::string> &waiting,
                             std::uint32_t slots = engineSlots)
{
    wire::DirectDemand demand;
    demand.set_endpoint_id(endpointId);
    auto &plan = *demand.mutable_plan();
    plan.set_config_version(1);
    plan.set_adapter_slots(slots);
    plan.set_weights_mb(1000);
    auto &model = *plan.add_models();
    model.set_name(modelName);
    model.set_weights_mb(800);
    model.set_adapter_mb(50);
    for (const auto &adapter : waiting) {
        auto &adapterDemand = *demand.add_wishes();
        adapterDemand.set_model(modelName);
        adapterDemand.set_adapter(adapter);
        adapterDemand.set_waiting(1);
    }
    return demand;
}

EngineStateReport reportOf(std::uint64_t sequence, const std::vector<std::string> &adapters)
{
    EngineStateReport report;
    report.sequence = sequence;
    report.models = {modelName};
    for (const auto &adapter : adapters) {
        report.adapters.push_back({modelName, adapter, 1});
    }
    return report;
}

class AdapterControllerTest : public testing::Test
{
protected:
    AdapterControllerTest()
    {
        controller_.setFencingNumber(firstFence);
    }
    void setDemand(const std::vector<std::string> &waiting, const std::string &endpointId = "i-1")
    {
        controller_.applyDemand(PeerHandle{1}, demandFor(endpointId, waiting, slots_), now_);
    }
    void advance(Duration span)
    {
        now_ += span;
    }
    /// Loads one adapter into an empty engine within the given time.
    void load(const std::string &name, Duration took)
    {
        setDemand({name});
        controller_.applyReport(reportOf(loaded_, {}), now_);
        const auto order = controller_.nextOrder(now_);
        ASSERT_TRUE(order);
        EXPECT_EQ(order->adapter, name);
        controller_.onOrderEnded(order->id, EngineOrderResult::Accepted, "", now_);
        advance(took);
        controller_.applyReport(reportOf(++loaded_, {name}), now_);
    }

    TimePoint now_{Seconds(100)};
    std::uint32_t slots_ = engineSlots;
    std::uint64_t loaded_ = 0; // orders that `load` has completed
    AdapterController controller_;
};

// Guards against a leaving state that is sent late, or that is attributed to the next incarnation.
TEST_F(AdapterControllerTest, ReportsLeavingOnlyForTheSameIncarnation)
{
    setDemand({});
    controller_.applyReport(reportOf(0, {}), now_);
    EXPECT_FALSE(controller_.state(now_).leaving());
    const auto before = controller_.revision();
    auto report = reportOf(0, {});
    report.leaving = true;
    controller_.applyReport(report, now_);
    EXPECT_TRUE(controller_.state(now_).leaving());
    EXPECT_GT(controller_.revision(), before) << "entries are notified at once";
    setDemand({"a1"}, "i-2");
    const auto order = controller_.nextOrder(now_);
    ASSERT_TRUE(order);
    controller_.onOrderEnded(order->id, EngineOrderResult::OtherIncarnation, "i-2", now_);
    EXPECT_EQ(controller_.state(now_).endpoint_id(), "i-2");
    EXPECT_FALSE(controller_.state(now_).leaving());
}

TEST_F(AdapterControllerTest, LoadsWhatCallsWaitFor)
{
    setDemand({"a1"});
    EXPECT_FALSE(controller_.nextOrder(now_)) << "no engine report yet";
    controller_.applyReport(reportOf(7, {}), now_);
    const auto order = controller_.nextOrder(now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->kind, EngineOrderKind::Load);
    EXPECT_EQ(order->adapter, "a1");
    EXPECT_EQ(order->expectedSequence, 7U);
    EXPECT_EQ(order->fencingNumber, firstFence);
    EXPECT_EQ(order->endpointId, "i-1");
    EXPECT_FALSE(controller_.nextOrder(now_)) << "one order is under way at a time";
}

// Guards against loading more adapters than the engine has slots, which crashes it: pending loads count as held.
TEST_F(AdapterControllerTest, NeverOrdersMoreThanTheSlotsHold)
{
    for (int i = 0; i < 3; ++i) {
        load("b" + std::to_string(i), Milliseconds(250)); // a fast store allows concurrent loads
    }
    setDemand({"a3"});
    auto report = reportOf(loaded_ + 1, {"a1"});
    report.pending.push_back({modelName, "a2", 1});
    controller_.applyReport(report, now_);
    advance(Seconds(1));
    const auto order = controller_.nextOrder(now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->kind, EngineOrderKind::Unload);
    EXPECT_EQ(order->adapter, "a1");
}

TEST_F(AdapterControllerTest, KeepsAdaptersInUse)
{
    auto demand = demandFor("i-1", {"a3"});
    for (const auto *adapter : {"a1", "a2"}) {
        auto &adapterDemand = *demand.add_wishes();
        adapterDemand.set_model(modelName);
        adapterDemand.set_adapter(adapter);
        adapterDemand.set_running(1);
    }
    controller_.applyDemand(PeerHandle{1}, demand, now_);
    controller_.applyReport(reportOf(1, {"a1", "a2"}), now_);
    advance(Seconds(1));
    EXPECT_FALSE(controller_.nextOrder(now_));
    EXPECT_EQ(controller_.state(now_).room(), 0U);
}

// Guards against two loads being applied when the answer to the first is lost: both expect the same sequence.
TEST_F(AdapterControllerTest, AnOrderWithoutAnswerIsFollowedByOneThatExcludesIt)
{
    setDemand({"a1"});
    controller_.applyReport(reportOf(7, {}), now_);
    const auto lost = controller_.nextOrder(now_);
    controller_.onOrderEnded(lost->id, EngineOrderResult::NoAnswer, "", now_);
    const auto next = controller_.nextOrder(now_);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->expectedSequence, lost->expectedSequence);
}

// Guards against waiting for a lost answer longer than it could still arrive.
TEST_F(AdapterControllerTest, LostAnswerTimesOutQuickly)
{
    const auto before = controller_.orderTimeout();
    for (int i = 0; i < 10; ++i) {
        setDemand({"b" + std::to_string(i)});
        controller_.applyReport(reportOf(i, {}), now_);
        const auto order = controller_.nextOrder(now_);
        ASSERT_TRUE(order);
        advance(Milliseconds(3));
        controller_.onOrderEnded(order->id, EngineOrderResult::Accepted, "", now_);
    }
    EXPECT_LT(controller_.orderTimeout(), before / 2);
    EXPECT_GE(controller_.orderTimeout(), Milliseconds(15));
}

// Guards against orders under an incarnation that the engine has refused, and against keeping it once entries report
// the new one.
TEST_F(AdapterControllerTest, AppliesTheEnginesNewIncarnation)
{
    setDemand({"a1"});
    controller_.applyReport(reportOf(7, {}), now_);
    const auto stale = controller_.nextOrder(now_);
    controller_.onOrderEnded(stale->id, EngineOrderResult::OtherIncarnation, "", now_);
    controller_.applyReport(reportOf(0, {}), now_);
    advance(Seconds(1));
    EXPECT_FALSE(controller_.nextOrder(now_));
    setDemand({"a1"}, "i-2");
    const auto order = controller_.nextOrder(now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->endpointId, "i-2");
    setDemand({"a1"}, "i-1"); // an entry with outdated state
    controller_.onOrderEnded(order->id, EngineOrderResult::Conflict, "", now_);
    advance(Seconds(1));
    ASSERT_TRUE(controller_.nextOrder(now_));
}

// Guards against orders with a number that the engine has refused, and against an engine that gets no orders after it
// has seen a higher number.
TEST_F(AdapterControllerTest, OrdersWithANewNumberAfterItsOwnWasTooLow)
{
    setDemand({"a1"});
    controller_.applyReport(reportOf(7, {}), now_);
    const auto refused = controller_.nextOrder(now_);
    ASSERT_TRUE(refused);
    controller_.onOrderEnded(refused->id, EngineOrderResult::FencedOff, "", now_);
    advance(Seconds(10));
    EXPECT_FALSE(controller_.nextOrder(now_));
    EXPECT_TRUE(controller_.needsFencingNumber());
    controller_.setFencingNumber(firstFence + 1);
    EXPECT_FALSE(controller_.needsFencingNumber());
    const auto next = controller_.nextOrder(now_);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->fencingNumber, firstFence + 1);
}

// Guards against orders of a restarted sidecar before it knows a number above those of its predecessor, and against
// entries that wait for loads which it cannot order.
TEST(AdapterController, SendsNoOrdersWithoutAFencingNumber)
{
    const TimePoint now{Seconds(100)};
    AdapterController controller;
    controller.applyDemand(PeerHandle{1}, demandFor("i-1", {"a1"}), now);
    controller.applyReport(reportOf(7, {}), now);
    EXPECT_TRUE(controller.needsFencingNumber());
    EXPECT_FALSE(controller.nextOrder(now));
    EXPECT_FALSE(controller.state(now).orders_blocked()) << "the request has not failed yet";
    const auto before = controller.revision();
    controller.onFencingNumberFailed();
    EXPECT_TRUE(controller.state(now).orders_blocked());
    EXPECT_GT(controller.revision(), before) << "entries are notified at once";
    EXPECT_FALSE(controller.nextOrder(now));
    controller.setFencingNumber(firstFence);
    EXPECT_FALSE(controller.state(now).orders_blocked());
    EXPECT_GT(controller.revision(), before + 1);
    EXPECT_TRUE(controller.nextOrder(now));
}

// Guards against concurrent loads from an overloaded store, and against loading for late calls before those that can
// meet their objective.
TEST_F(AdapterControllerTest, LoadsOneAfterTheOtherWhileTheStoreIsSlow)
{
    slots_ = 4;
    for (int i = 0; i < 12; ++i) {
        load("b" + std::to_string(i), Milliseconds(250));
    }
    EXPECT_EQ(controller_.state(now_).loads_at_once(), 4U);
    for (int i = 0; i < 8; ++i) {
        load("c" + std::to_string(i), Milliseconds(600));
    }
    EXPECT_EQ(controller_.state(now_).loads_at_once(), 1U);
    EXPECT_GE(controller_.state(now_).recent_load_ms(), 600U);
    auto demand = demandFor("i-1", {"a1", "a2", "a3"}, slots_);
    demand.mutable_wishes(1)->set_waiting(5);
    demand.mutable_wishes(2)->set_in_time(1);
    controller_.applyDemand(PeerHandle{1}, demand, now_);
    auto report = reportOf(++loaded_, {});
    report.pending.push_back({modelName, "a1", 1});
    controller_.applyReport(report, now_);
    EXPECT_FALSE(controller_.nextOrder(now_));
    EXPECT_EQ(controller_.state(now_).loads_ahead(), 2U);
    EXPECT_EQ(controller_.state(now_).loads_in_time(), 1U);
    controller_.applyReport(reportOf(loaded_, {"a1"}), now_);
    const auto order = controller_.nextOrder(now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->adapter, "a3");
}

TEST_F(AdapterControllerTest, LoadsSideBySideWhileTheStoreKeepsUp)
{
    slots_ = 4;
    setDemand({"a1", "a2"});
    controller_.applyReport(reportOf(0, {}), now_);
    const auto first = controller_.nextOrder(now_);
    ASSERT_TRUE(first);
    controller_.onOrderEnded(first->id, EngineOrderResult::Accepted, "", now_);
    auto report = reportOf(1, {});
    report.pending.push_back({modelName, first->adapter, 1});
    controller_.applyReport(report, now_);
    EXPECT_FALSE(controller_.nextOrder(now_)) << "how fast the store is has not been seen yet";
    advance(Milliseconds(250));
    controller_.applyReport(reportOf(1, {first->adapter}), now_);
    ASSERT_TRUE(controller_.nextOrder(now_));
    EXPECT_EQ(controller_.state(now_).loads_at_once(), 2U);
}

TEST_F(AdapterControllerTest, ReplacesAnOlderVersionOnceANewerOneIsNamed)
{
    auto demand = demandFor("i-1", {});
    auto &adapterDemand = *demand.add_wishes();
    adapterDemand.set_model(modelName);
    adapterDemand.set_adapter("a1");
    adapterDemand.set_least_version(2);
    controller_.applyDemand(PeerHandle{1}, demand, now_);
    controller_.applyReport(reportOf(1, {"a1"}), now_);
    const auto order = controller_.nextOrder(now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->kind, EngineOrderKind::Load);
    EXPECT_EQ(order->adapter, "a1");
}

TEST_F(AdapterControllerTest, FillsAnEngineThatHasRestartedEmpty)
{
    setDemand({"a1"});
    auto empty = reportOf(0, {});
    empty.models.clear();
    controller_.applyReport(empty, now_);
    const auto order = controller_.nextOrder(now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->model, modelName);
    EXPECT_TRUE(order->adapter.empty());
}

// Guards against a lost load from before a restart that is accepted at its sequence and overloads a full engine.
TEST_F(AdapterControllerTest, KeepsASlotFreeForALostLoadFromBeforeARestart)
{
    auto before = reportOf(1, {});
    before.startTimeMs = 1000;
    setDemand({"a1", "a2", "a3"});
    controller_.applyReport(before, now_);
    const auto lost = controller_.nextOrder(now_);
    ASSERT_TRUE(lost);
    controller_.onOrderEnded(lost->id, EngineOrderResult::NoAnswer, "", now_);
    auto after = reportOf(0, {"a1"});
    after.startTimeMs = 2000;
    controller_.applyReport(after, now_);
    const auto careful = controller_.nextOrder(now_);
    ASSERT_FALSE(careful && careful->kind == EngineOrderKind::Load) << "with it the engine would be full at sequence 1";
    after.sequence = 1;
    controller_.applyReport(after, now_);
    const auto next = controller_.nextOrder(now_);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->kind, EngineOrderKind::Load) << "it expects the same number: the engine takes only one of the two";
}

// Guards against an answer from before a restart that counts for the new process or delays the next order.
TEST_F(AdapterControllerTest, IgnoresAnswerToAnOrderFromBeforeARestart)
{
    auto before = reportOf(300, {});
    before.startTimeMs = 1000;
    setDemand({"a1"});
    controller_.applyReport(before, now_);
    const auto order = controller_.nextOrder(now_);
    ASSERT_TRUE(order);
    auto after = reportOf(301, {}); // higher than before the restart by chance
    after.startTimeMs = 2000;
    controller_.applyReport(after, now_);
    controller_.onOrderEnded(order->id, EngineOrderResult::Accepted, "", now_);
    const auto next = controller_.nextOrder(now_);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->expectedSequence, 301U);
    EXPECT_EQ(controller_.state(now_).born(), 2000U);
}

// Guards against entries that place calls at one engine because they learn too late of each other's waiting calls.
TEST_F(AdapterControllerTest, WorkThatWaitsCountsAsPending)
{
    controller_.applyReport(reportOf(0, {}), now_);
    EXPECT_EQ(controller_.pendingWork(), 0U);
    auto demand = demandFor("i-1", {"a"});
    demand.set_unread_tokens(100);
    demand.set_waiting_tokens(2000);
    controller_.applyDemand(PeerHandle{1}, demand, now_);
    EXPECT_GT(controller_.pendingWork(), 2100U) << "the load counts as well";
    controller_.onPeerLost(PeerHandle{1});
    EXPECT_EQ(controller_.pendingWork(), 0U);
}

TEST_F(AdapterControllerTest, ReportsRecentCallsOfAnAdapter)
{
    setDemand({});
    auto demand = demandFor("i-1", {});
    auto &adapterDemand = *demand.add_wishes();
    adapterDemand.set_model(modelName);
    adapterDemand.set_adapter("a");
    adapterDemand.set_started(40);
    controller_.applyDemand(PeerHandle{1}, demand, now_);
    controller_.applyReport(reportOf(1, {"a", "b"}), now_);
    const auto state = controller_.state(now_);
    ASSERT_EQ(state.adapters_size(), 2);
    EXPECT_EQ(state.adapters(0).recent_calls(), 32U);
    EXPECT_EQ(state.adapters(1).recent_calls(), 0U);
    EXPECT_EQ(controller_.state(now_ + Seconds(60)).adapters(0).recent_calls(), 0U);
}

// Guards against states sent to all entries each time that one of them visits.
TEST_F(AdapterControllerTest, VisitorsAreNotCountedAndTheirEndIsNoNews)
{
    setDemand({});
    controller_.applyReport(reportOf(0, {}), now_);
    auto visit = demandFor("i-1", {});
    visit.set_visits(true);
    controller_.applyDemand(PeerHandle{2}, visit, now_);
    EXPECT_EQ(controller_.state(now_).entries(), 1U);
    const auto revision = controller_.revision();
    controller_.onPeerLost(PeerHandle{2});
    EXPECT_EQ(controller_.revision(), revision);
    controller_.onPeerLost(PeerHandle{1});
    EXPECT_NE(controller_.revision(), revision);
}

} // namespace
} // namespace anvilscale

// Orders to one engine: loads, evictions, lost answers and engine restarts.
#include "anvilscale/direct.h"

#include <gtest/gtest.h>

namespace anvilscale {
namespace {

constexpr std::uint64_t firstFence = 1000;
constexpr std::uint32_t slotsOfEngine = 2;
const std::string modelName = "base";

wire::DirectDemand demandFor(const std::string &endpointId, const std::vector<std::string> &waiting,
                             std::uint32_t slots = slotsOfEngine)
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
        auto &wish = *demand.add_wishes();
        wish.set_model(modelName);
        wish.set_adapter(adapter);
        wish.set_waiting(1);
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

class Keeper : public testing::Test
{
protected:
    void want(const std::vector<std::string> &waiting, const std::string &endpointId = "i-1")
    {
        keeper_.applyDemand(PeerHandle{1}, demandFor(endpointId, waiting, slots_), now_);
    }
    void pass(Duration span)
    {
        now_ += span;
    }
    /// Loads one adapter into an empty engine within the given time.
    void load(const std::string &name, Duration took)
    {
        want({name});
        keeper_.applyReport(reportOf(loaded_, {}), now_);
        const auto order = keeper_.nextOrder(now_);
        ASSERT_TRUE(order);
        EXPECT_EQ(order->adapter, name);
        keeper_.orderEnded(order->id, EngineOrderResult::Accepted, "", now_);
        pass(took);
        keeper_.applyReport(reportOf(++loaded_, {name}), now_);
    }

    TimePoint now_{Seconds(100)};
    std::uint32_t slots_ = slotsOfEngine;
    std::uint64_t loaded_ = 0; // orders that `load` has completed
    AdapterKeeper keeper_{firstFence};
};

// Guards against a leaving state that is sent late, or that is attributed to the next incarnation.
TEST_F(Keeper, TellsThatItsEngineLeavesAndNotThatTheNextOneDoes)
{
    want({});
    keeper_.applyReport(reportOf(0, {}), now_);
    EXPECT_FALSE(keeper_.state(now_).leaving());
    const auto before = keeper_.revision();
    auto report = reportOf(0, {});
    report.leaving = true;
    keeper_.applyReport(report, now_);
    EXPECT_TRUE(keeper_.state(now_).leaving());
    EXPECT_GT(keeper_.revision(), before) << "news that entries are told at once";
    want({"a1"}, "i-2");
    const auto order = keeper_.nextOrder(now_);
    ASSERT_TRUE(order);
    keeper_.orderEnded(order->id, EngineOrderResult::OtherIncarnation, "i-2", now_);
    EXPECT_EQ(keeper_.state(now_).endpoint_id(), "i-2");
    EXPECT_FALSE(keeper_.state(now_).leaving());
}

TEST_F(Keeper, LoadsWhatCallsWaitFor)
{
    want({"a1"});
    EXPECT_FALSE(keeper_.nextOrder(now_)) << "nothing is known of the engine yet";
    keeper_.applyReport(reportOf(7, {}), now_);
    const auto order = keeper_.nextOrder(now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->kind, EngineOrderKind::Load);
    EXPECT_EQ(order->adapter, "a1");
    EXPECT_EQ(order->expected, 7U);
    EXPECT_EQ(order->fence, firstFence);
    EXPECT_EQ(order->endpointId, "i-1");
    EXPECT_FALSE(keeper_.nextOrder(now_)) << "one order is under way at a time";
}

// Guards against loading more adapters than the engine has slots, which crashes it: pending loads count as held.
TEST_F(Keeper, NeverOrdersMoreThanTheSlotsHold)
{
    for (int i = 0; i < 3; ++i) {
        load("b" + std::to_string(i), Milliseconds(250)); // a fast store allows concurrent loads
    }
    want({"a3"});
    auto report = reportOf(loaded_ + 1, {"a1"});
    report.pending.push_back({modelName, "a2", 1});
    keeper_.applyReport(report, now_);
    pass(Seconds(1));
    const auto order = keeper_.nextOrder(now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->kind, EngineOrderKind::Unload);
    EXPECT_EQ(order->adapter, "a1");
}

TEST_F(Keeper, KeepsWhatIsInUse)
{
    auto demand = demandFor("i-1", {"a3"});
    for (const auto *adapter : {"a1", "a2"}) {
        auto &wish = *demand.add_wishes();
        wish.set_model(modelName);
        wish.set_adapter(adapter);
        wish.set_running(1);
    }
    keeper_.applyDemand(PeerHandle{1}, demand, now_);
    keeper_.applyReport(reportOf(1, {"a1", "a2"}), now_);
    pass(Seconds(1));
    EXPECT_FALSE(keeper_.nextOrder(now_));
    EXPECT_EQ(keeper_.state(now_).room(), 0U);
}

// Guards against two loads being applied when the answer to the first is lost: both expect the same sequence.
TEST_F(Keeper, AnOrderWithoutAnswerIsFollowedByOneThatExcludesIt)
{
    want({"a1"});
    keeper_.applyReport(reportOf(7, {}), now_);
    const auto lost = keeper_.nextOrder(now_);
    keeper_.orderEnded(lost->id, EngineOrderResult::NoAnswer, "", now_);
    const auto next = keeper_.nextOrder(now_);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->expected, lost->expected);
}

// Guards against waiting for a lost answer longer than it could still arrive.
TEST_F(Keeper, ALostAnswerIsNotWaitedForLong)
{
    const auto before = keeper_.orderTimeout();
    for (int i = 0; i < 10; ++i) {
        want({"b" + std::to_string(i)});
        keeper_.applyReport(reportOf(i, {}), now_);
        const auto order = keeper_.nextOrder(now_);
        ASSERT_TRUE(order);
        pass(Milliseconds(3));
        keeper_.orderEnded(order->id, EngineOrderResult::Accepted, "", now_);
    }
    EXPECT_LT(keeper_.orderTimeout(), before / 2);
    EXPECT_GE(keeper_.orderTimeout(), Milliseconds(15));
}

// Guards against orders under an incarnation that the engine has refused, and against keeping it once entries report
// the new one.
TEST_F(Keeper, TakesOverTheEnginesNewIncarnation)
{
    want({"a1"});
    keeper_.applyReport(reportOf(7, {}), now_);
    const auto stale = keeper_.nextOrder(now_);
    keeper_.orderEnded(stale->id, EngineOrderResult::OtherIncarnation, "", now_);
    keeper_.applyReport(reportOf(0, {}), now_);
    pass(Seconds(1));
    EXPECT_FALSE(keeper_.nextOrder(now_));
    want({"a1"}, "i-2");
    const auto order = keeper_.nextOrder(now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->endpointId, "i-2");
    want({"a1"}, "i-1"); // an entry with outdated state
    keeper_.orderEnded(order->id, EngineOrderResult::Conflict, "", now_);
    pass(Seconds(1));
    ASSERT_TRUE(keeper_.nextOrder(now_));
}

// Guards against an engine that refuses all orders because an earlier start used a higher fencing number.
TEST_F(Keeper, RaisesItsFenceWhenAnEarlierStartWasAhead)
{
    want({"a1"});
    keeper_.applyReport(reportOf(7, {}), now_);
    const auto refused = keeper_.nextOrder(now_);
    keeper_.orderEnded(refused->id, EngineOrderResult::FencedOff, "", now_);
    const auto next = keeper_.nextOrder(now_);
    ASSERT_TRUE(next);
    EXPECT_GT(next->fence, refused->fence + 2000);
}

// Guards against concurrent loads from an overloaded store, and against loading for late calls before those that can
// meet their objective.
TEST_F(Keeper, LoadsOneAfterTheOtherWhileTheStoreIsSlow)
{
    slots_ = 4;
    for (int i = 0; i < 12; ++i) {
        load("b" + std::to_string(i), Milliseconds(250));
    }
    EXPECT_EQ(keeper_.state(now_).loads_at_once(), 4U);
    for (int i = 0; i < 8; ++i) {
        load("c" + std::to_string(i), Milliseconds(600));
    }
    EXPECT_EQ(keeper_.state(now_).loads_at_once(), 1U);
    EXPECT_GE(keeper_.state(now_).recent_load_ms(), 600U);
    auto demand = demandFor("i-1", {"a1", "a2", "a3"}, slots_);
    demand.mutable_wishes(1)->set_waiting(5);
    demand.mutable_wishes(2)->set_in_time(1);
    keeper_.applyDemand(PeerHandle{1}, demand, now_);
    auto report = reportOf(++loaded_, {});
    report.pending.push_back({modelName, "a1", 1});
    keeper_.applyReport(report, now_);
    EXPECT_FALSE(keeper_.nextOrder(now_));
    EXPECT_EQ(keeper_.state(now_).loads_ahead(), 2U);
    EXPECT_EQ(keeper_.state(now_).loads_in_time(), 1U);
    keeper_.applyReport(reportOf(loaded_, {"a1"}), now_);
    const auto order = keeper_.nextOrder(now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->adapter, "a3");
}

TEST_F(Keeper, LoadsSideBySideWhileTheStoreKeepsUp)
{
    slots_ = 4;
    want({"a1", "a2"});
    keeper_.applyReport(reportOf(0, {}), now_);
    const auto first = keeper_.nextOrder(now_);
    ASSERT_TRUE(first);
    keeper_.orderEnded(first->id, EngineOrderResult::Accepted, "", now_);
    auto report = reportOf(1, {});
    report.pending.push_back({modelName, first->adapter, 1});
    keeper_.applyReport(report, now_);
    EXPECT_FALSE(keeper_.nextOrder(now_)) << "how fast the store is has not been seen yet";
    pass(Milliseconds(250));
    keeper_.applyReport(reportOf(1, {first->adapter}), now_);
    ASSERT_TRUE(keeper_.nextOrder(now_));
    EXPECT_EQ(keeper_.state(now_).loads_at_once(), 2U);
}

TEST_F(Keeper, ReplacesAnOlderVersionOnceANewerOneIsNamed)
{
    auto demand = demandFor("i-1", {});
    auto &wish = *demand.add_wishes();
    wish.set_model(modelName);
    wish.set_adapter("a1");
    wish.set_least_version(2);
    keeper_.applyDemand(PeerHandle{1}, demand, now_);
    keeper_.applyReport(reportOf(1, {"a1"}), now_);
    const auto order = keeper_.nextOrder(now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->kind, EngineOrderKind::Load);
    EXPECT_EQ(order->adapter, "a1");
}

TEST_F(Keeper, FillsAnEngineThatHasRestartedEmpty)
{
    want({"a1"});
    auto empty = reportOf(0, {});
    empty.models.clear();
    keeper_.applyReport(empty, now_);
    const auto order = keeper_.nextOrder(now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->model, modelName);
    EXPECT_TRUE(order->adapter.empty());
}

// Guards against a lost load from before a restart that is accepted at its sequence and overloads a full engine.
TEST_F(Keeper, AnOrderOfBeforeARestartFindsASlotFree)
{
    auto before = reportOf(1, {});
    before.born = 1000;
    want({"a1", "a2", "a3"});
    keeper_.applyReport(before, now_);
    const auto lost = keeper_.nextOrder(now_);
    ASSERT_TRUE(lost);
    keeper_.orderEnded(lost->id, EngineOrderResult::NoAnswer, "", now_);
    auto after = reportOf(0, {"a1"});
    after.born = 2000;
    keeper_.applyReport(after, now_);
    const auto careful = keeper_.nextOrder(now_);
    ASSERT_FALSE(careful && careful->kind == EngineOrderKind::Load) << "with it the engine would be full at sequence 1";
    after.sequence = 1;
    keeper_.applyReport(after, now_);
    const auto next = keeper_.nextOrder(now_);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->kind, EngineOrderKind::Load) << "it expects the same number: the engine takes only one of the two";
}

// Guards against an answer from before a restart that counts for the new process or delays the next order.
TEST_F(Keeper, TheAnswerToAnOrderOfBeforeARestartIsOfNoUse)
{
    auto before = reportOf(300, {});
    before.born = 1000;
    want({"a1"});
    keeper_.applyReport(before, now_);
    const auto order = keeper_.nextOrder(now_);
    ASSERT_TRUE(order);
    auto after = reportOf(301, {}); // higher than before the restart by chance
    after.born = 2000;
    keeper_.applyReport(after, now_);
    keeper_.orderEnded(order->id, EngineOrderResult::Accepted, "", now_);
    const auto next = keeper_.nextOrder(now_);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->expected, 301U);
    EXPECT_EQ(keeper_.state(now_).born(), 2000U);
}

// Guards against entries that place calls at one engine because they learn too late of each other's waiting calls.
TEST_F(Keeper, WorkThatWaitsCountsAsPending)
{
    keeper_.applyReport(reportOf(0, {}), now_);
    EXPECT_EQ(keeper_.pendingWork(), 0U);
    auto demand = demandFor("i-1", {"a"});
    demand.set_unread_tokens(100);
    demand.set_waiting_tokens(2000);
    keeper_.applyDemand(PeerHandle{1}, demand, now_);
    EXPECT_GT(keeper_.pendingWork(), 2100U) << "the load counts as well";
    keeper_.peerLost(PeerHandle{1});
    EXPECT_EQ(keeper_.pendingWork(), 0U);
}

TEST_F(Keeper, TellsHowOftenAnAdapterWasCalledLately)
{
    want({});
    auto demand = demandFor("i-1", {});
    auto &wish = *demand.add_wishes();
    wish.set_model(modelName);
    wish.set_adapter("a");
    wish.set_started(40);
    keeper_.applyDemand(PeerHandle{1}, demand, now_);
    keeper_.applyReport(reportOf(1, {"a", "b"}), now_);
    const auto state = keeper_.state(now_);
    ASSERT_EQ(state.adapters_size(), 2);
    EXPECT_EQ(state.adapters(0).recent_calls(), 32U);
    EXPECT_EQ(state.adapters(1).recent_calls(), 0U);
    EXPECT_EQ(keeper_.state(now_ + Seconds(60)).adapters(0).recent_calls(), 0U);
}

} // namespace
} // namespace anvilscale

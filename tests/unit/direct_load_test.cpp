// Wait forecasts and early refusals of an entry under load.
#include "direct_fixture.h"

namespace anvilscale::test {

class CallsUnderLoad : public Calls
{
protected:
    /// Callers abandon streams without an event after two seconds; the reading speed of the only engine is measured.
    void configureFirstByteLimit()
    {
        auto config = makeConfig(2);
        config.routes.front().firstByteLimit = Seconds(2);
        calls_.applyConfig(config, now_);
        addEngine("e-1", "10.0.1.1:80", {"a9"});
        measureReading("a9", 40);
    }
    /// A load takes one second instead of 250 ms, and loads run one at a time.
    static wire::DirectState slowStore()
    {
        auto state = makeState({});
        state.set_load_ms(250);
        state.set_recent_load_ms(1000);
        state.set_loads_at_once(1);
        return state;
    }
    void applyState(const std::string &address, const wire::DirectState &state)
    {
        calls_.applyState(address, state, now_);
    }
};

// Guards against choosing an engine whose backlog is still waiting for adapters and is therefore not sent yet.
TEST_F(CallsUnderLoad, PromptsThatWaitForAdaptersCount)
{
    addEngine("e-1", "10.0.1.1:80", {});
    addEngine("e-2", "10.0.1.2:80", {});
    startCall("/s/x", "a1");
    const auto usual = takeActions<SendDemand>();
    ASSERT_EQ(usual.size(), 1U);
    auto state = makeState({});
    state.set_waiting_tokens(60'000);
    applyState(usual.front().address, state);
    startCall("/s/x", "a1");
    EXPECT_EQ(calls_.stats().waitedForAdapter, 2U);
    const auto second = takeActions<SendDemand>();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second.front().address, usual.front().address);
}

TEST_F(CallsUnderLoad, DemandIncludesWaitingCalls)
{
    addEngine("e-1", "10.0.1.1:80", {});
    startCall("/s/x", "a1");
    const auto demands = takeActions<SendDemand>();
    ASSERT_EQ(demands.size(), 1U);
    EXPECT_GE(demands.front().demand.waiting_tokens(), 3000U);
    EXPECT_EQ(demands.front().demand.unread_tokens(), 0U);
    ASSERT_EQ(demands.front().demand.wishes_size(), 1);
    EXPECT_EQ(demands.front().demand.wishes(0).in_time(), 1U);
}

// Guards against a sidecar that is not notified when a waiting call misses its objective.
TEST_F(CallsUnderLoad, AWaitingCallBecomesLateByItself)
{
    addEngine("e-1", "10.0.1.1:80", {});
    startCall("/s/x", "a1");
    takeActions<SendDemand>();
    advance(Milliseconds(1100));
    const auto demands = takeActions<SendDemand>();
    ASSERT_FALSE(demands.empty());
    EXPECT_EQ(demands.back().demand.wishes(0).waiting(), 1U);
    EXPECT_EQ(demands.back().demand.wishes(0).in_time(), 0U);
}

// Guards against holding a call whose adapter cannot be loaded before its caller leaves.
TEST_F(CallsUnderLoad, CallWithLateAdapterIsRefusedAtOnce)
{
    configureFirstByteLimit();
    auto state = slowStore();
    state.set_loads_ahead(3);
    state.set_loads_in_time(3);
    state.set_room(9);
    state.set_slots(9);
    applyState("10.0.1.1:80", state);
    startCall("/s/x", "a1", Seconds(15));
    const auto refused = takeActions<RefuseCall>();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused.front().reason, RefusalReason::DeadlineUnreachable);
    EXPECT_GT(refused.front().retryAfter, Seconds(1));
}

// Guards against a forecast that includes loads for late calls, which are loaded afterwards.
TEST_F(CallsUnderLoad, LoadsForLateCallsAreNotWaitedFor)
{
    configureFirstByteLimit();
    auto state = slowStore();
    state.set_loads_ahead(3);
    state.set_room(9);
    state.set_slots(9);
    applyState("10.0.1.1:80", state);
    startCall("/s/x", "a1", Seconds(15));
    EXPECT_TRUE(takeActions<RefuseCall>().empty());
}

// Guards against refusing a call that can meet its objective because many late calls wait for adapters.
TEST_F(CallsUnderLoad, LateCallsDoNotCauseRefusalsOfTimelyCalls)
{
    configureFirstByteLimit();
    auto state = makeState({});
    state.set_load_ms(250);
    state.set_recent_load_ms(300);
    state.set_loads_at_once(1);
    state.set_loads_ahead(12);
    state.set_room(12);
    state.set_slots(12);
    applyState("10.0.1.1:80", state);
    startCall("/s/x", "a1");
    EXPECT_TRUE(takeActions<RefuseCall>().empty());
    state.set_loads_in_time(12);
    applyState("10.0.1.1:80", state);
    startCall("/s/x", "a2");
    EXPECT_EQ(takeActions<RefuseCall>().size(), 1U) << "these do come before it";
}

// Guards against loading one absent adapter into two engines when calls reach two entries at the same time.
TEST_F(CallsUnderLoad, AwaitedAdapterIsNotLoadedElsewhere)
{
    for (int i = 1; i <= 6; ++i) {
        addEngine("e-" + std::to_string(i), "10.0.1." + std::to_string(i) + ":80", {});
    }
    startCall("/s/x", "a1");
    const auto home = takeActions<SendDemand>().front().address;
    const std::string elsewhere = home == "10.0.1.1:80" ? "10.0.1.2:80" : "10.0.1.1:80";
    auto state = makeState({});
    auto &awaited = *state.add_awaited();
    awaited.set_model(modelName);
    awaited.set_adapter("a2");
    state.set_loads_ahead(1);
    for (const auto *adapter : {"a2", "a2"}) {
        applyState(elsewhere, state);
        startCall("/s/x", adapter);
        const auto demands = takeActions<SendDemand>();
        ASSERT_EQ(demands.size(), 1U);
        EXPECT_EQ(demands.front().address, elsewhere);
    }
}

// Guards against choosing an engine where adapters already wait for slots with running calls.
TEST_F(CallsUnderLoad, TheQueueForSlotsCounts)
{
    addEngine("e-1", "10.0.1.1:80", {"b1"});
    runCalls("b1", Seconds(2));
    addEngine("e-2", "10.0.1.2:80", {});
    for (int i = 1; i <= 8; ++i) {
        auto full = makeState({"b1", "b2"});
        full.set_room(0);
        applyState("10.0.1.2:80", full);
        full.set_loads_ahead(2);
        full.set_loads_in_time(2);
        applyState("10.0.1.1:80", full);
        startCall("/s/x", "a" + std::to_string(i));
        const auto demands = takeActions<SendDemand>();
        ASSERT_EQ(demands.size(), 1U);
        EXPECT_EQ(demands.front().address, "10.0.1.2:80") << "whichever engine the adapter would go to otherwise";
        advance(Milliseconds(1));
        calls_.onCallerGone(CallHandle{lastCall_}, now_);
        takeActions<SendDemand>();
    }
}

// Guards against calls at a crashed engine, waiting or new, until its record lapses from the store.
TEST_F(CallsUnderLoad, AnEngineThatItsSidecarCannotReachIsLeft)
{
    addEngine("e-1", "10.0.1.1:80", {});
    addEngine("e-2", "10.0.1.2:80", {});
    startCall("/s/x", "a1");
    const auto first = takeActions<SendDemand>().front().address;
    auto crashed = makeState({"a2"});
    crashed.set_reachable(false);
    applyState(first, crashed);
    const auto placed = takeActions<SendDemand>();
    ASSERT_FALSE(placed.empty());
    EXPECT_NE(placed.back().address, first);
    startCall("/s/x", "a2");
    EXPECT_TRUE(takeActions<SendCall>().empty()) << "the adapter is loaded into the other engine";
}

// Guards against refusals after a restart when the model's load (600 ms) fits into the caller's limit (2 s).
TEST_F(CallsUnderLoad, RemainingModelLoadTimeCounts)
{
    auto config = makeConfig(2);
    config.services.front().engine->models.front().reload = Milliseconds(600);
    config.routes.front().firstByteLimit = Seconds(2);
    calls_.applyConfig(config, now_);
    calls_.applyEndpoint(makeEndpoint("e-1", engineService, "10.0.1.1:80"), now_);
    auto empty = makeState({});
    empty.clear_models();
    applyState("10.0.1.1:80", empty);
    startCall("/s/x", "a1");
    EXPECT_TRUE(takeActions<RefuseCall>().empty());
    EXPECT_EQ(calls_.stats().waitedForAdapter, 1U);
}

// Guards against estimating a long prompt by its token count only, although the time per token grows with its length.
TEST_F(CallsUnderLoad, LongPromptsCountForMore)
{
    constexpr double pairs = 2.5e-5;
    addEngine("e-1", "10.0.1.1:80", {"a1"});
    measureReading("a1", 38.4, pairs);
    for (int i = 0; i < 4; ++i) {
        readPrompt("a1", 20'000, 38.4, pairs);
    }
    CallInfo info;
    info.requestId = "long";
    info.host = host;
    info.path = "/s/x";
    info.callerTimeout = Seconds(5);
    info.model = modelName;
    info.adapter = "a1";
    info.promptTokens = 30'000;
    info.parts = {{"own", 30'000}};
    calls_.onCall(CallHandle{77}, info, now_);
    advance(Milliseconds(500));
    const auto demands = takeActions<SendDemand>();
    ASSERT_FALSE(demands.empty());
    EXPECT_GT(demands.back().demand.unread_tokens(), 40'000U);
    EXPECT_LT(demands.back().demand.unread_tokens(), 43'000U);
}

} // namespace anvilscale::test

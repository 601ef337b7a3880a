// Reading speeds of single engines, as reported by their sidecars, and the cost of long prompts to running streams.
#include "direct/wait_forecast.h"
#include "direct_fixture.h"

namespace anvilscale::test {

class Speeds : public Calls
{
protected:
    Speeds() = default;
    explicit Speeds(const DirectCallsInit &init)
        : Calls(init)
    {
    }
    static constexpr std::uint32_t serviceNs = 50'000; // default of the service's estimate, in ns per token
    static constexpr std::uint64_t budget = 100'000; // so large that no call needs a turn

    static wire::DirectState makeSpeedState(double relativeStepTime, std::uint64_t unread = 0)
    {
        auto state = makeState({"a1"});
        state.set_read_ns_per_token(static_cast<std::uint32_t>(relativeStepTime * serviceNs));
        state.set_unread_tokens(unread);
        return state;
    }
    void addEngineState(const std::string &id, const std::string &address, const wire::DirectState &state)
    {
        calls_.applyEndpoint(makeEndpoint(id, engineService, address), now_);
        calls_.applyState(address, state, now_);
    }
    /// Where most of 20 calls of `tokens` prompt tokens go, each alone at the entry; empty without a majority.
    std::string usualEndpoint(std::uint32_t tokens)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < 20; ++i) {
            CallInfo info;
            info.requestId = "r" + std::to_string(++lastCall_);
            info.host = host;
            info.path = "/s/x";
            info.callerTimeout = Seconds(4);
            info.model = modelName;
            info.adapter = "a1";
            info.promptTokens = tokens;
            info.parts = {{"own" + info.requestId, tokens}};
            calls_.onCall(CallHandle{lastCall_}, info, now_);
            const auto send = takeSentCall();
            ++counts[send.endpointId];
            calls_.onCallerGone(send.call, now_);
        }
        for (const auto &[id, count] : counts) {
            if (count >= 18) {
                return id;
            }
        }
        return {};
    }
    /// An engine whose streams may pause for 300 ms, with a budget if it is contended.
    void addStreams(const std::string &id, const std::string &address, std::uint32_t streams, bool isContended)
    {
        auto state = makeSpeedState(1);
        state.set_streams(streams);
        state.set_reading_budget(isContended ? budget : 0);
        addEngineState(id, address, state);
    }
    void limitPauses()
    {
        auto config = makeConfig(2);
        config.routes.front().pauseLimit = Milliseconds(300);
        calls_.applyConfig(config, now_);
    }
};

// Guards against slow engines that get as many calls as fast ones: at 0.5 an engine with a backlog of 4,000 tokens is
// done before one at 1.2 with 2,000.
TEST_F(Speeds, ChoiceFollowsTheSpeeds)
{
    addEngineState("fast", addressOne, makeSpeedState(0.5, 4000));
    addEngineState("slow", addressTwo, makeSpeedState(1.2, 2000));
    EXPECT_EQ(usualEndpoint(800), "fast");
    EXPECT_EQ(calls_.stats().ownSpeedEngines, 2U);
}

// Guards against a choice by measurement noise.
TEST_F(Speeds, SmallDifferencesDoNotCount)
{
    addEngineState("one", addressOne, makeSpeedState(0.95, 1000));
    addEngineState("two", addressTwo, makeSpeedState(1.05, 990));
    EXPECT_EQ(usualEndpoint(2000), "two");
    EXPECT_EQ(calls_.stats().ownSpeedEngines, 0U);
}

// Guards against refusals by the service's speed at an engine that reads faster.
TEST_F(Speeds, RefusalUsesTheSpeedOfTheEngine)
{
    addEngineState("slow", addressTwo, makeSpeedState(1.2, 100'000)); // 6 s of reading
    startCall("/s/x", "a1");
    const auto refused = takeActions<RefuseCall>();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused.front().reason, RefusalReason::DeadlineUnreachable);
    addEngineState("fast", addressOne, makeSpeedState(0.5, 100'000));
    startCall("/s/x", "a1");
    EXPECT_TRUE(takeActions<RefuseCall>().empty());
}

// Guards against an engine that counts as average again after each restart, which is when all calls return to it.
TEST_F(Speeds, SpeedIsKeptForTheAddress)
{
    addEngineState("e-1", addressOne, makeSpeedState(0.5));
    addEngineState("e-2", addressTwo, makeSpeedState(1));
    calls_.applyEndpoint(makeEndpoint("e-3", engineService, addressOne), now_); // beside the record of e-1
    calls_.removeEndpoint("e-1", now_);
    calls_.applyState(addressOne, makeState({"a1"}), now_);
    EXPECT_EQ(usualEndpoint(2000), "e-3");
    calls_.removeEndpoint("e-3", now_);
    addEngineState("e-4", addressOne, makeState({"a1"}));
    EXPECT_EQ(usualEndpoint(2000), "e-4");
    auto restarted = makeState({"a1"});
    restarted.set_endpoint_id("e-4");
    restarted.set_born(5000);
    calls_.applyState(addressOne, restarted, now_);
    EXPECT_EQ(usualEndpoint(2000), "e-4");
}

// Guards against slowness that counts the speed of the engine a second time.
TEST_F(Speeds, SlownessRelatesToTheEnginesOwnSpeed)
{
    EndpointEntry entry;
    entry.record = makeEndpoint("slow", engineService, addressOne);
    entry.applyState(makeSpeedState(2), now_);
    const ReadingSpeed service;
    const EngineSpeed speed(entry, service, {});
    entry.recordFirstByte(Milliseconds(200), fromMilliseconds(speed.idleEngineMs(2000)), now_);
    EXPECT_DOUBLE_EQ(entry.currentSlowness(now_), 1);
}

// Guards against long prompts between the events of many streams, where an engine without streams is idle.
TEST_F(Speeds, LongPromptsAvoidStreams)
{
    limitPauses();
    addStreams("streams", addressOne, 16, true);
    addStreams("quiet", addressTwo, 0, true);
    auto state = makeSpeedState(1, 500); // a little slower to answer
    state.set_reading_budget(budget);
    calls_.applyState(addressTwo, state, now_);
    EXPECT_EQ(usualEndpoint(800), "streams") << "short prompts delay no stream beyond its limit";
    EXPECT_EQ(usualEndpoint(9000), "quiet");
}

// Guards against long prompts at slow engines, whose streams they push over their allowed pause.
TEST_F(Speeds, LongPromptsGoToFastEngines)
{
    limitPauses();
    auto slow = makeSpeedState(1.2);
    auto fast = makeSpeedState(0.5, 15'000); // answers a little later than the idle slow one
    for (auto *state : {&slow, &fast}) {
        state->set_streams(16);
    }
    addEngineState("slow", addressOne, slow);
    addEngineState("fast", addressTwo, fast);
    EXPECT_EQ(usualEndpoint(9000), "slow") << "without contention the earlier answer decides";
    slow.set_reading_budget(budget);
    calls_.applyState(addressOne, slow, now_);
    EXPECT_EQ(usualEndpoint(9000), "fast");
}

// Guards against another choice than before where nothing is contended.
TEST_F(Speeds, StreamsDoNotCountWithoutContention)
{
    limitPauses();
    addStreams("streams", addressOne, 16, false);
    addStreams("quiet", addressTwo, 0, false);
    calls_.applyState(addressTwo, makeSpeedState(1, 500), now_);
    EXPECT_EQ(usualEndpoint(9000), "streams");
}

class WithoutSpeeds : public Speeds
{
protected:
    WithoutSpeeds()
        : Speeds(initWithout(Mechanism::EngineSpeeds))
    {
    }
};

// Guards against a mechanism that cannot be switched off.
TEST_F(WithoutSpeeds, ServiceEstimateDecides)
{
    addEngineState("fast", addressOne, makeSpeedState(0.5, 4000));
    addEngineState("slow", addressTwo, makeSpeedState(1.2, 2000));
    EXPECT_EQ(usualEndpoint(800), "slow");
}

} // namespace anvilscale::test

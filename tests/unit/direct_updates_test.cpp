// State updates and heartbeats between sidecars and entries, and routing around silent sidecars.
#include "direct_fixture.h"

namespace anvilscale {
namespace {

using test::addressOne;
using test::addressTwo;
using test::makeState;

constexpr PeerHandle entry{1};

class StatePublisherTest : public testing::Test
{
protected:
    StatePublisherTest()
    {
        publisher_.update(makeState({"a"}));
    }
    /// The entry has received the current state and acknowledges it.
    void acknowledge()
    {
        const auto message = publisher_.buildMessage(entry);
        ASSERT_TRUE(message.has_direct_state());
        publisher_.onStateAcknowledged(entry, message.direct_state().sequence());
    }

    StatePublisher publisher_;
};

TEST_F(StatePublisherTest, EntryWithTheStateReceivesHeartbeats)
{
    acknowledge();
    auto state = makeState({"a"});
    state.set_unread_tokens(500);
    state.set_room(1);
    publisher_.update(state);
    const auto message = publisher_.buildMessage(entry);
    ASSERT_TRUE(message.has_direct_heartbeat());
    EXPECT_EQ(message.direct_heartbeat().unread_tokens(), 500U);
    EXPECT_EQ(message.direct_heartbeat().room(), 1U);
    EXPECT_LT(5 * message.ByteSizeLong(), 200U) << "a fifth of what a state of a full engine takes";
}

TEST_F(StatePublisherTest, ChangeSendsTheWholeState)
{
    acknowledge();
    publisher_.update(makeState({"a", "b"}));
    EXPECT_TRUE(publisher_.buildMessage(entry).has_direct_state());
    EXPECT_TRUE(publisher_.buildMessage(entry).has_direct_heartbeat()) << "and only once";
}

// Guards against heartbeats that are applied to a state the entry never received.
TEST_F(StatePublisherTest, LostStateIsSentAgain)
{
    acknowledge();
    publisher_.update(makeState({"a", "b"}));
    const auto lost = publisher_.buildMessage(entry).direct_state().sequence();
    publisher_.onStateAcknowledged(entry, lost - 1);
    const auto again = publisher_.buildMessage(entry);
    ASSERT_TRUE(again.has_direct_state());
    EXPECT_EQ(again.direct_state().sequence(), lost);
}

TEST_F(StatePublisherTest, EntryWithoutAcknowledgementGetsWholeStates)
{
    publisher_.onStateAcknowledged(entry, 0);
    EXPECT_TRUE(publisher_.buildMessage(entry).has_direct_state());
    EXPECT_TRUE(publisher_.buildMessage(entry).has_direct_state());
}

class ReportedEngines : public test::Calls
{
protected:
    ReportedEngines()
    {
        for (const auto &[id, address] : {std::pair("e-1", addressOne), std::pair("e-2", addressTwo)}) {
            calls_.applyEndpoint(test::makeEndpoint(id, test::engineService, address), now_);
            calls_.applyState(address, makeReportedState(id, {"a", "b"}), now_);
        }
        takeActions<SendDemand>();
    }
    static wire::DirectState makeReportedState(const std::string &id, const std::vector<std::string> &adapters)
    {
        auto state = makeState(adapters);
        state.set_sequence(7);
        state.set_endpoint_id(id);
        state.set_interval_ms(250);
        return state;
    }
    void sendHeartbeat(const std::string &address, std::uint64_t sequence = 7)
    {
        wire::DirectHeartbeat heartbeat;
        heartbeat.set_state_sequence(sequence);
        calls_.applyHeartbeat(address, heartbeat, now_);
    }
    /// Ids of the engines that receive the next calls.
    std::set<std::string> chosen()
    {
        std::set<std::string> ids;
        for (int i = 0; i < 24; ++i) {
            startCall("/s/x", i % 2 == 0 ? "a" : "b");
            for (const auto &send : takeActions<SendCall>()) {
                ids.insert(send.endpointId);
            }
        }
        return ids;
    }
};

TEST_F(ReportedEngines, HeartbeatsKeepAStateAlive)
{
    for (int i = 0; i < 20; ++i) {
        advance(Milliseconds(250));
        sendHeartbeat(addressOne);
        sendHeartbeat(addressTwo);
    }
    EXPECT_EQ(chosen(), (std::set<std::string>{"e-1", "e-2"}));
}

// Guards against calls to an engine on a stopped VM, which would read them after resuming, when their callers have
// left.
TEST_F(ReportedEngines, EngineWithSilentSidecarGetsNoCalls)
{
    for (int i = 0; i < 2; ++i) {
        advance(Milliseconds(250));
        sendHeartbeat(addressOne);
    }
    EXPECT_EQ(chosen(), std::set<std::string>{"e-1"});
}

class LostSidecar : public test::Calls
{
};

// Guards against a call that waits for a load which nobody will order, until its next check over a second later.
TEST_F(LostSidecar, WaitingCallIsPlacedAgainWhenItsSidecarIsLost)
{
    addEngine("e-1", addressOne, {"a1"});
    startCall("/s/x", "a2");
    EXPECT_TRUE(takeActions<SendCall>().empty());
    addEngine("e-2", addressTwo, {"a2"});
    calls_.onSidecarLost(addressOne, now_);
    EXPECT_EQ(takeSentCall().endpointId, "e-2");
}

class StoppedEngine : public ReportedEngines
{
protected:
    StoppedEngine()
    {
        auto config = test::makeConfig(2);
        config.routes.front().resumable = true;
        calls_.applyConfig(config, now_);
    }
    /// The sidecar beside the engine of the call is silent, the other one is heard.
    std::vector<SendCall> sendsWhileSilent(const SendCall &sent, Duration span)
    {
        const auto &heard = sent.address == addressOne ? addressTwo : addressOne;
        std::vector<SendCall> sends;
        for (const auto end = now_ + span; now_ < end;) {
            advance(Milliseconds(50));
            sendHeartbeat(heard);
            for (auto &send : takeActions<SendCall>()) {
                sends.push_back(std::move(send));
            }
        }
        return sends;
    }
};

// Guards against callers that wait in vain for an engine on a stopped VM, which goes on with their runs once it has
// resumed.
TEST_F(StoppedEngine, CallWithoutFirstByteIsSentElsewhere)
{
    startCall("/s/x", "a");
    const auto first = takeSentCall();
    const auto sends = sendsWhileSilent(first, Milliseconds(1600));
    ASSERT_EQ(sends.size(), 1U);
    EXPECT_NE(sends.front().endpointId, first.endpointId);
    EXPECT_EQ(sends.front().attempt, 2U);
}

// Guards against a call that stays open until its deadline: its engine answered in the moment in which the call left
// it.
TEST_F(StoppedEngine, AnswerOfTheEngineThatWasLeftEndsTheCall)
{
    startCall("/s/x", "a");
    const auto first = takeSentCall();
    ASSERT_EQ(sendsWhileSilent(first, Milliseconds(1600)).size(), 1U);
    endAttempt(first, AttemptEnd::Answered);
    const auto ended = calls_.takeEnded();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().outcome, EndedOutcome::Answered);
    EXPECT_EQ(calls_.stats().open, 0U);
}

TEST_F(StoppedEngine, CallWithAFirstByteStays)
{
    startCall("/s/x", "a");
    const auto first = takeSentCall();
    calls_.onAnswerStarted(first.call, first.attempt, now_);
    EXPECT_TRUE(sendsWhileSilent(first, Seconds(3)).empty());
}

// Guards against a second run of a call that must not be repeated.
TEST_F(StoppedEngine, CallThatMustNotBeRepeatedStays)
{
    calls_.applyConfig(test::makeConfig(3), now_);
    startCall("/s/x", "a");
    const auto first = takeSentCall();
    EXPECT_TRUE(sendsWhileSilent(first, Seconds(3)).empty());
}

// Guards against a call that leaves an engine which answers it a moment later.
TEST_F(StoppedEngine, CallStaysWhileTheEngineIsOnlySlow)
{
    startCall("/s/x", "a");
    const auto first = takeSentCall();
    for (int i = 0; i < 40; ++i) {
        advance(Milliseconds(50));
        sendHeartbeat(addressOne);
        sendHeartbeat(addressTwo);
    }
    EXPECT_TRUE(takeActions<SendCall>().empty());
}

TEST_F(ReportedEngines, IgnoresHeartbeatOfAnotherState)
{
    for (int i = 0; i < 2; ++i) {
        advance(Milliseconds(250));
        sendHeartbeat(addressOne);
        sendHeartbeat(addressTwo, 8);
    }
    EXPECT_EQ(chosen(), std::set<std::string>{"e-1"});
}

// Guards against a paused entry that takes all sidecars for silent and sends every call to an engine without one.
TEST_F(ReportedEngines, PausedEntryTreatsNoSidecarAsSilent)
{
    auto unconnected = test::makeEndpoint("e-3", test::engineService, "10.0.1.3:80");
    unconnected.models = {test::modelName};
    unconnected.adapters = {{test::modelName, "a", 1}, {test::modelName, "b", 1}};
    calls_.applyEndpoint(unconnected, now_);
    now_ += Milliseconds(1200);
    EXPECT_EQ(chosen(), (std::set<std::string>{"e-1", "e-2", "e-3"}));
}

// Guards against avoiding an engine whose sidecar process has terminated.
TEST_F(ReportedEngines, EngineWithTerminatedSidecarKeepsItsCalls)
{
    advance(Milliseconds(250));
    sendHeartbeat(addressOne);
    calls_.onSidecarLost(addressTwo, now_);
    advance(Milliseconds(250));
    sendHeartbeat(addressOne);
    EXPECT_EQ(chosen(), (std::set<std::string>{"e-1", "e-2"}));
}

// Guards against calls to an engine on a stopped VM once the connection to its sidecar has timed out.
TEST_F(ReportedEngines, EngineWithVanishedSidecarGetsNoCalls)
{
    for (int i = 0; i < 3; ++i) {
        advance(Milliseconds(250));
        sendHeartbeat(addressOne);
    }
    calls_.onSidecarLost(addressTwo, now_);
    advance(Milliseconds(250));
    sendHeartbeat(addressOne);
    EXPECT_EQ(chosen(), std::set<std::string>{"e-1"});
    calls_.applyState(addressTwo, test::makeState({"a", "b"}), now_);
    EXPECT_EQ(chosen().count("e-2"), 1U);
}

} // namespace
} // namespace anvilscale

// Endpoints that restart under the same id: state and counters of the old process must not affect the new one.
#include "direct_fixture.h"

namespace anvilscale::test {

class Restarts : public Calls
{
protected:
    static constexpr std::uint64_t firstStartMs = 1'767'883'170'000;
    static constexpr std::uint64_t secondStartMs = firstStartMs + 9000;

    static EndpointRecord recordOf(std::uint64_t startTimeMs, const std::string &id = "e-1",
                                   const std::string &address = "10.0.1.1:80")
    {
        auto record = makeEndpoint(id, engineService, address);
        record.startTimeMs = startTimeMs;
        return record;
    }
    static wire::DirectState stateOf(std::uint64_t startTimeMs, const std::vector<std::string> &adapters,
                                     std::uint64_t sequence = 0)
    {
        auto state = makeState(adapters);
        state.set_endpoint_id("e-1");
        state.set_born(startTimeMs);
        state.set_sequence(sequence);
        return state;
    }
    void applyState(const wire::DirectState &state)
    {
        calls_.applyState("10.0.1.1:80", state, now_);
    }
};

// Guards against calls sent to a restarted engine for an adapter that only its previous process held.
TEST_F(Restarts, AdaptersOfThePreviousProcessAreDiscarded)
{
    calls_.applyEndpoint(recordOf(firstStartMs), now_);
    applyState(stateOf(firstStartMs, {"a1"}));
    EXPECT_TRUE(calls_.applyEndpoint(recordOf(secondStartMs), now_));
    startCall("/s/x", "a1");
    EXPECT_TRUE(takeActions<SendCall>().empty());
    applyState(stateOf(firstStartMs, {"a1"})); // in transit when the engine terminated
    EXPECT_TRUE(takeActions<SendCall>().empty());
    applyState(stateOf(secondStartMs, {"a1"}));
    EXPECT_EQ(takeSentCall().endpointId, "e-1");
}

// Guards against ignoring a restart reported by the sidecar, and against an outdated record that reverts it.
TEST_F(Restarts, AppliesRestartReportedByTheSidecar)
{
    calls_.applyEndpoint(recordOf(firstStartMs), now_);
    applyState(stateOf(firstStartMs, {"a1"}));
    applyState(stateOf(secondStartMs, {}));
    auto late = recordOf(firstStartMs);
    late.models = {modelName};
    late.adapters = {{modelName, "a1", 1}};
    EXPECT_FALSE(calls_.applyEndpoint(late, now_));
    startCall("/s/x", "a1");
    EXPECT_TRUE(takeActions<SendCall>().empty());
}

// Guards against counting broken calls of the previous process against the new one.
TEST_F(Restarts, EndsOfCallsBeforeDoNotCountForTheNewProcess)
{
    calls_.applyEndpoint(recordOf(firstStartMs), now_);
    calls_.applyEndpoint(recordOf(firstStartMs, "e-2", "10.0.1.2:80"), now_);
    applyState(stateOf(firstStartMs, {"a1"}));
    std::vector<SendCall> before;
    for (int i = 0; i < 4; ++i) {
        startCall("/s/x", "a1");
        before.push_back(takeSentCall());
    }
    applyState(stateOf(secondStartMs, {"a1"}));
    for (const auto &send : before) {
        EXPECT_EQ(send.endpointId, "e-1");
        endAttempt(send, AttemptEnd::Broken);
    }
    startCall("/s/x", "a1");
    EXPECT_EQ(takeSentCall().endpointId, "e-1");
}

// Guards against calls that keep waiting for a load that was lost with the previous process.
TEST_F(Restarts, WaitingCallsArePlacedAgain)
{
    calls_.applyEndpoint(recordOf(firstStartMs), now_);
    applyState(stateOf(firstStartMs, {}));
    startCall("/s/x", "a1");
    calls_.applyEndpoint(recordOf(firstStartMs, "e-2", "10.0.1.2:80"), now_);
    calls_.applyState("10.0.1.2:80", makeState({"a1"}), now_);
    EXPECT_TRUE(takeActions<SendCall>().empty()) << "nothing has happened to the engine it waits at";
    calls_.applyEndpoint(recordOf(secondStartMs), now_);
    EXPECT_EQ(takeSentCall().endpointId, "e-2");
}

// Guards against sending a call on an idle connection to the terminated process.
TEST_F(Restarts, KeptConnectionsAreDropped)
{
    calls_.applyEndpoint(recordOf(firstStartMs), now_);
    EXPECT_TRUE(takeActions<DropConnections>().empty());
    calls_.applyEndpoint(recordOf(secondStartMs), now_);
    const auto drops = takeActions<DropConnections>();
    ASSERT_EQ(drops.size(), 1U);
    EXPECT_EQ(drops.front().address, "10.0.1.1:80");
}

// Guards against a record of an unconfigured service that hides the engine at the same address.
TEST_F(Restarts, ARecordOfAnUnknownServiceHidesNoEndpoint)
{
    calls_.applyEndpoint(recordOf(firstStartMs), now_);
    applyState(stateOf(firstStartMs, {"a1"}));
    auto foreign = makeEndpoint("x-1", "nobody's", "10.0.1.1:80");
    foreign.createRevision = 1000;
    foreign.startTimeMs = secondStartMs;
    calls_.applyEndpoint(foreign, now_);
    startCall("/s/x", "a1");
    EXPECT_EQ(takeSentCall().endpointId, "e-1");
    applyState(stateOf(firstStartMs, {"a1", "a2"}));
    startCall("/s/x", "a2");
    EXPECT_EQ(takeSentCall().endpointId, "e-1") << "the sidecar at this address still speaks for the engine";
}

// Guards against calls to a replaced endpoint after a store restore, which creates the new record under a lower
// revision.
TEST_F(Restarts, OfTwoRecordsOfOneAddressTheOneOfTheLaterEraCounts)
{
    auto before = makeEndpoint("e-1", engineService, addressOne);
    before.era = 1;
    before.createRevision = 100;
    auto present = makeEndpoint("e-2", engineService, addressOne);
    present.era = 2;
    present.createRevision = 95;
    calls_.applyEndpoint(before, now_);
    calls_.applyEndpoint(present, now_);
    calls_.applyState(addressOne, makeState({"a1"}), now_);
    startCall("/s/x", "a1");
    EXPECT_EQ(takeSentCall().endpointId, "e-2");
}

// Guards against an endpoint that gets no calls for what it holds because it restarted after its clock was set back:
// its start time is lower than that of its process before.
TEST_F(Restarts, EndpointThatReportsAnEarlierStartIsUsedAgain)
{
    calls_.applyEndpoint(recordOf(secondStartMs), now_);
    applyState(stateOf(secondStartMs, {"a1"}));
    for (int i = 0; i < 20; ++i) {
        now_ += Milliseconds(500);
        calls_.applyEndpoint(recordOf(firstStartMs), now_);
        applyState(stateOf(firstStartMs, {"a2"}));
        calls_.tick(now_);
    }
    takeActions<SendCall>();
    startCall("/s/x", "a2");
    EXPECT_FALSE(takeActions<SendCall>().empty());
}

// Guards against a former process that comes back by what arrives late, after one with an earlier start has replaced
// it: a record read late, and a state that was sent before.
TEST_F(Restarts, ReplacedProcessDoesNotComeBackByLateMessages)
{
    calls_.applyEndpoint(recordOf(secondStartMs), now_);
    applyState(stateOf(secondStartMs, {"a1"}, 7));
    applyState(stateOf(firstStartMs, {"a2"}, 8));
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(calls_.applyEndpoint(recordOf(secondStartMs), now_));
        applyState(stateOf(secondStartMs, {"a1"}, 7));
    }
    startCall("/s/x", "a1");
    EXPECT_TRUE(takeActions<SendCall>().empty());
    startCall("/s/x", "a2");
    EXPECT_EQ(takeSentCall().endpointId, "e-1");
}

// Guards against a late write of an earlier process that takes effect because its start time differs: the sidecar has
// not reported this process.
TEST_F(Restarts, RecordOfAnEarlierStartAloneReplacesNothing)
{
    calls_.applyEndpoint(recordOf(secondStartMs), now_);
    applyState(stateOf(secondStartMs, {"a1"}, 7));
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(calls_.applyEndpoint(recordOf(firstStartMs), now_));
        applyState(stateOf(secondStartMs, {"a1"}, 8));
    }
    startCall("/s/x", "a1");
    EXPECT_EQ(takeSentCall().endpointId, "e-1");
}

// Guards against an endpoint without calls whose clock was set back, set right and set back again between its starts.
TEST_F(Restarts, SeveralClockStepsInARowAreFollowed)
{
    const std::uint64_t starts[] = {secondStartMs, firstStartMs, secondStartMs + 5, firstStartMs - 5, firstStartMs - 9};
    std::uint64_t sequence = 0;
    for (const auto start : starts) {
        const auto adapter = "a" + std::to_string(sequence + 1);
        applyState(stateOf(start, {adapter}, ++sequence));
        calls_.applyEndpoint(recordOf(start), now_);
        applyState(stateOf(start, {adapter}, sequence));
        startCall("/s/x", adapter);
        EXPECT_EQ(takeSentCall().endpointId, "e-1") << adapter;
    }
}

// Guards against an engine that gets no calls because its VM restarted with its clock set back: the connection to the
// sidecar was lost in between, so that no message shows the order of the two processes.
TEST_F(Restarts, EarlierStartIsFollowedOverALostConnection)
{
    for (const bool isRecordFirst : {true, false}) {
        const auto before = isRecordFirst ? secondStartMs : secondStartMs + 9000;
        const auto after = before - 5;
        calls_.applyEndpoint(recordOf(before), now_);
        applyState(stateOf(before, {"a1"}, 9));
        calls_.onSidecarLost("10.0.1.1:80", now_);
        if (isRecordFirst) {
            calls_.applyEndpoint(recordOf(after), now_);
        }
        applyState(stateOf(after, {"a2"}, 3));
        if (!isRecordFirst) {
            calls_.applyEndpoint(recordOf(after), now_);
        }
        applyState(stateOf(after, {"a2"}, 4));
        startCall("/s/x", "a2");
        EXPECT_EQ(takeSentCall().endpointId, "e-1");
    }
}

// Guards against an engine of an unknown version after its clock was set back: its record arrived before the state that
// shows that the record is not a late one.
TEST_F(Restarts, RecordOfAnEarlierStartAppliesOnceTheSidecarAgrees)
{
    calls_.applyEndpoint(recordOf(secondStartMs), now_);
    applyState(stateOf(secondStartMs, {"a1"}, 7));
    auto later = recordOf(firstStartMs);
    later.address = "10.0.1.7:80";
    EXPECT_FALSE(calls_.applyEndpoint(later, now_));
    applyState(stateOf(firstStartMs, {}, 8));
    calls_.applyState("10.0.1.7:80", stateOf(firstStartMs, {"a2"}, 9), now_);
    startCall("/s/x", "a2");
    EXPECT_EQ(takeSentCall().endpointId, "e-1");
}

} // namespace anvilscale::test

// Routing around endpoints that are leaving or paused.
#include "direct_fixture.h"

namespace anvilscale::test {

class Leaving : public Calls
{
protected:
    void addEngines()
    {
        addEngine("e-1", "10.0.1.1:80", {"a1"});
        addEngine("e-2", "10.0.1.2:80", {"a1"});
    }
    void applyLeaving(const std::string &id, std::uint64_t startTimeMs, bool leaving)
    {
        auto record = makeEndpoint(id, engineService, "10.0.1.1:80");
        record.startTimeMs = startTimeMs;
        record.leaving = leaving;
        calls_.applyEndpoint(record, now_);
    }
    wire::DirectState stateOf(const std::string &id, bool leaving)
    {
        auto state = makeState({"a1"});
        state.set_endpoint_id(id);
        state.set_leaving(leaving);
        return state;
    }
    /// Endpoints that receive calls on an adapter that all of them hold.
    std::set<std::string> used()
    {
        std::set<std::string> result;
        for (int i = 0; i < 12; ++i) {
            startCall("/s/x", "a1");
            result.insert(takeSentCall().endpointId);
        }
        return result;
    }
};

// Guards against a delayed write of an older record that makes a leaving endpoint look ready again.
TEST_F(Leaving, ALateRecordDoesNotBringALeavingEndpointBack)
{
    addEngines();
    applyLeaving("e-1", 0, true);
    applyLeaving("e-1", 0, false);
    EXPECT_EQ(used(), std::set<std::string>{"e-2"});
}

TEST_F(Leaving, NextProcessUnderTheIdAcceptsCalls)
{
    addEngines();
    applyLeaving("e-1", 1000, true);
    applyLeaving("e-1", 2000, false);
    auto state = stateOf("e-1", false);
    state.set_born(2000);
    calls_.applyState("10.0.1.1:80", state, now_);
    EXPECT_EQ(used(), (std::set<std::string>{"e-1", "e-2"}));
}

// Guards against calls to a leaving engine while the store is unreachable: its sidecar reports it as well.
TEST_F(Leaving, LeavingStateFromASidecarCounts)
{
    addEngines();
    calls_.applyState("10.0.1.1:80", stateOf("e-1", true), now_);
    EXPECT_EQ(used(), std::set<std::string>{"e-2"});
}

TEST_F(Leaving, WaitingCallsGoElsewhereWhenASidecarReportsLeaving)
{
    addEngine("e-1", "10.0.1.1:80", {});
    startCall("/s/x", "a2");
    EXPECT_TRUE(takeActions<SendCall>().empty());
    addEngine("e-2", "10.0.1.2:80", {"a2"});
    calls_.applyState("10.0.1.1:80", stateOf("e-1", true), now_);
    EXPECT_EQ(takeSentCall().endpointId, "e-2");
}

// Guards against a sidecar's last state of a terminated process that is applied to its successor.
TEST_F(Leaving, IgnoresLeavingStateOfAnotherProcess)
{
    addEngines();
    calls_.applyState("10.0.1.1:80", stateOf("e-before", true), now_);
    EXPECT_EQ(used(), (std::set<std::string>{"e-1", "e-2"}));
}

// Guards against calls to an endpoint that reported in an answer that it is leaving, before the store does.
TEST_F(Leaving, EndpointLeavingByAnswerGetsNoCalls)
{
    addPlainEndpoints();
    calls_.onEndpointNotice("p-1", {true, Duration(0)}, now_);
    for (int i = 0; i < 12; ++i) {
        startCall("/n/x");
        EXPECT_EQ(takeSentCall().endpointId, "p-2");
    }
}

// Guards against an older store record that makes the endpoint look ready again.
TEST_F(Leaving, RecordDoesNotReviveEndpointLeavingByAnswer)
{
    addPlainEndpoints();
    calls_.onEndpointNotice("p-1", {true, Duration(0)}, now_);
    calls_.applyEndpoint(makeEndpoint("p-1", plainService, "10.0.0.1:80"), now_);
    calls_.removeEndpoint("p-1", now_);
    calls_.applyEndpoint(makeEndpoint("p-1", plainService, "10.0.0.1:80"), now_);
    for (int i = 0; i < 12; ++i) {
        startCall("/n/x");
        EXPECT_EQ(takeSentCall().endpointId, "p-2");
    }
}

// Guards against a call that waits for its adapter at a leaving engine and is sent there.
TEST_F(Leaving, WaitingCallsGoElsewhereWhenAnAnswerReportsLeaving)
{
    addEngine("e-1", addressOne, {});
    startCall("/s/x", "a2");
    takeActions<SendCall>();
    addEngine("e-2", addressTwo, {"a2"});
    calls_.onEndpointNotice("e-1", {true, Duration(0)}, now_);
    EXPECT_EQ(takeSentCall().endpointId, "e-2");
}

// Guards against a leaving state that outlives its process and affects the next one under the same id.
TEST_F(Leaving, NextProcessIsNotLeaving)
{
    addEngines();
    applyLeaving("e-1", 1000, false);
    calls_.onEndpointNotice("e-1", {true, Duration(0)}, now_);
    EXPECT_EQ(used(), std::set<std::string>{"e-2"});
    applyLeaving("e-1", 2000, false);
    auto state = stateOf("e-1", false);
    state.set_born(2000);
    calls_.applyState(addressOne, state, now_);
    EXPECT_EQ(used(), (std::set<std::string>{"e-1", "e-2"}));
}

class Pausing : public Leaving
{
};

// Guards against calls to an endpoint that refused one and requested a pause.
TEST_F(Pausing, PausedEndpointGetsNoCalls)
{
    addPlainEndpoints();
    calls_.onEndpointNotice("p-1", {false, Seconds(5)}, now_);
    const auto over = now_ + Seconds(5);
    while (now_ < over) {
        startCall("/n/x");
        const auto send = takeSentCall();
        EXPECT_EQ(send.endpointId, "p-2");
        endAttempt(send, AttemptEnd::Answered);
        advance(Milliseconds(250));
    }
    std::set<std::string> reached;
    for (int i = 0; i < 12; ++i) {
        startCall("/n/x");
        reached.insert(takeSentCall().endpointId);
    }
    EXPECT_EQ(reached, (std::set<std::string>{"p-1", "p-2"}));
}

// Guards against holding or sending a call while all endpoints are paused, and against a wrong retry time.
TEST_F(Pausing, RetryTimeIsTheEndOfTheFirstPause)
{
    addPlainEndpoints();
    calls_.onEndpointNotice("p-1", {false, Milliseconds(1500)}, now_);
    calls_.onEndpointNotice("p-2", {false, Seconds(5)}, now_);
    advance(Milliseconds(300));
    startCall("/n/x");
    const auto refused = takeActions<RefuseCall>();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].status, 503U);
    EXPECT_EQ(refused[0].retryAfter, Milliseconds(1200));
}

// Guards against a call that waits for its adapter and is sent during the pause.
TEST_F(Pausing, WaitingCallsGoElsewhere)
{
    addEngine("e-1", addressOne, {});
    startCall("/s/x", "a2");
    takeActions<SendCall>();
    addEngine("e-2", addressTwo, {"a2"});
    calls_.onEndpointNotice("e-1", {false, Seconds(2)}, now_);
    EXPECT_EQ(takeSentCall().endpointId, "e-2");
}

} // namespace anvilscale::test

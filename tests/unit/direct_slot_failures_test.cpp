// Slots of contended plain endpoints: silent and restarted sidecars, endpoints that leave or restart, late answers.
#include "direct_slots_fixture.h"

namespace anvilscale::test {

// Guards against a silent, frozen or cut-off sidecar, one of an older release, a lost request and a lost answer.
TEST_F(SlotCalls, EntryChoosesItselfIfTheSidecarIsSilentAndAvoidsIt)
{
    makeContended();
    const auto ask = askSlot("/n/x");
    EXPECT_LE(*calls_.nextAnswerCheckAt() - now_, Milliseconds(40));
    checkAnswers();
    const auto actions = calls_.takeActions();
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_TRUE(std::get<ReturnSlot>(actions[0]).message.not_sent()) << "withdrawn";
    EXPECT_TRUE(std::holds_alternative<SendCall>(actions[1]));
    EXPECT_EQ(calls_.stats().slots.timeouts, 1U);
    EXPECT_NE(askSlot().address, ask.address);
    sendCalls(3, Seconds(11));
    EXPECT_EQ(askSlot().address, ask.address) << "asked again after 10 s";
}

// Guards against an entry that loses time with each call where all sidecars are of an older release.
TEST_F(SlotCalls, EntryStopsAskingIfNoSidecarAnswers)
{
    calls_.applyEndpoint(makeEndpoint("e-3", engineService, "10.0.1.3:80"), now_);
    makeContended();
    calls_.applyState("10.0.1.3:80", makeState({"a"}), now_);
    for (int i = 0; i < 3; ++i) {
        askSlot();
        checkAnswers();
        calls_.takeActions();
    }
    startCall("/i/x");
    EXPECT_EQ(takeActions<AskSlot>().size(), 0U);
}

// Guards against an entry that takes its own pause for the silence of a sidecar.
TEST_F(SlotCalls, AnswersAfterAPauseOfTheEntryCount)
{
    makeContended();
    const auto ask = askSlot();
    now_ += Milliseconds(120);
    calls_.checkAnswers(now_);
    EXPECT_EQ(calls_.stats().slots.timeouts, 0U);
    EXPECT_EQ(grant(ask, "p-1").endpointId, "p-1");
}

// Guards against calls that leave the queue at the sidecar because waiting takes longer than an answer.
TEST_F(SlotCalls, QueuedCallWaitsForItsSlot)
{
    makeContended();
    const auto ask = askSlot();
    queue(ask);
    wait(Milliseconds(800));
    EXPECT_TRUE(takeActions<SendCall>().empty());
    EXPECT_EQ(grant(ask, "p-2").endpointId, "p-2");
    EXPECT_EQ(calls_.stats().slots.waits, 1U);
}

// Guards against a queued call that is held for good after its sidecar has stopped.
TEST_F(SlotCalls, QueuedCallIsSentIfNoFurtherAnswerArrives)
{
    makeContended();
    queue(askSlot());
    checkAnswers();
    EXPECT_EQ(takeActions<SendCall>().size(), 1U);
}

// Guards against calls that wait for a sidecar which has restarted, and against returns of leases it does not have.
TEST_F(SlotCalls, SidecarRestartEndsWaitsAndLeases)
{
    makeContended();
    const auto ask = askSlot();
    const auto running = grant(ask, "p-1");
    askSlot();
    calls_.onSidecarLost(ask.address, now_);
    EXPECT_EQ(takeActions<SendCall>().size(), 1U);
    endAttempt(running, AttemptEnd::Answered);
    EXPECT_TRUE(takeActions<ReturnSlot>().empty());
}

// Guards against calls to an endpoint that has left while the call waited.
TEST_F(SlotCalls, SlotOfALeavingEndpointIsReturned)
{
    makeContended();
    const auto ask = askSlot();
    auto leaving = makeEndpoint("p-1", plainService, "10.0.0.1:80");
    leaving.leaving = true;
    calls_.applyEndpoint(leaving, now_);
    answer(ask, "p-1");
    const auto actions = calls_.takeActions();
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_TRUE(std::get<ReturnSlot>(actions[0]).message.not_sent());
    const auto &again = std::get<AskSlot>(actions[1]);
    ASSERT_EQ(again.ask.endpoints_size(), 1);
    EXPECT_EQ(again.ask.endpoints(0).endpoint_id(), "p-2");
}

// Guards against calls that two sidecars have sent to the same slots while entries disagree on the sidecar.
TEST_F(SlotCalls, FullEndpointIsReportedAndAnotherSlotRequested)
{
    makeContended();
    const auto ask = askSlot("/n/x");
    endAttempt(grant(ask, "p-1"), AttemptEnd::Refused, EndpointRefusal::Full);
    const auto actions = calls_.takeActions();
    ASSERT_EQ(actions.size(), 2U);
    const auto &returned = std::get<ReturnSlot>(actions[0]).message;
    EXPECT_TRUE(returned.full());
    EXPECT_TRUE(returned.not_sent());
    EXPECT_FALSE(returned.failed());
    const auto &again = std::get<AskSlot>(actions[1]);
    ASSERT_EQ(again.ask.endpoints_size(), 1);
    EXPECT_EQ(again.ask.endpoints(0).endpoint_id(), "p-2");
    EXPECT_EQ(calls_.stats().retries.of(RetryReason::Refused), 1U) << "within the retry allowance";
}

// Guards against calls that go to an endpoint again which has restarted under them.
TEST_F(SlotCalls, CallAtARestartedEndpointIsReportedAndRunsElsewhere)
{
    makeContended();
    const auto send = grant(askSlot("/i/x"), "p-1");
    auto restarted = makeEndpoint("p-1", plainService, "10.0.0.1:80");
    restarted.startTimeMs = 5;
    calls_.applyEndpoint(restarted, now_);
    calls_.takeActions();
    endAttempt(send, AttemptEnd::Broken);
    const auto actions = calls_.takeActions();
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_TRUE(std::get<ReturnSlot>(actions[0]).message.failed());
    EXPECT_EQ(std::get<AskSlot>(actions[1]).ask.endpoints(0).endpoint_id(), "p-2");
}

// Guards against slots that stay taken until they expire because a late grant is dropped.
TEST_F(SlotCalls, LateGrantIsReturned)
{
    makeContended();
    const auto ask = askSlot();
    checkAnswers();
    EXPECT_EQ(takeActions<SendCall>().size(), 1U);
    answer(ask, "p-1");
    expectReturned(ask, true);
}

// Guards against a repeated answer that ends the lease of a running call or sends it twice.
TEST_F(SlotCalls, DuplicateGrantHasNoEffect)
{
    makeContended();
    const auto ask = askSlot();
    grant(ask, "p-1");
    answer(ask, "p-1");
    EXPECT_TRUE(calls_.takeActions().empty());
}

} // namespace anvilscale::test

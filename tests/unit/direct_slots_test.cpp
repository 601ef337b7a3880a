// Slots of contended plain endpoints: requests of an entry, the calls that use them, and their return.
#include "direct_fixture.h"

namespace anvilscale::test {

namespace {

const std::string sidecarOne = addressOne;
const std::string sidecarTwo = addressTwo;

class SlotCalls : public Calls
{
protected:
    explicit SlotCalls(const DirectCallsInit &settings = init())
        : Calls(settings)
    {
        addPlainEndpoints();
        refreshSidecars();
        measureRuns();
    }
    /// Sidecars report every 250 ms, here for 26 entries.
    void refreshSidecars()
    {
        for (const auto &[id, address] : {std::pair(std::string("e-1"), sidecarOne), {"e-2", sidecarTwo}}) {
            calls_.applyEndpoint(makeEndpoint(id, engineService, address), now_);
            auto state = makeState({"a"});
            state.set_entries(26);
            calls_.applyState(address, state, now_);
        }
    }
    void wait(Duration span)
    {
        for (const auto end = now_ + span; now_ < end;) {
            advance(std::min<Duration>(end - now_, Milliseconds(50)));
            refreshSidecars();
        }
    }
    /// Runs calls of 60 ms, so that the entry knows their duration, and ends contention by a pause.
    void measureRuns()
    {
        for (int i = 0; i < 8; ++i) {
            startCall("/i/x");
            const auto send = takeSentCall();
            now_ += Milliseconds(60);
            calls_.onAnswerStarted(send.call, send.attempt, now_);
            endAttempt(send, AttemptEnd::Answered);
            wait(Seconds(2));
        }
        calls_.takeActions();
    }
    /// Sends calls at this rate, answering requests for slots, until it is the average rate.
    void sendCalls(double callsPerSecond, Duration span)
    {
        for (const auto end = now_ + span; now_ < end; wait(fromMilliseconds(1000 / callsPerSecond))) {
            startCall("/i/x");
            calls_.takeActions();
            calls_.onCallerGone(CallHandle{lastCall_}, now_);
        }
        calls_.takeActions();
    }
    /// 3 calls per second from each of 26 entries: 0.59 of the 8 slots.
    void makeContended()
    {
        sendCalls(3, Seconds(15));
    }
    AskSlot askSlot(const std::string &path = "/i/x", Duration callerTimeout = Milliseconds(1500))
    {
        startCall(path, "", callerTimeout);
        return takeAsk();
    }
    AskSlot takeAsk()
    {
        const auto asks = takeActions<AskSlot>();
        EXPECT_EQ(asks.size(), 1U);
        return asks.empty() ? AskSlot{} : asks.front();
    }
    void answer(const AskSlot &ask, const std::string &endpointId, Duration retryAfter = Duration(0))
    {
        wire::SlotAnswer message;
        message.set_call(ask.ask.call());
        message.set_endpoint_id(endpointId);
        message.set_retry_after_us(static_cast<std::uint64_t>(toMilliseconds(retryAfter)) * 1000);
        calls_.onSlotAnswer(ask.address, message, now_);
    }
    void queue(const AskSlot &ask)
    {
        wire::SlotAnswer message;
        message.set_call(ask.ask.call());
        message.set_queued(true);
        calls_.onSlotAnswer(ask.address, message, now_);
    }
    SendCall grant(const AskSlot &ask, const std::string &endpointId)
    {
        answer(ask, endpointId);
        return takeSentCall();
    }
    void expectReturned(const AskSlot &ask, bool notSent)
    {
        const auto returns = takeActions<ReturnSlot>();
        ASSERT_EQ(returns.size(), 1U);
        EXPECT_EQ(returns[0].address, ask.address);
        EXPECT_EQ(returns[0].message.call(), ask.ask.call());
        EXPECT_EQ(returns[0].message.not_sent(), notSent);
    }
    void checkAnswers()
    {
        now_ = calls_.nextSlotCheckAt().value_or(now_);
        calls_.checkSlotAnswers(now_);
    }
};

// Guards against messages and waits where endpoints are not contended.
TEST_F(SlotCalls, UncontendedServiceRequestsNoSlots)
{
    sendCalls(0.8, Seconds(20)); // 0.16 of the slots
    startCall("/i/x");
    const auto actions = calls_.takeActions();
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<SendCall>(actions[0]));
    EXPECT_EQ(calls_.stats().slots.asks, 0U);
}

// Guards against a service that changes between both ways of choosing with each call.
TEST_F(SlotCalls, ContentionEndsBelowALowerDemandThanItStarts)
{
    makeContended();
    EXPECT_EQ(calls_.stats().slots.contendedServices, 1U);
    sendCalls(1.3, Seconds(20)); // 0.25 of the slots
    EXPECT_EQ(calls_.stats().slots.contendedServices, 1U);
    sendCalls(0.7, Seconds(30)); // 0.14 of the slots
    EXPECT_EQ(calls_.stats().slots.contendedServices, 0U);
}

// Guards against a request without the times that the sidecar decides by.
TEST_F(SlotCalls, RequestStatesWhatTheCallCanWaitFor)
{
    makeContended();
    const auto ask = askSlot().ask;
    EXPECT_EQ(ask.service(), plainService);
    ASSERT_EQ(ask.endpoints_size(), 2);
    EXPECT_EQ(ask.endpoints(0).slots(), 4U);
    EXPECT_EQ(ask.wait_us(), 940'000U) << "the rest of the objective minus the run time";
    EXPECT_EQ(ask.failure_us(), 1'500'000U);
    EXPECT_EQ(ask.limit_us(), 1'500'000U);
}

// Guards against calls of all entries that meet at one endpoint because each entry counts its own calls only.
TEST_F(SlotCalls, CallGoesToTheEndpointThatTheSidecarSelects)
{
    makeContended();
    for (const auto *id : {"p-1", "p-2", "p-1", "p-1"}) {
        const auto ask = askSlot();
        const auto send = grant(ask, id);
        EXPECT_EQ(send.endpointId, id);
        now_ += Milliseconds(60);
        endAttempt(send, AttemptEnd::Answered);
        const auto returns = takeActions<ReturnSlot>();
        ASSERT_EQ(returns.size(), 1U);
        EXPECT_FALSE(returns[0].message.failed());
        EXPECT_EQ(returns[0].message.run_us(), 60'000U);
    }
}

// Guards against failures that no other entry hears of.
TEST_F(SlotCalls, FailedCallIsReported)
{
    makeContended();
    const auto send = grant(askSlot("/n/x"), "p-1");
    endAttempt(send, AttemptEnd::Broken);
    const auto actions = calls_.takeActions();
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_TRUE(std::get<ReturnSlot>(actions[0]).message.failed());
    EXPECT_TRUE(std::holds_alternative<AbandonCall>(actions[1])) << "it runs at most once";
}

// Guards against a hung endpoint that looks like one without failures.
TEST_F(SlotCalls, CallWithoutAnAnswerByItsDeadlineIsReportedAsFailed)
{
    makeContended();
    grant(askSlot(), "p-1");
    wait(Milliseconds(1500));
    const auto returns = takeActions<ReturnSlot>();
    ASSERT_EQ(returns.size(), 1U);
    EXPECT_TRUE(returns[0].message.failed());
}

// Guards against a refused call that is held until its deadline, or counted as run.
TEST_F(SlotCalls, RefusedCallIsNotRunAndComesBackWhenASlotIsExpected)
{
    makeContended();
    const auto ask = askSlot("/n/x");
    answer(ask, "", Milliseconds(420));
    const auto actions = calls_.takeActions();
    ASSERT_EQ(actions.size(), 1U);
    const auto &refused = std::get<RefuseCall>(actions[0]);
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(refused.retryAfter, Milliseconds(420));
    EXPECT_EQ(calls_.stats().slots.refusals, 1U);
}

// Guards against a silent, frozen or cut-off sidecar, one of an older release, a lost request and a lost answer.
TEST_F(SlotCalls, EntryChoosesItselfIfTheSidecarIsSilentAndAvoidsIt)
{
    makeContended();
    const auto ask = askSlot("/n/x");
    EXPECT_LE(*calls_.nextSlotCheckAt() - now_, Milliseconds(40));
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
    calls_.checkSlotAnswers(now_);
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

// Guards against slots that are kept for callers who have left.
TEST_F(SlotCalls, SlotIsReturnedWhenTheCallerLeaves)
{
    makeContended();
    const auto waiting = askSlot();
    calls_.onCallerGone(CallHandle{lastCall_}, now_);
    expectReturned(waiting, true);
    const auto running = askSlot();
    grant(running, "p-1");
    calls_.onCallerGone(CallHandle{lastCall_}, now_);
    expectReturned(running, false);
}

// Guards against a call that is held beyond its deadline by a sidecar.
TEST_F(SlotCalls, WaitEndsAtTheDeadline)
{
    makeContended();
    const auto ask = askSlot("/n/x", Milliseconds(100));
    queue(ask);
    wait(Milliseconds(100));
    expectReturned(ask, true);
}

// Guards against calls beyond the rate limit that an endpoint has announced.
TEST_F(SlotCalls, SlotOfAnEndpointWithoutCreditIsReturned)
{
    makeContended();
    EndpointNotice notice;
    notice.requestsPerSecond = 1;
    calls_.onEndpointNotice("p-1", notice, now_);
    const auto ask = askSlot("/n/x");
    answer(ask, "p-1");
    EXPECT_TRUE(takeActions<SendCall>().empty()) << "waits for credit";
    wait(Milliseconds(250));
    const auto returns = takeActions<ReturnSlot>();
    ASSERT_FALSE(returns.empty());
    EXPECT_EQ(returns[0].message.call(), ask.ask.call());
    EXPECT_TRUE(returns[0].message.not_sent());
}

class WithoutSlots : public SlotCalls
{
protected:
    WithoutSlots()
        : SlotCalls(settings())
    {
    }
    static DirectCallsInit settings()
    {
        auto result = init();
        result.policy.disabled.set(static_cast<std::size_t>(Mechanism::SlotLeases));
        return result;
    }
};

// Guards against a mechanism that cannot be switched off.
TEST_F(WithoutSlots, CallsAreSentAtOnce)
{
    makeContended();
    startCall("/i/x");
    takeSentCall();
    EXPECT_EQ(calls_.stats().slots.asks, 0U);
}

} // namespace

} // namespace anvilscale::test

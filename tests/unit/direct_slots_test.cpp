// Slots of contended plain endpoints: requests of an entry, the calls that use them, and their return.
#include "direct/sidecar_selection.h"
#include "direct_slots_fixture.h"

namespace anvilscale::test {

namespace {

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

// Guards against a pause of the entry that the sidecar counts as the run time of an endpoint.
TEST_F(SlotCalls, RunThatSpansAPauseHasNoTime)
{
    makeContended();
    const auto send = grant(askSlot(), "p-1");
    now_ += Seconds(1);
    endAttempt(send, AttemptEnd::Answered);
    const auto returns = takeActions<ReturnSlot>();
    ASSERT_EQ(returns.size(), 1U);
    EXPECT_FALSE(returns[0].message.failed());
    EXPECT_EQ(returns[0].message.run_us(), 0U);
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

// Guards against a request that crashes endpoints and is sent once more because it waited for a slot.
TEST_F(SlotCalls, RequestUnderQuarantineIsNotSent)
{
    makeContended();
    CallInfo info;
    info.requestId = "q";
    info.host = host;
    info.path = "/i/x";
    info.fingerprint = CallFingerprint{7};
    info.callerTimeout = Seconds(1);
    calls_.onCall(CallHandle{++lastCall_}, info, now_);
    const auto ask = takeAsk();
    for (const auto *id : {"p-8", "p-9", "p-10"}) {
        calls_.applyCrashReport({id, 1, {info.fingerprint}}, now_);
    }
    answer(ask, "p-1");
    const auto actions = calls_.takeActions();
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(std::get<RefuseCall>(actions[0]).reason, RefusalReason::RequestQuarantined);
    EXPECT_TRUE(std::get<ReturnSlot>(actions[1]).message.not_sent());
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

class FewListened : public SlotCalls
{
protected:
    FewListened()
        : SlotCalls(settings())
    {
    }
    static DirectCallsInit settings()
    {
        auto result = init();
        result.listening = {1, 0};
        return result;
    }
};

// Guards against entries that request slots from different sidecars because they listen to different engines.
TEST_F(FewListened, SidecarIsOneThatAllEntriesListenTo)
{
    std::string expected = addressOne;
    const auto seed = poolSelectionSeed(allowanceGroup(plainService));
    for (int i = 2; i < 40; ++i) {
        const auto address = "10.0.1." + std::to_string(i) + ":80";
        calls_.applyEndpoint(makeEndpoint("e-" + std::to_string(i), engineService, address), now_);
        expected = hash64(address, seed) < hash64(expected, seed) ? address : expected;
    }
    makeContended();
    const auto addresses = calls_.takeListenedEngines(now_);
    ASSERT_TRUE(addresses);
    for (const auto &address : *addresses) {
        calls_.applyState(address, makeState({"a"}), now_);
    }
    EXPECT_EQ(askSlot().address, expected);
}

} // namespace

} // namespace anvilscale::test

// Calls that arrive at an entry whose process is about to end.
#include "direct_fixture.h"

namespace anvilscale::test {
namespace {

constexpr Duration drainTime = Milliseconds(7400); // from the start of the drain to the end of all calls
constexpr Duration balancerDelay = Milliseconds(2600); // from the start of the drain to the end of the listener
constexpr Duration callTime = Seconds(3);

class DrainingCalls : public Calls
{
protected:
    void passTime(Duration span)
    {
        for (const auto end = now_ + span; now_ < end;) {
            advance(std::min(directTickInterval, end - now_));
        }
    }
    void passTimeUntil(Duration sinceDrain)
    {
        passTime(drainStart_ + sinceDrain - now_);
    }
    void runPlainCalls(Duration span)
    {
        for (int i = 0; i < 6; ++i) {
            startCall("/n/x");
            const auto send = takeSentCall();
            passTime(span);
            calls_.onAnswerStarted(send.call, send.attempt, now_);
            endAttempt(send, AttemptEnd::Answered);
        }
        takeActions<SendDemand>();
    }
    void startDrain()
    {
        drainStart_ = now_;
        calls_.beginDrain(now_ + drainTime, now_);
    }
    void closeListener()
    {
        passTimeUntil(balancerDelay);
        calls_.onListenerClosed(now_);
    }
    void expectSent(const std::string &path, Duration callerTimeout = Seconds(5))
    {
        const auto call = startCall(path, "", callerTimeout);
        const auto actions = calls_.takeActions();
        ASSERT_EQ(actions.size(), 1U);
        EXPECT_TRUE(std::holds_alternative<SendCall>(actions[0])) << path;
        calls_.onCallerGone(call, now_); // leaves the endpoint to the next call
    }
    void expectRefused(const std::string &path)
    {
        startCall(path, "", Seconds(5));
        const auto actions = calls_.takeActions();
        ASSERT_EQ(actions.size(), 1U);
        const auto *refusal = std::get_if<RefuseCall>(&actions[0]);
        ASSERT_NE(refusal, nullptr) << path;
        EXPECT_EQ(refusal->reason, RefusalReason::Leaving);
        EXPECT_EQ(refusal->status, 503U);
        EXPECT_EQ(refusal->retryAfter, leavingRetryAfter);
    }

    TimePoint drainStart_;
};

} // namespace

// Guards against calls that are sent to an endpoint although the process ends before them, so that their outcome is
// unknown, and against the refusal of calls that can end in time.
TEST_F(DrainingCalls, CallsAreSentAsLongAsTheyCanEndInTime)
{
    addPlainEndpoints();
    runPlainCalls(callTime);
    startDrain();
    expectSent("/n/x");
    expectSent("/i/x");
    closeListener();
    passTimeUntil(Milliseconds(4200));
    expectSent("/n/x");
    expectSent("/i/x");
    passTimeUntil(Milliseconds(4400));
    expectRefused("/n/x");
    expectRefused("/i/x");
    passTimeUntil(Milliseconds(7300));
    expectRefused("/n/x");
}

// Guards against a reserve beyond the time that calls need, by which short ones are refused as well.
TEST_F(DrainingCalls, ShortCallsAreSentUntilTheEnd)
{
    addPlainEndpoints();
    runPlainCalls(Milliseconds(100));
    startDrain();
    closeListener();
    passTimeUntil(Milliseconds(7100));
    expectSent("/n/x");
    passTimeUntil(Milliseconds(7350));
    expectRefused("/n/x");
}

// Guards against a call of unknown length that is cut off, and against an entry that refuses all calls at once where it
// has measured none.
TEST_F(DrainingCalls, CallsWithoutMeasuredRunsAreSentWhileTheListenerIsOpen)
{
    addPlainEndpoints();
    startDrain();
    expectSent("/n/x");
    closeListener();
    expectSent("/n/x"); // from the queue of the listener
    passTimeUntil(balancerDelay + Seconds(1));
    expectRefused("/n/x");
    expectRefused("/i/x");
    expectSent("/n/x", Seconds(3)); // ends with its time limit
}

// Guards against calls that are sent although none of their service has ever ended within the grace period.
TEST_F(DrainingCalls, CallsLongerThanTheGracePeriodAreRefusedFromItsStart)
{
    auto config = makeConfig(2);
    for (auto &route : config.routes) {
        route.timeout = Seconds(20);
    }
    calls_.applyConfig(config, now_);
    addEngine("e-1", addressOne, {"a1"});
    runCalls("a1", Seconds(10));
    calls_.applyState(addressOne, makeState({"a1"}), now_);
    startDrain();
    startCall("/s/x", "a1", Seconds(20));
    const auto refused = takeActions<RefuseCall>();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].reason, RefusalReason::Leaving);
}

// Guards against calls that wait until the end of the process although nothing can come of it.
TEST_F(DrainingCalls, WaitingCallsAreRefusedOnceTheyCannotEndInTime)
{
    addEngine("e-1", addressOne, {"a1"});
    runCalls("a1", Milliseconds(2000));
    calls_.applyState(addressOne, makeState({}), now_);
    startDrain();
    passTimeUntil(Milliseconds(4500));
    calls_.applyState(addressOne, makeState({}), now_);
    startCall("/s/x", "a2", Seconds(60));
    EXPECT_TRUE(takeActions<RefuseCall>().empty());
    passTimeUntil(Milliseconds(5500));
    const auto refused = takeActions<RefuseCall>();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].reason, RefusalReason::Leaving);
}

// Guards against a further attempt that begins too late to end, in place of a failure by which the caller may send the
// request again.
TEST_F(DrainingCalls, RetriesThatBeginTooLateAreNotSent)
{
    addPlainEndpoints();
    runPlainCalls(callTime);
    startDrain();
    passTimeUntil(Milliseconds(4200));
    startCall("/i/x", "", Seconds(5));
    const auto send = takeSentCall();
    passTimeUntil(Milliseconds(5000));
    endAttempt(send, AttemptEnd::Broken);
    const auto actions = calls_.takeActions();
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<AbandonCall>(actions[0]));
}

// Guards against calls that are ended at the start of a drain although their endpoints answer in time.
TEST_F(DrainingCalls, CallsAtEndpointsGoOn)
{
    addPlainEndpoints();
    runPlainCalls(callTime);
    startCall("/n/x", "", Seconds(5));
    const auto send = takeSentCall();
    startDrain();
    passTimeUntil(Milliseconds(4900));
    EXPECT_TRUE(calls_.takeActions().empty());
    endAttempt(send, AttemptEnd::Answered);
    const auto ended = calls_.takeEnded();
    ASSERT_FALSE(ended.empty());
    EXPECT_EQ(ended.back().outcome, EndedOutcome::Answered);
}

} // namespace anvilscale::test

// Reading turns at an entry: requests to the sidecars of contended engines, reports to them, and their answers.
#include "direct/wait_forecast.h"
#include "turns_fixture.h"

namespace anvilscale::test {

// Guards against waits for turns where nothing is contended or the sidecar is an older one, and against an engine whose
// speed cannot be measured for lack of reports.
TEST_F(Turns, WithoutABudgetCallsAreSentAndReported)
{
    addEngine("e-1", addressOne, {"a1"});
    for (int i = 0; i < 3; ++i) {
        startCall("/s/x", "a1");
        takeAll();
        ASSERT_EQ(sent_.size(), 1U);
        ASSERT_EQ(requests_.size(), 1U);
        EXPECT_TRUE(requests_.front().sent());
    }
    EXPECT_EQ(calls_.stats().turnRequests, 0U);
}

// Guards against an idle engine that a long prompt may not use.
TEST_F(Turns, PromptBeyondTheBudgetIsSentToAnIdleEngine)
{
    addContended("e-1", addressOne);
    auto state = contendedState();
    state.set_reading_budget(10);
    calls_.applyState(addressOne, state, now_);
    startCall("/s/x", "a1");
    takeAll();
    EXPECT_EQ(sent_.size(), 1U);
}

// Guards against prompts that delay urgent calls and streams since the engine reads them in the order of arrival.
TEST_F(Turns, CallBeyondTheBudgetIsSentOnItsGrant)
{
    addContended("e-1", addressOne);
    const auto request = requestTurn();
    EXPECT_EQ(request.tokens(), 1000U); // the shared part is kept
    EXPECT_EQ(request.slack_us(), 1'000'000U);
    EXPECT_EQ(request.limit_us(), 4'000'000U);
    now_ += Milliseconds(20);
    answer(request, wire::READING_GRANTED);
    ASSERT_EQ(sent_.size(), 1U);
    EXPECT_EQ(sent_.front().call, waiting_);
    EXPECT_TRUE(requests_.empty()) << "granted calls need no further report";
    calls_.onAnswerStarted(sent_.front().call, sent_.front().attempt, now_);
    endAttempt(sent_.front(), AttemptEnd::Answered);
    const auto ended = calls_.takeEnded();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().turnWait, Milliseconds(20));
}

// Guards against work that the sidecar counts although it has been done, and against inexact speeds.
TEST_F(Turns, FirstByteAndEndAreReported)
{
    addEngine("e-1", addressOne, {"a1"});
    startCall("/s/x", "a1");
    takeAll();
    const auto send = sent_.front();
    const auto number = requests_.front().call();
    now_ += Milliseconds(30);
    calls_.onAnswerStarted(send.call, send.attempt, now_);
    takeAll();
    EXPECT_TRUE(ends_.empty()) << "no calls wait at an engine without a budget";
    AttemptResult result;
    result.end = AttemptEnd::Answered;
    result.longestPause = Milliseconds(70);
    now_ += Milliseconds(10);
    calls_.onAttemptEnded(send.call, send.attempt, result, now_);
    advance(directTickInterval);
    takeAll();
    ASSERT_EQ(ends_.size(), 2U);
    EXPECT_EQ(ends_.front().call(), number);
    EXPECT_EQ(ends_.front().stage(), wire::READING_READ);
    EXPECT_EQ(ends_.front().elapsed_us(), 30'000U);
    EXPECT_EQ(ends_.back().stage(), wire::READING_ENDED);
    EXPECT_EQ(ends_.back().longest_pause_us(), 70'000U);
}

// Guards against a turn that is granted a tick too late: the last state may be older than the first waiting call.
TEST_F(Turns, FirstByteIsReportedAtOnceWhereCallsMayWait)
{
    addContended("e-1", addressOne);
    startCall("/s/x", "a1");
    const auto send = takeSentCall();
    calls_.onAnswerStarted(send.call, send.attempt, now_);
    takeAll();
    ASSERT_EQ(ends_.size(), 1U);
    EXPECT_EQ(ends_.front().stage(), wire::READING_READ);
}

// Guards against a pause of the entry that the sidecar counts as the reading time of its engine.
TEST_F(Turns, FirstByteAfterAPauseHasNoTime)
{
    addContended("e-1", addressOne);
    advance(directTickInterval);
    startCall("/s/x", "a1");
    takeAll();
    ASSERT_EQ(sent_.size(), 1U);
    const auto send = sent_.front();
    now_ += Seconds(1);
    calls_.onAnswerStarted(send.call, send.attempt, now_);
    takeAll();
    ASSERT_EQ(ends_.size(), 1U);
    EXPECT_EQ(ends_.front().stage(), wire::READING_READ);
    EXPECT_EQ(ends_.front().elapsed_us(), 0U);
}

// Guards against the eviction of an adapter whose only call waits for a turn.
TEST_F(Turns, WaitingCallKeepsItsAdapterInTheDemand)
{
    addContended("e-1", addressOne);
    auto state = contendedState();
    state.set_unread_tokens(9000); // of other entries
    calls_.applyState(addressOne, state, now_);
    startCall("/s/x", "a1");
    takeTurnRequest();
    ASSERT_EQ(demands_.size(), 1U);
    ASSERT_EQ(demands_.front().wishes_size(), 1);
    EXPECT_EQ(demands_.front().wishes(0).adapter(), "a1");
    EXPECT_EQ(demands_.front().wishes(0).waiting(), 1U);
    EXPECT_EQ(demands_.front().unread_tokens(), 0U) << "the engine does not read it yet";
}

// Guards against calls that all choose the engine where others wait already.
TEST_F(Turns, WaitingCallsCountInTheChoice)
{
    addContended("e-1", addressOne);
    addContended("e-2", addressTwo);
    startCall("/s/x", "a1");
    const auto usual = takeSentCall();
    calls_.onCallerGone(usual.call, now_);
    calls_.applyState(usual.address, contendedState(50'000), now_);
    startCall("/s/x", "a1");
    EXPECT_NE(takeSentCall().endpointId, usual.endpointId);
}

// Guards against refusals of calls in time because of calls that are late and wait behind them.
TEST_F(Turns, CallInTimePassesHalfOfTheQueue)
{
    EndpointEntry entry;
    entry.applyState(contendedState(2000), now_);
    const CallInfo info;
    const ServiceEstimates estimates;
    const DirectPolicy policy;
    ChoiceQuery query;
    query.info = &info;
    query.estimates = &estimates;
    query.policy = &policy;
    const double tokenMs = estimates.reading.msPerToken();
    EXPECT_DOUBLE_EQ(WaitForecast(entry, query, now_).queuedMs(), 1000 * tokenMs);
    entry.turnTokens = 500; // of this entry, part of the reported ones
    EXPECT_DOUBLE_EQ(WaitForecast(entry, query, now_).queuedMs(), 1250 * tokenMs);
    query.canMeetObjective = false;
    EXPECT_DOUBLE_EQ(WaitForecast(entry, query, now_).queuedMs(), 2000 * tokenMs);
}

// Guards against a call that waits for a turn which comes after its caller has left.
TEST_F(Turns, CallWhoseTurnComesTooLateIsRefusedAtOnce)
{
    addContended("e-1", addressOne);
    limitFirstByte(Seconds(2));
    const auto request = requestTurn();
    answer(request, wire::READING_QUEUED, Milliseconds(2500));
    ASSERT_EQ(refused_.size(), 1U);
    EXPECT_EQ(refused_.front().reason, RefusalReason::DeadlineUnreachable);
    EXPECT_EQ(refused_.front().status, 503U);
    EXPECT_GT(refused_.front().retryAfter, Seconds(1));
    EXPECT_TRUE(isWithdrawn(request));
}

// Guards against refusals by a forecast that rests on defaults.
TEST_F(Turns, UnmeasuredForecastRefusesNoCall)
{
    addContended("e-1", addressOne);
    const auto request = requestTurn();
    answer(request, wire::READING_QUEUED, Seconds(5));
    EXPECT_TRUE(refused_.empty());
}

// Guards against calls that move between the queues of contended engines.
TEST_F(Turns, CallAsksAtTwoEnginesAtMost)
{
    const std::map<std::string, std::string> addresses{
        {"e-1", addressOne}, {"e-2", addressTwo}, {"e-3", "10.0.1.3:80"}};
    for (const auto &[id, address] : addresses) {
        addContended(id, address);
        auto state = contendedState();
        state.set_unread_tokens(9000);
        calls_.applyState(address, state, now_);
    }
    startCall("/s/x", "a1");
    const auto first = takeTurnRequest();
    const auto firstAddress = readingsTo_;
    answer(first, wire::READING_REFUSED, Seconds(1), firstAddress);
    ASSERT_EQ(requests_.size(), 1U);
    EXPECT_NE(readingsTo_, firstAddress);
    EXPECT_NE(requests_.front().call(), first.call());
    const auto second = requests_.front();
    answer(second, wire::READING_REFUSED, Seconds(1), readingsTo_);
    EXPECT_TRUE(requests_.empty());
    ASSERT_EQ(refused_.size(), 1U);
    EXPECT_EQ(refused_.front().reason, RefusalReason::DeadlineUnreachable);
}

// Guards against sidecars that cannot compute a budget because they lack the needs of the service's streams.
TEST_F(Turns, PlanListsTheNeedsOfStreams)
{
    auto config = makeConfig(2);
    config.routes.front().pauseLimit = Milliseconds(300);
    auto urgent = makeRoute("/u/", engineService, RepeatRule::Stream);
    urgent.objective = Milliseconds(400);
    config.routes.push_back(urgent);
    calls_.applyConfig(config, now_);
    addEngine("e-1", addressOne, {"a1"});
    advance(directTickInterval);
    takeAll();
    ASSERT_EQ(demands_.size(), 1U);
    EXPECT_EQ(demands_.front().plan().shortest_objective_us(), 400'000U);
    EXPECT_EQ(demands_.front().plan().longest_objective_us(), 1'000'000U);
    EXPECT_EQ(demands_.front().plan().shortest_pause_us(), 300'000U);
}

class WithoutTurns : public Turns
{
protected:
    WithoutTurns()
        : Turns(initWithout(Mechanism::ReadingTurns))
    {
    }
};

// Guards against a mechanism that cannot be switched off, and against the loss of measured speeds with it.
TEST_F(WithoutTurns, CallsAreSentAndReported)
{
    addContended("e-1", addressOne);
    for (int i = 0; i < 3; ++i) {
        startCall("/s/x", "a1");
        takeAll();
        EXPECT_EQ(sent_.size(), 1U);
        EXPECT_EQ(requests_.size(), 1U);
    }
}

} // namespace anvilscale::test

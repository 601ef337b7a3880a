// Reading turns of one engine: budget, order of turns, forecasts and refusals.
#include "reading_fixture.h"

namespace anvilscale::test {

// Guards against short calls of 500 ms that are late behind long prompts with an objective of 2 s.
TEST_F(ReadingQueueTest, UrgentShortPromptsPassLongOnesThatHaveTime)
{
    measureWithDifferentObjectives();
    send({.call = 1});
    request({.call = 2, .slack = Milliseconds(1900), .priority = 1});
    request({.call = 3, .slack = Milliseconds(1900), .priority = 1});
    request({.call = 4, .tokens = shortTokens, .slack = Milliseconds(450)});
    EXPECT_TRUE(has(2, wire::READING_QUEUED));
    EXPECT_EQ(queue_.queuedTokens(), 2 * longTokens + shortTokens);
    finish(1);
    finish(4);
    finish(2);
    finish(3);
    EXPECT_EQ(grants_, (std::vector<std::uint64_t>{4, 2, 3}));
}

// Guards against an order by arrival among calls of one priority: the one with an objective of 2 s makes another late.
TEST_F(ReadingQueueTest, TheEarliestLatestStartIsNextAmongEqualCalls)
{
    measureWithDifferentObjectives();
    send({.call = 1});
    request({.call = 2, .slack = Milliseconds(1900)});
    request({.call = 3, .slack = Milliseconds(700)});
    finish(1);
    EXPECT_EQ(grants_, (std::vector<std::uint64_t>{3}));
}

// Guards against pauses of more than 500 ms: each step of a running stream is delayed while two long prompts are read
// one after the other.
TEST_F(ReadingQueueTest, StreamsGetAGapBetweenTwoLongPrompts)
{
    applyPlan(Milliseconds(800), Milliseconds(1000), Milliseconds(500));
    runPrompts(32, usualTokensPerMs / 1.2, Milliseconds(600));
    ASSERT_NE(queue_.budget(), 0U);
    send({.call = 1, .tokens = shortTokens});
    end(1, wire::READING_READ);
    EXPECT_EQ(state().streams(), 1U);
    request({.call = 2});
    EXPECT_TRUE(isGranted(2)) << "the engine had nothing in prefill";
    request({.call = 3});
    EXPECT_TRUE(has(3, wire::READING_QUEUED));
    advance(Milliseconds(280));
    EXPECT_FALSE(isGranted(3));
    end(2, wire::READING_READ);
    EXPECT_TRUE(isGranted(3));
}

// Guards against an engine that idles because its only prompt is longer than the budget.
TEST_F(ReadingQueueTest, OnePromptIsAlwaysAllowed)
{
    measureWithDifferentObjectives();
    request({.call = 1, .tokens = 10 * longTokens});
    EXPECT_TRUE(isGranted(1));
    EXPECT_EQ(queue_.prefillTokens(), 10 * longTokens);
    request({.call = 2, .tokens = 1});
    EXPECT_TRUE(has(2, wire::READING_QUEUED));
}

// Guards against a second round trip: prompts that fit together get their turns at once.
TEST_F(ReadingQueueTest, TurnsAreGivenAsLongAsTheBudgetPermits)
{
    measureWithDifferentObjectives();
    const auto fitting = queue_.budget() / shortTokens;
    for (std::uint64_t call = 1; call <= fitting + 1; ++call) {
        request({.call = call, .tokens = shortTokens});
    }
    EXPECT_EQ(grants_.size(), fitting);
    EXPECT_TRUE(has(fitting + 1, wire::READING_QUEUED));
}

// Guards against a long prompt that waits for ever behind short ones, which always fit beside each other.
TEST_F(ReadingQueueTest, NoRequestPassesOneThatDoesNotFit)
{
    measureWithDifferentObjectives();
    send({.call = 1, .tokens = shortTokens});
    request({.call = 2});
    request({.call = 3, .tokens = shortTokens, .priority = 1});
    EXPECT_TRUE(has(2, wire::READING_QUEUED));
    EXPECT_TRUE(has(3, wire::READING_QUEUED));
    finish(1);
    EXPECT_EQ(grants_, (std::vector<std::uint64_t>{2}));
}

// Guards against calls that cannot be in time any more and make others late.
TEST_F(ReadingQueueTest, LateCallsWaitBehindThoseInTime)
{
    measureWithDifferentObjectives();
    send({.call = 1});
    request({.call = 2, .slack = Duration(0), .priority = 0});
    request({.call = 3, .slack = Milliseconds(1900), .priority = 3});
    finish(1);
    EXPECT_EQ(grants_, (std::vector<std::uint64_t>{3}));
    finish(3);
    EXPECT_EQ(grants_, (std::vector<std::uint64_t>{3, 2}));
}

// Guards against one limit for engines of different speeds.
TEST_F(ReadingQueueTest, BudgetsFollowTheSpeedOfTheEngine)
{
    measureWithDifferentObjectives(usualTokensPerMs / 0.5);
    EXPECT_NEAR(static_cast<double>(queue_.budget()), 250 * usualTokensPerMs / 0.5, 500);
    runPrompts(64, usualTokensPerMs / 1.2);
    EXPECT_NEAR(static_cast<double>(queue_.budget()), 250 * usualTokensPerMs / 1.2, 500);
}

// Guards against a limit from an unmeasured speed, and against turns where nothing is contended.
TEST_F(ReadingQueueTest, NothingWaitsWithoutContention)
{
    applyPlan(Milliseconds(800), Milliseconds(1000), Milliseconds(500));
    runPrompts(32, usualTokensPerMs, Milliseconds(60));
    EXPECT_EQ(queue_.budget(), 0U);
    EXPECT_EQ(state().reading_budget(), 0U);
    for (std::uint64_t call = 1; call <= 30; ++call) {
        request({.call = call});
        EXPECT_TRUE(isGranted(call));
    }
    EXPECT_EQ(queue_.queuedTokens(), 0U);
}

TEST_F(ReadingQueueTest, NoBudgetBeforeTheSpeedIsMeasured)
{
    applyPlan(Milliseconds(500), Seconds(2), Duration(0));
    runPrompts(8, usualTokensPerMs);
    EXPECT_EQ(queue_.budget(), 0U);
    runPrompts(24, usualTokensPerMs);
    EXPECT_NE(queue_.budget(), 0U);
}

// Guards against a limit from a few streams, and against one that switches on and off because it lowers the share.
TEST_F(ReadingQueueTest, ThePauseLimitAppliesForAMinuteAfterTwentyStreamsHaveShownIt)
{
    applyPlan(Milliseconds(800), Milliseconds(1000), Milliseconds(500));
    runPrompts(64, usualTokensPerMs);
    runPrompts(19, usualTokensPerMs, Milliseconds(600));
    EXPECT_EQ(queue_.budget(), 0U);
    runPrompts(1, usualTokensPerMs, Milliseconds(600));
    ASSERT_NE(queue_.budget(), 0U);
    send({.call = 1});
    request({.call = 2, .slack = Seconds(60), .limit = Seconds(200)});
    ASSERT_TRUE(has(2, wire::READING_QUEUED));
    passTime(Seconds(56), 1);
    EXPECT_TRUE(has(2, wire::READING_QUEUED));
    passTime(Seconds(5), 1);
    EXPECT_EQ(queue_.budget(), 0U);
    EXPECT_TRUE(isGranted(2)) << "all waiting calls get their turn when the limit ends";
}

// Guards against a budget that does not leave time for an event: the time of an event is measured without prefill.
TEST_F(ReadingQueueTest, TheBudgetLeavesTimeForAnEvent)
{
    applyPlan(Milliseconds(800), Milliseconds(1000), Milliseconds(500));
    runPrompts(32, usualTokensPerMs, Milliseconds(40));
    for (int i = 0; i < 40; ++i) {
        // Each stream is disturbed by the prompt of another call.
        send({.call = 1, .tokens = shortTokens});
        end(1, wire::READING_READ);
        send({.call = 2, .tokens = shortTokens});
        end(1, wire::READING_ENDED, Milliseconds(900));
        finish(2);
    }
    EXPECT_NEAR(static_cast<double>(queue_.budget()), (500 - 40) * usualTokensPerMs, 900);
}

// Guards against callers that wait until their deadline for a turn that cannot come.
TEST_F(ReadingQueueTest, ACallThatCannotStartInTimeIsRefusedAtOnce)
{
    measureWithDifferentObjectives();
    send({.call = 1, .tokens = 4 * longTokens});
    request({.call = 2, .limit = Milliseconds(900)});
    EXPECT_TRUE(has(2, wire::READING_REFUSED)) << "four prompts take 960 ms";
    EXPECT_GT(lastAnswers_.at({entryA, 2}).wait_us(), 0U);
    request({.call = 3, .limit = Milliseconds(1100)});
    EXPECT_TRUE(has(3, wire::READING_QUEUED));
    EXPECT_EQ(queue_.queuedTokens(), longTokens);
}

// Guards against refusals of calls that go first after half of their limit.
TEST_F(ReadingQueueTest, ALateCallIsNotRefusedForTheUrgentWorkAheadOfIt)
{
    measureWithDifferentObjectives();
    send({.call = 1});
    for (std::uint64_t call = 2; call <= 15; ++call) {
        request({.call = call});
    }
    request({.call = 16, .slack = Duration(0), .limit = Seconds(3)});
    EXPECT_TRUE(has(16, wire::READING_QUEUED)) << "15 prompts take 3.6 s, and it goes first after 1.5 s";
    request({.call = 17, .slack = Duration(0), .limit = Milliseconds(400)});
    EXPECT_TRUE(has(17, wire::READING_QUEUED)) << "it goes first after 200 ms";
    request({.call = 18, .slack = Duration(0), .limit = Milliseconds(420)});
    EXPECT_TRUE(has(18, wire::READING_REFUSED)) << "so does this one, but after the other";
}

// Guards against a refusal that comes only when the caller has left, after urgent calls have passed the request.
TEST_F(ReadingQueueTest, AWaitingCallIsRefusedWhenItCanNoLongerStart)
{
    measureWithDifferentObjectives();
    send({.call = 1, .tokens = 2 * longTokens});
    request({.call = 2, .limit = Milliseconds(700)});
    ASSERT_TRUE(has(2, wire::READING_QUEUED));
    advance(Milliseconds(50));
    send({.call = 3, .tokens = 2 * longTokens}, entryB);
    EXPECT_TRUE(has(2, wire::READING_REFUSED));
    EXPECT_EQ(queue_.queuedTokens(), 0U);
}

// Guards against entries that send calls without a turn because the expected wait has grown after their request.
TEST_F(ReadingQueueTest, EntriesReceiveALongerExpectedWait)
{
    measureWithDifferentObjectives();
    send({.call = 1});
    request({.call = 2, .priority = 1});
    const auto first = lastAnswers_.at({entryA, 2}).wait_us();
    EXPECT_NEAR(static_cast<double>(first), 1000 * static_cast<double>(longTokens) / usualTokensPerMs, 10000);
    for (std::uint64_t call = 3; call <= 8; ++call) {
        request({.call = call, .tokens = shortTokens}, false, entryB);
    }
    EXPECT_GT(lastAnswers_.at({entryA, 2}).wait_us(), first + 50000);
}

// Guards against an expected wait by tokens: a short call that waits for the end of a long prompt would be sent without
// a turn long before.
TEST_F(ReadingQueueTest, TheExpectedWaitEndsWithAPrompt)
{
    measureWithDifferentObjectives();
    send({.call = 1});
    request({.call = 2, .tokens = shortTokens});
    const auto readUs = 1000 * static_cast<double>(longTokens) / usualTokensPerMs;
    EXPECT_NEAR(static_cast<double>(lastAnswers_.at({entryA, 2}).wait_us()), readUs, 5000);
    advance(Milliseconds(100));
    request({.call = 3, .tokens = shortTokens});
    EXPECT_NEAR(static_cast<double>(lastAnswers_.at({entryA, 3}).wait_us()), readUs - 100'000, 5000);
}

// Guards against work that is counted late: a prompt that was sent counts at once, even beyond the budget.
TEST_F(ReadingQueueTest, PromptsThatWereSentCountAtOnce)
{
    measureWithDifferentObjectives();
    send({.call = 1});
    send({.call = 1}, entryB);
    EXPECT_EQ(queue_.prefillTokens(), 2 * longTokens);
    request({.call = 2, .tokens = shortTokens});
    EXPECT_TRUE(has(2, wire::READING_QUEUED));
}

// Guards against a measurement that depends on this part: it can be switched off by itself.
TEST_F(ReadingQueueTest, SwitchedOffPartsReportNothing)
{
    DirectPolicy policy;
    policy.disabled = *parseMechanisms("reading_turns,engine_speeds");
    ReadingQueue off(policy);
    wire::EnginePlan plan;
    plan.set_shortest_objective_us(500'000);
    plan.set_longest_objective_us(2'000'000);
    off.applyPlan(plan, now_);
    for (std::uint64_t call = 1; call <= 40; ++call) {
        wire::ReadingUpdate update;
        update.add_requests()->set_call(call);
        update.mutable_requests(0)->set_tokens(500 * call);
        off.applyUpdate(entryA, update, now_);
        now_ += Duration(13'000 * call);
        wire::ReadingUpdate read;
        read.add_ends()->set_call(call);
        read.mutable_ends(0)->set_elapsed_us(13'000 * call);
        off.applyUpdate(entryA, read, now_);
    }
    EXPECT_EQ(off.takeAnswers().size(), 40U) << "all are granted at once";
    EXPECT_EQ(off.stats().speedSamples, 40U);
    wire::DirectState state;
    off.addTo(state);
    EXPECT_EQ(state.reading_budget(), 0U);
    EXPECT_EQ(state.read_ns_per_token(), 0U);
    EXPECT_EQ(state.read_base_us(), 0U);
}

} // namespace anvilscale::test

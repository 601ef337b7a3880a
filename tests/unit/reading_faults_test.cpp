// Reading turns and engine speeds under the failures of the design page: lost processes and messages, restarts, other
// releases; and the measurement of an engine whose speed changes.
#include "reading_fixture.h"

namespace anvilscale::test {

// Guards against work that stays counted after its entry was lost with turns and requests.
TEST_F(ReadingQueueTest, PromptsAndRequestsEndWithTheirEntry)
{
    measureWithDifferentObjectives();
    request({.call = 1}, false, entryB);
    request({.call = 2}, false, entryB);
    request({.call = 3});
    ASSERT_TRUE(isGranted(1, entryB));
    queue_.onPeerLost(entryB, now_);
    EXPECT_EQ(queue_.prefillTokens(), longTokens);
    advance(Duration(0));
    EXPECT_TRUE(isGranted(3));
    EXPECT_EQ(queue_.queuedTokens(), 0U);
}

// Guards against an engine that stays closed because an entry was frozen, or the end of a prompt was lost.
TEST_F(ReadingQueueTest, APromptWithoutAnEndExpires)
{
    measureWithDifferentObjectives();
    request({.call = 1}, false, entryB);
    request({.call = 2});
    const auto readTime = fromMilliseconds(static_cast<double>(longTokens) / usualTokensPerMs);
    advance(3 * readTime + Milliseconds(280));
    EXPECT_FALSE(isGranted(2));
    advance(Milliseconds(40));
    EXPECT_TRUE(isGranted(2));
    EXPECT_EQ(queue_.stats().expired, 1U);
    end(1, wire::READING_READ, Seconds(1), entryB);
    EXPECT_EQ(state().streams(), 1U) << "the report was late, and the stream runs";
    EXPECT_EQ(queue_.prefillTokens(), longTokens);
}

// Guards against an entry that never receives an answer: it repeats its request, or sends the call without a turn.
TEST_F(ReadingQueueTest, ALostAnswerIsReplacedByALaterMessage)
{
    measureWithDifferentObjectives();
    send({.call = 1});
    request({.call = 2});
    lastAnswers_.clear();
    request({.call = 2});
    EXPECT_TRUE(has(2, wire::READING_QUEUED));
    EXPECT_EQ(queue_.queuedTokens(), longTokens) << "the request counts once";
    send({.call = 2});
    EXPECT_EQ(queue_.queuedTokens(), 0U);
    EXPECT_EQ(queue_.prefillTokens(), 2 * longTokens);
}

// Guards against turns that stay reserved for calls that are not sent.
TEST_F(ReadingQueueTest, AWithdrawnTurnIsFree)
{
    measureWithDifferentObjectives();
    request({.call = 1});
    request({.call = 2});
    request({.call = 3});
    end(2, wire::READING_WITHDRAWN);
    end(1, wire::READING_WITHDRAWN);
    EXPECT_EQ(grants_, (std::vector<std::uint64_t>{1, 3}));
}

// Guards against a restarted sidecar that counts an engine as idle: entries report their running prompts again.
TEST_F(ReadingQueueTest, AnEmptyQueueAcceptsReportsOfRunningPrompts)
{
    end(7, wire::READING_READ, Milliseconds(200));
    end(8, wire::READING_ENDED, Milliseconds(200));
    EXPECT_EQ(state().streams(), 0U) << "calls from before the restart are not known";
    send({.call = 9});
    EXPECT_EQ(queue_.prefillTokens(), longTokens);
    request({.call = 10});
    EXPECT_TRUE(isGranted(10)) << "no limit before the speed is measured again";
}

// Guards against a wrong speed after a restart of the sidecar: what ran beside a prompt before it was reported again is
// not known.
TEST_F(ReadingQueueTest, APromptFromBeforeTheRestartIsNoSampleOfTheSpeed)
{
    send({.call = 1});
    advance(Milliseconds(100));
    end(1, wire::READING_READ, Milliseconds(900));
    EXPECT_EQ(queue_.stats().speedSamples, 0U);
    send({.call = 2});
    advance(Milliseconds(240));
    end(2, wire::READING_READ, Milliseconds(245));
    EXPECT_EQ(queue_.stats().speedSamples, 1U);
}

// Guards against a prompt that stays in prefill: its sending and its first byte may come in one message, in which the
// ends of other calls go first.
TEST_F(ReadingQueueTest, SendingAndFirstByteMayComeInOneMessage)
{
    measureWithDifferentObjectives();
    send({.call = 1});
    request({.call = 2});
    wire::ReadingUpdate update;
    update.add_requests()->set_call(2);
    update.mutable_requests(0)->set_tokens(longTokens);
    update.mutable_requests(0)->set_sent(true);
    update.add_ends()->set_call(2);
    update.add_ends()->set_call(1);
    queue_.applyUpdate(entryA, update, now_);
    EXPECT_EQ(queue_.prefillTokens(), 0U);
    EXPECT_EQ(queue_.queuedTokens(), 0U);
    EXPECT_EQ(state().streams(), 2U);
}

// Guards against prompts and streams of an engine that does not exist any more.
TEST_F(ReadingQueueTest, ARestartOfTheEngineEndsItsPromptsAndKeepsItsSpeed)
{
    measureWithDifferentObjectives();
    send({.call = 1});
    end(1, wire::READING_READ);
    send({.call = 2});
    request({.call = 3});
    const auto before = state();
    queue_.onEngineRestarted(now_);
    EXPECT_EQ(queue_.prefillTokens(), 0U);
    EXPECT_EQ(queue_.queuedTokens(), 0U);
    EXPECT_EQ(state().streams(), 0U);
    EXPECT_EQ(state().read_ns_per_token(), before.read_ns_per_token());
    finish(2);
    EXPECT_EQ(queue_.prefillTokens(), 0U);
    request({.call = 4});
    EXPECT_TRUE(isGranted(4));
}

// Guards against work that is counted twice, or below zero, after duplicate and late messages.
TEST_F(ReadingQueueTest, DuplicateAndLateMessagesChangeNothing)
{
    measureWithDifferentObjectives();
    send({.call = 1});
    send({.call = 1});
    EXPECT_EQ(queue_.prefillTokens(), longTokens);
    request({.call = 1});
    EXPECT_TRUE(isGranted(1));
    end(1, wire::READING_READ);
    end(1, wire::READING_READ);
    EXPECT_EQ(state().streams(), 1U);
    send({.call = 1});
    EXPECT_EQ(queue_.prefillTokens(), 0U) << "the prompt has been read already";
    end(1, wire::READING_ENDED);
    end(1, wire::READING_ENDED);
    end(1, wire::READING_READ);
    EXPECT_EQ(state().streams(), 0U);
    EXPECT_EQ(queue_.prefillTokens(), 0U);
}

// Guards against a granted call that counts twice when its entry reports it as sent.
TEST_F(ReadingQueueTest, AGrantedCallThatIsReportedAsSentCountsOnce)
{
    measureWithDifferentObjectives();
    request({.call = 1});
    const auto before = queue_.stats().sentWithoutTurn;
    send({.call = 1});
    EXPECT_EQ(queue_.prefillTokens(), longTokens);
    EXPECT_EQ(queue_.stats().sentWithoutTurn, before);
}

// Guards against an older entry in a mixed fleet: it sends no reports, and its plan has no objectives.
TEST_F(ReadingQueueTest, AnOlderReleaseNeitherEndsNorBeginsTurns)
{
    applyPlan(Duration(0), Duration(0), Duration(0));
    EXPECT_EQ(queue_.budget(), 0U);
    measureWithDifferentObjectives();
    const auto budget = queue_.budget();
    ASSERT_NE(budget, 0U);
    applyPlan(Duration(0), Duration(0), Duration(0));
    EXPECT_EQ(queue_.budget(), budget);
}

// Guards against an entry whose reports of ends are lost for long, and fills the memory of a sidecar.
TEST_F(ReadingQueueTest, TheCallsOfAnEntryAreBounded)
{
    measureWithDifferentObjectives();
    for (std::uint64_t call = 1; call <= 3000; ++call) {
        send({.call = call, .tokens = 1});
    }
    EXPECT_LE(queue_.prefillTokens(), 1100U);
    request({.call = 4000});
    EXPECT_TRUE(isGranted(4000)) << "a call that is not tracked must not wait for a turn";
    request({.call = 1}, false, entryB);
    EXPECT_FALSE(lastAnswers_.empty()) << "other entries are not affected";
}

// Guards against figures from the time before an engine slowed down, and against ones from disturbed prompts.
TEST_F(ReadingQueueTest, TheSpeedFollowsAnEngineThatSlowsDown)
{
    runPrompts(64, usualTokensPerMs);
    EXPECT_EQ(state().read_ns_per_token(), 26'000U) << "1/38.4 ms, in two digits";
    EXPECT_EQ(state().read_base_us(), 12'000U);
    const auto samples = queue_.stats().speedSamples;
    send({.call = 1});
    send({.call = 2});
    advance(Milliseconds(800));
    end(1, wire::READING_READ, Milliseconds(800));
    send({.call = 2}); // reported again
    advance(Milliseconds(800));
    end(2, wire::READING_READ, Milliseconds(800));
    EXPECT_EQ(queue_.stats().speedSamples, samples) << "the two shared the engine";
    runPrompts(48, usualTokensPerMs / 2);
    EXPECT_EQ(state().read_ns_per_token(), 52'000U);
}

// Guards against a speed that is not measured any more where all short prompts have the same length: the long ones are
// needed for the time per token.
TEST_F(ReadingQueueTest, TheSpeedIsMeasuredFromPromptsOfTwoLengths)
{
    const auto run = [this](int count, double tokensPerMs) {
        for (int i = 0; i < count; ++i) {
            runAlone(i % 4 == 0 ? longTokens : shortTokens, tokensPerMs);
        }
    };
    run(128, usualTokensPerMs);
    EXPECT_EQ(state().read_ns_per_token(), 26'000U);
    run(64, usualTokensPerMs / 2);
    EXPECT_EQ(state().read_ns_per_token(), 52'000U);
}

// Guards against a whole state to every entry for each small change of a measurement.
TEST_F(ReadingQueueTest, SmallChangesOfTheSpeedAreNotReported)
{
    runPrompts(64, usualTokensPerMs);
    const auto before = state();
    for (int i = 0; i < 20; ++i) {
        runPrompts(16, usualTokensPerMs * (i % 2 == 0 ? 0.97 : 1.03));
        EXPECT_EQ(state().read_ns_per_token(), before.read_ns_per_token());
        EXPECT_EQ(state().read_base_us(), before.read_base_us());
    }
}

// Guards against a number of streams that causes a message for each call.
TEST_F(ReadingQueueTest, StreamsAreReportedAsPowersOfTwo)
{
    for (std::uint64_t call = 1; call <= 7; ++call) {
        send({.call = call});
        end(call, wire::READING_READ);
    }
    EXPECT_EQ(state().streams(), 4U);
    for (std::uint64_t call = 1; call <= 4; ++call) {
        end(call, wire::READING_ENDED);
    }
    EXPECT_EQ(state().streams(), 2U);
}

} // namespace anvilscale::test

// Tests of the verdict rule, answer assembler, retry budget and slot view.
#include "routing/answer_assembler.h"
#include "routing/retry_budget.h"
#include "routing/slot_view.h"
#include "routing/verdict.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace anvilscale {
namespace {

using Outcomes = std::vector<AttemptOutcome>;

TEST(Verdict, NotRunNeedsProofForEveryAttempt)
{
    EXPECT_EQ(verdictOf(Outcomes{}, KeyProof::NoKey), Verdict::NotRun);
    EXPECT_EQ(verdictOf(Outcomes{AttemptOutcome::NeverSent, AttemptOutcome::RefusedNotRun}, KeyProof::NoKey),
              Verdict::NotRun);
    EXPECT_EQ(verdictOf(Outcomes{AttemptOutcome::MayHaveRun, AttemptOutcome::RefusedNotRun}, KeyProof::NoKey),
              Verdict::OutcomeUnknown);
    EXPECT_EQ(verdictOf(Outcomes{AttemptOutcome::RanAndFailed}, KeyProof::NoKey), Verdict::Failed);
}

// Guards against a false "not run": an attempt of another entry may have run a call with the same key.
TEST(Verdict, RepeatedKeyNeedsProofFromSlotOwner)
{
    EXPECT_EQ(verdictOf(Outcomes{}, KeyProof::NotProved), Verdict::OutcomeUnknown);
    EXPECT_EQ(verdictOf(Outcomes{AttemptOutcome::RefusedNotRun}, KeyProof::NotProved), Verdict::OutcomeUnknown);
    EXPECT_EQ(verdictOf(Outcomes{AttemptOutcome::RefusedNotRun}, KeyProof::OwnerProved), Verdict::NotRun);
}

RC_GTEST_PROP(Verdict, AnyAttemptThatMayHaveRunRulesOutNotRun, ())
{
    const auto numbers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    Outcomes outcomes;
    bool mayHaveRun = false;
    for (const auto number : numbers) {
        outcomes.push_back(static_cast<AttemptOutcome>(number));
        mayHaveRun = mayHaveRun || outcomes.back() == AttemptOutcome::MayHaveRun
                     || outcomes.back() == AttemptOutcome::RanAndFailed;
    }
    const bool notRun = verdictOf(outcomes, KeyProof::NoKey) == Verdict::NotRun;
    RC_ASSERT(notRun == !mayHaveRun);
}

wire::CallFrame frameOf(std::uint32_t sequence, const std::string &data)
{
    wire::CallFrame frame;
    frame.set_sequence(sequence);
    frame.set_status(sequence == 0 ? 200 : 0);
    frame.set_data(data);
    return frame;
}

// Reordered and duplicate frames must neither reorder nor repeat the bytes that the caller receives.
RC_GTEST_PROP(AnswerAssembler, AnyOrderWithDuplicatesGivesTheAnswerOnce, ())
{
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 12);
    std::vector<std::uint32_t> order;
    Digest digest;
    std::string expected;
    for (std::uint32_t i = 0; i < count; ++i) {
        order.push_back(i);
        digest.add(std::to_string(i));
        expected += std::to_string(i);
    }
    const auto extra = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, count));
    order.insert(order.end(), extra.begin(), extra.end());
    Random random(*rc::gen::inRange<std::uint64_t>(0, 1000));
    for (std::size_t i = order.size(); i > 1; --i) {
        std::swap(order[i - 1], order[random.uniformBelow(i)]);
    }
    AnswerAssembler assembler;
    wire::CallEnd end;
    end.set_frames(count);
    end.set_digest(digest.value());
    const auto endIndex = random.uniformBelow(order.size());
    std::string assembled;
    std::size_t dropped = 0;
    for (std::size_t i = 0; i < order.size(); ++i) {
        if (i == endIndex) {
            assembler.setEnd(end);
        }
        std::vector<wire::CallFrame> ready;
        const auto result = assembler.add(frameOf(order[i], std::to_string(order[i])), ready);
        dropped += result == FrameResult::Dropped ? 1 : 0;
        for (const auto &frame : ready) {
            assembled += frame.data();
        }
    }
    RC_ASSERT(assembled == expected);
    RC_ASSERT(dropped == extra.size());
    RC_ASSERT(assembler.state(true) == AnswerState::Whole);
}

TEST(AnswerAssembler, WrongDigestOrCountIsBroken)
{
    for (const bool wrongCount : {false, true}) {
        AnswerAssembler assembler;
        std::vector<wire::CallFrame> ready;
        assembler.add(frameOf(0, "a"), ready);
        assembler.add(frameOf(1, "b"), ready);
        Digest digest;
        digest.add(wrongCount ? "ab" : "ax");
        wire::CallEnd end;
        end.set_frames(wrongCount ? 1 : 2);
        end.set_digest(digest.value());
        assembler.setEnd(end);
        EXPECT_EQ(assembler.state(true), AnswerState::Broken);
        EXPECT_EQ(assembler.state(false), AnswerState::Whole);
    }
}

// Guards against an invalid status code that reaches a caller by way of a sidecar that does not check it.
TEST(AnswerAssembler, StatusOutsideTheProtocolIsBroken)
{
    for (const std::uint32_t status : {0U, 20U, 99U, 100U, 101U, 199U, 600U, 999U, UINT32_MAX}) {
        AnswerAssembler assembler;
        std::vector<wire::CallFrame> ready;
        auto first = frameOf(0, "a");
        first.set_status(status);
        EXPECT_EQ(assembler.add(first, ready), FrameResult::Dropped) << status;
        EXPECT_EQ(assembler.add(frameOf(1, "b"), ready), FrameResult::Dropped) << status;
        EXPECT_TRUE(ready.empty()) << status;
        Digest digest;
        digest.add("ab");
        wire::CallEnd end;
        end.set_frames(2);
        end.set_digest(digest.value());
        assembler.setEnd(end);
        EXPECT_EQ(assembler.state(true), AnswerState::Broken) << status;
    }
}

TEST(RetryBudget, KeepsRetriesUnderTheShareOfFirstExecutions)
{
    RetryBudget budget;
    TimePoint now{Seconds(1)};
    std::uint32_t takenRetries = 0;
    for (int i = 0; i < 1000; ++i) {
        now += Milliseconds(10);
        budget.countFirst(now);
        takenRetries += budget.take(0.1, now) ? 1 : 0;
    }
    EXPECT_LE(takenRetries, 102U);
    EXPECT_GE(takenRetries, 90U);
    EXPECT_FALSE(budget.take(0.0, now));
}

TEST(SlotView, RefusedSlotHasNoOwnerUntilNewerTable)
{
    SlotView view;
    config::SlotTable table;
    table.set_service("admit");
    table.set_table_revision(1);
    auto &range = *table.add_ranges();
    range.set_first(0);
    range.set_count(8);
    range.set_owner("a");
    range.set_fence(5);
    EXPECT_TRUE(view.applyTable(table));
    EXPECT_EQ(view.owner("admit", 7)->owner, "a");
    EXPECT_FALSE(view.owner("admit", 8));
    view.markNotOwner("admit", 7, 5);
    EXPECT_FALSE(view.owner("admit", 7));
    EXPECT_FALSE(view.applyTable(table));
    table.set_table_revision(2);
    table.mutable_ranges(0)->set_owner("b");
    table.mutable_ranges(0)->set_fence(6);
    EXPECT_TRUE(view.applyTable(table));
    EXPECT_EQ(view.owner("admit", 7)->owner, "b");
}

} // namespace
} // namespace anvilscale

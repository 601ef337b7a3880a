// The parts of an entry's decisions that stand alone: verdict rule, answer assembly, retry budget, slot view.
#include "routing/answer_assembler.h"
#include "routing/retry_budget.h"
#include "routing/slot_view.h"
#include "routing/verdict.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace anvilscale {
namespace {

using Fates = std::vector<AttemptFate>;

TEST(Verdict, NotRunNeedsAProofOfEveryAttempt)
{
    EXPECT_EQ(verdictOf(Fates{}, KeyProof::NoKey), Verdict::NotRun);
    EXPECT_EQ(verdictOf(Fates{AttemptFate::NeverSent, AttemptFate::RefusedNotRun}, KeyProof::NoKey), Verdict::NotRun);
    EXPECT_EQ(verdictOf(Fates{AttemptFate::MayHaveRun, AttemptFate::RefusedNotRun}, KeyProof::NoKey),
              Verdict::OutcomeUnknown);
    EXPECT_EQ(verdictOf(Fates{AttemptFate::RanAndFailed}, KeyProof::NoKey), Verdict::Failed);
}

// The caller repeats a call through another entry after a timeout. The first entry's attempt runs; the second entry
// refuses the repeat before it sends anything. "Not run" would be false: the key was seen elsewhere.
TEST(Verdict, RepeatedKeyIsNotProvedByThisEntryAlone)
{
    EXPECT_EQ(verdictOf(Fates{}, KeyProof::NotProved), Verdict::OutcomeUnknown);
    EXPECT_EQ(verdictOf(Fates{AttemptFate::RefusedNotRun}, KeyProof::NotProved), Verdict::OutcomeUnknown);
    EXPECT_EQ(verdictOf(Fates{AttemptFate::RefusedNotRun}, KeyProof::OwnerProved), Verdict::NotRun);
}

RC_GTEST_PROP(Verdict, AnyAttemptThatMayHaveRunRulesOutNotRun, ())
{
    const auto numbers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    Fates fates;
    bool mayHaveRun = false;
    for (const auto number : numbers) {
        fates.push_back(static_cast<AttemptFate>(number));
        mayHaveRun = mayHaveRun || fates.back() == AttemptFate::MayHaveRun || fates.back() == AttemptFate::RanAndFailed;
    }
    const bool notRun = verdictOf(fates, KeyProof::NoKey) == Verdict::NotRun;
    RC_ASSERT(notRun == !mayHaveRun);
}

wire::CallFrame frameOf(std::uint32_t sequence, const std::string &data)
{
    wire::CallFrame frame;
    frame.set_sequence(sequence);
    frame.set_data(data);
    return frame;
}

// Frames cross on their way and some come twice. The caller must get each byte once and in order, and the answer is
// whole only when the end frame agrees with all of them.
RC_GTEST_PROP(AnswerAssembler, AnyOrderWithDuplicatesGivesTheAnswerOnce, ())
{
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 12);
    std::vector<std::uint32_t> order;
    Digest digest;
    std::string whole;
    for (std::uint32_t i = 0; i < count; ++i) {
        order.push_back(i);
        digest.add(std::to_string(i));
        whole += std::to_string(i);
    }
    const auto extra = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, count));
    order.insert(order.end(), extra.begin(), extra.end());
    Random random(*rc::gen::inRange<std::uint64_t>(0, 1000));
    for (std::size_t i = order.size(); i > 1; --i) {
        std::swap(order[i - 1], order[random.below(i)]);
    }
    AnswerAssembler assembler;
    wire::CallEnd end;
    end.set_frames(count);
    end.set_digest(digest.value());
    const auto endPosition = random.below(order.size());
    std::string got;
    std::size_t dropped = 0;
    for (std::size_t i = 0; i < order.size(); ++i) {
        if (i == endPosition) {
            assembler.end(end);
        }
        std::vector<wire::CallFrame> ready;
        const auto result = assembler.add(frameOf(order[i], std::to_string(order[i])), ready);
        dropped += result == FrameResult::Dropped ? 1 : 0;
        for (const auto &frame : ready) {
            got += frame.data();
        }
    }
    RC_ASSERT(got == whole);
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
        assembler.end(end);
        EXPECT_EQ(assembler.state(true), AnswerState::Broken);
        EXPECT_EQ(assembler.state(false), AnswerState::Whole);
    }
}

TEST(RetryBudget, KeepsRetriesUnderTheShareOfFirstExecutions)
{
    RetryBudget budget;
    TimePoint now{Seconds(1)};
    std::uint32_t taken = 0;
    for (int i = 0; i < 1000; ++i) {
        now += Milliseconds(10);
        budget.countFirst(now);
        taken += budget.take(0.1, now) ? 1 : 0;
    }
    EXPECT_LE(taken, 102U);
    EXPECT_GE(taken, 90U);
    EXPECT_FALSE(budget.take(0.0, now));
}

TEST(SlotView, DisownedSlotWaitsForANewerTable)
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
    EXPECT_TRUE(view.update(table));
    EXPECT_EQ(view.owner("admit", 7)->owner, "a");
    EXPECT_FALSE(view.owner("admit", 8));
    view.disown("admit", 7, 5);
    EXPECT_FALSE(view.owner("admit", 7));
    EXPECT_FALSE(view.update(table));
    table.set_table_revision(2);
    table.mutable_ranges(0)->set_owner("b");
    table.mutable_ranges(0)->set_fence(6);
    EXPECT_TRUE(view.update(table));
    EXPECT_EQ(view.owner("admit", 7)->owner, "b");
}

} // namespace
} // namespace anvilscale

// An entry's decisions: placement, answers, verdicts, retries, slots, and the same rules against the naive version.
#include "routing_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace anvilscale::test {
namespace {

using Fixture = EntryFixture<EntryDecisions>;
const std::string keyText = "018bcfe5-6800-7000-8000-000000000001"; // UUIDv7 stamped 1,700,000,000,000

TEST(Routing, PrefersTheSidecarWhereTheAdapterIsResident)
{
    Fixture fixture;
    for (const auto *name : {"a", "b", "c", "d"}) {
        fixture.hear(fixture.report(name, name == std::string("c") ? std::vector<std::string>{"1"}
                                                                   : std::vector<std::string>{"2"}));
    }
    fixture.call(1);
    ASSERT_EQ(fixture.sent.size(), 1U);
    EXPECT_EQ(fixture.sent[0].sidecar, "c");
    EXPECT_EQ(fixture.sent[0].message.call_request().version(), "1");
    EXPECT_EQ(fixture.sent[0].message.call_request().config_revision(), 1U);
}

TEST(Routing, LeavingAndSuspectSidecarsGetNoNewWork)
{
    Fixture fixture;
    fixture.hear(fixture.report("a", {"1"}));
    fixture.hear(fixture.report("b", {}));
    fixture.member("a", MemberState::Suspect);
    fixture.call(1);
    EXPECT_EQ(fixture.sent.at(0).sidecar, "b");
    fixture.refuse("b", fixture.idOf(0), RefusalReason::Leaving, true);
    EXPECT_EQ(fixture.errors.at(1).verdict, Verdict::NotRun);
    EXPECT_EQ(fixture.errors.at(1).retryAfter, Duration(1'500'000));
    fixture.call(2);
    EXPECT_EQ(fixture.errors.at(2).refusal, RefusalReason::NoEndpoint);
}

// A beat moves the load only. One that does not follow the latest report (a message was lost), or that comes from
// another start of the sidecar, moves nothing: its load may belong to a state that this entry does not know. The entry
// asks for the whole state instead.
TEST(Routing, BeatMovesTheLoadOfTheStartThatWasHeard)
{
    Fixture fixture;
    fixture.hear(fixture.report("a", {"1"}));
    fixture.hear(fixture.report("b", {"1"}));
    fixture.beat("a", 40);
    fixture.asksForFull = 0;
    fixture.call(1);
    EXPECT_EQ(fixture.sent.at(0).sidecar, "b");
    fixture.beat("a", 0);
    fixture.beat("b", 40);
    fixture.call(2);
    EXPECT_EQ(fixture.sent.at(1).sidecar, "a");
    EXPECT_EQ(fixture.asksForFull, 0U);

    fixture.beat("a", 90, 2);
    EXPECT_EQ(fixture.asksForFull, 1U);
    ++fixture.sequences["b"];
    fixture.beat("b", 0);
    EXPECT_EQ(fixture.asksForFull, 2U);
    fixture.call(3);
    EXPECT_EQ(fixture.sent.at(2).sidecar, "a") << "neither beat was taken";
}

// A frame of another sidecar and one of another attempt arrive between the frames of the open attempt, as after a
// retry whose first answer is late. The caller must see its own answer only; the others are counted and dropped.
TEST(Routing, CrossedAndLateFramesAreDropped)
{
    Fixture fixture;
    fixture.hear(fixture.report("a", {"1"}));
    fixture.call(1);
    const auto id = fixture.idOf(0);
    auto late = id;
    late.set_attempt(2);
    auto oldStart = id;
    oldStart.set_entry_incarnation(6);
    fixture.frame("a", id, 0, "one ");
    fixture.frame("b", id, 1, "BAD");
    fixture.frame("a", late, 1, "BAD");
    fixture.frame("a", oldStart, 1, "BAD");
    fixture.frame("a", id, 1, "two");
    fixture.end("a", id, 2, "one two");
    EXPECT_EQ(fixture.bytes[1], "one two");
    EXPECT_EQ(fixture.ends[1], 1);
    EXPECT_EQ(fixture.entry->stats().droppedFrames, 3U);
}

// The sidecar dies after the caller of a stream has seen bytes. A second attempt's bytes behind the first one's would
// make an answer that no execution gave, so the stream ends in an error, and the verdict is unknown.
TEST(Routing, BrokenStreamIsNeverSpliced)
{
    Fixture fixture;
    fixture.hear(fixture.report("a", {"1"}));
    fixture.hear(fixture.report("b", {"1"}));
    fixture.call(1, "", "", true);
    const auto sidecar = fixture.sent.at(0).sidecar;
    fixture.frame(sidecar, fixture.idOf(0), 0, "half");
    fixture.member(sidecar, MemberState::Gone);
    EXPECT_EQ(fixture.sent.size(), 1U);
    EXPECT_EQ(fixture.errors.at(1).verdict, Verdict::OutcomeUnknown);
    EXPECT_EQ(fixture.errors.at(1).failure, FailureReason::SidecarLost);

    EntrySafeguards off;
    off.spliceGuard = false;
    Fixture broken(off);
    broken.hear(broken.report("a", {"1"}));
    broken.hear(broken.report("b", {"1"}));
    broken.call(1, "", "", true);
    const auto first = broken.sent.at(0).sidecar;
    broken.frame(first, broken.idOf(0), 0, "half");
    broken.member(first, MemberState::Gone);
    EXPECT_EQ(broken.sent.size(), 2U) << "without the guard the check above must fail";
}

// Before the caller has seen a byte the same loss costs only time: the answer of the second attempt is whole.
TEST(Routing, LostSidecarBeforeTheFirstByteIsRetried)
{
    Fixture fixture;
    fixture.hear(fixture.report("a", {"1"}));
    fixture.hear(fixture.report("b", {"1"}));
    fixture.call(1);
    const auto first = fixture.sent.at(0).sidecar;
    fixture.frame(first, fixture.idOf(0), 0, "half");
    fixture.member(first, MemberState::Gone);
    ASSERT_EQ(fixture.sent.size(), 2U);
    const auto second = fixture.sent[1].sidecar;
    EXPECT_NE(second, first);
    fixture.frame(second, fixture.idOf(1), 0, "whole");
    fixture.end(second, fixture.idOf(1), 1, "whole");
    EXPECT_EQ(fixture.bytes[1], "whole");
    EXPECT_EQ(fixture.entry->stats().retries.of(RetryReason::SidecarLost), 1U);
}

TEST(Routing, WrongDigestIsNotAnAnswer)
{
    Fixture fixture;
    fixture.hear(fixture.report("a", {"1"}));
    fixture.call(1);
    fixture.frame("a", fixture.idOf(0), 0, "good");
    fixture.end("a", fixture.idOf(0), 1, "evil");
    EXPECT_EQ(fixture.errors.at(1).failure, FailureReason::AnswerIncomplete);
    EXPECT_EQ(fixture.errors.at(1).verdict, Verdict::OutcomeUnknown);
    EXPECT_TRUE(fixture.bytes[1].empty());
}

// An admission is sent to the owner of its slot, which dies without an answer. It may have run: a second attempt could
// charge the airline twice, so there is none and the caller hears "outcome unknown".
TEST(Routing, NonIdempotentCallIsNotRepeatedWhenItMayHaveRun)
{
    Fixture fixture;
    fixture.hear(fixture.report("a", {}));
    fixture.hear(fixture.report("b", {}));
    fixture.slotTable(1, "a", 5);
    fixture.call(1, "count", keyText);
    ASSERT_EQ(fixture.sent.size(), 1U);
    EXPECT_EQ(fixture.sent[0].message.call_request().slot_fence(), 5U);
    fixture.member("a", MemberState::Gone);
    EXPECT_EQ(fixture.sent.size(), 1U);
    EXPECT_EQ(fixture.errors.at(1).verdict, Verdict::OutcomeUnknown);
}

// The slot has moved: the old owner refuses with a proof, the table that names the new one comes a little later. The
// call waits for the table and runs once, at the new owner, under the new fencing number.
TEST(Routing, CallFollowsItsSlotToTheNewOwner)
{
    Fixture fixture;
    fixture.hear(fixture.report("a", {}));
    fixture.hear(fixture.report("b", {}));
    fixture.slotTable(1, "a", 5);
    fixture.call(1, "count", keyText);
    fixture.refuse("a", fixture.idOf(0), RefusalReason::NotSlotOwner, true);
    EXPECT_EQ(fixture.sent.size(), 1U);
    EXPECT_FALSE(fixture.ends.contains(1));
    fixture.slotTable(2, "b", 6);
    ASSERT_EQ(fixture.sent.size(), 2U);
    EXPECT_EQ(fixture.sent[1].sidecar, "b");
    EXPECT_EQ(fixture.sent[1].message.call_request().slot_fence(), 6U);
    EXPECT_EQ(fixture.entry->stats().retries.of(RetryReason::SlotMoved), 1U);
}

// Without an owner nothing is sent. But another entry may have sent the same key before, so that this entry can't
// prove that the admission did not run. Only the owner's word is such a proof.
TEST(Routing, RefusalWithoutTheOwnersWordIsNotNotRun)
{
    Fixture fixture;
    fixture.hear(fixture.report("a", {}));
    fixture.call(1, "count", keyText);
    fixture.advance(Seconds(1));
    EXPECT_EQ(fixture.errors.at(1).refusal, RefusalReason::SlotUnowned);
    EXPECT_EQ(fixture.errors.at(1).verdict, Verdict::OutcomeUnknown);
    fixture.slotTable(1, "a", 5);
    fixture.call(2, "count", keyText);
    fixture.refuse("a", fixture.idOf(0), RefusalReason::KeyFromFuture, true);
    EXPECT_EQ(fixture.errors.at(2).verdict, Verdict::NotRun);
}

// The sidecar knows a newer revision in which the route names version 2. The entry waits for that revision and sends
// the call again at it; the call never runs on version 1.
TEST(Routing, StaleRevisionIsResolvedAgain)
{
    Fixture fixture;
    fixture.hear(fixture.report("a", {"1"}));
    fixture.call(1);
    fixture.refuse("a", fixture.idOf(0), RefusalReason::StaleRevision, true, 2);
    EXPECT_EQ(fixture.sent.size(), 1U);
    config::Delta delta;
    delta.set_revision(2);
    delta.set_change_id("second");
    addRoute(delta, "desk", "2");
    ASSERT_TRUE(fixture.store.apply(delta).has_value());
    fixture.entry->onConfigChanged(fixture.now);
    fixture.collect();
    ASSERT_EQ(fixture.sent.size(), 2U);
    EXPECT_EQ(fixture.sent[1].message.call_request().version(), "2");
    EXPECT_EQ(fixture.sent[1].message.call_request().config_revision(), 2U);
}

TEST(Routing, RetriesStopAtTheBudget)
{
    Fixture fixture;
    for (int i = 0; i < 200; ++i) {
        fixture.hear(fixture.report("a", {"1"}));
        fixture.hear(fixture.report("b", {"1"}));
        fixture.call(static_cast<std::uint64_t>(i) + 1);
        const auto last = fixture.sent.size() - 1;
        fixture.end(fixture.sent[last].sidecar, fixture.idOf(last), 0, "", CallOutcome::Failed,
                    FailureReason::EndpointError);
    }
    EXPECT_LE(fixture.sent.size(), 200U + 22U);
    EXPECT_GE(fixture.sent.size(), 200U + 15U);
    EXPECT_GT(fixture.entry->stats().refusals.of(RefusalReason::RetryBudgetSpent), 0U);
}

// The tests above prove nothing unless they can fail: with its safeguard off, each failure comes back.
TEST(RoutingWithoutSafeguard, WrongDigestPassesAsWhole)
{
    EntrySafeguards off;
    off.digestCheck = false;
    Fixture fixture(off);
    fixture.hear(fixture.report("a", {"1"}));
    fixture.call(1);
    fixture.frame("a", fixture.idOf(0), 0, "good");
    fixture.end("a", fixture.idOf(0), 1, "evil");
    EXPECT_EQ(fixture.bytes[1], "good");
    EXPECT_TRUE(fixture.errors.empty());
}

TEST(RoutingWithoutSafeguard, CrossedFrameReachesTheCaller)
{
    EntrySafeguards off;
    off.frameMatch = false;
    Fixture fixture(off);
    fixture.hear(fixture.report("a", {"1"}));
    fixture.call(1, "", "", true);
    fixture.frame("b", fixture.idOf(0), 1, "BAD");
    EXPECT_EQ(fixture.bytes[1], "BAD");
}

TEST(RoutingWithoutSafeguard, AdmissionIsSentASecondTime)
{
    EntrySafeguards off;
    off.retryOnlySafe = false;
    Fixture fixture(off);
    fixture.hear(fixture.report("a", {}));
    fixture.hear(fixture.report("b", {}));
    fixture.slotTable(1, "a", 5);
    fixture.call(1, "count", keyText);
    fixture.member("a", MemberState::Gone);
    fixture.slotTable(2, "b", 6);
    EXPECT_EQ(fixture.sent.size(), 2U);
}

TEST(RoutingWithoutSafeguard, LostCallIsCalledNotRun)
{
    EntrySafeguards off;
    off.notRunProof = false;
    Fixture fixture(off);
    fixture.hear(fixture.report("a", {}));
    fixture.slotTable(1, "a", 5);
    fixture.call(1, "count", keyText);
    fixture.member("a", MemberState::Gone);
    EXPECT_EQ(fixture.errors.at(1).verdict, Verdict::NotRun);
}

/// Drives both versions through the same random events and checks what must hold at every step.
template<class Entry>
class RandomRun
{
public:
    explicit RandomRun(std::uint64_t seed)
        : random_(seed)
    {
        for (const auto *name : {"a", "b", "c"}) {
            fixture_.hear(fixture_.report(name, {"1"}));
        }
        fixture_.slotTable(1, "a", 5);
    }
    void run()
    {
        for (std::uint64_t step = 0; step < 60; ++step) {
            one(step);
            check();
        }
        fixture_.advance(Seconds(30));
        check();
        for (std::uint64_t call = 1; call <= calls_; ++call) {
            RC_ASSERT(fixture_.ends[call] == 1);
        }
    }

private:
    void one(std::uint64_t step)
    {
        switch (random_.below(8)) {
        case 0:
        case 1:
            fixture_.call(++calls_, random_.below(3) == 0 ? "count" : "", random_.below(2) == 0 ? keyText : "");
            return;
        case 2:
            fixture_.advance(Milliseconds(100) * static_cast<int>(random_.below(30)));
            return;
        case 3:
            fixture_.hear(fixture_.report(std::string(1, static_cast<char>('a' + random_.below(3))), {"1"},
                                          1 + random_.below(2) * step / 20));
            return;
        default:
            answer();
        }
    }
    void answer()
    {
        if (fixture_.sent.empty()) {
            return;
        }
        const auto index = random_.below(fixture_.sent.size());
        const auto id = fixture_.idOf(index);
        const auto sidecar = fixture_.sent[index].sidecar;
        auto &fate = fates_[{id.call(), id.attempt()}];
        if (fate == AttemptKind::Open) {
            fate = static_cast<AttemptKind>(1 + random_.below(3));
        }
        switch (fate) {
        case AttemptKind::Refused:
            fixture_.refuse(sidecar, id, RefusalReason::QueueFull, true);
            return;
        case AttemptKind::NotSent:
            fixture_.entry->onSendFailed(sidecar, id, fixture_.now);
            fixture_.collect();
            return;
        default:
            ran_.insert(id.call());
            answerOfRunning(sidecar, id);
        }
    }
    void answerOfRunning(const std::string &sidecar, const wire::AttemptId &id)
    {
        switch (random_.below(4)) {
        case 0:
            fixture_.frame(sidecar, id, 0, "x");
            return;
        case 1:
            fixture_.end(sidecar, id, 1, "x");
            return;
        case 2:
            fixture_.end(sidecar, id, 0, "", CallOutcome::Failed, FailureReason::EndpointError);
            return;
        default:
            fixture_.refuse(sidecar, id, RefusalReason::KeyTooOld, false);
        }
    }
    void check()
    {
        for (const auto &[call, count] : fixture_.ends) {
            RC_ASSERT(count <= 1);
        }
        for (const auto &[call, data] : fixture_.bytes) {
            RC_ASSERT(data == "x");
        }

        for (const auto &send : fixture_.sent) {
            const auto &request = send.message.call_request();
            RC_ASSERT(request.service() == "count" || (request.adapter() == "lounge" && request.version() == "1"));
        }
        for (const auto &[call, error] : fixture_.errors) {
            const bool saidNotRun = error.verdict == Verdict::NotRun;
            RC_ASSERT(!(saidNotRun && ran_.contains(call)));
        }
    }

    /// What became of an attempt in the test's world; it answers accordingly, more than once and in any order.
    enum class AttemptKind : std::uint8_t {
        Open,
        Refused,
        NotSent,
        Runs,
    };
    EntryFixture<Entry> fixture_;
    Random random_;
    std::map<std::pair<std::uint64_t, std::uint32_t>, AttemptKind> fates_;
    std::uint64_t calls_ = 0;
    std::set<std::uint64_t> ran_; // calls that some endpoint has seen
};

RC_GTEST_PROP(RoutingRandom, ProductKeepsEveryPromise, (std::uint64_t seed))
{
    RandomRun<EntryDecisions>(seed).run();
}

RC_GTEST_PROP(RoutingRandom, NaiveKeepsEveryPromise, (std::uint64_t seed))
{
    RandomRun<NaiveEntryDecisions>(seed).run();
}

// Where a call is sent and how often may differ; which version it runs on and what the caller is told when its one
// attempt ends in a given way may not.
RC_GTEST_PROP(RoutingRandom, ProductAndNaiveAgreeOnVersionAndVerdict, ())
{
    const auto service = *rc::gen::element<std::string>("", "count", "check");
    const auto keyed = service == "count" || *rc::gen::arbitrary<bool>();
    const auto ending = *rc::gen::inRange(0, 5);
    const auto outcomeOf = [&](auto &fixture) {
        fixture.hear(fixture.report("a", {"1"}));
        fixture.slotTable(1, "a", 5);
        fixture.call(1, service, keyed ? keyText : "");
        const auto id = fixture.idOf(0);
        const auto request = fixture.sent.at(0).message.call_request();
        switch (ending) {
        case 0:
            fixture.refuse("a", id, RefusalReason::QueueFull, true);
            break;
        case 1:
            fixture.refuse("a", id, RefusalReason::KeyTooOld, false);
            break;
        case 2:
            fixture.end("a", id, 0, "", CallOutcome::Failed, FailureReason::EndpointError);
            break;
        case 3:
            fixture.member("a", MemberState::Gone);
            break;
        default:
            fixture.advance(Seconds(11));
        }
        return std::tuple(request.adapter(), request.version(), request.slot_fence(), fixture.ends[1],
                          fixture.errors.at(1).verdict);
    };
    EntryFixture<EntryDecisions> product;
    EntryFixture<NaiveEntryDecisions> naive;
    RC_ASSERT(outcomeOf(product) == outcomeOf(naive));
}

} // namespace
} // namespace anvilscale::test

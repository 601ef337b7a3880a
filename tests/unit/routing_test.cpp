// Tests of entry decisions: placement, answers, verdicts, retries and slots, also against the baseline.
#include "routing_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace anvilscale::test {
namespace {

using Fixture = EntryFixture<EntryDecisions>;
const std::string idempotencyKey = "018bcfe5-6800-7000-8000-000000000001"; // UUIDv7 with timestamp 1'700'000'000'000

TEST(Routing, PrefersTheSidecarWhereTheAdapterIsResident)
{
    Fixture fixture;
    for (const auto *name : {"a", "b", "c", "d"}) {
        fixture.receiveReport(fixture.makeReport(name, name == std::string("c") ? std::vector<std::string>{"1"}
                                                                                : std::vector<std::string>{"2"}));
    }
    fixture.startCall(1);
    ASSERT_EQ(fixture.sent.size(), 1U);
    EXPECT_EQ(fixture.sent[0].sidecar, "c");
    EXPECT_EQ(fixture.sent[0].message.call_request().version(), "1");
    EXPECT_EQ(fixture.sent[0].message.call_request().config_revision(), 1U);
}

TEST(Routing, LeavingAndSuspectSidecarsGetNoNewWork)
{
    Fixture fixture;
    fixture.receiveReport(fixture.makeReport("a", {"1"}));
    fixture.receiveReport(fixture.makeReport("b", {}));
    fixture.updateMember("a", MemberState::Suspect);
    fixture.startCall(1);
    EXPECT_EQ(fixture.sent.at(0).sidecar, "b");
    fixture.receiveRefusal("b", fixture.attemptId(0), RefusalReason::Leaving, true);
    EXPECT_EQ(fixture.errors.at(1).verdict, Verdict::NotRun);
    EXPECT_EQ(fixture.errors.at(1).retryAfter, Duration(1'500'000));
    fixture.startCall(2);
    EXPECT_EQ(fixture.errors.at(2).refusal, RefusalReason::NoEndpoint);
}

// Guards against a sidecar that gets no calls because it started after its clock was set back, and against late reports
// of the start before: what membership tells counts, not the greater incarnation.
TEST(Routing, SidecarWithAnEarlierIncarnationIsUsedOnceMembershipTellsSo)
{
    for (const bool wasGone : {false, true}) {
        Fixture fixture;
        Member member;
        member.name = "a";
        member.incarnation = 2000;
        member.state = MemberState::Live;
        fixture.entry->onMember(member, fixture.now);
        fixture.receiveReport(fixture.makeReport("a", {"1"}, 2000));
        fixture.receiveReport(fixture.makeReport("a", {"1"}, 1000));
        fixture.startCall(1);
        ASSERT_EQ(fixture.sent.size(), 1U);
        if (wasGone) {
            member.state = MemberState::Gone;
            fixture.entry->onMember(member, fixture.now);
        }
        member.state = MemberState::Live;
        member.incarnation = 1000;
        member.supersededUntil = wasGone ? 0 : 2000;
        fixture.entry->onMember(member, fixture.now);
        fixture.collectActions();
        fixture.startCall(2);
        EXPECT_EQ(fixture.sent.size(), 1U) << "no report of this start yet";
        fixture.receiveReport(fixture.makeReport("a", {"1"}, 2000));
        fixture.startCall(3);
        EXPECT_EQ(fixture.sent.size(), 1U) << "late report of the start before";
        fixture.receiveReport(fixture.makeReport("a", {"1"}, 1000));
        fixture.startCall(4);
        EXPECT_GE(fixture.sent.size(), 2U);
    }
}

// Guards against applying a beat after a lost message or of another incarnation, whose state the entry does not have.
// The entry requests a full report instead.
TEST(Routing, BeatUpdatesOnlyTheLoadOfTheKnownIncarnation)
{
    Fixture fixture;
    fixture.receiveReport(fixture.makeReport("a", {"1"}));
    fixture.receiveReport(fixture.makeReport("b", {"1"}));
    fixture.receiveBeat("a", 40);
    fixture.fullReportRequests = 0;
    fixture.startCall(1);
    EXPECT_EQ(fixture.sent.at(0).sidecar, "b");
    fixture.receiveBeat("a", 0);
    fixture.receiveBeat("b", 40);
    fixture.startCall(2);
    EXPECT_EQ(fixture.sent.at(1).sidecar, "a");
    EXPECT_EQ(fixture.fullReportRequests, 0U);

    fixture.receiveBeat("a", 90, 2);
    EXPECT_EQ(fixture.fullReportRequests, 1U);
    ++fixture.sequences["b"];
    fixture.receiveBeat("b", 0);
    EXPECT_EQ(fixture.fullReportRequests, 2U);
    fixture.startCall(3);
    EXPECT_EQ(fixture.sent.at(2).sidecar, "a") << "a beat with a gap or of another incarnation was applied";
}

// Frames of another sidecar, attempt or entry incarnation must not reach the caller.
TEST(Routing, CrossedAndLateFramesAreDropped)
{
    Fixture fixture;
    fixture.receiveReport(fixture.makeReport("a", {"1"}));
    fixture.startCall(1);
    const auto id = fixture.attemptId(0);
    auto otherAttempt = id;
    otherAttempt.set_attempt(2);
    auto otherIncarnation = id;
    otherIncarnation.set_entry_incarnation(6);
    fixture.receiveFrame("a", id, 0, "one ");
    fixture.receiveFrame("b", id, 1, "BAD");
    fixture.receiveFrame("a", otherAttempt, 1, "BAD");
    fixture.receiveFrame("a", otherIncarnation, 1, "BAD");
    fixture.receiveFrame("a", id, 1, "two");
    fixture.receiveEnd("a", id, 2, "one two");
    EXPECT_EQ(fixture.answers[1], "one two");
    EXPECT_EQ(fixture.endCounts[1], 1);
    EXPECT_EQ(fixture.entry->stats().droppedFrames, 3U);
}

// Guards against a stream that joins bytes of two executions after its sidecar crashed.
TEST(Routing, BrokenStreamIsNotSpliced)
{
    Fixture fixture;
    fixture.receiveReport(fixture.makeReport("a", {"1"}));
    fixture.receiveReport(fixture.makeReport("b", {"1"}));
    fixture.startCall(1, "", "", true);
    const auto sidecar = fixture.sent.at(0).sidecar;
    fixture.receiveFrame(sidecar, fixture.attemptId(0), 0, "half");
    fixture.updateMember(sidecar, MemberState::Gone);
    EXPECT_EQ(fixture.sent.size(), 1U);
    EXPECT_EQ(fixture.errors.at(1).verdict, Verdict::OutcomeUnknown);
    EXPECT_EQ(fixture.errors.at(1).failure, FailureReason::SidecarLost);

    EntrySafeguards safeguards;
    safeguards.spliceGuard = false;
    Fixture unguarded(safeguards);
    unguarded.receiveReport(unguarded.makeReport("a", {"1"}));
    unguarded.receiveReport(unguarded.makeReport("b", {"1"}));
    unguarded.startCall(1, "", "", true);
    const auto first = unguarded.sent.at(0).sidecar;
    unguarded.receiveFrame(first, unguarded.attemptId(0), 0, "half");
    unguarded.updateMember(first, MemberState::Gone);
    EXPECT_EQ(unguarded.sent.size(), 2U) << "a call without the splice guard was not retried";
}

// A call is retried if its sidecar crashes before the caller has received bytes.
TEST(Routing, LostSidecarBeforeTheFirstByteIsRetried)
{
    Fixture fixture;
    fixture.receiveReport(fixture.makeReport("a", {"1"}));
    fixture.receiveReport(fixture.makeReport("b", {"1"}));
    fixture.startCall(1);
    const auto first = fixture.sent.at(0).sidecar;
    fixture.receiveFrame(first, fixture.attemptId(0), 0, "half");
    fixture.updateMember(first, MemberState::Gone);
    ASSERT_EQ(fixture.sent.size(), 2U);
    const auto second = fixture.sent[1].sidecar;
    EXPECT_NE(second, first);
    fixture.receiveFrame(second, fixture.attemptId(1), 0, "whole");
    fixture.receiveEnd(second, fixture.attemptId(1), 1, "whole");
    EXPECT_EQ(fixture.answers[1], "whole");
    EXPECT_EQ(fixture.entry->stats().retries.of(RetryReason::SidecarLost), 1U);
}

TEST(Routing, AnswerWithWrongDigestFails)
{
    Fixture fixture;
    fixture.receiveReport(fixture.makeReport("a", {"1"}));
    fixture.startCall(1);
    fixture.receiveFrame("a", fixture.attemptId(0), 0, "good");
    fixture.receiveEnd("a", fixture.attemptId(0), 1, "evil");
    EXPECT_EQ(fixture.errors.at(1).failure, FailureReason::AnswerIncomplete);
    EXPECT_EQ(fixture.errors.at(1).verdict, Verdict::OutcomeUnknown);
    EXPECT_TRUE(fixture.answers[1].empty());
}

// Guards against a second execution of an admission after its slot owner crashed without an answer.
TEST(Routing, NonIdempotentCallIsNotRepeatedWhenItMayHaveRun)
{
    Fixture fixture;
    fixture.receiveReport(fixture.makeReport("a", {}));
    fixture.receiveReport(fixture.makeReport("b", {}));
    fixture.updateSlotTable(1, "a", 5);
    fixture.startCall(1, "count", idempotencyKey);
    ASSERT_EQ(fixture.sent.size(), 1U);
    EXPECT_EQ(fixture.sent[0].message.call_request().slot_fence(), 5U);
    fixture.updateMember("a", MemberState::Gone);
    EXPECT_EQ(fixture.sent.size(), 1U);
    EXPECT_EQ(fixture.errors.at(1).verdict, Verdict::OutcomeUnknown);
}

// A call refused by the previous slot owner waits for the newer table, then runs once at the new owner under the new
// fencing number.
TEST(Routing, CallFollowsItsSlotToTheNewOwner)
{
    Fixture fixture;
    fixture.receiveReport(fixture.makeReport("a", {}));
    fixture.receiveReport(fixture.makeReport("b", {}));
    fixture.updateSlotTable(1, "a", 5);
    fixture.startCall(1, "count", idempotencyKey);
    fixture.receiveRefusal("a", fixture.attemptId(0), RefusalReason::NotSlotOwner, true);
    EXPECT_EQ(fixture.sent.size(), 1U);
    EXPECT_FALSE(fixture.endCounts.contains(1));
    fixture.updateSlotTable(2, "b", 6);
    ASSERT_EQ(fixture.sent.size(), 2U);
    EXPECT_EQ(fixture.sent[1].sidecar, "b");
    EXPECT_EQ(fixture.sent[1].message.call_request().slot_fence(), 6U);
    EXPECT_EQ(fixture.entry->stats().retries.of(RetryReason::SlotMoved), 1U);
}

// Guards against a false "not run": another entry may have sent the key, and only the slot owner can rule that out.
TEST(Routing, RefusalWithoutOwnerProofIsOutcomeUnknown)
{
    Fixture fixture;
    fixture.receiveReport(fixture.makeReport("a", {}));
    fixture.startCall(1, "count", idempotencyKey);
    fixture.advance(Seconds(1));
    EXPECT_EQ(fixture.errors.at(1).refusal, RefusalReason::SlotUnowned);
    EXPECT_EQ(fixture.errors.at(1).verdict, Verdict::OutcomeUnknown);
    fixture.updateSlotTable(1, "a", 5);
    fixture.startCall(2, "count", idempotencyKey);
    fixture.receiveRefusal("a", fixture.attemptId(0), RefusalReason::KeyFromFuture, true);
    EXPECT_EQ(fixture.errors.at(2).verdict, Verdict::NotRun);
}

// A call refused for a stale revision must not run on the old version: it is resolved again at the newer revision.
TEST(Routing, StaleRevisionIsResolvedAgain)
{
    Fixture fixture;
    fixture.receiveReport(fixture.makeReport("a", {"1"}));
    fixture.startCall(1);
    fixture.receiveRefusal("a", fixture.attemptId(0), RefusalReason::StaleRevision, true, 2);
    EXPECT_EQ(fixture.sent.size(), 1U);
    config::Delta delta;
    delta.set_revision(2);
    delta.set_change_id("second");
    addRoute(delta, "desk", "2");
    ASSERT_TRUE(fixture.store.apply(delta).has_value());
    fixture.entry->onConfigChanged(fixture.now);
    fixture.collectActions();
    ASSERT_EQ(fixture.sent.size(), 2U);
    EXPECT_EQ(fixture.sent[1].message.call_request().version(), "2");
    EXPECT_EQ(fixture.sent[1].message.call_request().config_revision(), 2U);
}

TEST(Routing, RetriesStopAtTheBudget)
{
    Fixture fixture;
    for (int i = 0; i < 200; ++i) {
        fixture.receiveReport(fixture.makeReport("a", {"1"}));
        fixture.receiveReport(fixture.makeReport("b", {"1"}));
        fixture.startCall(static_cast<std::uint64_t>(i) + 1);
        const auto last = fixture.sent.size() - 1;
        fixture.receiveEnd(fixture.sent[last].sidecar, fixture.attemptId(last), 0, "", CallOutcome::Failed,
                           FailureReason::EndpointError);
    }
    EXPECT_LE(fixture.sent.size(), 200U + 22U);
    EXPECT_GE(fixture.sent.size(), 200U + 15U);
    EXPECT_GT(fixture.entry->stats().refusals.of(RefusalReason::RetryBudgetSpent), 0U);
}

// Verifies that the tests above can fail: each fault reappears once its safeguard is disabled.
TEST(RoutingWithoutSafeguard, WrongDigestPassesAsWhole)
{
    EntrySafeguards safeguards;
    safeguards.digestCheck = false;
    Fixture fixture(safeguards);
    fixture.receiveReport(fixture.makeReport("a", {"1"}));
    fixture.startCall(1);
    fixture.receiveFrame("a", fixture.attemptId(0), 0, "good");
    fixture.receiveEnd("a", fixture.attemptId(0), 1, "evil");
    EXPECT_EQ(fixture.answers[1], "good");
    EXPECT_TRUE(fixture.errors.empty());
}

TEST(RoutingWithoutSafeguard, CrossedFrameReachesTheCaller)
{
    EntrySafeguards safeguards;
    safeguards.frameMatch = false;
    Fixture fixture(safeguards);
    fixture.receiveReport(fixture.makeReport("a", {"1"}));
    fixture.startCall(1, "", "", true);
    fixture.receiveFrame("b", fixture.attemptId(0), 1, "BAD");
    EXPECT_EQ(fixture.answers[1], "BAD");
}

TEST(RoutingWithoutSafeguard, AdmissionIsSentASecondTime)
{
    EntrySafeguards safeguards;
    safeguards.retryOnlySafe = false;
    Fixture fixture(safeguards);
    fixture.receiveReport(fixture.makeReport("a", {}));
    fixture.receiveReport(fixture.makeReport("b", {}));
    fixture.updateSlotTable(1, "a", 5);
    fixture.startCall(1, "count", idempotencyKey);
    fixture.updateMember("a", MemberState::Gone);
    fixture.updateSlotTable(2, "b", 6);
    EXPECT_EQ(fixture.sent.size(), 2U);
}

TEST(RoutingWithoutSafeguard, LostCallIsReportedNotRun)
{
    EntrySafeguards safeguards;
    safeguards.notRunProof = false;
    Fixture fixture(safeguards);
    fixture.receiveReport(fixture.makeReport("a", {}));
    fixture.updateSlotTable(1, "a", 5);
    fixture.startCall(1, "count", idempotencyKey);
    fixture.updateMember("a", MemberState::Gone);
    EXPECT_EQ(fixture.errors.at(1).verdict, Verdict::NotRun);
}

/// Feeds random events to an entry and checks its invariants after every step.
template<class Entry>
class RandomRun
{
public:
    explicit RandomRun(std::uint64_t seed)
        : random_(seed)
    {
        for (const auto *name : {"a", "b", "c"}) {
            fixture_.receiveReport(fixture_.makeReport(name, {"1"}));
        }
        fixture_.updateSlotTable(1, "a", 5);
    }
    void run()
    {
        for (std::uint64_t step = 0; step < 60; ++step) {
            performStep(step);
            checkInvariants();
        }
        fixture_.advance(Seconds(30));
        checkInvariants();
        for (std::uint64_t call = 1; call <= calls_; ++call) {
            RC_ASSERT(fixture_.endCounts[call] == 1);
        }
    }

private:
    void performStep(std::uint64_t step)
    {
        switch (random_.uniformBelow(8)) {
        case 0:
        case 1:
            fixture_.startCall(++calls_, random_.uniformBelow(3) == 0 ? "count" : "",
                               random_.uniformBelow(2) == 0 ? idempotencyKey : "");
            return;
        case 2:
            fixture_.advance(Milliseconds(100) * static_cast<int>(random_.uniformBelow(30)));
            return;
        case 3:
            fixture_.receiveReport(fixture_.makeReport(std::string(1, static_cast<char>('a' + random_.uniformBelow(3))),
                                                       {"1"}, 1 + random_.uniformBelow(2) * step / 20));
            return;
        default:
            sendReply();
        }
    }
    void sendReply()
    {
        if (fixture_.sent.empty()) {
            return;
        }
        const auto index = random_.uniformBelow(fixture_.sent.size());
        const auto id = fixture_.attemptId(index);
        const auto sidecar = fixture_.sent[index].sidecar;
        auto &kind = attemptKinds_[{id.call(), id.attempt()}];
        if (kind == AttemptKind::Open) {
            kind = static_cast<AttemptKind>(1 + random_.uniformBelow(3));
        }
        switch (kind) {
        case AttemptKind::Refused:
            fixture_.receiveRefusal(sidecar, id, RefusalReason::QueueFull, true);
            return;
        case AttemptKind::NotSent:
            fixture_.entry->onSendFailed(sidecar, id, fixture_.now);
            fixture_.collectActions();
            return;
        default:
            executedCalls_.insert(id.call());
            sendReplyOfRunning(sidecar, id);
        }
    }
    void sendReplyOfRunning(const std::string &sidecar, const wire::AttemptId &id)
    {
        switch (random_.uniformBelow(4)) {
        case 0:
            fixture_.receiveFrame(sidecar, id, 0, "x");
            return;
        case 1:
            fixture_.receiveEnd(sidecar, id, 1, "x");
            return;
        case 2:
            fixture_.receiveEnd(sidecar, id, 0, "", CallOutcome::Failed, FailureReason::EndpointError);
            return;
        default:
            fixture_.receiveRefusal(sidecar, id, RefusalReason::KeyTooOld, false);
        }
    }
    void checkInvariants()
    {
        for (const auto &[call, count] : fixture_.endCounts) {
            RC_ASSERT(count <= 1);
        }
        for (const auto &[call, data] : fixture_.answers) {
            RC_ASSERT(data == "x");
        }

        for (const auto &send : fixture_.sent) {
            const auto &request = send.message.call_request();
            RC_ASSERT(request.service() == "count" || (request.adapter() == "lounge" && request.version() == "1"));
        }
        for (const auto &[call, error] : fixture_.errors) {
            const bool isNotRun = error.verdict == Verdict::NotRun;
            RC_ASSERT(!(isNotRun && executedCalls_.contains(call)));
        }
    }

    /// Simulated result of an attempt, which decides its replies. Replies may repeat and arrive in any order.
    enum class AttemptKind : std::uint8_t {
        Open,
        Refused,
        NotSent,
        Runs,
    };
    EntryFixture<Entry> fixture_;
    Random random_;
    std::map<std::pair<std::uint64_t, std::uint32_t>, AttemptKind> attemptKinds_;
    std::uint64_t calls_ = 0;
    std::set<std::uint64_t> executedCalls_; // calls that reached an endpoint
};

RC_GTEST_PROP(RoutingRandom, ProductKeepsInvariants, (std::uint64_t seed))
{
    RandomRun<EntryDecisions>(seed).run();
}

RC_GTEST_PROP(RoutingRandom, NaiveKeepsInvariants, (std::uint64_t seed))
{
    RandomRun<NaiveEntryDecisions>(seed).run();
}

// Product and baseline may differ in placement and retries, but not in the version that runs nor in the verdict.
RC_GTEST_PROP(RoutingRandom, ProductAndNaiveAgreeOnVersionAndVerdict, ())
{
    const auto service = *rc::gen::element<std::string>("", "count", "check");
    const auto hasKey = service == "count" || *rc::gen::arbitrary<bool>();
    const auto attemptEnd = *rc::gen::inRange(0, 5);
    const auto runCall = [&](auto &fixture) {
        fixture.receiveReport(fixture.makeReport("a", {"1"}));
        fixture.updateSlotTable(1, "a", 5);
        fixture.startCall(1, service, hasKey ? idempotencyKey : "");
        const auto id = fixture.attemptId(0);
        const auto request = fixture.sent.at(0).message.call_request();
        switch (attemptEnd) {
        case 0:
            fixture.receiveRefusal("a", id, RefusalReason::QueueFull, true);
            break;
        case 1:
            fixture.receiveRefusal("a", id, RefusalReason::KeyTooOld, false);
            break;
        case 2:
            fixture.receiveEnd("a", id, 0, "", CallOutcome::Failed, FailureReason::EndpointError);
            break;
        case 3:
            fixture.updateMember("a", MemberState::Gone);
            break;
        default:
            fixture.advance(Seconds(11));
        }
        return std::tuple(request.adapter(), request.version(), request.slot_fence(), fixture.endCounts[1],
                          fixture.errors.at(1).verdict);
    };
    EntryFixture<EntryDecisions> product;
    EntryFixture<NaiveEntryDecisions> naive;
    RC_ASSERT(runCall(product) == runCall(naive));
}

} // namespace
} // namespace anvilscale::test

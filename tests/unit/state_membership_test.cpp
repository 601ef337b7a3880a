// Tests of membership from a lagging VM list and direct heartbeats.
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <gtest/gtest.h>

namespace anvilscale {
namespace {

struct MembershipFixture
{
    TimerService timers;
    std::vector<std::string> changes;
    Membership membership{Membership::Init{Timing(), &timers}, [this](const Member &member) {
                              changes.push_back(member.name + " " + std::string(toString(member.state)));
                          }};
    TimePoint time{Seconds(100)};

    Now now() const
    {
        return Now{time, WallTime{0}};
    }
    void run(Duration span, bool withHeartbeats = false)
    {
        const TimePoint end = time + span;
        while (time < end) {
            time += Milliseconds(250);
            timers.advance(time);
            if (withHeartbeats) {
                heartbeat(1);
            }
        }
    }
    void heartbeat(std::uint64_t incarnation, bool leaving = false, std::uint32_t schemaVersion = 2,
                   std::uint64_t sequence = 0)
    {
        wire::Heartbeat message;
        message.mutable_from()->set_name("s1");
        message.mutable_from()->set_incarnation(incarnation);
        message.set_leaving(leaving);
        message.set_schema_version(schemaVersion);
        message.set_sequence(sequence);
        membership.onHeartbeat(message, now());
    }
    void listVm(VmState state)
    {
        membership.onVmList({VmInfo{"s1", VmRole::Sidecar, state, "hall-east", "ub", "127.0.0.1:1"}}, now());
    }
    MemberState state() const
    {
        const auto *member = membership.find("s1");
        return member == nullptr ? MemberState::Count : member->state;
    }
};

wire::Beat beatOf(std::uint64_t incarnation)
{
    wire::Beat message;
    message.set_incarnation_tag(static_cast<std::uint32_t>(incarnation));
    return message;
}

// A short beat must keep only the incarnation of the last full heartbeat alive and must not revive any other.
TEST(Membership, BeatCountsOnlyForIncarnationOfLastHeartbeat)
{
    MembershipFixture fixture;
    fixture.listVm(VmState::Live);
    fixture.membership.onBeat("s1", beatOf(1), fixture.now());
    EXPECT_EQ(fixture.state(), MemberState::Suspect) << "no heartbeat received yet";
    fixture.heartbeat(1);
    EXPECT_EQ(fixture.state(), MemberState::Live);
    for (int i = 0; i < 20; ++i) {
        fixture.run(Milliseconds(500));
        fixture.membership.onBeat("s1", beatOf(1), fixture.now());
        EXPECT_EQ(fixture.state(), MemberState::Live);
    }
    for (int i = 0; i < 8; ++i) {
        fixture.run(Milliseconds(500));
        fixture.membership.onBeat("s1", beatOf(2), fixture.now());
    }
    EXPECT_EQ(fixture.state(), MemberState::Suspect);
    fixture.heartbeat(1, true);
    EXPECT_EQ(fixture.state(), MemberState::Leaving);
    fixture.membership.onBeat("s1", beatOf(1), fixture.now());
    EXPECT_EQ(fixture.state(), MemberState::Leaving);
}

TEST(Membership, HeartbeatMakesLiveAndTimeoutMakesSuspect)
{
    MembershipFixture fixture;
    fixture.listVm(VmState::Live);
    EXPECT_EQ(fixture.state(), MemberState::Suspect) << "listed, but no heartbeat received";
    fixture.heartbeat(1);
    EXPECT_EQ(fixture.state(), MemberState::Live);
    fixture.run(Seconds(4));
    EXPECT_EQ(fixture.state(), MemberState::Suspect);
    fixture.heartbeat(1);
    EXPECT_EQ(fixture.state(), MemberState::Live);
}

// Guards against new work for a leaving process: neither a late heartbeat nor a lagging list may revive its
// incarnation.
TEST(Membership, LeavingIsFinalForIncarnation)
{
    MembershipFixture fixture;
    fixture.listVm(VmState::Live);
    fixture.heartbeat(1);
    fixture.heartbeat(1, true);
    EXPECT_EQ(fixture.state(), MemberState::Leaving);
    fixture.heartbeat(1);
    fixture.listVm(VmState::Live);
    EXPECT_EQ(fixture.state(), MemberState::Leaving);
    fixture.heartbeat(2);
    EXPECT_EQ(fixture.state(), MemberState::Live);
    fixture.heartbeat(1, true);
    EXPECT_EQ(fixture.state(), MemberState::Live) << "late message of an earlier incarnation";
    fixture.listVm(VmState::Live);
    fixture.listVm(VmState::Leaving);
    EXPECT_EQ(fixture.state(), MemberState::Leaving);
    fixture.heartbeat(2);
    EXPECT_EQ(fixture.state(), MemberState::Leaving);
}

// Guards against a process that gets no work for its whole life because it started after its clock was set back: its
// incarnation is lower than that of the process before, which is gone.
TEST(Membership, RestartAfterTheClockWasSetBackIsSeen)
{
    MembershipFixture fixture;
    fixture.listVm(VmState::Live);
    fixture.heartbeat(2000);
    ASSERT_EQ(fixture.state(), MemberState::Live);
    fixture.run(Seconds(10));
    for (int i = 0; i < 20; ++i) {
        fixture.run(Milliseconds(500));
        fixture.heartbeat(1000);
    }
    EXPECT_EQ(fixture.state(), MemberState::Live);
}

// Guards against a former incarnation that comes back by late heartbeats, after one with an earlier clock has replaced
// it: one heartbeat, a burst, the same one again and again, and a drain order.
TEST(Membership, LateHeartbeatsDoNotReviveAFormerIncarnation)
{
    MembershipFixture fixture;
    fixture.listVm(VmState::Live);
    fixture.heartbeat(2000);
    fixture.run(Seconds(10));
    for (int i = 0; i < 20; ++i) {
        fixture.run(Milliseconds(500));
        fixture.heartbeat(1000);
    }
    ASSERT_EQ(fixture.membership.find("s1")->incarnation, 1000U);
    for (int i = 0; i < 50; ++i) {
        fixture.heartbeat(2000);
        fixture.heartbeat(1500);
    }
    wire::DrainOrder order;
    order.mutable_target()->set_name("s1");
    order.mutable_target()->set_incarnation(2000);
    fixture.membership.onDrain(order, fixture.now());
    EXPECT_EQ(fixture.membership.find("s1")->incarnation, 1000U);
    EXPECT_EQ(fixture.state(), MemberState::Live);
    fixture.run(Seconds(4));
    ASSERT_EQ(fixture.state(), MemberState::Suspect);
    for (int i = 0; i < 20; ++i) {
        fixture.run(Milliseconds(500));
        fixture.heartbeat(1500, false, 2, 7);
    }
    EXPECT_EQ(fixture.state(), MemberState::Suspect) << "the same message, duplicated";
    for (int i = 0; i < 20; ++i) {
        fixture.run(Milliseconds(500));
        fixture.heartbeat(2000);
    }
    EXPECT_EQ(fixture.state(), MemberState::Suspect) << "told to leave";
}

// Guards against a late heartbeat that takes the place of a process that is heard: two processes of one name.
TEST(Membership, EarlierIncarnationDoesNotReplaceOneThatIsHeard)
{
    MembershipFixture fixture;
    fixture.heartbeat(2000);
    for (int i = 0; i < 40; ++i) {
        fixture.run(Milliseconds(500));
        fixture.heartbeat(1000);
        fixture.heartbeat(2000);
        EXPECT_EQ(fixture.membership.find("s1")->incarnation, 2000U);
    }
}

// Guards against a process without work for its whole life that started after its clock was set back: the process
// before has announced that it leaves, and the clock has been set back before.
TEST(Membership, ClockStepsInARowAreFollowedAfterLeaving)
{
    MembershipFixture fixture;
    fixture.listVm(VmState::Live);
    fixture.heartbeat(3000);
    fixture.heartbeat(3000, true);
    for (const std::uint64_t incarnation : {1000U, 2000U, 500U, 4000U}) {
        for (int i = 0; i < 10; ++i) {
            fixture.run(Milliseconds(500));
            fixture.heartbeat(incarnation);
        }
        EXPECT_EQ(fixture.membership.find("s1")->incarnation, incarnation);
        EXPECT_EQ(fixture.state(), MemberState::Live);
        fixture.heartbeat(incarnation, true);
        EXPECT_EQ(fixture.state(), MemberState::Leaving);
        fixture.heartbeat(incarnation);
        EXPECT_EQ(fixture.state(), MemberState::Leaving);
    }
}

// A lagging "leaving" entry of a replaced VM must not retire its successor, but the successor gets no new work while it
// is listed.
TEST(Membership, LaggingListDoesNotRetireSuccessor)
{
    MembershipFixture fixture;
    fixture.listVm(VmState::Live);
    fixture.heartbeat(1);
    fixture.listVm(VmState::Live);
    fixture.listVm(VmState::Leaving);
    EXPECT_EQ(fixture.state(), MemberState::Leaving);
    fixture.heartbeat(2);
    fixture.listVm(VmState::Leaving);
    fixture.heartbeat(2);
    EXPECT_EQ(fixture.state(), MemberState::Suspect) << "no new work while listed as leaving";
    fixture.listVm(VmState::Live);
    fixture.heartbeat(2);
    EXPECT_EQ(fixture.state(), MemberState::Live);
    fixture.heartbeat(1);
    EXPECT_EQ(fixture.membership.find("s1")->incarnation, 2U);
    fixture.listVm(VmState::Leaving);
    fixture.heartbeat(2);
    EXPECT_EQ(fixture.state(), MemberState::Leaving) << "now the list refers to the successor";
}

TEST(Membership, DrainOrderAppliesOnlyToItsIncarnation)
{
    MembershipFixture fixture;
    fixture.heartbeat(5);
    wire::DrainOrder order;
    order.mutable_target()->set_name("s1");
    order.mutable_target()->set_incarnation(4);
    fixture.membership.onDrain(order, fixture.now());
    EXPECT_EQ(fixture.state(), MemberState::Live);
    order.mutable_target()->set_incarnation(5);
    fixture.membership.onDrain(order, fixture.now());
    fixture.membership.onDrain(order, fixture.now());
    EXPECT_EQ(fixture.state(), MemberState::Leaving);
    fixture.heartbeat(5);
    EXPECT_EQ(fixture.state(), MemberState::Leaving);
}

// A member whose heartbeats arrive just at the suspect time must not flap, since each state change moves calls.
TEST(Membership, SuspectedMemberDoesNotFlap)
{
    MembershipFixture fixture;
    fixture.heartbeat(1);
    for (int i = 0; i < 40; ++i) {
        fixture.run(Milliseconds(3500));
        fixture.heartbeat(1);
    }
    EXPECT_LT(fixture.changes.size(), 16U);
    fixture.run(Seconds(10), true);
    EXPECT_EQ(fixture.state(), MemberState::Live);
}

// A paused process must not suspect others for heartbeats that it has not yet read.
TEST(Membership, PausedProcessSuspectsNoMemberOnResume)
{
    MembershipFixture fixture;
    fixture.heartbeat(1);
    fixture.run(Seconds(2), true);
    fixture.time += Seconds(60);
    fixture.timers.advance(fixture.time);
    EXPECT_EQ(fixture.state(), MemberState::Live);
    fixture.run(Seconds(4));
    EXPECT_EQ(fixture.state(), MemberState::Suspect);
}

TEST(Membership, UnlistedSilentMemberIsRemoved)
{
    MembershipFixture fixture;
    fixture.listVm(VmState::Live);
    fixture.heartbeat(1);
    fixture.membership.onVmList({}, fixture.now());
    fixture.run(Seconds(30));
    EXPECT_EQ(fixture.state(), MemberState::Count);
    EXPECT_EQ(fixture.changes.back(), "s1 gone");
}

TEST(Membership, SchemaVersionOfAllIsLowestOfLiveMembers)
{
    MembershipFixture fixture;
    EXPECT_EQ(fixture.membership.schemaVersionOfAll(), 0U);
    fixture.heartbeat(1, false, 1);
    EXPECT_EQ(fixture.membership.schemaVersionOfAll(), 1U);
    fixture.heartbeat(1, true, 1);
    EXPECT_EQ(fixture.membership.schemaVersionOfAll(), 0U);
}

} // namespace
} // namespace anvilscale

// Tests of membership from a lagging VM list and direct heartbeats.
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <gtest/gtest.h>

namespace anvilscale {
namespace {

struct Watched
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
    void run(Duration span, bool beating = false)
    {
        const TimePoint end = time + span;
        while (time < end) {
            time += Milliseconds(250);
            timers.advance(time);
            if (beating) {
                beat(1);
            }
        }
    }
    void beat(std::uint64_t incarnation, bool leaving = false, std::uint32_t schemaVersion = 2)
    {
        wire::Heartbeat heartbeat;
        heartbeat.mutable_from()->set_name("s1");
        heartbeat.mutable_from()->set_incarnation(incarnation);
        heartbeat.set_leaving(leaving);
        heartbeat.set_schema_version(schemaVersion);
        membership.onHeartbeat(heartbeat, now());
    }
    void list(VmState state)
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
    wire::Beat beat;
    beat.set_incarnation_tag(static_cast<std::uint32_t>(incarnation));
    return beat;
}

// A short beat must keep only the incarnation of the last full heartbeat alive and must not revive any other.
TEST(Membership, BeatSpeaksOnlyForTheStartThatWasHeard)
{
    Watched watched;
    watched.list(VmState::Live);
    watched.membership.onBeat("s1", beatOf(1), watched.now());
    EXPECT_EQ(watched.state(), MemberState::Suspect) << "never heard by a heartbeat";
    watched.beat(1);
    EXPECT_EQ(watched.state(), MemberState::Live);
    for (int i = 0; i < 20; ++i) {
        watched.run(Milliseconds(500));
        watched.membership.onBeat("s1", beatOf(1), watched.now());
        EXPECT_EQ(watched.state(), MemberState::Live);
    }
    for (int i = 0; i < 8; ++i) {
        watched.run(Milliseconds(500));
        watched.membership.onBeat("s1", beatOf(2), watched.now());
    }
    EXPECT_EQ(watched.state(), MemberState::Suspect);
    watched.beat(1, true);
    EXPECT_EQ(watched.state(), MemberState::Leaving);
    watched.membership.onBeat("s1", beatOf(1), watched.now());
    EXPECT_EQ(watched.state(), MemberState::Leaving);
}

TEST(Membership, HeartbeatMakesLiveAndSilenceSuspect)
{
    Watched watched;
    watched.list(VmState::Live);
    EXPECT_EQ(watched.state(), MemberState::Suspect) << "listed, but never heard";
    watched.beat(1);
    EXPECT_EQ(watched.state(), MemberState::Live);
    watched.run(Seconds(4));
    EXPECT_EQ(watched.state(), MemberState::Suspect);
    watched.beat(1);
    EXPECT_EQ(watched.state(), MemberState::Live);
}

// Guards against new work for a leaving process: neither a late heartbeat nor a lagging list may revive its
// incarnation.
TEST(Membership, LeavingIsFinalForTheIncarnation)
{
    Watched watched;
    watched.list(VmState::Live);
    watched.beat(1);
    watched.beat(1, true);
    EXPECT_EQ(watched.state(), MemberState::Leaving);
    watched.beat(1);
    watched.list(VmState::Live);
    EXPECT_EQ(watched.state(), MemberState::Leaving);
    watched.beat(2);
    EXPECT_EQ(watched.state(), MemberState::Live);
    watched.beat(1, true);
    EXPECT_EQ(watched.state(), MemberState::Live) << "a late message of the earlier start";
    watched.list(VmState::Live);
    watched.list(VmState::Leaving);
    EXPECT_EQ(watched.state(), MemberState::Leaving);
    watched.beat(2);
    EXPECT_EQ(watched.state(), MemberState::Leaving);
}

// A lagging "leaving" entry of a replaced VM must not retire its successor, but the successor gets no new work while it
// is listed.
TEST(Membership, ListThatLagsDoesNotRetireTheSuccessor)
{
    Watched watched;
    watched.list(VmState::Live);
    watched.beat(1);
    watched.list(VmState::Live);
    watched.list(VmState::Leaving);
    EXPECT_EQ(watched.state(), MemberState::Leaving);
    watched.beat(2);
    watched.list(VmState::Leaving);
    watched.beat(2);
    EXPECT_EQ(watched.state(), MemberState::Suspect) << "no new work while the list says so";
    watched.list(VmState::Live);
    watched.beat(2);
    EXPECT_EQ(watched.state(), MemberState::Live);
    watched.beat(1);
    EXPECT_EQ(watched.membership.find("s1")->incarnation, 2U);
    watched.list(VmState::Leaving);
    watched.beat(2);
    EXPECT_EQ(watched.state(), MemberState::Leaving) << "now it is said of the successor";
}

TEST(Membership, DrainOrderCountsForItsIncarnationOnly)
{
    Watched watched;
    watched.beat(5);
    wire::DrainOrder order;
    order.mutable_target()->set_name("s1");
    order.mutable_target()->set_incarnation(4);
    watched.membership.onDrain(order, watched.now());
    EXPECT_EQ(watched.state(), MemberState::Live);
    order.mutable_target()->set_incarnation(5);
    watched.membership.onDrain(order, watched.now());
    watched.membership.onDrain(order, watched.now());
    EXPECT_EQ(watched.state(), MemberState::Leaving);
    watched.beat(5);
    EXPECT_EQ(watched.state(), MemberState::Leaving);
}

// A member whose heartbeats arrive just at the suspect time must not flap, since each state change moves calls.
TEST(Membership, SuspicionDoesNotFlap)
{
    Watched watched;
    watched.beat(1);
    for (int i = 0; i < 40; ++i) {
        watched.run(Milliseconds(3500));
        watched.beat(1);
    }
    EXPECT_LT(watched.changes.size(), 16U);
    watched.run(Seconds(10), true);
    EXPECT_EQ(watched.state(), MemberState::Live);
}

// A paused process must not suspect others for heartbeats that it has not yet read.
TEST(Membership, PausedProcessSuspectsNobodyOnWaking)
{
    Watched watched;
    watched.beat(1);
    watched.run(Seconds(2), true);
    watched.time += Seconds(60);
    watched.timers.advance(watched.time);
    EXPECT_EQ(watched.state(), MemberState::Live);
    watched.run(Seconds(4));
    EXPECT_EQ(watched.state(), MemberState::Suspect);
}

TEST(Membership, DroppedAndSilentIsForgotten)
{
    Watched watched;
    watched.list(VmState::Live);
    watched.beat(1);
    watched.membership.onVmList({}, watched.now());
    watched.run(Seconds(30));
    EXPECT_EQ(watched.state(), MemberState::Count);
    EXPECT_EQ(watched.changes.back(), "s1 gone");
}

TEST(Membership, SchemaVersionOfAllIsTheLowestOfTheLiving)
{
    Watched watched;
    EXPECT_EQ(watched.membership.schemaVersionOfAll(), 0U);
    watched.beat(1, false, 1);
    EXPECT_EQ(watched.membership.schemaVersionOfAll(), 1U);
    watched.beat(1, true, 1);
    EXPECT_EQ(watched.membership.schemaVersionOfAll(), 0U);
}

} // namespace
} // namespace anvilscale

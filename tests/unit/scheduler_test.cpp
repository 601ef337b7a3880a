// Tests of the load scheduler: grant order, lease changes, lost results and store refusals.
#include "routing_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace anvilscale::test {
namespace {

struct SchedulerFixture
{
    ConfigStore store;
    TimerService timers;
    Now now{TimePoint(Seconds(1000)), WallTime{}};
    bool holdsLease = true;
    std::uint64_t fence = 3;
    std::unique_ptr<LoadScheduler> scheduler;
    std::vector<SendToSidecar> grants;
    std::map<std::string, std::uint64_t> sequences;

    SchedulerFixture()
    {
        fillStore(store);
        LoadScheduler::Init init;
        init.name = "entry";
        init.incarnation = 7;
        init.config = &store;
        init.timers = &timers;
        scheduler = std::make_unique<LoadScheduler>(
            init, [this](TimePoint) { return holdsLease; }, [this] { return fence; });
    }
    void collectActions()
    {
        for (auto &action : scheduler->takeActions()) {
            if (action.message.has_load_grant()) {
                grants.push_back(std::move(action));
            }
        }
    }
    void advance(Duration by)
    {
        now.mono += by;
        timers.advance(now.mono);
        collectActions();
    }
    /// Reports waiting calls of a sidecar, `waiting` by adapter name.
    void reportDemand(const std::string &sidecar, const std::map<std::string, std::uint32_t> &waiting,
                      std::uint64_t incarnation = 1, Duration oldestWait = Milliseconds(100))
    {
        wire::Heartbeat report;
        report.mutable_from()->set_name(sidecar);
        report.mutable_from()->set_incarnation(incarnation);
        report.set_sequence(++sequences[sidecar]);
        report.set_admitting(true);
        for (const auto &[adapter, count] : waiting) {
            auto &out = *report.add_demands();
            out.set_adapter(adapter);
            out.set_version("1");
            out.set_waiting(count);
            out.set_call_class(static_cast<std::uint32_t>(CallClass::Normal));
            out.set_oldest_wait_us(static_cast<std::uint64_t>(oldestWait.count()));
            out.set_least_budget_us(60'000'000);
            out.set_evictable_slot(true);
        }
        scheduler->onHeartbeat(report, now);
        collectActions();
    }
    void reportResult(const SendToSidecar &grant, OrderOutcome outcome)
    {
        const auto &loadGrant = grant.message.load_grant();
        wire::LoadResult out;
        out.set_fence(loadGrant.fence());
        out.set_grant(loadGrant.grant());
        out.set_outcome(static_cast<std::uint32_t>(outcome));
        out.set_took_us(250'000);
        out.mutable_from()->set_name(grant.sidecar);
        out.mutable_from()->set_incarnation(loadGrant.target_incarnation());
        scheduler->onLoadResult(out, now);
        collectActions();
    }
};

TEST(Scheduler, GrantsOneLoadAtATimeByDemand)
{
    SchedulerFixture fixture;
    fixture.holdsLease = false;
    fixture.reportDemand("a", {{"few", 1}});
    fixture.holdsLease = true;
    fixture.reportDemand("b", {{"many", 5}});
    ASSERT_EQ(fixture.grants.size(), 1U);
    EXPECT_EQ(fixture.grants[0].message.load_grant().adapter(), "many");
    EXPECT_EQ(fixture.grants[0].message.load_grant().fence(), 3U);
    fixture.advance(Seconds(1));
    EXPECT_EQ(fixture.grants.size(), 1U);
    fixture.reportResult(fixture.grants[0], OrderOutcome::Done);
    ASSERT_EQ(fixture.grants.size(), 2U);
    EXPECT_EQ(fixture.grants[1].sidecar, "a");
}

// Guards against starvation of an adapter with one caller by a steady stream of popular adapters.
TEST(Scheduler, LeastPopularAdapterIsServedInBoundedTime)
{
    SchedulerFixture fixture;
    std::size_t rounds = 0;
    for (bool served = false; !served && rounds < 100; ++rounds) {
        fixture.reportDemand("a", {{"lone", 1}}, 1, Milliseconds(300) * static_cast<int>(rounds));
        fixture.reportDemand("b", {{"crowd" + std::to_string(rounds), 8}});
        for (const auto &grant : std::exchange(fixture.grants, {})) {
            served = served || grant.message.load_grant().adapter() == "lone";
            fixture.reportResult(grant, OrderOutcome::Done);
        }
        fixture.advance(Milliseconds(300));
    }
    EXPECT_LT(rounds, 30U);
}

// Guards against grants by a scheduler that lost its lease while paused.
TEST(Scheduler, NothingIsGrantedWithoutLease)
{
    SchedulerFixture fixture;
    fixture.holdsLease = false;
    fixture.reportDemand("a", {{"x", 1}});
    fixture.advance(Seconds(10));
    EXPECT_TRUE(fixture.grants.empty());
}

// Guards against two concurrent loads after a lease change, while a grant of the previous holder may still start.
TEST(Scheduler, NewHolderWaitsForGrantsOfThePreviousOne)
{
    SchedulerFixture fixture;
    fixture.scheduler->onLeaseAcquired(fixture.now);
    fixture.reportDemand("a", {{"x", 1}});
    EXPECT_TRUE(fixture.grants.empty());
    fixture.advance(Seconds(1));
    EXPECT_TRUE(fixture.grants.empty());
    fixture.advance(Seconds(2));
    EXPECT_EQ(fixture.grants.size(), 1U);
}

// Guards against a lost result or a restarted sidecar blocking all other loads.
TEST(Scheduler, LostResultAndRestartDoNotBlockOtherLoads)
{
    SchedulerFixture fixture;
    fixture.reportDemand("a", {{"x", 1}});
    ASSERT_EQ(fixture.grants.size(), 1U);
    fixture.reportDemand("b", {{"y", 1}});
    fixture.advance(Seconds(70));
    EXPECT_EQ(fixture.scheduler->stats().expired, 1U);
    fixture.reportDemand("b", {{"y", 1}});
    ASSERT_EQ(fixture.grants.size(), 2U);
    fixture.reportDemand("b", {{"z", 1}}, 2);
    fixture.advance(Seconds(1));
    ASSERT_EQ(fixture.grants.size(), 3U);
    EXPECT_EQ(fixture.grants[2].message.load_grant().target_incarnation(), 2U);
}

// Guards against a load that a sidecar started without a grant blocking all others once that sidecar is suspect.
TEST(Scheduler, LoadOfSuspectSidecarDoesNotBlockOthers)
{
    SchedulerFixture fixture;
    wire::Heartbeat report;
    report.mutable_from()->set_name("a");
    report.mutable_from()->set_incarnation(1);
    report.set_sequence(1);
    auto &adapter = *report.add_adapters();
    adapter.set_adapter("x");
    adapter.set_version("1");
    adapter.set_state(static_cast<std::uint32_t>(ResidencyState::Loading));
    fixture.scheduler->onHeartbeat(report, fixture.now);
    fixture.reportDemand("b", {{"y", 1}});
    EXPECT_TRUE(fixture.grants.empty());
    Member suspectMember;
    suspectMember.name = "a";
    suspectMember.incarnation = 1;
    suspectMember.state = MemberState::Suspect;
    fixture.scheduler->onMember(suspectMember, fixture.now);
    fixture.collectActions();
    EXPECT_EQ(fixture.grants.size(), 1U);
}

// Guards against demands that are never granted because their sidecar started after its clock was set back.
TEST(Scheduler, DemandOfAnEarlierIncarnationCountsOnceMembershipTellsSo)
{
    SchedulerFixture fixture;
    fixture.reportDemand("a", {}, 2000);
    fixture.reportDemand("a", {{"x", 1}}, 1000);
    EXPECT_TRUE(fixture.grants.empty());
    Member member;
    member.name = "a";
    member.incarnation = 1000;
    member.supersededUntil = 2000;
    member.state = MemberState::Live;
    fixture.scheduler->onMember(member, fixture.now);
    fixture.reportDemand("a", {{"x", 1}}, 2000);
    EXPECT_TRUE(fixture.grants.empty()) << "late heartbeat of the start before";
    fixture.reportDemand("a", {{"x", 1}}, 1000);
    ASSERT_EQ(fixture.grants.size(), 1U);
    EXPECT_EQ(fixture.grants[0].message.load_grant().target_incarnation(), 1000U);
}

// Guards against a load in the last heartbeat of a leaving or suspect sidecar blocking all other loads.
TEST(Scheduler, LoadInLastHeartbeatDoesNotBlockOthers)
{
    for (const bool leaving : {true, false}) {
        SchedulerFixture fixture;
        fixture.reportDemand("a", {});
        Member member;
        member.name = "a";
        member.incarnation = 1;
        member.role = VmRole::Sidecar;
        member.state = leaving ? MemberState::Leaving : MemberState::Suspect;
        fixture.scheduler->onMember(member, fixture.now);
        wire::Heartbeat report;
        report.mutable_from()->set_name("a");
        report.mutable_from()->set_incarnation(1);
        report.set_sequence(++fixture.sequences["a"]);
        report.set_leaving(leaving);
        auto &adapter = *report.add_adapters();
        adapter.set_adapter("last");
        adapter.set_version("1");
        adapter.set_state(static_cast<std::uint32_t>(ResidencyState::Loading));
        fixture.scheduler->onHeartbeat(report, fixture.now);
        fixture.reportDemand("b", {{"wanted", 1}});
        EXPECT_EQ(fixture.grants.size(), 1U) << (leaving ? "leaving" : "suspect");
    }
}

TEST(Scheduler, StoreRefusalBacksOff)
{
    SchedulerFixture fixture;
    Duration previousDelay{};
    for (int i = 0; i < 4; ++i) {
        fixture.reportDemand("a", {{"x", 1}});
        Duration delay{};
        while (fixture.grants.empty() && delay < Seconds(20)) {
            fixture.advance(Milliseconds(50));
            delay += Milliseconds(50);
        }
        ASSERT_EQ(fixture.grants.size(), 1U);
        EXPECT_GE(delay, previousDelay);
        previousDelay = delay;
        fixture.reportResult(std::exchange(fixture.grants, {})[0], OrderOutcome::Refused);
    }
    EXPECT_GE(previousDelay, Milliseconds(900));
    EXPECT_EQ(fixture.scheduler->stats().storeRefusals, 4U);
}

// Random demands and results: at most one load in flight, within the rate of the weight store.
RC_GTEST_PROP(SchedulerRandom, AtMostOneLoadWithinTheRate, (std::uint64_t seed))
{
    SchedulerFixture fixture;
    Random random(seed);
    std::vector<SendToSidecar> inFlight;
    std::size_t grantCount = 0;
    const auto start = fixture.now.mono;
    for (int step = 0; step < 200; ++step) {
        const auto name = std::string(1, static_cast<char>('a' + random.uniformBelow(4)));
        if (random.uniformBelow(2) == 0) {
            fixture.reportDemand(name, {{"x" + std::to_string(random.uniformBelow(9)), 1 + random.uniformBelow(3)}});
        }
        if (!inFlight.empty() && random.uniformBelow(2) == 0) {
            fixture.reportResult(inFlight.back(),
                                 random.uniformBelow(4) == 0 ? OrderOutcome::Failed : OrderOutcome::Done);
            inFlight.clear();
        }
        fixture.advance(Milliseconds(static_cast<int>(random.uniformBelow(200))));
        for (auto &grant : std::exchange(fixture.grants, {})) {
            RC_ASSERT(inFlight.empty());
            inFlight.push_back(std::move(grant));
            ++grantCount;
        }
    }
    const double seconds = static_cast<double>((fixture.now.mono - start).count()) * 1e-6;
    RC_ASSERT(static_cast<double>(grantCount) <= fixture.store.policy().loadRate * seconds + 1.0);
}

} // namespace
} // namespace anvilscale::test

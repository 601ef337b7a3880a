// The load scheduler: one grant at a time by value, fencing, take-over, lost results, a store that refuses.
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
    bool held = true;
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
            init, [this](TimePoint) { return held; }, [this] { return fence; });
    }
    void collect()
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
        collect();
    }
    /// A sidecar reports that calls wait for adapters, `waiting` by name.
    void demand(const std::string &sidecar, const std::map<std::string, std::uint32_t> &waiting,
                std::uint64_t incarnation = 1, Duration oldest = Milliseconds(100))
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
            out.set_oldest_wait_us(static_cast<std::uint64_t>(oldest.count()));
            out.set_least_budget_us(60'000'000);
            out.set_evictable_slot(true);
        }
        scheduler->onHeartbeat(report, now);
        collect();
    }
    void result(const SendToSidecar &grant, OrderOutcome outcome)
    {
        const auto &given = grant.message.load_grant();
        wire::LoadResult out;
        out.set_fence(given.fence());
        out.set_grant(given.grant());
        out.set_outcome(static_cast<std::uint32_t>(outcome));
        out.set_took_us(250'000);
        out.mutable_from()->set_name(grant.sidecar);
        out.mutable_from()->set_incarnation(given.target_incarnation());
        scheduler->onLoadResult(out, now);
        collect();
    }
};

TEST(Scheduler, GrantsOneAtATimeTheMostWantedFirst)
{
    SchedulerFixture fixture;
    fixture.held = false;
    fixture.demand("a", {{"few", 1}});
    fixture.held = true;
    fixture.demand("b", {{"many", 5}});
    ASSERT_EQ(fixture.grants.size(), 1U);
    EXPECT_EQ(fixture.grants[0].message.load_grant().adapter(), "many");
    EXPECT_EQ(fixture.grants[0].message.load_grant().fence(), 3U);
    fixture.advance(Seconds(1));
    EXPECT_EQ(fixture.grants.size(), 1U);
    fixture.result(fixture.grants[0], OrderOutcome::Done);
    ASSERT_EQ(fixture.grants.size(), 2U);
    EXPECT_EQ(fixture.grants[1].sidecar, "a");
}

// A steady stream of popular adapters must not keep one lone caller waiting for ever: its value grows with its wait.
TEST(Scheduler, LeastPopularCallerIsServedInBoundedTime)
{
    SchedulerFixture fixture;
    std::size_t rounds = 0;
    for (bool served = false; !served && rounds < 100; ++rounds) {
        fixture.demand("a", {{"lone", 1}}, 1, Milliseconds(300) * static_cast<int>(rounds));
        fixture.demand("b", {{"crowd" + std::to_string(rounds), 8}});
        for (const auto &grant : std::exchange(fixture.grants, {})) {
            served = served || grant.message.load_grant().adapter() == "lone";
            fixture.result(grant, OrderOutcome::Done);
        }
        fixture.advance(Milliseconds(300));
    }
    EXPECT_LT(rounds, 30U);
}

// The lease is lost while the holder is paused. Its next decision must not become a grant.
TEST(Scheduler, WithoutTheLeaseNothingIsGranted)
{
    SchedulerFixture fixture;
    fixture.held = false;
    fixture.demand("a", {{"x", 1}});
    fixture.advance(Seconds(10));
    EXPECT_TRUE(fixture.grants.empty());
}

// A new holder takes over while its predecessor's last grant is still on its way. Two loads at once would halve the
// speed of both, so that it waits until the grant can no longer start.
TEST(Scheduler, TakeOverWaitsOutThePredecessor)
{
    SchedulerFixture fixture;
    fixture.scheduler->onTakeOver(fixture.now);
    fixture.demand("a", {{"x", 1}});
    EXPECT_TRUE(fixture.grants.empty());
    fixture.advance(Seconds(1));
    EXPECT_TRUE(fixture.grants.empty());
    fixture.advance(Seconds(2));
    EXPECT_EQ(fixture.grants.size(), 1U);
}

// A load's result is lost with its sidecar's message, or the sidecar restarts. Neither may block all other loads.
TEST(Scheduler, LostResultAndRestartFreeTheTurn)
{
    SchedulerFixture fixture;
    fixture.demand("a", {{"x", 1}});
    ASSERT_EQ(fixture.grants.size(), 1U);
    fixture.demand("b", {{"y", 1}});
    fixture.advance(Seconds(70));
    EXPECT_EQ(fixture.scheduler->stats().expired, 1U);
    fixture.demand("b", {{"y", 1}});
    ASSERT_EQ(fixture.grants.size(), 2U);
    fixture.demand("b", {{"z", 1}}, 2);
    fixture.advance(Seconds(1));
    ASSERT_EQ(fixture.grants.size(), 3U);
    EXPECT_EQ(fixture.grants[2].message.load_grant().target_incarnation(), 2U);
}

// A sidecar loads on its own, as after a scheduler's outage, and falls silent in mid-load. Its load counts as one in
// flight; when it turns suspect the other sidecars' loads must go on.
TEST(Scheduler, SilentSidecarsLoadDoesNotHoldUpTheOthers)
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
    fixture.demand("b", {{"y", 1}});
    EXPECT_TRUE(fixture.grants.empty());
    Member silent;
    silent.name = "a";
    silent.incarnation = 1;
    silent.state = MemberState::Suspect;
    fixture.scheduler->onMember(silent, fixture.now);
    fixture.collect();
    EXPECT_EQ(fixture.grants.size(), 1U);
}

// A sidecar is drained in mid-load: it is known to be leaving, then one more heartbeat tells of the load, then its
// process ends and nothing more is heard of it. Its load would count as running for ever, no other load would be
// granted, and callers of absent adapters would wait until their deadline.
TEST(Scheduler, LastWordsOfALeavingSidecarDoNotHoldUpTheOthers)
{
    for (const bool leaving : {true, false}) {
        SchedulerFixture fixture;
        fixture.demand("a", {});
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
        fixture.demand("b", {{"wanted", 1}});
        EXPECT_EQ(fixture.grants.size(), 1U) << (leaving ? "leaving" : "suspect");
    }
}

TEST(Scheduler, StoreRefusalBacksOff)
{
    SchedulerFixture fixture;
    Duration last{};
    for (int i = 0; i < 4; ++i) {
        fixture.demand("a", {{"x", 1}});
        Duration waited{};
        while (fixture.grants.empty() && waited < Seconds(20)) {
            fixture.advance(Milliseconds(50));
            waited += Milliseconds(50);
        }
        ASSERT_EQ(fixture.grants.size(), 1U);
        EXPECT_GE(waited, last);
        last = waited;
        fixture.result(std::exchange(fixture.grants, {})[0], OrderOutcome::Refused);
    }
    EXPECT_GE(last, Milliseconds(900));
    EXPECT_EQ(fixture.scheduler->stats().storeRefusals, 4U);
}

// Random demands, results, restarts and take-overs: never two loads in flight, never faster than the store's rate.
RC_GTEST_PROP(SchedulerRandom, NeverMoreThanOneLoadAndNeverOverTheRate, (std::uint64_t seed))
{
    SchedulerFixture fixture;
    Random random(seed);
    std::vector<SendToSidecar> open;
    std::size_t total = 0;
    const auto start = fixture.now.mono;
    for (int step = 0; step < 200; ++step) {
        const auto name = std::string(1, static_cast<char>('a' + random.below(4)));
        if (random.below(2) == 0) {
            fixture.demand(name, {{"x" + std::to_string(random.below(9)), 1 + random.below(3)}});
        }
        if (!open.empty() && random.below(2) == 0) {
            fixture.result(open.back(), random.below(4) == 0 ? OrderOutcome::Failed : OrderOutcome::Done);
            open.clear();
        }
        fixture.advance(Milliseconds(static_cast<int>(random.below(200))));
        for (auto &grant : std::exchange(fixture.grants, {})) {
            RC_ASSERT(open.empty());
            open.push_back(std::move(grant));
            ++total;
        }
    }
    const double seconds = static_cast<double>((fixture.now.mono - start).count()) * 1e-6;
    RC_ASSERT(static_cast<double>(total) <= fixture.store.policy().loadRate * seconds + 1.0);
}

} // namespace
} // namespace anvilscale::test

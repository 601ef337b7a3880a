// Tests of load planning: scheduler grants, loads without a scheduler, and eviction.
#include "residency_fixture.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

namespace {

wire::Envelope grantFor(const AdapterVersion &adapterVersion, std::uint64_t fence, std::uint64_t number,
                        std::uint64_t target = 50)
{
    wire::Envelope envelope;
    auto &grant = *envelope.mutable_load_grant();
    grant.set_fence(fence);
    grant.set_grant(number);
    grant.set_adapter(adapterVersion.adapter);
    grant.set_version(adapterVersion.version);
    grant.set_valid_us(2'000'000);
    grant.set_target_incarnation(target);
    return envelope;
}

OrderOutcome lastResult(const SidecarFixture &fixture)
{
    return fixture.loadResults.empty() ? OrderOutcome::Count
                                       : fromWire(fixture.loadResults.back().outcome(), OrderOutcome::Count);
}

} // namespace

TEST(ResidencyLoads, LoadsOnSchedulerGrant)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.hello(entry, true, 5);
    fixture.call(lounge);
    fixture.advance(Milliseconds(100));
    EXPECT_TRUE(fixture.orders.empty());
    ASSERT_FALSE(fixture.heartbeats.empty());
    const auto &heartbeat = fixture.heartbeats.back().second;
    ASSERT_EQ(heartbeat.demands_size(), 1);
    EXPECT_EQ(heartbeat.demands(0).adapter(), "lounge");
    EXPECT_EQ(heartbeat.demands(0).waiting(), 1U);
    EXPECT_TRUE(heartbeat.demands(0).evictable_slot());
    fixture.message(entry, grantFor(lounge, 5, 1));
    ASSERT_EQ(fixture.orders.size(), 1U);
    fixture.answerOrders();
    EXPECT_EQ(lastResult(fixture), OrderOutcome::Done);
    EXPECT_EQ(fixture.started.size(), 1U);
}

TEST(ResidencyLoads, GrantFromOldSchedulerIsFencedOff)
{
    // Guards against two schedulers that together exceed the weight store's rate after one was paused past its lease.
    SidecarFixture fixture;
    fixture.recover();
    fixture.hello(entry, true, 5);
    fixture.hello(otherEntry, true, 6);
    fixture.message(entry, grantFor(lounge, 5, 1));
    EXPECT_EQ(lastResult(fixture), OrderOutcome::FencedOff);
    EXPECT_TRUE(fixture.orders.empty());
}

TEST(ResidencyLoads, GrantForEarlierIncarnationIsReportedExpired)
{
    // A grant for an earlier incarnation must not be reported as a refusal by the weight store, which would make the
    // scheduler withhold all grants.
    SidecarFixture fixture;
    fixture.recover();
    fixture.message(entry, grantFor(lounge, 5, 1, 49));
    EXPECT_EQ(lastResult(fixture), OrderOutcome::Expired);
    EXPECT_TRUE(fixture.orders.empty());
}

TEST(ResidencyLoads, GrantExpiresWithoutFreeSlot)
{
    // Guards against a late load beside the one that the scheduler has granted to another sidecar meanwhile.
    SidecarInit init;
    init.slots = 1;
    SidecarFixture fixture(init);
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrders();
    fixture.end(fixture.started[0].execution, CallOutcome::Complete);
    fixture.hello(entry, true, 5);
    fixture.advance(Seconds(2));
    fixture.message(entry, grantFor(transit, 5, 1));
    const auto unload = fixture.takeOrder(OrderKind::Unload);
    ASSERT_TRUE(unload.order);
    fixture.advance(Seconds(3));
    EXPECT_EQ(lastResult(fixture), OrderOutcome::Expired);
    fixture.reply(unload, OrderOutcome::Done);
    EXPECT_EQ(fixture.takeOrder(OrderKind::Load).order, OrderHandle{});
}

TEST(ResidencyLoads, GrantDuringRecoveryIsReportedExpired)
{
    SidecarFixture fixture;
    fixture.start();
    fixture.message(entry, grantFor(lounge, 5, 1));
    EXPECT_EQ(lastResult(fixture), OrderOutcome::Expired);
    fixture.answerOrders();
    EXPECT_EQ(fixture.takeOrder(OrderKind::Load).order, OrderHandle{});
}

TEST(ResidencyLoads, DuplicateGrantLoadsOnce)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.message(entry, grantFor(lounge, 5, 1));
    fixture.message(entry, grantFor(lounge, 5, 1));
    fixture.answerOrders();
    fixture.message(entry, grantFor(lounge, 5, 1));
    EXPECT_EQ(fixture.sidecar.stats().loads, 1U);
    EXPECT_EQ(fixture.loadResults.size(), 1U);
}

TEST(ResidencyLoads, LoadsAtOwnRateWithoutSchedulerMessages)
{
    // Guards against calls on absent adapters missing their deadlines while no scheduler is running.
    SidecarFixture fixture;
    fixture.recover();
    std::vector<Member> members(8);
    for (auto &member : members) {
        member.state = MemberState::Live;
    }
    fixture.sidecar.onMembers(members, fixture.now);
    fixture.hello(entry, true, 5);
    for (int i = 0; i < 4; ++i) {
        fixture.call({"adapter-" + std::to_string(i), "v1"});
    }
    fixture.advance(Seconds(2));
    EXPECT_TRUE(fixture.orders.empty());
    std::size_t loads = 0;
    for (int i = 0; i < 20; ++i) {
        fixture.advance(Seconds(1));
        loads += fixture.orders.size();
        fixture.answerOrders();
    }
    EXPECT_EQ(loads, 4U);
    EXPECT_EQ(fixture.started.size(), 4U);
}

TEST(ResidencyLoads, FirstDemandAfterIdleWaitsForGrant)
{
    // A scheduler sends messages only to sidecars with demands. Guards against suspecting it after an idle period and
    // exceeding the weight store's rate.
    SidecarFixture fixture;
    fixture.recover();
    fixture.hello(entry, true, 5);
    fixture.hello(entry); // the same process also sends a Hello as an entry
    fixture.advance(std::chrono::hours(1));
    fixture.call(lounge);
    fixture.advance(Seconds(1));
    EXPECT_TRUE(fixture.orders.empty());
    fixture.hello(entry, true, 5);
    fixture.advance(Seconds(2));
    EXPECT_TRUE(fixture.orders.empty());
    fixture.message(entry, grantFor(lounge, 5, 1));
    EXPECT_EQ(fixture.orders.size(), 1U);
}

TEST(ResidencyLoads, LoadsWithoutGrantAfterTimeout)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.hello(entry, true, 5);
    fixture.send(fixture.request(lounge, Seconds(60)));
    for (int i = 0; i < 14; ++i) {
        fixture.advance(Seconds(1));
        fixture.hello(entry, true, 5);
    }
    EXPECT_TRUE(fixture.orders.empty());
    fixture.advance(Seconds(2));
    EXPECT_EQ(fixture.orders.size(), 1U);
}

TEST(ResidencyLoads, FreedSlotIsReportedToSchedulerAtOnce)
{
    SidecarInit init;
    init.slots = 1;
    SidecarFixture fixture(init);
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrders();
    fixture.hello(entry, true, 5);
    fixture.advance(Seconds(2));
    fixture.call(transit);
    fixture.advance(Milliseconds(600));
    ASSERT_EQ(fixture.heartbeats.back().second.demands_size(), 1);
    EXPECT_FALSE(fixture.heartbeats.back().second.demands(0).evictable_slot());
    fixture.end(fixture.started[0].execution, CallOutcome::Complete);
    fixture.advance(Milliseconds(60));
    ASSERT_EQ(fixture.heartbeats.back().second.demands_size(), 1);
    EXPECT_TRUE(fixture.heartbeats.back().second.demands(0).evictable_slot());
}

TEST(ResidencyLoads, PopularAdapterIsKeptOverRecentlyUsedOne)
{
    // Guards against evicting a popular adapter after a short idle time, as least-recently-used eviction would.
    SidecarInit init;
    init.slots = 2;
    SidecarFixture fixture(init);
    fixture.recover();
    const auto serve = [&](const AdapterVersion &adapterVersion) {
        fixture.call(adapterVersion);
        fixture.answerOrders();
        fixture.end(fixture.started.back().execution, CallOutcome::Complete);
    };
    for (int i = 0; i < 20; ++i) {
        serve(lounge);
        fixture.advance(Milliseconds(200));
    }
    serve(transit);
    fixture.advance(Seconds(4));
    fixture.call(menus);
    fixture.advance(Seconds(2));
    ASSERT_FALSE(fixture.orders.empty());
    EXPECT_EQ(fixture.orders[0].adapterVersion, transit);
}

TEST(ResidencyLoads, NoThrashBetweenTwoAdaptersForOneSlot)
{
    // Guards against spending all time on loads when two adapters alternate for one slot.
    SidecarInit init;
    init.slots = 1;
    SidecarFixture fixture(init);
    fixture.recover();
    std::size_t served = 0;
    for (int i = 0; i < 600; ++i) {
        const auto request = fixture.request(i % 2 == 0 ? lounge : transit, Seconds(60));
        fixture.send(request);
        fixture.advance(Milliseconds(100));
        fixture.answerOrders();
        for (const auto &start : std::exchange(fixture.started, {})) {
            fixture.end(start.execution, CallOutcome::Complete);
            ++served;
        }
    }
    EXPECT_GT(served, 400U);
    EXPECT_LT(fixture.sidecar.stats().loads, 30U);
    EXPECT_GT(fixture.sidecar.stats().loads, 4U) << "neither of them is starved";
    EXPECT_TRUE(fixture.engine.violations.empty());
}

// Guards against refusing a call with a short deadline while an idle adapter is protected from eviction. The protection
// ends at the latest after half of the call's time limit.
TEST(ResidencyLoads, IdleAdapterIsEvictedBeforeCallDeadline)
{
    SidecarInit init;
    init.slots = 1;
    SidecarFixture fixture(init);
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrders();
    ASSERT_EQ(fixture.started.size(), 1U);
    fixture.end(fixture.started.front().execution, CallOutcome::Complete);
    const Duration callTimeout = Milliseconds(800); // shorter than the protection of 1 s after a load
    fixture.send(fixture.request(transit, callTimeout));
    for (int i = 0; i < 20 && fixture.started.size() < 2; ++i) {
        fixture.advance(callTimeout / 20);
        fixture.answerOrders();
    }
    EXPECT_EQ(fixture.started.size(), 2U);
    EXPECT_TRUE(fixture.engine.violations.empty());
}

// Guards against an adapter that yields to a starving call and refuses further calls after that caller has left.
TEST(ResidencyLoads, AdapterServesAgainAfterStarvingCallerLeft)
{
    SidecarInit init;
    init.slots = 1;
    SidecarFixture fixture(init);
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrders();
    ASSERT_EQ(fixture.started.size(), 1U);
    fixture.send(fixture.request(transit, Seconds(60)));
    fixture.advance(Seconds(10));
    const auto blockedRequest = fixture.request(lounge, Seconds(60));
    fixture.send(blockedRequest);
    ASSERT_EQ(fixture.started.size(), 1U) << "the adapter yields";
    fixture.cancel(blockedRequest.id());
    fixture.sidecar.onPeerLost(entry, fixture.now);
    fixture.collect();
    fixture.end(fixture.started.front().execution, CallOutcome::Cancelled);
    fixture.call(lounge);
    EXPECT_EQ(fixture.started.size(), 2U);
}

TEST(ResidencyLoads, UnpopularAdapterIsServedOnBusyEngine)
{
    // Guards against starvation when no resident adapter is ever idle: after the starvation bound one of them accepts
    // no further calls until it can be evicted.
    SidecarInit init;
    init.slots = 2;
    SidecarFixture fixture(init);
    fixture.recover();
    std::vector<StartExecution> running;
    bool served = false;
    for (int i = 0; i < 300; ++i) {
        fixture.send(fixture.request(lounge, Seconds(60)));
        fixture.send(fixture.request(transit, Seconds(60)));
        if (i == 50) {
            fixture.send(fixture.request(menus, Seconds(60)));
        }
        fixture.advance(Milliseconds(100));
        fixture.answerOrders();
        auto started = std::exchange(fixture.started, {});
        for (const auto &start : std::exchange(running, std::move(started))) {
            served = served || start.request.adapter() == "menus";
            fixture.end(start.execution, CallOutcome::Complete);
        }
    }
    EXPECT_TRUE(served);
    EXPECT_TRUE(fixture.engine.violations.empty());
}

} // namespace anvilscale::test

// Grants of the load scheduler, loads without it, and who gives way.
#include "residency_fixture.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

namespace {

wire::Envelope grantFor(const AdapterVersion &which, std::uint64_t fence, std::uint64_t number,
                        std::uint64_t target = 50)
{
    wire::Envelope envelope;
    auto &grant = *envelope.mutable_load_grant();
    grant.set_fence(fence);
    grant.set_grant(number);
    grant.set_adapter(which.adapter);
    grant.set_version(which.version);
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

TEST(ResidencyLoads, WaitsForTheSchedulerAndActsOnItsGrant)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.hello(entry, true, 5);
    fixture.call(lounge);
    fixture.advance(Milliseconds(100));
    EXPECT_TRUE(fixture.orders.empty());
    ASSERT_FALSE(fixture.heartbeats.empty());
    const auto &told = fixture.heartbeats.back().second;
    ASSERT_EQ(told.demands_size(), 1);
    EXPECT_EQ(told.demands(0).adapter(), "lounge");
    EXPECT_EQ(told.demands(0).waiting(), 1U);
    EXPECT_TRUE(told.demands(0).evictable_slot());
    fixture.message(entry, grantFor(lounge, 5, 1));
    ASSERT_EQ(fixture.orders.size(), 1U);
    fixture.answerOrders();
    EXPECT_EQ(lastResult(fixture), OrderOutcome::Done);
    EXPECT_EQ(fixture.started.size(), 1U);
}

TEST(ResidencyLoads, GrantOfAnOldSchedulerIsFencedOff)
{
    // A scheduler is paused past its lease and its successor has already granted loads. It wakes and sends what it had
    // decided. Acted on, two schedulers would together exceed the weight store's rate and undo each other's choices.
    SidecarFixture fixture;
    fixture.recover();
    fixture.hello(entry, true, 5);
    fixture.hello(otherEntry, true, 6);
    fixture.message(entry, grantFor(lounge, 5, 1));
    EXPECT_EQ(lastResult(fixture), OrderOutcome::FencedOff);
    EXPECT_TRUE(fixture.orders.empty());
}

TEST(ResidencyLoads, GrantForAnEarlierStartIsNotActedOn)
{
    // A sidecar restarts while a grant is on its way to it. The new start knows nothing of the demand behind it. Its
    // answer must not look like a refusal of the weight store, for which the scheduler holds all grants back.
    SidecarFixture fixture;
    fixture.recover();
    fixture.message(entry, grantFor(lounge, 5, 1, 49));
    EXPECT_EQ(lastResult(fixture), OrderOutcome::Expired);
    EXPECT_TRUE(fixture.orders.empty());
}

TEST(ResidencyLoads, GrantThatFindsNoSlotInTimeExpires)
{
    // A grant waits for a slot whose unload hangs. By then the scheduler has given the turn to somebody else, so that
    // a late load would be a second one at the weight store.
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

TEST(ResidencyLoads, GrantBeforeRecoveryEndsIsNotActedOn)
{
    SidecarFixture fixture;
    fixture.start();
    fixture.message(entry, grantFor(lounge, 5, 1));
    EXPECT_EQ(lastResult(fixture), OrderOutcome::Expired);
    fixture.answerOrders();
    EXPECT_EQ(fixture.takeOrder(OrderKind::Load).order, OrderHandle{});
}

TEST(ResidencyLoads, GrantThatComesTwiceLoadsOnce)
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

TEST(ResidencyLoads, GoesOnByItsShareWhenTheSchedulerFallsSilent)
{
    // The load scheduler dies and nobody takes over for a while. If sidecars went on waiting for grants, calls of
    // absent adapters would all miss their deadlines.
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

TEST(ResidencyLoads, FirstDemandAfterAQuietTimeWaitsForTheGrant)
{
    // A scheduler speaks only to sidecars that have demands. After a quiet hour its silence is no sign of its death: a
    // sidecar that loaded at once by itself would go past the weight store's rate, and so would all others.
    SidecarFixture fixture;
    fixture.recover();
    fixture.hello(entry, true, 5);
    fixture.hello(entry); // the same process greets as an entry as well
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

TEST(ResidencyLoads, SchedulerThatGrantsNothingIsNotWaitedForForEver)
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

TEST(ResidencyLoads, FreedSlotIsToldAtOnceToAWaitingScheduler)
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

TEST(ResidencyLoads, PopularAdapterOutlivesOneUsedJustNow)
{
    // Recency alone would evict the popular adapter that paused for a second, and its next callers would all stall.
    SidecarInit init;
    init.slots = 2;
    SidecarFixture fixture(init);
    fixture.recover();
    const auto serve = [&](const AdapterVersion &which) {
        fixture.call(which);
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
    EXPECT_EQ(fixture.orders[0].which, transit);
}

TEST(ResidencyLoads, NoThrashBetweenTwoAdaptersForOneSlot)
{
    // Two adapters alternate for one slot. Each call evicting the other's adapter would spend all time on loads. Calls
    // are served in runs instead, and each waits no longer than a bound.
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

// A call waits for an adapter while all slots hold adapters that were loaded a moment ago and that nobody uses. They
// are protected against thrash for longer than the call's whole patience: it was refused at the end of it, though a
// slot was idle all the time. Half of its patience is the most that it waits for the protection to end.
TEST(ResidencyLoads, IdleAdapterGivesWayBeforeTheCallersPatienceIsOver)
{
    SidecarInit init;
    init.slots = 1;
    SidecarFixture fixture(init);
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrders();
    ASSERT_EQ(fixture.started.size(), 1U);
    fixture.end(fixture.started.front().execution, CallOutcome::Complete);
    const Duration patience = Milliseconds(800); // the protection of an adapter just loaded is a second
    fixture.send(fixture.request(transit, patience));
    for (int i = 0; i < 20 && fixture.started.size() < 2; ++i) {
        fixture.advance(patience / 20);
        fixture.answerOrders();
    }
    EXPECT_EQ(fixture.started.size(), 2U);
    EXPECT_TRUE(fixture.engine.violations.empty());
}

// An adapter that is always in use takes no new calls, so that a starving call for another one gets its slot. Then the
// starving caller leaves. The next call for the resident adapter must run: it waited out its whole patience before,
// since nothing was planned any more while nobody waited for a load.
TEST(ResidencyLoads, AdapterServesAgainWhenTheStarvingCallerHasLeft)
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
    const auto held = fixture.request(lounge, Seconds(60));
    fixture.send(held);
    ASSERT_EQ(fixture.started.size(), 1U) << "the adapter yields";
    fixture.cancel(held.id());
    fixture.sidecar.onPeerLost(entry, fixture.now);
    fixture.collect();
    fixture.end(fixture.started.front().execution, CallOutcome::Cancelled);
    fixture.call(lounge);
    EXPECT_EQ(fixture.started.size(), 2U);
}

TEST(ResidencyLoads, UnpopularAdapterGetsItsTurnOnABusyEngine)
{
    // All slots serve adapters that are never idle, so that none reaches zero pins. A call for another adapter would
    // wait for ever; after the starvation bound one of them takes no new calls until it can be evicted.
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

// The sidecar's decisions under faults of the engine, of orders and of predecessors. Each test tells the failure that
// it causes; the engine of the fixture keeps its own books and notes what was done wrong.
#include "residency_fixture.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

namespace {

/// A sidecar with one slot, on which `lounge` is resident.
SidecarInit oneSlot()
{
    SidecarInit init;
    init.slots = 1;
    return init;
}

void makeResident(SidecarFixture &fixture, const AdapterVersion &which)
{
    fixture.call(which);
    fixture.answerOrders();
    fixture.end(fixture.started.back().execution, CallOutcome::Complete);
    fixture.started.clear();
    fixture.advance(Seconds(3)); // past the protection of a new resident
}

} // namespace

TEST(ResidencyFaults, BrokenConnectionKeepsThePin)
{
    // The caller's stream breaks. The sidecar's connection to the engine is gone, but the engine still runs the call;
    // another adapter then needs the slot. Unloading now would pull the adapter away under the running call.
    SidecarFixture fixture(oneSlot());
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrder();
    fixture.end(fixture.started[0].execution, CallOutcome::Unknown, FailureReason::EndpointCut, false);
    EXPECT_EQ(fixture.state(lounge).pins(), 1U);
    fixture.call(transit);
    fixture.settle(20);
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Resident);
    fixture.engine.running.clear();
    fixture.settle(5);
    EXPECT_EQ(fixture.residency(transit), ResidencyState::Resident);
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, ListAskedForBeforeTheBreakReleasesNothing)
{
    // A list is on its way when a second connection breaks. It was made while the call had not yet reached the
    // engine, so it shows none running. Taken as proof, it would free an adapter that is in use.
    SidecarFixture fixture(oneSlot());
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrder();
    fixture.end(fixture.started[0].execution, CallOutcome::Unknown, FailureReason::EndpointCut);
    fixture.advance(Milliseconds(600));
    const auto list = fixture.takeOrder(OrderKind::List);
    ASSERT_TRUE(list.order);
    const auto before = fixture.engine.list();
    fixture.call(lounge);
    fixture.end(fixture.started.back().execution, CallOutcome::Unknown, FailureReason::EndpointCut, false);
    fixture.sidecar.onEngineList(list.order, before, fixture.now);
    fixture.collect();
    EXPECT_GE(fixture.state(lounge).pins(), 1U);
}

TEST(ResidencyFaults, ConfirmedEndsReleaseThePin)
{
    SidecarFixture fixture;
    fixture.recover();
    for (int i = 0; i < 5; ++i) {
        fixture.call(lounge);
    }
    fixture.answerOrder();
    fixture.end(fixture.started[0].execution, CallOutcome::Complete);
    fixture.end(fixture.started[1].execution, CallOutcome::Cancelled, FailureReason::CallerGone);
    fixture.end(fixture.started[2].execution, CallOutcome::Failed, FailureReason::EndpointError);
    fixture.end(fixture.started[3].execution, CallOutcome::Failed, FailureReason::EndpointUnreachable);
    // A long answer that was read whole but not kept: unknown to a repeat, over for the engine.
    fixture.end(fixture.started[4].execution, CallOutcome::Unknown, FailureReason::AnswerIncomplete);
    EXPECT_EQ(fixture.state(lounge).pins(), 0U);
}

TEST(ResidencyFaults, EvictsOnlyAtZeroPins)
{
    SidecarFixture fixture(oneSlot());
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrder();
    fixture.call(transit);
    fixture.advance(Seconds(8));
    EXPECT_TRUE(fixture.orders.empty()) << "lounge is in use";
    fixture.end(fixture.started[0].execution, CallOutcome::Complete);
    fixture.advance(Seconds(2));
    ASSERT_EQ(fixture.orders.size(), 1U);
    EXPECT_EQ(fixture.orders[0].kind, OrderKind::Unload);
    // A call for the adapter that is being unloaded takes no pin; it waits for the next load.
    fixture.call(lounge);
    EXPECT_EQ(fixture.started.size(), 1U);
    EXPECT_EQ(fixture.state(lounge).pins(), 0U);
}

TEST(ResidencyFaults, LostReplyOfALoadIsSettledByTheList)
{
    // The reply to a load is lost. The engine may have the adapter, may get it later, or never. Calls must not be
    // sent to it and its slot must not be used for another before that is known.
    SidecarFixture fixture(oneSlot());
    fixture.recover();
    fixture.call(lounge);
    const auto load = fixture.takeOrder(OrderKind::Load);
    fixture.reply(load, OrderOutcome::Unknown);
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Unknown);
    fixture.advance(Seconds(2));
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Unknown) << "a list without it proves nothing yet";
    fixture.engine.apply(load); // lands late
    fixture.advance(Seconds(2));
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Resident);
    EXPECT_EQ(fixture.started.size(), 1U);
}

TEST(ResidencyFaults, LostLoadThatNeverLandsFreesTheSlotAfterTheOrderTimeout)
{
    SidecarInit init = oneSlot();
    init.orderTimeout = Seconds(10);
    SidecarFixture fixture(init);
    fixture.recover();
    fixture.call(lounge);
    fixture.reply(fixture.takeOrder(OrderKind::Load), OrderOutcome::Unknown);
    for (int i = 0; i < 9; ++i) {
        fixture.advance(Seconds(1));
        fixture.answerOrders();
        EXPECT_EQ(fixture.residency(lounge), ResidencyState::Unknown);
    }
    fixture.advance(Seconds(3));
    fixture.answerOrders();
    EXPECT_NE(fixture.residency(lounge), ResidencyState::Unknown);
}

TEST(ResidencyFaults, LostReplyOfAnUnloadTakesNoCallBeforeItIsSettled)
{
    // The reply to an unload is lost and the engine still shows the adapter. A call is sent to it, and then the unload
    // lands: the call loses its adapter. So the adapter takes no call until the order can't land any more.
    SidecarInit init = oneSlot();
    init.orderTimeout = Seconds(10);
    SidecarFixture fixture(init);
    fixture.recover();
    makeResident(fixture, lounge);
    fixture.call(transit);
    const auto unload = fixture.takeOrder(OrderKind::Unload);
    ASSERT_TRUE(unload.order);
    fixture.reply(unload, OrderOutcome::Unknown);
    fixture.call(lounge);
    fixture.advance(Seconds(2));
    fixture.answerOrders();
    EXPECT_TRUE(fixture.started.empty());
    fixture.engine.apply(unload);
    fixture.settle(15);
    EXPECT_FALSE(fixture.started.empty());
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, OverdueReplyCountsAsLost)
{
    SidecarInit init;
    init.orderTimeout = Seconds(10);
    SidecarFixture fixture(init);
    fixture.recover();
    fixture.call(lounge);
    const auto load = fixture.takeOrder(OrderKind::Load);
    fixture.advance(Seconds(12));
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Unknown);
    fixture.reply(load, OrderOutcome::Done); // too late to be trusted: the list decides
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Unknown);
}

TEST(ResidencyFaults, NewSidecarProtectsCallsOfItsPredecessor)
{
    // A sidecar is killed while the engine runs its call. The new one knows nothing of the call; evicting its adapter
    // for a newcomer would cut the call. It waits until the engine shows none running.
    SidecarFixture fixture(oneSlot());
    fixture.engine.loaded.insert(lounge);
    fixture.engine.running.push_back({ExecutionHandle{999}, lounge, {}});
    fixture.recover();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Resident);
    fixture.call(transit);
    fixture.settle(12);
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Resident);
    fixture.engine.running.clear();
    fixture.settle(5);
    EXPECT_EQ(fixture.residency(transit), ResidencyState::Resident);
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, OrderOfAPredecessorIsFencedOff)
{
    // The predecessor's unload is still on its way when the new sidecar begins. Landing later it would pull an adapter
    // away under a call. A checking endpoint refuses it, because it has seen the larger number before.
    SidecarFixture fixture;
    fixture.engine.loaded.insert(lounge);
    fixture.engine.highestFence = 40;
    SendOrder unload;
    unload.kind = OrderKind::Unload;
    unload.which = lounge;
    unload.fence = 40;
    fixture.recover();
    EXPECT_GE(fixture.engine.highestFence, 50U);
    fixture.call(lounge);
    ASSERT_EQ(fixture.started.size(), 1U);
    EXPECT_EQ(fixture.engine.apply(unload), OrderOutcome::FencedOff);
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, FenceGrowsPastANumberFromAClockThatWasAhead)
{
    SidecarFixture fixture;
    fixture.engine.highestFence = 5000;
    fixture.recover();
    fixture.call(lounge);
    ASSERT_EQ(fixture.orders.size(), 1U);
    EXPECT_EQ(fixture.orders[0].fence, 5001U);
}

TEST(ResidencyFaults, EndpointThatIgnoresFencesIsWaitedOut)
{
    // As above, but the endpoint checks no numbers: the predecessor's unload lands seconds after the start. Nothing is
    // admitted before the longest order is over.
    SidecarInit init;
    init.endpointChecksFence = false;
    init.orderTimeout = Seconds(10);
    SidecarFixture fixture(init);
    fixture.engine.loaded.insert(lounge);
    fixture.recover();
    const auto early = fixture.call(lounge);
    EXPECT_EQ(fixture.refusalOf(early), RefusalReason::Recovering);
    EXPECT_LE(fixture.refusals.back().retry_after_us(), 10'000'000U);
    fixture.advance(Seconds(9));
    fixture.answerOrders();
    EXPECT_EQ(fixture.refusalOf(fixture.call(lounge)), RefusalReason::Recovering);
    SendOrder unload;
    unload.kind = OrderKind::Unload;
    unload.which = lounge;
    fixture.engine.apply(unload);
    fixture.advance(Seconds(2));
    fixture.answerOrders();
    const auto served = fixture.call(lounge);
    EXPECT_FALSE(fixture.refusalOf(served));
    fixture.answerOrders();
    EXPECT_EQ(fixture.started.size(), 1U);
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, EngineRestartLosesAdaptersAndPins)
{
    // The engine restarts with calls in flight. Their connections may hang for long. Adapters believed resident are
    // gone: a call sent on would fail. All start cold, and the running calls are ended.
    SidecarFixture fixture;
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrder();
    fixture.engine.restart();
    fixture.sidecar.onEngineReport({fixture.engine.incarnation, 0, 0, 0, {}}, fixture.now);
    fixture.collect();
    ASSERT_EQ(fixture.cancelled.size(), 1U);
    EXPECT_EQ(fixture.cancelled[0].why, FailureReason::EndpointRestarted);
    EXPECT_EQ(fixture.sidecar.stats().running, 0U);
    const auto during = fixture.call(lounge);
    EXPECT_EQ(fixture.refusalOf(during), RefusalReason::Recovering);
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Absent);
    fixture.call(lounge);
    fixture.advance(Seconds(5));
    fixture.answerOrders();
    EXPECT_EQ(fixture.started.size(), 2U);
    fixture.end(fixture.started[0].execution, CallOutcome::Unknown, FailureReason::EndpointRestarted);
    EXPECT_EQ(fixture.state(lounge).pins(), 1U) << "the end of the old call is not the new one's";
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, LateReportOfTheOldEngineIsIgnored)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.engine.restart();
    fixture.sidecar.onEngineReport({fixture.engine.incarnation, 0, 0, 0, {}}, fixture.now);
    fixture.collect();
    fixture.sidecar.onEngineReport({fixture.engine.incarnation - 1, 0, 0, 0, {}}, fixture.now);
    fixture.collect();
    EXPECT_EQ(fixture.sidecar.stats().engineRestarts, 1U);
}

TEST(ResidencyFaults, LoadGivenToTheNewEngineBeforeItsRestartWasNoticed)
{
    // The engine restarts unnoticed; a load goes to the new process and succeeds, its reply is delayed. Then the new
    // incarnation is noticed. Taking the adapter as absent would load it into a second slot's place.
    SidecarFixture fixture(oneSlot());
    fixture.recover();
    fixture.engine.restart();
    fixture.call(lounge);
    const auto load = fixture.takeOrder(OrderKind::Load);
    fixture.engine.apply(load);
    fixture.sidecar.onEngineReport({fixture.engine.incarnation, 0, 0, 0, {}}, fixture.now);
    fixture.collect();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Unknown);
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Resident);
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, UnloadGivenAroundARestartMayLandAfterTheNextLoad)
{
    // The engine restarts unnoticed and an unload is on its way to the new process. The list then shows the adapter
    // gone, but by the restart. Taken as the unload's effect, the adapter would be loaded again and used, and the
    // unload would land under the running call.
    SidecarInit init = oneSlot();
    init.orderTimeout = Seconds(10);
    SidecarFixture fixture(init);
    fixture.recover();
    makeResident(fixture, lounge);
    fixture.engine.restart();
    fixture.call(transit);
    const auto unload = fixture.takeOrder(OrderKind::Unload);
    ASSERT_EQ(unload.which, lounge);
    fixture.sidecar.onEngineReport({fixture.engine.incarnation, 0, 0, 0, {}}, fixture.now);
    fixture.collect();
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Unknown);
    fixture.call(lounge);
    fixture.advance(Seconds(3));
    fixture.answerOrders();
    EXPECT_TRUE(fixture.started.empty());
    fixture.engine.apply(unload);
    fixture.settle(12);
    EXPECT_FALSE(fixture.started.empty());
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, VersionThatKeepsFailingIsQuarantined)
{
    // A broken version fails each load. Tried again and again it would take the weight store's rate from everyone
    // while its callers wait out their deadlines.
    SidecarFixture fixture;
    fixture.recover();
    std::uint64_t last = 0;
    for (int i = 0; i < 3; ++i) {
        last = fixture.call(lounge);
        fixture.advance(Seconds(8));
        const auto load = fixture.takeOrder(OrderKind::Load);
        ASSERT_TRUE(load.order) << i;
        fixture.reply(load, OrderOutcome::Failed);
    }
    EXPECT_EQ(fixture.refusalOf(last), RefusalReason::AdapterQuarantined);
    const auto later = fixture.call(lounge);
    EXPECT_EQ(fixture.refusalOf(later), RefusalReason::AdapterQuarantined);
    EXPECT_GT(fixture.refusals.back().retry_after_us(), 20'000'000U);
    fixture.call(transit);
    fixture.advance(Seconds(1));
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(transit), ResidencyState::Resident) << "others are untouched";
    fixture.advance(Seconds(31));
    fixture.call(lounge);
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Resident) << "one trial after the quarantine";
}

TEST(ResidencyFaults, RefusalOfTheWeightStoreIsNoFaultOfTheVersion)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.call(lounge);
    for (int i = 0; i < 6; ++i) {
        fixture.advance(Seconds(3));
        const auto load = fixture.takeOrder(OrderKind::Load);
        if (load.order) {
            fixture.reply(load, OrderOutcome::Refused);
        }
    }
    EXPECT_EQ(fixture.sidecar.stats().quarantines, 0U);
    fixture.advance(Seconds(3));
    fixture.answerOrders();
    EXPECT_EQ(fixture.started.size(), 1U);
}

TEST(ResidencyFaults, OrderFencedOffEndsThisSidecar)
{
    // Another process with a larger number gives the engine orders. Two that decide on evictions would pull adapters
    // away under each other's calls; the one with the smaller number stops.
    SidecarFixture fixture;
    fixture.recover();
    fixture.call(lounge);
    fixture.engine.highestFence = 1'000'000;
    fixture.answerOrders();
    EXPECT_TRUE(fixture.sidecar.leaving());
}

TEST(ResidencyFaults, LostEndpointHandsBackWhatWaits)
{
    SidecarInit init;
    init.batchLimit = 1;
    SidecarFixture fixture(init);
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrder();
    const auto waiting = fixture.call(lounge);
    fixture.sidecar.onEngineLost(fixture.now);
    fixture.collect();
    EXPECT_EQ(fixture.refusalOf(waiting), RefusalReason::EndpointDown);
    fixture.advance(Seconds(2));
    fixture.answerOrders();
    const auto later = fixture.call(lounge);
    EXPECT_FALSE(fixture.refusalOf(later));
}

TEST(ResidencyFaults, EntryThatDiesLeavesNothingRunning)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.hello(entry);
    fixture.call(lounge);
    fixture.answerOrder();
    fixture.sidecar.onPeerLost(entry, fixture.now);
    fixture.collect();
    EXPECT_EQ(fixture.cancelled.size(), 1U);
    const auto count = fixture.heartbeats.size();
    fixture.advance(Seconds(5));
    EXPECT_EQ(fixture.heartbeats.size(), count);
}

} // namespace anvilscale::test

// Tests of the sidecar under faults of the engine, lost orders and orders of a predecessor.
#include "residency_fixture.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

namespace {

SidecarInit oneSlot()
{
    SidecarInit init;
    init.slots = 1;
    return init;
}

void makeResident(SidecarFixture &fixture, const AdapterVersion &adapterVersion)
{
    fixture.call(adapterVersion);
    fixture.answerOrders();
    fixture.end(fixture.started.back().execution, CallOutcome::Complete);
    fixture.started.clear();
    fixture.advance(Seconds(3)); // past the eviction protection after a load
}

} // namespace

TEST(ResidencyFaults, BrokenConnectionKeepsPin)
{
    // Guards against unloading an adapter whose call still runs at the engine after its connection broke.
    SidecarFixture fixture(oneSlot());
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrder();
    fixture.end(fixture.started[0].execution, CallOutcome::Unknown, FailureReason::EndpointCut, false);
    EXPECT_EQ(fixture.state(lounge).pins(), 1U);
    fixture.call(transit);
    fixture.runSeconds(20);
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Resident);
    fixture.engine.running.clear();
    fixture.runSeconds(5);
    EXPECT_EQ(fixture.residency(transit), ResidencyState::Resident);
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, ListRequestedBeforeDisconnectReleasesNoPin)
{
    // Guards against unpinning an adapter in use because of a list created before the call reached the engine.
    SidecarFixture fixture(oneSlot());
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrder();
    fixture.end(fixture.started[0].execution, CallOutcome::Unknown, FailureReason::EndpointCut);
    fixture.advance(Milliseconds(600));
    const auto list = fixture.takeOrder(OrderKind::List);
    ASSERT_TRUE(list.order);
    const auto outdatedList = fixture.engine.list();
    fixture.call(lounge);
    fixture.end(fixture.started.back().execution, CallOutcome::Unknown, FailureReason::EndpointCut, false);
    fixture.sidecar.onEngineList(list.order, outdatedList, fixture.now);
    fixture.collect();
    EXPECT_GE(fixture.state(lounge).pins(), 1U);
}

TEST(ResidencyFaults, ConfirmedEndReleasesPin)
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
    // The answer was read completely but is too long to be kept: the engine has finished the call.
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
    // A call for the adapter that is being unloaded gets no pin and waits for the next load.
    fixture.call(lounge);
    EXPECT_EQ(fixture.started.size(), 1U);
    EXPECT_EQ(fixture.state(lounge).pins(), 0U);
}

TEST(ResidencyFaults, LostLoadReplyIsResolvedByList)
{
    // Guards against sending calls to an adapter, or reusing its slot, while the effect of its load is unknown.
    SidecarFixture fixture(oneSlot());
    fixture.recover();
    fixture.call(lounge);
    const auto load = fixture.takeOrder(OrderKind::Load);
    fixture.reply(load, OrderOutcome::Unknown);
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Unknown);
    fixture.advance(Seconds(2));
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Unknown) << "a list without it proves nothing yet";
    fixture.engine.apply(load); // takes effect late
    fixture.advance(Seconds(2));
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Resident);
    EXPECT_EQ(fixture.started.size(), 1U);
}

TEST(ResidencyFaults, LostLoadFreesSlotAfterOrderTimeout)
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

TEST(ResidencyFaults, LostUnloadReplyBlocksCallsUntilResolved)
{
    // Guards against starting a call on an adapter whose unload may still take effect.
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
    fixture.runSeconds(15);
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
    fixture.reply(load, OrderOutcome::Done); // late reply: only a list may resolve the state
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Unknown);
}

TEST(ResidencyFaults, NewSidecarProtectsCallsOfPredecessor)
{
    // Guards against evicting an adapter under a call that was started by a killed predecessor.
    SidecarFixture fixture(oneSlot());
    fixture.engine.loaded.insert(lounge);
    fixture.engine.running.push_back({ExecutionHandle{999}, lounge, {}});
    fixture.recover();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Resident);
    fixture.call(transit);
    fixture.runSeconds(12);
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Resident);
    fixture.engine.running.clear();
    fixture.runSeconds(5);
    EXPECT_EQ(fixture.residency(transit), ResidencyState::Resident);
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, PredecessorOrderIsFencedOff)
{
    // Guards against a delayed unload of the predecessor: the endpoint must have received a larger fencing number.
    SidecarFixture fixture;
    fixture.engine.loaded.insert(lounge);
    fixture.engine.highestFence = 40;
    SendOrder unload;
    unload.kind = OrderKind::Unload;
    unload.adapterVersion = lounge;
    unload.fence = 40;
    fixture.recover();
    EXPECT_GE(fixture.engine.highestFence, 50U);
    fixture.call(lounge);
    ASSERT_EQ(fixture.started.size(), 1U);
    EXPECT_EQ(fixture.engine.apply(unload), OrderOutcome::FencedOff);
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, FenceExceedsNumberFromFastClock)
{
    SidecarFixture fixture;
    fixture.engine.highestFence = 5000;
    fixture.recover();
    fixture.call(lounge);
    ASSERT_EQ(fixture.orders.size(), 1U);
    EXPECT_EQ(fixture.orders[0].fence, 5001U);
}

TEST(ResidencyFaults, RecoveryWaitsForOrdersWithoutFencing)
{
    // Guards against admitting calls while an order of the predecessor may take effect at an endpoint without fencing.
    SidecarInit init;
    init.endpointChecksFence = false;
    init.orderTimeout = Seconds(10);
    SidecarFixture fixture(init);
    fixture.engine.loaded.insert(lounge);
    fixture.recover();
    const auto duringWait = fixture.call(lounge);
    EXPECT_EQ(fixture.refusalOf(duringWait), RefusalReason::Recovering);
    EXPECT_LE(fixture.refusals.back().retry_after_us(), 10'000'000U);
    fixture.advance(Seconds(9));
    fixture.answerOrders();
    EXPECT_EQ(fixture.refusalOf(fixture.call(lounge)), RefusalReason::Recovering);
    SendOrder unload;
    unload.kind = OrderKind::Unload;
    unload.adapterVersion = lounge;
    fixture.engine.apply(unload);
    fixture.advance(Seconds(2));
    fixture.answerOrders();
    const auto afterWait = fixture.call(lounge);
    EXPECT_FALSE(fixture.refusalOf(afterWait));
    fixture.answerOrders();
    EXPECT_EQ(fixture.started.size(), 1U);
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, EngineRestartClearsAdaptersAndPins)
{
    // Guards against sending calls to adapters that were lost in an engine restart, and against hung executions.
    SidecarFixture fixture;
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrder();
    fixture.engine.restart();
    fixture.sidecar.onEngineReport({fixture.engine.incarnation, 0, 0, 0, {}}, fixture.now);
    fixture.collect();
    ASSERT_EQ(fixture.cancelled.size(), 1U);
    EXPECT_EQ(fixture.cancelled[0].reason, FailureReason::EndpointRestarted);
    EXPECT_EQ(fixture.sidecar.stats().running, 0U);
    const auto duringRecovery = fixture.call(lounge);
    EXPECT_EQ(fixture.refusalOf(duringRecovery), RefusalReason::Recovering);
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Absent);
    fixture.call(lounge);
    fixture.advance(Seconds(5));
    fixture.answerOrders();
    EXPECT_EQ(fixture.started.size(), 2U);
    fixture.end(fixture.started[0].execution, CallOutcome::Unknown, FailureReason::EndpointRestarted);
    EXPECT_EQ(fixture.state(lounge).pins(), 1U) << "the end of the old call does not release the pin of the new one";
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, LateReportFromOldEngineIsIgnored)
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

TEST(ResidencyFaults, LoadBeforeRestartDetectionIsResolvedByList)
{
    // A load may succeed at the new engine process before its restart is detected. Guards against treating the adapter
    // as absent, which would overcommit the slots.
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

TEST(ResidencyFaults, UnloadSentAroundRestartMayTakeEffectLate)
{
    // After an undetected restart the adapter is absent although a pending unload was not executed. Guards against
    // loading it again and starting a call before the unload takes effect.
    SidecarInit init = oneSlot();
    init.orderTimeout = Seconds(10);
    SidecarFixture fixture(init);
    fixture.recover();
    makeResident(fixture, lounge);
    fixture.engine.restart();
    fixture.call(transit);
    const auto unload = fixture.takeOrder(OrderKind::Unload);
    ASSERT_EQ(unload.adapterVersion, lounge);
    fixture.sidecar.onEngineReport({fixture.engine.incarnation, 0, 0, 0, {}}, fixture.now);
    fixture.collect();
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Unknown);
    fixture.call(lounge);
    fixture.advance(Seconds(3));
    fixture.answerOrders();
    EXPECT_TRUE(fixture.started.empty());
    fixture.engine.apply(unload);
    fixture.runSeconds(12);
    EXPECT_FALSE(fixture.started.empty());
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(ResidencyFaults, RepeatedlyFailingVersionIsQuarantined)
{
    // Guards against a broken version that uses up the weight store's rate while its callers wait for their deadlines.
    SidecarFixture fixture;
    fixture.recover();
    std::uint64_t lastCall = 0;
    for (int i = 0; i < 3; ++i) {
        lastCall = fixture.call(lounge);
        fixture.advance(Seconds(8));
        const auto load = fixture.takeOrder(OrderKind::Load);
        ASSERT_TRUE(load.order) << i;
        fixture.reply(load, OrderOutcome::Failed);
    }
    EXPECT_EQ(fixture.refusalOf(lastCall), RefusalReason::AdapterQuarantined);
    const auto laterCall = fixture.call(lounge);
    EXPECT_EQ(fixture.refusalOf(laterCall), RefusalReason::AdapterQuarantined);
    EXPECT_GT(fixture.refusals.back().retry_after_us(), 20'000'000U);
    fixture.call(transit);
    fixture.advance(Seconds(1));
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(transit), ResidencyState::Resident) << "other adapters are unaffected";
    fixture.advance(Seconds(31));
    fixture.call(lounge);
    fixture.answerOrders();
    EXPECT_EQ(fixture.residency(lounge), ResidencyState::Resident) << "one trial after the quarantine";
}

TEST(ResidencyFaults, WeightStoreRefusalDoesNotQuarantine)
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

TEST(ResidencyFaults, FencedOffOrderStartsDrain)
{
    // Guards against two sidecars that evict each other's adapters: the one with the smaller fencing number drains.
    SidecarFixture fixture;
    fixture.recover();
    fixture.call(lounge);
    fixture.engine.highestFence = 1'000'000;
    fixture.answerOrders();
    EXPECT_TRUE(fixture.sidecar.isLeaving());
}

TEST(ResidencyFaults, WaitingCallsAreRefusedWhenEndpointIsLost)
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
    const auto laterCall = fixture.call(lounge);
    EXPECT_FALSE(fixture.refusalOf(laterCall));
}

TEST(ResidencyFaults, LostEntryCancelsItsCalls)
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

// Tests of the sidecar without faults: admission, loads, batch limit, repeats, cancels, heartbeats and drain.
#include "residency_fixture.h"

#include <gtest/gtest.h>

#include <set>

namespace anvilscale::test {

TEST(Residency, LoadsOnDemandAndServesAllWaitingCalls)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.call(lounge);
    fixture.call(lounge);
    ASSERT_EQ(fixture.orders.size(), 1U);
    EXPECT_EQ(fixture.orders[0].kind, OrderKind::Load);
    EXPECT_EQ(fixture.orders[0].adapterVersion, lounge);
    EXPECT_TRUE(fixture.started.empty());

    fixture.advance(Milliseconds(300));
    fixture.answerOrder();
    ASSERT_EQ(fixture.started.size(), 2U);
    EXPECT_EQ(fixture.started[0].request.stall_us(), 300'000U);
    EXPECT_EQ(fixture.state(lounge).pins(), 2U);
    EXPECT_EQ(fixture.sidecar.stats().loads, 1U);

    fixture.end(fixture.started[0].execution, CallOutcome::Complete);
    fixture.end(fixture.started[1].execution, CallOutcome::Complete);
    EXPECT_EQ(fixture.state(lounge).pins(), 0U);
    EXPECT_TRUE(fixture.engine.violations.empty());
}

TEST(Residency, RespectsBatchLimit)
{
    SidecarInit init;
    init.batchLimit = 2;
    SidecarFixture fixture(init);
    fixture.recover();
    for (int i = 0; i < 5; ++i) {
        fixture.call(lounge);
    }
    fixture.answerOrder();
    EXPECT_EQ(fixture.started.size(), 2U);
    fixture.end(fixture.started[0].execution, CallOutcome::Complete);
    EXPECT_EQ(fixture.started.size(), 3U);
}

TEST(Residency, UrgentCallsStartFirst)
{
    SidecarInit init;
    init.batchLimit = 1;
    SidecarFixture fixture(init);
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrder();
    auto bulk = fixture.request(lounge);
    bulk.set_call_class(static_cast<std::uint32_t>(CallClass::Bulk));
    fixture.send(bulk);
    auto urgent = fixture.request(lounge);
    urgent.set_call_class(static_cast<std::uint32_t>(CallClass::Urgent));
    fixture.send(urgent);
    fixture.end(fixture.started[0].execution, CallOutcome::Complete);
    ASSERT_EQ(fixture.started.size(), 2U);
    EXPECT_EQ(fixture.started[1].request.id().call(), urgent.id().call());
}

TEST(Residency, BulkCallIsNotStarvedByUrgentCalls)
{
    // Guards against starvation: after two starvation bounds the bulk call ranks as urgent with an earlier deadline.
    SidecarInit init;
    init.batchLimit = 1;
    SidecarFixture fixture(init);
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrder();
    auto bulk = fixture.request(lounge, Seconds(60));
    bulk.set_call_class(static_cast<std::uint32_t>(CallClass::Bulk));
    fixture.send(bulk);
    bool served = false;
    for (int i = 0; i < 40 && !served; ++i) {
        auto urgent = fixture.request(lounge, Seconds(60));
        urgent.set_call_class(static_cast<std::uint32_t>(CallClass::Urgent));
        fixture.send(urgent);
        fixture.advance(Milliseconds(500));
        fixture.end(fixture.started.back().execution, CallOutcome::Complete);
        served = fixture.started.back().request.id().call() == bulk.id().call();
    }
    EXPECT_TRUE(served);
}

TEST(Residency, RefusesUnknownServiceAndExpiredCall)
{
    SidecarFixture fixture;
    fixture.recover();
    auto service = fixture.request({});
    service.set_service("admission");
    fixture.send(service);
    EXPECT_EQ(fixture.refusalOf(service.id().call()), RefusalReason::UnknownService);
    auto late = fixture.request(lounge, Duration(0));
    fixture.send(late);
    EXPECT_EQ(fixture.refusalOf(late.id().call()), RefusalReason::DeadlinePassed);
    for (const auto &refused : fixture.refusals) {
        EXPECT_TRUE(refused.proved_not_run());
    }
}

TEST(Residency, RepeatAttachesToTheRunningExecution)
{
    // Guards against running a caller's repeat as a second execution, which would queue and time out again.
    SidecarFixture fixture;
    fixture.recover();
    auto first = fixture.request(lounge);
    first.set_key("0192f0c1-0000-7000-8000-000000000001");
    fixture.send(first);
    fixture.answerOrder();
    ASSERT_EQ(fixture.started.size(), 1U);
    fixture.cancel(first.id());
    EXPECT_TRUE(fixture.cancelled.empty()) << "the cancel is deferred for a repeat";
    auto repeat = first;
    repeat.mutable_id()->set_attempt(2);
    fixture.send(repeat, otherEntry);
    ASSERT_EQ(fixture.attached.size(), 1U);
    EXPECT_EQ(fixture.attached[0].execution, fixture.started[0].execution);
    fixture.advance(Seconds(15));
    EXPECT_TRUE(fixture.cancelled.empty());
    EXPECT_EQ(fixture.sidecar.stats().executions, 1U);
}

TEST(Residency, DeferredCancelFiresWithoutRepeat)
{
    SidecarFixture fixture;
    fixture.recover();
    auto keyed = fixture.request(lounge);
    keyed.set_key("0192f0c1-0000-7000-8000-000000000001");
    fixture.send(keyed);
    const auto plain = fixture.request(lounge);
    fixture.send(plain);
    fixture.answerOrder();
    fixture.cancel(plain.id());
    ASSERT_EQ(fixture.cancelled.size(), 1U) << "without a key no repeat can attach";
    fixture.cancel(keyed.id());
    fixture.advance(Seconds(9));
    EXPECT_EQ(fixture.cancelled.size(), 1U);
    fixture.advance(Seconds(2));
    EXPECT_EQ(fixture.cancelled.size(), 2U);
}

TEST(Residency, DuplicateOfRefusedRequestDoesNotRun)
{
    // Guards against running a duplicate after its first copy was refused as "not run".
    SidecarFixture fixture;
    const auto request = fixture.request(lounge);
    fixture.start();
    fixture.send(request);
    EXPECT_EQ(fixture.refusalOf(request.id().call()), RefusalReason::Recovering);
    fixture.answerOrders();
    fixture.answerOrders();
    fixture.answerOrders();
    fixture.send(request);
    fixture.answerOrders();
    EXPECT_TRUE(fixture.started.empty());
    EXPECT_EQ(fixture.sidecar.stats().droppedMessages, 1U);
}

TEST(Residency, CancelBeforeItsCallPreventsExecution)
{
    SidecarFixture fixture;
    fixture.recover();
    const auto request = fixture.request(lounge);
    fixture.cancel(request.id());
    fixture.send(request);
    fixture.answerOrders();
    EXPECT_TRUE(fixture.started.empty());
}

TEST(Residency, QueuedCallIsRefusedAtItsDeadline)
{
    SidecarFixture fixture;
    fixture.recover();
    const auto request = fixture.request(lounge, Seconds(2));
    fixture.send(request);
    fixture.advance(Seconds(3));
    EXPECT_EQ(fixture.refusalOf(request.id().call()), RefusalReason::DeadlinePassed);
    fixture.answerOrder();
    EXPECT_TRUE(fixture.started.empty());
}

TEST(Residency, QueueIsBoundedAndUrgentCallsDisplaceLowerOnes)
{
    SidecarFixture fixture;
    fixture.recover();
    const auto limit = Policy{}.queueLimit;
    for (std::uint32_t i = 0; i < limit; ++i) {
        fixture.call(lounge);
    }
    const auto refused = fixture.call(lounge);
    EXPECT_EQ(fixture.refusalOf(refused), RefusalReason::QueueFull);
    EXPECT_GT(fixture.refusals.back().retry_after_us(), 0U);
    auto urgent = fixture.request(transit);
    urgent.set_call_class(static_cast<std::uint32_t>(CallClass::Urgent));
    fixture.send(urgent);
    EXPECT_FALSE(fixture.refusalOf(urgent.id().call()));
    EXPECT_EQ(fixture.sidecar.stats().queued, limit);
    EXPECT_EQ(fixture.sidecar.stats().refusals.of(RefusalReason::QueueFull), 2U);
}

TEST(Residency, DrainFinishesRunningCallsAndRefusesOthers)
{
    SidecarInit init;
    init.batchLimit = 1;
    SidecarFixture fixture(init);
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrder();
    const auto waiting = fixture.call(lounge);
    fixture.sidecar.drain(fixture.now);
    fixture.sidecar.drain(fixture.now);
    fixture.collect();
    EXPECT_EQ(fixture.refusalOf(waiting), RefusalReason::Leaving);
    const auto later = fixture.call(lounge);
    EXPECT_EQ(fixture.refusalOf(later), RefusalReason::Leaving);
    EXPECT_EQ(fixture.drained, 0);
    EXPECT_TRUE(fixture.cancelled.empty());
    fixture.end(fixture.started[0].execution, CallOutcome::Complete);
    EXPECT_EQ(fixture.drained, 1);
}

TEST(Residency, PlainServiceRespectsBatchLimit)
{
    SidecarInit init;
    init.kind = EndpointKind::Service;
    init.services = {"ledger"};
    init.batchLimit = 2;
    SidecarFixture fixture(init);
    fixture.start();
    EXPECT_TRUE(fixture.orders.empty());
    for (int i = 0; i < 3; ++i) {
        auto request = fixture.request({});
        request.set_service("ledger");
        fixture.send(request);
    }
    EXPECT_EQ(fixture.started.size(), 2U);
    fixture.end(fixture.started[0].execution, CallOutcome::Complete);
    EXPECT_EQ(fixture.started.size(), 3U);
}

TEST(Residency, HeartbeatsAreDeltasAfterAFullState)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.hello(entry);
    ASSERT_EQ(fixture.heartbeats.size(), 1U);
    EXPECT_TRUE(fixture.heartbeats[0].second.full());
    EXPECT_TRUE(fixture.heartbeats[0].second.admitting());
    const auto sequence = fixture.heartbeats[0].second.sequence();
    fixture.call(lounge);
    fixture.answerOrder();
    fixture.advance(Milliseconds(100));
    ASSERT_GE(fixture.heartbeats.size(), 2U);
    const auto &delta = fixture.heartbeats.back().second;
    EXPECT_FALSE(delta.full());
    EXPECT_EQ(delta.sequence(), sequence + fixture.heartbeats.size() - 1);
    ASSERT_EQ(delta.adapters_size(), 1);
    EXPECT_EQ(delta.adapters(0).state(), static_cast<std::uint32_t>(ResidencyState::Resident));
    EXPECT_EQ(delta.free_slots(), 3U);
    fixture.hello(otherEntry);
    fixture.advance(Milliseconds(100));
    EXPECT_EQ(fixture.heartbeats.back().first, otherEntry);
    EXPECT_TRUE(fixture.heartbeats.back().second.full());
    EXPECT_EQ(fixture.heartbeats.back().second.adapters_size(), 1);
}

TEST(Residency, HeartbeatsStayWithinControlBudget)
{
    SidecarFixture fixture;
    fixture.recover();
    for (std::uint64_t peer = 1; peer <= 20; ++peer) {
        fixture.hello(PeerHandle{peer});
    }
    const auto bytesBefore = fixture.sidecar.stats().heartbeatBytes;
    constexpr int seconds = 60;
    for (int i = 0; i < seconds * 10; ++i) {
        const auto call = fixture.call(i % 2 == 0 ? lounge : transit);
        fixture.answerOrders();
        for (const auto &start : fixture.started) {
            fixture.end(start.execution, CallOutcome::Complete);
        }
        fixture.started.clear();
        EXPECT_FALSE(fixture.refusalOf(call));
        fixture.advance(Milliseconds(100));
        for (std::uint64_t peer = 1; peer <= 20; ++peer) {
            // Heartbeats must stay frequent enough that no receiver suspects the sidecar.
            EXPECT_LE(fixture.now.mono - fixture.lastReceivedAt.at(PeerHandle{peer}), Timing().suspect / 2);
        }
    }
    const auto sentBytes = fixture.sidecar.stats().heartbeatBytes - bytesBefore;
    EXPECT_LE(sentBytes, 5000U * seconds + 10'000U);
}

// Guards against sending a call that waited during a pause of the process to an endpoint that may have left meanwhile.
TEST(Residency, WaitingCallsAreRefusedAfterPause)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.hello(entry);
    const auto call = fixture.call(lounge);
    ASSERT_TRUE(fixture.started.empty());
    fixture.now.mono += Timing().suspect * 2;
    fixture.answerOrder();
    EXPECT_TRUE(fixture.started.empty());
    EXPECT_EQ(fixture.refusalOf(call), RefusalReason::Recovering);
    EXPECT_TRUE(fixture.refusals.back().proved_not_run());
}

// Guards against starting calls that were received during a pause and are read before the VM list, which may mark the
// endpoint as leaving. Calls are accepted again after the time in which the list is read.
TEST(Residency, UnreadCallsAreRefusedAfterPause)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.hello(entry);
    fixture.call(lounge);
    fixture.answerOrders();
    ASSERT_EQ(fixture.started.size(), 1U);
    fixture.now.mono += Timing().suspect * 2;
    const auto first = fixture.call(lounge);
    const auto second = fixture.call(lounge);
    EXPECT_EQ(fixture.started.size(), 1U);
    EXPECT_EQ(fixture.refusalOf(first), RefusalReason::Recovering);
    EXPECT_EQ(fixture.refusalOf(second), RefusalReason::Recovering);
    EXPECT_TRUE(fixture.refusals.back().proved_not_run());
    fixture.advance(Timing().suspect);
    fixture.call(lounge);
    EXPECT_EQ(fixture.started.size(), 2U);
}

// Guards against sending a call after a pause to an engine that has restarted without the adapter or is leaving.
TEST(Residency, StartExecutionHasSendDeadline)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrders();
    ASSERT_EQ(fixture.started.size(), 1U);
    EXPECT_EQ(fixture.started.front().sendDeadline, fixture.now.mono + maxSendDelay);
}

// Guards against exceeding an entry's control budget: load changes are sent as small beats. Changes of residency, drain
// and demands are sent at once as heartbeats.
TEST(Residency, LoadChangesAreSentAsBeats)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.hello(entry);
    fixture.call(lounge);
    fixture.answerOrder();
    fixture.advance(Seconds(2));
    fixture.heartbeats.clear();
    fixture.beats.clear();
    fixture.call(lounge);
    fixture.call(lounge);
    fixture.advance(Seconds(5));
    EXPECT_TRUE(fixture.heartbeats.empty());
    ASSERT_GE(fixture.beats.size(), 4U);
    EXPECT_EQ(fixture.beats.back().second.running(), 3U);
    EXPECT_EQ(fixture.beats.back().second.busy_slots(), 1U);
    EXPECT_LE(fixture.beats.back().second.ByteSizeLong(), 36U);

    fixture.call(transit);
    fixture.answerOrder();
    fixture.advance(Seconds(1));
    ASSERT_FALSE(fixture.heartbeats.empty());
    EXPECT_EQ(fixture.heartbeats.back().second.adapters().rbegin()->adapter(), transit.adapter);
    fixture.heartbeats.clear();
    fixture.sidecar.drain(fixture.now);
    fixture.collect();
    fixture.advance(Milliseconds(600));
    ASSERT_FALSE(fixture.heartbeats.empty()) << "a drain is reported without waiting for the next regular heartbeat";
    EXPECT_TRUE(fixture.heartbeats.back().second.leaving());
}

// Guards against a stale demand at the scheduler, which would grant a load without waiting calls.
TEST(Residency, SchedulerIsNotifiedWhenDemandEnds)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.hello(entry, true, 7);
    fixture.advance(Seconds(1));
    fixture.heartbeats.clear();
    const auto request = fixture.request(lounge);
    fixture.send(request);
    fixture.advance(Seconds(1));
    ASSERT_FALSE(fixture.heartbeats.empty());
    EXPECT_EQ(fixture.heartbeats.back().second.demands_size(), 1);
    fixture.cancel(request.id());
    fixture.advance(Seconds(1));
    EXPECT_EQ(fixture.heartbeats.back().second.demands_size(), 0);
}

} // namespace anvilscale::test

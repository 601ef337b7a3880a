// The sidecar's decisions in ordinary work: admission, loads, the batch, repeats, cancels, drain.
#include "residency_fixture.h"

#include <gtest/gtest.h>

#include <set>

namespace anvilscale::test {

TEST(Residency, LoadsOnDemandAndServesAllWhoWait)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.call(lounge);
    fixture.call(lounge);
    ASSERT_EQ(fixture.orders.size(), 1U);
    EXPECT_EQ(fixture.orders[0].kind, OrderKind::Load);
    EXPECT_EQ(fixture.orders[0].which, lounge);
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

TEST(Residency, KeepsToTheBatchLimit)
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

TEST(Residency, UrgentCallsGoFirst)
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

TEST(Residency, BulkCallIsNotHeldForEverByUrgentOnes)
{
    // A caller with a bulk call sees no answer while urgent calls keep coming, because each of them is taken first.
    // The wait must be bounded: after two starvation bounds the bulk call ranks as urgent and has the older deadline.
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

TEST(Residency, RefusesWhatIsNotItsOwn)
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
    // A caller that timed out sends its call again. Run as a new execution it would wait behind the whole queue and
    // time out again; attached to the running one it gets that answer, and the engine does the work once.
    SidecarFixture fixture;
    fixture.recover();
    auto first = fixture.request(lounge);
    first.set_key("0192f0c1-0000-7000-8000-000000000001");
    fixture.send(first);
    fixture.answerOrder();
    ASSERT_EQ(fixture.started.size(), 1U);
    fixture.cancel(first.id());
    EXPECT_TRUE(fixture.cancelled.empty()) << "the cancel waits for a repeat";
    auto repeat = first;
    repeat.mutable_id()->set_attempt(2);
    fixture.send(repeat, otherEntry);
    ASSERT_EQ(fixture.attached.size(), 1U);
    EXPECT_EQ(fixture.attached[0].execution, fixture.started[0].execution);
    fixture.advance(Seconds(15));
    EXPECT_TRUE(fixture.cancelled.empty());
    EXPECT_EQ(fixture.sidecar.stats().executions, 1U);
}

TEST(Residency, CancelComesAfterTheDelayIfNobodyAttaches)
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

TEST(Residency, MessageThatComesTwiceRunsOnce)
{
    // The copy of a request arrives after the first one was refused as "not run". If it ran, the caller would have
    // been told a falsehood, and its retry would be a second execution.
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

TEST(Residency, CancelThatOvertakesItsCallKeepsItFromRunning)
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

TEST(Residency, DrainFinishesWhatRunsAndRefusesTheRest)
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

TEST(Residency, PlainServiceGetsCallsUpToItsBatch)
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

TEST(Residency, HeartbeatsKeepToTheControlBudget)
{
    SidecarFixture fixture;
    fixture.recover();
    for (std::uint64_t peer = 1; peer <= 20; ++peer) {
        fixture.hello(PeerHandle{peer});
    }
    const auto before = fixture.sidecar.stats().heartbeatBytes;
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
            // The budget is not kept by falling silent: nobody comes near the time after which silence is suspect.
            EXPECT_LE(fixture.now.mono - fixture.lastHeard.at(PeerHandle{peer}), Timing().suspect / 2);
        }
    }
    const auto spent = fixture.sidecar.stats().heartbeatBytes - before;
    EXPECT_LE(spent, 5000U * seconds + 10'000U);
}

// The process is stopped while a call waits for its adapter, and the VM is marked as leaving meanwhile. On waking the
// load's answer is read before anything else, and the call would reach an endpoint that left long ago. It must go
// back as not run instead.
TEST(Residency, CallsThatWaitedThroughAPauseGoBackAsNotRun)
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

// The process is stopped for seconds and its VM is marked as leaving meanwhile. An entry that did not know yet has sent
// a call, which is read on waking, before the list of VMs. It must go back as not run: started, it would reach an
// endpoint that left long ago. After the time in which the list is read again, calls are taken as before.
TEST(Residency, CallsThatLayUnreadThroughAPauseGoBackAsNotRun)
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

// The process may be stopped between its decision to start a call and the send. Whoever sends must know how long the
// decision is good for, or the call reaches an engine that has restarted without the adapter, or that is leaving.
TEST(Residency, AStartIsGoodForAShortTimeOnly)
{
    SidecarFixture fixture;
    fixture.recover();
    fixture.call(lounge);
    fixture.answerOrders();
    ASSERT_EQ(fixture.started.size(), 1U);
    EXPECT_EQ(fixture.started.front().sendBefore, fixture.now.mono + sendLimit);
}

// At 180 sidecars a data centre, whole heartbeats take an entry seven times its control budget. While nothing but the
// load changes a sidecar sends a Beat of a few bytes; what an entry decides on (residency, leaving, a demand for the
// scheduler) still goes at once and whole.
TEST(Residency, OnlyLoadChangedIsToldByABeat)
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
    ASSERT_FALSE(fixture.heartbeats.empty()) << "leaving is not left to the next whole heartbeat";
    EXPECT_TRUE(fixture.heartbeats.back().second.leaving());
}

// The scheduler weighs demands. A sidecar that no longer has any must say so: a Beat would leave the last demand in
// the scheduler's table, which would grant a load that nobody waits for.
TEST(Residency, SchedulerHearsWhenADemandIsOver)
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

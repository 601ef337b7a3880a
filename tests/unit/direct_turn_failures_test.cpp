// Reading turns at an entry when answers are lost, callers leave, or sidecars and engines fail.
#include "turns_fixture.h"

#include <functional>

namespace anvilscale::test {

// Guards against a silent sidecar, a lost request and a lost answer: all leave the call without one.
TEST_F(Turns, WithoutAnAnswerTheCallIsSent)
{
    addContended("e-1", addressOne);
    const auto request = requestTurn();
    advance(Milliseconds(99));
    takeAll();
    EXPECT_TRUE(sent_.empty());
    advance(Milliseconds(1));
    takeAll();
    EXPECT_TRUE(isSentWithoutTurn(request));
    EXPECT_EQ(calls_.stats().turnTimeouts, 1U);
    startCall("/s/x", "a1");
    takeAll();
    EXPECT_EQ(sent_.size(), 1U) << "with a one-way cut the next calls must not wait too";
}

// Guards against a wait without end after the grant was lost.
TEST_F(Turns, WaitEndsAtTwiceTheForecast)
{
    addContended("e-1", addressOne);
    const auto request = requestTurn();
    answer(request, wire::READING_QUEUED, Milliseconds(150));
    advance(Milliseconds(350));
    takeAll();
    EXPECT_TRUE(sent_.empty());
    advance(Milliseconds(50));
    takeAll();
    EXPECT_TRUE(isSentWithoutTurn(request));
}

// Guards against calls that are sent without a turn, ahead of urgent ones, because these have passed them.
TEST_F(Turns, LongerForecastExtendsTheWait)
{
    addContended("e-1", addressOne);
    const auto request = requestTurn();
    answer(request, wire::READING_QUEUED, Milliseconds(50));
    advance(Milliseconds(150));
    answer(request, wire::READING_QUEUED, Milliseconds(100)); // ends 300 ms later
    advance(Milliseconds(250));
    takeAll();
    EXPECT_TRUE(sent_.empty());
    advance(Milliseconds(50));
    takeAll();
    EXPECT_TRUE(isSentWithoutTurn(request));
}

// Guards against a wait without end where each forecast is longer than the one before, and against a call that is sent
// after its caller has left.
TEST_F(Turns, ForecastsExtendNoWaitBeyondTheFirstByteLimit)
{
    addContended("e-1", addressOne);
    limitFirstByte(Seconds(1));
    const auto request = requestTurn();
    for (int i = 0; i < 19; ++i) {
        calls_.applyState(addressOne, contendedState(), now_);
        answer(request, wire::READING_QUEUED, Milliseconds(10));
        answer(request, wire::READING_QUEUED, Milliseconds(20));
        advance(Milliseconds(50));
        takeAll();
        ASSERT_TRUE(sent_.empty());
        ASSERT_TRUE(refused_.empty());
    }
    answer(request, wire::READING_QUEUED, Milliseconds(10));
    advance(Milliseconds(50));
    takeAll();
    EXPECT_TRUE(sent_.empty());
    ASSERT_EQ(refused_.size(), 1U);
    EXPECT_EQ(refused_.front().reason, RefusalReason::DeadlineUnreachable);
    EXPECT_TRUE(isWithdrawn(request));
}

// Guards against waiting for a sidecar that has stopped after its first answer.
TEST_F(Turns, SilentSidecarEndsTheWait)
{
    addContended("e-1", addressOne);
    const auto request = requestTurn();
    answer(request, wire::READING_QUEUED, Seconds(2));
    now_ += Milliseconds(1000);
    calls_.applyState(addressTwo, contendedState(), now_); // another sidecar is heard
    calls_.tick(now_);
    takeAll();
    EXPECT_TRUE(isSentWithoutTurn(request));
}

// Guards against a call that is sent to a stopped VM, which would read it after its caller has left, while another
// engine is free. A stream is not moved once it was sent.
TEST_F(Turns, WaitingCallLeavesASilentSidecarForAnotherEngine)
{
    addContended("e-1", addressOne);
    const auto request = requestTurn();
    answer(request, wire::READING_QUEUED, Seconds(2));
    addEngine("e-2", addressTwo, {"a1"});
    now_ += Milliseconds(1000);
    calls_.applyState(addressTwo, makeState({"a1"}), now_);
    takeAll();
    calls_.tick(now_);
    takeAll();
    ASSERT_EQ(sent_.size(), 1U);
    EXPECT_EQ(sent_.front().call, waiting_);
    EXPECT_EQ(sent_.front().address, addressTwo);
    EXPECT_TRUE(isWithdrawn(request));
}

// Guards against a second run of a call, and against its withdrawal while the engine reads it.
TEST_F(Turns, LateAndDuplicateGrantsHaveNoEffect)
{
    addContended("e-1", addressOne);
    const auto request = requestTurn();
    advance(Milliseconds(100));
    takeAll();
    ASSERT_TRUE(isSentWithoutTurn(request));
    answer(request, wire::READING_GRANTED);
    answer(request, wire::READING_GRANTED);
    EXPECT_TRUE(sent_.empty());
    EXPECT_TRUE(ends_.empty());
}

// Guards against a turn that is lost with its caller, and against a grant that crosses the withdrawal.
TEST_F(Turns, DepartedCallerReturnsItsTurn)
{
    addContended("e-1", addressOne);
    const auto request = requestTurn();
    calls_.onCallerGone(waiting_, now_);
    takeAll();
    EXPECT_TRUE(isWithdrawn(request));
    answer(request, wire::READING_GRANTED);
    EXPECT_TRUE(sent_.empty());
    EXPECT_TRUE(isWithdrawn(request));
}

// Guards against a call that is held beyond its caller's deadline.
TEST_F(Turns, WaitingCallIsRefusedAtItsDeadline)
{
    addContended("e-1", addressOne);
    const auto request = requestTurn();
    answer(request, wire::READING_QUEUED, Seconds(10));
    const auto until = now_ + Seconds(4);
    while (now_ < until) {
        calls_.applyState(addressOne, contendedState(), now_);
        advance(Milliseconds(500));
    }
    takeAll();
    ASSERT_EQ(refused_.size(), 1U); // the other call runs
    EXPECT_EQ(refused_.front().reason, RefusalReason::DeadlinePassed);
    EXPECT_TRUE(isWithdrawn(request));
}

// Guards against a call that is lost, or sent to a process that is gone, when its engine restarts, leaves, is removed
// or cannot be reached, or its sidecar restarts.
TEST_F(Turns, WaitingCallIsPlacedAgainWhenItsEngineIsLost)
{
    const std::vector<std::function<void()>> losses{[&] {
                                                        auto state = contendedState();
                                                        state.set_endpoint_id("e-1");
                                                        state.set_born(2000);
                                                        calls_.applyState(addressOne, state, now_);
                                                    },
                                                    [&] { calls_.onEndpointNotice("e-1", {.leaving = true}, now_); },
                                                    [&] { calls_.removeEndpoint("e-1", now_); },
                                                    [&] {
                                                        auto state = contendedState();
                                                        state.set_reachable(false);
                                                        calls_.applyState(addressOne, state, now_);
                                                    },
                                                    [&] { calls_.onSidecarLost(addressOne, now_); }};
    for (std::size_t i = 0; i < losses.size(); ++i) {
        calls_.removeEndpoint("e-1", now_);
        calls_.removeEndpoint("e-2", now_);
        auto record = makeEndpoint("e-1", engineService, addressOne);
        record.startTimeMs = 1000 + 1000 * i * losses.size(); // later than a removed one
        calls_.applyEndpoint(record, now_);
        calls_.applyState(addressOne, contendedState(), now_);
        const auto request = requestTurn();
        addEngine("e-2", addressTwo, {"a1"});
        takeAll();
        losses[i]();
        takeAll();
        ASSERT_EQ(sent_.size(), 1U) << "loss " << i;
        EXPECT_EQ(sent_.front().call, waiting_) << "loss " << i;
        EXPECT_EQ(requests_.size(), 1U) << "loss " << i;
        EXPECT_NE(requests_.front().call(), request.call()) << "loss " << i;
        answer(request, wire::READING_GRANTED);
        EXPECT_TRUE(sent_.empty()) << "loss " << i << ": a grant for the lost engine";
    }
}

// Guards against a granted call at an engine that has lost its adapter meanwhile.
TEST_F(Turns, GrantWithoutTheAdapterIsReturned)
{
    addContended("e-1", addressOne);
    const auto request = requestTurn();
    auto state = makeState({});
    state.set_reading_budget(budget);
    calls_.applyState(addressOne, state, now_);
    answer(request, wire::READING_GRANTED);
    EXPECT_TRUE(sent_.empty());
    EXPECT_TRUE(isWithdrawn(request));
    EXPECT_EQ(calls_.stats().waitedForAdapter, 1U);
}

// Guards against a restarted sidecar that does not see the prompts which its engine still reads.
TEST_F(Turns, RunningPromptsAreReportedToARestartedSidecar)
{
    addContended("e-1", addressOne);
    startCall("/s/x", "a1");
    takeAll();
    const auto before = requests_.front();
    calls_.onSidecarLost(addressOne, now_);
    now_ += Milliseconds(10);
    calls_.applyState(addressOne, contendedState(), now_);
    takeAll();
    ASSERT_EQ(requests_.size(), 1U);
    EXPECT_EQ(requests_.front().call(), before.call());
    EXPECT_TRUE(requests_.front().sent());
    EXPECT_TRUE(sent_.empty());
}

// Guards against a request that was put under quarantine while it waited, and runs nevertheless.
TEST_F(Turns, QuarantinedRequestIsNotSentOnItsGrant)
{
    addContended("e-1", addressOne);
    fingerprint_ = {7};
    const auto request = requestTurn();
    for (const auto *endpoint : {"x-1", "x-2", "x-3"}) {
        calls_.applyCrashReport({endpoint, 1000, {fingerprint_}}, now_);
    }
    answer(request, wire::READING_GRANTED);
    EXPECT_TRUE(sent_.empty());
    EXPECT_TRUE(isWithdrawn(request));
    ASSERT_EQ(refused_.size(), 1U);
    EXPECT_EQ(refused_.front().reason, RefusalReason::RequestQuarantined);
}

} // namespace anvilscale::test

// Reading turns at an entry: requests to the sidecar of a contended engine, its answers, and what happens without them.
#include "direct_fixture.h"

#include <algorithm>
#include <functional>

namespace anvilscale::test {

class Turns : public Calls
{
protected:
    Turns() = default;
    explicit Turns(const DirectCallsInit &init)
        : Calls(init)
    {
    }
    static constexpr std::uint64_t budget = 1500; // one call of the fixture, which keeps the shared part, and less than two

    static wire::DirectState contendedState(std::uint64_t queued = 0)
    {
        auto state = makeState({"a1"});
        state.set_reading_budget(budget);
        state.set_reading_queued(queued);
        return state;
    }
    void addContended(const std::string &id, const std::string &address)
    {
        calls_.applyEndpoint(makeEndpoint(id, engineService, address), now_);
        calls_.applyState(address, contendedState(), now_);
    }
    /// Sends one call to the only engine and lets a second one ask for a turn.
    wire::ReadingRequest requestTurn()
    {
        startCall("/s/x", "a1");
        running_ = takeSentCall();
        waiting_ = startCall("/s/x", "a1");
        return takeTurnRequest();
    }
    wire::ReadingRequest takeTurnRequest()
    {
        takeAll();
        EXPECT_TRUE(sent_.empty());
        EXPECT_EQ(requests_.size(), 1U);
        const auto request = requests_.empty() ? wire::ReadingRequest() : requests_.front();
        EXPECT_FALSE(request.sent());
        return request;
    }
    /// Collects the actions since the last time.
    void takeAll()
    {
        sent_.clear();
        refused_.clear();
        requests_.clear();
        ends_.clear();
        demands_.clear();
        for (const auto &action : calls_.takeActions()) {
            if (const auto *readings = std::get_if<SendReadings>(&action)) {
                requests_.insert(requests_.end(), readings->update.requests().begin(),
                                 readings->update.requests().end());
                ends_.insert(ends_.end(), readings->update.ends().begin(), readings->update.ends().end());
                readingsTo_ = readings->address;
            } else if (const auto *send = std::get_if<SendCall>(&action)) {
                sent_.push_back(*send);
            } else if (const auto *refusal = std::get_if<RefuseCall>(&action)) {
                refused_.push_back(*refusal);
            } else if (const auto *demand = std::get_if<SendDemand>(&action)) {
                demands_.push_back(demand->demand);
            }
        }
    }
    void answer(const wire::ReadingRequest &request, wire::ReadingResult result, Duration wait = Duration(0),
                const std::string &address = addressOne)
    {
        wire::ReadingAnswer message;
        message.set_call(request.call());
        message.set_result(result);
        message.set_wait_us(static_cast<std::uint64_t>(wait.count()));
        calls_.onReadingAnswer(address, message, now_);
        takeAll();
    }
    bool isWithdrawn(const wire::ReadingRequest &request) const
    {
        return std::any_of(ends_.begin(), ends_.end(), [&](const wire::ReadingEnd &end) {
            return end.call() == request.call() && end.stage() == wire::READING_WITHDRAWN;
        });
    }
    /// True if the call was sent without its turn and reported under the number of its request.
    bool isSentWithoutTurn(const wire::ReadingRequest &request) const
    {
        return sent_.size() == 1 && sent_.front().call == waiting_ && requests_.size() == 1
               && requests_.front().call() == request.call() && requests_.front().sent();
    }
    /// Measures the speed of the only engine, whose callers leave after the time to the first byte.
    void limitFirstByte(Duration limit)
    {
        auto config = makeConfig(2);
        config.routes.front().firstByteLimit = limit;
        calls_.applyConfig(config, now_);
        auto state = contendedState();
        state.set_read_ns_per_token(25'000);
        calls_.applyState(addressOne, state, now_);
    }

    SendCall running_;
    CallHandle waiting_{};
    std::vector<SendCall> sent_;
    std::vector<RefuseCall> refused_;
    std::vector<wire::ReadingRequest> requests_;
    std::vector<wire::ReadingEnd> ends_;
    std::vector<wire::DirectDemand> demands_;
    std::string readingsTo_;
};

// Guards against waits for turns where nothing is contended, and against an engine speed that no report shows.
TEST_F(Turns, WithoutABudgetCallsAreSentAndReported)
{
    addEngine("e-1", addressOne, {"a1"});
    for (int i = 0; i < 3; ++i) {
        startCall("/s/x", "a1");
        takeAll();
        ASSERT_EQ(sent_.size(), 1U);
        ASSERT_EQ(requests_.size(), 1U);
        EXPECT_TRUE(requests_.front().sent());
    }
    EXPECT_EQ(calls_.stats().turnRequests, 0U);
}

// Guards against an idle engine that a long prompt may not use.
TEST_F(Turns, PromptBeyondTheBudgetIsSentToAnIdleEngine)
{
    addContended("e-1", addressOne);
    auto state = contendedState();
    state.set_reading_budget(10);
    calls_.applyState(addressOne, state, now_);
    startCall("/s/x", "a1");
    takeAll();
    EXPECT_EQ(sent_.size(), 1U);
}

// Guards against prompts that delay urgent calls and streams since the engine reads them in the order of arrival.
TEST_F(Turns, CallBeyondTheBudgetIsSentOnItsGrant)
{
    addContended("e-1", addressOne);
    const auto request = requestTurn();
    EXPECT_EQ(request.tokens(), 1000U); // the shared part is kept
    EXPECT_EQ(request.slack_us(), 1'000'000U);
    EXPECT_EQ(request.limit_us(), 4'000'000U);
    now_ += Milliseconds(20);
    answer(request, wire::READING_GRANTED);
    ASSERT_EQ(sent_.size(), 1U);
    EXPECT_EQ(sent_.front().call, waiting_);
    EXPECT_TRUE(requests_.empty()) << "granted calls need no further report";
    calls_.onAnswerStarted(sent_.front().call, sent_.front().attempt, now_);
    endAttempt(sent_.front(), AttemptEnd::Answered);
    const auto ended = calls_.takeEnded();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().turnWait, Milliseconds(20));
}

// Guards against work that the sidecar counts although it has been done, and against inexact speeds.
TEST_F(Turns, FirstByteAndEndAreReported)
{
    addContended("e-1", addressOne);
    startCall("/s/x", "a1");
    takeAll();
    const auto send = sent_.front();
    const auto number = requests_.front().call();
    now_ += Milliseconds(30);
    calls_.onAnswerStarted(send.call, send.attempt, now_);
    takeAll();
    EXPECT_TRUE(ends_.empty()) << "no calls wait there";
    AttemptResult result;
    result.end = AttemptEnd::Answered;
    result.longestPause = Milliseconds(70);
    now_ += Milliseconds(10);
    calls_.onAttemptEnded(send.call, send.attempt, result, now_);
    advance(directTickInterval);
    takeAll();
    ASSERT_EQ(ends_.size(), 2U);
    EXPECT_EQ(ends_.front().call(), number);
    EXPECT_EQ(ends_.front().stage(), wire::READING_READ);
    EXPECT_EQ(ends_.front().elapsed_us(), 30'000U);
    EXPECT_EQ(ends_.back().stage(), wire::READING_ENDED);
    EXPECT_EQ(ends_.back().longest_pause_us(), 70'000U);
}

// Guards against a turn that is granted a tick too late.
TEST_F(Turns, FirstByteIsReportedAtOnceWhileCallsWait)
{
    addContended("e-1", addressOne);
    startCall("/s/x", "a1");
    const auto send = takeSentCall();
    calls_.applyState(addressOne, contendedState(5000), now_);
    calls_.onAnswerStarted(send.call, send.attempt, now_);
    takeAll();
    ASSERT_EQ(ends_.size(), 1U);
    EXPECT_EQ(ends_.front().stage(), wire::READING_READ);
}

// Guards against the eviction of an adapter whose only call waits for a turn.
TEST_F(Turns, WaitingCallKeepsItsAdapterInTheDemand)
{
    addContended("e-1", addressOne);
    auto state = contendedState();
    state.set_unread_tokens(9000); // of other entries
    calls_.applyState(addressOne, state, now_);
    startCall("/s/x", "a1");
    takeTurnRequest();
    ASSERT_EQ(demands_.size(), 1U);
    ASSERT_EQ(demands_.front().wishes_size(), 1);
    EXPECT_EQ(demands_.front().wishes(0).adapter(), "a1");
    EXPECT_EQ(demands_.front().wishes(0).waiting(), 1U);
    EXPECT_EQ(demands_.front().unread_tokens(), 0U) << "the engine does not read it yet";
}

// Guards against calls that all choose the engine where others wait already.
TEST_F(Turns, WaitingCallsCountInTheChoice)
{
    addContended("e-1", addressOne);
    addContended("e-2", addressTwo);
    calls_.applyState(addressOne, contendedState(50'000), now_);
    for (int i = 0; i < 4; ++i) {
        startCall("/s/x", "a1");
        const auto send = takeSentCall();
        EXPECT_EQ(send.endpointId, "e-2");
        calls_.onAnswerStarted(send.call, send.attempt, now_);
    }
}

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
    answer(request, wire::READING_QUEUED, Seconds(1));
    EXPECT_TRUE(sent_.empty());
    advance(Milliseconds(50));
    takeAll();
    EXPECT_TRUE(isSentWithoutTurn(request));
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

// Guards against a call that waits for a turn which comes after its caller has left.
TEST_F(Turns, CallWhoseTurnComesTooLateIsRefusedAtOnce)
{
    addContended("e-1", addressOne);
    limitFirstByte(Seconds(2));
    const auto request = requestTurn();
    answer(request, wire::READING_QUEUED, Milliseconds(2500));
    ASSERT_EQ(refused_.size(), 1U);
    EXPECT_EQ(refused_.front().reason, RefusalReason::DeadlineUnreachable);
    EXPECT_EQ(refused_.front().status, 503U);
    EXPECT_GT(refused_.front().retryAfter, Seconds(1));
    EXPECT_TRUE(isWithdrawn(request));
}

// Guards against refusals by a forecast that rests on defaults.
TEST_F(Turns, UnmeasuredForecastRefusesNoCall)
{
    addContended("e-1", addressOne);
    const auto request = requestTurn();
    answer(request, wire::READING_QUEUED, Seconds(5));
    EXPECT_TRUE(refused_.empty());
}

// Guards against calls that move between the queues of contended engines.
TEST_F(Turns, CallAsksAtTwoEnginesAtMost)
{
    const std::map<std::string, std::string> addresses{
        {"e-1", addressOne}, {"e-2", addressTwo}, {"e-3", "10.0.1.3:80"}};
    for (const auto &[id, address] : addresses) {
        addContended(id, address);
        auto state = contendedState();
        state.set_unread_tokens(9000);
        calls_.applyState(address, state, now_);
    }
    startCall("/s/x", "a1");
    const auto first = takeTurnRequest();
    const auto firstAddress = readingsTo_;
    answer(first, wire::READING_REFUSED, Seconds(1), firstAddress);
    ASSERT_EQ(requests_.size(), 1U);
    EXPECT_NE(readingsTo_, firstAddress);
    EXPECT_NE(requests_.front().call(), first.call());
    const auto second = requests_.front();
    answer(second, wire::READING_REFUSED, Seconds(1), readingsTo_);
    EXPECT_TRUE(requests_.empty());
    ASSERT_EQ(refused_.size(), 1U);
    EXPECT_EQ(refused_.front().reason, RefusalReason::DeadlineUnreachable);
}

// Guards against a call that is lost, or sent to a process that is gone, when its engine restarts, leaves, is removed or
// cannot be reached, or its sidecar restarts.
TEST_F(Turns, WaitingCallIsPlacedAgainWhenItsEngineIsLost)
{
    const std::vector<std::function<void()>> losses{
        [&] {
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

// Guards against sidecars that cannot compute a budget because they lack the needs of the service's streams.
TEST_F(Turns, PlanListsTheNeedsOfStreams)
{
    auto config = makeConfig(2);
    config.routes.front().pauseLimit = Milliseconds(300);
    auto urgent = makeRoute("/u/", engineService, RepeatRule::Stream);
    urgent.objective = Milliseconds(400);
    config.routes.push_back(urgent);
    calls_.applyConfig(config, now_);
    addEngine("e-1", addressOne, {"a1"});
    advance(directTickInterval);
    takeAll();
    ASSERT_EQ(demands_.size(), 1U);
    EXPECT_EQ(demands_.front().plan().shortest_objective_us(), 400'000U);
    EXPECT_EQ(demands_.front().plan().longest_objective_us(), 1'000'000U);
    EXPECT_EQ(demands_.front().plan().shortest_pause_us(), 300'000U);
}

class WithoutTurns : public Turns
{
protected:
    WithoutTurns()
        : Turns(initWithout(Mechanism::ReadingTurns))
    {
    }
};

// Guards against a mechanism that cannot be switched off, and against the loss of measured speeds with it.
TEST_F(WithoutTurns, CallsAreSentAndReported)
{
    addContended("e-1", addressOne);
    for (int i = 0; i < 3; ++i) {
        startCall("/s/x", "a1");
        takeAll();
        EXPECT_EQ(sent_.size(), 1U);
        EXPECT_EQ(requests_.size(), 1U);
    }
}

} // namespace anvilscale::test

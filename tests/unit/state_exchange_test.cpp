// Exchange of states and demands between an entry and a sidecar, with delayed and lost messages.
#include "direct/endpoint_table.h"
#include "direct/state_delta.h"
#include "state_delta_fixture.h"

#include <rapidcheck/gtest.h>

#include <deque>

namespace anvilscale::test {
namespace {

/// One entry and one sidecar whose messages arrive in order after `delay` steps, or are lost.
class Exchange
{
public:
    Exchange(std::size_t delay, bool acceptsDeltas)
        : delay_(delay)
        , acceptsDeltas_(acceptsDeltas)
    {
    }
    void update(const wire::DirectState &state)
    {
        auto sorted = state;
        sortAdapters(sorted);
        truth_ = sorted;
        publisher_.update(sorted);
    }
    void sendState(bool isLost)
    {
        auto message = publisher_.buildMessage(first);
        wholeStates_ += message.has_direct_state() ? 1 : 0;
        deltas_ += message.has_direct_delta() ? 1 : 0;
        if (!isLost) {
            states_.emplace_back(step_ + delay_, message, truth_);
        }
    }
    void sendDemand()
    {
        demands_.emplace_back(step_ + delay_, entry_.reportedSequence());
    }
    void advance()
    {
        ++step_;
        now_ += Milliseconds(20);
        for (; !states_.empty() && std::get<0>(states_.front()) <= step_; states_.pop_front()) {
            receive(std::get<1>(states_.front()), std::get<2>(states_.front()));
        }
        for (; !demands_.empty() && demands_.front().first <= step_; demands_.pop_front()) {
            publisher_.onStateAcknowledged(first, demands_.front().second, acceptsDeltas_);
        }
    }
    /// Restarts the sidecar. If the entry notices, the messages in transit are lost with its connection.
    void restartSidecar(bool isNoticed)
    {
        publisher_ = StatePublisher(startTimeMs + 20 * step_);
        publisher_.update(truth_);
        if (isNoticed) {
            loseConnection();
        }
    }
    /// Loses the connection and the messages in transit at both ends.
    void reconnect()
    {
        publisher_.onEntryLost(first);
        loseConnection();
    }
    /// True if the entry is in the state in which whole states alone would have left it.
    bool isExact() const
    {
        return content(entry_.state) == content(reference_.state) && entry_.recentlyHeld == reference_.recentlyHeld
               && entry_.emptySince == reference_.emptySince && entry_.stateReceivedAt == reference_.stateReceivedAt;
    }
    /// True if the entry has the current state.
    bool isCurrent() const
    {
        return isExact() && content(entry_.state) == content(truth_) && !entry_.hasMissedState;
    }
    int wholeStates() const
    {
        return wholeStates_;
    }
    int deltas() const
    {
        return deltas_;
    }

private:
    static std::string content(const std::optional<wire::DirectState> &state)
    {
        auto copy = state.value_or(wire::DirectState());
        copy.clear_sequence();
        return copy.SerializeAsString();
    }
    void loseConnection()
    {
        states_.clear();
        demands_.clear();
        entry_.onSidecarLost(now_);
        reference_.onSidecarLost(now_);
    }
    void receive(const wire::Envelope &message, const wire::DirectState &truth)
    {
        if (message.has_direct_heartbeat()) {
            if (entry_.applyHeartbeat(message.direct_heartbeat(), now_)) {
                wire::DirectHeartbeat load;
                load.set_state_sequence(reference_.state->sequence());
                copyLoad(truth, load);
                reference_.applyHeartbeat(load, now_);
            }
            return;
        }
        const auto state = message.has_direct_state() ? std::optional(message.direct_state())
                                                      : entry_.stateAfter(message.direct_delta());
        if (state) {
            entry_.applyState(*state, now_);
            reference_.applyState(truth, now_);
        }
    }

    std::size_t delay_;
    bool acceptsDeltas_;
    std::size_t step_ = 0;
    TimePoint now_{Seconds(100)};
    wire::DirectState truth_;
    StatePublisher publisher_{startTimeMs};
    EndpointEntry entry_;
    EndpointEntry reference_; // is given the true state with each message that the entry accepts
    std::deque<std::tuple<std::size_t, wire::Envelope, wire::DirectState>> states_; // in transit
    std::deque<std::pair<std::size_t, std::uint64_t>> demands_; // in transit
    int wholeStates_ = 0;
    int deltas_ = 0;
};

/// Sends states on every second step, most of them changed, and demands on every third one.
int countWholeStates(std::size_t delay, bool acceptsDeltas)
{
    Exchange exchange(delay, acceptsDeltas);
    auto adapters = fullEngine;
    exchange.update(makeLearnedState(adapters));
    exchange.sendDemand();
    for (int i = 0; i < 300; ++i) {
        if (i % 6 == 0) {
            adapters[static_cast<std::size_t>(i) % adapters.size()] = "a" + std::to_string(i);
            exchange.update(makeLearnedState(adapters));
        }
        if (i % 2 == 0 && i > 2 * static_cast<int>(delay)) {
            exchange.sendState(false);
        }
        if (i % 3 == 0) {
            exchange.sendDemand();
        }
        exchange.advance();
    }
    EXPECT_TRUE(exchange.isExact());
    return exchange.wholeStates();
}

// Guards against whole states for demands that were on their way when the last state was sent: 50 changes without a
// lost message.
TEST(StateExchange, NormalExchangeRepeatsNoState)
{
    for (const std::size_t delay : {1U, 2U, 4U}) {
        const auto before = countWholeStates(delay, false);
        const auto with = countWholeStates(delay, true);
        std::cout << "delay " << delay << ": whole states " << before << " without deltas, " << with << " with\n";
        EXPECT_GT(before, 50) << "the demands of this exchange cross states";
        EXPECT_LE(with, 3) << "at the start of the connection only";
    }
}

/// Replaces what the engine holds, loads and awaits of one adapter, and sometimes another field.
void changeRandomly(wire::DirectState &state)
{
    const auto name = *rc::gen::element<std::string>("a1", "a2", "daka510000", "daka510001", "b17", "b18");
    const auto hasName = [&](const wire::DirectAdapter &item) { return item.adapter() == name; };
    for (auto *list : {state.mutable_adapters(), state.mutable_awaited()}) {
        list->erase(std::remove_if(list->begin(), list->end(), hasName), list->end());
    }
    for (const bool loading : {false, true}) {
        if (*rc::gen::arbitrary<bool>()) {
            auto &item = *state.add_adapters();
            item.set_model(modelName);
            item.set_adapter(name);
            item.set_version(*rc::gen::inRange(1U, 3U));
            item.set_loading(loading);
            item.set_recent_calls(4 * *rc::gen::inRange(0U, 3U));
        }
    }
    if (*rc::gen::arbitrary<bool>()) {
        auto &item = *state.add_awaited();
        item.set_model(modelName);
        item.set_adapter(name);
    }
    state.set_loads_ahead(*rc::gen::inRange(0U, 3U));
    state.set_loads_in_time(*rc::gen::inRange(0U, 2U));
    state.set_entries(*rc::gen::weightedElement<std::uint32_t>({{20, 30}, {1, 31}}));
    state.set_copies(*rc::gen::inRange(0U, 2U));
    state.set_load_ms(*rc::gen::element(200U, 400U)); // by more than the rounding
    state.set_interval_ms(*rc::gen::element(250U, 264U));
    if (*rc::gen::weightedElement<bool>({{20, false}, {1, true}})) {
        state.clear_models();
    }
}

enum class Step : std::uint8_t {
    Change,
    ChangeLoad,
    Send,
    Lose,
    Demand,
    Restart,
    UnnoticedRestart,
    Reconnect
};

// Guards against any difference between an entry that gets deltas and heartbeats and one that gets whole states, with
// messages lost and delayed, connections lost and the sidecar restarted.
RC_GTEST_PROP(StateExchange, DeltasHaveTheEffectOfWholeStates, ())
{
    Exchange exchange(*rc::gen::inRange<std::size_t>(0, 4), true);
    auto state = makeLearnedState(fullEngine);
    exchange.update(state);
    exchange.sendDemand();
    const auto steps =
        *rc::gen::container<std::vector<Step>>(60, rc::gen::weightedElement<Step>({{8, Step::Change},
                                                                                   {8, Step::ChangeLoad},
                                                                                   {8, Step::Send},
                                                                                   {8, Step::Lose},
                                                                                   {8, Step::Demand},
                                                                                   {1, Step::Restart},
                                                                                   {1, Step::UnnoticedRestart},
                                                                                   {1, Step::Reconnect}}));
    for (const auto step : steps) {
        switch (step) {
        case Step::Change:
            changeRandomly(state);
            exchange.update(state);
            break;
        case Step::ChangeLoad:
            state.set_unread_tokens(*rc::gen::inRange(0U, 9000U));
            state.set_room(*rc::gen::inRange(0U, 3U));
            exchange.update(state);
            break;
        case Step::Send:
            exchange.sendState(false);
            break;
        case Step::Lose:
            exchange.sendState(true);
            break;
        case Step::Demand:
            exchange.sendDemand();
            break;
        case Step::Restart:
            exchange.restartSidecar(true);
            break;
        case Step::UnnoticedRestart:
            exchange.restartSidecar(false);
            break;
        case Step::Reconnect:
            exchange.reconnect();
        }
        exchange.advance();
        RC_ASSERT(exchange.isExact());
    }
    for (int i = 0; i < 20; ++i) { // without further losses the entry gets the current state
        exchange.sendState(false);
        exchange.sendDemand();
        exchange.advance();
    }
    RC_ASSERT(exchange.isCurrent());
    RC_TAG(exchange.deltas() > 0 ? "with deltas" : "without");
}

} // namespace
} // namespace anvilscale::test

// Publishes whole states, deltas and heartbeats of an engine to entries.
#include "state_delta.h"

#include "anvilscale/direct.h"

namespace anvilscale {

namespace {

// Earlier states from which deltas are built, some 2 kB each. Bridges half a second, in which an entry gets at least
// one message, at the highest rate of messages to entries with waiting calls.
constexpr std::size_t maxHistory = 32;
// Sequences of a start begin with its start time modulo this: three days, much longer than an entry keeps a state, in
// a number that takes four bytes.
constexpr std::uint64_t firstSequenceRange = 1U << 28;

// Share of a measured figure by which it has to change to be published. Entries use it with at most this error.
constexpr std::uint64_t measuredFigureParts = 20;

// Prevents messages to all entries for a learned time that changed by a millisecond.
void keepMeasuredFigures(const wire::DirectState &published, wire::DirectState &state)
{
    for (const auto &figure : stateFigures) {
        const std::uint64_t before = (published.*figure.get)();
        const std::uint64_t after = (state.*figure.get)();
        const auto change = before > after ? before - after : after - before;
        if (figure.isMeasured && after != 0 && change * measuredFigureParts < before) {
            (state.*figure.set)(static_cast<std::uint32_t>(before));
        }
    }
}

std::string serializeWithoutLoad(wire::DirectState state)
{
    state.clear_sequence();
    copyLoad(wire::DirectState(), state);
    return state.SerializeAsString();
}

} // namespace

StatePublisher::StatePublisher(std::uint64_t startTimeMs, const DirectPolicy &policy)
    : buildsDeltas_(policy.has(Mechanism::StateDeltas))
    , sequence_(startTimeMs % firstSequenceRange)
{
}

void StatePublisher::update(const wire::DirectState &state)
{
    auto next = state;
    sortAdapters(next);
    if (buildsDeltas_) {
        keepMeasuredFigures(state_, next);
    }
    auto serialized = serializeWithoutLoad(next);
    if (serialized != serialized_) {
        serialized_ = std::move(serialized);
        ++sequence_;
        rememberState();
    }
    state_ = std::move(next);
    state_.set_sequence(sequence_);
}

void StatePublisher::rememberState()
{
    deltas_.clear();
    if (!buildsDeltas_ || state_.sequence() == 0) {
        return;
    }
    history_.emplace(state_.sequence(), std::move(state_));
    if (history_.size() > maxHistory) {
        history_.erase(history_.begin());
    }
}

const wire::DirectDelta *StatePublisher::findDelta(std::uint64_t base)
{
    const auto found = history_.find(base);
    if (found == history_.end()) {
        return nullptr;
    }
    const auto [delta, isNew] = deltas_.try_emplace(base);
    if (isNew) {
        delta->second = buildDelta(found->second, state_);
    }
    return delta->second ? &*delta->second : nullptr;
}

wire::Envelope StatePublisher::buildMessage(PeerHandle entry)
{
    wire::Envelope message;
    auto &subscription = subscriptions_[entry];
    if (subscription.supportsHeartbeats && subscription.sequence == sequence_) {
        auto &heartbeat = *message.mutable_direct_heartbeat();
        heartbeat.set_state_sequence(sequence_);
        copyLoad(state_, heartbeat);
        return message;
    }
    const auto base = std::exchange(subscription.sequence, sequence_);
    if (const auto *delta = subscription.acceptsDeltas ? findDelta(base) : nullptr) {
        *message.mutable_direct_delta() = *delta;
        copyLoad(state_, *message.mutable_direct_delta()->mutable_load());
        return message;
    }
    *message.mutable_direct_state() = state_;
    return message;
}

void StatePublisher::onStateAcknowledged(PeerHandle entry, std::uint64_t sequence, bool acceptsDeltas)
{
    auto &subscription = subscriptions_[entry];
    subscription.acceptsDeltas = acceptsDeltas;
    subscription.supportsHeartbeats = subscription.supportsHeartbeats || acceptsDeltas || sequence != 0;
    // An entry that accepts deltas reports 0 when it has missed a state. An earlier state in its demand only shows that
    // the demand was sent before the last state arrived.
    if (!acceptsDeltas || sequence == 0) {
        subscription.sequence = sequence;
    }
}

void StatePublisher::onEntryLost(PeerHandle entry)
{
    subscriptions_.erase(entry);
}

} // namespace anvilscale

// Publishes whole states and heartbeats of an engine to entries.
#include "anvilscale/direct.h"

namespace anvilscale {

namespace {

// Copies the load figures, which change with each call, to a state or to a heartbeat.
template<class Message>
void copyLoad(const wire::DirectState &from, Message &to)
{
    to.set_unread_tokens(from.unread_tokens());
    to.set_waiting_tokens(from.waiting_tokens());
    to.set_room(from.room());
    to.set_reading_budget(from.reading_budget());
    to.set_reading_queued(from.reading_queued());
    to.set_streams(from.streams());
    to.set_slot_free_ms(from.slot_free_ms());
}

} // namespace

void StatePublisher::update(const wire::DirectState &state)
{
    auto withoutLoad = state;
    withoutLoad.clear_sequence();
    copyLoad(wire::DirectState(), withoutLoad);
    auto serialized = withoutLoad.SerializeAsString();
    if (serialized != serialized_) {
        serialized_ = std::move(serialized);
        ++sequence_;
    }
    state_ = state;
    state_.set_sequence(sequence_);
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
    subscription.sequence = sequence_;
    *message.mutable_direct_state() = state_;
    return message;
}

void StatePublisher::onStateAcknowledged(PeerHandle entry, std::uint64_t sequence)
{
    auto &subscription = subscriptions_[entry];
    subscription.supportsHeartbeats = subscription.supportsHeartbeats || sequence != 0;
    subscription.sequence = sequence;
}

void StatePublisher::onEntryLost(PeerHandle entry)
{
    subscriptions_.erase(entry);
}

} // namespace anvilscale

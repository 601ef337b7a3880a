// Publishes whole states and heartbeats of an engine to entries.
#include "anvilscale/direct.h"

namespace anvilscale {

void StatePublisher::update(const wire::DirectState &state)
{
    auto withoutLoad = state;
    withoutLoad.clear_sequence();
    withoutLoad.clear_unread_tokens();
    withoutLoad.clear_waiting_tokens();
    withoutLoad.clear_room();
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
        heartbeat.set_unread_tokens(state_.unread_tokens());
        heartbeat.set_waiting_tokens(state_.waiting_tokens());
        heartbeat.set_room(state_.room());
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

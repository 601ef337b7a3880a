// Publishes whole states and heartbeats of an engine to entries.
#include "anvilscale/direct.h"

namespace anvilscale {

void StateNews::update(const wire::DirectState &state)
{
    auto steady = state;
    steady.clear_sequence();
    steady.clear_unread_tokens();
    steady.clear_waiting_tokens();
    steady.clear_room();
    auto text = steady.SerializeAsString();
    if (text != text_) {
        text_ = std::move(text);
        ++sequence_;
    }
    state_ = state;
    state_.set_sequence(sequence_);
}

wire::Envelope StateNews::messageFor(PeerHandle entry)
{
    wire::Envelope message;
    auto &told = told_[entry];
    if (told.takesHeartbeats && told.sequence == sequence_) {
        auto &heartbeat = *message.mutable_direct_heartbeat();
        heartbeat.set_state_sequence(sequence_);
        heartbeat.set_unread_tokens(state_.unread_tokens());
        heartbeat.set_waiting_tokens(state_.waiting_tokens());
        heartbeat.set_room(state_.room());
        return message;
    }
    told.sequence = sequence_;
    *message.mutable_direct_state() = state_;
    return message;
}

void StateNews::entryHas(PeerHandle entry, std::uint64_t sequence)
{
    auto &told = told_[entry];
    told.takesHeartbeats = told.takesHeartbeats || sequence != 0;
    told.sequence = sequence;
}

void StateNews::entryLost(PeerHandle entry)
{
    told_.erase(entry);
}

} // namespace anvilscale

// Changes between two states of one engine, and the load figures that states, deltas and heartbeats share.
#pragma once

#include "wire.pb.h"

#include <optional>

namespace anvilscale {

/// Copies the load figures, which change with each call, between states and heartbeats.
template<class From, class To>
void copyLoad(const From &from, To &to)
{
    to.set_unread_tokens(from.unread_tokens());
    to.set_waiting_tokens(from.waiting_tokens());
    to.set_room(from.room());
    to.set_reading_budget(from.reading_budget());
    to.set_reading_queued(from.reading_queued());
    to.set_streams(from.streams());
    to.set_slot_free_ms(from.slot_free_ms());
}

/// Sorts the adapters by name. Deltas require states in this order.
void sortAdapters(wire::DirectState &state);

/// The delta from `base` to `target`; empty if it could not express the change or would not be smaller than `target`.
std::optional<wire::DirectDelta> buildDelta(const wire::DirectState &base, const wire::DirectState &target);

/// The state that the delta results in; empty if `base` is not the state that it changes.
std::optional<wire::DirectState> applyDelta(const wire::DirectState &base, const wire::DirectDelta &delta);

} // namespace anvilscale

// Changes between two states of one engine, and the load figures that states, deltas and heartbeats share.
#pragma once

#include "wire.pb.h"

#include <array>
#include <optional>

namespace anvilscale {

/// A figure of a state that changes rarely and is no load figure.
struct StateFigure
{
    std::uint32_t (wire::DirectState::*get)() const;
    void (wire::DirectState::*set)(std::uint32_t);
    bool isMeasured; ///< a measurement that changes slightly each time
};
inline constexpr std::array stateFigures{
    StateFigure{&wire::DirectState::entries, &wire::DirectState::set_entries, false},
    // Follows the number of connected entries, visits included.
    StateFigure{&wire::DirectState::interval_ms, &wire::DirectState::set_interval_ms, false},
    StateFigure{&wire::DirectState::load_ms, &wire::DirectState::set_load_ms, true},
    StateFigure{&wire::DirectState::recent_load_ms, &wire::DirectState::set_recent_load_ms, true},
    StateFigure{&wire::DirectState::copy_ms, &wire::DirectState::set_copy_ms, true},
    StateFigure{&wire::DirectState::model_ms, &wire::DirectState::set_model_ms, true},
    StateFigure{&wire::DirectState::copies, &wire::DirectState::set_copies, false},
    StateFigure{&wire::DirectState::loads_at_once, &wire::DirectState::set_loads_at_once, false},
    StateFigure{&wire::DirectState::read_ns_per_token, &wire::DirectState::set_read_ns_per_token, true},
    StateFigure{&wire::DirectState::read_base_us, &wire::DirectState::set_read_base_us, true},
};

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
}

/// Sorts the adapters by name. Deltas require states in this order.
void sortAdapters(wire::DirectState &state);

/// The delta from `base` to `target`; empty if it could not express the change or would not be smaller than `target`.
std::optional<wire::DirectDelta> buildDelta(const wire::DirectState &base, const wire::DirectState &target);

/// The state that the delta results in; empty if `base` is not the state that it changes.
std::optional<wire::DirectState> applyDelta(const wire::DirectState &base, const wire::DirectDelta &delta);

} // namespace anvilscale

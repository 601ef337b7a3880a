// States of an engine for the tests of deltas.
#pragma once

#include "direct_fixture.h"

namespace anvilscale::test {

inline constexpr PeerHandle first{1};
inline constexpr PeerHandle second{2};
inline constexpr std::uint64_t startTimeMs = 1'800'000'000'000;

/// State of an engine with the learned times of some hours.
inline wire::DirectState makeLearnedState(const std::vector<std::string> &adapters)
{
    auto state = makeState(adapters);
    state.set_endpoint_id("engine-17-3");
    state.set_born(startTimeMs - 1000);
    state.set_entries(30);
    state.set_slots(8);
    state.set_room(1);
    state.set_unread_tokens(18'432);
    state.set_waiting_tokens(9190);
    state.set_load_ms(288);
    state.set_recent_load_ms(310);
    state.set_copy_ms(45);
    state.set_model_ms(1900);
    state.set_loads_at_once(4);
    state.set_interval_ms(250);
    state.set_shares_store(true);
    return state;
}

inline const std::vector<std::string> fullEngine{"daka510000", "a4711",   "daka511234", "a17",
                                                 "daka500042", "a100042", "daka519999", "a9"};

inline std::vector<std::string> replaceLast(std::vector<std::string> adapters, const std::string &adapter)
{
    adapters.back() = adapter;
    return adapters;
}

} // namespace anvilscale::test

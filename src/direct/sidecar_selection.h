// Selection of one sidecar that all entries agree on while they know the same sidecars.
#pragma once

#include "endpoint_table.h"

namespace anvilscale {

/// Seed of the selection of the sidecar that holds the pools of a group.
constexpr std::uint64_t poolSelectionSeed(std::uint32_t group)
{
    return group + 1;
}

/// Returns the address of the sidecar with the lowest hash among those that are reachable, not avoided and accepted;
/// empty if there is none. `avoided`: addresses, and until when each is avoided.
template<class Accepts>
std::string selectSidecar(const EndpointTable &endpoints, std::uint64_t seed,
                          const std::map<std::string, TimePoint> &avoided, TimePoint now, const Accepts &accepts)
{
    const EndpointEntry *best = nullptr;
    for (const auto &[id, entry] : endpoints.entries()) {
        const bool isReachable = entry.hasFreshState(now) && !entry.isSidecarSilent(endpoints.lastReceivedAt());
        if (!isReachable || entry.isSuperseded || entry.isLeaving(now) || !accepts(entry)) {
            continue;
        }
        const auto found = avoided.find(entry.record.address);
        if (found != avoided.end() && now < found->second) {
            continue;
        }
        if (best == nullptr || hash64(entry.record.address, seed) < hash64(best->record.address, seed)) {
            best = &entry;
        }
    }
    return best == nullptr ? std::string() : best->record.address;
}

} // namespace anvilscale

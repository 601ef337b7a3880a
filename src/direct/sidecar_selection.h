// Selection of sidecars that all entries agree on while they know the same sidecars.
#pragma once

#include "endpoint_table.h"

#include <algorithm>

namespace anvilscale {

/// Seed of the selection of the sidecars that hold the pools of a group.
constexpr std::uint64_t poolSelectionSeed(std::uint32_t group)
{
    return group + 1;
}

/// Returns the addresses of the `count` sidecars with the lowest hashes, the lowest first, among those that are
/// reachable, not avoided and accepted. `avoided`: addresses, and until when each is avoided.
template<class Accepts>
std::vector<std::string> selectSidecars(const EndpointTable &endpoints, std::uint64_t seed,
                                        const std::map<std::string, TimePoint> &avoided, TimePoint now,
                                        std::size_t count, const Accepts &accepts)
{
    std::vector<std::pair<std::uint64_t, const std::string *>> lowest; // by hash
    for (const auto &[id, entry] : endpoints.entries()) {
        const bool isReachable = entry.hasFreshState(now) && !entry.isSidecarSilent(endpoints.lastReceivedAt());
        if (!isReachable || entry.isSuperseded || entry.isLeaving(now) || !accepts(entry)) {
            continue;
        }
        const auto found = avoided.find(entry.record.address);
        if (found != avoided.end() && now < found->second) {
            continue;
        }
        const std::pair item(hash64(entry.record.address, seed), &entry.record.address);
        const auto place = std::upper_bound(lowest.begin(), lowest.end(), item);
        lowest.insert(place, item);
        lowest.resize(std::min(lowest.size(), count));
    }
    std::vector<std::string> addresses;
    addresses.reserve(lowest.size());
    for (const auto &[hash, address] : lowest) {
        addresses.push_back(*address);
    }
    return addresses;
}

/// Returns the address of the sidecar with the lowest hash; empty if there is none.
template<class Accepts>
std::string selectSidecar(const EndpointTable &endpoints, std::uint64_t seed,
                          const std::map<std::string, TimePoint> &avoided, TimePoint now, const Accepts &accepts)
{
    const auto selected = selectSidecars(endpoints, seed, avoided, now, 1, accepts);
    return selected.empty() ? std::string() : selected.front();
}

} // namespace anvilscale

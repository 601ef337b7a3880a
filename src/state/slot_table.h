// The slot table of a service, slot by slot.
#pragma once

#include "config.pb.h"

#include "anvilscale/base.h"

#include <map>
#include <string>
#include <vector>

namespace anvilscale {

/// One start of one sidecar.
struct OwnerId
{
    std::string name;
    std::uint64_t incarnation = 0;
    auto operator<=>(const OwnerId &) const = default; // NOLINT(modernize-use-nullptr): not a pointer
};

/// Sidecars of the service that hold a lease now, with the modification revision of each one's lease key.
using LeaseHolders = std::map<OwnerId, std::int64_t>;

struct SlotState
{
    OwnerId owner; ///< empty name: nobody
    std::uint64_t fence = 0;
    std::uint64_t lease = 0; ///< modification revision of the owner's lease key
    WallTime taken;
    bool handedOver = false;
    bool operator==(const SlotState &) const = default;
};

std::vector<SlotState> expand(const config::SlotTable &table, std::uint32_t slots);
config::SlotTable compress(const std::string &service, std::uint64_t tableRevision,
                           const std::vector<SlotState> &slots);
/// The range that holds the slot, or nullptr.
const config::SlotRange *rangeOf(const config::SlotTable &table, std::uint32_t slot);
/// A fencing number above all that the table has held. Invariant: a table's largest fence never falls.
std::uint64_t nextFence(const std::vector<SlotState> &slots);
/// Slots each member should own, rounded up.
std::uint32_t fairShare(std::uint32_t slots, std::size_t members);

} // namespace anvilscale

// Slot table of a service, expanded to single slots.
#pragma once

#include "config.pb.h"

#include "anvilscale/base.h"

#include <map>
#include <string>
#include <vector>

namespace anvilscale {

/// An incarnation of a sidecar.
struct OwnerId
{
    std::string name;
    std::uint64_t incarnation = 0;
    auto operator<=>(const OwnerId &) const = default; // NOLINT(modernize-use-nullptr): not a pointer
};

/// Sidecars of the service that currently hold a lease, with the modification revision of their lease keys.
using LeaseHolders = std::map<OwnerId, std::int64_t>;

struct SlotState
{
    OwnerId owner; ///< empty name if unowned
    std::uint64_t fence = 0;
    std::uint64_t lease = 0; ///< modification revision of the owner's lease key
    WallTime takenOverAt; ///< later than the stamp of each key that an owner before may have admitted
    WallTime acceptedUntil; ///< no owner before the present one has admitted a key stamped later
    bool wasHandedOver = false;
    bool operator==(const SlotState &) const = default;
};

std::vector<SlotState> expandSlots(const config::SlotTable &table, std::uint32_t slots);
config::SlotTable compressSlots(const std::string &service, std::uint64_t tableRevision,
                                const std::vector<SlotState> &slots);
/// Returns the range that contains the slot, or nullptr.
const config::SlotRange *findRange(const config::SlotTable &table, std::uint32_t slot);
/// Returns a fencing number above all in the table. Invariant: a table's largest fence never decreases.
std::uint64_t nextFence(const std::vector<SlotState> &slots);
/// Number of slots per member, rounded up.
std::uint32_t fairShare(std::uint32_t slots, std::size_t members);

} // namespace anvilscale

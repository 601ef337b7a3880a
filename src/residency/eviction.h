// Eviction policy. Evicts the adapter with the lowest decayed demand times reload cost, not the least recently used
// one: a popular adapter that was idle for a second is kept before one that was used once just now.
#pragma once

#include "adapter_table.h"

#include <optional>

namespace anvilscale {

/// Parameters of the eviction policy.
struct EvictionRules
{
    Duration demandTimeConstant = Seconds(180);
    Duration reloadTimeConstant = std::chrono::minutes(5);
    Duration minResidency = Seconds(1); ///< protection after a load; doubles with each recent reload
    Duration maxResidency = Seconds(30);
    double hysteresis = 1.5; ///< minimum ratio of the new adapter's gain to the victim's value
};

/// Request of a load for a slot.
struct SlotClaim
{
    double gain = 0.0;
    bool isUrgent = false;
    bool isStarving = false; ///< waits longer than the starvation bound: overrides thrash protection
    bool isGranted = false; ///< the load scheduler has already compared the gain with the victim's value
    std::uint32_t reservedSlots = 0;
    std::uint32_t slots = 0;
};

/// Expected number of calls that would stall because of this eviction, weighted by class.
double retentionValue(const AdapterRecord &record, Duration loadTime, const EvictionRules &rules, TimePoint now);
/// Time for which an adapter is protected from eviction after its load. Prevents thrashing.
Duration protectionPeriod(const AdapterRecord &record, const EvictionRules &rules, TimePoint now);
/// Returns true if the claim may take a free slot. Only an urgent claim may take a slot reserved for urgent calls.
bool mayTakeFreeSlot(const AdapterTable &table, const SlotClaim &claim);
/// Returns the adapter to unload for the claim, or null if none is evictable or all are worth more than the claim.
AdapterRecord *chooseVictim(AdapterTable &table, const SlotClaim &claim, Duration loadTime, const EvictionRules &rules,
                            bool onlyUnpinned, TimePoint now);

} // namespace anvilscale

// What a resident adapter is worth, and which one gives way. By decayed demand over reload cost, not by recency
// alone: a popular adapter that was idle for a second is kept before one that was used once just now.
#pragma once

#include "adapter_table.h"

#include <optional>

namespace anvilscale {

struct EvictionRules
{
    Duration demandMemory = Seconds(180);
    Duration reloadMemory = std::chrono::minutes(5);
    Duration minResidency = Seconds(1); ///< doubles with each reload of late
    Duration maxResidency = Seconds(30);
    double hysteresis = 1.5; ///< the newcomer must be worth this many times its victim
};

/// What asks for a slot.
struct SlotClaim
{
    double gain = 0.0;
    bool urgent = false;
    bool starving = false; ///< it has waited longer than the starvation bound: protection against thrash gives way
    bool granted = false; ///< the load scheduler has weighed it against the victim
    std::uint32_t reservedSlots = 0;
    std::uint32_t slots = 0;
};

/// Expected calls that stall because of this eviction, weighted by class.
double keepValue(const AdapterRecord &record, Duration loadTime, const EvictionRules &rules, TimePoint now);
/// Time for which an adapter is kept after its load.
Duration protection(const AdapterRecord &record, const EvictionRules &rules, TimePoint now);
/// True if a load may take a free slot without touching the slots reserved for urgent calls.
bool mayTakeFreeSlot(const AdapterTable &table, const SlotClaim &claim);
/// The adapter to unload for the claim; none if no adapter may go or none is worth less.
AdapterRecord *chooseVictim(AdapterTable &table, const SlotClaim &claim, Duration loadTime, const EvictionRules &rules,
                            bool onlyUnpinned, TimePoint now);

} // namespace anvilscale

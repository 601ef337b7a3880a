// Choice of the adapter that gives way.
#include "eviction.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

constexpr double urgentWeight = 4.0;
constexpr double maxDoublings = 5.0;

bool needsUnreserved(const AdapterTable &table, const SlotClaim &claim)
{
    return !claim.urgent && table.occupiedByOthers() + claim.reservedSlots >= claim.slots;
}

} // namespace

double keepValue(const AdapterRecord &record, Duration loadTime, const EvictionRules &rules, TimePoint now)
{
    if (record.superseded) {
        return 0.0;
    }
    const double loadSeconds = std::chrono::duration<double>(std::max(loadTime, Duration(Milliseconds(100)))).count();
    const double weight = record.urgent ? urgentWeight : 1.0;
    return record.demand.at(now, rules.demandMemory) * loadSeconds * weight;
}

Duration protection(const AdapterRecord &record, const EvictionRules &rules, TimePoint now)
{
    const double reloads =
        record.reloads.at(now, rules.reloadMemory) * std::chrono::duration<double>(rules.reloadMemory).count();
    const double factor = std::exp2(std::min(reloads, maxDoublings));
    const auto wanted = Duration(std::llround(static_cast<double>(rules.minResidency.count()) * factor));
    return std::min(wanted, rules.maxResidency);
}

bool mayTakeFreeSlot(const AdapterTable &table, const SlotClaim &claim)
{
    return table.occupied() < claim.slots && !needsUnreserved(table, claim);
}

AdapterRecord *chooseVictim(AdapterTable &table, const SlotClaim &claim, Duration loadTime, const EvictionRules &rules,
                            bool onlyUnpinned, TimePoint now)
{
    const bool fromOthers = needsUnreserved(table, claim);
    AdapterRecord *victim = nullptr;
    double least = 0.0;
    for (auto &[which, record] : table.records()) {
        const bool wanted = record.waiting != 0 && !record.yielding;
        if (record.state != ResidencyState::Resident || wanted || (onlyUnpinned && record.mayRun())) {
            continue;
        }
        if (fromOthers && record.urgent) {
            continue;
        }
        if (!claim.starving && now < record.residentSince + protection(record, rules, now)) {
            continue;
        }
        const double value = keepValue(record, loadTime, rules, now);
        if (!claim.granted && !claim.starving && value * rules.hysteresis > claim.gain) {
            continue;
        }
        if (victim == nullptr || value < least || (value == least && record.lastUsed < victim->lastUsed)) {
            victim = &record;
            least = value;
        }
    }
    return victim;
}

} // namespace anvilscale

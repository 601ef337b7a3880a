// Victim selection for evictions.
#include "eviction.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

constexpr double urgentWeight = 4.0;
constexpr double maxDoublings = 5.0;

bool exceedsUnreservedSlots(const AdapterTable &table, const SlotClaim &claim)
{
    return !claim.isUrgent && table.occupiedByNonUrgent() + claim.reservedSlots >= claim.slots;
}

} // namespace

double retentionValue(const AdapterRecord &record, Duration loadTime, const EvictionRules &rules, TimePoint now)
{
    if (record.isSuperseded) {
        return 0.0;
    }
    const double loadSeconds = std::chrono::duration<double>(std::max(loadTime, Duration(Milliseconds(100)))).count();
    const double weight = record.isUrgent ? urgentWeight : 1.0;
    return record.demand.at(now, rules.demandTimeConstant) * loadSeconds * weight;
}

Duration protectionPeriod(const AdapterRecord &record, const EvictionRules &rules, TimePoint now)
{
    const double reloads = record.reloads.at(now, rules.reloadTimeConstant)
                           * std::chrono::duration<double>(rules.reloadTimeConstant).count();
    const double factor = std::exp2(std::min(reloads, maxDoublings));
    const auto period = Duration(std::llround(static_cast<double>(rules.minResidency.count()) * factor));
    return std::min(period, rules.maxResidency);
}

bool mayTakeFreeSlot(const AdapterTable &table, const SlotClaim &claim)
{
    return table.occupiedSlots() < claim.slots && !exceedsUnreservedSlots(table, claim);
}

AdapterRecord *chooseVictim(AdapterTable &table, const SlotClaim &claim, Duration loadTime, const EvictionRules &rules,
                            bool onlyUnpinned, TimePoint now)
{
    const bool onlyNonUrgent = exceedsUnreservedSlots(table, claim);
    AdapterRecord *victim = nullptr;
    double minValue = 0.0;
    for (auto &[adapterVersion, record] : table.records()) {
        const bool hasWaitingCalls = record.waiting != 0 && !record.isYielding;
        if (record.state != ResidencyState::Resident || hasWaitingCalls
            || (onlyUnpinned && record.mayHaveRunningCalls())) {
            continue;
        }
        if (onlyNonUrgent && record.isUrgent) {
            continue;
        }
        if (!claim.isStarving && now < record.residentSince + protectionPeriod(record, rules, now)) {
            continue;
        }
        const double value = retentionValue(record, loadTime, rules, now);
        if (!claim.isGranted && !claim.isStarving && value * rules.hysteresis > claim.gain) {
            continue;
        }
        if (victim == nullptr || value < minValue || (value == minValue && record.lastUsed < victim->lastUsed)) {
            victim = &record;
            minValue = value;
        }
    }
    return victim;
}

} // namespace anvilscale

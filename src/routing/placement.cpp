// Placement by adapter residency and expected wait.
#include "placement.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

// Added for a call that leaves the data centre or the region: network latency and a bias towards local sidecars.
constexpr double otherDataCentrePenaltySeconds = 0.005;
constexpr double otherRegionPenaltySeconds = 0.25;
// Cost of a full batch as a fraction of the service time. Lower than the real slowdown: spreading calls further costs
// slots of other adapters and more loads. With 0.3 there were more copies and loads, and emptier batches.
constexpr double fullBatchCostFactor = 0.02;
// Factor by which a new copy must be cheaper. Prevents an adapter from moving back and forth between two engines.
constexpr double copyHysteresisFactor = 2.0;
// Maximum hash-based cost, by which all entries prefer the same sidecar for a cold adapter.
constexpr double maxAffinityCostSeconds = 1.0;
// Converts the value of an eviction victim (expected load stalls) into seconds.
constexpr double secondsPerVictimValue = 20.0;
constexpr double maxKeyCostSeconds = 0.5;
constexpr std::size_t maxSampledHolders = 4;
constexpr double serviceTimeDecay = 0.05;

bool contains(std::span<const SidecarIndex> list, SidecarIndex value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

double distanceCost(const SidecarView &view, const PlacementRequest &request)
{
    if (view.dataCentre == request.dataCentre) {
        return 0.0;
    }
    const bool isSameRegion = view.region.empty() || view.region == request.region;
    return isSameRegion ? otherDataCentrePenaltySeconds : otherRegionPenaltySeconds;
}

Duration fromSeconds(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

double expectedLoadSeconds(const PlacementRequest &request)
{
    return 1.0 / std::max(0.01, request.policy->loadRate);
}

std::uint64_t mixBits(std::uint64_t value)
{
    value ^= value >> 31U;
    value *= 0x9e3779b97f4a7c15ULL;
    return value ^ (value >> 29U);
}

double hashFraction(std::uint64_t key, SidecarIndex sidecar)
{
    return static_cast<double>(mixBits(key ^ mixBits(sidecar + 1)) >> 40U) / (1U << 24U);
}

/// Lets all entries prefer the same copy for a key, so that a repeat through another entry can attach to its execution.
double keyCost(const PlacementRequest &request, SidecarIndex sidecar)
{
    return request.keyHash == 0 ? 0.0 : maxKeyCostSeconds * hashFraction(request.keyHash, sidecar);
}

struct BestChoice
{
    std::optional<PlacementChoice> choice;
    double cost = 0.0;
    void consider(const PlacementChoice &candidate, double candidateCost)
    {
        if (!choice || candidateCost < cost) {
            choice = candidate;
            cost = candidateCost;
        }
    }
};

} // namespace

void ResidencyPlacement::recordServiceTime(Duration serviceTime)
{
    const double seconds = static_cast<double>(serviceTime.count()) * 1e-6;
    meanServiceSeconds_ += serviceTimeDecay * (seconds - meanServiceSeconds_);
}

double ResidencyPlacement::queueCost(const SidecarView &view, const PlacementRequest &request) const
{
    const double backlog = view.backlog();
    const double limit = view.batchLimit;
    const double excess = std::max(0.0, backlog + 1.0 - limit);
    const double fillRatio = std::min(1.0, backlog / limit);
    const double wait = excess / limit * meanServiceSeconds_;
    return wait + fillRatio * fullBatchCostFactor * meanServiceSeconds_ + distanceCost(view, request);
}

std::optional<PlacementChoice> ResidencyPlacement::chooseHolder(const FleetView &fleet, const PlacementRequest &request,
                                                                Random &random) const
{
    const auto &holders = fleet.holders(request.adapterKey);
    BestChoice best;
    // Compares a few holders from a random start. Prevents entries with the same stale reports from all sending to one
    // sidecar.
    const auto count = std::min(holders.size(), maxSampledHolders);
    const auto start = holders.size() > maxSampledHolders ? random.uniformBelow(holders.size()) : 0;
    for (std::size_t i = 0; i < holders.size() && (i < count || !best.choice); ++i) {
        const auto index = holders[(start + i) % holders.size()];
        const auto &view = fleet.at(index);
        if (!view.isRoutable() || contains(request.triedSidecars, index)) {
            continue;
        }
        const auto adapter = view.adapters.find(request.adapterKey);
        const bool isResident = adapter != view.adapters.end() && adapter->second.state == ResidencyState::Resident;
        const double cost =
            queueCost(view, request) + (isResident ? 0.0 : expectedLoadSeconds(request)) + keyCost(request, index);
        best.consider(PlacementChoice{index, fromSeconds(cost), isResident}, cost);
    }
    const auto expectedHolder = fleet.expectedHolder(request.adapterKey, request.now);
    if (expectedHolder && fleet.at(*expectedHolder).isRoutable() && !contains(request.triedSidecars, *expectedHolder)) {
        const double cost = queueCost(fleet.at(*expectedHolder), request) + expectedLoadSeconds(request);
        best.consider(PlacementChoice{*expectedHolder, fromSeconds(cost), false}, cost);
    }
    return best.choice;
}

std::optional<PlacementChoice> ResidencyPlacement::chooseNewCopy(const FleetView &fleet,
                                                                 const PlacementRequest &request) const
{
    BestChoice best;
    for (const auto index : fleet.sidecarsOfModel(request.baseModel)) {
        const auto &view = fleet.at(index);
        if (!view.isRoutable() || contains(request.triedSidecars, index)) {
            continue;
        }
        const bool hasEvictableSlot = view.busySlots < view.slots && view.victimValue >= 0.0;
        const double wait =
            queueCost(view, request) + expectedLoadSeconds(request) + (hasEvictableSlot ? 0.0 : meanServiceSeconds_);
        const double affinity = hashFraction(request.adapterKey, index);
        best.consider(PlacementChoice{index, fromSeconds(wait), false},
                      wait + affinity * maxAffinityCostSeconds
                          + secondsPerVictimValue * std::max(0.0, view.victimValue));
    }
    return best.choice;
}

std::optional<PlacementChoice> ResidencyPlacement::chooseService(const FleetView &fleet,
                                                                 const PlacementRequest &request, Random &random) const
{
    std::vector<SidecarIndex> candidates;
    for (const auto index : fleet.sidecarsOfService(request.service)) {
        if (fleet.at(index).isRoutable() && !contains(request.triedSidecars, index)) {
            candidates.push_back(index);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto first = candidates[random.uniformBelow(candidates.size())];
    const auto second = candidates[random.uniformBelow(candidates.size())];
    const double firstCost = queueCost(fleet.at(first), request);
    const double secondCost = queueCost(fleet.at(second), request);
    const bool isFirstCheaper = firstCost <= secondCost;
    return PlacementChoice{isFirstCheaper ? first : second, fromSeconds(std::min(firstCost, secondCost)), true};
}

std::optional<PlacementChoice> ResidencyPlacement::choose(const FleetView &fleet, const PlacementRequest &request,
                                                          Random &random) const
{
    if (!request.service.empty()) {
        return chooseService(fleet, request, random);
    }
    const auto holder = chooseHolder(fleet, request, random);
    const bool isHolderAvailable =
        holder && holder->expectedWait < fromSeconds(copyHysteresisFactor * expectedLoadSeconds(request));
    if (isHolderAvailable) {
        return holder;
    }
    const auto copy = chooseNewCopy(fleet, request);
    if (!holder) {
        return copy;
    }
    const bool isCopyCheaper = copy && copyHysteresisFactor * copy->expectedWait < holder->expectedWait;
    return isCopyCheaper ? copy : holder;
}

} // namespace anvilscale

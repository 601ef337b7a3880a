// Placement by residency and expected wait.
#include "placement.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

// Seconds added for a call that leaves the data centre or the region: network time, and a bias to stay local.
constexpr double otherDataCentreSeconds = 0.005;
constexpr double otherRegionSeconds = 0.25;
// Weight of a half-full batch against a further copy or another engine. A full batch slows a call by more than this,
// but each spread call takes a slot from another adapter: with 0.3 there were more copies, more loads and emptier
// batches.
constexpr double fullBatchSlowdown = 0.02;
// A further copy must win by this factor, else two engines trade one adapter back and forth.
constexpr double copyHysteresis = 2.0;
// Cost spread by which entries agree, without talking, on the same sidecar for a cold adapter.
constexpr double affinitySpread = 1.0;
// Seconds that an eviction costs for a unit of its victim's value (expected stalls).
constexpr double victimSeconds = 20.0;
constexpr double keySpread = 0.5;
constexpr std::size_t sampledHolders = 4;
constexpr double serviceDecay = 0.05;

bool contains(std::span<const SidecarIndex> list, SidecarIndex value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

double distanceCost(const SidecarView &view, const PlacementRequest &request)
{
    if (view.dataCentre == request.dataCentre) {
        return 0.0;
    }
    const bool sameRegion = view.region.empty() || view.region == request.region;
    return sameRegion ? otherDataCentreSeconds : otherRegionSeconds;
}

Duration fromSeconds(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

double loadSeconds(const PlacementRequest &request)
{
    return 1.0 / std::max(0.01, request.policy->loadRate);
}

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 31U;
    value *= 0x9e3779b97f4a7c15ULL;
    return value ^ (value >> 29U);
}

double spreadOf(std::uint64_t key, SidecarIndex sidecar)
{
    return static_cast<double>(mix(key ^ mix(sidecar + 1)) >> 40U) / (1U << 24U);
}

/// A repeat may come through another entry. Both prefer the same copy, where the repeat finds the call it can attach
/// to.
double keyCost(const PlacementRequest &request, SidecarIndex sidecar)
{
    return request.keyHash == 0 ? 0.0 : keySpread * spreadOf(request.keyHash, sidecar);
}

struct Best
{
    std::optional<PlacementChoice> choice;
    double cost = 0.0;
    void offer(const PlacementChoice &candidate, double candidateCost)
    {
        if (!choice || candidateCost < cost) {
            choice = candidate;
            cost = candidateCost;
        }
    }
};

} // namespace

void ResidencyPlacement::observeService(Duration took)
{
    const double seconds = static_cast<double>(took.count()) * 1e-6;
    serviceSeconds_ += serviceDecay * (seconds - serviceSeconds_);
}

double ResidencyPlacement::queueCost(const SidecarView &view, const PlacementRequest &request) const
{
    const double backlog = view.backlog();
    const double limit = view.batchLimit;
    const double over = std::max(0.0, backlog + 1.0 - limit);
    const double fill = std::min(1.0, backlog / limit);
    const double wait = over / limit * serviceSeconds_;
    return wait + fill * fullBatchSlowdown * serviceSeconds_ + distanceCost(view, request);
}

std::optional<PlacementChoice> ResidencyPlacement::chooseHolder(const FleetView &fleet, const PlacementRequest &request,
                                                                Random &random) const
{
    const auto &holders = fleet.holders(request.adapterKey);
    Best best;
    // Of many copies only a few, drawn at random, are compared: entries with the same old reports would else all send
    // to the same one until the next report.
    const auto count = std::min(holders.size(), sampledHolders);
    const auto start = holders.size() > sampledHolders ? random.below(holders.size()) : 0;
    for (std::size_t i = 0; i < holders.size() && (i < count || !best.choice); ++i) {
        const auto index = holders[(start + i) % holders.size()];
        const auto &view = fleet.at(index);
        if (!view.routable() || contains(request.tried, index)) {
            continue;
        }
        const auto adapter = view.adapters.find(request.adapterKey);
        const bool resident = adapter != view.adapters.end() && adapter->second.state == ResidencyState::Resident;
        const double cost =
            queueCost(view, request) + (resident ? 0.0 : loadSeconds(request)) + keyCost(request, index);
        best.offer(PlacementChoice{index, fromSeconds(cost), resident}, cost);
    }
    const auto expected = fleet.expectedHolder(request.adapterKey, request.now);
    if (expected && fleet.at(*expected).routable() && !contains(request.tried, *expected)) {
        const double cost = queueCost(fleet.at(*expected), request) + loadSeconds(request);
        best.offer(PlacementChoice{*expected, fromSeconds(cost), false}, cost);
    }
    return best.choice;
}

std::optional<PlacementChoice> ResidencyPlacement::chooseNewCopy(const FleetView &fleet,
                                                                 const PlacementRequest &request) const
{
    Best best;
    for (const auto index : fleet.ofModel(request.baseModel)) {
        const auto &view = fleet.at(index);
        if (!view.routable() || contains(request.tried, index)) {
            continue;
        }
        const bool evictable = view.busySlots < view.slots && view.victimValue >= 0.0;
        const double wait = queueCost(view, request) + loadSeconds(request) + (evictable ? 0.0 : serviceSeconds_);
        const double spread = spreadOf(request.adapterKey, index);
        best.offer(PlacementChoice{index, fromSeconds(wait), false},
                   wait + spread * affinitySpread + victimSeconds * std::max(0.0, view.victimValue));
    }
    return best.choice;
}

std::optional<PlacementChoice> ResidencyPlacement::chooseService(const FleetView &fleet,
                                                                 const PlacementRequest &request, Random &random) const
{
    std::vector<SidecarIndex> live;
    for (const auto index : fleet.ofService(request.service)) {
        if (fleet.at(index).routable() && !contains(request.tried, index)) {
            live.push_back(index);
        }
    }
    if (live.empty()) {
        return std::nullopt;
    }
    const auto first = live[random.below(live.size())];
    const auto second = live[random.below(live.size())];
    const double firstCost = queueCost(fleet.at(first), request);
    const double secondCost = queueCost(fleet.at(second), request);
    const bool takeFirst = firstCost <= secondCost;
    return PlacementChoice{takeFirst ? first : second, fromSeconds(std::min(firstCost, secondCost)), true};
}

std::optional<PlacementChoice> ResidencyPlacement::choose(const FleetView &fleet, const PlacementRequest &request,
                                                          Random &random) const
{
    if (!request.service.empty()) {
        return chooseService(fleet, request, random);
    }
    const auto holder = chooseHolder(fleet, request, random);
    const bool holderIsFree = holder && holder->expectedWait < fromSeconds(copyHysteresis * loadSeconds(request));
    if (holderIsFree) {
        return holder;
    }
    const auto copy = chooseNewCopy(fleet, request);
    if (!holder) {
        return copy;
    }
    const bool copyPays = copy && copyHysteresis * copy->expectedWait < holder->expectedWait;
    return copyPays ? copy : holder;
}

} // namespace anvilscale

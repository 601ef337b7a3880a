// Placement policies of an entry: by residency and cost (product), and least-loaded (baseline).
#pragma once

#include "fleet_view.h"

#include <concepts>
#include <span>

namespace anvilscale {

/// Properties of a call that decide its placement.
struct PlacementRequest
{
    std::string_view baseModel; ///< empty for a plain service
    std::string_view service; ///< empty for a model call
    std::uint64_t adapterKey = 0; ///< AdapterVersion::hash(); 0 for a plain service
    CallClass callClass = CallClass::Normal;
    std::uint64_t keyHash = 0; ///< hash of the idempotency key; 0 if none
    std::span<const SidecarIndex> triedSidecars; ///< sidecars of earlier attempts, which are not chosen again
    std::string_view dataCentre; ///< data centre of this entry
    std::string_view region; ///< region of this entry
    const Policy *policy = nullptr;
    TimePoint now;
};

/// Sidecar chosen for a call.
struct PlacementChoice
{
    SidecarIndex sidecar = 0;
    Duration expectedWait{}; ///< until the endpoint starts the call
    bool isResident = false; ///< the adapter needs no load there
};

/// A placement policy. Returns no choice if no routable sidecar is left.
template<class P>
concept Placement = requires(const P placement, const FleetView &fleet, const PlacementRequest &request, Random &random)
{
    {
        placement.choose(fleet, request, random)
        } -> std::same_as<std::optional<PlacementChoice>>;
};

/// Chooses the holder with the lowest expected wait, or a new copy if queueing costs more than a load.
class ResidencyPlacement
{
public:
    std::optional<PlacementChoice> choose(const FleetView &fleet, const PlacementRequest &request,
                                          Random &random) const;
    /// Records the time that a completed call ran at its endpoint.
    void recordServiceTime(Duration serviceTime);

private:
    double queueCost(const SidecarView &view, const PlacementRequest &request) const;
    std::optional<PlacementChoice> chooseHolder(const FleetView &fleet, const PlacementRequest &request,
                                                Random &random) const;
    std::optional<PlacementChoice> chooseNewCopy(const FleetView &fleet, const PlacementRequest &request) const;
    std::optional<PlacementChoice> chooseService(const FleetView &fleet, const PlacementRequest &request,
                                                 Random &random) const;

    double meanServiceSeconds_ = 2.0; // decayed mean time of a call at its endpoint
};

/// Chooses the sidecar with the smallest backlog, for comparison.
class LeastLoadedPlacement
{
public:
    std::optional<PlacementChoice> choose(const FleetView &fleet, const PlacementRequest &request,
                                          Random &random) const;
    void recordServiceTime(Duration /*serviceTime*/)
    {
    }
};

static_assert(Placement<ResidencyPlacement>);
static_assert(Placement<LeastLoadedPlacement>);

} // namespace anvilscale

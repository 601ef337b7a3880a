// Adapter residency and load demand of all sidecars, as reported to the load scheduler.
#pragma once

#include "wire.pb.h"

#include "anvilscale/state.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilscale {

/// Demand of one sidecar for one adapter version.
struct Demand
{
    AdapterVersion adapterVersion;
    std::uint32_t waitingCalls = 0; ///< 0 for expected demand only (prefetch)
    CallClass callClass = CallClass::Bulk;
    Duration oldestWait{}; ///< longest wait of a call at `reportedAt`
    Duration minBudget{}; ///< shortest time that a waiting call had left at `reportedAt`; 0 if unknown
    double callRate = 0.0; ///< calls per second, decayed
    bool hasEvictableSlot = false; ///< a slot is free or can be freed
    double victimValue = 0.0; ///< cost of the eviction; 0 for a free slot
    TimePoint reportedAt;
};

/// State of one sidecar as last reported.
struct SidecarLoadState
{
    std::uint64_t incarnation = 0;
    std::uint64_t supersededUntil = 0; ///< see Member
    bool acceptsLoads = false; ///< admitting and not leaving
    bool isSuspect = false;
    bool isGone = false;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, ResidencyState> adapters; ///< by AdapterVersion::hash()
    std::map<std::uint64_t, Demand> demands; ///< by AdapterVersion::hash()
};

/// Index of residency and demand over all sidecars.
class DemandTable
{
public:
    /// Returns true if a known sidecar restarted: loads granted to its previous incarnation are lost.
    bool onHeartbeat(const wire::Heartbeat &heartbeat, TimePoint now);
    /// Returns true if the incarnation is new.
    bool onMember(const Member &member);
    void dropDemand(const std::string &sidecar, std::uint64_t key);
    const std::map<std::string, SidecarLoadState> &sidecars() const
    {
        return sidecars_;
    }
    /// Sidecars with at least one demand, by name.
    const std::map<std::string, const SidecarLoadState *> &sidecarsWithDemand() const
    {
        return sidecarsWithDemand_;
    }
    /// Number of sidecars where the adapter is resident or loading.
    std::uint32_t copyCount(std::uint64_t key) const;
    /// Number of loads that sidecars report as running.
    std::uint32_t loadingCount() const
    {
        return loadingCount_;
    }
    /// Number of demands of all sidecars.
    std::uint32_t demandCount() const;

private:
    void setAdapter(SidecarLoadState &sidecar, std::uint64_t key, ResidencyState state);
    void clearAdapters(SidecarLoadState &sidecar);
    void markLoadsUnknown(SidecarLoadState &sidecar);
    void reset(SidecarLoadState &sidecar, std::uint64_t incarnation);

    void updateDemandIndex(const std::string &name, const SidecarLoadState &sidecar);

    std::map<std::string, SidecarLoadState> sidecars_; // ordered by name, which keeps grants deterministic
    // Invariant: exactly the sidecars whose `demands` is not empty. Keeps the cost of a grant independent of idle
    // sidecars.
    std::map<std::string, const SidecarLoadState *> sidecarsWithDemand_;
    // By AdapterVersion::hash(). Invariant: counts the Resident and Loading states in sidecars_; no count is zero.
    std::unordered_map<std::uint64_t, std::uint32_t> copyCounts_;
    std::uint32_t loadingCount_ = 0;
};

} // namespace anvilscale

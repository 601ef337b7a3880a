// What the load scheduler knows: who is where, and which sidecar wants which adapter.
#pragma once

#include "wire.pb.h"

#include "anvilscale/state.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilscale {

/// One adapter version wanted at one sidecar.
struct Demand
{
    AdapterVersion which;
    std::uint32_t waiting = 0; ///< 0: expected demand only (prefetch)
    CallClass callClass = CallClass::Bulk;
    Duration oldestWait{}; ///< when the report came
    Duration leastBudget{};
    double rate = 0.0;
    bool evictable = false;
    double victimValue = 0.0;
    TimePoint reportedAt;
};

struct DemandingSidecar
{
    std::uint64_t incarnation = 0;
    bool takesLoads = false; ///< admitting, not leaving, live
    bool suspect = false;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, ResidencyState> adapters; ///< by key64
    std::map<std::uint64_t, Demand> demands; ///< by key64
};

class DemandTable
{
public:
    /// True if the incarnation is new: loads given to the older one are lost.
    bool onHeartbeat(const wire::Heartbeat &heartbeat, TimePoint now);
    bool onMember(const Member &member);
    void dropDemand(const std::string &sidecar, std::uint64_t key);
    const std::map<std::string, DemandingSidecar> &sidecars() const
    {
        return sidecars_;
    }
    /// Those with demands, by name.
    const std::map<std::string, const DemandingSidecar *> &demanding() const
    {
        return demanding_;
    }
    /// Sidecars where the adapter is resident or loading.
    std::uint32_t copies(std::uint64_t key) const;
    std::uint32_t loading() const
    {
        return loading_;
    }
    std::uint32_t demands() const;

private:
    void setAdapter(DemandingSidecar &sidecar, std::uint64_t key, ResidencyState state);
    void clearAdapters(DemandingSidecar &sidecar);
    void loseLoads(DemandingSidecar &sidecar);
    void reset(DemandingSidecar &sidecar, std::uint64_t incarnation);

    void noteDemands(const std::string &name, const DemandingSidecar &sidecar);

    std::map<std::string, DemandingSidecar> sidecars_; // in order of name: grants do not depend on hashing
    // Invariant: exactly the sidecars whose `demands` is not empty. A grant looks at these only: most sidecars of a
    // large fleet want nothing at any one time.
    std::map<std::string, const DemandingSidecar *> demanding_;
    // Invariant: counts the Resident and Loading states of sidecars_; never holds a zero.
    std::unordered_map<std::uint64_t, std::uint32_t> copies_;
    std::uint32_t loading_ = 0;
};

} // namespace anvilscale

// Sidecar states as seen by an entry: their last reports and the calls sent since.
#pragma once

#include "wire.pb.h"

#include "anvilscale/state.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace anvilscale {

/// Index of a sidecar in a FleetView. Valid for the lifetime of the view.
using SidecarIndex = std::uint32_t;

/// Reported state of one adapter at one sidecar.
struct AdapterView
{
    ResidencyState state = ResidencyState::Absent;
    std::uint32_t pins = 0;
    std::uint32_t waitingCalls = 0;
};

/// Last known state of one sidecar.
struct SidecarView
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t supersededUntil = 0; ///< see Member
    std::string dataCentre;
    std::string region;
    std::string baseModel;
    std::vector<std::string> services;
    MemberState memberState = MemberState::Live;
    bool hasReport = false; ///< a report of this incarnation was received
    bool isLeaving = false;
    bool isAdmitting = false;
    std::uint64_t sequence = 0;
    std::uint64_t engineIncarnation = 0;
    std::uint32_t slots = 0;
    std::uint32_t runningCalls = 0;
    std::uint32_t queuedCalls = 0;
    std::uint32_t batchLimit = 1;
    std::uint32_t busySlots = 0; ///< adapters that hold a slot with a pin, a waiting call or a load
    double victimValue = 0.0; ///< value of the cheapest evictable adapter; 0 for a free slot, negative if none
    Duration queueDelay{};
    std::uint32_t sentSinceReport = 0; ///< calls sent by this entry since the last report
    std::uint32_t openAttempts = 0; ///< attempts of this entry that are still open
    std::unordered_map<std::uint64_t, AdapterView> adapters; ///< by AdapterVersion::hash()

    /// True if new calls may be sent to the sidecar.
    bool isRoutable() const
    {
        return hasReport && isAdmitting && !isLeaving && memberState == MemberState::Live;
    }
    /// Estimated calls at the sidecar: reported plus sent since, at least the open attempts of this entry.
    std::uint32_t backlog() const
    {
        return std::max(runningCalls + queuedCalls + sentSinceReport, openAttempts);
    }
};

enum class ReportResult : std::uint8_t {
    Applied,
    Restarted, ///< newer incarnation; the state of the previous one was discarded
    Gap, ///< a delta is missing; a full report has to be requested
    Stale, ///< older incarnation or duplicate
    Count
};
template<>
struct EnumNames<ReportResult>
{
    static constexpr std::array<std::string_view, enumCount<ReportResult>> table{"applied", "restarted", "gap",
                                                                                 "stale"};
};

/// Sidecar states, indexed by name, base model, service and adapter.
class FleetView
{
public:
    ReportResult onReport(const wire::Heartbeat &report);
    /// Updates the load only. Returns Gap also for an unknown incarnation.
    ReportResult onBeat(std::string_view name, const wire::Beat &beat);
    /// Returns true if open attempts are lost: the member has restarted or is gone.
    bool onMember(const Member &member);
    void onAttemptSent(SidecarIndex sidecar, std::uint64_t adapterKey, TimePoint now);
    void onAttemptClosed(SidecarIndex sidecar);
    void markLeaving(SidecarIndex sidecar);

    const SidecarView &at(SidecarIndex sidecar) const
    {
        return sidecars_[sidecar];
    }
    std::size_t size() const
    {
        return sidecars_.size();
    }
    std::optional<SidecarIndex> find(std::string_view name) const;
    /// Sidecars where the adapter is resident or loading, in order of index.
    const std::vector<SidecarIndex> &holders(std::uint64_t adapterKey) const;
    const std::vector<SidecarIndex> &sidecarsOfModel(std::string_view baseModel) const;
    const std::vector<SidecarIndex> &sidecarsOfService(std::string_view service) const;
    /// Sidecar to which this entry sent the last call of an adapter absent there, until the expectation expires.
    std::optional<SidecarIndex> expectedHolder(std::uint64_t adapterKey, TimePoint now) const;

private:
    struct ExpectedLoad
    {
        SidecarIndex sidecar = 0;
        TimePoint until;
    };
    using GroupIndex = std::map<std::string, std::vector<SidecarIndex>, std::less<>>;

    SidecarIndex findOrAdd(const std::string &name);
    void reset(SidecarIndex sidecar, std::uint64_t incarnation);
    void setAdapter(SidecarIndex sidecar, const wire::AdapterState &state);
    void clearAdapters(SidecarIndex sidecar);
    void applyLoad(SidecarView &view, const wire::Heartbeat &report);
    void addToGroup(GroupIndex &group, const std::string &name, SidecarIndex sidecar);
    void removeExpired(TimePoint now);

    std::vector<SidecarView> sidecars_;
    std::map<std::string, SidecarIndex, std::less<>> byName_;
    GroupIndex byModel_;
    GroupIndex byService_;
    // Invariant: lists exactly the sidecars whose `adapters` holds the key as Resident or Loading. Its size is bounded
    // by the slots of the fleet, not by the number of configured adapters.
    std::unordered_map<std::uint64_t, std::vector<SidecarIndex>> holders_;
    std::unordered_map<std::uint64_t, ExpectedLoad> expectedLoads_;
    TimePoint nextExpiryCheck_{};
};

} // namespace anvilscale

// What an entry knows of the sidecars: reports (late, with gaps) and its own counts of what it has sent since.
#pragma once

#include "wire.pb.h"

#include "anvilscale/state.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace anvilscale {

/// Position of a sidecar in the view. Stable for the life of the view.
using SidecarIndex = std::uint32_t;

struct AdapterView
{
    ResidencyState state = ResidencyState::Absent;
    std::uint32_t pins = 0;
    std::uint32_t waiting = 0;
};

struct SidecarView
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    std::string region;
    std::string baseModel;
    std::vector<std::string> services;
    MemberState member = MemberState::Live;
    bool heard = false; ///< a report of this incarnation has come
    bool leaving = false;
    bool admitting = false;
    std::uint64_t sequence = 0;
    std::uint64_t engineIncarnation = 0;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t batchLimit = 1;
    std::uint32_t busySlots = 0; ///< adapters that hold a slot with a pin, a waiting call or a load
    double victimValue = 0.0; ///< worth of the cheapest adapter that may be evicted; 0: free slot, negative: none
    Duration queueDelay{};
    std::uint32_t sentSince = 0; ///< calls this entry sent after the last report
    std::uint32_t open = 0; ///< calls of this entry that have not ended
    std::unordered_map<std::uint64_t, AdapterView> adapters; ///< by AdapterVersion::key64()

    /// New work may be sent.
    bool routable() const
    {
        return heard && admitting && !leaving && member == MemberState::Live;
    }
    /// Calls at the sidecar: its report, or what this entry alone knows to be there.
    std::uint32_t backlog() const
    {
        return std::max(running + queued + sentSince, open);
    }
};

enum class ReportResult : std::uint8_t {
    Applied,
    Restarted, ///< a newer incarnation: what the older one had is gone
    Gap, ///< a delta is missing: a full report is needed
    Stale, ///< of an older incarnation or already seen
    Count
};
template<>
struct EnumNames<ReportResult>
{
    static constexpr std::array<std::string_view, enumCount<ReportResult>> table{"applied", "restarted", "gap",
                                                                                 "stale"};
};

class FleetView
{
public:
    ReportResult onReport(const wire::Heartbeat &report);
    /// The load alone. A Gap also if the sender is not the start that was heard.
    ReportResult onBeat(std::string_view name, const wire::Beat &beat);
    /// True if the member is a newer incarnation or is gone: its open attempts are lost.
    bool onMember(const Member &member);
    void onSent(SidecarIndex sidecar, std::uint64_t adapterKey, TimePoint now);
    void onEnded(SidecarIndex sidecar);
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
    const std::vector<SidecarIndex> &ofModel(std::string_view baseModel) const;
    const std::vector<SidecarIndex> &ofService(std::string_view service) const;
    /// The sidecar to which this entry sent the first call of an absent adapter, until a report tells more.
    std::optional<SidecarIndex> expectedHolder(std::uint64_t adapterKey, TimePoint now) const;

private:
    struct Expectation
    {
        SidecarIndex sidecar = 0;
        TimePoint until;
    };
    using Group = std::map<std::string, std::vector<SidecarIndex>, std::less<>>;

    SidecarIndex ensure(const std::string &name);
    void reset(SidecarIndex sidecar, std::uint64_t incarnation);
    void setAdapter(SidecarIndex sidecar, const wire::AdapterState &state);
    void clearAdapters(SidecarIndex sidecar);
    void takeLoad(SidecarView &view, const wire::Heartbeat &report);
    void join(Group &group, const std::string &name, SidecarIndex sidecar);
    void forgetExpired(TimePoint now);

    std::vector<SidecarView> sidecars_;
    std::map<std::string, SidecarIndex, std::less<>> byName_;
    Group byModel_;
    Group byService_;
    // Invariant: lists exactly the sidecars whose `adapters` holds the key as Resident or Loading, so its size follows
    // the slots of the fleet, not the number of adapters configured.
    std::unordered_map<std::uint64_t, std::vector<SidecarIndex>> holders_;
    std::unordered_map<std::uint64_t, Expectation> expected_;
    TimePoint nextSweep_{};
};

} // namespace anvilscale

// Applies sidecar reports, beats and membership changes to the fleet view.
#include "fleet_view.h"

#include <algorithm>

namespace anvilscale {

namespace {

// A few heartbeats: by then a report lists the adapter, or the load did not happen.
constexpr Duration expectationLifetime = Seconds(3);

const std::vector<SidecarIndex> noSidecars;

bool occupiesSlot(ResidencyState state)
{
    return state != ResidencyState::Absent;
}

bool isHolder(ResidencyState state)
{
    return state == ResidencyState::Resident || state == ResidencyState::Loading;
}

bool isBusy(const AdapterView &adapter)
{
    return adapter.pins > 0 || adapter.waitingCalls > 0 || adapter.state == ResidencyState::Loading;
}

} // namespace

SidecarIndex FleetView::findOrAdd(const std::string &name)
{
    const auto [position, isNew] = byName_.try_emplace(name, static_cast<SidecarIndex>(sidecars_.size()));
    if (isNew) {
        sidecars_.emplace_back();
        sidecars_.back().name = name;
    }
    return position->second;
}

void FleetView::clearAdapters(SidecarIndex sidecar)
{
    auto &view = sidecars_[sidecar];
    for (const auto &[key, adapter] : view.adapters) {
        const auto holder = holders_.find(key);
        if (holder == holders_.end()) {
            continue;
        }
        std::erase(holder->second, sidecar);
        if (holder->second.empty()) {
            holders_.erase(holder);
        }
    }
    view.adapters.clear();
    view.busySlots = 0;
}

void FleetView::reset(SidecarIndex sidecar, std::uint64_t incarnation)
{
    clearAdapters(sidecar);
    auto &view = sidecars_[sidecar];
    view.incarnation = incarnation;
    view.hasReport = false;
    view.isLeaving = false;
    view.isAdmitting = false;
    view.sequence = 0;
    view.runningCalls = 0;
    view.queuedCalls = 0;
    view.sentSinceReport = 0;
    view.memberState = MemberState::Live;
}

void FleetView::setAdapter(SidecarIndex sidecar, const wire::AdapterState &state)
{
    auto &view = sidecars_[sidecar];
    const auto key = AdapterVersion{state.adapter(), state.version()}.hash();
    const auto residency = fromWire(state.state(), ResidencyState::Unknown);
    auto &holders = holders_[key];
    std::erase(holders, sidecar);
    if (isHolder(residency)) {
        holders.insert(std::upper_bound(holders.begin(), holders.end(), sidecar), sidecar);
    }
    if (holders.empty()) {
        holders_.erase(key);
    }
    if (!occupiesSlot(residency)) {
        view.adapters.erase(key);
        return;
    }
    view.adapters[key] = AdapterView{residency, state.pins(), state.waiting()};
}

void FleetView::addToGroup(GroupIndex &group, const std::string &name, SidecarIndex sidecar)
{
    auto &members = group[name];
    const auto position = std::lower_bound(members.begin(), members.end(), sidecar);
    if (position == members.end() || *position != sidecar) {
        members.insert(position, sidecar);
    }
}

void FleetView::applyLoad(SidecarView &view, const wire::Heartbeat &report)
{
    view.hasReport = true;
    view.isLeaving = view.isLeaving || report.leaving();
    view.isAdmitting = report.admitting();
    view.dataCentre = report.data_centre();
    view.baseModel = report.base_model();
    view.slots = report.slots();
    view.runningCalls = report.running();
    view.queuedCalls = report.queued();
    view.batchLimit = std::max<std::uint32_t>(1, report.batch_limit());
    view.victimValue = report.victim_value();
    view.queueDelay = Duration(report.queue_delay_us());
    view.sentSinceReport = 0;
}

ReportResult FleetView::onReport(const wire::Heartbeat &report)
{
    const auto index = findOrAdd(report.from().name());
    const auto incarnation = report.from().incarnation();
    auto &view = sidecars_[index];
    if (isEarlierStart(incarnation, view.incarnation, view.supersededUntil)) {
        return ReportResult::Stale;
    }
    const bool hasRestarted = incarnation != view.incarnation;
    if (hasRestarted) {
        reset(index, incarnation);
    }
    const bool isDuplicate = view.hasReport && report.sequence() <= view.sequence;
    if (isDuplicate) {
        return ReportResult::Stale;
    }
    const bool hasGap = !report.full() && (!view.hasReport || report.sequence() != view.sequence + 1);
    if (report.full() || report.engine_incarnation() != view.engineIncarnation) {
        clearAdapters(index);
    }
    view.engineIncarnation = report.engine_incarnation();
    view.sequence = report.sequence();
    for (const auto &state : report.adapters()) {
        setAdapter(index, state);
    }
    view.busySlots = 0;
    for (const auto &[key, adapter] : view.adapters) {
        view.busySlots += isBusy(adapter) ? 1 : 0;
    }
    applyLoad(view, report);
    if (!report.base_model().empty()) {
        addToGroup(byModel_, report.base_model(), index);
    }
    view.services.assign(report.services().begin(), report.services().end());
    for (const auto &service : view.services) {
        addToGroup(byService_, service, index);
    }
    if (hasRestarted) {
        return ReportResult::Restarted;
    }
    return hasGap ? ReportResult::Gap : ReportResult::Applied;
}

ReportResult FleetView::onBeat(std::string_view name, const wire::Beat &beat)
{
    const auto index = find(name);
    if (!index) {
        return ReportResult::Gap;
    }
    auto &view = sidecars_[*index];
    const bool isSameIncarnation = static_cast<std::uint32_t>(view.incarnation) == beat.incarnation_tag();
    if (!view.hasReport || !isSameIncarnation || beat.sequence() > view.sequence + 1) {
        return ReportResult::Gap;
    }
    if (beat.sequence() <= view.sequence) {
        return ReportResult::Stale;
    }
    view.sequence = beat.sequence();
    view.runningCalls = beat.running();
    view.queuedCalls = beat.queued();
    view.queueDelay = Duration(beat.queue_delay_us());
    view.busySlots = beat.busy_slots();
    view.victimValue = static_cast<double>(beat.victim_value());
    view.sentSinceReport = 0;
    return ReportResult::Applied;
}

bool FleetView::onMember(const Member &member)
{
    const auto index = findOrAdd(member.name);
    auto &view = sidecars_[index];
    const bool isLater = isLaterStart(member, view.incarnation, view.memberState == MemberState::Gone);
    if (!isLater && member.incarnation != view.incarnation) {
        return false;
    }
    const bool hasRestarted = view.incarnation != 0 && isLater;
    view.supersededUntil = std::max(view.supersededUntil, member.supersededUntil);
    if (isLater) {
        view.supersededUntil = std::max(view.supersededUntil, view.incarnation);
        reset(index, member.incarnation);
    }
    view.memberState = member.state;
    view.isLeaving = view.isLeaving || member.state == MemberState::Leaving;
    view.dataCentre = member.dataCentre;
    view.region = member.region;
    return hasRestarted || member.state == MemberState::Gone;
}

void FleetView::removeExpired(TimePoint now)
{
    if (now < nextExpiryCheck_) {
        return;
    }
    std::erase_if(expectedLoads_, [&](const auto &item) { return item.second.until <= now; });
    nextExpiryCheck_ = now + expectationLifetime;
}

void FleetView::onAttemptSent(SidecarIndex sidecar, std::uint64_t adapterKey, TimePoint now)
{
    auto &view = sidecars_[sidecar];
    ++view.sentSinceReport;
    ++view.openAttempts;
    if (adapterKey != 0 && !view.adapters.contains(adapterKey)) {
        removeExpired(now);
        expectedLoads_[adapterKey] = ExpectedLoad{sidecar, now + expectationLifetime};
    }
}

void FleetView::onAttemptClosed(SidecarIndex sidecar)
{
    auto &view = sidecars_[sidecar];
    view.openAttempts -= view.openAttempts > 0 ? 1 : 0;
    view.sentSinceReport -= view.sentSinceReport > 0 ? 1 : 0;
}

void FleetView::markLeaving(SidecarIndex sidecar)
{
    sidecars_[sidecar].isLeaving = true;
}

std::optional<SidecarIndex> FleetView::find(std::string_view name) const
{
    const auto position = byName_.find(name);
    return position == byName_.end() ? std::nullopt : std::optional(position->second);
}

const std::vector<SidecarIndex> &FleetView::holders(std::uint64_t adapterKey) const
{
    const auto position = holders_.find(adapterKey);
    return position == holders_.end() ? noSidecars : position->second;
}

const std::vector<SidecarIndex> &FleetView::sidecarsOfModel(std::string_view baseModel) const
{
    const auto position = byModel_.find(baseModel);
    return position == byModel_.end() ? noSidecars : position->second;
}

const std::vector<SidecarIndex> &FleetView::sidecarsOfService(std::string_view service) const
{
    const auto position = byService_.find(service);
    return position == byService_.end() ? noSidecars : position->second;
}

std::optional<SidecarIndex> FleetView::expectedHolder(std::uint64_t adapterKey, TimePoint now) const
{
    const auto position = expectedLoads_.find(adapterKey);
    if (position == expectedLoads_.end() || position->second.until <= now) {
        return std::nullopt;
    }
    return position->second.sidecar;
}

} // namespace anvilscale

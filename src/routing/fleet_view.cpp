// Keeps the entry's picture of the sidecars.
#include "fleet_view.h"

#include <algorithm>

namespace anvilscale {

namespace {

// A report that names the adapter comes within a few heartbeats; later the expectation is worth nothing.
constexpr Duration expectationLife = Seconds(3);

const std::vector<SidecarIndex> noSidecars;

bool holdsSlot(ResidencyState state)
{
    return state != ResidencyState::Absent;
}

bool isHolder(ResidencyState state)
{
    return state == ResidencyState::Resident || state == ResidencyState::Loading;
}

bool isBusy(const AdapterView &adapter)
{
    return adapter.pins > 0 || adapter.waiting > 0 || adapter.state == ResidencyState::Loading;
}

} // namespace

SidecarIndex FleetView::ensure(const std::string &name)
{
    const auto [position, fresh] = byName_.try_emplace(name, static_cast<SidecarIndex>(sidecars_.size()));
    if (fresh) {
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
    view.heard = false;
    view.leaving = false;
    view.admitting = false;
    view.sequence = 0;
    view.running = 0;
    view.queued = 0;
    view.sentSince = 0;
    view.member = MemberState::Live;
}

void FleetView::setAdapter(SidecarIndex sidecar, const wire::AdapterState &state)
{
    auto &view = sidecars_[sidecar];
    const auto key = AdapterVersion{state.adapter(), state.version()}.key64();
    const auto residency = fromWire(state.state(), ResidencyState::Unknown);
    auto &holders = holders_[key];
    std::erase(holders, sidecar);
    if (isHolder(residency)) {
        holders.insert(std::upper_bound(holders.begin(), holders.end(), sidecar), sidecar);
    }
    if (holders.empty()) {
        holders_.erase(key);
    }
    if (!holdsSlot(residency)) {
        view.adapters.erase(key);
        return;
    }
    view.adapters[key] = AdapterView{residency, state.pins(), state.waiting()};
}

void FleetView::join(Group &group, const std::string &name, SidecarIndex sidecar)
{
    auto &members = group[name];
    const auto place = std::lower_bound(members.begin(), members.end(), sidecar);
    if (place == members.end() || *place != sidecar) {
        members.insert(place, sidecar);
    }
}

void FleetView::takeLoad(SidecarView &view, const wire::Heartbeat &report)
{
    view.heard = true;
    view.leaving = view.leaving || report.leaving();
    view.admitting = report.admitting();
    view.dataCentre = report.data_centre();
    view.baseModel = report.base_model();
    view.slots = report.slots();
    view.running = report.running();
    view.queued = report.queued();
    view.batchLimit = std::max<std::uint32_t>(1, report.batch_limit());
    view.victimValue = report.victim_value();
    view.queueDelay = Duration(report.queue_delay_us());
    view.sentSince = 0;
}

ReportResult FleetView::onReport(const wire::Heartbeat &report)
{
    const auto index = ensure(report.from().name());
    const auto incarnation = report.from().incarnation();
    auto &view = sidecars_[index];
    if (incarnation < view.incarnation) {
        return ReportResult::Stale;
    }
    const bool restarted = incarnation > view.incarnation;
    if (restarted) {
        reset(index, incarnation);
    }
    const bool seen = view.heard && report.sequence() <= view.sequence;
    if (seen) {
        return ReportResult::Stale;
    }
    const bool gap = !report.full() && (!view.heard || report.sequence() != view.sequence + 1);
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
    takeLoad(view, report);
    if (!report.base_model().empty()) {
        join(byModel_, report.base_model(), index);
    }
    view.services.assign(report.services().begin(), report.services().end());
    for (const auto &service : view.services) {
        join(byService_, service, index);
    }
    if (restarted) {
        return ReportResult::Restarted;
    }
    return gap ? ReportResult::Gap : ReportResult::Applied;
}

ReportResult FleetView::onBeat(std::string_view name, const wire::Beat &beat)
{
    const auto index = find(name);
    if (!index) {
        return ReportResult::Gap;
    }
    auto &view = sidecars_[*index];
    const bool sameStart = static_cast<std::uint32_t>(view.incarnation) == beat.incarnation_tag();
    if (!view.heard || !sameStart || beat.sequence() > view.sequence + 1) {
        return ReportResult::Gap;
    }
    if (beat.sequence() <= view.sequence) {
        return ReportResult::Stale;
    }
    view.sequence = beat.sequence();
    view.running = beat.running();
    view.queued = beat.queued();
    view.queueDelay = Duration(beat.queue_delay_us());
    view.busySlots = beat.busy_slots();
    view.victimValue = static_cast<double>(beat.victim_value());
    view.sentSince = 0;
    return ReportResult::Applied;
}

bool FleetView::onMember(const Member &member)
{
    const auto index = ensure(member.name);
    auto &view = sidecars_[index];
    if (member.incarnation < view.incarnation) {
        return false;
    }
    const bool restarted = view.incarnation != 0 && member.incarnation > view.incarnation;
    if (member.incarnation > view.incarnation) {
        reset(index, member.incarnation);
    }
    view.member = member.state;
    view.leaving = view.leaving || member.state == MemberState::Leaving;
    view.dataCentre = member.dataCentre;
    view.region = member.region;
    return restarted || member.state == MemberState::Gone;
}

void FleetView::forgetExpired(TimePoint now)
{
    if (now < nextSweep_) {
        return;
    }
    std::erase_if(expected_, [&](const auto &item) { return item.second.until <= now; });
    nextSweep_ = now + expectationLife;
}

void FleetView::onSent(SidecarIndex sidecar, std::uint64_t adapterKey, TimePoint now)
{
    auto &view = sidecars_[sidecar];
    ++view.sentSince;
    ++view.open;
    if (adapterKey != 0 && !view.adapters.contains(adapterKey)) {
        forgetExpired(now);
        expected_[adapterKey] = Expectation{sidecar, now + expectationLife};
    }
}

void FleetView::onEnded(SidecarIndex sidecar)
{
    auto &view = sidecars_[sidecar];
    view.open -= view.open > 0 ? 1 : 0;
    view.sentSince -= view.sentSince > 0 ? 1 : 0;
}

void FleetView::markLeaving(SidecarIndex sidecar)
{
    sidecars_[sidecar].leaving = true;
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

const std::vector<SidecarIndex> &FleetView::ofModel(std::string_view baseModel) const
{
    const auto position = byModel_.find(baseModel);
    return position == byModel_.end() ? noSidecars : position->second;
}

const std::vector<SidecarIndex> &FleetView::ofService(std::string_view service) const
{
    const auto position = byService_.find(service);
    return position == byService_.end() ? noSidecars : position->second;
}

std::optional<SidecarIndex> FleetView::expectedHolder(std::uint64_t adapterKey, TimePoint now) const
{
    const auto position = expected_.find(adapterKey);
    if (position == expected_.end() || position->second.until <= now) {
        return std::nullopt;
    }
    return position->second.sidecar;
}

} // namespace anvilscale

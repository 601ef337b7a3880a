// Applies sidecar heartbeats and membership changes to the demand table.
#include "demand_table.h"

namespace anvilscale {

namespace {

bool isResidentOrLoading(ResidencyState state)
{
    return state == ResidencyState::Resident || state == ResidencyState::Loading;
}

Demand demandFromWire(const wire::LoadDemand &in, TimePoint now)
{
    Demand out;
    out.adapterVersion = AdapterVersion{in.adapter(), in.version()};
    out.waitingCalls = in.waiting();
    out.callClass = fromWire(in.call_class(), CallClass::Bulk);
    out.oldestWait = Duration(in.oldest_wait_us());
    out.minBudget = Duration(in.least_budget_us());
    out.callRate = in.rate();
    out.hasEvictableSlot = in.evictable_slot();
    out.victimValue = in.victim_value();
    out.reportedAt = now;
    return out;
}

} // namespace

void DemandTable::setAdapter(SidecarLoadState &sidecar, std::uint64_t key, ResidencyState state)
{
    const auto position = sidecar.adapters.find(key);
    const auto previousState = position == sidecar.adapters.end() ? ResidencyState::Absent : position->second;
    loadingCount_ -= previousState == ResidencyState::Loading ? 1 : 0;
    loadingCount_ += state == ResidencyState::Loading ? 1 : 0;
    if (isResidentOrLoading(previousState) && !isResidentOrLoading(state)) {
        const auto count = copyCounts_.find(key);
        if (--count->second == 0) {
            copyCounts_.erase(count);
        }
    }
    if (!isResidentOrLoading(previousState) && isResidentOrLoading(state)) {
        ++copyCounts_[key];
    }
    if (state == ResidencyState::Absent) {
        sidecar.adapters.erase(key);
    } else {
        sidecar.adapters[key] = state;
    }
}

void DemandTable::clearAdapters(SidecarLoadState &sidecar)
{
    const auto adapters = sidecar.adapters;
    for (const auto &[key, state] : adapters) {
        setAdapter(sidecar, key, ResidencyState::Absent);
    }
}

/// Prevents a load of an unresponsive sidecar from blocking all other loads until the sidecar is removed.
void DemandTable::markLoadsUnknown(SidecarLoadState &sidecar)
{
    const auto adapters = sidecar.adapters;
    for (const auto &[key, state] : adapters) {
        if (state == ResidencyState::Loading) {
            setAdapter(sidecar, key, ResidencyState::Unknown);
        }
    }
}

void DemandTable::reset(SidecarLoadState &sidecar, std::uint64_t incarnation)
{
    clearAdapters(sidecar);
    const auto supersededUntil = sidecar.supersededUntil;
    sidecar = SidecarLoadState{};
    sidecar.incarnation = incarnation;
    sidecar.supersededUntil = supersededUntil;
}

bool DemandTable::onHeartbeat(const wire::Heartbeat &heartbeat, TimePoint now)
{
    auto &sidecar = sidecars_[heartbeat.from().name()];
    const auto incarnation = heartbeat.from().incarnation();
    const bool isOutdated = isEarlierStart(incarnation, sidecar.incarnation, sidecar.supersededUntil);
    const bool isDuplicate =
        incarnation == sidecar.incarnation && heartbeat.sequence() <= sidecar.sequence && sidecar.sequence != 0;
    if (isOutdated || isDuplicate) {
        return false;
    }
    const bool hasRestarted = incarnation != sidecar.incarnation;
    const bool isKnown = sidecar.incarnation != 0;
    if (hasRestarted) {
        reset(sidecar, incarnation);
    }
    sidecar.sequence = heartbeat.sequence();
    sidecar.acceptsLoads = heartbeat.admitting() && !heartbeat.leaving();
    if (heartbeat.full()) {
        clearAdapters(sidecar);
    }
    for (const auto &state : heartbeat.adapters()) {
        const auto key = AdapterVersion{state.adapter(), state.version()}.hash();
        setAdapter(sidecar, key, fromWire(state.state(), ResidencyState::Unknown));
    }
    // A sidecar that exits while leaving or suspect may cause no further membership change. Prevents the load in its
    // last heartbeat from blocking all other loads.
    if (heartbeat.leaving() || sidecar.isSuspect) {
        markLoadsUnknown(sidecar);
    }
    sidecar.demands.clear();
    for (const auto &demand : heartbeat.demands()) {
        const auto key = AdapterVersion{demand.adapter(), demand.version()}.hash();
        sidecar.demands[key] = demandFromWire(demand, now);
    }
    updateDemandIndex(heartbeat.from().name(), sidecar);
    return hasRestarted && isKnown;
}

bool DemandTable::onMember(const Member &member)
{
    if (member.role != VmRole::Sidecar) {
        return false;
    }
    auto &sidecar = sidecars_[member.name];
    const bool isNew = isLaterStart(member, sidecar.incarnation, sidecar.isGone);
    if (!isNew && member.incarnation != sidecar.incarnation) {
        return false;
    }
    sidecar.supersededUntil = std::max(sidecar.supersededUntil, member.supersededUntil);
    if (isNew) {
        sidecar.supersededUntil = std::max(sidecar.supersededUntil, sidecar.incarnation);
        reset(sidecar, member.incarnation);
    }
    sidecar.isGone = member.state == MemberState::Gone;
    sidecar.isSuspect = member.state != MemberState::Live;
    if (sidecar.isSuspect) {
        markLoadsUnknown(sidecar);
    }
    const bool final = member.state == MemberState::Leaving || member.state == MemberState::Gone;
    if (final) {
        sidecar.acceptsLoads = false;
        sidecar.demands.clear();
    }
    if (member.state == MemberState::Gone) {
        clearAdapters(sidecar);
    }
    updateDemandIndex(member.name, sidecar);
    return isNew;
}

void DemandTable::updateDemandIndex(const std::string &name, const SidecarLoadState &sidecar)
{
    if (sidecar.demands.empty()) {
        sidecarsWithDemand_.erase(name);
    } else {
        sidecarsWithDemand_[name] = &sidecar;
    }
}

void DemandTable::dropDemand(const std::string &sidecar, std::uint64_t key)
{
    const auto position = sidecars_.find(sidecar);
    if (position != sidecars_.end()) {
        position->second.demands.erase(key);
        updateDemandIndex(sidecar, position->second);
    }
}

std::uint32_t DemandTable::copyCount(std::uint64_t key) const
{
    const auto position = copyCounts_.find(key);
    return position == copyCounts_.end() ? 0 : position->second;
}

std::uint32_t DemandTable::demandCount() const
{
    std::uint32_t sum = 0;
    for (const auto &[name, sidecar] : sidecarsWithDemand_) {
        sum += static_cast<std::uint32_t>(sidecar->demands.size());
    }
    return sum;
}

} // namespace anvilscale

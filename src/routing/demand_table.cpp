// Reports of sidecars as the load scheduler needs them.
#include "demand_table.h"

namespace anvilscale {

namespace {

bool isCopy(ResidencyState state)
{
    return state == ResidencyState::Resident || state == ResidencyState::Loading;
}

Demand demandFrom(const wire::LoadDemand &in, TimePoint now)
{
    Demand out;
    out.which = AdapterVersion{in.adapter(), in.version()};
    out.waiting = in.waiting();
    out.callClass = fromWire(in.call_class(), CallClass::Bulk);
    out.oldestWait = Duration(in.oldest_wait_us());
    out.leastBudget = Duration(in.least_budget_us());
    out.rate = in.rate();
    out.evictable = in.evictable_slot();
    out.victimValue = in.victim_value();
    out.reportedAt = now;
    return out;
}

} // namespace

void DemandTable::setAdapter(DemandingSidecar &sidecar, std::uint64_t key, ResidencyState state)
{
    const auto known = sidecar.adapters.find(key);
    const auto before = known == sidecar.adapters.end() ? ResidencyState::Absent : known->second;
    loading_ -= before == ResidencyState::Loading ? 1 : 0;
    loading_ += state == ResidencyState::Loading ? 1 : 0;
    if (isCopy(before) && !isCopy(state)) {
        const auto count = copies_.find(key);
        if (--count->second == 0) {
            copies_.erase(count);
        }
    }
    if (!isCopy(before) && isCopy(state)) {
        ++copies_[key];
    }
    if (state == ResidencyState::Absent) {
        sidecar.adapters.erase(key);
    } else {
        sidecar.adapters[key] = state;
    }
}

void DemandTable::clearAdapters(DemandingSidecar &sidecar)
{
    const auto adapters = sidecar.adapters;
    for (const auto &[key, state] : adapters) {
        setAdapter(sidecar, key, ResidencyState::Absent);
    }
}

/// A sidecar that fell silent in mid-load says no more how that load goes. Counted on, it would hold up all loads of
/// the fleet until the sidecar is given up.
void DemandTable::loseLoads(DemandingSidecar &sidecar)
{
    const auto adapters = sidecar.adapters;
    for (const auto &[key, state] : adapters) {
        if (state == ResidencyState::Loading) {
            setAdapter(sidecar, key, ResidencyState::Unknown);
        }
    }
}

void DemandTable::reset(DemandingSidecar &sidecar, std::uint64_t incarnation)
{
    clearAdapters(sidecar);
    sidecar = DemandingSidecar{};
    sidecar.incarnation = incarnation;
}

bool DemandTable::onHeartbeat(const wire::Heartbeat &heartbeat, TimePoint now)
{
    auto &sidecar = sidecars_[heartbeat.from().name()];
    const auto incarnation = heartbeat.from().incarnation();
    const bool old = incarnation < sidecar.incarnation;
    const bool seen =
        incarnation == sidecar.incarnation && heartbeat.sequence() <= sidecar.sequence && sidecar.sequence != 0;
    if (old || seen) {
        return false;
    }
    const bool restarted = incarnation > sidecar.incarnation;
    const bool known = sidecar.incarnation != 0;
    if (restarted) {
        reset(sidecar, incarnation);
    }
    sidecar.sequence = heartbeat.sequence();
    sidecar.takesLoads = heartbeat.admitting() && !heartbeat.leaving();
    if (heartbeat.full()) {
        clearAdapters(sidecar);
    }
    for (const auto &state : heartbeat.adapters()) {
        const auto key = AdapterVersion{state.adapter(), state.version()}.key64();
        setAdapter(sidecar, key, fromWire(state.state(), ResidencyState::Unknown));
    }
    // No change of the member may follow: a sidecar that ends while it is leaving, or suspect already, would hold up
    // all loads of the fleet by the load that its last heartbeat tells of.
    if (heartbeat.leaving() || sidecar.suspect) {
        loseLoads(sidecar);
    }
    sidecar.demands.clear();
    for (const auto &demand : heartbeat.demands()) {
        const auto key = AdapterVersion{demand.adapter(), demand.version()}.key64();
        sidecar.demands[key] = demandFrom(demand, now);
    }
    noteDemands(heartbeat.from().name(), sidecar);
    return restarted && known;
}

bool DemandTable::onMember(const Member &member)
{
    if (member.role != VmRole::Sidecar) {
        return false;
    }
    auto &sidecar = sidecars_[member.name];
    if (member.incarnation < sidecar.incarnation) {
        return false;
    }
    const bool fresh = member.incarnation > sidecar.incarnation;
    if (fresh) {
        reset(sidecar, member.incarnation);
    }
    sidecar.suspect = member.state != MemberState::Live;
    if (sidecar.suspect) {
        loseLoads(sidecar);
    }
    const bool final = member.state == MemberState::Leaving || member.state == MemberState::Gone;
    if (final) {
        sidecar.takesLoads = false;
        sidecar.demands.clear();
    }
    if (member.state == MemberState::Gone) {
        clearAdapters(sidecar);
    }
    noteDemands(member.name, sidecar);
    return fresh;
}

void DemandTable::noteDemands(const std::string &name, const DemandingSidecar &sidecar)
{
    if (sidecar.demands.empty()) {
        demanding_.erase(name);
    } else {
        demanding_[name] = &sidecar;
    }
}

void DemandTable::dropDemand(const std::string &sidecar, std::uint64_t key)
{
    const auto position = sidecars_.find(sidecar);
    if (position != sidecars_.end()) {
        position->second.demands.erase(key);
        noteDemands(sidecar, position->second);
    }
}

std::uint32_t DemandTable::copies(std::uint64_t key) const
{
    const auto position = copies_.find(key);
    return position == copies_.end() ? 0 : position->second;
}

std::uint32_t DemandTable::demands() const
{
    std::uint32_t sum = 0;
    for (const auto &[name, sidecar] : demanding_) {
        sum += static_cast<std::uint32_t>(sidecar->demands.size());
    }
    return sum;
}

} // namespace anvilscale

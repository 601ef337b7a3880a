// Endpoint records and states, and how long they count as current.
#include "endpoint_table.h"

#include <algorithm>
#include <tuple>

namespace anvilscale {

namespace {

// Sidecars send at least twice a second; three missed messages mean that the sidecar is gone or cut off.
constexpr Duration stateLife = Milliseconds(1800);
// Tolerated delay of a message beyond one and a half intervals.
constexpr Duration lateMessage = Milliseconds(100);
constexpr Duration usualInterval = Milliseconds(500); // of sidecars that do not report theirs
// Time to connect to a new endpoint's sidecar and receive its state.
constexpr Duration firstStateTime = Milliseconds(1500);
// Weight of the newest call in slowness, and how long the value counts without a new one.
constexpr double slownessWeight = 0.3;
constexpr Duration slownessLife = Seconds(3);
constexpr double mostSlowness = 6;
constexpr Duration leastEstimate = Milliseconds(30); // below this the ratio is not meaningful
// Number of recently held adapters tracked until the sidecar reports how many copies its engine keeps.
constexpr std::size_t mostRemembered = 512;
// Weight of the newest call in failureShare.
constexpr double failureWeight = 0.05;
// Avoidance after the first consecutive failure; doubles with each further one.
constexpr Duration firstAvoidance = Milliseconds(500);
constexpr std::uint32_t mostDoublings = 3;

// How long a removal counts for a record without a start time, whose id a later process may reuse.
constexpr Duration departureLife = Seconds(60);

/// Finds an adapter in a sidecar's state, loaded or loading; nullptr if absent.
const wire::DirectAdapter *findAdapter(const wire::DirectState &state, const AdapterName &name, bool loading)
{
    for (const auto &adapter : state.adapters()) {
        if (adapter.loading() == loading && adapter.model() == name.first && adapter.adapter() == name.second) {
            return &adapter;
        }
    }
    return nullptr;
}

/// Compares by process start times, or by record creation if one is unknown.
bool isYounger(const EndpointRecord &a, const EndpointRecord &b)
{
    const bool told = a.born != 0 && b.born != 0;
    return told ? a.born > b.born : std::tie(a.era, a.created) > std::tie(b.era, b.created);
}

} // namespace

bool EndpointEntry::stateFresh(TimePoint now) const
{
    return state && now - stateAt < stateLife;
}

bool EndpointEntry::sidecarSilent(TimePoint heard) const
{
    if (!state) {
        return false; // not connected: its process has terminated, which shows nothing about the engine
    }
    const Duration interval = state->interval_ms() == 0 ? usualInterval : Milliseconds(state->interval_ms());
    return heard - stateAt > interval + interval / 2 + lateMessage;
}

bool EndpointEntry::toldUnreachable(TimePoint now) const
{
    return stateFresh(now) && !state->reachable();
}

bool EndpointEntry::leaves(TimePoint now) const
{
    return record.leaving || (stateFresh(now) && state->leaving() && state->endpoint_id() == record.id);
}

bool EndpointEntry::pauses(TimePoint now) const
{
    return now < pausedUntil;
}

bool EndpointEntry::stateExpected(TimePoint now) const
{
    return !state && now - since < firstStateTime;
}

bool EndpointEntry::loadsFast(const AdapterName &name) const
{
    return heldBefore.count(name) != 0;
}

bool EndpointEntry::endedBefore(std::uint64_t born) const
{
    return record.born != 0 && born > record.born;
}

bool EndpointEntry::isOutdated(const wire::DirectState &told) const
{
    return told.endpoint_id() == record.id && told.born() != 0 && told.born() < record.born;
}

void EndpointEntry::applyState(const wire::DirectState &told, TimePoint now)
{
    state = told;
    stateAt = now;
    if (!told.models().empty()) {
        emptySince.reset();
    } else if (!emptySince) {
        emptySince = now;
    }
    for (const auto &adapter : told.adapters()) {
        heldBefore[{adapter.model(), adapter.adapter()}] = now;
    }
    const std::size_t most = told.copies() != 0 ? told.copies() : mostRemembered;
    while (heldBefore.size() > most) {
        heldBefore.erase(std::min_element(heldBefore.begin(), heldBefore.end(),
                                          [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
}

bool EndpointEntry::applyHeartbeat(const wire::DirectHeartbeat &heartbeat, TimePoint now)
{
    if (!state || state->sequence() != heartbeat.state_sequence()) {
        return false;
    }
    state->set_unread_tokens(heartbeat.unread_tokens());
    state->set_waiting_tokens(heartbeat.waiting_tokens());
    state->set_room(heartbeat.room());
    stateAt = now;
    return true;
}

void EndpointEntry::forgetSidecar()
{
    if (state && state->endpoint_id() == record.id) {
        record.models.assign(state->models().begin(), state->models().end());
        record.adapters.clear();
        for (const auto &adapter : state->adapters()) {
            if (!adapter.loading()) {
                record.adapters.push_back({adapter.model(), adapter.adapter(), adapter.version()});
            }
        }
    }
    state.reset();
}

bool EndpointEntry::hasModel(const std::string &model, TimePoint now) const
{
    if (stateFresh(now)) {
        return std::find(state->models().begin(), state->models().end(), model) != state->models().end();
    }
    return std::find(record.models.begin(), record.models.end(), model) != record.models.end();
}

bool EndpointEntry::awaits(const AdapterName &name, TimePoint now) const
{
    if (waitingOn.count(name) != 0) {
        return true;
    }
    return stateFresh(now)
           && std::any_of(state->awaited().begin(), state->awaited().end(), [&](const wire::DirectAdapter &adapter) {
                  return adapter.model() == name.first && adapter.adapter() == name.second;
              });
}

bool EndpointEntry::heldByRuns(const AdapterName &name, TimePoint now) const
{
    const auto *adapter = stateFresh(now) ? findAdapter(*state, name, false) : nullptr;
    return adapter != nullptr && adapter->in_use();
}

std::uint32_t EndpointEntry::recentCalls(const AdapterName &name, TimePoint now) const
{
    const auto *adapter = stateFresh(now) ? findAdapter(*state, name, false) : nullptr;
    return adapter == nullptr ? 0 : adapter->recent_calls();
}

std::uint32_t EndpointEntry::heldVersion(const AdapterName &name, TimePoint now) const
{
    if (stateFresh(now)) {
        const auto *adapter = findAdapter(*state, name, false);
        return adapter == nullptr ? 0 : adapter->version();
    }
    for (const auto &adapter : record.adapters) {
        if (adapter.model == name.first && adapter.adapter == name.second) {
            return adapter.version;
        }
    }
    return 0;
}

Presence EndpointEntry::presence(const AdapterName &name, std::uint32_t leastVersion, TimePoint now) const
{
    if (!hasModel(name.first, now)) {
        return Presence::Absent;
    }
    if (name.second.empty()) {
        return Presence::Resident;
    }
    const auto held = heldVersion(name, now);
    if (held != 0 && held >= leastVersion) {
        return Presence::Resident;
    }
    const bool loading = stateFresh(now) && findAdapter(*state, name, true) != nullptr;
    return loading ? Presence::Loading : Presence::Absent;
}

bool EndpointEntry::silentFor(Duration span, TimePoint now) const
{
    return unanswered != 0 && now - oldestSilence > span;
}

double EndpointEntry::slownessNow(TimePoint now) const
{
    return now - slownessAt < slownessLife ? std::max(1.0, slowness) : 1.0;
}

void EndpointEntry::countFirstByte(Duration took, Duration estimated, TimePoint now)
{
    const double ratio =
        std::chrono::duration<double>(took) / std::chrono::duration<double>(std::max(estimated, leastEstimate));
    const double before = slownessNow(now);
    slowness = before + slownessWeight * (std::min(ratio, mostSlowness) - before);
    slownessAt = now;
}

void EndpointEntry::countByte(TimePoint now)
{
    oldestSilence = now;
}

void EndpointEntry::countEnd(bool failed, TimePoint now)
{
    failureShare += failureWeight * ((failed ? 1.0 : 0.0) - failureShare);
    if (!failed) {
        failuresInRow = 0;
        return;
    }
    avoidUntil = now + firstAvoidance * (1U << std::min(failuresInRow, mostDoublings));
    ++failuresInRow;
}

RecordEffect EndpointTable::put(const EndpointRecord &record, TimePoint now)
{
    const auto known = byId_.find(record.id);
    if (known == byId_.end()) {
        auto &entry = byId_[record.id];
        entry.life = ++lastLife_;
        entry.since = now;
        entry.record = record;
        entry.record.leaving = record.leaving || hasDeparted(record, now);
        entry.saidLeaving = entry.record.leaving;
        markSuperseded();
        return RecordEffect::Changed;
    }
    auto &entry = known->second;
    if (record.born != 0 && record.born < entry.record.born) {
        return RecordEffect::Stale;
    }
    const auto born = std::max(record.born, entry.record.born); // a record may lack it
    // Leaving is final. A delayed write from before must not attract calls to the endpoint again; only a new process,
    // which starts with resetProcess, is ready once more.
    const bool leaving = entry.record.leaving || record.leaving;
    const bool changed = entry.record.leaving != leaving;
    const bool moved = entry.record.address != record.address || entry.record.service != record.service
                       || entry.record.era != record.era || entry.record.created != record.created
                       || entry.record.born != born;
    entry.record = record;
    entry.record.born = born;
    entry.record.leaving = leaving;
    entry.saidLeaving = entry.saidLeaving || record.leaving;
    if (moved) {
        markSuperseded();
    }
    return changed ? RecordEffect::Changed : RecordEffect::None;
}

void EndpointTable::startAnew(EndpointEntry &entry, std::uint64_t born, TimePoint now)
{
    EndpointEntry fresh;
    fresh.record = entry.record;
    fresh.record.born = born;
    fresh.record.leaving = false;
    fresh.record.models.clear();
    fresh.record.adapters.clear();
    fresh.life = ++lastLife_;
    fresh.since = now;
    fresh.superseded = entry.superseded;
    entry = std::move(fresh);
}

void EndpointTable::nameServices(std::set<std::string> services)
{
    services_ = std::move(services);
    markSuperseded();
}

bool EndpointTable::namesEndpoint(const EndpointEntry &entry) const
{
    return !services_ || services_->count(entry.record.service) != 0;
}

// After a crash of many endpoints the store holds records of both incarnations for some seconds. Calls sent to the
// older ones would all be refused and use up the retry budget. Records of services that are not configured may have
// any address and hide no endpoint.
void EndpointTable::markSuperseded()
{
    std::map<std::string, const EndpointEntry *> youngest; // by address
    for (const auto &[id, entry] : byId_) {
        auto &best = youngest[entry.record.address];
        if (namesEndpoint(entry) && (best == nullptr || isYounger(entry.record, best->record))) {
            best = &entry;
        }
    }
    for (auto &[id, entry] : byId_) {
        const auto *best = youngest[entry.record.address];
        entry.superseded = best != nullptr && best != &entry;
    }
}

EndpointEntry *EndpointTable::find(const std::string &id)
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : &found->second;
}

EndpointEntry *EndpointTable::findByAddress(const std::string &address)
{
    EndpointEntry *result = nullptr;
    for (auto &[id, entry] : byId_) {
        if (entry.record.address == address && !entry.superseded) {
            result = &entry;
        }
    }
    return result;
}

void EndpointTable::noteHeard(TimePoint now)
{
    lastHeard_ = now;
}

TimePoint EndpointTable::lastHeard() const
{
    return lastHeard_;
}

// A store that has lost its last changes may return an older record for a moment.
bool EndpointTable::hasDeparted(const EndpointRecord &record, TimePoint now) const
{
    const auto found = departed_.find(record.id);
    return found != departed_.end() && now - found->second.at < departureLife && record.born <= found->second.born;
}

void EndpointTable::remove(const std::string &id, TimePoint now)
{
    const auto found = byId_.find(id);
    if (found == byId_.end()) {
        return;
    }
    if (found->second.saidLeaving) {
        std::erase_if(departed_, [now](const auto &item) { return now - item.second.at >= departureLife; });
        departed_[id] = {found->second.record.born, now};
    }
    byId_.erase(found);
    markSuperseded();
}

std::map<std::string, EndpointEntry> &EndpointTable::all()
{
    return byId_;
}

const std::map<std::string, EndpointEntry> &EndpointTable::all() const
{
    return byId_;
}

} // namespace anvilscale

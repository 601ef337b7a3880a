// Endpoint records and states, and how long they count as current.
#include "endpoint_table.h"

#include "state_delta.h"

#include <algorithm>
#include <tuple>

namespace anvilscale {

namespace {

// Sidecars send at least twice a second; three missed messages mean that the sidecar is gone or cut off.
constexpr Duration stateLifetime = Milliseconds(1800);
// Tolerated delay of a message beyond one and a half intervals.
constexpr Duration messageSlack = Milliseconds(100);
// Longer than most pauses of a VM. After it the engine gets calls again, as its sidecar may not return.
constexpr Duration vanishedTime = Seconds(15);
constexpr Duration defaultMessageInterval = Milliseconds(500); // of sidecars that do not report theirs
// Time to connect to a new endpoint's sidecar and receive its state.
constexpr Duration firstStateTimeout = Milliseconds(1500);
// The same for an engine that is visited: the process is running in all probability, and calls wait for it.
constexpr Duration visitStateTimeout = Milliseconds(400);
// Weight of the newest call in slowness, and how long the value counts without a new one: bursts last some seconds.
constexpr double slownessWeight = 0.3;
constexpr Duration slownessLifetime = Seconds(3);
constexpr double maxSlowness = 6;
constexpr Duration minEstimate = Milliseconds(30); // below this the ratio is not meaningful
// Number of recently held adapters tracked until the sidecar reports how many copies its engine keeps.
constexpr std::size_t maxRecentlyHeld = 512;
// Weight of the newest call in failureShare: about the last twenty calls count.
constexpr double failureWeight = 0.05;
// Avoidance after the first consecutive failure; doubles with each further one.
constexpr Duration initialAvoidance = Milliseconds(500);
constexpr std::uint32_t maxDoublings = 3;

// Time for which a reappearing record of an endpoint removed while leaving still counts as leaving. Limited because a
// later process may reuse the id without reporting a start time.
constexpr Duration removalLifetime = Seconds(60);
// Late writes are of the last processes only.
constexpr std::size_t maxReplacedStarts = 4;

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
    const bool reported = a.startTimeMs != 0 && b.startTimeMs != 0;
    return reported ? a.startTimeMs > b.startTimeMs
                    : std::tie(a.era, a.createRevision) > std::tie(b.era, b.createRevision);
}

} // namespace

bool EndpointEntry::hasFreshState(TimePoint now) const
{
    return state && now - stateReceivedAt < stateLifetime;
}

bool EndpointEntry::isSidecarSilent(TimePoint lastReceivedAt) const
{
    if (!state) {
        // Not connected. A sidecar that was heard until then has terminated, which shows nothing about the engine.
        return lastReceivedAt < vanishedUntil;
    }
    const Duration interval = state->interval_ms() == 0 ? defaultMessageInterval : Milliseconds(state->interval_ms());
    return lastReceivedAt - stateReceivedAt > interval + interval / 2 + messageSlack;
}

bool EndpointEntry::isSidecarSilentFor(Duration span, TimePoint lastReceivedAt) const
{
    return isSidecarSilent(lastReceivedAt) && (!state || lastReceivedAt - stateReceivedAt > span);
}

bool EndpointEntry::isReportedUnreachable(TimePoint now) const
{
    return hasFreshState(now) && !state->reachable();
}

bool EndpointEntry::isLeaving(TimePoint now) const
{
    return record.leaving || (hasFreshState(now) && state->leaving() && state->endpoint_id() == record.id);
}

bool EndpointEntry::isPaused(TimePoint now) const
{
    return now < pauseEnd();
}

TimePoint EndpointEntry::pauseEnd() const
{
    return std::max(pausedUntil, deniedUntil);
}

bool EndpointEntry::isLimited() const
{
    return requestsPerSecond.has_value();
}

bool EndpointEntry::isStateExpected(TimePoint now) const
{
    const auto timeout = listening == Listening::Visited ? visitStateTimeout : firstStateTimeout;
    return !state && now - connectingSince < timeout;
}

bool EndpointEntry::acceptsPlacement(TimePoint now) const
{
    return listening == Listening::Selected || (listening == Listening::Visited && (state || isStateExpected(now)));
}

bool EndpointEntry::hasLocalCopy(const AdapterName &name) const
{
    return recentlyHeld.count(name) != 0;
}

bool EndpointEntry::isVersionKnown() const
{
    return recordedStartTimeMs == record.startTimeMs;
}

bool EndpointEntry::isReplacedBy(const EndpointRecord &later) const
{
    const bool isReplaced =
        std::find(replacedStartsMs.begin(), replacedStartsMs.end(), later.startTimeMs) != replacedStartsMs.end();
    return record.startTimeMs != 0 && later.startTimeMs > record.startTimeMs && !isReplaced;
}

bool EndpointEntry::isReplacedBy(const wire::DirectState &reported) const
{
    if (!isOfOtherProcess(reported)) {
        return false;
    }
    if (reported.born() > record.startTimeMs) {
        return true;
    }
    const bool hasSidecarMovedOn = reportedProcess && reportedProcess->startTimeMs == record.startTimeMs;
    return hasSidecarMovedOn || (undecidedRecord && undecidedRecord->startTimeMs == reported.born());
}

bool EndpointEntry::isOfOtherProcess(const wire::DirectState &reported) const
{
    return reported.endpoint_id() == record.id && reported.born() != 0 && record.startTimeMs != 0
           && reported.born() != record.startTimeMs;
}

bool EndpointEntry::recordReportedProcess(const wire::DirectState &reported)
{
    if (reported.endpoint_id() != record.id || reported.born() == 0) {
        return true;
    }
    const bool isSentBefore = reportedProcess && reported.born() != reportedProcess->startTimeMs
                              && reported.sequence() != 0 && reported.sequence() <= reportedProcess->sequence;
    if (!isSentBefore) {
        reportedProcess = {reported.born(), reported.sequence()};
    }
    return !isSentBefore;
}

void EndpointEntry::applyState(const wire::DirectState &reported, TimePoint now)
{
    state = reported;
    stateReceivedAt = now;
    hasMissedState = false;
    vanishedUntil = TimePoint{};
    if (reported.read_ns_per_token() != 0) {
        speed = {reported.read_ns_per_token(), reported.read_base_us()};
    }
    if (!reported.models().empty()) {
        emptySince.reset();
    } else if (!emptySince) {
        emptySince = now;
    }
    for (const auto &adapter : reported.adapters()) {
        recentlyHeld[{adapter.model(), adapter.adapter()}] = now;
    }
    const std::size_t most = reported.copies() != 0 ? reported.copies() : maxRecentlyHeld;
    while (recentlyHeld.size() > most) {
        recentlyHeld.erase(std::min_element(recentlyHeld.begin(), recentlyHeld.end(),
                                            [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
}

bool EndpointEntry::applyHeartbeat(const wire::DirectHeartbeat &heartbeat, TimePoint now)
{
    if (!state || state->sequence() != heartbeat.state_sequence()) {
        hasMissedState = true;
        return false;
    }
    copyLoad(heartbeat, *state);
    stateReceivedAt = now;
    return true;
}

std::optional<wire::DirectState> EndpointEntry::stateAfter(const wire::DirectDelta &delta)
{
    auto result = state ? applyDelta(*state, delta) : std::nullopt;
    hasMissedState = hasMissedState || !result;
    return result;
}

std::uint64_t EndpointEntry::reportedSequence() const
{
    return state && !hasMissedState ? state->sequence() : 0;
}

void EndpointEntry::onSidecarLost(TimePoint lastReceivedAt)
{
    if (state && isSidecarSilent(lastReceivedAt)) {
        vanishedUntil = lastReceivedAt + vanishedTime;
    }
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
    reportedProcess.reset();
    hasMissedState = false;
}

bool EndpointEntry::hasModel(const std::string &model, TimePoint now) const
{
    if (hasFreshState(now)) {
        return std::find(state->models().begin(), state->models().end(), model) != state->models().end();
    }
    return std::find(record.models.begin(), record.models.end(), model) != record.models.end();
}

bool EndpointEntry::isAwaiting(const AdapterName &name, TimePoint now) const
{
    if (waitingByAdapter.count(name) != 0) {
        return true;
    }
    return hasFreshState(now)
           && std::any_of(state->awaited().begin(), state->awaited().end(), [&](const wire::DirectAdapter &adapter) {
                  return adapter.model() == name.first && adapter.adapter() == name.second;
              });
}

bool EndpointEntry::isReplacementBlocked(const AdapterName &name, TimePoint now) const
{
    const auto *adapter = hasFreshState(now) ? findAdapter(*state, name, false) : nullptr;
    return adapter != nullptr && adapter->in_use();
}

std::uint32_t EndpointEntry::recentCalls(const AdapterName &name, TimePoint now) const
{
    const auto *adapter = hasFreshState(now) ? findAdapter(*state, name, false) : nullptr;
    return adapter == nullptr ? 0 : adapter->recent_calls();
}

std::uint32_t EndpointEntry::heldVersion(const AdapterName &name, TimePoint now) const
{
    if (hasFreshState(now)) {
        const auto *adapter = findAdapter(*state, name, false);
        return adapter == nullptr ? 0 : adapter->version();
    }
    if (listening == Listening::Visited) {
        return 0; // its record is old: entries are not told of changes of adapters in the store
    }
    for (const auto &adapter : record.adapters) {
        if (adapter.model == name.first && adapter.adapter == name.second) {
            return adapter.version;
        }
    }
    return 0;
}

Presence EndpointEntry::presence(const AdapterName &name, std::uint32_t minVersion, TimePoint now) const
{
    if (!hasModel(name.first, now)) {
        return Presence::Absent;
    }
    if (name.second.empty()) {
        return Presence::Resident;
    }
    const auto held = heldVersion(name, now);
    if (held != 0 && held >= minVersion) {
        return Presence::Resident;
    }
    const bool loading = hasFreshState(now) && findAdapter(*state, name, true) != nullptr;
    return loading ? Presence::Loading : Presence::Absent;
}

bool EndpointEntry::isSilentFor(Duration span, TimePoint now) const
{
    return awaitingFirstByte != 0 && now - silentSince > span;
}

double EndpointEntry::currentSlowness(TimePoint now) const
{
    return now - slownessUpdatedAt < slownessLifetime ? std::max(1.0, slowness) : 1.0;
}

void EndpointEntry::recordFirstByte(Duration elapsed, Duration estimated, TimePoint now)
{
    const double ratio =
        std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(std::max(estimated, minEstimate));
    const double before = currentSlowness(now);
    slowness = before + slownessWeight * (std::min(ratio, maxSlowness) - before);
    slownessUpdatedAt = now;
}

void EndpointEntry::recordByte(TimePoint now)
{
    silentSince = now;
}

void EndpointEntry::recordEnd(bool failed, TimePoint now)
{
    failureShare += failureWeight * ((failed ? 1.0 : 0.0) - failureShare);
    if (!failed) {
        consecutiveFailures = 0;
        return;
    }
    avoidedUntil = now + initialAvoidance * (1U << std::min(consecutiveFailures, maxDoublings));
    ++consecutiveFailures;
}

RecordEffect EndpointTable::applyRecord(const EndpointRecord &record, TimePoint now)
{
    const auto known = byId_.find(record.id);
    if (known == byId_.end()) {
        auto &entry = byId_[record.id];
        entry.generation = ++lastGeneration_;
        entry.connectingSince = now;
        entry.record = record;
        entry.recordedStartTimeMs = record.startTimeMs;
        entry.record.leaving = record.leaving || wasRemovedLeaving(record, now);
        entry.hasAnnouncedLeaving = entry.record.leaving;
        inheritSpeed(entry);
        addAddress(record.address, record.id);
        ++membershipRevision_;
        return RecordEffect::Changed;
    }
    auto &entry = known->second;
    if (record.startTimeMs != 0 && record.startTimeMs < entry.record.startTimeMs) {
        entry.undecidedRecord = record;
        return RecordEffect::Stale;
    }
    if (entry.record.startTimeMs != 0 && record.startTimeMs > entry.record.startTimeMs) {
        return RecordEffect::Stale; // of a process that one with an earlier start time has replaced
    }
    entry.undecidedRecord.reset();
    const auto startTimeMs = std::max(record.startTimeMs, entry.record.startTimeMs); // a record may lack it
    // Leaving is final. A delayed write from before must not attract calls to the endpoint again; only a new process,
    // which starts with resetProcess, is ready once more.
    const bool leaving = entry.record.leaving || record.leaving;
    const bool changed = entry.record.leaving != leaving;
    const bool moved = entry.record.address != record.address || entry.record.service != record.service
                       || entry.record.era != record.era || entry.record.createRevision != record.createRevision
                       || entry.record.startTimeMs != startTimeMs;
    const bool hasNewAddress = entry.record.address != record.address;
    if (moved) {
        removeAddress(entry.record.address, record.id);
    }
    entry.record = record;
    entry.record.startTimeMs = startTimeMs;
    entry.recordedStartTimeMs = record.startTimeMs != 0 ? record.startTimeMs : entry.recordedStartTimeMs;
    entry.record.leaving = leaving;
    entry.hasAnnouncedLeaving = entry.hasAnnouncedLeaving || record.leaving;
    if (moved) {
        if (hasNewAddress) {
            inheritSpeed(entry);
        }
        addAddress(record.address, record.id);
    }
    membershipRevision_ += moved || changed ? 1 : 0;
    return changed ? RecordEffect::Changed : RecordEffect::None;
}

void EndpointTable::resetProcess(EndpointEntry &entry, std::uint64_t startTimeMs, TimePoint now)
{
    EndpointEntry newEntry;
    newEntry.record = entry.record;
    newEntry.record.startTimeMs = startTimeMs;
    newEntry.record.leaving = false;
    newEntry.record.models.clear();
    newEntry.record.adapters.clear();
    newEntry.recordedStartTimeMs = entry.recordedStartTimeMs;
    newEntry.generation = ++lastGeneration_;
    newEntry.connectingSince = now;
    newEntry.isSuperseded = entry.isSuperseded;
    newEntry.listening = entry.listening;
    newEntry.visitedUntil = entry.visitedUntil;
    newEntry.speed = entry.speed;
    newEntry.reportedProcess = entry.reportedProcess;
    newEntry.replacedStartsMs = entry.replacedStartsMs;
    if (startTimeMs < entry.record.startTimeMs) {
        newEntry.replacedStartsMs.push_back(entry.record.startTimeMs);
    }
    if (newEntry.replacedStartsMs.size() > maxReplacedStarts) {
        newEntry.replacedStartsMs.pop_front();
    }
    entry = std::move(newEntry);
    ++membershipRevision_;
}

void EndpointTable::setLeaving(EndpointEntry &entry)
{
    entry.record.leaving = true;
    ++membershipRevision_;
}

void EndpointTable::setServices(std::set<std::string> services)
{
    if (services_ == services) {
        return;
    }
    services_ = std::move(services);
    ++membershipRevision_;
    for (const auto &[address, ids] : idsByAddress_) {
        markSuperseded(address);
    }
}

bool EndpointTable::hasConfiguredService(const EndpointEntry &entry) const
{
    return !services_ || services_->count(entry.record.service) != 0;
}

// After a crash of many endpoints the store holds records of both incarnations for some seconds. Calls sent to the
// older ones would all be refused and use up the retry budget. Records of services that are not configured may have
// any address and hide no endpoint.
void EndpointTable::markSuperseded(const std::string &address)
{
    const auto found = idsByAddress_.find(address);
    if (found == idsByAddress_.end()) {
        return;
    }
    const EndpointEntry *youngest = nullptr;
    for (const auto &id : found->second) {
        const auto &entry = byId_.at(id);
        ++examinedRecords_;
        if (hasConfiguredService(entry) && (youngest == nullptr || isYounger(entry.record, youngest->record))) {
            youngest = &entry;
        }
    }
    for (const auto &id : found->second) {
        auto &entry = byId_.at(id);
        entry.isSuperseded = youngest != nullptr && youngest != &entry;
    }
}

void EndpointTable::addAddress(const std::string &address, const std::string &id)
{
    idsByAddress_[address].insert(id);
    markSuperseded(address);
}

void EndpointTable::removeAddress(const std::string &address, const std::string &id)
{
    const auto found = idsByAddress_.find(address);
    found->second.erase(id);
    if (found->second.empty()) {
        idsByAddress_.erase(found);
        return;
    }
    markSuperseded(address);
}

EndpointEntry *EndpointTable::find(const std::string &id)
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : &found->second;
}

EndpointEntry *EndpointTable::findByAddress(const std::string &address)
{
    const auto found = idsByAddress_.find(address);
    if (found == idsByAddress_.end()) {
        return nullptr;
    }
    EndpointEntry *result = nullptr;
    for (const auto &id : found->second) {
        auto &entry = byId_.at(id);
        result = entry.isSuperseded ? result : &entry;
    }
    return result;
}

void EndpointTable::recordMessage(TimePoint now)
{
    lastReceivedAt_ = now;
}

TimePoint EndpointTable::lastReceivedAt() const
{
    return lastReceivedAt_;
}

// A store that has lost its last changes may return an older record for a moment.
bool EndpointTable::wasRemovedLeaving(const EndpointRecord &record, TimePoint now) const
{
    const auto found = removedLeavers_.find(record.id);
    return found != removedLeavers_.end() && now - found->second.removedAt < removalLifetime
           && record.startTimeMs <= found->second.startTimeMs;
}

void EndpointTable::remove(const std::string &id, TimePoint now)
{
    const auto found = byId_.find(id);
    if (found == byId_.end()) {
        return;
    }
    if (found->second.hasAnnouncedLeaving) {
        std::erase_if(removedLeavers_,
                      [now](const auto &item) { return now - item.second.removedAt >= removalLifetime; });
        removedLeavers_[id] = {found->second.record.startTimeMs, now};
    }
    keepSpeed(found->second);
    const auto address = found->second.record.address;
    byId_.erase(found);
    removeAddress(address, id);
    ++membershipRevision_;
}

std::uint64_t EndpointTable::membershipRevision() const
{
    return membershipRevision_;
}

std::uint64_t EndpointTable::examinedRecords() const
{
    return examinedRecords_;
}

std::map<std::string, EndpointEntry> &EndpointTable::entries()
{
    return byId_;
}

const std::map<std::string, EndpointEntry> &EndpointTable::entries() const
{
    return byId_;
}

} // namespace anvilscale

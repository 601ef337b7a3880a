// Updates of endpoints from the store, sidecars and answers, and their effect on waiting calls.
#include "direct_calls_impl.h"

#include <algorithm>

namespace anvilscale {

bool DirectCalls::applyEndpoint(const EndpointRecord &record, TimePoint now)
{
    auto *known = impl_->endpoints.find(record.id);
    const bool restarted = known != nullptr && known->isReplacedBy(record);
    if (restarted) {
        impl_->onRestarted(*known, record.startTimeMs, now);
    }
    const auto effect = impl_->applyRecord(record, now);
    return restarted || effect == RecordEffect::Changed;
}

RecordEffect DirectCalls::Impl::applyRecord(const EndpointRecord &record, TimePoint now)
{
    auto *known = endpoints.find(record.id);
    const bool hasNewVersion = known != nullptr && known->record.softwareVersion != record.softwareVersion;
    if (hasNewVersion) {
        versionHistory.onVersionEnded(known->record, now);
    }
    if (known != nullptr && known->undecidedRecord) {
        versionHistory.onVersionEnded(*known->undecidedRecord, now);
    }
    const auto effect = endpoints.applyRecord(record, now);
    if (effect != RecordEffect::Stale && (record.leaving || hasNewVersion)) {
        rerouteWaiting(*endpoints.find(record.id), now);
    }
    return effect;
}

// A new process runs under the endpoint's id. Counters of calls sent to the old one are reset with it, and calls
// waiting for an adapter there are placed again, since the new process holds none.
void DirectCalls::Impl::onRestarted(EndpointEntry &entry, std::uint64_t startTimeMs, TimePoint now)
{
    if (!entry.isVersionKnown()) {
        versionHistory.onUnknownVersionEnded(entry.record.service, now);
    }
    auto waiting = std::exchange(entry.waitingCalls, {});
    waiting.merge(entry.awaitingPermit);
    waiting.merge(entry.awaitingTurn);
    endpoints.resetProcess(entry, startTimeMs, now);
    actions.emplace_back(DropConnections{entry.record.address});
    rerouteCalls(waiting, now);
}

// The record of the new process may have arrived before and been taken for one of an earlier process.
void DirectCalls::Impl::onReportedRestart(EndpointEntry &entry, std::uint64_t startTimeMs, TimePoint now)
{
    const auto record = std::exchange(entry.undecidedRecord, std::nullopt);
    onRestarted(entry, startTimeMs, now);
    if (record && record->startTimeMs == startTimeMs) {
        applyRecord(*record, now);
    }
}

void DirectCalls::removeEndpoint(const std::string &id, TimePoint now)
{
    if (auto *entry = impl_->endpoints.find(id)) {
        impl_->dropEndpoint(*entry, now);
    }
}

// Places waiting calls again at once, and not only at their next check, up to a second later.
void DirectCalls::Impl::dropEndpoint(EndpointEntry &entry, TimePoint now)
{
    endpoints.setLeaving(entry);
    rerouteWaiting(entry, now);
    if (!entry.isVersionKnown()) {
        versionHistory.onUnknownVersionEnded(entry.record.service, now);
    }
    versionHistory.onVersionEnded(entry.record, now);
    if (entry.undecidedRecord) {
        versionHistory.onVersionEnded(*entry.undecidedRecord, now);
    }
    endpoints.remove(std::string(entry.record.id), now);
}

// An endpoint that is leaving or has crashed gets no calls that already waited there.
void DirectCalls::Impl::rerouteWaiting(EndpointEntry &entry, TimePoint now)
{
    entry.waitingTokens = 0;
    entry.turnTokens = 0;
    entry.waitingByAdapter.clear();
    auto waiting = std::exchange(entry.waitingCalls, {});
    waiting.merge(entry.awaitingPermit);
    waiting.merge(entry.awaitingTurn);
    rerouteCalls(waiting, now);
}

void DirectCalls::Impl::rerouteCalls(const std::set<CallHandle> &waiting, TimePoint now)
{
    for (const auto handle : waiting) {
        auto &call = calls.at(handle);
        if (call.step == CallStep::Permit) {
            stopAwaitingPermit(handle, call, now);
        } else if (call.step == CallStep::Turn) {
            stopAwaitingTurn(handle, call, now);
        } else {
            call.adapterWait += now - call.stepStartedAt;
        }
        routeCall(handle, call, now);
    }
}

void DirectCalls::applyVersion(const PublishedVersion &version, TimePoint /*now*/)
{
    auto &known = impl_->publishedVersions[{version.model, version.adapter}];
    known = std::max(known, version.version);
    for (auto &[id, entry] : impl_->endpoints.entries()) {
        entry.hasDemandChanged = true;
    }
}

bool DirectCalls::onEndpointNotice(const std::string &endpointId, const EndpointNotice &notice, TimePoint now)
{
    auto *entry = impl_->endpoints.find(endpointId);
    if (entry == nullptr) {
        return false;
    }
    const bool isLeaving = notice.leaving && !entry->record.leaving;
    const bool isPaused = notice.pause != Duration(0) && !entry->isPaused(now);
    entry->hasAnnouncedLeaving = entry->hasAnnouncedLeaving || notice.leaving;
    entry->pausedUntil = std::max(entry->pausedUntil, now + notice.pause);
    const bool tellsLimit = notice.requestsPerSecond || notice.endsLimit;
    const bool changesLimit = tellsLimit && impl_->setLimit(*entry, notice.requestsPerSecond, now);
    if (changesLimit) {
        impl_->reportLimit(*entry);
    }
    if (isLeaving) {
        impl_->endpoints.setLeaving(*entry);
    }
    if (isLeaving || isPaused) {
        impl_->rerouteWaiting(*entry, now);
    }
    return isLeaving || isPaused || changesLimit;
}

void DirectCalls::applyState(const std::string &address, const wire::DirectState &state, TimePoint now)
{
    impl_->stats.stateMessages.add(StateMessage::State);
    impl_->applyState(address, state, now);
}

void DirectCalls::applyDelta(const std::string &address, const wire::DirectDelta &delta, TimePoint now)
{
    auto *entry = impl_->endpoints.findByAddress(address);
    const auto state = entry != nullptr ? entry->stateAfter(delta) : std::nullopt;
    if (state) {
        impl_->stats.stateMessages.add(StateMessage::Delta);
        impl_->applyState(address, *state, now);
        return;
    }
    impl_->endpoints.recordMessage(now);
    impl_->stats.stateMessages.add(StateMessage::IgnoredDelta);
}

void DirectCalls::Impl::applyState(const std::string &address, const wire::DirectState &state, TimePoint now)
{
    auto *entry = endpoints.findByAddress(address);
    endpoints.recordMessage(now);
    if (entry == nullptr) {
        return;
    }
    // A sidecar may see a restart before the store does.
    const bool isReplaced = entry->isReplacedBy(state);
    if (!entry->recordReportedProcess(state)) {
        return;
    }
    if (isReplaced) {
        onReportedRestart(*entry, state.born(), now);
    } else if (entry->isOfOtherProcess(state)) {
        return;
    }
    const bool isFirst = !entry->state;
    entry->applyState(state, now);
    entry->hasDemandChanged = true;
    if (isFirst) {
        reportRunningPrompts(*entry, now);
    }
    if (state.load_ms() != 0) {
        estimates[entry->record.service].loadMs = state.load_ms();
    }
    if (!state.reachable() || entry->isLeaving(now)) {
        rerouteWaiting(*entry, now);
        return;
    }
    sendReadyCalls(entry->record.id, now);
}

void DirectCalls::applyHeartbeat(const std::string &address, const wire::DirectHeartbeat &heartbeat, TimePoint now)
{
    impl_->endpoints.recordMessage(now);
    auto *entry = impl_->endpoints.findByAddress(address);
    const bool isApplied = entry != nullptr && entry->applyHeartbeat(heartbeat, now);
    impl_->stats.stateMessages.add(isApplied ? StateMessage::Heartbeat : StateMessage::IgnoredHeartbeat);
}

void DirectCalls::onStoreAnswered(TimePoint now)
{
    impl_->storeAnsweredAt = now;
}

void DirectCalls::onSidecarLost(const std::string &address, TimePoint now)
{
    impl_->workspaceCredit->onPoolLost(address);
    impl_->endpointCredit->onPoolLost(address);
    impl_->sentDemands.erase(address);
    impl_->pendingReadings.erase(address);
    if (auto *entry = impl_->endpoints.findByAddress(address)) {
        const bool wasConnected = entry->state.has_value();
        entry->onSidecarLost(impl_->endpoints.lastReceivedAt());
        if (wasConnected) {
            impl_->rerouteWaiting(*entry, now); // nobody orders the loads that these calls wait for
        }
    }
    impl_->onSlotSidecarLost(address, now);
    impl_->origins.onSidecarLost(address, now);
    impl_->resolveOrigins(now);
}

} // namespace anvilscale

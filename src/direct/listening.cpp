// Connections of one entry to the sidecars of engines.
#include "direct_calls_impl.h"
#include "listened_engines.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Between checks whether visits and the calls at engines that were deselected have ended.
constexpr Duration releaseInterval = Seconds(1);
// A visit lasts so long after its last call: popular adapters keep it up, for rare ones a new connection is cheap.
constexpr Duration visitTime = Seconds(10);

/// What an entry does with an engine that is not selected. Its adapters could be unloaded under running calls if the
/// sidecar no longer heard of them.
Listening listeningOfOthers(const EndpointEntry &entry, TimePoint now)
{
    if (entry.listening == Listening::Apart) {
        return Listening::Apart;
    }
    if (now < entry.visitedUntil && !entry.record.leaving) {
        return Listening::Visited;
    }
    const bool isInUse =
        entry.inFlight != 0 || !entry.waitingCalls.empty() || !entry.awaitingTurn.empty() || entry.record.leaving;
    return isInUse ? Listening::Finishing : Listening::Apart;
}

} // namespace

const EngineLimits *DirectCalls::Impl::findEngine(const std::string &service) const
{
    const auto *found = config ? config->service(service) : nullptr;
    return found != nullptr && found->engine ? &*found->engine : nullptr;
}

void DirectCalls::Impl::updateListening(TimePoint now)
{
    const auto configVersion = config ? config->version : 0;
    const bool isCurrent = selectedRevision == endpoints.membershipRevision() && selectedConfig == configVersion;
    if (isCurrent && now < nextReleaseAt) {
        return;
    }
    if (!isCurrent) {
        selectedRevision = endpoints.membershipRevision();
        selectedConfig = configVersion;
        selectEngines();
    }
    applySelection(now);
}

void DirectCalls::Impl::selectEngines()
{
    std::map<std::string, std::vector<EngineSite>> engines; // by service
    for (const auto &[id, entry] : endpoints.entries()) {
        if (findEngine(entry.record.service) != nullptr && !entry.record.leaving && !entry.isSuperseded) {
            engines[entry.record.service].push_back({entry.record.address, entry.record.dataCentre});
        }
    }
    listensToAll = true;
    selectedAddresses.clear();
    for (const auto &[service, sites] : engines) {
        listensToAll = listensToAll && sites.size() <= init.listening.engines;
        selectedAddresses.merge(selectListenedEngines(sites, {init.entryName, init.dataCentre}, init.listening));
    }
}

void DirectCalls::Impl::applySelection(TimePoint now)
{
    nextReleaseAt = TimePoint::max();
    for (auto &[id, entry] : endpoints.entries()) {
        const bool isSelected =
            findEngine(entry.record.service) == nullptr || selectedAddresses.count(entry.record.address) != 0;
        const auto listening = isSelected ? Listening::Selected : listeningOfOthers(entry, now);
        if (entry.listening == Listening::Apart && listening != Listening::Apart) {
            entry.connectingSince = now;
        }
        entry.listening = listening;
        if (listening == Listening::Visited || listening == Listening::Finishing) {
            nextReleaseAt = now + releaseInterval;
        }
    }
    hasListeningChanged = true;
}

void DirectCalls::Impl::visitHome(const DirectCall &call, TimePoint now)
{
    if (listensToAll || !call.isEngine || call.info.adapter.empty()) {
        return;
    }
    auto *home = findHomeToVisit(endpoints, buildQuery(call, now), now);
    if (home == nullptr) {
        return;
    }
    if (home->listening != Listening::Visited) {
        const auto visited =
            std::count_if(endpoints.entries().begin(), endpoints.entries().end(),
                          [](const auto &item) { return item.second.listening == Listening::Visited; });
        if (static_cast<std::uint32_t>(visited) >= init.listening.farEngines) {
            return;
        }
        home->connectingSince = home->listening == Listening::Apart ? now : home->connectingSince;
        home->listening = Listening::Visited;
        ++stats.visits;
        hasListeningChanged = true;
    }
    extendVisit(*home, now);
}

void DirectCalls::Impl::extendVisit(EndpointEntry &entry, TimePoint now)
{
    entry.visitedUntil = now + visitTime;
    nextReleaseAt = std::min(nextReleaseAt, now + releaseInterval);
}

std::optional<std::vector<std::string>> DirectCalls::takeListenedEngines(TimePoint now)
{
    impl_->updateListening(now);
    if (!std::exchange(impl_->hasListeningChanged, false)) {
        return std::nullopt;
    }
    std::set<std::string> addresses;
    for (const auto &[id, entry] : impl_->endpoints.entries()) {
        if (impl_->findEngine(entry.record.service) != nullptr && entry.listening != Listening::Apart) {
            addresses.insert(entry.record.address);
        }
    }
    impl_->stats.listenedEngines = addresses.size();
    return std::vector<std::string>(addresses.begin(), addresses.end());
}

} // namespace anvilscale

// Connections of one entry to the sidecars of engines.
#include "direct_calls_impl.h"
#include "listened_engines.h"

namespace anvilscale {

namespace {

// Between checks whether the calls at engines that were deselected have ended.
constexpr Duration finishingCheckInterval = Seconds(1);

/// What an entry does with an engine that it listens to and has not selected again. Its adapters could be unloaded
/// under running calls if the sidecar no longer heard of them.
Listening listeningOfDeselected(const EndpointEntry &entry)
{
    const bool isInUse = entry.inFlight != 0 || !entry.waitingCalls.empty() || entry.record.leaving;
    return entry.listening != Listening::Apart && isInUse ? Listening::Finishing : Listening::Apart;
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
    if (selectedRevision == endpoints.membershipRevision() && selectedConfig == configVersion
        && now < finishingCheckAt) {
        return;
    }
    selectedRevision = endpoints.membershipRevision();
    selectedConfig = configVersion;
    finishingCheckAt = TimePoint::max();
    std::map<std::string, std::vector<EngineSite>> engines; // by service
    for (const auto &[id, entry] : endpoints.entries()) {
        if (findEngine(entry.record.service) != nullptr && !entry.record.leaving && !entry.isSuperseded) {
            engines[entry.record.service].push_back({entry.record.address, entry.record.dataCentre});
        }
    }
    listensToAll = true;
    std::set<std::string> selected;
    for (const auto &[service, sites] : engines) {
        listensToAll = listensToAll && sites.size() <= init.listening.engines;
        selected.merge(selectListenedEngines(sites, {init.entryName, init.dataCentre}, init.listening));
    }
    for (auto &[id, entry] : endpoints.entries()) {
        const bool isSelected =
            findEngine(entry.record.service) == nullptr || selected.count(entry.record.address) != 0;
        entry.listening = isSelected ? Listening::Selected : listeningOfDeselected(entry);
        if (entry.listening == Listening::Finishing) {
            finishingCheckAt = now + finishingCheckInterval;
        }
    }
    hasListeningChanged = true;
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
    return std::vector<std::string>(addresses.begin(), addresses.end());
}

} // namespace anvilscale

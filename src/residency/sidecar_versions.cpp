// Checks of calls against the configuration. Resolving each route again at the sidecar's revision prevents an entry
// with an older revision from running the wrong version.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr Duration maxHoldTime = Seconds(1);
constexpr int holdTimeDivisor = 4; // at most 1/4 of a call's budget is spent waiting for the configuration
constexpr Duration minFetchInterval = Milliseconds(200);
constexpr std::size_t maxHeldCalls = 64;
constexpr Duration behindRetryDelay = Milliseconds(500);
constexpr double prefetchWeight = 0.2; // value of a version loaded ahead, relative to the current one

} // namespace

std::uint64_t SidecarDecisions::Impl::revision() const
{
    return init_.config != nullptr ? init_.config->revision() : 0;
}

std::optional<RefusalDetail> SidecarDecisions::Impl::checkVersion(const wire::CallRequest &request) const
{
    if (init_.config == nullptr) {
        return std::nullopt;
    }
    if (!isEngine()) {
        return init_.config->service(request.service()) ? std::nullopt
                                                        : std::optional(RefusalDetail{RefusalReason::UnknownService});
    }
    const bool isOlder = request.config_revision() < revision();
    const AdapterVersion requested{request.adapter(), request.version()};
    const auto localRoute = init_.config->route(request.route());
    if (init_.safeguards.staleRevisionRefusal) {
        if (!localRoute) {
            return RefusalDetail{isOlder ? RefusalReason::StaleRevision : RefusalReason::UnknownRoute};
        }
        // Prevents an entry that missed a change from sending callers to a replaced version. The refusal carries this
        // sidecar's revision, and the entry resolves again.
        if (localRoute->target != requested) {
            return RefusalDetail{RefusalReason::StaleRevision};
        }
    }
    const bool hasOtherModel = localRoute && !init_.baseModel.empty() && localRoute->baseModel != init_.baseModel;
    if (hasOtherModel || (!requested.empty() && init_.config->weights(requested).empty())) {
        return RefusalDetail{RefusalReason::AdapterUnavailable};
    }
    return std::nullopt;
}

bool SidecarDecisions::Impl::isBehind(const wire::CallRequest &request) const
{
    return init_.config != nullptr && request.config_revision() > revision();
}

void SidecarDecisions::Impl::holdCall(PeerHandle from, const wire::CallRequest &request, TimePoint arrivedAt, Now now)
{
    const Duration budget(std::min<std::uint64_t>(request.budget_us(), 1ULL << 40));
    const Duration holdTime = std::min(maxHoldTime, budget / holdTimeDivisor);
    if (heldCalls_.size() >= maxHeldCalls || now.mono >= arrivedAt + holdTime) {
        return refuse({from, AttemptKey::fromWire(request.id())},
                      {RefusalReason::RevisionBehind, provesNotRun(request, now), random_.jitter(behindRetryDelay)});
    }
    heldCalls_.push_back({from, request, arrivedAt, arrivedAt + holdTime});
    fetchConfig(now);
}

void SidecarDecisions::Impl::fetchConfig(Now now)
{
    // Repeated while calls are held, because the request or its reply may be lost.
    if (heldCalls_.empty() || now.mono < nextFetchAt_) {
        return;
    }
    nextFetchAt_ = now.mono + minFetchInterval;
    wire::Envelope message;
    auto &fetch = *message.mutable_config_fetch();
    fetch.mutable_from()->set_name(init_.name);
    fetch.mutable_from()->set_incarnation(init_.incarnation);
    fetch.set_have_revision(revision());
    send(heldCalls_.back().from, std::move(message));
}

void SidecarDecisions::Impl::expireHeldCalls(Now now)
{
    for (std::size_t i = 0; i < heldCalls_.size();) {
        if (heldCalls_[i].deadline > now.mono) {
            ++i;
            continue;
        }
        refuse({heldCalls_[i].from, AttemptKey::fromWire(heldCalls_[i].request.id())},
               {RefusalReason::RevisionBehind, provesNotRun(heldCalls_[i].request, now),
                random_.jitter(behindRetryDelay)});
        heldCalls_.erase(heldCalls_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    fetchConfig(now);
}

void SidecarDecisions::Impl::onConfigChanged(Now now)
{
    isHeartbeatUrgent_ = true;
    createGuards(now);
    // Waiting calls are resolved again, so that an accepted change takes effect within seconds. Running calls continue
    // at the old version.
    for (auto it = queue_.calls().begin(); it != queue_.calls().end();) {
        const auto current = it++;
        if (const auto refusal = checkVersion(current->request)) {
            refuseAll(*current, *refusal);
            removeWaiting(current);
        }
    }
    markSuperseded();
    planPrefetch();
    for (auto &held : std::exchange(heldCalls_, {})) {
        admit(held.from, held.request, held.arrivedAt, now);
    }
}

void SidecarDecisions::Impl::markSuperseded()
{
    for (auto &[adapterVersion, record] : adapters_.records()) {
        if (record.route.empty() || init_.config == nullptr) {
            continue;
        }
        const auto localRoute = init_.config->route(record.route);
        record.isSuperseded = !localRoute || localRoute->target != adapterVersion;
    }
}

void SidecarDecisions::Impl::planPrefetch()
{
    prefetch_.clear();
    if (init_.config == nullptr) {
        return;
    }
    for (const auto &[adapterVersion, record] : adapters_.records()) {
        const auto localRoute = record.route.empty() ? std::nullopt : init_.config->route(record.route);
        if (!localRoute || localRoute->target != adapterVersion || localRoute->nextVersion.empty()) {
            continue;
        }
        prefetch_.insert_or_assign({adapterVersion.adapter, localRoute->nextVersion}, adapterVersion);
    }
}

std::vector<PendingDemand> SidecarDecisions::Impl::prefetchDemands(TimePoint now) const
{
    std::vector<PendingDemand> result;
    for (const auto &[next, currentVersion] : prefetch_) {
        const auto *nextRecord = adapters_.find(next);
        const auto *currentRecord = adapters_.find(currentVersion);
        const bool isBlocked =
            nextRecord != nullptr
            && (nextRecord->occupiesSlot() || nextRecord->waiting != 0 || nextRecord->earliestLoadAt > now);
        if (isBlocked || currentRecord == nullptr || currentRecord->state != ResidencyState::Resident) {
            continue;
        }
        PendingDemand demand;
        demand.adapterVersion = next;
        demand.oldestArrival = now;
        demand.gain = prefetchWeight * retentionValue(*currentRecord, loadTime_.at(now), evictionRules_, now);
        result.push_back(std::move(demand));
    }
    return result;
}

} // namespace anvilscale

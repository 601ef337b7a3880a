// The configuration as this sidecar sees it. A route is resolved here a second time, at this sidecar's own revision, so
// that an entry which lags behind can't have the wrong version run.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr Duration longestHold = Seconds(1);
constexpr int holdShare = 4; // at most this part of a call's time is spent on waiting for the configuration
constexpr Duration fetchGap = Milliseconds(200);
constexpr std::size_t heldLimit = 64;
constexpr Duration behindRetry = Milliseconds(500);
constexpr double prefetchShare = 0.2; // a version loaded ahead is worth this share of the present one

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
    const bool older = request.config_revision() < revision();
    const AdapterVersion named{request.adapter(), request.version()};
    const auto own = init_.config->route(request.route());
    if (init_.safeguards.staleRevisionRefusal) {
        if (!own) {
            return RefusalDetail{older ? RefusalReason::StaleRevision : RefusalReason::UnknownRoute};
        }
        // Without this refusal an entry that missed a change goes on sending callers to the version that the operators
        // have replaced. The entry learns our revision from the refusal and resolves again.
        if (own->target != named) {
            return RefusalDetail{RefusalReason::StaleRevision};
        }
    }
    const bool otherModel = own && !init_.baseModel.empty() && own->baseModel != init_.baseModel;
    if (otherModel || (!named.empty() && init_.config->weights(named).empty())) {
        return RefusalDetail{RefusalReason::AdapterUnavailable};
    }
    return std::nullopt;
}

bool SidecarDecisions::Impl::isBehind(const wire::CallRequest &request) const
{
    return init_.config != nullptr && request.config_revision() > revision();
}

void SidecarDecisions::Impl::hold(PeerHandle from, const wire::CallRequest &request, TimePoint arrived, Now now)
{
    const Duration budget(std::min<std::uint64_t>(request.budget_us(), 1ULL << 40));
    const Duration patience = std::min(longestHold, budget / holdShare);
    if (held_.size() >= heldLimit || now.mono >= arrived + patience) {
        return refuse({from, AttemptKey::of(request.id())},
                      {RefusalReason::RevisionBehind, provesNotRun(request, now), random_.jitter(behindRetry)});
    }
    held_.push_back({from, request, arrived, arrived + patience});
    fetchConfig(now);
}

void SidecarDecisions::Impl::fetchConfig(Now now)
{
    // Asked again while calls are held: the question or its answer may be lost.
    if (held_.empty() || now.mono < nextFetch_) {
        return;
    }
    nextFetch_ = now.mono + fetchGap;
    wire::Envelope message;
    auto &fetch = *message.mutable_config_fetch();
    fetch.mutable_from()->set_name(init_.name);
    fetch.mutable_from()->set_incarnation(init_.incarnation);
    fetch.set_have_revision(revision());
    send(held_.back().from, std::move(message));
}

void SidecarDecisions::Impl::expireHeld(Now now)
{
    for (std::size_t i = 0; i < held_.size();) {
        if (held_[i].until > now.mono) {
            ++i;
            continue;
        }
        refuse({held_[i].from, AttemptKey::of(held_[i].request.id())},
               {RefusalReason::RevisionBehind, provesNotRun(held_[i].request, now), random_.jitter(behindRetry)});
        held_.erase(held_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    fetchConfig(now);
}

void SidecarDecisions::Impl::onConfigChanged(Now now)
{
    heartbeatAtOnce_ = true;
    openGuards(now);
    // Calls that wait are resolved again: run minutes later at the old version, they would break the promise that an
    // accepted change is in force within seconds. Calls that run already go on beside the new version.
    for (auto place = queue_.calls().begin(); place != queue_.calls().end();) {
        const auto current = place++;
        if (const auto refusal = checkVersion(current->request)) {
            refuseAll(*current, *refusal);
            dropWaiting(current);
        }
    }
    markSuperseded();
    planPrefetch();
    for (auto &held : std::exchange(held_, {})) {
        admit(held.from, held.request, held.arrived, now);
    }
}

void SidecarDecisions::Impl::markSuperseded()
{
    for (auto &[which, record] : adapters_.records()) {
        if (record.route.empty() || init_.config == nullptr) {
            continue;
        }
        const auto own = init_.config->route(record.route);
        record.superseded = !own || own->target != which;
    }
}

void SidecarDecisions::Impl::planPrefetch()
{
    prefetch_.clear();
    if (init_.config == nullptr) {
        return;
    }
    for (const auto &[which, record] : adapters_.records()) {
        const auto own = record.route.empty() ? std::nullopt : init_.config->route(record.route);
        if (!own || own->target != which || own->nextVersion.empty()) {
            continue;
        }
        prefetch_.insert_or_assign({which.adapter, own->nextVersion}, which);
    }
}

std::vector<Demand> SidecarDecisions::Impl::prefetchDemands(TimePoint now) const
{
    std::vector<Demand> result;
    for (const auto &[next, present] : prefetch_) {
        const auto *there = adapters_.find(next);
        const auto *current = adapters_.find(present);
        const bool blocked =
            there != nullptr && (there->occupiesSlot() || there->waiting != 0 || there->notBefore > now);
        if (blocked || current == nullptr || current->state != ResidencyState::Resident) {
            continue;
        }
        Demand demand;
        demand.which = next;
        demand.oldest = now;
        demand.gain = prefetchShare * keepValue(*current, loadTime_.at(now), evictionRules_, now);
        result.push_back(std::move(demand));
    }
    return result;
}

} // namespace anvilscale

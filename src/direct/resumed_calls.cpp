// Calls that resume streams: the origin of each stream, and the endpoints that may continue it.
#include "direct_calls_impl.h"

#include <algorithm>

namespace anvilscale {

void DirectCalls::onStreamStarted(CallHandle handle, const StreamOrigin &origin, TimePoint now)
{
    const auto found = impl_->calls.find(handle);
    if (found == impl_->calls.end() || !found->second.isResumable) {
        return;
    }
    const auto &call = found->second;
    const auto contentKey = streamContentKey(call.info, call.workspace);
    if (!impl_->isCertain(origin)) {
        impl_->origins.add(contentKey, StreamOrigin{}, call.deadline); // others of this content cannot be told from it
        impl_->flushOrigins(now);
        return;
    }
    const StreamOrigin reported{origin.service, origin.softwareVersion};
    ++impl_->stats.origins.reported;
    impl_->origins.add(call.info.requestId, reported, call.deadline);
    impl_->origins.add(contentKey, reported, call.deadline);
    if (call.info.resumed && !call.info.resumed->firstRequestId.empty()) {
        impl_->origins.add(call.info.resumed->firstRequestId, reported, call.deadline);
    }
    impl_->flushOrigins(now);
}

// An endpoint that has restarted since the attempt was sent may have answered with its new process. One that is gone
// answered before.
bool DirectCalls::Impl::isCertain(const StreamOrigin &origin)
{
    if (origin.endpointId.empty()) {
        return true;
    }
    const auto *entry = endpoints.find(origin.endpointId);
    return origin.generation != 0 && (entry == nullptr || entry->generation == origin.generation);
}

void DirectCalls::onStoreRead(TimePoint now)
{
    impl_->crashingParts.onHistoryApplied(now);
}

void DirectCalls::onStoreReadStarted()
{
    impl_->versionHistory.onReadStarted();
}

void DirectCalls::onStoreCurrent(TimePoint now)
{
    impl_->versionHistory.onStoreCurrent(now);
}

void DirectCalls::applySoftwareVersion(const SoftwareVersionRecord &record, TimePoint now)
{
    impl_->versionHistory.applyRecord(record, now);
}

std::vector<SoftwareVersionWrite> DirectCalls::takeSoftwareVersionWrites(TimePoint now)
{
    return impl_->versionHistory.takeWrites(impl_->resumableServices, impl_->endpoints, impl_->knownEntries, now);
}

void DirectCalls::Impl::updateResumableServices()
{
    resumableServices.clear();
    for (const auto &route : config->routes) {
        for (const auto &share : route.services) {
            if (route.resumable && route.repeat == RepeatRule::Stream) {
                resumableServices.insert(share.service);
            }
        }
    }
}

void DirectCalls::onOriginAnswer(const std::string &address, const wire::OriginAnswer &answer, TimePoint now)
{
    impl_->origins.onAnswer(address, answer, now);
    impl_->resolveOrigins(now);
}

void DirectCalls::Impl::checkOriginAnswers(TimePoint now)
{
    origins.checkAnswers(endpoints, now);
    resolveOrigins(now);
    flushOrigins(now);
}

void DirectCalls::Impl::flushOrigins(TimePoint now)
{
    for (auto &report : origins.takeReports(endpoints, now)) {
        actions.emplace_back(std::move(report));
    }
}

void DirectCalls::Impl::resumeCall(CallHandle handle, DirectCall &call, TimePoint now)
{
    ++stats.origins.resumed;
    const auto &requestId = call.info.resumed->firstRequestId;
    if (const auto *own = origins.find(requestId, now)) {
        ++stats.origins.own;
        call.originSource = OriginSource::Own;
        continueStream(handle, call, *own, now);
        return;
    }
    call.step = CallStep::Origin;
    call.stepStartedAt = now;
    origins.lookUp(handle, requestId.empty() ? streamContentKey(call.info, call.workspace) : requestId, endpoints, now);
    resolveOrigins(now);
}

void DirectCalls::Impl::resolveOrigins(TimePoint now)
{
    for (const auto &result : origins.takeResults()) {
        const auto found = calls.find(result.call);
        if (found == calls.end() || found->second.step != CallStep::Origin) {
            continue; // the caller has left, or the call is past its deadline
        }
        auto &call = found->second;
        call.originWait = now - call.stepStartedAt;
        call.step = CallStep::Waiting;
        if (result.origin) {
            const bool isNamed = !call.info.resumed->firstRequestId.empty();
            ++(isNamed ? stats.origins.told : stats.origins.matched);
            call.originSource = isNamed ? OriginSource::Told : OriginSource::Content;
            continueStream(result.call, call, *result.origin, now);
            continue;
        }
        call.hasAllOriginAnswers = result.isAnswered;
        if (soleVersion(call, now)) {
            confirmStore(result.call, call, ConfirmedStep::Assume, now);
        } else {
            refuseUnknownOrigin(result.call, mayOriginBeKnownLater(call), now);
        }
    }
    stats.origins.timeouts = origins.timeouts();
    for (auto &ask : origins.takeAsks()) {
        actions.emplace_back(std::move(ask));
    }
}

// What the caller says of its remaining time does not bound the age of its stream: it may be a default, or the same for
// each call.
std::optional<std::string> DirectCalls::Impl::soleVersion(const DirectCall &call, TimePoint now) const
{
    const auto *route = routes.find(call.info.host, call.info.path);
    const bool hasOneService = route != nullptr && route->services.size() == 1 && !hasMovedLately(*route, now);
    return hasOneService ? versionHistory.soleVersion(call.service, endpoints, now) : std::nullopt;
}

namespace {

std::set<std::string> serviceNames(const DirectRoute &route)
{
    std::set<std::string> names;
    for (const auto &share : route.services) {
        names.insert(share.service);
    }
    return names;
}

} // namespace

void DirectCalls::Impl::recordMovedRoutes(const std::vector<DirectRoute> &routesBefore, const RouteTable &tableBefore,
                                          TimePoint now)
{
    const auto compare = [&](const DirectRoute *before, const DirectRoute *after) {
        if (before != nullptr && after != nullptr && serviceNames(*before) != serviceNames(*after)) {
            routeMovedAt[{after->host, after->prefix}] = now;
        }
    };
    for (const auto &route : config->routes) {
        compare(tableBefore.find(route.host, route.prefix), &route);
    }
    for (const auto &route : routesBefore) {
        compare(&route, routes.find(route.host, route.prefix));
    }
    std::erase_if(routeMovedAt, [&](const auto &item) { return now - item.second >= maxStreamAge; });
}

// A stream that began before was run by another service.
bool DirectCalls::Impl::hasMovedLately(const DirectRoute &route, TimePoint now) const
{
    const auto found = routeMovedAt.find({route.host, route.prefix});
    return found != routeMovedAt.end() && now - found->second < maxStreamAge;
}

void DirectCalls::Impl::confirmStore(CallHandle handle, DirectCall &call, ConfirmedStep next, TimePoint now)
{
    call.step = CallStep::Confirmation;
    call.confirmedStep = next;
    call.stepStartedAt = now;
    confirmations.add(handle);
    startConfirmation(now);
}

void DirectCalls::Impl::startConfirmation(TimePoint now)
{
    if (const auto confirmation = confirmations.start(now)) {
        actions.emplace_back(*confirmation);
    }
    stats.storeConfirmations = confirmations.stats();
}

void DirectCalls::onStoreConfirmed(std::uint64_t number, bool isConfirmed, TimePoint now)
{
    for (const auto handle : impl_->confirmations.finish(number, isConfirmed)) {
        const auto found = impl_->calls.find(handle);
        if (found == impl_->calls.end() || found->second.step != CallStep::Confirmation) {
            continue; // the caller has left, or the call is past its deadline
        }
        auto &call = found->second;
        call.confirmationWait += now - call.stepStartedAt;
        call.step = CallStep::Waiting;
        if (isConfirmed) {
            call.confirmationAge = now - impl_->confirmations.startedAt();
            impl_->resumeConfirmed(handle, call, now);
        } else {
            impl_->refuseUnconfirmed(handle, call, now);
        }
    }
    impl_->startConfirmation(now);
}

void DirectCalls::Impl::resumeConfirmed(CallHandle handle, DirectCall &call, TimePoint now)
{
    switch (call.confirmedStep) {
    case ConfirmedStep::Continue:
        continueStream(handle, call, *call.unroutedOrigin, now);
        return;
    case ConfirmedStep::Route:
        routeCall(handle, call, now);
        return;
    case ConfirmedStep::Assume:
    case ConfirmedStep::Count:
        assumeOrigin(handle, call, now);
    }
}

void DirectCalls::Impl::refuseUnconfirmed(CallHandle handle, DirectCall &call, TimePoint now)
{
    if (call.confirmedStep == ConfirmedStep::Assume) {
        refuseUnknownOrigin(handle, true, now);
        return;
    }
    refuseOrAbandon(handle, call, RefusalReason::NoEndpoint, defaultRetryAfter, now);
}

void DirectCalls::Impl::assumeOrigin(CallHandle handle, DirectCall &call, TimePoint now)
{
    const auto version = soleVersion(call, now);
    if (!version) {
        refuseUnknownOrigin(handle, mayOriginBeKnownLater(call), now);
        return;
    }
    ++stats.origins.assumed;
    call.originSource = OriginSource::SoleVersion;
    continueStream(handle, call, {call.service, *version}, now);
}

// Sidecars that have not answered may, and while the store is read anew its records may prove a sole version a moment
// later.
bool DirectCalls::Impl::mayOriginBeKnownLater(const DirectCall &call) const
{
    return !call.hasAllOriginAnswers || !versionHistory.isKnown();
}

void DirectCalls::Impl::refuseUnknownOrigin(CallHandle handle, bool mayBeKnownLater, TimePoint now)
{
    refuse(handle, statusUnavailable, RefusalReason::OriginUnknown, mayBeKnownLater ? defaultRetryAfter : Duration(0),
           now);
}

void DirectCalls::Impl::continueStream(CallHandle handle, DirectCall &call, const StreamOrigin &origin, TimePoint now)
{
    const auto *route = routes.find(call.info.host, call.info.path);
    const bool isRouted = route != nullptr
                          && std::any_of(route->services.begin(), route->services.end(),
                                         [&](const ServiceShare &share) { return share.service == origin.service; });
    if (!isRouted && !call.isConfirmed()) {
        call.unroutedOrigin = origin;
        confirmStore(handle, call, ConfirmedStep::Continue, now);
        return;
    }
    if (!isRouted) {
        refuse(handle, statusUnavailable, RefusalReason::SoftwareVersionGone, Duration(0), now);
        return;
    }
    call.service = origin.service;
    call.isEngine = findEngine(call.service) != nullptr;
    call.origin = origin;
    beginCall(handle, call, now);
}

bool DirectCalls::Impl::isVersionGone(const DirectCall &call, TimePoint now) const
{
    return call.origin && std::none_of(endpoints.entries().begin(), endpoints.entries().end(), [&](const auto &item) {
               const auto &entry = item.second;
               return entry.record.service == call.origin->service
                      && (!entry.isVersionKnown() || entry.record.softwareVersion == call.origin->softwareVersion)
                      && !entry.isLeaving(now) && !entry.isSuperseded;
           });
}

} // namespace anvilscale

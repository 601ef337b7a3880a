// Life cycle of a call at an entry: arrival, wait for its adapter, attempts, end.
#include "direct_calls_impl.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Time after the first configuration for sidecars to report what their engines hold.
constexpr Duration sidecarReportTimeout = Milliseconds(1500);
// A waiting call is placed again after the time of this many loads, or 1.5 times its estimate, whichever is longer:
// another engine may be faster by then, or the call hopeless.
constexpr int reevaluationLoads = 4;
constexpr int reevaluationHalfEstimates = 3; // in halves of the estimate
// The same if the engine is visited and its sidecar has not been heard yet.
constexpr Duration visitCheckTime = Milliseconds(400);

void decrement(std::uint32_t &count)
{
    count -= count == 0 ? 0 : 1;
}

void removeOne(std::map<AdapterName, std::uint32_t> &counts, const AdapterName &name)
{
    const auto found = counts.find(name);
    if (found != counts.end() && --found->second == 0) {
        counts.erase(found);
    }
}

std::string pickService(const DirectRoute &route, std::string_view requestId)
{
    std::uint64_t sum = 0;
    for (const auto &share : route.services) {
        sum += share.weight;
    }
    if (sum == 0) {
        return route.services.front().service;
    }
    auto point = hash64(requestId) % sum;
    for (const auto &share : route.services) {
        if (point < share.weight) {
            return share.service;
        }
        point -= share.weight;
    }
    return route.services.back().service;
}

} // namespace

DirectCalls::Impl::Impl(DirectCallsInit settings)
    : init(std::move(settings))
    , versionHistory(init.entryName)
    , crashingParts(hash64(init.entryName))
{
}

DirectCalls::DirectCalls(DirectCallsInit init)
    : impl_(std::make_unique<Impl>(std::move(init)))
{
    const auto &name = impl_->init.entryName;
    impl_->workspaceCredit.emplace(wire::ALLOWANCE_OF_WORKSPACES, name, impl_->init.allowanceTimes);
    impl_->endpointCredit.emplace(wire::ALLOWANCE_OF_ENDPOINTS, name, endpointLimitTimes());
}

DirectCalls::~DirectCalls() = default;

bool DirectCalls::applyConfig(const DirectConfig &config, TimePoint now)
{
    // Prevents a late or stale read from restoring an older configuration.
    if (impl_->config && config.version <= impl_->config->version) {
        return false;
    }
    if (!impl_->config) {
        impl_->configuredAt = now;
    }
    const auto routesBefore = impl_->config ? std::move(impl_->config->routes) : std::vector<DirectRoute>();
    const auto tableBefore = std::exchange(impl_->routes, RouteTable(config.routes));
    impl_->config = config;
    impl_->recordMovedRoutes(routesBefore, tableBefore, now);
    impl_->streamLimits = findStreamLimits(config);
    impl_->updateResumableServices();
    std::set<std::string> services;
    for (const auto &service : config.services) {
        services.insert(service.name);
    }
    impl_->endpoints.setServices(std::move(services));
    impl_->applyWorkspaces(now);
    return true;
}

void DirectCalls::onCall(CallHandle handle, CallInfo info, TimePoint now)
{
    auto &impl = *impl_;
    ++impl.stats.calls;
    const auto *route = impl.config ? impl.routes.find(info.host, info.path) : nullptr;
    if (route == nullptr) {
        impl.calls[handle].info = std::move(info);
        impl.calls[handle].arrivedAt = now;
        if (impl.config) {
            impl.refuse(handle, statusNotFound, RefusalReason::UnknownRoute, Duration(0), now);
        } else {
            impl.refuse(handle, statusUnavailable, RefusalReason::NotConfigured, defaultRetryAfter, now);
        }
        return;
    }
    DirectCall call;
    call.arrivedAt = now;
    call.deadline = now + info.callerTimeout;
    call.info = std::move(info);
    call.parts = sharedParts(call.info.parts);
    impl.applyRoute(call, *route);
    auto &stored = impl.calls.insert_or_assign(handle, std::move(call)).first->second;
    if (const auto reason = impl.identifyCaller(stored, *route); reason != RefusalReason::None) {
        impl.refuse(handle, statusUnauthorized, reason, Duration(0), now);
        return;
    }
    impl.chargeCall(handle, stored, now);
    impl.updateAllowances(now);
}

void DirectCalls::Impl::applyRoute(DirectCall &call, const DirectRoute &route) const
{
    call.service = pickService(route, call.info.requestId);
    call.isEngine = findEngine(call.service) != nullptr;
    call.repeat = route.repeat;
    call.isResumable = route.resumable;
    call.priority = route.priority;
    call.maxEndpoints = std::max<std::uint32_t>(1, route.maxEndpoints);
    call.objective = route.objective;
    call.pauseLimit = route.pauseLimit;
    call.cutOffAt = std::min(call.deadline, call.arrivedAt + route.timeout);
    const bool limited = route.firstByteLimit > Duration(0);
    call.firstByteBy = limited ? std::min(call.deadline, call.arrivedAt + route.firstByteLimit) : call.deadline;
}

void DirectCalls::Impl::startCall(CallHandle handle, DirectCall &call, TimePoint now)
{
    call.step = CallStep::Waiting;
    if (call.info.resumed && call.repeat == RepeatRule::Stream) {
        resumeCall(handle, call, now);
        return;
    }
    beginCall(handle, call, now);
}

void DirectCalls::Impl::beginCall(CallHandle handle, DirectCall &call, TimePoint now)
{
    retryAllowances[call.service].onFirstAttempt(init.retryRatio, maxRetryBalance);
    if (call.isEngine) {
        ++callsByModel[call.info.model];
    } else {
        slots.recordCall(call.service, plainCapacity(call.service, now), knownEntries, now);
    }
    routeCall(handle, call, now);
}

EndpointEntry *DirectCalls::Impl::findEndpoint(const DirectCall &call)
{
    auto *entry = endpoints.find(call.endpointId);
    return entry != nullptr && entry->generation == call.endpointGeneration ? entry : nullptr;
}

std::uint32_t DirectCalls::Impl::publishedVersion(const AdapterName &name) const
{
    const auto found = publishedVersions.find(name);
    return found == publishedVersions.end() ? 0 : found->second;
}

ChoiceQuery DirectCalls::Impl::buildQuery(const DirectCall &call, TimePoint now)
{
    ChoiceQuery query;
    query.info = &call.info;
    query.service = &call.service;
    query.isEngine = call.isEngine;
    query.minVersion = publishedVersion(call.adapterName());
    const auto *model = config->model(call.service, call.info.model);
    query.modelReload = model == nullptr ? Duration(0) : model->reload;
    query.canMeetObjective = now < call.arrivedAt + call.objective;
    query.excludedIds = &call.excludedIds;
    query.softwareVersion = call.origin ? &call.origin->softwareVersion : nullptr;
    query.dataCentre = init.dataCentre;
    query.objective = call.objective;
    const auto limits = streamLimits.find(call.service);
    query.pauseLimit = limits == streamLimits.end() ? Duration(0) : limits->second.shortestPause;
    query.estimates = &estimates[call.service];
    query.policy = &init.policy;
    query.lastReceivedAt = endpoints.lastReceivedAt();
    return query;
}

void DirectCalls::Impl::routeCall(CallHandle handle, DirectCall &call, TimePoint now)
{
    endReading(call);
    returnUnusedSlot(call);
    if (stopIfQuarantined(handle, call, now) || stopIfUnending(handle, call, Duration(0), now)
        || requestSlot(handle, call, now)) {
        return;
    }
    updateListening(now);
    visitHome(call, now);
    const auto choice = chooseEndpoint(endpoints, buildQuery(call, now), now);
    if (!choice && isVersionGone(call, now)) {
        if (!call.isConfirmed()) {
            confirmStore(handle, call, ConfirmedStep::Route, now); // an endpoint of it may not have been read yet
            return;
        }
        refuseOrAbandon(handle, call, RefusalReason::SoftwareVersionGone, Duration(0), now);
        return;
    }
    if (!choice) {
        const auto reason =
            isServiceLimited(call.service, now) ? RefusalReason::EndpointLimit : RefusalReason::NoEndpoint;
        refuseOrAbandon(handle, call, reason, timeUntilAvailable(call.service, now), now);
        return;
    }
    call.endpointId = choice->endpointId;
    call.estimate = choice->firstByte;
    // Refuses at once if the answer would come after the caller has left, so that the caller can return when there is
    // capacity. Only confirmed times count: a default value refuses no call.
    const bool refuses = init.policy.has(Mechanism::EarlyRefusal);
    if (refuses && now + choice->confirmedFirstByte > call.firstByteBy) {
        refuseUnreachable(handle, call, choice->firstByte, now);
        return;
    }
    // Measured runs include the reading of prompts, and at plain services the wait at the endpoint.
    const auto wait = std::max(Duration(0), choice->confirmedFirstByte - choice->readingTime);
    if (call.isEngine && stopIfUnending(handle, call, wait, now)) {
        return;
    }
    placeCall(handle, call, *choice, now);
}

void DirectCalls::Impl::placeCall(CallHandle handle, DirectCall &call, const Choice &choice, TimePoint now)
{
    call.uncachedTokens = choice.uncachedTokens;
    call.unreadTokens = choice.unreadTokens;
    call.readingTime = choice.readingTime;
    call.nextCheckAt = now;
    call.reevaluateAt =
        now + std::max(reevaluationLoads * choice.loadTime, reevaluationHalfEstimates * choice.firstByte / 2);
    call.stepStartedAt = now;
    auto &chosen = *endpoints.find(choice.endpointId);
    if (chosen.listening == Listening::Visited) {
        extendVisit(chosen, now);
        call.reevaluateAt = chosen.state ? call.reevaluateAt : now + visitCheckTime;
    }
    call.endpointGeneration = chosen.generation;
    call.endpointStartTimeMs = chosen.record.startTimeMs;
    call.storeAge = now - storeAnsweredAt;
    call.stateAge = chosen.state ? now - chosen.stateReceivedAt : Duration(-1);
    if (call.isEngine && choice.presence != Presence::Resident) {
        waitForAdapter(handle, call, now);
        return;
    }
    requestSend(handle, call, now);
}

void DirectCalls::Impl::waitForAdapter(CallHandle handle, DirectCall &call, TimePoint now)
{
    call.step = CallStep::Waiting;
    auto &entry = *endpoints.find(call.endpointId);
    entry.waitingCalls.insert(handle);
    ++entry.waitingByAdapter[call.adapterName()];
    entry.waitingTokens += call.unreadTokens;
    entry.hasDemandChanged = true;
    ++stats.waitedForAdapter;
    sendDemand(entry, now);
}

void DirectCalls::Impl::stopWaiting(EndpointEntry &entry, CallHandle handle, DirectCall &call, TimePoint now)
{
    if (entry.waitingCalls.erase(handle) != 0) {
        entry.hasDemandChanged = true;
        removeOne(entry.waitingByAdapter, call.adapterName());
        entry.waitingTokens = std::max(0.0, entry.waitingTokens - call.unreadTokens);
        call.adapterWait += now - call.stepStartedAt;
    }
}

void DirectCalls::Impl::sendCall(CallHandle handle, DirectCall &call, TimePoint now)
{
    auto &entry = *endpoints.find(call.endpointId);
    const auto name = call.adapterName();
    call.step = CallStep::Sent;
    call.stepStartedAt = now;
    call.hasFirstByte = false;
    call.lastCrash = crashingParts.lastCrash();
    ++call.attempt;
    // Requests the version published by the operator, so that an engine with an older one refuses the call.
    const auto query = buildQuery(call, now);
    const auto published = query.minVersion;
    call.version = published == 0 ? 0 : std::max(published, entry.heldVersion(name, now));
    entry.hasDemandChanged = true;
    const WaitForecast forecast(entry, query, now);
    call.tokensAhead = forecast.backlogTokens();
    call.readingTime = fromMilliseconds(forecast.backlogMs() + forecast.speed().idleEngineMs(call.unreadTokens));
    call.wasOnlyCall = entry.inFlight == 0;
    call.softwareVersion = entry.isVersionKnown() ? entry.record.softwareVersion : std::string();
    ++entry.inFlight;
    if (entry.awaitingFirstByte++ == 0) {
        entry.silentSince = now;
    }
    entry.unreadTokens += call.unreadTokens;
    if (call.isEngine) {
        entry.hasUnsentRun = entry.hasUnsentRun || entry.runningByAdapter.count(name) == 0;
        ++entry.runningByAdapter[name];
        ++entry.startedByAdapter[name];
        sendDemand(entry, now);
    }
    reportSent(handle, call, entry, now);
    ++stats.sent;
    SendCall action;
    action.call = handle;
    action.attempt = call.attempt;
    action.endpointId = entry.record.id;
    action.address = entry.record.address;
    action.priority = computeRank(call, now);
    action.version = call.version;
    action.deadline = call.deadline;
    action.hidesKey = config->workspaces.has_value();
    action.workspace = call.workspace;
    action.origin = {entry.record.service, call.softwareVersion, entry.record.id,
                     entry.isVersionKnown() ? entry.generation : 0};
    action.isLimited = entry.isLimited();
    action.holdAnswer = call.isRepeatable() && call.executionCount + 1 < call.maxEndpoints;
    actions.emplace_back(std::move(action));
}

void DirectCalls::Impl::detachFromEndpoint(CallHandle handle, DirectCall &call, bool failed, TimePoint now)
{
    if (call.step == CallStep::Origin) {
        call.originWait = now - call.stepStartedAt;
        return;
    }
    if (call.step == CallStep::Confirmation) {
        call.confirmationWait += now - call.stepStartedAt;
        return;
    }
    if (call.step == CallStep::Slot) {
        stopAwaitingSlot(call, now);
        return;
    }
    auto *entry = findEndpoint(call);
    if (entry == nullptr) {
        return; // the process has terminated, and its counters were reset
    }
    if (call.step == CallStep::Waiting) {
        stopWaiting(*entry, handle, call, now);
        return;
    }
    if (call.step == CallStep::Permit) {
        stopAwaitingPermit(handle, call, now);
        return;
    }
    if (call.step == CallStep::Turn) {
        stopAwaitingTurn(handle, call, now);
        return;
    }
    entry->hasDemandChanged = true;
    decrement(entry->inFlight);
    if (!call.hasFirstByte) {
        decrement(entry->awaitingFirstByte);
        entry->unreadTokens = std::max(0.0, entry->unreadTokens - call.unreadTokens);
    }
    if (call.isEngine) {
        removeOne(entry->runningByAdapter, call.adapterName());
    }
    entry->recordEnd(failed, now);
}

void DirectCalls::onAnswerStarted(CallHandle handle, std::uint32_t attempt, TimePoint now)
{
    const auto found = impl_->calls.find(handle);
    if (found == impl_->calls.end() || found->second.attempt != attempt || found->second.hasFirstByte) {
        return;
    }
    auto &call = found->second;
    call.hasFirstByte = true;
    call.firstByteAt = now;
    impl_->watchAnswer(handle, call, now);
    call.firstByte = now - call.arrivedAt;
    impl_->reportFirstByte(call, now);
    if (auto *entry = impl_->findEndpoint(call)) {
        entry->recordByte(now);
        impl_->recordFirstByte(call, *entry, now);
        entry->hasDemandChanged = true;
        decrement(entry->awaitingFirstByte);
        entry->unreadTokens = std::max(0.0, entry->unreadTokens - call.unreadTokens);
    }
}

std::vector<FailedAttempt> DirectCalls::takeFailedAttempts()
{
    return std::exchange(impl_->failedAttempts, {});
}

std::vector<CallFingerprint> DirectCalls::takeQuarantined()
{
    auto newlyQuarantined = impl_->quarantine.takeNewlyQuarantined();
    impl_->stats.quarantined += newlyQuarantined.size();
    return newlyQuarantined;
}

std::vector<EndedCall> DirectCalls::takeEnded()
{
    return std::exchange(impl_->endedCalls, {});
}

std::vector<DirectAction> DirectCalls::takeActions()
{
    impl_->flushReadings();
    return std::exchange(impl_->actions, {});
}

bool DirectCalls::isConfigured() const
{
    return impl_->config.has_value();
}

// A new entry does not know yet what engines hold and would refuse calls that it could serve a moment later. It is
// ready once half of the engines have reported, or after a timeout: the rest may have no sidecar.
bool DirectCalls::isReady(TimePoint now) const
{
    if (!isConfigured() || impl_->endpoints.entries().empty()) {
        return false;
    }
    std::size_t engines = 0;
    std::size_t reported = 0;
    for (const auto &[id, entry] : impl_->endpoints.entries()) {
        const auto *service = impl_->config->service(entry.record.service);
        if (service != nullptr && service->engine && entry.listening == Listening::Selected) {
            ++engines;
            reported += entry.state ? 1 : 0;
        }
    }
    return 2 * reported >= engines || now - impl_->configuredAt > sidecarReportTimeout;
}

const DirectConfig &DirectCalls::config() const
{
    return *impl_->config;
}

const DirectCallsStats &DirectCalls::stats() const
{
    impl_->stats.open = impl_->calls.size();
    impl_->stats.crashingParts.quarantined = impl_->crashingParts.quarantinedParts();
    impl_->stats.crashingParts.brokenOnly = impl_->crashWatch.brokenOnly();
    impl_->stats.ownSpeedEngines = impl_->countOwnSpeeds();
    impl_->stats.slots.contendedServices = impl_->slots.contendedServices();
    return impl_->stats;
}

} // namespace anvilscale

// Life cycle of a call at an entry: arrival, wait for its adapter, attempts, end.
#include "direct_calls_impl.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr std::uint32_t notFound = 404;
// Upper bound: estimates beyond it do not predict when capacity is available.
constexpr Duration longestRetryAfter = Seconds(2);
// Time after the first configuration for sidecars to report what their engines hold.
constexpr Duration sidecarsTime = Milliseconds(1500);
// A waiting call is placed again after the time of this many loads, or 1.5 times its estimate, whichever is longer.
constexpr int loadsThought = 4;
constexpr int waitsThought = 3; // in halves of the estimate

void lower(std::uint32_t &count)
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

DirectCalls::DirectCalls(DirectCallsInit init)
    : impl_(std::make_unique<Impl>())
{
    impl_->init = std::move(init);
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
    impl_->config = config;
    impl_->routes = RouteTable(config.routes);
    std::set<std::string> services;
    for (const auto &service : config.services) {
        services.insert(service.name);
    }
    impl_->endpoints.nameServices(std::move(services));
    return true;
}

void DirectCalls::arrive(CallHandle handle, CallFacts facts, TimePoint now)
{
    auto &impl = *impl_;
    ++impl.stats.calls;
    const auto *route = impl.config ? impl.routes.find(facts.host, facts.path) : nullptr;
    if (route == nullptr) {
        impl.calls[handle].facts = std::move(facts);
        impl.calls[handle].arrived = now;
        if (impl.config) {
            impl.refuse(handle, notFound, RefusalReason::UnknownRoute, Duration(0), now);
        } else {
            impl.refuse(handle, unavailable, RefusalReason::NotConfigured, usualRetryAfter, now);
        }
        return;
    }
    DirectCall call;
    call.service = pickService(*route, facts.requestId);
    const auto *service = impl.config->service(call.service);
    call.engine = service != nullptr && service->engine.has_value();
    call.repeat = route->repeat;
    call.resumable = route->resumable;
    call.priority = route->priority;
    call.maxEndpoints = std::max<std::uint32_t>(1, route->maxEndpoints);
    call.objective = route->objective;
    call.arrived = now;
    call.deadline = now + facts.patience;
    call.cutAt = std::min(call.deadline, now + route->timeout);
    const bool limited = route->firstByteLimit > Duration(0);
    call.firstByteBy = limited ? std::min(call.deadline, now + route->firstByteLimit) : call.deadline;
    call.facts = std::move(facts);
    impl.retries[call.service].countFirst(impl.init.retryRatio, impl.retriesSaved);
    if (call.engine) {
        ++impl.modelUse[call.facts.model];
    }
    auto &stored = impl.calls.insert_or_assign(handle, std::move(call)).first->second;
    impl.route(handle, stored, now);
}

EndpointEntry *DirectCalls::Impl::endpointOf(const DirectCall &call)
{
    auto *entry = endpoints.find(call.endpointId);
    return entry != nullptr && entry->life == call.endpointLife ? entry : nullptr;
}

std::uint32_t DirectCalls::Impl::namedVersion(const AdapterName &name) const
{
    const auto found = versions.find(name);
    return found == versions.end() ? 0 : found->second;
}

ChoiceQuery DirectCalls::Impl::queryFor(const DirectCall &call, TimePoint now)
{
    ChoiceQuery query;
    query.facts = &call.facts;
    query.service = &call.service;
    query.engine = call.engine;
    query.leastVersion = namedVersion(call.adapterName());
    const auto *model = config->model(call.service, call.facts.model);
    query.modelReload = model == nullptr ? Duration(0) : model->reload;
    query.inTime = now < call.arrived + call.objective;
    query.exclude = &call.tried;
    query.dataCentre = init.dataCentre;
    query.objective = call.objective;
    query.learned = &learned[call.service];
    query.policy = &init.policy;
    query.heard = endpoints.lastHeard();
    return query;
}

bool DirectCalls::Impl::stopQuarantined(CallHandle handle, DirectCall &call, TimePoint now)
{
    if (!quarantine.holds(call.facts.fingerprint, now)) {
        return false;
    }
    giveUp(handle, call, RefusalReason::RequestQuarantined, Duration(0), now);
    return true;
}

void DirectCalls::Impl::route(CallHandle handle, DirectCall &call, TimePoint now)
{
    if (stopQuarantined(handle, call, now)) {
        return;
    }
    const auto choice = chooseEndpoint(endpoints, queryFor(call, now), now);
    if (!choice) {
        giveUp(handle, call, RefusalReason::NoEndpoint, returnTime(call.service, now), now);
        return;
    }
    call.endpointId = choice->endpointId;
    call.estimate = choice->firstByte;
    // Refuses at once if the answer would come after the caller has left, so that the caller can return when there is
    // capacity. Only confirmed times count: a default value refuses no call.
    const bool refuses = init.policy.has(Mechanism::EarlyRefusal);
    if (refuses && now + choice->certain > call.firstByteBy) {
        const auto excess = choice->firstByte - call.objective;
        giveUp(handle, call, RefusalReason::DeadlineUnreachable, std::clamp(excess, usualRetryAfter, longestRetryAfter),
               now);
        return;
    }
    place(handle, call, *choice, now);
}

void DirectCalls::Impl::place(CallHandle handle, DirectCall &call, const Choice &choice, TimePoint now)
{
    call.freshTokens = choice.freshTokens;
    call.unreadTokens = choice.unreadTokens;
    call.reading = choice.reading;
    call.checkAt = now;
    call.thinkAgainAt = now + std::max(loadsThought * choice.load, waitsThought * choice.firstByte / 2);
    call.stepSince = now;
    const auto &chosen = *endpoints.find(choice.endpointId);
    call.endpointLife = chosen.life;
    call.endpointBorn = chosen.record.born;
    call.storeAge = now - storeAnsweredAt;
    call.stateAge = chosen.state ? now - chosen.stateAt : Duration(-1);
    if (call.engine && choice.presence != Presence::Resident) {
        wait(handle, call, now);
        return;
    }
    send(handle, call, now);
}

void DirectCalls::Impl::wait(CallHandle handle, DirectCall &call, TimePoint now)
{
    call.step = CallStep::Waiting;
    auto &entry = *endpoints.find(call.endpointId);
    entry.waiting.insert(handle);
    ++entry.waitingOn[call.adapterName()];
    entry.waitingTokens += call.unreadTokens;
    entry.changed = true;
    ++stats.waitedForAdapter;
    tellSidecar(entry, now);
}

void DirectCalls::Impl::stopWaiting(EndpointEntry &entry, CallHandle handle, DirectCall &call, TimePoint now)
{
    if (entry.waiting.erase(handle) != 0) {
        entry.changed = true;
        removeOne(entry.waitingOn, call.adapterName());
        entry.waitingTokens = std::max(0.0, entry.waitingTokens - call.unreadTokens);
        call.adapterWait += now - call.stepSince;
    }
}

void DirectCalls::Impl::send(CallHandle handle, DirectCall &call, TimePoint now)
{
    auto &entry = *endpoints.find(call.endpointId);
    const auto name = call.adapterName();
    call.step = CallStep::Sent;
    call.stepSince = now;
    call.began = false;
    ++call.attempt;
    // Requests the version published by the operator, so that an engine with an older one refuses the call.
    const auto query = queryFor(call, now);
    const auto named = query.leastVersion;
    call.version = named == 0 ? 0 : std::max(named, entry.heldVersion(name, now));
    entry.changed = true;
    const auto &reading = query.learned->reading;
    const double backlog = WaitForecast(entry, query, now).backlogMs();
    call.tokensAhead = backlog / reading.msPerToken();
    call.reading = fromMilliseconds(backlog + reading.aloneMs(call.unreadTokens));
    call.alone = entry.inFlight == 0;
    ++entry.inFlight;
    if (entry.unanswered++ == 0) {
        entry.oldestSilence = now;
    }
    entry.unreadTokens += call.unreadTokens;
    if (call.engine) {
        entry.newlyRunning = entry.newlyRunning || entry.runningOn.count(name) == 0;
        ++entry.runningOn[name];
        ++entry.startedOn[name];
        tellSidecar(entry, now);
    }
    ++stats.sent;
    SendCall action;
    action.call = handle;
    action.attempt = call.attempt;
    action.endpointId = entry.record.id;
    action.address = entry.record.address;
    action.priority = rankOf(call, now);
    action.version = call.version;
    action.deadline = call.deadline;
    action.holdAnswer = call.repeatable() && call.ranAt + 1 < call.maxEndpoints;
    actions.emplace_back(std::move(action));
}

void DirectCalls::Impl::leaveEndpoint(CallHandle handle, DirectCall &call, bool failed, TimePoint now)
{
    auto *entry = endpointOf(call);
    if (entry == nullptr) {
        return; // the process has terminated, and its counters were reset
    }
    if (call.step == CallStep::Waiting) {
        stopWaiting(*entry, handle, call, now);
        return;
    }
    entry->changed = true;
    lower(entry->inFlight);
    if (!call.began) {
        lower(entry->unanswered);
        entry->unreadTokens = std::max(0.0, entry->unreadTokens - call.unreadTokens);
    }
    if (call.engine) {
        removeOne(entry->runningOn, call.adapterName());
    }
    entry->countEnd(failed, now);
}

void DirectCalls::answerBegan(CallHandle handle, std::uint32_t attempt, TimePoint now)
{
    const auto found = impl_->calls.find(handle);
    if (found == impl_->calls.end() || found->second.attempt != attempt || found->second.began) {
        return;
    }
    auto &call = found->second;
    call.began = true;
    call.firstByte = now - call.arrived;
    if (auto *entry = impl_->endpointOf(call)) {
        entry->countByte(now);
        impl_->learnFirstByte(call, *entry, now);
        entry->changed = true;
        lower(entry->unanswered);
        entry->unreadTokens = std::max(0.0, entry->unreadTokens - call.unreadTokens);
    }
}

std::vector<FailedAttempt> DirectCalls::takeFailedAttempts()
{
    return std::exchange(impl_->failedAttempts, {});
}

std::vector<CrashReport> DirectCalls::takeCrashReports()
{
    return impl_->quarantine.takeReports();
}

std::vector<CallFingerprint> DirectCalls::takeQuarantined()
{
    auto held = impl_->quarantine.takeNewlyHeld();
    impl_->stats.quarantined += held.size();
    return held;
}

std::vector<EndedCall> DirectCalls::takeEnded()
{
    return std::exchange(impl_->ended, {});
}

std::vector<DirectAction> DirectCalls::takeActions()
{
    return std::exchange(impl_->actions, {});
}

bool DirectCalls::configured() const
{
    return impl_->config.has_value();
}

// A new entry does not know yet what engines hold and would refuse calls that it could serve a moment later. It is
// ready once half of the engines have reported, or after a timeout: the rest may have no sidecar.
bool DirectCalls::ready(TimePoint now) const
{
    if (!configured() || impl_->endpoints.all().empty()) {
        return false;
    }
    std::size_t engines = 0;
    std::size_t told = 0;
    for (const auto &[id, entry] : impl_->endpoints.all()) {
        const auto *service = impl_->config->service(entry.record.service);
        if (service != nullptr && service->engine) {
            ++engines;
            told += entry.state ? 1 : 0;
        }
    }
    return 2 * told >= engines || now - impl_->configuredAt > sidecarsTime;
}

const DirectConfig &DirectCalls::config() const
{
    return *impl_->config;
}

const DirectCallsStats &DirectCalls::stats() const
{
    impl_->stats.open = impl_->calls.size();
    return impl_->stats;
}

} // namespace anvilscale

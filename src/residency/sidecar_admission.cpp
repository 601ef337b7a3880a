// A call comes in: is it well formed, is it ours, does it repeat a running one, can it meet its deadline. Every
// refusal here is a proof that the call did not run: the endpoint has not seen it.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr Duration shortestRetry = Milliseconds(200);
constexpr Duration longestRetry = Seconds(30);
constexpr Duration recoveryRetry = Seconds(1);
constexpr Duration endpointRetry = Seconds(2);
// So long a load time may refuse calls. One load that a pause had made long refused every call on an absent adapter for
// good: no call came through whose load could have shown a better time.
constexpr Duration loadMemory = Seconds(10);

Duration until(TimePoint at, TimePoint now)
{
    return std::clamp(at - now, shortestRetry, longestRetry);
}

} // namespace

std::uint64_t fingerprintOf(const wire::CallRequest &request)
{
    std::uint64_t hash = hash64(request.method());
    hash = hash64(request.path(), hash);
    hash = hash64(request.adapter(), hash);
    hash = hash64(request.version(), hash);
    return hash64(request.body(), hash);
}

void SidecarDecisions::Impl::onCall(PeerHandle from, const wire::CallRequest &request, Now now)
{
    const auto attempt = AttemptKey::of(request.id());
    if (init_.safeguards.duplicateFilter && (isOpen(attempt) || ended_.has(attempt))) {
        ++stats_.droppedMessages;
        return;
    }
    admit(from, request, now.mono, now);
}

void SidecarDecisions::Impl::admit(PeerHandle from, const wire::CallRequest &request, TimePoint arrived, Now now)
{
    const Listener listener{from, AttemptKey::of(request.id()), request.credit_bytes()};
    if (auto refusal = checkForm(request)) {
        refusal->provedNotRun = provesNotRun(request, now);
        return refuse(listener, *refusal);
    }
    if (const auto view = serviceOf(request); view && !view->idempotent && !isBehind(request)) {
        return admitAtMostOnce(makeCall(from, request, arrived), *view, now);
    }
    const auto stateRefusal = checkState(now.mono);
    if (stateRefusal && !leaving_) {
        return refuse(listener, *stateRefusal);
    }
    if (isBehind(request) && !leaving_) {
        return hold(from, request, arrived, now);
    }
    if (const auto refusal = checkVersion(request)) {
        return refuse(listener, *refusal);
    }
    WaitingCall call = makeCall(from, request, arrived);
    // A repeat of a running call makes no new work, so it is taken also while leaving.
    if (attachToRunning(call)) {
        return;
    }
    if (stateRefusal) {
        return refuse(listener, *stateRefusal);
    }
    if (attachToWaiting(call)) {
        return;
    }
    if (const auto refusal = checkAdapter(call, now.mono)) {
        return refuse(listener, *refusal);
    }
    if (const auto refusal = checkRoom(call, now.mono)) {
        return refuse(listener, *refusal);
    }
    enqueue(std::move(call), now);
}

void SidecarDecisions::Impl::enqueue(WaitingCall call, Now now)
{
    if (!call.which.empty()) {
        auto &record = adapters_.add(call.which);
        record.demand.add(now.mono, evictionRules_.demandMemory);
        record.urgent = call.callClass == CallClass::Urgent;
        record.lastUsed = now.mono;
        record.superseded = false;
        if (record.route != call.request.route()) {
            record.route = call.request.route();
            planPrefetch();
        }
        ++record.waiting;
        call.record = &record;
        call.waitedForAdapter = record.state != ResidencyState::Resident;
        markChanged(call.which, call.waitedForAdapter && record.waiting == 1);
    }
    call.execution = ExecutionHandle{++lastExecution_};
    queue_.push(std::move(call));
}

std::optional<RefusalDetail> SidecarDecisions::Impl::checkForm(const wire::CallRequest &request) const
{
    if (!request.has_id() || request.method().empty()) {
        return RefusalDetail{RefusalReason::BadRequest};
    }
    if (request.budget_us() == 0) {
        return RefusalDetail{RefusalReason::DeadlinePassed};
    }
    if (isEngine()) {
        return request.service().empty() ? std::nullopt : std::optional(RefusalDetail{RefusalReason::UnknownService});
    }
    const bool known = std::ranges::find(init_.services, request.service()) != init_.services.end();
    return known ? std::nullopt : std::optional(RefusalDetail{RefusalReason::UnknownService});
}

std::optional<RefusalDetail> SidecarDecisions::Impl::checkState(TimePoint now)
{
    if (leaving_) {
        return RefusalDetail{RefusalReason::Leaving};
    }
    if (!endpointUp_) {
        return RefusalDetail{RefusalReason::EndpointDown, true, random_.jitter(endpointRetry)};
    }
    if (!recovery_.done()) {
        const auto waits = recovery_.waitsUntil();
        const Duration retryAfter = waits ? until(*waits, now) : random_.jitter(recoveryRetry);
        return RefusalDetail{RefusalReason::Recovering, true, retryAfter};
    }
    // Calls that lay unread during a pause are read before the news that the endpoint is leaving. Without this they
    // reached it seconds after it should get no new work. Within this time the list of VMs is read again.
    if (now < catchUpUntil_) {
        return RefusalDetail{RefusalReason::Recovering, true, until(catchUpUntil_, now)};
    }
    return std::nullopt;
}

std::optional<RefusalDetail> SidecarDecisions::Impl::checkAdapter(const WaitingCall &call, TimePoint now)
{
    const auto *record = adapters_.find(call.which);
    if (record != nullptr && record->quarantined && now < record->notBefore) {
        return RefusalDetail{RefusalReason::AdapterQuarantined, true, until(record->notBefore, now)};
    }
    return std::nullopt;
}

std::optional<RefusalDetail> SidecarDecisions::Impl::checkRoom(const WaitingCall &call, TimePoint now)
{
    const auto *record = adapters_.find(call.which);
    const bool stalls = !call.which.empty() && (record == nullptr || record->state != ResidencyState::Resident);
    const Duration wait = std::max(queueDelay(call.callClass, now), stalls ? loadDelay(now) : Duration(0));
    const bool unreachable =
        init_.overload.refuseUnreachable && wait > Duration(0) && now + wait + serviceTime_.at(now) > call.deadline;
    if (unreachable) {
        return RefusalDetail{RefusalReason::DeadlineUnreachable, true, retryAfterQueue(now)};
    }
    if (queue_.size() >= policy().queueLimit && !displace(call, now)) {
        return RefusalDetail{RefusalReason::QueueFull, true, retryAfterQueue(now)};
    }
    return std::nullopt;
}

bool SidecarDecisions::Impl::displace(const WaitingCall &call, TimePoint now)
{
    const auto lower = [&](const WaitingCall &other) { return other.callClass > call.callClass; };
    const FairShare share(executions_, init_.batchLimit);
    const auto overShare = [&](const WaitingCall &other) { return share.isOver(other.caller); };
    const auto place =
        std::visit([&](const auto &order) { return queue_.worst(order, now, lower, overShare); }, queueOrder_);
    if (place == queue_.calls().end()) {
        return false;
    }
    refuseAll(*place, {RefusalReason::QueueFull, true, retryAfterQueue(now)});
    dropWaiting(place);
    return true;
}

WaitingCall SidecarDecisions::Impl::makeCall(PeerHandle from, const wire::CallRequest &request, TimePoint arrived) const
{
    WaitingCall call;
    call.request = request;
    call.listeners.push_back({from, AttemptKey::of(request.id()), request.credit_bytes()});
    call.which = {request.adapter(), request.version()};
    call.callClass = fromWire(request.call_class(), CallClass::Normal);
    call.arrived = arrived;
    // A budget from the wire is bounded, so that adding it to a time can't overflow.
    constexpr std::uint64_t longestBudget = 86'400'000'000ULL;
    call.deadline = arrived + Duration(std::min(request.budget_us(), longestBudget));
    call.fingerprint = fingerprintOf(request);
    call.caller = hash64(request.caller());
    return call;
}

bool SidecarDecisions::Impl::attachToRunning(const WaitingCall &call)
{
    if (call.request.key().empty() || !init_.overload.attachRepeats) {
        return false;
    }
    auto *execution = executions_.attachable(call.request.key(), call.fingerprint);
    if (execution == nullptr) {
        return false;
    }
    attachListener(*execution, call);
    return true;
}

void SidecarDecisions::Impl::attachListener(Execution &execution, const WaitingCall &call)
{
    const auto &listener = call.listeners.front();
    execution.listeners.push_back(listener);
    execution.deadline = std::max(execution.deadline, call.deadline);
    stats_.cancelsAvoided += static_cast<std::uint64_t>(execution.cancelAt.has_value());
    execution.cancelAt.reset();
    ++stats_.attached;
    actions_.emplace_back(
        AttachListener{execution.handle, listener.peer, listener.attempt.message(), listener.creditBytes});
}

void SidecarDecisions::Impl::joinWaiting(WaitingCall &waiting, const WaitingCall &call)
{
    waiting.listeners.push_back(call.listeners.front());
    waiting.deadline = std::max(waiting.deadline, call.deadline);
    waiting.dropAt.reset();
    ++stats_.attached;
}

bool SidecarDecisions::Impl::attachToWaiting(const WaitingCall &call)
{
    if (call.request.key().empty() || !init_.overload.attachRepeats) {
        return false;
    }
    for (auto &waiting : queue_.calls()) {
        const bool sameKey = !waiting.atMostOnce && waiting.request.key() == call.request.key();
        if (sameKey && waiting.fingerprint == call.fingerprint) {
            joinWaiting(waiting, call);
            return true;
        }
    }
    return false;
}

Duration SidecarDecisions::Impl::queueDelay(CallClass callClass, TimePoint now) const
{
    if (executions_.running() < init_.batchLimit) {
        return Duration(0);
    }
    const auto ahead = std::ranges::count_if(queue_.calls(), [&](const WaitingCall &call) {
        return mayStart(call) && promotedClass(call, starvationBound, now) <= static_cast<int>(callClass);
    });
    return serviceTime_.at(now) * (ahead + 1) / std::max<std::int64_t>(init_.batchLimit, 1);
}

/// Expected wait for the load of an absent adapter. Loads are granted about in the order in which their calls came,
/// so that the longest wait of now is what a new call has before it.
Duration SidecarDecisions::Impl::loadDelay(TimePoint now) const
{
    TimePoint oldest = now;
    for (const auto &call : queue_.calls()) {
        const bool waitsForLoad = call.record != nullptr && call.record->state == ResidencyState::Absent;
        oldest = waitsForLoad ? std::min(oldest, call.arrived) : oldest;
    }
    return std::max(loadTime_.recentAt(now, loadMemory), now - oldest);
}

/// A call that waits for its adapter and can no longer be answered in time is turned away now: its load would go to
/// nobody, while calls behind it still have time (after a pulse of overload all loads would come just too late).
bool SidecarDecisions::Impl::hopeless(const WaitingCall &call, TimePoint now) const
{
    constexpr int serviceTimes = 2; // covers most calls that are longer than the mean
    constexpr int deadlineParts = 4; // a mean over long calls must not turn short ones away
    const bool waitsForLoad = call.record != nullptr && call.record->state == ResidencyState::Absent;
    if (!waitsForLoad || !init_.overload.refuseUnreachable) {
        return false;
    }
    const Duration service =
        std::min(serviceTimes * serviceTime_.at(now), (call.deadline - call.arrived) / deadlineParts);
    return now + loadTime_.recentAt(now, loadMemory) + service > call.deadline;
}

Duration SidecarDecisions::Impl::retryAfterQueue(TimePoint now)
{
    // Spread out, so that callers who were refused together do not come back together.
    const Duration delay = std::clamp(queueDelay(CallClass::Bulk, now), shortestRetry, longestRetry);
    return delay + random_.jitter(delay);
}

bool SidecarDecisions::Impl::isOpen(const AttemptKey &attempt) const
{
    const auto listens = [&](const auto &call) {
        return std::ranges::find(call.listeners, attempt, &Listener::attempt) != call.listeners.end();
    };
    return std::ranges::any_of(queue_.calls(), listens)
           || std::ranges::any_of(executions_.all(), [&](const auto &entry) { return listens(entry.second); })
           || std::ranges::any_of(held_,
                                  [&](const HeldCall &held) { return AttemptKey::of(held.request.id()) == attempt; });
}

void SidecarDecisions::Impl::refuse(const Listener &listener, const RefusalDetail &detail)
{
    stats_.refusals.add(detail.reason);
    ended_.add(listener.attempt);
    wire::Envelope message;
    auto &refused = *message.mutable_call_refused();
    *refused.mutable_id() = listener.attempt.message();
    refused.set_reason(static_cast<std::uint32_t>(detail.reason));
    refused.set_proved_not_run(detail.provedNotRun);
    refused.set_retry_after_us(static_cast<std::uint64_t>(detail.retryAfter.count()));
    refused.set_config_revision(revision());
    refused.set_slot_fence(detail.slotFence);
    send(listener.peer, std::move(message));
}

void SidecarDecisions::Impl::refuseAll(const WaitingCall &call, const RefusalDetail &detail)
{
    for (const auto &listener : call.listeners) {
        refuse(listener, detail);
    }
}

} // namespace anvilscale

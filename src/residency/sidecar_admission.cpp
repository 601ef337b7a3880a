// Admission of calls. A refused call has not reached the endpoint, so each refusal proves that this attempt did not
// run.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr Duration minRetryDelay = Milliseconds(200);
constexpr Duration maxRetryDelay = Seconds(30);
constexpr Duration recoveryRetryDelay = Seconds(1);
constexpr Duration endpointRetryDelay = Seconds(2);
// Maximum age of a load time that may refuse calls. Prevents one slow load from refusing all calls on absent adapters
// indefinitely, since no further load would update the estimate.
constexpr Duration maxLoadTimeAge = Seconds(10);

Duration retryDelayUntil(TimePoint at, TimePoint now)
{
    return std::clamp(at - now, minRetryDelay, maxRetryDelay);
}

} // namespace

std::uint64_t computeFingerprint(const wire::CallRequest &request)
{
    std::uint64_t hash = hash64(request.method());
    hash = hash64(request.path(), hash);
    hash = hash64(request.adapter(), hash);
    hash = hash64(request.version(), hash);
    return hash64(request.body(), hash);
}

void SidecarDecisions::Impl::onCall(PeerHandle from, const wire::CallRequest &request, Now now)
{
    const auto attempt = AttemptKey::fromWire(request.id());
    if (init_.safeguards.duplicateFilter && (isOpen(attempt) || endedAttempts_.contains(attempt))) {
        ++stats_.droppedMessages;
        return;
    }
    admit(from, request, now.mono, now);
}

void SidecarDecisions::Impl::admit(PeerHandle from, const wire::CallRequest &request, TimePoint arrivedAt, Now now)
{
    const Listener listener{from, AttemptKey::fromWire(request.id()), request.credit_bytes()};
    if (auto refusal = validateRequest(request)) {
        refusal->provedNotRun = provesNotRun(request, now);
        return refuse(listener, *refusal);
    }
    if (const auto view = findService(request); view && !view->idempotent && !isBehind(request)) {
        return admitAtMostOnce(makeCall(from, request, arrivedAt), *view, now);
    }
    const auto stateRefusal = checkState(now.mono);
    if (stateRefusal && !isLeaving_) {
        return refuse(listener, *stateRefusal);
    }
    if (isBehind(request) && !isLeaving_) {
        return holdCall(from, request, arrivedAt, now);
    }
    if (const auto refusal = checkVersion(request)) {
        return refuse(listener, *refusal);
    }
    WaitingCall call = makeCall(from, request, arrivedAt);
    // A repeat of a running call causes no new work, so it is also accepted while leaving.
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
    if (const auto refusal = checkCapacity(call, now.mono)) {
        return refuse(listener, *refusal);
    }
    enqueue(std::move(call), now);
}

void SidecarDecisions::Impl::enqueue(WaitingCall call, Now now)
{
    if (!call.adapterVersion.empty()) {
        auto &record = adapters_.add(call.adapterVersion);
        record.demand.add(now.mono, evictionRules_.demandTimeConstant);
        record.isUrgent = call.callClass == CallClass::Urgent;
        record.lastUsed = now.mono;
        record.isSuperseded = false;
        if (record.route != call.request.route()) {
            record.route = call.request.route();
            planPrefetch();
        }
        ++record.waiting;
        call.record = &record;
        call.hasWaitedForAdapter = record.state != ResidencyState::Resident;
        markChanged(call.adapterVersion, call.hasWaitedForAdapter && record.waiting == 1);
    }
    call.execution = ExecutionHandle{++lastExecution_};
    queue_.push(std::move(call));
}

std::optional<RefusalDetail> SidecarDecisions::Impl::validateRequest(const wire::CallRequest &request) const
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
    const bool isKnown = std::ranges::find(init_.services, request.service()) != init_.services.end();
    return isKnown ? std::nullopt : std::optional(RefusalDetail{RefusalReason::UnknownService});
}

std::optional<RefusalDetail> SidecarDecisions::Impl::checkState(TimePoint now)
{
    if (isLeaving_) {
        return RefusalDetail{RefusalReason::Leaving};
    }
    if (!isEndpointUp_) {
        return RefusalDetail{RefusalReason::EndpointDown, true, random_.jitter(endpointRetryDelay)};
    }
    if (!recovery_.isDone()) {
        const auto waitDeadline = recovery_.waitDeadline();
        const Duration retryAfter =
            waitDeadline ? retryDelayUntil(*waitDeadline, now) : random_.jitter(recoveryRetryDelay);
        return RefusalDetail{RefusalReason::Recovering, true, retryAfter};
    }
    // After a pause, calls may be read before the notification that the endpoint is leaving. Prevents them from
    // reaching a leaving endpoint: they are refused for the suspect timeout, in which the VM list is read again.
    if (now < catchUpDeadline_) {
        return RefusalDetail{RefusalReason::Recovering, true, retryDelayUntil(catchUpDeadline_, now)};
    }
    return std::nullopt;
}

std::optional<RefusalDetail> SidecarDecisions::Impl::checkAdapter(const WaitingCall &call, TimePoint now)
{
    const auto *record = adapters_.find(call.adapterVersion);
    if (record != nullptr && record->isQuarantined && now < record->earliestLoadAt) {
        return RefusalDetail{RefusalReason::AdapterQuarantined, true, retryDelayUntil(record->earliestLoadAt, now)};
    }
    return std::nullopt;
}

std::optional<RefusalDetail> SidecarDecisions::Impl::checkCapacity(const WaitingCall &call, TimePoint now)
{
    const auto *record = adapters_.find(call.adapterVersion);
    const bool needsLoad =
        !call.adapterVersion.empty() && (record == nullptr || record->state != ResidencyState::Resident);
    const Duration wait = std::max(queueDelay(call.callClass, now), needsLoad ? loadDelay(now) : Duration(0));
    const bool isUnreachable =
        init_.overload.refuseUnreachable && wait > Duration(0) && now + wait + serviceTime_.at(now) > call.deadline;
    if (isUnreachable) {
        return RefusalDetail{RefusalReason::DeadlineUnreachable, true, queueRetryDelay(now)};
    }
    if (queue_.size() >= policy().queueLimit && !displaceLowerClass(call, now)) {
        return RefusalDetail{RefusalReason::QueueFull, true, queueRetryDelay(now)};
    }
    return std::nullopt;
}

bool SidecarDecisions::Impl::displaceLowerClass(const WaitingCall &call, TimePoint now)
{
    const auto isLowerClass = [&](const WaitingCall &other) { return other.callClass > call.callClass; };
    const FairShare share(executions_, init_.batchLimit);
    const auto isOverShare = [&](const WaitingCall &other) { return share.exceedsShare(other.caller); };
    const auto it = std::visit(
        [&](const auto &order) { return queue_.findLast(order, now, isLowerClass, isOverShare); }, queueOrder_);
    if (it == queue_.calls().end()) {
        return false;
    }
    refuseAll(*it, {RefusalReason::QueueFull, true, queueRetryDelay(now)});
    removeWaiting(it);
    return true;
}

WaitingCall SidecarDecisions::Impl::makeCall(PeerHandle from, const wire::CallRequest &request,
                                             TimePoint arrivedAt) const
{
    WaitingCall call;
    call.request = request;
    call.listeners.push_back({from, AttemptKey::fromWire(request.id()), request.credit_bytes()});
    call.adapterVersion = {request.adapter(), request.version()};
    call.callClass = fromWire(request.call_class(), CallClass::Normal);
    call.arrivedAt = arrivedAt;
    // Prevents an overflow when a budget from the wire is added to a time.
    constexpr std::uint64_t maxBudgetUs = 86'400'000'000ULL;
    call.deadline = arrivedAt + Duration(std::min(request.budget_us(), maxBudgetUs));
    call.fingerprint = computeFingerprint(request);
    call.caller = hash64(request.caller());
    return call;
}

bool SidecarDecisions::Impl::attachToRunning(const WaitingCall &call)
{
    if (call.request.key().empty() || !init_.overload.attachRepeats) {
        return false;
    }
    auto *execution = executions_.findAttachable(call.request.key(), call.fingerprint);
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
        AttachListener{execution.handle, listener.peer, listener.attempt.toWire(), listener.creditBytes});
}

void SidecarDecisions::Impl::addWaitingListener(WaitingCall &waiting, const WaitingCall &call)
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
        const bool hasSameKey = !waiting.isAtMostOnce && waiting.request.key() == call.request.key();
        if (hasSameKey && waiting.fingerprint == call.fingerprint) {
            addWaitingListener(waiting, call);
            return true;
        }
    }
    return false;
}

Duration SidecarDecisions::Impl::queueDelay(CallClass callClass, TimePoint now) const
{
    if (executions_.runningCount() < init_.batchLimit) {
        return Duration(0);
    }
    const auto callsAhead = std::ranges::count_if(queue_.calls(), [&](const WaitingCall &call) {
        return mayStart(call) && promotedClass(call, starvationBound, now) <= static_cast<int>(callClass);
    });
    return serviceTime_.at(now) * (callsAhead + 1) / std::max<std::int64_t>(init_.batchLimit, 1);
}

/// Expected wait for the load of an absent adapter. Loads are granted roughly in order of arrival, so a new call waits
/// at least as long as the oldest waiting call has.
Duration SidecarDecisions::Impl::loadDelay(TimePoint now) const
{
    TimePoint oldest = now;
    for (const auto &call : queue_.calls()) {
        const bool isWaitingForLoad = call.record != nullptr && call.record->state == ResidencyState::Absent;
        oldest = isWaitingForLoad ? std::min(oldest, call.arrivedAt) : oldest;
    }
    return std::max(loadTime_.recentAt(now, maxLoadTimeAge), now - oldest);
}

/// Returns true if a call that waits for its adapter can no longer be answered in time. Prevents loads for calls that
/// will time out, which would delay the loads of calls that still have time.
bool SidecarDecisions::Impl::isDeadlineUnreachable(const WaitingCall &call, TimePoint now) const
{
    constexpr int serviceTimes = 2; // covers most calls that are longer than the mean
    constexpr int budgetDivisor = 4; // prevents a mean dominated by long calls from refusing short ones
    const bool isWaitingForLoad = call.record != nullptr && call.record->state == ResidencyState::Absent;
    if (!isWaitingForLoad || !init_.overload.refuseUnreachable) {
        return false;
    }
    const Duration service =
        std::min(serviceTimes * serviceTime_.at(now), (call.deadline - call.arrivedAt) / budgetDivisor);
    return now + loadTime_.recentAt(now, maxLoadTimeAge) + service > call.deadline;
}

Duration SidecarDecisions::Impl::queueRetryDelay(TimePoint now)
{
    // Jitter prevents callers that were refused together from retrying together.
    const Duration delay = std::clamp(queueDelay(CallClass::Bulk, now), minRetryDelay, maxRetryDelay);
    return delay + random_.jitter(delay);
}

bool SidecarDecisions::Impl::isOpen(const AttemptKey &attempt) const
{
    const auto hasListener = [&](const auto &call) {
        return std::ranges::find(call.listeners, attempt, &Listener::attempt) != call.listeners.end();
    };
    return std::ranges::any_of(queue_.calls(), hasListener)
           || std::ranges::any_of(executions_.all(), [&](const auto &entry) { return hasListener(entry.second); })
           || std::ranges::any_of(
               heldCalls_, [&](const HeldCall &held) { return AttemptKey::fromWire(held.request.id()) == attempt; });
}

void SidecarDecisions::Impl::refuse(const Listener &listener, const RefusalDetail &detail)
{
    stats_.refusals.add(detail.reason);
    endedAttempts_.add(listener.attempt);
    wire::Envelope message;
    auto &refused = *message.mutable_call_refused();
    *refused.mutable_id() = listener.attempt.toWire();
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

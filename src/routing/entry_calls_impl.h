// EntryCore: admission, resolution, waiting and completion of calls. Included by entry_core.cpp only.
#pragma once

#include "entry_core.h"

#include <algorithm>

namespace anvilscale {

// Reported to callers if no better estimate exists.
constexpr Duration defaultRetryAfter = Seconds(1);
constexpr std::uint64_t defaultCreditBytes = 256U << 10U;

template<class Traits>
EntryCore<Traits>::EntryCore(EntryInit init)
    : init_(std::move(init))
    , random_(init_.seed)
{
}

template<class Traits>
EntryCall *EntryCore<Traits>::findCall(CallHandle handle)
{
    const auto position = calls_.find(handle.value);
    return position == calls_.end() ? nullptr : &position->second;
}

template<class Traits>
std::vector<CallHandle> EntryCore<Traits>::sortedCalls() const
{
    std::vector<CallHandle> handles;
    handles.reserve(calls_.size());
    for (const auto &[value, call] : calls_) {
        handles.push_back(call.handle);
    }
    std::ranges::sort(handles, std::less{}, &CallHandle::value);
    return handles;
}

template<class Traits>
RefusalReason EntryCore<Traits>::resolveRoute(EntryCall &call) const
{
    const auto route = init_.config->route(call.request.route);
    if (!route) {
        return RefusalReason::UnknownRoute;
    }
    call.target = route->target;
    call.baseModel = route->baseModel;
    call.adapterKey = route->target.hash();
    call.callClass = route->callClass;
    call.deadline = call.arrivedAt + route->deadline;
    call.isIdempotent = true;
    return RefusalReason::None;
}

template<class Traits>
RefusalReason EntryCore<Traits>::resolveService(EntryCall &call) const
{
    const auto service = init_.config->service(call.request.service);
    if (!service) {
        return RefusalReason::UnknownService;
    }
    call.callClass = service->callClass;
    call.deadline = call.arrivedAt + service->deadline;
    call.isIdempotent = service->idempotent;
    if (call.isIdempotent) {
        return RefusalReason::None;
    }
    if (call.request.key.empty()) {
        return RefusalReason::KeyMissing;
    }
    if (!parseKeyTime(call.request.key)) {
        // Every entry and sidecar refuses an invalid key, so it has never run.
        call.keyProof = KeyProof::OwnerProved;
        return RefusalReason::KeyInvalid;
    }
    call.slot = slotOf(call.request.key, service->slots);
    return RefusalReason::None;
}

template<class Traits>
RefusalReason EntryCore<Traits>::resolve(EntryCall &call, Now now) const
{
    call.revision = init_.config->revision();
    const auto refusal = call.request.service.empty() ? resolveRoute(call) : resolveService(call);
    if (call.deadline == call.arrivedAt) {
        call.deadline = call.arrivedAt + init_.config->policy().defaultDeadline;
    }
    if (call.request.deadline) {
        call.deadline = std::min(call.deadline, call.arrivedAt + *call.request.deadline);
    }
    if (refusal == RefusalReason::None && call.deadline <= now.mono) {
        return RefusalReason::DeadlinePassed;
    }
    return refusal;
}

template<class Traits>
void EntryCore<Traits>::onCall(CallHandle handle, CallerRequest request, Now now)
{
    ++stats_.calls;
    if (request.creditBytes == 0) {
        request.creditBytes = defaultCreditBytes;
    }
    const auto [position, isNew] = calls_.try_emplace(handle.value);
    if (!isNew) {
        return;
    }
    auto &call = position->second;
    stats_.openCalls = static_cast<std::uint32_t>(calls_.size());
    call.handle = handle;
    call.request = std::move(request);
    call.arrivedAt = now.mono;
    call.keyProof = call.request.key.empty() ? KeyProof::NoKey : KeyProof::NotProved;
    const auto refusal = resolve(call, now);
    if (refusal != RefusalReason::None) {
        refuse(call, refusal, Duration{});
        return;
    }
    call.deadlineTimer =
        init_.timers->subscribe(call.deadline, [this, handle](TimePoint at) { onDeadline(handle, at); });
    retryBudget_.countFirst(now.mono);
    dispatch(call, now);
}

template<class Traits>
PlacementRequest EntryCore<Traits>::makePlacementRequest(const EntryCall &call, TimePoint now) const
{
    PlacementRequest request;
    request.baseModel = call.baseModel;
    request.service = call.request.service;
    request.adapterKey = call.adapterKey;
    request.callClass = call.callClass;
    request.keyHash = call.request.key.empty() ? 0 : hash64(call.request.key);
    request.triedSidecars = call.triedSidecars;
    request.dataCentre = init_.dataCentre;
    request.region = init_.region;
    request.policy = &init_.config->policy();
    request.now = now;
    return request;
}

template<class Traits>
void EntryCore<Traits>::dispatch(EntryCall &call, Now now)
{
    if (!call.isIdempotent) {
        dispatchToOwner(call, now);
        return;
    }
    if (Traits::hasRepeatAffinity && dispatchRepeat(call, now)) {
        return;
    }
    const auto choice = placement_.choose(fleet_, makePlacementRequest(call, now.mono), random_);
    if (!choice) {
        refuse(call, RefusalReason::NoEndpoint, defaultRetryAfter);
        return;
    }
    // A call with a key may be a repeat that is queued already. Its sidecar checks the deadline.
    const bool isDeadlineChecked =
        Traits::hasDeadlineAdmission && init_.overload.refuseByDeadline && call.request.key.empty();
    const bool isTooLate = isDeadlineChecked && choice->expectedWait > call.timeLeft(now.mono);
    if (isTooLate) {
        refuse(call, RefusalReason::DeadlineUnreachable, choice->expectedWait - call.timeLeft(now.mono));
        return;
    }
    send(call, choice->sidecar, 0, now);
}

/// Sends a repeated key to the sidecar of its previous call, where it can attach to that execution. A repeat after the
/// cancel delay creates a new execution and is counted against the retry budget, which prevents repeats from sustaining
/// an overload. Returns true if the call was sent or refused.
template<class Traits>
bool EntryCore<Traits>::dispatchRepeat(EntryCall &call, Now now)
{
    const auto previousRequest = recentRequests_.find(call.request.key, now.mono);
    if (!previousRequest) {
        return false;
    }
    const auto &policy = init_.config->policy();
    const bool canAttach = now.mono < previousRequest->lastSeenAt + policy.cancelDelay;
    if (!canAttach && init_.overload.limitRepeats && !retryBudget_.take(policy.retryBudget, now.mono)) {
        refuse(call, RefusalReason::RetryBudgetSpent, defaultRetryAfter + random_.jitter(2 * policy.cancelDelay));
        return true;
    }
    if (!canAttach || !fleet_.at(previousRequest->sidecar).isRoutable()) {
        return false;
    }
    send(call, previousRequest->sidecar, 0, now);
    return true;
}

template<class Traits>
void EntryCore<Traits>::dispatchToOwner(EntryCall &call, Now now)
{
    const auto target = slots_.owner(call.request.service, call.slot);
    const auto sidecar = target ? fleet_.find(target->owner) : std::nullopt;
    const bool isReachable = sidecar && fleet_.at(*sidecar).memberState != MemberState::Gone
                             && fleet_.at(*sidecar).incarnation == target->ownerIncarnation;
    const bool acceptsWork = isReachable && (!init_.safeguards.leavingGuard || fleet_.at(*sidecar).isRoutable());
    if (!acceptsWork) {
        startWaiting(
            call,
            CallError{Verdict::OutcomeUnknown, RefusalReason::SlotUnowned, FailureReason::None, defaultRetryAfter}, 0,
            now);
        return;
    }
    send(call, *sidecar, target->fence, now);
}

template<class Traits>
void EntryCore<Traits>::startWaiting(EntryCall &call, CallError timeoutError, std::uint64_t revision, Now now)
{
    stopWaiting(call);
    call.timeoutError = timeoutError;
    call.awaitedRevision = revision;
    const auto handle = call.handle;
    const auto until = std::min(call.deadline, now.mono + init_.timing.heartbeat);
    call.waitTimer = init_.timers->subscribe(until, [this, handle](TimePoint) {
        if (auto *waitingCall = findCall(handle)) {
            refuse(*waitingCall, waitingCall->timeoutError.refusal, waitingCall->timeoutError.retryAfter);
        }
    });
}

template<class Traits>
void EntryCore<Traits>::stopWaiting(EntryCall &call)
{
    if (call.waitTimer) {
        init_.timers->cancel(call.waitTimer);
        call.waitTimer = TimerHandle{};
    }
}

template<class Traits>
void EntryCore<Traits>::resume(EntryCall &call, Now now)
{
    stopWaiting(call);
    const auto refusal = resolve(call, now);
    if (refusal != RefusalReason::None) {
        refuse(call, refusal, Duration{});
        return;
    }
    dispatch(call, now);
}

template<class Traits>
Verdict EntryCore<Traits>::computeVerdict(const EntryCall &call) const
{
    std::vector<AttemptOutcome> outcomes;
    for (const auto &attempt : call.attempts) {
        outcomes.push_back(attempt.outcome);
    }
    if (!init_.safeguards.notRunProof) {
        return call.hasDelivered ? Verdict::Failed : Verdict::NotRun;
    }
    return verdictOf(outcomes, call.keyProof);
}

template<class Traits>
void EntryCore<Traits>::refuse(EntryCall &call, RefusalReason reason, Duration retryAfter)
{
    fail(call, CallError{Verdict::OutcomeUnknown, reason, FailureReason::None, retryAfter});
}

template<class Traits>
void EntryCore<Traits>::fail(EntryCall &call, CallError error)
{
    for (auto &attempt : call.attempts) {
        if (attempt.isOpen) {
            cancel(call, attempt, false);
        }
    }
    error.verdict = computeVerdict(call);
    stats_.verdicts.add(error.verdict);
    if (error.refusal != RefusalReason::None) {
        stats_.refusals.add(error.refusal);
    }
    if (error.failure != FailureReason::None) {
        stats_.failures.add(error.failure);
    }
    error.attempts = static_cast<std::uint32_t>(call.attempts.size());
    actions_.emplace_back(FailCall{call.handle, error});
    remove(call);
}

template<class Traits>
void EntryCore<Traits>::finish(EntryCall &call, bool replayed)
{
    deliverHeldFrames(call);
    ++stats_.finishedCalls;
    actions_.emplace_back(FinishCall{call.handle, replayed});
    remove(call);
}

template<class Traits>
void EntryCore<Traits>::remove(EntryCall &call)
{
    stopWaiting(call);
    for (const auto timer : {call.deadlineTimer, call.hedgeTimer}) {
        if (timer) {
            init_.timers->cancel(timer);
        }
    }
    for (auto &attempt : call.attempts) {
        closeAttempt(attempt, attempt.outcome);
    }
    calls_.erase(call.handle.value);
    stats_.openCalls = static_cast<std::uint32_t>(calls_.size());
}

template<class Traits>
void EntryCore<Traits>::onDeadline(CallHandle handle, TimePoint now)
{
    auto *call = findCall(handle);
    if (call == nullptr) {
        return;
    }
    call->deadlineTimer = TimerHandle{};
    if (call->attempts.empty()) {
        refuse(*call, RefusalReason::DeadlinePassed, Duration{});
        return;
    }
    recentRequests_.record(call->request.key, call->attempts.back().sidecar, now);
    fail(*call, CallError{Verdict::OutcomeUnknown, RefusalReason::None, FailureReason::DeadlinePassed, Duration{}});
}

template<class Traits>
void EntryCore<Traits>::onCallerGone(CallHandle handle, FailureReason reason, Now now)
{
    auto *call = findCall(handle);
    if (call == nullptr) {
        return;
    }
    for (auto &attempt : call->attempts) {
        if (attempt.isOpen) {
            cancel(*call, attempt, true);
        }
    }
    if (!call->attempts.empty()) {
        recentRequests_.record(call->request.key, call->attempts.back().sidecar, now.mono);
    }
    stats_.failures.add(reason);
    remove(*call);
}

template<class Traits>
void EntryCore<Traits>::onConfigChanged(Now now)
{
    const auto revision = init_.config->revision();
    for (const auto handle : sortedCalls()) {
        auto *call = findCall(handle);
        const bool isWaitingForRevision = call != nullptr && call->waitTimer && call->awaitedRevision != 0;
        if (isWaitingForRevision && call->awaitedRevision <= revision) {
            resume(*call, now);
        }
    }
}

template<class Traits>
void EntryCore<Traits>::onSlotTable(const config::SlotTable &table, Now now)
{
    if (!slots_.applyTable(table)) {
        return;
    }
    for (const auto handle : sortedCalls()) {
        auto *call = findCall(handle);
        const bool isWaitingForSlot = call != nullptr && call->waitTimer && call->awaitedRevision == 0;
        if (isWaitingForSlot && call->request.service == table.service() && slots_.owner(table.service(), call->slot)) {
            resume(*call, now);
        }
    }
}

template<class Traits>
void EntryCore<Traits>::resumeForSidecar(SidecarIndex sidecar, Now now)
{
    for (const auto handle : sortedCalls()) {
        auto *call = findCall(handle);
        const bool isWaitingForSlot = call != nullptr && call->waitTimer && call->awaitedRevision == 0;
        const auto target = isWaitingForSlot ? slots_.owner(call->request.service, call->slot) : std::nullopt;
        if (target && target->owner == fleet_.at(sidecar).name) {
            resume(*call, now);
        }
    }
}

template<class Traits>
RouteExplanation EntryCore<Traits>::explain(std::string_view route, Now now) const
{
    RouteExplanation out;
    EntryCall call;
    call.request.route = std::string(route);
    call.arrivedAt = now.mono;
    out.refusal = resolve(call, now);
    out.revision = call.revision;
    if (out.refusal != RefusalReason::None) {
        return out;
    }
    out.isKnown = true;
    out.target = call.target;
    for (const auto index : fleet_.holders(call.adapterKey)) {
        const auto &view = fleet_.at(index);
        const bool isResident = view.adapters.at(call.adapterKey).state == ResidencyState::Resident;
        (isResident ? out.resident : out.loading).push_back(view.name);
    }
    auto random = random_;
    const auto choice = placement_.choose(fleet_, makePlacementRequest(call, now.mono), random);
    if (choice) {
        out.chosenSidecar = fleet_.at(choice->sidecar).name;
    } else {
        out.refusal = RefusalReason::NoEndpoint;
    }
    return out;
}

} // namespace anvilscale

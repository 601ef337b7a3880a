// Calls that wait or run: start, end, cancel, expiry.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

/// Whether the endpoint has certainly stopped working on the call.
bool isConfirmedEnd(const KeptAnswer &answer)
{
    if (answer.outcome == CallOutcome::Complete || answer.outcome == CallOutcome::Cancelled) {
        return true;
    }
    if (answer.failure == FailureReason::AnswerIncomplete) {
        return true; // read to its end, but too long to be kept for a repeat
    }
    const bool saidSo = answer.failure == FailureReason::EndpointError;
    const bool neverSent = answer.failure == FailureReason::EndpointUnreachable;
    return answer.outcome == CallOutcome::Failed && (saidSo || neverSent);
}

} // namespace

void SidecarDecisions::Impl::startCalls(Now now)
{
    if (!admitting()) {
        return;
    }
    while (executions_.running() < init_.batchLimit) {
        const FairShare share(executions_, init_.batchLimit);
        const auto overShare = [&](const WaitingCall &call) { return share.isOver(call.caller); };
        const auto place = std::visit(
            [&](const auto &order) { return queue_.best(order, now.mono, mayStart, overShare); }, queueOrder_);
        if (place == queue_.calls().end()) {
            return;
        }
        startCall(place, now);
    }
}

bool SidecarDecisions::Impl::mayStart(const WaitingCall &call)
{
    if (call.listeners.empty()) {
        return false;
    }
    return call.record == nullptr || (call.record->state == ResidencyState::Resident && !call.record->yielding);
}

void SidecarDecisions::Impl::startCall(CallQueue::Place place, Now now)
{
    if (!mayStillRun(*place, now)) {
        refuseAll(*place, {RefusalReason::NotSlotOwner});
        return dropWaiting(place);
    }
    WaitingCall call = queue_.take(place);
    Execution execution;
    execution.handle = call.execution;
    execution.which = call.which;
    execution.service = call.request.service();
    execution.key = call.request.key();
    execution.fingerprint = call.fingerprint;
    execution.caller = call.caller;
    execution.listeners = call.listeners;
    execution.started = now.mono;
    execution.deadline = call.deadline;
    execution.atMostOnce = call.atMostOnce;
    if (auto *record = call.record) {
        --record->waiting;
        // The pin comes before the call is sent: in the other order an eviction could be decided between the two, and
        // the engine would drop the adapter under the call.
        execution.pinned = init_.safeguards.pinBeforeSend && adapters_.pin(*record, now.mono);
        markChanged(call.which, false);
    }
    countStall(call, call.request, now.mono);
    const auto &first = call.listeners.front();
    *call.request.mutable_id() = first.attempt.message();
    call.request.set_credit_bytes(first.creditBytes);
    call.request.set_budget_us(static_cast<std::uint64_t>(std::max(call.deadline - now.mono, Duration(1)).count()));
    ++stats_.executions;
    const auto handle = execution.handle;
    const bool keepAnswer = execution.atMostOnce;
    executions_.add(std::move(execution));
    actions_.emplace_back(
        StartExecution{handle, first.peer, std::move(call.request), keepAnswer, now.mono + sendLimit});
    for (std::size_t i = 1; i < call.listeners.size(); ++i) {
        const auto &listener = call.listeners[i];
        actions_.emplace_back(AttachListener{handle, listener.peer, listener.attempt.message(), listener.creditBytes});
    }
}

void SidecarDecisions::Impl::countStall(const WaitingCall &call, wire::CallRequest &request, TimePoint now)
{
    const auto *record = call.record;
    if (record == nullptr || !call.waitedForAdapter) {
        return;
    }
    const Duration stall = std::clamp(record->residentSince - call.arrived, Duration(0), now - call.arrived);
    request.set_stall_us(static_cast<std::uint64_t>(stall.count()));
    ++stats_.stalledCalls;
    stats_.stallTotal += stall;
}

void SidecarDecisions::Impl::onExecutionStarted(ExecutionHandle handle, Now now)
{
    auto *execution = executions_.find(handle);
    if (execution == nullptr || execution->pinned || execution->obsolete) {
        return;
    }
    if (auto *record = adapters_.find(execution->which)) {
        execution->pinned = adapters_.pin(*record, now.mono);
    }
}

void SidecarDecisions::Impl::onExecutionEnded(ExecutionHandle handle, KeptAnswer &&answer, Now now)
{
    auto *execution = executions_.find(handle);
    if (execution == nullptr) {
        return;
    }
    if (answer.outcome == CallOutcome::Complete && !execution->obsolete) {
        serviceTime_.add(now.mono - execution->started, now.mono);
    }
    releasePin(*execution, answer, now);
    for (const auto &listener : execution->listeners) {
        ended_.add(listener.attempt);
    }
    endKey(*execution, std::move(answer), now);
    executions_.erase(handle);
}

void SidecarDecisions::Impl::releasePin(Execution &execution, const KeptAnswer &answer, Now now)
{
    auto *record = adapters_.find(execution.which);
    if (record == nullptr || !execution.pinned) {
        return;
    }
    execution.pinned = false;
    if (isConfirmedEnd(answer)) {
        adapters_.unpin(*record);
        // The scheduler was told that no slot can be freed; it should not learn only at the interval that one can.
        markChanged(execution.which, blockedTold_ && !record->mayRun());
        return;
    }
    markChanged(execution.which, false);
    // A broken connection or a timeout is not an end: the engine may go on with the call for a while. The adapter
    // stays protected until the engine's own list, made later, shows none running.
    adapters_.pinToLingering(*record, orders_.lastNumber(), now.mono);
}

void SidecarDecisions::Impl::onCancel(const wire::CallCancel &cancel, Now now)
{
    const auto attempt = AttemptKey::of(cancel.id());
    std::erase_if(held_, [&](const HeldCall &held) { return AttemptKey::of(held.request.id()) == attempt; });
    leaveWaiting(attempt, now);
    leaveRunning(attempt, now);
    // Also for an attempt that is not known: a cancel which overtook its call must still keep it from running.
    if (!ended_.has(attempt)) {
        ended_.add(attempt);
    }
}

void SidecarDecisions::Impl::leaveWaiting(const AttemptKey &attempt, Now now)
{
    for (auto place = queue_.calls().begin(); place != queue_.calls().end(); ++place) {
        if (std::erase_if(place->listeners, [&](const auto &listener) { return listener.attempt == attempt; }) == 0) {
            continue;
        }
        ended_.add(attempt);
        if (!place->listeners.empty()) {
            return;
        }
        // A caller that timed out often comes back within seconds. Its place in the queue is kept for that long;
        // a repeat that joined at the back would wait out its deadline again (Zhang and Wang).
        if (place->request.key().empty() || policy().cancelDelay <= Duration(0)) {
            dropWaiting(place);
        } else {
            place->dropAt = now.mono + policy().cancelDelay;
            queue_.noteDue(*place->dropAt);
        }
        return;
    }
}

void SidecarDecisions::Impl::leaveRunning(const AttemptKey &attempt, Now now)
{
    for (auto &[handle, execution] : executions_.all()) {
        if (std::erase_if(execution.listeners, [&](const auto &listener) { return listener.attempt == attempt; })
            == 0) {
            continue;
        }
        ended_.add(attempt);
        actions_.emplace_back(DetachListener{handle, attempt.message()});
        if (execution.listeners.empty()) {
            abandon(execution, now.mono);
        }
        return;
    }
}

void SidecarDecisions::Impl::abandon(Execution &execution, TimePoint now)
{
    // A call that must run at most once is left to end by itself: cancelling it would leave its outcome unknown for
    // ever, while its kept answer serves the caller's repeat.
    if (execution.atMostOnce || execution.cancelling) {
        return;
    }
    if (execution.key.empty() || policy().cancelDelay <= Duration(0)) {
        return cancel(execution, FailureReason::CallerGone);
    }
    execution.cancelAt = now + policy().cancelDelay;
}

void SidecarDecisions::Impl::cancel(Execution &execution, FailureReason why)
{
    execution.cancelling = true;
    execution.cancelAt.reset();
    actions_.emplace_back(CancelExecution{execution.handle, why});
}

void SidecarDecisions::Impl::onCredit(const wire::CallCredit &credit)
{
    const auto attempt = AttemptKey::of(credit.id());
    for (auto &call : queue_.calls()) {
        for (auto &listener : call.listeners) {
            listener.creditBytes += listener.attempt == attempt ? credit.bytes() : 0;
        }
    }
}

void SidecarDecisions::Impl::expireCalls(Now now)
{
    expireHeld(now);
    const bool checkLoads = demandSince_ && nextHopelessCheck_ <= now.mono;
    if (checkLoads || queue_.next().value_or(TimePoint::max()) <= now.mono) {
        nextHopelessCheck_ = now.mono + hopelessEvery;
        expireWaiting(now);
    }
    for (auto &[handle, execution] : executions_.all()) {
        if (execution.cancelling || execution.atMostOnce) {
            continue;
        }
        if (execution.cancelAt && *execution.cancelAt <= now.mono) {
            cancel(execution, FailureReason::CallerGone);
        } else if (execution.deadline + policy().cancelDelay <= now.mono) {
            // Its entry should have cancelled it; an entry that died or hangs must not hold a place in the batch.
            cancel(execution, FailureReason::DeadlinePassed);
        }
    }
}

void SidecarDecisions::Impl::expireWaiting(Now now)
{
    for (auto place = queue_.calls().begin(); place != queue_.calls().end();) {
        const auto current = place++;
        const bool passed = current->deadline <= now.mono;
        const bool expired = passed || hopeless(*current, now.mono);
        if (passed) {
            refuseAll(*current, {RefusalReason::DeadlinePassed});
        } else if (expired) {
            refuseAll(*current, {RefusalReason::DeadlineUnreachable, true, retryAfterQueue(now.mono)});
        }
        if (expired || (current->dropAt && *current->dropAt <= now.mono)) {
            dropWaiting(current);
        }
    }
    queue_.refreshNext();
}

void SidecarDecisions::Impl::dropWaiting(CallQueue::Place place)
{
    const WaitingCall call = queue_.take(place);
    if (call.atMostOnce) {
        releaseKey(call.request.service(), call.request.key());
    }
    if (call.record != nullptr) {
        --call.record->waiting;
        markChanged(call.which, false);
    }
}

} // namespace anvilscale

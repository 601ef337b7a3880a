// Start, end, cancel and expiry of waiting and running calls.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

/// Returns true if the endpoint has certainly stopped working on the call.
bool hasEndpointFinished(const CachedAnswer &answer)
{
    if (answer.outcome == CallOutcome::Complete || answer.outcome == CallOutcome::Cancelled) {
        return true;
    }
    if (answer.failure == FailureReason::AnswerIncomplete) {
        return true; // read completely, but too long to be kept for a repeat
    }
    const bool isReportedByEndpoint = answer.failure == FailureReason::EndpointError;
    const bool isNeverSent = answer.failure == FailureReason::EndpointUnreachable;
    return answer.outcome == CallOutcome::Failed && (isReportedByEndpoint || isNeverSent);
}

} // namespace

void SidecarDecisions::Impl::startCalls(Now now)
{
    if (!isAdmitting()) {
        return;
    }
    while (executions_.runningCount() < init_.batchLimit) {
        const FairShare share(executions_, init_.batchLimit);
        const auto isOverShare = [&](const WaitingCall &call) { return share.exceedsShare(call.caller); };
        const auto it = std::visit(
            [&](const auto &order) { return queue_.findFirst(order, now.mono, mayStart, isOverShare); }, queueOrder_);
        if (it == queue_.calls().end()) {
            return;
        }
        startCall(it, now);
    }
}

bool SidecarDecisions::Impl::mayStart(const WaitingCall &call)
{
    if (call.listeners.empty()) {
        return false;
    }
    return call.record == nullptr || (call.record->state == ResidencyState::Resident && !call.record->isYielding);
}

void SidecarDecisions::Impl::startCall(CallQueue::Iterator it, Now now)
{
    if (!stillOwnsSlot(*it, now)) {
        refuseAll(*it, {RefusalReason::NotSlotOwner});
        return removeWaiting(it);
    }
    WaitingCall call = queue_.remove(it);
    Execution execution;
    execution.handle = call.execution;
    execution.adapterVersion = call.adapterVersion;
    execution.service = call.request.service();
    execution.key = call.request.key();
    execution.fingerprint = call.fingerprint;
    execution.caller = call.caller;
    execution.listeners = call.listeners;
    execution.startedAt = now.mono;
    execution.deadline = call.deadline;
    execution.isAtMostOnce = call.isAtMostOnce;
    if (auto *record = call.record) {
        --record->waiting;
        // Pinning before the send prevents an eviction between the two, which would unload the adapter under the call.
        execution.isPinned = init_.safeguards.pinBeforeSend && adapters_.pin(*record, now.mono);
        markChanged(call.adapterVersion, false);
    }
    recordStall(call, call.request, now.mono);
    const auto &first = call.listeners.front();
    *call.request.mutable_id() = first.attempt.toWire();
    call.request.set_credit_bytes(first.creditBytes);
    call.request.set_budget_us(static_cast<std::uint64_t>(std::max(call.deadline - now.mono, Duration(1)).count()));
    ++stats_.executions;
    const auto handle = execution.handle;
    const bool keepAnswer = execution.isAtMostOnce;
    executions_.add(std::move(execution));
    actions_.emplace_back(
        StartExecution{handle, first.peer, std::move(call.request), keepAnswer, now.mono + maxSendDelay});
    for (std::size_t i = 1; i < call.listeners.size(); ++i) {
        const auto &listener = call.listeners[i];
        actions_.emplace_back(AttachListener{handle, listener.peer, listener.attempt.toWire(), listener.creditBytes});
    }
}

void SidecarDecisions::Impl::recordStall(const WaitingCall &call, wire::CallRequest &request, TimePoint now)
{
    const auto *record = call.record;
    if (record == nullptr || !call.hasWaitedForAdapter) {
        return;
    }
    const Duration stall = std::clamp(record->residentSince - call.arrivedAt, Duration(0), now - call.arrivedAt);
    request.set_stall_us(static_cast<std::uint64_t>(stall.count()));
    ++stats_.stalledCalls;
    stats_.stallTotal += stall;
}

void SidecarDecisions::Impl::onExecutionStarted(ExecutionHandle handle, Now now)
{
    auto *execution = executions_.find(handle);
    if (execution == nullptr || execution->isPinned || execution->isObsolete) {
        return;
    }
    if (auto *record = adapters_.find(execution->adapterVersion)) {
        execution->isPinned = adapters_.pin(*record, now.mono);
    }
}

void SidecarDecisions::Impl::onExecutionEnded(ExecutionHandle handle, CachedAnswer &&answer, Now now)
{
    auto *execution = executions_.find(handle);
    if (execution == nullptr) {
        return;
    }
    if (answer.outcome == CallOutcome::Complete && !execution->isObsolete) {
        serviceTime_.add(now.mono - execution->startedAt, now.mono);
    }
    releasePin(*execution, answer, now);
    for (const auto &listener : execution->listeners) {
        endedAttempts_.add(listener.attempt);
    }
    finishKey(*execution, std::move(answer), now);
    executions_.erase(handle);
}

void SidecarDecisions::Impl::releasePin(Execution &execution, const CachedAnswer &answer, Now now)
{
    auto *record = adapters_.find(execution.adapterVersion);
    if (record == nullptr || !execution.isPinned) {
        return;
    }
    execution.isPinned = false;
    if (hasEndpointFinished(answer)) {
        adapters_.unpin(*record);
        // If the last demands reported that no slot can be freed, the scheduler is notified at once that one now can.
        markChanged(execution.adapterVersion, hasSentBlockedDemand_ && !record->mayHaveRunningCalls());
        return;
    }
    markChanged(execution.adapterVersion, false);
    // After a broken connection or a timeout the engine may continue with the call. The adapter stays protected until a
    // later list of the engine shows no running call.
    adapters_.convertPinToOrphan(*record, orders_.lastNumber(), now.mono);
}

void SidecarDecisions::Impl::onCancel(const wire::CallCancel &cancel, Now now)
{
    const auto attempt = AttemptKey::fromWire(cancel.id());
    std::erase_if(heldCalls_, [&](const HeldCall &held) { return AttemptKey::fromWire(held.request.id()) == attempt; });
    detachFromWaiting(attempt, now);
    detachFromRunning(attempt, now);
    // Also for an unknown attempt: prevents a call from running if its cancel arrives first.
    if (!endedAttempts_.contains(attempt)) {
        endedAttempts_.add(attempt);
    }
}

void SidecarDecisions::Impl::detachFromWaiting(const AttemptKey &attempt, Now now)
{
    for (auto it = queue_.calls().begin(); it != queue_.calls().end(); ++it) {
        if (std::erase_if(it->listeners, [&](const auto &listener) { return listener.attempt == attempt; }) == 0) {
            continue;
        }
        endedAttempts_.add(attempt);
        if (!it->listeners.empty()) {
            return;
        }
        // A caller that timed out often retries within seconds. Keeping its queue position prevents the repeat from
        // timing out again at the back of the queue (Zhang and Wang).
        if (it->request.key().empty() || policy().cancelDelay <= Duration(0)) {
            removeWaiting(it);
        } else {
            it->dropAt = now.mono + policy().cancelDelay;
            queue_.scheduleCheck(*it->dropAt);
        }
        return;
    }
}

void SidecarDecisions::Impl::detachFromRunning(const AttemptKey &attempt, Now now)
{
    for (auto &[handle, execution] : executions_.all()) {
        if (std::erase_if(execution.listeners, [&](const auto &listener) { return listener.attempt == attempt; })
            == 0) {
            continue;
        }
        endedAttempts_.add(attempt);
        actions_.emplace_back(DetachListener{handle, attempt.toWire()});
        if (execution.listeners.empty()) {
            scheduleCancel(execution, now.mono);
        }
        return;
    }
}

void SidecarDecisions::Impl::scheduleCancel(Execution &execution, TimePoint now)
{
    // At-most-once calls are not cancelled: that would leave the outcome unknown, whereas the kept answer serves the
    // caller's repeat.
    if (execution.isAtMostOnce || execution.isCancelling) {
        return;
    }
    if (execution.key.empty() || policy().cancelDelay <= Duration(0)) {
        return cancel(execution, FailureReason::CallerGone);
    }
    execution.cancelAt = now + policy().cancelDelay;
}

void SidecarDecisions::Impl::cancel(Execution &execution, FailureReason reason)
{
    execution.isCancelling = true;
    execution.cancelAt.reset();
    actions_.emplace_back(CancelExecution{execution.handle, reason});
}

void SidecarDecisions::Impl::onCredit(const wire::CallCredit &credit)
{
    const auto attempt = AttemptKey::fromWire(credit.id());
    for (auto &call : queue_.calls()) {
        for (auto &listener : call.listeners) {
            listener.creditBytes += listener.attempt == attempt ? credit.bytes() : 0;
        }
    }
}

void SidecarDecisions::Impl::expireCalls(Now now)
{
    expireHeldCalls(now);
    const bool isLoadCheckDue = demandSince_ && nextDeadlineCheckAt_ <= now.mono;
    if (isLoadCheckDue || queue_.nextCheckAt().value_or(TimePoint::max()) <= now.mono) {
        nextDeadlineCheckAt_ = now.mono + deadlineCheckInterval;
        expireWaiting(now);
    }
    for (auto &[handle, execution] : executions_.all()) {
        if (execution.isCancelling || execution.isAtMostOnce) {
            continue;
        }
        if (execution.cancelAt && *execution.cancelAt <= now.mono) {
            cancel(execution, FailureReason::CallerGone);
        } else if (execution.deadline + policy().cancelDelay <= now.mono) {
            // Prevents a crashed or hung entry from blocking a slot of the batch; normally the entry cancels the call.
            cancel(execution, FailureReason::DeadlinePassed);
        }
    }
}

void SidecarDecisions::Impl::expireWaiting(Now now)
{
    for (auto it = queue_.calls().begin(); it != queue_.calls().end();) {
        const auto current = it++;
        const bool isPastDeadline = current->deadline <= now.mono;
        const bool isExpired = isPastDeadline || isDeadlineUnreachable(*current, now.mono);
        if (isPastDeadline) {
            refuseAll(*current, {RefusalReason::DeadlinePassed});
        } else if (isExpired) {
            refuseAll(*current, {RefusalReason::DeadlineUnreachable, true, queueRetryDelay(now.mono)});
        }
        if (isExpired || (current->dropAt && *current->dropAt <= now.mono)) {
            removeWaiting(current);
        }
    }
    queue_.recomputeNextCheck();
}

void SidecarDecisions::Impl::removeWaiting(CallQueue::Iterator it)
{
    const WaitingCall call = queue_.remove(it);
    if (call.isAtMostOnce) {
        releaseKey(call.request.service(), call.request.key());
    }
    if (call.record != nullptr) {
        --call.record->waiting;
        markChanged(call.adapterVersion, false);
    }
}

} // namespace anvilscale

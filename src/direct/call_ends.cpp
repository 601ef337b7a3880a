// Ends of attempts and of calls: retry, answer, refusal or abandonment.
#include "direct_calls_impl.h"

#include <algorithm>
#include <array>

namespace anvilscale {

namespace {

// A call sent with less time left would be cut off before its first byte.
constexpr Duration minTimeToSend = Milliseconds(30);
// Upper bound: estimates beyond it do not predict when capacity is available.
constexpr Duration maxRetryAfter = Seconds(2);

/// True for a status by which a caller takes the call for one that has not run and may send it again.
bool promisesNotRun(std::uint32_t status)
{
    constexpr std::array promises{408U, 421U, 429U, 503U};
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

} // namespace

void DirectCalls::onAttemptEnded(CallHandle handle, std::uint32_t attempt, const AttemptResult &result, TimePoint now)
{
    auto &impl = *impl_;
    const auto found = impl.calls.find(handle);
    if (found == impl.calls.end()) {
        return;
    }
    auto &call = found->second;
    // The answer of an earlier attempt may end while the call leaves its engine: the caller has it whole.
    const bool isAnsweredBefore = result.end == AttemptEnd::Answered && attempt < call.attempt;
    if (!isAnsweredBefore && (call.attempt != attempt || call.step != CallStep::Sent)) {
        return;
    }
    impl.stats.ends.add(result.end);
    call.longestPause = result.longestPause;
    call.framing = result.framing;
    call.isTruncated = result.isTruncated;
    call.eventIds = result.eventIds;
    call.lastEvent = result.lastEvent;
    if (result.isForwardedStream) {
        impl.stats.eventIds.add(result.eventIds);
    }
    if (result.end != AttemptEnd::Answered) {
        const auto answeredFor = call.hasFirstByte ? std::optional(now - call.firstByteAt) : std::nullopt;
        impl.failedAttempts.push_back({call.info.requestId, call.info.fingerprint, call.parts, attempt, call.endpointId,
                                       result, now - call.stepStartedAt, answeredFor});
    }
    const bool failed = result.end == AttemptEnd::Unreachable || result.end == AttemptEnd::Broken;
    impl.detachFromEndpoint(handle, call, failed, now);
    impl.returnUsedSlot(call, result, now);
    call.step = CallStep::Waiting; // at no endpoint until the next decision
    switch (result.end) {
    case AttemptEnd::Answered:
        impl.quarantine.onAnswered(call.info.fingerprint);
        impl.recordRun(call, now);
        impl.finishCall(handle, EndedOutcome::Answered, "", result.status, now);
        return;
    case AttemptEnd::Refused:
        impl.stats.endpointRefusals.add(result.refusal);
        impl.onRefused(handle, call, result.refusal, now);
        return;
    case AttemptEnd::Unreachable:
        call.excludedIds.insert(call.endpointId);
        impl.stats.retries.add(RetryReason::SidecarLost);
        impl.routeCall(handle, call, now);
        return;
    case AttemptEnd::OwnFailure:
        impl.crashWatch.onFailed(handle);
        ++call.executionCount;
        call.excludedIds.insert(call.endpointId);
        if (call.isRepeatable() && call.executionCount < call.maxEndpoints && impl.mayRetry(call, now)) {
            impl.stats.retries.add(RetryReason::EngineFailed);
            impl.routeCall(handle, call, now);
            return;
        }
        // The endpoint does not say that it has not run the call. The caller would send it again.
        if (!call.isRepeatable() && promisesNotRun(result.status)) {
            impl.abandon(handle, FailureReason::EndpointError, now);
            return;
        }
        impl.actions.emplace_back(ForwardAnswer{handle});
        impl.finishCall(handle, EndedOutcome::OwnFailure, toString(result.end), result.status, now);
        return;
    case AttemptEnd::Broken:
    case AttemptEnd::Count:
        break;
    }
    impl.recordBreak(call, now);
    ++call.executionCount;
    call.excludedIds.insert(call.endpointId);
    const bool again = call.isRepeatable() && !result.callerHasBytes && call.executionCount < call.maxEndpoints;
    if (again) {
        impl.retryOrRefuse(handle, call, RetryReason::BrokenAnswer, RefusalReason::RetryBudgetSpent, now);
        return;
    }
    impl.abandon(handle, FailureReason::EndpointCut, now);
}

void DirectCalls::Impl::onRefused(CallHandle handle, DirectCall &call, EndpointRefusal refusal, TimePoint now)
{
    if (refusal == EndpointRefusal::OtherIncarnation) {
        if (auto *entry = findEndpoint(call)) {
            dropEndpoint(*entry, now); // its address belongs to another incarnation
        }
        actions.emplace_back(RefreshRecords{});
    }
    if (refusal == EndpointRefusal::NotLoaded) {
        // The adapter was removed or has an older version: drops it from the known state, so that it is demanded
        // again.
        if (auto *entry = findEndpoint(call); entry != nullptr && entry->state) {
            auto &held = *entry->state->mutable_adapters();
            const auto name = call.adapterName();
            held.erase(std::remove_if(held.begin(), held.end(),
                                      [&](const auto &adapter) {
                                          return adapter.model() == name.first && adapter.adapter() == name.second;
                                      }),
                       held.end());
        }
    } else {
        call.excludedIds.insert(call.endpointId);
    }
    retryOrRefuse(handle, call, RetryReason::Refused, RefusalReason::QueueFull, now);
}

bool DirectCalls::Impl::mayRetry(const DirectCall &call, TimePoint now)
{
    return now + minTimeToSend < call.cutOffAt && retryAllowances[call.service].tryTake();
}

void DirectCalls::Impl::retryOrRefuse(CallHandle handle, DirectCall &call, RetryReason why, RefusalReason otherwise,
                                      TimePoint now)
{
    if (!mayRetry(call, now)) {
        refuseOrAbandon(handle, call, otherwise, timeUntilAvailable(call.service, now), now);
        return;
    }
    stats.retries.add(why);
    routeCall(handle, call, now);
}

bool DirectCalls::Impl::isServiceLimited(const std::string &service, TimePoint now) const
{
    return std::any_of(endpoints.entries().begin(), endpoints.entries().end(), [&](const auto &item) {
        const auto &entry = item.second;
        return entry.record.service == service && entry.isLimited() && !entry.isLeaving(now) && !entry.isSuperseded;
    });
}

Duration DirectCalls::Impl::timeUntilAvailable(const std::string &service, TimePoint now) const
{
    std::optional<TimePoint> soonest;
    for (const auto &[id, entry] : endpoints.entries()) {
        if (entry.record.service != service || entry.isLeaving(now) || entry.isSuperseded) {
            continue;
        }
        if (!entry.isPaused(now)) {
            return defaultRetryAfter;
        }
        soonest = soonest ? std::min(*soonest, entry.pauseEnd()) : entry.pauseEnd();
    }
    return soonest ? *soonest - now : defaultRetryAfter;
}

void DirectCalls::Impl::refuseOrAbandon(CallHandle handle, DirectCall &call, RefusalReason reason, Duration retryAfter,
                                        TimePoint now)
{
    if (call.executionCount != 0) {
        abandon(handle, FailureReason::EndpointCut, now);
        return;
    }
    refuse(handle, statusUnavailable, reason, retryAfter, now);
}

void DirectCalls::Impl::refuseUnreachable(CallHandle handle, DirectCall &call, Duration firstByte, TimePoint now)
{
    const auto excess = firstByte - call.objective;
    refuseOrAbandon(handle, call, RefusalReason::DeadlineUnreachable,
                    std::clamp(excess, defaultRetryAfter, maxRetryAfter), now);
}

void DirectCalls::Impl::refuse(CallHandle handle, std::uint32_t status, RefusalReason reason, Duration retryAfter,
                               TimePoint now)
{
    stats.refusals.add(reason);
    actions.emplace_back(RefuseCall{handle, status, retryAfter, reason});
    finishCall(handle, EndedOutcome::Refused, toString(reason), 0, now);
}

void DirectCalls::Impl::abandon(CallHandle handle, FailureReason reason, TimePoint now)
{
    actions.emplace_back(AbandonCall{handle, reason});
    finishCall(handle, EndedOutcome::Abandoned, toString(reason), 0, now);
}

void DirectCalls::Impl::finishCall(CallHandle handle, EndedOutcome outcome, std::string_view reason,
                                   std::uint32_t status, TimePoint now)
{
    auto node = calls.extract(handle);
    auto &call = node.mapped();
    endReading(call);
    releaseSlot(call, outcome);
    releaseCredit(handle, call, outcome, now);
    EndedCall done;
    done.requestId = call.info.requestId;
    done.fingerprint = call.info.fingerprint;
    done.parts = std::move(call.parts);
    done.outcome = outcome;
    done.reason = reason;
    done.status = status;
    done.framing = call.framing;
    done.isTruncated = call.isTruncated;
    done.eventIds = call.eventIds;
    done.lastEvent = call.lastEvent;
    done.service = call.service;
    done.workspace = call.workspace;
    done.adapter = call.info.adapter;
    done.endpointId = call.endpointId;
    done.softwareVersion = call.softwareVersion;
    done.resumed = call.info.resumed;
    done.originSource = call.originSource;
    done.storeKnownFor = versionHistory.knownFor(now);
    done.attempts = call.attempt;
    done.configVersion = config ? config->version : 0;
    done.estimate = call.estimate;
    done.stateAge = call.stateAge;
    done.storeAge = call.storeAge;
    done.allowanceWait = call.allowanceWait;
    done.adapterWait = call.adapterWait;
    done.permitWait = call.permitWait;
    done.turnWait = call.turnWait;
    done.slotWait = call.slotWait;
    done.originWait = call.originWait;
    done.confirmationWait = call.confirmationWait;
    done.confirmationAge = call.confirmationAge;
    done.firstByte = call.firstByte;
    done.longestPause = call.longestPause;
    done.promptTokens = call.info.promptTokens;
    done.total = now - call.arrivedAt;
    done.callerTimeout = call.info.callerTimeout;
    endedCalls.push_back(std::move(done));
}

void DirectCalls::onCallerGone(CallHandle handle, TimePoint now)
{
    const auto found = impl_->calls.find(handle);
    if (found == impl_->calls.end()) {
        return;
    }
    const bool failed = false;
    impl_->detachFromEndpoint(handle, found->second, failed, now);
    impl_->finishCall(handle, EndedOutcome::CallerGone, toString(FailureReason::CallerGone), 0, now);
}

} // namespace anvilscale

// Ends of attempts and of calls: retry, answer, refusal or abandonment.
#include "direct_calls_impl.h"

#include <algorithm>

namespace anvilscale {

namespace {

// A call sent with less time left would be cut off before its first byte.
constexpr Duration leastTimeToSend = Milliseconds(30);

} // namespace

void DirectCalls::attemptEnded(CallHandle handle, std::uint32_t attempt, const AttemptResult &result, TimePoint now)
{
    auto &impl = *impl_;
    const auto found = impl.calls.find(handle);
    if (found == impl.calls.end() || found->second.attempt != attempt || found->second.step != CallStep::Sent) {
        return;
    }
    auto &call = found->second;
    impl.stats.ends.add(result.end);
    call.longestPause = result.longestPause;
    if (result.end != AttemptEnd::Answered) {
        impl.failedAttempts.push_back(
            {call.facts.requestId, call.facts.fingerprint, attempt, call.endpointId, result, now - call.stepSince});
    }
    const bool failed = result.end == AttemptEnd::Unreachable || result.end == AttemptEnd::Broken;
    impl.leaveEndpoint(handle, call, failed, now);
    call.step = CallStep::Waiting; // at no endpoint until the next decision
    switch (result.end) {
    case AttemptEnd::Answered:
        impl.quarantine.answered(call.facts.fingerprint);
        impl.learnRun(call, now);
        impl.end(handle, EndedOutcome::Answered, "", result.status, now);
        return;
    case AttemptEnd::Refused:
        impl.stats.endpointRefusals.add(result.refusal);
        impl.onRefused(handle, call, result.refusal, now);
        return;
    case AttemptEnd::Unreachable:
        call.tried.insert(call.endpointId);
        impl.stats.retries.add(RetryReason::SidecarLost);
        impl.route(handle, call, now);
        return;
    case AttemptEnd::OwnFailure:
        ++call.ranAt;
        call.tried.insert(call.endpointId);
        if (call.repeatable() && call.ranAt < call.maxEndpoints && impl.mayRetry(call, now)) {
            impl.stats.retries.add(RetryReason::EngineFailed);
            impl.route(handle, call, now);
            return;
        }
        impl.actions.emplace_back(PassAnswer{handle});
        impl.end(handle, EndedOutcome::OwnFailure, toString(result.end), result.status, now);
        return;
    case AttemptEnd::Broken:
    case AttemptEnd::Count:
        break;
    }
    impl.quarantine.brokenOff(call.facts.fingerprint, call.endpointId, call.endpointBorn, now);
    ++call.ranAt;
    call.tried.insert(call.endpointId);
    const bool again = call.repeatable() && !result.callerHasBytes && call.ranAt < call.maxEndpoints;
    if (again) {
        impl.retryOrGiveUp(handle, call, RetryReason::BrokenAnswer, RefusalReason::RetryBudgetSpent, now);
        return;
    }
    impl.abandon(handle, FailureReason::EndpointCut, now);
}

void DirectCalls::Impl::onRefused(CallHandle handle, DirectCall &call, EndpointRefusal refusal, TimePoint now)
{
    if (refusal == EndpointRefusal::OtherIncarnation && endpointOf(call) != nullptr) {
        forgetEndpoint(*endpointOf(call), now); // its address belongs to another incarnation
    }
    if (refusal == EndpointRefusal::NotLoaded) {
        // The adapter was removed or has an older version: drops it from the known state, so that it is demanded
        // again.
        if (auto *entry = endpointOf(call); entry != nullptr && entry->state) {
            auto &held = *entry->state->mutable_adapters();
            const auto name = call.adapterName();
            held.erase(std::remove_if(held.begin(), held.end(),
                                      [&](const auto &adapter) {
                                          return adapter.model() == name.first && adapter.adapter() == name.second;
                                      }),
                       held.end());
        }
    } else {
        call.tried.insert(call.endpointId);
    }
    retryOrGiveUp(handle, call, RetryReason::Refused, RefusalReason::QueueFull, now);
}

bool DirectCalls::Impl::mayRetry(const DirectCall &call, TimePoint now)
{
    return now + leastTimeToSend < call.cutAt && retries[call.service].take();
}

void DirectCalls::Impl::retryOrGiveUp(CallHandle handle, DirectCall &call, RetryReason why, RefusalReason otherwise,
                                      TimePoint now)
{
    if (!mayRetry(call, now)) {
        giveUp(handle, call, otherwise, returnTime(call.service, now), now);
        return;
    }
    stats.retries.add(why);
    route(handle, call, now);
}

Duration DirectCalls::Impl::returnTime(const std::string &service, TimePoint now) const
{
    std::optional<TimePoint> soonest;
    for (const auto &[id, entry] : endpoints.all()) {
        if (entry.record.service != service || entry.leaves(now) || entry.superseded) {
            continue;
        }
        if (!entry.pauses(now)) {
            return usualRetryAfter;
        }
        soonest = soonest ? std::min(*soonest, entry.pausedUntil) : entry.pausedUntil;
    }
    return soonest ? *soonest - now : usualRetryAfter;
}

void DirectCalls::Impl::giveUp(CallHandle handle, DirectCall &call, RefusalReason reason, Duration retryAfter,
                               TimePoint now)
{
    if (call.ranAt != 0) {
        abandon(handle, FailureReason::EndpointCut, now);
        return;
    }
    refuse(handle, unavailable, reason, retryAfter, now);
}

void DirectCalls::Impl::refuse(CallHandle handle, std::uint32_t status, RefusalReason reason, Duration retryAfter,
                               TimePoint now)
{
    stats.refusals.add(reason);
    actions.emplace_back(RefuseCall{handle, status, retryAfter, reason});
    end(handle, EndedOutcome::Refused, toString(reason), 0, now);
}

void DirectCalls::Impl::abandon(CallHandle handle, FailureReason reason, TimePoint now)
{
    actions.emplace_back(AbandonCall{handle, reason});
    end(handle, EndedOutcome::Abandoned, toString(reason), 0, now);
}

void DirectCalls::Impl::end(CallHandle handle, EndedOutcome outcome, std::string_view reason, std::uint32_t status,
                            TimePoint now)
{
    const auto node = calls.extract(handle);
    const auto &call = node.mapped();
    EndedCall done;
    done.requestId = call.facts.requestId;
    done.fingerprint = call.facts.fingerprint;
    done.outcome = outcome;
    done.reason = reason;
    done.status = status;
    done.service = call.service;
    done.adapter = call.facts.adapter;
    done.endpointId = call.endpointId;
    done.attempts = call.attempt;
    done.configVersion = config ? config->version : 0;
    done.estimate = call.estimate;
    done.stateAge = call.stateAge;
    done.storeAge = call.storeAge;
    done.adapterWait = call.adapterWait;
    done.firstByte = call.firstByte;
    done.longestPause = call.longestPause;
    done.promptTokens = call.facts.promptTokens;
    done.total = now - call.arrived;
    done.patience = call.facts.patience;
    ended.push_back(std::move(done));
}

void DirectCalls::callerGone(CallHandle handle, TimePoint now)
{
    const auto found = impl_->calls.find(handle);
    if (found == impl_->calls.end()) {
        return;
    }
    const bool failed = false;
    impl_->leaveEndpoint(handle, found->second, failed, now);
    impl_->end(handle, EndedOutcome::CallerGone, toString(FailureReason::CallerGone), 0, now);
}

} // namespace anvilscale

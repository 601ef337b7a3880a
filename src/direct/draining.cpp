// Calls that arrive at an entry whose process is about to end.
#include "direct_calls_impl.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Share of the recent calls of a service that ended within the time that a further one is expected to need. A call that
// is refused is served by another entry; the outcome of one that is cut off is unknown.
constexpr double neededRunQuantile = 0.95;
// Until waiting calls are checked again and the end of an answer has been read.
constexpr Duration endMargin = 2 * directTickInterval;
// After the end of the listener: requests on the connections from its queue are read.
constexpr Duration queueReadTime = Milliseconds(500);

} // namespace

void DirectCalls::beginDrain(TimePoint callsEndAt, TimePoint now)
{
    impl_->callsEndAt = callsEndAt;
    impl_->refuseUnendingCalls(now);
}

void DirectCalls::onListenerClosed(TimePoint now)
{
    impl_->refusesUnmeasuredFrom = now + queueReadTime;
}

// The time limit of a call bounds its time. That is all that is known of a service without measured runs. Its calls are
// accepted as long as the load balancer sends callers here, since those that are refused may return to this entry.
bool DirectCalls::Impl::canEndInTime(const DirectCall &call, Duration wait, TimePoint now)
{
    if (!callsEndAt) {
        return true;
    }
    const auto &runs = estimates[call.service].runMs;
    if (runs.count() == 0) {
        return now < refusesUnmeasuredFrom || call.cutOffAt <= *callsEndAt;
    }
    const auto endAt = now + wait + fromMilliseconds(runs.quantile(neededRunQuantile)) + endMargin;
    return std::min(endAt, call.cutOffAt) <= *callsEndAt;
}

bool DirectCalls::Impl::stopIfUnending(CallHandle handle, DirectCall &call, Duration wait, TimePoint now)
{
    if (canEndInTime(call, wait, now)) {
        return false;
    }
    refuseOrAbandon(handle, call, RefusalReason::Leaving, leavingRetryAfter, now);
    return true;
}

void DirectCalls::Impl::refuseUnendingCalls(TimePoint now)
{
    if (!callsEndAt) {
        return;
    }
    std::vector<CallHandle> unending;
    for (const auto &[handle, call] : calls) {
        if (call.step != CallStep::Sent && !canEndInTime(call, Duration(0), now)) {
            unending.push_back(handle);
        }
    }
    for (const auto handle : unending) {
        auto &call = calls.at(handle);
        detachFromEndpoint(handle, call, false, now);
        refuseOrAbandon(handle, call, RefusalReason::Leaving, leavingRetryAfter, now);
    }
}

} // namespace anvilscale

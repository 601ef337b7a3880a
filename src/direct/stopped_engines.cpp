// Calls at engines whose VMs have probably stopped.
#include "direct_calls_impl.h"

namespace anvilscale {

namespace {

// Silence of a sidecar, and of its engine towards all calls of this entry, after which calls are sent elsewhere. Longer
// than the delays of a busy VM, and well below the time for which callers wait.
constexpr Duration stoppedAfter = Seconds(1);

} // namespace

// A stopped engine neither answers its calls nor notices that callers leave: it would go on with their runs after it
// has resumed. Calls that may run again and have received nothing are sent to another engine while their callers wait.
void DirectCalls::Impl::leaveStoppedEngines(TimePoint now)
{
    std::vector<CallHandle> stuck;
    for (const auto &[handle, call] : calls) {
        if (call.step != CallStep::Sent || call.hasFirstByte || !call.isEngine || !call.isRepeatable()
            || call.executionCount + 1 >= call.maxEndpoints) {
            continue;
        }
        const auto *entry = findEndpoint(call);
        if (entry != nullptr && entry->isSidecarSilentFor(stoppedAfter, endpoints.lastReceivedAt())
            && entry->isSilentFor(stoppedAfter, now)) {
            stuck.push_back(handle);
        }
    }
    for (const auto handle : stuck) {
        moveCall(handle, calls.at(handle), now);
    }
}

void DirectCalls::Impl::moveCall(CallHandle handle, DirectCall &call, TimePoint now)
{
    auto excludedIds = call.excludedIds;
    excludedIds.insert(call.endpointId);
    auto query = buildQuery(call, now);
    query.excludedIds = &excludedIds;
    const auto choice = chooseEndpoint(endpoints, query, now);
    const bool comesInTime = choice && now + choice->firstByte < call.firstByteBy;
    if (!comesInTime || !mayRetry(call, now)) {
        return; // the stopped engine may still answer
    }
    stats.retries.add(RetryReason::EngineStopped);
    detachFromEndpoint(handle, call, true, now);
    ++call.executionCount;
    call.excludedIds = std::move(excludedIds);
    routeCall(handle, call, now);
}

} // namespace anvilscale

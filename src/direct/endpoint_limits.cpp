// Rate limits that endpoints announce for all entries together. An entry asks the pool of an endpoint for credit before
// each call to it.
#include "direct_calls_impl.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Lower bound of the rate, also for endpoints that accept fewer calls or none: only answers show the end of a limit.
constexpr double minRequestsPerSecond = 0.2;
// Burst of a pool, as a time at the limit.
constexpr double burstSeconds = 0.5;
// A pool on another VM answers within milliseconds. A call that waits longer goes elsewhere.
constexpr Duration maxPermitWait = Milliseconds(200);

/// The limit of an endpoint as an allowance that all entries share.
Workspace allowanceOf(const EndpointEntry &entry)
{
    const double rate = std::max(minRequestsPerSecond, entry.requestsPerSecond.value_or(0));
    Workspace result;
    result.name = entry.record.id;
    result.allowance.ratePerSecond = rate;
    result.allowance.burst = std::max(1.0, burstSeconds * rate);
    return result;
}

} // namespace

bool DirectCalls::Impl::setLimit(EndpointEntry &entry, std::optional<double> requestsPerSecond, TimePoint now)
{
    if (entry.requestsPerSecond == requestsPerSecond) {
        return false;
    }
    entry.requestsPerSecond = requestsPerSecond;
    entry.deniedUntil = TimePoint{}; // rests on the previous limit
    updateLimitedGroups();
    if (entry.isLimited()) {
        endpointCredit->selectPools(endpoints, now);
        return true;
    }
    for (const auto handle : std::exchange(entry.awaitingPermit, {})) {
        auto &call = calls.at(handle);
        stopAwaitingPermit(handle, call, now);
        routeCall(handle, call, now);
    }
    return true;
}

void DirectCalls::Impl::reportLimit(const EndpointEntry &entry)
{
    const auto address = endpointCredit->poolAddress(entry.record.id);
    if (address.empty()) {
        return;
    }
    wire::EndpointLimit limit;
    limit.set_endpoint_id(entry.record.id);
    limit.set_limited(entry.isLimited());
    limit.set_requests_per_second(entry.requestsPerSecond.value_or(0));
    actions.emplace_back(ReportLimit{address, std::move(limit)});
}

bool DirectCalls::applyEndpointLimit(const wire::EndpointLimit &limit, TimePoint now)
{
    auto *entry = impl_->endpoints.find(limit.endpoint_id());
    const auto rate = limit.limited() ? std::optional(limit.requests_per_second()) : std::nullopt;
    return entry != nullptr && impl_->setLimit(*entry, rate, now);
}

void DirectCalls::Impl::updateLimitedGroups()
{
    std::bitset<allowanceGroups> groups;
    stats.limitedEndpoints = 0;
    for (const auto &[id, entry] : endpoints.entries()) {
        if (entry.isLimited()) {
            groups.set(allowanceGroup(id));
            ++stats.limitedEndpoints;
        }
    }
    hasLimitedEndpoints = groups.any();
    endpointCredit->setGroups(groups);
}

void DirectCalls::Impl::requestSend(CallHandle handle, DirectCall &call, TimePoint now)
{
    auto &entry = *endpoints.find(call.endpointId);
    if (needsTurn(call, entry, now)) {
        requestTurn(handle, call, entry, now);
        return;
    }
    if (!entry.isLimited()) {
        sendCall(handle, call, now);
        return;
    }
    call.step = CallStep::Permit;
    call.stepStartedAt = now;
    ++stats.permitWaits;
    auto &accounts = endpointCredit->accounts();
    if (!accounts.canDecide(call.endpointId, now)) {
        denyPermit(handle, call, defaultRetryAfter, now);
        return;
    }
    const auto charge = accounts.charge(allowanceOf(entry), handle, 1, now);
    switch (charge.result) {
    case ChargeResult::Granted:
        sendCall(handle, call, now);
        return;
    case ChargeResult::Refused:
        denyPermit(handle, call, charge.retryAfter, now);
        return;
    case ChargeResult::Pending:
    case ChargeResult::Count:
        break;
    }
    entry.awaitingPermit.insert(handle);
    for (auto &request : endpointCredit->takeRequests(now)) {
        actions.emplace_back(std::move(request));
    }
}

void DirectCalls::Impl::updatePermits(TimePoint now)
{
    if (!hasLimitedEndpoints) {
        return;
    }
    for (const auto &decision : endpointCredit->accounts().takeDecisions()) {
        onPermitDecided(decision, now);
    }
    for (auto &request : endpointCredit->takeRequests(now)) {
        actions.emplace_back(std::move(request));
    }
}

void DirectCalls::Impl::tickPermits(TimePoint now)
{
    if (!hasLimitedEndpoints) {
        return;
    }
    updateLimitedGroups(); // endpoints may have been removed or restarted
    endpointCredit->tick(endpoints, now);
    std::vector<CallHandle> isDue;
    for (const auto &[handle, call] : calls) {
        if (call.step == CallStep::Permit && now - call.stepStartedAt >= maxPermitWait) {
            isDue.push_back(handle);
        }
    }
    for (const auto handle : isDue) {
        denyPermit(handle, calls.at(handle), defaultRetryAfter, now);
    }
    updatePermits(now);
}

void DirectCalls::Impl::onPermitDecided(const AllowanceDecision &decision, TimePoint now)
{
    const auto found = calls.find(decision.call);
    if (found == calls.end() || found->second.step != CallStep::Permit) {
        return;
    }
    auto &call = found->second;
    if (decision.refusal != RefusalReason::None) {
        denyPermit(decision.call, call, decision.retryAfter, now);
        return;
    }
    stopAwaitingPermit(decision.call, call, now);
    if (stopIfQuarantined(decision.call, call, now)) {
        return;
    }
    if (isAcceptedThere(call, now)) {
        sendCall(decision.call, call, now);
        return;
    }
    endpointCredit->accounts().refund(call.endpointId, 1, decision.creditUntil, now);
    routeCall(decision.call, call, now);
}

void DirectCalls::Impl::denyPermit(CallHandle handle, DirectCall &call, Duration retryAfter, TimePoint now)
{
    ++stats.permitDenials;
    stopAwaitingPermit(handle, call, now);
    if (auto *entry = findEndpoint(call)) {
        entry->deniedUntil = now + std::max(retryAfter, directTickInterval);
    }
    routeCall(handle, call, now);
}

void DirectCalls::Impl::stopAwaitingPermit(CallHandle handle, DirectCall &call, TimePoint now)
{
    if (auto *entry = findEndpoint(call)) {
        entry->awaitingPermit.erase(handle);
    }
    endpointCredit->accounts().cancel(call.endpointId, handle);
    call.permitWait += now - call.stepStartedAt;
    call.step = CallStep::Waiting;
}

} // namespace anvilscale

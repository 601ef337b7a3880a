// Admission of calls: the workspace of the caller's key, and the credit of that workspace.
#include "direct_calls_impl.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr std::uint32_t statusTooManyRequests = 429;

} // namespace

void DirectCalls::Impl::applyWorkspaces(TimePoint now)
{
    workspaces = WorkspaceTable(config->workspaces.value_or(std::vector<Workspace>{}));
    hasLimitedWorkspaces = config->workspaces
                           && std::any_of(config->workspaces->begin(), config->workspaces->end(),
                                          [](const Workspace &workspace) { return workspace.allowance.isLimited(); });
    const bool hasSidecars = std::any_of(config->services.begin(), config->services.end(),
                                         [](const DirectService &service) { return service.engine.has_value(); });
    workspaceCredit->applyConfig(config->version, !hasSidecars);
    endpointCredit->applyConfig(config->version, !hasSidecars);
    recheckPendingCharges(now);
}

// A call that still waits for credit has not been sent: it is admitted as if it arrived now.
void DirectCalls::Impl::recheckPendingCharges(TimePoint now)
{
    std::vector<CallHandle> pending;
    for (const auto &[handle, call] : calls) {
        if (call.step == CallStep::Admission) {
            pending.push_back(handle);
        }
    }
    for (const auto handle : pending) {
        auto &call = calls.at(handle);
        const auto *route = routes.find(call.info.host, call.info.path);
        if (route == nullptr) {
            refuse(handle, statusNotFound, RefusalReason::UnknownRoute, Duration(0), now);
            continue;
        }
        applyRoute(call, *route);
        const auto *workspace = workspaces.findByKey(call.info.key.digest);
        if (workspace != nullptr && workspace->name == call.workspace && workspace->allowance == call.allowance) {
            call.priority = workspace->priority.value_or(call.priority);
            continue;
        }
        workspaceCredit->accounts().cancel(call.workspace, handle);
        call.allowanceCost = 0;
        call.workspace.clear();
        if (const auto reason = identifyCaller(call, *route); reason != RefusalReason::None) {
            refuse(handle, statusUnauthorized, reason, Duration(0), now);
            continue;
        }
        chargeCall(handle, call, now);
    }
}

RefusalReason DirectCalls::Impl::identifyCaller(DirectCall &call, const DirectRoute &route)
{
    if (!config->workspaces) {
        return RefusalReason::None;
    }
    const bool hasKey = call.info.key.presence == KeyPresence::Present;
    const auto *workspace = hasKey ? workspaces.findByKey(call.info.key.digest) : nullptr;
    if (workspace == nullptr) {
        const auto reason = hasKey ? RefusalReason::CallerKeyUnknown : RefusalReason::CallerKeyMissing;
        return route.isPublic ? RefusalReason::None : reason;
    }
    call.workspace = workspace->name;
    call.priority = workspace->priority.value_or(call.priority);
    if (auto *counters = countersOf(call.workspace)) {
        ++counters->calls;
    }
    return RefusalReason::None;
}

WorkspaceStats *DirectCalls::Impl::countersOf(const std::string &workspace)
{
    if (workspace.empty()) {
        return nullptr;
    }
    const auto found = stats.workspaces.find(workspace);
    if (found != stats.workspaces.end()) {
        return &found->second;
    }
    return &stats.workspaces[stats.workspaces.size() < maxCountedWorkspaces ? workspace : "other"];
}

void DirectCalls::Impl::chargeCall(CallHandle handle, DirectCall &call, TimePoint now)
{
    const auto *workspace = call.workspace.empty() ? nullptr : workspaces.find(call.workspace);
    if (workspace == nullptr || !workspace->allowance.isLimited()) {
        startCall(handle, call, now);
        return;
    }
    call.step = CallStep::Admission;
    call.allowance = workspace->allowance;
    call.allowanceCost = workspace->allowance.cost(call.info.countedTokens);
    const auto charge = workspaceCredit->accounts().charge(*workspace, handle, call.allowanceCost, now);
    if (charge.result == ChargeResult::Refused) {
        refuseCharge(handle, charge.refusal, charge.retryAfter, now);
    } else if (charge.result == ChargeResult::Granted) {
        call.creditUntil = charge.creditUntil;
        startCall(handle, call, now);
    }
}

void DirectCalls::Impl::refuseCharge(CallHandle handle, RefusalReason reason, Duration retryAfter, TimePoint now)
{
    const bool isOver = reason == RefusalReason::OverAllowance;
    auto *counters = countersOf(calls.at(handle).workspace);
    if (isOver && counters != nullptr) {
        ++counters->overAllowance;
    }
    refuse(handle, isOver ? statusTooManyRequests : statusUnavailable, reason, retryAfter, now);
}

void DirectCalls::Impl::updateAllowances(TimePoint now)
{
    if (!hasLimitedWorkspaces) {
        return;
    }
    for (const auto &decision : workspaceCredit->accounts().takeDecisions()) {
        const auto found = calls.find(decision.call);
        if (found == calls.end() || found->second.step != CallStep::Admission) {
            continue;
        }
        auto &call = found->second;
        call.allowanceWait = now - call.arrivedAt;
        if (decision.refusal != RefusalReason::None) {
            refuseCharge(decision.call, decision.refusal, decision.retryAfter, now);
            continue;
        }
        call.creditUntil = decision.creditUntil;
        startCall(decision.call, call, now);
    }
    for (auto &request : workspaceCredit->takeRequests(now)) {
        actions.emplace_back(std::move(request));
    }
    stats.allowances = workspaceCredit->accounts().stats();
}

void DirectCalls::Impl::releaseCredit(CallHandle handle, const DirectCall &call, EndedOutcome outcome, TimePoint now)
{
    if (outcome == EndedOutcome::Answered) {
        if (auto *counters = countersOf(call.workspace)) {
            ++counters->answered;
        }
    }
    if (call.allowanceCost == 0) {
        return;
    }
    if (call.step == CallStep::Admission) {
        workspaceCredit->accounts().cancel(call.workspace, handle);
    } else if (call.executionCount == 0 && outcome == EndedOutcome::Refused) {
        workspaceCredit->accounts().refund(call.workspace, call.allowanceCost, call.creditUntil, now);
    }
}

void DirectCalls::onAllowanceAnswer(const std::string &address, const wire::AllowanceAnswer &answer, TimePoint now)
{
    if (answer.scope() == wire::ALLOWANCE_OF_ENDPOINTS) {
        impl_->endpointCredit->accounts().onAnswer(address, answer, now);
        impl_->updatePermits(now);
        return;
    }
    impl_->workspaceCredit->accounts().onAnswer(address, answer, now);
    impl_->updateAllowances(now);
}

} // namespace anvilscale

// Waiting calls, deadlines, and the demand sent to sidecars.
#include "direct_calls_impl.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

// Interval at which a waiting call is checked against its deadline.
constexpr Duration waitCheckInterval = Milliseconds(250);
// Time since the last demand after which any change is sent, so that a sidecar evicts no adapter in use. Urgent changes
// are sent at once.
constexpr Duration demandChangeInterval = Milliseconds(400);
// Changes of unread prompt tokens are sent sooner, to keep independent entries from sending long prompts to the same
// engine at the same time. Reading 3,000 tokens takes an engine some 80 ms.
constexpr double unreadTokenStep = 3000;
constexpr Duration unreadTokenInterval = Milliseconds(15);
// Maximum interval between demands, so that a sidecar knows that the entry is alive.
constexpr Duration maxDemandInterval = Milliseconds(2000);

} // namespace

void DirectCalls::tick(TimePoint now)
{
    impl_->pauses.onTick(now);
    impl_->updateRetryShare(now);
    impl_->checkDeadlines(now);
    impl_->refuseUnendingCalls(now);
    impl_->leaveStoppedEngines(now);
    impl_->checkWaitingCalls(now);
    impl_->checkTurns(now);
    impl_->judgeCrashes(now);
    impl_->sendDemands(now);
    if (impl_->hasLimitedWorkspaces) {
        impl_->workspaceCredit->tick(impl_->endpoints, now);
    }
    impl_->updateAllowances(now);
    impl_->tickPermits(now);
    checkAnswers(now);
}

void DirectCalls::checkAnswers(TimePoint now)
{
    impl_->checkSlotAnswers(now);
    impl_->checkOriginAnswers(now);
    impl_->startConfirmation(now);
}

std::optional<TimePoint> DirectCalls::nextAnswerCheckAt() const
{
    std::optional<TimePoint> soonest;
    for (const auto &next :
         {impl_->slots.nextCheckAt(), impl_->origins.nextCheckAt(), impl_->confirmations.nextStartAt()}) {
        soonest = next && (!soonest || *next < *soonest) ? next : soonest;
    }
    return soonest;
}

void DirectCalls::Impl::checkDeadlines(TimePoint now)
{
    std::vector<CallHandle> isDue;
    for (const auto &[handle, call] : calls) {
        if (now >= call.cutOffAt) {
            isDue.push_back(handle);
        }
    }
    for (const auto handle : isDue) {
        auto &call = calls.at(handle);
        const bool sent = call.step == CallStep::Sent;
        const bool slow = sent && !call.hasFirstByte;
        detachFromEndpoint(handle, call, slow, now);
        if (sent) {
            abandon(handle, FailureReason::DeadlinePassed, now);
        } else {
            refuseOrAbandon(handle, call, RefusalReason::DeadlinePassed, Duration(0), now);
        }
    }
}

// True if the adapter cannot be loaded before the caller leaves. An early refusal leaves the caller time to return.
bool DirectCalls::Impl::missesFirstByteLimit(const DirectCall &call, TimePoint now)
{
    const auto *entry = findEndpoint(call);
    if (entry == nullptr || !init.policy.has(Mechanism::EarlyRefusal)) {
        return false;
    }
    const auto query = buildQuery(call, now);
    const WaitForecast forecast(*entry, query, now);
    const auto presence = entry->presence(call.adapterName(), query.minVersion, now);
    return now + fromMilliseconds(forecast.confirmedRemainingMs(presence)) > call.firstByteBy;
}

void DirectCalls::Impl::checkWaitingCalls(TimePoint now)
{
    std::vector<CallHandle> isDue;
    for (auto &[handle, call] : calls) {
        if (call.step != CallStep::Waiting || now < call.nextCheckAt) {
            continue;
        }
        call.nextCheckAt = now + waitCheckInterval;
        if (now > call.reevaluateAt || isQuarantined(call, now) || missesFirstByteLimit(call, now)) {
            isDue.push_back(handle);
        }
    }
    for (const auto handle : isDue) {
        auto &call = calls.at(handle);
        detachFromEndpoint(handle, call, false, now);
        routeCall(handle, call, now);
    }
}

void DirectCalls::Impl::sendReadyCalls(const std::string &endpointId, TimePoint now)
{
    auto *entry = endpoints.find(endpointId);
    if (entry == nullptr || entry->waitingCalls.empty()) {
        return;
    }
    std::vector<CallHandle> ready;
    for (const auto handle : entry->waitingCalls) {
        const auto name = calls.at(handle).adapterName();
        if (entry->presence(name, publishedVersion(name), now) == Presence::Resident) {
            ready.push_back(handle);
        }
    }
    for (const auto handle : ready) {
        auto &call = calls.at(handle);
        stopWaiting(*entry, handle, call, now);
        if (!stopIfQuarantined(handle, call, now)) {
            requestSend(handle, call, now);
        }
    }
}

std::string DirectCalls::Impl::mostUsedModel(const std::string &service) const
{
    const auto *engine = findEngine(service);
    if (engine == nullptr) {
        return {};
    }
    std::string best;
    std::uint64_t most = 0;
    for (const auto &model : engine->models) {
        const auto used = callsByModel.find(model.name);
        const auto count = used == callsByModel.end() ? 0 : used->second;
        if (best.empty() || count > most) {
            best = model.name;
            most = count;
        }
    }
    return best;
}

wire::EnginePlan DirectCalls::Impl::buildPlan(const std::string &service) const
{
    wire::EnginePlan plan;
    const auto *engine = findEngine(service);
    if (engine == nullptr) {
        return plan;
    }
    plan.set_config_version(config->version);
    plan.set_adapter_slots(engine->adapterSlots);
    plan.set_weights_mb(engine->weightsMb);
    for (const auto &model : engine->models) {
        auto &size = *plan.add_models();
        size.set_name(model.name);
        size.set_weights_mb(model.weightsMb);
        size.set_adapter_mb(model.adapterMb);
    }
    addStreamLimits(service, plan);
    return plan;
}

wire::DirectDemand DirectCalls::Impl::buildDemand(const EndpointEntry &entry, TimePoint now) const
{
    std::map<AdapterName, wire::AdapterWish> items;
    const auto demandOf = [&](const AdapterName &name) -> wire::AdapterWish & {
        auto &adapterDemand = items[name];
        adapterDemand.set_model(name.first);
        adapterDemand.set_adapter(name.second);
        adapterDemand.set_least_version(publishedVersion(name));
        return adapterDemand;
    };
    auto waiting = entry.waitingCalls;
    waiting.insert(entry.awaitingTurn.begin(), entry.awaitingTurn.end());
    for (const auto handle : waiting) {
        const auto &call = calls.at(handle);
        auto &adapterDemand = demandOf(call.adapterName());
        adapterDemand.set_waiting(adapterDemand.waiting() + 1);
        adapterDemand.set_in_time(adapterDemand.in_time() + (call.canMeetObjective(now) ? 1 : 0));
    }
    for (const auto &[name, count] : entry.runningByAdapter) {
        demandOf(name).set_running(count);
    }
    for (const auto &[name, count] : entry.startedByAdapter) {
        demandOf(name).set_started(count);
    }
    if (entry.hasFreshState(now)) {
        for (const auto &held : entry.state->adapters()) {
            const AdapterName name{held.model(), held.adapter()};
            if (held.version() < publishedVersion(name)) {
                demandOf(name); // a newer version is published: the held one has to be replaced
            }
        }
        if (entry.state->models().empty()) {
            // A restarted engine is empty: loads its model before calls need it.
            demandOf({mostUsedModel(entry.record.service), ""}).set_waiting(1);
        }
    }
    wire::DirectDemand demand;
    demand.set_endpoint_id(entry.record.id);
    demand.set_unread_tokens(static_cast<std::uint64_t>(entry.unreadTokens));
    demand.set_waiting_tokens(static_cast<std::uint64_t>(entry.waitingTokens));
    for (auto &[name, adapterDemand] : items) {
        if (!name.first.empty()) {
            *demand.add_wishes() = std::move(adapterDemand);
        }
    }
    return demand;
}

void DirectCalls::Impl::sendDemand(EndpointEntry &entry, TimePoint now)
{
    auto &sent = sentDemands[entry.record.address];
    const bool hasNewPlan = config && sent.planVersion < config->version;
    const bool keepAliveDue = now - sent.sentAt >= maxDemandInterval;
    const bool requestsState = entry.hasMissedState && now - sent.sentAt >= demandChangeInterval;
    if (!entry.hasDemandChanged && !hasNewPlan && !keepAliveDue && !requestsState) {
        return;
    }
    auto demand = buildDemand(entry, now);
    auto serialized = demand.SerializeAsString();
    entry.hasDemandChanged = serialized != sent.serialized;
    // A sidecar must not evict an adapter with a new call: the first call on an adapter is sent at once.
    const bool isUrgent = (!entry.waitingCalls.empty() || entry.hasUnsentRun) && serialized != sent.serialized;
    const bool isDue = serialized != sent.serialized && now - sent.sentAt >= demandChangeInterval;
    const bool tokensChanged = std::abs(entry.unreadTokens - entry.lastSentUnreadTokens) >= unreadTokenStep
                               && now - sent.sentAt >= unreadTokenInterval;
    if (!hasNewPlan && !isUrgent && !isDue && !tokensChanged && !keepAliveDue && !requestsState) {
        return;
    }
    if (hasNewPlan) {
        *demand.mutable_plan() = buildPlan(entry.record.service);
        sent.planVersion = config->version;
    }
    demand.set_state_sequence(entry.reportedSequence());
    demand.set_accepts_deltas(init.policy.has(Mechanism::StateDeltas));
    demand.set_visits(entry.listening == Listening::Visited || entry.listening == Listening::Finishing);
    entry.lastSentUnreadTokens = entry.unreadTokens;
    entry.lastSentWaitingTokens = entry.waitingTokens;
    entry.hasUnsentRun = false;
    entry.hasDemandChanged = !entry.startedByAdapter.empty(); // the started calls were sent and must not be sent again
    sent.sentAt = now;
    sent.serialized = std::move(serialized);
    entry.startedByAdapter.clear();
    actions.emplace_back(SendDemand{entry.record.address, std::move(demand)});
}

void DirectCalls::Impl::sendDemands(TimePoint now)
{
    if (!config) {
        return;
    }
    updateListening(now);
    for (auto &[id, entry] : endpoints.entries()) {
        const bool takesCalls = !entry.isLeaving(now) && !entry.isSuperseded && entry.listening != Listening::Apart;
        if (takesCalls && findEngine(entry.record.service) != nullptr) {
            entry.hasDemandChanged =
                entry.hasDemandChanged || !entry.waitingCalls.empty(); // a waiting call becomes late with time alone
            sendDemand(entry, now);
        }
    }
}

std::vector<std::string> DirectCalls::endpointIds() const
{
    std::vector<std::string> ids;
    for (const auto &[id, entry] : impl_->endpoints.entries()) {
        ids.push_back(id);
    }
    return ids;
}

} // namespace anvilscale

// Calls that must run at most once. The key is decided on before anything else may refuse the call: a refusal "not
// run" is true for the caller only if no earlier attempt with the same key ran, and the owner of its slot alone knows.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr Duration expireEvery = Seconds(10);
constexpr Duration ownerRetry = Milliseconds(500);
// After that a drain no longer waits for the slots to be handed over: the leases lapse by themselves.
constexpr int drainLeases = 3;

} // namespace

std::optional<ServiceView> SidecarDecisions::Impl::serviceOf(const wire::CallRequest &request) const
{
    if (isEngine() || init_.config == nullptr) {
        return std::nullopt;
    }
    return init_.config->service(request.service());
}

KeyGuard *SidecarDecisions::Impl::guardOf(const std::string &service)
{
    const auto place = guards_.find(service);
    return place == guards_.end() ? nullptr : place->second.get();
}

void SidecarDecisions::Impl::openGuards(Now now)
{
    if (isEngine() || init_.config == nullptr || init_.timers == nullptr || leaving_) {
        return;
    }
    for (const auto &service : init_.services) {
        const auto view = init_.config->service(service);
        if (!view || view->idempotent || guards_.contains(service)) {
            continue;
        }
        KeyGuard::Init init;
        init.limits = init_.seenKeys;
        init.owner.service = service;
        init.owner.keyPrefix = init_.keyPrefix;
        init.owner.self = init_.name;
        init.owner.incarnation = init_.incarnation;
        init.owner.timing = init_.timing;
        init.owner.config = init_.config;
        init.owner.timers = init_.timers;
        init.owner.seed = random_.next();
        init.owner.safeguards = init_.seenKeys.safeguards;
        init.owner.send = [this](const std::string &member, wire::Envelope message) {
            message.set_protocol(wireProtocol);
            message.set_message_id(++lastMessage_);
            actions_.emplace_back(SendMessage{{}, std::move(message), member});
        };
        init.owner.beforeGiving = [this, service](std::uint32_t slot) { giveSlot(service, slot); };
        const auto submit = [this](KvRequest request) { actions_.emplace_back(SubmitKv{std::move(request)}); };
        auto &guard = *guards_.emplace(service, std::make_unique<KeyGuard>(std::move(init), submit)).first->second;
        guard.owner().start(now);
        if (!memberNames_.empty()) {
            guard.owner().onMembers(memberNames_, now);
        }
    }
}

void SidecarDecisions::Impl::giveSlot(const std::string &service, std::uint32_t slot)
{
    const auto view = init_.config->service(service);
    if (!view) {
        return;
    }
    // Calls of the slot that have not been sent are handed back and their keys forgotten, so that the receiver may run
    // them. Those that run go over as "outcome unknown".
    refuseWaiting({RefusalReason::NotSlotOwner, true, random_.jitter(ownerRetry)}, [&](const WaitingCall &call) {
        return call.atMostOnce && call.request.service() == service && slotOf(call.request.key(), view->slots) == slot;
    });
}

std::optional<RefusalDetail> SidecarDecisions::Impl::decideKey(WaitingCall &call, const ServiceView &view, Now now,
                                                               bool &answered)
{
    const auto &request = call.request;
    auto *guard = guardOf(request.service());
    if (request.key().empty()) {
        return RefusalDetail{RefusalReason::KeyMissing};
    }
    if (!keyTime(request.key())) {
        return RefusalDetail{RefusalReason::KeyInvalid};
    }
    if (guard == nullptr) {
        return RefusalDetail{RefusalReason::SlotUnowned, true, random_.jitter(ownerRetry)};
    }
    const auto owned = guard->ownership(request.key(), view, now);
    // An entry that believes in another fencing number speaks to an owner of another time: it reads the table again.
    const bool otherFence = request.slot_fence() != 0 && request.slot_fence() != owned.fence;
    if (!owned.owned || otherFence) {
        return RefusalDetail{RefusalReason::NotSlotOwner, true, random_.jitter(ownerRetry), owned.fence};
    }
    call.slotFence = owned.fence;
    call.execution = ExecutionHandle{++lastExecution_};
    auto decision = guard->admit(request.key(), call.fingerprint, view, owned, call.execution, now);
    const auto &listener = call.listeners.front();
    switch (decision.kind) {
    case KeyDecisionKind::Run:
        return std::nullopt;
    case KeyDecisionKind::Attach:
        answered = attachByHandle(decision.execution, call);
        return answered ? std::nullopt : std::optional(RefusalDetail{RefusalReason::Internal, false});
    case KeyDecisionKind::Replay:
        answered = true;
        ended_.add(listener.attempt);
        ++stats_.replayed;
        actions_.emplace_back(ReplayAnswer{listener.peer, listener.attempt.message(), std::move(decision.answer)});
        return std::nullopt;
    default:
        return RefusalDetail{decision.reason, decision.provedNotRun, {}, owned.fence};
    }
}

bool SidecarDecisions::Impl::attachByHandle(ExecutionHandle handle, const WaitingCall &call)
{
    if (auto *execution = executions_.find(handle)) {
        attachListener(*execution, call);
        return true;
    }
    const auto place = std::ranges::find(queue_.calls(), handle, &WaitingCall::execution);
    if (place == queue_.calls().end()) {
        return false;
    }
    joinWaiting(*place, call);
    return true;
}

void SidecarDecisions::Impl::admitAtMostOnce(WaitingCall call, const ServiceView &view, Now now)
{
    const Listener listener = call.listeners.front();
    call.atMostOnce = true;
    bool answered = false;
    if (const auto refusal = decideKey(call, view, now, answered)) {
        return refuse(listener, *refusal);
    }
    if (answered) {
        return;
    }
    // The key is new, so that these refusals are a proof for the key and not only for this attempt.
    auto refusal = checkState(now.mono);
    refusal = refusal ? refusal : checkRoom(call, now.mono);
    if (refusal) {
        refusal->slotFence = call.slotFence;
        guardOf(call.request.service())->release(call.request.key());
        return refuse(listener, *refusal);
    }
    queue_.push(std::move(call));
}

bool SidecarDecisions::Impl::mayStillRun(const WaitingCall &call, Now now)
{
    if (!call.atMostOnce || !init_.safeguards.leaseRecheck) {
        return true;
    }
    // Between admission and now the process may have been paused past its lease. A successor runs no key stamped
    // before its take-over and margin, so that even a pause after this check runs nothing twice.
    auto *guard = guardOf(call.request.service());
    const auto view = serviceOf(call.request);
    if (guard == nullptr || !view) {
        return false;
    }
    const auto owned = guard->ownership(call.request.key(), *view, now);
    return owned.owned && owned.fence == call.slotFence;
}

bool SidecarDecisions::Impl::provesNotRun(const wire::CallRequest &request, Now now)
{
    const auto view = serviceOf(request);
    if (!view || view->idempotent || request.key().empty()) {
        return true;
    }
    auto *guard = guardOf(request.service());
    return guard != nullptr && guard->provesNotRun(request.key(), fingerprintOf(request), *view, now);
}

void SidecarDecisions::Impl::releaseKey(const std::string &service, const std::string &key)
{
    if (auto *guard = guardOf(service)) {
        guard->release(key);
    }
}

void SidecarDecisions::Impl::endKey(const Execution &execution, KeptAnswer &&answer, Now now)
{
    auto *guard = guardOf(execution.service);
    if (!execution.atMostOnce || guard == nullptr) {
        return;
    }
    if (answer.failure == FailureReason::EndpointUnreachable) {
        return guard->release(execution.key); // nothing was sent
    }
    guard->finish(execution.key, std::move(answer), now);
}

void SidecarDecisions::Impl::expireKeys(Now now)
{
    if (guards_.empty() || now.mono < nextKeyExpiry_) {
        return;
    }
    nextKeyExpiry_ = now.mono + expireEvery;
    for (auto &[service, guard] : guards_) {
        if (const auto view = init_.config->service(service)) {
            guard->expire(*view, now);
        }
    }
}

void SidecarDecisions::Impl::drainGuards(Now now)
{
    guardsUntil_ = now.mono + drainLeases * init_.timing.lease;
    for (auto &[service, guard] : guards_) {
        guard->owner().drain(now);
    }
}

bool SidecarDecisions::Impl::guardsDrained(Now now)
{
    const bool all = std::ranges::all_of(guards_, [](const auto &entry) { return entry.second->owner().drained(); });
    return all || guardsUntil_ <= now.mono;
}

} // namespace anvilscale

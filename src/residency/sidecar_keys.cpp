// At-most-once calls. The key is checked before any other refusal: a refusal "not run" is only valid if no earlier
// attempt with the same key ran, which only the slot owner can determine.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr Duration keyExpiryInterval = Seconds(10);
constexpr Duration ownerRetryDelay = Milliseconds(500);
constexpr int maxDrainLeases = 3; // lease durations that a drain waits for slot transfers; then the leases expire

} // namespace

std::optional<ServiceView> SidecarDecisions::Impl::findService(const wire::CallRequest &request) const
{
    if (isEngine() || init_.config == nullptr) {
        return std::nullopt;
    }
    return init_.config->service(request.service());
}

KeyGuard *SidecarDecisions::Impl::findGuard(const std::string &service)
{
    const auto it = guards_.find(service);
    return it == guards_.end() ? nullptr : it->second.get();
}

void SidecarDecisions::Impl::createGuards(Now now)
{
    if (isEngine() || init_.config == nullptr || init_.timers == nullptr || isLeaving_) {
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
        init.owner.beforeTransfer = [this, service](std::uint32_t slot) { refuseSlotCalls(service, slot); };
        const auto submit = [this](KvRequest request) { actions_.emplace_back(SubmitKv{std::move(request)}); };
        auto &guard = *guards_.emplace(service, std::make_unique<KeyGuard>(std::move(init), submit)).first->second;
        guard.owner().start(now);
        if (!memberNames_.empty()) {
            guard.owner().onMembers(memberNames_, now);
        }
    }
}

void SidecarDecisions::Impl::refuseSlotCalls(const std::string &service, std::uint32_t slot)
{
    const auto view = init_.config->service(service);
    if (!view) {
        return;
    }
    // Calls that have not been sent are refused and their keys released, so that the new owner can run them. Running
    // calls are transferred as "outcome unknown".
    refuseWaiting({RefusalReason::NotSlotOwner, true, random_.jitter(ownerRetryDelay)}, [&](const WaitingCall &call) {
        return call.isAtMostOnce && call.request.service() == service
               && slotOf(call.request.key(), view->slots) == slot;
    });
}

std::optional<RefusalDetail> SidecarDecisions::Impl::checkKey(WaitingCall &call, const ServiceView &view, Now now,
                                                              bool &isAnswered)
{
    const auto &request = call.request;
    auto *guard = findGuard(request.service());
    if (request.key().empty()) {
        return RefusalDetail{RefusalReason::KeyMissing};
    }
    if (!parseKeyTime(request.key())) {
        return RefusalDetail{RefusalReason::KeyInvalid};
    }
    if (guard == nullptr) {
        return RefusalDetail{RefusalReason::SlotUnowned, true, random_.jitter(ownerRetryDelay)};
    }
    const auto ownership = guard->ownership(request.key(), view, now);
    // A different fencing number refers to another ownership of the slot: the call is refused, and the entry reads the
    // slot table again.
    const bool hasOtherFence = request.slot_fence() != 0 && request.slot_fence() != ownership.fence;
    if (!ownership.isOwned || hasOtherFence) {
        return RefusalDetail{RefusalReason::NotSlotOwner, true, random_.jitter(ownerRetryDelay), ownership.fence};
    }
    call.slotFence = ownership.fence;
    call.execution = ExecutionHandle{++lastExecution_};
    auto decision = guard->admit(request.key(), call.fingerprint, view, ownership, call.execution, now);
    const auto &listener = call.listeners.front();
    switch (decision.kind) {
    case KeyDecisionKind::Run:
        return std::nullopt;
    case KeyDecisionKind::Attach:
        isAnswered = attachByHandle(decision.execution, call);
        return isAnswered ? std::nullopt : std::optional(RefusalDetail{RefusalReason::Internal, false});
    case KeyDecisionKind::Replay:
        isAnswered = true;
        endedAttempts_.add(listener.attempt);
        ++stats_.replayed;
        actions_.emplace_back(ReplayAnswer{listener.peer, listener.attempt.toWire(), std::move(decision.answer)});
        return std::nullopt;
    default:
        return RefusalDetail{decision.reason, decision.isProvenNotRun, {}, ownership.fence};
    }
}

bool SidecarDecisions::Impl::attachByHandle(ExecutionHandle handle, const WaitingCall &call)
{
    if (auto *execution = executions_.find(handle)) {
        attachListener(*execution, call);
        return true;
    }
    const auto it = std::ranges::find(queue_.calls(), handle, &WaitingCall::execution);
    if (it == queue_.calls().end()) {
        return false;
    }
    addWaitingListener(*it, call);
    return true;
}

void SidecarDecisions::Impl::admitAtMostOnce(WaitingCall call, const ServiceView &view, Now now)
{
    const Listener listener = call.listeners.front();
    call.isAtMostOnce = true;
    bool isAnswered = false;
    if (const auto refusal = checkKey(call, view, now, isAnswered)) {
        return refuse(listener, *refusal);
    }
    if (isAnswered) {
        return;
    }
    // The key is new, so these refusals prove "not run" for the key and not only for this attempt.
    auto refusal = checkState(now.mono);
    refusal = refusal ? refusal : checkCapacity(call, now.mono);
    if (refusal) {
        refusal->slotFence = call.slotFence;
        findGuard(call.request.service())->release(call.request.key());
        return refuse(listener, *refusal);
    }
    queue_.push(std::move(call));
}

bool SidecarDecisions::Impl::stillOwnsSlot(const WaitingCall &call, Now now)
{
    if (!call.isAtMostOnce || !init_.safeguards.leaseRecheck) {
        return true;
    }
    // Prevents a second execution if the process was paused past its lease since admission. A successor runs no key
    // stamped before its acquisition plus margin, which also covers a pause after this check.
    auto *guard = findGuard(call.request.service());
    const auto view = findService(call.request);
    if (guard == nullptr || !view) {
        return false;
    }
    const auto ownership = guard->ownership(call.request.key(), *view, now);
    return ownership.isOwned && ownership.fence == call.slotFence;
}

bool SidecarDecisions::Impl::provesNotRun(const wire::CallRequest &request, Now now)
{
    const auto view = findService(request);
    if (!view || view->idempotent || request.key().empty()) {
        return true;
    }
    auto *guard = findGuard(request.service());
    return guard != nullptr && guard->provesNotRun(request.key(), computeFingerprint(request), *view, now);
}

void SidecarDecisions::Impl::releaseKey(const std::string &service, const std::string &key)
{
    if (auto *guard = findGuard(service)) {
        guard->release(key);
    }
}

void SidecarDecisions::Impl::finishKey(const Execution &execution, CachedAnswer &&answer, Now now)
{
    auto *guard = findGuard(execution.service);
    if (!execution.isAtMostOnce || guard == nullptr) {
        return;
    }
    if (answer.failure == FailureReason::EndpointUnreachable) {
        return guard->release(execution.key); // the call was not sent
    }
    guard->finish(execution.key, std::move(answer), now);
}

void SidecarDecisions::Impl::expireKeys(Now now)
{
    if (guards_.empty() || now.mono < nextKeyExpiryAt_) {
        return;
    }
    nextKeyExpiryAt_ = now.mono + keyExpiryInterval;
    for (auto &[service, guard] : guards_) {
        if (const auto view = init_.config->service(service)) {
            guard->expire(*view, now);
        }
    }
}

void SidecarDecisions::Impl::drainGuards(Now now)
{
    guardsDeadline_ = now.mono + maxDrainLeases * init_.timing.lease;
    for (auto &[service, guard] : guards_) {
        guard->owner().drain(now);
    }
}

bool SidecarDecisions::Impl::guardsDrained(Now now)
{
    const bool isEveryGuardDrained =
        std::ranges::all_of(guards_, [](const auto &entry) { return entry.second->owner().isDrained(); });
    return isEveryGuardDrained || guardsDeadline_ <= now.mono;
}

} // namespace anvilscale

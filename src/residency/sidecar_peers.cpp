// Messages from other processes, and membership.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

void SidecarDecisions::Impl::onMessage(PeerHandle from, const wire::Envelope &message, Now now)
{
    if (message.protocol() != wireProtocol) {
        ++stats_.droppedMessages;
        return;
    }
    switch (message.body_case()) {
    case wire::Envelope::kCallRequest:
        return onCall(from, message.call_request(), now);
    case wire::Envelope::kCallCancel:
        return onCancel(message.call_cancel(), now);
    case wire::Envelope::kCallCredit:
        return onCredit(message.call_credit());
    case wire::Envelope::kHello:
        return onHello(from, message.hello(), now);
    case wire::Envelope::kLoadGrant:
        return onGrant(from, message.load_grant(), now);
    case wire::Envelope::kDrainOrder: {
        const auto &target = message.drain_order().target();
        if (target.name() == init_.name && target.incarnation() == init_.incarnation) {
            drain(now);
        }
        return;
    }
    case wire::Envelope::kSlotHandover:
        if (auto *guard = findGuard(message.slot_handover().service())) {
            guard->owner().onHandover(message.slot_handover(), now);
        }
        return;
    case wire::Envelope::kSlotHandoverAck:
        if (auto *guard = findGuard(message.slot_handover_ack().service())) {
            guard->owner().onHandoverAck(message.slot_handover_ack(), now);
        }
        return;
    default:
        ++stats_.droppedMessages;
    }
}

void SidecarDecisions::Impl::onHello(PeerHandle from, const wire::Hello &hello, Now now)
{
    auto [it, isNew] = subscribers_.try_emplace(from);
    auto &subscriber = it->second;
    subscriber.name = hello.from().name();
    subscriber.needsFullState = subscriber.needsFullState || isNew || hello.want_full();
    if (hello.scheduler()) {
        onSchedulerMessage(from, hello.scheduler_fence(), now.mono);
    }
}

void SidecarDecisions::Impl::onPeerLost(PeerHandle peer, Now now)
{
    subscribers_.erase(peer);
    std::erase_if(heldCalls_, [&](const HeldCall &held) {
        if (held.from == peer) {
            endedAttempts_.add(AttemptKey::fromWire(held.request.id()));
        }
        return held.from == peer;
    });
    std::vector<AttemptKey> waitingAttempts;
    for (const auto &call : queue_.calls()) {
        for (const auto &listener : call.listeners) {
            if (listener.peer == peer) {
                waitingAttempts.push_back(listener.attempt);
            }
        }
    }
    std::vector<AttemptKey> runningAttempts;
    for (const auto &[handle, execution] : executions_.all()) {
        for (const auto &listener : execution.listeners) {
            if (listener.peer == peer) {
                runningAttempts.push_back(listener.attempt);
            }
        }
    }
    for (const auto &attempt : waitingAttempts) {
        detachFromWaiting(attempt, now);
    }
    for (const auto &attempt : runningAttempts) {
        detachFromRunning(attempt, now);
    }
}

void SidecarDecisions::Impl::onMembers(const std::vector<Member> &members, Now now)
{
    std::vector<std::string> names;
    for (const auto &member : members) {
        if (member.role == VmRole::Sidecar && member.state == MemberState::Live && member.name != init_.name) {
            names.push_back(member.name);
        }
    }
    names.push_back(init_.name);
    std::ranges::sort(names);
    liveSidecarCount_ = static_cast<std::uint32_t>(names.size());
    if (names == memberNames_) {
        return;
    }
    memberNames_ = std::move(names);
    for (auto &[service, guard] : guards_) {
        guard->owner().onMembers(memberNames_, now);
    }
}

void SidecarDecisions::Impl::send(PeerHandle to, wire::Envelope message)
{
    message.set_protocol(wireProtocol);
    message.set_message_id(++lastMessage_);
    actions_.emplace_back(SendMessage{to, std::move(message)});
}

PeerHandle SidecarDecisions::Impl::scheduler() const
{
    PeerHandle selected;
    std::uint64_t highestFence = 0;
    for (const auto &[peer, subscriber] : subscribers_) {
        if (subscriber.isScheduler && (!selected || subscriber.schedulerFence > highestFence)) {
            selected = peer;
            highestFence = subscriber.schedulerFence;
        }
    }
    return selected;
}

void SidecarDecisions::Impl::onSchedulerMessage(PeerHandle from, std::uint64_t fence, TimePoint now)
{
    if (fence < highestGrantFence_) {
        return; // a scheduler that was paused past its lease
    }
    highestGrantFence_ = fence;
    isSchedulerSuspect_ = false;
    const auto it = subscribers_.find(from);
    if (it != subscribers_.end()) {
        it->second.isScheduler = true;
        it->second.schedulerFence = fence;
        it->second.schedulerReceivedAt = now;
    }
}

} // namespace anvilscale

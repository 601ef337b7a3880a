// Messages from other processes and who is there.
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
        if (auto *guard = guardOf(message.slot_handover().service())) {
            guard->owner().onHandover(message.slot_handover(), now);
        }
        return;
    case wire::Envelope::kSlotHandoverAck:
        if (auto *guard = guardOf(message.slot_handover_ack().service())) {
            guard->owner().onHandoverAck(message.slot_handover_ack(), now);
        }
        return;
    default:
        ++stats_.droppedMessages;
    }
}

void SidecarDecisions::Impl::onHello(PeerHandle from, const wire::Hello &hello, Now now)
{
    auto [place, isNew] = subscribers_.try_emplace(from);
    auto &subscriber = place->second;
    subscriber.name = hello.from().name();
    subscriber.wantsFull = subscriber.wantsFull || isNew || hello.want_full();
    if (hello.scheduler()) {
        hearScheduler(from, hello.scheduler_fence(), now.mono);
    }
}

void SidecarDecisions::Impl::onPeerLost(PeerHandle peer, Now now)
{
    subscribers_.erase(peer);
    std::erase_if(held_, [&](const HeldCall &held) {
        if (held.from == peer) {
            ended_.add(AttemptKey::of(held.request.id()));
        }
        return held.from == peer;
    });
    std::vector<AttemptKey> waiting;
    for (const auto &call : queue_.calls()) {
        for (const auto &listener : call.listeners) {
            if (listener.peer == peer) {
                waiting.push_back(listener.attempt);
            }
        }
    }
    std::vector<AttemptKey> running;
    for (const auto &[handle, execution] : executions_.all()) {
        for (const auto &listener : execution.listeners) {
            if (listener.peer == peer) {
                running.push_back(listener.attempt);
            }
        }
    }
    for (const auto &attempt : waiting) {
        leaveWaiting(attempt, now);
    }
    for (const auto &attempt : running) {
        leaveRunning(attempt, now);
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
    liveSidecars_ = static_cast<std::uint32_t>(names.size());
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
    PeerHandle best;
    std::uint64_t fence = 0;
    for (const auto &[peer, subscriber] : subscribers_) {
        if (subscriber.scheduler && (!best || subscriber.schedulerFence > fence)) {
            best = peer;
            fence = subscriber.schedulerFence;
        }
    }
    return best;
}

void SidecarDecisions::Impl::hearScheduler(PeerHandle from, std::uint64_t fence, TimePoint now)
{
    if (fence < highestGrantFence_) {
        return; // it was paused past its lease
    }
    highestGrantFence_ = fence;
    schedulerSilent_ = false;
    const auto place = subscribers_.find(from);
    if (place != subscribers_.end()) {
        place->second.scheduler = true;
        place->second.schedulerFence = fence;
        place->second.schedulerHeard = now;
    }
}

} // namespace anvilscale

// The processes that an entry speaks to: which sidecars it is connected to, and what comes from them and from entries.
#include "config.pb.h"
#include "entry_daemon.h"
#include "wire.pb.h"

#include <algorithm>
#include <bit>

namespace anvilscale {

namespace {

constexpr int helloHeartbeats = 4; // a hello to each process connected to, at most every so many heartbeats
constexpr double helloBytes = 100.0; // of a Hello in its envelope, at most
constexpr double helloBudget = 1000.0; // bytes a second that hellos may take of an entry's control budget
constexpr auto longestHelloInterval = Seconds(12); // well under the time after which a configuration is stale
// An entry hears all sidecars of its own data centre. Of the others in its region it keeps a sample to spill to: all
// of them at the two-year size would take it twice its control budget.
constexpr std::uint64_t farSidecars = 32;

} // namespace

void EntryDaemon::sendToSidecar(SendToSidecar &action)
{
    if (!connect(action.sidecar)) {
        if (action.message.has_call_request()) {
            control_.post([this, name = action.sidecar, id = action.message.call_request().id()](Now now) {
                decisions_->onSendFailed(name, id, now);
            });
        }
        return;
    }
    if (action.message.has_hello() && leaseHeld_) {
        // Every hello of the scheduler says so: a sidecar goes by the last one.
        action.message.mutable_hello()->set_scheduler(true);
        action.message.mutable_hello()->set_scheduler_fence(lease_->fence());
    }
    messenger_->sendTo(action.sidecar, action.message);
}

void EntryDaemon::sendToPeer(const std::string &name, const wire::Envelope &message)
{
    if (const auto found = peers_.find(name); found != peers_.end()) {
        messenger_->sendTo(found->second, message);
        return;
    }
    if (connect(name)) {
        messenger_->sendTo(name, message);
    }
}

// ---- other processes

void EntryDaemon::onTargetMessage(const std::string &name, wire::Envelope &&message)
{
    control_.post([this, name, message = std::move(message)](Now now) { fromTarget(name, message, now); });
}

void EntryDaemon::onPeerMessage(PeerHandle peer, wire::Envelope &&message)
{
    control_.post([this, peer, message = std::move(message)](Now now) { fromPeer(peer, message, now); });
}

void EntryDaemon::fromTarget(const std::string &name, const wire::Envelope &message, Now now)
{
    switch (message.body_case()) {
    case wire::Envelope::kHeartbeat: {
        const auto &heartbeat = message.heartbeat();
        if (heartbeat.from().name() != name) {
            return; // the address is in other hands now; the list of VMs will tell
        }
        membership_->onHeartbeat(heartbeat, now);
        spread_->onPeerRevision(name, heartbeat.config_revision(), heartbeat.config_digest(), now);
        if (heartbeat.endpoint_kind() == toString(EndpointKind::Engine)) {
            stepFill_.record(heartbeat.step_fill_permille() / 1000.0);
        }
        if (scheduler_ && leaseHeld_) {
            scheduler_->onHeartbeat(heartbeat, now);
        }
        decisions_->onMessage(name, message, now);
        return;
    }
    case wire::Envelope::kBeat:
        membership_->onBeat(name, message.beat(), now);
        if (message.beat().step_fill_permille() > 0) { // a plain service and an idle engine make no steps
            stepFill_.record(message.beat().step_fill_permille() / 1000.0);
        }
        decisions_->onMessage(name, message, now);
        return;
    case wire::Envelope::kLoadResult:
        if (scheduler_) {
            scheduler_->onLoadResult(message.load_result(), now);
        }
        return;
    case wire::Envelope::kConfigPush:
        spread_->onPush(message.config_push(), now);
        return;
    case wire::Envelope::kConfigFetch:
        spread_->onFetch(name, message.config_fetch(), now);
        return;
    case wire::Envelope::kHello:
        spread_->onPeerRevision(name, message.hello().config_revision(), message.hello().config_digest(), now);
        return;
    case wire::Envelope::kCallEnd:
        stallSeconds_.record(static_cast<double>(message.call_end().stall_us()) / 1e6);
        decisions_->onMessage(name, message, now);
        return;
    default:
        decisions_->onMessage(name, message, now);
    }
}

void EntryDaemon::fromPeer(PeerHandle peer, const wire::Envelope &message, Now now)
{
    switch (message.body_case()) {
    case wire::Envelope::kHello: {
        const auto &hello = message.hello();
        peers_[hello.from().name()] = peer;
        spread_->onPeerRevision(hello.from().name(), hello.config_revision(), hello.config_digest(), now);
        return;
    }
    case wire::Envelope::kConfigFetch:
        peers_[message.config_fetch().from().name()] = peer;
        spread_->onFetch(message.config_fetch().from().name(), message.config_fetch(), now);
        return;
    case wire::Envelope::kConfigPush:
        spread_->onPush(message.config_push(), now);
        return;
    case wire::Envelope::kDrainOrder:
        membership_->onDrain(message.drain_order(), now);
        return;
    case wire::Envelope::kStatusRequest:
        onStatusRequest(peer, message.status_request(), now);
        return;
    default:
        return;
    }
}

bool EntryDaemon::wants(const Member &member) const
{
    if (member.name == settings_.name() || member.state == MemberState::Gone || member.address.empty()) {
        return false;
    }
    if (member.role == VmRole::Entry) {
        return member.dataCentre == settings_.data_centre();
    }
    if (member.dataCentre == settings_.data_centre() || leaseHeld_) {
        return true;
    }
    return member.region == settings_.region() && inFarSample(member.name);
}

/// Each entry takes another sample, the same as long as the number of sidecars stays about the same.
bool EntryDaemon::inFarSample(const std::string &sidecar) const
{
    const auto others =
        static_cast<std::uint64_t>(std::ranges::count_if(membership_->members(), [this](const Member &member) {
            return member.role == VmRole::Sidecar && member.region == settings_.region()
                   && member.dataCentre != settings_.data_centre();
        }));
    const auto kept = std::bit_ceil(std::max(others, farSidecars)) / std::bit_floor(farSidecars);
    return hash64(sidecar, hash64(settings_.name())) % kept == 0;
}

bool EntryDaemon::connect(const std::string &name)
{
    const auto *member = membership_->find(name);
    if (member == nullptr || member->address.empty() || member->state == MemberState::Gone) {
        return connected_.count(name) != 0;
    }
    auto &address = connected_[name];
    if (address != member->address) {
        address = member->address;
        messenger_->connectTo(name, address);
    }
    return true;
}

void EntryDaemon::onMember(const Member &member)
{
    logEvent(Event::MemberChanged, {{"member", member.name}, {"state", std::string(toString(member.state))}});
    const auto now = readClocks();
    if (member.state == MemberState::Gone) {
        if (connected_.erase(member.name) != 0) {
            messenger_->disconnectFrom(member.name);
        }
    } else if (wants(member)) {
        connect(member.name);
    }
    decisions_->onMember(member, now);
    if (scheduler_) {
        scheduler_->onMember(member, now);
    }
}

void EntryDaemon::onVmList(const HttpVmList::Result &result, Now now)
{
    if (!result) {
        if (!std::exchange(vmListDown_, true)) {
            logEvent(Event::VmListDown, {{"error", std::string(toString(result.error()))}});
        }
        return;
    }
    vmListDown_ = false;
    membership_->onVmList(*result, now);
}

void EntryDaemon::onTargetUp(const std::string &name)
{
    sayHello(name, true);
}

void EntryDaemon::onTargetLost(const std::string &name, Now now)
{
    logEvent(Event::PeerLost, {{"peer", name}});
    membership_->onUnreachable(name, now);
    spread_->onPeerLost(name);
    decisions_->onConversationLost(name, now);
}

void EntryDaemon::sayHello(const std::string &name, bool wantFull)
{
    SendToSidecar action{name, makeHello(settings_.name(), incarnation_, settings_.data_centre(), config_)};
    action.message.mutable_hello()->set_want_full(wantFull);
    sendToSidecar(action);
}

void EntryDaemon::scheduleHellos(Now now)
{
    const auto byBudget = Duration(static_cast<Duration::rep>(1e6 * helloBytes * connected_.size() / helloBudget));
    const auto span = std::clamp<Duration>(byBudget, timing_.heartbeat * helloHeartbeats, longestHelloInterval);
    const auto interval = random_.jitter(span);
    control_.timers().subscribe(now.mono + interval, [this](TimePoint at) {
        for (const auto &[name, address] : connected_) {
            sayHello(name, false);
        }
        scheduleHellos(Now{at, {}});
    });
}

} // namespace anvilscale

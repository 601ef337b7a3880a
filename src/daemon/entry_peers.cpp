// EntryDaemon: connections to sidecars and other entries, and their messages.
#include "config.pb.h"
#include "entry_daemon.h"
#include "wire.pb.h"

#include <algorithm>
#include <bit>

namespace anvilscale {

namespace {

constexpr int minHelloHeartbeats = 4; // minimum interval between hellos, in heartbeats
constexpr double maxHelloBytes = 100.0; // upper bound on the size of a Hello message
constexpr double maxHelloBytesPerSecond = 1000.0; // share of the control budget of an entry, in bytes per second
constexpr auto maxHelloInterval = Seconds(12); // below the time after which a configuration counts as stale
// An entry connects to all sidecars of its own data centre and to a sample of the others in its region, to which it
// spills calls. Bounds the heartbeat traffic of an entry in large regions: at the two-year size all of them would take
// twice its control budget.
constexpr std::uint64_t remoteSampleSize = 32;

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
    if (action.message.has_hello() && isLeaseHeld_) {
        // Set on every Hello: a sidecar uses the last one it received.
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
    control_.post([this, name, message = std::move(message)](Now now) { handleTargetMessage(name, message, now); });
}

void EntryDaemon::onPeerMessage(PeerHandle peer, wire::Envelope &&message)
{
    control_.post([this, peer, message = std::move(message)](Now now) { handlePeerMessage(peer, message, now); });
}

void EntryDaemon::handleTargetMessage(const std::string &name, const wire::Envelope &message, Now now)
{
    switch (message.body_case()) {
    case wire::Envelope::kHeartbeat: {
        const auto &heartbeat = message.heartbeat();
        if (heartbeat.from().name() != name) {
            return; // another process uses the address now; the list of VMs will be updated
        }
        membership_->onHeartbeat(heartbeat, now);
        configDistributor_->onPeerRevision(name, heartbeat.config_revision(), heartbeat.config_digest(), now);
        if (heartbeat.endpoint_kind() == toString(EndpointKind::Engine)) {
            stepFill_.record(heartbeat.step_fill_permille() / 1000.0);
        }
        if (scheduler_ && isLeaseHeld_) {
            scheduler_->onHeartbeat(heartbeat, now);
        }
        decisions_->onMessage(name, message, now);
        return;
    }
    case wire::Envelope::kBeat:
        membership_->onBeat(name, message.beat(), now);
        if (message.beat().step_fill_permille() > 0) { // 0 for a plain service or an idle engine
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
        configDistributor_->onPush(message.config_push(), now);
        return;
    case wire::Envelope::kConfigFetch:
        configDistributor_->onFetch(name, message.config_fetch(), now);
        return;
    case wire::Envelope::kHello:
        configDistributor_->onPeerRevision(name, message.hello().config_revision(), message.hello().config_digest(),
                                           now);
        return;
    case wire::Envelope::kCallEnd:
        stallSeconds_.record(static_cast<double>(message.call_end().stall_us()) / 1e6);
        decisions_->onMessage(name, message, now);
        return;
    default:
        decisions_->onMessage(name, message, now);
    }
}

void EntryDaemon::handlePeerMessage(PeerHandle peer, const wire::Envelope &message, Now now)
{
    switch (message.body_case()) {
    case wire::Envelope::kHello: {
        const auto &hello = message.hello();
        peers_[hello.from().name()] = peer;
        configDistributor_->onPeerRevision(hello.from().name(), hello.config_revision(), hello.config_digest(), now);
        return;
    }
    case wire::Envelope::kConfigFetch:
        peers_[message.config_fetch().from().name()] = peer;
        configDistributor_->onFetch(message.config_fetch().from().name(), message.config_fetch(), now);
        return;
    case wire::Envelope::kConfigPush:
        configDistributor_->onPush(message.config_push(), now);
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

bool EntryDaemon::shouldConnect(const Member &member) const
{
    if (member.name == settings_.name() || member.state == MemberState::Gone || member.address.empty()) {
        return false;
    }
    if (member.role == VmRole::Entry) {
        return member.dataCentre == settings_.data_centre();
    }
    if (member.dataCentre == settings_.data_centre() || isLeaseHeld_) {
        return true;
    }
    return member.region == settings_.region() && isInRemoteSample(member.name);
}

/// Samples differ between entries and stay the same while the number of sidecars is about constant.
bool EntryDaemon::isInRemoteSample(const std::string &sidecar) const
{
    const auto remoteSidecars =
        static_cast<std::uint64_t>(std::ranges::count_if(membership_->members(), [this](const Member &member) {
            return member.role == VmRole::Sidecar && member.region == settings_.region()
                   && member.dataCentre != settings_.data_centre();
        }));
    const auto sampleDivisor =
        std::bit_ceil(std::max(remoteSidecars, remoteSampleSize)) / std::bit_floor(remoteSampleSize);
    return hash64(sidecar, hash64(settings_.name())) % sampleDivisor == 0;
}

bool EntryDaemon::connect(const std::string &name)
{
    const auto *member = membership_->find(name);
    if (member == nullptr || member->address.empty() || member->state == MemberState::Gone) {
        return connectedAddresses_.count(name) != 0;
    }
    auto &address = connectedAddresses_[name];
    if (address != member->address) {
        address = member->address;
        connectMember(*messenger_, name, address);
    }
    return true;
}

void EntryDaemon::onMember(const Member &member)
{
    logEvent(Event::MemberChanged, {{"member", member.name}, {"state", std::string(toString(member.state))}});
    const auto now = readClocks();
    if (member.state == MemberState::Gone) {
        if (connectedAddresses_.erase(member.name) != 0) {
            messenger_->disconnectFrom(member.name);
        }
    } else if (shouldConnect(member)) {
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
        if (!std::exchange(isVmListDown_, true)) {
            logEvent(Event::VmListDown, {{"error", std::string(toString(result.error()))}});
        }
        return;
    }
    isVmListDown_ = false;
    membership_->onVmList(*result, now);
}

void EntryDaemon::onTargetUp(const std::string &name)
{
    sendHello(name, true);
}

void EntryDaemon::onTargetLost(const std::string &name, Now now)
{
    logEvent(Event::PeerLost, {{"peer", name}});
    membership_->onUnreachable(name, now);
    configDistributor_->onPeerLost(name);
    decisions_->onConnectionLost(name, now);
}

void EntryDaemon::sendHello(const std::string &name, bool requestFullState)
{
    SendToSidecar action{name, makeHello(settings_.name(), incarnation_, settings_.data_centre(), config_)};
    action.message.mutable_hello()->set_want_full(requestFullState);
    sendToSidecar(action);
}

void EntryDaemon::scheduleHellos(Now now)
{
    const auto budgetInterval =
        Duration(static_cast<Duration::rep>(1e6 * maxHelloBytes * connectedAddresses_.size() / maxHelloBytesPerSecond));
    const auto meanInterval =
        std::clamp<Duration>(budgetInterval, timing_.heartbeat * minHelloHeartbeats, maxHelloInterval);
    const auto interval = random_.jitter(meanInterval);
    control_.timers().subscribe(now.mono + interval, [this](TimePoint at) {
        for (const auto &[name, address] : connectedAddresses_) {
            sendHello(name, false);
        }
        scheduleHellos(Now{at, {}});
    });
}

} // namespace anvilscale

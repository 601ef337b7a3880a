// Thread of the messenger: a bound ROUTER and a DEALER per target. Other threads submit commands through a queue and
// wake the thread by an eventfd.
#include "messenger_impl.h"

#include "anvilscale/telemetry.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>

namespace anvilscale {

namespace {

constexpr int maxReceivesPerTurn = 256; // from one socket before the others are served
constexpr auto maxPollWait = std::chrono::milliseconds(200); // longest interval between expiry checks of messages
constexpr auto silenceCheckInterval = std::chrono::milliseconds(100); // between checks for silent targets
constexpr auto retryPollWait = std::chrono::milliseconds(2); // while a new connection does not accept messages yet
constexpr int minReconnectMs = 50;
constexpr int maxReconnectMs = 1000;
constexpr int keepAliveSeconds = 1; // the kernel's unit is one second
constexpr int keepAliveProbes = 2;
constexpr int millisecondsPerSecond = 1000;
constexpr std::uint16_t connectedEvent = ZMQ_EVENT_HANDSHAKE_SUCCEEDED;
constexpr std::uint16_t disconnectedEvent = ZMQ_EVENT_DISCONNECTED;
constexpr std::uint16_t handshakeFailedEvents =
    ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;
constexpr std::uint16_t acceptedEvent = ZMQ_EVENT_ACCEPTED;
constexpr std::uint16_t acceptFailedEvent = ZMQ_EVENT_ACCEPT_FAILED;
constexpr auto routerMonitorAddress = "inproc://monitor-of-router";

std::string toHex(std::uint64_t number)
{
    std::array<char, 17> text{};
    const auto length = std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return {text.data(), static_cast<std::size_t>(length)};
}

/// Returns a number that is part of a connection's identity at the other end and never reused. A target that
/// reconnected under the identity of a connection that still exists would never come up, and messages to it would be
/// lost.
std::uint64_t nextEpoch()
{
    static std::atomic<std::uint64_t> lastEpoch = 0;
    return ++lastEpoch;
}

} // namespace

void Messenger::Impl::run()
{
    while (!isStopping) {
        runGuarded(ErrorPlace::MessengerTurn, [this] { poll(); });
        runCommands();
    }
    for (auto &[name, target] : targets) {
        closeSockets(*target);
    }
    targets.clear();
    zmq_socket_monitor(router.handle(), nullptr, 0);
    routerMonitor.close();
    router.close();
    listener->close();
}

void Messenger::Impl::poll()
{
    const bool hasWaiting = std::any_of(waitingTargets.begin(), waitingTargets.end(),
                                        [this](const auto &name) { return targets.at(name)->isUp; });
    const auto readyNames = socketWatch.wait(hasWaiting ? retryPollWait : maxPollWait);
    if (readyNames.count(std::string(wakeName)) != 0) {
        std::uint64_t value = 0;
        [[maybe_unused]] const auto got = ::read(wakeFd, &value, sizeof value);
    }
    if (readyNames.count(std::string(routerName)) != 0) {
        receivePeers();
    }
    if (readyNames.count(std::string(routerMonitorName)) != 0) {
        handleRouterEvents();
    }
    listener->onTick();
    for (const auto &name : readyNames) {
        const auto found = targets.find(name);
        if (found != targets.end() && closedTargets.count(name) == 0) {
            receiveTarget(*found->second);
            handleMonitorEvents(*found->second);
        }
    }
    handleWaitingTargets();
    openClosedTargets();
    if (init.livenessCheck == LivenessCheck::KeepAlive) {
        reopenSilentTargets();
    }
}

// Reopens connections that stopped delivering messages without a reset. Time in which this thread did not run does
// not count, as messages that arrived meanwhile may still be unread.
void Messenger::Impl::reopenSilentTargets()
{
    const auto now = std::chrono::steady_clock::now();
    const auto elapsed = now - silenceCheckedAt;
    if (elapsed < silenceCheckInterval) {
        return;
    }
    silenceCheckedAt = now;
    const auto pausedTime =
        std::max(std::chrono::steady_clock::duration::zero(), elapsed - silenceCheckInterval - 2 * maxPollWait);
    visitedTargets += targets.size();
    for (auto &[name, target] : targets) {
        if (!target->isUp || !target->lastReceivedAt) {
            continue;
        }
        *target->lastReceivedAt += pausedTime;
        if (now - *target->lastReceivedAt < init.silenceTimeout) {
            continue;
        }
        reopenConnection(*target);
        handlers.targetLost(target->name);
    }
}

void Messenger::Impl::runCommands()
{
    std::vector<Command> batch;
    {
        const std::lock_guard lock(mutex);
        batch.swap(commands);
        isWakePending = false;
    }
    for (auto &command : batch) {
        runGuarded(ErrorPlace::MessengerCommand, [&] { runCommand(command); });
    }
}

void Messenger::Impl::runCommand(Command &command)
{
    switch (command.kind) {
    case Command::Kind::Send:
        queuedBytes -= command.message.data.size();
        send(std::move(command.message));
        return;
    case Command::Kind::Connect:
        connectTarget(command.name, command.address, nextEpoch());
        return;
    case Command::Kind::Disconnect:
        removeTarget(command.name);
        return;
    case Command::Kind::DropPeer:
        if (const auto found = identityByPeer.find(command.peer); found != identityByPeer.end()) {
            peerByIdentity.erase(found->second);
            identityByPeer.erase(found);
        }
        return;
    case Command::Kind::Stop:
        isStopping = true;
        return;
    }
}

void Messenger::Impl::removeTarget(const std::string &name)
{
    const auto found = targets.find(name);
    if (found == targets.end()) {
        return;
    }
    closeSockets(*found->second);
    targets.erase(found);
    waitingTargets.erase(name);
    closedTargets.erase(name);
}

// Ends the monitor before its receiving socket is closed. Without a receiver, the next event of the connection would
// block the I/O thread of ZeroMQ for ever, and with it all connections of this process.
void Messenger::Impl::closeSockets(Target &target)
{
    if (target.monitor.handle() != nullptr) {
        socketWatch.remove(target.monitor);
    }
    if (target.dealer.handle() != nullptr) {
        socketWatch.remove(target.dealer);
        zmq_socket_monitor(target.dealer.handle(), nullptr, 0);
    }
    target.monitor.close();
    target.dealer.close();
}

void Messenger::Impl::connectTarget(const std::string &name, NetAddress address, std::uint64_t epoch)
{
    auto &target = targets[name];
    if (target && target->address == address) {
        return;
    }
    if (target) {
        closeSockets(*target);
    }
    waitingTargets.erase(name);
    closedTargets.erase(name);
    target = std::make_unique<Target>();
    target->name = name;
    target->address = address;
    target->epoch = epoch;
    openTarget(*target);
}

// Without descriptors no socket can be made. The target stays, as its messages and its removal refer to it, and is
// opened again later.
void Messenger::Impl::openTarget(Target &target)
{
    if (!runGuarded(ErrorPlace::MessengerCommand, [&] { openDealer(target); })) {
        closeSockets(target);
        closedTargets.insert(target.name);
    }
}

void Messenger::Impl::openClosedTargets()
{
    const auto now = std::chrono::steady_clock::now();
    if (closedTargets.empty() || now < nextOpenAt) {
        return;
    }
    nextOpenAt = now + openRetryInterval;
    for (const auto &name : std::exchange(closedTargets, {})) {
        if (const auto found = targets.find(name); found != targets.end()) {
            found->second->epoch = nextEpoch();
            openTarget(*found->second);
        }
    }
}

void Messenger::Impl::openDealer(Target &target)
{
    target.isUp = false;
    target.hasSent = false;
    target.lastReceivedAt.reset();
    target.dealer = zmq::socket_t(context, zmq::socket_type::dealer);
    auto &dealer = target.dealer;
    // The epoch makes each connection a new peer at the other end: replies to requests of an old connection cannot
    // arrive here, and the other end detects that the old one is lost.
    dealer.set(zmq::sockopt::routing_id, init.name + "/" + toHex(init.incarnation) + "/" + toHex(target.epoch));
    dealer.set(zmq::sockopt::linger, lingerMs);
    dealer.set(zmq::sockopt::immediate, true);
    dealer.set(zmq::sockopt::sndhwm, maxSocketQueue);
    dealer.set(zmq::sockopt::rcvhwm, maxSocketQueue);
    dealer.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(init.maxMessageBytes));
    dealer.set(zmq::sockopt::reconnect_ivl, minReconnectMs);
    dealer.set(zmq::sockopt::reconnect_ivl_max, maxReconnectMs);
    configureLiveness(dealer);
    const auto events = "inproc://monitor/" + target.name + "/" + toHex(target.epoch);
    zmq_socket_monitor(dealer.handle(), events.c_str(), connectedEvent | disconnectedEvent);
    target.monitor = zmq::socket_t(context, zmq::socket_type::pair);
    target.monitor.set(zmq::sockopt::linger, 0);
    target.monitor.connect(events);
    dealer.connect("tcp://" + target.address.text());
    socketWatch.add(dealer, target.name);
    socketWatch.add(target.monitor, target.name);
}

void Messenger::Impl::configureLiveness(zmq::socket_t &socket) const
{
    if (init.livenessCheck == LivenessCheck::Heartbeats) {
        socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(init.heartbeat.count() / 1000));
        socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(init.silenceTimeout.count() / 1000));
        return;
    }
    socket.set(zmq::sockopt::tcp_keepalive, 1);
    socket.set(zmq::sockopt::tcp_keepalive_idle, keepAliveSeconds);
    socket.set(zmq::sockopt::tcp_keepalive_intvl, keepAliveSeconds);
    socket.set(zmq::sockopt::tcp_keepalive_cnt, keepAliveProbes);
    // Keep-alive probes cover idle connections only; this bounds the retransmission of unacknowledged data.
    socket.set(zmq::sockopt::tcp_maxrt, (1 + keepAliveProbes) * keepAliveSeconds * millisecondsPerSecond);
}

void Messenger::Impl::reopenConnection(Target &target)
{
    target.epoch = nextEpoch();
    target.wasUpBefore = true;
    target.dealer.set(zmq::sockopt::linger, 0);
    closeSockets(target);
    openTarget(target);
}

void Messenger::Impl::onSendFailed(const Outgoing &message, MessageDrop reason)
{
    count(reason);
    if (message.request) {
        handlers.sendFailed(message.target, *message.request);
    }
}

void Messenger::Impl::send(Outgoing message)
{
    if (message.peer) {
        sendToPeer(std::move(message));
        return;
    }
    const auto found = targets.find(message.target);
    if (found == targets.end()) {
        onSendFailed(message, MessageDrop::PeerGone);
        return;
    }
    sendToTarget(*found->second, std::move(message));
}

bool Messenger::Impl::trySendMessage(zmq::socket_t &socket, Outgoing &message)
{
    const auto size = message.data.size();
    socketWatch.markUsed(message.peer ? std::string(routerName) : message.target);
    if (!socket.send(message.data, zmq::send_flags::dontwait)) {
        return false;
    }
    sent += 1;
    sentBytes += size;
    return true;
}

void Messenger::Impl::sendToPeer(Outgoing message)
{
    const auto found = identityByPeer.find(message.peer);
    if (found == identityByPeer.end()) {
        count(MessageDrop::PeerGone);
        return;
    }
    try {
        zmq::message_t identity(found->second);
        if (!router.send(identity, zmq::send_flags::sndmore | zmq::send_flags::dontwait)) {
            socketWatch.markUsed(std::string(routerName));
            count(MessageDrop::PeerBusy);
            return;
        }
        trySendMessage(router, message);
    } catch (const zmq::error_t &error) {
        if (error.num() != EHOSTUNREACH) {
            throw;
        }
        count(MessageDrop::PeerGone);
        onPeerUnreachable(message.peer);
    }
}

void Messenger::Impl::onPeerUnreachable(PeerHandle peer)
{
    const auto found = identityByPeer.find(peer);
    if (found == identityByPeer.end()) {
        return;
    }
    peerByIdentity.erase(found->second);
    identityByPeer.erase(found);
    handlers.peerLost(peer);
}

void Messenger::Impl::sendToTarget(Target &target, Outgoing message)
{
    if (!target.isUp && target.wasUpBefore && message.request) {
        onSendFailed(message, MessageDrop::PeerGone);
        return;
    }
    if (!target.isUp || !target.waitingMessages.empty()) {
        if (target.waitingMessages.size() >= init.maxConnectQueue) {
            onSendFailed(target.waitingMessages.front(), MessageDrop::PeerGone);
            target.waitingMessages.pop_front();
        }
        addWaiting(target, std::move(message));
        return;
    }
    if (trySendMessage(target.dealer, message)) {
        target.hasSent = true;
    } else if (!target.hasSent) {
        // The connection is up but not yet attached to the socket; it will accept messages shortly.
        addWaiting(target, std::move(message));
    } else {
        onSendFailed(message, MessageDrop::PeerBusy);
    }
}

void Messenger::Impl::addWaiting(Target &target, Outgoing message)
{
    target.waitingMessages.push_back(std::move(message));
    waitingTargets.insert(target.name);
}

void Messenger::Impl::handleWaitingTargets()
{
    for (auto it = waitingTargets.begin(); it != waitingTargets.end();) {
        auto &target = *targets.at(*it);
        ++visitedTargets;
        sendWaiting(target);
        expireWaiting(target);
        it = target.waitingMessages.empty() ? waitingTargets.erase(it) : std::next(it);
    }
}

void Messenger::Impl::sendWaiting(Target &target)
{
    while (target.isUp && !target.waitingMessages.empty()) {
        if (!trySendMessage(target.dealer, target.waitingMessages.front())) {
            return;
        }
        target.hasSent = true;
        target.waitingMessages.pop_front();
    }
}

// Fails messages that have waited too long, so that their calls can be routed elsewhere.
void Messenger::Impl::expireWaiting(Target &target)
{
    const auto minQueuedAt = std::chrono::steady_clock::now() - init.silenceTimeout;
    while (!target.waitingMessages.empty() && target.waitingMessages.front().queuedAt < minQueuedAt) {
        onSendFailed(target.waitingMessages.front(), MessageDrop::PeerGone);
        target.waitingMessages.pop_front();
    }
}

bool Messenger::Impl::parse(const zmq::message_t &data, wire::Envelope &message)
{
    received += 1;
    receivedBytes += data.size();
    if (data.size() > init.maxMessageBytes) {
        count(MessageDrop::TooLarge);
        return false;
    }
    if (!message.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
        count(MessageDrop::NotParsed);
        return false;
    }
    if (message.protocol() != wireProtocol) {
        count(MessageDrop::WrongProtocol);
        return false;
    }
    if (message.body_case() == wire::Envelope::BODY_NOT_SET) {
        count(MessageDrop::NoBody);
        return false;
    }
    return true;
}

void Messenger::Impl::receivePeers()
{
    for (int i = 0; i < maxReceivesPerTurn; ++i) {
        zmq::message_t identity;
        if (!router.recv(identity, zmq::recv_flags::dontwait)) {
            return;
        }
        zmq::message_t data;
        bool hasMore = identity.more();
        if (hasMore) {
            hasMore = router.recv(data, zmq::recv_flags::none).has_value() && data.more();
        }
        bool hasExtraParts = false;
        while (hasMore) {
            zmq::message_t extraPart;
            hasMore = router.recv(extraPart, zmq::recv_flags::none).has_value() && extraPart.more();
            hasExtraParts = true;
        }
        wire::Envelope message;
        if (hasExtraParts) {
            count(MessageDrop::NotParsed);
            continue;
        }
        if (!parse(data, message)) {
            continue;
        }
        auto &handle = peerByIdentity[identity.to_string()];
        if (!handle) {
            handle = PeerHandle{++lastPeer};
            identityByPeer[handle] = identity.to_string();
        }
        runGuarded(ErrorPlace::MessengerMessage, [&] { handlers.fromPeer(handle, std::move(message)); });
    }
    socketWatch.markUsed(std::string(routerName)); // more messages may be queued
}

void Messenger::Impl::openRouterMonitor()
{
    router.set(zmq::sockopt::handshake_ivl, static_cast<int>(toMilliseconds(init.handshakeTimeout)));
    zmq_socket_monitor(router.handle(), routerMonitorAddress,
                       acceptedEvent | acceptFailedEvent | connectedEvent | handshakeFailedEvents);
    routerMonitor = zmq::socket_t(context, zmq::socket_type::pair);
    routerMonitor.set(zmq::sockopt::linger, 0);
    routerMonitor.connect(routerMonitorAddress);
}

void Messenger::Impl::handleRouterEvents()
{
    zmq::message_t event;
    zmq::message_t address;
    while (routerMonitor.recv(event, zmq::recv_flags::dontwait)) {
        [[maybe_unused]] const auto got = routerMonitor.recv(address, zmq::recv_flags::none);
        std::uint16_t kind = 0;
        std::int32_t value = 0;
        std::memcpy(&kind, event.data(), sizeof kind);
        std::memcpy(&value, static_cast<const char *>(event.data()) + sizeof kind, sizeof value);
        if (kind == acceptedEvent) {
            listener->onAccepted(value);
        } else if (kind == acceptFailedEvent && isShortageError(value)) {
            listener->onAcceptFailed();
        } else if (kind == connectedEvent || (kind & handshakeFailedEvents) != 0) {
            listener->onHandshakeEnded();
        }
    }
}

void Messenger::Impl::receiveTarget(Target &target)
{
    for (int i = 0; i < maxReceivesPerTurn; ++i) {
        zmq::message_t data;
        if (!target.dealer.recv(data, zmq::recv_flags::dontwait)) {
            return;
        }
        target.lastReceivedAt = std::chrono::steady_clock::now();
        wire::Envelope message;
        if (parse(data, message)) {
            runGuarded(ErrorPlace::MessengerMessage, [&] { handlers.fromTarget(target.name, std::move(message)); });
        }
    }
    socketWatch.markUsed(target.name); // more messages may be queued
}

void Messenger::Impl::handleMonitorEvents(Target &target)
{
    zmq::message_t event;
    zmq::message_t address;
    bool isLost = false;
    while (target.monitor.recv(event, zmq::recv_flags::dontwait)) {
        [[maybe_unused]] const auto got = target.monitor.recv(address, zmq::recv_flags::none);
        std::uint16_t kind = 0;
        std::memcpy(&kind, event.data(), sizeof kind);
        if (kind == connectedEvent && !target.isUp) {
            target.isUp = true;
            handlers.targetUp(target.name);
        }
        isLost = isLost || (kind == disconnectedEvent && target.isUp);
    }
    if (isLost) {
        receiveTarget(target); // messages that arrived before the loss are still delivered
        reopenConnection(target);
        handlers.targetLost(target.name);
        return;
    }
}

} // namespace anvilscale

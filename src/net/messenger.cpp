// The messenger: one thread that owns a ROUTER and a DEALER for each target. Other threads hand messages over through
// a queue; an eventfd wakes the thread.
#include "socket_watch.h"

#include "anvilscale/net.h"

#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace anvilscale {

namespace {

constexpr int socketQueue = 20'000; // messages that ZeroMQ keeps for one connection
constexpr int receivesAtOnce = 256; // from one socket before the others get their turn
constexpr auto longestWait = std::chrono::milliseconds(200); // expiry of waiting messages is looked at this often
constexpr auto retryWait = std::chrono::milliseconds(2); // while a connection that came up takes nothing yet
constexpr int lingerMs = 200;
constexpr int reconnectMs = 50;
constexpr int reconnectMaxMs = 1000;
// Names of targets are never of this form.
const std::string wakeName = "\nwake";
const std::string routerName = "\nrouter";
constexpr std::uint16_t connectedEvent = ZMQ_EVENT_HANDSHAKE_SUCCEEDED;
constexpr std::uint16_t lostEvent = ZMQ_EVENT_DISCONNECTED;

/// A message on its way out.
struct Outgoing
{
    PeerHandle peer; // none: to `target`
    std::string target;
    zmq::message_t data;
    std::optional<wire::AttemptId> request; // set for a call request: told if it is certainly not sent
    std::chrono::steady_clock::time_point since; // when it was handed over
};

struct Command
{
    enum class Kind : std::uint8_t {
        Send,
        Connect,
        Disconnect,
        ForgetPeer,
        Stop
    };
    Kind kind = Kind::Send;
    Outgoing message;
    std::string name;
    std::string address;
    PeerHandle peer;
};

struct Target
{
    std::string name;
    std::string address;
    std::uint64_t epoch = 0;
    zmq::socket_t dealer;
    zmq::socket_t monitor;
    bool up = false;
    bool sentAny = false; // on the present connection
    bool lostBefore = false; // it was up once: a call for it is not kept waiting
    std::deque<Outgoing> waiting; // for the connection to come up
};

struct Peer
{
    PeerHandle handle;
    std::string identity;
};

std::string hex(std::uint64_t number)
{
    std::array<char, 17> text{};
    const auto length = std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace

struct Messenger::Impl
{
    MessengerInit init;
    Handlers handlers;
    zmq::context_t context{1};
    zmq::socket_t router;
    std::uint16_t port = 0;
    int wakeFd = -1;
    std::thread thread;

    std::mutex mutex;
    std::vector<Command> commands; // guarded by mutex
    bool awake = false; // guarded by mutex
    std::atomic<std::size_t> queuedBytes = 0;
    std::atomic<std::uint64_t> lastMessage = 0;

    std::array<std::atomic<std::uint64_t>, enumCount<MessageDrop>> dropped{};
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> sentBytes = 0;
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> receivedBytes = 0;

    // The messenger's thread only.
    std::unordered_map<std::string, PeerHandle> peersByIdentity;
    std::unordered_map<PeerHandle, std::string> identities;
    std::uint64_t lastPeer = 0;
    std::map<std::string, std::unique_ptr<Target>> targets;
    SocketWatch watch; // of the wake-up and the router under reserved names, of targets under theirs
    bool stopping = false;

    ~Impl()
    {
        if (wakeFd >= 0) {
            ::close(wakeFd);
        }
    }

    void count(MessageDrop why)
    {
        dropped[static_cast<std::size_t>(why)] += 1;
    }
    void submit(Command command);
    void submitMessage(PeerHandle peer, const std::string &target, const wire::Envelope &message);
    void run();
    void poll();
    void runCommands();
    void runCommand(Command &command);
    void connectTarget(const std::string &name, const std::string &address, std::uint64_t epoch);
    void openDealer(Target &target);
    void reopen(Target &target);
    void forgetTarget(const std::string &name);
    void send(Outgoing message);
    void sendToPeer(Outgoing message);
    void sendToTarget(Target &target, Outgoing message);
    bool push(zmq::socket_t &socket, Outgoing &message);
    void notSent(const Outgoing &message, MessageDrop why);
    void losePeer(PeerHandle peer);
    void receivePeers();
    void receiveTarget(Target &target);
    void watchTarget(Target &target);
    void flushWaiting(Target &target);
    void expireWaiting(Target &target);
    bool parse(const zmq::message_t &data, wire::Envelope &message);
};

Messenger::Messenger(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

Messenger::~Messenger()
{
    shutdown();
}

tl::expected<std::unique_ptr<Messenger>, NetError> Messenger::create(MessengerInit init, Handlers handlers)
{
    auto impl = std::make_unique<Impl>();
    impl->init = std::move(init);
    impl->handlers = std::move(handlers);
    const auto text = impl->init.address + ":" + (impl->init.port == 0 ? "*" : std::to_string(impl->init.port));
    try {
        impl->router = zmq::socket_t(impl->context, zmq::socket_type::router);
        auto &router = impl->router;
        router.set(zmq::sockopt::linger, lingerMs);
        router.set(zmq::sockopt::router_mandatory, true);
        router.set(zmq::sockopt::sndhwm, socketQueue);
        router.set(zmq::sockopt::rcvhwm, socketQueue);
        router.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(impl->init.messageLimit));
        router.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(impl->init.heartbeat.count() / 1000));
        router.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(impl->init.silence.count() / 1000));
        router.bind("tcp://" + text);
        const auto bound = router.get(zmq::sockopt::last_endpoint);
        impl->port = static_cast<std::uint16_t>(std::stoul(bound.substr(bound.rfind(':') + 1)));
    } catch (const zmq::error_t &error) {
        const auto kind = error.num() == EADDRINUSE ? NetErrorKind::AddressInUse
                          : error.num() == EACCES   ? NetErrorKind::NotPermitted
                                                    : NetErrorKind::BadAddress;
        return tl::unexpected(NetError{kind, text, error.what()});
    }
    impl->wakeFd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    impl->watch.add(impl->wakeFd, wakeName);
    impl->watch.add(impl->router, routerName);
    return std::unique_ptr<Messenger>(new Messenger(std::move(impl)));
}

std::uint16_t Messenger::port() const
{
    return impl_->port;
}

void Messenger::start()
{
    impl_->thread = std::thread([impl = impl_.get()] { impl->run(); });
    pthread_setname_np(impl_->thread.native_handle(), "messenger");
}

void Messenger::shutdown()
{
    if (!impl_->thread.joinable()) {
        return;
    }
    Command command;
    command.kind = Command::Kind::Stop;
    impl_->submit(std::move(command));
    impl_->thread.join();
}

void Messenger::connectTo(const std::string &name, const std::string &address)
{
    Command command;
    command.kind = Command::Kind::Connect;
    command.name = name;
    command.address = address;
    impl_->submit(std::move(command));
}

void Messenger::disconnectFrom(const std::string &name)
{
    Command command;
    command.kind = Command::Kind::Disconnect;
    command.name = name;
    impl_->submit(std::move(command));
}

void Messenger::forgetPeer(PeerHandle peer)
{
    Command command;
    command.kind = Command::Kind::ForgetPeer;
    command.peer = peer;
    impl_->submit(std::move(command));
}

void Messenger::sendTo(PeerHandle peer, const wire::Envelope &message)
{
    impl_->submitMessage(peer, {}, message);
}

void Messenger::sendTo(const std::string &name, const wire::Envelope &message)
{
    impl_->submitMessage(PeerHandle{}, name, message);
}

MessengerStats Messenger::stats() const
{
    MessengerStats result;
    for (std::size_t i = 0; i < enumCount<MessageDrop>; ++i) {
        result.dropped.add(static_cast<MessageDrop>(i), impl_->dropped[i]);
    }
    result.sent = impl_->sent;
    result.sentBytes = impl_->sentBytes;
    result.received = impl_->received;
    result.receivedBytes = impl_->receivedBytes;
    return result;
}

void Messenger::Impl::submit(Command command)
{
    bool sleeping = false;
    {
        const std::lock_guard lock(mutex);
        commands.push_back(std::move(command));
        sleeping = !awake;
        awake = true;
    }
    if (sleeping) {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(wakeFd, &one, sizeof one);
    }
}

void Messenger::Impl::submitMessage(PeerHandle peer, const std::string &target, const wire::Envelope &message)
{
    Command command;
    auto &out = command.message;
    out.peer = peer;
    out.target = target;
    out.since = std::chrono::steady_clock::now();
    if (message.has_call_request()) {
        out.request = message.call_request().id();
    }
    wire::Envelope head; // protocol and number are the messenger's own
    head.set_protocol(wireProtocol);
    head.set_message_id(++lastMessage);
    const auto size = message.ByteSizeLong();
    const auto headSize = head.ByteSizeLong();
    out.data = zmq::message_t(size + headSize);
    auto *bytes = static_cast<std::uint8_t *>(out.data.data());
    // Two serialised messages one after the other are their merge; the later scalar fields win.
    message.SerializeWithCachedSizesToArray(bytes);
    head.SerializeWithCachedSizesToArray(bytes + size);
    if (queuedBytes.fetch_add(out.data.size()) > init.queueBytes) {
        queuedBytes -= out.data.size();
        count(MessageDrop::QueueFull);
        if (out.request) {
            handlers.sendFailed(target, *out.request);
        }
        return;
    }
    submit(std::move(command));
}

void Messenger::Impl::run()
{
    while (!stopping) {
        try {
            poll();
            runCommands();
        } catch (const zmq::error_t &error) {
            if (error.num() == ETERM) {
                return;
            }
        }
    }
    targets.clear();
    router.close();
}

void Messenger::Impl::poll()
{
    const bool anyWaits = std::any_of(targets.begin(), targets.end(), [](const auto &entry) {
        return entry.second->up && !entry.second->waiting.empty();
    });
    const auto due = watch.wait(anyWaits ? retryWait : longestWait);
    if (due.count(wakeName) != 0) {
        std::uint64_t value = 0;
        [[maybe_unused]] const auto got = ::read(wakeFd, &value, sizeof value);
    }
    if (due.count(routerName) != 0) {
        receivePeers();
    }
    for (const auto &name : due) {
        if (const auto found = targets.find(name); found != targets.end()) {
            receiveTarget(*found->second);
            watchTarget(*found->second);
        }
    }
    for (auto &[name, target] : targets) {
        flushWaiting(*target);
        expireWaiting(*target);
    }
}

void Messenger::Impl::runCommands()
{
    std::vector<Command> batch;
    {
        const std::lock_guard lock(mutex);
        batch.swap(commands);
        awake = false;
    }
    for (auto &command : batch) {
        runCommand(command);
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
        connectTarget(command.name, command.address, 0);
        return;
    case Command::Kind::Disconnect:
        forgetTarget(command.name);
        return;
    case Command::Kind::ForgetPeer:
        if (const auto found = identities.find(command.peer); found != identities.end()) {
            peersByIdentity.erase(found->second);
            identities.erase(found);
        }
        return;
    case Command::Kind::Stop:
        stopping = true;
        return;
    }
}

void Messenger::Impl::forgetTarget(const std::string &name)
{
    const auto found = targets.find(name);
    if (found == targets.end()) {
        return;
    }
    watch.remove(found->second->dealer);
    watch.remove(found->second->monitor);
    targets.erase(found);
}

void Messenger::Impl::connectTarget(const std::string &name, const std::string &address, std::uint64_t epoch)
{
    auto &slot = targets[name];
    if (slot && slot->address == address) {
        return;
    }
    if (slot) {
        epoch = slot->epoch + 1;
        watch.remove(slot->dealer);
        watch.remove(slot->monitor);
    }
    slot = std::make_unique<Target>();
    slot->name = name;
    slot->address = address;
    slot->epoch = epoch;
    openDealer(*slot);
}

void Messenger::Impl::openDealer(Target &target)
{
    target.up = false;
    target.sentAny = false;
    target.dealer = zmq::socket_t(context, zmq::socket_type::dealer);
    auto &dealer = target.dealer;
    // The last part makes each connection a new peer at the other end: answers to requests of an old connection
    // cannot arrive here, and the other end learns that the old one is lost.
    dealer.set(zmq::sockopt::routing_id, init.name + "/" + hex(init.incarnation) + "/" + hex(target.epoch));
    dealer.set(zmq::sockopt::linger, lingerMs);
    dealer.set(zmq::sockopt::immediate, true);
    dealer.set(zmq::sockopt::sndhwm, socketQueue);
    dealer.set(zmq::sockopt::rcvhwm, socketQueue);
    dealer.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(init.messageLimit));
    dealer.set(zmq::sockopt::reconnect_ivl, reconnectMs);
    dealer.set(zmq::sockopt::reconnect_ivl_max, reconnectMaxMs);
    dealer.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(init.heartbeat.count() / 1000));
    dealer.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(init.silence.count() / 1000));
    const auto events = "inproc://monitor/" + target.name + "/" + hex(target.epoch);
    zmq_socket_monitor(dealer.handle(), events.c_str(), connectedEvent | lostEvent);
    target.monitor = zmq::socket_t(context, zmq::socket_type::pair);
    target.monitor.set(zmq::sockopt::linger, 0);
    target.monitor.connect(events);
    dealer.connect("tcp://" + target.address);
    watch.add(dealer, target.name);
    watch.add(target.monitor, target.name);
}

void Messenger::Impl::reopen(Target &target)
{
    ++target.epoch;
    target.lostBefore = true;
    watch.remove(target.dealer);
    watch.remove(target.monitor);
    zmq_socket_monitor(target.dealer.handle(), nullptr, 0);
    target.monitor.close();
    target.dealer.set(zmq::sockopt::linger, 0);
    target.dealer.close();
    openDealer(target);
}

void Messenger::Impl::notSent(const Outgoing &message, MessageDrop why)
{
    count(why);
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
        notSent(message, MessageDrop::PeerGone);
        return;
    }
    sendToTarget(*found->second, std::move(message));
}

bool Messenger::Impl::push(zmq::socket_t &socket, Outgoing &message)
{
    const auto size = message.data.size();
    watch.used(message.peer ? routerName : message.target);
    if (!socket.send(message.data, zmq::send_flags::dontwait)) {
        return false;
    }
    sent += 1;
    sentBytes += size;
    return true;
}

void Messenger::Impl::sendToPeer(Outgoing message)
{
    const auto found = identities.find(message.peer);
    if (found == identities.end()) {
        count(MessageDrop::PeerGone);
        return;
    }
    try {
        zmq::message_t identity(found->second);
        if (!router.send(identity, zmq::send_flags::sndmore | zmq::send_flags::dontwait)) {
            watch.used(routerName);
            count(MessageDrop::PeerBusy);
            return;
        }
        push(router, message);
    } catch (const zmq::error_t &error) {
        if (error.num() != EHOSTUNREACH) {
            throw;
        }
        count(MessageDrop::PeerGone);
        losePeer(message.peer);
    }
}

void Messenger::Impl::losePeer(PeerHandle peer)
{
    const auto found = identities.find(peer);
    if (found == identities.end()) {
        return;
    }
    peersByIdentity.erase(found->second);
    identities.erase(found);
    handlers.peerLost(peer);
}

void Messenger::Impl::sendToTarget(Target &target, Outgoing message)
{
    if (!target.up && target.lostBefore && message.request) {
        notSent(message, MessageDrop::PeerGone);
        return;
    }
    if (!target.up || !target.waiting.empty()) {
        if (target.waiting.size() >= init.connectQueue) {
            notSent(target.waiting.front(), MessageDrop::PeerGone);
            target.waiting.pop_front();
        }
        target.waiting.push_back(std::move(message));
        return;
    }
    if (push(target.dealer, message)) {
        target.sentAny = true;
    } else if (!target.sentAny) {
        // The connection is up but not yet attached to the socket: in a moment it takes messages.
        target.waiting.push_back(std::move(message));
    } else {
        notSent(message, MessageDrop::PeerBusy);
    }
}

void Messenger::Impl::flushWaiting(Target &target)
{
    while (target.up && !target.waiting.empty()) {
        if (!push(target.dealer, target.waiting.front())) {
            return;
        }
        target.sentAny = true;
        target.waiting.pop_front();
    }
}

// A call must not wait for a process that may never come: it is tried elsewhere.
void Messenger::Impl::expireWaiting(Target &target)
{
    const auto oldest = std::chrono::steady_clock::now() - init.silence;
    while (!target.waiting.empty() && target.waiting.front().since < oldest) {
        notSent(target.waiting.front(), MessageDrop::PeerGone);
        target.waiting.pop_front();
    }
}

bool Messenger::Impl::parse(const zmq::message_t &data, wire::Envelope &message)
{
    received += 1;
    receivedBytes += data.size();
    if (data.size() > init.messageLimit) {
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
    for (int i = 0; i < receivesAtOnce; ++i) {
        zmq::message_t identity;
        if (!router.recv(identity, zmq::recv_flags::dontwait)) {
            return;
        }
        zmq::message_t data;
        bool more = identity.more();
        if (more) {
            more = router.recv(data, zmq::recv_flags::none).has_value() && data.more();
        }
        bool extra = false;
        while (more) {
            zmq::message_t part;
            more = router.recv(part, zmq::recv_flags::none).has_value() && part.more();
            extra = true;
        }
        wire::Envelope message;
        if (extra) {
            count(MessageDrop::NotParsed);
            continue;
        }
        if (!parse(data, message)) {
            continue;
        }
        auto &handle = peersByIdentity[identity.to_string()];
        if (!handle) {
            handle = PeerHandle{++lastPeer};
            identities[handle] = identity.to_string();
        }
        handlers.fromPeer(handle, std::move(message));
    }
    watch.used(routerName); // there may be more
}

void Messenger::Impl::receiveTarget(Target &target)
{
    for (int i = 0; i < receivesAtOnce; ++i) {
        zmq::message_t data;
        if (!target.dealer.recv(data, zmq::recv_flags::dontwait)) {
            return;
        }
        wire::Envelope message;
        if (parse(data, message)) {
            handlers.fromTarget(target.name, std::move(message));
        }
    }
    watch.used(target.name); // there may be more
}

void Messenger::Impl::watchTarget(Target &target)
{
    zmq::message_t event;
    zmq::message_t address;
    bool lost = false;
    while (target.monitor.recv(event, zmq::recv_flags::dontwait)) {
        [[maybe_unused]] const auto got = target.monitor.recv(address, zmq::recv_flags::none);
        std::uint16_t kind = 0;
        std::memcpy(&kind, event.data(), sizeof kind);
        if (kind == connectedEvent && !target.up) {
            target.up = true;
            handlers.targetUp(target.name);
        }
        lost = lost || (kind == lostEvent && target.up);
    }
    if (lost) {
        receiveTarget(target); // what had arrived before the loss still counts
        reopen(target);
        handlers.targetLost(target.name);
        return;
    }
}

} // namespace anvilscale

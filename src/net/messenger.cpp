// Public interface of the messenger: queues messages and commands for the thread that owns the sockets.
#include "messenger_impl.h"

#include <sys/eventfd.h>
#include <unistd.h>

namespace anvilscale {

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
    auto listener = PeerListener::open(impl->init.address, impl->init.port, impl->init.handshakeTimeout);
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    impl->listener = std::move(*listener);
    impl->port = impl->listener->port();
    const auto endpoint = impl->init.address + ":" + std::to_string(impl->port);
    try {
        impl->router = zmq::socket_t(impl->context, zmq::socket_type::router);
        auto &router = impl->router;
        router.set(zmq::sockopt::linger, lingerMs);
        router.set(zmq::sockopt::router_mandatory, true);
        router.set(zmq::sockopt::sndhwm, maxSocketQueue);
        router.set(zmq::sockopt::rcvhwm, maxSocketQueue);
        router.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(impl->init.maxMessageBytes));
        impl->configureLiveness(router);
        impl->openRouterMonitor();
        // Once bound, the router closes this descriptor.
        router.set(zmq::sockopt::use_fd, impl->listener->duplicate());
        router.bind("tcp://" + endpoint);
    } catch (const zmq::error_t &error) {
        const auto kind = error.num() == EADDRINUSE ? NetErrorKind::AddressInUse
                          : error.num() == EACCES   ? NetErrorKind::NotPermitted
                                                    : NetErrorKind::BadAddress;
        return tl::unexpected(NetError{kind, endpoint, error.what()});
    }
    impl->wakeFd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    impl->socketWatch.add(impl->wakeFd, std::string(wakeName));
    impl->socketWatch.add(impl->router, std::string(routerName));
    impl->socketWatch.add(impl->routerMonitor, std::string(routerMonitorName));
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

void Messenger::connectTo(const std::string &name, NetAddress address)
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

void Messenger::dropPeer(PeerHandle peer)
{
    Command command;
    command.kind = Command::Kind::DropPeer;
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
    result.visitedTargets = impl_->visitedTargets;
    result.listenerPauses = impl_->listener->pauses();
    return result;
}

void Messenger::Impl::submit(Command command)
{
    bool needsWake = false;
    {
        const std::lock_guard lock(mutex);
        commands.push_back(std::move(command));
        needsWake = !isWakePending;
        isWakePending = true;
    }
    if (needsWake) {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(wakeFd, &one, sizeof one);
    }
}

void Messenger::Impl::submitMessage(PeerHandle peer, const std::string &target, const wire::Envelope &message)
{
    Command command;
    auto &outgoing = command.message;
    outgoing.peer = peer;
    outgoing.target = target;
    outgoing.queuedAt = std::chrono::steady_clock::now();
    if (message.has_call_request()) {
        outgoing.request = message.call_request().id();
    }
    wire::Envelope header; // protocol and message id are set by the messenger
    header.set_protocol(wireProtocol);
    header.set_message_id(++lastMessage);
    const auto size = message.ByteSizeLong();
    const auto headerSize = header.ByteSizeLong();
    outgoing.data = zmq::message_t(size + headerSize);
    auto *bytes = static_cast<std::uint8_t *>(outgoing.data.data());
    // Concatenated serialized messages parse as their merge, in which the later scalar fields win.
    message.SerializeWithCachedSizesToArray(bytes);
    header.SerializeWithCachedSizesToArray(bytes + size);
    if (queuedBytes.fetch_add(outgoing.data.size()) > init.maxQueuedBytes) {
        queuedBytes -= outgoing.data.size();
        count(MessageDrop::QueueFull);
        if (outgoing.request) {
            handlers.sendFailed(target, *outgoing.request);
        }
        return;
    }
    submit(std::move(command));
}

} // namespace anvilscale

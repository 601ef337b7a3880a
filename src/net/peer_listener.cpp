// Pauses of the messenger's listening socket.
#include "peer_listener.h"

#include "net_errors.h"

#include "anvilscale/telemetry.h"

#include <Poco/Net/IPAddress.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace anvilscale {

namespace {

// Short, as the connections in it keep the accepting thread busy while no descriptor is free.
constexpr int backlog = 32;
constexpr int handshakeShare = 8; // unfinished handshakes may hold one of so many descriptors
constexpr int minHandshakes = 4;
constexpr int maxHandshakes = 256;
constexpr Duration minPause = Milliseconds(200);

bool hasFreeDescriptors(int fdToCopy)
{
    const int fd = ::fcntl(fdToCopy, F_DUPFD_CLOEXEC, 0);
    if (fd < 0) {
        return false;
    }
    ::close(fd);
    return fd < descriptorLimit() - reservedForCallers();
}

} // namespace

PeerListener::PeerListener(const Poco::Net::ServerSocket &socket, Duration handshakeTimeout)
    : socket_(socket)
    , handshakeTimeout_(handshakeTimeout)
    , maxHandshakes_(
          static_cast<std::size_t>(std::clamp(descriptorLimit() / handshakeShare, minHandshakes, maxHandshakes)))
    , shortage_(socket_.address().toString())
{
}

tl::expected<std::unique_ptr<PeerListener>, NetError> PeerListener::open(const std::string &address, std::uint16_t port,
                                                                         Duration handshakeTimeout)
{
    try {
        const Poco::Net::SocketAddress local(Poco::Net::IPAddress::parse(address), port);
        Poco::Net::ServerSocket socket;
        // Reuses the address of a process that has exited, but never shares it with a running one.
        socket.bind(local, true, false);
        socket.listen(backlog);
        socket.setBlocking(false);
        return std::unique_ptr<PeerListener>(new PeerListener(socket, handshakeTimeout));
    } catch (const Poco::Net::InvalidAddressException &error) {
        return tl::unexpected(NetError{NetErrorKind::BadAddress, address, error.displayText()});
    } catch (const Poco::Exception &error) {
        return tl::unexpected(NetError{toErrorKind(error), address + ":" + std::to_string(port), error.displayText()});
    }
}

std::uint16_t PeerListener::port() const
{
    return socket_.address().port();
}

int PeerListener::duplicate() const
{
    return ::fcntl(socket_.impl()->sockfd(), F_DUPFD_CLOEXEC, 0);
}

void PeerListener::close()
{
    socket_.close();
}

std::uint64_t PeerListener::pauses() const
{
    return pauses_;
}

void PeerListener::onAccepted(int fd)
{
    acceptedAt_.push_back(EventLoop::now());
    const bool isReserved = fd >= descriptorLimit() - reservedForCallers();
    if (isReserved || acceptedAt_.size() > maxHandshakes_) {
        pause();
    }
}

void PeerListener::onAcceptFailed()
{
    pause();
}

void PeerListener::onHandshakeEnded()
{
    if (!acceptedAt_.empty()) {
        acceptedAt_.pop_front();
    }
}

void PeerListener::expireHandshakes(TimePoint now)
{
    while (!acceptedAt_.empty() && now - acceptedAt_.front() >= handshakeTimeout_) {
        acceptedAt_.pop_front();
    }
}

void PeerListener::onTick()
{
    const auto now = EventLoop::now();
    expireHandshakes(now);
    spare_.refill();
    shortage_.onTick(now);
    const bool mayResume = acceptedAt_.size() <= maxHandshakes_ / 2 && now - pausedAt_ >= minPause;
    if (isPaused_ && mayResume && hasFreeDescriptors(socket_.impl()->sockfd())) {
        resume();
    }
}

void PeerListener::pause()
{
    pausedAt_ = EventLoop::now();
    shortage_.onShort(pausedAt_);
    if (!std::exchange(isPaused_, true)) {
        pauses_ += 1;
        sock_filter discardAll{BPF_RET | BPF_K, 0, 0, 0};
        const sock_fprog program{1, &discardAll};
        if (::setsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) != 0) {
            logEvent(Event::UnexpectedError, {{"call", "SO_ATTACH_FILTER"}, {"errno", errno}});
        }
    }
    resetPending();
}

void PeerListener::resume()
{
    isPaused_ = false;
    const int unused = 0;
    if (::setsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused) != 0) {
        logEvent(Event::UnexpectedError, {{"call", "SO_DETACH_FILTER"}, {"errno", errno}});
    }
}

// Empties the queue of connections that were established before the pause. While no descriptor is free for them, the
// accepting thread would try again without a rest.
void PeerListener::resetPending()
{
    spare_.release();
    while (true) {
        const int fd = ::accept4(socket_.impl()->sockfd(), nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            break;
        }
        ::close(fd);
    }
    spare_.refill();
}

} // namespace anvilscale

// Listening socket of the messenger, which can pause without loss of the connections that it has accepted.
#pragma once

#include "descriptor_shortage.h"

#include "anvilscale/net.h"

#include <Poco/Net/ServerSocket.h>

#include <chrono>
#include <deque>

namespace anvilscale {

/// ZeroMQ accepts the connections; unbinding its socket would close all that came by it. So a pause makes the kernel
/// discard new connections, whose peers repeat them. A pause begins when few descriptors are left or too many
/// handshakes are unfinished.
class PeerListener
{
public:
    /// `handshakeTimeout`: after it, each connection has completed its handshake or is closed.
    static tl::expected<std::unique_ptr<PeerListener>, NetError> open(const std::string &address, std::uint16_t port,
                                                                      Duration handshakeTimeout);

    std::uint16_t port() const;
    /// Returns a further descriptor of the socket, which the receiver closes. -1 if none is free.
    int duplicate() const;
    void close();

    // Events of the accepting socket.
    void onAccepted(int fd);
    void onAcceptFailed();
    /// A handshake was completed or has failed.
    void onHandshakeEnded();
    /// Ends a pause when its reason is gone. Called at least every few hundred milliseconds.
    void onTick();
    /// Thread-safe.
    std::uint64_t pauses() const;

private:
    PeerListener(const Poco::Net::ServerSocket &socket, Duration handshakeTimeout);
    void pause();
    void resume();
    void resetPending();
    void expireHandshakes(TimePoint now);

    Poco::Net::ServerSocket socket_;
    Duration handshakeTimeout_;
    std::size_t maxHandshakes_; // unfinished at the same time
    std::deque<TimePoint> acceptedAt_; // of unfinished handshakes, by count; none is older than the timeout
    SpareDescriptor spare_;
    DescriptorShortage shortage_;
    bool isPaused_ = false;
    TimePoint pausedAt_{};
    std::atomic<std::uint64_t> pauses_ = 0;
};

} // namespace anvilscale

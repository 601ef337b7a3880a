// Waits for ZeroMQ sockets by epoll on their descriptors. zmq::poll queries every socket on each call, which is
// costly with many connections of which few are active: with one to each of 56 sidecars it was most of the processor
// time of an entry.
#pragma once

#include <sys/epoll.h>
#include <unistd.h>
#include <zmq.hpp>

#include <array>
#include <chrono>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace anvilscale {

/// A ZeroMQ descriptor signals only once that its socket may have changed, and any call on the socket may consume the
/// signal. So each socket that was signalled or used must be read until it is empty.
class SocketWatch
{
public:
    SocketWatch()
        : epollFd_(epoll_create1(EPOLL_CLOEXEC))
    {
    }
    ~SocketWatch()
    {
        ::close(epollFd_);
    }
    SocketWatch(const SocketWatch &) = delete;
    SocketWatch &operator=(const SocketWatch &) = delete;

    void add(int fd, const std::string &name)
    {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = fd;
        ::epoll_ctl(epollFd_, EPOLL_CTL_ADD, fd, &event);
        nameByFd_[fd] = name;
        pendingNames_.insert(name);
    }
    void add(const zmq::socket_t &socket, const std::string &name)
    {
        add(socket.get(zmq::sockopt::fd), name);
    }
    void remove(const zmq::socket_t &socket)
    {
        const int fd = socket.get(zmq::sockopt::fd);
        ::epoll_ctl(epollFd_, EPOLL_CTL_DEL, fd, nullptr);
        nameByFd_.erase(fd);
    }
    /// Marks the socket of this name as used, so that the next wait() returns it.
    void markUsed(const std::string &name)
    {
        pendingNames_.insert(name);
    }
    /// Returns the names of the sockets to read. Waits only if none is pending.
    std::unordered_set<std::string> wait(std::chrono::milliseconds maxWait)
    {
        std::array<epoll_event, 64> events{};
        const auto timeoutMs = pendingNames_.empty() ? maxWait.count() : 0;
        const int eventCount =
            ::epoll_wait(epollFd_, events.data(), static_cast<int>(events.size()), static_cast<int>(timeoutMs));
        for (int i = 0; i < eventCount; ++i) {
            const auto found = nameByFd_.find(events.at(static_cast<std::size_t>(i)).data.fd);
            if (found != nameByFd_.end()) {
                pendingNames_.insert(found->second);
            }
        }
        return std::exchange(pendingNames_, {});
    }

private:
    int epollFd_;
    std::unordered_map<int, std::string> nameByFd_; // keyed by descriptor
    std::unordered_set<std::string> pendingNames_;
};

} // namespace anvilscale

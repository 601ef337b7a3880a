// Waits for ZeroMQ sockets by their descriptors. zmq::poll asks every socket at every turn: with one connection to each
// of 56 sidecars that was most of an entry's processor time, while one or two sockets have something to say.
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

/// A ZeroMQ descriptor only tells that something may have changed, once, and any call on its socket may take the news
/// away. So every socket that was told of, or was used, is to be read until it gives nothing more.
class SocketWatch
{
public:
    SocketWatch()
        : epoll_(epoll_create1(EPOLL_CLOEXEC))
    {
    }
    ~SocketWatch()
    {
        ::close(epoll_);
    }
    SocketWatch(const SocketWatch &) = delete;
    SocketWatch &operator=(const SocketWatch &) = delete;

    void add(int fd, const std::string &name)
    {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = fd;
        ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
        names_[fd] = name;
        due_.insert(name);
    }
    void add(const zmq::socket_t &socket, const std::string &name)
    {
        add(socket.get(zmq::sockopt::fd), name);
    }
    void remove(const zmq::socket_t &socket)
    {
        const int fd = socket.get(zmq::sockopt::fd);
        ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
        names_.erase(fd);
    }
    /// The socket of this name was used: it is to be read at the next turn.
    void used(const std::string &name)
    {
        due_.insert(name);
    }
    /// Names that are to be read now; waits only if there are none.
    std::unordered_set<std::string> wait(std::chrono::milliseconds longest)
    {
        std::array<epoll_event, 64> events{};
        const auto span = due_.empty() ? longest.count() : 0;
        const int ready = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), static_cast<int>(span));
        for (int i = 0; i < ready; ++i) {
            const auto found = names_.find(events.at(static_cast<std::size_t>(i)).data.fd);
            if (found != names_.end()) {
                due_.insert(found->second);
            }
        }
        return std::exchange(due_, {});
    }

private:
    int epoll_;
    std::unordered_map<int, std::string> names_; // by descriptor
    std::unordered_set<std::string> due_;
};

} // namespace anvilscale

// Event loop over epoll, with timers and a task queue. Replaces Poco::Net::PollSet, which cannot be woken up and
// builds a map of all sockets on each poll.
#include "anvilscale/net.h"
#include "anvilscale/telemetry.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketImpl.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace anvilscale {

namespace {

constexpr Duration maxWait = Seconds(1);
constexpr std::size_t maxThreadNameLength = 15;
constexpr std::size_t maxEventsPerPoll = 256;
constexpr int fdBits = 32;

std::uint32_t toEpollEvents(int modes)
{
    using Poco::Net::PollSet;
    std::uint32_t events = 0;
    events |= (modes & PollSet::POLL_READ) != 0 ? EPOLLIN : 0U;
    events |= (modes & PollSet::POLL_WRITE) != 0 ? EPOLLOUT : 0U;
    return events; // epoll always reports errors
}

int toPollModes(std::uint32_t events)
{
    using Poco::Net::PollSet;
    int modes = 0;
    modes |= (events & EPOLLIN) != 0 ? PollSet::POLL_READ : 0;
    modes |= (events & EPOLLOUT) != 0 ? PollSet::POLL_WRITE : 0;
    modes |= (events & (EPOLLERR | EPOLLHUP)) != 0 ? PollSet::POLL_ERROR : 0;
    return modes;
}

} // namespace

Now readClocks()
{
    const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
    return Now{EventLoop::now(), WallTime{std::chrono::duration_cast<Milliseconds>(wallTime).count()}};
}

std::optional<std::size_t> trySend(const Poco::Net::Socket &socket, std::string_view data)
{
    ssize_t sent = 0;
    do {
        sent = ::send(socket.impl()->sockfd(), data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    } while (sent < 0 && errno == EINTR);
    if (sent >= 0) {
        return static_cast<std::size_t>(sent);
    }
    return errno == EAGAIN || errno == EWOULDBLOCK ? std::optional<std::size_t>(0) : std::nullopt;
}

void resetOnClose(Poco::Net::Socket &socket)
{
    try {
        socket.impl()->setLinger(true, 0);
    } catch (const Poco::Exception &) {
        return; // already closed by the peer: no data is queued
    }
}

struct EventLoop::Impl
{
    struct WatchedSocket
    {
        std::uint32_t serial = 0;
        std::shared_ptr<ReadyHandler> handler;
    };
    int epollFd = epoll_create1(EPOLL_CLOEXEC);
    int wakeFd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    // Keyed by descriptor. The serial number distinguishes a socket from an earlier one with the same descriptor,
    // whose events may still be pending.
    std::unordered_map<int, WatchedSocket> watchedSockets;
    std::uint32_t lastSerial = 0;
    TimerService timers;
    std::mutex mutex;
    std::vector<Task> tasks; // guarded by mutex
    bool isWakePending = false; // guarded by mutex: a wake-up was sent and not yet handled
    std::atomic<bool> hasTasks = false; // tasks were posted since the queue was last emptied
    std::atomic<bool> isStopping = false;
    std::thread thread;

    Impl()
    {
        updateEpoll(EPOLL_CTL_ADD, wakeFd, EPOLLIN, 0);
    }
    ~Impl()
    {
        ::close(wakeFd);
        ::close(epollFd);
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void updateEpoll(int operation, int fd, std::uint32_t events, std::uint32_t serial) const;
    void dispatch(const epoll_event &event);
    void run();
    void runTasks();
    Duration computeWait() const;
    void sendWake();
};

EventLoop::EventLoop(const std::string &name)
    : impl_(std::make_unique<Impl>())
{
    impl_->thread = std::thread([impl = impl_.get()] { impl->run(); });
    pthread_setname_np(impl_->thread.native_handle(), name.substr(0, maxThreadNameLength).c_str());
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::post(Task task)
{
    bool needsWake = false;
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->tasks.push_back(std::move(task));
        // The loop's own thread checks the queue before it waits and needs no wake-up.
        const bool isLoopThread = std::this_thread::get_id() == impl_->thread.get_id();
        needsWake = !impl_->isWakePending && !isLoopThread;
        impl_->isWakePending = impl_->isWakePending || needsWake;
        impl_->hasTasks = true;
    }
    if (needsWake) {
        impl_->sendWake();
    }
}

void EventLoop::stop()
{
    if (!impl_->thread.joinable()) {
        return;
    }
    post([this] { impl_->isStopping = true; });
    impl_->thread.join();
}

void EventLoop::watch(const Poco::Net::Socket &socket, int modes, ReadyHandler handler)
{
    const auto fd = socket.impl()->sockfd();
    auto &socketEntry = impl_->watchedSockets[fd];
    socketEntry = {++impl_->lastSerial, std::make_shared<ReadyHandler>(std::move(handler))};
    impl_->updateEpoll(EPOLL_CTL_ADD, fd, toEpollEvents(modes), socketEntry.serial);
}

void EventLoop::update(const Poco::Net::Socket &socket, int modes)
{
    const auto fd = socket.impl()->sockfd();
    if (const auto found = impl_->watchedSockets.find(fd); found != impl_->watchedSockets.end()) {
        impl_->updateEpoll(EPOLL_CTL_MOD, fd, toEpollEvents(modes), found->second.serial);
    }
}

void EventLoop::unwatch(const Poco::Net::Socket &socket)
{
    const auto fd = socket.impl()->sockfd();
    if (impl_->watchedSockets.erase(fd) != 0) {
        impl_->updateEpoll(EPOLL_CTL_DEL, fd, 0, 0);
    }
}

TimerService &EventLoop::timers()
{
    return impl_->timers;
}

TimePoint EventLoop::now()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceEpoch));
}

void EventLoop::Impl::sendWake()
{
    const std::uint64_t one = 1;
    // If the counter is full, a wake-up is already pending.
    [[maybe_unused]] const auto written = ::write(wakeFd, &one, sizeof one);
}

Duration EventLoop::Impl::computeWait() const
{
    if (hasTasks) {
        return Duration(0);
    }
    const auto nextTimer = timers.next();
    if (!nextTimer) {
        return maxWait;
    }
    return std::clamp(*nextTimer - EventLoop::now(), Duration(0), maxWait);
}

void EventLoop::Impl::runTasks()
{
    std::vector<Task> batch;
    {
        const std::lock_guard lock(mutex);
        batch.swap(tasks);
        isWakePending = false;
        hasTasks = false;
    }
    for (auto &task : batch) {
        runGuarded(ErrorPlace::LoopTask, task);
    }
}

void EventLoop::Impl::updateEpoll(int operation, int fd, std::uint32_t events, std::uint32_t serial) const
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = (std::uint64_t{serial} << fdBits) | static_cast<std::uint32_t>(fd);
    ::epoll_ctl(epollFd, operation, fd, &event);
}

void EventLoop::Impl::dispatch(const epoll_event &event)
{
    const auto fd = static_cast<int>(event.data.u64 & UINT32_MAX);
    if (fd == wakeFd) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto got = ::read(wakeFd, &count, sizeof count);
        return;
    }
    const auto found = watchedSockets.find(fd);
    if (found == watchedSockets.end() || found->second.serial != event.data.u64 >> fdBits) {
        return;
    }
    const auto handler = found->second.handler; // keeps the handler alive if it unwatches its own socket
    (*handler)(toPollModes(event.events));
}

void EventLoop::Impl::run()
{
    std::array<epoll_event, maxEventsPerPoll> events{};
    while (!isStopping) {
        // Rounded up to whole milliseconds; otherwise the loop would spin until the next timer expires.
        const auto wait = std::chrono::ceil<Milliseconds>(computeWait()).count();
        const int eventCount =
            ::epoll_wait(epollFd, events.data(), static_cast<int>(events.size()), static_cast<int>(wait));
        for (int i = 0; i < eventCount; ++i) {
            runGuarded(ErrorPlace::LoopSocket, [&] { dispatch(events.at(static_cast<std::size_t>(i))); });
        }
        runTasks();
        // A timer is no longer pending while it runs, so that the next turn continues with the one after it.
        runGuarded(ErrorPlace::LoopTimer, [this] { timers.advance(EventLoop::now()); });
    }
}

} // namespace anvilscale

// The event loop: epoll over POCO's sockets, a timer service and a queue of tasks with a wake-up. POCO's own poll set
// has no wake-up in the version at hand and builds a map of sockets at each turn.
#include "anvilscale/net.h"

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

constexpr Duration longestWait = Seconds(1);
constexpr std::size_t threadNameLimit = 15;
constexpr std::size_t eventsAtOnce = 256;
constexpr int fdBits = 32;

std::uint32_t epollModes(int mode)
{
    using Poco::Net::PollSet;
    std::uint32_t events = 0;
    events |= (mode & PollSet::POLL_READ) != 0 ? EPOLLIN : 0U;
    events |= (mode & PollSet::POLL_WRITE) != 0 ? EPOLLOUT : 0U;
    return events; // errors are always told
}

int pollModes(std::uint32_t events)
{
    using Poco::Net::PollSet;
    int mode = 0;
    mode |= (events & EPOLLIN) != 0 ? PollSet::POLL_READ : 0;
    mode |= (events & EPOLLOUT) != 0 ? PollSet::POLL_WRITE : 0;
    mode |= (events & (EPOLLERR | EPOLLHUP)) != 0 ? PollSet::POLL_ERROR : 0;
    return mode;
}

} // namespace

Now readClocks()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return Now{EventLoop::now(), WallTime{std::chrono::duration_cast<Milliseconds>(wall).count()}};
}

std::optional<std::size_t> sendSome(const Poco::Net::Socket &socket, std::string_view data)
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

struct EventLoop::Impl
{
    struct Watched
    {
        std::uint32_t number = 0;
        std::shared_ptr<Ready> ready;
    };
    int epoll = epoll_create1(EPOLL_CLOEXEC);
    int wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    // By descriptor. The number tells a socket from an earlier one with the same descriptor, of which an event may
    // still be in hand.
    std::unordered_map<int, Watched> watched;
    std::uint32_t lastNumber = 0;
    TimerService timers;
    std::mutex mutex;
    std::vector<Task> tasks; // guarded by mutex
    bool awake = false; // guarded by mutex: a wake-up is under way
    std::atomic<bool> hasTasks = false; // a task was posted since the last look
    std::atomic<bool> stopping = false;
    std::thread thread;

    Impl()
    {
        control(EPOLL_CTL_ADD, wake, EPOLLIN, 0);
    }
    ~Impl()
    {
        ::close(wake);
        ::close(epoll);
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void control(int operation, int fd, std::uint32_t events, std::uint32_t number) const;
    void handle(const epoll_event &event);
    void run();
    void runTasks();
    Duration timeToWait() const;
    void wakeUp();
};

EventLoop::EventLoop(const std::string &name)
    : impl_(std::make_unique<Impl>())
{
    impl_->thread = std::thread([impl = impl_.get()] { impl->run(); });
    pthread_setname_np(impl_->thread.native_handle(), name.substr(0, threadNameLimit).c_str());
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::post(Task task)
{
    bool sleeping = false;
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->tasks.push_back(std::move(task));
        // The loop's own thread looks at the tasks before it sleeps: no wake-up is owed.
        const bool own = std::this_thread::get_id() == impl_->thread.get_id();
        sleeping = !impl_->awake && !own;
        impl_->awake = impl_->awake || sleeping;
        impl_->hasTasks = true;
    }
    if (sleeping) {
        impl_->wakeUp();
    }
}

void EventLoop::stop()
{
    if (!impl_->thread.joinable()) {
        return;
    }
    post([this] { impl_->stopping = true; });
    impl_->thread.join();
}

void EventLoop::watch(const Poco::Net::Socket &socket, int mode, Ready ready)
{
    const auto fd = socket.impl()->sockfd();
    auto &entry = impl_->watched[fd];
    entry = {++impl_->lastNumber, std::make_shared<Ready>(std::move(ready))};
    impl_->control(EPOLL_CTL_ADD, fd, epollModes(mode), entry.number);
}

void EventLoop::update(const Poco::Net::Socket &socket, int mode)
{
    const auto fd = socket.impl()->sockfd();
    if (const auto found = impl_->watched.find(fd); found != impl_->watched.end()) {
        impl_->control(EPOLL_CTL_MOD, fd, epollModes(mode), found->second.number);
    }
}

void EventLoop::forget(const Poco::Net::Socket &socket)
{
    const auto fd = socket.impl()->sockfd();
    if (impl_->watched.erase(fd) != 0) {
        impl_->control(EPOLL_CTL_DEL, fd, 0, 0);
    }
}

TimerService &EventLoop::timers()
{
    return impl_->timers;
}

TimePoint EventLoop::now()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(since));
}

void EventLoop::Impl::wakeUp()
{
    const std::uint64_t one = 1;
    // A full counter is a wake-up that is under way already.
    [[maybe_unused]] const auto written = ::write(wake, &one, sizeof one);
}

Duration EventLoop::Impl::timeToWait() const
{
    if (hasTasks) {
        return Duration(0);
    }
    const auto next = timers.next();
    if (!next) {
        return longestWait;
    }
    return std::clamp(*next - EventLoop::now(), Duration(0), longestWait);
}

void EventLoop::Impl::runTasks()
{
    std::vector<Task> batch;
    {
        const std::lock_guard lock(mutex);
        batch.swap(tasks);
        awake = false;
        hasTasks = false;
    }
    for (auto &task : batch) {
        task();
    }
}

void EventLoop::Impl::control(int operation, int fd, std::uint32_t events, std::uint32_t number) const
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = (std::uint64_t{number} << fdBits) | static_cast<std::uint32_t>(fd);
    ::epoll_ctl(epoll, operation, fd, &event);
}

void EventLoop::Impl::handle(const epoll_event &event)
{
    const auto fd = static_cast<int>(event.data.u64 & UINT32_MAX);
    if (fd == wake) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto got = ::read(wake, &count, sizeof count);
        return;
    }
    const auto found = watched.find(fd);
    if (found == watched.end() || found->second.number != event.data.u64 >> fdBits) {
        return;
    }
    const auto ready = found->second.ready; // the handler may forget its own socket
    (*ready)(pollModes(event.events));
}

void EventLoop::Impl::run()
{
    std::array<epoll_event, eventsAtOnce> events{};
    while (!stopping) {
        // epoll counts in whole milliseconds: rounded up, or the loop would spin until a timer is due.
        const auto wait = std::chrono::ceil<Milliseconds>(timeToWait()).count();
        const int ready = ::epoll_wait(epoll, events.data(), static_cast<int>(events.size()), static_cast<int>(wait));
        for (int i = 0; i < ready; ++i) {
            handle(events.at(static_cast<std::size_t>(i)));
        }
        runTasks();
        timers.advance(EventLoop::now());
    }
}

} // namespace anvilscale

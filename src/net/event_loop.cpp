// The event loop: POCO's poll set, a timer service and a queue of tasks with a wake-up.
#include "anvilscale/net.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace anvilscale {

namespace {

constexpr Duration longestWait = Seconds(1);
constexpr std::size_t threadNameLimit = 15;

} // namespace

Now readClocks()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return Now{EventLoop::now(), WallTime{std::chrono::duration_cast<Milliseconds>(wall).count()}};
}

struct EventLoop::Impl
{
    Poco::Net::PollSet polls;
    // The poll set of this POCO version has no wake-up of its own: an eventfd in the form of a socket stands in.
    Poco::Net::StreamSocket wake{new Poco::Net::StreamSocketImpl(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))};
    std::map<Poco::Net::Socket, std::shared_ptr<Ready>> handlers;
    TimerService timers;
    std::mutex mutex;
    std::vector<Task> tasks; // guarded by mutex
    bool awake = false; // guarded by mutex: a wake-up is under way
    std::atomic<bool> stopping = false;
    std::thread thread;

    void run();
    void runTasks();
    Duration timeToWait() const;
    void wakeUp();
};

EventLoop::EventLoop(const std::string &name)
    : impl_(std::make_unique<Impl>())
{
    impl_->polls.add(impl_->wake, Poco::Net::PollSet::POLL_READ);
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
        sleeping = !impl_->awake;
        impl_->awake = true;
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
    impl_->handlers[socket] = std::make_shared<Ready>(std::move(ready));
    impl_->polls.add(socket, mode);
}

void EventLoop::update(const Poco::Net::Socket &socket, int mode)
{
    impl_->polls.update(socket, mode);
}

void EventLoop::forget(const Poco::Net::Socket &socket)
{
    impl_->polls.remove(socket);
    impl_->handlers.erase(socket);
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
    [[maybe_unused]] const auto written = ::write(wake.impl()->sockfd(), &one, sizeof one);
}

Duration EventLoop::Impl::timeToWait() const
{
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
    }
    for (auto &task : batch) {
        task();
    }
}

void EventLoop::Impl::run()
{
    while (!stopping) {
        // The poll set counts in whole milliseconds: rounded up, or the loop would spin until a timer is due.
        const auto wait = std::chrono::ceil<Milliseconds>(timeToWait());
        const auto ready = polls.poll(Poco::Timespan(std::chrono::duration_cast<Duration>(wait).count()));
        for (const auto &[socket, mode] : ready) {
            if (socket == wake) {
                std::uint64_t count = 0;
                [[maybe_unused]] const auto got = ::read(wake.impl()->sockfd(), &count, sizeof count);
                continue;
            }
            const auto found = handlers.find(socket);
            if (found != handlers.end()) {
                const auto handler = found->second; // the handler may forget its own socket
                (*handler)(mode);
            }
        }
        runTasks();
        timers.advance(EventLoop::now());
    }
}

} // namespace anvilscale

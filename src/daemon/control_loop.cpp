// The control thread: events from other threads and timers, in turn.
#include "control_loop.h"

#include "anvilscale/net.h"
#include "anvilscale/telemetry.h"

#include <pthread.h>

namespace anvilscale {

namespace {

constexpr Duration longestWait = Seconds(1);

} // namespace

ControlLoop::ControlLoop(std::function<void(Now)> afterBatch)
    : afterBatch_(std::move(afterBatch))
{
}

ControlLoop::~ControlLoop()
{
    stop();
}

void ControlLoop::start()
{
    thread_ = std::thread([this] { run(); });
    pthread_setname_np(thread_.native_handle(), "control");
}

void ControlLoop::post(Event event)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(mutex_);
        wasEmpty = events_.empty();
        events_.push_back(std::move(event));
    }
    if (wasEmpty) {
        wake_.notify_one();
    }
}

void ControlLoop::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    if (thread_.joinable()) {
        thread_.join();
    }
}

TimerService &ControlLoop::timers()
{
    return timers_;
}

std::uint64_t ControlLoop::events() const
{
    return handled_;
}

std::vector<ControlLoop::Event> ControlLoop::takeEvents()
{
    const auto next = timers_.next();
    const auto until = std::min(next.value_or(TimePoint::max()), EventLoop::now() + longestWait);
    std::vector<Event> batch;
    std::unique_lock lock(mutex_);
    while (events_.empty() && !stopping_) {
        const auto left = until - EventLoop::now();
        if (left <= Duration(0)) {
            break;
        }
        wake_.wait_for(lock, left);
    }
    batch.swap(events_);
    return batch;
}

void ControlLoop::run()
{
    while (true) {
        const auto batch = takeEvents();
        {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                return;
            }
        }
        auto now = readClocks();
        for (const auto &event : batch) {
            event(now);
        }
        handled_ += batch.size();
        now = readClocks();
        timers_.advance(now.mono);
        afterBatch_(now);
    }
}

} // namespace anvilscale

// Event loop of the control thread.
#include "control_loop.h"

#include "anvilscale/net.h"
#include "anvilscale/telemetry.h"

#include <pthread.h>

namespace anvilscale {

namespace {

constexpr Duration maxWait = Seconds(1);

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
        wasEmpty = pendingEvents_.empty();
        pendingEvents_.push_back(std::move(event));
    }
    if (wasEmpty) {
        condition_.notify_one();
    }
}

void ControlLoop::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    condition_.notify_one();
    if (thread_.joinable()) {
        thread_.join();
    }
}

TimerService &ControlLoop::timers()
{
    return timers_;
}

std::uint64_t ControlLoop::handledEvents() const
{
    return handledEvents_;
}

std::vector<ControlLoop::Event> ControlLoop::waitForEvents()
{
    const auto next = timers_.next();
    const auto deadline = std::min(next.value_or(TimePoint::max()), EventLoop::now() + maxWait);
    std::vector<Event> batch;
    std::unique_lock lock(mutex_);
    while (pendingEvents_.empty() && !isStopping_) {
        const auto remaining = deadline - EventLoop::now();
        if (remaining <= Duration(0)) {
            break;
        }
        condition_.wait_for(lock, remaining);
    }
    batch.swap(pendingEvents_);
    return batch;
}

void ControlLoop::run()
{
    while (true) {
        const auto batch = waitForEvents();
        {
            const std::lock_guard lock(mutex_);
            if (isStopping_) {
                return;
            }
        }
        auto now = readClocks();
        for (const auto &event : batch) {
            runGuarded(ErrorPlace::ControlEvent, [&] { event(now); });
        }
        handledEvents_ += batch.size();
        now = readClocks();
        // A timer is no longer pending while it runs, so that the next turn continues with the one after it.
        runGuarded(ErrorPlace::ControlTimer, [&] { timers_.advance(now.mono); });
        runGuarded(ErrorPlace::ControlActions, [&] { afterBatch_(now); });
    }
}

} // namespace anvilscale

// Thread that owns control state and handles events and timers one at a time.
#pragma once

#include "anvilscale/base.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace anvilscale {

class ControlLoop
{
public:
    using Event = std::function<void(Now)>;

    /// `afterBatch` runs after each batch of events and timers and performs the resulting actions.
    explicit ControlLoop(std::function<void(Now)> afterBatch);
    ~ControlLoop();
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    void start();
    /// Thread-safe.
    void post(Event event);
    /// Stops the thread and drops pending events. Must not be called from the loop's thread.
    void stop();
    /// Use from the loop's thread only.
    TimerService &timers();
    std::uint64_t handledEvents() const;

private:
    void run();
    std::vector<Event> waitForEvents();

    std::function<void(Now)> afterBatch_;
    TimerService timers_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::vector<Event> pendingEvents_; // guarded by mutex_
    bool isStopping_ = false; // guarded by mutex_
    std::atomic<std::uint64_t> handledEvents_ = 0;
    std::thread thread_;
};

} // namespace anvilscale

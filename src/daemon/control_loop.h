// The thread that owns control state. All decisions of a process run here, one event after the other.
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

    /// `afterBatch` runs after each batch of events and timers: it carries out the actions that came of them.
    explicit ControlLoop(std::function<void(Now)> afterBatch);
    ~ControlLoop();
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    void start();
    /// Any thread.
    void post(Event event);
    /// Ends the thread. Events that wait are dropped. Not from the loop's thread.
    void stop();
    /// The loop's thread only.
    TimerService &timers();
    std::uint64_t events() const;

private:
    void run();
    std::vector<Event> takeEvents();

    std::function<void(Now)> afterBatch_;
    TimerService timers_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<Event> events_; // guarded by mutex_
    bool stopping_ = false; // guarded by mutex_
    std::atomic<std::uint64_t> handled_ = 0;
    std::thread thread_;
};

} // namespace anvilscale

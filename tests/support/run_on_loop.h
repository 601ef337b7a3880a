// Runs a task on the thread of an event loop.
#pragma once

#include "anvilscale/net.h"

#include <future>

namespace anvilscale::test {

/// Returns once the task has run.
template<class Task>
void runOnLoop(EventLoop &loop, Task task)
{
    std::promise<void> done;
    loop.post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace anvilscale::test

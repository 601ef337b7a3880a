// Timer queue: a binary heap of subscriptions.
#include "anvilscale/base.h"

namespace anvilscale {

TimerHandle TimerService::subscribe(TimePoint at, Callback callback)
{
    const std::uint64_t id = ++lastId_;
    queue_.push(Entry{at, id, std::move(callback)});
    pending_.insert(id);
    return TimerHandle{id};
}

void TimerService::cancel(TimerHandle handle)
{
    if (pending_.erase(handle.value) != 0) {
        cancelled_.insert(handle.value);
    }
}

void TimerService::dropCancelled() const
{
    while (!queue_.empty() && cancelled_.erase(queue_.top().id) != 0) {
        queue_.pop();
    }
}

std::optional<TimePoint> TimerService::next() const
{
    dropCancelled();
    if (queue_.empty()) {
        return std::nullopt;
    }
    return queue_.top().at;
}

std::size_t TimerService::advance(TimePoint now)
{
    std::size_t fired = 0;
    for (dropCancelled(); !queue_.empty() && queue_.top().at <= now; dropCancelled()) {
        const Entry entry = queue_.top();
        queue_.pop();
        pending_.erase(entry.id);
        entry.callback(now);
        ++fired;
    }
    return fired;
}

} // namespace anvilscale

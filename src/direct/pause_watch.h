// Detects pauses of this process: a stop signal, a frozen VM, a processor that is not granted.
#pragma once

#include "anvilscale/direct.h"

#include <optional>

namespace anvilscale {

/// A time that spans a pause tells how long this process stood still, and nothing of the endpoint that it measures: the
/// answer may have waited in the socket.
class PauseWatch
{
public:
    /// Called every directTickInterval.
    void onTick(TimePoint now)
    {
        if (isTickLate(now)) {
            pausedUntil_ = now;
        }
        lastTickAt_ = now;
    }
    /// True if the process may have stood still between `start` and now. After a pause, answers may be read before the
    /// next tick.
    bool hasPausedSince(TimePoint start, TimePoint now) const
    {
        return isTickLate(now) || (pausedUntil_ && start < *pausedUntil_);
    }

private:
    static constexpr Duration maxTickDelay = 4 * directTickInterval;

    bool isTickLate(TimePoint now) const
    {
        return lastTickAt_ && now - *lastTickAt_ > directTickInterval + maxTickDelay;
    }

    std::optional<TimePoint> lastTickAt_;
    std::optional<TimePoint> pausedUntil_; // end of the last pause
};

} // namespace anvilscale

// Earliest of several deadlines.
#pragma once

#include "anvilscale/base.h"

#include <algorithm>
#include <optional>

namespace anvilscale {

/// Collects deadlines and keeps the earliest one that lies in the future.
class EarliestDeadline
{
public:
    explicit EarliestDeadline(TimePoint now)
        : now_(now)
    {
    }
    void at(TimePoint due)
    {
        // Overdue work is blocked, for example by a rate limit or a missing slot. It is re-evaluated after a short
        // delay and must not hide an earlier deadline.
        constexpr Duration recheckDelay = Milliseconds(100);
        earliest_ = std::min(earliest_, due <= now_ ? now_ + recheckDelay : due);
    }
    void at(std::optional<TimePoint> due)
    {
        if (due) {
            at(*due);
        }
    }
    std::optional<TimePoint> earliest() const
    {
        return earliest_ == TimePoint::max() ? std::nullopt : std::optional(earliest_);
    }

private:
    TimePoint now_;
    TimePoint earliest_ = TimePoint::max();
};

} // namespace anvilscale

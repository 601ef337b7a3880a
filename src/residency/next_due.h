// Collects times at which something is due and keeps the earliest that lies ahead.
#pragma once

#include "anvilscale/base.h"

#include <algorithm>
#include <optional>

namespace anvilscale {

class NextDue
{
public:
    explicit NextDue(TimePoint now)
        : now_(now)
    {
    }
    void at(TimePoint due)
    {
        // What is overdue was left for a reason (a bound on rates, a slot that is not free); it is looked at again
        // soon, and must not hide what is due before that.
        constexpr Duration recheck = Milliseconds(100);
        earliest_ = std::min(earliest_, due <= now_ ? now_ + recheck : due);
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

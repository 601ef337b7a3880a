// Running means of how long executions and loads take, for deadline admission and Retry-After.
#pragma once

#include "anvilscale/base.h"

#include <cmath>

namespace anvilscale {

/// Mean of late samples. Its weight fades while no sample comes, so that an estimate which made the sidecar refuse
/// everything is forgotten and does not confirm itself.
class FadingMean
{
public:
    void add(Duration sample, TimePoint now)
    {
        constexpr double weight = 0.2;
        const Duration old = at(now);
        mean_ = asOf_ == TimePoint{} ? sample : old + Duration(std::llround((sample - old).count() * weight));
        asOf_ = now;
    }
    Duration at(TimePoint now) const
    {
        constexpr double memorySeconds = 60.0;
        const double age = std::chrono::duration<double>(now - asOf_).count();
        return Duration(
            std::llround(static_cast<double>(mean_.count()) * std::exp(-std::max(age, 0.0) / memorySeconds)));
    }

    /// The same, or 0 where the last sample is older than `life` and twice the mean.
    Duration recentAt(TimePoint now, Duration life) const
    {
        return now - asOf_ > life + 2 * mean_ ? Duration(0) : at(now);
    }

private:
    Duration mean_{};
    TimePoint asOf_;
};

} // namespace anvilscale

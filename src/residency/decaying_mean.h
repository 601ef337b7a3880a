// Running means of execution and load times, for deadline-based admission and Retry-After.
#pragma once

#include "anvilscale/base.h"

#include <cmath>

namespace anvilscale {

/// Exponentially weighted mean that decays towards zero without samples. Prevents a high estimate from refusing all
/// calls indefinitely, since refused calls yield no new samples.
class DecayingMean
{
public:
    void add(Duration sample, TimePoint now)
    {
        constexpr double weight = 0.2;
        const Duration previous = at(now);
        mean_ = asOf_ == TimePoint{} ? sample : previous + Duration(std::llround((sample - previous).count() * weight));
        asOf_ = now;
    }
    Duration at(TimePoint now) const
    {
        constexpr double timeConstantSeconds = 60.0;
        const double age = std::chrono::duration<double>(now - asOf_).count();
        return Duration(
            std::llround(static_cast<double>(mean_.count()) * std::exp(-std::max(age, 0.0) / timeConstantSeconds)));
    }

    /// Returns at(now), or 0 if the last sample is older than `maxAge` plus twice the mean.
    Duration recentAt(TimePoint now, Duration maxAge) const
    {
        return now - asOf_ > maxAge + 2 * mean_ ? Duration(0) : at(now);
    }

private:
    Duration mean_{};
    TimePoint asOf_;
};

} // namespace anvilscale

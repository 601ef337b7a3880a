// Count of events that decays exponentially with time.
#pragma once

#include "anvilscale/base.h"

#include <cmath>

namespace anvilscale {

class DecayedCount
{
public:
    /// `lifetime`: time in which the count falls to 1/e.
    explicit DecayedCount(Duration lifetime)
        : lifetime_(lifetime)
    {
    }
    void add(double events, TimePoint now)
    {
        value_ = value(now) + events;
        updatedAt_ = now;
    }
    double value(TimePoint now) const
    {
        return value_ * std::exp(-std::chrono::duration<double>(now - updatedAt_) / lifetime_);
    }
    double perSecond(TimePoint now) const
    {
        return value(now) / std::chrono::duration<double>(lifetime_).count();
    }

private:
    std::chrono::duration<double> lifetime_;
    double value_ = 0;
    TimePoint updatedAt_{};
};

} // namespace anvilscale

// An event rate that forgets exponentially. Costs two numbers for each adapter and no timer.
#pragma once

#include "anvilscale/base.h"

#include <cmath>

namespace anvilscale {

/// Events a second, weighted by exp(-age / memory).
class DecayedRate
{
public:
    void add(TimePoint now, Duration memory, double events = 1.0)
    {
        value_ = at(now, memory) + events / seconds(memory);
        asOf_ = now;
    }
    double at(TimePoint now, Duration memory) const
    {
        if (value_ == 0.0 || now <= asOf_) {
            return value_;
        }
        return value_ * std::exp(-seconds(now - asOf_) / seconds(memory));
    }

private:
    static double seconds(Duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    double value_ = 0.0; // as of asOf_
    TimePoint asOf_;
};

} // namespace anvilscale

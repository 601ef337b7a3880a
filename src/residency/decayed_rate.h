// Exponentially decayed event rate.
#pragma once

#include "anvilscale/base.h"

#include <cmath>

namespace anvilscale {

/// Events per second, weighted by exp(-age / timeConstant). Needs no timer.
class DecayedRate
{
public:
    void add(TimePoint now, Duration timeConstant, double events = 1.0)
    {
        rate_ = at(now, timeConstant) + events / seconds(timeConstant);
        asOf_ = now;
    }
    double at(TimePoint now, Duration timeConstant) const
    {
        if (rate_ == 0.0 || now <= asOf_) {
            return rate_;
        }
        return rate_ * std::exp(-seconds(now - asOf_) / seconds(timeConstant));
    }

private:
    static double seconds(Duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    double rate_ = 0.0; // as of asOf_
    TimePoint asOf_;
};

} // namespace anvilscale

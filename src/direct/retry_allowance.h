// How many calls of a service an entry may send once more: a share of its calls, in any span of time.
#pragma once

#include <algorithm>

namespace anvilscale {

/// The users bound what all entries together send once more over any span of some seconds. Counted over spans of our
/// own, a burst of failures could spend the allowance of half a minute within ten seconds, and of two spans at their
/// border. Here each call earns its share, and little can be saved up.
class RetryAllowance
{
public:
    // Where no slack is configured: a lone failure may be repeated.
    static constexpr double leastSaved = 3;

    /// `mostSaved` is this entry's part of what all entries may send beyond the ratio.
    void countFirst(double ratio, double mostSaved)
    {
        saved_ = std::min(mostSaved, saved_ + ratio);
    }
    /// Takes one, or says that none is left.
    bool take()
    {
        if (saved_ < 1) {
            return false;
        }
        saved_ -= 1;
        return true;
    }

private:
    // An entry starts with little: many that start again at the same moment would else spend the slack twice.
    double saved_ = 1; // invariant: at most mostSaved
};

} // namespace anvilscale

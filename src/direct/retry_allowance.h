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
    void countFirst(double ratio)
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
    // The bound has a part that does not depend on the calls, 56 to 102 for all entries of the deployments served:
    // three for each of 31 entries fit in.
    static constexpr double mostSaved = 3;

    double saved_ = mostSaved; // invariant: at most mostSaved
};

} // namespace anvilscale

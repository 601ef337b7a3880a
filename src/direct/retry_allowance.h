// Retry budget of one service at one entry.
#pragma once

#include <algorithm>

namespace anvilscale {

/// Limits retries to a share of the calls. Each call earns its share and little can be saved, which bounds retries in
/// any period of a few seconds; fixed periods would allow bursts, twice the budget at their boundaries.
class RetryAllowance
{
public:
    // Used if no slack is configured: allows repeating a single failed call.
    static constexpr double defaultMaxBalance = 3;

    /// Earns the share of one first attempt. `maxBalance` is this entry's part of the retries beyond the ratio.
    void onFirstAttempt(double ratio, double maxBalance)
    {
        balance_ = std::min(maxBalance, balance_ + ratio);
    }
    /// Takes one retry; returns false if none is left.
    bool tryTake()
    {
        if (balance_ < 1) {
            return false;
        }
        balance_ -= 1;
        return true;
    }

private:
    // Starts low, so that many entries restarting together do not spend the slack twice.
    double balance_ = 1; // invariant: at most maxBalance
};

} // namespace anvilscale

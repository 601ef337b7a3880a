// Limits the executions that retries create to a share of the first executions (Policy::retryBudget).
#pragma once

#include "anvilscale/base.h"

namespace anvilscale {

/// Counted over a sliding window of two halves. The unit is executions created, not requests seen: in an overload the
/// executions are what keeps the engines busy for callers who have left (Zhang and Wang, "Cancellation Is Not Enough").
class RetryBudget
{
public:
    void countFirst(TimePoint now);
    /// Takes one execution from the budget, or says that it is spent.
    bool take(double ratio, TimePoint now);

private:
    struct Half
    {
        std::uint64_t first = 0;
        std::uint64_t retries = 0;
    };
    void roll(TimePoint now);

    Half current_;
    Half previous_;
    TimePoint halfStart_{};
};

/// The naive counterpart: retries as long as the attempts last.
class UnlimitedRetries
{
public:
    void countFirst(TimePoint /*now*/)
    {
    }
    bool take(double /*ratio*/, TimePoint /*now*/)
    {
        return true;
    }
};

} // namespace anvilscale

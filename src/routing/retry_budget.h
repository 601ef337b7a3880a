// Retry budget: limits executions created by retries to a share of first executions (Policy::retryBudget).
#pragma once

#include "anvilscale/base.h"

namespace anvilscale {

/// Counts over a sliding window of two halves. Counts executions, not requests: in an overload, executions for callers
/// that have left keep the engines busy (Zhang and Wang, "Cancellation Is Not Enough").
class RetryBudget
{
public:
    /// Counts the first execution of a call.
    void countFirst(TimePoint now);
    /// Takes one execution from the budget of `ratio` times the first executions, plus a fixed minimum. Returns false
    /// if the budget is spent; with a `ratio` of zero always.
    bool take(double ratio, TimePoint now);

private:
    struct HalfWindow
    {
        std::uint64_t firstExecutions = 0;
        std::uint64_t retries = 0;
    };
    void advanceWindow(TimePoint now);

    HalfWindow current_;
    HalfWindow previous_;
    TimePoint currentStart_{};
};

/// Baseline without a budget: retries are limited by the attempts of a call only.
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

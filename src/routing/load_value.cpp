// Load value from waiting calls, their class and their wait; for prefetch, from call rate and eviction cost.
#include "load_value.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

// Required ratio of prefetch value to victim value. Prevents two adapters from evicting each other in turn.
constexpr double prefetchHysteresis = 2.0;
} // namespace

double loadValue(const Demand &demand, const LoadValueContext &context)
{
    const double loadTime = std::max(0.001, toSeconds(context.loadTime));
    if (demand.waitingCalls == 0) {
        const bool isWorthwhile = demand.callRate > prefetchHysteresis * demand.victimValue && context.copyCount == 0;
        return isWorthwhile ? demand.callRate * loadTime * 0.01 : 0.0;
    }
    const auto age = context.now - demand.reportedAt;
    const double secondsLeft = toSeconds(demand.minBudget - age);
    // The only waiting call would expire before the load completes. Later calls are in the next report.
    const bool isTooLate = demand.minBudget > Duration{} && demand.waitingCalls == 1 && secondsLeft < loadTime;
    if (isTooLate) {
        return 0.0;
    }
    const double waitedSeconds = toSeconds(demand.oldestWait + age);
    // The square root dampens the class weight. Prevents starvation of the lowest class while the store is overloaded.
    const double weight = std::sqrt(context.policy->classWeights[static_cast<std::size_t>(demand.callClass)]);
    // The value grows with the wait, which bounds the wait of adapters with few callers.
    return weight * static_cast<double>(demand.waitingCalls) * (loadTime + waitedSeconds);
}

} // namespace anvilscale

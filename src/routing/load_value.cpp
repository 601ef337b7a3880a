// Value of a load: the calls that wait, their class and age, less what the eviction costs.
#include "load_value.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

// A prefetch must be worth this much more than what it evicts, else two adapters push each other out in turn.
constexpr double prefetchHysteresis = 2.0;
constexpr double seconds(Duration duration)
{
    return static_cast<double>(duration.count()) * 1e-6;
}

} // namespace

double loadValue(const Demand &demand, const LoadValueContext &context)
{
    const double loadTime = std::max(0.001, seconds(context.loadTime));
    if (demand.waiting == 0) {
        const bool worthIt = demand.rate > prefetchHysteresis * demand.victimValue && context.copies == 0;
        return worthIt ? demand.rate * loadTime * 0.01 : 0.0;
    }
    const auto age = context.now - demand.reportedAt;
    const double left = seconds(demand.leastBudget - age);
    // No waiting call would live to see the load. Calls with more time left show up in the next report.
    const bool inVain = demand.leastBudget > Duration{} && demand.waiting == 1 && left < loadTime;
    if (inVain) {
        return 0.0;
    }
    const double waited = seconds(demand.oldestWait + age);
    // The root: with the full weight the lowest class gets next to no loads while the store is behind.
    const double weight = std::sqrt(context.policy->classWeights[static_cast<std::size_t>(demand.callClass)]);
    // The age term bounds the wait of an adapter with few callers: its value grows until it is served.
    return weight * static_cast<double>(demand.waiting) * (loadTime + waited);
}

} // namespace anvilscale

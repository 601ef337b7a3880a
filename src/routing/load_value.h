// The worth of one load, by which the scheduler orders all loads of the fleet.
#pragma once

#include "demand_table.h"

namespace anvilscale {

struct LoadValueContext
{
    const Policy *policy = nullptr;
    TimePoint now;
    Duration loadTime{}; ///< what a load takes now
    std::uint32_t copies = 0; ///< of the adapter in the fleet, resident or loading
};

/// Greater is sooner; zero or less: not worth a load.
double loadValue(const Demand &demand, const LoadValueContext &context);

} // namespace anvilscale

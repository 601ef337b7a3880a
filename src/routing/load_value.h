// Value of an adapter load, by which the load scheduler orders demands.
#pragma once

#include "demand_table.h"

namespace anvilscale {

/// Inputs of loadValue() besides the demand.
struct LoadValueContext
{
    const Policy *policy = nullptr;
    TimePoint now;
    Duration loadTime{}; ///< current estimate for one load
    std::uint32_t copyCount = 0; ///< sidecars where the adapter is resident or loading
};

/// Returns the priority of a load, greatest first. Zero or less means that the load is not worthwhile.
double loadValue(const Demand &demand, const LoadValueContext &context);

} // namespace anvilscale

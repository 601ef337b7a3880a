// Approximate lower bound on load stalls: a greedy offline policy with access to all future calls, one copy per
// adapter and unlimited batches. Not proved optimal.
#pragma once

#include "scenario.h"

#include <ostream>

namespace anvilscale::bench {

struct OfflineBound
{
    Duration stallP99{};
    double stallTotalSeconds = 0.0;
    // The same without prefetching.
    Duration demandP99{};
    double demandTotalSeconds = 0.0;
};

OfflineBound offlineBound(const Trace &trace);
void printBound(std::ostream &out, const OfflineBound &bound);

} // namespace anvilscale::bench

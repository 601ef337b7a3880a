// What a clairvoyant could do about load stalls with the same slots and the same rate of loads: it knows every later
// call, loads one adapter at a time, ahead of need, in the order of next use, and evicts the idle adapter whose next
// use is furthest. One copy of an adapter serves everybody and batches never fill, so that the problem is easier
// than the real one. A greedy answer: close to the best, not proved to be it.
#pragma once

#include "scenario.h"

#include <ostream>

namespace anvilscale::bench {

struct OfflineBound
{
    Duration stallP99{};
    double stallTotalSeconds = 0.0;
    // The same without loads ahead of need: what is left to a policy that cannot see the future.
    Duration demandP99{};
    double demandTotalSeconds = 0.0;
};

OfflineBound offlineBound(const Trace &trace);
void printBound(std::ostream &out, const OfflineBound &bound);

} // namespace anvilscale::bench

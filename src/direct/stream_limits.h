// What the streams of one service need, over all routes that lead to it.
#pragma once

#include "anvilscale/base.h"

namespace anvilscale {

/// A time is 0 if there is none.
struct StreamLimits
{
    Duration shortestObjective{};
    Duration longestObjective{};
    Duration shortestPause{};
    bool operator==(const StreamLimits &) const = default;
};

} // namespace anvilscale

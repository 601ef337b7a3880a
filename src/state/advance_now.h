// Derives the current time in timer callbacks.
#pragma once

#include "anvilscale/base.h"

namespace anvilscale {

/// Advances `start` to `at`. The wall clock is extrapolated, which is sufficient for logs and delays; the at-most-once
/// guarantee uses only wall times that were read for a reply.
inline Now advanceNow(Now start, TimePoint at)
{
    const auto elapsedMs = std::chrono::duration_cast<Milliseconds>(at - start.mono).count();
    return Now{at, WallTime{start.wall.ms + elapsedMs}};
}

} // namespace anvilscale

// Derives the current time in timer callbacks.
#pragma once

#include "anvilscale/base.h"

namespace anvilscale {

/// Advances `armed` to `at`. The wall clock is extrapolated, which is sufficient for logs and delays; the at-most-once
/// guarantee uses only wall times that were read for a reply.
inline Now laterNow(Now armed, TimePoint at)
{
    const auto passed = std::chrono::duration_cast<Milliseconds>(at - armed.mono).count();
    return Now{at, WallTime{armed.wall.ms + passed}};
}

} // namespace anvilscale

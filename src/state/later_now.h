// The time that a timer's callback is given.
#pragma once

#include "anvilscale/base.h"

namespace anvilscale {

/// `armed` moved on to `at`. The wall clock is taken to have gone on evenly: good for logs and waits, while whatever
/// the proof of at-most-once rests on uses a wall time that was read for a reply.
inline Now laterNow(Now armed, TimePoint at)
{
    const auto passed = std::chrono::duration_cast<Milliseconds>(at - armed.mono).count();
    return Now{at, WallTime{armed.wall.ms + passed}};
}

} // namespace anvilscale

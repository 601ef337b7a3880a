// What an entry keeps for reading turns: one attempt of a call as reported to the sidecar of its engine, and what the
// streams of a service need.
#pragma once

#include "stream_limits.h"

#include "anvilscale/direct.h"

namespace anvilscale {

/// An attempt as reported to the sidecar of its engine.
struct ReadingAttempt
{
    std::uint64_t number = 0; // names it in messages, unique for one start of the entry; 0: not reported
    std::string address; // of the engine
    bool isQueued = false; // the sidecar has answered that the call has to wait
    bool isGranted = false;
    bool isSent = false; // to the engine
    TimePoint giveUpAt{}; // sent without a turn then
};

/// Reports to one sidecar that have not been sent yet.
struct PendingReadings
{
    wire::ReadingUpdate update;
    bool isUrgent = false; // sent at the end of this pass of the control loop, otherwise at the next tick
};

/// Limits by service.
std::map<std::string, StreamLimits> findStreamLimits(const DirectConfig &config);

} // namespace anvilscale

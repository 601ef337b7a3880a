// Pauses in the streams of one engine: how many exceed what their callers allow, and how long an event takes without
// prefill.
#pragma once

#include "estimates.h"

namespace anvilscale {

class StreamPauses
{
public:
    StreamPauses();
    /// `isUndisturbed`: no other prompt was in prefill while the stream ran.
    void onStreamEnded(Duration allowed, Duration longest, bool isUndisturbed, TimePoint now);
    /// Share of the recent streams that exceeded their allowed pause; 0 until enough streams have ended.
    double shareBeyondLimit() const;
    /// True while the share is too high and for some time after that.
    bool isContended(TimePoint now) const;
    /// Prefill time that fits into the allowed pause together with an event.
    Duration prefillTime(Duration allowed) const;

private:
    RecentSamples undisturbedMs_;
    double recent_ = 0; // decayed number of streams
    double beyondLimit_ = 0; // part of them that exceeded their pause
    std::uint64_t count_ = 0;
    TimePoint contendedUntil_{};
};

} // namespace anvilscale

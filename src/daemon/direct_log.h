// Logs and counts calls of the direct path.
#pragma once

#include "anvilscale/direct.h"
#include "anvilscale/telemetry.h"

namespace anvilscale {

/// Writes one log line for each finished call and failed attempt, up to a rate limit. Not thread-safe.
class DirectLog
{
public:
    DirectLog();
    void attemptFailed(const FailedAttempt &attempt, TimePoint now);
    void requestQuarantined(CallFingerprint request);
    void partJudged(const PartVerdict &verdict);
    void callEnded(const EndedCall &call, TimePoint now);
    void appendMetrics(MetricsText &text) const;

private:
    bool reserveLine(TimePoint now);

    HistogramMetric firstByte_;
    HistogramMetric total_;
    HistogramMetric adapterWait_;
    HistogramMetric confirmationWait_;
    TimePoint windowStart_{};
    std::uint32_t linesInWindow_ = 0; // written in the current window
    std::uint64_t suppressedLines_ = 0;
};

void appendDirectMetrics(MetricsText &text, const DirectCallsStats &stats);

} // namespace anvilscale

// Estimates from the pauses of streams.
#include "stream_pauses.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr double recentStreams = 40; // number of streams that the share is taken over, by decay
constexpr std::uint64_t minStreams = 20;
constexpr double maxShareBeyondLimit = 0.05;
// Time for which the limit on prefill stays after the share was too high: the limit itself lowers the share.
constexpr Duration contendedTime = Seconds(60);
constexpr std::size_t undisturbedSamples = 32;
constexpr std::size_t minUndisturbedSamples = 8;
// Share of the allowed pause that an event takes, until it is measured.
constexpr double defaultEventShare = 0.2;
// An engine whose events alone take nearly the whole pause still has to read prompts.
constexpr double maxEventShare = 0.5;

} // namespace

StreamPauses::StreamPauses()
    : undisturbedMs_(undisturbedSamples)
{
}

void StreamPauses::onStreamEnded(Duration allowed, Duration longest, bool isUndisturbed, TimePoint now)
{
    // A stream with one event has no pause, and one without a limit cannot exceed it.
    if (longest <= Duration(0)) {
        return;
    }
    if (isUndisturbed) {
        undisturbedMs_.add(milliseconds(longest));
    }
    if (allowed <= Duration(0)) {
        return;
    }
    constexpr double kept = 1 - 1 / recentStreams;
    recent_ = recent_ * kept + 1;
    beyondLimit_ = beyondLimit_ * kept + (longest > allowed ? 1 : 0);
    ++count_;
    if (shareBeyondLimit() >= maxShareBeyondLimit) {
        contendedUntil_ = now + contendedTime;
    }
}

double StreamPauses::shareBeyondLimit() const
{
    return count_ < minStreams ? 0 : beyondLimit_ / recent_;
}

bool StreamPauses::isContended(TimePoint now) const
{
    return now < contendedUntil_;
}

Duration StreamPauses::prefillTime(Duration allowed) const
{
    const double allowedMs = milliseconds(allowed);
    const bool isMeasured = undisturbedMs_.count() >= minUndisturbedSamples;
    const double eventMs = isMeasured ? undisturbedMs_.quantile(0.5) : defaultEventShare * allowedMs;
    return fromMilliseconds(allowedMs - std::min(eventMs, maxEventShare * allowedMs));
}

} // namespace anvilscale

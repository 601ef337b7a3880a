// Reported figures of an engine's speed.
#include "measured_speed.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

// Difference from the reported figure, as a share of it, from which a new one is reported. Entries use differences of
// more than a tenth.
constexpr double minReportedChange = 0.06;
constexpr double minBaseChangeUs = 2000; // a few steps; less does not matter beside the time of a prompt
constexpr double nanosecondsPerMs = 1e6;
constexpr double microsecondsPerMs = 1e3;

std::uint32_t roundToTwoDigits(double value)
{
    if (value < 1) {
        return 0;
    }
    const double unit = std::pow(10.0, std::floor(std::log10(value)) - 1);
    return static_cast<std::uint32_t>(std::lround(std::round(value / unit) * unit));
}

void report(std::uint32_t &reported, double value, double minChange)
{
    if (std::abs(value - reported) > std::max(minChange, minReportedChange * reported)) {
        reported = roundToTwoDigits(value);
    }
}

} // namespace

void MeasuredSpeed::add(std::uint64_t tokens, Duration elapsed)
{
    // `tokens` already accounts for the longer time per token of long prompts. With 0 own tokens the sample is used for
    // the linear fit whatever its length.
    speed_.add(static_cast<double>(tokens), 0, elapsed);
    ++sampleCount_;
    if (!speed_.isMeasured()) {
        return;
    }
    report(nsPerToken_, speed_.msPerToken() * nanosecondsPerMs, 0);
    report(baseUs_, speed_.baseMs() * microsecondsPerMs, minBaseChangeUs);
}

bool MeasuredSpeed::isMeasured() const
{
    return speed_.isMeasured();
}

double MeasuredSpeed::msPerToken() const
{
    return speed_.msPerToken();
}

std::uint32_t MeasuredSpeed::reportedNsPerToken() const
{
    return nsPerToken_;
}

std::uint32_t MeasuredSpeed::reportedBaseUs() const
{
    return baseUs_;
}

std::uint64_t MeasuredSpeed::sampleCount() const
{
    return sampleCount_;
}

} // namespace anvilscale

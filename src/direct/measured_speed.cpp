// Reported figures of an engine's speed.
#include "measured_speed.h"

#include "wire_units.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

// Difference from the reported figure, as a share of it, from which a new one is reported. Entries use differences of
// more than a tenth.
constexpr double minReportedChange = 0.06;
constexpr double minBaseChangeUs = 2000; // a few steps; less does not matter beside the time of a prompt
// Weight of the newest report of the service's speed: entries measure it from different calls.
constexpr double newReportWeight = 0.1;
constexpr std::size_t minRatios = 6; // samples from which the ratio to the service's speed is used

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

void MeasuredSpeed::setServiceSpeed(std::uint32_t nsPerToken, std::uint32_t baseUs)
{
    if (nsPerToken == 0) {
        return;
    }
    const double weight = hasServiceSpeed() ? newReportWeight : 1;
    serviceMsPerToken_ += weight * (nsPerToken / nsPerMs - serviceMsPerToken_);
    serviceBaseMs_ += weight * (baseUs / usPerMs - serviceBaseMs_);
}

void MeasuredSpeed::add(std::uint64_t tokens, Duration elapsed)
{
    // `tokens` already accounts for the longer time per token of long prompts. With 0 own tokens the sample is used for
    // the linear fit whatever its length.
    speed_.add(static_cast<double>(tokens), 0, elapsed);
    ++sampleCount_;
    if (hasServiceSpeed()) {
        const double expected = serviceBaseMs_ + static_cast<double>(tokens) * serviceMsPerToken_;
        ratios_.add(milliseconds(elapsed) / expected);
    }
    if (speed_.isMeasured()) {
        report(nsPerToken_, speed_.msPerToken() * nsPerMs, 0);
        report(baseUs_, speed_.baseMs() * usPerMs, minBaseChangeUs);
    } else if (ratios_.count() >= minRatios) {
        report(nsPerToken_, msPerToken() * nsPerMs, 0);
        report(baseUs_, ratioToService() * serviceBaseMs_ * usPerMs, minBaseChangeUs);
    }
}

bool MeasuredSpeed::hasServiceSpeed() const
{
    return serviceMsPerToken_ > 0;
}

double MeasuredSpeed::ratioToService() const
{
    return ratios_.count() >= minRatios ? ratios_.quantile(0.5) : 1;
}

bool MeasuredSpeed::isKnown() const
{
    return speed_.isMeasured() || hasServiceSpeed();
}

double MeasuredSpeed::msPerToken() const
{
    const bool usesService = !speed_.isMeasured() && hasServiceSpeed();
    return usesService ? ratioToService() * serviceMsPerToken_ : speed_.msPerToken();
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

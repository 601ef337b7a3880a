// Measured prefill speed of one engine, and the rounded figures that entries receive.
#pragma once

#include "estimates.h"

namespace anvilscale {

/// The speed is fitted to the engine's own samples once there are enough of them. Until then it is the speed of the
/// service, times the median ratio of the first samples to it. Under load few prompts have the engine to themselves,
/// and without a speed no budget could apply there.
class MeasuredSpeed
{
public:
    /// Speed of the service's engines, as an entry has measured it; 0 changes nothing.
    void setServiceSpeed(std::uint32_t nsPerToken, std::uint32_t baseUs);
    /// A prompt that had the engine to itself from sending to its first byte.
    void add(std::uint64_t tokens, Duration elapsed);
    bool isKnown() const;
    /// A default until known.
    double msPerToken() const;
    /// Figures with two significant digits; 0 until the engine's own samples count. They change only when the
    /// measurement has clearly left them, because each change of them sends a message to every entry.
    std::uint32_t reportedNsPerToken() const;
    std::uint32_t reportedBaseUs() const;
    std::uint64_t sampleCount() const;

private:
    bool hasServiceSpeed() const;
    /// Ratio of the engine's times to those of the service; 1 until enough samples are taken.
    double ratioToService() const;

    ReadingSpeed speed_;
    double serviceMsPerToken_ = 0; // smoothed over the reports of all entries; 0: not reported
    double serviceBaseMs_ = 0;
    RecentSamples ratios_{24};
    std::uint64_t sampleCount_ = 0;
    std::uint32_t nsPerToken_ = 0;
    std::uint32_t baseUs_ = 0;
};

} // namespace anvilscale

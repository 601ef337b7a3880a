// Measured prefill speed of one engine, and the rounded figures that entries receive.
#pragma once

#include "estimates.h"

namespace anvilscale {

class MeasuredSpeed
{
public:
    /// A prompt that had the engine to itself from sending to its first byte.
    void add(std::uint64_t tokens, Duration elapsed);
    bool isMeasured() const;
    /// A default until measured.
    double msPerToken() const;
    /// Figures with two significant digits; 0 until measured. They change only when the measurement has clearly left
    /// them, because each change of them sends a whole state to every entry.
    std::uint32_t reportedNsPerToken() const;
    std::uint32_t reportedBaseUs() const;
    std::uint64_t sampleCount() const;

private:
    ReadingSpeed speed_;
    std::uint64_t sampleCount_ = 0;
    std::uint32_t nsPerToken_ = 0;
    std::uint32_t baseUs_ = 0;
};

} // namespace anvilscale

// Reading speed of one engine, as its sidecar has measured it.
#pragma once

#include "endpoint_table.h"
#include "estimates.h"

namespace anvilscale {

/// Speed for the reading times at one engine: the engine's own one where it differs clearly from its service's.
class EngineSpeed
{
public:
    EngineSpeed(const EndpointEntry &entry, const ReadingSpeed &service, const DirectPolicy &policy);

    /// True if the engine's own speed is used.
    bool isOwn() const;
    bool isMeasured() const;
    double msPerToken() const;
    /// Time in ms to the first byte of a prompt of this much work at the idle engine.
    double idleEngineMs(double work) const;

private:
    bool isOwn_ = false;
    bool isMeasured_ = false;
    double msPerToken_ = 0;
    double baseMs_ = 0;
};

} // namespace anvilscale

// Selection of the reading speed of an engine, and reported speeds that are kept for an address.
#include "engine_speed.h"

#include "wire_units.h"

#include <cmath>

namespace anvilscale {

namespace {

// Within this ratio the service's estimate is used: the difference is within the error of a measurement.
constexpr double minDifference = 0.1;
// Bounds the memory for the speeds of engines that were removed.
constexpr std::size_t maxKeptSpeeds = 1024;

} // namespace

EngineSpeed::EngineSpeed(const EndpointEntry &entry, const ReadingSpeed &service, const DirectPolicy &policy)
    : isMeasured_(service.isMeasured())
    , msPerToken_(service.msPerToken())
    , baseMs_(service.baseMs())
{
    const double reported = entry.speed.nsPerToken / nsPerMs;
    const bool differs = std::abs(reported - msPerToken_) > minDifference * msPerToken_;
    isOwn_ = entry.speed.nsPerToken != 0 && differs && policy.has(Mechanism::EngineSpeeds);
    if (isOwn_) {
        isMeasured_ = true;
        msPerToken_ = reported;
        baseMs_ = entry.speed.baseUs / usPerMs;
    }
}

bool EngineSpeed::isOwn() const
{
    return isOwn_;
}

bool EngineSpeed::isMeasured() const
{
    return isMeasured_;
}

double EngineSpeed::msPerToken() const
{
    return msPerToken_;
}

double EngineSpeed::idleEngineMs(double work) const
{
    return baseMs_ + work * msPerToken_;
}

// An engine at the same address runs on the same VM, so that its speed is known before its sidecar reports it again.
void EndpointTable::inheritSpeed(EndpointEntry &entry)
{
    const auto kept = keptSpeeds_.find(entry.record.address);
    entry.speed = kept == keptSpeeds_.end() ? ReportedSpeed{} : kept->second;
    for (const auto &id : idsByAddress_[entry.record.address]) {
        const auto &other = byId_.at(id);
        entry.speed = other.speed.nsPerToken != 0 ? other.speed : entry.speed;
    }
}

void EndpointTable::keepSpeed(const EndpointEntry &entry)
{
    if (entry.speed.nsPerToken == 0) {
        return;
    }
    if (keptSpeeds_.size() >= maxKeptSpeeds) {
        keptSpeeds_.erase(keptSpeeds_.begin());
    }
    keptSpeeds_[entry.record.address] = entry.speed;
}

} // namespace anvilscale

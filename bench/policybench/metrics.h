// What is measured of one run, and its form as JSON.
#pragma once

#include "scenario.h"

#include "anvilscale/base.h"

#include <map>
#include <ostream>
#include <vector>

namespace anvilscale::bench {

enum class CallEnding : std::uint8_t {
    Open,
    Whole,
    Refused,
    Failed,
    Count
};

struct CallRecord
{
    TimePoint arrived;
    TimePoint ended;
    Duration deadline{};
    Duration stall{}; ///< from arrival until the adapter was loaded at the engine that ran it, if it was not yet
    CallEnding ending = CallEnding::Open;
    CallClass callClass = CallClass::Normal;
    bool service = false;
    bool started = false;
    std::uint32_t caller = 0;
    std::uint32_t executions = 0;
    std::uint32_t attempts = 0; ///< of the caller
};

struct Measures
{
    std::uint64_t calls = 0;
    std::uint64_t stalled = 0;
    Duration stallP50{};
    Duration stallP99{};
    double stallTotalSeconds = 0.0;
    double batchEfficiency = 0.0; ///< of the time in steps
    double fleetUse = 0.0; ///< filled batch places over all places and all time
    double tokensPerSecond = 0.0;
    std::array<std::uint64_t, enumCount<CallClass>> callsByClass{};
    std::array<std::uint64_t, enumCount<CallClass>> missesByClass{};
    std::map<std::string, std::uint64_t> refusals;
    double executionsPerCall = 0.0;
    std::uint64_t loads = 0;
    std::uint64_t reloads = 0;
    double jain = 1.0;
    std::uint64_t whole = 0;
    double inDeadlineShare = 0.0;
    // Overload and storm only.
    double recoverySeconds = -1.0; ///< after the pulse until goodput stays back; -1: never
    double pulseInTime = 0.0;
    double pulseWhole = 0.0; ///< answered at all, late ones included
    double laterInTime = 0.0; ///< calls that arrive from 60 s after the pulse on
    std::uint64_t faults = 0; ///< eviction under a call, start without the adapter: must be 0
    std::uint64_t unanswered = 0; ///< calls without an end: must be 0
};

Measures measure(const Trace &trace, const std::vector<CallRecord> &records, TimePoint origin);
void printMeasures(std::ostream &out, const Measures &measures);

} // namespace anvilscale::bench

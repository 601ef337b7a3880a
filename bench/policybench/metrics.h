// Metrics of one run and their JSON output.
#pragma once

#include "scenario.h"

#include "anvilscale/base.h"

#include <map>
#include <ostream>
#include <vector>

namespace anvilscale::bench {

enum class CallResult : std::uint8_t {
    Open,
    Completed,
    Refused,
    Failed,
    Count
};

struct CallRecord
{
    TimePoint arrived;
    TimePoint ended;
    Duration deadline{};
    Duration stall{}; ///< from arrival until the adapter was loaded on its engine; 0 if resident
    CallResult result = CallResult::Open;
    CallClass callClass = CallClass::Normal;
    bool isService = false;
    bool hasStarted = false;
    std::uint32_t caller = 0;
    std::uint32_t executions = 0;
    std::uint32_t attempts = 0; ///< made by the caller
};

struct Metrics
{
    std::uint64_t calls = 0;
    std::uint64_t stalledCalls = 0;
    Duration stallP50{};
    Duration stallP99{};
    double stallTotalSeconds = 0.0;
    double batchEfficiency = 0.0; ///< occupied share of the batch during steps
    double fleetUtilization = 0.0; ///< occupied share of all batch slots over the whole run
    double tokensPerSecond = 0.0;
    std::array<std::uint64_t, enumCount<CallClass>> callsByClass{};
    std::array<std::uint64_t, enumCount<CallClass>> missesByClass{};
    std::map<std::string, std::uint64_t> refusals;
    double executionsPerCall = 0.0;
    std::uint64_t loads = 0;
    std::uint64_t reloads = 0;
    double jainIndex = 1.0;
    std::uint64_t completed = 0;
    double inDeadlineRatio = 0.0;
    // Only meaningful for overload and storm.
    double recoverySeconds = -1.0; ///< after the pulse until goodput stays recovered; -1 if never
    double pulseInTimeRatio = 0.0;
    double pulseCompletedRatio = 0.0; ///< answered, including late answers
    double afterPulseInTimeRatio = 0.0; ///< of calls arriving at least 60 s after the pulse
    std::uint64_t faultCount = 0; ///< evictions during a call and starts without the adapter; must be 0
    std::uint64_t unanswered = 0; ///< calls without a result; must be 0
};

Metrics computeMetrics(const Trace &trace, const std::vector<CallRecord> &records, TimePoint origin);
void printMetrics(std::ostream &out, const Metrics &metrics);

} // namespace anvilscale::bench

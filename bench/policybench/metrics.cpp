// Computes and prints metrics from call records.
#include "metrics.h"

#include <algorithm>

namespace anvilscale::bench {

namespace {

double seconds(Duration duration)
{
    return static_cast<double>(duration.count()) * 1e-6;
}

Duration quantile(std::vector<Duration> &sorted, double part)
{
    if (sorted.empty()) {
        return Duration{};
    }
    const auto index = static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

bool isInTime(const CallRecord &record)
{
    return record.result == CallResult::Completed && record.ended - record.arrived <= record.deadline;
}

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

struct CallCounts
{
    std::uint64_t calls = 0;
    std::uint64_t inTime = 0;
};

/// Seconds from the end of the pulse until at least 90 % of the calls of every later window are answered in time.
double recoveryTime(const Trace &trace, const std::vector<CallRecord> &records, TimePoint origin)
{
    constexpr Duration width = Seconds(10);
    std::vector<CallCounts> windows(static_cast<std::size_t>((trace.length - trace.disturbanceEnd) / width));
    for (const auto &record : records) {
        const auto after = record.arrived - origin - trace.disturbanceEnd;
        const auto index = after / width;
        const bool isCounted = !record.isService && after >= Duration{} && index < std::ssize(windows);
        if (isCounted) {
            auto &window = windows[static_cast<std::size_t>(index)];
            ++window.calls;
            window.inTime += isInTime(record) ? 1 : 0;
        }
    }
    std::size_t firstRecovered = windows.size();
    while (firstRecovered > 0 && ratio(windows[firstRecovered - 1].inTime, windows[firstRecovered - 1].calls) >= 0.9) {
        --firstRecovered;
    }
    return firstRecovered == windows.size() ? -1.0 : seconds(width) * static_cast<double>(firstRecovered);
}

double jainIndexOf(const std::map<std::uint32_t, CallCounts> &callers)
{
    double sum = 0.0;
    double squares = 0.0;
    for (const auto &[caller, window] : callers) {
        const double servedRatio = ratio(window.inTime, window.calls);
        sum += servedRatio;
        squares += servedRatio * servedRatio;
    }
    return squares == 0.0 ? 1.0 : sum * sum / (static_cast<double>(callers.size()) * squares);
}

} // namespace

Metrics computeMetrics(const Trace &trace, const std::vector<CallRecord> &records, TimePoint origin)
{
    Metrics out;
    std::vector<Duration> stalls;
    std::map<std::uint32_t, CallCounts> callers;
    CallCounts pulse;
    CallCounts afterPulse;
    std::uint64_t pulseCompleted = 0;
    std::uint64_t inTimeCalls = 0;
    std::uint64_t executions = 0;
    for (const auto &record : records) {
        out.unanswered += record.result == CallResult::Open ? 1 : 0;
        const auto at = record.arrived - origin;
        if (at < trace.warmUpUntil) {
            continue;
        }
        ++out.calls;
        const bool hasMetDeadline = isInTime(record);
        inTimeCalls += hasMetDeadline ? 1 : 0;
        executions += record.executions;
        out.completed += record.result == CallResult::Completed ? 1 : 0;
        const auto classIndex = static_cast<std::size_t>(record.callClass);
        ++out.callsByClass[classIndex];
        out.missesByClass[classIndex] += hasMetDeadline ? 0 : 1;
        auto &caller = callers[record.caller];
        ++caller.calls;
        caller.inTime += hasMetDeadline ? 1 : 0;
        if (record.isService) {
            continue;
        }
        stalls.push_back(record.stall);
        out.stalledCalls += record.stall > Duration{} ? 1 : 0;
        out.stallTotalSeconds += seconds(record.stall);
        const bool isInPulse = at >= trace.disturbanceStart && at < trace.disturbanceEnd;
        pulse.calls += isInPulse ? 1 : 0;
        pulse.inTime += isInPulse && hasMetDeadline ? 1 : 0;
        pulseCompleted += isInPulse && record.result == CallResult::Completed ? 1 : 0;
        const bool isAfterPulse = at >= trace.disturbanceEnd + Seconds(60);
        afterPulse.calls += isAfterPulse ? 1 : 0;
        afterPulse.inTime += isAfterPulse && hasMetDeadline ? 1 : 0;
    }
    std::sort(stalls.begin(), stalls.end());
    out.stallP50 = quantile(stalls, 0.5);
    out.stallP99 = quantile(stalls, 0.99);
    out.executionsPerCall = static_cast<double>(executions) / std::max(1.0, static_cast<double>(out.calls));
    out.inDeadlineRatio = ratio(inTimeCalls, out.calls);
    out.jainIndex = jainIndexOf(callers);
    out.pulseInTimeRatio = ratio(pulse.inTime, pulse.calls);
    out.pulseCompletedRatio = ratio(pulseCompleted, pulse.calls);
    out.afterPulseInTimeRatio = ratio(afterPulse.inTime, afterPulse.calls);
    out.recoverySeconds = recoveryTime(trace, records, origin);
    return out;
}

void printMetrics(std::ostream &out, const Metrics &m)
{
    out << "{\"calls\":" << m.calls << ",\"stalled_share\":" << ratio(m.stalledCalls, m.calls)
        << ",\"stall_p50_ms\":" << seconds(m.stallP50) * 1e3 << ",\"stall_p99_ms\":" << seconds(m.stallP99) * 1e3
        << ",\"stall_total_s\":" << m.stallTotalSeconds << ",\"batch_efficiency\":" << m.batchEfficiency
        << ",\"fleet_use\":" << m.fleetUtilization << ",\"tokens_per_s\":" << m.tokensPerSecond
        << ",\"deadline_misses\":{";
    for (std::size_t i = 0; i < enumCount<CallClass>; ++i) {
        out << (i == 0 ? "" : ",") << '"' << toString(static_cast<CallClass>(i)) << "\":[" << m.missesByClass[i] << ','
            << m.callsByClass[i] << ']';
    }
    out << "},\"refusals\":{";
    bool first = true;
    for (const auto &[reason, count] : m.refusals) {
        out << (first ? "" : ",") << '"' << reason << "\":" << count;
        first = false;
    }
    out << "},\"executions_per_call\":" << m.executionsPerCall << ",\"loads\":" << m.loads
        << ",\"reloads\":" << m.reloads << ",\"jain\":" << m.jainIndex << ",\"whole\":" << m.completed
        << ",\"in_deadline\":" << m.inDeadlineRatio << ",\"recovery_s\":" << m.recoverySeconds
        << ",\"pulse_in_time\":" << m.pulseInTimeRatio << ",\"pulse_whole\":" << m.pulseCompletedRatio
        << ",\"later_in_time\":" << m.afterPulseInTimeRatio << ",\"faults\":" << m.faultCount
        << ",\"unanswered\":" << m.unanswered << '}';
}

} // namespace anvilscale::bench

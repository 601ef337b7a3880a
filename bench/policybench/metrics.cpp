// From the records of calls to the figures.
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

bool inTime(const CallRecord &record)
{
    return record.ending == CallEnding::Whole && record.ended - record.arrived <= record.deadline;
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

struct Window
{
    std::uint64_t calls = 0;
    std::uint64_t good = 0;
};

/// Goodput is back at the first window after the pulse from which on nine of ten arriving calls are answered in time.
double recoveryOf(const Trace &trace, const std::vector<CallRecord> &records, TimePoint origin)
{
    constexpr Duration width = Seconds(10);
    std::vector<Window> windows(static_cast<std::size_t>((trace.length - trace.disturbanceUntil) / width));
    for (const auto &record : records) {
        const auto after = record.arrived - origin - trace.disturbanceUntil;
        const auto index = after / width;
        const bool counted = !record.service && after >= Duration{} && index < std::ssize(windows);
        if (counted) {
            auto &window = windows[static_cast<std::size_t>(index)];
            ++window.calls;
            window.good += inTime(record) ? 1 : 0;
        }
    }
    std::size_t back = windows.size();
    while (back > 0 && share(windows[back - 1].good, windows[back - 1].calls) >= 0.9) {
        --back;
    }
    return back == windows.size() ? -1.0 : seconds(width) * static_cast<double>(back);
}

double jainOf(const std::map<std::uint32_t, Window> &callers)
{
    double sum = 0.0;
    double squares = 0.0;
    for (const auto &[caller, window] : callers) {
        const double got = share(window.good, window.calls);
        sum += got;
        squares += got * got;
    }
    return squares == 0.0 ? 1.0 : sum * sum / (static_cast<double>(callers.size()) * squares);
}

} // namespace

Measures measure(const Trace &trace, const std::vector<CallRecord> &records, TimePoint origin)
{
    Measures out;
    std::vector<Duration> stalls;
    std::map<std::uint32_t, Window> callers;
    Window pulse;
    Window later;
    std::uint64_t pulseWhole = 0;
    std::uint64_t good = 0;
    std::uint64_t executions = 0;
    for (const auto &record : records) {
        out.unanswered += record.ending == CallEnding::Open ? 1 : 0;
        const auto at = record.arrived - origin;
        if (at < trace.measureFrom) {
            continue;
        }
        ++out.calls;
        const bool met = inTime(record);
        good += met ? 1 : 0;
        executions += record.executions;
        out.whole += record.ending == CallEnding::Whole ? 1 : 0;
        const auto classIndex = static_cast<std::size_t>(record.callClass);
        ++out.callsByClass[classIndex];
        out.missesByClass[classIndex] += met ? 0 : 1;
        auto &caller = callers[record.caller];
        ++caller.calls;
        caller.good += met ? 1 : 0;
        if (record.service) {
            continue;
        }
        stalls.push_back(record.stall);
        out.stalled += record.stall > Duration{} ? 1 : 0;
        out.stallTotalSeconds += seconds(record.stall);
        const bool inPulse = at >= trace.disturbanceFrom && at < trace.disturbanceUntil;
        pulse.calls += inPulse ? 1 : 0;
        pulse.good += inPulse && met ? 1 : 0;
        pulseWhole += inPulse && record.ending == CallEnding::Whole ? 1 : 0;
        const bool isLater = at >= trace.disturbanceUntil + Seconds(60);
        later.calls += isLater ? 1 : 0;
        later.good += isLater && met ? 1 : 0;
    }
    std::sort(stalls.begin(), stalls.end());
    out.stallP50 = quantile(stalls, 0.5);
    out.stallP99 = quantile(stalls, 0.99);
    out.executionsPerCall = static_cast<double>(executions) / std::max(1.0, static_cast<double>(out.calls));
    out.inDeadlineShare = share(good, out.calls);
    out.jain = jainOf(callers);
    out.pulseInTime = share(pulse.good, pulse.calls);
    out.pulseWhole = share(pulseWhole, pulse.calls);
    out.laterInTime = share(later.good, later.calls);
    out.recoverySeconds = recoveryOf(trace, records, origin);
    return out;
}

void printMeasures(std::ostream &out, const Measures &m)
{
    out << "{\"calls\":" << m.calls << ",\"stalled_share\":" << share(m.stalled, m.calls)
        << ",\"stall_p50_ms\":" << seconds(m.stallP50) * 1e3 << ",\"stall_p99_ms\":" << seconds(m.stallP99) * 1e3
        << ",\"stall_total_s\":" << m.stallTotalSeconds << ",\"batch_efficiency\":" << m.batchEfficiency
        << ",\"fleet_use\":" << m.fleetUse << ",\"tokens_per_s\":" << m.tokensPerSecond << ",\"deadline_misses\":{";
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
        << ",\"reloads\":" << m.reloads << ",\"jain\":" << m.jain << ",\"whole\":" << m.whole
        << ",\"in_deadline\":" << m.inDeadlineShare << ",\"recovery_s\":" << m.recoverySeconds
        << ",\"pulse_in_time\":" << m.pulseInTime << ",\"pulse_whole\":" << m.pulseWhole
        << ",\"later_in_time\":" << m.laterInTime << ",\"faults\":" << m.faults << ",\"unanswered\":" << m.unanswered
        << '}';
}

} // namespace anvilscale::bench

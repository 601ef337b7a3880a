// Prints the tables of docs/CAPACITY.md: measured slopes extrapolated to the two-year size.
#include "slopes.h"

#include <cstdio>
#include <cstdlib>

namespace anvilscale::slopes {

namespace {

// Two-year size of the fleet.
constexpr double nodes = 360;
constexpr double replicas = 3900;
constexpr double dataCentres = 22;
constexpr double regions = 7;
constexpr double adapters = 140'000;
constexpr double callsPerSecond = 3800;
constexpr double tokensPerSecond = 1.3e6;
constexpr double changesPerDay = 4900;
constexpr double activatedShare = 0.18; // share of the adapters that become active within an hour
constexpr double tokenInterval = 0.046; // seconds between tokens

constexpr double secondsPerDay = 86'400;
constexpr double remoteSidecars = 32; // sidecars of other data centres tracked by an entry as spill targets
constexpr double helloInterval = 9; // seconds, mean of the maximum interval with jitter
constexpr double sidecarsPerCentre = replicas / dataCentres;
constexpr double entriesPerCentre = nodes / dataCentres;
constexpr double openCallsPerEntry = callsPerSecond / nodes * (tokensPerSecond / callsPerSecond * tokenInterval);
constexpr double activationsPerSecond = adapters * activatedShare / 3600;
constexpr double changesPerSecond = changesPerDay / secondsPerDay;

// Budgets: control of one node, and the key-value service for the whole fleet.
constexpr double cpuBudgetPercent = 4.9;
constexpr double memoryBudgetMb = 64;
constexpr double bytesPerSecondBudget = 5000;
constexpr double writesPerSecondBudget = 300;
constexpr double readsPerSecondBudget = 2000;

const Series &findSeries(const Report &report, const std::string &name)
{
    const auto found = report.series.find(name);
    if (found == report.series.end()) {
        std::fprintf(stderr, "slopes: %s was not measured\n", name.c_str());
        std::exit(1);
    }
    return found->second;
}

double valueAt(const Report &report, const std::string &name, double size)
{
    const LinearFit line = fit(findSeries(report, name).points);
    return line.intercept + line.slope * size;
}

/// Cost at the largest measured size.
double costOf(const Report &report, const std::string &name)
{
    return findSeries(report, name).points.back().value;
}

/// Cost that grows linearly with the size, extrapolated to `size`.
double costAt(const Report &report, const std::string &name, double size)
{
    return valueAt(report, name, size);
}

double messageSize(const Report &report, const std::string &name)
{
    return report.messageSizes.at(name);
}

double rateOf(const Report &report, const std::string &name)
{
    return report.rates.at(name);
}

std::string formatValue(double value)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, value < 10 ? "%.2f" : "%.0f", value);
    return buffer;
}

std::string verdict(double value, double budget)
{
    return value <= budget ? "fits" : "**does not fit**";
}

struct Row
{
    std::string role;
    std::string quantity;
    double value;
    std::string unit;
    double budget;
    std::string source;
};

std::string rowText(const Row &row)
{
    return "| " + row.role + " | " + row.quantity + " | " + formatValue(row.value) + " " + row.unit + " | "
           + formatValue(row.budget) + " " + row.unit + " | " + verdict(row.value, row.budget) + " | " + row.source
           + " |\n";
}

constexpr double bytesToMb = 1.0 / 1e6;
/// Converts microseconds per second to percent of a core.
constexpr double microsToPercent = 100.0 / 1e6;

std::vector<Row> entryRows(const Report &report)
{
    const double state = valueAt(report, "config.state", adapters) + valueAt(report, "entry.state", sidecarsPerCentre)
                         + openCallsPerEntry * rateOf(report, "entry.open_call_bytes");
    const double trackedSidecars = sidecarsPerCentre + remoteSidecars;
    const double heartbeatsPerSecond = trackedSidecars * costOf(report, "sidecar.idle_messages_per_peer");
    const double cpu = heartbeatsPerSecond * costOf(report, "entry.heartbeat_one_change")
                       + changesPerSecond * costOf(report, "config.change");
    const double bytesIn = trackedSidecars * costOf(report, "sidecar.busy_bytes_per_peer")
                           + changesPerSecond * messageSize(report, "config_push_one_change");
    const double hellosPerSecond =
        trackedSidecars / helloInterval + trackedSidecars * changesPerSecond; // periodic and after each change
    const double pushesPerSecond = changesPerSecond * sidecarsPerCentre / entriesPerCentre;
    const double bytesOut = hellosPerSecond * messageSize(report, "hello")
                            + pushesPerSecond * messageSize(report, "config_push_one_change");
    const double decisions = callsPerSecond / nodes * costOf(report, "entry.decision")
                             + tokensPerSecond / nodes * costOf(report, "entry.frame");
    return {
        {"entry", "state", state * bytesToMb, "MB", memoryBudgetMb, "config.state, entry.state, entry.open_call_bytes"},
        {"entry", "control time", cpu * microsToPercent, "% of a core", cpuBudgetPercent,
         "entry.heartbeat_one_change, config.change"},
        {"entry", "control bytes in", bytesIn, "B/s", bytesPerSecondBudget,
         "sidecar.busy_bytes_per_peer, config_push_one_change"},
        {"entry", "control bytes out", bytesOut, "B/s", bytesPerSecondBudget, "hello, config_push_one_change"},
        {"entry", "control bytes in and out", bytesIn + bytesOut, "B/s", bytesPerSecondBudget, "the two rows above"},
        {"entry", "decisions for calls and frames (traffic)", decisions * microsToPercent, "% of a core", 100,
         "entry.decision, entry.frame"},
    };
}

std::vector<Row> sidecarRows(const Report &report)
{
    const double state = valueAt(report, "config.state", adapters) + rateOf(report, "sidecar.state_bytes");
    const double cpu =
        rateOf(report, "sidecar.idle_cpu_permille") * 1000 + changesPerSecond * costOf(report, "config.change");
    const double bytes =
        costOf(report, "sidecar.busy_bytes_per_peer") * entriesPerCentre
        + activationsPerSecond / replicas * messageSize(report, "heartbeat_one_change") * entriesPerCentre;
    const double keys = callsPerSecond / replicas * 600; // keys in the default window of 600 s, one per call
    return {
        {"sidecar", "state", state * bytesToMb, "MB", memoryBudgetMb, "config.state, sidecar.state_bytes"},
        {"sidecar", "control time", cpu * microsToPercent, "% of a core", cpuBudgetPercent,
         "sidecar.idle_cpu_permille, config.change"},
        {"sidecar", "control bytes out", bytes, "B/s", bytesPerSecondBudget, "sidecar.busy_bytes_per_peer"},
        {"slot owner", "seen keys, without answers", valueAt(report, "keys.state", keys) * bytesToMb, "MB",
         memoryBudgetMb, "keys.state"},
        {"any", "taking the configuration at a start", valueAt(report, "config.restore", adapters) / 1e6, "s of a core",
         12, "config.restore"},
    };
}

std::vector<Row> schedulerRows(const Report &report)
{
    const double perRegion = replicas / regions;
    std::vector<Row> rows;
    for (const double sidecars : {replicas, perRegion}) {
        const std::string role = sidecars == replicas ? "scheduler of all" : "scheduler of a region";
        const double heartbeatsPerSecond = sidecars * costOf(report, "sidecar.idle_messages_per_peer");
        rows.push_back({role, "state", valueAt(report, "scheduler.state", sidecars) * bytesToMb, "MB", memoryBudgetMb,
                        "scheduler.state"});
        rows.push_back(
            {role, "control time",
             heartbeatsPerSecond * costAt(report, "scheduler.heartbeat_one_demand", sidecars) * microsToPercent,
             "% of a core", cpuBudgetPercent, "scheduler.heartbeat_one_demand"});
        rows.push_back({role, "control bytes in", sidecars * costOf(report, "sidecar.busy_bytes_per_peer"), "B/s",
                        bytesPerSecondBudget, "sidecar.busy_bytes_per_peer"});
    }
    return rows;
}

std::vector<Row> keyValueRows(const Report &report)
{
    const auto fleetTotal = [&report](const std::string &name) { return costOf(report, name) * dataCentres; };
    return {
        {"key-value service", "idle", fleetTotal("key_value.idle_calls_per_s"), "calls/s", readsPerSecondBudget,
         "key_value.idle_calls_per_s"},
        {"key-value service", "during an outage (tries)", fleetTotal("key_value.outage_tries_per_s"), "calls/s",
         readsPerSecondBudget, "key_value.outage_tries_per_s"},
        {"key-value service", "peak after an outage", fleetTotal("key_value.return_peak_per_s"), "calls/s",
         readsPerSecondBudget, "key_value.return_peak_per_s"},
        {"key-value service", "a data centre returns", costOf(report, "key_value.return_peak_per_s"), "calls/s",
         readsPerSecondBudget, "key_value.return_peak_per_s"},
        {"key-value service", "writes: lease keep-alives and changes",
         fleetTotal("key_value.idle_writes_per_s") + changesPerSecond, "calls/s", writesPerSecondBudget,
         "key_value.idle_writes_per_s"},
        {"`anvilctl`", "calls of one change", costOf(report, "key_value.change_calls"), "calls", 20,
         "key_value.change_calls"},
        {"configuration", "spread within a data centre", costOf(report, "config.spread_s"), "s", 12, "config.spread_s"},
    };
}

std::string slopeTable(const Report &report)
{
    std::string out = "| quantity | at sizes | values | unit | slope | linear or better |\n"
                      "| --- | --- | --- | --- | --- | --- |\n";
    for (const auto &[name, series] : report.series) {
        std::string sizes;
        std::string values;
        for (const Point &point : series.points) {
            char size[32];
            std::snprintf(size, sizeof size, "%.0f", point.size);
            sizes += (sizes.empty() ? "" : ", ") + std::string(size);
            values += (values.empty() ? "" : ", ") + formatValue(point.value);
        }
        const LinearFit line = fit(series.points);
        const std::string slope = series.isCumulative ? formatValue(line.slope) + " " + series.unit + " each" : "cost";
        const std::string linear = !series.isCumulative ? "-" : (line.isLinearOrBetter ? "yes" : "no");
        for (const std::string &cell :
             {"`" + name + "`", sizes + " " + series.sizeUnit, values, series.unit, slope, linear}) {
            out += "| " + cell + " ";
        }
        out += "|\n";
    }
    return out;
}

std::string valueTable(const std::string &heading, const std::map<std::string, double> &values)
{
    std::string out = "| " + heading + " | value |\n| --- | --- |\n";
    for (const auto &[name, value] : values) {
        out += "| `" + name + "` | " + formatValue(value) + " |\n";
    }
    return out;
}

} // namespace

std::string toPage(const Report &report)
{
    std::string out =
        "| role | what | at the two-year size | budget | | from |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const auto &rows : {entryRows(report), sidecarRows(report), schedulerRows(report), keyValueRows(report)}) {
        for (const Row &row : rows) {
            out += rowText(row);
        }
    }
    out += "\n" + slopeTable(report) + "\n" + valueTable("message, bytes", report.messageSizes) + "\n"
           + valueTable("figure", report.rates);
    return out;
}

} // namespace anvilscale::slopes

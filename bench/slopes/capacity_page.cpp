// The tables of docs/CAPACITY.md: each figure is a measured slope times a size that the users named.
#include "slopes.h"

#include <cstdio>
#include <cstdlib>

namespace anvilscale::slopes {

namespace {

// The two-year size, from the users' letter.
constexpr double nodes = 360;
constexpr double replicas = 3900;
constexpr double dataCentres = 22;
constexpr double regions = 7;
constexpr double adapters = 140'000;
constexpr double callsPerSecond = 3800;
constexpr double tokensPerSecond = 1.3e6;
constexpr double changesPerDay = 4900;
constexpr double wakingShare = 0.18; // of the adapters, within an hour
constexpr double tokenInterval = 0.046; // seconds between tokens

constexpr double secondsPerDay = 86'400;
constexpr double farSidecars = 32; // of other data centres that an entry hears, to spill to
constexpr double helloInterval = 9; // seconds: the mean of the longest interval with its jitter
constexpr double sidecarsPerCentre = replicas / dataCentres;
constexpr double entriesPerCentre = nodes / dataCentres;
constexpr double openCallsPerEntry = callsPerSecond / nodes * (tokensPerSecond / callsPerSecond * tokenInterval);
constexpr double wakesPerSecond = adapters * wakingShare / 3600;
constexpr double changesPerSecond = changesPerDay / secondsPerDay;

// The budgets: control of a node, and the key-value service for everybody.
constexpr double cpuBudgetPercent = 4.9;
constexpr double memoryBudgetMb = 64;
constexpr double bytesBudget = 5000;
constexpr double writesBudget = 300; // "several hundred writes a second"
constexpr double readsBudget = 2000;

const Series &seriesOf(const Report &report, const std::string &name)
{
    const auto found = report.series.find(name);
    if (found == report.series.end()) {
        std::fprintf(stderr, "slopes: %s was not measured\n", name.c_str());
        std::exit(1);
    }
    return found->second;
}

double stateAt(const Report &report, const std::string &name, double size)
{
    const Line line = fit(seriesOf(report, name).points);
    return line.fixed + line.perUnit * size;
}

/// The cost at the largest measured size.
double costOf(const Report &report, const std::string &name)
{
    return seriesOf(report, name).points.back().value;
}

/// A cost that grows in a straight line with the size, at another size.
double costAt(const Report &report, const std::string &name, double size)
{
    return stateAt(report, name, size);
}

double message(const Report &report, const std::string &name)
{
    return report.messages.at(name);
}

double rate(const Report &report, const std::string &name)
{
    return report.rates.at(name);
}

std::string text(double value)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, value < 10 ? "%.2f" : "%.0f", value);
    return buffer;
}

std::string fits(double value, double budget)
{
    return value <= budget ? "fits" : "**does not fit**";
}

struct Row
{
    std::string role;
    std::string what;
    double value;
    std::string unit;
    double budget;
    std::string from;
};

std::string rowText(const Row &row)
{
    return "| " + row.role + " | " + row.what + " | " + text(row.value) + " " + row.unit + " | " + text(row.budget)
           + " " + row.unit + " | " + fits(row.value, row.budget) + " | " + row.from + " |\n";
}

constexpr double toMb = 1.0 / 1e6;
/// Microseconds a second as percent of a core.
constexpr double toPercent = 100.0 / 1e6;

std::vector<Row> entryRows(const Report &report)
{
    const double state = stateAt(report, "config.state", adapters) + stateAt(report, "entry.state", sidecarsPerCentre)
                         + openCallsPerEntry * rate(report, "entry.open_call_bytes");
    const double known = sidecarsPerCentre + farSidecars;
    const double beats = known * costOf(report, "sidecar.idle_messages_per_peer");
    const double cpu =
        beats * costOf(report, "entry.heartbeat_one_change") + changesPerSecond * costOf(report, "config.change");
    const double bytesIn = known * costOf(report, "sidecar.busy_bytes_per_peer")
                           + changesPerSecond * message(report, "config_push_one_change");
    const double hellos = known / helloInterval + known * changesPerSecond; // at an interval, and at each change
    const double pushes = changesPerSecond * sidecarsPerCentre / entriesPerCentre;
    const double bytesOut = hellos * message(report, "hello") + pushes * message(report, "config_push_one_change");
    const double decisions = callsPerSecond / nodes * costOf(report, "entry.decision")
                             + tokensPerSecond / nodes * costOf(report, "entry.frame");
    return {
        {"entry", "state", state * toMb, "MB", memoryBudgetMb, "config.state, entry.state, entry.open_call_bytes"},
        {"entry", "control time", cpu * toPercent, "% of a core", cpuBudgetPercent,
         "entry.heartbeat_one_change, config.change"},
        {"entry", "control bytes in", bytesIn, "B/s", bytesBudget,
         "sidecar.busy_bytes_per_peer, config_push_one_change"},
        {"entry", "control bytes out", bytesOut, "B/s", bytesBudget, "hello, config_push_one_change"},
        {"entry", "control bytes in and out", bytesIn + bytesOut, "B/s", bytesBudget, "the two rows above"},
        {"entry", "decisions for calls and frames (traffic)", decisions * toPercent, "% of a core", 100,
         "entry.decision, entry.frame"},
    };
}

std::vector<Row> sidecarRows(const Report &report)
{
    const double state = stateAt(report, "config.state", adapters) + rate(report, "sidecar.state_bytes");
    const double cpu =
        rate(report, "sidecar.idle_cpu_permille") * 1000 + changesPerSecond * costOf(report, "config.change");
    const double bytes = costOf(report, "sidecar.busy_bytes_per_peer") * entriesPerCentre
                         + wakesPerSecond / replicas * message(report, "heartbeat_one_change") * entriesPerCentre;
    const double keys = callsPerSecond / replicas * 600; // keys within the default window, if each call had one
    return {
        {"sidecar", "state", state * toMb, "MB", memoryBudgetMb, "config.state, sidecar.state_bytes"},
        {"sidecar", "control time", cpu * toPercent, "% of a core", cpuBudgetPercent,
         "sidecar.idle_cpu_permille, config.change"},
        {"sidecar", "control bytes out", bytes, "B/s", bytesBudget, "sidecar.busy_bytes_per_peer"},
        {"slot owner", "seen keys, without answers", stateAt(report, "keys.state", keys) * toMb, "MB", memoryBudgetMb,
         "keys.state"},
        {"any", "taking the configuration at a start", stateAt(report, "config.restore", adapters) / 1e6, "s of a core",
         12, "config.restore"},
    };
}

std::vector<Row> schedulerRows(const Report &report)
{
    const double perRegion = replicas / regions;
    std::vector<Row> rows;
    for (const double sidecars : {replicas, perRegion}) {
        const std::string role = sidecars == replicas ? "scheduler of all" : "scheduler of a region";
        const double beats = sidecars * costOf(report, "sidecar.idle_messages_per_peer");
        rows.push_back({role, "state", stateAt(report, "scheduler.state", sidecars) * toMb, "MB", memoryBudgetMb,
                        "scheduler.state"});
        rows.push_back({role, "control time",
                        beats * costAt(report, "scheduler.heartbeat_one_demand", sidecars) * toPercent, "% of a core",
                        cpuBudgetPercent, "scheduler.heartbeat_one_demand"});
        rows.push_back({role, "control bytes in", sidecars * costOf(report, "sidecar.busy_bytes_per_peer"), "B/s",
                        bytesBudget, "sidecar.busy_bytes_per_peer"});
    }
    return rows;
}

std::vector<Row> keyValueRows(const Report &report)
{
    const auto everywhere = [&report](const std::string &name) { return costOf(report, name) * dataCentres; };
    return {
        {"key-value service", "idle", everywhere("key_value.idle_calls_per_s"), "calls/s", readsBudget,
         "key_value.idle_calls_per_s"},
        {"key-value service", "during an outage (tries)", everywhere("key_value.outage_tries_per_s"), "calls/s",
         readsBudget, "key_value.outage_tries_per_s"},
        {"key-value service", "peak after an outage", everywhere("key_value.return_peak_per_s"), "calls/s", readsBudget,
         "key_value.return_peak_per_s"},
        {"key-value service", "a data centre returns", costOf(report, "key_value.return_peak_per_s"), "calls/s",
         readsBudget, "key_value.return_peak_per_s"},
        {"key-value service", "writes: lease keep-alives and changes",
         everywhere("key_value.idle_writes_per_s") + changesPerSecond, "calls/s", writesBudget,
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
            values += (values.empty() ? "" : ", ") + text(point.value);
        }
        const Line line = fit(series.points);
        const std::string slope = series.cumulative ? text(line.perUnit) + " " + series.unit + " each" : "cost";
        const std::string linear = !series.cumulative ? "-" : (line.linearOrBetter ? "yes" : "no");
        for (const std::string &cell :
             {"`" + name + "`", sizes + " " + series.over, values, series.unit, slope, linear}) {
            out += "| " + cell + " ";
        }
        out += "|\n";
    }
    return out;
}

std::string plainTable(const std::string &head, const std::map<std::string, double> &values)
{
    std::string out = "| " + head + " | value |\n| --- | --- |\n";
    for (const auto &[name, value] : values) {
        out += "| `" + name + "` | " + text(value) + " |\n";
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
    out += "\n" + slopeTable(report) + "\n" + plainTable("message, bytes", report.messages) + "\n"
           + plainTable("figure", report.rates);
    return out;
}

} // namespace anvilscale::slopes

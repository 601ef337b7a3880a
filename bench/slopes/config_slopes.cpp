// Slopes of the configuration: bytes per adapter, time per change, per look-up, per snapshot; bytes on the wire.
#include "config.pb.h"
#include "fleet_records.h"
#include "slopes.h"
#include "wire.pb.h"

#include "anvilscale/state.h"

namespace anvilscale::slopes {

namespace {

/// The same fleet, taken from a snapshot: the shape in which a process starts.
void measureRestore(const ConfigStore &full, double adapters, Report &report)
{
    constexpr std::size_t chunkBytes = 900'000;
    const auto chunks = full.snapshot(chunkBytes);
    std::size_t bytes = 0;
    for (const auto &chunk : chunks) {
        bytes += chunk.ByteSizeLong();
    }
    const std::size_t before = heapBytes();
    ConfigStore store;
    const double started = threadMicros();
    require(store.restore(chunks).has_value(), "snapshot refused");
    report.add("config.restore", "us", "adapters", {adapters, threadMicros() - started});
    report.add("config.state", "bytes", "adapters", {adapters, static_cast<double>(heapBytes() - before)});
    report.add("config.snapshot", "bytes", "adapters", {adapters, static_cast<double>(bytes)});
    require(store.digest() == full.digest(), "digests differ");
}

void measureLookups(const ConfigStore &store, std::size_t adapters, Report &report)
{
    constexpr std::size_t lookups = 100'000;
    Random random(1);
    std::size_t found = 0;
    const double each = microsEach(
        lookups, [&](std::size_t) { found += store.route(routeName(random.below(adapters))).has_value() ? 1 : 0; });
    require(found == lookups, "a route was not found");
    report.addCost("config.lookup", "us", "adapters", {static_cast<double>(adapters), each});
}

void measureChanges(ConfigStore &store, std::size_t adapters, Report &report)
{
    constexpr std::size_t changes = 200;
    std::vector<config::Delta> deltas;
    for (std::size_t i = 0; i < changes; ++i) {
        deltas.push_back(adapterDelta(i * adapters / changes, store.revision() + 1 + i, "v2"));
    }
    const double each = microsEach(
        changes, [&](std::size_t i) { require(store.apply(deltas[i]).has_value(), "a change was refused"); });
    report.addCost("config.change", "us", "adapters", {static_cast<double>(adapters), each});
    const wire::ConfigPush push = store.pushSince(store.revision() - 1);
    report.message("config_push_one_change", push.ByteSizeLong());
}

} // namespace

void measureConfig(Report &report)
{
    for (const std::size_t adapters : report.adapterSizes) {
        ConfigStore store;
        for (std::size_t i = 0; i < adapters; ++i) {
            require(store.apply(adapterDelta(i, i + 1)).has_value(), "a record was refused");
        }
        measureRestore(store, static_cast<double>(adapters), report);
        measureLookups(store, adapters, report);
        measureChanges(store, adapters, report);
    }
}

} // namespace anvilscale::slopes

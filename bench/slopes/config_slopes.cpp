// Configuration slopes: memory per adapter, CPU time per change, lookup and restore, and message sizes.
#include "config.pb.h"
#include "fleet_records.h"
#include "slopes.h"
#include "wire.pb.h"

#include "anvilscale/state.h"

namespace anvilscale::slopes {

namespace {

/// Measures restoring the fleet from a snapshot, as at process start.
void measureRestore(const ConfigStore &source, double adapters, Report &report)
{
    constexpr std::size_t chunkBytes = 900'000;
    const auto chunks = source.snapshot(chunkBytes);
    std::size_t bytes = 0;
    for (const auto &chunk : chunks) {
        bytes += chunk.ByteSizeLong();
    }
    const std::size_t before = heapBytes();
    ConfigStore store;
    const double startMicros = threadCpuMicros();
    requireThat(store.restore(chunks).has_value(), "snapshot rejected");
    report.addPoint("config.restore", "us", "adapters", {adapters, threadCpuMicros() - startMicros});
    report.addPoint("config.state", "bytes", "adapters", {adapters, static_cast<double>(heapBytes() - before)});
    report.addPoint("config.snapshot", "bytes", "adapters", {adapters, static_cast<double>(bytes)});
    requireThat(store.digest() == source.digest(), "digests differ");
}

void measureLookups(const ConfigStore &store, std::size_t adapters, Report &report)
{
    constexpr std::size_t lookups = 100'000;
    Random random(1);
    std::size_t foundCount = 0;
    const double meanMicros = meanCpuMicros(lookups, [&](std::size_t) {
        foundCount += store.route(routeName(random.uniformBelow(adapters))).has_value() ? 1 : 0;
    });
    requireThat(foundCount == lookups, "a route was not found");
    report.addCost("config.lookup", "us", "adapters", {static_cast<double>(adapters), meanMicros});
}

void measureChanges(ConfigStore &store, std::size_t adapters, Report &report)
{
    constexpr std::size_t changes = 200;
    std::vector<config::Delta> deltas;
    for (std::size_t i = 0; i < changes; ++i) {
        deltas.push_back(makeAdapterDelta(i * adapters / changes, store.revision() + 1 + i, "v2"));
    }
    const double meanMicros = meanCpuMicros(
        changes, [&](std::size_t i) { requireThat(store.apply(deltas[i]).has_value(), "a change was rejected"); });
    report.addCost("config.change", "us", "adapters", {static_cast<double>(adapters), meanMicros});
    const wire::ConfigPush push = store.pushSince(store.revision() - 1);
    report.addMessageSize("config_push_one_change", push.ByteSizeLong());
}

} // namespace

void measureConfig(Report &report)
{
    for (const std::size_t adapters : report.adapterSizes) {
        ConfigStore store;
        for (std::size_t i = 0; i < adapters; ++i) {
            requireThat(store.apply(makeAdapterDelta(i, i + 1)).has_value(), "a record was rejected");
        }
        measureRestore(store, static_cast<double>(adapters), report);
        measureLookups(store, adapters, report);
        measureChanges(store, adapters, report);
    }
}

} // namespace anvilscale::slopes

// Load scheduler slopes: memory per sidecar with a demand and CPU time per heartbeat with a demand.
#include "fleet_messages.h"
#include "fleet_records.h"
#include "slopes.h"

#include "anvilscale/routing.h"

namespace anvilscale::slopes {

namespace {

wire::Heartbeat makeHeartbeatWithDemand(std::size_t i, std::uint64_t sequence, std::size_t adapter,
                                        const ConfigStore &config)
{
    wire::Heartbeat beat = makeDeltaHeartbeat(i, sequence, 0, config).heartbeat();
    auto *demand = beat.add_demands();
    demand->set_adapter(adapterName(adapter));
    demand->set_version("v1");
    demand->set_waiting(2);
    demand->set_oldest_wait_us(300'000);
    demand->set_least_budget_us(3'000'000);
    demand->set_rate(0.05);
    demand->set_evictable_slot(true);
    demand->set_victim_value(0.01);
    return beat;
}

Now timeAt(std::size_t step)
{
    return {TimePoint(Seconds(100) + Milliseconds(static_cast<std::int64_t>(step))), WallTime{1'800'000'000'000}};
}

} // namespace

void measureScheduler(Report &report)
{
    constexpr std::uint64_t fence = 7;
    ConfigStore config;
    static_cast<void>(config.apply(makeAdapterDelta(0, 1)));
    for (const std::size_t sidecars : report.fleetSizes) {
        TimerService timers;
        const std::size_t before = heapBytes();
        LoadScheduler scheduler(
            {.name = "hall-east-entry-1", .incarnation = 1, .config = &config, .timers = &timers},
            [](TimePoint) { return true; }, [] { return fence; });
        for (std::size_t i = 0; i < sidecars; ++i) {
            scheduler.onMember(sidecarMember(i), timeAt(0));
            scheduler.onHeartbeat(makeFullHeartbeat(i, config).heartbeat(), timeAt(0));
            scheduler.onHeartbeat(makeHeartbeatWithDemand(i, 2, i + sidecars * slotsPerSidecar, config), timeAt(0));
        }
        static_cast<void>(scheduler.takeActions());
        const auto size = static_cast<double>(sidecars);
        report.addPoint("scheduler.state", "bytes", "sidecars", {size, static_cast<double>(heapBytes() - before)});
        std::vector<wire::Heartbeat> heartbeats;
        for (std::size_t i = 0; i < sidecars; ++i) {
            heartbeats.push_back(makeHeartbeatWithDemand(i, 3, i + sidecars * slotsPerSidecar, config));
        }
        const double meanMicros = meanCpuMicros(sidecars, [&](std::size_t i) {
            scheduler.onHeartbeat(heartbeats[i], timeAt(i));
            timers.advance(timeAt(i).mono);
            static_cast<void>(scheduler.takeActions());
        });
        report.addCost("scheduler.heartbeat_one_demand", "us", "sidecars", {size, meanMicros});
        report.addMessageSize("heartbeat_one_demand", heartbeats.front().ByteSizeLong());
    }
}

} // namespace anvilscale::slopes

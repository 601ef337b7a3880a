// Slopes of the load scheduler: bytes per sidecar with a demand, time per heartbeat that carries one.
#include "fleet_messages.h"
#include "fleet_records.h"
#include "slopes.h"

#include "anvilscale/routing.h"

namespace anvilscale::slopes {

namespace {

wire::Heartbeat withDemand(std::size_t i, std::uint64_t sequence, std::size_t adapter, const ConfigStore &config)
{
    wire::Heartbeat beat = deltaHeartbeat(i, sequence, 0, config).heartbeat();
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

Now at(std::size_t step)
{
    return {TimePoint(Seconds(100) + Milliseconds(static_cast<std::int64_t>(step))), WallTime{1'800'000'000'000}};
}

} // namespace

void measureScheduler(Report &report)
{
    constexpr std::uint64_t fence = 7;
    ConfigStore config;
    static_cast<void>(config.apply(adapterDelta(0, 1)));
    for (const std::size_t sidecars : report.fleetSizes) {
        TimerService timers;
        const std::size_t before = heapBytes();
        LoadScheduler scheduler(
            {.name = "hall-east-entry-1", .incarnation = 1, .config = &config, .timers = &timers},
            [](TimePoint) { return true; }, [] { return fence; });
        for (std::size_t i = 0; i < sidecars; ++i) {
            scheduler.onMember(sidecarMember(i), at(0));
            scheduler.onHeartbeat(fullHeartbeat(i, config).heartbeat(), at(0));
            scheduler.onHeartbeat(withDemand(i, 2, i + sidecars * slotsEach, config), at(0));
        }
        static_cast<void>(scheduler.takeActions());
        const auto size = static_cast<double>(sidecars);
        report.add("scheduler.state", "bytes", "sidecars", {size, static_cast<double>(heapBytes() - before)});
        std::vector<wire::Heartbeat> beats;
        for (std::size_t i = 0; i < sidecars; ++i) {
            beats.push_back(withDemand(i, 3, i + sidecars * slotsEach, config));
        }
        const double each = microsEach(sidecars, [&](std::size_t i) {
            scheduler.onHeartbeat(beats[i], at(i));
            timers.advance(at(i).mono);
            static_cast<void>(scheduler.takeActions());
        });
        report.addCost("scheduler.heartbeat_one_demand", "us", "sidecars", {size, each});
        report.message("heartbeat_one_demand", beats.front().ByteSizeLong());
    }
}

} // namespace anvilscale::slopes

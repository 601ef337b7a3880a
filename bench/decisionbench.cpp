// Benchmarks of the CPU time per decision for several numbers of adapters and sidecars.
#include "config.pb.h"

#include "anvilscale/routing.h"

#include <benchmark/benchmark.h>

namespace {

using namespace anvilscale;

constexpr std::uint32_t slots = 8;
constexpr std::uint32_t sidecarsPerDemand = 100;
constexpr std::uint32_t requestCount = 1 << 14;

void addRecord(config::Delta &delta, const char *kind, const std::string &name, const std::string &body)
{
    auto &change = *delta.add_changes();
    change.set_kind(kind);
    change.set_name(name);
    change.set_json(R"({"schemaVersion":2,"name":")" + name + "\"," + body + "}");
}

std::string adapterName(std::uint64_t number)
{
    return "adapter-" + std::to_string(number);
}

void fillConfig(ConfigStore &store, std::uint32_t adapters)
{
    config::Delta delta;
    delta.set_revision(1);
    delta.set_change_id("bench");
    for (std::uint32_t i = 0; i < adapters; ++i) {
        const auto name = adapterName(i);
        addRecord(delta, "adapter", name, R"("adapter":{"baseModel":"base","versions":[{"name":"1","weights":"w"}]})");
        addRecord(delta, "route", name, R"("route":{"adapter":")" + name + R"(","version":"1"})");
    }
    if (!store.apply(delta)) {
        std::abort();
    }
}

wire::Envelope makeHeartbeat(std::uint32_t sidecar, std::uint32_t sidecars, std::uint64_t sequence, bool isFull)
{
    wire::Envelope message;
    message.set_protocol(wireProtocol);
    auto &out = *message.mutable_heartbeat();
    out.mutable_from()->set_name("sidecar-" + std::to_string(sidecar));
    out.mutable_from()->set_incarnation(1);
    out.set_data_centre("hall-east");
    out.set_base_model("base");
    out.set_full(isFull);
    out.set_admitting(true);
    out.set_sequence(sequence);
    out.set_slots(slots);
    out.set_batch_limit(16);
    out.set_running(8);
    for (std::uint32_t slot = 0; slot < (isFull ? slots : 1); ++slot) {
        auto &adapter = *out.add_adapters();
        // The first slot holds the same adapter on every sidecar, the others hold unique ones.
        adapter.set_adapter(adapterName(slot == 0 ? 0 : sidecar + slot * sidecars));
        adapter.set_version("1");
        adapter.set_state(static_cast<std::uint32_t>(ResidencyState::Resident));
    }
    return message;
}

struct EntryFixture
{
    ConfigStore store;
    TimerService timers;
    Now now{TimePoint(Seconds(1000)), WallTime{}};
    std::unique_ptr<EntryDecisions> entry;

    EntryFixture(std::uint32_t adapters, std::uint32_t sidecars)
    {
        fillConfig(store, adapters);
        EntryInit init;
        init.name = "entry";
        init.incarnation = 1;
        init.dataCentre = "hall-east";
        init.config = &store;
        init.timers = &timers;
        entry = std::make_unique<EntryDecisions>(init);
        for (std::uint32_t i = 0; i < sidecars; ++i) {
            entry->onMessage("sidecar-" + std::to_string(i), makeHeartbeat(i, sidecars, 1, true), now);
        }
        entry->takeActions();
    }
};

/// Processes one call from its arrival to the message for the sidecar. Range: adapters, sidecars.
void runCalls(benchmark::State &state, bool isCold)
{
    EntryFixture fixture(static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
    const auto residentAdapters = static_cast<std::uint64_t>(state.range(1)) * slots;
    const auto adapters = static_cast<std::uint64_t>(state.range(0));
    Random random(1);
    std::vector<std::string> routes;
    for (std::uint32_t i = 0; i < requestCount; ++i) {
        const auto number = isCold ? residentAdapters + random.uniformBelow(adapters - residentAdapters)
                                   : random.uniformBelow(residentAdapters);
        routes.push_back(adapterName(number));
    }
    std::uint64_t handle = 0;
    for (auto _ : state) {
        CallerRequest request;
        request.route = routes[++handle % requestCount];
        request.method = "POST";
        fixture.entry->onCall(CallHandle{handle}, std::move(request), fixture.now);
        benchmark::DoNotOptimize(fixture.entry->takeActions());
        state.PauseTiming();
        fixture.entry->onCallerGone(CallHandle{handle}, FailureReason::CallerGone, fixture.now);
        fixture.entry->takeActions();
        fixture.now.mono += Milliseconds(1);
        state.ResumeTiming();
    }
}

void residentCall(benchmark::State &state)
{
    runCalls(state, false);
}

void coldCall(benchmark::State &state)
{
    runCalls(state, true);
}

/// Resolution and placement only, as for `anvilctl explain`.
void choiceOnly(benchmark::State &state)
{
    EntryFixture fixture(static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
    const auto residentAdapters = static_cast<std::uint64_t>(state.range(1)) * slots;
    std::uint64_t number = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(fixture.entry->explain(adapterName(residentAdapters + ++number % 1000), fixture.now));
    }
}

void heartbeat(benchmark::State &state)
{
    const auto sidecars = static_cast<std::uint32_t>(state.range(1));
    EntryFixture fixture(static_cast<std::uint32_t>(state.range(0)), sidecars);
    std::uint64_t sequence = 1;
    std::uint32_t sidecar = 0;
    std::vector<wire::Envelope> heartbeats;
    for (std::uint32_t i = 0; i < sidecars; ++i) {
        heartbeats.push_back(makeHeartbeat(i, sidecars, 1, false));
    }
    for (auto _ : state) {
        if (sidecar == 0) {
            ++sequence;
        }
        auto &message = heartbeats[sidecar];
        message.mutable_heartbeat()->set_sequence(sequence);
        fixture.entry->onMessage(message.heartbeat().from().name(), message, fixture.now);
        sidecar = (sidecar + 1) % sidecars;
    }
}

/// Heartbeats at the load scheduler, some with a demand, including the choice of the next load.
void schedulerHeartbeat(benchmark::State &state)
{
    const auto sidecars = static_cast<std::uint32_t>(state.range(1));
    ConfigStore store;
    TimerService timers;
    fillConfig(store, 10);
    LoadScheduler::Init init;
    init.name = "entry";
    init.config = &store;
    init.timers = &timers;
    LoadScheduler scheduler(
        init, [](TimePoint) { return true; }, [] { return 1; });
    Now now{TimePoint(Seconds(1000)), WallTime{}};
    std::uint64_t sequence = 0;
    std::uint32_t sidecar = 0;
    for (auto _ : state) {
        state.PauseTiming();
        sequence += sidecar == 0 ? 1 : 0;
        auto message = makeHeartbeat(sidecar, sidecars, sequence, sequence == 1);
        // Only a few sidecars wait for a load at any time.
        if (sidecar % sidecarsPerDemand == 0) {
            auto &demand = *message.mutable_heartbeat()->add_demands();
            demand.set_adapter(adapterName(1000 + sidecar));
            demand.set_version("1");
            demand.set_waiting(1);
            demand.set_evictable_slot(true);
        }
        now.mono += Milliseconds(3);
        state.ResumeTiming();
        scheduler.onHeartbeat(message.heartbeat(), now);
        benchmark::DoNotOptimize(scheduler.takeActions());
        sidecar = (sidecar + 1) % sidecars;
    }
}

void addSizes(benchmark::internal::Benchmark *bench)
{
    for (const int adapters : {3'000, 20'000, 140'000}) {
        for (const int sidecars : {18, 180}) {
            bench->Args({adapters, sidecars});
        }
    }
}

BENCHMARK(residentCall)->Apply(addSizes);
BENCHMARK(coldCall)->Apply(addSizes);
BENCHMARK(choiceOnly)->Apply(addSizes);
BENCHMARK(heartbeat)->Args({140'000, 180});
BENCHMARK(schedulerHeartbeat)->Args({140'000, 180})->Args({140'000, 3'900});

} // namespace

BENCHMARK_MAIN();

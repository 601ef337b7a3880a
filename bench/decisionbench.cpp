// Processor time of one decision, at several numbers of adapters and sidecars.
#include "config.pb.h"

#include "anvilscale/routing.h"

#include <benchmark/benchmark.h>

namespace {

using namespace anvilscale;

constexpr std::uint32_t slots = 8;
constexpr std::uint32_t demandingEvery = 100;
constexpr std::uint32_t distinctCallers = 1 << 14;

void add(config::Delta &delta, const char *kind, const std::string &name, const std::string &body)
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

void fill(ConfigStore &store, std::uint32_t adapters)
{
    config::Delta delta;
    delta.set_revision(1);
    delta.set_change_id("bench");
    for (std::uint32_t i = 0; i < adapters; ++i) {
        const auto name = adapterName(i);
        add(delta, "adapter", name, R"("adapter":{"baseModel":"base","versions":[{"name":"1","weights":"w"}]})");
        add(delta, "route", name, R"("route":{"adapter":")" + name + R"(","version":"1"})");
    }
    if (!store.apply(delta)) {
        std::abort();
    }
}

wire::Envelope report(std::uint32_t sidecar, std::uint32_t sidecars, std::uint64_t sequence, bool full)
{
    wire::Envelope message;
    message.set_protocol(wireProtocol);
    auto &out = *message.mutable_heartbeat();
    out.mutable_from()->set_name("sidecar-" + std::to_string(sidecar));
    out.mutable_from()->set_incarnation(1);
    out.set_data_centre("hall-east");
    out.set_base_model("base");
    out.set_full(full);
    out.set_admitting(true);
    out.set_sequence(sequence);
    out.set_slots(slots);
    out.set_batch_limit(16);
    out.set_running(8);
    for (std::uint32_t slot = 0; slot < (full ? slots : 1); ++slot) {
        auto &adapter = *out.add_adapters();
        // One adapter in eight is held by every sidecar, the others by one.
        adapter.set_adapter(adapterName(slot == 0 ? 0 : sidecar + slot * sidecars));
        adapter.set_version("1");
        adapter.set_state(static_cast<std::uint32_t>(ResidencyState::Resident));
    }
    return message;
}

struct Bench
{
    ConfigStore store;
    TimerService timers;
    Now now{TimePoint(Seconds(1000)), WallTime{}};
    std::unique_ptr<EntryDecisions> entry;

    Bench(std::uint32_t adapters, std::uint32_t sidecars)
    {
        fill(store, adapters);
        EntryInit init;
        init.name = "entry";
        init.incarnation = 1;
        init.dataCentre = "hall-east";
        init.config = &store;
        init.timers = &timers;
        entry = std::make_unique<EntryDecisions>(init);
        for (std::uint32_t i = 0; i < sidecars; ++i) {
            entry->onMessage("sidecar-" + std::to_string(i), report(i, sidecars, 1, true), now);
        }
        entry->takeActions();
    }
};

/// One call from its arrival to the message for the sidecar, and its end; range: adapters, sidecars, kind of adapter.
void call(benchmark::State &state, bool cold)
{
    Bench bench(static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
    const auto resident = static_cast<std::uint64_t>(state.range(1)) * slots;
    const auto adapters = static_cast<std::uint64_t>(state.range(0));
    Random random(1);
    std::vector<std::string> routes;
    for (std::uint32_t i = 0; i < distinctCallers; ++i) {
        const auto number = cold ? resident + random.below(adapters - resident) : random.below(resident);
        routes.push_back(adapterName(number));
    }
    std::uint64_t handle = 0;
    for (auto _ : state) {
        CallerRequest request;
        request.route = routes[++handle % distinctCallers];
        request.method = "POST";
        bench.entry->onCall(CallHandle{handle}, std::move(request), bench.now);
        benchmark::DoNotOptimize(bench.entry->takeActions());
        state.PauseTiming();
        bench.entry->onCallerGone(CallHandle{handle}, FailureReason::CallerGone, bench.now);
        bench.entry->takeActions();
        bench.now.mono += Milliseconds(1);
        state.ResumeTiming();
    }
}

void residentCall(benchmark::State &state)
{
    call(state, false);
}

void coldCall(benchmark::State &state)
{
    call(state, true);
}

/// The choice alone, as `anvilctl explain` asks for it: resolution and placement.
void choiceOnly(benchmark::State &state)
{
    Bench bench(static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
    const auto resident = static_cast<std::uint64_t>(state.range(1)) * slots;
    std::uint64_t number = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(bench.entry->explain(adapterName(resident + ++number % 1000), bench.now));
    }
}

void heartbeat(benchmark::State &state)
{
    const auto sidecars = static_cast<std::uint32_t>(state.range(1));
    Bench bench(static_cast<std::uint32_t>(state.range(0)), sidecars);
    std::uint64_t sequence = 1;
    std::uint32_t sidecar = 0;
    std::vector<wire::Envelope> reports;
    for (std::uint32_t i = 0; i < sidecars; ++i) {
        reports.push_back(report(i, sidecars, 1, false));
    }
    for (auto _ : state) {
        if (sidecar == 0) {
            ++sequence;
        }
        auto &message = reports[sidecar];
        message.mutable_heartbeat()->set_sequence(sequence);
        bench.entry->onMessage(message.heartbeat().from().name(), message, bench.now);
        sidecar = (sidecar + 1) % sidecars;
    }
}

/// A heartbeat with demands at the load scheduler, which looks for the best load.
void schedulerHeartbeat(benchmark::State &state)
{
    const auto sidecars = static_cast<std::uint32_t>(state.range(1));
    ConfigStore store;
    TimerService timers;
    fill(store, 10);
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
        auto message = report(sidecar, sidecars, sequence, sequence == 1);
        // At the store's rate few sidecars wait at any one time: one in a hundred here.
        if (sidecar % demandingEvery == 0) {
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

void sizes(benchmark::internal::Benchmark *bench)
{
    for (const int adapters : {3'000, 20'000, 140'000}) {
        for (const int sidecars : {18, 180}) {
            bench->Args({adapters, sidecars});
        }
    }
}

BENCHMARK(residentCall)->Apply(sizes);
BENCHMARK(coldCall)->Apply(sizes);
BENCHMARK(choiceOnly)->Apply(sizes);
BENCHMARK(heartbeat)->Args({140'000, 180});
BENCHMARK(schedulerHeartbeat)->Args({140'000, 180})->Args({140'000, 3'900});

} // namespace

BENCHMARK_MAIN();

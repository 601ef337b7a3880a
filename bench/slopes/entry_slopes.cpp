// Slopes of an entry: bytes per sidecar known and per open call, time per heartbeat, per call and per frame.
#include "fleet_messages.h"
#include "fleet_records.h"
#include "slopes.h"

#include "anvilscale/routing.h"

#include <cstdio>
#include <cstdlib>

namespace anvilscale::slopes {

namespace {

constexpr std::size_t framesEach = 340; // 1.3 M tokens over 3,800 calls a second

/// One entry that knows a data centre, and what it sends.
class EntryBench
{
public:
    explicit EntryBench(const ConfigStore &config)
        : config_(config)
        , entry_(init(config, timers_))
    {
    }

    void learn(std::size_t sidecars)
    {
        for (std::size_t i = 0; i < sidecars; ++i) {
            entry_.onMember(sidecarMember(i), now());
            entry_.onMessage(sidecarName(i), fullHeartbeat(i, config_), now());
        }
        static_cast<void>(entry_.takeActions());
    }

    void hear(std::size_t sidecar, const wire::Envelope &message)
    {
        entry_.onMessage(sidecarName(sidecar), message, now());
        static_cast<void>(entry_.takeActions());
    }

    /// Takes in a call and returns the attempt that was sent for it.
    SendToSidecar call(std::size_t number, std::size_t adapter)
    {
        CallerRequest request;
        request.route = routeName(adapter);
        request.method = "POST";
        request.path = "/v1/completions";
        request.promptTokens = 400;
        request.maxTokens = framesEach;
        request.creditBytes = 1U << 20;
        entry_.onCall(CallHandle{number + 1}, std::move(request), now());
        for (EntryAction &action : entry_.takeActions()) {
            if (auto *send = std::get_if<SendToSidecar>(&action)) {
                return std::move(*send);
            }
        }
        std::fprintf(stderr, "slopes: a call was not sent\n");
        std::exit(1);
    }

    std::size_t finish(const SendToSidecar &sent)
    {
        wire::Envelope envelope;
        envelope.set_protocol(wireProtocol);
        wire::CallFrame &frame = *envelope.mutable_call_frame();
        *frame.mutable_id() = sent.message.call_request().id();
        frame.set_data(" token");
        Digest digest;
        for (std::size_t i = 0; i < framesEach; ++i) {
            frame.set_sequence(static_cast<std::uint32_t>(i));
            frame.set_status(i == 0 ? 200 : 0);
            digest.add(frame.data());
            entry_.onMessage(sent.sidecar, envelope, now());
            delivered_ += entry_.takeActions().size();
        }
        wire::Envelope last;
        last.set_protocol(wireProtocol);
        wire::CallEnd &end = *last.mutable_call_end();
        *end.mutable_id() = sent.message.call_request().id();
        end.set_frames(framesEach);
        end.set_digest(digest.value());
        entry_.onMessage(sent.sidecar, last, now());
        delivered_ += entry_.takeActions().size();
        return envelope.ByteSizeLong();
    }

    const EntryStats &stats() const
    {
        return entry_.stats();
    }

private:
    static EntryInit init(const ConfigStore &config, TimerService &timers)
    {
        EntryInit init;
        init.name = "hall-east-entry-1";
        init.incarnation = 1;
        init.dataCentre = "hall-east";
        init.region = "ulaanbaatar";
        init.config = &config;
        init.timers = &timers;
        return init;
    }
    static Now now()
    {
        return {TimePoint(Seconds(100)), WallTime{1'800'000'000'000}};
    }

    const ConfigStore &config_;
    TimerService timers_;
    EntryDecisions entry_;
    std::size_t delivered_ = 0;
};

void measureHeartbeats(EntryBench &bench, std::size_t sidecars, const ConfigStore &config, Report &report)
{
    constexpr std::size_t rounds = 50;
    std::vector<wire::Envelope> idle;
    std::vector<wire::Envelope> changed;
    for (std::size_t round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < sidecars; ++i) {
            idle.push_back(deltaHeartbeat(i, 2 + round, 0, config));
            changed.push_back(deltaHeartbeat(i, 2 + rounds + round, 1, config));
        }
    }
    const auto size = static_cast<double>(sidecars);
    const double each = microsEach(idle.size(), [&](std::size_t i) { bench.hear(i % sidecars, idle[i]); });
    report.addCost("entry.heartbeat_idle", "us", "sidecars", {size, each});
    std::vector<wire::Envelope> beats;
    for (std::size_t round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < sidecars; ++i) {
            beats.push_back(beatMessage(2 + 2 * rounds + round));
        }
    }
    const double more = microsEach(changed.size(), [&](std::size_t i) { bench.hear(i % sidecars, changed[i]); });
    report.addCost("entry.heartbeat_one_change", "us", "sidecars", {size, more});
    const double least = microsEach(beats.size(), [&](std::size_t i) { bench.hear(i % sidecars, beats[i]); });
    report.addCost("entry.beat", "us", "sidecars", {size, least});
}

void measureCalls(EntryBench &bench, std::size_t sidecars, Report &report)
{
    constexpr std::size_t calls = 200;
    std::vector<SendToSidecar> sent;
    sent.reserve(calls);
    const auto size = static_cast<double>(sidecars);
    const std::size_t before = heapBytes();
    const double each =
        microsEach(calls, [&](std::size_t i) { sent.push_back(bench.call(i, i * 7 % (sidecars * slotsEach))); });
    report.addCost("entry.decision", "us", "sidecars", {size, each});
    report.rate("entry.open_call_bytes", static_cast<double>(heapBytes() - before) / calls);
    report.message("call_request_no_body", sent.front().message.ByteSizeLong());
    std::size_t frameBytes = 0;
    const double whole = microsEach(calls, [&](std::size_t i) { frameBytes = bench.finish(sent[i]); });
    report.addCost("entry.frame", "us", "sidecars", {size, whole / framesEach});
    report.message("call_frame_one_token", frameBytes);
    require(bench.stats().finished == calls, "a call did not finish");
}

} // namespace

void measureEntry(Report &report)
{
    ConfigStore config;
    for (std::size_t i = 0; i < report.sidecarSizes.back() * slotsEach; ++i) {
        static_cast<void>(config.apply(adapterDelta(i, i + 1)));
    }
    report.message("heartbeat_idle", deltaHeartbeat(1, 1000, 0, config).ByteSizeLong());
    report.message("beat", beatMessage(1000).ByteSizeLong());
    report.message("hello", helloMessage(config).ByteSizeLong());
    report.message("heartbeat_one_change", deltaHeartbeat(1, 1000, 1, config).ByteSizeLong());
    report.message("heartbeat_full_8_slots", fullHeartbeat(1, config).ByteSizeLong());
    for (const std::size_t sidecars : report.sidecarSizes) {
        EntryBench bench(config);
        const std::size_t before = heapBytes();
        bench.learn(sidecars);
        const auto size = static_cast<double>(sidecars);
        report.add("entry.state", "bytes", "sidecars", {size, static_cast<double>(heapBytes() - before)});
        measureHeartbeats(bench, sidecars, config, report);
        measureCalls(bench, sidecars, report);
    }
}

} // namespace anvilscale::slopes

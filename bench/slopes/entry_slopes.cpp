// Entry slopes: memory per sidecar and open call, CPU time per heartbeat, call and frame.
#include "fleet_messages.h"
#include "fleet_records.h"
#include "slopes.h"

#include "anvilscale/routing.h"

#include <cstdio>
#include <cstdlib>

namespace anvilscale::slopes {

namespace {

constexpr std::size_t framesPerCall = 340; // 1.3 M tokens/s over 3,800 calls/s

/// Drives one entry with the messages of a data centre.
class EntryDriver
{
public:
    explicit EntryDriver(const ConfigStore &config)
        : config_(config)
        , entry_(init(config, timers_))
    {
    }

    void addSidecars(std::size_t sidecars)
    {
        for (std::size_t i = 0; i < sidecars; ++i) {
            entry_.onMember(sidecarMember(i), now());
            entry_.onMessage(sidecarName(i), makeFullHeartbeat(i, config_), now());
        }
        static_cast<void>(entry_.takeActions());
    }

    void receive(std::size_t sidecar, const wire::Envelope &message)
    {
        entry_.onMessage(sidecarName(sidecar), message, now());
        static_cast<void>(entry_.takeActions());
    }

    /// Starts a call and returns the attempt that the entry sent for it.
    SendToSidecar startCall(std::size_t number, std::size_t adapter)
    {
        CallerRequest request;
        request.route = routeName(adapter);
        request.method = "POST";
        request.path = "/v1/completions";
        request.promptTokens = 400;
        request.maxTokens = framesPerCall;
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

    std::size_t finishCall(const SendToSidecar &sent)
    {
        wire::Envelope envelope;
        envelope.set_protocol(wireProtocol);
        wire::CallFrame &frame = *envelope.mutable_call_frame();
        *frame.mutable_id() = sent.message.call_request().id();
        frame.set_data(" token");
        Digest digest;
        for (std::size_t i = 0; i < framesPerCall; ++i) {
            frame.set_sequence(static_cast<std::uint32_t>(i));
            frame.set_status(i == 0 ? 200 : 0);
            digest.add(frame.data());
            entry_.onMessage(sent.sidecar, envelope, now());
            actionCount_ += entry_.takeActions().size();
        }
        wire::Envelope last;
        last.set_protocol(wireProtocol);
        wire::CallEnd &end = *last.mutable_call_end();
        *end.mutable_id() = sent.message.call_request().id();
        end.set_frames(framesPerCall);
        end.set_digest(digest.value());
        entry_.onMessage(sent.sidecar, last, now());
        actionCount_ += entry_.takeActions().size();
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
    std::size_t actionCount_ = 0;
};

void measureHeartbeats(EntryDriver &driver, std::size_t sidecars, const ConfigStore &config, Report &report)
{
    constexpr std::size_t rounds = 50;
    std::vector<wire::Envelope> idle;
    std::vector<wire::Envelope> changed;
    for (std::size_t round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < sidecars; ++i) {
            idle.push_back(makeDeltaHeartbeat(i, 2 + round, 0, config));
            changed.push_back(makeDeltaHeartbeat(i, 2 + rounds + round, 1, config));
        }
    }
    const auto size = static_cast<double>(sidecars);
    const double meanMicros = meanCpuMicros(idle.size(), [&](std::size_t i) { driver.receive(i % sidecars, idle[i]); });
    report.addCost("entry.heartbeat_idle", "us", "sidecars", {size, meanMicros});
    std::vector<wire::Envelope> beats;
    for (std::size_t round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < sidecars; ++i) {
            beats.push_back(makeBeat(2 + 2 * rounds + round));
        }
    }
    const double changedMicros =
        meanCpuMicros(changed.size(), [&](std::size_t i) { driver.receive(i % sidecars, changed[i]); });
    report.addCost("entry.heartbeat_one_change", "us", "sidecars", {size, changedMicros});
    const double beatMicros =
        meanCpuMicros(beats.size(), [&](std::size_t i) { driver.receive(i % sidecars, beats[i]); });
    report.addCost("entry.beat", "us", "sidecars", {size, beatMicros});
}

void measureCalls(EntryDriver &driver, std::size_t sidecars, Report &report)
{
    constexpr std::size_t calls = 200;
    std::vector<SendToSidecar> sent;
    sent.reserve(calls);
    const auto size = static_cast<double>(sidecars);
    const std::size_t before = heapBytes();
    const double meanMicros = meanCpuMicros(
        calls, [&](std::size_t i) { sent.push_back(driver.startCall(i, i * 7 % (sidecars * slotsPerSidecar))); });
    report.addCost("entry.decision", "us", "sidecars", {size, meanMicros});
    report.addRate("entry.open_call_bytes", static_cast<double>(heapBytes() - before) / calls);
    report.addMessageSize("call_request_no_body", sent.front().message.ByteSizeLong());
    std::size_t frameBytes = 0;
    const double finishMicros = meanCpuMicros(calls, [&](std::size_t i) { frameBytes = driver.finishCall(sent[i]); });
    report.addCost("entry.frame", "us", "sidecars", {size, finishMicros / framesPerCall});
    report.addMessageSize("call_frame_one_token", frameBytes);
    requireThat(driver.stats().finishedCalls == calls, "a call did not finish");
}

} // namespace

void measureEntry(Report &report)
{
    ConfigStore config;
    for (std::size_t i = 0; i < report.sidecarSizes.back() * slotsPerSidecar; ++i) {
        static_cast<void>(config.apply(makeAdapterDelta(i, i + 1)));
    }
    report.addMessageSize("heartbeat_idle", makeDeltaHeartbeat(1, 1000, 0, config).ByteSizeLong());
    report.addMessageSize("beat", makeBeat(1000).ByteSizeLong());
    report.addMessageSize("hello", makeHello(config).ByteSizeLong());
    report.addMessageSize("heartbeat_one_change", makeDeltaHeartbeat(1, 1000, 1, config).ByteSizeLong());
    report.addMessageSize("heartbeat_full_8_slots", makeFullHeartbeat(1, config).ByteSizeLong());
    for (const std::size_t sidecars : report.sidecarSizes) {
        EntryDriver driver(config);
        const std::size_t before = heapBytes();
        driver.addSidecars(sidecars);
        const auto size = static_cast<double>(sidecars);
        report.addPoint("entry.state", "bytes", "sidecars", {size, static_cast<double>(heapBytes() - before)});
        measureHeartbeats(driver, sidecars, config, report);
        measureCalls(driver, sidecars, report);
    }
}

} // namespace anvilscale::slopes

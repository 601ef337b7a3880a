// Figures of a sidecar: its state, a call's state and time, and the control bytes it sends in virtual time.
#include "fleet_messages.h"
#include "fleet_records.h"
#include "slopes.h"

#include "anvilscale/residency.h"

namespace anvilscale::slopes {

namespace {

/// One sidecar beside an engine that obeys every order at once.
class SidecarBench
{
public:
    explicit SidecarBench(const ConfigStore &config)
        : sidecar_(init(config, timers_))
    {
        sidecar_.start(now_);
        settle();
    }

    void addPeer(std::uint64_t peer)
    {
        wire::Envelope hello;
        hello.set_protocol(wireProtocol);
        hello.mutable_hello()->mutable_from()->set_name("entry-" + std::to_string(peer));
        hello.mutable_hello()->mutable_from()->set_incarnation(1);
        hello.mutable_hello()->set_data_centre("hall-east");
        sidecar_.onMessage(PeerHandle{peer}, hello, now_);
        settle();
    }

    /// So many sidecars are known to live: their receivers' budget is shared with them.
    void setMembers(std::size_t count)
    {
        std::vector<Member> members;
        for (std::size_t i = 0; i < count; ++i) {
            members.push_back(sidecarMember(i));
        }
        sidecar_.onMembers(members, now_);
        settle();
    }

    void call(std::uint64_t number, std::size_t adapter, const ConfigStore &config)
    {
        wire::Envelope envelope;
        envelope.set_protocol(wireProtocol);
        wire::CallRequest &request = *envelope.mutable_call_request();
        request.mutable_id()->set_entry_incarnation(1);
        request.mutable_id()->set_call(number);
        request.mutable_id()->set_attempt(1);
        request.set_route(routeName(adapter));
        request.set_adapter(adapterName(adapter));
        request.set_version("v1");
        request.set_config_revision(config.revision());
        request.set_call_class(static_cast<std::uint32_t>(CallClass::Normal));
        request.set_idempotent(true);
        request.set_budget_us(60'000'000);
        request.set_method("POST");
        request.set_path("/v1/completions");
        request.set_credit_bytes(1U << 20);
        sidecar_.onMessage(PeerHandle{1}, envelope, now_);
        settle();
    }

    /// One call a second, each for fifteen seconds, over all resident adapters: the peak of the two-year size.
    void work(Duration span, const ConfigStore &config)
    {
        constexpr std::size_t atOnce = 15;
        const TimePoint until = now_.mono + span;
        while (now_.mono < until) {
            ++lastCall_;
            call(lastCall_, lastCall_ % slotsEach, config);
            run(Seconds(1));
            if (open_.size() > atOnce) {
                const ExecutionHandle oldest = open_.front();
                open_.erase(open_.begin());
                sidecar_.onExecutionEnded(oldest, {CallOutcome::Complete, FailureReason::None, 200, {}, ""}, 340, now_);
                settle();
            }
        }
        endAll();
    }

    void endAll()
    {
        const std::vector<ExecutionHandle> ended = std::move(open_);
        open_.clear();
        for (const ExecutionHandle execution : ended) {
            sidecar_.onExecutionEnded(execution, {CallOutcome::Complete, FailureReason::None, 200, {}, ""}, 340, now_);
            settle();
        }
    }

    void run(Duration span)
    {
        const TimePoint until = now_.mono + span;
        while (timers_.next() && *timers_.next() <= until) {
            const Duration step = *timers_.next() - now_.mono;
            now_.mono += step;
            timers_.advance(now_.mono);
            settle();
        }
        now_.mono = until;
    }

    const SidecarStats &stats() const
    {
        return sidecar_.stats();
    }
    std::size_t open() const
    {
        return open_.size();
    }
    std::size_t sentBytes() const
    {
        return sentBytes_;
    }
    std::size_t sentMessages() const
    {
        return sentMessages_;
    }

private:
    static SidecarInit init(const ConfigStore &config, TimerService &timers)
    {
        SidecarInit init;
        init.name = sidecarName(1);
        init.incarnation = 1;
        init.dataCentre = "hall-east";
        init.baseModel = "base-70b";
        init.slots = slotsEach;
        init.batchLimit = 1024;
        init.config = &config;
        init.timers = &timers;
        return init;
    }

    void settle()
    {
        for (auto actions = sidecar_.takeActions(); !actions.empty(); actions = sidecar_.takeActions()) {
            for (const SidecarAction &action : actions) {
                std::visit(Overloaded{[this](const SendOrder &order) { obey(order); },
                                      [this](const StartExecution &start) { open_.push_back(start.execution); },
                                      [this](const SendMessage &send) {
                                          sentBytes_ += send.message.ByteSizeLong();
                                          ++sentMessages_;
                                      },
                                      [](const auto &) {}},
                           action);
            }
        }
    }

    void obey(const SendOrder &order)
    {
        if (order.kind == OrderKind::List) {
            sidecar_.onEngineList(order.order, EngineList{1, loaded_, {}, order.fence}, now_);
            return;
        }
        if (order.kind == OrderKind::Load) {
            loaded_.push_back(order.which);
        }
        if (order.kind == OrderKind::Unload) {
            std::erase(loaded_, order.which);
        }
        sidecar_.onOrderDone(order.order, OrderOutcome::Done, now_);
    }

    TimerService timers_;
    Now now_{TimePoint(Seconds(100)), WallTime{1'800'000'000'000}};
    SidecarDecisions sidecar_;
    std::vector<AdapterVersion> loaded_;
    std::vector<ExecutionHandle> open_;
    std::size_t sentBytes_ = 0;
    std::size_t sentMessages_ = 0;
    std::uint64_t lastCall_ = 1'000'000;
};

} // namespace

void measureSidecar(Report &report)
{
    constexpr std::uint64_t peers = 16; // entries of a data centre at the two-year size
    constexpr std::size_t calls = 400;
    constexpr auto warmUp = Seconds(300);
    constexpr auto idleSpan = Seconds(300);
    constexpr std::size_t membersAtScale = 177; // 3,900 over 22 data centres
    ConfigStore config;
    for (std::size_t i = 0; i < slotsEach; ++i) {
        static_cast<void>(config.apply(adapterDelta(i, i + 1)));
    }
    const std::size_t before = heapBytes();
    SidecarBench bench(config);
    bench.run(warmUp);
    report.rate("sidecar.state_bytes", static_cast<double>(heapBytes() - before));
    for (std::uint64_t peer = 1; peer <= peers; ++peer) {
        bench.addPeer(peer);
    }
    for (std::size_t i = 0; i < slotsEach; ++i) {
        bench.call(i + 1, i, config);
        bench.run(Seconds(10)); // a load may wait for its share of the rate
    }
    bench.endAll();
    bench.run(Seconds(10));

    report.rate("sidecar.peers", static_cast<double>(peers));
    const auto seconds = static_cast<double>(idleSpan.count());
    for (const std::size_t members : {std::size_t{20}, membersAtScale}) {
        bench.setMembers(members);
        bench.run(Seconds(10));
        const std::size_t bytesBefore = bench.sentBytes();
        const std::size_t messagesBefore = bench.sentMessages();
        const double started = threadMicros();
        bench.run(idleSpan);
        const double spent = threadMicros() - started;
        const auto size = static_cast<double>(members);
        report.addCost("sidecar.idle_bytes_per_peer", "B/s", "sidecars",
                       {size, static_cast<double>(bench.sentBytes() - bytesBefore) / seconds / peers});
        report.addCost("sidecar.idle_messages_per_peer", "1/s", "sidecars",
                       {size, static_cast<double>(bench.sentMessages() - messagesBefore) / seconds / peers});
        report.rate("sidecar.idle_cpu_permille", spent / seconds / 1000.0);
        const std::size_t busyBefore = bench.sentBytes();
        bench.work(idleSpan, config);
        report.addCost("sidecar.busy_bytes_per_peer", "B/s", "sidecars",
                       {size, static_cast<double>(bench.sentBytes() - busyBefore) / seconds / peers});
    }

    const std::size_t empty = heapBytes();
    const double each = microsEach(calls, [&](std::size_t i) { bench.call(100 + i, i % slotsEach, config); });
    require(bench.open() == calls, "a call was not started");
    report.rate("sidecar.open_call_bytes", static_cast<double>(heapBytes() - empty) / calls);
    report.rate("sidecar.call_us", each);
    const double endStarted = threadMicros();
    bench.endAll();
    report.rate("sidecar.end_us", (threadMicros() - endStarted) / calls);
    require(bench.stats().executions >= calls, "executions were not counted");
}

} // namespace anvilscale::slopes

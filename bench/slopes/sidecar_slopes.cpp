// Sidecar measurements: memory, CPU time per call, and control traffic in virtual time.
#include "fleet_messages.h"
#include "fleet_records.h"
#include "slopes.h"

#include "anvilscale/residency.h"

namespace anvilscale::slopes {

namespace {

/// Drives one sidecar with an engine that completes every order immediately.
class SidecarDriver
{
public:
    explicit SidecarDriver(const ConfigStore &config)
        : sidecar_(init(config, timers_))
    {
        sidecar_.start(now_);
        processActions();
    }

    void addPeer(std::uint64_t peer)
    {
        wire::Envelope hello;
        hello.set_protocol(wireProtocol);
        hello.mutable_hello()->mutable_from()->set_name("entry-" + std::to_string(peer));
        hello.mutable_hello()->mutable_from()->set_incarnation(1);
        hello.mutable_hello()->set_data_centre("hall-east");
        sidecar_.onMessage(PeerHandle{peer}, hello, now_);
        processActions();
    }

    /// Sets the number of live sidecars, which share the traffic budget of their receivers.
    void setMembers(std::size_t count)
    {
        std::vector<Member> members;
        for (std::size_t i = 0; i < count; ++i) {
            members.push_back(sidecarMember(i));
        }
        sidecar_.onMembers(members, now_);
        processActions();
    }

    void startCall(std::uint64_t number, std::size_t adapter, const ConfigStore &config)
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
        processActions();
    }

    /// Runs one call per second of 15 s each over all resident adapters, the peak load of the two-year size.
    void runLoad(Duration duration, const ConfigStore &config)
    {
        constexpr std::size_t maxOpenCalls = 15;
        const TimePoint endTime = now_.mono + duration;
        while (now_.mono < endTime) {
            ++lastCall_;
            startCall(lastCall_, lastCall_ % slotsPerSidecar, config);
            run(Seconds(1));
            if (openCalls_.size() > maxOpenCalls) {
                const ExecutionHandle oldest = openCalls_.front();
                openCalls_.erase(openCalls_.begin());
                sidecar_.onExecutionEnded(oldest, {CallOutcome::Complete, FailureReason::None, 200, {}, ""}, 340, now_);
                processActions();
            }
        }
        finishAllCalls();
    }

    void finishAllCalls()
    {
        const std::vector<ExecutionHandle> finished = std::move(openCalls_);
        openCalls_.clear();
        for (const ExecutionHandle execution : finished) {
            sidecar_.onExecutionEnded(execution, {CallOutcome::Complete, FailureReason::None, 200, {}, ""}, 340, now_);
            processActions();
        }
    }

    void run(Duration duration)
    {
        const TimePoint endTime = now_.mono + duration;
        while (timers_.next() && *timers_.next() <= endTime) {
            const Duration step = *timers_.next() - now_.mono;
            now_.mono += step;
            timers_.advance(now_.mono);
            processActions();
        }
        now_.mono = endTime;
    }

    const SidecarStats &stats() const
    {
        return sidecar_.stats();
    }
    std::size_t openCallCount() const
    {
        return openCalls_.size();
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
        init.slots = slotsPerSidecar;
        init.batchLimit = 1024;
        init.config = &config;
        init.timers = &timers;
        return init;
    }

    void processActions()
    {
        for (auto actions = sidecar_.takeActions(); !actions.empty(); actions = sidecar_.takeActions()) {
            for (const SidecarAction &action : actions) {
                std::visit(Overloaded{[this](const SendOrder &order) { executeOrder(order); },
                                      [this](const StartExecution &start) { openCalls_.push_back(start.execution); },
                                      [this](const SendMessage &send) {
                                          sentBytes_ += send.message.ByteSizeLong();
                                          ++sentMessages_;
                                      },
                                      [](const auto &) {}},
                           action);
            }
        }
    }

    void executeOrder(const SendOrder &order)
    {
        if (order.kind == OrderKind::List) {
            sidecar_.onEngineList(order.order, EngineList{1, loaded_, {}, order.fence}, now_);
            return;
        }
        if (order.kind == OrderKind::Load) {
            loaded_.push_back(order.adapterVersion);
        }
        if (order.kind == OrderKind::Unload) {
            std::erase(loaded_, order.adapterVersion);
        }
        sidecar_.onOrderDone(order.order, OrderOutcome::Done, now_);
    }

    TimerService timers_;
    Now now_{TimePoint(Seconds(100)), WallTime{1'800'000'000'000}};
    SidecarDecisions sidecar_;
    std::vector<AdapterVersion> loaded_;
    std::vector<ExecutionHandle> openCalls_;
    std::size_t sentBytes_ = 0;
    std::size_t sentMessages_ = 0;
    std::uint64_t lastCall_ = 1'000'000;
};

} // namespace

void measureSidecar(Report &report)
{
    constexpr std::uint64_t peerCount = 16; // entries per data centre at the two-year size
    constexpr std::size_t calls = 400;
    constexpr auto warmUpDuration = Seconds(300);
    constexpr auto idleDuration = Seconds(300);
    constexpr std::size_t membersAtScale = 177; // 3,900 sidecars in 22 data centres
    ConfigStore config;
    for (std::size_t i = 0; i < slotsPerSidecar; ++i) {
        static_cast<void>(config.apply(makeAdapterDelta(i, i + 1)));
    }
    const std::size_t before = heapBytes();
    SidecarDriver driver(config);
    driver.run(warmUpDuration);
    report.addRate("sidecar.state_bytes", static_cast<double>(heapBytes() - before));
    for (std::uint64_t peer = 1; peer <= peerCount; ++peer) {
        driver.addPeer(peer);
    }
    for (std::size_t i = 0; i < slotsPerSidecar; ++i) {
        driver.startCall(i + 1, i, config);
        driver.run(Seconds(10)); // a load may wait for the load rate limit
    }
    driver.finishAllCalls();
    driver.run(Seconds(10));

    report.addRate("sidecar.peers", static_cast<double>(peerCount));
    const auto seconds = static_cast<double>(idleDuration.count());
    for (const std::size_t members : {std::size_t{20}, membersAtScale}) {
        driver.setMembers(members);
        driver.run(Seconds(10));
        const std::size_t bytesBefore = driver.sentBytes();
        const std::size_t messagesBefore = driver.sentMessages();
        const double startMicros = threadCpuMicros();
        driver.run(idleDuration);
        const double cpuMicros = threadCpuMicros() - startMicros;
        const auto size = static_cast<double>(members);
        report.addCost("sidecar.idle_bytes_per_peer", "B/s", "sidecars",
                       {size, static_cast<double>(driver.sentBytes() - bytesBefore) / seconds / peerCount});
        report.addCost("sidecar.idle_messages_per_peer", "1/s", "sidecars",
                       {size, static_cast<double>(driver.sentMessages() - messagesBefore) / seconds / peerCount});
        report.addRate("sidecar.idle_cpu_permille", cpuMicros / seconds / 1000.0);
        const std::size_t bytesBeforeLoad = driver.sentBytes();
        driver.runLoad(idleDuration, config);
        report.addCost("sidecar.busy_bytes_per_peer", "B/s", "sidecars",
                       {size, static_cast<double>(driver.sentBytes() - bytesBeforeLoad) / seconds / peerCount});
    }

    const std::size_t heapBefore = heapBytes();
    const double meanMicros =
        meanCpuMicros(calls, [&](std::size_t i) { driver.startCall(100 + i, i % slotsPerSidecar, config); });
    requireThat(driver.openCallCount() == calls, "a call was not started");
    report.addRate("sidecar.open_call_bytes", static_cast<double>(heapBytes() - heapBefore) / calls);
    report.addRate("sidecar.call_us", meanMicros);
    const double finishStartMicros = threadCpuMicros();
    driver.finishAllCalls();
    report.addRate("sidecar.end_us", (threadCpuMicros() - finishStartMicros) / calls);
    requireThat(driver.stats().executions >= calls, "executions were not counted");
}

} // namespace anvilscale::slopes

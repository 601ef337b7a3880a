// Test fixture: a sidecar with a virtual clock and a fake engine that detects invalid orders and calls.
#pragma once

#include "anvilscale/residency.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilscale::test {

inline const PeerHandle entry{1};
inline const PeerHandle otherEntry{2};

/// Call that runs at the fake engine.
struct RunningCall
{
    ExecutionHandle execution;
    AdapterVersion adapterVersion;
    wire::CallRequest request;
};

/// Order in transit to the engine.
struct SentOrder : SendOrder
{
    TimePoint sentAt;
};

/// Engine under the control of a test. Tracks its state independently of the sidecar and records each operation that a
/// correct sidecar must not cause in `violations`.
class FakeEngine
{
public:
    explicit FakeEngine(std::uint32_t slots)
        : slots_(slots)
    {
    }
    /// Executes the order and returns the outcome that an engine would report.
    OrderOutcome apply(const SendOrder &order)
    {
        if (checksFence && order.fence < highestFence) {
            return OrderOutcome::FencedOff;
        }
        highestFence = std::max(highestFence, order.fence);
        if (order.kind == OrderKind::Load) {
            if (loaded.size() >= slots_ && !loaded.contains(order.adapterVersion)) {
                violations.push_back("load without a free slot: " + order.adapterVersion.text());
                return OrderOutcome::Failed;
            }
            loaded.insert(order.adapterVersion);
        }
        if (order.kind == OrderKind::Unload) {
            if (runningCount(order.adapterVersion) != 0) {
                violations.push_back("unload under a running call: " + order.adapterVersion.text());
            }
            loaded.erase(order.adapterVersion);
        }
        return OrderOutcome::Done;
    }
    void run(const StartExecution &start)
    {
        const AdapterVersion adapterVersion{start.request.adapter(), start.request.version()};
        if (!adapterVersion.empty() && !loaded.contains(adapterVersion)) {
            if (isRestartUndetected) {
                return; // a restarted engine answers with an error
            }
            violations.push_back("call on an adapter that is not loaded: " + adapterVersion.text());
        }
        running.push_back({start.execution, adapterVersion, start.request});
    }
    bool end(ExecutionHandle execution)
    {
        return std::erase_if(running, [&](const RunningCall &call) { return call.execution == execution; }) != 0;
    }
    std::uint32_t runningCount(const AdapterVersion &adapterVersion) const
    {
        return static_cast<std::uint32_t>(std::ranges::count(running, adapterVersion, &RunningCall::adapterVersion));
    }
    EngineList list() const
    {
        EngineList result;
        result.incarnation = incarnation;
        result.highestFence = highestFence;
        result.loaded.assign(loaded.begin(), loaded.end());
        for (const auto &adapterVersion : loaded) {
            if (runningCount(adapterVersion) != 0) {
                result.running.emplace_back(adapterVersion, runningCount(adapterVersion));
            }
        }
        return result;
    }
    /// Restarts the engine process: all adapters, calls and connections are lost.
    void restart()
    {
        ++incarnation;
        loaded.clear();
        running.clear();
        highestFence = 0;
        isRestartUndetected = true;
    }

    std::uint64_t incarnation = 100;
    std::uint64_t highestFence = 0;
    bool checksFence = true;
    bool isRestartUndetected = false;
    std::set<AdapterVersion> loaded;
    std::vector<RunningCall> running;
    std::vector<std::string> violations;

private:
    std::uint32_t slots_;
};

/// Runs a sidecar against a FakeEngine and records the actions that it returns.
class SidecarFixture
{
public:
    explicit SidecarFixture(SidecarInit init = {})
        : engine(init.slots)
        , init_(completeInit(std::move(init), timers))
        , storage_(std::in_place, init_)
        , sidecar(*storage_)
    {
        engine.checksFence = init_.endpointChecksFence;
    }
    /// Kills and restarts the sidecar process. Its orders stay in transit, but their replies are lost.
    void restartSidecar()
    {
        storage_.reset();
        preparedLists_.clear();
        ++init_.incarnation;
        storage_.emplace(init_);
        start();
    }

    void start()
    {
        sidecar.start(now);
        collect();
    }
    /// Starts the sidecar and answers its orders until calls are admitted.
    void recover()
    {
        start();
        for (int i = 0; i < 4; ++i) {
            answerOrders();
        }
    }
    void collect()
    {
        for (auto &action : sidecar.takeActions()) {
            std::visit(Overloaded{[&](SendOrder &order) {
                                      orders.push_back(SentOrder{std::move(order), now.mono});
                                  },
                                  [&](StartExecution &start) {
                                      engine.run(start);
                                      started.push_back(std::move(start));
                                  },
                                  [&](SendMessage &message) { recordMessage(message); },
                                  [&](AttachListener &attach) { attached.push_back(std::move(attach)); },
                                  [&](DetachListener &detach) { detached.push_back(std::move(detach)); },
                                  [&](CancelExecution &cancel) { cancelled.push_back(cancel); },
                                  [&](ReplayAnswer &replay) { replayed.push_back(std::move(replay)); },
                                  [&](SubmitKv &kv) { kvRequests.push_back(std::move(kv.request)); },
                                  [&](Drained &) { ++drained; }},
                       action);
        }
    }
    void advance(Duration by)
    {
        const TimePoint end = now.mono + by;
        while (true) {
            const auto next = timers.next();
            if (!next || *next > end) {
                break;
            }
            moveTo(std::max(*next, now.mono));
            timers.advance(now.mono);
            collect();
        }
        moveTo(end);
    }
    /// Executes and answers the oldest order. Returns false if there is none.
    bool answerOrder()
    {
        if (orders.empty()) {
            return false;
        }
        const SentOrder order = orders.front();
        orders.erase(orders.begin());
        if (order.kind == OrderKind::List) {
            const auto prepared = preparedLists_.extract(order.order);
            sidecar.onEngineList(order.order, prepared.empty() ? engine.list() : prepared.mapped(), now);
        } else {
            sidecar.onOrderDone(order.order, engine.apply(order), now);
        }
        collect();
        return true;
    }
    /// Creates the requested lists now; they are delivered when their orders are answered.
    void prepareLists()
    {
        for (const auto &order : orders) {
            if (order.kind == OrderKind::List) {
                preparedLists_.try_emplace(order.order, engine.list());
            }
        }
    }
    void answerOrders()
    {
        for (std::size_t n = orders.size(); n != 0; --n) {
            answerOrder();
        }
    }
    /// Advances the clock in steps of one second; the engine answers all orders after each step.
    void runSeconds(int seconds)
    {
        for (int i = 0; i < seconds; ++i) {
            advance(Seconds(1));
            answerOrders();
        }
    }
    SendOrder takeOrder(OrderKind kind)
    {
        const auto it = std::ranges::find(orders, kind, &SendOrder::kind);
        if (it == orders.end()) {
            return {};
        }
        SendOrder order = *it;
        orders.erase(it);
        return order;
    }
    void reply(const SendOrder &order, OrderOutcome outcome)
    {
        sidecar.onOrderDone(order.order, outcome, now);
        collect();
    }
    void message(PeerHandle from, wire::Envelope envelope)
    {
        envelope.set_protocol(wireProtocol);
        sidecar.onMessage(from, envelope, now);
        collect();
    }
    wire::CallRequest request(const AdapterVersion &adapterVersion, Duration budget = Seconds(30))
    {
        wire::CallRequest call;
        call.mutable_id()->set_entry_incarnation(7);
        call.mutable_id()->set_call(++lastCall);
        call.mutable_id()->set_attempt(1);
        call.set_route("route-" + adapterVersion.adapter);
        call.set_adapter(adapterVersion.adapter);
        call.set_version(adapterVersion.version);
        call.set_call_class(static_cast<std::uint32_t>(CallClass::Normal));
        call.set_idempotent(true);
        call.set_budget_us(static_cast<std::uint64_t>(budget.count()));
        call.set_method("POST");
        call.set_path("/v1/completions");
        call.set_credit_bytes(65536);
        return call;
    }
    void send(const wire::CallRequest &call, PeerHandle from = entry)
    {
        wire::Envelope envelope;
        *envelope.mutable_call_request() = call;
        message(from, envelope);
    }
    std::uint64_t call(const AdapterVersion &adapterVersion)
    {
        const auto callRequest = request(adapterVersion);
        send(callRequest);
        return callRequest.id().call();
    }
    void cancel(const wire::AttemptId &id)
    {
        wire::Envelope envelope;
        *envelope.mutable_call_cancel()->mutable_id() = id;
        message(entry, envelope);
    }
    void hello(PeerHandle from, bool scheduler = false, std::uint64_t fence = 0)
    {
        wire::Envelope envelope;
        auto &hello = *envelope.mutable_hello();
        hello.mutable_from()->set_name("entry-" + std::to_string(from.value));
        hello.set_scheduler(scheduler);
        hello.set_scheduler_fence(fence);
        message(from, envelope);
    }
    void end(ExecutionHandle execution, CallOutcome outcome, FailureReason failure = FailureReason::None,
             bool endsAtEngine = true)
    {
        if (endsAtEngine) {
            engine.end(execution);
        }
        CachedAnswer answer;
        answer.outcome = outcome;
        answer.failure = failure;
        answer.status = 200;
        sidecar.onExecutionEnded(execution, answer, 10, now);
        collect();
    }
    wire::AdapterState state(const AdapterVersion &adapterVersion) const
    {
        for (const auto &state : sidecar.adapters()) {
            if (state.adapter() == adapterVersion.adapter && state.version() == adapterVersion.version) {
                return state;
            }
        }
        return {};
    }
    ResidencyState residency(const AdapterVersion &adapterVersion) const
    {
        return fromWire(state(adapterVersion).state(), ResidencyState::Absent);
    }
    std::optional<RefusalReason> refusalOf(std::uint64_t callNumber) const
    {
        for (const auto &refused : refusals) {
            if (refused.id().call() == callNumber) {
                return fromWire(refused.reason(), RefusalReason::Internal);
            }
        }
        return std::nullopt;
    }

    TimerService timers;
    Now now{TimePoint(Seconds(1000)), WallTime{1'780'000'000'000}};
    FakeEngine engine;

private:
    static SidecarInit completeInit(SidecarInit init, TimerService &timers)
    {
        init.name = "hall-east-r1";
        init.incarnation = init.incarnation == 0 ? 50 : init.incarnation;
        init.timers = &timers;
        return init;
    }
    void moveTo(TimePoint at)
    {
        now.wall.ms += std::chrono::duration_cast<Milliseconds>(at - now.mono).count();
        now.mono = at;
    }
    void recordMessage(const SendMessage &sent)
    {
        const auto &message = sent.message;
        if (message.has_call_refused()) {
            refusals.push_back(message.call_refused());
        } else if (message.has_heartbeat()) {
            heartbeats.emplace_back(sent.to, message.heartbeat());
            lastReceivedAt[sent.to] = now.mono;
        } else if (message.has_beat()) {
            beats.emplace_back(sent.to, message.beat());
            lastReceivedAt[sent.to] = now.mono;
        } else if (message.has_load_result()) {
            loadResults.push_back(message.load_result());
        } else {
            otherMessages.push_back(sent);
        }
    }

    SidecarInit init_;
    std::optional<SidecarDecisions> storage_;
    std::map<OrderHandle, EngineList> preparedLists_;

public:
    SidecarDecisions &sidecar; // owned by storage_
    std::vector<SentOrder> orders;
    std::vector<StartExecution> started;
    std::vector<AttachListener> attached;
    std::vector<DetachListener> detached;
    std::vector<CancelExecution> cancelled;
    std::vector<ReplayAnswer> replayed;
    std::vector<KvRequest> kvRequests;
    std::vector<wire::CallRefused> refusals;
    std::vector<std::pair<PeerHandle, wire::Heartbeat>> heartbeats;
    std::vector<std::pair<PeerHandle, wire::Beat>> beats;
    std::map<PeerHandle, TimePoint> lastReceivedAt; ///< time of the last heartbeat or beat by receiver
    std::vector<wire::LoadResult> loadResults;
    std::vector<SendMessage> otherMessages;
    int drained = 0;
    std::uint64_t lastCall = 0;
};

inline const AdapterVersion lounge{"lounge", "v1"};
inline const AdapterVersion transit{"transit", "v1"};
inline const AdapterVersion menus{"menus", "v1"};

} // namespace anvilscale::test

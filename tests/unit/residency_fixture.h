// One sidecar's decisions under a virtual clock, with an engine that does what it is told when the test says so.
// The engine keeps its own books: what it finds wrong is a fault of the decisions, whatever they think themselves.
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

struct RunningCall
{
    ExecutionHandle execution;
    AdapterVersion which;
    wire::CallRequest request;
};

/// An order on its way to the engine.
struct SentOrder : SendOrder
{
    TimePoint sentAt;
};

class FakeEngine
{
public:
    explicit FakeEngine(std::uint32_t slots)
        : slots_(slots)
    {
    }
    /// Carries the order out and tells what an engine would answer.
    OrderOutcome apply(const SendOrder &order)
    {
        if (checksFence && order.fence < highestFence) {
            return OrderOutcome::FencedOff;
        }
        highestFence = std::max(highestFence, order.fence);
        if (order.kind == OrderKind::Load) {
            if (loaded.size() >= slots_ && !loaded.contains(order.which)) {
                violations.push_back("load without a free slot: " + order.which.text());
                return OrderOutcome::Failed;
            }
            loaded.insert(order.which);
        }
        if (order.kind == OrderKind::Unload) {
            if (runs(order.which) != 0) {
                violations.push_back("unload under a running call: " + order.which.text());
            }
            loaded.erase(order.which);
        }
        return OrderOutcome::Done;
    }
    void run(const StartExecution &start)
    {
        const AdapterVersion which{start.request.adapter(), start.request.version()};
        if (!which.empty() && !loaded.contains(which)) {
            if (restartUnnoticed) {
                return; // an engine that has just lost its adapters says so to the caller
            }
            violations.push_back("call on an adapter that is not loaded: " + which.text());
        }
        running.push_back({start.execution, which, start.request});
    }
    bool end(ExecutionHandle execution)
    {
        return std::erase_if(running, [&](const RunningCall &call) { return call.execution == execution; }) != 0;
    }
    std::uint32_t runs(const AdapterVersion &which) const
    {
        return static_cast<std::uint32_t>(std::ranges::count(running, which, &RunningCall::which));
    }
    EngineList list() const
    {
        EngineList result;
        result.incarnation = incarnation;
        result.highestFence = highestFence;
        result.loaded.assign(loaded.begin(), loaded.end());
        for (const auto &which : loaded) {
            if (runs(which) != 0) {
                result.running.emplace_back(which, runs(which));
            }
        }
        return result;
    }
    /// All adapters and calls are gone; orders and connections die with the process.
    void restart()
    {
        ++incarnation;
        loaded.clear();
        running.clear();
        highestFence = 0;
        restartUnnoticed = true;
    }

    std::uint64_t incarnation = 100;
    std::uint64_t highestFence = 0;
    bool checksFence = true;
    bool restartUnnoticed = false;
    std::set<AdapterVersion> loaded;
    std::vector<RunningCall> running;
    std::vector<std::string> violations;

private:
    std::uint32_t slots_;
};

class SidecarFixture
{
public:
    explicit SidecarFixture(SidecarInit init = {})
        : engine(init.slots)
        , init_(complete(std::move(init), timers))
        , holder_(std::in_place, init_)
        , sidecar(*holder_)
    {
        engine.checksFence = init_.endpointChecksFence;
    }
    /// The process is killed and started again. Its orders stay on their way, their replies reach nobody.
    void restartSidecar()
    {
        holder_.reset();
        madeLists_.clear();
        ++init_.incarnation;
        holder_.emplace(init_);
        start();
    }

    void start()
    {
        sidecar.start(now);
        collect();
    }
    /// Starts, and answers the engine's part until calls are admitted.
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
                                  [&](SendMessage &message) { note(message); },
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
    /// Carries out and answers the oldest order; false if there is none.
    bool answerOrder()
    {
        if (orders.empty()) {
            return false;
        }
        const SentOrder order = orders.front();
        orders.erase(orders.begin());
        if (order.kind == OrderKind::List) {
            const auto made = madeLists_.extract(order.order);
            sidecar.onEngineList(order.order, made.empty() ? engine.list() : made.mapped(), now);
        } else {
            sidecar.onOrderDone(order.order, engine.apply(order), now);
        }
        collect();
        return true;
    }
    /// Lists that are asked for are made now, and delivered when they are answered.
    void makeLists()
    {
        for (const auto &order : orders) {
            if (order.kind == OrderKind::List) {
                madeLists_.try_emplace(order.order, engine.list());
            }
        }
    }
    void answerOrders()
    {
        for (std::size_t n = orders.size(); n != 0; --n) {
            answerOrder();
        }
    }
    /// Lets so many seconds pass; the endpoint answers all orders after each.
    void settle(int seconds)
    {
        for (int i = 0; i < seconds; ++i) {
            advance(Seconds(1));
            answerOrders();
        }
    }
    SendOrder takeOrder(OrderKind kind)
    {
        const auto place = std::ranges::find(orders, kind, &SendOrder::kind);
        if (place == orders.end()) {
            return {};
        }
        SendOrder order = *place;
        orders.erase(place);
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
    wire::CallRequest request(const AdapterVersion &which, Duration budget = Seconds(30))
    {
        wire::CallRequest call;
        call.mutable_id()->set_entry_incarnation(7);
        call.mutable_id()->set_call(++lastCall);
        call.mutable_id()->set_attempt(1);
        call.set_route("route-" + which.adapter);
        call.set_adapter(which.adapter);
        call.set_version(which.version);
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
    std::uint64_t call(const AdapterVersion &which)
    {
        const auto made = request(which);
        send(made);
        return made.id().call();
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
             bool atEngine = true)
    {
        if (atEngine) {
            engine.end(execution);
        }
        KeptAnswer answer;
        answer.outcome = outcome;
        answer.failure = failure;
        answer.status = 200;
        sidecar.onExecutionEnded(execution, answer, 10, now);
        collect();
    }
    wire::AdapterState state(const AdapterVersion &which) const
    {
        for (const auto &state : sidecar.adapters()) {
            if (state.adapter() == which.adapter && state.version() == which.version) {
                return state;
            }
        }
        return {};
    }
    ResidencyState residency(const AdapterVersion &which) const
    {
        return fromWire(state(which).state(), ResidencyState::Absent);
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
    static SidecarInit complete(SidecarInit init, TimerService &timers)
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
    void note(const SendMessage &sent)
    {
        const auto &message = sent.message;
        if (message.has_call_refused()) {
            refusals.push_back(message.call_refused());
        } else if (message.has_heartbeat()) {
            heartbeats.emplace_back(sent.to, message.heartbeat());
            lastHeard[sent.to] = now.mono;
        } else if (message.has_beat()) {
            beats.emplace_back(sent.to, message.beat());
            lastHeard[sent.to] = now.mono;
        } else if (message.has_load_result()) {
            loadResults.push_back(message.load_result());
        } else {
            others.push_back(sent);
        }
    }

    SidecarInit init_;
    std::optional<SidecarDecisions> holder_;
    std::map<OrderHandle, EngineList> madeLists_;

public:
    SidecarDecisions &sidecar; // in holder_
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
    std::map<PeerHandle, TimePoint> lastHeard; ///< of a heartbeat or a beat
    std::vector<wire::LoadResult> loadResults;
    std::vector<SendMessage> others;
    int drained = 0;
    std::uint64_t lastCall = 0;
};

inline const AdapterVersion lounge{"lounge", "v1"};
inline const AdapterVersion transit{"transit", "v1"};
inline const AdapterVersion menus{"menus", "v1"};

} // namespace anvilscale::test

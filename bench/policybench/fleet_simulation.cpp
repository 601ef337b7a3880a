// Simulation of a fleet: construction, arrivals, disturbances, messages and call completion.
#include "fleet_simulation.h"

#include <algorithm>

namespace anvilscale::bench {

namespace {

constexpr Duration loopbackDelay = Duration(200);
constexpr Duration unloadTime = Milliseconds(5);
constexpr Duration listTime = Milliseconds(3);
constexpr Duration reportInterval = Milliseconds(500);
constexpr Duration coldStartTime = Seconds(20);
constexpr Duration serviceTime = Milliseconds(30);
constexpr std::uint32_t callerAttempts = 4;
constexpr double minBackoffSeconds = 0.25;
constexpr double maxBackoffSeconds = 3.0;

Digest digestOf(std::initializer_list<std::string_view> parts)
{
    Digest digest;
    for (const auto part : parts) {
        digest.add(part);
    }
    return digest;
}

std::string dataCentreOf(std::uint32_t index, const DeploymentSpec &spec)
{
    return "dc" + std::to_string(index % spec.dataCentres);
}

} // namespace

template<class Version>
FleetSimulation<Version>::FleetSimulation(const Trace &trace, const ConfigStore &config, std::uint64_t seed,
                                          const OverloadFeatures &overloadFeatures)
    : trace_(trace)
    , config_(config)
    , seed_(seed)
    , overloadFeatures_(overloadFeatures)
    , random_(seed * 31 + 7)
{
    build();
}

template<class Version>
SidecarInit FleetSimulation<Version>::sidecarInit(std::uint32_t index, bool isService) const
{
    SidecarInit init;
    init.name = (isService ? "service" : "engine") + std::to_string(index);
    init.incarnation = 1;
    init.dataCentre = dataCentreOf(index, trace_.spec);
    init.kind = isService ? EndpointKind::Service : EndpointKind::Engine;
    init.baseModel = isService ? "" : baseModel;
    if (isService) {
        init.services = {serviceName};
    }
    init.slots = trace_.spec.slots;
    init.batchLimit = trace_.spec.batch;
    init.config = &config_;
    init.timers = const_cast<TimerService *>(&timers_);
    init.seed = seed_ * 1000 + index;
    init.overload.attachRepeats = overloadFeatures_.attachesRepeats;
    init.overload.refuseUnreachable = overloadFeatures_.refusesByDeadline;
    init.overload.queuePolicy = overloadFeatures_.servesNewestFirst ? QueuePolicy::NewestFirst : QueuePolicy::Deadline;
    return init;
}

template<class Version>
void FleetSimulation<Version>::addNode(std::uint32_t index, bool isService)
{
    auto node = std::make_unique<Node>();
    const auto init = sidecarInit(index, isService);
    const auto position = nodes_.size();
    node->name = init.name;
    node->isService = isService;
    node->sidecar = std::make_unique<typename Version::Sidecar>(init);
    if (!isService) {
        EngineEvents events;
        events.firstToken = [this, position](ExecutionHandle execution, Now) { firstToken(position, execution); };
        events.ended = [this, position](ExecutionHandle execution, CallOutcome outcome, FailureReason failure,
                                        std::uint32_t tokens,
                                        Now now) { ended(position, execution, outcome, failure, tokens, now); };
        node->engine = std::make_unique<FakeEngine>(timers_, trace_.spec, std::move(events));
    }
    nodeByName_[node->name] = position;
    nodes_.push_back(std::move(node));
}

template<class Version>
void FleetSimulation<Version>::build()
{
    const auto &spec = trace_.spec;
    store_ = std::make_unique<FakeWeightStore>(timers_, spec.loadRate, seed_ + 3);
    for (std::uint32_t i = 0; i < spec.engines; ++i) {
        addNode(i, false);
    }
    for (std::uint32_t i = 0; i < spec.services; ++i) {
        addNode(i, true);
    }
    for (std::uint32_t i = 0; i < spec.entries; ++i) {
        EntryInit init;
        init.name = "entry" + std::to_string(i);
        init.incarnation = 1;
        init.dataCentre = dataCentreOf(i, spec);
        init.config = &config_;
        init.timers = &timers_;
        init.seed = seed_ * 77 + i;
        init.overload.refuseByDeadline = overloadFeatures_.refusesByDeadline;
        init.overload.limitRepeats = overloadFeatures_.isRetryBudgetOn;
        entries_.push_back(std::make_unique<typename Version::Entry>(std::move(init)));
    }
    if (Version::hasScheduler) {
        LoadScheduler::Init init;
        init.name = "entry0";
        init.incarnation = 1;
        init.config = &config_;
        init.timers = &timers_;
        scheduler_ = std::make_unique<LoadScheduler>(
            std::move(init), [this](TimePoint) { return isLeaseHeld_; }, [this] { return fence_; });
    }
}

template<class Version>
void FleetSimulation<Version>::announceMembers()
{
    std::vector<Member> members;
    for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
        Member member;
        member.name = nodes_[i]->name;
        member.incarnation = 1;
        member.state = MemberState::Live;
        member.dataCentre = dataCentreOf(i, trace_.spec);
        members.push_back(member);
    }
    for (auto &node : nodes_) {
        node->sidecar->start(timeAt(now_));
        node->sidecar->onMembers(members, timeAt(now_));
    }
    for (const auto &member : members) {
        for (auto &entry : entries_) {
            entry->onMember(member, timeAt(now_));
        }
        if (scheduler_) {
            scheduler_->onMember(member, timeAt(now_));
        }
    }
}

template<class Version>
void FleetSimulation<Version>::run()
{
    announceMembers();
    processActions();
    scheduleReports();
    timers_.subscribe(origin_ + Seconds(2), [this](TimePoint) { scheduleArrival(0); });
    timers_.subscribe(origin_ + trace_.warmUpUntil, [this](TimePoint) {
        for (auto &node : nodes_) {
            if (node->engine) {
                node->engine->resetUsage();
            }
        }
        loadsAtWarmUp_ = store_->loads();
        reloadsAtWarmUp_ = reloads_;
    });
    // Usage after the last arrival is excluded, since batches are no longer filled.
    timers_.subscribe(origin_ + trace_.length, [this](TimePoint) { usageAtEnd_ = engineUsage(); });
    scheduleDisturbance();
    const auto end = origin_ + trace_.length + (callerAttempts + 2) * trace_.spec.deadline;
    while (timers_.next() && *timers_.next() <= end) {
        now_ = *timers_.next();
        timers_.advance(now_);
        processActions();
        const bool isFinished = records_.size() == trace_.calls.size() && openCalls_.empty() && callersInBackoff_ == 0;
        if (isFinished && now_ > origin_ + trace_.length) {
            break;
        }
    }
}

template<class Version>
void FleetSimulation<Version>::scheduleReports()
{
    timers_.subscribe(now_ + reportInterval, [this](TimePoint at) {
        for (auto &node : nodes_) {
            if (node->engine && !node->engine->isDown()) {
                node->sidecar->onEngineReport(node->engine->report(), timeAt(at));
            }
        }
        scheduleReports();
    });
}

template<class Version>
void FleetSimulation<Version>::scheduleArrival(std::size_t index)
{
    if (index >= trace_.calls.size()) {
        return;
    }
    const auto &call = trace_.calls[index];
    const auto at = std::max(origin_ + call.at, now_);
    timers_.subscribe(at, [this, index](TimePoint) {
        const auto &trace = trace_.calls[index];
        CallRecord record;
        record.arrived = now_;
        record.callClass = trace.callClass;
        record.isService = trace.isService;
        record.caller = trace.caller;
        record.deadline = trace.isService ? Duration(Seconds(5)) : trace_.spec.deadline;
        records_.push_back(record);
        sendAttempt(index);
        scheduleArrival(index + 1);
    });
}

template<class Version>
void FleetSimulation<Version>::sendAttempt(std::size_t record)
{
    const auto &trace = trace_.calls[record];
    auto &callRecord = records_[record];
    ++callRecord.attempts;
    const CallHandle handle{++lastHandle_};
    const auto entry = random_.uniformBelow(entries_.size());
    openCalls_[handle.value] = {record, entry};
    CallerRequest request;
    if (trace.isService) {
        request.service = serviceName;
    } else {
        request.route = routeName(trace.adapter);
    }
    if (trace_.callersRetry) {
        request.key = "call-" + std::to_string(record);
    }
    request.caller = "caller" + std::to_string(trace.caller);
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = std::to_string(record);
    request.promptTokens = trace.promptTokens;
    request.maxTokens = trace.outputTokens;
    entries_[entry]->onCall(handle, std::move(request), timeAt(now_));
}

template<class Version>
void FleetSimulation<Version>::scheduleDisturbance()
{
    timers_.subscribe(origin_ + trace_.disturbanceStart, [this](TimePoint) { setDisturbance(true); });
    timers_.subscribe(origin_ + trace_.disturbanceEnd, [this](TimePoint) { setDisturbance(false); });
    if (trace_.scenario != Scenario::Restart) {
        return;
    }
    const auto restarts = std::max<std::size_t>(1, trace_.spec.engines / 3);
    for (std::size_t i = 0; i < restarts; ++i) {
        const auto at = origin_ + trace_.disturbanceStart + Seconds(5) * static_cast<int>(i);
        timers_.subscribe(at, [this, i](TimePoint) { restartEngine(i * 2 % trace_.spec.engines); });
    }
}

template<class Version>
void FleetSimulation<Version>::setDisturbance(bool begin)
{
    if (trace_.scenario == Scenario::SlowStore) {
        store_->setDisturbance(begin ? 0.25 : 1.0, begin ? 0.2 : 0.0, now_);
    }
    if (trace_.scenario != Scenario::KvDown || !scheduler_) {
        return;
    }
    isLeaseHeld_ = !begin;
    fence_ += begin ? 0 : 1;
    for (const auto &node : nodes_) {
        wire::Envelope hello;
        hello.set_protocol(wireProtocol);
        hello.mutable_hello()->mutable_from()->set_name("entry0");
        hello.mutable_hello()->mutable_from()->set_incarnation(1);
        sendToSidecar(0, SendToSidecar{node->name, std::move(hello)});
    }
    if (!begin) {
        scheduler_->onLeaseAcquired(timeAt(now_));
    }
}

template<class Version>
void FleetSimulation<Version>::restartEngine(std::size_t node)
{
    nodes_[node]->engine->restart(now_);
    nodes_[node]->sidecar->onEngineLost(timeAt(now_));
    timers_.subscribe(now_ + coldStartTime, [this, node](TimePoint) { nodes_[node]->engine->recover(); });
}

template<class Version>
void FleetSimulation<Version>::processActions()
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        for (auto &action : entries_[i]->takeActions()) {
            handleAction(i, action);
        }
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        for (auto &action : nodes_[i]->sidecar->takeActions()) {
            handleAction(i, action);
        }
    }
    if (scheduler_) {
        for (const auto &send : scheduler_->takeActions()) {
            sendToSidecar(0, send);
        }
    }
}

template<class Version>
void FleetSimulation<Version>::sendToSidecar(std::size_t entry, const SendToSidecar &send)
{
    const auto node = nodeByName_.at(send.sidecar);
    const bool isLocal = dataCentreOf(static_cast<std::uint32_t>(node), trace_.spec)
                         == dataCentreOf(static_cast<std::uint32_t>(entry), trace_.spec);
    const auto delay = isLocal ? loopbackDelay : trace_.spec.networkDelay;
    auto sent = send.message;
    if (sent.has_hello() && scheduler_ && entry == 0 && isLeaseHeld_) {
        // Like the daemon, marks every hello of the scheduler's process.
        sent.mutable_hello()->set_scheduler(true);
        sent.mutable_hello()->set_scheduler_fence(fence_);
    }
    timers_.subscribe(now_ + delay, [this, node, entry, message = std::move(sent)](TimePoint at) {
        nodes_[node]->sidecar->onMessage(PeerHandle{entry + 1}, message, timeAt(at));
    });
}

template<class Version>
void FleetSimulation<Version>::sendToEntry(std::size_t node, PeerHandle peer, wire::Envelope message)
{
    const auto entry = static_cast<std::size_t>(peer.value - 1);
    const bool isLocal = dataCentreOf(static_cast<std::uint32_t>(node), trace_.spec)
                         == dataCentreOf(static_cast<std::uint32_t>(entry), trace_.spec);
    const auto delay = isLocal ? loopbackDelay : trace_.spec.networkDelay;
    message.set_protocol(wireProtocol);
    timers_.subscribe(now_ + delay, [this, node, entry, message = std::move(message)](TimePoint at) {
        entries_[entry]->onMessage(nodes_[node]->name, message, timeAt(at));
        if (!scheduler_ || entry != 0) {
            return;
        }
        if (message.has_heartbeat()) {
            scheduler_->onHeartbeat(message.heartbeat(), timeAt(at));
        }
        if (message.has_load_result()) {
            scheduler_->onLoadResult(message.load_result(), timeAt(at));
        }
    });
}

template<class Version>
void FleetSimulation<Version>::handleAction(std::size_t entry, EntryAction &action)
{
    std::visit(Overloaded{[&](SendToSidecar &send) { sendToSidecar(entry, send); }, [&](DeliverFrame &) {},
                          [&](FinishCall &finish) { endCall(finish.call, CallResult::Completed, CallError{}); },
                          [&](FailCall &fail) {
                              const bool refused = fail.error.refusal != RefusalReason::None;
                              endCall(fail.call, refused ? CallResult::Refused : CallResult::Failed, fail.error);
                          }},
               action);
}

template<class Version>
void FleetSimulation<Version>::endCall(CallHandle handle, CallResult result, const CallError &error)
{
    const auto position = openCalls_.find(handle.value);
    if (position == openCalls_.end()) {
        return;
    }
    const auto record = position->second.first;
    openCalls_.erase(position);
    auto &callRecord = records_[record];
    if (result != CallResult::Completed) {
        ++refusals_[std::string(result == CallResult::Refused ? toString(error.refusal) : toString(error.failure))];
    }
    const bool isRetry = result != CallResult::Completed && trace_.callersRetry && callRecord.attempts < callerAttempts;
    if (isRetry) {
        const double backoff = minBackoffSeconds + random_.uniform() * (maxBackoffSeconds - minBackoffSeconds);
        const auto wait = std::max(error.retryAfter, Duration(static_cast<std::int64_t>(backoff * 1e6)));
        ++callersInBackoff_;
        timers_.subscribe(now_ + wait, [this, record](TimePoint) {
            --callersInBackoff_;
            sendAttempt(record);
        });
        return;
    }
    callRecord.result = result;
    callRecord.ended = now_;
    const bool hasNeverStarted = !callRecord.hasStarted && !callRecord.isService && result != CallResult::Completed;
    if (hasNeverStarted) {
        callRecord.stall = now_ - callRecord.arrived;
    }
}

template<class Version>
void FleetSimulation<Version>::handleAction(std::size_t node, SidecarAction &action)
{
    auto &executions = nodes_[node]->executions;
    std::visit(Overloaded{
                   [&](SendMessage &send) { sendToEntry(node, send.to, std::move(send.message)); },
                   [&](StartExecution &start) { startExecution(node, start); },
                   [&](AttachListener &attach) {
                       const auto position = executions.find(attach.execution);
                       if (position != executions.end()) {
                           position->second.listeners.push_back(Listener{attach.to, attach.id, false});
                       }
                   },
                   [&](DetachListener &detach) {
                       const auto position = executions.find(detach.execution);
                       if (position == executions.end()) {
                           return;
                       }
                       std::erase_if(position->second.listeners, [&](const Listener &listener) {
                           return listener.id.entry_incarnation() == detach.id.entry_incarnation()
                                  && listener.id.call() == detach.id.call()
                                  && listener.id.attempt() == detach.id.attempt();
                       });
                   },
                   [&](CancelExecution &cancel) {
                       if (nodes_[node]->engine) {
                           nodes_[node]->engine->cancel(cancel.execution, now_);
                       }
                   },
                   [&](ReplayAnswer &) {},
                   [&](SendOrder &send) { executeOrder(node, send); },
                   [&](SubmitKv &) {},
                   [&](Drained &) {},
               },
               action);
}

template<class Version>
void FleetSimulation<Version>::startExecution(std::size_t node, StartExecution &start)
{
    auto &target = *nodes_[node];
    const auto record = static_cast<std::size_t>(std::stoull(start.request.body()));
    auto &callRecord = records_[record];
    ++callRecord.executions;
    Execution execution;
    execution.listeners.push_back(Listener{start.to, start.request.id(), false});
    execution.adapter = start.request.adapter() + "@" + start.request.version();
    const auto handle = start.execution;
    if (!target.isService && !callRecord.hasStarted) {
        const auto loaded = target.engine->loadedAt(execution.adapter).value_or(now_);
        callRecord.stall = std::max(Duration{}, loaded - callRecord.arrived);
    }
    callRecord.hasStarted = true;
    const auto adapter = execution.adapter;
    target.executions[handle] = std::move(execution);
    if (target.isService) {
        timers_.subscribe(now_ + serviceTime, [this, node, handle](TimePoint at) {
            ended(node, handle, CallOutcome::Complete, FailureReason::None, 0, timeAt(at));
        });
        return;
    }
    const auto &trace = trace_.calls[record];
    target.engine->start(handle, adapter, trace.promptTokens, trace.outputTokens, now_);
}

template<class Version>
void FleetSimulation<Version>::executeOrder(std::size_t node, const SendOrder &order)
{
    auto &target = *nodes_[node];
    if (target.engine->isDown()) {
        timers_.subscribe(now_ + listTime,
                          [this, node, order](TimePoint at) { finishOrder(node, order, OrderOutcome::Failed, at); });
        return;
    }
    if (order.kind != OrderKind::Load) {
        const auto time = order.kind == OrderKind::Unload ? unloadTime : listTime;
        timers_.subscribe(now_ + time,
                          [this, node, order](TimePoint at) { finishOrder(node, order, OrderOutcome::Done, at); });
        return;
    }
    if (!target.engine->hasFreeSlot()) {
        finishOrder(node, order, OrderOutcome::Refused, now_);
        return;
    }
    store_->load(now_,
                 [this, node, order](OrderOutcome outcome, Now now) { finishOrder(node, order, outcome, now.mono); });
}

template<class Version>
void FleetSimulation<Version>::finishOrder(std::size_t node, const SendOrder &order, OrderOutcome outcome, TimePoint at)
{
    auto &target = *nodes_[node];
    const auto name = order.adapterVersion.text();
    const bool isDone = outcome == OrderOutcome::Done && !target.engine->isDown();
    if (order.kind == OrderKind::List && isDone) {
        target.sidecar->onEngineList(order.order, target.engine->list(), timeAt(at));
        return;
    }
    if (order.kind == OrderKind::Load && isDone) {
        reloads_ += target.everLoaded.insert(name).second ? 0 : 1;
        target.engine->addAdapter(name, at);
    }
    if (order.kind == OrderKind::Unload && isDone) {
        target.engine->removeAdapter(name);
    }
    target.sidecar->onOrderDone(order.order, isDone ? OrderOutcome::Done : outcome, timeAt(at));
}

template<class Version>
void FleetSimulation<Version>::firstToken(std::size_t node, ExecutionHandle execution)
{
    auto &target = *nodes_[node];
    target.sidecar->onExecutionStarted(execution, timeAt(now_));
    const auto position = target.executions.find(execution);
    if (position == target.executions.end()) {
        return;
    }
    for (auto &listener : position->second.listeners) {
        wire::Envelope message;
        *message.mutable_call_frame()->mutable_id() = listener.id;
        message.mutable_call_frame()->set_status(200);
        message.mutable_call_frame()->set_data("first ");
        listener.hasBegun = true;
        sendToEntry(node, listener.peer, std::move(message));
    }
}

template<class Version>
void FleetSimulation<Version>::ended(std::size_t node, ExecutionHandle execution, CallOutcome outcome,
                                     FailureReason failure, std::uint32_t tokens, Now now)
{
    auto &target = *nodes_[node];
    const auto position = target.executions.find(execution);
    if (position == target.executions.end()) {
        return;
    }
    for (auto &listener : position->second.listeners) {
        if (!listener.hasBegun) {
            wire::Envelope first;
            *first.mutable_call_frame()->mutable_id() = listener.id;
            first.mutable_call_frame()->set_status(200);
            first.mutable_call_frame()->set_data("first ");
            sendToEntry(node, listener.peer, std::move(first));
        }
        wire::Envelope rest;
        *rest.mutable_call_frame()->mutable_id() = listener.id;
        rest.mutable_call_frame()->set_sequence(1);
        rest.mutable_call_frame()->set_data("rest");
        sendToEntry(node, listener.peer, std::move(rest));
        wire::Envelope end;
        auto &out = *end.mutable_call_end();
        *out.mutable_id() = listener.id;
        out.set_frames(2);
        out.set_digest(digestOf({"first ", "rest"}).value());
        out.set_outcome(static_cast<std::uint32_t>(outcome));
        out.set_failure(static_cast<std::uint32_t>(failure));
        out.set_generated_tokens(tokens);
        sendToEntry(node, listener.peer, std::move(end));
    }
    target.executions.erase(position);
    CachedAnswer answer;
    answer.outcome = outcome;
    answer.failure = failure;
    answer.status = 200;
    target.sidecar->onExecutionEnded(execution, std::move(answer), tokens, now);
}

template<class Version>
EngineUsage FleetSimulation<Version>::engineUsage() const
{
    EngineUsage sum;
    for (const auto &node : nodes_) {
        if (node->engine) {
            sum.busySeconds += node->engine->usage().busySeconds;
            sum.occupiedSeconds += node->engine->usage().occupiedSeconds;
            sum.tokens += node->engine->usage().tokens;
        }
    }
    return sum;
}

template<class Version>
Metrics FleetSimulation<Version>::metrics() const
{
    auto out = computeMetrics(trace_, records_, origin_);
    const double measuredSeconds = static_cast<double>((trace_.length - trace_.warmUpUntil).count()) * 1e-6;
    const auto &sum = usageAtEnd_;
    for (const auto &node : nodes_) {
        out.faultCount += node->engine ? node->engine->faultCount() : 0;
    }
    out.batchEfficiency = sum.busySeconds > 0.0 ? sum.occupiedSeconds / sum.busySeconds : 0.0;
    out.fleetUtilization = sum.occupiedSeconds / (measuredSeconds * trace_.spec.engines);
    out.tokensPerSecond = sum.tokens / measuredSeconds;
    out.refusals = refusals_;
    out.loads = store_->loads() - loadsAtWarmUp_;
    out.reloads = reloads_ - reloadsAtWarmUp_;
    return out;
}

template class FleetSimulation<ProductVersion>;
template class FleetSimulation<NaiveVersion>;

} // namespace anvilscale::bench

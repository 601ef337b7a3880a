// Simulated messages between processes, calls to endpoints, and the key-value service.
#include "simulation.h"

namespace anvilscale::faults {

namespace {

constexpr Duration hopDelay = Milliseconds(1);
constexpr Duration partInterval = Milliseconds(30); // between the parts of an answer
constexpr Duration loadDuration = Milliseconds(150);
constexpr Duration lostReplyTimeout = Seconds(1);
constexpr Duration restartDetectionTime = Seconds(2); // a sidecar must have detected an engine restart by then
constexpr Duration slowKvDelay = Milliseconds(800);
constexpr Duration kvTimeout = Seconds(1);

Step stepOf(const wire::Envelope &message)
{
    switch (message.body_case()) {
    case wire::Envelope::kCallRequest:
        return Step::CallRequest;
    case wire::Envelope::kCallFrame:
        return Step::CallFrame;
    case wire::Envelope::kCallEnd:
        return Step::CallEnd;
    case wire::Envelope::kHeartbeat:
    case wire::Envelope::kBeat:
        return Step::Heartbeat;
    case wire::Envelope::kLoadGrant:
        return Step::LoadGrant;
    case wire::Envelope::kLoadResult:
        return Step::LoadResult;
    case wire::Envelope::kConfigPush:
        return Step::ConfigPush;
    case wire::Envelope::kConfigFetch:
        return Step::ConfigFetch;
    case wire::Envelope::kDrainOrder:
        return Step::DrainOrder;
    case wire::Envelope::kSlotHandover:
        return Step::HandoverPart;
    case wire::Envelope::kSlotHandoverAck:
        return Step::HandoverAck;
    default:
        return Step::Other;
    }
}

Step stepOf(const KvRequest &request)
{
    const std::string &key = request.puts.empty() ? request.key : request.puts.back().key;
    const bool write = request.op == KvOp::Txn;
    if (request.op == KvOp::LeaseGrant) {
        return Step::LeaseGrant;
    }
    if (request.op == KvOp::LeaseKeepAlive) {
        return Step::LeaseKeepAlive;
    }
    if (key.starts_with("/anvilscale/slots/")) {
        return write ? Step::SlotTableWrite : Step::SlotTableRead;
    }
    if (key == "/anvilscale/config/head") {
        return write ? Step::HeadWrite : Step::HeadRead;
    }
    const bool leaseKey = !request.puts.empty() && request.puts.back().lease != 0;
    return leaseKey ? Step::LeaseKeyWrite : Step::Other;
}

Step stepOf(OrderKind kind)
{
    switch (kind) {
    case OrderKind::Load:
        return Step::LoadOrder;
    case OrderKind::Unload:
        return Step::UnloadOrder;
    case OrderKind::Fence:
        return Step::FenceOrder;
    default:
        return Step::ListOrder;
    }
}

std::string attemptKey(const wire::AttemptId &id)
{
    return std::to_string(id.entry_incarnation()) + "/" + std::to_string(id.call()) + "/"
           + std::to_string(id.attempt());
}

KvReply kvReply(KvHandle id, KvStatus status)
{
    KvReply reply;
    reply.id = id;
    reply.status = status;
    return reply;
}

} // namespace

PeerHandle Simulation::peerHandle(const std::string &identity)
{
    const auto [known, fresh] = peers_.try_emplace(identity, peerNames_.size() + 1);
    if (fresh) {
        peerNames_.push_back(identity.substr(0, identity.find('/')));
    }
    return PeerHandle{known->second};
}

void Simulation::sendMessage(Node &from, const std::string &to, wire::Envelope message)
{
    if (from.isTerminating || from.process == nullptr) {
        return;
    }
    message.set_protocol(wireProtocol);
    if (from.isPaused) { // sent after the process resumes
        from.pendingActions.push_back([this, &from, to, message] { sendMessage(from, to, message); });
        return;
    }
    if (message.has_call_request()) {
        checkCallRequest(from, to, message.call_request());
    }
    trace(from.name + " -> " + to + " " + std::string(toString(stepOf(message))) + " "
          + std::to_string(message.body_case()));
    const FaultEffect effect = injectFaults(stepOf(message), from);
    if (from.isPaused || from.isTerminating) {
        sendMessage(from, to, std::move(message));
        return;
    }
    const bool isCut = isPartitioned_ && from.dataCentre != node(to).dataCentre;
    if (effect.isLost || isCut || droppedLinks_.erase({from.name, to}) != 0) {
        return;
    }
    if (effect.isReplyLost) {
        droppedLinks_.insert({to, from.name});
    }
    const std::string sender = from.name + "/" + std::to_string(from.incarnation);
    for (int copy = 0; copy < (effect.isDuplicated ? 2 : 1); ++copy) {
        post(to, hopDelay * (copy + 1) + effect.delay,
             [this, to, sender, message] { receive(node(to), sender, message); });
    }
}

void Simulation::receive(Node &to, const std::string &sender, const wire::Envelope &message)
{
    const std::string from = sender.substr(0, sender.find('/'));
    const Now now = nowOf(to);
    Process &process = *to.process;
    if (message.has_config_push()) {
        process.configDistributor->onPush(message.config_push(), now);
    } else if (message.has_config_fetch()) {
        process.configDistributor->onFetch(from, message.config_fetch(), now);
    } else if (process.sidecar) {
        receiveAtSidecar(to, sender, message);
    } else if (message.has_load_result()) {
        process.scheduler->onLoadResult(message.load_result(), now);
    } else {
        if (message.has_beat()) {
            process.membership->onBeat(from, message.beat(), now);
        }
        if (message.has_heartbeat()) {
            const auto &beat = message.heartbeat();
            process.membership->onHeartbeat(beat, now);
            process.scheduler->onHeartbeat(beat, now);
            process.configDistributor->onPeerRevision(from, beat.config_revision(), beat.config_digest(), now);
        }
        process.entry->onMessage(from, message, now);
    }
}

void Simulation::receiveAtSidecar(Node &to, const std::string &sender, const wire::Envelope &message)
{
    const std::string from = sender.substr(0, sender.find('/'));
    Process &process = *to.process;
    if (message.has_hello()) {
        const auto &hello = message.hello();
        process.configDistributor->onPeerRevision(from, hello.config_revision(), hello.config_digest(), nowOf(to));
    }
    if (message.has_call_request()) {
        revisionAtArrival_.try_emplace(attemptKey(message.call_request().id()), process.store.revision());
    }
    process.sidecar->onMessage(peerHandle(sender), message, nowOf(to));
}

// Key-value service

void Simulation::submitKv(Node &from, const KvRequest &request)
{
    if (from.isTerminating || from.process == nullptr) {
        return;
    }
    if (from.isPaused) {
        from.pendingActions.push_back([this, &from, request] { submitKv(from, request); });
        return;
    }
    trace(from.name + " -> store " + std::string(toString(request.op)) + " "
          + (request.puts.empty() ? request.key : request.puts.back().key));
    const FaultEffect effect = injectFaults(stepOf(request), from);
    if (from.isPaused || from.isTerminating) {
        submitKv(from, request);
        return;
    }
    const auto incarnation = from.incarnation;
    const bool isUnreachable = isKvDown_ || (isPartitioned_ && from.dataCentre != 0);
    if (isUnreachable) {
        schedule(hopDelay, [this, &from, incarnation, id = request.id] {
            deliverKvReply(from, incarnation, kvReply(id, KvStatus::Unavailable));
        });
        return;
    }
    if (effect.isLost || effect.isReplyLost || effect.delay > hopDelay * 10) {
        schedule(kvTimeout, [this, &from, incarnation, id = request.id] {
            deliverKvReply(from, incarnation, kvReply(id, KvStatus::Unknown));
        });
    }
    if (!effect.isLost) {
        const Duration wait = hopDelay + effect.delay + (isKvSlow_ ? slowKvDelay / 2 : Duration(0));
        schedule(wait, [this, &from, request, effect] { executeKv(from, request, effect); });
    }
}

void Simulation::executeKv(Node &from, const KvRequest &request, const FaultEffect &effect)
{
    const auto incarnation = from.incarnation;
    if (isKvDown_ && effect.delay == Duration(0)) {
        deliverKvReply(from, incarnation, kvReply(request.id, KvStatus::Unknown));
        return;
    }
    const auto sink = [this, &from, incarnation](KvReply event) {
        schedule(hopDelay,
                 [this, &from, incarnation, event = std::move(event)] { deliverKvReply(from, incarnation, event); });
    };
    const KvReply reply = kv_.apply(request, time_, sink);
    const bool accepted = request.op == KvOp::Txn && reply.status == KvStatus::Ok;
    if (accepted && stepOf(request) == Step::HeadWrite) {
        config::Delta delta;
        delta.ParseFromString(request.puts.front().value);
        auto &versions = versionsByRevision_[delta.revision()];
        versions =
            versionsByRevision_[delta.revision() - 1].empty() ? versions : versionsByRevision_[delta.revision() - 1];
        acceptedChanges_.push_back(delta.change_id());
        for (const auto &change : delta.changes()) {
            const auto version = change.json().find("\"version\":\"");
            if (change.kind() == "route" && version != std::string::npos) {
                versions[change.name()] = change.json().substr(version + 11, 2);
            }
        }
    }
    const bool isAnswered = !effect.isReplyLost && effect.delay <= hopDelay * 10;
    if (isAnswered && request.op != KvOp::WatchCancel) {
        schedule(hopDelay + (isKvSlow_ ? slowKvDelay / 2 : Duration(0)),
                 [this, &from, incarnation, reply] { deliverKvReply(from, incarnation, reply); });
    }
}

void Simulation::deliverKvReply(Node &to, std::uint64_t incarnation, KvReply reply)
{
    if (to.process == nullptr || to.incarnation != incarnation || to.isTerminating) {
        return;
    }
    if (to.isPaused) {
        to.pendingActions.push_back([this, &to, incarnation, reply] { deliverKvReply(to, incarnation, reply); });
        return;
    }
    if (reply.isEvent && isPartitioned_ && to.dataCentre != 0) {
        reply = kvReply(reply.id, KvStatus::Unavailable); // the watch connection breaks
    }
    const Now now = nowOf(to);
    Process &process = *to.process;
    if (process.writer) {
        process.writer->onReply(reply, now);
    } else if (!process.configDistributor->onReply(reply, now)) {
        if (process.sidecar) {
            process.sidecar->onKvReply(reply, now);
        } else if (!process.lease->onReply(reply, now)) {
            process.slotWatcher->onReply(reply, now);
        }
    }
    processActions(to);
}

// Endpoint

void Simulation::sendOrder(Node &from, const SendOrder &order)
{
    if (from.isPaused || from.isTerminating) {
        from.pendingActions.push_back([this, &from, order] { sendOrder(from, order); });
        return;
    }
    trace(from.name + " -> engine " + std::string(toString(order.kind)) + " " + order.adapterVersion.text());
    const FaultEffect effect = injectFaults(stepOf(order.kind), from);
    if (from.isPaused || from.isTerminating) {
        sendOrder(from, order);
        return;
    }
    const bool isAnswered = !effect.isLost && !effect.isReplyLost && effect.delay <= hopDelay * 10;
    if (!isAnswered) {
        post(from.name, lostReplyTimeout, [this, &from, order] {
            from.process->sidecar->onOrderDone(order.order, OrderOutcome::Unknown, nowOf(from));
        });
    }
    if (effect.isLost) {
        return;
    }
    const Duration orderDuration = order.kind == OrderKind::Load ? loadDuration : hopDelay;
    const Duration effectDelay =
        std::min(orderDuration + effect.delay, Duration(Milliseconds(2900))); // below the sidecar's order timeout
    const auto engine = from.endpoint.incarnation;
    schedule(effectDelay, [this, &from, order, isAnswered, engine] {
        if (from.endpoint.incarnation != engine) { // the engine restarted: its reply is lost
            post(from.name, hopDelay, [this, &from, order] {
                from.process->sidecar->onOrderDone(order.order, OrderOutcome::Unknown, nowOf(from));
            });
            return;
        }
        const auto list = from.endpoint.list(runs_);
        const auto outcome = order.kind == OrderKind::List ? OrderOutcome::Done : from.endpoint.apply(order, runs_);
        if (!isAnswered) {
            return;
        }
        post(from.name, hopDelay, [this, &from, order, list, outcome] {
            if (order.kind == OrderKind::List) {
                from.process->sidecar->onEngineList(order.order, list, nowOf(from));
            } else {
                from.process->sidecar->onOrderDone(order.order, outcome, nowOf(from));
            }
        });
    });
}

void Simulation::startExecution(Node &from, const StartExecution &start, TimePoint decided)
{
    if (from.isPaused || from.isTerminating) { // sent after the process resumes
        from.pendingActions.push_back([this, &from, start, decided] { startExecution(from, start, decided); });
        return;
    }
    const FaultEffect effect = injectFaults(Step::CallToEndpoint, from);
    if (from.isPaused || from.isTerminating) {
        startExecution(from, start, decided);
        return;
    }
    auto &openExecution = from.process->openExecutions[start.execution.value];
    openExecution.listeners.emplace_back(peerNames_.at(start.to.value - 1), start.request.id());
    const auto handle = start.execution.value;
    const std::string name = from.name;
    if (time_ >= start.sendDeadline) {
        endExecution(name, handle, CallOutcome::Failed, FailureReason::EndpointUnreachable);
        return;
    }
    if (effect.isLost) { // connection refused
        post(name, hopDelay, [this, name, handle] {
            endExecution(name, handle, CallOutcome::Failed, FailureReason::EndpointUnreachable);
        });
        return;
    }
    if (effect.isReplyLost) {
        post(name, hopDelay * 5,
             [this, name, handle] { endExecution(name, handle, CallOutcome::Unknown, FailureReason::EndpointCut); });
    }
    const auto incarnation = from.incarnation;
    const auto engine = from.endpoint.incarnation;
    schedule(hopDelay + effect.delay, [this, &from, start, decided, incarnation, engine, isCut = effect.isReplyLost] {
        // The request is dropped if its connection closed meanwhile: the sidecar exited, the execution was cancelled,
        // or the endpoint process restarted.
        const bool isSenderAlive = from.incarnation == incarnation && from.process != nullptr && !from.isTerminating;
        const bool isOpen = isSenderAlive && from.process->openExecutions.contains(start.execution.value);
        if (isOpen && from.endpoint.incarnation == engine) {
            runAtEndpoint(from.name, start, decided, isCut);
        }
    });
}

void Simulation::runAtEndpoint(const std::string &sidecar, const StartExecution &start, TimePoint decided, bool isCut)
{
    Node &sidecarNode = node(sidecar);
    const AdapterVersion adapterVersion{start.request.adapter(), start.request.version()};
    const bool hasJustRestarted = time_ - sidecarNode.endpoint.restartedAt < restartDetectionTime;
    if (!adapterVersion.empty() && !sidecarNode.endpoint.loaded.contains(adapterVersion) && hasJustRestarted) {
        // A restarted engine rejects the unknown adapter. The sidecar must have detected the restart by the end of
        // this window.
        post(sidecar, hopDelay, [this, sidecar, handle = start.execution.value] {
            endExecution(sidecar, handle, CallOutcome::Failed, FailureReason::EndpointError);
        });
        return;
    }
    Run run;
    run.id = runs_.size() + 1;
    run.endpoint = sidecar;
    run.body = start.request.body();
    run.tryId = start.request.headers().empty() ? "" : start.request.headers(0).value();
    run.key = start.request.key();
    run.route = start.request.route();
    run.adapter = adapterVersion;
    run.isStream = start.request.stream();
    run.decidedAt = decided;
    run.engineIncarnation = sidecarNode.endpoint.incarnation;
    runs_.push_back(run);
    checkRun(run, sidecarNode, start);
    auto &openExecution = sidecarNode.process->openExecutions[start.execution.value];
    openExecution.runId = isCut ? 0 : run.id;
    scheduleAnswerPart(sidecar, start.execution.value, run.id, 0);
}

/// Produces the parts of an answer one by one, independent of the state of the connection.
void Simulation::scheduleAnswerPart(const std::string &sidecar, std::uint64_t execution, std::uint64_t run,
                                    std::uint32_t number)
{
    schedule(partInterval, [this, sidecar, execution, run, number] {
        Run &source = runs_[run - 1];
        if (!source.isRunning) {
            return;
        }
        const bool isLast = number + 1 == source.partCount();
        source.isRunning = !isLast;
        const FaultEffect effect = injectFaults(isLast ? Step::EndpointAnswer : Step::EndpointFirstByte, node(sidecar));
        const bool isCut = effect.isLost || effect.isReplyLost;
        const std::string data = source.partText(number);
        // All parts share one connection, so a delay holds back the following parts as well.
        source.arrivesAt = std::max(source.arrivesAt, time_ + hopDelay + effect.delay);
        post(sidecar, source.arrivesAt - time_, [this, sidecar, execution, run, data, isLast, isCut] {
            Node &to = node(sidecar);
            const auto openExecution = to.process->openExecutions.find(execution);
            if (openExecution == to.process->openExecutions.end() || openExecution->second.runId != run) {
                return;
            }
            if (isCut) {
                endExecution(sidecar, execution, CallOutcome::Unknown, FailureReason::EndpointCut);
                return;
            }
            if (openExecution->second.frames.empty()) {
                to.process->sidecar->onExecutionStarted(ExecutionHandle{execution}, nowOf(to));
            }
            sendFrame(to, openExecution->second, data);
            if (isLast) {
                endExecution(sidecar, execution, CallOutcome::Complete, FailureReason::None);
            }
        });
        if (!isLast) {
            scheduleAnswerPart(sidecar, execution, run, number + 1);
        }
    });
}

void Simulation::sendFrame(Node &from, OpenExecution &openExecution, const std::string &data)
{
    openExecution.frames.push_back(data);
    for (const auto &[to, id] : openExecution.listeners) {
        wire::Envelope message;
        auto &out = *message.mutable_call_frame();
        *out.mutable_id() = id;
        out.set_sequence(static_cast<std::uint32_t>(openExecution.frames.size() - 1));
        out.set_status(openExecution.frames.size() == 1 ? 200 : 0);
        out.set_data(data);
        sendMessage(from, to, std::move(message));
    }
}

void Simulation::resendFrames(Node &from, const OpenExecution &openExecution, const std::string &to,
                              const wire::AttemptId &id)
{
    OpenExecution replayed;
    replayed.listeners.emplace_back(to, id);
    for (const auto &data : openExecution.frames) {
        sendFrame(from, replayed, data);
    }
}

void Simulation::endExecution(const std::string &sidecar, std::uint64_t execution, CallOutcome outcome,
                              FailureReason failure)
{
    Node &from = node(sidecar);
    auto ended = from.process->openExecutions.extract(execution);
    if (ended.empty()) {
        return;
    }
    Digest digest;
    CachedAnswer answer{outcome, failure, 200, {}, ""};
    for (const auto &data : ended.mapped().frames) {
        digest.add(data);
        answer.body += data;
    }
    for (const auto &[to, id] : ended.mapped().listeners) {
        wire::Envelope message;
        auto &out = *message.mutable_call_end();
        *out.mutable_id() = id;
        out.set_frames(static_cast<std::uint32_t>(ended.mapped().frames.size()));
        out.set_digest(digest.value());
        out.set_outcome(static_cast<std::uint32_t>(outcome));
        out.set_failure(static_cast<std::uint32_t>(failure));
        sendMessage(from, to, std::move(message));
    }
    from.process->sidecar->onExecutionEnded(ExecutionHandle{execution}, std::move(answer), 1, nowOf(from));
}

void Simulation::cancelExecution(Node &from, const CancelExecution &cancelled)
{
    const auto openExecution = from.process->openExecutions.find(cancelled.execution.value);
    if (openExecution == from.process->openExecutions.end()) {
        return;
    }
    const auto run = openExecution->second.runId;
    if (run != 0 && from.endpoint.isEngine) {
        runs_[run - 1].isRunning = false;
    }
    post(from.name, hopDelay, [this, name = from.name, cancelled] {
        endExecution(name, cancelled.execution.value, CallOutcome::Cancelled, cancelled.reason);
    });
}

void Simulation::replayAnswer(Node &from, const ReplayAnswer &replayed)
{
    const std::string to = peerNames_.at(replayed.to.value - 1);
    OpenExecution openExecution;
    openExecution.listeners.emplace_back(to, replayed.id);
    sendFrame(from, openExecution, replayed.answer->body);
    Digest digest;
    digest.add(replayed.answer->body);
    wire::Envelope message;
    auto &out = *message.mutable_call_end();
    *out.mutable_id() = replayed.id;
    out.set_frames(1);
    out.set_digest(digest.value());
    out.set_outcome(static_cast<std::uint32_t>(replayed.answer->outcome));
    out.set_replayed(true);
    sendMessage(from, to, std::move(message));
}

} // namespace anvilscale::faults

// Messages between processes, the traffic between a sidecar and its endpoint, and the key-value service.
#include "world.h"

namespace anvilscale::faults {

namespace {

constexpr Duration hop = Milliseconds(1);
constexpr Duration step = Milliseconds(30); // of an answer
constexpr Duration loadTime = Milliseconds(150);
constexpr Duration orderPatience = Seconds(1); // then the reply counts as lost
constexpr Duration noticeTime = Seconds(2); // of an engine's restart, by its reports
constexpr Duration slowKv = Milliseconds(800);
constexpr Duration kvPatience = Seconds(1);

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

PeerHandle World::peer(const std::string &identity)
{
    const auto [known, fresh] = peers_.try_emplace(identity, peerNames_.size() + 1);
    if (fresh) {
        peerNames_.push_back(identity.substr(0, identity.find('/')));
    }
    return PeerHandle{known->second};
}

void World::link(Node &from, const std::string &to, wire::Envelope message)
{
    if (from.dying || from.process == nullptr) {
        return;
    }
    message.set_protocol(wireProtocol);
    if (from.paused) { // decided, but not yet sent
        from.backlog.push_back([this, &from, to, message] { link(from, to, message); });
        return;
    }
    if (message.has_call_request()) {
        checkSent(from, to, message.call_request());
    }
    trace(from.name + " -> " + to + " " + std::string(toString(stepOf(message))) + " "
          + std::to_string(message.body_case()));
    const Fate fate = pass(stepOf(message), from);
    if (from.paused || from.dying) {
        link(from, to, std::move(message));
        return;
    }
    const bool cut = parted_ && from.dataCentre != node(to).dataCentre;
    if (fate.lost || cut || muted_.erase({from.name, to}) != 0) {
        return;
    }
    if (fate.replyLost) {
        muted_.insert({to, from.name});
    }
    const std::string sender = from.name + "/" + std::to_string(from.incarnation);
    for (int copy = 0; copy < (fate.doubled ? 2 : 1); ++copy) {
        post(to, hop * (copy + 1) + fate.delay, [this, to, sender, message] { receive(node(to), sender, message); });
    }
}

void World::receive(Node &to, const std::string &sender, const wire::Envelope &message)
{
    const std::string from = sender.substr(0, sender.find('/'));
    const Now now = nowOf(to);
    Process &process = *to.process;
    if (message.has_config_push()) {
        process.spread->onPush(message.config_push(), now);
    } else if (message.has_config_fetch()) {
        process.spread->onFetch(from, message.config_fetch(), now);
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
            process.spread->onPeerRevision(from, beat.config_revision(), beat.config_digest(), now);
        }
        process.entry->onMessage(from, message, now);
    }
}

void World::receiveAtSidecar(Node &to, const std::string &sender, const wire::Envelope &message)
{
    const std::string from = sender.substr(0, sender.find('/'));
    Process &process = *to.process;
    if (message.has_hello()) {
        const auto &hello = message.hello();
        process.spread->onPeerRevision(from, hello.config_revision(), hello.config_digest(), nowOf(to));
    }
    if (message.has_call_request()) {
        revisionAtArrival_.try_emplace(attemptKey(message.call_request().id()), process.store.revision());
    }
    process.sidecar->onMessage(peer(sender), message, nowOf(to));
}

// ---- key-value service

void World::submit(Node &from, const KvRequest &request)
{
    if (from.dying || from.process == nullptr) {
        return;
    }
    if (from.paused) {
        from.backlog.push_back([this, &from, request] { submit(from, request); });
        return;
    }
    trace(from.name + " -> store " + std::string(toString(request.op)) + " "
          + (request.puts.empty() ? request.key : request.puts.back().key));
    const Fate fate = pass(stepOf(request), from);
    if (from.paused || from.dying) {
        submit(from, request);
        return;
    }
    const auto incarnation = from.incarnation;
    const bool away = kvDown_ || (parted_ && from.dataCentre != 0);
    if (away) {
        at(hop, [this, &from, incarnation, id = request.id] {
            replyKv(from, incarnation, kvReply(id, KvStatus::Unavailable));
        });
        return;
    }
    if (fate.lost || fate.replyLost || fate.delay > hop * 10) {
        at(kvPatience,
           [this, &from, incarnation, id = request.id] { replyKv(from, incarnation, kvReply(id, KvStatus::Unknown)); });
    }
    if (!fate.lost) {
        const Duration wait = hop + fate.delay + (kvSlow_ ? slowKv / 2 : Duration(0));
        at(wait, [this, &from, request, fate] { carryOut(from, request, fate); });
    }
}

void World::carryOut(Node &from, const KvRequest &request, const Fate &fate)
{
    const auto incarnation = from.incarnation;
    if (kvDown_ && fate.delay == Duration(0)) {
        replyKv(from, incarnation, kvReply(request.id, KvStatus::Unknown));
        return;
    }
    const auto sink = [this, &from, incarnation](KvReply event) {
        at(hop, [this, &from, incarnation, event = std::move(event)] { replyKv(from, incarnation, event); });
    };
    const KvReply reply = kv_.apply(request, time_, sink);
    const bool accepted = request.op == KvOp::Txn && reply.status == KvStatus::Ok;
    if (accepted && stepOf(request) == Step::HeadWrite) {
        config::Delta delta;
        delta.ParseFromString(request.puts.front().value);
        auto &versions = versions_[delta.revision()];
        versions = versions_[delta.revision() - 1].empty() ? versions : versions_[delta.revision() - 1];
        acceptedChanges_.push_back(delta.change_id());
        for (const auto &change : delta.changes()) {
            const auto version = change.json().find("\"version\":\"");
            if (change.kind() == "route" && version != std::string::npos) {
                versions[change.name()] = change.json().substr(version + 11, 2);
            }
        }
    }
    const bool answered = !fate.replyLost && fate.delay <= hop * 10;
    if (answered && request.op != KvOp::WatchCancel) {
        at(hop + (kvSlow_ ? slowKv / 2 : Duration(0)),
           [this, &from, incarnation, reply] { replyKv(from, incarnation, reply); });
    }
}

void World::replyKv(Node &to, std::uint64_t incarnation, KvReply reply)
{
    if (to.process == nullptr || to.incarnation != incarnation || to.dying) {
        return;
    }
    if (to.paused) {
        to.backlog.push_back([this, &to, incarnation, reply] { replyKv(to, incarnation, reply); });
        return;
    }
    if (reply.event && parted_ && to.dataCentre != 0) {
        reply = kvReply(reply.id, KvStatus::Unavailable); // the watch's connection breaks
    }
    const Now now = nowOf(to);
    Process &process = *to.process;
    if (process.writer) {
        process.writer->onReply(reply, now);
    } else if (!process.spread->onReply(reply, now)) {
        if (process.sidecar) {
            process.sidecar->onKvReply(reply, now);
        } else if (!process.lease->onReply(reply, now)) {
            process.slots->onReply(reply, now);
        }
    }
    collect(to);
}

// ---- endpoint

void World::sendOrder(Node &from, const SendOrder &order)
{
    if (from.paused || from.dying) {
        from.backlog.push_back([this, &from, order] { sendOrder(from, order); });
        return;
    }
    trace(from.name + " -> engine " + std::string(toString(order.kind)) + " " + order.which.text());
    const Fate fate = pass(stepOf(order.kind), from);
    if (from.paused || from.dying) {
        sendOrder(from, order);
        return;
    }
    const bool replies = !fate.lost && !fate.replyLost && fate.delay <= hop * 10;
    if (!replies) {
        post(from.name, orderPatience, [this, &from, order] {
            from.process->sidecar->onOrderDone(order.order, OrderOutcome::Unknown, nowOf(from));
        });
    }
    if (fate.lost) {
        return;
    }
    const Duration takes = order.kind == OrderKind::Load ? loadTime : hop;
    const Duration effect = std::min(takes + fate.delay, Duration(Milliseconds(2900))); // within the order's timeout
    const auto engine = from.endpoint.incarnation;
    at(effect, [this, &from, order, replies, engine] {
        if (from.endpoint.incarnation != engine) { // it went to an engine process that is gone
            post(from.name, hop, [this, &from, order] {
                from.process->sidecar->onOrderDone(order.order, OrderOutcome::Unknown, nowOf(from));
            });
            return;
        }
        const auto list = from.endpoint.list(runs_);
        const auto outcome = order.kind == OrderKind::List ? OrderOutcome::Done : from.endpoint.apply(order, runs_);
        if (!replies) {
            return;
        }
        post(from.name, hop, [this, &from, order, list, outcome] {
            if (order.kind == OrderKind::List) {
                from.process->sidecar->onEngineList(order.order, list, nowOf(from));
            } else {
                from.process->sidecar->onOrderDone(order.order, outcome, nowOf(from));
            }
        });
    });
}

void World::start(Node &from, const StartExecution &begin, TimePoint decided)
{
    if (from.paused || from.dying) { // decided, but the process is paused before the send
        from.backlog.push_back([this, &from, begin, decided] { start(from, begin, decided); });
        return;
    }
    const Fate fate = pass(Step::CallToEndpoint, from);
    if (from.paused || from.dying) {
        start(from, begin, decided);
        return;
    }
    auto &traffic = from.process->traffic[begin.execution.value];
    traffic.listeners.emplace_back(peerNames_.at(begin.to.value - 1), begin.request.id());
    const auto handle = begin.execution.value;
    const std::string name = from.name;
    if (time_ >= begin.sendBefore) {
        endTraffic(name, handle, CallOutcome::Failed, FailureReason::EndpointUnreachable);
        return;
    }
    if (fate.lost) { // the endpoint refuses the connection
        post(name, hop, [this, name, handle] {
            endTraffic(name, handle, CallOutcome::Failed, FailureReason::EndpointUnreachable);
        });
        return;
    }
    if (fate.replyLost) {
        post(name, hop * 5,
             [this, name, handle] { endTraffic(name, handle, CallOutcome::Unknown, FailureReason::EndpointCut); });
    }
    const auto incarnation = from.incarnation;
    const auto engine = from.endpoint.incarnation;
    at(hop + fate.delay, [this, &from, begin, decided, incarnation, engine, cut = fate.replyLost] {
        // The connection of a process that has ended is closed before the endpoint reads from it. So is one that was
        // given up by a cancel, and one to an endpoint process that has ended: its bytes reach no later process.
        const bool senderLives = from.incarnation == incarnation && from.process != nullptr && !from.dying;
        const bool open = senderLives && from.process->traffic.contains(begin.execution.value);
        if (open && from.endpoint.incarnation == engine) {
            runAtEndpoint(from.name, begin, decided, cut);
        }
    });
}

void World::runAtEndpoint(const std::string &sidecar, const StartExecution &begin, TimePoint decided, bool cut)
{
    Node &at = node(sidecar);
    const AdapterVersion which{begin.request.adapter(), begin.request.version()};
    const bool justRestarted = time_ - at.endpoint.restartedAt < noticeTime;
    if (!which.empty() && !at.endpoint.loaded.contains(which) && justRestarted) {
        // An engine knows no such model and says so; nothing runs. Later the sidecar has to know better.
        post(sidecar, hop, [this, sidecar, handle = begin.execution.value] {
            endTraffic(sidecar, handle, CallOutcome::Failed, FailureReason::EndpointError);
        });
        return;
    }
    Run run;
    run.id = runs_.size() + 1;
    run.endpoint = sidecar;
    run.body = begin.request.body();
    run.attempt = begin.request.headers().empty() ? "" : begin.request.headers(0).value();
    run.key = begin.request.key();
    run.route = begin.request.route();
    run.which = which;
    run.stream = begin.request.stream();
    run.decided = decided;
    run.engine = at.endpoint.incarnation;
    runs_.push_back(run);
    checkRun(run, at, begin);
    auto &traffic = at.process->traffic[begin.execution.value];
    traffic.run = cut ? 0 : run.id;
    partFromEndpoint(sidecar, begin.execution.value, run.id, 0);
}

/// The endpoint produces one part after another, whatever has become of the connection.
void World::partFromEndpoint(const std::string &sidecar, std::uint64_t execution, std::uint64_t run,
                             std::uint32_t number)
{
    at(step, [this, sidecar, execution, run, number] {
        Run &source = runs_[run - 1];
        if (!source.running) {
            return;
        }
        const bool last = number + 1 == source.parts();
        source.running = !last;
        const Fate fate = pass(last ? Step::EndpointAnswer : Step::EndpointFirstByte, node(sidecar));
        const bool cut = fate.lost || fate.replyLost;
        const std::string data = source.part(number);
        // One connection carries the parts: a delay holds back all that follows.
        source.arrivesAt = std::max(source.arrivesAt, time_ + hop + fate.delay);
        post(sidecar, source.arrivesAt - time_, [this, sidecar, execution, run, data, last, cut] {
            Node &to = node(sidecar);
            const auto traffic = to.process->traffic.find(execution);
            if (traffic == to.process->traffic.end() || traffic->second.run != run) {
                return;
            }
            if (cut) {
                endTraffic(sidecar, execution, CallOutcome::Unknown, FailureReason::EndpointCut);
                return;
            }
            if (traffic->second.frames.empty()) {
                to.process->sidecar->onExecutionStarted(ExecutionHandle{execution}, nowOf(to));
            }
            frame(to, traffic->second, data);
            if (last) {
                endTraffic(sidecar, execution, CallOutcome::Complete, FailureReason::None);
            }
        });
        if (!last) {
            partFromEndpoint(sidecar, execution, run, number + 1);
        }
    });
}

void World::frame(Node &from, Traffic &traffic, const std::string &data)
{
    traffic.frames.push_back(data);
    for (const auto &[to, id] : traffic.listeners) {
        wire::Envelope message;
        auto &out = *message.mutable_call_frame();
        *out.mutable_id() = id;
        out.set_sequence(static_cast<std::uint32_t>(traffic.frames.size() - 1));
        out.set_status(traffic.frames.size() == 1 ? 200 : 0);
        out.set_data(data);
        link(from, to, std::move(message));
    }
}

void World::sendFrames(Node &from, const Traffic &traffic, const std::string &to, const wire::AttemptId &id)
{
    Traffic replayed;
    replayed.listeners.emplace_back(to, id);
    for (const auto &data : traffic.frames) {
        frame(from, replayed, data);
    }
}

void World::endTraffic(const std::string &sidecar, std::uint64_t execution, CallOutcome outcome, FailureReason failure)
{
    Node &from = node(sidecar);
    auto ended = from.process->traffic.extract(execution);
    if (ended.empty()) {
        return;
    }
    Digest digest;
    KeptAnswer answer{outcome, failure, 200, {}, ""};
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
        link(from, to, std::move(message));
    }
    from.process->sidecar->onExecutionEnded(ExecutionHandle{execution}, std::move(answer), 1, nowOf(from));
}

void World::cancel(Node &from, const CancelExecution &cancelled)
{
    const auto traffic = from.process->traffic.find(cancelled.execution.value);
    if (traffic == from.process->traffic.end()) {
        return;
    }
    const auto run = traffic->second.run;
    if (run != 0 && from.endpoint.engine) {
        runs_[run - 1].running = false;
    }
    post(from.name, hop, [this, name = from.name, cancelled] {
        endTraffic(name, cancelled.execution.value, CallOutcome::Cancelled, cancelled.why);
    });
}

void World::replay(Node &from, const ReplayAnswer &again)
{
    const std::string to = peerNames_.at(again.to.value - 1);
    Traffic traffic;
    traffic.listeners.emplace_back(to, again.id);
    frame(from, traffic, again.answer->body);
    Digest digest;
    digest.add(again.answer->body);
    wire::Envelope message;
    auto &out = *message.mutable_call_end();
    *out.mutable_id() = again.id;
    out.set_frames(1);
    out.set_digest(digest.value());
    out.set_outcome(static_cast<std::uint32_t>(again.answer->outcome));
    out.set_replayed(true);
    link(from, to, std::move(message));
}

} // namespace anvilscale::faults

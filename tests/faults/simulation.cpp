// Virtual time, and starting and stopping of simulated processes.
#include "simulation.h"

namespace anvilscale::faults {

namespace {

constexpr std::int64_t wallStart = 1'764'700'000'000;
constexpr std::size_t maxSeenKeys = 4; // small enough that the table of seen keys fills up during the calls
constexpr Duration vmListInterval = Milliseconds(500);
constexpr Duration warmUpTime = Seconds(8);
constexpr Duration faultTime = Seconds(16);
constexpr Duration recoveryTime = Seconds(14);
constexpr Duration probeTime = Seconds(6);

Timing shortTiming()
{
    Timing timing;
    timing.heartbeat = Milliseconds(200);
    timing.suspect = Seconds(1);
    timing.lease = Seconds(4);
    timing.leaseMargin = Seconds(1);
    timing.vmList = vmListInterval;
    timing.configPoll = Seconds(1);
    return timing;
}

config::Change parseKnownRecord(const std::string &json)
{
    return *parseRecord(json);
}

} // namespace

Simulation::Simulation(Protocol protocol, std::vector<Injection> injections, AllSafeguards safeguards,
                       std::uint64_t seed)
    : protocol_(protocol)
    , injections_(std::move(injections))
    , safeguards_(safeguards)
    , random_(seed)
{
    const auto add = [this](const char *name, NodeKind kind, int dataCentre, std::int64_t clockOffsetMs) {
        auto fresh = std::make_unique<Node>();
        fresh->name = name;
        fresh->kind = kind;
        fresh->dataCentre = dataCentre;
        fresh->clockOffsetMs = clockOffsetMs;
        fresh->endpoint.name = name;
        fresh->endpoint.isEngine = kind == NodeKind::EngineSidecar;
        fresh->endpoint.checksFence = dataCentre == 0;
        fresh->endpoint.violations = &violations_;
        nodes_[name] = std::move(fresh);
    };
    add("e1", NodeKind::Entry, 0, 0);
    add("e2", NodeKind::Entry, 1, 80);
    add("s1", NodeKind::EngineSidecar, 0, -60);
    add("s2", NodeKind::EngineSidecar, 1, 60);
    add("p1", NodeKind::ServiceSidecar, 0, 100);
    add("p2", NodeKind::ServiceSidecar, 1, -100);
    add("operator", NodeKind::Operator, 0, 0);
    add("rival", NodeKind::Operator, 1, 0);
}

Simulation::~Simulation() = default;

void Simulation::schedule(Duration wait, Action action)
{
    events_[{time_ + wait, ++lastEvent_}] = Event{std::move(action)};
}

/// Runs the action in the node's current process after `wait`; drops it if that process has exited by then.
void Simulation::post(const std::string &name, Duration wait, Action action)
{
    const auto incarnation = node(name).incarnation;
    schedule(wait, [this, name, incarnation, action = std::move(action)] {
        Node &to = node(name);
        if (to.incarnation != incarnation || to.process == nullptr || to.isTerminating) {
            return;
        }
        if (to.isPaused) {
            to.pendingActions.push_back(action);
            return;
        }
        action();
        processActions(to);
    });
}

void Simulation::runUntil(TimePoint end)
{
    for (;;) {
        TimePoint next = events_.empty() ? end : std::min(end, events_.begin()->first.first);
        Node *dueNode = nullptr;
        for (auto &[name, candidate] : nodes_) {
            if (candidate->process == nullptr || candidate->isPaused || candidate->isTerminating) {
                continue;
            }
            const auto timer = candidate->process->timers.next();
            if (timer && std::max(*timer, time_) < next) {
                next = std::max(*timer, time_);
                dueNode = candidate.get();
            }
        }
        if (next >= end) {
            break;
        }
        time_ = std::max(time_, next);
        if (dueNode != nullptr) {
            dueNode->process->timers.advance(time_);
            processActions(*dueNode);
        } else {
            auto event = events_.extract(events_.begin());
            event.mapped().action();
        }
        checkInvariants();
        if (!violations_.empty()) {
            return;
        }
    }
    time_ = end;
}

Now Simulation::nowOf(const Node &clockNode) const
{
    const auto ms = std::chrono::duration_cast<Milliseconds>(time_.time_since_epoch()).count();
    return Now{time_, WallTime{wallStart + ms + clockNode.clockOffsetMs}};
}

Node &Simulation::node(const std::string &name)
{
    return *nodes_.at(name);
}

void Simulation::startProcess(Node &node)
{
    ++node.incarnation;
    node.isPaused = false;
    node.isTerminating = false;
    node.leavingSince.reset();
    node.pendingActions.clear();
    node.process = std::make_unique<Process>();
    if (node.kind == NodeKind::Operator) {
        startOperator(node);
    } else if (node.kind == NodeKind::Entry) {
        startEntry(node);
    } else {
        startSidecar(node);
    }
    processActions(node);
}

void Simulation::createConfigDistributor(Node &node, bool mayWatch)
{
    ConfigDistributor::Init init;
    init.self = node.name;
    init.incarnation = node.incarnation;
    init.dataCentre = std::to_string(node.dataCentre);
    init.mayWatch = mayWatch;
    init.timing = shortTiming();
    init.store = &node.process->store;
    init.timers = &node.process->timers;
    init.seed = random_.next();
    ConfigDistributor::Callbacks callbacks;
    callbacks.submit = [this, &node](const KvRequest &request) { submitKv(node, request); };
    callbacks.sendToPeer = [this, &node](const std::string &to, const wire::Envelope &message) {
        sendMessage(node, to, message);
    };
    callbacks.changed = [&node](Now now) {
        if (node.process->entry) {
            node.process->entry->onConfigChanged(now);
        }
        if (node.process->sidecar) {
            node.process->sidecar->onConfigChanged(now);
        }
    };
    node.process->configDistributor = std::make_unique<ConfigDistributor>(init, callbacks);
}

void Simulation::startEntry(Node &node)
{
    Process &process = *node.process;
    createConfigDistributor(node, true);
    EntryInit init;
    init.name = node.name;
    init.incarnation = node.incarnation;
    init.dataCentre = std::to_string(node.dataCentre);
    init.timing = shortTiming();
    init.config = &process.store;
    init.timers = &process.timers;
    init.seed = random_.next();
    init.safeguards = safeguards_.entry;
    process.entry = std::make_unique<EntryDecisions>(init);
    const auto toService = [this, &node](const KvRequest &request) { submitKv(node, request); };
    LeaseHolder::Init lease{"/anvilscale/scheduler", node.name,       node.incarnation, node.name,
                            shortTiming(),           &process.timers, random_.next(),   safeguards_.state};
    process.lease = std::make_unique<LeaseHolder>(lease, toService);
    LoadScheduler::Init scheduling{node.name, node.incarnation, &process.store, &process.timers, random_.next()};
    process.scheduler = std::make_unique<LoadScheduler>(
        scheduling, [&process](TimePoint now) { return process.lease->mayAct(now); },
        [&process] { return process.lease->fence(); });
    Membership::Init members;
    members.timing = shortTiming();
    members.timers = &process.timers;
    members.safeguards = safeguards_.state;
    process.membership = std::make_unique<Membership>(members, [this, &node, &process](const Member &member) {
        checkMember(node, member);
        process.entry->onMember(member, nowOf(node));
        process.scheduler->onMember(member, nowOf(node));
    });
    KeyWatcher::Init follow{"/anvilscale/slots/", "/anvilscale/slots0", &process.timers, Seconds(2), random_.next()};
    process.slotWatcher =
        std::make_unique<KeyWatcher>(follow, toService, [&process](const std::vector<KvEntry> &entries, bool, Now now) {
            for (const auto &entry : entries) {
                config::SlotTable table;
                if (!entry.isDeleted && table.ParseFromString(entry.value)) {
                    process.entry->onSlotTable(table, now);
                }
            }
        });
    process.configDistributor->start(nowOf(node));
    process.lease->start(nowOf(node));
    process.slotWatcher->start(nowOf(node));
    post(node.name, shortTiming().heartbeat, [this, &node] { sendHello(node); });
}

void Simulation::startSidecar(Node &node)
{
    Process &process = *node.process;
    createConfigDistributor(node, false);
    SidecarInit init;
    init.name = node.name;
    init.incarnation = node.incarnation;
    init.dataCentre = std::to_string(node.dataCentre);
    init.kind = node.endpoint.isEngine ? EndpointKind::Engine : EndpointKind::Service;
    init.baseModel = node.endpoint.isEngine ? "base" : "";
    if (!node.endpoint.isEngine) {
        init.services = {"admission"};
    }
    init.slots = node.endpoint.slots;
    init.batchLimit = 4;
    init.endpointChecksFence = node.endpoint.checksFence;
    init.orderTimeout = Seconds(3);
    init.seenKeys.safeguards = safeguards_.state;
    if (protocol_ == Protocol::NonIdempotentCall) {
        init.seenKeys.keys = maxSeenKeys;
    }
    init.timing = shortTiming();
    init.config = &process.store;
    init.timers = &process.timers;
    init.seed = random_.next();
    init.safeguards = safeguards_.sidecar;
    process.sidecar = std::make_unique<SidecarDecisions>(init);
    process.configDistributor->start(nowOf(node));
    process.sidecar->start(nowOf(node));
}

void Simulation::startOperator(Node &node)
{
    ConfigWriter::Init init;
    init.author = node.name;
    init.store = &node.process->store;
    init.timers = &node.process->timers;
    init.seed = random_.next();
    init.safeguards = safeguards_.state;
    node.process->writer = std::make_unique<ConfigWriter>(
        init, [this, &node](const KvRequest &request) { submitKv(node, request); },
        [this, &node](const ConfigWriter::Result &result, Now) { checkChangeResult(node, result); });
}

void Simulation::processActions(Node &node)
{
    if (node.process == nullptr || node.isTerminating) {
        return;
    }
    Process &process = *node.process;
    if (process.scheduler) {
        const bool mayAct = process.lease->mayAct(time_);
        if (mayAct && !process.isScheduler) {
            process.scheduler->onLeaseAcquired(nowOf(node));
        }
        process.isScheduler = mayAct;
        for (auto &send : process.scheduler->takeActions()) {
            sendMessage(node, send.sidecar, std::move(send.message));
        }
    }
    if (process.entry) {
        for (auto &action : process.entry->takeActions()) {
            std::visit(
                Overloaded{[&](SendToSidecar &send) { sendMessage(node, send.sidecar, std::move(send.message)); },
                           [&](const DeliverFrame &frame) { onFrame(frame); },
                           [&](const FinishCall &done) { onFinished(done); },
                           [&](const FailCall &failed) { onFailed(failed); }},
                action);
        }
    }
    if (!process.sidecar) {
        return;
    }
    for (auto &action : process.sidecar->takeActions()) {
        std::visit(
            Overloaded{[&](SendMessage &send) {
                           sendMessage(node, send.to ? peerNames_.at(send.to.value - 1) : send.member, send.message);
                       },
                       [&](const StartExecution &start) { startExecution(node, start, time_); },
                       [&](const AttachListener &attach) {
                           const std::string to = peerNames_.at(attach.to.value - 1);
                           auto &openExecution = process.openExecutions[attach.execution.value];
                           openExecution.listeners.emplace_back(to, attach.id);
                           resendFrames(node, openExecution, to, attach.id);
                       },
                       [&](const DetachListener &detach) {
                           std::erase_if(process.openExecutions[detach.execution.value].listeners, [&](const auto &l) {
                               return l.second.SerializeAsString() == detach.id.SerializeAsString();
                           });
                       },
                       [&](const CancelExecution &cancelled) { cancelExecution(node, cancelled); },
                       [&](const ReplayAnswer &replayed) { replayAnswer(node, replayed); },
                       [&](const SendOrder &order) { sendOrder(node, order); },
                       [&](const SubmitKv &kv) { submitKv(node, kv.request); },
                       [&](const Drained &) { process.isDrained = true; }},
            action);
    }
}

void Simulation::resume(Node &node)
{
    if (!node.isPaused) {
        return;
    }
    node.isPaused = false;
    node.resumedAt = time_;
    for (const auto &action : std::exchange(node.pendingActions, {})) {
        if (node.process != nullptr && !node.isTerminating) {
            action();
            processActions(node);
        }
    }
}

/// Terminates the process at once. Messages already sent still arrive, and its endpoint keeps running.
void Simulation::kill(Node &node)
{
    if (node.process == nullptr || node.isTerminating) {
        return;
    }
    node.isTerminating = true;
    schedule(Duration(0), [this, &node] {
        terminated_.push_back(std::move(node.process));
        node.pendingActions.clear();
        node.isPaused = false;
        for (auto &call : calls_) {
            for (auto &callerTry : call.tries) {
                if (!callerTry.isEnded && callerTry.entry == node.name && callerTry.incarnation == node.incarnation) {
                    endTry(callerTry, true); // the caller's connection breaks
                }
            }
        }
    });
    for (const auto &[name, other] : nodes_) { // notifies peers of the broken connections
        Node &peer = *other;
        const std::string identity = node.name + "/" + std::to_string(node.incarnation);
        if (peer.process == nullptr || peer.kind == node.kind) {
            continue;
        }
        post(name, Milliseconds(5), [this, &peer, &node, identity] {
            if (peer.process->entry) {
                peer.process->membership->onUnreachable(node.name, nowOf(peer));
                peer.process->configDistributor->onPeerLost(node.name);
                peer.process->entry->onConnectionLost(node.name, nowOf(peer));
            } else if (peer.process->sidecar) {
                peer.process->sidecar->onPeerLost(this->peerHandle(identity), nowOf(peer));
            }
        });
    }
    schedule(restartDelay, [this, &node] { startProcess(node); });
}

void Simulation::publishVmList()
{
    std::vector<VmInfo> list;
    for (const auto &[name, other] : nodes_) {
        if (other->kind == NodeKind::Operator) {
            continue;
        }
        VmInfo vm;
        vm.name = name;
        vm.role = other->kind == NodeKind::Entry ? VmRole::Entry : VmRole::Sidecar;
        vm.state = other->leavingSince ? VmState::Leaving : VmState::Live;
        vm.dataCentre = std::to_string(other->dataCentre);
        vm.address = name;
        list.push_back(vm);
    }
    for (const auto &[name, other] : nodes_) {
        Node &to = *other;
        if (to.process == nullptr) {
            continue;
        }
        post(name, Milliseconds(1), [this, &to, list] { applyVmList(to, list); });
        if (to.kind == NodeKind::EngineSidecar) {
            post(name, Milliseconds(2), [this, &to] {
                EngineReport report;
                report.incarnation = to.endpoint.incarnation;
                to.process->sidecar->onEngineReport(report, nowOf(to));
            });
        }
    }
    schedule(vmListInterval, [this] { publishVmList(); });
}

/// Applies the VM list as the daemon does: an entry through its membership, a sidecar directly.
void Simulation::applyVmList(Node &to, const std::vector<VmInfo> &list)
{
    if (to.process->membership) {
        to.process->membership->onVmList(list, nowOf(to));
    }
    if (!to.process->sidecar) {
        return;
    }
    std::vector<Member> members;
    for (const auto &vm : list) {
        Member member;
        member.name = vm.name;
        member.role = vm.role;
        member.state = vm.state == VmState::Leaving ? MemberState::Leaving : MemberState::Live;
        member.dataCentre = vm.dataCentre;
        members.push_back(std::move(member));
    }
    to.process->sidecar->onMembers(members, nowOf(to));
}

/// Sends a Hello with the configuration revision to every sidecar, and repeats periodically.
void Simulation::sendHello(Node &entry)
{
    for (const auto &[name, other] : nodes_) {
        if (!other->isSidecar()) {
            continue;
        }
        wire::Envelope message;
        auto &hello = *message.mutable_hello();
        hello.mutable_from()->set_name(entry.name);
        hello.mutable_from()->set_incarnation(entry.incarnation);
        hello.set_data_centre(std::to_string(entry.dataCentre));
        hello.set_config_revision(entry.process->store.revision());
        hello.set_config_digest(entry.process->store.digest());
        hello.set_scheduler(entry.process->isScheduler);
        hello.set_scheduler_fence(entry.process->isScheduler ? entry.process->lease->fence() : 0);
        sendMessage(entry, name, std::move(message));
    }
    post(entry.name, shortTiming().heartbeat * 4, [this, &entry] { sendHello(entry); });
}

std::vector<std::string> Simulation::run()
{
    for (auto &[name, other] : nodes_) {
        startProcess(*other);
    }
    publishVmList();
    std::vector<config::Change> changes;
    for (const char *name : {"0", "1", "2", "3"}) {
        changes.push_back(
            parseKnownRecord(R"({"schemaVersion":1,"kind":"adapter","name":"a)" + std::string(name)
                             + R"(","baseModel":"base","versions":["v1","v2"],"weights":"w/{version}"})"));
        changes.push_back(parseKnownRecord(R"({"schemaVersion":2,"name":"r)" + std::string(name)
                                           + R"(","route":{"adapter":"a)" + std::string(name)
                                           + R"(","version":"v1","deadlineMs":4000}})"));
        versionsByRevision_[1]["r" + std::string(name)] = "v1";
    }
    changes.push_back(parseKnownRecord(R"({"schemaVersion":2,"name":"admission","service":{"slots":16,"windowS":60,)"
                                       R"("skewMs":250,"marginMs":600,"deadlineMs":3000}})"));
    Node &first = node("operator");
    first.process->changeId = "first";
    first.process->writer->apply(changes, "first", std::nullopt, nowOf(first));
    runUntil(time_ + warmUpTime);
    isInjecting_ = true;
    startCalls();
    runUntil(time_ + faultTime);
    isInjecting_ = false;
    clearFaults();
    runUntil(time_ + recoveryTime);
    for (int i = 0; i < 4; ++i) {
        const std::string probe = "probe" + std::to_string(i);
        startCall(CallerCall{probe, "", "r" + std::to_string(i), false, false, {}}, i % 2 == 0 ? "e1" : "e2");
    }

    const std::string keyed = protocol_ == Protocol::NonIdempotentCall ? "full-table" : "probe-keyed";
    startCall(CallerCall{keyed, makeKey(nowOf(node("e1")).wall, random_), "", false, false, {}}, "e1");
    runUntil(time_ + probeTime);
    checkFinalState();
    return violations_;
}

std::size_t Simulation::injectedCount() const
{
    return injectedCount_;
}

std::size_t Simulation::runCount() const
{
    return runs_.size();
}

} // namespace anvilscale::faults

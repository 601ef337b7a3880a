// Time, processes and their start.
#include "world.h"

namespace anvilscale::faults {

namespace {

constexpr std::int64_t wallStart = 1'764'700'000'000;
constexpr std::size_t fewKeys = 4; // so that the table of seen keys is full during the calls
constexpr Duration vmListEvery = Milliseconds(500);
constexpr Duration warmUp = Seconds(8);
constexpr Duration faultTime = Seconds(16);
constexpr Duration healTime = Seconds(14);
constexpr Duration probeTime = Seconds(6);

Timing shortTimes()
{
    Timing timing;
    timing.heartbeat = Milliseconds(200);
    timing.suspect = Seconds(1);
    timing.lease = Seconds(4);
    timing.leaseMargin = Seconds(1);
    timing.vmList = vmListEvery;
    timing.configPoll = Seconds(1);
    return timing;
}

config::Change record(const std::string &json)
{
    return *parseRecord(json);
}

} // namespace

World::World(Protocol protocol, std::vector<Injection> injections, AllSafeguards safeguards, std::uint64_t seed)
    : protocol_(protocol)
    , injections_(std::move(injections))
    , safeguards_(safeguards)
    , random_(seed)
{
    const auto add = [this](const char *name, NodeKind kind, int dataCentre, std::int64_t clockError) {
        auto fresh = std::make_unique<Node>();
        fresh->name = name;
        fresh->kind = kind;
        fresh->dataCentre = dataCentre;
        fresh->clockError = clockError;
        fresh->endpoint.name = name;
        fresh->endpoint.engine = kind == NodeKind::EngineSidecar;
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

World::~World() = default;

void World::at(Duration wait, Action action)
{
    events_[{time_ + wait, ++lastEvent_}] = Event{std::move(action)};
}

/// Carries the action out within the process that runs there now, unless that has ended by then.
void World::post(const std::string &name, Duration wait, Action action)
{
    const auto incarnation = node(name).incarnation;
    at(wait, [this, name, incarnation, action = std::move(action)] {
        Node &to = node(name);
        if (to.incarnation != incarnation || to.process == nullptr || to.dying) {
            return;
        }
        if (to.paused) {
            to.backlog.push_back(action);
            return;
        }
        action();
        collect(to);
    });
}

void World::runUntil(TimePoint end)
{
    for (;;) {
        TimePoint next = events_.empty() ? end : std::min(end, events_.begin()->first.first);
        Node *due = nullptr;
        for (auto &[name, candidate] : nodes_) {
            if (candidate->process == nullptr || candidate->paused || candidate->dying) {
                continue;
            }
            const auto timer = candidate->process->timers.next();
            if (timer && std::max(*timer, time_) < next) {
                next = std::max(*timer, time_);
                due = candidate.get();
            }
        }
        if (next >= end) {
            break;
        }
        time_ = std::max(time_, next);
        if (due != nullptr) {
            due->process->timers.advance(time_);
            collect(*due);
        } else {
            auto event = events_.extract(events_.begin());
            event.mapped().action();
        }
        checkAlways();
        if (!violations_.empty()) {
            return;
        }
    }
    time_ = end;
}

Now World::nowOf(const Node &at) const
{
    const auto ms = std::chrono::duration_cast<Milliseconds>(time_.time_since_epoch()).count();
    return Now{time_, WallTime{wallStart + ms + at.clockError}};
}

Node &World::node(const std::string &name)
{
    return *nodes_.at(name);
}

void World::boot(Node &node)
{
    ++node.incarnation;
    node.paused = false;
    node.dying = false;
    node.leavingSince.reset();
    node.backlog.clear();
    node.process = std::make_unique<Process>();
    if (node.kind == NodeKind::Operator) {
        bootOperator(node);
    } else if (node.kind == NodeKind::Entry) {
        bootEntry(node);
    } else {
        bootSidecar(node);
    }
    collect(node);
}

void World::bootSpread(Node &node, bool mayWatch)
{
    ConfigSpread::Init init;
    init.self = node.name;
    init.incarnation = node.incarnation;
    init.dataCentre = std::to_string(node.dataCentre);
    init.mayWatch = mayWatch;
    init.timing = shortTimes();
    init.store = &node.process->store;
    init.timers = &node.process->timers;
    init.seed = random_.next();
    ConfigSpread::Callbacks callbacks;
    callbacks.submit = [this, &node](const KvRequest &request) { submit(node, request); };
    callbacks.sendToPeer = [this, &node](const std::string &to, const wire::Envelope &message) {
        link(node, to, message);
    };
    callbacks.changed = [&node](Now now) {
        if (node.process->entry) {
            node.process->entry->onConfigChanged(now);
        }
        if (node.process->sidecar) {
            node.process->sidecar->onConfigChanged(now);
        }
    };
    node.process->spread = std::make_unique<ConfigSpread>(init, callbacks);
}

void World::bootEntry(Node &node)
{
    Process &process = *node.process;
    bootSpread(node, true);
    EntryInit init;
    init.name = node.name;
    init.incarnation = node.incarnation;
    init.dataCentre = std::to_string(node.dataCentre);
    init.timing = shortTimes();
    init.config = &process.store;
    init.timers = &process.timers;
    init.seed = random_.next();
    init.safeguards = safeguards_.entry;
    process.entry = std::make_unique<EntryDecisions>(init);
    const auto toService = [this, &node](const KvRequest &request) { submit(node, request); };
    LeaseKeeper::Init lease{"/anvilscale/scheduler", node.name,      node.incarnation, node.name, shortTimes(),
                            &process.timers,         random_.next(), safeguards_.state};
    process.lease = std::make_unique<LeaseKeeper>(lease, toService);
    LoadScheduler::Init scheduling{node.name, node.incarnation, &process.store, &process.timers, random_.next()};
    process.scheduler = std::make_unique<LoadScheduler>(
        scheduling, [&process](TimePoint now) { return process.lease->mayAct(now); },
        [&process] { return process.lease->fence(); });
    Membership::Init members;
    members.timing = shortTimes();
    members.timers = &process.timers;
    members.safeguards = safeguards_.state;
    process.membership = std::make_unique<Membership>(members, [this, &node, &process](const Member &member) {
        checkMember(node, member);
        process.entry->onMember(member, nowOf(node));
        process.scheduler->onMember(member, nowOf(node));
    });
    KeyFollower::Init follow{"/anvilscale/slots/", "/anvilscale/slots0", &process.timers, Seconds(2), random_.next()};
    process.slots = std::make_unique<KeyFollower>(follow, toService,
                                                  [&process](const std::vector<KvEntry> &entries, bool, Now now) {
                                                      for (const auto &entry : entries) {
                                                          config::SlotTable table;
                                                          if (!entry.deleted && table.ParseFromString(entry.value)) {
                                                              process.entry->onSlotTable(table, now);
                                                          }
                                                      }
                                                  });
    process.spread->start(nowOf(node));
    process.lease->start(nowOf(node));
    process.slots->start(nowOf(node));
    post(node.name, shortTimes().heartbeat, [this, &node] { sayHello(node); });
}

void World::bootSidecar(Node &node)
{
    Process &process = *node.process;
    bootSpread(node, false);
    SidecarInit init;
    init.name = node.name;
    init.incarnation = node.incarnation;
    init.dataCentre = std::to_string(node.dataCentre);
    init.kind = node.endpoint.engine ? EndpointKind::Engine : EndpointKind::Service;
    init.baseModel = node.endpoint.engine ? "base" : "";
    if (!node.endpoint.engine) {
        init.services = {"admission"};
    }
    init.slots = node.endpoint.slots;
    init.batchLimit = 4;
    init.endpointChecksFence = node.endpoint.checksFence;
    init.orderTimeout = Seconds(3);
    init.seenKeys.safeguards = safeguards_.state;
    if (protocol_ == Protocol::NonIdempotentCall) {
        init.seenKeys.keys = fewKeys;
    }
    init.timing = shortTimes();
    init.config = &process.store;
    init.timers = &process.timers;
    init.seed = random_.next();
    init.safeguards = safeguards_.sidecar;
    process.sidecar = std::make_unique<SidecarDecisions>(init);
    process.spread->start(nowOf(node));
    process.sidecar->start(nowOf(node));
}

void World::bootOperator(Node &node)
{
    ConfigWriter::Init init;
    init.author = node.name;
    init.store = &node.process->store;
    init.timers = &node.process->timers;
    init.seed = random_.next();
    init.safeguards = safeguards_.state;
    node.process->writer = std::make_unique<ConfigWriter>(
        init, [this, &node](const KvRequest &request) { submit(node, request); },
        [this, &node](const ConfigWriter::Result &result, Now) { checkWritten(node, result); });
}

void World::collect(Node &node)
{
    if (node.process == nullptr || node.dying) {
        return;
    }
    Process &process = *node.process;
    if (process.scheduler) {
        const bool may = process.lease->mayAct(time_);
        if (may && !process.scheduling) {
            process.scheduler->onTakeOver(nowOf(node));
        }
        process.scheduling = may;
        for (auto &send : process.scheduler->takeActions()) {
            link(node, send.sidecar, std::move(send.message));
        }
    }
    if (process.entry) {
        for (auto &action : process.entry->takeActions()) {
            std::visit(Overloaded{[&](SendToSidecar &send) { link(node, send.sidecar, std::move(send.message)); },
                                  [&](const DeliverFrame &frame) { deliver(frame); },
                                  [&](const FinishCall &done) { finish(done); },
                                  [&](const FailCall &failed) { fail(failed); }},
                       action);
        }
    }
    if (!process.sidecar) {
        return;
    }
    for (auto &action : process.sidecar->takeActions()) {
        std::visit(Overloaded{[&](SendMessage &send) {
                                  link(node, send.to ? peerNames_.at(send.to.value - 1) : send.member, send.message);
                              },
                              [&](const StartExecution &begin) { start(node, begin, time_); },
                              [&](const AttachListener &attach) {
                                  const std::string to = peerNames_.at(attach.to.value - 1);
                                  auto &traffic = process.traffic[attach.execution.value];
                                  traffic.listeners.emplace_back(to, attach.id);
                                  sendFrames(node, traffic, to, attach.id);
                              },
                              [&](const DetachListener &detach) {
                                  std::erase_if(process.traffic[detach.execution.value].listeners, [&](const auto &l) {
                                      return l.second.SerializeAsString() == detach.id.SerializeAsString();
                                  });
                              },
                              [&](const CancelExecution &cancelled) { cancel(node, cancelled); },
                              [&](const ReplayAnswer &again) { replay(node, again); },
                              [&](const SendOrder &order) { sendOrder(node, order); },
                              [&](const SubmitKv &kv) { submit(node, kv.request); },
                              [&](const Drained &) { process.drained = true; }},
                   action);
    }
}

void World::wake(Node &node)
{
    if (!node.paused) {
        return;
    }
    node.paused = false;
    node.wokeAt = time_;
    for (const auto &action : std::exchange(node.backlog, {})) {
        if (node.process != nullptr && !node.dying) {
            action();
            collect(node);
        }
    }
}

/// The process ends at once. What it had sent is on its way; its endpoint goes on.
void World::kill(Node &node)
{
    if (node.process == nullptr || node.dying) {
        return;
    }
    node.dying = true;
    at(Duration(0), [this, &node] {
        buried_.push_back(std::move(node.process));
        node.backlog.clear();
        node.paused = false;
        for (auto &call : calls_) {
            for (auto &tried : call.tries) {
                if (!tried.ended && tried.entry == node.name && tried.incarnation == node.incarnation) {
                    endTry(tried, true); // the caller sees its connection break
                }
            }
        }
    });
    for (const auto &[name, other] : nodes_) { // connections break
        Node &peer = *other;
        const std::string identity = node.name + "/" + std::to_string(node.incarnation);
        if (peer.process == nullptr || peer.kind == node.kind) {
            continue;
        }
        post(name, Milliseconds(5), [this, &peer, &node, identity] {
            if (peer.process->entry) {
                peer.process->membership->onUnreachable(node.name, nowOf(peer));
                peer.process->spread->onPeerLost(node.name);
                peer.process->entry->onConversationLost(node.name, nowOf(peer));
            } else if (peer.process->sidecar) {
                peer.process->sidecar->onPeerLost(this->peer(identity), nowOf(peer));
            }
        });
    }
    at(restartAfter, [this, &node] { boot(node); });
}

void World::tellVmList()
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
        post(name, Milliseconds(1), [this, &to, list] { takeVmList(to, list); });
        if (to.kind == NodeKind::EngineSidecar) {
            post(name, Milliseconds(2), [this, &to] {
                EngineReport report;
                report.incarnation = to.endpoint.incarnation;
                to.process->sidecar->onEngineReport(report, nowOf(to));
            });
        }
    }
    at(vmListEvery, [this] { tellVmList(); });
}

/// As the daemon does: an entry asks its membership, a sidecar goes by the list.
void World::takeVmList(Node &to, const std::vector<VmInfo> &list)
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

/// A Hello to every sidecar, so often; it also carries the configuration's revision.
void World::sayHello(Node &entry)
{
    for (const auto &[name, other] : nodes_) {
        if (!other->sidecar()) {
            continue;
        }
        wire::Envelope message;
        auto &hello = *message.mutable_hello();
        hello.mutable_from()->set_name(entry.name);
        hello.mutable_from()->set_incarnation(entry.incarnation);
        hello.set_data_centre(std::to_string(entry.dataCentre));
        hello.set_config_revision(entry.process->store.revision());
        hello.set_config_digest(entry.process->store.digest());
        hello.set_scheduler(entry.process->scheduling);
        hello.set_scheduler_fence(entry.process->scheduling ? entry.process->lease->fence() : 0);
        link(entry, name, std::move(message));
    }
    post(entry.name, shortTimes().heartbeat * 4, [this, &entry] { sayHello(entry); });
}

std::vector<std::string> World::play()
{
    for (auto &[name, other] : nodes_) {
        boot(*other);
    }
    tellVmList();
    std::vector<config::Change> changes;
    for (const char *name : {"0", "1", "2", "3"}) {
        changes.push_back(record(R"({"schemaVersion":1,"kind":"adapter","name":"a)" + std::string(name)
                                 + R"(","baseModel":"base","versions":["v1","v2"],"weights":"w/{version}"})"));
        changes.push_back(record(R"({"schemaVersion":2,"name":"r)" + std::string(name) + R"(","route":{"adapter":"a)"
                                 + std::string(name) + R"(","version":"v1","deadlineMs":4000}})"));
        versions_[1]["r" + std::string(name)] = "v1";
    }
    changes.push_back(record(R"({"schemaVersion":2,"name":"admission","service":{"slots":16,"windowS":60,)"
                             R"("skewMs":250,"marginMs":600,"deadlineMs":3000}})"));
    Node &first = node("operator");
    first.process->changeId = "first";
    first.process->writer->apply(changes, "first", std::nullopt, nowOf(first));
    runUntil(time_ + warmUp);
    armed_ = true;
    startCalls();
    runUntil(time_ + faultTime);
    armed_ = false;
    heal();
    runUntil(time_ + healTime);
    for (int i = 0; i < 4; ++i) {
        const std::string probe = "probe" + std::to_string(i);
        call(CallerCall{probe, "", "r" + std::to_string(i), false, false, {}}, i % 2 == 0 ? "e1" : "e2");
    }

    const std::string keyed = protocol_ == Protocol::NonIdempotentCall ? "full-table" : "probe-keyed";
    call(CallerCall{keyed, makeKey(nowOf(node("e1")).wall, random_), "", false, false, {}}, "e1");
    runUntil(time_ + probeTime);
    checkEnd();
    return violations_;
}

std::size_t World::reached() const
{
    return reached_;
}

std::size_t World::runs() const
{
    return runs_.size();
}

} // namespace anvilscale::faults

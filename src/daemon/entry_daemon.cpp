// Set-up of an entry, and the way of calls and messages through it.
#include "entry_daemon.h"

#include "caller_reply.h"
#include "config.pb.h"
#include "wire.pb.h"

#include <algorithm>
#include <bit>

namespace anvilscale {

namespace {

constexpr int helloHeartbeats = 4; // a hello to each process connected to, at most every so many heartbeats
constexpr double helloBytes = 100.0; // of a Hello in its envelope, at most
constexpr double helloBudget = 1000.0; // bytes a second that hellos may take of an entry's control budget
constexpr auto longestHelloInterval = Seconds(12); // well under the time after which a configuration is stale
// An entry hears all sidecars of its own data centre. Of the others in its region it keeps a sample to spill to: all
// of them at the two-year size would take it twice its control budget.
constexpr std::uint64_t farSidecars = 32;

HttpServerInit httpInit(const settings::Settings &settings)
{
    const auto &entry = settings.entry();
    HttpServerInit init;
    init.address = settings.http().address();
    init.port = static_cast<std::uint16_t>(settings.http().port());
    init.threads = entry.traffic_threads();
    init.headLimit = entry.header_limit_bytes();
    init.bodyLimit = entry.body_limit_bytes();
    init.connectionLimit = entry.connection_limit();
    init.headTimeout = Milliseconds(entry.header_timeout_ms());
    init.bodyTimeout = Milliseconds(entry.body_timeout_ms());
    init.writeTimeout = Milliseconds(entry.write_timeout_ms());
    init.holdBytes = entry.stream_buffer_bytes();
    return init;
}

const std::vector<double> stallBounds{0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
const std::vector<double> fillBounds{0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0};

} // namespace

EntryDaemon::EntryDaemon(const settings::Settings &settings)
    : settings_(settings)
    , incarnation_(newIncarnation())
    , timing_(timingOf(settings))
    , control_([this](Now now) { afterBatch(now); })
    , random_(hash64(settings.name(), incarnation_))
    , stallSeconds_("anvilscale_load_stall_seconds", "time that calls waited for their adapter", stallBounds)
    , stepFill_("anvilscale_step_fill_ratio", "how full engine steps were, as engines report it", fillBounds)
{
}

EntryDaemon::~EntryDaemon()
{
    shutdown();
}

tl::expected<std::unique_ptr<EntryDaemon>, StartError> EntryDaemon::create(const settings::Settings &settings)
{
    std::unique_ptr<EntryDaemon> entry(new EntryDaemon(settings));
    if (auto bound = entry->bindAll(); !bound) {
        return tl::unexpected(bound.error());
    }
    entry->makeDecisions();
    return entry;
}

tl::expected<void, StartError> EntryDaemon::bindAll()
{
    Messenger::Handlers messages;
    messages.fromPeer = [this](PeerHandle peer, wire::Envelope &&message) { onPeerMessage(peer, std::move(message)); };
    messages.peerLost = [this](PeerHandle peer) {
        control_.post(
            [this, peer](Now) { std::erase_if(peers_, [&](const auto &each) { return each.second == peer; }); });
    };
    messages.fromTarget = [this](const std::string &name, wire::Envelope &&message) {
        onTargetMessage(name, std::move(message));
    };
    messages.targetUp = [this](const std::string &name) { control_.post([this, name](Now) { onTargetUp(name); }); };
    messages.targetLost = [this](const std::string &name) {
        control_.post([this, name](Now now) { onTargetLost(name, now); });
    };
    messages.sendFailed = [this](const std::string &name, const wire::AttemptId &id) {
        control_.post([this, name, id](Now now) { decisions_->onSendFailed(name, id, now); });
    };
    auto messenger = Messenger::create(messengerInit(settings_, incarnation_), std::move(messages));
    if (!messenger) {
        return tl::unexpected(startError(StartErrorKind::ControlAddress, "control.port", messenger.error()));
    }
    messenger_ = std::move(*messenger);

    HttpServer::Handlers http;
    http.request = [this](HttpExchange exchange, HttpRequestData request) { onRequest(exchange, std::move(request)); };
    http.gone = [this](HttpExchange exchange, FailureReason why) {
        control_.post([this, exchange, why](Now now) {
            if (why == FailureReason::SlowReader) {
                logEvent(Event::SlowReaderCut, {{"call", exchange.value}});
            }
            decisions_->onCallerGone(CallHandle{exchange.value}, why, now);
        });
    };
    http.taken = [this](HttpExchange exchange, std::uint64_t bytes) {
        control_.post(
            [this, exchange, bytes](Now now) { decisions_->onCallerTook(CallHandle{exchange.value}, bytes, now); });
    };
    http.problem = [](HttpProblem problem) { return problemReply(problem); };
    auto server = HttpServer::create(httpInit(settings_), std::move(http));
    if (!server) {
        return tl::unexpected(startError(StartErrorKind::HttpAddress, "http.port", server.error()));
    }
    http_ = std::move(*server);
    if (auto written = writePortFile(settings_.control(), messenger_->port(), "control.portFile"); !written) {
        return written;
    }
    return writePortFile(settings_.http(), http_->port(), "http.portFile");
}

void EntryDaemon::makeDecisions()
{
    auto &timers = control_.timers();
    const auto &prefix = settings_.platform().prefix();
    kvMux_ = std::make_unique<KvMux>([this](KvRequest request) { gateway_->submit(std::move(request)); });
    membership_ = std::make_unique<Membership>(Membership::Init{timing_, &timers},
                                               [this](const Member &member) { onMember(member); });

    EntryInit entry;
    entry.name = settings_.name();
    entry.incarnation = incarnation_;
    entry.dataCentre = settings_.data_centre();
    entry.region = settings_.region();
    entry.timing = timing_;
    entry.config = &config_;
    entry.timers = &timers;
    entry.seed = random_.next();
    decisions_ = std::make_unique<EntryDecisions>(entry);

    ConfigSpread::Init spread;
    spread.self = settings_.name();
    spread.incarnation = incarnation_;
    spread.dataCentre = settings_.data_centre();
    spread.keyPrefix = prefix;
    spread.mayWatch = true;
    spread.timing = timing_;
    spread.store = &config_;
    spread.timers = &timers;
    spread.seed = random_.next();
    ConfigSpread::Callbacks calls;
    calls.submit = kvMux_->part([this](const KvReply &reply, Now now) { spread_->onReply(reply, now); });
    calls.sendToPeer = [this](const std::string &peer, const wire::Envelope &message) { sendToPeer(peer, message); };
    calls.changed = [this](Now now) { onConfigChanged(now); };
    calls.refused = [](const ConfigError &error, Now) {
        logEvent(Event::ConfigRejected, {{"kind", std::string(toString(error.kind))}, {"path", error.path}});
    };
    spread_ = std::make_unique<ConfigSpread>(spread, std::move(calls));

    slots_ = std::make_unique<SlotTables>(
        SlotTables::Init{prefix, timing_.configPoll, &timers, random_.next()},
        kvMux_->part([this](const KvReply &reply, Now now) { slots_->onReply(reply, now); }),
        [this](const config::SlotTable &table, Now now) { decisions_->onSlotTable(table, now); });

    if (settings_.entry().scheduler_candidate()) {
        LeaseKeeper::Init lease;
        lease.key = prefix + "scheduler";
        lease.holder = settings_.name();
        lease.incarnation = incarnation_;
        lease.address = settings_.control().address() + ":" + std::to_string(messenger_->port());
        lease.timing = timing_;
        lease.timers = &timers;
        lease.seed = random_.next();
        lease_ = std::make_unique<LeaseKeeper>(
            lease, kvMux_->part([this](const KvReply &reply, Now now) { lease_->onReply(reply, now); }));
        LoadScheduler::Init scheduler;
        scheduler.name = settings_.name();
        scheduler.incarnation = incarnation_;
        scheduler.config = &config_;
        scheduler.timers = &timers;
        scheduler.seed = random_.next();
        scheduler_ = std::make_unique<LoadScheduler>(
            scheduler, [this](TimePoint now) { return lease_->mayAct(now); }, [this] { return lease_->fence(); });
    }
}

void EntryDaemon::makePlatform()
{
    gateway_ = std::make_unique<EtcdGateway>(gatewayInit(settings_), [this](KvReply reply) {
        control_.post([this, reply = std::move(reply)](Now now) { kvMux_->onReply(reply, now); });
    });
    vmList_ = std::make_unique<HttpVmList>(vmListInit(settings_), [this](HttpVmList::Result result) {
        control_.post([this, result = std::move(result)](Now now) { onVmList(result, now); });
    });
}

void EntryDaemon::start()
{
    makePlatform();
    control_.post([this](Now now) {
        spread_->start(now);
        slots_->start(now);
        if (lease_) {
            lease_->start(now);
        }
        scheduleHellos(now);
    });
    control_.start();
    messenger_->start();
    vmList_->requestRefresh();
    http_->start();
    logEvent(Event::ProcessStarted, {{"role", std::string("entry")},
                                     {"incarnation", hexText(incarnation_)},
                                     {"control_port", std::uint64_t{messenger_->port()}},
                                     {"http_port", std::uint64_t{http_->port()}}});
}

void EntryDaemon::drain(std::function<void()> done)
{
    draining_ = true;
    ready_ = false;
    logEvent(Event::DrainStarted, {{"role", std::string("entry")}});
    http_->drain([this, done = std::move(done)] {
        logEvent(Event::DrainFinished, {{"role", std::string("entry")}});
        control_.post([this, done](Now now) {
            if (lease_) {
                lease_->stop(now);
            }
            // A moment for the lease to be given back, so that the next holder need not wait for its end.
            control_.timers().subscribe(now.mono + Milliseconds(lease_ ? 200 : 0), [done](TimePoint) { done(); });
        });
    });
}

void EntryDaemon::shutdown()
{
    if (http_) {
        http_->shutdown();
    }
    if (vmList_) {
        vmList_->shutdown();
    }
    if (gateway_) {
        gateway_->shutdown();
    }
    if (messenger_) {
        messenger_->shutdown();
    }
    control_.stop();
}

std::uint16_t EntryDaemon::controlPort() const
{
    return messenger_->port();
}

std::uint16_t EntryDaemon::httpPort() const
{
    return http_->port();
}

// ---- callers

void EntryDaemon::onRequest(HttpExchange exchange, HttpRequestData request)
{
    const CallerApiLimits limits{settings_.entry().json_depth_limit(), settings_.entry().stream_buffer_bytes()};
    auto read = readApiRequest(std::move(request), limits);
    if (auto *reply = std::get_if<HttpReply>(&read)) {
        http_->reply(exchange, std::move(*reply));
        return;
    }
    if (const auto *path = std::get_if<ApiPath>(&read)) {
        control_.post([this, exchange, what = *path](Now now) { onApiPath(exchange, what, now); });
        return;
    }
    control_.post([this, exchange, call = std::move(std::get<CallerRequest>(read))](Now now) mutable {
        onCall(exchange, std::move(call), now);
    });
}

void EntryDaemon::onCall(HttpExchange exchange, CallerRequest request, Now now)
{
    if (spread_->empty()) {
        ownRefusals_.add(RefusalReason::NotConfigured);
        CallError error{Verdict::NotRun, RefusalReason::NotConfigured, FailureReason::None, Seconds(1)};
        http_->reply(exchange, errorReply(error));
        return;
    }
    decisions_->onCall(CallHandle{exchange.value}, std::move(request), now);
}

void EntryDaemon::onApiPath(HttpExchange exchange, ApiPath path, Now now)
{
    switch (path) {
    case ApiPath::Health:
        http_->reply(exchange, jsonReply(200, R"({"healthy":true})"));
        return;
    case ApiPath::Ready:
        http_->reply(exchange, ready_ ? jsonReply(200, R"({"ready":true})") : jsonReply(503, R"({"ready":false})"));
        return;
    case ApiPath::Metrics:
        http_->reply(exchange, HttpReply{200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics(), false});
        return;
    case ApiPath::Models:
        http_->reply(exchange, jsonReply(200, modelList()));
        return;
    case ApiPath::NewKey:
        http_->reply(exchange, jsonReply(200, R"({"key":")" + makeKey(now.wall, random_) + R"("})"));
        return;
    case ApiPath::Count:
        return;
    }
}

const std::string &EntryDaemon::modelList()
{
    if (modelListRevision_ == config_.revision()) {
        return modelList_;
    }
    Poco::JSON::Array data;
    for (const auto &record : config_.records()) {
        if (record.kind() == "route") {
            Poco::JSON::Object route;
            route.set("id", record.name());
            route.set("object", "model");
            route.set("owned_by", "anvilscale");
            data.add(route);
        }
    }
    Poco::JSON::Object root;
    root.set("object", "list");
    root.set("data", data);
    modelList_ = toText(root);
    modelListRevision_ = config_.revision();
    return modelList_;
}

// ---- actions

void EntryDaemon::afterBatch(Now now)
{
    watchLease(now);
    watchStaleness();
    ready_ = !draining_ && !spread_->empty();
    for (auto &action : decisions_->takeActions()) {
        carryOut(action);
    }
    if (scheduler_) {
        for (auto &action : scheduler_->takeActions()) {
            sendToSidecar(action);
        }
    }
}

void EntryDaemon::carryOut(EntryAction &action)
{
    std::visit(Overloaded{
                   [this](SendToSidecar &send) { sendToSidecar(send); },
                   [this](DeliverFrame &frame) {
                       const HttpExchange exchange{frame.call.value};
                       if (frame.begin) {
                           http_->begin(exchange, frame.status, std::move(frame.headers));
                       }
                       if (!frame.data.empty()) {
                           http_->send(exchange, std::move(frame.data));
                       }
                   },
                   [this](FinishCall &finish) { http_->finish(HttpExchange{finish.call.value}); },
                   [this](FailCall &fail) {
                       const bool refused = fail.error.refusal != RefusalReason::None;
                       logEvent(refused ? Event::CallRefused : Event::CallFailed,
                                {{"call", fail.call.value},
                                 {"verdict", std::string(toString(fail.error.verdict))},
                                 {"refusal", std::string(toString(fail.error.refusal))},
                                 {"failure", std::string(toString(fail.error.failure))}});
                       http_->fail(HttpExchange{fail.call.value}, errorReply(fail.error));
                   },
               },
               action);
}

void EntryDaemon::sendToSidecar(SendToSidecar &action)
{
    if (!connect(action.sidecar)) {
        if (action.message.has_call_request()) {
            control_.post([this, name = action.sidecar, id = action.message.call_request().id()](Now now) {
                decisions_->onSendFailed(name, id, now);
            });
        }
        return;
    }
    if (action.message.has_hello() && leaseHeld_) {
        // Every hello of the scheduler says so: a sidecar goes by the last one.
        action.message.mutable_hello()->set_scheduler(true);
        action.message.mutable_hello()->set_scheduler_fence(lease_->fence());
    }
    messenger_->sendTo(action.sidecar, action.message);
}

void EntryDaemon::sendToPeer(const std::string &name, const wire::Envelope &message)
{
    if (const auto found = peers_.find(name); found != peers_.end()) {
        messenger_->sendTo(found->second, message);
        return;
    }
    if (connect(name)) {
        messenger_->sendTo(name, message);
    }
}

// ---- other processes

void EntryDaemon::onTargetMessage(const std::string &name, wire::Envelope &&message)
{
    control_.post([this, name, message = std::move(message)](Now now) { fromTarget(name, message, now); });
}

void EntryDaemon::onPeerMessage(PeerHandle peer, wire::Envelope &&message)
{
    control_.post([this, peer, message = std::move(message)](Now now) { fromPeer(peer, message, now); });
}

void EntryDaemon::fromTarget(const std::string &name, const wire::Envelope &message, Now now)
{
    switch (message.body_case()) {
    case wire::Envelope::kHeartbeat: {
        const auto &heartbeat = message.heartbeat();
        if (heartbeat.from().name() != name) {
            return; // the address is in other hands now; the list of VMs will tell
        }
        membership_->onHeartbeat(heartbeat, now);
        spread_->onPeerRevision(name, heartbeat.config_revision(), heartbeat.config_digest(), now);
        if (heartbeat.endpoint_kind() == toString(EndpointKind::Engine)) {
            stepFill_.record(heartbeat.step_fill_permille() / 1000.0);
        }
        if (scheduler_ && leaseHeld_) {
            scheduler_->onHeartbeat(heartbeat, now);
        }
        decisions_->onMessage(name, message, now);
        return;
    }
    case wire::Envelope::kBeat:
        membership_->onBeat(name, message.beat(), now);
        if (message.beat().step_fill_permille() > 0) { // a plain service and an idle engine make no steps
            stepFill_.record(message.beat().step_fill_permille() / 1000.0);
        }
        decisions_->onMessage(name, message, now);
        return;
    case wire::Envelope::kLoadResult:
        if (scheduler_) {
            scheduler_->onLoadResult(message.load_result(), now);
        }
        return;
    case wire::Envelope::kConfigPush:
        spread_->onPush(message.config_push(), now);
        return;
    case wire::Envelope::kConfigFetch:
        spread_->onFetch(name, message.config_fetch(), now);
        return;
    case wire::Envelope::kHello:
        spread_->onPeerRevision(name, message.hello().config_revision(), message.hello().config_digest(), now);
        return;
    case wire::Envelope::kCallEnd:
        stallSeconds_.record(static_cast<double>(message.call_end().stall_us()) / 1e6);
        decisions_->onMessage(name, message, now);
        return;
    default:
        decisions_->onMessage(name, message, now);
    }
}

void EntryDaemon::fromPeer(PeerHandle peer, const wire::Envelope &message, Now now)
{
    switch (message.body_case()) {
    case wire::Envelope::kHello: {
        const auto &hello = message.hello();
        peers_[hello.from().name()] = peer;
        spread_->onPeerRevision(hello.from().name(), hello.config_revision(), hello.config_digest(), now);
        return;
    }
    case wire::Envelope::kConfigFetch:
        peers_[message.config_fetch().from().name()] = peer;
        spread_->onFetch(message.config_fetch().from().name(), message.config_fetch(), now);
        return;
    case wire::Envelope::kConfigPush:
        spread_->onPush(message.config_push(), now);
        return;
    case wire::Envelope::kDrainOrder:
        membership_->onDrain(message.drain_order(), now);
        return;
    case wire::Envelope::kStatusRequest:
        onStatusRequest(peer, message.status_request(), now);
        return;
    default:
        return;
    }
}

bool EntryDaemon::wants(const Member &member) const
{
    if (member.name == settings_.name() || member.state == MemberState::Gone || member.address.empty()) {
        return false;
    }
    if (member.role == VmRole::Entry) {
        return member.dataCentre == settings_.data_centre();
    }
    if (member.dataCentre == settings_.data_centre() || leaseHeld_) {
        return true;
    }
    return member.region == settings_.region() && inFarSample(member.name);
}

/// Each entry takes another sample, the same as long as the number of sidecars stays about the same.
bool EntryDaemon::inFarSample(const std::string &sidecar) const
{
    const auto others =
        static_cast<std::uint64_t>(std::ranges::count_if(membership_->members(), [this](const Member &member) {
            return member.role == VmRole::Sidecar && member.region == settings_.region()
                   && member.dataCentre != settings_.data_centre();
        }));
    const auto kept = std::bit_ceil(std::max(others, farSidecars)) / std::bit_floor(farSidecars);
    return hash64(sidecar, hash64(settings_.name())) % kept == 0;
}

bool EntryDaemon::connect(const std::string &name)
{
    const auto *member = membership_->find(name);
    if (member == nullptr || member->address.empty() || member->state == MemberState::Gone) {
        return connected_.count(name) != 0;
    }
    auto &address = connected_[name];
    if (address != member->address) {
        address = member->address;
        messenger_->connectTo(name, address);
    }
    return true;
}

void EntryDaemon::onMember(const Member &member)
{
    logEvent(Event::MemberChanged, {{"member", member.name}, {"state", std::string(toString(member.state))}});
    const auto now = readClocks();
    if (member.state == MemberState::Gone) {
        if (connected_.erase(member.name) != 0) {
            messenger_->disconnectFrom(member.name);
        }
    } else if (wants(member)) {
        connect(member.name);
    }
    decisions_->onMember(member, now);
    if (scheduler_) {
        scheduler_->onMember(member, now);
    }
}

void EntryDaemon::onVmList(const HttpVmList::Result &result, Now now)
{
    if (!result) {
        if (!std::exchange(vmListDown_, true)) {
            logEvent(Event::VmListDown, {{"error", std::string(toString(result.error()))}});
        }
        return;
    }
    vmListDown_ = false;
    membership_->onVmList(*result, now);
}

void EntryDaemon::onTargetUp(const std::string &name)
{
    sayHello(name, true);
}

void EntryDaemon::onTargetLost(const std::string &name, Now now)
{
    logEvent(Event::PeerLost, {{"peer", name}});
    membership_->onUnreachable(name, now);
    spread_->onPeerLost(name);
    decisions_->onConversationLost(name, now);
}

void EntryDaemon::sayHello(const std::string &name, bool wantFull)
{
    SendToSidecar action{name, makeHello(settings_.name(), incarnation_, settings_.data_centre(), config_)};
    action.message.mutable_hello()->set_want_full(wantFull);
    sendToSidecar(action);
}

void EntryDaemon::scheduleHellos(Now now)
{
    const auto byBudget = Duration(static_cast<Duration::rep>(1e6 * helloBytes * connected_.size() / helloBudget));
    const auto span = std::clamp<Duration>(byBudget, timing_.heartbeat * helloHeartbeats, longestHelloInterval);
    const auto interval = random_.jitter(span);
    control_.timers().subscribe(now.mono + interval, [this](TimePoint at) {
        for (const auto &[name, address] : connected_) {
            sayHello(name, false);
        }
        scheduleHellos(Now{at, {}});
    });
}

void EntryDaemon::onConfigChanged(Now now)
{
    logEvent(Event::ConfigMoved, {{"revision", config_.revision()}});
    decisions_->onConfigChanged(now);
    for (const auto &[name, address] : connected_) {
        sayHello(name, false);
    }
}

void EntryDaemon::watchLease(Now now)
{
    if (!lease_) {
        return;
    }
    const bool held = lease_->state() == LeaseState::Held;
    if (held == leaseHeld_) {
        return;
    }
    leaseHeld_ = held;
    logEvent(held ? Event::SchedulerTaken : Event::SchedulerLost, {{"fence", lease_->fence()}});
    if (held) {
        scheduler_->onTakeOver(now);
        for (const auto &member : membership_->members()) {
            if (wants(member)) {
                connect(member.name);
            }
        }
    }
    for (const auto &[name, address] : connected_) {
        sayHello(name, held);
    }
}

void EntryDaemon::watchStaleness()
{
    if (spread_->stale() != stale_) {
        stale_ = spread_->stale();
        logEvent(stale_ ? Event::ConfigStale : Event::ConfigFresh, {{"revision", config_.revision()}});
    }
}

} // namespace anvilscale

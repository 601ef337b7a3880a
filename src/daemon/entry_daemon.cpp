// EntryDaemon: construction, HTTP requests and actions of the decisions.
#include "entry_daemon.h"

#include "caller_reply.h"
#include "config.pb.h"
#include "wire.pb.h"

#include <algorithm>

namespace anvilscale {

namespace {

HttpServerInit httpInit(const settings::Settings &settings)
{
    const auto &entry = settings.entry();
    HttpServerInit init;
    init.address = settings.http().address();
    init.port = static_cast<std::uint16_t>(settings.http().port());
    init.threads = entry.traffic_threads();
    init.maxHeadBytes = entry.header_limit_bytes();
    init.maxBodyBytes = entry.body_limit_bytes();
    init.maxConnections = entry.connection_limit();
    init.headTimeout = Milliseconds(entry.header_timeout_ms());
    init.bodyTimeout = Milliseconds(entry.body_timeout_ms());
    init.writeTimeout = Milliseconds(entry.write_timeout_ms());
    init.maxHeldBytes = entry.stream_buffer_bytes();
    return init;
}

const std::vector<double> stallBucketBounds{0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
const std::vector<double> fillBounds{0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0};

} // namespace

EntryDaemon::EntryDaemon(const settings::Settings &settings)
    : settings_(settings)
    , incarnation_(newIncarnation())
    , timing_(readTiming(settings))
    , control_([this](Now now) { afterBatch(now); })
    , random_(hash64(settings.name(), incarnation_))
    , stallSeconds_("anvilscale_load_stall_seconds", "time that calls waited for their adapter", stallBucketBounds)
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
    if (auto bound = entry->bindSockets(); !bound) {
        return tl::unexpected(bound.error());
    }
    entry->createDecisions();
    return entry;
}

tl::expected<void, StartError> EntryDaemon::bindSockets()
{
    Messenger::Handlers messengerHandlers;
    messengerHandlers.fromPeer = [this](PeerHandle peer, wire::Envelope &&message) {
        onPeerMessage(peer, std::move(message));
    };
    messengerHandlers.peerLost = [this](PeerHandle peer) {
        control_.post(
            [this, peer](Now) { std::erase_if(peers_, [&](const auto &item) { return item.second == peer; }); });
    };
    messengerHandlers.fromTarget = [this](const std::string &name, wire::Envelope &&message) {
        onTargetMessage(name, std::move(message));
    };
    messengerHandlers.targetUp = [this](const std::string &name) {
        control_.post([this, name](Now) { onTargetUp(name); });
    };
    messengerHandlers.targetLost = [this](const std::string &name) {
        control_.post([this, name](Now now) { onTargetLost(name, now); });
    };
    messengerHandlers.sendFailed = [this](const std::string &name, const wire::AttemptId &id) {
        control_.post([this, name, id](Now now) { decisions_->onSendFailed(name, id, now); });
    };
    auto messenger = Messenger::create(messengerInit(settings_, incarnation_), std::move(messengerHandlers));
    if (!messenger) {
        return tl::unexpected(makeStartError(StartErrorKind::ControlAddress, "control.port", messenger.error()));
    }
    messenger_ = std::move(*messenger);

    HttpServer::Handlers httpHandlers;
    httpHandlers.request = [this](HttpExchange exchange, HttpRequestData request) {
        onRequest(exchange, std::move(request));
    };
    httpHandlers.disconnected = [this](HttpExchange exchange, FailureReason reason) {
        control_.post([this, exchange, reason](Now now) {
            if (reason == FailureReason::SlowReader) {
                logEvent(Event::SlowReaderCut, {{"call", exchange.value}});
            }
            decisions_->onCallerGone(CallHandle{exchange.value}, reason, now);
        });
    };
    httpHandlers.bytesSent = [this](HttpExchange exchange, std::uint64_t bytes) {
        control_.post(
            [this, exchange, bytes](Now now) { decisions_->onCallerRead(CallHandle{exchange.value}, bytes, now); });
    };
    httpHandlers.errorReply = [](HttpError reason) { return httpErrorReply(reason); };
    auto server = HttpServer::create(httpInit(settings_), std::move(httpHandlers));
    if (!server) {
        return tl::unexpected(makeStartError(StartErrorKind::HttpAddress, "http.port", server.error()));
    }
    http_ = std::move(*server);
    if (auto written = writePortFile(settings_.control(), messenger_->port(), "control.portFile"); !written) {
        return written;
    }
    return writePortFile(settings_.http(), http_->port(), "http.portFile");
}

void EntryDaemon::createDecisions()
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

    ConfigDistributor::Init distributorInit;
    distributorInit.self = settings_.name();
    distributorInit.incarnation = incarnation_;
    distributorInit.dataCentre = settings_.data_centre();
    distributorInit.keyPrefix = prefix;
    distributorInit.mayWatch = true;
    distributorInit.timing = timing_;
    distributorInit.store = &config_;
    distributorInit.timers = &timers;
    distributorInit.seed = random_.next();
    ConfigDistributor::Callbacks callbacks;
    callbacks.submit =
        kvMux_->addClient([this](const KvReply &reply, Now now) { configDistributor_->onReply(reply, now); });
    callbacks.sendToPeer = [this](const std::string &peer, const wire::Envelope &message) {
        sendToPeer(peer, message);
    };
    callbacks.changed = [this](Now now) { onConfigChanged(now); };
    callbacks.rejected = [](const ConfigError &error, Now) {
        logEvent(Event::ConfigRejected, {{"kind", std::string(toString(error.kind))}, {"path", error.path}});
    };
    configDistributor_ = std::make_unique<ConfigDistributor>(distributorInit, std::move(callbacks));

    slotTables_ = std::make_unique<SlotTables>(
        SlotTables::Init{prefix, timing_.configPoll, &timers, random_.next()},
        kvMux_->addClient([this](const KvReply &reply, Now now) { slotTables_->onReply(reply, now); }),
        [this](const config::SlotTable &table, Now now) { decisions_->onSlotTable(table, now); });

    if (settings_.entry().scheduler_candidate()) {
        LeaseHolder::Init lease;
        lease.key = prefix + "scheduler";
        lease.holder = settings_.name();
        lease.incarnation = incarnation_;
        lease.address = settings_.control().address() + ":" + std::to_string(messenger_->port());
        lease.timing = timing_;
        lease.timers = &timers;
        lease.seed = random_.next();
        lease_ = std::make_unique<LeaseHolder>(
            lease, kvMux_->addClient([this](const KvReply &reply, Now now) { lease_->onReply(reply, now); }));
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

void EntryDaemon::createPlatform()
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
    createPlatform();
    control_.post([this](Now now) {
        configDistributor_->start(now);
        slotTables_->start(now);
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
    isDraining_ = true;
    isReady_ = false;
    logEvent(Event::DrainStarted, {{"role", std::string("entry")}});
    http_->drain([this, done = std::move(done)] {
        logEvent(Event::DrainFinished, {{"role", std::string("entry")}});
        control_.post([this, done](Now now) {
            if (lease_) {
                lease_->stop(now);
            }
            // Leaves time to release the lease, so that the next holder need not wait for its expiry.
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
    auto parsed = readApiRequest(std::move(request), limits);
    if (auto *reply = std::get_if<HttpReply>(&parsed)) {
        http_->reply(exchange, std::move(*reply));
        return;
    }
    if (const auto *path = std::get_if<ApiPath>(&parsed)) {
        control_.post([this, exchange, apiPath = *path](Now now) { onApiPath(exchange, apiPath, now); });
        return;
    }
    control_.post([this, exchange, call = std::move(std::get<CallerRequest>(parsed))](Now now) mutable {
        onCall(exchange, std::move(call), now);
    });
}

void EntryDaemon::onCall(HttpExchange exchange, CallerRequest request, Now now)
{
    if (configDistributor_->isEmpty()) {
        localRefusals_.add(RefusalReason::NotConfigured);
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
        http_->reply(exchange, isReady_ ? jsonReply(200, R"({"ready":true})") : jsonReply(503, R"({"ready":false})"));
        return;
    case ApiPath::Metrics:
        http_->reply(exchange, HttpReply{200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics(), false});
        return;
    case ApiPath::Models:
        http_->reply(exchange, jsonReply(200, modelListJson()));
        return;
    case ApiPath::NewKey:
        http_->reply(exchange, jsonReply(200, R"({"key":")" + makeKey(now.wall, random_) + R"("})"));
        return;
    case ApiPath::Count:
        return;
    }
}

const std::string &EntryDaemon::modelListJson()
{
    if (modelListRevision_ == config_.revision()) {
        return modelListJson_;
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
    modelListJson_ = toJsonText(root);
    modelListRevision_ = config_.revision();
    return modelListJson_;
}

// ---- actions

void EntryDaemon::afterBatch(Now now)
{
    checkLease(now);
    checkStaleness();
    isReady_ = !isDraining_ && !configDistributor_->isEmpty();
    for (auto &action : decisions_->takeActions()) {
        performAction(action);
    }
    if (scheduler_) {
        for (auto &action : scheduler_->takeActions()) {
            sendToSidecar(action);
        }
    }
}

void EntryDaemon::performAction(EntryAction &action)
{
    std::visit(Overloaded{
                   [this](SendToSidecar &send) { sendToSidecar(send); },
                   [this](DeliverFrame &frame) {
                       const HttpExchange exchange{frame.call.value};
                       if (frame.isFirst) {
                           http_->begin(exchange, frame.status, std::move(frame.headers));
                       }
                       if (!frame.data.empty()) {
                           http_->send(exchange, std::move(frame.data));
                       }
                   },
                   [this](FinishCall &finish) { http_->finish(HttpExchange{finish.call.value}); },
                   [this](FailCall &fail) {
                       const bool isRefused = fail.error.refusal != RefusalReason::None;
                       logEvent(isRefused ? Event::CallRefused : Event::CallFailed,
                                {{"call", fail.call.value},
                                 {"verdict", std::string(toString(fail.error.verdict))},
                                 {"refusal", std::string(toString(fail.error.refusal))},
                                 {"failure", std::string(toString(fail.error.failure))}});
                       http_->fail(HttpExchange{fail.call.value}, errorReply(fail.error));
                   },
               },
               action);
}

void EntryDaemon::onConfigChanged(Now now)
{
    logEvent(Event::ConfigMoved, {{"revision", config_.revision()}});
    decisions_->onConfigChanged(now);
    for (const auto &[name, address] : connectedAddresses_) {
        sendHello(name, false);
    }
}

void EntryDaemon::checkLease(Now now)
{
    if (!lease_) {
        return;
    }
    const bool isHeld = lease_->state() == LeaseState::Held;
    if (isHeld == isLeaseHeld_) {
        return;
    }
    isLeaseHeld_ = isHeld;
    logEvent(isHeld ? Event::SchedulerTaken : Event::SchedulerLost, {{"fence", lease_->fence()}});
    if (isHeld) {
        scheduler_->onLeaseAcquired(now);
        for (const auto &member : membership_->members()) {
            if (shouldConnect(member)) {
                connect(member.name);
            }
        }
    }
    for (const auto &[name, address] : connectedAddresses_) {
        sendHello(name, isHeld);
    }
}

void EntryDaemon::checkStaleness()
{
    if (configDistributor_->isStale() != isStale_) {
        isStale_ = configDistributor_->isStale();
        logEvent(isStale_ ? Event::ConfigStale : Event::ConfigFresh, {{"revision", config_.revision()}});
    }
}

} // namespace anvilscale

// SidecarDaemon: construction, messages, actions and events.
#include "sidecar_daemon.h"

#include "wire.pb.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

namespace anvilscale {

namespace {

constexpr std::uint32_t maxHttpConnections = 16; // only health checks and metrics are served
constexpr std::uint64_t maxHttpBodyBytes = 4096;
constexpr int lockBacklog = 1;

HttpServerInit httpInit(const settings::Settings &settings)
{
    HttpServerInit init;
    init.address = settings.http().address();
    init.port = static_cast<std::uint16_t>(settings.http().port());
    init.maxBodyBytes = maxHttpBodyBytes;
    init.maxConnections = maxHttpConnections;
    return init;
}

std::vector<Member> toMembers(const std::vector<VmInfo> &list)
{
    std::vector<Member> members;
    for (const auto &vm : list) {
        Member member;
        member.name = vm.name;
        member.role = vm.role;
        member.state = vm.state == VmState::Leaving ? MemberState::Leaving : MemberState::Live;
        member.dataCentre = vm.dataCentre;
        member.region = vm.region;
        member.address = vm.address;
        members.push_back(std::move(member));
    }
    return members;
}

const std::vector<double> fillBounds{0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0};

} // namespace

SidecarDaemon::SidecarDaemon(const settings::Settings &settings)
    : settings_(settings)
    , incarnation_(newIncarnation())
    , timing_(readTiming(settings))
    , control_([this](Now now) { afterBatch(now); })
    , random_(hash64(settings.name(), incarnation_))
    , stepFill_("anvilscale_step_fill_ratio", "how full engine steps were, as the engine reports it", fillBounds)
{
}

SidecarDaemon::~SidecarDaemon()
{
    shutdown();
}

tl::expected<std::unique_ptr<SidecarDaemon>, StartError> SidecarDaemon::create(const settings::Settings &settings)
{
    std::unique_ptr<SidecarDaemon> sidecar(new SidecarDaemon(settings));
    // The lock comes first: a second sidecar must not open any port.
    auto result = sidecar->acquireLock();
    if (result) {
        result = sidecar->createEndpoint();
    }
    if (result) {
        result = sidecar->bindSockets();
    }
    if (!result) {
        return tl::unexpected(result.error());
    }
    sidecar->createDecisions();
    return sidecar;
}

// Prevents two sidecars from serving one endpoint: each would evict adapters that the other uses and repeat calls that
// must run once. A bound port is used instead of a lease because a paused process keeps it.
tl::expected<void, StartError> SidecarDaemon::acquireLock()
{
    const auto &lock = settings_.sidecar().lock();
    if (lock.port() == 0) {
        return {};
    }
    try {
        // The last argument disables SO_REUSEPORT, which would let several processes bind the port.
        lockSocket_.bind(Poco::Net::SocketAddress(lock.address(), static_cast<Poco::UInt16>(lock.port())), true, false);
        lockSocket_.listen(lockBacklog);
    } catch (const Poco::Exception &error) {
        return tl::unexpected(StartError{StartErrorKind::LockHeld, "sidecar.lock.port", error.displayText()});
    }
    return {};
}

tl::expected<void, StartError> SidecarDaemon::createEndpoint()
{
    const auto &sidecar = settings_.sidecar();
    const auto address = parseEndpointUrl(sidecar.endpoint());
    if (!address) {
        return tl::unexpected(
            StartError{StartErrorKind::Endpoint, "sidecar.endpoint", std::string(toString(address.error()))});
    }
    EndpointInit init;
    init.address = *address;
    init.kind = fromString<EndpointKind>(sidecar.endpoint_kind()).value_or(EndpointKind::Engine);
    init.batchLimit = sidecar.batch_limit();
    init.reportInterval = timing_.heartbeat;
    Endpoint::Handlers handlers;
    handlers.send = [this](PeerHandle peer, const wire::Envelope &message) { messenger_->sendTo(peer, message); };
    handlers.onStarted = [this](ExecutionHandle execution) {
        control_.post([this, execution](Now now) { decisions_->onExecutionStarted(execution, now); });
    };
    handlers.onEnded = [this](ExecutionHandle execution, CachedAnswer answer, std::uint32_t tokens) {
        control_.post([this, execution, answer = std::move(answer), tokens](Now now) mutable {
            decisions_->onExecutionEnded(execution, std::move(answer), tokens, now);
            endedExecutions_.push_back(execution);
        });
    };
    handlers.onOrderDone = [this](OrderHandle order, OrderOutcome outcome) {
        control_.post([this, order, outcome](Now now) { decisions_->onOrderDone(order, outcome, now); });
    };
    handlers.onList = [this](OrderHandle order, EngineList list) {
        control_.post([this, order, list = std::move(list)](Now now) { decisions_->onEngineList(order, list, now); });
    };
    handlers.onReport = [this](EngineReport report) {
        control_.post([this, report = std::move(report)](Now now) { onReport(report, now); });
    };
    handlers.onUnreachable = [this] { control_.post([this](Now now) { onEndpointLost(now); }); };
    endpoint_ = std::make_unique<Endpoint>(init, std::move(handlers));
    return {};
}

tl::expected<void, StartError> SidecarDaemon::bindSockets()
{
    Messenger::Handlers messengerHandlers;
    messengerHandlers.fromPeer = [this](PeerHandle peer, wire::Envelope &&message) {
        onPeerMessage(peer, std::move(message));
    };
    messengerHandlers.peerLost = [this](PeerHandle peer) {
        control_.post([this, peer](Now now) { onPeerLost(peer, now); });
    };
    messengerHandlers.fromTarget = [](const std::string &, wire::Envelope &&) {};
    messengerHandlers.targetUp = [](const std::string &) {};
    messengerHandlers.targetLost = [](const std::string &) {};
    messengerHandlers.sendFailed = [](const std::string &, const wire::AttemptId &) {};
    auto messenger = Messenger::create(messengerInit(settings_, incarnation_), std::move(messengerHandlers));
    if (!messenger) {
        return tl::unexpected(makeStartError(StartErrorKind::ControlAddress, "control.port", messenger.error()));
    }
    messenger_ = std::move(*messenger);

    HttpServer::Handlers httpHandlers;
    httpHandlers.request = [this](HttpExchange exchange, const HttpRequestData &request) {
        onHttpRequest(exchange, request);
    };
    httpHandlers.disconnected = [](HttpExchange, FailureReason) {};
    httpHandlers.bytesSent = [](HttpExchange, std::uint64_t) {};
    httpHandlers.errorReply = [](HttpError reason) {
        return HttpReply{statusOf(reason), {}, std::string(toString(reason)), true};
    };
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

void SidecarDaemon::createDecisions()
{
    auto &timers = control_.timers();
    const auto &configured = settings_.sidecar();
    const auto &prefix = settings_.platform().prefix();
    kvMux_ = std::make_unique<KvMux>([this](KvRequest request) { gateway_->submit(std::move(request)); });

    SidecarInit init;
    init.name = settings_.name();
    init.incarnation = incarnation_;
    init.dataCentre = settings_.data_centre();
    init.kind = fromString<EndpointKind>(configured.endpoint_kind()).value_or(EndpointKind::Engine);
    init.baseModel = configured.base_model();
    init.services.assign(configured.services().begin(), configured.services().end());
    init.keyPrefix = prefix;
    init.slots = configured.slots();
    init.batchLimit = configured.batch_limit();
    init.endpointChecksFence = configured.endpoint_checks_fence();
    init.orderTimeout = Milliseconds(configured.order_timeout_ms());
    init.seenKeys.keys = configured.seen_key_limit();
    init.seenKeys.answerBytes = configured.answer_memory_bytes();
    init.timing = timing_;
    init.config = &config_;
    init.timers = &timers;
    init.seed = random_.next();
    decisions_ = std::make_unique<SidecarDecisions>(init);
    submitKv_ = kvMux_->addClient([this](const KvReply &reply, Now now) { decisions_->onKvReply(reply, now); });

    ConfigDistributor::Init distributorInit;
    distributorInit.self = settings_.name();
    distributorInit.incarnation = incarnation_;
    distributorInit.dataCentre = settings_.data_centre();
    distributorInit.keyPrefix = prefix;
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
}

void SidecarDaemon::createPlatform()
{
    gateway_ = std::make_unique<EtcdGateway>(gatewayInit(settings_), [this](KvReply reply) {
        control_.post([this, reply = std::move(reply)](Now now) { kvMux_->onReply(reply, now); });
    });
    vmList_ = std::make_unique<HttpVmList>(vmListInit(settings_), [this](HttpVmList::Result result) {
        control_.post([this, result = std::move(result)](Now now) { onVmList(result, now); });
    });
}

void SidecarDaemon::start()
{
    createPlatform();
    control_.post([this](Now now) {
        configDistributor_->start(now);
        decisions_->start(now);
    });
    control_.start();
    endpoint_->startReports();
    messenger_->start();
    vmList_->requestRefresh();
    http_->start();
    logEvent(Event::ProcessStarted, {{"role", std::string("sidecar")},
                                     {"incarnation", hexText(incarnation_)},
                                     {"control_port", std::uint64_t{messenger_->port()}},
                                     {"http_port", std::uint64_t{http_->port()}}});
}

void SidecarDaemon::drain(std::function<void()> done)
{
    setDrainedHandler(std::move(done));
    control_.post([this](Now now) { startDrain(now); });
}

void SidecarDaemon::setDrainedHandler(std::function<void()> done)
{
    control_.post([this, done = std::move(done)](Now) {
        drainedHandler_ = done;
        if (hasDrained_ && drainedHandler_) {
            drainedHandler_();
        }
    });
}

void SidecarDaemon::startDrain(Now now)
{
    isDraining_ = true;
    decisions_->drain(now);
}

void SidecarDaemon::shutdown()
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
    if (endpoint_) {
        endpoint_->shutdown();
    }
    if (messenger_) {
        messenger_->shutdown();
    }
    control_.stop();
}

std::uint16_t SidecarDaemon::controlPort() const
{
    return messenger_->port();
}

std::uint16_t SidecarDaemon::httpPort() const
{
    return http_->port();
}

// ---- messages

void SidecarDaemon::onPeerMessage(PeerHandle peer, wire::Envelope &&message)
{
    if (message.has_call_credit()) {
        endpoint_->credit(peer, message.call_credit());
    }
    if (message.has_call_cancel()) {
        endpoint_->listenerDisconnected(peer, message.call_cancel().id());
    }
    control_.post([this, peer, message = std::move(message)](Now now) { handlePeerMessage(peer, message, now); });
}

void SidecarDaemon::handlePeerMessage(PeerHandle peer, const wire::Envelope &message, Now now)
{
    switch (message.body_case()) {
    case wire::Envelope::kHello: {
        const auto &hello = message.hello();
        peers_[hello.from().name()] = peer;
        configDistributor_->onPeerRevision(hello.from().name(), hello.config_revision(), hello.config_digest(), now);
        decisions_->onMessage(peer, message, now);
        return;
    }
    case wire::Envelope::kConfigFetch:
        peers_[message.config_fetch().from().name()] = peer;
        configDistributor_->onFetch(message.config_fetch().from().name(), message.config_fetch(), now);
        return;
    case wire::Envelope::kConfigPush:
        configDistributor_->onPush(message.config_push(), now);
        return;
    case wire::Envelope::kStatusRequest:
        onStatusRequest(peer, message.status_request());
        return;
    default:
        decisions_->onMessage(peer, message, now);
    }
}

void SidecarDaemon::sendToPeer(const std::string &name, const wire::Envelope &message)
{
    if (const auto found = peers_.find(name); found != peers_.end()) {
        messenger_->sendTo(found->second, message);
    }
}

void SidecarDaemon::sendToMember(const std::string &name, const wire::Envelope &message)
{
    const auto found = addresses_.find(name);
    if (found == addresses_.end()) {
        return; // the caller retries or aborts the slot transfer
    }
    if (connectedSidecars_.insert(name).second) {
        connectMember(*messenger_, name, found->second);
    }
    messenger_->sendTo(name, message);
}

void SidecarDaemon::updateAddresses(const std::vector<VmInfo> &list)
{
    std::map<std::string, std::string> addresses;
    for (const auto &vm : list) {
        if (vm.role == VmRole::Sidecar) {
            addresses[vm.name] = vm.address;
        }
    }
    // The connection to a VM that was replaced or removed is useless.
    std::erase_if(connectedSidecars_, [&](const std::string &name) {
        const auto found = addresses.find(name);
        const bool hasChanged = found == addresses.end() || found->second != addresses_[name];
        if (hasChanged) {
            messenger_->disconnectFrom(name);
        }
        return hasChanged;
    });
    addresses_ = std::move(addresses);
}

void SidecarDaemon::onPeerLost(PeerHandle peer, Now now)
{
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (it->second == peer) {
            logEvent(Event::PeerLost, {{"peer", it->first}});
            configDistributor_->onPeerLost(it->first);
            it = peers_.erase(it);
        } else {
            ++it;
        }
    }
    endpoint_->peerLost(peer);
    decisions_->onPeerLost(peer, now);
}

// ---- actions

void SidecarDaemon::afterBatch(Now now)
{
    checkStaleness(now);
    for (auto &action : decisions_->takeActions()) {
        performAction(action);
    }
    // After the actions, one of which may attach a listener to an execution that has just ended.
    for (const auto execution : std::exchange(endedExecutions_, {})) {
        endpoint_->release(execution);
    }
    if (decisions_->isLeaving() && !std::exchange(isDrainLogged_, true)) {
        isDraining_ = true;
        logEvent(Event::DrainStarted, {{"role", std::string("sidecar")}});
    }
}

void SidecarDaemon::performAction(SidecarAction &action)
{
    std::visit(
        Overloaded{
            [this](SendMessage &send) {
                if (send.message.has_heartbeat()) {
                    send.message.mutable_heartbeat()->set_schema_version(newestSchemaVersion);
                }
                if (!send.member.empty()) {
                    return sendToMember(send.member, send.message);
                }
                messenger_->sendTo(send.to, send.message);
            },
            [this](StartExecution &start) { endpoint_->start(std::move(start)); },
            [this](AttachListener &attach) { endpoint_->attach(std::move(attach)); },
            [this](DetachListener &detach) { endpoint_->detach(std::move(detach)); },
            [this](const CancelExecution &cancel) { endpoint_->cancel(cancel); },
            [this](ReplayAnswer &replay) { endpoint_->replay(std::move(replay)); },
            [this](SendOrder &order) { endpoint_->order(std::move(order)); },
            [this](SubmitKv &submit) { submitKv_(std::move(submit.request)); },
            // Waits until buffered responses are sent: exiting now would truncate the stream of a reader that is slow
            // to grant credit.
            [this](const Drained &) { endpoint_->whenIdle([this] { control_.post([this](Now) { finishDrain(); }); }); },
        },
        action);
}

void SidecarDaemon::finishDrain()
{
    hasDrained_ = true;
    logEvent(Event::DrainFinished, {{"role", std::string("sidecar")}});
    if (drainedHandler_) {
        drainedHandler_();
    }
}

// ---- events

void SidecarDaemon::onVmList(const HttpVmList::Result &result, Now now)
{
    if (!result) {
        if (!std::exchange(isVmListDown_, true)) {
            logEvent(Event::VmListDown, {{"error", std::string(toString(result.error()))}});
        }
        return;
    }
    isVmListDown_ = false;
    updateAddresses(*result);
    decisions_->onMembers(toMembers(*result), now);
    for (const auto &vm : *result) {
        if (vm.name != settings_.name()) {
            continue;
        }
        // The list may be out of date: a leaving state counts only after the list has shown this VM as live, since it
        // may be that of a former VM of the same name.
        wasListedLive_ = wasListedLive_ || vm.state == VmState::Live;
        if (vm.state == VmState::Leaving && wasListedLive_) {
            startDrain(now);
        }
    }
}

void SidecarDaemon::onReport(const EngineReport &report, Now now)
{
    if (std::exchange(isEndpointDown_, false)) {
        logEvent(Event::EndpointBack, {{"incarnation", report.incarnation}});
    }
    if (endpointIncarnation_ != 0 && endpointIncarnation_ != report.incarnation) {
        logEvent(Event::EndpointRestarted, {{"incarnation", report.incarnation}});
    }
    endpointIncarnation_ = report.incarnation;
    stepFill_.record(report.stepFillPermille / 1000.0);
    decisions_->onEngineReport(report, now);
}

void SidecarDaemon::onEndpointLost(Now now)
{
    if (!std::exchange(isEndpointDown_, true)) {
        logEvent(Event::EndpointLost, {{"endpoint", settings_.sidecar().endpoint()}});
    }
    decisions_->onEngineLost(now);
}

void SidecarDaemon::onConfigChanged(Now now)
{
    logEvent(Event::ConfigMoved, {{"revision", config_.revision()}});
    decisions_->onConfigChanged(now);
}

void SidecarDaemon::checkStaleness(Now now)
{
    if (configDistributor_->isStale() != isStale_) {
        isStale_ = configDistributor_->isStale();
        logEvent(isStale_ ? Event::ConfigStale : Event::ConfigFresh, {{"revision", config_.revision()}});
        decisions_->onConfigStale(isStale_, now);
    }
}

} // namespace anvilscale

// Process of a direct-path entry: callers, endpoints and the store on the traffic thread, decisions on the control
// thread, sidecars over the messenger.
#pragma once

#include "control_loop.h"
#include "direct_log.h"
#include "direct_relay.h"
#include "direct_settings.h"
#include "process.h"
#include "software_version_writer.h"
#include "store_log.h"

#include "anvilscale/daemon.h"
#include "anvilscale/telemetry.h"

#include <atomic>

namespace anvilscale {

template<DirectDialect Dialect>
class DirectEntry
{
public:
    static tl::expected<std::unique_ptr<DirectEntry>, StartError> create(const settings::Settings &settings)
    {
        const auto policy = directPolicy(settings);
        if (!policy) {
            return tl::unexpected(policy.error());
        }
        const auto store = storeAddress(settings);
        if (!store) {
            return tl::unexpected(store.error());
        }
        auto entry = std::unique_ptr<DirectEntry>(new DirectEntry(settings, *policy, *store));
        if (auto listening = entry->listen(); !listening) {
            return tl::unexpected(listening.error());
        }
        return entry;
    }
    ~DirectEntry()
    {
        shutdown();
    }
    DirectEntry(const DirectEntry &) = delete;
    DirectEntry &operator=(const DirectEntry &) = delete;

    void start()
    {
        control_.start();
        control_.post([this](Now) { onTick(); });
        messenger_->start();
        callServer_->loop().post([this] {
            startStoreWriters();
            startWatcher({});
        });
        callServer_->start();
        readyServer_->start();
        if (metricsServer_) {
            metricsServer_->start();
        }
        logEvent(Event::ProcessStarted, {{"role", settings_.role()}, {"incarnation", incarnation_}});
    }

    /// Keeps serving callers until the load balancer has seen that the process is not ready. `done` is called after the
    /// last call, or shortly before the platform terminates the process.
    void drain(std::function<void()> done)
    {
        isDraining_ = true;
        logEvent(Event::DrainStarted);
        callServer_->closeAfterAnswers();
        callServer_->loop().post([this, done = std::move(done)] {
            auto isFinished = std::make_shared<bool>(false);
            auto isDone = std::make_shared<bool>(false);
            const auto endUnanswered = [this, isFinished] {
                if (!std::exchange(*isFinished, true)) {
                    const auto calls = relay_.calls();
                    logEvent(Event::DrainFinished,
                             {{"openCalls", calls.open}, {"callsAtEndpoints", calls.atEndpoints}});
                    relay_.endUnansweredCalls();
                }
            };
            const auto finish = [this, endUnanswered, isDone, done] {
                endUnanswered();
                if (!std::exchange(*isDone, true)) {
                    relay_.endCalls();
                    callServer_->loop().post(done); // after the answers have been written
                }
            };
            const auto start = EventLoop::now();
            const auto answersEndAt = start + Milliseconds(settings_.direct().grace_ms()) - shutdownTime;
            const auto callsEndAt = answersEndAt - writingTime;
            control_.post([this, callsEndAt](Now now) { calls_.beginDrain(callsEndAt, now.mono); });
            auto &timers = callServer_->loop().timers();
            timers.subscribe(start + balancerDelay, [this, finish](TimePoint) {
                callServer_->drain(finish);
                control_.post([this](Now now) { calls_.onListenerClosed(now.mono); });
            });
            timers.subscribe(callsEndAt, [endUnanswered](TimePoint) { endUnanswered(); });
            timers.subscribe(answersEndAt, [finish](TimePoint) { finish(); });
        });
    }

    /// Restarts the store watch if its settings have changed. Known state stays in effect meanwhile.
    void reload(const settings::Settings &settings)
    {
        callServer_->loop().post([this, settings] {
            if (settings.direct().store() != settings_.direct().store()) {
                const auto store = storeAddress(settings);
                if (!store) {
                    const auto &error = store.error();
                    logEvent(
                        Event::ReloadRejected,
                        {{"kind", std::string(toString(error.kind))}, {"path", error.path}, {"detail", error.detail}});
                    return;
                }
                store_ = *store;
                settings_.mutable_direct()->set_store(settings.direct().store());
                startStoreWriters();
                startWatcher(watcher_->reportedEndpoints());
            }
            if (settings.SerializeAsString() != settings_.SerializeAsString()) {
                logEvent(Event::RestartNeeded);
            }
        });
    }

    void shutdown()
    {
        if (std::exchange(isShutDown_, true)) {
            return;
        }
        if (callServer_) {
            callServer_->loop().post([this] {
                watcher_.reset();
                crashReporter_.reset();
                versionWriter_.reset();
                relay_.close();
            });
            callServer_->shutdown();
        }
        for (auto *server : {readyServer_.get(), metricsServer_.get()}) {
            if (server != nullptr) {
                server->shutdown();
            }
        }
        if (messenger_) {
            messenger_->shutdown();
        }
        control_.stop();
    }

    std::uint16_t controlPort() const
    {
        return messenger_->port();
    }
    std::uint16_t httpPort() const
    {
        return callServer_->port();
    }

private:
    // The load balancer probes once a second and removes a process after two answers other than 200.
    static constexpr Duration balancerDelay = Milliseconds(2600);
    // Part of the grace period reserved for shutdown.
    static constexpr Duration shutdownTime = Milliseconds(250);
    // Before it, in which callers read the rest of answers that have begun.
    static constexpr Duration writingTime = Milliseconds(350);
    static constexpr std::uint32_t statusUnavailable = 503;
    // Seconds: bodies of other calls are read meanwhile.
    static constexpr auto roomRetryAfter = "0.5";

    DirectEntry(const settings::Settings &settings, const DirectPolicy &policy, NetAddress store)
        : settings_(settings)
        , store_(store)
        , incarnation_(newIncarnation())
        , calls_(directCallsInit(settings, policy))
        , relay_(relayHandlers())
        , memory_(std::uint64_t{settings.direct().memory_mb()} << 20U)
        , control_([this](Now) { performActions(); })
    {
    }

    tl::expected<void, StartError> listen()
    {
        MessengerInit init = messengerInit(settings_, incarnation_);
        init.livenessCheck = LivenessCheck::KeepAlive; // sidecars send engine state twice a second
        auto messenger = Messenger::create(init, messengerHandlers());
        if (!messenger) {
            return tl::unexpected(makeStartError(StartErrorKind::ControlAddress, "control", messenger.error()));
        }
        messenger_ = std::move(*messenger);
        HttpServerInit http;
        http.address = settings_.http().address();
        http.port = static_cast<std::uint16_t>(settings_.http().port());
        http.memory = memory_.account();
        auto server = HttpServer::create(http, serverHandlers());
        if (!server) {
            return tl::unexpected(makeStartError(StartErrorKind::HttpAddress, "http", server.error()));
        }
        callServer_ = std::move(*server);
        relay_.attach(*callServer_);
        return listenAuxiliary();
    }

    tl::expected<void, StartError> listenAuxiliary()
    {
        const auto &direct = settings_.direct();
        HttpServerInit init;
        init.address = direct.ready().address();
        init.port = static_cast<std::uint16_t>(direct.ready().port());
        auto readyServer =
            HttpServer::create(init, auxiliaryHandlers(readyServer_, [this](const auto &r) { return readiness(r); }));
        if (!readyServer) {
            return tl::unexpected(makeStartError(StartErrorKind::HttpAddress, "direct.ready", readyServer.error()));
        }
        readyServer_ = std::move(*readyServer);
        if (direct.metrics_port() == 0) {
            return {};
        }
        init.port = static_cast<std::uint16_t>(direct.metrics_port());
        auto metricsServer =
            HttpServer::create(init, auxiliaryHandlers(metricsServer_, [this](const auto &) { return metrics(); }));
        if (!metricsServer) {
            return tl::unexpected(
                makeStartError(StartErrorKind::HttpAddress, "direct.metricsPort", metricsServer.error()));
        }
        metricsServer_ = std::move(*metricsServer);
        return {};
    }

    HttpServer::Handlers serverHandlers()
    {
        HttpServer::Handlers handlers;
        handlers.request = [this](HttpExchange exchange, HttpRequestData request) {
            relay_.onRequest(exchange, std::move(request));
        };
        handlers.disconnected = [this](HttpExchange exchange, FailureReason) { relay_.onCallerDisconnected(exchange); };
        handlers.bytesSent = [this](HttpExchange exchange, std::uint64_t bytes) {
            relay_.onBytesSent(exchange, bytes);
        };
        handlers.errorReply = [](HttpError reason) { return httpErrorReply(reason); };
        handlers.bodyGroup = [](const HttpRequestData &request) {
            // Callers with the same key belong to the same workspace.
            const auto *key = findHeader(request.headers, "Authorization");
            return key == nullptr ? MemoryAccount::anonymousGroup : hash64(*key);
        };
        return handlers;
    }

    template<class Answer>
    HttpServer::Handlers auxiliaryHandlers(std::unique_ptr<HttpServer> &server, Answer answer)
    {
        HttpServer::Handlers handlers;
        handlers.request = [&server, answer](HttpExchange exchange, const HttpRequestData &request) {
            server->reply(exchange, answer(request));
        };
        handlers.disconnected = [](HttpExchange, FailureReason) {};
        handlers.bytesSent = [](HttpExchange, std::uint64_t) {};
        handlers.errorReply = [](HttpError reason) { return httpErrorReply(reason); };
        return handlers;
    }

    static HttpReply httpErrorReply(HttpError reason)
    {
        HttpReply reply;
        reply.status = statusOf(reason);
        reply.body = std::string(toString(reason));
        if (reason == HttpError::MemoryShort) {
            reply.headers.emplace_back("Retry-After", roomRetryAfter);
        }
        reply.closesConnection = true;
        return reply;
    }

    HttpReply readiness(const HttpRequestData &request) const
    {
        HttpReply reply;
        reply.status = Dialect::isReadinessCheck(request) && isReady_ && !isDraining_ ? 200 : statusUnavailable;
        return reply;
    }

    HttpReply metrics() const
    {
        HttpReply reply;
        reply.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
        const std::lock_guard lock(metricsMutex_);
        reply.body = metricsText_;
        return reply;
    }

    RelayHandlers relayHandlers()
    {
        RelayHandlers handlers;
        handlers.onCall = [this](HttpExchange exchange, CallInfo info) {
            control_.post([this, exchange, info = std::move(info)](Now now) {
                calls_.onCall(CallHandle{exchange.value}, info, now.mono);
            });
        };
        handlers.onEndpointNotice = [this](const std::string &endpointId, EndpointNotice notice) {
            control_.post([this, endpointId, notice](Now now) {
                if (calls_.onEndpointNotice(endpointId, notice, now.mono)) {
                    logEvent(Event::EndpointTold, {{"endpoint", endpointId},
                                                   {"leaving", notice.leaving},
                                                   {"pauseMs", toMilliseconds(notice.pause)},
                                                   {"requestsPerSecond", notice.requestsPerSecond.value_or(noLimit)}});
                }
            });
        };
        handlers.onAnswerStarted = [this](HttpExchange exchange, std::uint32_t attempt) {
            control_.post([this, exchange, attempt](Now now) {
                calls_.onAnswerStarted(CallHandle{exchange.value}, attempt, now.mono);
            });
        };
        handlers.onStreamStarted = [this](HttpExchange exchange, const StreamOrigin &origin) {
            control_.post([this, exchange, origin](Now now) {
                calls_.onStreamStarted(CallHandle{exchange.value}, origin, now.mono);
            });
        };
        handlers.onAttemptEnded = [this](HttpExchange exchange, std::uint32_t attempt, AttemptResult result) {
            control_.post([this, exchange, attempt, result](Now now) {
                calls_.onAttemptEnded(CallHandle{exchange.value}, attempt, result, now.mono);
            });
        };
        handlers.onCallerGone = [this](HttpExchange exchange) {
            control_.post([this, exchange](Now now) { calls_.onCallerGone(CallHandle{exchange.value}, now.mono); });
        };
        return handlers;
    }

    static void logLimit(const wire::EndpointLimit &limit)
    {
        logEvent(Event::EndpointTold, {{"endpoint", limit.endpoint_id()},
                                       {"requestsPerSecond", limit.limited() ? limit.requests_per_second() : noLimit},
                                       {"relayed", true}});
    }

    Messenger::Handlers messengerHandlers()
    {
        Messenger::Handlers handlers;
        handlers.fromPeer = [](PeerHandle, wire::Envelope &&) {};
        handlers.peerLost = [](PeerHandle) {};
        handlers.fromTarget = [this](const std::string &name, wire::Envelope &&message) {
            if (message.has_direct_state()) {
                control_.post([this, name, state = message.direct_state()](Now now) {
                    calls_.applyState(name, state, now.mono);
                });
            } else if (message.has_direct_delta()) {
                control_.post([this, name, delta = message.direct_delta()](Now now) {
                    calls_.applyDelta(name, delta, now.mono);
                });
            } else if (message.has_direct_heartbeat()) {
                control_.post([this, name, heartbeat = message.direct_heartbeat()](Now now) {
                    calls_.applyHeartbeat(name, heartbeat, now.mono);
                });
            } else if (message.has_allowance_answer()) {
                control_.post([this, name, answer = message.allowance_answer()](Now now) {
                    calls_.onAllowanceAnswer(name, answer, now.mono);
                });
            } else if (message.has_reading_answer()) {
                control_.post([this, name, answer = message.reading_answer()](Now now) {
                    calls_.onReadingAnswer(name, answer, now.mono);
                });
            } else if (message.has_slot_answer()) {
                control_.post([this, name, answer = message.slot_answer()](Now now) {
                    calls_.onSlotAnswer(name, answer, now.mono);
                });
            } else if (message.has_origin_answer()) {
                control_.post([this, name, answer = message.origin_answer()](Now now) {
                    calls_.onOriginAnswer(name, answer, now.mono);
                });
            } else if (message.has_endpoint_limit()) {
                control_.post([this, limit = message.endpoint_limit()](Now now) {
                    if (calls_.applyEndpointLimit(limit, now.mono)) {
                        logLimit(limit);
                    }
                });
            } else if (message.has_store_news()) {
                onSharedWatchAnswer(std::move(*message.mutable_store_news()));
            }
        };
        const auto discardState = [this](const std::string &name) {
            control_.post([this, name](Now now) { calls_.onSidecarLost(name, now.mono); });
        };
        handlers.targetUp = [discardState](const std::string &name) {
            logEvent(Event::MemberChanged, {{"sidecar", name}, {"state", "connected"}});
            discardState(name); // a new connection starts with a full state
        };
        handlers.targetLost = [discardState](const std::string &name) {
            logEvent(Event::PeerLost, {{"sidecar", name}});
            discardState(name);
        };
        handlers.sendFailed = [](const std::string &, const wire::AttemptId &) {};
        return handlers;
    }

    /// `knownEndpoints`: endpoints reported by the previous store.
    void startWatcher(std::set<std::string> knownEndpoints)
    {
        auto init = storeWatcherInit(settings_, store_, incarnation_);
        init.knownEndpoints = std::move(knownEndpoints);
        watcher_ = std::make_unique<StoreWatcher<Dialect>>(callServer_->loop(), init, watcherHandlers());
        watcher_->start();
        if (confirmation_) {
            watcher_->confirm(*confirmation_);
        }
    }

    void startStoreWriters()
    {
        startCrashReporter();
        const auto init = crashReporterInit(settings_, store_, incarnation_);
        versionWriter_ = std::make_unique<SoftwareVersionWriter<Dialect>>(
            callServer_->loop(), StoreCallerInit{init.address, init.times, init.seed},
            [this](StoreFailureKind kind, std::uint32_t status, bool isFirst) {
                control_.post(
                    [this, kind, status, isFirst](Now) { storeLog_.softwareVersionFailed(kind, status, isFirst); });
            });
    }

    void startCrashReporter()
    {
        CrashReporterHandlers handlers;
        handlers.written = [this](std::size_t reports) {
            control_.post([this, reports](Now) { storeLog_.crashReportsWritten(reports); });
        };
        handlers.failed = [this](StoreFailureKind kind, std::uint32_t status, bool isFirst) {
            control_.post([this, kind, status, isFirst](Now) { storeLog_.crashReportFailed(kind, status, isFirst); });
        };
        handlers.dropped = [this] { control_.post([this](Now) { storeLog_.crashReportDropped(); }); };
        const auto init = crashReporterInit(settings_, store_, incarnation_);
        crashReporter_ = std::make_unique<CrashReporter<Dialect>>(callServer_->loop(), init, std::move(handlers));
    }

    StoreWatcherHandlers watcherHandlers()
    {
        StoreWatcherHandlers handlers;
        handlers.record = [this](StoreRecord record) {
            control_.post([this, record = std::move(record)](Now now) { applyRecord(record, now.mono); });
        };
        handlers.complete = [this] {
            control_.post([this](Now now) {
                isStoreRead_ = true;
                calls_.onStoreRead(now.mono);
            });
        };
        handlers.readStarted = [this] { control_.post([this](Now) { calls_.onStoreReadStarted(); }); };
        handlers.current = [this] { control_.post([this](Now now) { calls_.onStoreCurrent(now.mono); }); };
        handlers.answered = [this](Duration sinceLastAnswer, bool isRecovery) {
            control_.post([this, sinceLastAnswer, isRecovery](Now now) {
                calls_.onStoreAnswered(now.mono);
                storeLog_.answered(sinceLastAnswer, isRecovery);
            });
        };
        handlers.failed = [this](const StoreFailure &failure) {
            control_.post([this, failure](Now) { storeLog_.failed(failure); });
        };
        handlers.rejected = [this](std::size_t records) {
            control_.post([this, records](Now) { storeLog_.recordsRejected(records); });
        };
        handlers.restored = [this](std::uint64_t era) {
            crashReporter_->rewriteReports();
            control_.post([this, era](Now) { storeLog_.restored(era); });
        };
        handlers.confirmed = [this](std::uint64_t number, std::optional<StoreFailureKind> failure) {
            confirmation_.reset();
            control_.post([this, number, failure](Now now) {
                calls_.onStoreConfirmed(number, !failure, now.mono);
                if (failure) {
                    storeLog_.confirmationFailed(*failure);
                }
            });
        };
        handlers.requestSharedWatch = [this](std::uint64_t call, StorePosition after, Duration wait) {
            return requestSharedWatch(call, after, wait);
        };
        handlers.sharedWatchFailed = [this] {
            control_.post([this, name = requestedAddress_](Now now) {
                logEvent(Event::StoreSharerFailed, {{"sidecar", name}});
                calls_.onSharedWatchFailed(name, now.mono);
                selectSharedWatch(now.mono);
            });
        };
        return handlers;
    }

    bool requestSharedWatch(std::uint64_t call, StorePosition after, Duration wait)
    {
        {
            const std::lock_guard lock(sharedWatchMutex_);
            requestedAddress_ = sharedWatchAddress_;
        }
        if (requestedAddress_.empty()) {
            return false;
        }
        wire::Envelope message;
        auto &request = *message.mutable_store_ask();
        request.set_call(call);
        request.set_era(after.era);
        request.set_after(after.revision);
        request.set_wait_ms(static_cast<std::uint32_t>(toMilliseconds(wait)));
        request.set_store(settings_.direct().store());
        messenger_->sendTo(requestedAddress_, message);
        return true;
    }

    void onSharedWatchAnswer(wire::StoreNews answer)
    {
        callServer_->loop().post([this, answer = std::move(answer)] {
            std::optional<std::string> body;
            if (answer.answered()) {
                body = Dialect::joinWatch(answer.revision(), {answer.items().begin(), answer.items().end()});
            }
            if (watcher_) {
                watcher_->onSharedWatchAnswer(answer.call(), answer.era(), body);
            }
        });
    }

    void selectSharedWatch(TimePoint now)
    {
        auto address = calls_.sharedWatchAddress(now);
        const std::lock_guard lock(sharedWatchMutex_);
        sharedWatchAddress_ = std::move(address);
    }

    void applyRecord(const StoreRecord &record, TimePoint now)
    {
        std::visit(Overloaded{[&](const DirectConfig &config) { applyConfig(config, now); },
                              [&](const EndpointRecord &endpoint) { applyEndpoint(endpoint, now); },
                              [&](const EndpointRemoved &removed) {
                                  logEvent(
                                      Event::EndpointRemoved,
                                      {{"endpoint", removed.id}, {"heldBackMs", toMilliseconds(removed.withheldFor)}});
                                  calls_.removeEndpoint(removed.id, now);
                              },
                              [&](const PublishedVersion &version) {
                                  logEvent(Event::VersionNamed, {{"model", version.model},
                                                                 {"adapter", version.adapter},
                                                                 {"version", std::uint64_t{version.version}}});
                                  calls_.applyVersion(version, now);
                              },
                              [&](const SoftwareVersionRecord &version) { calls_.applySoftwareVersion(version, now); },
                              [&](const CrashReport &report) { calls_.applyCrashReport(report, now); },
                              [&](const ClearanceReport &report) { calls_.applyClearances(report, now); }},
                   record);
    }

    void applyEndpoint(const EndpointRecord &endpoint, TimePoint now)
    {
        if (calls_.applyEndpoint(endpoint, now)) {
            logEvent(Event::EndpointChanged, {{"endpoint", endpoint.id},
                                              {"service", endpoint.service},
                                              {"address", endpoint.address},
                                              {"softwareVersion", endpoint.softwareVersion},
                                              {"leaving", endpoint.leaving},
                                              {"revision", endpoint.revision}});
        }
    }

    void applyConfig(const DirectConfig &config, TimePoint now)
    {
        if (!calls_.applyConfig(config, now)) {
            return;
        }
        logEvent(Event::ConfigMoved, {{"revision", config.version}, {"routes", std::uint64_t{config.routes.size()}}});
        const auto &limits = config.limits;
        callServer_->updateLimits(limits.headBytes, limits.bodyBytes, limits.headTimeout, limits.idleTimeout);
    }

    void connectSidecars(const std::vector<std::string> &addresses)
    {
        const std::set<std::string> names(addresses.begin(), addresses.end());
        for (const auto &name : names) {
            if (sidecars_.insert(name).second) {
                connectSidecar(name);
            }
        }
        for (auto it = sidecars_.begin(); it != sidecars_.end();) {
            if (names.count(*it) == 0) {
                messenger_->disconnectFrom(*it);
                it = sidecars_.erase(it);
            } else {
                ++it;
            }
        }
    }

    /// `name`: address of the engine, on whose VM the sidecar listens at the control port of this process.
    void connectSidecar(const std::string &name)
    {
        const auto engine = NetAddress::parse(name);
        if (!engine) {
            logEvent(Event::MemberAddressRejected,
                     {{"member", name}, {"detail", std::string(toString(engine.error()))}});
            return;
        }
        messenger_->connectTo(name, engine->withPort(static_cast<std::uint16_t>(settings_.control().port())));
    }

    void onTick()
    {
        const auto now = EventLoop::now();
        // First, so that a turn that fails does not end all later ones.
        control_.timers().subscribe(now + directTickInterval, [this](TimePoint) { onTick(); });
        calls_.tick(now);
        writeSoftwareVersions(now);
        if (now >= nextSelectionAt_) {
            nextSelectionAt_ = now + selectionInterval;
            selectSharedWatch(now);
        }
        // Only a drain withdraws readiness: an entry without the store or a sidecar still serves better than none.
        isReady_ = isReady_ || (isStoreRead_ && calls_.isReady(now));
        if (now >= nextMetricsAt_) {
            nextMetricsAt_ = now + metricsInterval;
            updateMemory();
            renderMetrics();
        }
    }

    void writeSoftwareVersions(TimePoint now)
    {
        auto writes = calls_.takeSoftwareVersionWrites(now);
        if (writes.empty()) {
            return;
        }
        callServer_->loop().post([this, writes = std::move(writes)] {
            for (const auto &write : writes) {
                if (versionWriter_) {
                    versionWriter_->write(write);
                }
            }
        });
    }

    void performActions()
    {
        const auto now = EventLoop::now();
        if (const auto addresses = calls_.takeListenedEngines(now)) {
            connectSidecars(*addresses);
        }
        auto actions = calls_.takeActions();
        for (const auto &failed : calls_.takeFailedAttempts()) {
            callLog_.attemptFailed(failed, now);
        }
        for (const auto &ended : calls_.takeEnded()) {
            callLog_.callEnded(ended, now);
        }
        for (const auto request : calls_.takeQuarantined()) {
            callLog_.requestQuarantined(request);
        }
        for (const auto &verdict : calls_.takePartVerdicts()) {
            callLog_.partJudged(verdict);
        }
        reportCrashes();
        std::vector<DirectAction> trafficActions;
        for (auto &action : actions) {
            bool isMessage = true; // also one that could not be sent
            runGuarded(ErrorPlace::ControlActions, [&] { isMessage = sendMessage(action); });
            if (!isMessage) {
                trafficActions.push_back(std::move(action));
            }
        }
        scheduleAnswerCheck();
        if (trafficActions.empty()) {
            return;
        }
        callServer_->loop().post([this, trafficActions = std::move(trafficActions)] {
            for (const auto &action : trafficActions) {
                runGuarded(ErrorPlace::LoopTask, [&] { performTraffic(action); });
            }
        });
    }

    // Actions that are messages to sidecars.
    static void fill(wire::Envelope &message, SendDemand &action)
    {
        *message.mutable_direct_demand() = std::move(action.demand);
    }
    static void fill(wire::Envelope &message, AskAllowance &action)
    {
        *message.mutable_allowance_ask() = std::move(action.ask);
    }
    static void fill(wire::Envelope &message, SendReadings &action)
    {
        *message.mutable_reading_update() = std::move(action.update);
    }
    static void fill(wire::Envelope &message, ReportLimit &action)
    {
        *message.mutable_endpoint_limit() = std::move(action.limit);
    }
    static void fill(wire::Envelope &message, AskSlot &action)
    {
        *message.mutable_slot_ask() = std::move(action.ask);
    }
    static void fill(wire::Envelope &message, ReturnSlot &action)
    {
        *message.mutable_slot_return() = std::move(action.message);
    }
    static void fill(wire::Envelope &message, ReportOrigins &action)
    {
        *message.mutable_origin_report() = std::move(action.report);
    }
    static void fill(wire::Envelope &message, AskOrigin &action)
    {
        *message.mutable_origin_ask() = std::move(action.ask);
    }

    /// Sends an action that is a message to a sidecar; returns false for any other.
    bool sendMessage(DirectAction &action)
    {
        return std::visit(
            [this](auto &item) {
                wire::Envelope message;
                if constexpr (requires { fill(message, item); }) {
                    fill(message, item);
                    messenger_->sendTo(item.address, message);
                    return true;
                }
                return false;
            },
            action);
    }

    /// Traffic thread. Performs an action that is no message to a sidecar.
    void performTraffic(const DirectAction &action)
    {
        std::visit(Overloaded{[this](const RefreshRecords &) { refreshRecords(); },
                              [this](const ConfirmStore &confirmation) { confirmStore(confirmation.number); },
                              [this](const auto &item) {
                                  if constexpr (requires { relay_.perform(item); }) {
                                      relay_.perform(item);
                                  }
                              }},
                   action);
    }

    /// Checks for answers that are overdue sooner than the next tick: they are expected within milliseconds.
    void scheduleAnswerCheck()
    {
        const auto at = calls_.nextAnswerCheckAt();
        if (!at || *at >= answerCheckAt_) {
            return;
        }
        answerCheckAt_ = *at;
        control_.timers().subscribe(*at, [this](TimePoint now) {
            answerCheckAt_ = TimePoint::max();
            calls_.checkAnswers(now);
        });
    }

    void confirmStore(std::uint64_t number)
    {
        confirmation_ = number;
        if (watcher_) {
            watcher_->confirm(number);
        }
    }

    void refreshRecords()
    {
        if (watcher_) {
            watcher_->onRecordContradicted();
        }
    }

    void reportCrashes()
    {
        auto reports = calls_.takeCrashReports();
        ClearanceReport cleared{calls_.takeClearances()};
        if (reports.empty() && cleared.clearances.empty()) {
            return;
        }
        callServer_->loop().post([this, reports = std::move(reports), cleared = std::move(cleared)]() mutable {
            if (!crashReporter_) {
                return;
            }
            for (auto &report : reports) {
                crashReporter_->report(std::move(report));
            }
            if (!cleared.clearances.empty()) {
                crashReporter_->report(std::move(cleared));
            }
        });
    }

    /// Measures what the process needs itself, and logs if a decision has depended on the memory since the last line.
    void updateMemory()
    {
        if (const auto used = readAnonymousBytes()) {
            memory_.update(*used);
        }
        const auto stats = callServer_->memory().stats();
        const auto decisions = stats.waits + stats.rejected + relay_.forwardedWhenShort();
        if (decisions == std::exchange(loggedMemoryDecisions_, decisions)) {
            return;
        }
        const auto errors = callServer_->stats().errors;
        logEvent(Event::MemoryShort, {{"limitBytes", stats.limitBytes},
                                      {"heldBytes", stats.totalBytes()},
                                      {"peakBytes", stats.peakBytes},
                                      {"ownBytes", memory_.ownBytes()},
                                      {"waits", stats.waits},
                                      {"granted", stats.granted},
                                      {"refused", errors.of(HttpError::MemoryShort)},
                                      {"forwardedEarly", relay_.forwardedWhenShort()}});
    }

    void renderMetrics()
    {
        MetricsText text;
        appendDirectMetrics(text, calls_.stats());
        text.counter("anvilscale_direct_absent_caller_attempts_total",
                     "attempts that were not sent because their callers had left", relay_.attemptsForAbsentCallers());
        callLog_.appendMetrics(text);
        storeLog_.appendMetrics(text);
        appendLogMetrics(text);
        appendMessengerMetrics(text, messenger_->stats());
        appendHttpMetrics(text, callServer_->stats());
        appendMemoryMetrics(text, callServer_->memory().stats());
        text.gauge("anvilscale_memory_own_bytes", "memory that is left to the process itself",
                   static_cast<double>(memory_.ownBytes()));
        text.counter("anvilscale_memory_answers_forwarded_early_total",
                     "answers forwarded while another attempt was possible, as little memory was left",
                     relay_.forwardedWhenShort());
        const std::lock_guard lock(metricsMutex_);
        metricsText_ = text.text();
    }

    static constexpr Duration metricsInterval = Seconds(2);
    static constexpr double noLimit = -1; // in log lines, in place of a rate limit
    // Between selections of the sidecar that watches the store.
    static constexpr Duration selectionInterval = Milliseconds(200);

    settings::Settings settings_;
    NetAddress store_; // traffic thread
    std::uint64_t incarnation_;
    DirectCalls calls_; // control thread
    DirectRelay<Dialect> relay_; // traffic thread
    ProcessMemory memory_; // control thread, but for its account
    DirectLog callLog_; // control thread
    StoreLog storeLog_; // control thread
    std::set<std::string> sidecars_; // control thread; names of the messenger's targets
    bool isStoreRead_ = false; // control thread
    TimePoint nextMetricsAt_{}; // control thread
    std::uint64_t loggedMemoryDecisions_ = 0; // control thread
    TimePoint nextSelectionAt_{}; // control thread
    TimePoint answerCheckAt_ = TimePoint::max(); // control thread; of the next check for answers of sidecars
    std::mutex sharedWatchMutex_; // guards sharedWatchAddress_
    // Address of the endpoint whose sidecar watches the store for this entry; empty if none.
    std::string sharedWatchAddress_;
    std::string requestedAddress_; // traffic thread; address of the last request
    std::atomic<bool> isReady_ = false;
    std::atomic<bool> isDraining_ = false;
    bool isShutDown_ = false;
    mutable std::mutex metricsMutex_; // guards metricsText_
    std::string metricsText_;
    ControlLoop control_;
    std::unique_ptr<Messenger> messenger_;
    std::unique_ptr<StoreWatcher<Dialect>> watcher_; // traffic thread
    std::optional<std::uint64_t> confirmation_; // traffic thread; in progress, passed on to a watcher of another store
    std::unique_ptr<CrashReporter<Dialect>> crashReporter_; // traffic thread
    std::unique_ptr<SoftwareVersionWriter<Dialect>> versionWriter_; // traffic thread
    std::unique_ptr<HttpServer> callServer_;
    std::unique_ptr<HttpServer> readyServer_;
    std::unique_ptr<HttpServer> metricsServer_;
};

} // namespace anvilscale

// Process of a direct-path sidecar: polls the reports of its engine and orders models and adapters.
#pragma once

#include "control_loop.h"
#include "direct_settings.h"
#include "engine_reading.h"
#include "fencing_client.h"
#include "process.h"
#include "shared_store_watch.h"

#include "anvilscale/daemon.h"
#include "anvilscale/direct_path.h"
#include "anvilscale/telemetry.h"

#include <set>

namespace anvilscale {

template<DirectDialect Dialect>
class DirectSidecar
{
public:
    static tl::expected<std::unique_ptr<DirectSidecar>, StartError> create(const settings::Settings &settings)
    {
        const auto policy = directPolicy(settings);
        if (!policy) {
            return tl::unexpected(policy.error());
        }
        const auto store = storeAddress(settings);
        if (!store) {
            return tl::unexpected(store.error());
        }
        const auto engine = engineAddress(settings);
        if (!engine) {
            return tl::unexpected(engine.error());
        }
        auto sidecar = std::unique_ptr<DirectSidecar>(new DirectSidecar(settings, *policy, *store, *engine));
        auto init = messengerInit(settings, sidecar->incarnation_);
        init.livenessCheck = LivenessCheck::KeepAlive;
        auto messenger = Messenger::create(init, sidecar->messengerHandlers());
        if (!messenger) {
            return tl::unexpected(makeStartError(StartErrorKind::ControlAddress, "control", messenger.error()));
        }
        sidecar->messenger_ = std::move(*messenger);
        return sidecar;
    }
    ~DirectSidecar()
    {
        shutdown();
    }
    DirectSidecar(const DirectSidecar &) = delete;
    DirectSidecar &operator=(const DirectSidecar &) = delete;

    void start()
    {
        // First, as tasks of the other threads use what it creates.
        loop_.post([this] {
            HttpClientInit init;
            init.address = engine_;
            init.connectTimeout = answerTimeout;
            init.maxIdleTime = Milliseconds(700);
            init.idleMargin = Milliseconds(300);
            client_ = std::make_unique<HttpClient>(loop_, init);
            startFencing();
            startSharedWatch();
        });
        control_.start();
        messenger_->start();
        control_.post([this](Now) { requestReport(); });
        logEvent(Event::ProcessStarted, {{"role", settings_.role()}, {"incarnation", incarnation_}});
    }

    /// Calls do not pass through the sidecar, so there is no work to wait for.
    void drain(const std::function<void()> &done)
    {
        logEvent(Event::DrainStarted);
        done();
    }

    void reload(const settings::Settings &settings) const
    {
        if (settings.SerializeAsString() != settings_.SerializeAsString()) {
            logEvent(Event::RestartNeeded);
        }
    }

    void shutdown()
    {
        if (std::exchange(isShutDown_, true)) {
            return;
        }
        control_.stop();
        loop_.post([this] {
            client_.reset();
            fencing_.reset();
            sharedWatch_.reset();
        });
        loop_.stop();
        if (messenger_) {
            messenger_->shutdown();
        }
    }

    std::uint16_t controlPort() const
    {
        return messenger_->port();
    }
    static std::uint16_t httpPort()
    {
        return 0;
    }

private:
    // The engine runs on the same VM: without an answer in this time it is stopped or overloaded.
    static constexpr Duration answerTimeout = Milliseconds(500);
    // A report lists adapters and running calls, a few hundred at most.
    static constexpr std::uint64_t maxAnswerBytes = 1U << 20;
    static constexpr Duration idleReportInterval = Milliseconds(200); // between reports while no load is in progress
    static constexpr Duration busyReportInterval = Milliseconds(25); // during a load, to report its end immediately
    static constexpr Duration loadLogInterval = Seconds(10); // between log lines of load times
    static constexpr Duration slotLogInterval = Seconds(10); // between log lines of slots
    static constexpr Duration originLogInterval = Seconds(10); // between log lines of streams' origins
    // Entries treat three missing messages as a loss and one as a sign of a paused VM. With few entries connected, all
    // of them get messages more often, down to minStateInterval.
    static constexpr Duration maxUpdateInterval = Milliseconds(500);
    static constexpr Duration minStateInterval = Milliseconds(250);
    static constexpr Duration minUpdateInterval = Milliseconds(20); // regardless of the change of pending work

    // Change of pending work that triggers an update, about 80 ms of prompt processing.
    static constexpr std::uint64_t minWorkChange = 3000; // tokens
    // Minimum time between two messages to an entry without waiting calls, per connected entry. Bounds the message rate
    // of a sidecar, to some 125 a second while it is below maxUpdateInterval; the age of the state grows with the
    // number of entries.
    static constexpr Duration updateIntervalPerEntry = Milliseconds(8);

    DirectSidecar(const settings::Settings &settings, const DirectPolicy &policy, NetAddress store, NetAddress engine)
        : settings_(settings)
        , store_(store)
        , engine_(engine)
        , incarnation_(newIncarnation())
        , controller_(policy)
        , reading_(policy,
                   [this](PeerHandle peer, const wire::Envelope &message) { messenger_->sendTo(peer, message); })
        , allowancePools_(directAllowanceTimes(settings))
        , limitPools_(endpointLimitTimes())
        , leasesSlots_(policy.has(Mechanism::SlotLeases))
        , statePublisher_(incarnation_ / 1000, policy)
        , control_([this](Now now) { afterEvents(now.mono); })
        , loop_("engine")
    {
    }

    Messenger::Handlers messengerHandlers()
    {
        Messenger::Handlers handlers;
        handlers.fromPeer = [this](PeerHandle peer, wire::Envelope &&message) {
            if (message.has_store_ask()) {
                onSharedWatchRequest(peer, message.store_ask());
            }
            if (message.has_allowance_ask()) {
                control_.post([this, peer, ask = message.allowance_ask()](Now now) {
                    auto &pools = ask.scope() == wire::ALLOWANCE_OF_ENDPOINTS ? limitPools_ : allowancePools_;
                    wire::Envelope reply;
                    *reply.mutable_allowance_answer() = pools.answer(ask, now.mono);
                    messenger_->sendTo(peer, reply);
                });
            }
            if (message.has_endpoint_limit()) {
                control_.post([this, peer, limit = message.endpoint_limit()](Now) { sendLimit(limit, peer); });
            }
            if (message.has_reading_update()) {
                control_.post([this, peer, update = message.reading_update()](Now now) {
                    reading_.onUpdate(peer, update, now.mono);
                });
            }
            onSlotMessage(peer, message);
            onOriginMessage(peer, message);
            if (!message.has_direct_demand()) {
                return;
            }
            control_.post([this, peer, demand = message.direct_demand()](Now now) {
                controller_.applyDemand(peer, demand, now.mono);
                reading_.applyEngine(controller_, now.mono);
                statePublisher_.onStateAcknowledged(peer, demand.state_sequence(), demand.accepts_deltas());
                if (entries_.insert(peer).second) {
                    updateState(now.mono);
                    messenger_->sendTo(peer, statePublisher_.buildMessage(peer));
                }
            });
        };
        handlers.peerLost = [this](PeerHandle peer) {
            control_.post([this, peer](Now now) {
                entries_.erase(peer);
                reading_.onPeerLost(peer, now.mono);
                statePublisher_.onEntryLost(peer);
                controller_.onPeerLost(peer);
                slots_.onEntryLost(peer, now.mono);
            });
        };
        handlers.fromTarget = [](const std::string &, wire::Envelope &&) {};
        handlers.targetUp = [](const std::string &) {};
        handlers.targetLost = [](const std::string &) {};
        handlers.sendFailed = [](const std::string &, const wire::AttemptId &) {};
        return handlers;
    }

    /// Requests for slots of plain endpoints and their returns. Without the mechanism they are ignored, as by an older
    /// release.
    void onSlotMessage(PeerHandle peer, const wire::Envelope &message)
    {
        if (!leasesSlots_) {
            return;
        }
        if (message.has_slot_ask()) {
            control_.post([this, peer, ask = message.slot_ask()](Now now) { slots_.onAsk(peer, ask, now.mono); });
        }
        if (message.has_slot_return()) {
            control_.post([this, peer, end = message.slot_return()](Now now) { slots_.onReturn(peer, end, now.mono); });
        }
    }

    /// Reports of streams that have begun, and requests of entries that resume them.
    void onOriginMessage(PeerHandle peer, const wire::Envelope &message)
    {
        if (message.has_origin_report()) {
            control_.post([this, report = message.origin_report()](Now now) { origins_.onReport(report, now.mono); });
        }
        if (message.has_origin_ask()) {
            control_.post([this, peer, ask = message.origin_ask()](Now now) {
                wire::Envelope reply;
                *reply.mutable_origin_answer() = origins_.answer(ask, now.mono);
                messenger_->sendTo(peer, reply);
            });
        }
    }

    void logOrigins(TimePoint now)
    {
        const auto &stats = origins_.stats();
        const auto changes = stats.told + stats.unknown + stats.dropped;
        if (now < nextOriginLogAt_ || changes == loggedOriginChanges_) {
            return;
        }
        nextOriginLogAt_ = now + originLogInterval;
        loggedOriginChanges_ = changes;
        logEvent(Event::OriginsTold, {{"streams", stats.streams},
                                      {"reported", stats.reported},
                                      {"told", stats.told},
                                      {"unknown", stats.unknown},
                                      {"dropped", stats.dropped}});
    }

    void updateSlots(TimePoint now)
    {
        slots_.tick(now);
        for (auto &message : slots_.takeMessages()) {
            wire::Envelope envelope;
            *envelope.mutable_slot_answer() = std::move(message.answer);
            messenger_->sendTo(message.entry, envelope);
        }
        const auto at = slots_.nextCheckAt();
        if (at && *at < slotCheckAt_) {
            slotCheckAt_ = *at;
            control_.timers().subscribe(*at, [this](TimePoint) { slotCheckAt_ = TimePoint::max(); });
        }
        logSlots(now);
    }

    void logSlots(TimePoint now)
    {
        const auto &stats = slots_.stats();
        const auto decisions = stats.grants + stats.refusals;
        if (now < nextSlotLogAt_ || decisions == loggedSlotDecisions_) {
            return;
        }
        nextSlotLogAt_ = now + slotLogInterval;
        loggedSlotDecisions_ = decisions;
        logEvent(Event::SlotsLeased, {{"services", stats.services},
                                      {"leases", stats.leases},
                                      {"grants", stats.grants},
                                      {"waits", stats.waits},
                                      {"refusals", stats.refusals},
                                      {"expired", stats.expired}});
    }

    /// Sends the rate limit of an endpoint to all entries but the one that has reported it.
    void sendLimit(const wire::EndpointLimit &limit, PeerHandle source)
    {
        wire::Envelope message;
        *message.mutable_endpoint_limit() = limit;
        for (const auto entry : entries_) {
            if (entry != source) {
                messenger_->sendTo(entry, message);
            }
        }
    }

    void applyOwnLimit(std::optional<double> requestsPerSecond, TimePoint now)
    {
        if (std::exchange(reportedLimit_, requestsPerSecond) == requestsPerSecond) {
            return;
        }
        wire::EndpointLimit limit;
        limit.set_endpoint_id(controller_.state(now).endpoint_id());
        limit.set_limited(requestsPerSecond.has_value());
        limit.set_requests_per_second(requestsPerSecond.value_or(0));
        sendLimit(limit, PeerHandle{});
    }

    /// Requests the first fencing number.
    void startFencing()
    {
        FencingClientHandlers handlers;
        handlers.obtained = [this](std::uint64_t number, StorePosition position) {
            control_.post([this, number, position](Now now) { onFencingNumber(number, position, now.mono); });
        };
        handlers.failed = [this](StoreFailureKind kind, std::uint32_t status, bool isFirst) {
            control_.post([this, kind, status, isFirst](Now) { onFencingFailed(kind, status, isFirst); });
        };
        const auto store = storeWatcherInit(settings_, store_, incarnation_);
        const FencingClientInit init{store.address, settings_.name(), store.times, store.seed};
        fencing_ = std::make_unique<FencingClient<Dialect>>(loop_, init, std::move(handlers));
        fencing_->request();
    }

    void onFencingNumber(std::uint64_t number, StorePosition position, TimePoint now)
    {
        isRequestingFence_ = false;
        controller_.setFencingNumber(number);
        logEvent(Event::FencingNumberTaken, {{"fence", number},
                                             {"era", position.era},
                                             {"revision", position.revision},
                                             {"waitMs", toMilliseconds(now - fenceRequestedAt_)}});
    }

    void onFencingFailed(StoreFailureKind kind, std::uint32_t status, bool isFirst)
    {
        controller_.onFencingNumberFailed();
        if (isFirst) {
            logEvent(Event::FencingNumberFailed,
                     {{"failure", std::string(toString(kind))}, {"status", std::uint64_t{status}}});
        }
    }

    void renewFencingNumber(TimePoint now)
    {
        if (!controller_.needsFencingNumber() || std::exchange(isRequestingFence_, true)) {
            return;
        }
        fenceRequestedAt_ = now;
        loop_.post([this] { fencing_->request(); });
    }

    /// Starts watching the store for entries that send their requests here.
    void startSharedWatch()
    {
        const auto watcher = storeWatcherInit(settings_, store_, incarnation_);
        const SharedStoreWatchInit init{settings_.direct().store(), watcher.address, watcher.times};
        const auto sendUpdate = [this](PeerHandle entry, const wire::StoreNews &update) {
            wire::Envelope message;
            *message.mutable_store_news() = update;
            messenger_->sendTo(entry, message);
        };
        sharedWatch_ = std::make_unique<SharedStoreWatch<Dialect>>(loop_, init, sendUpdate);
    }

    void onSharedWatchRequest(PeerHandle entry, const wire::StoreAsk &message)
    {
        const StorePosition after{message.era(), message.after()};
        loop_.post([this, request = SharedWatchRequest{entry, message.store(), message.call(), after,
                                                       Milliseconds(message.wait_ms())}] {
            if (sharedWatch_) {
                sharedWatch_->addRequest(request);
            }
        });
    }

    /// Sends a request to the engine. `done` runs on the control thread with the head, if the exchange completed, and
    /// the body.
    void sendRequest(EndpointRequest request, Duration timeout,
                     std::function<void(Now, std::optional<HttpResponseHead>, std::string)> done)
    {
        request.maxAnswerBytes = maxAnswerBytes;
        loop_.post([this, request = std::move(request), timeout, done = std::move(done)] {
            auto head = std::make_shared<std::optional<HttpResponseHead>>();
            auto body = std::make_shared<std::string>();
            ExchangeHandlers handlers;
            handlers.head = [head](const HttpResponseHead &received) { *head = received; };
            handlers.data = [body](const std::string &data) { *body += data; };
            handlers.end = [this, head, body, done](ExchangeEnd end) {
                if (end != ExchangeEnd::Complete) {
                    head->reset();
                }
                control_.post([head, body, done](Now now) { done(now, *head, *body); });
            };
            client_->start(request, timeout, std::move(handlers));
        });
    }

    void requestReport()
    {
        isReadingReport_ = true;
        sendRequest(Dialect::reportRequest(), answerTimeout,
                    [this](Now now, const std::optional<HttpResponseHead> &head, const std::string &body) {
                        isReadingReport_ = false;
                        bool isBusy = false;
                        // A report that cannot be applied does not end all later ones.
                        runGuarded(ErrorPlace::ControlEvent, [&] { isBusy = applyReport(now, head, body); });
                        control_.timers().subscribe(now.mono + (isBusy ? busyReportInterval : idleReportInterval),
                                                    [this](TimePoint) {
                                                        if (!isReadingReport_) {
                                                            requestReport();
                                                        }
                                                    });
                    });
    }

    /// Returns whether a load or an order is in progress.
    bool applyReport(Now now, const std::optional<HttpResponseHead> &head, const std::string &body)
    {
        const auto report = head && head->status == 200 ? Dialect::readReport(*head, body) : std::nullopt;
        setReachable(report.has_value());
        if (!report) {
            controller_.onReportFailed(now.mono);
            return false;
        }
        controller_.applyReport(*report, now.mono);
        reading_.applyEngine(controller_, now.mono);
        applyOwnLimit(report->requestsPerSecond, now.mono);
        logMeasurements(now.mono);
        return !report->pending.empty() || report->busy || controller_.isAwaitingEffect();
    }

    void logMeasurements(TimePoint now)
    {
        if (now < nextLoadLogAt_) {
            return;
        }
        nextLoadLogAt_ = now + loadLogInterval;
        const auto state = controller_.state(now);
        logEvent(Event::LoadsLearned, {{"loadMs", std::uint64_t{state.load_ms()}},
                                       {"recentLoadMs", std::uint64_t{state.recent_load_ms()}},
                                       {"copyMs", std::uint64_t{state.copy_ms()}},
                                       {"copies", std::uint64_t{state.copies()}},
                                       {"modelMs", std::uint64_t{state.model_ms()}},
                                       {"loadsAtOnce", std::uint64_t{state.loads_at_once()}}});
        reading_.logCounters();
    }

    void setReachable(bool isReachable)
    {
        if (std::exchange(isReachable_, isReachable) != isReachable) {
            logEvent(isReachable ? Event::EndpointBack : Event::EndpointLost,
                     {{"endpoint", settings_.direct().endpoint()}});
        }
    }

    void afterEvents(TimePoint now)
    {
        updateSlots(now);
        origins_.tick(now);
        logOrigins(now);
        renewFencingNumber(now);
        if (const auto order = controller_.nextOrder(now)) {
            sendOrder(*order);
        }
        reading_.afterEvents(now);
        scheduleReading();
        const auto work = controller_.pendingWork();
        const auto changedLoad = work > lastSentWork_ ? work - lastSentWork_ : lastSentWork_ - work;
        const auto changedWork = std::max(changedLoad, reading_.changedWork());
        const bool hasNewState = controller_.revision() != lastSentRevision_;
        const auto due = lastSentAt_ + (changedWork >= minWorkChange ? updateInterval(changedWork) : updateInterval());
        if (now >= nextStateAt_ || ((hasNewState || changedWork >= minWorkChange) && now >= due)) {
            sendStateToAll(now);
        } else if (hasNewState && controller_.revision() != lastUrgentRevision_) {
            sendStateToWaiting(now);
        } else if (changedWork >= minWorkChange && nextStateAt_ > due) {
            scheduleState(due);
        }
    }

    /// Calls afterEvents() when a waiting request or a prompt is due.
    void scheduleReading()
    {
        const auto due = reading_.nextDueAt();
        if (!due || (readingTimerAt_ && *readingTimerAt_ <= *due)) {
            return;
        }
        readingTimerAt_ = due;
        control_.timers().subscribe(*due, [this, due = *due](TimePoint) {
            if (readingTimerAt_ == due) {
                readingTimerAt_.reset();
            }
        });
    }

    /// Shortens the interval as pending work changes more. Prevents many entries from choosing the same engine on
    /// outdated state: each of them would take it for free for up to half a second.
    Duration updateInterval(std::uint64_t changedWork) const
    {
        const auto minInterval = std::max<Duration>(minUpdateInterval, updateInterval() / 8);
        return std::max<Duration>(minInterval, updateInterval() * minWorkChange / changedWork);
    }

    void sendOrder(const EngineOrder &order)
    {
        sendRequest(Dialect::orderRequest(order, settings_.name()), controller_.orderTimeout(),
                    [this, order](Now now, const std::optional<HttpResponseHead> &head, const std::string &) {
                        const auto result = head ? Dialect::readOrderResult(*head) : EngineOrderResult::NoAnswer;
                        const auto incarnation = head ? Dialect::incarnationOf(*head) : std::string();
                        logEvent(Event::EngineOrder, {{"order", std::string(toString(order.kind))},
                                                      {"model", order.model},
                                                      {"adapter", order.adapter},
                                                      {"endpoint", order.endpointId},
                                                      {"expected", order.expectedSequence},
                                                      {"fence", order.fencingNumber},
                                                      {"result", std::string(toString(result))},
                                                      {"incarnation", incarnation}});
                        controller_.onOrderEnded(order.id, result, incarnation, now.mono);
                        if (!isReadingReport_) {
                            requestReport();
                        }
                    });
    }

    void updateState(TimePoint now)
    {
        auto state = controller_.state(now);
        state.set_interval_ms(static_cast<std::uint32_t>(toMilliseconds(stateInterval())));
        state.set_shares_store(true);
        state.set_keeps_origins(true);
        reading_.addTo(state);
        statePublisher_.update(state);
    }

    void sendStateToAll(TimePoint now)
    {
        lastSentRevision_ = controller_.revision();
        lastUrgentRevision_ = lastSentRevision_;
        lastSentWork_ = controller_.pendingWork();
        reading_.onStateSent();
        lastSentAt_ = now;
        scheduleState(now + stateInterval());
        updateState(now);
        for (const auto peer : entries_) {
            messenger_->sendTo(peer, statePublisher_.buildMessage(peer));
        }
    }

    /// Entries with calls that wait for an adapter get every change immediately, the others after updateInterval().
    void sendStateToWaiting(TimePoint now)
    {
        lastUrgentRevision_ = controller_.revision();
        if (nextStateAt_ > lastSentAt_ + updateInterval()) {
            scheduleState(std::max(now, lastSentAt_ + updateInterval()));
        }
        updateState(now);
        for (const auto peer : entries_) {
            if (controller_.hasWaitingCalls(peer)) {
                messenger_->sendTo(peer, statePublisher_.buildMessage(peer));
            }
        }
    }

    Duration updateInterval() const
    {
        return std::min<Duration>(maxUpdateInterval, updateIntervalPerEntry * entries_.size());
    }

    /// Maximum time between two messages to an entry.
    Duration stateInterval() const
    {
        return std::max<Duration>(minStateInterval, updateInterval());
    }

    void scheduleState(TimePoint at)
    {
        nextStateAt_ = at;
        control_.timers().subscribe(at, [](TimePoint) {});
    }

    settings::Settings settings_;
    const NetAddress store_;
    const NetAddress engine_;
    std::uint64_t incarnation_;
    AdapterController controller_; // control thread, as are the members below up to nextStateAt_
    bool isRequestingFence_ = true; // control thread; start() requests the first number
    TimePoint fenceRequestedAt_ = EventLoop::now(); // control thread; since when there is no number
    EngineReading reading_; // control thread
    std::optional<TimePoint> readingTimerAt_; // control thread; earliest pending timer of scheduleReading()
    AllowancePools allowancePools_; // control thread; of workspaces
    AllowancePools limitPools_; // control thread; of endpoints that have announced a rate limit
    SlotTable slots_; // control thread
    bool leasesSlots_ = true;
    TimePoint slotCheckAt_ = TimePoint::max(); // control thread; when leases or waits expire
    TimePoint nextSlotLogAt_{}; // control thread
    std::uint64_t loggedSlotDecisions_ = 0; // control thread; in the last log line
    OriginTable origins_; // control thread
    TimePoint nextOriginLogAt_{}; // control thread
    std::uint64_t loggedOriginChanges_ = 0; // control thread; in the last log line
    std::optional<double> reportedLimit_; // control thread; in the engine's last report
    std::set<PeerHandle> entries_; // entries that have sent a demand
    StatePublisher statePublisher_;
    bool isReadingReport_ = false;
    bool isReachable_ = true;
    std::uint64_t lastSentRevision_ = 0; // last revision sent to all entries
    std::uint64_t lastUrgentRevision_ = 0; // last revision sent to entries with waiting calls
    std::uint64_t lastSentWork_ = 0; // pending work last sent to all entries
    TimePoint lastSentAt_{};
    TimePoint nextLoadLogAt_{};
    TimePoint nextStateAt_{};
    bool isShutDown_ = false;
    ControlLoop control_;
    EventLoop loop_;
    std::unique_ptr<HttpClient> client_; // the loop's thread
    std::unique_ptr<FencingClient<Dialect>> fencing_; // the loop's thread
    std::unique_ptr<SharedStoreWatch<Dialect>> sharedWatch_; // the loop's thread
    std::unique_ptr<Messenger> messenger_;
};

} // namespace anvilscale

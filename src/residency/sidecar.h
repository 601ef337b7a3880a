// Implementation class of SidecarDecisions. Each source file sidecar_*.cpp implements one group of events.
#pragma once

#include "adapter_table.h"
#include "attempt_filter.h"
#include "call_queue.h"
#include "decaying_mean.h"
#include "earliest_deadline.h"
#include "eviction.h"
#include "execution_table.h"
#include "fair_share.h"
#include "key_guard.h"
#include "order_tracker.h"
#include "recovery.h"

#include "anvilscale/residency.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilscale {

/// Peer that sent a Hello and receives heartbeats.
struct Subscriber
{
    std::string name;
    bool isScheduler = false; ///< reported that it holds the scheduler lease; not reset by a Hello as an entry
    std::uint64_t schedulerFence = 0;
    TimePoint schedulerReceivedAt; ///< time of the latest Hello as the scheduler or grant
    bool needsFullState = true;
    bool hasSentDemands = false; ///< the latest message sent to it had demands, so their end must be sent as well
};

/// Load decided on by a grant, or by this sidecar if the scheduler is absent or suspect or its grants are overdue.
struct PlannedLoad
{
    AdapterVersion adapterVersion;
    SlotClaim claim;
    bool isGranted = false;
    PeerHandle scheduler;
    std::uint64_t fence = 0;
    std::uint64_t grant = 0;
    TimePoint plannedAt;
    TimePoint validUntil = TimePoint::max(); ///< the load order must be sent before this time
    OrderHandle order; ///< set once the load order was sent
};

/// Summary of the waiting calls of one absent adapter.
struct PendingDemand
{
    AdapterVersion adapterVersion;
    std::uint32_t waiting = 0;
    CallClass highestClass = CallClass::Bulk;
    TimePoint oldestArrival = TimePoint::max();
    TimePoint earliestDeadline = TimePoint::max();
    double gain = 0.0;
};

/// Call that was resolved at a newer revision, held while this sidecar fetches that revision.
struct HeldCall
{
    PeerHandle from;
    wire::CallRequest request;
    TimePoint arrivedAt;
    TimePoint deadline;
};

/// Reason and proof of a refusal, as sent to the entry.
struct RefusalDetail
{
    RefusalReason reason = RefusalReason::Internal;
    bool provedNotRun = true;
    Duration retryAfter{};
    std::uint64_t slotFence = 0;
};

/// Hash of the fields that must match for two requests with the same key to be the same request.
std::uint64_t computeFingerprint(const wire::CallRequest &request);

struct SidecarDecisions::Impl
{
    explicit Impl(SidecarInit given);
    ~Impl();

    // sidecar.cpp: life cycle and timer
    void start(Now now);
    void drain(Now now);
    void detectPause(TimePoint now);
    /// Runs after every event: starts calls, plans loads, sends heartbeats and arms the timer.
    void reconcile(Now now);
    void onTimer(TimePoint at);
    void arm(TimePoint now);
    std::optional<TimePoint> nextWakeup(TimePoint now) const;
    void addLoadDeadlines(EarliestDeadline &due, TimePoint now) const;
    void finishDrain(Now now);
    const Policy &policy() const;
    bool isEngine() const
    {
        return init_.kind == EndpointKind::Engine;
    }
    bool isAdmitting() const
    {
        return recovery_.isDone() && isEndpointUp_ && !isLeaving_;
    }

    // sidecar_peers.cpp: messages and membership
    void onMessage(PeerHandle from, const wire::Envelope &message, Now now);
    void onHello(PeerHandle from, const wire::Hello &hello, Now now);
    void onPeerLost(PeerHandle peer, Now now);
    void onMembers(const std::vector<Member> &members, Now now);
    void send(PeerHandle to, wire::Envelope message);
    PeerHandle scheduler() const;

    // sidecar_admission.cpp: admission of calls
    void onCall(PeerHandle from, const wire::CallRequest &request, Now now);
    void admit(PeerHandle from, const wire::CallRequest &request, TimePoint arrivedAt, Now now);
    std::optional<RefusalDetail> validateRequest(const wire::CallRequest &request) const;
    std::optional<RefusalDetail> checkState(TimePoint now);
    std::optional<RefusalDetail> checkAdapter(const WaitingCall &call, TimePoint now);
    std::optional<RefusalDetail> checkCapacity(const WaitingCall &call, TimePoint now);
    void enqueue(WaitingCall call, Now now);
    /// Frees a queue position by refusing a waiting call of a lower class; false if there is none.
    bool displaceLowerClass(const WaitingCall &call, TimePoint now);
    WaitingCall makeCall(PeerHandle from, const wire::CallRequest &request, TimePoint arrivedAt) const;
    bool attachToRunning(const WaitingCall &call);
    bool attachToWaiting(const WaitingCall &call);
    void attachListener(Execution &execution, const WaitingCall &call);
    void addWaitingListener(WaitingCall &waiting, const WaitingCall &call);
    Duration queueDelay(CallClass callClass, TimePoint now) const;
    Duration loadDelay(TimePoint now) const;
    bool isDeadlineUnreachable(const WaitingCall &call, TimePoint now) const;
    Duration queueRetryDelay(TimePoint now);
    bool isOpen(const AttemptKey &attempt) const;
    void refuse(const Listener &listener, const RefusalDetail &detail);
    void refuseAll(const WaitingCall &call, const RefusalDetail &detail);
    template<class Condition>
    void refuseWaiting(const RefusalDetail &detail, Condition condition);

    // sidecar_versions.cpp: configuration
    std::uint64_t revision() const;
    void onConfigChanged(Now now);
    std::optional<RefusalDetail> checkVersion(const wire::CallRequest &request) const;
    bool isBehind(const wire::CallRequest &request) const;
    void holdCall(PeerHandle from, const wire::CallRequest &request, TimePoint arrivedAt, Now now);
    void fetchConfig(Now now);
    void expireHeldCalls(Now now);
    void markSuperseded();
    /// Finds the versions to load ahead of a version switch.
    void planPrefetch();
    std::vector<PendingDemand> prefetchDemands(TimePoint now) const;

    // sidecar_keys.cpp: at-most-once calls
    std::optional<ServiceView> findService(const wire::CallRequest &request) const;
    KeyGuard *findGuard(const std::string &service);
    void createGuards(Now now);
    void refuseSlotCalls(const std::string &service, std::uint32_t slot);
    /// Returns the refusal of the call, if any. Sets `isAnswered` if it was attached or its kept answer is sent.
    std::optional<RefusalDetail> checkKey(WaitingCall &call, const ServiceView &view, Now now, bool &isAnswered);
    bool attachByHandle(ExecutionHandle handle, const WaitingCall &call);
    void admitAtMostOnce(WaitingCall call, const ServiceView &view, Now now);
    bool stillOwnsSlot(const WaitingCall &call, Now now);
    /// Returns true if a refusal may claim that no attempt with the request's key ran.
    bool provesNotRun(const wire::CallRequest &request, Now now);
    void releaseKey(const std::string &service, const std::string &key);
    void finishKey(const Execution &execution, CachedAnswer &&answer, Now now);
    void expireKeys(Now now);
    void drainGuards(Now now);
    bool guardsDrained(Now now);

    // sidecar_calls.cpp: waiting and running calls
    void startCalls(Now now);
    static bool mayStart(const WaitingCall &call);
    void startCall(CallQueue::Iterator it, Now now);
    void recordStall(const WaitingCall &call, wire::CallRequest &request, TimePoint now);
    void onExecutionStarted(ExecutionHandle handle, Now now);
    void onExecutionEnded(ExecutionHandle handle, CachedAnswer &&answer, Now now);
    void releasePin(Execution &execution, const CachedAnswer &answer, Now now);
    void onCancel(const wire::CallCancel &cancel, Now now);
    void detachFromWaiting(const AttemptKey &attempt, Now now);
    void detachFromRunning(const AttemptKey &attempt, Now now);
    void scheduleCancel(Execution &execution, TimePoint now);
    void cancel(Execution &execution, FailureReason reason);
    void onCredit(const wire::CallCredit &credit);
    void expireCalls(Now now);
    void expireWaiting(Now now);
    void removeWaiting(CallQueue::Iterator it);

    // sidecar_orders.cpp: engine orders and state
    OrderHandle openOrder(OrderKind kind, const AdapterVersion &adapterVersion, Now now);
    void emitOrder(OrderHandle handle, OrderKind kind, const AdapterVersion &adapterVersion);
    void pollEngine(Now now);
    std::optional<TimePoint> nextListAt() const;
    void onOrderDone(OrderHandle handle, OrderOutcome outcome, Now now);
    void onLoadDone(AdapterRecord &record, const OpenOrder &order, OrderOutcome outcome, Now now);
    void onUnloadDone(AdapterRecord &record, const OpenOrder &order, OrderOutcome outcome, Now now);
    void markOrderLost(AdapterRecord &record, const OpenOrder &order, Now now);
    void recordLoad(AdapterRecord &record, Duration duration, TimePoint now);
    void onEngineList(OrderHandle handle, const EngineList &list, Now now);
    void applyList(const OpenOrder &order, const EngineList &list, bool endsRecovery, Now now);
    void resolveFromList(AdapterRecord &record, const OpenOrder &order, bool isLoaded, Now now);
    void releaseOrphans(AdapterRecord &record, const OpenOrder &order, std::uint32_t runningCalls);
    void adoptOrphans(AdapterRecord &record, const OpenOrder &order, std::uint32_t runningCalls, bool endsRecovery);
    void onEngineReport(const EngineReport &report, Now now);
    void onEngineLost(Now now);
    /// Returns false if the message with this incarnation is out of date.
    bool onIncarnation(std::uint64_t incarnation, bool isRequestedSinceIncarnation, Now now);
    void handleEngineRestart(Now now);

    // sidecar_loads.cpp: assignment of slots
    void planLoads(Now now);
    void advanceLoads(Now now);
    /// Returns the outcome of the load if it ends now. `evicting` counts pending evictions not yet claimed by a load.
    std::optional<OrderOutcome> advanceLoad(PlannedLoad &plannedLoad, std::ptrdiff_t &evicting, Now now);
    bool mayLoadWithoutGrant(TimePoint now) const;
    /// Suspects the scheduler if no message was received from it while calls wait for a load.
    void checkScheduler(bool hasWaitingCalls, TimePoint now);
    void onSchedulerMessage(PeerHandle from, std::uint64_t fence, TimePoint now);
    void clearYielding();
    void planLocalLoad(const std::vector<PendingDemand> &demands, Now now);
    AdapterRecord *findVictim(const SlotClaim &claim, TimePoint now);
    std::vector<PendingDemand> collectDemands(TimePoint now) const;
    bool hasPlannedLoad(const AdapterVersion &adapterVersion) const;
    static bool exceedsStarvationBound(TimePoint since, TimePoint deadline, TimePoint now);
    SlotClaim makeClaim(const PendingDemand &demand, TimePoint now) const;
    void evict(AdapterRecord &record, Now now);
    void startLoad(PlannedLoad &plannedLoad, AdapterRecord &record, Now now);
    void finishLoad(const AdapterVersion &adapterVersion, OrderOutcome outcome, Now now);
    void reportGrant(const PlannedLoad &plannedLoad, OrderOutcome outcome, TimePoint now);
    void onLoadFailed(AdapterRecord &record, OrderOutcome outcome, Now now);
    void onGrant(PeerHandle from, const wire::LoadGrant &grant, Now now);
    std::optional<OrderOutcome> checkGrant(const wire::LoadGrant &grant) const;
    void chooseYieldingAdapter(const std::vector<PendingDemand> &demands, Now now);

    // sidecar_heartbeats.cpp: heartbeats
    void markChanged(const AdapterVersion &adapterVersion, bool isUrgent);
    void sendHeartbeats(Now now);
    std::optional<TimePoint> nextHeartbeatDue() const;
    wire::Heartbeat makeHeartbeat(TimePoint now);
    Duration heartbeatInterval() const;
    bool hasUpdates(const wire::Heartbeat &base, TimePoint now) const;
    void addChanges(wire::Heartbeat &delta);
    ResidencyState currentState(const AdapterVersion &adapterVersion) const;
    wire::Heartbeat makeFullHeartbeat(const wire::Heartbeat &base) const;
    static std::uint64_t digestWithoutLoad(const wire::Heartbeat &heartbeat);
    wire::Beat makeBeat(const wire::Heartbeat &heartbeat) const;
    double victimValue(TimePoint now);
    wire::AdapterState makeAdapterState(const AdapterRecord &record) const;
    static wire::AdapterState makeAbsentState(const AdapterVersion &adapterVersion);
    void addDemands(wire::Heartbeat &into, TimePoint now);

    SidecarInit init_;
    Random random_;
    SidecarStats stats_;
    std::vector<SidecarAction> actions_;
    EvictionRules evictionRules_;
    static constexpr Duration starvationBound = Seconds(5); // wait after which a call is promoted by one class
    AnyQueueOrder queueOrder_;

    AdapterTable adapters_;
    OrderTracker orders_;
    CallQueue queue_;
    ExecutionTable executions_;
    Recovery recovery_;
    AttemptFilter endedAttempts_;
    std::vector<HeldCall> heldCalls_;
    TimePoint nextFetchAt_; // earliest time of the next configuration fetch
    std::map<AdapterVersion, AdapterVersion> prefetch_; // version to load ahead -> current version
    std::map<PeerHandle, Subscriber> subscribers_;

    Now lastEventTime_{}; // the wall clock of a timer event is derived from it
    TimerHandle timer_;
    TimePoint timerAt_ = TimePoint::max();

    bool isLeaving_ = false; // never reset
    bool isDrained_ = false; // Drained was emitted
    bool isEndpointUp_ = true;
    bool isConfigStale_ = false;
    TimePoint catchUpDeadline_; // after a pause, received calls may be based on outdated state until then
    std::uint64_t engineIncarnation_ = 0; // 0 if unknown
    std::uint64_t lastExecution_ = 0;
    std::uint64_t lastMessage_ = 0;
    std::uint64_t phaseOrderNumber_ = 0; // orders with a larger number were sent in the current recovery phase
    std::uint64_t incarnationOrderNumber_ = 0; // orders with a larger number were sent after engineIncarnation_ changed
    TimePoint engineAdoptedAt_; // time of start or of the last detected engine restart
    TimePoint endpointRetryAt_; // an unreachable plain service is retried then
    TimePoint lastListAt_;
    TimePoint nextOrderAt_; // backoff for list and fence orders

    std::map<std::string, std::unique_ptr<KeyGuard>> guards_; // by service
    std::vector<std::string> memberNames_; // live sidecars, sorted
    TimePoint nextKeyExpiryAt_;
    TimePoint guardsDeadline_ = TimePoint::max(); // a drain stops waiting for slot transfers then

    std::vector<PlannedLoad> plannedLoads_;
    TimePoint nextLocalLoadAt_;
    static constexpr Duration deadlineCheckInterval = Milliseconds(100);
    TimePoint nextDeadlineCheckAt_; // next check of the calls that wait for a load
    std::optional<TimePoint> demandSince_; // set while calls wait for an absent adapter
    bool isSchedulerSuspect_ = false; // it did not respond to demands; reset by its next message
    TimePoint lastGrantAt_;
    bool hasSentBlockedDemand_ = false; // the latest demands reported that no slot can be freed
    std::uint64_t highestGrantFence_ = 0;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> recentGrants_; // fencing number and grant number
    std::uint32_t liveSidecarCount_ = 1; // including this one
    DecayingMean loadTime_;
    DecayingMean stallTime_;
    DecayingMean serviceTime_;

    std::set<AdapterVersion> changedAdapters_; // since the last Heartbeat with updates
    std::map<AdapterVersion, ResidencyState> lastSentStates_; // without absent adapters
    std::uint64_t lastSentDigest_ = 0;
    TimePoint lastUpdateAt_;
    std::uint64_t heartbeatSequence_ = 0;
    TimePoint nextHeartbeatAt_;
    TimePoint lastHeartbeatAt_;
    bool isHeartbeatUrgent_ = false;
    double heartbeatBudgetBytes_ = 0.0; // remaining send budget as of lastHeartbeatAt_
    std::vector<std::uint64_t> prefixes_;
    std::uint64_t prefixSequence_ = 0;
    std::uint32_t stepFillPermille_ = 0;
};

template<class Condition>
void SidecarDecisions::Impl::refuseWaiting(const RefusalDetail &detail, Condition condition)
{
    for (auto it = queue_.calls().begin(); it != queue_.calls().end();) {
        const auto current = it++;
        if (condition(*current)) {
            refuseAll(*current, detail);
            removeWaiting(current);
        }
    }
}

} // namespace anvilscale

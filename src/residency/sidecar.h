// The sidecar's decisions: the parts put together. Each source file sidecar_*.cpp holds one group of events. Every
// event ends in settleAll(), which starts what can start, plans loads and arms one timer for the next thing due.
#pragma once

#include "adapter_table.h"
#include "attempt_filter.h"
#include "call_queue.h"
#include "estimator.h"
#include "eviction.h"
#include "execution_table.h"
#include "fair_share.h"
#include "key_guard.h"
#include "next_due.h"
#include "order_book.h"
#include "recovery.h"

#include "anvilscale/residency.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilscale {

/// Someone who said Hello: gets heartbeats.
struct Subscriber
{
    std::string name;
    bool scheduler = false; ///< has said that it holds the scheduler's lease; an entry's own Hello does not undo it
    std::uint64_t schedulerFence = 0;
    TimePoint schedulerHeard; ///< latest Hello as the scheduler, or grant
    bool wantsFull = true;
    bool toldDemands = false; ///< its latest message carried demands: it must hear when there are none any more
};

/// A load that has been decided on: by a grant, or by this sidecar itself while no scheduler is heard.
struct LoadTicket
{
    AdapterVersion which;
    SlotClaim claim;
    bool granted = false;
    PeerHandle scheduler;
    std::uint64_t fence = 0;
    std::uint64_t grant = 0;
    TimePoint since;
    TimePoint validUntil = TimePoint::max(); ///< the load order must be sent before
    OrderHandle load; ///< set once the order was sent
};

/// All waiting calls of one absent adapter.
struct Demand
{
    AdapterVersion which;
    std::uint32_t waiting = 0;
    CallClass mostUrgent = CallClass::Bulk;
    TimePoint oldest = TimePoint::max();
    TimePoint leastDeadline = TimePoint::max();
    double gain = 0.0;
};

/// A call that was resolved at a newer revision than ours, while we fetch it.
struct HeldCall
{
    PeerHandle from;
    wire::CallRequest request;
    TimePoint arrived;
    TimePoint until;
};

struct RefusalDetail
{
    RefusalReason reason = RefusalReason::Internal;
    bool provedNotRun = true;
    Duration retryAfter{};
    std::uint64_t slotFence = 0;
};

/// Hash of what makes two requests with one key the same request.
std::uint64_t fingerprintOf(const wire::CallRequest &request);

struct SidecarDecisions::Impl
{
    explicit Impl(SidecarInit given);
    ~Impl();

    // sidecar.cpp: life cycle, time
    void start(Now now);
    void drain(Now now);
    void noticePause(TimePoint now);
    void settleAll(Now now);
    void onTimer(TimePoint at);
    void arm(TimePoint now);
    std::optional<TimePoint> nextDue(TimePoint now) const;
    void loadsDue(NextDue &due, TimePoint now) const;
    void finishDrain(Now now);
    const Policy &policy() const;
    bool isEngine() const
    {
        return init_.kind == EndpointKind::Engine;
    }
    bool admitting() const
    {
        return recovery_.done() && endpointUp_ && !leaving_;
    }

    // sidecar_peers.cpp: messages
    void onMessage(PeerHandle from, const wire::Envelope &message, Now now);
    void onHello(PeerHandle from, const wire::Hello &hello, Now now);
    void onPeerLost(PeerHandle peer, Now now);
    void onMembers(const std::vector<Member> &members, Now now);
    void send(PeerHandle to, wire::Envelope message);
    PeerHandle scheduler() const;

    // sidecar_admission.cpp: a call comes in
    void onCall(PeerHandle from, const wire::CallRequest &request, Now now);
    void admit(PeerHandle from, const wire::CallRequest &request, TimePoint arrived, Now now);
    std::optional<RefusalDetail> checkForm(const wire::CallRequest &request) const;
    std::optional<RefusalDetail> checkState(TimePoint now);
    std::optional<RefusalDetail> checkAdapter(const WaitingCall &call, TimePoint now);
    std::optional<RefusalDetail> checkRoom(const WaitingCall &call, TimePoint now);
    void enqueue(WaitingCall call, Now now);
    /// Makes room for the call by refusing a waiting one of a lower class.
    bool displace(const WaitingCall &call, TimePoint now);
    WaitingCall makeCall(PeerHandle from, const wire::CallRequest &request, TimePoint arrived) const;
    bool attachToRunning(const WaitingCall &call);
    bool attachToWaiting(const WaitingCall &call);
    void attachListener(Execution &execution, const WaitingCall &call);
    void joinWaiting(WaitingCall &waiting, const WaitingCall &call);
    Duration queueDelay(CallClass callClass, TimePoint now) const;
    Duration loadDelay(TimePoint now) const;
    bool hopeless(const WaitingCall &call, TimePoint now) const;
    Duration retryAfterQueue(TimePoint now);
    bool isOpen(const AttemptKey &attempt) const;
    void refuse(const Listener &listener, const RefusalDetail &detail);
    void refuseAll(const WaitingCall &call, const RefusalDetail &detail);
    template<class Condition>
    void refuseWaiting(const RefusalDetail &detail, Condition condition);

    // sidecar_versions.cpp: the configuration
    std::uint64_t revision() const;
    void onConfigChanged(Now now);
    std::optional<RefusalDetail> checkVersion(const wire::CallRequest &request) const;
    bool isBehind(const wire::CallRequest &request) const;
    void hold(PeerHandle from, const wire::CallRequest &request, TimePoint arrived, Now now);
    void fetchConfig(Now now);
    void expireHeld(Now now);
    void markSuperseded();
    /// Finds the versions that are to be loaded ahead of a switch.
    void planPrefetch();
    std::vector<Demand> prefetchDemands(TimePoint now) const;

    // sidecar_keys.cpp: calls that must run at most once
    std::optional<ServiceView> serviceOf(const wire::CallRequest &request) const;
    KeyGuard *guardOf(const std::string &service);
    void openGuards(Now now);
    void giveSlot(const std::string &service, std::uint32_t slot);
    /// Why the call is refused, if it is. `answered`: it was attached or its answer is sent again.
    std::optional<RefusalDetail> decideKey(WaitingCall &call, const ServiceView &view, Now now, bool &answered);
    bool attachByHandle(ExecutionHandle handle, const WaitingCall &call);
    void admitAtMostOnce(WaitingCall call, const ServiceView &view, Now now);
    bool mayStillRun(const WaitingCall &call, Now now);
    /// Whether a refusal may claim that no attempt with the request's key ran.
    bool provesNotRun(const wire::CallRequest &request, Now now);
    void releaseKey(const std::string &service, const std::string &key);
    void endKey(const Execution &execution, KeptAnswer &&answer, Now now);
    void expireKeys(Now now);
    void drainGuards(Now now);
    bool guardsDrained(Now now);

    // sidecar_calls.cpp: calls that wait or run
    void startCalls(Now now);
    static bool mayStart(const WaitingCall &call);
    void startCall(CallQueue::Place place, Now now);
    void countStall(const WaitingCall &call, wire::CallRequest &request, TimePoint now);
    void onExecutionStarted(ExecutionHandle handle, Now now);
    void onExecutionEnded(ExecutionHandle handle, KeptAnswer &&answer, Now now);
    void releasePin(Execution &execution, const KeptAnswer &answer, Now now);
    void onCancel(const wire::CallCancel &cancel, Now now);
    void leaveWaiting(const AttemptKey &attempt, Now now);
    void leaveRunning(const AttemptKey &attempt, Now now);
    void abandon(Execution &execution, TimePoint now);
    void cancel(Execution &execution, FailureReason why);
    void onCredit(const wire::CallCredit &credit);
    void expireCalls(Now now);
    void expireWaiting(Now now);
    void dropWaiting(CallQueue::Place place);

    // sidecar_orders.cpp: the engine
    OrderHandle openOrder(OrderKind kind, const AdapterVersion &which, Now now);
    void emitOrder(OrderHandle handle, OrderKind kind, const AdapterVersion &which);
    void pollEngine(Now now);
    std::optional<TimePoint> listDue() const;
    void onOrderDone(OrderHandle handle, OrderOutcome outcome, Now now);
    void onLoadDone(AdapterRecord &record, const OpenOrder &order, OrderOutcome outcome, Now now);
    void onUnloadDone(AdapterRecord &record, const OpenOrder &order, OrderOutcome outcome, Now now);
    void loseOrder(AdapterRecord &record, const OpenOrder &order, Now now);
    void countLoad(AdapterRecord &record, Duration took, TimePoint now);
    void onEngineList(OrderHandle handle, const EngineList &list, Now now);
    void adoptList(const OpenOrder &order, const EngineList &list, bool first, Now now);
    void settleByList(AdapterRecord &record, const OpenOrder &order, bool loaded, Now now);
    void releaseLingering(AdapterRecord &record, const OpenOrder &order, std::uint32_t runs);
    void inheritRuns(AdapterRecord &record, const OpenOrder &order, std::uint32_t runs, bool first);
    void onEngineReport(const EngineReport &report, Now now);
    void onEngineLost(Now now);
    /// False if what comes with this incarnation is out of date.
    bool onIncarnation(std::uint64_t incarnation, bool askedSince, Now now);
    void engineRestarted(Now now);

    // sidecar_loads.cpp: which adapter gets a slot
    void planLoads(Now now);
    void advanceTickets(Now now);
    /// The outcome with which the ticket ends, if it ends now. `evicting`: slots that come free for later tickets.
    std::optional<OrderOutcome> advanceTicket(LoadTicket &ticket, std::ptrdiff_t &evicting, Now now);
    bool mayLoadByItself(TimePoint now) const;
    /// Decides whether the scheduler has fallen silent while calls wait for a load.
    void watchScheduler(bool anyWaits, TimePoint now);
    void hearScheduler(PeerHandle from, std::uint64_t fence, TimePoint now);
    void clearYielding();
    void addLocalTicket(const std::vector<Demand> &wanted, Now now);
    AdapterRecord *victimFor(const SlotClaim &claim, TimePoint now);
    std::vector<Demand> demands(TimePoint now) const;
    bool hasTicket(const AdapterVersion &which) const;
    static bool starves(TimePoint since, TimePoint deadline, TimePoint now);
    SlotClaim claimFor(const Demand &demand, TimePoint now) const;
    void evict(AdapterRecord &record, Now now);
    void startLoad(LoadTicket &ticket, AdapterRecord &record, Now now);
    void endTicket(const AdapterVersion &which, OrderOutcome outcome, Now now);
    void reportGrant(const LoadTicket &ticket, OrderOutcome outcome, TimePoint now);
    void onLoadFailed(AdapterRecord &record, OrderOutcome outcome, Now now);
    void onGrant(PeerHandle from, const wire::LoadGrant &grant, Now now);
    std::optional<OrderOutcome> checkGrant(const wire::LoadGrant &grant) const;
    void chooseYielding(const std::vector<Demand> &wanted, Now now);

    // sidecar_heartbeats.cpp
    void markChanged(const AdapterVersion &which, bool atOnce);
    void sendHeartbeats(Now now);
    std::optional<TimePoint> heartbeatDue() const;
    wire::Heartbeat heartbeatBase(TimePoint now);
    Duration heartbeatInterval() const;
    bool hasNews(const wire::Heartbeat &base, TimePoint now) const;
    void takeChanges(wire::Heartbeat &delta);
    ResidencyState currentState(const AdapterVersion &which) const;
    wire::Heartbeat fullOf(const wire::Heartbeat &base) const;
    static std::uint64_t slowPart(const wire::Heartbeat &heartbeat);
    wire::Beat beatOf(const wire::Heartbeat &heartbeat) const;
    double victimValue(TimePoint now);
    wire::AdapterState stateOf(const AdapterRecord &record) const;
    static wire::AdapterState absentState(const AdapterVersion &which);
    void addDemands(wire::Heartbeat &into, TimePoint now);

    SidecarInit init_;
    Random random_;
    SidecarStats stats_;
    std::vector<SidecarAction> actions_;
    EvictionRules evictionRules_;
    static constexpr Duration starvationBound = Seconds(5); // a call moves up one class for each that it has waited
    AnyQueueOrder queueOrder_;

    AdapterTable adapters_;
    OrderBook orders_;
    CallQueue queue_;
    ExecutionTable executions_;
    Recovery recovery_;
    AttemptFilter ended_;
    std::vector<HeldCall> held_; // calls resolved at a newer revision than ours
    TimePoint nextFetch_; // no configuration is asked for before
    std::map<AdapterVersion, AdapterVersion> prefetch_; // version to load ahead, and the present one
    std::map<PeerHandle, Subscriber> subscribers_;

    Now last_{}; // time of the latest event; the wall clock of a timer is worked out from it
    TimerHandle timer_;
    TimePoint timerAt_ = TimePoint::max();

    bool leaving_ = false; // final
    bool drained_ = false; // Drained was emitted
    bool endpointUp_ = true;
    bool configStale_ = false;
    TimePoint catchUpUntil_; // after a pause; what was sent here before its end may rest on knowledge that is old
    std::uint64_t engineIncarnation_ = 0; // 0 until the engine has told it; grows only
    std::uint64_t lastExecution_ = 0;
    std::uint64_t lastMessage_ = 0;
    std::uint64_t listMark_ = 0; // orders with a larger number were sent in the present phase of recovery
    std::uint64_t incarnationMark_ = 0; // orders with a larger number were sent since engineIncarnation_ is known
    TimePoint takeOverAt_; // start, or the last restart of the engine that was noticed
    TimePoint downUntil_; // a plain service that could not be reached is tried again then
    TimePoint lastListAt_;
    TimePoint retryOrderAt_; // no list or fence is sent before, after one that failed

    std::map<std::string, std::unique_ptr<KeyGuard>> guards_; // by service
    std::vector<std::string> memberNames_; // live sidecars, sorted
    TimePoint nextKeyExpiry_;
    TimePoint guardsUntil_ = TimePoint::max(); // a drain waits no longer for the slots

    std::vector<LoadTicket> tickets_;
    TimePoint nextLocalLoad_;
    static constexpr Duration hopelessEvery = Milliseconds(100);
    TimePoint nextHopelessCheck_; // of calls that wait for a load
    std::optional<TimePoint> demandSince_; // set while calls wait for an absent adapter
    bool schedulerSilent_ = false; // it did not answer to our demands; until it is heard again
    TimePoint lastGrantAt_;
    bool blockedTold_ = false; // the latest demands told that no slot can be freed
    std::uint64_t highestGrantFence_ = 0;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> grantsSeen_; // fence and number of the latest grants
    std::uint32_t liveSidecars_ = 1; // this one included
    FadingMean loadTime_;
    FadingMean stallTime_;
    FadingMean serviceTime_;

    std::set<AdapterVersion> changed_; // since the last Heartbeat with news
    std::map<AdapterVersion, ResidencyState> told_; // by Heartbeats with news; absent ones left out
    std::uint64_t toldSlowPart_ = 0;
    TimePoint lastNews_;
    std::uint64_t heartbeatSequence_ = 0;
    TimePoint nextHeartbeat_;
    TimePoint lastHeartbeat_;
    bool heartbeatAtOnce_ = false;
    double heartbeatBytes_ = 0.0; // what may be sent now; as of lastHeartbeat_
    std::vector<std::uint64_t> prefixes_;
    std::uint64_t prefixSequence_ = 0;
    std::uint32_t stepFillPermille_ = 0;
};

template<class Condition>
void SidecarDecisions::Impl::refuseWaiting(const RefusalDetail &detail, Condition condition)
{
    for (auto place = queue_.calls().begin(); place != queue_.calls().end();) {
        const auto current = place++;
        if (condition(*current)) {
            refuseAll(*current, detail);
            dropWaiting(current);
        }
    }
}

} // namespace anvilscale

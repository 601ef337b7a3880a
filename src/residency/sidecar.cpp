// Life cycle and timer of the sidecar's state machine.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr Duration idleRecordLifetime = std::chrono::minutes(15);
constexpr Duration minPause = Milliseconds(500); // a larger timer delay counts as a pause of the process
constexpr std::size_t maxRecords = 64; // idle absent adapters are removed above this count

const Policy defaultPolicy;

Recovery::Rules recoveryRules(const SidecarInit &init)
{
    Recovery::Rules rules;
    rules.endpointChecksFence = init.endpointChecksFence;
    rules.waitOutOrders = init.safeguards.recoveryWait;
    rules.fencePredecessor = init.safeguards.fenceCheck;
    rules.orderTimeout = init.orderTimeout;
    rules.incarnation = init.incarnation;
    return rules;
}

} // namespace

SidecarDecisions::Impl::Impl(SidecarInit given)
    : init_(std::move(given))
    , random_(init_.seed)
    , queueOrder_(makeQueueOrder(init_.overload.queuePolicy, starvationBound))
    , adapters_(init_.safeguards)
    , recovery_(recoveryRules(init_))
{
}

SidecarDecisions::Impl::~Impl()
{
    if (init_.timers != nullptr) {
        init_.timers->cancel(timer_);
    }
}

const Policy &SidecarDecisions::Impl::policy() const
{
    return init_.config != nullptr ? init_.config->policy() : defaultPolicy;
}

void SidecarDecisions::Impl::start(Now now)
{
    recovery_.start(now.mono);
    engineAdoptedAt_ = now.mono;
    nextOrderAt_ = now.mono;
    nextHeartbeatAt_ = now.mono;
    if (!isEngine()) {
        recovery_.skip();
    }
    createGuards(now);
    reconcile(now);
}

void SidecarDecisions::Impl::drain(Now now)
{
    if (isLeaving_) {
        return;
    }
    isLeaving_ = true;
    isHeartbeatUrgent_ = true;
    // Refused calls have not reached the endpoint, so their entries can retry them on another sidecar.
    refuseWaiting({RefusalReason::Leaving}, [](const WaitingCall &) { return true; });
    for (const auto &held : heldCalls_) {
        refuse({held.from, AttemptKey::fromWire(held.request.id())}, {RefusalReason::Leaving});
    }
    heldCalls_.clear();
    drainGuards(now);
    reconcile(now);
}

/// Restarts the timeouts of open orders after a pause of this process: an order decided before the pause may be sent
/// only after it. Prevents an order from taking effect on a slot that was reassigned because the order seemed lost.
void SidecarDecisions::Impl::detectPause(TimePoint now)
{
    if (!timer_ || now < timerAt_ + minPause) {
        return;
    }
    for (auto &order : orders_.openOrders()) {
        order.replyDeadline += now - order.sentAt;
        order.sentAt = now;
    }
    // During the pause the endpoint may have been marked as leaving. Prevents waiting calls from reaching an endpoint
    // that must not get new work: they are refused as not run, and their entries route them again.
    if (now - timerAt_ >= init_.timing.suspect) {
        catchUpDeadline_ = now + init_.timing.suspect;
        refuseWaiting({RefusalReason::Recovering}, [](const WaitingCall &) { return true; });
    }
}

void SidecarDecisions::Impl::reconcile(Now now)
{
    detectPause(now.mono);
    lastEventTime_ = now;
    recovery_.advance(now.mono);
    expireCalls(now);
    if (isEngine()) {
        pollEngine(now);
    } else if (!isEndpointUp_ && endpointRetryAt_ <= now.mono) {
        isEndpointUp_ = true; // a plain service has no list order; the next call probes it
        isHeartbeatUrgent_ = true;
    }
    startCalls(now);
    if (isEngine()) {
        planLoads(now);
    }
    expireKeys(now);
    sendHeartbeats(now);
    if (adapters_.records().size() > maxRecords) {
        adapters_.removeIdle(now.mono - idleRecordLifetime);
    }
    finishDrain(now);
    arm(now.mono);
}

void SidecarDecisions::Impl::finishDrain(Now now)
{
    const bool hasOpenOrder = orders_.has(OrderKind::Load) || orders_.has(OrderKind::Unload);
    if (!isLeaving_ || isDrained_ || !executions_.empty() || hasOpenOrder || !guardsDrained(now)) {
        return;
    }
    isDrained_ = true;
    for (auto &[service, guard] : guards_) {
        guard->owner().stop(now);
    }
    actions_.emplace_back(Drained{});
}

void SidecarDecisions::Impl::onTimer(TimePoint at)
{
    detectPause(at);
    timer_ = {};
    timerAt_ = TimePoint::max();
    // A timer reports only the monotonic time; the wall clock is extrapolated from the latest event.
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(at - lastEventTime_.mono).count();
    reconcile(Now{at, WallTime{lastEventTime_.wall.ms + elapsed}});
}

std::optional<TimePoint> SidecarDecisions::Impl::nextWakeup(TimePoint now) const
{
    EarliestDeadline due(now);
    due.at(queue_.nextCheckAt());
    due.at(executions_.nextCancelAt(policy().cancelDelay));
    due.at(orders_.nextReplyDeadline());
    due.at(recovery_.waitDeadline());
    due.at(nextListAt());
    due.at(nextHeartbeatDue());
    if (!isEngine() && !isEndpointUp_) {
        due.at(endpointRetryAt_);
    }
    if (isLeaving_ && !isDrained_ && !guards_.empty()) {
        due.at(guardsDeadline_);
    }
    for (const auto &held : heldCalls_) {
        due.at(std::min(held.deadline, nextFetchAt_));
    }
    addLoadDeadlines(due, now);
    return due.earliest();
}

void SidecarDecisions::Impl::addLoadDeadlines(EarliestDeadline &due, TimePoint now) const
{
    for (const auto &plannedLoad : plannedLoads_) {
        if (!plannedLoad.order) {
            due.at(plannedLoad.validUntil);
        }
    }
    if (demandSince_) {
        due.at(nextDeadlineCheckAt_);
    }
    const PeerHandle schedulerPeer = scheduler();
    for (const auto &[adapterVersion, record] : adapters_.records()) {
        const bool isLoadWaiting = record.waiting != 0 && !record.occupiesSlot();
        if (isLoadWaiting && (!schedulerPeer || isSchedulerSuspect_)) {
            due.at(std::max(record.earliestLoadAt, nextLocalLoadAt_));
        }
    }
    if (demandSince_ && !isSchedulerSuspect_ && schedulerPeer) {
        due.at(std::max(subscribers_.at(schedulerPeer).schedulerReceivedAt, *demandSince_) + init_.timing.suspect);
    }
    if (!prefetch_.empty() && !prefetchDemands(now).empty()) {
        constexpr Duration prefetchRecheck = Milliseconds(500);
        due.at(std::max(nextLocalLoadAt_, now + prefetchRecheck));
    }
}

void SidecarDecisions::Impl::arm(TimePoint now)
{
    if (init_.timers == nullptr) {
        return;
    }
    const auto due = nextWakeup(now);
    if (!due || (timer_ && timerAt_ <= *due && timerAt_ > now)) {
        return; // an early timer only causes an extra reconcile()
    }
    init_.timers->cancel(timer_);
    timerAt_ = *due;
    timer_ = init_.timers->subscribe(*due, [this](TimePoint at) { onTimer(at); });
}

SidecarDecisions::SidecarDecisions(SidecarInit init)
    : impl_(std::make_unique<Impl>(std::move(init)))
{
}

SidecarDecisions::~SidecarDecisions() = default;

void SidecarDecisions::start(Now now)
{
    impl_->start(now);
}

void SidecarDecisions::onMessage(PeerHandle from, const wire::Envelope &message, Now now)
{
    impl_->onMessage(from, message, now);
    impl_->reconcile(now);
}

void SidecarDecisions::onPeerLost(PeerHandle peer, Now now)
{
    impl_->onPeerLost(peer, now);
    impl_->reconcile(now);
}

void SidecarDecisions::onExecutionStarted(ExecutionHandle execution, Now now)
{
    impl_->onExecutionStarted(execution, now);
    impl_->reconcile(now);
}

void SidecarDecisions::onExecutionEnded(ExecutionHandle execution, CachedAnswer answer,
                                        std::uint32_t /*generatedTokens*/, Now now)
{
    impl_->onExecutionEnded(execution, std::move(answer), now);
    impl_->reconcile(now);
}

void SidecarDecisions::onOrderDone(OrderHandle order, OrderOutcome outcome, Now now)
{
    impl_->onOrderDone(order, outcome, now);
    impl_->reconcile(now);
}

void SidecarDecisions::onEngineList(OrderHandle order, const EngineList &list, Now now)
{
    impl_->onEngineList(order, list, now);
    impl_->reconcile(now);
}

void SidecarDecisions::onEngineReport(const EngineReport &report, Now now)
{
    impl_->onEngineReport(report, now);
    impl_->reconcile(now);
}

void SidecarDecisions::onEngineLost(Now now)
{
    impl_->onEngineLost(now);
    impl_->reconcile(now);
}

void SidecarDecisions::onConfigChanged(Now now)
{
    impl_->onConfigChanged(now);
    impl_->reconcile(now);
}

void SidecarDecisions::onKvReply(const KvReply &reply, Now now)
{
    impl_->lastEventTime_ = now;
    for (auto &[service, guard] : impl_->guards_) {
        if (guard->owner().onReply(reply, now)) {
            break;
        }
    }
    impl_->reconcile(now);
}

void SidecarDecisions::onMembers(const std::vector<Member> &members, Now now)
{
    impl_->onMembers(members, now);
    impl_->reconcile(now);
}

void SidecarDecisions::drain(Now now)
{
    impl_->drain(now);
}

void SidecarDecisions::onConfigStale(bool stale, Now now)
{
    impl_->isConfigStale_ = stale;
    impl_->isHeartbeatUrgent_ = true;
    impl_->reconcile(now);
}

std::vector<SidecarAction> SidecarDecisions::takeActions()
{
    return std::exchange(impl_->actions_, {});
}

const SidecarStats &SidecarDecisions::stats() const
{
    auto &stats = impl_->stats_;
    stats.running = impl_->executions_.runningCount();
    stats.queued = static_cast<std::uint32_t>(impl_->queue_.size());
    stats.resident = impl_->adapters_.residentCount();
    return stats;
}

std::vector<wire::AdapterState> SidecarDecisions::adapters() const
{
    std::vector<wire::AdapterState> states;
    for (const auto &[adapterVersion, record] : impl_->adapters_.records()) {
        states.push_back(impl_->makeAdapterState(record));
    }
    return states;
}

bool SidecarDecisions::isLeaving() const
{
    return impl_->isLeaving_;
}

} // namespace anvilscale

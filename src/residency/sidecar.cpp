// Life cycle of the sidecar's decisions, and the one timer.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr Duration forgetAfter = std::chrono::minutes(15);
constexpr Duration pauseNoticed = Milliseconds(500); // a timer that is later than this was held up by a pause
constexpr std::size_t recordsKept = 64; // absent adapters are forgotten only above this

const Policy defaultPolicy;

Recovery::Rules recoveryRules(const SidecarInit &init)
{
    Recovery::Rules rules;
    rules.endpointChecksFence = init.endpointChecksFence;
    rules.waitOutOrders = init.safeguards.recoveryWait;
    rules.fence = init.safeguards.fenceCheck;
    rules.orderTimeout = init.orderTimeout;
    rules.incarnation = init.incarnation;
    return rules;
}

} // namespace

SidecarDecisions::Impl::Impl(SidecarInit given)
    : init_(std::move(given))
    , random_(init_.seed)
    , queueOrder_(makeQueueOrder(init_.overload.order, starvationBound))
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
    takeOverAt_ = now.mono;
    retryOrderAt_ = now.mono;
    nextHeartbeat_ = now.mono;
    if (!isEngine()) {
        recovery_.skip();
    }
    openGuards(now);
    settleAll(now);
}

void SidecarDecisions::Impl::drain(Now now)
{
    if (leaving_) {
        return;
    }
    leaving_ = true;
    heartbeatAtOnce_ = true;
    // Calls that have not reached the endpoint are handed back as not run: their entries send them elsewhere sooner
    // than a queue that nobody refills would serve them.
    refuseWaiting({RefusalReason::Leaving}, [](const WaitingCall &) { return true; });
    for (const auto &held : held_) {
        refuse({held.from, AttemptKey::of(held.request.id())}, {RefusalReason::Leaving});
    }
    held_.clear();
    drainGuards(now);
    settleAll(now);
}

/// An order that was decided before a pause of this process may go out only after it. Its time to take effect is
/// counted anew from the waking: counted from the decision it would be over, a list would show no effect, and the
/// order would then land on a slot that was given to another adapter.
void SidecarDecisions::Impl::noticePause(TimePoint now)
{
    if (!timer_ || now < timerAt_ + pauseNoticed) {
        return;
    }
    for (auto &order : orders_.all()) {
        order.replyUntil += now - order.sentAt;
        order.sentAt = now;
    }
    // While this process stood still its endpoint may have been marked as leaving, and its entries took it for
    // suspect. Calls that waited here would reach the endpoint long after it should get no new work: they go back as
    // not run, and their entries, who know more by now, send them on.
    if (now - timerAt_ >= init_.timing.suspect) {
        catchUpUntil_ = now + init_.timing.suspect;
        refuseWaiting({RefusalReason::Recovering}, [](const WaitingCall &) { return true; });
    }
}

void SidecarDecisions::Impl::settleAll(Now now)
{
    noticePause(now.mono);
    last_ = now;
    recovery_.advance(now.mono);
    expireCalls(now);
    if (isEngine()) {
        pollEngine(now);
    } else if (!endpointUp_ && downUntil_ <= now.mono) {
        endpointUp_ = true; // nobody lists a plain service; the next call tells
        heartbeatAtOnce_ = true;
    }
    startCalls(now);
    if (isEngine()) {
        planLoads(now);
    }
    expireKeys(now);
    sendHeartbeats(now);
    if (adapters_.records().size() > recordsKept) {
        adapters_.forget(now.mono - forgetAfter);
    }
    finishDrain(now);
    arm(now.mono);
}

void SidecarDecisions::Impl::finishDrain(Now now)
{
    const bool orderOpen = orders_.has(OrderKind::Load) || orders_.has(OrderKind::Unload);
    if (!leaving_ || drained_ || !executions_.empty() || orderOpen || !guardsDrained(now)) {
        return;
    }
    drained_ = true;
    for (auto &[service, guard] : guards_) {
        guard->owner().stop(now);
    }
    actions_.emplace_back(Drained{});
}

void SidecarDecisions::Impl::onTimer(TimePoint at)
{
    noticePause(at);
    timer_ = {};
    timerAt_ = TimePoint::max();
    // A timer brings only the monotonic time. The wall clock is that of the latest event, moved on by as much.
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(at - last_.mono).count();
    settleAll(Now{at, WallTime{last_.wall.ms + elapsed}});
}

std::optional<TimePoint> SidecarDecisions::Impl::nextDue(TimePoint now) const
{
    NextDue due(now);
    due.at(queue_.next());
    due.at(executions_.nextCancel(policy().cancelDelay));
    due.at(orders_.next());
    due.at(recovery_.waitsUntil());
    due.at(listDue());
    due.at(heartbeatDue());
    if (!isEngine() && !endpointUp_) {
        due.at(downUntil_);
    }
    if (leaving_ && !drained_ && !guards_.empty()) {
        due.at(guardsUntil_);
    }
    for (const auto &held : held_) {
        due.at(std::min(held.until, nextFetch_));
    }
    loadsDue(due, now);
    return due.earliest();
}

void SidecarDecisions::Impl::loadsDue(NextDue &due, TimePoint now) const
{
    for (const auto &ticket : tickets_) {
        if (!ticket.load) {
            due.at(ticket.validUntil);
        }
    }
    if (demandSince_) {
        due.at(nextHopelessCheck_);
    }
    const PeerHandle granter = scheduler();
    for (const auto &[which, record] : adapters_.records()) {
        const bool loadWaits = record.waiting != 0 && !record.occupiesSlot();
        if (loadWaits && (!granter || schedulerSilent_)) {
            due.at(std::max(record.notBefore, nextLocalLoad_));
        }
    }
    if (demandSince_ && !schedulerSilent_ && granter) {
        due.at(std::max(subscribers_.at(granter).schedulerHeard, *demandSince_) + init_.timing.suspect);
    }
    if (!prefetch_.empty() && !prefetchDemands(now).empty()) {
        constexpr Duration prefetchRecheck = Milliseconds(500);
        due.at(std::max(nextLocalLoad_, now + prefetchRecheck));
    }
}

void SidecarDecisions::Impl::arm(TimePoint now)
{
    if (init_.timers == nullptr) {
        return;
    }
    const auto due = nextDue(now);
    if (!due || (timer_ && timerAt_ <= *due && timerAt_ > now)) {
        return; // an early timer only leads to one more look
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
    impl_->settleAll(now);
}

void SidecarDecisions::onPeerLost(PeerHandle peer, Now now)
{
    impl_->onPeerLost(peer, now);
    impl_->settleAll(now);
}

void SidecarDecisions::onExecutionStarted(ExecutionHandle execution, Now now)
{
    impl_->onExecutionStarted(execution, now);
    impl_->settleAll(now);
}

void SidecarDecisions::onExecutionEnded(ExecutionHandle execution, KeptAnswer answer, std::uint32_t /*generatedTokens*/,
                                        Now now)
{
    impl_->onExecutionEnded(execution, std::move(answer), now);
    impl_->settleAll(now);
}

void SidecarDecisions::onOrderDone(OrderHandle order, OrderOutcome outcome, Now now)
{
    impl_->onOrderDone(order, outcome, now);
    impl_->settleAll(now);
}

void SidecarDecisions::onEngineList(OrderHandle order, const EngineList &list, Now now)
{
    impl_->onEngineList(order, list, now);
    impl_->settleAll(now);
}

void SidecarDecisions::onEngineReport(const EngineReport &report, Now now)
{
    impl_->onEngineReport(report, now);
    impl_->settleAll(now);
}

void SidecarDecisions::onEngineLost(Now now)
{
    impl_->onEngineLost(now);
    impl_->settleAll(now);
}

void SidecarDecisions::onConfigChanged(Now now)
{
    impl_->onConfigChanged(now);
    impl_->settleAll(now);
}

void SidecarDecisions::onKvReply(const KvReply &reply, Now now)
{
    impl_->last_ = now;
    for (auto &[service, guard] : impl_->guards_) {
        if (guard->owner().onReply(reply, now)) {
            break;
        }
    }
    impl_->settleAll(now);
}

void SidecarDecisions::onMembers(const std::vector<Member> &members, Now now)
{
    impl_->onMembers(members, now);
    impl_->settleAll(now);
}

void SidecarDecisions::drain(Now now)
{
    impl_->drain(now);
}

void SidecarDecisions::onConfigStale(bool stale, Now now)
{
    impl_->configStale_ = stale;
    impl_->heartbeatAtOnce_ = true;
    impl_->settleAll(now);
}

std::vector<SidecarAction> SidecarDecisions::takeActions()
{
    return std::exchange(impl_->actions_, {});
}

const SidecarStats &SidecarDecisions::stats() const
{
    auto &stats = impl_->stats_;
    stats.running = impl_->executions_.running();
    stats.queued = static_cast<std::uint32_t>(impl_->queue_.size());
    stats.resident = impl_->adapters_.resident();
    return stats;
}

std::vector<wire::AdapterState> SidecarDecisions::adapters() const
{
    std::vector<wire::AdapterState> states;
    for (const auto &[which, record] : impl_->adapters_.records()) {
        states.push_back(impl_->stateOf(record));
    }
    return states;
}

bool SidecarDecisions::leaving() const
{
    return impl_->leaving_;
}

} // namespace anvilscale

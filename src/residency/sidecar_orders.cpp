// The engine: orders, their replies, its list, its restarts.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr Duration listTimeout = Seconds(5);
constexpr Duration replySlack = Seconds(1); // after an order's own timeout the reply counts as lost
constexpr Duration retryDelay = Seconds(1);
constexpr Duration pollDelay = Seconds(1);
constexpr Duration busyPollDelay = Seconds(5);
// A call that was sent just before its connection broke may not be running yet when a list is read at once.
constexpr Duration settleDelay = Milliseconds(500);

std::uint32_t runningOf(const EngineList &list, const AdapterVersion &which)
{
    std::uint32_t count = 0;
    for (const auto &[adapter, running] : list.running) {
        count += adapter == which ? running : 0;
    }
    return count;
}

} // namespace

void SidecarDecisions::Impl::emitOrder(OrderHandle handle, OrderKind kind, const AdapterVersion &which)
{
    SendOrder order;
    order.order = handle;
    order.kind = kind;
    order.which = which;
    order.fence = recovery_.fence();
    order.timeout = kind == OrderKind::List ? listTimeout : init_.orderTimeout;
    if (kind == OrderKind::Load && init_.config != nullptr) {
        order.weights = init_.config->weights(which);
    }
    actions_.emplace_back(std::move(order));
}

OrderHandle SidecarDecisions::Impl::openOrder(OrderKind kind, const AdapterVersion &which, Now now)
{
    const Duration patience = kind == OrderKind::List ? listTimeout : init_.orderTimeout;
    return orders_.open(kind, which, now.mono, patience + replySlack);
}

void SidecarDecisions::Impl::pollEngine(Now now)
{
    while (const auto *overdue = orders_.overdue(now.mono)) {
        onOrderDone(overdue->handle, OrderOutcome::Unknown, now);
    }
    const auto due = listDue();
    if (!due || *due > now.mono) {
        return;
    }
    const OrderKind kind = recovery_.wanted().value_or(OrderKind::List);
    if (kind == OrderKind::List) {
        lastListAt_ = now.mono;
    }
    emitOrder(openOrder(kind, {}, now), kind, {});
}

std::optional<TimePoint> SidecarDecisions::Impl::listDue() const
{
    if (!isEngine() || orders_.has(OrderKind::List) || orders_.has(OrderKind::Fence)) {
        return std::nullopt;
    }
    if (!recovery_.done()) {
        return recovery_.wanted() ? std::optional(retryOrderAt_) : std::nullopt;
    }
    std::optional<TimePoint> due;
    const auto wantAt = [&due](TimePoint at) { due = due ? std::min(*due, at) : at; };
    if (!endpointUp_) {
        wantAt(lastListAt_ + retryDelay);
    }
    for (const auto &[which, record] : adapters_.records()) {
        if (record.lingering != 0) {
            const Duration delay = record.pins != 0 ? busyPollDelay : pollDelay;
            const TimePoint settled = record.lingeringFrom + settleDelay;
            wantAt(lastListAt_ < settled ? settled : lastListAt_ + delay);
        }
        if (record.state == ResidencyState::Unknown) {
            wantAt(lastListAt_ + pollDelay);
        }
    }
    return due ? std::optional(std::max(*due, retryOrderAt_)) : due;
}

void SidecarDecisions::Impl::onOrderDone(OrderHandle handle, OrderOutcome outcome, Now now)
{
    const auto order = orders_.closeUnlessAnswered(handle, outcome);
    if (!order) {
        return;
    }
    if (order->kind == OrderKind::List) {
        retryOrderAt_ = now.mono + random_.jitter(retryDelay);
        return;
    }
    stats_.orders.add(outcome);
    if (order->kind == OrderKind::Fence) {
        recovery_.onFence(outcome);
        listMark_ = orders_.lastNumber();
        retryOrderAt_ = outcome == OrderOutcome::Done ? now.mono : now.mono + random_.jitter(retryDelay);
        return;
    }
    auto *record = adapters_.find(order->which);
    if (record == nullptr || record->order != handle) {
        return;
    }
    if (order->kind == OrderKind::Load) {
        onLoadDone(*record, *order, outcome, now);
    } else {
        onUnloadDone(*record, *order, outcome, now);
    }
    markChanged(order->which, true);
    if (outcome == OrderOutcome::FencedOff) {
        // Someone with a larger fencing number gives this endpoint orders: this process must not.
        drain(now);
    }
}

void SidecarDecisions::Impl::onLoadDone(AdapterRecord &record, const OpenOrder &order, OrderOutcome outcome, Now now)
{
    const auto mark = orders_.lastNumber();
    switch (outcome) {
    case OrderOutcome::Done:
        countLoad(record, now.mono - order.sentAt, now.mono);
        adapters_.settle(record, ResidencyState::Resident, mark, now.mono);
        break;
    case OrderOutcome::Unknown:
        loseOrder(record, order, now);
        break;
    default:
        adapters_.settle(record, ResidencyState::Absent, mark, now.mono);
        onLoadFailed(record, outcome, now);
    }
    endTicket(order.which, outcome, now);
}

void SidecarDecisions::Impl::countLoad(AdapterRecord &record, Duration took, TimePoint now)
{
    loadTime_.add(took, now);
    ++stats_.loads;
    if (record.wasResident) {
        ++stats_.reloads;
        record.reloads.add(now, evictionRules_.reloadMemory);
    }
    record.failures = 0;
    record.quarantined = false;
}

void SidecarDecisions::Impl::onUnloadDone(AdapterRecord &record, const OpenOrder &order, OrderOutcome outcome, Now now)
{
    const auto mark = orders_.lastNumber();
    switch (outcome) {
    case OrderOutcome::Done:
        ++stats_.evictions;
        record.yielding = false;
        adapters_.settle(record, ResidencyState::Absent, mark, now.mono);
        break;
    case OrderOutcome::Unknown:
        loseOrder(record, order, now);
        break;
    case OrderOutcome::Failed:
        adapters_.lose(record, OrderKind::List, now.mono, mark);
        break;
    default:
        adapters_.settle(record, ResidencyState::Resident, mark, now.mono);
    }
}

void SidecarDecisions::Impl::loseOrder(AdapterRecord &record, const OpenOrder &order, Now now)
{
    if (!init_.safeguards.unknownAfterLostReply) {
        return adapters_.settle(record, ResidencyState::Absent, orders_.lastNumber(), now.mono);
    }
    // The order may still be on its way, or be carried out without our hearing of it. A list that shows its effect
    // settles it at once; one that does not show it settles it only if asked for after the order's longest time.
    adapters_.lose(record, order.kind, order.sentAt + init_.orderTimeout, orders_.lastNumber());
}

void SidecarDecisions::Impl::onEngineList(OrderHandle handle, const EngineList &list, Now now)
{
    const auto order = orders_.close(handle);
    if (!order) {
        return;
    }
    endpointUp_ = true;
    const bool askedSince = handle.value > listMark_;
    if (!onIncarnation(list.incarnation, handle.value > incarnationMark_, now)) {
        return; // made by an engine process that is gone
    }
    const auto phase = recovery_.phase();
    const bool first = recovery_.onList(list, askedSince && handle.value > listMark_);
    if (recovery_.phase() != phase) {
        listMark_ = orders_.lastNumber();
        retryOrderAt_ = now.mono;
    }
    if (first) {
        heartbeatAtOnce_ = true;
    }
    if (recovery_.done()) {
        adoptList(*order, list, first, now);
    }
}

void SidecarDecisions::Impl::adoptList(const OpenOrder &order, const EngineList &list, bool first, Now now)
{
    const std::set<AdapterVersion> loaded(list.loaded.begin(), list.loaded.end());
    for (const auto &which : loaded) {
        if (!which.empty()) {
            adapters_.add(which);
        }
    }
    for (auto &[which, record] : adapters_.records()) {
        const auto before = record.state;
        const auto runs = runningOf(list, which);
        releaseLingering(record, order, runs);
        const bool askedSince = order.handle.value > record.changeMark || !init_.safeguards.listAfterChange;
        if (askedSince) {
            settleByList(record, order, loaded.contains(which), now);
        }
        if (before != ResidencyState::Resident && record.state == ResidencyState::Resident) {
            inheritRuns(record, order, runs, first);
        }
        if (before != record.state) {
            markChanged(which, true);
        }
    }
}

void SidecarDecisions::Impl::releaseLingering(AdapterRecord &record, const OpenOrder &order, std::uint32_t runs)
{
    const bool askedSince =
        order.handle.value > record.lingeringMark && order.sentAt >= record.lingeringFrom + settleDelay;
    const bool counts = askedSince || !init_.safeguards.listAfterChange;
    if (record.lingering != 0 && counts && runs == 0) {
        record.lingering = 0;
        markChanged(record.which, false);
    }
}

void SidecarDecisions::Impl::inheritRuns(AdapterRecord &record, const OpenOrder &order, std::uint32_t runs, bool first)
{
    if (!init_.safeguards.recoveryWait) {
        return;
    }
    // Calls of a predecessor, or of the time before a restart was noticed, that we do not count. A list asked for very
    // early may miss one that was still on its way to the engine; one more list is asked for then.
    const bool early = first && order.sentAt < takeOverAt_ + settleDelay;
    record.lingering = std::max(runs, static_cast<std::uint32_t>(early));
    record.lingeringMark = order.handle.value;
    record.lingeringFrom = early ? takeOverAt_ : order.sentAt;
}

void SidecarDecisions::Impl::settleByList(AdapterRecord &record, const OpenOrder &order, bool loaded, Now now)
{
    const auto mark = orders_.lastNumber();
    const bool effectOver = order.sentAt >= record.effectUntil;
    const bool byUnload = record.lostOrder == OrderKind::Unload && record.effectShows && engineIncarnation_ != 0;
    const bool goneIsProof = record.lostOrder == OrderKind::List || byUnload;
    switch (record.state) {
    case ResidencyState::Absent:
        if (loaded) {
            adapters_.settle(record, ResidencyState::Resident, mark, now.mono);
        }
        return;
    case ResidencyState::Resident:
        if (!loaded && record.mayRun()) {
            adapters_.lose(record, OrderKind::List, now.mono, mark);
        } else if (!loaded) {
            adapters_.settle(record, ResidencyState::Absent, mark, now.mono);
        }
        return;
    case ResidencyState::Unknown:
        // What the lost order wanted is there: it has taken effect and can't do so again.
        if (loaded && (record.lostOrder != OrderKind::Unload || effectOver)) {
            adapters_.settle(record, ResidencyState::Resident, mark, now.mono);
        } else if (!loaded && (goneIsProof || effectOver) && record.pins == 0) {
            adapters_.settle(record, ResidencyState::Absent, mark, now.mono);
        }
        return;
    default:
        return; // Loading and Evicting are settled by their order's reply
    }
}

void SidecarDecisions::Impl::onEngineReport(const EngineReport &report, Now now)
{
    constexpr std::size_t prefixesKept = 32;
    if (!onIncarnation(report.incarnation, false, now)) {
        return;
    }
    stepFillPermille_ = report.stepFillPermille;
    for (const auto prefix : report.prefixes) {
        if (prefixes_.size() < prefixesKept) {
            prefixes_.push_back(prefix);
        }
    }
}

void SidecarDecisions::Impl::onEngineLost(Now now)
{
    if (!endpointUp_) {
        return;
    }
    endpointUp_ = false;
    heartbeatAtOnce_ = true;
    downUntil_ = now.mono + random_.jitter(retryDelay);
    retryOrderAt_ = std::max(retryOrderAt_, downUntil_);
    refuseWaiting({RefusalReason::EndpointDown, true, random_.jitter(retryDelay)},
                  [](const WaitingCall &) { return true; });
}

bool SidecarDecisions::Impl::onIncarnation(std::uint64_t incarnation, bool askedSince, Now now)
{
    if (incarnation == 0 || incarnation == engineIncarnation_) {
        return true;
    }
    // Reports come late, so that one with a smaller number is an old one. A list that was asked for after the present
    // incarnation was known can't be: there a smaller number means that the engine's clock was set back.
    if (incarnation < engineIncarnation_ && !askedSince) {
        return false;
    }
    const bool restarted = engineIncarnation_ != 0;
    engineIncarnation_ = incarnation;
    incarnationMark_ = orders_.lastNumber();
    if (restarted) {
        engineRestarted(now);
    }
    return true;
}

void SidecarDecisions::Impl::engineRestarted(Now now)
{
    ++stats_.engineRestarts;
    heartbeatAtOnce_ = true;
    takeOverAt_ = now.mono;
    const auto mark = orders_.lastNumber();
    for (auto &[handle, execution] : executions_.all()) {
        execution.pinned = false;
        execution.obsolete = true;
        if (!execution.cancelling) {
            cancel(execution, FailureReason::EndpointRestarted);
        }
    }
    for (auto &[which, record] : adapters_.records()) {
        if (!record.occupiesSlot()) {
            continue;
        }
        record.pins = 0;
        record.lingering = 0;
        record.yielding = false;
        markChanged(which, true);
        // An order in flight may have been given to the new engine process, before we heard of it.
        if (const auto order = orders_.close(record.order)) {
            adapters_.lose(record, order->kind, order->sentAt + init_.orderTimeout, mark);
        } else if (record.state != ResidencyState::Unknown) {
            adapters_.lose(record, OrderKind::List, now.mono, mark);
        }
        record.changeMark = mark;
        record.effectShows = record.lostOrder != OrderKind::Unload;
    }
    std::vector<AdapterVersion> loading;
    for (const auto &ticket : tickets_) {
        if (ticket.load) {
            loading.push_back(ticket.which);
        }
    }
    for (const auto &which : loading) {
        endTicket(which, OrderOutcome::Unknown, now);
    }
    recovery_.onEngineRestarted();
    listMark_ = mark;
    retryOrderAt_ = now.mono;
}

} // namespace anvilscale

// Engine orders and their replies, engine lists and engine restarts.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr Duration listTimeout = Seconds(5);
constexpr Duration replyGrace = Seconds(1); // added to an order's timeout before its reply counts as lost
constexpr Duration retryDelay = Seconds(1);
constexpr Duration pollInterval = Seconds(1);
constexpr Duration busyPollInterval = Seconds(5);
// Minimum delay of a list after a broken connection: a call sent just before may not be running yet.
constexpr Duration minListDelay = Milliseconds(500);

std::uint32_t countRunningCalls(const EngineList &list, const AdapterVersion &adapterVersion)
{
    std::uint32_t count = 0;
    for (const auto &[adapter, running] : list.running) {
        count += adapter == adapterVersion ? running : 0;
    }
    return count;
}

} // namespace

void SidecarDecisions::Impl::emitOrder(OrderHandle handle, OrderKind kind, const AdapterVersion &adapterVersion)
{
    SendOrder order;
    order.order = handle;
    order.kind = kind;
    order.adapterVersion = adapterVersion;
    order.fence = recovery_.fence();
    order.timeout = kind == OrderKind::List ? listTimeout : init_.orderTimeout;
    if (kind == OrderKind::Load && init_.config != nullptr) {
        order.weights = init_.config->weights(adapterVersion);
    }
    actions_.emplace_back(std::move(order));
}

OrderHandle SidecarDecisions::Impl::openOrder(OrderKind kind, const AdapterVersion &adapterVersion, Now now)
{
    const Duration timeout = kind == OrderKind::List ? listTimeout : init_.orderTimeout;
    return orders_.open(kind, adapterVersion, now.mono, timeout + replyGrace);
}

void SidecarDecisions::Impl::pollEngine(Now now)
{
    while (const auto *overdue = orders_.findOverdue(now.mono)) {
        onOrderDone(overdue->handle, OrderOutcome::Unknown, now);
    }
    const auto due = nextListAt();
    if (!due || *due > now.mono) {
        return;
    }
    const OrderKind kind = recovery_.requiredOrder().value_or(OrderKind::List);
    if (kind == OrderKind::List) {
        lastListAt_ = now.mono;
    }
    emitOrder(openOrder(kind, {}, now), kind, {});
}

std::optional<TimePoint> SidecarDecisions::Impl::nextListAt() const
{
    if (!isEngine() || orders_.has(OrderKind::List) || orders_.has(OrderKind::Fence)) {
        return std::nullopt;
    }
    if (!recovery_.isDone()) {
        return recovery_.requiredOrder() ? std::optional(nextOrderAt_) : std::nullopt;
    }
    std::optional<TimePoint> due;
    const auto addDue = [&due](TimePoint at) { due = due ? std::min(*due, at) : at; };
    if (!isEndpointUp_) {
        addDue(lastListAt_ + retryDelay);
    }
    for (const auto &[adapterVersion, record] : adapters_.records()) {
        if (record.orphanedCalls != 0) {
            const Duration delay = record.pins != 0 ? busyPollInterval : pollInterval;
            const TimePoint earliestListAt = record.orphanedAt + minListDelay;
            addDue(lastListAt_ < earliestListAt ? earliestListAt : lastListAt_ + delay);
        }
        if (record.state == ResidencyState::Unknown) {
            addDue(lastListAt_ + pollInterval);
        }
    }
    return due ? std::optional(std::max(*due, nextOrderAt_)) : due;
}

void SidecarDecisions::Impl::onOrderDone(OrderHandle handle, OrderOutcome outcome, Now now)
{
    const auto order = orders_.closeUnlessListPending(handle, outcome);
    if (!order) {
        return;
    }
    if (order->kind == OrderKind::List) {
        nextOrderAt_ = now.mono + random_.jitter(retryDelay);
        return;
    }
    stats_.orders.add(outcome);
    if (order->kind == OrderKind::Fence) {
        recovery_.onFence(outcome);
        phaseOrderNumber_ = orders_.lastNumber();
        nextOrderAt_ = outcome == OrderOutcome::Done ? now.mono : now.mono + random_.jitter(retryDelay);
        return;
    }
    auto *record = adapters_.find(order->adapterVersion);
    if (record == nullptr || record->order != handle) {
        return;
    }
    if (order->kind == OrderKind::Load) {
        onLoadDone(*record, *order, outcome, now);
    } else {
        onUnloadDone(*record, *order, outcome, now);
    }
    markChanged(order->adapterVersion, true);
    if (outcome == OrderOutcome::FencedOff) {
        // Another process with a larger fencing number controls this endpoint.
        drain(now);
    }
}

void SidecarDecisions::Impl::onLoadDone(AdapterRecord &record, const OpenOrder &order, OrderOutcome outcome, Now now)
{
    const auto orderNumber = orders_.lastNumber();
    switch (outcome) {
    case OrderOutcome::Done:
        recordLoad(record, now.mono - order.sentAt, now.mono);
        adapters_.setState(record, ResidencyState::Resident, orderNumber, now.mono);
        break;
    case OrderOutcome::Unknown:
        markOrderLost(record, order, now);
        break;
    default:
        adapters_.setState(record, ResidencyState::Absent, orderNumber, now.mono);
        onLoadFailed(record, outcome, now);
    }
    finishLoad(order.adapterVersion, outcome, now);
}

void SidecarDecisions::Impl::recordLoad(AdapterRecord &record, Duration duration, TimePoint now)
{
    loadTime_.add(duration, now);
    ++stats_.loads;
    if (record.wasResident) {
        ++stats_.reloads;
        record.reloads.add(now, evictionRules_.reloadTimeConstant);
    }
    record.loadFailures = 0;
    record.isQuarantined = false;
}

void SidecarDecisions::Impl::onUnloadDone(AdapterRecord &record, const OpenOrder &order, OrderOutcome outcome, Now now)
{
    const auto orderNumber = orders_.lastNumber();
    switch (outcome) {
    case OrderOutcome::Done:
        ++stats_.evictions;
        record.isYielding = false;
        adapters_.setState(record, ResidencyState::Absent, orderNumber, now.mono);
        break;
    case OrderOutcome::Unknown:
        markOrderLost(record, order, now);
        break;
    case OrderOutcome::Failed:
        adapters_.setUnknown(record, OrderKind::List, now.mono, orderNumber);
        break;
    default:
        adapters_.setState(record, ResidencyState::Resident, orderNumber, now.mono);
    }
}

void SidecarDecisions::Impl::markOrderLost(AdapterRecord &record, const OpenOrder &order, Now now)
{
    if (!init_.safeguards.unknownAfterLostReply) {
        return adapters_.setState(record, ResidencyState::Absent, orders_.lastNumber(), now.mono);
    }
    // The order may still be in transit or be executed without a reply. A list that shows its effect resolves it; a
    // list that does not show it resolves it only if requested after the maximum duration of the order.
    adapters_.setUnknown(record, order.kind, order.sentAt + init_.orderTimeout, orders_.lastNumber());
}

void SidecarDecisions::Impl::onEngineList(OrderHandle handle, const EngineList &list, Now now)
{
    const auto order = orders_.close(handle);
    if (!order) {
        return;
    }
    isEndpointUp_ = true;
    const bool isRequestedInPhase = handle.value > phaseOrderNumber_;
    if (!onIncarnation(list.incarnation, handle.value > incarnationOrderNumber_, now)) {
        return; // created by an earlier engine process
    }
    const auto previousPhase = recovery_.phase();
    const bool endsRecovery = recovery_.onList(list, isRequestedInPhase && handle.value > phaseOrderNumber_);
    if (recovery_.phase() != previousPhase) {
        phaseOrderNumber_ = orders_.lastNumber();
        nextOrderAt_ = now.mono;
    }
    if (endsRecovery) {
        isHeartbeatUrgent_ = true;
    }
    if (recovery_.isDone()) {
        applyList(*order, list, endsRecovery, now);
    }
}

void SidecarDecisions::Impl::applyList(const OpenOrder &order, const EngineList &list, bool endsRecovery, Now now)
{
    const std::set<AdapterVersion> loaded(list.loaded.begin(), list.loaded.end());
    for (const auto &adapterVersion : loaded) {
        if (!adapterVersion.empty()) {
            adapters_.add(adapterVersion);
        }
    }
    for (auto &[adapterVersion, record] : adapters_.records()) {
        const auto previousState = record.state;
        const auto runningCalls = countRunningCalls(list, adapterVersion);
        releaseOrphans(record, order, runningCalls);
        const bool isRequestedAfterChange =
            order.handle.value > record.changeOrderNumber || !init_.safeguards.listAfterChange;
        if (isRequestedAfterChange) {
            resolveFromList(record, order, loaded.contains(adapterVersion), now);
        }
        if (previousState != ResidencyState::Resident && record.state == ResidencyState::Resident) {
            adoptOrphans(record, order, runningCalls, endsRecovery);
        }
        if (previousState != record.state) {
            markChanged(adapterVersion, true);
        }
    }
}

void SidecarDecisions::Impl::releaseOrphans(AdapterRecord &record, const OpenOrder &order, std::uint32_t runningCalls)
{
    const bool isRequestedAfterOrphan =
        order.handle.value > record.orphanOrderNumber && order.sentAt >= record.orphanedAt + minListDelay;
    const bool isConclusive = isRequestedAfterOrphan || !init_.safeguards.listAfterChange;
    if (record.orphanedCalls != 0 && isConclusive && runningCalls == 0) {
        record.orphanedCalls = 0;
        markChanged(record.adapterVersion, false);
    }
}

void SidecarDecisions::Impl::adoptOrphans(AdapterRecord &record, const OpenOrder &order, std::uint32_t runningCalls,
                                          bool endsRecovery)
{
    if (!init_.safeguards.recoveryWait) {
        return;
    }
    // Counts calls of a predecessor, or from before a detected restart, as orphans. An early list may miss a call in
    // transit to the engine, so at least one is assumed until a later list shows none.
    const bool isEarly = endsRecovery && order.sentAt < engineAdoptedAt_ + minListDelay;
    record.orphanedCalls = std::max(runningCalls, static_cast<std::uint32_t>(isEarly));
    record.orphanOrderNumber = order.handle.value;
    record.orphanedAt = isEarly ? engineAdoptedAt_ : order.sentAt;
}

void SidecarDecisions::Impl::resolveFromList(AdapterRecord &record, const OpenOrder &order, bool isLoaded, Now now)
{
    const auto orderNumber = orders_.lastNumber();
    const bool isEffectDeadlinePassed = order.sentAt >= record.effectDeadline;
    const bool isUnloadObservable =
        record.lostOrder == OrderKind::Unload && record.isEffectObservable && engineIncarnation_ != 0;
    const bool isAbsenceProof = record.lostOrder == OrderKind::List || isUnloadObservable;
    switch (record.state) {
    case ResidencyState::Absent:
        if (isLoaded) {
            adapters_.setState(record, ResidencyState::Resident, orderNumber, now.mono);
        }
        return;
    case ResidencyState::Resident:
        if (!isLoaded && record.mayHaveRunningCalls()) {
            adapters_.setUnknown(record, OrderKind::List, now.mono, orderNumber);
        } else if (!isLoaded) {
            adapters_.setState(record, ResidencyState::Absent, orderNumber, now.mono);
        }
        return;
    case ResidencyState::Unknown:
        // The effect of the lost order is visible: it was executed and can't take effect again.
        if (isLoaded && (record.lostOrder != OrderKind::Unload || isEffectDeadlinePassed)) {
            adapters_.setState(record, ResidencyState::Resident, orderNumber, now.mono);
        } else if (!isLoaded && (isAbsenceProof || isEffectDeadlinePassed) && record.pins == 0) {
            adapters_.setState(record, ResidencyState::Absent, orderNumber, now.mono);
        }
        return;
    default:
        return; // Loading and Evicting are resolved by the reply of their order
    }
}

void SidecarDecisions::Impl::onEngineReport(const EngineReport &report, Now now)
{
    constexpr std::size_t maxPrefixes = 32;
    if (!onIncarnation(report.incarnation, false, now)) {
        return;
    }
    stepFillPermille_ = report.stepFillPermille;
    for (const auto prefix : report.prefixes) {
        if (prefixes_.size() < maxPrefixes) {
            prefixes_.push_back(prefix);
        }
    }
}

void SidecarDecisions::Impl::onEngineLost(Now now)
{
    if (!isEndpointUp_) {
        return;
    }
    isEndpointUp_ = false;
    isHeartbeatUrgent_ = true;
    endpointRetryAt_ = now.mono + random_.jitter(retryDelay);
    nextOrderAt_ = std::max(nextOrderAt_, endpointRetryAt_);
    refuseWaiting({RefusalReason::EndpointDown, true, random_.jitter(retryDelay)},
                  [](const WaitingCall &) { return true; });
}

bool SidecarDecisions::Impl::onIncarnation(std::uint64_t incarnation, bool isRequestedSinceIncarnation, Now now)
{
    if (incarnation == 0 || incarnation == engineIncarnation_) {
        return true;
    }
    // Reports may be delayed, so a smaller number is an old one. A list requested after the current incarnation was
    // learned can't be old: there a smaller number means that the engine's clock was set back.
    if (incarnation < engineIncarnation_ && !isRequestedSinceIncarnation) {
        return false;
    }
    const bool hasRestarted = engineIncarnation_ != 0;
    engineIncarnation_ = incarnation;
    incarnationOrderNumber_ = orders_.lastNumber();
    if (hasRestarted) {
        handleEngineRestart(now);
    }
    return true;
}

void SidecarDecisions::Impl::handleEngineRestart(Now now)
{
    ++stats_.engineRestarts;
    isHeartbeatUrgent_ = true;
    engineAdoptedAt_ = now.mono;
    const auto orderNumber = orders_.lastNumber();
    for (auto &[handle, execution] : executions_.all()) {
        execution.isPinned = false;
        execution.isObsolete = true;
        if (!execution.isCancelling) {
            cancel(execution, FailureReason::EndpointRestarted);
        }
    }
    for (auto &[adapterVersion, record] : adapters_.records()) {
        if (!record.occupiesSlot()) {
            continue;
        }
        record.pins = 0;
        record.orphanedCalls = 0;
        record.isYielding = false;
        markChanged(adapterVersion, true);
        // An order in flight may have been sent to the new engine process before the restart was detected.
        if (const auto order = orders_.close(record.order)) {
            adapters_.setUnknown(record, order->kind, order->sentAt + init_.orderTimeout, orderNumber);
        } else if (record.state != ResidencyState::Unknown) {
            adapters_.setUnknown(record, OrderKind::List, now.mono, orderNumber);
        }
        record.changeOrderNumber = orderNumber;
        record.isEffectObservable = record.lostOrder != OrderKind::Unload;
    }
    std::vector<AdapterVersion> loadingAdapters;
    for (const auto &plannedLoad : plannedLoads_) {
        if (plannedLoad.order) {
            loadingAdapters.push_back(plannedLoad.adapterVersion);
        }
    }
    for (const auto &adapterVersion : loadingAdapters) {
        finishLoad(adapterVersion, OrderOutcome::Unknown, now);
    }
    recovery_.onEngineRestarted();
    phaseOrderNumber_ = orderNumber;
    nextOrderAt_ = now.mono;
}

} // namespace anvilscale

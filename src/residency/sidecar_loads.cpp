// Load planning: selects the adapters to load and to evict.
#include "sidecar.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

constexpr Duration minBackoff = Seconds(1);
constexpr Duration maxBackoff = Seconds(60);
constexpr Duration minQuarantine = Seconds(30);
constexpr Duration maxQuarantine = std::chrono::minutes(10);
constexpr std::uint32_t quarantineThreshold = 3;
constexpr std::uint32_t maxDoublings = 10;
constexpr std::size_t maxRecentGrants = 32;
constexpr Duration maxGrantWait = Seconds(15);

Duration exponentialDelay(Duration base, std::uint32_t doublings, Duration maxDelay)
{
    return std::min(Duration(base.count() << std::min(doublings, maxDoublings)), maxDelay);
}

} // namespace

void SidecarDecisions::Impl::planLoads(Now now)
{
    advanceLoads(now);
    const bool hasWaitingCalls = std::ranges::any_of(adapters_.records(), [](const auto &entry) {
        return entry.second.waiting != 0 && !entry.second.occupiesSlot();
    });
    checkScheduler(hasWaitingCalls, now.mono);
    if (!hasWaitingCalls) {
        // Prevents an adapter from yielding indefinitely after the starving call was cancelled.
        clearYielding();
    }
    if (!isAdmitting() || (!hasWaitingCalls && prefetch_.empty())) {
        return;
    }
    // Runs after every event, so the demands are only collected if they can lead to an action.
    const bool isLocalLoadAllowed = mayLoadWithoutGrant(now.mono);
    const bool hasStarvingCall = std::ranges::any_of(queue_.calls(), [&](const WaitingCall &call) {
        return exceedsStarvationBound(call.arrivedAt, call.deadline, now.mono);
    });
    if (!hasStarvingCall) {
        clearYielding();
    }
    if (!isLocalLoadAllowed && !hasStarvingCall) {
        return;
    }
    const auto demands = collectDemands(now.mono);
    if (isLocalLoadAllowed) {
        planLocalLoad(demands, now);
    }
    chooseYieldingAdapter(demands, now);
}

std::vector<PendingDemand> SidecarDecisions::Impl::collectDemands(TimePoint now) const
{
    std::map<AdapterVersion, PendingDemand> byAdapter;
    for (const auto &call : queue_.calls()) {
        if (call.record == nullptr || call.record->occupiesSlot() || call.listeners.empty()) {
            continue;
        }
        auto &demand = byAdapter[call.adapterVersion];
        demand.adapterVersion = call.adapterVersion;
        ++demand.waiting;
        demand.highestClass = std::min(demand.highestClass, call.callClass);
        demand.oldestArrival = std::min(demand.oldestArrival, call.arrivedAt);
        demand.earliestDeadline = std::min(demand.earliestDeadline, call.deadline);
        // Grows with the wait. Prevents starvation of unpopular adapters.
        const double weight = policy().classWeights[static_cast<std::size_t>(call.callClass)];
        demand.gain += weight * (1.0 + toSeconds(now - call.arrivedAt));
    }
    std::vector<PendingDemand> result = prefetchDemands(now);
    result.reserve(result.size() + byAdapter.size());
    for (auto &[adapterVersion, demand] : byAdapter) {
        result.push_back(std::move(demand));
    }
    std::ranges::stable_sort(result, std::ranges::greater{}, &PendingDemand::gain);
    return result;
}

/// Returns true if a call has waited for the starvation bound or for half of its time limit. The latter prevents a call
/// with a short deadline from being refused while idle adapters are still protected from eviction.
bool SidecarDecisions::Impl::exceedsStarvationBound(TimePoint since, TimePoint deadline, TimePoint now)
{
    const Duration bound = std::min(starvationBound, (deadline - since) / 2);
    return now - since >= bound;
}

SlotClaim SidecarDecisions::Impl::makeClaim(const PendingDemand &demand, TimePoint now) const
{
    SlotClaim claim;
    claim.gain = demand.gain;
    claim.isUrgent = demand.highestClass == CallClass::Urgent;
    claim.isStarving =
        demand.waiting != 0 && exceedsStarvationBound(demand.oldestArrival, demand.earliestDeadline, now);
    claim.slots = init_.slots;
    claim.reservedSlots = std::min(policy().reservedSlots, init_.slots - std::min(init_.slots, 1U));
    return claim;
}

bool SidecarDecisions::Impl::hasPlannedLoad(const AdapterVersion &adapterVersion) const
{
    return std::ranges::find(plannedLoads_, adapterVersion, &PlannedLoad::adapterVersion) != plannedLoads_.end();
}

AdapterRecord *SidecarDecisions::Impl::findVictim(const SlotClaim &claim, TimePoint now)
{
    return chooseVictim(adapters_, claim, loadTime_.at(now), evictionRules_, init_.safeguards.evictOnlyUnpinned, now);
}

bool SidecarDecisions::Impl::mayLoadWithoutGrant(TimePoint now) const
{
    const auto maxLoads = std::max(policy().parallelLoads, 1U);
    if (now < nextLocalLoadAt_ || plannedLoads_.size() >= maxLoads) {
        return false;
    }
    // Prevents a live scheduler that grants nothing from blocking all loads.
    const bool isGrantOverdue = demandSince_ && now - std::max(*demandSince_, lastGrantAt_) >= maxGrantWait;
    return isSchedulerSuspect_ || isGrantOverdue || !scheduler();
}

void SidecarDecisions::Impl::checkScheduler(bool hasWaitingCalls, TimePoint now)
{
    if (!hasWaitingCalls) {
        demandSince_.reset();
        return;
    }
    demandSince_ = demandSince_.value_or(now);
    const auto it = subscribers_.find(scheduler());
    if (it == subscribers_.end()) {
        return;
    }
    // The scheduler only sends messages to sidecars with demands, so the timeout starts at the first demand.
    const TimePoint since = std::max(it->second.schedulerReceivedAt, *demandSince_);
    isSchedulerSuspect_ = isSchedulerSuspect_ || now - since >= init_.timing.suspect;
}

void SidecarDecisions::Impl::clearYielding()
{
    for (auto &[adapterVersion, record] : adapters_.records()) {
        record.isYielding = false;
    }
}

void SidecarDecisions::Impl::planLocalLoad(const std::vector<PendingDemand> &demands, Now now)
{
    for (const auto &demand : demands) {
        const auto claim = makeClaim(demand, now.mono);
        const auto &record = adapters_.add(demand.adapterVersion);
        if (record.earliestLoadAt > now.mono || hasPlannedLoad(demand.adapterVersion)) {
            continue;
        }
        if (!mayTakeFreeSlot(adapters_, claim) && findVictim(claim, now.mono) == nullptr) {
            continue;
        }
        PlannedLoad plannedLoad;
        plannedLoad.adapterVersion = demand.adapterVersion;
        plannedLoad.claim = claim;
        plannedLoad.plannedAt = now.mono;
        plannedLoads_.push_back(std::move(plannedLoad));
        // Without a scheduler each sidecar uses its share of the weight store's rate at jittered times, so that all
        // together stay near the limit without coordination.
        const double mean = static_cast<double>(liveSidecarCount_) / std::max(policy().loadRate, 0.001);
        nextLocalLoadAt_ = now.mono + Duration(std::llround(mean * (0.5 + random_.uniform()) * 1e6));
        return advanceLoads(now);
    }
}

void SidecarDecisions::Impl::advanceLoads(Now now)
{
    auto evicting = std::ranges::count_if(
        adapters_.records(), [](const auto &entry) { return entry.second.state == ResidencyState::Evicting; });
    for (std::size_t i = 0; i < plannedLoads_.size();) {
        const auto outcome = advanceLoad(plannedLoads_[i], evicting, now);
        if (!outcome) {
            ++i;
            continue;
        }
        reportGrant(plannedLoads_[i], *outcome, now.mono);
        plannedLoads_.erase(plannedLoads_.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

std::optional<OrderOutcome> SidecarDecisions::Impl::advanceLoad(PlannedLoad &plannedLoad, std::ptrdiff_t &evicting,
                                                                Now now)
{
    if (plannedLoad.order) {
        return std::nullopt; // finished by its order's reply
    }
    if (plannedLoad.validUntil <= now.mono && init_.safeguards.grantExpiry) {
        return OrderOutcome::Expired;
    }
    if (!isAdmitting()) {
        return OrderOutcome::Expired;
    }
    auto &record = adapters_.add(plannedLoad.adapterVersion);
    if (record.state == ResidencyState::Resident || record.state == ResidencyState::Loading) {
        return OrderOutcome::Done;
    }
    if (record.state != ResidencyState::Absent) {
        return plannedLoad.isGranted ? std::nullopt : std::optional(OrderOutcome::Expired);
    }
    if (mayTakeFreeSlot(adapters_, plannedLoad.claim)) {
        startLoad(plannedLoad, record, now);
        return std::nullopt;
    }
    if (evicting > 0) {
        --evicting; // reserves the slot that becomes free
        return std::nullopt;
    }
    auto *victim = findVictim(plannedLoad.claim, now.mono);
    if (victim == nullptr) {
        // Expired instead of Refused: the scheduler backs off on Refused, which reports a refusal by the weight store.
        return OrderOutcome::Expired;
    }
    evict(*victim, now);
    return std::nullopt;
}

void SidecarDecisions::Impl::evict(AdapterRecord &record, Now now)
{
    const auto handle = openOrder(OrderKind::Unload, record.adapterVersion, now);
    if (!adapters_.beginEviction(record, handle)) {
        orders_.close(handle);
        return;
    }
    emitOrder(handle, OrderKind::Unload, record.adapterVersion);
    markChanged(record.adapterVersion, true);
}

void SidecarDecisions::Impl::startLoad(PlannedLoad &plannedLoad, AdapterRecord &record, Now now)
{
    plannedLoad.order = openOrder(OrderKind::Load, record.adapterVersion, now);
    adapters_.beginLoad(record, plannedLoad.order);
    record.lastUsed = now.mono;
    emitOrder(plannedLoad.order, OrderKind::Load, record.adapterVersion);
    markChanged(record.adapterVersion, true);
}

void SidecarDecisions::Impl::finishLoad(const AdapterVersion &adapterVersion, OrderOutcome outcome, Now now)
{
    const auto it = std::ranges::find(plannedLoads_, adapterVersion, &PlannedLoad::adapterVersion);
    if (it == plannedLoads_.end() || !it->order) {
        return;
    }
    const PlannedLoad plannedLoad = std::move(*it);
    plannedLoads_.erase(it);
    reportGrant(plannedLoad, outcome, now.mono);
}

void SidecarDecisions::Impl::reportGrant(const PlannedLoad &plannedLoad, OrderOutcome outcome, TimePoint now)
{
    if (!plannedLoad.isGranted) {
        return;
    }
    wire::Envelope message;
    auto &result = *message.mutable_load_result();
    result.set_fence(plannedLoad.fence);
    result.set_grant(plannedLoad.grant);
    result.set_adapter(plannedLoad.adapterVersion.adapter);
    result.set_version(plannedLoad.adapterVersion.version);
    result.set_outcome(static_cast<std::uint32_t>(outcome));
    result.set_took_us(static_cast<std::uint64_t>((now - plannedLoad.plannedAt).count()));
    result.mutable_from()->set_name(init_.name);
    result.mutable_from()->set_incarnation(init_.incarnation);
    send(plannedLoad.scheduler, std::move(message));
}

void SidecarDecisions::Impl::onLoadFailed(AdapterRecord &record, OrderOutcome outcome, Now now)
{
    if (outcome != OrderOutcome::Failed) {
        // Refused without any effect, for example because the weight store is over its rate. Not a failure of this
        // version, but all loads without a grant are delayed.
        record.earliestLoadAt = now.mono + random_.jitter(2 * minBackoff);
        nextLocalLoadAt_ = std::max(nextLocalLoadAt_, record.earliestLoadAt);
        return;
    }
    ++record.loadFailures;
    if (record.loadFailures < quarantineThreshold) {
        const Duration backoff = exponentialDelay(minBackoff, record.loadFailures - 1, maxBackoff);
        record.earliestLoadAt = now.mono + backoff / 2 + random_.jitter(backoff);
        const auto nextAttemptAt = record.earliestLoadAt + loadTime_.at(now.mono);
        refuseWaiting({RefusalReason::AdapterUnavailable, true, record.earliestLoadAt - now.mono},
                      [&](const WaitingCall &call) {
                          return call.adapterVersion == record.adapterVersion && call.deadline <= nextAttemptAt;
                      });
        return;
    }
    // Prevents a version that keeps failing from using up the weight store's rate. Its callers are refused at once, and
    // one load is attempted after the quarantine.
    const Duration quarantine =
        exponentialDelay(minQuarantine, record.loadFailures - quarantineThreshold, maxQuarantine);
    record.earliestLoadAt = now.mono + quarantine;
    stats_.quarantines += static_cast<std::uint64_t>(!record.isQuarantined);
    record.isQuarantined = true;
    refuseWaiting({RefusalReason::AdapterQuarantined, true, quarantine},
                  [&](const WaitingCall &call) { return call.adapterVersion == record.adapterVersion; });
}

void SidecarDecisions::Impl::onGrant(PeerHandle from, const wire::LoadGrant &grant, Now now)
{
    const std::pair grantId{grant.fence(), grant.grant()};
    if (std::ranges::find(recentGrants_, grantId) != recentGrants_.end()) {
        ++stats_.droppedMessages;
        return;
    }
    recentGrants_.push_back(grantId);
    if (recentGrants_.size() > maxRecentGrants) {
        recentGrants_.erase(recentGrants_.begin());
    }
    PlannedLoad plannedLoad;
    plannedLoad.adapterVersion = {grant.adapter(), grant.version()};
    plannedLoad.isGranted = true;
    plannedLoad.scheduler = from;
    plannedLoad.fence = grant.fence();
    plannedLoad.grant = grant.grant();
    plannedLoad.plannedAt = now.mono;
    constexpr std::uint64_t maxValidityUs = 3'600'000'000ULL;
    plannedLoad.validUntil = now.mono + Duration(std::min(grant.valid_us(), maxValidityUs));
    const auto refusal = checkGrant(grant);
    if (refusal) {
        return reportGrant(plannedLoad, *refusal, now.mono);
    }
    onSchedulerMessage(from, grant.fence(), now.mono);
    lastGrantAt_ = now.mono;
    const auto demands = collectDemands(now.mono);
    const auto it = std::ranges::find(demands, plannedLoad.adapterVersion, &PendingDemand::adapterVersion);
    plannedLoad.claim = makeClaim(it == demands.end() ? PendingDemand{} : *it, now.mono);
    plannedLoad.claim.isGranted = true;
    plannedLoads_.push_back(std::move(plannedLoad));
}

std::optional<OrderOutcome> SidecarDecisions::Impl::checkGrant(const wire::LoadGrant &grant) const
{
    // An ignored grant ends as Expired. Refused would report a refusal by the weight store and make the scheduler
    // withhold all grants.
    const auto &safeguards = init_.safeguards;
    if (safeguards.grantTarget && grant.target_incarnation() != init_.incarnation) {
        return OrderOutcome::Expired;
    }
    // Prevents grants from a scheduler that was paused past its lease. If its successor's larger number has not been
    // received here, the successor has not granted a load to this sidecar and the older grant is harmless.
    if (safeguards.fenceCheck && grant.fence() < highestGrantFence_) {
        return OrderOutcome::FencedOff;
    }
    if (!isAdmitting() || grant.adapter().empty() || hasPlannedLoad({grant.adapter(), grant.version()})) {
        return OrderOutcome::Expired;
    }
    return std::nullopt;
}

void SidecarDecisions::Impl::chooseYieldingAdapter(const std::vector<PendingDemand> &demands, Now now)
{
    const auto starvingDemand = std::ranges::find_if(demands, [&](const PendingDemand &demand) {
        return makeClaim(demand, now.mono).isStarving
               && adapters_.add(demand.adapterVersion).earliestLoadAt <= now.mono;
    });
    const bool isSlotNeeded = starvingDemand != demands.end()
                              && !mayTakeFreeSlot(adapters_, makeClaim(*starvingDemand, now.mono))
                              && findVictim(makeClaim(*starvingDemand, now.mono), now.mono) == nullptr;
    AdapterRecord *candidate = nullptr;
    for (auto &[adapterVersion, record] : adapters_.records()) {
        if (record.isYielding && isSlotNeeded && record.state == ResidencyState::Resident) {
            return; // at most one adapter yields at a time
        }
        record.isYielding = record.isYielding && starvingDemand != demands.end();
        if (record.state != ResidencyState::Resident) {
            continue;
        }
        const auto valueOf = [&](const AdapterRecord &r) {
            return retentionValue(r, loadTime_.at(now.mono), evictionRules_, now.mono);
        };
        if (candidate == nullptr || valueOf(record) < valueOf(*candidate)) {
            candidate = &record;
        }
    }
    if (isSlotNeeded && candidate != nullptr) {
        candidate->isYielding = true;
    }
}

} // namespace anvilscale

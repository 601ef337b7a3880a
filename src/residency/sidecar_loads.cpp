// Which adapter gets a slot next, and at whose expense.
#include "sidecar.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

constexpr Duration firstBackoff = Seconds(1);
constexpr Duration longestBackoff = Seconds(60);
constexpr Duration firstQuarantine = Seconds(30);
constexpr Duration longestQuarantine = std::chrono::minutes(10);
constexpr std::uint32_t failuresToQuarantine = 3;
constexpr std::uint32_t maxDoublings = 10;
constexpr std::size_t grantsRemembered = 32;
constexpr Duration grantPatience = Seconds(15);

Duration doubled(Duration first, std::uint32_t times, Duration longest)
{
    return std::min(Duration(first.count() << std::min(times, maxDoublings)), longest);
}

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void SidecarDecisions::Impl::planLoads(Now now)
{
    advanceTickets(now);
    const bool anyWaits = std::ranges::any_of(adapters_.records(), [](const auto &entry) {
        return entry.second.waiting != 0 && !entry.second.occupiesSlot();
    });
    watchScheduler(anyWaits, now.mono);
    if (!anyWaits) {
        // The call for which an adapter yields may be given up. Without this the adapter took no calls ever after: its
        // callers wait for a resident adapter, so that nobody would wait for a load and no plan would be made.
        clearYielding();
    }
    if (!admitting() || (!anyWaits && prefetch_.empty())) {
        return;
    }
    // The list of demands is only made when something can come of it: this runs after every event.
    const bool local = mayLoadByItself(now.mono);
    const bool starving = std::ranges::any_of(
        queue_.calls(), [&](const WaitingCall &call) { return starves(call.arrived, call.deadline, now.mono); });
    if (!starving) {
        clearYielding();
    }
    if (!local && !starving) {
        return;
    }
    const auto wanted = demands(now.mono);
    if (local) {
        addLocalTicket(wanted, now);
    }
    chooseYielding(wanted, now);
}

std::vector<Demand> SidecarDecisions::Impl::demands(TimePoint now) const
{
    std::map<AdapterVersion, Demand> byAdapter;
    for (const auto &call : queue_.calls()) {
        if (call.record == nullptr || call.record->occupiesSlot() || call.listeners.empty()) {
            continue;
        }
        auto &demand = byAdapter[call.which];
        demand.which = call.which;
        ++demand.waiting;
        demand.mostUrgent = std::min(demand.mostUrgent, call.callClass);
        demand.oldest = std::min(demand.oldest, call.arrived);
        demand.leastDeadline = std::min(demand.leastDeadline, call.deadline);
        // Grows with the wait, so that the least popular adapter's turn comes too.
        const double weight = policy().classWeights[static_cast<std::size_t>(call.callClass)];
        demand.gain += weight * (1.0 + secondsOf(now - call.arrived));
    }
    std::vector<Demand> result = prefetchDemands(now);
    result.reserve(result.size() + byAdapter.size());
    for (auto &[which, demand] : byAdapter) {
        result.push_back(std::move(demand));
    }
    std::ranges::stable_sort(result, std::ranges::greater{}, &Demand::gain);
    return result;
}

/// A call whose whole patience is shorter than the starvation bound would be refused while adapters that nobody uses
/// are still protected: half of its patience counts as well, so that a load and the call itself fit in the rest.
bool SidecarDecisions::Impl::starves(TimePoint since, TimePoint deadline, TimePoint now)
{
    const Duration bound = std::min(starvationBound, (deadline - since) / 2);
    return now - since >= bound;
}

SlotClaim SidecarDecisions::Impl::claimFor(const Demand &demand, TimePoint now) const
{
    SlotClaim claim;
    claim.gain = demand.gain;
    claim.urgent = demand.mostUrgent == CallClass::Urgent;
    claim.starving = demand.waiting != 0 && starves(demand.oldest, demand.leastDeadline, now);
    claim.slots = init_.slots;
    claim.reservedSlots = std::min(policy().reservedSlots, init_.slots - std::min(init_.slots, 1U));
    return claim;
}

bool SidecarDecisions::Impl::hasTicket(const AdapterVersion &which) const
{
    return std::ranges::find(tickets_, which, &LoadTicket::which) != tickets_.end();
}

AdapterRecord *SidecarDecisions::Impl::victimFor(const SlotClaim &claim, TimePoint now)
{
    return chooseVictim(adapters_, claim, loadTime_.at(now), evictionRules_, init_.safeguards.evictOnlyUnpinned, now);
}

bool SidecarDecisions::Impl::mayLoadByItself(TimePoint now) const
{
    const auto limit = std::max(policy().parallelLoads, 1U);
    if (now < nextLocalLoad_ || tickets_.size() >= limit) {
        return false;
    }
    // A scheduler that is heard but grants nothing to calls that wait must not stop this sidecar for ever.
    const bool forgotten = demandSince_ && now - std::max(*demandSince_, lastGrantAt_) >= grantPatience;
    return schedulerSilent_ || forgotten || !scheduler();
}

void SidecarDecisions::Impl::watchScheduler(bool anyWaits, TimePoint now)
{
    if (!anyWaits) {
        demandSince_.reset();
        return;
    }
    demandSince_ = demandSince_.value_or(now);
    const auto place = subscribers_.find(scheduler());
    if (place == subscribers_.end()) {
        return;
    }
    // The scheduler speaks to those that have demands. With none for a while its silence says nothing, so that the
    // time is counted from the first demand.
    const TimePoint since = std::max(place->second.schedulerHeard, *demandSince_);
    schedulerSilent_ = schedulerSilent_ || now - since >= init_.timing.suspect;
}

void SidecarDecisions::Impl::clearYielding()
{
    for (auto &[which, record] : adapters_.records()) {
        record.yielding = false;
    }
}

void SidecarDecisions::Impl::addLocalTicket(const std::vector<Demand> &wanted, Now now)
{
    for (const auto &demand : wanted) {
        const auto claim = claimFor(demand, now.mono);
        const auto &record = adapters_.add(demand.which);
        if (record.notBefore > now.mono || hasTicket(demand.which)) {
            continue;
        }
        if (!mayTakeFreeSlot(adapters_, claim) && victimFor(claim, now.mono) == nullptr) {
            continue;
        }
        LoadTicket ticket;
        ticket.which = demand.which;
        ticket.claim = claim;
        ticket.since = now.mono;
        tickets_.push_back(std::move(ticket));
        // Without a scheduler each sidecar takes its share of the weight store's rate, at jittered times: all of them
        // together stay near the limit without knowing of each other.
        const double mean = static_cast<double>(liveSidecars_) / std::max(policy().loadRate, 0.001);
        nextLocalLoad_ = now.mono + Duration(std::llround(mean * (0.5 + random_.unit()) * 1e6));
        return advanceTickets(now);
    }
}

void SidecarDecisions::Impl::advanceTickets(Now now)
{
    auto evicting = std::ranges::count_if(
        adapters_.records(), [](const auto &entry) { return entry.second.state == ResidencyState::Evicting; });
    for (std::size_t i = 0; i < tickets_.size();) {
        const auto outcome = advanceTicket(tickets_[i], evicting, now);
        if (!outcome) {
            ++i;
            continue;
        }
        reportGrant(tickets_[i], *outcome, now.mono);
        tickets_.erase(tickets_.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

std::optional<OrderOutcome> SidecarDecisions::Impl::advanceTicket(LoadTicket &ticket, std::ptrdiff_t &evicting, Now now)
{
    if (ticket.load) {
        return std::nullopt; // ends with its order
    }
    if (ticket.validUntil <= now.mono && init_.safeguards.grantExpiry) {
        return OrderOutcome::Expired;
    }
    if (!admitting()) {
        return OrderOutcome::Expired;
    }
    auto &record = adapters_.add(ticket.which);
    if (record.state == ResidencyState::Resident || record.state == ResidencyState::Loading) {
        return OrderOutcome::Done;
    }
    if (record.state != ResidencyState::Absent) {
        return ticket.granted ? std::nullopt : std::optional(OrderOutcome::Expired);
    }
    if (mayTakeFreeSlot(adapters_, ticket.claim)) {
        startLoad(ticket, record, now);
        return std::nullopt;
    }
    if (evicting > 0) {
        --evicting; // the slot that comes free is this ticket's
        return std::nullopt;
    }
    auto *victim = victimFor(ticket.claim, now.mono);
    if (victim == nullptr) {
        // Not acted on. Refused is what the weight store says: the scheduler backs off on it.
        return OrderOutcome::Expired;
    }
    evict(*victim, now);
    return std::nullopt;
}

void SidecarDecisions::Impl::evict(AdapterRecord &record, Now now)
{
    const auto handle = openOrder(OrderKind::Unload, record.which, now);
    if (!adapters_.beginEvict(record, handle)) {
        orders_.close(handle);
        return;
    }
    emitOrder(handle, OrderKind::Unload, record.which);
    markChanged(record.which, true);
}

void SidecarDecisions::Impl::startLoad(LoadTicket &ticket, AdapterRecord &record, Now now)
{
    ticket.load = openOrder(OrderKind::Load, record.which, now);
    adapters_.beginLoad(record, ticket.load);
    record.lastUsed = now.mono;
    emitOrder(ticket.load, OrderKind::Load, record.which);
    markChanged(record.which, true);
}

void SidecarDecisions::Impl::endTicket(const AdapterVersion &which, OrderOutcome outcome, Now now)
{
    const auto place = std::ranges::find(tickets_, which, &LoadTicket::which);
    if (place == tickets_.end() || !place->load) {
        return;
    }
    const LoadTicket ticket = std::move(*place);
    tickets_.erase(place);
    reportGrant(ticket, outcome, now.mono);
}

void SidecarDecisions::Impl::reportGrant(const LoadTicket &ticket, OrderOutcome outcome, TimePoint now)
{
    if (!ticket.granted) {
        return;
    }
    wire::Envelope message;
    auto &result = *message.mutable_load_result();
    result.set_fence(ticket.fence);
    result.set_grant(ticket.grant);
    result.set_adapter(ticket.which.adapter);
    result.set_version(ticket.which.version);
    result.set_outcome(static_cast<std::uint32_t>(outcome));
    result.set_took_us(static_cast<std::uint64_t>((now - ticket.since).count()));
    result.mutable_from()->set_name(init_.name);
    result.mutable_from()->set_incarnation(init_.incarnation);
    send(ticket.scheduler, std::move(message));
}

void SidecarDecisions::Impl::onLoadFailed(AdapterRecord &record, OrderOutcome outcome, Now now)
{
    if (outcome != OrderOutcome::Failed) {
        // Refused before any effect, as by a weight store over its rate: no fault of this version. All loads that this
        // sidecar decides on by itself pause.
        record.notBefore = now.mono + random_.jitter(2 * firstBackoff);
        nextLocalLoad_ = std::max(nextLocalLoad_, record.notBefore);
        return;
    }
    ++record.failures;
    if (record.failures < failuresToQuarantine) {
        const Duration backoff = doubled(firstBackoff, record.failures - 1, longestBackoff);
        record.notBefore = now.mono + backoff / 2 + random_.jitter(backoff);
        const auto trial = record.notBefore + loadTime_.at(now.mono);
        refuseWaiting({RefusalReason::AdapterUnavailable, true, record.notBefore - now.mono},
                      [&](const WaitingCall &call) { return call.which == record.which && call.deadline <= trial; });
        return;
    }
    // A version that keeps failing would take a share of the weight store's rate for ever. Its callers are told at
    // once; after the quarantine one load is tried again.
    const Duration span = doubled(firstQuarantine, record.failures - failuresToQuarantine, longestQuarantine);
    record.notBefore = now.mono + span;
    stats_.quarantines += static_cast<std::uint64_t>(!record.quarantined);
    record.quarantined = true;
    refuseWaiting({RefusalReason::AdapterQuarantined, true, span},
                  [&](const WaitingCall &call) { return call.which == record.which; });
}

void SidecarDecisions::Impl::onGrant(PeerHandle from, const wire::LoadGrant &grant, Now now)
{
    const std::pair number{grant.fence(), grant.grant()};
    if (std::ranges::find(grantsSeen_, number) != grantsSeen_.end()) {
        ++stats_.droppedMessages;
        return;
    }
    grantsSeen_.push_back(number);
    if (grantsSeen_.size() > grantsRemembered) {
        grantsSeen_.erase(grantsSeen_.begin());
    }
    LoadTicket ticket;
    ticket.which = {grant.adapter(), grant.version()};
    ticket.granted = true;
    ticket.scheduler = from;
    ticket.fence = grant.fence();
    ticket.grant = grant.grant();
    ticket.since = now.mono;
    constexpr std::uint64_t longestValidity = 3'600'000'000ULL;
    ticket.validUntil = now.mono + Duration(std::min(grant.valid_us(), longestValidity));
    const auto refusal = checkGrant(grant);
    if (refusal) {
        return reportGrant(ticket, *refusal, now.mono);
    }
    hearScheduler(from, grant.fence(), now.mono);
    lastGrantAt_ = now.mono;
    const auto wanted = demands(now.mono);
    const auto place = std::ranges::find(wanted, ticket.which, &Demand::which);
    ticket.claim = claimFor(place == wanted.end() ? Demand{} : *place, now.mono);
    ticket.claim.granted = true;
    tickets_.push_back(std::move(ticket));
}

std::optional<OrderOutcome> SidecarDecisions::Impl::checkGrant(const wire::LoadGrant &grant) const
{
    // Expired: not acted on. Refused is what the weight store says, and makes the scheduler hold all grants back.
    const auto &safeguards = init_.safeguards;
    if (safeguards.grantTarget && grant.target_incarnation() != init_.incarnation) {
        return OrderOutcome::Expired;
    }
    // A scheduler that was paused past its lease may still send. Its successor's number is larger and was seen here,
    // or it has not acted yet and the older grant does no harm.
    if (safeguards.fenceCheck && grant.fence() < highestGrantFence_) {
        return OrderOutcome::FencedOff;
    }
    if (!admitting() || grant.adapter().empty() || hasTicket({grant.adapter(), grant.version()})) {
        return OrderOutcome::Expired;
    }
    return std::nullopt;
}

void SidecarDecisions::Impl::chooseYielding(const std::vector<Demand> &wanted, Now now)
{
    const auto starving = std::ranges::find_if(wanted, [&](const Demand &demand) {
        return claimFor(demand, now.mono).starving && adapters_.add(demand.which).notBefore <= now.mono;
    });
    const bool waits = starving != wanted.end() && !mayTakeFreeSlot(adapters_, claimFor(*starving, now.mono))
                       && victimFor(claimFor(*starving, now.mono), now.mono) == nullptr;
    AdapterRecord *chosen = nullptr;
    for (auto &[which, record] : adapters_.records()) {
        if (record.yielding && waits && record.state == ResidencyState::Resident) {
            return; // one at a time
        }
        record.yielding = record.yielding && starving != wanted.end();
        if (record.state != ResidencyState::Resident) {
            continue;
        }
        const auto worth = [&](const AdapterRecord &r) {
            return keepValue(r, loadTime_.at(now.mono), evictionRules_, now.mono);
        };
        if (chosen == nullptr || worth(record) < worth(*chosen)) {
            chosen = &record;
        }
    }
    if (waits && chosen != nullptr) {
        chosen->yielding = true;
    }
}

} // namespace anvilscale

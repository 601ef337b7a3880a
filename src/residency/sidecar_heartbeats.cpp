// Heartbeats: deltas in sequence to everyone who said Hello, the full state to those who need it.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr double bytesPerSecond = 5000.0; // what a node may spend on control
constexpr double burstBytes = 10'000.0;
constexpr Duration shortestGap = Milliseconds(50);
constexpr std::size_t demandsTold = 8;
constexpr Duration longestBudget = std::chrono::hours(1); // told for a load that no call waits for

} // namespace

void SidecarDecisions::Impl::markChanged(const AdapterVersion &which, bool atOnce)
{
    if (which.empty()) {
        return;
    }
    changed_.insert(which);
    heartbeatAtOnce_ = heartbeatAtOnce_ || atOnce;
}

std::optional<TimePoint> SidecarDecisions::Impl::heartbeatDue() const
{
    if (subscribers_.empty()) {
        return std::nullopt;
    }
    const bool needsFull = std::ranges::any_of(subscribers_, [](const auto &entry) { return entry.second.wantsFull; });
    const TimePoint soonest = lastHeartbeat_ + shortestGap;
    if (!needsFull && !heartbeatAtOnce_) {
        return nextHeartbeat_;
    }
    // Out of budget: even what matters waits for the interval.
    return heartbeatBytes_ > 0.0 ? std::min(std::max(soonest, TimePoint{}), nextHeartbeat_) : nextHeartbeat_;
}

void SidecarDecisions::Impl::sendHeartbeats(Now now)
{
    const auto due = heartbeatDue();
    if (!due || *due > now.mono) {
        return;
    }
    const double elapsed = std::chrono::duration<double>(now.mono - lastHeartbeat_).count();
    heartbeatBytes_ = std::min(heartbeatBytes_ + elapsed * bytesPerSecond, burstBytes);
    lastHeartbeat_ = now.mono;
    heartbeatAtOnce_ = false;

    wire::Heartbeat delta = heartbeatBase(now.mono);
    delta.set_sequence(++heartbeatSequence_);
    wire::Heartbeat full = delta;
    full.set_full(true);
    for (const auto &which : changed_) {
        const auto *record = adapters_.find(which);
        *delta.add_adapters() = record != nullptr ? stateOf(*record) : absentState(which);
    }
    for (const auto &[which, record] : adapters_.records()) {
        if (record.occupiesSlot()) {
            *full.add_adapters() = stateOf(record);
        }
    }
    changed_.clear();
    prefixes_.clear();
    const PeerHandle scheduler = this->scheduler();
    for (auto &[peer, subscriber] : subscribers_) {
        wire::Envelope message;
        *message.mutable_heartbeat() = subscriber.wantsFull ? full : delta;
        subscriber.wantsFull = false;
        if (peer == scheduler) {
            addDemands(*message.mutable_heartbeat(), now.mono);
        }
        const auto bytes = message.ByteSizeLong();
        heartbeatBytes_ -= static_cast<double>(bytes);
        stats_.heartbeatBytes += bytes;
        send(peer, std::move(message));
    }
    // With many receivers the interval grows, up to half of the time after which silence is suspect.
    const double debt = std::max(-heartbeatBytes_, 0.0) / bytesPerSecond;
    const auto paid = Duration(static_cast<Duration::rep>(debt * 1e6));
    nextHeartbeat_ = now.mono + std::max(init_.timing.heartbeat, std::min(paid, init_.timing.suspect / 2));
}

wire::Heartbeat SidecarDecisions::Impl::heartbeatBase(TimePoint now)
{
    wire::Heartbeat heartbeat;
    heartbeat.mutable_from()->set_name(init_.name);
    heartbeat.mutable_from()->set_incarnation(init_.incarnation);
    heartbeat.set_data_centre(init_.dataCentre);
    heartbeat.set_base_model(init_.baseModel);
    for (const auto &service : init_.services) {
        heartbeat.add_services(service);
    }
    heartbeat.set_engine_incarnation(engineIncarnation_);
    heartbeat.set_leaving(leaving_);
    heartbeat.set_admitting(admitting());
    heartbeat.set_endpoint_kind(std::string(toString(init_.kind)));
    heartbeat.set_slots(isEngine() ? init_.slots : 0);
    heartbeat.set_free_slots(isEngine() ? init_.slots - std::min(init_.slots, adapters_.occupied()) : 0);
    heartbeat.set_victim_value(victimValue(now));
    heartbeat.set_running(executions_.running());
    heartbeat.set_queued(static_cast<std::uint32_t>(queue_.size()));
    heartbeat.set_batch_limit(init_.batchLimit);
    heartbeat.set_step_fill_permille(stepFillPermille_);
    heartbeat.set_queue_delay_us(static_cast<std::uint64_t>(queueDelay(CallClass::Bulk, now).count()));
    heartbeat.set_config_revision(revision());
    heartbeat.set_config_digest(init_.config != nullptr ? init_.config->digest() : 0);
    heartbeat.set_config_stale(configStale_);
    heartbeat.set_prefix_sequence(prefixSequence_);
    for (const auto prefix : prefixes_) {
        heartbeat.add_prefixes(prefix);
    }
    return heartbeat;
}

/// What an entry weighs when it looks for a place for an absent adapter.
double SidecarDecisions::Impl::victimValue(TimePoint now)
{
    if (!isEngine()) {
        return 0.0;
    }
    SlotClaim claim;
    claim.granted = true;
    claim.slots = init_.slots;
    if (mayTakeFreeSlot(adapters_, claim)) {
        return 0.0;
    }
    const auto *victim = chooseVictim(adapters_, claim, loadTime_.at(now), evictionRules_, true, now);
    return victim == nullptr ? -1.0 : keepValue(*victim, loadTime_.at(now), evictionRules_, now);
}

wire::AdapterState SidecarDecisions::Impl::stateOf(const AdapterRecord &record) const
{
    wire::AdapterState state = absentState(record.which);
    state.set_state(static_cast<std::uint32_t>(record.state));
    state.set_pins(record.pins + record.lingering);
    state.set_waiting(record.waiting);
    return state;
}

wire::AdapterState SidecarDecisions::Impl::absentState(const AdapterVersion &which)
{
    wire::AdapterState state;
    state.set_adapter(which.adapter);
    state.set_version(which.version);
    state.set_state(static_cast<std::uint32_t>(ResidencyState::Absent));
    return state;
}

void SidecarDecisions::Impl::addDemands(wire::Heartbeat &into, TimePoint now)
{
    blockedTold_ = false;
    auto wanted = demands(now);
    wanted.resize(std::min(wanted.size(), demandsTold));
    for (const auto &want : wanted) {
        const auto &record = adapters_.add(want.which);
        if (record.notBefore > now) {
            continue;
        }
        const auto claim = claimFor(want, now);
        const bool free = mayTakeFreeSlot(adapters_, claim);
        const auto *victim = free ? nullptr : victimFor(claim, now);
        auto &demand = *into.add_demands();
        demand.set_adapter(want.which.adapter);
        demand.set_version(want.which.version);
        demand.set_waiting(want.waiting);
        demand.set_call_class(static_cast<std::uint32_t>(want.mostUrgent));
        demand.set_oldest_wait_us(static_cast<std::uint64_t>(std::max(now - want.oldest, Duration(0)).count()));
        const Duration budget = std::clamp(want.leastDeadline - now, Duration(0), longestBudget);
        demand.set_least_budget_us(static_cast<std::uint64_t>(budget.count()));
        demand.set_rate(record.demand.at(now, evictionRules_.demandMemory));
        demand.set_evictable_slot(free || victim != nullptr);
        blockedTold_ = blockedTold_ || !demand.evictable_slot();
        demand.set_victim_value(victim != nullptr ? keepValue(*victim, loadTime_.at(now), evictionRules_, now) : 0.0);
    }
}

} // namespace anvilscale

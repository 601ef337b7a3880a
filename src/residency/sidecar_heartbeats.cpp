// Heartbeats: deltas in sequence to everyone who said Hello, the full state to those who need it.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr double bytesPerSecond = 5000.0; // what a node may spend on control
constexpr double burstBytes = 10'000.0;
constexpr Duration shortestGap = Milliseconds(50);
constexpr std::size_t demandsTold = 8;
constexpr double beatBytes = 40.0; // of a Beat in its envelope, at most
constexpr double beatShare = 0.7; // of a receiver's budget that beats may take
constexpr Duration longestWithoutNews = Seconds(30); // a whole Heartbeat at least this often
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

    wire::Heartbeat base = heartbeatBase(now.mono);
    base.set_sequence(++heartbeatSequence_);
    const wire::Beat beat = beatOf(base);
    const bool news = hasNews(base, now.mono);
    wire::Heartbeat delta = base;
    if (news) {
        takeChanges(delta);
    }
    const PeerHandle scheduler = this->scheduler();
    for (auto &[peer, subscriber] : subscribers_) {
        wire::Envelope message;
        wire::Heartbeat demands;
        if (peer == scheduler) {
            addDemands(demands, now.mono);
        }
        const bool demandsChanged = demands.demands_size() > 0 || subscriber.toldDemands;
        subscriber.toldDemands = demands.demands_size() > 0;
        if (subscriber.wantsFull) {
            *message.mutable_heartbeat() = fullOf(base);
        } else if (news || demandsChanged) {
            *message.mutable_heartbeat() = delta;
        } else {
            *message.mutable_beat() = beat;
        }
        if (message.has_heartbeat()) {
            message.mutable_heartbeat()->mutable_demands()->Swap(demands.mutable_demands());
        }
        subscriber.wantsFull = false;
        const auto bytes = message.ByteSizeLong();
        heartbeatBytes_ -= static_cast<double>(bytes);
        stats_.heartbeatBytes += bytes;
        send(peer, std::move(message));
    }
    prefixes_.clear();
    nextHeartbeat_ = now.mono + heartbeatInterval();
}

/// With many receivers the interval grows so that this sidecar keeps to its budget, and with many sidecars so that
/// their receivers do: up to half of the time after which silence is suspect.
Duration SidecarDecisions::Impl::heartbeatInterval() const
{
    const double debt = std::max(-heartbeatBytes_, 0.0) / bytesPerSecond;
    const double atReceiver = liveSidecars_ * beatBytes / (bytesPerSecond * beatShare);
    const auto wanted = Duration(static_cast<Duration::rep>(std::max(debt, atReceiver) * 1e6));
    return std::max(init_.timing.heartbeat, std::min(wanted, init_.timing.suspect / 2));
}

/// Whether something other than the load has changed since it was last told. Pins and waiting calls are load: they
/// change with every call, and a receiver only weighs how many slots are busy.
bool SidecarDecisions::Impl::hasNews(const wire::Heartbeat &base, TimePoint now) const
{
    const bool moved = std::ranges::any_of(changed_, [this](const AdapterVersion &which) {
        const auto told = told_.find(which);
        return currentState(which) != (told == told_.end() ? ResidencyState::Absent : told->second);
    });
    return moved || slowPart(base) != toldSlowPart_ || now - lastNews_ >= longestWithoutNews;
}

/// Puts all that changed into a delta and remembers what was told.
void SidecarDecisions::Impl::takeChanges(wire::Heartbeat &delta)
{
    toldSlowPart_ = slowPart(delta);
    lastNews_ = lastHeartbeat_;
    for (const auto &which : changed_) {
        const auto *record = adapters_.find(which);
        *delta.add_adapters() = record != nullptr ? stateOf(*record) : absentState(which);
        const auto state = currentState(which);
        if (state == ResidencyState::Absent) {
            told_.erase(which);
        } else {
            told_[which] = state;
        }
    }
    changed_.clear();
}

ResidencyState SidecarDecisions::Impl::currentState(const AdapterVersion &which) const
{
    const auto *record = adapters_.find(which);
    return record != nullptr ? record->state : ResidencyState::Absent;
}

wire::Heartbeat SidecarDecisions::Impl::fullOf(const wire::Heartbeat &base) const
{
    wire::Heartbeat full = base;
    full.set_full(true);
    for (const auto &[which, record] : adapters_.records()) {
        if (record.occupiesSlot()) {
            *full.add_adapters() = stateOf(record);
        }
    }
    return full;
}

/// Hash of what a Beat does not carry.
std::uint64_t SidecarDecisions::Impl::slowPart(const wire::Heartbeat &heartbeat)
{
    wire::Heartbeat slow = heartbeat;
    slow.clear_sequence();
    slow.clear_running();
    slow.clear_queued();
    slow.clear_free_slots();
    slow.clear_step_fill_permille();
    slow.clear_queue_delay_us();
    slow.clear_victim_value();
    slow.clear_prefixes(); // new ones move prefix_sequence
    return hash64(slow.SerializeAsString());
}

wire::Beat SidecarDecisions::Impl::beatOf(const wire::Heartbeat &heartbeat) const
{
    const auto busy = std::ranges::count_if(adapters_.records(), [](const auto &entry) {
        const auto &record = entry.second;
        const bool used = record.pins + record.lingering > 0 || record.waiting > 0;
        return record.occupiesSlot() && (used || record.state == ResidencyState::Loading);
    });
    wire::Beat beat;
    beat.set_incarnation_tag(static_cast<std::uint32_t>(init_.incarnation));
    beat.set_sequence(heartbeat.sequence());
    beat.set_running(heartbeat.running());
    beat.set_queued(heartbeat.queued());
    beat.set_step_fill_permille(heartbeat.step_fill_permille());
    beat.set_queue_delay_us(heartbeat.queue_delay_us());
    beat.set_busy_slots(static_cast<std::uint32_t>(busy));
    beat.set_victim_value(static_cast<float>(heartbeat.victim_value()));
    return beat;
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

// Heartbeats to subscribers: sequenced deltas, compact beats, and the full state on request.
#include "sidecar.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr double controlBytesPerSecond = 5000.0; // control traffic budget of a node
constexpr double maxBurstBytes = 10'000.0;
constexpr Duration minHeartbeatGap = Milliseconds(50);
constexpr std::size_t maxDemands = 8;
constexpr double beatBytes = 40.0; // maximum size of a Beat with its envelope
constexpr double maxBeatBudgetFraction = 0.7; // part of a receiver's budget available for beats
constexpr Duration maxUpdateInterval = Seconds(30); // maximum time between Heartbeat messages
constexpr Duration maxBudget = std::chrono::hours(1); // reported for a load without waiting calls

} // namespace

void SidecarDecisions::Impl::markChanged(const AdapterVersion &adapterVersion, bool isUrgent)
{
    if (adapterVersion.empty()) {
        return;
    }
    changedAdapters_.insert(adapterVersion);
    isHeartbeatUrgent_ = isHeartbeatUrgent_ || isUrgent;
}

std::optional<TimePoint> SidecarDecisions::Impl::nextHeartbeatDue() const
{
    if (subscribers_.empty()) {
        return std::nullopt;
    }
    const bool isFullStateNeeded =
        std::ranges::any_of(subscribers_, [](const auto &entry) { return entry.second.needsFullState; });
    const TimePoint earliest = lastHeartbeatAt_ + minHeartbeatGap;
    if (!isFullStateNeeded && !isHeartbeatUrgent_) {
        return nextHeartbeatAt_;
    }
    // Without send budget even urgent updates wait for the interval.
    return heartbeatBudgetBytes_ > 0.0 ? std::min(std::max(earliest, TimePoint{}), nextHeartbeatAt_) : nextHeartbeatAt_;
}

void SidecarDecisions::Impl::sendHeartbeats(Now now)
{
    const auto due = nextHeartbeatDue();
    if (!due || *due > now.mono) {
        return;
    }
    const double elapsed = std::chrono::duration<double>(now.mono - lastHeartbeatAt_).count();
    heartbeatBudgetBytes_ = std::min(heartbeatBudgetBytes_ + elapsed * controlBytesPerSecond, maxBurstBytes);
    lastHeartbeatAt_ = now.mono;
    isHeartbeatUrgent_ = false;

    wire::Heartbeat base = makeHeartbeat(now.mono);
    base.set_sequence(++heartbeatSequence_);
    const wire::Beat beat = makeBeat(base);
    const bool isUpdateNeeded = hasUpdates(base, now.mono);
    wire::Heartbeat delta = base;
    if (isUpdateNeeded) {
        addChanges(delta);
    }
    const PeerHandle scheduler = this->scheduler();
    for (auto &[peer, subscriber] : subscribers_) {
        wire::Envelope message;
        wire::Heartbeat demands;
        if (peer == scheduler) {
            addDemands(demands, now.mono);
        }
        const bool hasDemandUpdate = demands.demands_size() > 0 || subscriber.hasSentDemands;
        subscriber.hasSentDemands = demands.demands_size() > 0;
        if (subscriber.needsFullState) {
            *message.mutable_heartbeat() = makeFullHeartbeat(base);
        } else if (isUpdateNeeded || hasDemandUpdate) {
            *message.mutable_heartbeat() = delta;
        } else {
            *message.mutable_beat() = beat;
        }
        if (message.has_heartbeat()) {
            message.mutable_heartbeat()->mutable_demands()->Swap(demands.mutable_demands());
        }
        subscriber.needsFullState = false;
        const auto bytes = message.ByteSizeLong();
        heartbeatBudgetBytes_ -= static_cast<double>(bytes);
        stats_.heartbeatBytes += bytes;
        send(peer, std::move(message));
    }
    prefixes_.clear();
    nextHeartbeatAt_ = now.mono + heartbeatInterval();
}

/// Grows with the number of receivers and of sidecars, so that sender and receivers stay within their budgets. Limited
/// to half of the suspect timeout.
Duration SidecarDecisions::Impl::heartbeatInterval() const
{
    const double budgetInterval = std::max(-heartbeatBudgetBytes_, 0.0) / controlBytesPerSecond;
    const double receiverInterval = liveSidecarCount_ * beatBytes / (controlBytesPerSecond * maxBeatBudgetFraction);
    const auto interval = Duration(static_cast<Duration::rep>(std::max(budgetInterval, receiverInterval) * 1e6));
    return std::max(init_.timing.heartbeat, std::min(interval, init_.timing.suspect / 2));
}

/// Returns true if anything but the load changed since the last update. Pins and waiting calls count as load: they
/// change with every call, and receivers only use the number of busy slots.
bool SidecarDecisions::Impl::hasUpdates(const wire::Heartbeat &base, TimePoint now) const
{
    const bool hasStateChange = std::ranges::any_of(changedAdapters_, [this](const AdapterVersion &adapterVersion) {
        const auto lastSent = lastSentStates_.find(adapterVersion);
        return currentState(adapterVersion)
               != (lastSent == lastSentStates_.end() ? ResidencyState::Absent : lastSent->second);
    });
    return hasStateChange || digestWithoutLoad(base) != lastSentDigest_ || now - lastUpdateAt_ >= maxUpdateInterval;
}

/// Adds all changes to a delta and stores the sent state.
void SidecarDecisions::Impl::addChanges(wire::Heartbeat &delta)
{
    lastSentDigest_ = digestWithoutLoad(delta);
    lastUpdateAt_ = lastHeartbeatAt_;
    for (const auto &adapterVersion : changedAdapters_) {
        const auto *record = adapters_.find(adapterVersion);
        *delta.add_adapters() = record != nullptr ? makeAdapterState(*record) : makeAbsentState(adapterVersion);
        const auto state = currentState(adapterVersion);
        if (state == ResidencyState::Absent) {
            lastSentStates_.erase(adapterVersion);
        } else {
            lastSentStates_[adapterVersion] = state;
        }
    }
    changedAdapters_.clear();
}

ResidencyState SidecarDecisions::Impl::currentState(const AdapterVersion &adapterVersion) const
{
    const auto *record = adapters_.find(adapterVersion);
    return record != nullptr ? record->state : ResidencyState::Absent;
}

wire::Heartbeat SidecarDecisions::Impl::makeFullHeartbeat(const wire::Heartbeat &base) const
{
    wire::Heartbeat full = base;
    full.set_full(true);
    for (const auto &[adapterVersion, record] : adapters_.records()) {
        if (record.occupiesSlot()) {
            *full.add_adapters() = makeAdapterState(record);
        }
    }
    return full;
}

/// Hash of the fields that a Beat does not contain.
std::uint64_t SidecarDecisions::Impl::digestWithoutLoad(const wire::Heartbeat &heartbeat)
{
    wire::Heartbeat withoutLoad = heartbeat;
    withoutLoad.clear_sequence();
    withoutLoad.clear_running();
    withoutLoad.clear_queued();
    withoutLoad.clear_free_slots();
    withoutLoad.clear_step_fill_permille();
    withoutLoad.clear_queue_delay_us();
    withoutLoad.clear_victim_value();
    withoutLoad.clear_prefixes(); // new prefixes change prefix_sequence
    return hash64(withoutLoad.SerializeAsString());
}

wire::Beat SidecarDecisions::Impl::makeBeat(const wire::Heartbeat &heartbeat) const
{
    const auto busySlots = std::ranges::count_if(adapters_.records(), [](const auto &entry) {
        const auto &record = entry.second;
        const bool isUsed = record.pins + record.orphanedCalls > 0 || record.waiting > 0;
        return record.occupiesSlot() && (isUsed || record.state == ResidencyState::Loading);
    });
    wire::Beat beat;
    beat.set_incarnation_tag(static_cast<std::uint32_t>(init_.incarnation));
    beat.set_sequence(heartbeat.sequence());
    beat.set_running(heartbeat.running());
    beat.set_queued(heartbeat.queued());
    beat.set_step_fill_permille(heartbeat.step_fill_permille());
    beat.set_queue_delay_us(heartbeat.queue_delay_us());
    beat.set_busy_slots(static_cast<std::uint32_t>(busySlots));
    beat.set_victim_value(static_cast<float>(heartbeat.victim_value()));
    return beat;
}

wire::Heartbeat SidecarDecisions::Impl::makeHeartbeat(TimePoint now)
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
    heartbeat.set_leaving(isLeaving_);
    heartbeat.set_admitting(isAdmitting());
    heartbeat.set_endpoint_kind(std::string(toString(init_.kind)));
    heartbeat.set_slots(isEngine() ? init_.slots : 0);
    heartbeat.set_free_slots(isEngine() ? init_.slots - std::min(init_.slots, adapters_.occupiedSlots()) : 0);
    heartbeat.set_victim_value(victimValue(now));
    heartbeat.set_running(executions_.runningCount());
    heartbeat.set_queued(static_cast<std::uint32_t>(queue_.size()));
    heartbeat.set_batch_limit(init_.batchLimit);
    heartbeat.set_step_fill_permille(stepFillPermille_);
    heartbeat.set_queue_delay_us(static_cast<std::uint64_t>(queueDelay(CallClass::Bulk, now).count()));
    heartbeat.set_config_revision(revision());
    heartbeat.set_config_digest(init_.config != nullptr ? init_.config->digest() : 0);
    heartbeat.set_config_stale(isConfigStale_);
    heartbeat.set_prefix_sequence(prefixSequence_);
    for (const auto prefix : prefixes_) {
        heartbeat.add_prefixes(prefix);
    }
    return heartbeat;
}

/// Retention value of the adapter that a granted load would evict: 0 if a slot is free, -1 if none is evictable.
/// Entries use it to select a sidecar for an absent adapter.
double SidecarDecisions::Impl::victimValue(TimePoint now)
{
    if (!isEngine()) {
        return 0.0;
    }
    SlotClaim claim;
    claim.isGranted = true;
    claim.slots = init_.slots;
    if (mayTakeFreeSlot(adapters_, claim)) {
        return 0.0;
    }
    const auto *victim = chooseVictim(adapters_, claim, loadTime_.at(now), evictionRules_, true, now);
    return victim == nullptr ? -1.0 : retentionValue(*victim, loadTime_.at(now), evictionRules_, now);
}

wire::AdapterState SidecarDecisions::Impl::makeAdapterState(const AdapterRecord &record) const
{
    wire::AdapterState state = makeAbsentState(record.adapterVersion);
    state.set_state(static_cast<std::uint32_t>(record.state));
    state.set_pins(record.pins + record.orphanedCalls);
    state.set_waiting(record.waiting);
    return state;
}

wire::AdapterState SidecarDecisions::Impl::makeAbsentState(const AdapterVersion &adapterVersion)
{
    wire::AdapterState state;
    state.set_adapter(adapterVersion.adapter);
    state.set_version(adapterVersion.version);
    state.set_state(static_cast<std::uint32_t>(ResidencyState::Absent));
    return state;
}

void SidecarDecisions::Impl::addDemands(wire::Heartbeat &into, TimePoint now)
{
    hasSentBlockedDemand_ = false;
    auto demands = collectDemands(now);
    demands.resize(std::min(demands.size(), maxDemands));
    for (const auto &demand : demands) {
        const auto &record = adapters_.add(demand.adapterVersion);
        if (record.earliestLoadAt > now) {
            continue;
        }
        const auto claim = makeClaim(demand, now);
        const bool hasFreeSlot = mayTakeFreeSlot(adapters_, claim);
        const auto *victim = hasFreeSlot ? nullptr : findVictim(claim, now);
        auto &wireDemand = *into.add_demands();
        wireDemand.set_adapter(demand.adapterVersion.adapter);
        wireDemand.set_version(demand.adapterVersion.version);
        wireDemand.set_waiting(demand.waiting);
        wireDemand.set_call_class(static_cast<std::uint32_t>(demand.highestClass));
        wireDemand.set_oldest_wait_us(
            static_cast<std::uint64_t>(std::max(now - demand.oldestArrival, Duration(0)).count()));
        const Duration budget = std::clamp(demand.earliestDeadline - now, Duration(0), maxBudget);
        wireDemand.set_least_budget_us(static_cast<std::uint64_t>(budget.count()));
        wireDemand.set_rate(record.demand.at(now, evictionRules_.demandTimeConstant));
        wireDemand.set_evictable_slot(hasFreeSlot || victim != nullptr);
        hasSentBlockedDemand_ = hasSentBlockedDemand_ || !wireDemand.evictable_slot();
        wireDemand.set_victim_value(victim != nullptr ? retentionValue(*victim, loadTime_.at(now), evictionRules_, now)
                                                      : 0.0);
    }
}

} // namespace anvilscale

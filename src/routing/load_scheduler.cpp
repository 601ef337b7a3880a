// Load scheduler: the entry that holds the lease grants adapter loads to the whole fleet, the most valuable first. One
// at a time by default, since a single load gets the full speed of the weight store.
#include "demand_table.h"
#include "load_value.h"

#include "anvilscale/routing.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Time after the receipt of a grant within which the sidecar must start the load; then the grant expires.
constexpr Duration grantValidity = Seconds(1);
// A load without a result counts as lost after this multiple of the expected load time.
constexpr int lostLoadTimeFactor = 20;
constexpr Duration maxLostLoadWait = Seconds(60);
constexpr Duration minBackoff = Milliseconds(250);
constexpr Duration maxBackoff = Seconds(8);
constexpr Duration helloInterval = Seconds(1);
constexpr double loadTimeDecay = 0.2;

struct InFlightLoad
{
    std::string sidecar;
    std::uint64_t incarnation = 0;
    std::uint64_t key = 0;
    TimePoint expiresAt;
};

} // namespace

struct LoadScheduler::Impl
{
    Init init;
    std::function<bool(TimePoint)> holdsLease;
    std::function<std::uint64_t()> fence;
    DemandTable table;
    std::map<std::uint64_t, InFlightLoad> inFlightLoads; // by grant number
    std::map<std::string, TimePoint> lastHelloAt; // last Hello or grant, by sidecar
    std::uint64_t lastGrantNumber = 0;
    TimePoint blockedUntil{}; // grants of the previous lease holder may start until then
    TimePoint nextGrantAt{}; // limited by the rate of the weight store and the backoff
    Duration backoff{};
    double meanLoadSeconds = 0.0; // decayed mean; 0 if none has completed
    TimerHandle wakeTimer;
    std::vector<SendToSidecar> actions;
    Stats stats;

    Duration estimatedLoadTime() const;
    void removeExpiredLoads(TimePoint now);
    void removeLoadsOf(const std::string &sidecar, std::uint64_t currentIncarnation);
    void removeLoadsOf(const Member &gone);
    bool isInFlight(const std::string &sidecar, std::uint64_t key) const;
    std::uint32_t inFlightCount(std::uint64_t key) const;
    std::uint32_t foreignLoadCount() const;
    struct Candidate
    {
        const std::string *sidecar = nullptr;
        std::uint64_t incarnation = 0;
        std::uint64_t key = 0;
        AdapterVersion adapterVersion;
        double value = 0.0;
    };
    Candidate selectBest(TimePoint now) const;
    void grant(const Candidate &candidate, TimePoint now);
    void grantLoads(TimePoint now);
    void armTimer(TimePoint now);
    void sendHello(const std::string &sidecar, TimePoint now);
};

Duration LoadScheduler::Impl::estimatedLoadTime() const
{
    const double rateIntervalSeconds = 1.0 / std::max(0.01, init.config->policy().loadRate);
    const double loadTimeSeconds = std::max(rateIntervalSeconds, meanLoadSeconds);
    return Duration(static_cast<std::int64_t>(loadTimeSeconds * 1e6));
}

void LoadScheduler::Impl::removeExpiredLoads(TimePoint now)
{
    stats.expired += std::erase_if(inFlightLoads, [&](const auto &item) { return item.second.expiresAt <= now; });
}

void LoadScheduler::Impl::removeLoadsOf(const std::string &sidecar, std::uint64_t currentIncarnation)
{
    std::erase_if(inFlightLoads, [&](const auto &item) {
        return item.second.sidecar == sidecar && item.second.incarnation != currentIncarnation;
    });
}

void LoadScheduler::Impl::removeLoadsOf(const Member &gone)
{
    std::erase_if(inFlightLoads, [&](const auto &item) {
        return item.second.sidecar == gone.name && item.second.incarnation <= gone.incarnation;
    });
}

bool LoadScheduler::Impl::isInFlight(const std::string &sidecar, std::uint64_t key) const
{
    return std::any_of(inFlightLoads.begin(), inFlightLoads.end(),
                       [&](const auto &item) { return item.second.key == key && item.second.sidecar == sidecar; });
}

std::uint32_t LoadScheduler::Impl::inFlightCount(std::uint64_t key) const
{
    return static_cast<std::uint32_t>(std::count_if(inFlightLoads.begin(), inFlightLoads.end(),
                                                    [&](const auto &item) { return item.second.key == key; }));
}

/// Loads that sidecars report but this scheduler did not grant: granted by a previous holder or started on demand.
std::uint32_t LoadScheduler::Impl::foreignLoadCount() const
{
    std::uint32_t ownLoads = 0;
    for (const auto &[number, load] : inFlightLoads) {
        const auto sidecar = table.sidecars().find(load.sidecar);
        if (sidecar == table.sidecars().end()) {
            continue;
        }
        const auto state = sidecar->second.adapters.find(load.key);
        ownLoads += state != sidecar->second.adapters.end() && state->second == ResidencyState::Loading ? 1 : 0;
    }
    return table.loadingCount() > ownLoads ? table.loadingCount() - ownLoads : 0;
}

LoadScheduler::Impl::Candidate LoadScheduler::Impl::selectBest(TimePoint now) const
{
    Candidate candidate;
    for (const auto &[name, sidecar] : table.sidecarsWithDemand()) {
        if (!sidecar->acceptsLoads || sidecar->isSuspect) {
            continue;
        }
        for (const auto &[key, demand] : sidecar->demands) {
            const auto state = sidecar->adapters.find(key);
            const bool isPresent = state != sidecar->adapters.end() && state->second != ResidencyState::Absent;
            if (!demand.hasEvictableSlot || isPresent || isInFlight(name, key)) {
                continue;
            }
            const LoadValueContext context{&init.config->policy(), now, estimatedLoadTime(),
                                           table.copyCount(key) + inFlightCount(key)};
            const double value = loadValue(demand, context);
            if (value > candidate.value) {
                candidate = Candidate{&name, sidecar->incarnation, key, demand.adapterVersion, value};
            }
        }
    }
    return candidate;
}

void LoadScheduler::Impl::grant(const Candidate &candidate, TimePoint now)
{
    wire::Envelope message;
    message.set_protocol(wireProtocol);
    auto &out = *message.mutable_load_grant();
    out.mutable_scheduler()->set_name(init.name);
    out.mutable_scheduler()->set_incarnation(init.incarnation);
    out.set_fence(fence());
    out.set_grant(++lastGrantNumber);
    out.set_adapter(candidate.adapterVersion.adapter);
    out.set_version(candidate.adapterVersion.version);
    out.set_valid_us(static_cast<std::uint64_t>(grantValidity.count()));
    out.set_target_incarnation(candidate.incarnation);
    const auto expiresAfter = std::min(maxLostLoadWait, grantValidity + lostLoadTimeFactor * estimatedLoadTime());
    inFlightLoads[lastGrantNumber] =
        InFlightLoad{*candidate.sidecar, candidate.incarnation, candidate.key, now + expiresAfter};
    const double rateIntervalSeconds = 1.0 / std::max(0.01, init.config->policy().loadRate);
    nextGrantAt = std::max(nextGrantAt, now) + Duration(static_cast<std::int64_t>(rateIntervalSeconds * 1e6));
    ++stats.grants;
    lastHelloAt[*candidate.sidecar] = now;
    actions.push_back(SendToSidecar{*candidate.sidecar, std::move(message)});
}

void LoadScheduler::Impl::grantLoads(TimePoint now)
{
    removeExpiredLoads(now);
    const auto limit = std::max<std::uint32_t>(1, init.config->policy().parallelLoads);
    while (now >= nextGrantAt && now >= blockedUntil && inFlightLoads.size() + foreignLoadCount() < limit
           && holdsLease(now)) {
        const auto candidate = selectBest(now);
        if (candidate.sidecar == nullptr) {
            break;
        }
        grant(candidate, now);
    }
    armTimer(now);
}

void LoadScheduler::Impl::armTimer(TimePoint now)
{
    if (wakeTimer) {
        init.timers->cancel(wakeTimer);
        wakeTimer = TimerHandle{};
    }
    TimePoint at = std::max(nextGrantAt, blockedUntil);
    for (const auto &[number, load] : inFlightLoads) {
        at = at > now ? std::min(at, load.expiresAt) : load.expiresAt;
    }
    if (at <= now) {
        return;
    }
    wakeTimer = init.timers->subscribe(at, [this](TimePoint fired) {
        wakeTimer = TimerHandle{};
        grantLoads(fired);
    });
}

/// Announces this scheduler to a sidecar, which then waits for grants instead of loading on demand.
void LoadScheduler::Impl::sendHello(const std::string &sidecar, TimePoint now)
{
    const auto last = lastHelloAt.find(sidecar);
    const bool isRecent = last != lastHelloAt.end() && now - last->second < helloInterval;
    if (isRecent || !holdsLease(now)) {
        return;
    }
    lastHelloAt[sidecar] = now;
    wire::Envelope message;
    message.set_protocol(wireProtocol);
    auto &hello = *message.mutable_hello();
    hello.mutable_from()->set_name(init.name);
    hello.mutable_from()->set_incarnation(init.incarnation);
    hello.set_scheduler(true);
    hello.set_scheduler_fence(fence());
    hello.set_want_full(last == lastHelloAt.end());
    hello.set_config_revision(init.config->revision());
    hello.set_config_digest(init.config->digest());
    actions.push_back(SendToSidecar{sidecar, std::move(message)});
}

LoadScheduler::LoadScheduler(Init init, std::function<bool(TimePoint)> holdsLease, std::function<std::uint64_t()> fence)
    : impl_(std::make_unique<Impl>())
{
    impl_->init = std::move(init);
    impl_->holdsLease = std::move(holdsLease);
    impl_->fence = std::move(fence);
}

LoadScheduler::~LoadScheduler() = default;

void LoadScheduler::onHeartbeat(const wire::Heartbeat &heartbeat, Now now)
{
    if (impl_->table.onHeartbeat(heartbeat, now.mono)) {
        impl_->removeLoadsOf(heartbeat.from().name(), heartbeat.from().incarnation());
    }
    const bool isUnknown = !impl_->lastHelloAt.contains(heartbeat.from().name());
    if (isUnknown || heartbeat.demands_size() > 0) {
        impl_->sendHello(heartbeat.from().name(), now.mono);
    }
    impl_->stats.demands = impl_->table.demandCount();
    impl_->grantLoads(now.mono);
}

void LoadScheduler::onLoadResult(const wire::LoadResult &result, Now now)
{
    const auto load = impl_->inFlightLoads.find(result.grant());
    const bool isOurs = load != impl_->inFlightLoads.end() && result.fence() == impl_->fence()
                        && result.from().name() == load->second.sidecar;
    if (!isOurs) {
        return;
    }
    const auto outcome = fromWire(result.outcome(), OrderOutcome::Unknown);
    impl_->table.dropDemand(load->second.sidecar, load->second.key);
    impl_->inFlightLoads.erase(load);
    if (outcome == OrderOutcome::Done) {
        ++impl_->stats.done;
        impl_->backoff = Duration{};
        const double tookSeconds = static_cast<double>(result.took_us()) * 1e-6;
        impl_->meanLoadSeconds +=
            impl_->meanLoadSeconds == 0.0 ? tookSeconds : loadTimeDecay * (tookSeconds - impl_->meanLoadSeconds);
    }
    if (outcome == OrderOutcome::Refused) {
        // Backs off, so that retries do not keep the store overloaded.
        ++impl_->stats.storeRefusals;
        impl_->backoff = std::clamp(2 * impl_->backoff, minBackoff, maxBackoff);
        impl_->nextGrantAt = std::max(impl_->nextGrantAt, now.mono + impl_->backoff);
    }
    impl_->grantLoads(now.mono);
}

void LoadScheduler::onMember(const Member &member, Now now)
{
    const bool isNew = impl_->table.onMember(member);
    if (isNew) {
        impl_->removeLoadsOf(member.name, member.incarnation);
        impl_->lastHelloAt.erase(member.name);
    }
    if (member.role == VmRole::Sidecar && member.state == MemberState::Gone) {
        impl_->removeLoadsOf(member);
    }
    if (isNew && member.state == MemberState::Live) {
        impl_->sendHello(member.name, now.mono);
    }
    impl_->grantLoads(now.mono);
}

void LoadScheduler::onLeaseAcquired(Now now)
{
    impl_->inFlightLoads.clear();
    impl_->lastHelloAt.clear();
    // A grant of the previous holder may start until it expires. After that the load is visible in heartbeats.
    impl_->blockedUntil = now.mono + 2 * grantValidity;
    for (const auto &[name, sidecar] : impl_->table.sidecars()) {
        impl_->sendHello(name, now.mono);
    }
    impl_->armTimer(now.mono);
}

std::vector<SendToSidecar> LoadScheduler::takeActions()
{
    return std::exchange(impl_->actions, {});
}

const LoadScheduler::Stats &LoadScheduler::stats() const
{
    return impl_->stats;
}

} // namespace anvilscale

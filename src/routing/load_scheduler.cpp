// The load scheduler: one holder of a lease among the entries grants the loads of the whole fleet, one at a time by
// value, because the weight store gives its full speed to a single load.
#include "demand_table.h"
#include "load_value.h"

#include "anvilscale/routing.h"

#include <algorithm>

namespace anvilscale {

namespace {

// A grant that reaches its sidecar later than this is not acted on.
constexpr Duration grantValidity = Seconds(1);
// A load whose result has not come after this many usual load times is taken for lost.
constexpr int lostLoadFactor = 20;
constexpr Duration longestLostWait = Seconds(60);
constexpr Duration firstBackoff = Milliseconds(250);
constexpr Duration longestBackoff = Seconds(8);
constexpr Duration helloInterval = Seconds(1);
constexpr double loadTimeDecay = 0.2;

struct FlyingLoad
{
    std::string sidecar;
    std::uint64_t incarnation = 0;
    std::uint64_t key = 0;
    TimePoint lostAt;
};

} // namespace

struct LoadScheduler::Impl
{
    Init init;
    std::function<bool(TimePoint)> mayAct;
    std::function<std::uint64_t()> fence;
    DemandTable table;
    std::map<std::uint64_t, FlyingLoad> flying; // by grant number
    std::map<std::string, TimePoint> greeted; // last Hello to a sidecar
    std::uint64_t lastGrant = 0;
    TimePoint blockedUntil{}; // a predecessor's grants may still start
    TimePoint nextGrantAt{}; // rate of the weight store, or backoff
    Duration backoff{};
    double loadSeconds = 0.0; // decayed mean; 0: none seen
    TimerHandle wake;
    std::vector<SendToSidecar> actions;
    Stats stats;

    Duration loadTime() const;
    void dropLost(TimePoint now);
    void dropOf(const std::string &sidecar, std::uint64_t currentIncarnation);
    bool isFlying(const std::string &sidecar, std::uint64_t key) const;
    std::uint32_t flyingOf(std::uint64_t key) const;
    std::uint32_t foreignLoads() const;
    struct Pick
    {
        const std::string *sidecar = nullptr;
        std::uint64_t incarnation = 0;
        std::uint64_t key = 0;
        AdapterVersion which;
        double value = 0.0;
    };
    Pick best(TimePoint now) const;
    void grant(const Pick &pick, TimePoint now);
    void run(TimePoint now);
    void arm(TimePoint now);
    void greet(const std::string &sidecar, TimePoint now);
};

Duration LoadScheduler::Impl::loadTime() const
{
    const double byRate = 1.0 / std::max(0.01, init.config->policy().loadRate);
    const double taken = std::max(byRate, loadSeconds);
    return Duration(static_cast<std::int64_t>(taken * 1e6));
}

void LoadScheduler::Impl::dropLost(TimePoint now)
{
    stats.expired += std::erase_if(flying, [&](const auto &item) { return item.second.lostAt <= now; });
}

void LoadScheduler::Impl::dropOf(const std::string &sidecar, std::uint64_t currentIncarnation)
{
    std::erase_if(flying, [&](const auto &item) {
        return item.second.sidecar == sidecar && item.second.incarnation < currentIncarnation;
    });
}

bool LoadScheduler::Impl::isFlying(const std::string &sidecar, std::uint64_t key) const
{
    return std::any_of(flying.begin(), flying.end(),
                       [&](const auto &item) { return item.second.key == key && item.second.sidecar == sidecar; });
}

std::uint32_t LoadScheduler::Impl::flyingOf(std::uint64_t key) const
{
    return static_cast<std::uint32_t>(
        std::count_if(flying.begin(), flying.end(), [&](const auto &item) { return item.second.key == key; }));
}

/// Loads that sidecars report and that are none of ours: a predecessor's, or one on demand.
std::uint32_t LoadScheduler::Impl::foreignLoads() const
{
    std::uint32_t own = 0;
    for (const auto &[number, load] : flying) {
        const auto sidecar = table.sidecars().find(load.sidecar);
        if (sidecar == table.sidecars().end()) {
            continue;
        }
        const auto state = sidecar->second.adapters.find(load.key);
        own += state != sidecar->second.adapters.end() && state->second == ResidencyState::Loading ? 1 : 0;
    }
    return table.loading() > own ? table.loading() - own : 0;
}

LoadScheduler::Impl::Pick LoadScheduler::Impl::best(TimePoint now) const
{
    Pick pick;
    for (const auto &[name, sidecar] : table.demanding()) {
        if (!sidecar->takesLoads || sidecar->suspect) {
            continue;
        }
        for (const auto &[key, demand] : sidecar->demands) {
            const auto state = sidecar->adapters.find(key);
            const bool present = state != sidecar->adapters.end() && state->second != ResidencyState::Absent;
            if (!demand.evictable || present || isFlying(name, key)) {
                continue;
            }
            const LoadValueContext context{&init.config->policy(), now, loadTime(), table.copies(key) + flyingOf(key)};
            const double value = loadValue(demand, context);
            if (value > pick.value) {
                pick = Pick{&name, sidecar->incarnation, key, demand.which, value};
            }
        }
    }
    return pick;
}

void LoadScheduler::Impl::grant(const Pick &pick, TimePoint now)
{
    wire::Envelope message;
    message.set_protocol(wireProtocol);
    auto &out = *message.mutable_load_grant();
    out.mutable_scheduler()->set_name(init.name);
    out.mutable_scheduler()->set_incarnation(init.incarnation);
    out.set_fence(fence());
    out.set_grant(++lastGrant);
    out.set_adapter(pick.which.adapter);
    out.set_version(pick.which.version);
    out.set_valid_us(static_cast<std::uint64_t>(grantValidity.count()));
    out.set_target_incarnation(pick.incarnation);
    const auto lostAfter = std::min(longestLostWait, grantValidity + lostLoadFactor * loadTime());
    flying[lastGrant] = FlyingLoad{*pick.sidecar, pick.incarnation, pick.key, now + lostAfter};
    const double interval = 1.0 / std::max(0.01, init.config->policy().loadRate);
    nextGrantAt = std::max(nextGrantAt, now) + Duration(static_cast<std::int64_t>(interval * 1e6));
    ++stats.grants;
    greeted[*pick.sidecar] = now;
    actions.push_back(SendToSidecar{*pick.sidecar, std::move(message)});
}

void LoadScheduler::Impl::run(TimePoint now)
{
    dropLost(now);
    const auto limit = std::max<std::uint32_t>(1, init.config->policy().parallelLoads);
    while (now >= nextGrantAt && now >= blockedUntil && flying.size() + foreignLoads() < limit && mayAct(now)) {
        const auto pick = best(now);
        if (pick.sidecar == nullptr) {
            break;
        }
        grant(pick, now);
    }
    arm(now);
}

void LoadScheduler::Impl::arm(TimePoint now)
{
    if (wake) {
        init.timers->cancel(wake);
        wake = TimerHandle{};
    }
    TimePoint at = std::max(nextGrantAt, blockedUntil);
    for (const auto &[number, load] : flying) {
        at = at > now ? std::min(at, load.lostAt) : load.lostAt;
    }
    if (at <= now) {
        return;
    }
    wake = init.timers->subscribe(at, [this](TimePoint fired) {
        wake = TimerHandle{};
        run(fired);
    });
}

/// Tells a sidecar who the scheduler is, so that it waits for grants and does not load on demand.
void LoadScheduler::Impl::greet(const std::string &sidecar, TimePoint now)
{
    const auto last = greeted.find(sidecar);
    const bool recent = last != greeted.end() && now - last->second < helloInterval;
    if (recent || !mayAct(now)) {
        return;
    }
    greeted[sidecar] = now;
    wire::Envelope message;
    message.set_protocol(wireProtocol);
    auto &hello = *message.mutable_hello();
    hello.mutable_from()->set_name(init.name);
    hello.mutable_from()->set_incarnation(init.incarnation);
    hello.set_scheduler(true);
    hello.set_scheduler_fence(fence());
    hello.set_want_full(last == greeted.end());
    hello.set_config_revision(init.config->revision());
    hello.set_config_digest(init.config->digest());
    actions.push_back(SendToSidecar{sidecar, std::move(message)});
}

LoadScheduler::LoadScheduler(Init init, std::function<bool(TimePoint)> mayAct, std::function<std::uint64_t()> fence)
    : impl_(std::make_unique<Impl>())
{
    impl_->init = std::move(init);
    impl_->mayAct = std::move(mayAct);
    impl_->fence = std::move(fence);
}

LoadScheduler::~LoadScheduler() = default;

void LoadScheduler::onHeartbeat(const wire::Heartbeat &heartbeat, Now now)
{
    if (impl_->table.onHeartbeat(heartbeat, now.mono)) {
        impl_->dropOf(heartbeat.from().name(), heartbeat.from().incarnation());
    }
    const bool unknown = !impl_->greeted.contains(heartbeat.from().name());
    if (unknown || heartbeat.demands_size() > 0) {
        impl_->greet(heartbeat.from().name(), now.mono);
    }
    impl_->stats.demands = impl_->table.demands();
    impl_->run(now.mono);
}

void LoadScheduler::onLoadResult(const wire::LoadResult &result, Now now)
{
    const auto load = impl_->flying.find(result.grant());
    const bool ours =
        load != impl_->flying.end() && result.fence() == impl_->fence() && result.from().name() == load->second.sidecar;
    if (!ours) {
        return;
    }
    const auto outcome = fromWire(result.outcome(), OrderOutcome::Unknown);
    impl_->table.dropDemand(load->second.sidecar, load->second.key);
    impl_->flying.erase(load);
    if (outcome == OrderOutcome::Done) {
        ++impl_->stats.done;
        impl_->backoff = Duration{};
        const double took = static_cast<double>(result.took_us()) * 1e-6;
        impl_->loadSeconds += impl_->loadSeconds == 0.0 ? took : loadTimeDecay * (took - impl_->loadSeconds);
    }
    if (outcome == OrderOutcome::Refused) {
        // The store is over its rate. Asking on at once would keep it there.
        ++impl_->stats.storeRefusals;
        impl_->backoff = std::clamp(2 * impl_->backoff, firstBackoff, longestBackoff);
        impl_->nextGrantAt = std::max(impl_->nextGrantAt, now.mono + impl_->backoff);
    }
    impl_->run(now.mono);
}

void LoadScheduler::onMember(const Member &member, Now now)
{
    const bool fresh = impl_->table.onMember(member);
    if (fresh) {
        impl_->dropOf(member.name, member.incarnation);
        impl_->greeted.erase(member.name);
    }
    if (member.role == VmRole::Sidecar && member.state == MemberState::Gone) {
        impl_->dropOf(member.name, member.incarnation + 1);
    }
    if (fresh && member.state == MemberState::Live) {
        impl_->greet(member.name, now.mono);
    }
    impl_->run(now.mono);
}

void LoadScheduler::onTakeOver(Now now)
{
    impl_->flying.clear();
    impl_->greeted.clear();
    // A grant of the predecessor may start until its validity is over; from then on the load shows in heartbeats.
    impl_->blockedUntil = now.mono + 2 * grantValidity;
    for (const auto &[name, sidecar] : impl_->table.sidecars()) {
        impl_->greet(name, now.mono);
    }
    impl_->arm(now.mono);
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

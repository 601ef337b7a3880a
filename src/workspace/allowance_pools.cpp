// Pools of allowances at one sidecar.
#include "anvilscale/workspace.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Time for which an entry that is not heard any more counts among all entries. Longer than a restart, so that the
// parts of entries that return stay reserved.
constexpr Duration entryLifetime = Seconds(30);
// Pools of workspaces and endpoints that may no longer exist are dropped after this time without a call.
constexpr Duration idlePoolLifetime = Seconds(600);
// Upper bound of Retry-After: a caller that is told more does not return.
constexpr Duration maxRetryAfter = Seconds(5);
// Part of a pool's savings that one entry may reserve beyond its waiting calls.
constexpr double maxReservedPart = 0.25;

bool hasTermsOf(const Allowance &allowance, const wire::AllowanceNeed &need)
{
    return allowance.ratePerSecond == need.rate() && allowance.burst == need.burst();
}

// The costs of other terms may be counted in another unit: a debt of tokens would be paid off in calls for minutes.
void limitDebt(AllowanceBucket &bucket, const Allowance &allowance)
{
    const double maxDebt = allowance.burst > 0 ? allowance.burst : allowance.ratePerSecond;
    bucket.giveBack(std::max(0.0, -bucket.balance() - maxDebt));
}

} // namespace

AllowancePools::AllowancePools(AllowanceTimes times)
    : times_(times)
{
}

wire::AllowanceAnswer AllowancePools::answer(const wire::AllowanceAsk &ask, TimePoint now)
{
    recordMember(ask, now);
    wire::AllowanceAnswer answer;
    answer.set_call(ask.call());
    answer.set_scope(ask.scope());
    answer.set_valid_ms(static_cast<std::uint32_t>(toMilliseconds(times_.creditLifetime)));
    answer.set_entries(countNamedEntries(now));
    for (const auto &need : ask.needs()) {
        auto &pool = refillPool(need, ask.config_version(), now);
        *answer.add_grants() = grant(need, pool, now);
        if (!hasTermsOf(pool.allowance, need)) {
            limitDebt(pool.bucket, pool.allowance);
        }
    }
    return answer;
}

void AllowancePools::recordMember(const wire::AllowanceAsk &ask, TimePoint now)
{
    for (std::uint32_t group = 0; group < allowanceGroups; ++group) {
        const bool joins = std::find(ask.groups().begin(), ask.groups().end(), group) != ask.groups().end();
        // Prevents savings from being used twice when entries move between pools.
        if (joins && countMembers(group, now) == 0 && times_.has(AllowanceSafeguard::EmptyStart)) {
            startEmpty(group, now);
        }
    }
    auto &member = members_[ask.entry()];
    member.groups.reset();
    for (const auto group : ask.groups()) {
        if (group < allowanceGroups) {
            member.groups.set(group);
        }
    }
    member.heardAt = now;
    std::erase_if(members_, [now](const auto &item) { return now - item.second.heardAt > entryLifetime; });
    if (ask.entries() >= reportedEntries_ || now > reportedUntil_) {
        reportedEntries_ = ask.entries();
        reportedUntil_ = now + entryLifetime;
    }
}

void AllowancePools::dropIdlePools(TimePoint now)
{
    std::erase_if(pools_, [now](const auto &item) {
        const auto &pool = item.second;
        const auto idleTime = now - pool.askedAt;
        const bool isPaidOff = pool.bucket.balance() + pool.bucket.ratePerSecond() * toSeconds(idleTime) >= 0;
        return idleTime > idlePoolLifetime && isPaidOff;
    });
}

void AllowancePools::startEmpty(std::uint32_t group, TimePoint now)
{
    memberSince_[group] = now;
    for (auto &[workspace, pool] : pools_) {
        if (allowanceGroup(workspace) == group) {
            pool.bucket = AllowanceBucket(now, times_.initialSavings);
        }
    }
}

std::uint32_t AllowancePools::countMembers(std::uint32_t group, TimePoint now) const
{
    return static_cast<std::uint32_t>(std::count_if(members_.begin(), members_.end(), [&](const auto &item) {
        const auto &member = item.second;
        const bool isHeard = now - member.heardAt <= times_.memberTimeout;
        return member.groups.test(group) && (isHeard || !times_.has(AllowanceSafeguard::MemberTimeout));
    }));
}

std::uint32_t AllowancePools::countNamedEntries(TimePoint now) const
{
    return static_cast<std::uint32_t>(std::count_if(members_.begin(), members_.end(), [&](const auto &item) {
        return now - item.second.heardAt <= entryLifetime;
    }));
}

double AllowancePools::partOf(std::uint32_t group, TimePoint now) const
{
    if (!times_.has(AllowanceSafeguard::PartOfMembers)) {
        return 1;
    }
    const auto reported = now <= reportedUntil_ ? reportedEntries_ : 0;
    const auto entries = std::max(countNamedEntries(now), reported);
    return entries == 0 ? 0.0 : std::min(1.0, static_cast<double>(countMembers(group, now)) / entries);
}

AllowancePools::Pool &AllowancePools::refillPool(const wire::AllowanceNeed &need, std::uint64_t configVersion,
                                                 TimePoint now)
{
    const auto group = allowanceGroup(need.workspace());
    const auto [place, isNew] = pools_.try_emplace(need.workspace(), memberSince_[group], times_.initialSavings);
    auto &pool = place->second;
    pool.askedAt = now;
    if (isNew) {
        dropIdlePools(now);
    }
    const bool changes = configVersion >= pool.configVersion && !hasTermsOf(pool.allowance, need);
    pool.configVersion = std::max(pool.configVersion, configVersion);
    if (changes) {
        pool.promisedUntil = TimePoint{};
        pool.allowance.ratePerSecond = need.rate();
        pool.allowance.burst = need.burst();
    }
    pool.bucket.refill(pool.allowance, partOf(group, now), now);
    if (changes) {
        limitDebt(pool.bucket, pool.allowance);
    }
    pool.bucket.giveBack(need.returned());
    return pool;
}

wire::AllowanceGrant AllowancePools::grant(const wire::AllowanceNeed &need, Pool &pool, TimePoint now) const
{
    wire::AllowanceGrant grant;
    grant.set_workspace(need.workspace());
    double granted = 0;
    std::optional<double> refusedCost;
    for (const auto cost : need.costs()) {
        if (pool.bucket.take(cost)) {
            granted += cost;
        } else if (!refusedCost) {
            refusedCost = cost;
        }
    }
    if (refusedCost) {
        grant.set_retry_after_ms(static_cast<std::uint32_t>(toMilliseconds(promise(*refusedCost, pool, now))));
    } else {
        const double reserve = std::min<double>(need.reserve(), maxReservedPart * pool.bucket.balance());
        if (reserve > 0 && pool.bucket.take(reserve)) {
            granted += reserve;
        }
    }
    grant.set_granted(granted);
    return grant;
}

// Refused callers are told to return one after the other, at the rate at which the pool can serve them.
Duration AllowancePools::promise(double cost, Pool &pool, TimePoint now)
{
    const double rate = pool.bucket.ratePerSecond();
    const auto ownTime = rate > 0 ? fromMilliseconds(1000 * cost / rate) : maxRetryAfter;
    const auto earliest = now + std::max<Duration>(pool.bucket.timeUntil(cost), Milliseconds(1));
    pool.promisedUntil = std::clamp(pool.promisedUntil + ownTime, earliest, std::max(earliest, now + maxRetryAfter));
    return std::min<Duration>(pool.promisedUntil - now, maxRetryAfter);
}

} // namespace anvilscale

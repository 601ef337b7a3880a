// Credit of one entry for the calls of all workspaces.
#include "anvilscale/workspace.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

// A refusal of the pool holds for calls that arrive so soon after it. Bounds the messages of a workspace that sends
// much more than its allowance.
constexpr Duration refusalLifetime = Milliseconds(50);
// Time for which a call waits for credit in all, over several pools.
constexpr Duration maxCreditWait = Milliseconds(900);
// Time for which the number of entries that a pool has reported is used.
constexpr Duration entryCountLifetime = Seconds(30);
// Time constant of the use of a workspace.
constexpr double useTimeConstantSeconds = 1;
// Credit is reserved only if it is likely to be used for this many calls before it lapses.
constexpr double minReservedCalls = 2;
// Sent with a refusal whose cause is not the workspace's own use.
constexpr Duration unknownRetryAfter = Milliseconds(300);
// Accounts of workspaces and endpoints that may no longer exist are dropped after this time without a call.
constexpr Duration idleAccountLifetime = Seconds(60);
// A tick that is later than this shows that this process was paused, and not that the pools are silent.
constexpr Duration maxTickGap = Milliseconds(150);

} // namespace

AllowanceAccounts::AllowanceAccounts(std::string entryName, AllowanceTimes times)
    : entryName_(std::move(entryName))
    , times_(times)
{
}

void AllowanceAccounts::applyConfig(std::uint64_t configVersion, bool standalone)
{
    configVersion_ = configVersion;
    isStandalone_ = standalone;
}

void AllowanceAccounts::setPoolAddress(std::uint32_t group, const std::string &address, TimePoint now)
{
    auto &pool = pools_.at(group);
    if (pool.address != address) {
        leavePool(group);
        pool.address = address;
        pool.sentAt = TimePoint{};
        for (auto &[name, account] : accounts_) {
            if (account.group == group) {
                account.ownPart.reset();
            }
        }
    }
    // Also when a lost pool has cleared the address before: its calls still wait.
    if (address.empty()) {
        settleWithoutPool(group, now);
    }
}

AllowanceAccounts::Account &AllowanceAccounts::accountOf(const Workspace &workspace)
{
    auto &account = accounts_[workspace.name];
    if (account.allowance != workspace.allowance) {
        account.askNumber = 0; // the request under way states the old terms
        account.refusedUntil = TimePoint{}; // as does the last refusal
    }
    if (account.allowance.unit != workspace.allowance.unit) {
        account.portions.clear();
        account.returned = 0;
        account.ownPart.reset();
    }
    account.allowance = workspace.allowance;
    account.group = allowanceGroup(workspace.name);
    return account;
}

bool AllowanceAccounts::canDecide(const std::string &workspace, TimePoint now) const
{
    return isStandalone_ || now < knownUntil_ || !pools_.at(allowanceGroup(workspace)).address.empty();
}

const std::string &AllowanceAccounts::poolAddress(std::uint32_t group) const
{
    return pools_.at(group).address;
}

Charge AllowanceAccounts::charge(const Workspace &workspace, CallHandle call, double cost, TimePoint now)
{
    auto &account = accountOf(workspace);
    if (!account.allowance.isLimited()) {
        return {};
    }
    recordUse(account, cost, now);
    if (const auto creditUntil = spend(account, cost, now)) {
        return {ChargeResult::Granted, RefusalReason::None, Duration(0), *creditUntil};
    }
    if (now < account.refusedUntil && cost >= account.refusedCost) {
        return {ChargeResult::Refused, RefusalReason::OverAllowance, account.retryAt - now, {}};
    }
    if (pools_.at(account.group).address.empty() && (isStandalone_ || now < knownUntil_)) {
        return chargeOwnPart(account, cost, now);
    }
    account.pending.push_back({call, cost, now, false});
    ++stats_.waits;
    return {ChargeResult::Pending, RefusalReason::None, Duration(0), {}};
}

// Without a pool the entry uses its own part of the allowance. That it is used up does not show that the workspace has
// used its allowance, so that the refusal is no 429.
Charge AllowanceAccounts::chargeOwnPart(Account &account, double cost, TimePoint now)
{
    if (!account.ownPart) {
        account.ownPart.emplace(now);
    }
    const double part = isStandalone_ ? 1.0 : 1.0 / std::max<std::uint32_t>(1, knownEntries_);
    account.ownPart->refill(account.allowance, part, now);
    if (account.ownPart->take(cost)) {
        ++stats_.ownPart;
        return {ChargeResult::Granted, RefusalReason::None, Duration(0), now};
    }
    if (isStandalone_) {
        return {ChargeResult::Refused, RefusalReason::OverAllowance, account.ownPart->timeUntil(cost), {}};
    }
    return {ChargeResult::Refused, RefusalReason::AllowanceUnknown, unknownRetryAfter, {}};
}

void AllowanceAccounts::cancel(const std::string &workspace, CallHandle call)
{
    const auto found = accounts_.find(workspace);
    if (found != accounts_.end()) {
        std::erase_if(found->second.pending, [call](const PendingCall &pending) { return pending.call == call; });
    }
}

void AllowanceAccounts::refund(const std::string &workspace, double cost, TimePoint creditUntil, TimePoint now)
{
    const auto found = accounts_.find(workspace);
    if (found != accounts_.end() && now < creditUntil) {
        addPortion(found->second, cost, creditUntil);
    }
}

void AllowanceAccounts::addPortion(Account &account, double amount, TimePoint expiresAt)
{
    const auto place =
        std::upper_bound(account.portions.begin(), account.portions.end(), expiresAt,
                         [](TimePoint time, const Portion &portion) { return time < portion.expiresAt; });
    account.portions.insert(place, {amount, expiresAt});
}

void AllowanceAccounts::dropLapsed(Account &account, TimePoint now)
{
    while (!account.portions.empty() && account.portions.front().expiresAt <= now) {
        account.returned += account.portions.front().amount;
        account.portions.pop_front();
    }
}

void AllowanceAccounts::returnAll(Account &account)
{
    for (const auto &portion : std::exchange(account.portions, {})) {
        account.returned += portion.amount;
    }
}

/// Returns when the last part of the used credit would have lapsed; empty if there is not enough.
std::optional<TimePoint> AllowanceAccounts::spend(Account &account, double cost, TimePoint now)
{
    dropLapsed(account, now);
    double available = 0;
    for (const auto &portion : account.portions) {
        available += portion.amount;
    }
    // Costs are sums of the same numbers in another order.
    constexpr double roundingError = 1e-6;
    if (available + roundingError < cost) {
        return std::nullopt;
    }
    TimePoint creditUntil = now;
    while (cost > roundingError && !account.portions.empty()) {
        auto &portion = account.portions.front();
        const double used = std::min(cost, portion.amount);
        creditUntil = portion.expiresAt;
        cost -= used;
        portion.amount -= used;
        if (portion.amount <= roundingError) {
            account.portions.pop_front();
        }
    }
    return creditUntil;
}

void AllowanceAccounts::recordUse(Account &account, double cost, TimePoint now) const
{
    const double decay = std::exp(-toSeconds(now - account.usedAt) / useTimeConstantSeconds);
    constexpr double costWeight = 0.1;
    account.useRate = account.useRate * decay + cost / useTimeConstantSeconds;
    account.callCost = account.callCost == 0 ? cost : account.callCost + costWeight * (cost - account.callCost);
    account.usedAt = now;
}

double AllowanceAccounts::desiredReserve(const Account &account, TimePoint now) const
{
    const double decay = std::exp(-toSeconds(now - account.usedAt) / useTimeConstantSeconds);
    const double expected = account.useRate * decay * toSeconds(times_.creditLifetime);
    return expected >= minReservedCalls * account.callCost ? expected : 0;
}

void AllowanceAccounts::onAnswer(const std::string &address, const wire::AllowanceAnswer &answer, TimePoint now)
{
    const auto sent = sentAsks_.find(answer.call());
    if (sent == sentAsks_.end() || sent->second.address != address) {
        return; // of a pool that was left
    }
    const auto expiresAt = sent->second.sentAt + Milliseconds(answer.valid_ms());
    sentAsks_.erase(sent);
    if (answer.entries() >= knownEntries_ || now > knownUntil_) {
        knownEntries_ = answer.entries();
        knownUntil_ = now + entryCountLifetime;
    }
    for (const auto &grant : answer.grants()) {
        const auto account = accounts_.find(grant.workspace());
        if (account != accounts_.end() && account->second.askNumber == answer.call()) {
            settle(account->second, grant, expiresAt, now);
        }
    }
}

void AllowanceAccounts::settle(Account &account, const wire::AllowanceGrant &grant, TimePoint expiresAt, TimePoint now)
{
    account.askNumber = 0;
    if (grant.granted() > 0) {
        addPortion(account, grant.granted(), expiresAt);
    }
    const bool isLate = expiresAt <= now; // the calls ask again
    const Duration retryAfter = Milliseconds(grant.retry_after_ms());
    std::deque<PendingCall> remaining;
    for (auto &pending : account.pending) {
        if (const auto creditUntil = pending.isAsked ? spend(account, pending.cost, now) : std::nullopt) {
            decisions_.push_back({pending.call, RefusalReason::None, Duration(0), *creditUntil});
        } else if (pending.isAsked && !isLate && retryAfter > Duration(0)) {
            decisions_.push_back({pending.call, RefusalReason::OverAllowance, retryAfter, {}});
            account.refusedCost =
                account.refusedUntil > now ? std::min(account.refusedCost, pending.cost) : pending.cost;
            account.refusedUntil = now + std::min(refusalLifetime, retryAfter);
            account.retryAt = now + retryAfter;
        } else {
            pending.isAsked = false;
            remaining.push_back(pending);
        }
    }
    account.pending = std::move(remaining);
}

void AllowanceAccounts::leavePool(std::uint32_t group)
{
    std::erase_if(sentAsks_, [&](const auto &item) { return item.second.address == pools_.at(group).address; });
    for (auto &[name, account] : accounts_) {
        if (account.group != group) {
            continue;
        }
        account.askNumber = 0;
        account.returned = 0; // belongs to the pool that has granted it
        for (auto &pending : account.pending) {
            pending.isAsked = false;
        }
    }
}

void AllowanceAccounts::dropPool(const std::string &address)
{
    for (std::uint32_t group = 0; group < allowanceGroups; ++group) {
        if (pools_.at(group).address == address) {
            leavePool(group);
            pools_.at(group).address.clear();
        }
    }
}

void AllowanceAccounts::onPoolLost(const std::string &address)
{
    dropPool(address);
}

/// Charges the calls that wait for a pool to the entry's own part.
void AllowanceAccounts::settleWithoutPool(std::uint32_t group, TimePoint now)
{
    if (!isStandalone_ && now >= knownUntil_) {
        return;
    }
    for (auto &[name, account] : accounts_) {
        if (account.group != group) {
            continue;
        }
        for (const auto &pending : std::exchange(account.pending, {})) {
            const auto charge = chargeOwnPart(account, pending.cost, now);
            decisions_.push_back({pending.call, charge.refusal, charge.retryAfter, charge.creditUntil});
        }
    }
}

void AllowanceAccounts::tick(TimePoint now)
{
    const auto gap = now - std::exchange(tickedAt_, now);
    if (gap > maxTickGap) {
        for (auto &[number, sent] : sentAsks_) {
            sent.silentAt += gap;
        }
    }
    std::vector<std::string> silent;
    for (const auto &[number, sent] : sentAsks_) {
        if (now > sent.silentAt) {
            silent.push_back(sent.address);
        }
    }
    for (const auto &address : silent) {
        ++stats_.lostPools;
        dropPool(address);
        silentPools_.push_back(address);
    }
    for (auto &[name, account] : accounts_) {
        dropLapsed(account, now);
        refusePendingSince(account, now - maxCreditWait);
    }
    std::erase_if(accounts_, [now](const auto &item) { return isIdle(item.second, now); });
}

bool AllowanceAccounts::isIdle(const Account &account, TimePoint now)
{
    return account.pending.empty() && account.portions.empty() && account.returned == 0 && !account.ownPart
           && now - account.usedAt > idleAccountLifetime;
}

void AllowanceAccounts::refusePendingSince(Account &account, TimePoint latest)
{
    while (!account.pending.empty() && account.pending.front().since <= latest) {
        decisions_.push_back(
            {account.pending.front().call, RefusalReason::AllowanceUnknown, unknownRetryAfter, TimePoint{}});
        account.pending.pop_front();
    }
}

bool AllowanceAccounts::needsCredit(std::uint32_t group) const
{
    return std::any_of(accounts_.begin(), accounts_.end(), [group](const auto &item) {
        const auto &account = item.second;
        return account.group == group && account.askNumber == 0 && !account.pending.empty();
    });
}

void AllowanceAccounts::addNeeds(wire::AllowanceAsk &ask, std::uint32_t group, TimePoint now)
{
    for (auto &[name, account] : accounts_) {
        const bool asks = account.askNumber == 0 && !account.pending.empty();
        if (account.group != group || (!asks && account.returned == 0)) {
            continue;
        }
        if (asks) {
            returnAll(account); // so that the pool can grant a call that is partly covered
        }
        auto &need = *ask.add_needs();
        need.set_workspace(name);
        need.set_rate(account.allowance.ratePerSecond);
        need.set_burst(account.allowance.burst);
        need.set_returned(std::exchange(account.returned, 0));
        if (!asks) {
            continue;
        }
        account.askNumber = ask.call();
        need.set_reserve(desiredReserve(account, now));
        for (auto &pending : account.pending) {
            pending.isAsked = true;
            need.add_costs(pending.cost);
        }
    }
}

std::vector<AllowanceRequest> AllowanceAccounts::takeRequests(TimePoint now)
{
    std::map<std::string, std::vector<std::uint32_t>> groupsByAddress;
    std::set<std::string> due;
    for (std::uint32_t group = 0; group < allowanceGroups; ++group) {
        const auto &pool = pools_.at(group);
        if (pool.address.empty()) {
            continue;
        }
        groupsByAddress[pool.address].push_back(group);
        if (now - pool.sentAt >= times_.keepAlive || needsCredit(group)) {
            due.insert(pool.address);
        }
    }
    std::vector<AllowanceRequest> requests;
    for (const auto &address : due) {
        AllowanceRequest request;
        request.address = address;
        request.ask.set_call(++lastAsk_);
        request.ask.set_entry(entryName_);
        request.ask.set_config_version(configVersion_);
        request.ask.set_entries(now < knownUntil_ ? knownEntries_ : 0);
        for (const auto group : groupsByAddress[address]) {
            request.ask.add_groups(group);
            addNeeds(request.ask, group, now);
            pools_.at(group).sentAt = now;
        }
        sentAsks_[lastAsk_] = {address, now, now + times_.answerTimeout};
        ++stats_.asks;
        requests.push_back(std::move(request));
    }
    return requests;
}

std::vector<AllowanceDecision> AllowanceAccounts::takeDecisions()
{
    return std::exchange(decisions_, {});
}

std::vector<std::string> AllowanceAccounts::takeSilentPools()
{
    return std::exchange(silentPools_, {});
}

const AllowanceStats &AllowanceAccounts::stats() const
{
    return stats_;
}

} // namespace anvilscale

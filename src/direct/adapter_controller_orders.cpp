// Selects the next order of an engine: one at a time, within its slots and memory, and never on an adapter in use.
#include "adapter_controller_impl.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace anvilscale {

namespace {

constexpr Duration conflictBackoff = Milliseconds(30);
constexpr Duration rejectionBackoff = Milliseconds(500);
// Half-life of an adapter's call rate; popularity shifts within seconds.
constexpr double useHalfLifeSeconds = 6.0;
constexpr double minReportedCalls = 4; // minimum call rate of an adapter that is reported to entries
// Maximum number of tracked adapters; bounds the memory of a sidecar that runs for months and sees tens of thousands of
// adapters.
constexpr std::size_t maxUsages = 4096;
constexpr Duration usageLifetime = Seconds(60); // older calls contribute less than a thousandth
// Keeps a newly loaded adapter until entries have received its state and sent the first call.
constexpr Duration settleTime = Milliseconds(300);
// Ratio to the usual answer time from which an answer counts as lost.
constexpr double timeoutFactor = 8;
constexpr Duration minOrderTimeout = Milliseconds(15); // covers scheduling delays of the process
constexpr Duration maxOrderTimeout = Milliseconds(80); // also used until enough answers are measured
constexpr std::size_t minAnswerSamples = 8;

double decayed(double rate, TimePoint since, TimePoint now)
{
    const double idle = std::chrono::duration<double>(now - since).count();
    return rate * std::exp2(-idle / useHalfLifeSeconds);
}

} // namespace

void AdapterController::Impl::recordUse(const AdapterKey &key, std::uint32_t starts, TimePoint now)
{
    if (usages.size() >= maxUsages) {
        std::erase_if(usages, [now](const auto &item) { return now - item.second.lastUsedAt > usageLifetime; });
    }
    auto &use = usages[key];
    use.callRate = decayed(use.callRate, use.lastUsedAt, now) + starts;
    use.lastUsedAt = now;
}

std::uint32_t AdapterController::Impl::recentCalls(const AdapterKey &key, TimePoint now) const
{
    const auto use = usages.find(key);
    const double rate = use == usages.end() ? 0 : decayed(use->second.callRate, use->second.lastUsedAt, now);
    return rate < minReportedCalls ? 0 : std::bit_floor(static_cast<std::uint32_t>(rate));
}

EngineOrder AdapterController::Impl::makeOrder(EngineOrderKind kind, const AdapterKey &key)
{
    EngineOrder order;
    order.id = OrderHandle{++lastOrderId};
    order.kind = kind;
    order.model = key.first;
    order.adapter = key.second;
    order.expectedSequence = report->sequence;
    order.fencingNumber = fencingNumber;
    order.endpointId = endpointId;
    return order;
}

// Selects the least used adapter, other than the wanted one, that has no running or waiting calls. One in use is never
// evicted: the engine would wait for its calls to end and refuse all other orders meanwhile.
std::optional<AdapterController::Impl::AdapterKey> AdapterController::Impl::selectVictim(const AdapterKey &wanted,
                                                                                         TimePoint now) const
{
    std::optional<AdapterKey> worst;
    double least = 0;
    for (const auto &adapter : report->adapters) {
        const AdapterKey key{adapter.model, adapter.adapter};
        const auto demand = totalDemand(key);
        const auto use = usages.find(key);
        const bool settling = use != usages.end() && now - use->second.lastUsedAt < settleTime;
        if (key == wanted || demand.running != 0 || demand.waiting != 0 || settling) {
            continue;
        }
        const double rate = use == usages.end() ? 0 : decayed(use->second.callRate, use->second.lastUsedAt, now);
        if (!worst || rate < least) {
            worst = key;
            least = rate;
        }
    }
    return worst;
}

// All loads share the bandwidth of the weight store. Where it is short, more concurrent loads finish no earlier and
// delay the most urgent ones.
std::size_t AdapterController::Impl::maxConcurrentLoads() const
{
    return policy.has(Mechanism::LoadWindow) ? loadTimes.window() : maxEngineLoads;
}

// The engine on the same VM answers an order within milliseconds. A short timeout keeps loads from being delayed by
// lost answers: with 80 ms they came that much later while a third of the answers was lost.
Duration AdapterController::Impl::orderTimeout() const
{
    if (answerTimesMs.count() < minAnswerSamples || !policy.has(Mechanism::LearnedOrders)) {
        return maxOrderTimeout;
    }
    const auto usual = fromMilliseconds(timeoutFactor * answerTimesMs.quantile(0.9));
    return std::clamp<Duration>(usual, minOrderTimeout, maxOrderTimeout);
}

std::optional<EngineOrder> AdapterController::Impl::selectOrder(const AdapterKey &key, const AdapterDemand &demand,
                                                                TimePoint now)
{
    const auto ifSafe = [this, now](EngineOrderKind kind, const AdapterKey &subject) {
        const auto order = makeOrder(kind, subject);
        return isSafe(order, now) ? std::optional(order) : std::nullopt;
    };
    const auto *size = findModelSize(key.first);
    if (!hasModel(key.first)) {
        return report->busy || size == nullptr ? std::nullopt : ifSafe(EngineOrderKind::Load, {key.first, ""});
    }
    if (key.second.empty() || isPending(key)) {
        return std::nullopt;
    }
    const auto *present = findHeld(key);
    if (present != nullptr && present->version >= demand.minVersion) {
        return std::nullopt;
    }
    if (report->pending.size() >= maxConcurrentLoads()) {
        return std::nullopt;
    }
    // A newer version replaces the old one in its slot. The engine would wait for running calls on the old version and
    // accept no other order, so that nothing is ordered while there are any.
    const bool isLoadable = present == nullptr ? demand.waiting != 0 : demand.running == 0;
    if (!isLoadable) {
        return std::nullopt;
    }
    const bool hasKnownSize = size != nullptr || present != nullptr;
    auto load = hasKnownSize ? ifSafe(EngineOrderKind::Load, key) : std::nullopt;
    if (load) {
        return load;
    }
    if (const auto out = selectVictim(key, now)) {
        return ifSafe(EngineOrderKind::Unload, *out);
    }
    return present == nullptr ? std::nullopt : ifSafe(EngineOrderKind::Unload, key);
}

std::optional<EngineOrder> AdapterController::Impl::nextOrder(TimePoint now)
{
    const bool known =
        report && isReachable && plan.config_version() != 0 && !endpointId.empty() && endpointId != rejectedId;
    if (!known || fencingNumber == 0 || pendingOrder || unconfirmedOrder || now < nextOrderAt) {
        return std::nullopt;
    }
    // Loads adapters first that let the most calls meet their objective: late calls lose little by a longer wait and
    // would make others late. Ties are broken by the number of waiting calls.
    std::map<AdapterKey, AdapterDemand> demanded;
    for (const auto &[peer, fromPeer] : demands) {
        for (const auto &[key, demand] : fromPeer) {
            demanded.try_emplace(key, totalDemand(key));
        }
    }
    const bool inTimeFirst = policy.has(Mechanism::InTimeFirst);
    const auto urgency = [inTimeFirst](const AdapterDemand &demand) {
        return std::pair(inTimeFirst ? demand.inTime : 0, demand.waiting);
    };
    std::vector<std::pair<AdapterKey, AdapterDemand>> order(demanded.begin(), demanded.end());
    std::stable_sort(order.begin(), order.end(),
                     [&](const auto &a, const auto &b) { return urgency(a.second) > urgency(b.second); });
    for (const auto &[key, demand] : order) {
        if (auto next = selectOrder(key, demand, now)) {
            pendingOrder = next;
            orderSentAt = now;
            return next;
        }
    }
    return std::nullopt;
}

void AdapterController::Impl::onOrderEnded(OrderHandle id, EngineOrderResult result, const std::string &incarnation,
                                           TimePoint now)
{
    results.add(result);
    if (!pendingOrder || pendingOrder->id != id) {
        return;
    }
    const auto order = *std::exchange(pendingOrder, std::nullopt);
    nextOrderAt = now;
    if (result != EngineOrderResult::NoAnswer) {
        answerTimesMs.add(milliseconds(now - orderSentAt));
    }
    switch (result) {
    case EngineOrderResult::Accepted:
    case EngineOrderResult::AlreadyHolds:
        onOrderAccepted(order, now);
        return;
    case EngineOrderResult::Conflict:
        nextOrderAt = now + conflictBackoff;
        return;
    case EngineOrderResult::FencedOff:
        // The number is of no more use: the higher one may be any.
        fencingNumber = 0;
        nextOrderAt = now + rejectionBackoff;
        return;
    case EngineOrderResult::OtherIncarnation:
        // The engine has restarted. If the answer does not name its new incarnation, the entries report it from the
        // store.
        rejectedId = order.endpointId;
        applyIncarnation(incarnation.empty() ? reportedId : incarnation);
        nextOrderAt = now + conflictBackoff;
        return;
    case EngineOrderResult::NoAnswer:
        onOrderLost(order, now);
        // The order may still be applied seconds later. The next one follows at once with the same expected sequence,
        // so that the engine accepts only one of them.
        return;
    case EngineOrderResult::Rejected:
    case EngineOrderResult::Count:
        // An unknown answer does not prove that the order has been refused.
        onOrderLost(order, now);
        nextOrderAt = now + rejectionBackoff;
        return;
    }
}

void AdapterController::Impl::onOrderAccepted(const EngineOrder &order, TimePoint now)
{
    unconfirmedOrder = order;
    if (order.kind != EngineOrderKind::Load) {
        return;
    }
    if (order.adapter.empty()) {
        loadTimes.onModelLoadStarted(now);
        return;
    }
    const AdapterKey key{order.model, order.adapter};
    loadTimes.onLoadStarted(key, totalDemand(key).minVersion, now);
}

} // namespace anvilscale

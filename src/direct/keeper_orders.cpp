// Which order an engine gets next: one at a time, within its slots and memory, and never on an adapter in use.
#include "adapter_keeper_impl.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace anvilscale {

namespace {

constexpr Duration afterConflict = Milliseconds(30);
constexpr Duration afterRejection = Milliseconds(500);
// Half-life of an adapter's use, against the seconds in which popularity shifts.
constexpr double useHalfLifeSeconds = 6.0;
constexpr double leastToldCalls = 4; // of an adapter, before entries hear of its use
// Adapters whose use is remembered: a sidecar lives for months and sees tens of thousands of them.
constexpr std::size_t mostUses = 4096;
constexpr Duration useLife = Seconds(60); // a use of before counts for less than a thousandth
// An adapter just loaded is kept for its first call: the news of the load takes some milliseconds to the entries.
constexpr Duration settleTime = Milliseconds(300);
// Raised by more than any step of a clock, for an engine that knows a higher number from an earlier start.
constexpr std::uint64_t fenceStep = 60'000;
// The platform carries an unanswered order out seconds later, without a bound. Longer than any that was seen.
constexpr Duration lostOrderLife = Seconds(30);
// An order's answer that takes so many times as long as nearly all others was lost.
constexpr double lostAfter = 8;
constexpr Duration shortestOrderTime = Milliseconds(15); // a process that shares its core may be held up so long
constexpr Duration longestOrderTime = Milliseconds(80); // until answers have been seen
constexpr std::size_t leastAnswers = 8;

double decayed(double rate, TimePoint since, TimePoint now)
{
    const double idle = std::chrono::duration<double>(now - since).count();
    return rate * std::exp2(-idle / useHalfLifeSeconds);
}

} // namespace

void AdapterKeeper::Impl::touch(const AdapterKey &key, std::uint32_t starts, TimePoint now)
{
    if (uses.size() >= mostUses) {
        std::erase_if(uses, [now](const auto &item) { return now - item.second.last > useLife; });
    }
    auto &use = uses[key];
    use.rate = decayed(use.rate, use.last, now) + starts;
    use.last = now;
}

std::uint32_t AdapterKeeper::Impl::recentCalls(const AdapterKey &key, TimePoint now) const
{
    const auto use = uses.find(key);
    const double rate = use == uses.end() ? 0 : decayed(use->second.rate, use->second.last, now);
    return rate < leastToldCalls ? 0 : std::bit_floor(static_cast<std::uint32_t>(rate));
}

EngineOrder AdapterKeeper::Impl::makeOrder(EngineOrderKind kind, const AdapterKey &key)
{
    EngineOrder order;
    order.id = OrderHandle{++lastOrder};
    order.kind = kind;
    order.model = key.first;
    order.adapter = key.second;
    order.expected = report->sequence;
    order.fence = fence;
    order.endpointId = endpointId;
    return order;
}

// The adapter that is worth least: nobody runs or waits for it, and it is asked for most rarely. One with a run is
// never taken: the engine would wait for the run's end and refuse all other orders meanwhile, for seconds.
std::optional<AdapterKeeper::Impl::AdapterKey> AdapterKeeper::Impl::victim(TimePoint now) const
{
    std::optional<AdapterKey> worst;
    double least = 0;
    for (const auto &adapter : report->adapters) {
        const AdapterKey key{adapter.model, adapter.adapter};
        const auto wish = wishFor(key);
        const auto use = uses.find(key);
        const bool settling = use != uses.end() && now - use->second.last < settleTime;
        if (wish.running != 0 || wish.waiting != 0 || settling) {
            continue;
        }
        const double rate = use == uses.end() ? 0 : decayed(use->second.rate, use->second.last, now);
        if (!worst || rate < least) {
            worst = key;
            least = rate;
        }
    }
    return worst;
}

// All loads of the fleet share the store's bandwidth: where it is short, more of them side by side end no earlier, and
// what is wanted most waits behind what came first.
std::size_t AdapterKeeper::Impl::loadsAtOnce() const
{
    return policy.has(Mechanism::LoadWindow) ? loads.window() : engineLoadsAtOnce;
}

// An order is only accepted or not, which the engine on the same VM says within milliseconds. While each lost answer
// was waited for 80 ms, adapters came that much later on days when a third of the answers is lost.
Duration AdapterKeeper::Impl::orderTimeout() const
{
    if (answerMs.count() < leastAnswers || !policy.has(Mechanism::LearnedOrders)) {
        return longestOrderTime;
    }
    const auto usual = fromMilliseconds(lostAfter * answerMs.quantile(0.9));
    return std::clamp<Duration>(usual, shortestOrderTime, longestOrderTime);
}

std::optional<EngineOrder> AdapterKeeper::Impl::orderFor(const AdapterKey &key, const Wish &wish, TimePoint now)
{
    if (!hasModel(key.first)) {
        const auto *size = sizeOf(key.first);
        const bool fits = size != nullptr && usedMb() + size->weights_mb() <= plan.weights_mb();
        if (report->busy || !fits) {
            return std::nullopt;
        }
        return makeOrder(EngineOrderKind::Load, {key.first, ""});
    }
    if (key.second.empty() || isPending(key)) {
        return std::nullopt;
    }
    const auto *present = held(key);
    if (present != nullptr && present->version >= wish.leastVersion) {
        return std::nullopt;
    }
    if (report->pending.size() >= loadsAtOnce()) {
        return std::nullopt;
    }
    if (present != nullptr) {
        // A newer version takes its slot. The engine would wait for the runs on the old one and take no other order
        // until they end, so it is left alone while there are any: calls for the new version find another engine.
        return wish.running == 0 ? std::optional(makeOrder(EngineOrderKind::Load, key)) : std::nullopt;
    }
    if (wish.waiting == 0) {
        return std::nullopt;
    }
    const auto *size = sizeOf(key.first);
    const std::size_t needed = lateLoadMayFollow(now) ? 2 : 1;
    const bool slotFree = report->adapters.size() + report->pending.size() + needed <= plan.adapter_slots();
    const double most = plan.weights_mb();
    const bool fits = size != nullptr && usedMb() + static_cast<double>(needed) * size->adapter_mb() <= most;
    if (slotFree && fits) {
        return makeOrder(EngineOrderKind::Load, key);
    }
    const auto out = victim(now);
    return out ? std::optional(makeOrder(EngineOrderKind::Unload, *out)) : std::nullopt;
}

std::optional<EngineOrder> AdapterKeeper::Impl::nextOrder(TimePoint now)
{
    const bool known =
        report && reachable && plan.config_version() != 0 && !endpointId.empty() && endpointId != rejectedId;
    if (!known || underWay || awaited || now < notBefore) {
        return std::nullopt;
    }
    // What lets most calls be in time comes first: a call that is late already loses little by a longer wait, while one
    // that is loaded for behind it would become late too. Among the rest, what most calls wait for.
    std::map<AdapterKey, Wish> wanted;
    for (const auto &[peer, ofPeer] : wishes) {
        for (const auto &[key, wish] : ofPeer) {
            wanted.try_emplace(key, wishFor(key));
        }
    }
    const bool inTimeFirst = policy.has(Mechanism::InTimeFirst);
    const auto urgency = [inTimeFirst](const Wish &wish) {
        return std::pair(inTimeFirst ? wish.inTime : 0, wish.waiting);
    };
    std::vector<std::pair<AdapterKey, Wish>> order(wanted.begin(), wanted.end());
    std::stable_sort(order.begin(), order.end(),
                     [&](const auto &a, const auto &b) { return urgency(a.second) > urgency(b.second); });
    for (const auto &[key, wish] : order) {
        if (auto next = orderFor(key, wish, now)) {
            underWay = next;
            sentAt = now;
            return next;
        }
    }
    return std::nullopt;
}

void AdapterKeeper::Impl::orderEnded(OrderHandle id, EngineOrderResult result, const std::string &incarnation,
                                     TimePoint now)
{
    results.add(result);
    if (!underWay || underWay->id != id) {
        return;
    }
    const auto order = *std::exchange(underWay, std::nullopt);
    notBefore = now;
    if (result != EngineOrderResult::NoAnswer) {
        answerMs.add(milliseconds(now - sentAt));
    }
    switch (result) {
    case EngineOrderResult::Accepted:
    case EngineOrderResult::AlreadyHolds:
        noteAccepted(order, now);
        return;
    case EngineOrderResult::Conflict:
        notBefore = now + afterConflict;
        return;
    case EngineOrderResult::FencedOff:
        // Only this VM orders its engine, so the higher number is of an earlier start with another clock.
        fence += fenceStep;
        return;
    case EngineOrderResult::OtherIncarnation:
        // The engine has restarted. It does not always name its new incarnation; the entries learn it from the store.
        rejectedId = order.endpointId;
        takeIncarnation(incarnation.empty() ? toldId : incarnation);
        notBefore = now + afterConflict;
        return;
    case EngineOrderResult::NoAnswer:
        noteLost(order, now);
        // It may still be carried out, even seconds later. The next order goes out at once and expects the same
        // sequence: whichever comes first moves the sequence on, and the engine refuses the other.
        return;
    case EngineOrderResult::Rejected:
    case EngineOrderResult::Count:
        notBefore = now + afterRejection;
        return;
    }
}

void AdapterKeeper::Impl::noteAccepted(const EngineOrder &order, TimePoint now)
{
    awaited = order;
    if (order.kind != EngineOrderKind::Load) {
        return;
    }
    if (order.adapter.empty()) {
        loads.modelBegan(now);
        return;
    }
    const AdapterKey key{order.model, order.adapter};
    loads.began(key, wishFor(key).leastVersion, now);
}

void AdapterKeeper::Impl::noteLost(const EngineOrder &order, TimePoint now)
{
    std::erase_if(lostLoads, [now](const LostLoad &lost) { return now - lost.sentAt > lostOrderLife; });
    if (order.kind == EngineOrderKind::Load) {
        lostLoads.push_back({order.expected, now});
    }
}

// Within one start of the engine a lost order is harmless: the next order expects the same sequence, so that the engine
// takes only one of them. After a restart the sequence counts from zero and comes by the lost order's number again. If
// the engine were full just then, it would be ordered to hold more than it can, and crash: a slot stays free there.
bool AdapterKeeper::Impl::lateLoadMayFollow(TimePoint now) const
{
    return std::any_of(lostLoads.begin(), lostLoads.end(), [&](const LostLoad &lost) {
        return lost.ofEarlierStart && lost.expected == report->sequence + 1 && now - lost.sentAt <= lostOrderLife;
    });
}

} // namespace anvilscale

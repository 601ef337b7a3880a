// Decides which models and adapters one engine holds, and orders them one at a time.
#include "anvilscale/direct.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

// Loads that may be on their way to one engine at the same time; the engine's own limit.
constexpr std::size_t mostPending = 4;
// A load from the weight store takes 250 to 290 ms on the engines served while the store keeps up. One that is on its
// way for longer shows that the store is shared by more loads than it carries at full speed.
constexpr Duration slowLoad = Milliseconds(400);
// How long a slow load is taken as a sign for the next ones.
constexpr Duration slowStoreLife = Milliseconds(1500);
constexpr int slowLoadMemory = 8; // reports that the mean of slow loads goes back
constexpr Duration afterConflict = Milliseconds(30);
constexpr Duration afterRejection = Milliseconds(500);
// An accepted order shows in the engine's report within some milliseconds; after this long it is taken as lost.
constexpr Duration longestAwait = Milliseconds(1000);
// Half-life of an adapter's use, against the seconds in which popularity shifts.
constexpr double useHalfLifeSeconds = 6.0;
// An adapter just loaded is kept for its first call: the news of the load takes some milliseconds to the entries.
constexpr Duration settleTime = Milliseconds(300);
// Raised by more than any step of a clock, for an engine that knows a higher number from an earlier start.
constexpr std::uint64_t fenceStep = 60'000;
// The platform carries an unanswered order out seconds later, without a bound. Longer than any that was seen.
constexpr Duration lostOrderLife = Seconds(30);

} // namespace

AdapterKeeper::AdapterKeeper(std::uint64_t fence)
    : fence_(fence)
{
}

void AdapterKeeper::applyDemand(PeerHandle peer, const wire::DirectDemand &demand, TimePoint now)
{
    if (demand.has_plan() && demand.plan().config_version() >= plan_.config_version()) {
        plan_ = demand.plan();
    }
    toldId_ = demand.endpoint_id();
    if (endpointId_.empty() || endpointId_ == rejectedId_) {
        takeIncarnation(toldId_);
    }
    prompts_[peer] = PromptTokens{demand.unread_tokens(), demand.waiting_tokens()};
    auto &wishes = wishes_[peer];
    wishes.clear();
    for (const auto &item : demand.wishes()) {
        const AdapterKey key{item.model(), item.adapter()};
        wishes[key] = Wish{item.waiting(), item.in_time(), item.running(), item.least_version()};
        touch(key, item.started() + item.waiting(), now);
    }
}

void AdapterKeeper::takeIncarnation(const std::string &id)
{
    if (id.empty() || id == rejectedId_ || id == endpointId_) {
        return;
    }
    endpointId_ = id;
    awaited_.reset();
    ++revision_;
}

void AdapterKeeper::peerLost(PeerHandle peer)
{
    wishes_.erase(peer);
    prompts_.erase(peer);
    ++revision_;
}

void AdapterKeeper::touch(const AdapterKey &key, std::uint32_t starts, TimePoint now)
{
    auto &use = uses_[key];
    const double idle = std::chrono::duration<double>(now - use.last).count();
    use.rate = use.rate * std::exp2(-idle / useHalfLifeSeconds) + starts;
    use.last = now;
}

void AdapterKeeper::applyReport(const EngineStateReport &report, TimePoint now)
{
    const bool otherBirth = report_ && report.born != 0 && report_->born != 0 && report.born != report_->born;
    const bool restarted = report_ && (otherBirth || report.sequence < report_->sequence);
    const bool changed = !report_ || !reachable_ || report_->adapters != report.adapters
                         || report_->models != report.models || report_->pending != report.pending;
    if (restarted) {
        onRestart(now);
    }
    // The awaited order shows once the report counts it.
    if (awaited_ && report.sequence > awaited_->expected) {
        awaited_.reset();
    }
    if (awaited_ && now > notBefore_ + longestAwait) {
        awaited_.reset();
    }
    notePending(report, now);
    if (changed) {
        ++revision_;
        for (const auto &adapter : report.adapters) {
            const AdapterKey key{adapter.model, adapter.adapter};
            if (held(key) == nullptr) {
                touch(key, 0, now);
            }
        }
    }
    report_ = report;
    reachable_ = true;
}

// The engine's process is another one than before, perhaps under the same id.
void AdapterKeeper::onRestart(TimePoint now)
{
    if (underWay_) {
        noteLost(*underWay_, now); // its answer is of no use any more
        underWay_.reset();
    }
    awaited_.reset();
    pendingSince_.clear();
    for (auto &lost : lostLoads_) {
        lost.ofEarlierStart = true;
    }
}

void AdapterKeeper::noteLost(const EngineOrder &order, TimePoint now)
{
    std::erase_if(lostLoads_, [now](const LostLoad &lost) { return now - lost.sentAt > lostOrderLife; });
    if (order.kind == EngineOrderKind::Load) {
        lostLoads_.push_back({order.expected, now});
    }
}

// Within one start of the engine a lost order is harmless: the next order expects the same sequence, so that the engine
// takes only one of them. After a restart the sequence counts from zero and comes by the lost order's number again. If
// the engine were full just then, it would be ordered to hold more than it can, and crash: a slot stays free there.
bool AdapterKeeper::lateLoadMayFollow(TimePoint now) const
{
    return std::any_of(lostLoads_.begin(), lostLoads_.end(), [&](const LostLoad &lost) {
        return lost.ofEarlierStart && lost.expected == report_->sequence + 1 && now - lost.sentAt <= lostOrderLife;
    });
}

void AdapterKeeper::notePending(const EngineStateReport &report, TimePoint now)
{
    std::map<AdapterKey, TimePoint> pending;
    for (const auto &adapter : report.pending) {
        const AdapterKey key{adapter.model, adapter.adapter};
        const auto known = pendingSince_.find(key);
        const auto since = known == pendingSince_.end() ? now : known->second;
        pending[key] = since;
        if (now - since > slowLoad) {
            noteSlowLoad(now - since, now);
        }
    }
    pendingSince_ = std::move(pending);
}

void AdapterKeeper::noteSlowLoad(Duration took, TimePoint now)
{
    const bool first = now >= storeSlowUntil_;
    slowLoad_ = first ? took : std::max(slowLoad_ + Duration((took - slowLoad_) / slowLoadMemory), slowLoad);
    storeSlowUntil_ = now + slowStoreLife;
}

void AdapterKeeper::reportFailed(TimePoint /*now*/)
{
    revision_ += reachable_ ? 1 : 0;
    reachable_ = false;
}

void AdapterKeeper::orderEnded(OrderHandle id, EngineOrderResult result, const std::string &incarnation, TimePoint now)
{
    results_.add(result);
    if (!underWay_ || underWay_->id != id) {
        return;
    }
    const auto order = *std::exchange(underWay_, std::nullopt);
    notBefore_ = now;
    switch (result) {
    case EngineOrderResult::Accepted:
    case EngineOrderResult::AlreadyHolds:
        awaited_ = order;
        return;
    case EngineOrderResult::Conflict:
        notBefore_ = now + afterConflict;
        return;
    case EngineOrderResult::FencedOff:
        // Only this VM orders its engine, so the higher number is of an earlier start with another clock.
        fence_ += fenceStep;
        return;
    case EngineOrderResult::OtherIncarnation:
        // The engine has restarted. It does not always name its new incarnation; the entries learn it from the store.
        rejectedId_ = order.endpointId;
        takeIncarnation(incarnation.empty() ? toldId_ : incarnation);
        notBefore_ = now + afterConflict;
        return;
    case EngineOrderResult::NoAnswer:
        noteLost(order, now);
        // It may still be carried out, even seconds later. The next order goes out at once and expects the same
        // sequence: whichever comes first moves the sequence on, and the engine refuses the other.
        return;
    case EngineOrderResult::Rejected:
    case EngineOrderResult::Count:
        notBefore_ = now + afterRejection;
        return;
    }
}

AdapterKeeper::Wish AdapterKeeper::wishFor(const AdapterKey &key) const
{
    Wish sum;
    for (const auto &[peer, wishes] : wishes_) {
        if (const auto found = wishes.find(key); found != wishes.end()) {
            sum.waiting += found->second.waiting;
            sum.inTime += found->second.inTime;
            sum.running += found->second.running;
            sum.leastVersion = std::max(sum.leastVersion, found->second.leastVersion);
        }
    }
    return sum;
}

const HeldAdapter *AdapterKeeper::held(const AdapterKey &key) const
{
    if (!report_) {
        return nullptr;
    }
    const auto found =
        std::find_if(report_->adapters.begin(), report_->adapters.end(), [&](const HeldAdapter &adapter) {
            return adapter.model == key.first && adapter.adapter == key.second;
        });
    return found == report_->adapters.end() ? nullptr : &*found;
}

bool AdapterKeeper::isPending(const AdapterKey &key) const
{
    return std::any_of(report_->pending.begin(), report_->pending.end(), [&](const HeldAdapter &adapter) {
        return adapter.model == key.first && adapter.adapter == key.second;
    });
}

bool AdapterKeeper::hasModel(const std::string &model) const
{
    return std::find(report_->models.begin(), report_->models.end(), model) != report_->models.end();
}

const wire::EngineModel *AdapterKeeper::sizeOf(const std::string &model) const
{
    for (const auto &size : plan_.models()) {
        if (size.name() == model) {
            return &size;
        }
    }
    return nullptr;
}

double AdapterKeeper::usedMb() const
{
    double sum = 0;
    for (const auto &model : report_->models) {
        const auto *size = sizeOf(model);
        sum += size == nullptr ? 0 : size->weights_mb();
    }
    for (const auto *list : {&report_->adapters, &report_->pending}) {
        for (const auto &adapter : *list) {
            const auto *size = sizeOf(adapter.model);
            sum += size == nullptr ? 0 : size->adapter_mb();
        }
    }
    return sum;
}

EngineOrder AdapterKeeper::makeOrder(EngineOrderKind kind, const AdapterKey &key)
{
    EngineOrder order;
    order.id = OrderHandle{++lastOrder_};
    order.kind = kind;
    order.model = key.first;
    order.adapter = key.second;
    order.expected = report_->sequence;
    order.fence = fence_;
    order.endpointId = endpointId_;
    return order;
}

// The adapter that is worth least: nobody runs or waits for it, and it is asked for most rarely. One with a run is
// never taken: the engine would wait for the run's end and refuse all other orders meanwhile, for seconds.
std::optional<AdapterKeeper::AdapterKey> AdapterKeeper::victim(TimePoint now) const
{
    std::optional<AdapterKey> worst;
    double least = 0;
    for (const auto &adapter : report_->adapters) {
        const AdapterKey key{adapter.model, adapter.adapter};
        const auto wish = wishFor(key);
        const auto use = uses_.find(key);
        const bool settling = use != uses_.end() && now - use->second.last < settleTime;
        if (wish.running != 0 || wish.waiting != 0 || settling) {
            continue;
        }
        double rate = 0;
        if (use != uses_.end()) {
            const double idle = std::chrono::duration<double>(now - use->second.last).count();
            rate = use->second.rate * std::exp2(-idle / useHalfLifeSeconds);
        }
        if (!worst || rate < least) {
            worst = key;
            least = rate;
        }
    }
    return worst;
}

std::optional<EngineOrder> AdapterKeeper::orderFor(const AdapterKey &key, const Wish &wish, TimePoint now)
{
    if (!hasModel(key.first)) {
        const auto *size = sizeOf(key.first);
        const bool fits = size != nullptr && usedMb() + size->weights_mb() <= plan_.weights_mb();
        if (report_->busy || !fits) {
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
    // All loads of the fleet share the store's bandwidth: those that go on side by side end together, and late. Where
    // it is short, one after the other, what most calls wait for first, ends most of them earlier and none later.
    if (report_->pending.size() >= (now < storeSlowUntil_ ? 1 : mostPending)) {
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
    const bool slotFree = report_->adapters.size() + report_->pending.size() + needed <= plan_.adapter_slots();
    const double most = plan_.weights_mb();
    const bool fits = size != nullptr && usedMb() + static_cast<double>(needed) * size->adapter_mb() <= most;
    if (slotFree && fits) {
        return makeOrder(EngineOrderKind::Load, key);
    }
    const auto out = victim(now);
    return out ? std::optional(makeOrder(EngineOrderKind::Unload, *out)) : std::nullopt;
}

std::optional<EngineOrder> AdapterKeeper::nextOrder(TimePoint now)
{
    const bool known =
        report_ && reachable_ && plan_.config_version() != 0 && !endpointId_.empty() && endpointId_ != rejectedId_;
    if (!known || underWay_ || awaited_ || now < notBefore_) {
        return std::nullopt;
    }
    // What lets most calls be in time comes first: a call that is late already loses little by a longer wait, while one
    // that is loaded for behind it would become late too. Among the rest, what most calls wait for.
    std::map<AdapterKey, Wish> wanted;
    for (const auto &[peer, wishes] : wishes_) {
        for (const auto &[key, wish] : wishes) {
            wanted.try_emplace(key, wishFor(key));
        }
    }
    std::vector<std::pair<AdapterKey, Wish>> order(wanted.begin(), wanted.end());
    std::stable_sort(order.begin(), order.end(), [](const auto &a, const auto &b) {
        return std::pair(a.second.inTime, a.second.waiting) > std::pair(b.second.inTime, b.second.waiting);
    });
    for (const auto &[key, wish] : order) {
        if (auto next = orderFor(key, wish, now)) {
            underWay_ = next;
            return next;
        }
    }
    return std::nullopt;
}

void AdapterKeeper::tellLoadsAhead(wire::DirectState &state, TimePoint now) const
{
    std::map<AdapterKey, bool> ahead; // whether a call that waits for it can be in time
    for (const auto &[peer, wishes] : wishes_) {
        for (const auto &[key, wish] : wishes) {
            if (wish.waiting != 0 && held(key) == nullptr && !isPending(key)) {
                ahead[key] = ahead[key] || wish.inTime != 0;
            }
        }
    }
    for (const auto &[key, inTime] : ahead) {
        auto &item = *state.add_awaited();
        item.set_model(key.first);
        item.set_adapter(key.second);
    }
    const auto inTime = std::count_if(ahead.begin(), ahead.end(), [](const auto &item) { return item.second; });
    state.set_loads_ahead(static_cast<std::uint32_t>(ahead.size()));
    state.set_loads_in_time(static_cast<std::uint32_t>(inTime));
    if (now < storeSlowUntil_) {
        state.set_slow_load_ms(static_cast<std::uint32_t>(slowLoad_ / Milliseconds(1)));
    }
}

wire::DirectState AdapterKeeper::state(TimePoint now) const
{
    wire::DirectState state;
    state.set_endpoint_id(endpointId_);
    state.set_born(report_ ? report_->born : 0);
    state.set_entries(static_cast<std::uint32_t>(wishes_.size()));
    state.set_reachable(reachable_);
    state.set_slots(plan_.adapter_slots());
    state.set_unread_tokens(unreadTokens());
    state.set_waiting_tokens(waitingTokens());
    if (!report_) {
        return state;
    }
    for (const auto &model : report_->models) {
        state.add_models(model);
    }
    const auto add = [&state, this](const HeldAdapter &adapter, bool loading) {
        auto &item = *state.add_adapters();
        item.set_model(adapter.model);
        item.set_adapter(adapter.adapter);
        item.set_version(adapter.version);
        item.set_loading(loading);
        item.set_running(wishFor({adapter.model, adapter.adapter}).running);
    };
    std::uint32_t idle = 0;
    for (const auto &adapter : report_->adapters) {
        const AdapterKey key{adapter.model, adapter.adapter};
        const auto wish = wishFor(key);
        const bool evicting = underWay_ && underWay_->kind == EngineOrderKind::Unload && underWay_->model == key.first
                              && underWay_->adapter == key.second;
        idle += wish.running == 0 && wish.waiting == 0 ? 1 : 0;
        if (!evicting) {
            add(adapter, false);
        }
    }
    for (const auto &adapter : report_->pending) {
        add(adapter, true);
    }
    tellLoadsAhead(state, now);
    const auto taken = report_->adapters.size() + report_->pending.size();
    const auto free = plan_.adapter_slots() > taken ? plan_.adapter_slots() - taken : 0;
    state.set_room(static_cast<std::uint32_t>(free) + idle);
    state.set_running(report_->running);
    state.set_queued(report_->queued);
    state.set_kv_used(report_->kvUsed);
    state.set_kv_total(report_->kvTotal);
    return state;
}

bool AdapterKeeper::waits() const
{
    return underWay_ || awaited_;
}

bool AdapterKeeper::waitsFor(PeerHandle peer) const
{
    const auto found = wishes_.find(peer);
    return found != wishes_.end() && std::any_of(found->second.begin(), found->second.end(), [](const auto &wish) {
               return wish.second.waiting != 0;
           });
}

std::uint64_t AdapterKeeper::unreadTokens() const
{
    std::uint64_t sum = 0;
    for (const auto &[peer, tokens] : prompts_) {
        sum += tokens.unread;
    }
    return sum;
}

std::uint64_t AdapterKeeper::waitingTokens() const
{
    std::uint64_t sum = 0;
    for (const auto &[peer, tokens] : prompts_) {
        sum += tokens.waiting;
    }
    return sum;
}

std::uint64_t AdapterKeeper::revision() const
{
    return revision_;
}

const Counters<EngineOrderResult> &AdapterKeeper::results() const
{
    return results_;
}

} // namespace anvilscale

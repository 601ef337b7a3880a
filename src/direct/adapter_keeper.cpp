// Demand and reported state of one engine, and the state sent to entries.
#include "adapter_keeper_impl.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

// After this time without an effect in the engine's report an accepted order counts as lost.
constexpr Duration longestAwait = Milliseconds(1000);
// Work of one adapter load into a free slot, as prompt tokens.
constexpr std::uint64_t workOfLoad = 3000;

std::uint32_t roundUp(double ms)
{
    return static_cast<std::uint32_t>(std::ceil(ms));
}

} // namespace

AdapterKeeper::AdapterKeeper(std::uint64_t fence, DirectPolicy policy)
    : impl_(std::make_unique<Impl>())
{
    impl_->fence = fence;
    impl_->policy = policy;
}

AdapterKeeper::~AdapterKeeper() = default;

void AdapterKeeper::applyDemand(PeerHandle peer, const wire::DirectDemand &demand, TimePoint now)
{
    impl_->applyDemand(peer, demand, now);
}

void AdapterKeeper::Impl::applyDemand(PeerHandle peer, const wire::DirectDemand &demand, TimePoint now)
{
    if (demand.has_plan() && demand.plan().config_version() >= plan.config_version()) {
        plan = demand.plan();
    }
    toldId = demand.endpoint_id();
    if (endpointId.empty() || endpointId == rejectedId) {
        takeIncarnation(toldId);
    }
    prompts[peer] = PromptTokens{demand.unread_tokens(), demand.waiting_tokens()};
    auto &ofPeer = wishes[peer];
    ofPeer.clear();
    for (const auto &item : demand.wishes()) {
        const AdapterKey key{item.model(), item.adapter()};
        ofPeer[key] = Wish{item.waiting(), item.in_time(), item.running(), item.least_version()};
        touch(key, item.started(), now);
    }
}

void AdapterKeeper::Impl::takeIncarnation(const std::string &id)
{
    if (id.empty() || id == rejectedId || id == endpointId) {
        return;
    }
    endpointId = id;
    awaited.reset();
    ++revision;
}

void AdapterKeeper::peerLost(PeerHandle peer)
{
    impl_->wishes.erase(peer);
    impl_->prompts.erase(peer);
    ++impl_->revision;
}

AdapterKeeper::Impl::Wish AdapterKeeper::Impl::wishFor(const AdapterKey &key) const
{
    Wish sum;
    for (const auto &[peer, ofPeer] : wishes) {
        if (const auto found = ofPeer.find(key); found != ofPeer.end()) {
            sum.waiting += found->second.waiting;
            sum.inTime += found->second.inTime;
            sum.running += found->second.running;
            sum.leastVersion = std::max(sum.leastVersion, found->second.leastVersion);
        }
    }
    return sum;
}

AdapterKeeper::Impl::PromptTokens AdapterKeeper::Impl::promptTokens() const
{
    PromptTokens sum;
    for (const auto &[peer, tokens] : prompts) {
        sum.unread += tokens.unread;
        sum.waiting += tokens.waiting;
    }
    return sum;
}

void AdapterKeeper::applyReport(const EngineStateReport &report, TimePoint now)
{
    impl_->applyReport(report, now);
}

void AdapterKeeper::Impl::applyReport(const EngineStateReport &fresh, TimePoint now)
{
    const bool otherBirth = report && fresh.born != 0 && report->born != 0 && fresh.born != report->born;
    const bool restarted = report && (otherBirth || fresh.sequence < report->sequence);
    const bool changed = !report || !reachable || report->adapters != fresh.adapters || report->models != fresh.models
                         || report->pending != fresh.pending || report->leaving != fresh.leaving;
    if (restarted) {
        onRestart(now);
    }
    // The report counts the order: its effect is visible.
    if (awaited && fresh.sequence > awaited->expected) {
        awaited.reset();
    }
    if (awaited && now > notBefore + longestAwait) {
        awaited.reset();
    }
    noteLoads(fresh, now);
    if (changed) {
        ++revision;
        for (const auto &adapter : fresh.adapters) {
            const AdapterKey key{adapter.model, adapter.adapter};
            if (held(key) == nullptr) {
                touch(key, 0, now);
            }
        }
    }
    report = fresh;
    reachable = true;
    leavingId = fresh.leaving ? endpointId : "";
}

// The engine runs as a new process, perhaps under the same id.
void AdapterKeeper::Impl::onRestart(TimePoint now)
{
    if (underWay) {
        noteLost(*underWay, now);
        underWay.reset();
    }
    awaited.reset();
    loads.engineRestarted();
    for (auto &lost : lostLoads) {
        lost.ofEarlierStart = true;
    }
}

void AdapterKeeper::Impl::noteLoads(const EngineStateReport &fresh, TimePoint now)
{
    if (!fresh.models.empty()) {
        loads.modelEnded(now);
    }
    for (const auto &adapter : fresh.adapters) {
        loads.ended({adapter.model, adapter.adapter}, adapter.version, now);
    }
    loads.seenHeld(fresh.adapters);
    loads.checkOverdue(now);
}

void AdapterKeeper::reportFailed(TimePoint /*now*/)
{
    impl_->revision += impl_->reachable ? 1 : 0;
    impl_->reachable = false;
}

void AdapterKeeper::orderEnded(OrderHandle id, EngineOrderResult result, const std::string &incarnation, TimePoint now)
{
    impl_->orderEnded(id, result, incarnation, now);
}

std::optional<EngineOrder> AdapterKeeper::nextOrder(TimePoint now)
{
    return impl_->nextOrder(now);
}

const HeldAdapter *AdapterKeeper::Impl::held(const AdapterKey &key) const
{
    if (!report) {
        return nullptr;
    }
    const auto found = std::find_if(report->adapters.begin(), report->adapters.end(), [&](const HeldAdapter &adapter) {
        return adapter.model == key.first && adapter.adapter == key.second;
    });
    return found == report->adapters.end() ? nullptr : &*found;
}

bool AdapterKeeper::Impl::isPending(const AdapterKey &key) const
{
    return std::any_of(report->pending.begin(), report->pending.end(), [&](const HeldAdapter &adapter) {
        return adapter.model == key.first && adapter.adapter == key.second;
    });
}

bool AdapterKeeper::Impl::hasModel(const std::string &model) const
{
    return std::find(report->models.begin(), report->models.end(), model) != report->models.end();
}

const wire::EngineModel *AdapterKeeper::Impl::sizeOf(const std::string &model) const
{
    for (const auto &size : plan.models()) {
        if (size.name() == model) {
            return &size;
        }
    }
    return nullptr;
}

double AdapterKeeper::Impl::usedMb() const
{
    double sum = 0;
    for (const auto &model : report->models) {
        const auto *size = sizeOf(model);
        sum += size == nullptr ? 0 : size->weights_mb();
    }
    for (const auto *list : {&report->adapters, &report->pending}) {
        for (const auto &adapter : *list) {
            const auto *size = sizeOf(adapter.model);
            sum += size == nullptr ? 0 : size->adapter_mb();
        }
    }
    return sum;
}

std::map<AdapterKeeper::Impl::AdapterKey, bool> AdapterKeeper::Impl::awaitedAdapters() const
{
    std::map<AdapterKey, bool> ahead;
    for (const auto &[peer, ofPeer] : wishes) {
        for (const auto &[key, wish] : ofPeer) {
            if (wish.waiting != 0 && held(key) == nullptr && !isPending(key)) {
                ahead[key] = ahead[key] || wish.inTime != 0;
            }
        }
    }
    return ahead;
}

void AdapterKeeper::Impl::tellLoadsAhead(wire::DirectState &state) const
{
    const auto ahead = awaitedAdapters();
    for (const auto &[key, inTime] : ahead) {
        auto &item = *state.add_awaited();
        item.set_model(key.first);
        item.set_adapter(key.second);
    }
    const auto inTime = std::count_if(ahead.begin(), ahead.end(), [](const auto &item) { return item.second; });
    state.set_loads_ahead(static_cast<std::uint32_t>(ahead.size()));
    state.set_loads_in_time(static_cast<std::uint32_t>(inTime));
}

void AdapterKeeper::Impl::tellLoadTimes(wire::DirectState &state) const
{
    state.set_loads_at_once(static_cast<std::uint32_t>(loadsAtOnce()));
    if (!policy.has(Mechanism::LearnedLoads)) {
        return;
    }
    state.set_load_ms(roundUp(loads.usualMs()));
    state.set_recent_load_ms(roundUp(loads.recentMs()));
    state.set_copy_ms(roundUp(loads.copyMs()));
    state.set_model_ms(roundUp(loads.modelMs()));
    state.set_copies(static_cast<std::uint32_t>(loads.copies()));
}

void AdapterKeeper::Impl::tellAdapters(wire::DirectState &state, TimePoint now) const
{
    const auto add = [&state, now, this](const HeldAdapter &adapter, bool loading) {
        auto &item = *state.add_adapters();
        item.set_model(adapter.model);
        item.set_adapter(adapter.adapter);
        item.set_version(adapter.version);
        item.set_loading(loading);
        const auto wish = wishFor({adapter.model, adapter.adapter});
        item.set_recent_calls(recentCalls({adapter.model, adapter.adapter}, now));
        item.set_in_use(wish.running != 0 && adapter.version < wish.leastVersion);
    };
    std::uint32_t idle = 0;
    for (const auto &adapter : report->adapters) {
        const AdapterKey key{adapter.model, adapter.adapter};
        const auto wish = wishFor(key);
        const bool evicting = underWay && underWay->kind == EngineOrderKind::Unload && underWay->model == key.first
                              && underWay->adapter == key.second;
        idle += wish.running == 0 && wish.waiting == 0 ? 1 : 0;
        if (!evicting) {
            add(adapter, false);
        }
    }
    for (const auto &adapter : report->pending) {
        add(adapter, true);
    }
    const auto taken = report->adapters.size() + report->pending.size();
    const auto free = plan.adapter_slots() > taken ? plan.adapter_slots() - taken : 0;
    state.set_room(static_cast<std::uint32_t>(free) + idle);
}

wire::DirectState AdapterKeeper::Impl::state(TimePoint now) const
{
    wire::DirectState state;
    const auto tokens = promptTokens();
    state.set_endpoint_id(endpointId);
    state.set_entries(static_cast<std::uint32_t>(wishes.size()));
    state.set_reachable(reachable);
    state.set_slots(plan.adapter_slots());
    state.set_unread_tokens(tokens.unread);
    state.set_waiting_tokens(tokens.waiting);
    tellLoadTimes(state);
    if (!report) {
        return state;
    }
    state.set_born(report->born);
    state.set_leaving(report->leaving && leavingId == endpointId);
    for (const auto &model : report->models) {
        state.add_models(model);
    }
    tellAdapters(state, now);
    tellLoadsAhead(state);
    return state;
}

wire::DirectState AdapterKeeper::state(TimePoint now) const
{
    return impl_->state(now);
}

Duration AdapterKeeper::orderTimeout() const
{
    return impl_->orderTimeout();
}

bool AdapterKeeper::waits() const
{
    return impl_->underWay || impl_->awaited;
}

bool AdapterKeeper::waitsFor(PeerHandle peer) const
{
    const auto found = impl_->wishes.find(peer);
    return found != impl_->wishes.end()
           && std::any_of(found->second.begin(), found->second.end(),
                          [](const auto &wish) { return wish.second.waiting != 0; });
}

std::uint64_t AdapterKeeper::pendingWork() const
{
    const auto tokens = impl_->promptTokens();
    return tokens.unread + tokens.waiting + workOfLoad * impl_->awaitedAdapters().size();
}

std::uint64_t AdapterKeeper::revision() const
{
    return impl_->revision;
}

const Counters<EngineOrderResult> &AdapterKeeper::results() const
{
    return impl_->results;
}

} // namespace anvilscale

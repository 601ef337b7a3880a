// Demand and reported state of one engine, and the state sent to entries.
#include "adapter_controller_impl.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

// After this time without an effect in the engine's report an accepted order counts as lost. The effect normally shows
// within some milliseconds.
constexpr Duration maxConfirmationTime = Milliseconds(1000);
// Work of one adapter load into a free slot, as prompt tokens.
constexpr std::uint64_t loadWorkTokens = 3000;

std::uint32_t roundUp(double ms)
{
    return static_cast<std::uint32_t>(std::ceil(ms));
}

} // namespace

AdapterController::AdapterController(DirectPolicy policy)
    : impl_(std::make_unique<Impl>())
{
    impl_->policy = policy;
}

AdapterController::~AdapterController() = default;

void AdapterController::setFencingNumber(std::uint64_t number)
{
    impl_->fencingNumber = number;
    impl_->revision += std::exchange(impl_->isFencingUnavailable, false) ? 1 : 0;
}

bool AdapterController::needsFencingNumber() const
{
    return impl_->fencingNumber == 0;
}

void AdapterController::onFencingNumberFailed()
{
    impl_->revision += std::exchange(impl_->isFencingUnavailable, true) ? 0 : 1;
}

void AdapterController::applyDemand(PeerHandle peer, const wire::DirectDemand &demand, TimePoint now)
{
    impl_->applyDemand(peer, demand, now);
}

void AdapterController::Impl::applyDemand(PeerHandle peer, const wire::DirectDemand &demand, TimePoint now)
{
    if (demand.has_plan() && demand.plan().config_version() >= plan.config_version()) {
        plan = demand.plan();
    }
    reportedId = demand.endpoint_id();
    if (endpointId.empty() || endpointId == rejectedId) {
        applyIncarnation(reportedId);
    }
    promptTokens[peer] = PromptTokens{demand.unread_tokens(), demand.waiting_tokens()};
    if (demand.visits()) {
        visitors.insert(peer);
    } else {
        visitors.erase(peer);
    }
    auto &fromPeer = demands[peer];
    fromPeer.clear();
    for (const auto &item : demand.wishes()) {
        const AdapterKey key{item.model(), item.adapter()};
        fromPeer[key] = AdapterDemand{item.waiting(), item.in_time(), item.running(), item.least_version()};
        recordUse(key, item.started(), now);
    }
}

void AdapterController::Impl::applyIncarnation(const std::string &id)
{
    if (id.empty() || id == rejectedId || id == endpointId) {
        return;
    }
    endpointId = id;
    unconfirmedOrder.reset();
    ++revision;
}

void AdapterController::onPeerLost(PeerHandle peer)
{
    const auto demand = impl_->demands.find(peer);
    const bool isVisitor = impl_->visitors.erase(peer) != 0;
    // An entry that is not counted and waits for nothing changes nothing for the others.
    impl_->revision += isVisitor && (demand == impl_->demands.end() || demand->second.empty()) ? 0 : 1;
    impl_->demands.erase(peer);
    impl_->promptTokens.erase(peer);
}

AdapterController::Impl::AdapterDemand AdapterController::Impl::totalDemand(const AdapterKey &key) const
{
    AdapterDemand sum;
    for (const auto &[peer, fromPeer] : demands) {
        if (const auto found = fromPeer.find(key); found != fromPeer.end()) {
            sum.waiting += found->second.waiting;
            sum.inTime += found->second.inTime;
            sum.running += found->second.running;
            sum.minVersion = std::max(sum.minVersion, found->second.minVersion);
        }
    }
    return sum;
}

AdapterController::Impl::PromptTokens AdapterController::Impl::totalPromptTokens() const
{
    PromptTokens sum;
    for (const auto &[peer, tokens] : promptTokens) {
        sum.unread += tokens.unread;
        sum.waiting += tokens.waiting;
    }
    return sum;
}

void AdapterController::applyReport(const EngineStateReport &report, TimePoint now)
{
    impl_->applyReport(report, now);
}

void AdapterController::Impl::applyReport(const EngineStateReport &newReport, TimePoint now)
{
    const bool hasNewStartTime = report && newReport.startTimeMs != 0 && report->startTimeMs != 0
                                 && newReport.startTimeMs != report->startTimeMs;
    const bool restarted = report && (hasNewStartTime || newReport.sequence < report->sequence);
    const bool changed = !report || !isReachable || report->adapters != newReport.adapters
                         || report->models != newReport.models || report->pending != newReport.pending
                         || report->leaving != newReport.leaving;
    if (restarted) {
        onRestart(now);
    }
    // The report counts the order: its effect is visible.
    if (unconfirmedOrder && newReport.sequence > unconfirmedOrder->expectedSequence) {
        unconfirmedOrder.reset();
    }
    if (unconfirmedOrder && now > nextOrderAt + maxConfirmationTime) {
        unconfirmedOrder.reset();
    }
    recordLoads(newReport, now);
    if (changed) {
        ++revision;
        for (const auto &adapter : newReport.adapters) {
            const AdapterKey key{adapter.model, adapter.adapter};
            if (findHeld(key) == nullptr) {
                recordUse(key, 0, now);
            }
        }
    }
    report = newReport;
    isReachable = true;
    leavingId = newReport.leaving ? endpointId : "";
}

// The engine runs as a new process, perhaps under the same id.
void AdapterController::Impl::onRestart(TimePoint now)
{
    if (pendingOrder) {
        onOrderLost(*pendingOrder, now);
        pendingOrder.reset();
    }
    unconfirmedOrder.reset();
    ++engineRestarts;
    loadTimes.onEngineRestarted();
}

void AdapterController::Impl::recordLoads(const EngineStateReport &newReport, TimePoint now)
{
    if (!newReport.models.empty()) {
        loadTimes.onModelLoaded(now);
    }
    for (const auto &adapter : newReport.adapters) {
        loadTimes.onLoaded({adapter.model, adapter.adapter}, adapter.version, now);
    }
    loadTimes.recordHeld(newReport.adapters);
    loadTimes.checkOverdue(now);
}

void AdapterController::onReportFailed(TimePoint /*now*/)
{
    impl_->revision += impl_->isReachable ? 1 : 0;
    impl_->isReachable = false;
}

void AdapterController::onOrderEnded(OrderHandle id, EngineOrderResult result, const std::string &incarnation,
                                     TimePoint now)
{
    impl_->onOrderEnded(id, result, incarnation, now);
}

std::optional<EngineOrder> AdapterController::nextOrder(TimePoint now)
{
    return impl_->nextOrder(now);
}

const HeldAdapter *AdapterController::Impl::findHeld(const AdapterKey &key) const
{
    if (!report) {
        return nullptr;
    }
    const auto found = std::find_if(report->adapters.begin(), report->adapters.end(), [&](const HeldAdapter &adapter) {
        return adapter.model == key.first && adapter.adapter == key.second;
    });
    return found == report->adapters.end() ? nullptr : &*found;
}

bool AdapterController::Impl::isPending(const AdapterKey &key) const
{
    return std::any_of(report->pending.begin(), report->pending.end(), [&](const HeldAdapter &adapter) {
        return adapter.model == key.first && adapter.adapter == key.second;
    });
}

bool AdapterController::Impl::hasModel(const std::string &model) const
{
    return std::find(report->models.begin(), report->models.end(), model) != report->models.end();
}

const wire::EngineModel *AdapterController::Impl::findModelSize(const std::string &model) const
{
    for (const auto &size : plan.models()) {
        if (size.name() == model) {
            return &size;
        }
    }
    return nullptr;
}

AdapterController::Impl::EngineLoad AdapterController::Impl::heldLoad() const
{
    EngineLoad load{report->adapters.size() + report->pending.size(), 0};
    for (const auto &model : report->models) {
        const auto *size = findModelSize(model);
        load.mb += size == nullptr ? 0 : size->weights_mb();
    }
    for (const auto *list : {&report->adapters, &report->pending}) {
        for (const auto &adapter : *list) {
            const auto *size = findModelSize(adapter.model);
            load.mb += size == nullptr ? 0 : size->adapter_mb();
        }
    }
    return load;
}

std::map<AdapterController::Impl::AdapterKey, bool> AdapterController::Impl::findAwaitedAdapters() const
{
    std::map<AdapterKey, bool> ahead;
    for (const auto &[peer, fromPeer] : demands) {
        for (const auto &[key, demand] : fromPeer) {
            if (demand.waiting != 0 && findHeld(key) == nullptr && !isPending(key)) {
                ahead[key] = ahead[key] || demand.inTime != 0;
            }
        }
    }
    return ahead;
}

void AdapterController::Impl::addLoadsAhead(wire::DirectState &state) const
{
    const auto ahead = findAwaitedAdapters();
    for (const auto &[key, inTime] : ahead) {
        auto &item = *state.add_awaited();
        item.set_model(key.first);
        item.set_adapter(key.second);
    }
    const auto inTime = std::count_if(ahead.begin(), ahead.end(), [](const auto &item) { return item.second; });
    state.set_loads_ahead(static_cast<std::uint32_t>(ahead.size()));
    state.set_loads_in_time(static_cast<std::uint32_t>(inTime));
}

void AdapterController::Impl::addLoadTimes(wire::DirectState &state) const
{
    state.set_loads_at_once(static_cast<std::uint32_t>(maxConcurrentLoads()));
    if (!policy.has(Mechanism::LearnedLoads)) {
        return;
    }
    state.set_load_ms(roundUp(loadTimes.idleStoreMs()));
    state.set_recent_load_ms(roundUp(loadTimes.recentStoreMs()));
    state.set_copy_ms(roundUp(loadTimes.copyMs()));
    state.set_model_ms(roundUp(loadTimes.modelMs()));
    state.set_copies(static_cast<std::uint32_t>(loadTimes.copyCount()));
}

void AdapterController::Impl::addAdapters(wire::DirectState &state, TimePoint now) const
{
    const auto add = [&state, now, this](const HeldAdapter &adapter, bool loading) {
        auto &item = *state.add_adapters();
        item.set_model(adapter.model);
        item.set_adapter(adapter.adapter);
        item.set_version(adapter.version);
        item.set_loading(loading);
        const auto demand = totalDemand({adapter.model, adapter.adapter});
        item.set_recent_calls(recentCalls({adapter.model, adapter.adapter}, now));
        item.set_in_use(demand.running != 0 && adapter.version < demand.minVersion);
    };
    std::uint32_t idle = 0;
    for (const auto &adapter : report->adapters) {
        const AdapterKey key{adapter.model, adapter.adapter};
        const auto demand = totalDemand(key);
        const bool evicting = pendingOrder && pendingOrder->kind == EngineOrderKind::Unload
                              && pendingOrder->model == key.first && pendingOrder->adapter == key.second;
        idle += demand.running == 0 && demand.waiting == 0 ? 1 : 0;
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

wire::DirectState AdapterController::Impl::state(TimePoint now) const
{
    wire::DirectState state;
    const auto tokens = totalPromptTokens();
    state.set_endpoint_id(endpointId);
    state.set_entries(static_cast<std::uint32_t>(demands.size() - visitors.size()));
    state.set_reachable(isReachable);
    state.set_orders_blocked(isFencingUnavailable);
    state.set_slots(plan.adapter_slots());
    state.set_unread_tokens(tokens.unread);
    state.set_waiting_tokens(tokens.waiting);
    addLoadTimes(state);
    if (!report) {
        return state;
    }
    state.set_born(report->startTimeMs);
    state.set_leaving(report->leaving && leavingId == endpointId);
    for (const auto &model : report->models) {
        state.add_models(model);
    }
    addAdapters(state, now);
    addLoadsAhead(state);
    return state;
}

wire::DirectState AdapterController::state(TimePoint now) const
{
    return impl_->state(now);
}

Duration AdapterController::orderTimeout() const
{
    return impl_->orderTimeout();
}

bool AdapterController::isAwaitingEffect() const
{
    return impl_->pendingOrder || impl_->unconfirmedOrder;
}

bool AdapterController::hasWaitingCalls(PeerHandle peer) const
{
    const auto found = impl_->demands.find(peer);
    return found != impl_->demands.end()
           && std::any_of(found->second.begin(), found->second.end(),
                          [](const auto &demand) { return demand.second.waiting != 0; });
}

std::uint64_t AdapterController::pendingWork() const
{
    const auto tokens = impl_->totalPromptTokens();
    return tokens.unread + tokens.waiting + loadWorkTokens * impl_->findAwaitedAdapters().size();
}

std::uint64_t AdapterController::engineRestarts() const
{
    return impl_->engineRestarts;
}

const wire::EnginePlan &AdapterController::plan() const
{
    return impl_->plan;
}

std::uint64_t AdapterController::revision() const
{
    return impl_->revision;
}

const Counters<EngineOrderResult> &AdapterController::results() const
{
    return impl_->results;
}

} // namespace anvilscale

// Baseline sidecar: FIFO queue with LRU eviction.
#include "naive_sidecar.h"

#include "fakes.h"

#include <algorithm>

namespace anvilscale::bench {

NaiveSidecar::NaiveSidecar(SidecarInit init)
    : init_(std::move(init))
{
}

void NaiveSidecar::start(Now now)
{
    armHeartbeat(now);
}

void NaiveSidecar::armHeartbeat(Now now)
{
    init_.timers->subscribe(now.mono + init_.timing.heartbeat, [this](TimePoint at) {
        sendHeartbeat(Now{at, {}});
        armHeartbeat(Now{at, {}});
    });
}

void NaiveSidecar::sendHeartbeat(Now /*now*/)
{
    wire::Envelope message;
    message.set_protocol(wireProtocol);
    auto &out = *message.mutable_heartbeat();
    out.mutable_from()->set_name(init_.name);
    out.mutable_from()->set_incarnation(init_.incarnation);
    out.set_data_centre(init_.dataCentre);
    out.set_base_model(init_.baseModel);
    for (const auto &service : init_.services) {
        out.add_services(service);
    }
    out.set_full(true);
    out.set_sequence(++sequence_);
    out.set_admitting(isEngineUp_);
    out.set_slots(init_.slots);
    out.set_running(static_cast<std::uint32_t>(running_.size()));
    out.set_queued(static_cast<std::uint32_t>(queue_.size()));
    out.set_batch_limit(init_.batchLimit);
    for (const auto &[peer, known] : peers_) {
        actions_.emplace_back(SendMessage{peer, message});
    }
}

void NaiveSidecar::onMessage(PeerHandle from, const wire::Envelope &message, Now now)
{
    if (message.has_hello()) {
        peers_[from] = true;
    }
    if (message.has_call_request()) {
        queue_.push_back(QueuedCall{from, message.call_request()});
        startCalls(now);
    }
    if (!message.has_call_cancel()) {
        return;
    }
    const auto &id = message.call_cancel().id();
    const auto isSame = [&](const wire::AttemptId &other) {
        return other.entry_incarnation() == id.entry_incarnation() && other.call() == id.call()
               && other.attempt() == id.attempt();
    };
    std::erase_if(queue_, [&](const auto &waiting) { return isSame(waiting.request.id()); });
    for (const auto &[execution, running] : running_) {
        if (isSame(running.id)) {
            actions_.emplace_back(CancelExecution{execution});
        }
    }
}

void NaiveSidecar::sendOrder(OrderKind kind, const std::string &adapter)
{
    const OrderHandle handle{++lastOrder_};
    orders_[handle] = {kind, adapter};
    SendOrder out;
    out.order = handle;
    out.kind = kind;
    out.adapterVersion = parseAdapter(adapter);
    actions_.emplace_back(std::move(out));
}

bool NaiveSidecar::freeSlot(TimePoint /*now*/)
{
    std::uint32_t usedSlots = 0;
    std::pair<const std::string, Adapter> *victim = nullptr;
    for (auto &item : adapters_) {
        const auto state = item.second.state;
        usedSlots += state != ResidencyState::Absent ? 1 : 0;
        const bool isIdle = state == ResidencyState::Resident && item.second.pins == 0;
        if (isIdle && (victim == nullptr || item.second.lastUsed < victim->second.lastUsed)) {
            victim = &item;
        }
    }
    if (usedSlots < init_.slots) {
        return true;
    }
    if (victim == nullptr) {
        return false;
    }
    victim->second.state = ResidencyState::Evicting;
    sendOrder(OrderKind::Unload, victim->first);
    return false;
}

void NaiveSidecar::startCalls(Now now)
{
    if (!isEngineUp_) {
        return;
    }
    bool isEvicting = std::any_of(adapters_.begin(), adapters_.end(),
                                  [](const auto &item) { return item.second.state == ResidencyState::Evicting; });
    for (auto position = queue_.begin(); position != queue_.end() && running_.size() < init_.batchLimit;) {
        const bool isService = !position->request.service().empty();
        const auto name = isService ? std::string() : position->request.adapter() + "@" + position->request.version();
        auto &adapter = adapters_[name];
        if (isService) {
            adapter.state = ResidencyState::Resident;
        }
        if (adapter.state == ResidencyState::Absent && !isEvicting) {
            if (freeSlot(now.mono)) {
                adapter.state = ResidencyState::Loading;
                sendOrder(OrderKind::Load, name);
            } else {
                isEvicting = true;
            }
        }
        if (adapter.state != ResidencyState::Resident) {
            ++position;
            continue;
        }
        ++adapter.pins;
        adapter.lastUsed = now.mono;
        const ExecutionHandle handle{++lastExecution_};
        running_[handle] = RunningCall{name, position->request.id()};
        ++stats_.executions;
        actions_.emplace_back(StartExecution{handle, position->from, std::move(position->request), false});
        position = queue_.erase(position);
    }
}

void NaiveSidecar::onExecutionStarted(ExecutionHandle /*execution*/, Now /*now*/)
{
}

void NaiveSidecar::onExecutionEnded(ExecutionHandle execution, const CachedAnswer & /*answer*/,
                                    std::uint32_t /*tokens*/, Now now)
{
    const auto position = running_.find(execution);
    if (position == running_.end()) {
        return;
    }
    const auto adapter = adapters_.find(position->second.adapter);
    if (adapter != adapters_.end() && adapter->second.pins > 0) {
        --adapter->second.pins;
    }
    running_.erase(position);
    startCalls(now);
}

void NaiveSidecar::onOrderDone(OrderHandle handle, OrderOutcome outcome, Now now)
{
    const auto position = orders_.find(handle);
    if (position == orders_.end()) {
        return;
    }
    const auto [kind, name] = position->second;
    orders_.erase(position);
    const bool isResident = kind == OrderKind::Load && outcome == OrderOutcome::Done;
    auto &adapter = adapters_[name];
    adapter.state = isResident ? ResidencyState::Resident : ResidencyState::Absent;
    adapter.lastUsed = now.mono;
    if (!isResident && adapter.pins == 0) {
        adapters_.erase(name);
    }
    startCalls(now);
}

void NaiveSidecar::onEngineList(OrderHandle /*order*/, const EngineList & /*list*/, Now /*now*/)
{
}

void NaiveSidecar::onEngineReport(const EngineReport & /*report*/, Now now)
{
    if (isEngineUp_) {
        return;
    }
    isEngineUp_ = true;
    startCalls(now);
}

void NaiveSidecar::onEngineLost(Now /*now*/)
{
    isEngineUp_ = false;
    adapters_.clear();
    orders_.clear();
}

void NaiveSidecar::onMembers(const std::vector<Member> & /*members*/, Now /*now*/)
{
}

std::vector<SidecarAction> NaiveSidecar::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace anvilscale::bench

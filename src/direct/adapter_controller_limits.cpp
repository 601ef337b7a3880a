// Keeps an engine within its slots and memory, whatever it accepts of the orders that got no answer. Each accepted
// order advances the engine's sequence by one, and a restart under the same id begins it anew. So a lost order can be
// accepted once in each incarnation, when the sequence is the one that it expects.
#include "adapter_controller_impl.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Time for which an unanswered order is treated as possibly still to be applied; the platform gives no bound.
// Longer than any delay that was seen.
constexpr Duration lostOrderLifetime = Seconds(30);

} // namespace

void AdapterController::Impl::onOrderLost(const EngineOrder &order, TimePoint now)
{
    std::erase_if(lostOrders, [&](const LostOrder &lost) {
        const bool isSame = lost.order.endpointId == order.endpointId
                            && lost.order.expectedSequence == order.expectedSequence && lost.order.kind == order.kind
                            && lost.order.model == order.model && lost.order.adapter == order.adapter;
        return isSame || now - lost.sentAt > lostOrderLifetime;
    });
    lostOrders.push_back({order, now});
}

void AdapterController::Impl::EngineLoad::raiseTo(const EngineLoad &other)
{
    slots = std::max(slots, other.slots);
    mb = std::max(mb, other.mb);
}

bool AdapterController::Impl::isWithinLimits(const EngineLoad &load) const
{
    return load.slots <= plan.adapter_slots() && load.mb <= plan.weights_mb();
}

// Returns what the engine holds for the subject of an order.
AdapterController::Impl::EngineLoad AdapterController::Impl::loadOf(const EngineOrder &order) const
{
    const auto *size = findModelSize(order.model);
    if (order.adapter.empty()) {
        return {0, size == nullptr ? 0 : size->weights_mb()};
    }
    return {1, size == nullptr ? 0 : size->adapter_mb()};
}

bool AdapterController::Impl::isHeldOrPending(const EngineOrder &order) const
{
    const AdapterKey key{order.model, order.adapter};
    return order.adapter.empty() ? hasModel(order.model) : findHeld(key) != nullptr || isPending(key);
}

// Returns what the engine holds once it has accepted the order.
AdapterController::Impl::EngineLoad AdapterController::Impl::loadAfter(const EngineOrder &order) const
{
    auto load = heldLoad();
    const auto change = loadOf(order);
    const bool isHeld = isHeldOrPending(order);
    if (order.kind == EngineOrderKind::Load && !isHeld) {
        load.slots += change.slots;
        load.mb += change.mb;
    } else if (order.kind == EngineOrderKind::Unload && isHeld) {
        load.slots -= change.slots;
        load.mb -= change.mb;
    }
    return load;
}

// Returns what lost orders may add once `order` has been accepted, by the sequence at which the engine accepts them.
// One that adds nothing is included: it advances the sequence.
AdapterController::Impl::LoadsBySequence AdapterController::Impl::lostLoadsAfter(const EngineOrder &order,
                                                                                 TimePoint now) const
{
    LoadsBySequence loads;
    for (const auto &[lost, sentAt] : lostOrders) {
        const bool mayApply = lost.endpointId == order.endpointId && lost.expectedSequence > order.expectedSequence
                              && now - sentAt <= lostOrderLifetime;
        if (!mayApply) {
            continue;
        }
        const bool isModelHeld =
            lost.adapter.empty() && (hasModel(lost.model) || (order.adapter.empty() && lost.model == order.model));
        const bool addsLoad = lost.kind == EngineOrderKind::Load && !isModelHeld;
        loads[lost.expectedSequence].raiseTo(addsLoad ? loadOf(lost) : EngineLoad{});
    }
    return loads;
}

// True if the engine stays within its limits after `order`, whatever lost orders it accepts from then on. It may accept
// those that expect consecutive numbers before its next report. Each number in between takes an order of this
// controller, which can free one adapter.
bool AdapterController::Impl::staysWithinLimits(const EngineOrder &order, TimePoint now) const
{
    auto load = loadAfter(order);
    if (order.kind == EngineOrderKind::Load && !isWithinLimits(load)) {
        return false;
    }
    double smallestMb = plan.weights_mb();
    for (const auto &model : plan.models()) {
        smallestMb = std::min(smallestMb, model.adapter_mb());
    }
    auto next = order.expectedSequence + 1;
    for (const auto &[sequence, added] : lostLoadsAfter(order, now)) {
        const auto freed = std::min(load.slots, sequence - next);
        load.slots += added.slots - freed;
        load.mb += added.mb - static_cast<double>(freed) * smallestMb;
        if (added != EngineLoad{} && !isWithinLimits(load)) {
            return false;
        }
        next = sequence + 1;
    }
    return true;
}

// True if the engine could accept `order` and the lost ones before it right after a restart: they expect consecutive
// numbers from the first one on, so that no order of this controller can come between them.
bool AdapterController::Impl::fitsAfterRestart(const EngineOrder &order, TimePoint now) const
{
    LoadsBySequence loads;
    loads[order.expectedSequence] = loadOf(order);
    for (const auto &[lost, sentAt] : lostOrders) {
        if (lost.endpointId == order.endpointId && now - sentAt <= lostOrderLifetime) {
            loads[lost.expectedSequence].raiseTo(lost.kind == EngineOrderKind::Load ? loadOf(lost) : EngineLoad{});
        }
    }
    EngineLoad sum;
    std::uint64_t next = 0;
    for (const auto &[sequence, load] : loads) {
        if (sequence != next) {
            break;
        }
        sum.slots += load.slots;
        sum.mb += load.mb;
        ++next;
    }
    return isWithinLimits(sum);
}

bool AdapterController::Impl::isSafe(const EngineOrder &order, TimePoint now) const
{
    return staysWithinLimits(order, now) && (order.kind != EngineOrderKind::Load || fitsAfterRestart(order, now));
}

} // namespace anvilscale

// State transitions of the adapter table.
#include "adapter_table.h"

#include <algorithm>

namespace anvilscale {

AdapterTable::AdapterTable(Safeguards safeguards)
    : safeguards_(safeguards)
{
}

AdapterRecord &AdapterTable::add(const AdapterVersion &adapterVersion)
{
    auto [it, isNew] = records_.try_emplace(adapterVersion);
    if (isNew) {
        it->second.adapterVersion = adapterVersion;
    }
    return it->second;
}

AdapterRecord *AdapterTable::find(const AdapterVersion &adapterVersion)
{
    const auto it = records_.find(adapterVersion);
    return it == records_.end() ? nullptr : &it->second;
}

const AdapterRecord *AdapterTable::find(const AdapterVersion &adapterVersion) const
{
    const auto it = records_.find(adapterVersion);
    return it == records_.end() ? nullptr : &it->second;
}

std::uint32_t AdapterTable::residentCount() const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        records_, [](const auto &entry) { return entry.second.state == ResidencyState::Resident; }));
}

std::uint32_t AdapterTable::occupiedByNonUrgent() const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        records_, [](const auto &entry) { return entry.second.occupiesSlot() && !entry.second.isUrgent; }));
}

bool AdapterTable::pin(AdapterRecord &record, TimePoint now)
{
    if (record.state != ResidencyState::Resident) {
        return false;
    }
    ++record.pins;
    record.lastUsed = now;
    return true;
}

void AdapterTable::unpin(AdapterRecord &record)
{
    if (record.pins != 0) {
        --record.pins;
    }
}

void AdapterTable::convertPinToOrphan(AdapterRecord &record, std::uint64_t orderNumber, TimePoint now)
{
    unpin(record);
    if (!safeguards_.unknownEndKeepsPin) {
        return;
    }
    ++record.orphanedCalls;
    record.orphanOrderNumber = orderNumber;
    record.orphanedAt = now;
}

void AdapterTable::beginLoad(AdapterRecord &record, OrderHandle order)
{
    changeState(record, ResidencyState::Loading);
    record.order = order;
}

bool AdapterTable::beginEviction(AdapterRecord &record, OrderHandle order)
{
    // Prevents the engine from unloading an adapter under a running call, which would fail or be answered from the base
    // model. No pin is granted in Evicting, so the check holds until the order completes.
    if (record.state != ResidencyState::Resident || (safeguards_.evictOnlyUnpinned && record.mayHaveRunningCalls())) {
        return false;
    }
    changeState(record, ResidencyState::Evicting);
    record.order = order;
    return true;
}

void AdapterTable::setState(AdapterRecord &record, ResidencyState state, std::uint64_t orderNumber, TimePoint now)
{
    if (state == ResidencyState::Resident && record.state != ResidencyState::Resident) {
        record.residentSince = now;
        record.wasResident = true;
        record.lastUsed = now;
    }
    changeState(record, state);
    record.order = {};
    record.changeOrderNumber = orderNumber;
    record.lostOrder = OrderKind::List;
}

void AdapterTable::setUnknown(AdapterRecord &record, OrderKind lostOrder, TimePoint effectDeadline,
                              std::uint64_t orderNumber)
{
    changeState(record, ResidencyState::Unknown);
    record.order = {};
    record.changeOrderNumber = orderNumber;
    record.lostOrder = lostOrder;
    record.effectDeadline = effectDeadline;
    record.isEffectObservable = true;
}

void AdapterTable::removeIdle(TimePoint idleSince)
{
    std::erase_if(records_, [&](const auto &entry) {
        const auto &record = entry.second;
        return !record.occupiesSlot() && !record.mayHaveRunningCalls() && record.waiting == 0
               && record.lastUsed < idleSince && record.earliestLoadAt < idleSince;
    });
}

void AdapterTable::changeState(AdapterRecord &record, ResidencyState state)
{
    const bool wasOccupied = record.occupiesSlot();
    record.state = state;
    occupiedSlots_ += static_cast<std::uint32_t>(record.occupiesSlot());
    occupiedSlots_ -= static_cast<std::uint32_t>(wasOccupied);
}

} // namespace anvilscale

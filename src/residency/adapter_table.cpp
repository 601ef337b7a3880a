// Transitions of the adapter table.
#include "adapter_table.h"

#include <algorithm>

namespace anvilscale {

AdapterTable::AdapterTable(Safeguards safeguards)
    : safeguards_(safeguards)
{
}

AdapterRecord &AdapterTable::add(const AdapterVersion &which)
{
    auto [place, isNew] = records_.try_emplace(which);
    if (isNew) {
        place->second.which = which;
    }
    return place->second;
}

AdapterRecord *AdapterTable::find(const AdapterVersion &which)
{
    const auto place = records_.find(which);
    return place == records_.end() ? nullptr : &place->second;
}

const AdapterRecord *AdapterTable::find(const AdapterVersion &which) const
{
    const auto place = records_.find(which);
    return place == records_.end() ? nullptr : &place->second;
}

std::uint32_t AdapterTable::resident() const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        records_, [](const auto &entry) { return entry.second.state == ResidencyState::Resident; }));
}

std::uint32_t AdapterTable::occupiedByOthers() const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        records_, [](const auto &entry) { return entry.second.occupiesSlot() && !entry.second.urgent; }));
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

void AdapterTable::pinToLingering(AdapterRecord &record, std::uint64_t mark, TimePoint now)
{
    unpin(record);
    if (!safeguards_.unknownEndKeepsPin) {
        return;
    }
    ++record.lingering;
    record.lingeringMark = mark;
    record.lingeringFrom = now;
}

void AdapterTable::beginLoad(AdapterRecord &record, OrderHandle order)
{
    move(record, ResidencyState::Loading);
    record.order = order;
}

bool AdapterTable::beginEvict(AdapterRecord &record, OrderHandle order)
{
    // Without this check the engine drops an adapter under a running call, which then fails or answers from the base
    // model. Evicting takes no pin, so none can come between this check and the order's end.
    if (record.state != ResidencyState::Resident || (safeguards_.evictOnlyUnpinned && record.mayRun())) {
        return false;
    }
    move(record, ResidencyState::Evicting);
    record.order = order;
    return true;
}

void AdapterTable::settle(AdapterRecord &record, ResidencyState state, std::uint64_t mark, TimePoint now)
{
    if (state == ResidencyState::Resident && record.state != ResidencyState::Resident) {
        record.residentSince = now;
        record.wasResident = true;
        record.lastUsed = now;
    }
    move(record, state);
    record.order = {};
    record.changeMark = mark;
    record.lostOrder = OrderKind::List;
}

void AdapterTable::lose(AdapterRecord &record, OrderKind lost, TimePoint effectUntil, std::uint64_t mark)
{
    move(record, ResidencyState::Unknown);
    record.order = {};
    record.changeMark = mark;
    record.lostOrder = lost;
    record.effectUntil = effectUntil;
    record.effectShows = true;
}

void AdapterTable::forget(TimePoint before)
{
    std::erase_if(records_, [&](const auto &entry) {
        const auto &record = entry.second;
        return !record.occupiesSlot() && !record.mayRun() && record.waiting == 0 && record.lastUsed < before
               && record.notBefore < before;
    });
}

void AdapterTable::move(AdapterRecord &record, ResidencyState state)
{
    const bool before = record.occupiesSlot();
    record.state = state;
    occupied_ += static_cast<std::uint32_t>(record.occupiesSlot());
    occupied_ -= static_cast<std::uint32_t>(before);
}

} // namespace anvilscale

// Conversion between slot tables and their compressed form of ranges.
#include "slot_table.h"

#include <algorithm>

namespace anvilscale {
namespace {

SlotState slotStateOf(const config::SlotRange &range)
{
    SlotState state;
    state.owner = {range.owner(), range.owner_incarnation()};
    state.fence = range.fence();
    state.lease = range.lease();
    state.takenOverAt = WallTime{static_cast<std::int64_t>(range.taken_wall_ms())};
    state.acceptedUntil = WallTime{static_cast<std::int64_t>(range.accepted_until_ms())};
    state.wasHandedOver = range.handed_over();
    return state;
}

} // namespace

std::vector<SlotState> expandSlots(const config::SlotTable &table, std::uint32_t slots)
{
    std::vector<SlotState> all(slots);
    for (const auto &range : table.ranges()) {
        const SlotState state = slotStateOf(range);
        for (std::uint64_t i = range.first(); i < std::uint64_t(range.first()) + range.count() && i < slots; ++i) {
            all[i] = state;
        }
    }
    return all;
}

config::SlotTable compressSlots(const std::string &service, std::uint64_t tableRevision,
                                const std::vector<SlotState> &slots)
{
    config::SlotTable table;
    table.set_service(service);
    table.set_table_revision(tableRevision);
    for (std::size_t i = 0; i < slots.size(); ++i) {
        if (i != 0 && slots[i] == slots[i - 1]) {
            auto &last = *table.mutable_ranges(table.ranges_size() - 1);
            last.set_count(last.count() + 1);
            continue;
        }
        auto &range = *table.add_ranges();
        range.set_first(static_cast<std::uint32_t>(i));
        range.set_count(1);
        range.set_owner(slots[i].owner.name);
        range.set_owner_incarnation(slots[i].owner.incarnation);
        range.set_fence(slots[i].fence);
        range.set_lease(slots[i].lease);
        range.set_taken_wall_ms(static_cast<std::uint64_t>(slots[i].takenOverAt.ms));
        range.set_accepted_until_ms(static_cast<std::uint64_t>(slots[i].acceptedUntil.ms));
        range.set_handed_over(slots[i].wasHandedOver);
    }
    return table;
}

const config::SlotRange *findRange(const config::SlotTable &table, std::uint32_t slot)
{
    const auto &ranges = table.ranges();
    const auto after = std::upper_bound(ranges.begin(), ranges.end(), slot,
                                        [](std::uint32_t s, const config::SlotRange &r) { return s < r.first(); });
    if (after == ranges.begin()) {
        return nullptr;
    }
    const auto &range = *(after - 1);
    return slot - range.first() < range.count() ? &range : nullptr;
}

std::uint64_t nextFence(const std::vector<SlotState> &slots)
{
    std::uint64_t maxFence = 0;
    for (const auto &slot : slots) {
        maxFence = std::max(maxFence, slot.fence);
    }
    return maxFence + 1;
}

std::uint32_t fairShare(std::uint32_t slots, std::size_t members)
{
    const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(members, 1));
    return (slots + count - 1) / count;
}

} // namespace anvilscale

// Slot owner lookup.
#include "slot_view.h"

namespace anvilscale {

bool SlotView::applyTable(const config::SlotTable &table)
{
    auto &cached = tables_[table.service()];
    if (cached.revision != 0 && table.table_revision() <= cached.revision) {
        return false;
    }
    cached = Table{};
    cached.revision = table.table_revision();
    for (const auto &range : table.ranges()) {
        cached.ranges[range.first()] =
            Range{range.first() + range.count(), SlotTarget{range.owner(), range.owner_incarnation(), range.fence()}};
    }
    return true;
}

std::optional<SlotTarget> SlotView::owner(std::string_view service, std::uint32_t slot) const
{
    const auto table = tables_.find(service);
    if (table == tables_.end()) {
        return std::nullopt;
    }
    auto range = table->second.ranges.upper_bound(slot);
    if (range == table->second.ranges.begin()) {
        return std::nullopt;
    }
    --range;
    if (slot >= range->second.end || range->second.target.owner.empty()) {
        return std::nullopt;
    }
    const auto refused = table->second.refusedFences.find(slot);
    if (refused != table->second.refusedFences.end() && refused->second >= range->second.target.fence) {
        return std::nullopt;
    }
    return range->second.target;
}

void SlotView::markNotOwner(std::string_view service, std::uint32_t slot, std::uint64_t fence)
{
    const auto table = tables_.find(service);
    if (table != tables_.end()) {
        table->second.refusedFences[slot] = fence;
    }
}

} // namespace anvilscale

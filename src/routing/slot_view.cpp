// Look-up of slot owners.
#include "slot_view.h"

namespace anvilscale {

bool SlotView::update(const config::SlotTable &table)
{
    auto &known = tables_[table.service()];
    if (known.revision != 0 && table.table_revision() <= known.revision) {
        return false;
    }
    known = Table{};
    known.revision = table.table_revision();
    for (const auto &range : table.ranges()) {
        known.ranges[range.first()] =
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
    const auto refused = table->second.disowned.find(slot);
    if (refused != table->second.disowned.end() && refused->second >= range->second.target.fence) {
        return std::nullopt;
    }
    return range->second.target;
}

void SlotView::disown(std::string_view service, std::uint32_t slot, std::uint64_t fence)
{
    const auto table = tables_.find(service);
    if (table != tables_.end()) {
        table->second.disowned[slot] = fence;
    }
}

} // namespace anvilscale

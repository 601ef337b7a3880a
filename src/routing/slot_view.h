// Slot tables of the non-idempotent services, cached by an entry: a hint where to send, never a permission. The sidecar
// that gets the call decides by its own lease and fencing number.
#pragma once

#include "config.pb.h"

#include "anvilscale/state.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace anvilscale {

/// Finds the sidecar to send a call to. Only a hint: the sidecar itself checks its lease and fencing number.
class SlotView
{
public:
    /// Applies a table. Returns false if it is not newer than the cached one.
    bool applyTable(const config::SlotTable &table);
    /// Returns the owner of the slot, or nothing if unknown, unowned or refused at its fencing number.
    std::optional<SlotTarget> owner(std::string_view service, std::uint32_t slot) const;
    /// Marks the slot as not owned at this fencing number, as a sidecar reported. It has no owner until a newer table.
    void markNotOwner(std::string_view service, std::uint32_t slot, std::uint64_t fence);

private:
    struct Range
    {
        std::uint32_t end = 0; // first slot after the range
        SlotTarget target;
    };
    struct Table
    {
        std::uint64_t revision = 0;
        std::map<std::uint32_t, Range> ranges; // by first slot
        std::map<std::uint32_t, std::uint64_t> refusedFences; // refused fencing number by slot
    };
    std::map<std::string, Table, std::less<>> tables_;
};

} // namespace anvilscale

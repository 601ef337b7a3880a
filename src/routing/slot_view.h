// The slot tables of the non-idempotent services as an entry knows them: a hint where to send, never a permission.
// The sidecar that gets the call judges by its own lease and fencing number.
#pragma once

#include "config.pb.h"

#include "anvilscale/state.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace anvilscale {

class SlotView
{
public:
    /// False for a table that is not newer than the one known.
    bool update(const config::SlotTable &table);
    std::optional<SlotTarget> owner(std::string_view service, std::uint32_t slot) const;
    /// A sidecar said that it does not own the slot at this fence: it is not asked again until a newer table comes.
    void disown(std::string_view service, std::uint32_t slot, std::uint64_t fence);

private:
    struct Range
    {
        std::uint32_t end = 0; // first slot behind the range
        SlotTarget target;
    };
    struct Table
    {
        std::uint64_t revision = 0;
        std::map<std::uint32_t, Range> ranges; // by first slot
        std::map<std::uint32_t, std::uint64_t> disowned; // slot -> fence that was refused
    };
    std::map<std::string, Table, std::less<>> tables_;
};

} // namespace anvilscale

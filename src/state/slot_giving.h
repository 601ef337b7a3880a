// One batch of slots on its way from its owner to a receiver: the seen keys first, the table last.
#pragma once

#include "slot_table.h"
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <map>
#include <set>

namespace anvilscale {

/// What the giver remembers of a hand-over under way. Invariant: from construction on the giver refuses the slots, so
/// the parts hold every key that was ever admitted under its ownership.
class SlotGiving
{
public:
    SlotGiving(OwnerId giver, std::string service, std::string receiver);

    /// Exports the seen keys of one slot, in parts of bounded size.
    void add(std::uint32_t slot, std::uint64_t fence, std::uint32_t slotsOfService, const SeenKeys &seen, Now now);
    bool holds(std::uint32_t slot) const;
    const std::set<std::uint32_t> &slots() const;
    const std::string &receiver() const;
    /// Known from the first acknowledgement: the incarnation whose memory holds the keys.
    std::uint64_t receiverIncarnation() const;
    /// `all` off (tests only): one acknowledged part is taken for all.
    bool acknowledged(bool all = true) const;
    void onAck(const wire::SlotHandoverAck &ack);
    /// Sends what is not acknowledged. Returns false when it was sent too often.
    bool sendAll(const std::function<void(const std::string &, wire::Envelope)> &send);

private:
    OwnerId giver_;
    std::string service_;
    std::string receiver_;
    std::uint64_t receiverIncarnation_ = 0;
    std::set<std::uint32_t> slots_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, wire::SlotHandover> unacknowledged_; // by slot and part
    std::uint32_t sends_ = 0;
};

} // namespace anvilscale

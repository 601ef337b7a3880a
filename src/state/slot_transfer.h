// Transfer of a batch of slots from their owner to a receiver: the seen keys first, the table last.
#pragma once

#include "slot_table.h"
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <map>
#include <set>

namespace anvilscale {

/// State of a transfer at its sender. Invariant: the sender refuses the slots from construction on, so the parts
/// contain every key that was admitted under its ownership.
class SlotTransfer
{
public:
    SlotTransfer(OwnerId sender, std::string service, std::string receiver);

    /// Exports the seen keys of one slot, in parts of bounded size.
    void add(std::uint32_t slot, std::uint64_t fence, std::uint32_t slotsOfService, const SeenKeys &seen, Now now);
    bool contains(std::uint32_t slot) const;
    const std::set<std::uint32_t> &slots() const;
    const std::string &receiver() const;
    /// Incarnation of the receiver that holds the keys; 0 before the first acknowledgement.
    std::uint64_t receiverIncarnation() const;
    /// Returns true if all parts are acknowledged. If `requireAll` is false (tests only), one acknowledged part is
    /// enough.
    bool isAcknowledged(bool requireAll = true) const;
    void onAck(const wire::SlotHandoverAck &ack);
    /// Sends all unacknowledged parts. Returns false when the maximum number of sends is reached.
    bool sendUnacknowledged(const std::function<void(const std::string &, wire::Envelope)> &send);

private:
    OwnerId sender_;
    std::string service_;
    std::string receiver_;
    std::uint64_t receiverIncarnation_ = 0;
    std::set<std::uint32_t> slots_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, wire::SlotHandover> unacknowledged_; // by slot and part
    std::uint32_t sendCount_ = 0;
};

} // namespace anvilscale

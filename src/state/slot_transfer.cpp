// Parts and acknowledgements of a slot transfer.
#include "slot_transfer.h"

namespace anvilscale {
namespace {

constexpr std::size_t maxPartBytes = 256U << 10;
constexpr std::uint32_t maxSends = 8;

} // namespace

SlotTransfer::SlotTransfer(OwnerId sender, std::string service, std::string receiver)
    : sender_(std::move(sender))
    , service_(std::move(service))
    , receiver_(std::move(receiver))
{
}

void SlotTransfer::add(std::uint32_t slot, std::uint64_t fence, std::uint32_t slotsOfService, const SeenKeys &seen,
                       Now now)
{
    slots_.insert(slot);
    wire::SlotHandover exported;
    seen.exportSlot(slot, slotsOfService, now, exported);
    int nextKey = 0;
    std::uint32_t partNumber = 0;
    do {
        wire::SlotHandover part;
        part.mutable_from()->set_name(sender_.name);
        part.mutable_from()->set_incarnation(sender_.incarnation);
        part.set_service(service_);
        part.set_slot(slot);
        part.set_fence(fence);
        part.set_part(partNumber);
        part.set_forgotten_before_ms(exported.forgotten_before_ms());
        for (std::size_t bytes = 0; nextKey < exported.keys_size() && bytes < maxPartBytes; ++nextKey) {
            bytes += exported.keys(nextKey).ByteSizeLong();
            part.add_keys()->Swap(exported.mutable_keys(nextKey));
        }
        part.set_final(nextKey == exported.keys_size());
        unacknowledged_[{slot, partNumber}] = std::move(part);
        ++partNumber;
    } while (nextKey < exported.keys_size());
}

bool SlotTransfer::contains(std::uint32_t slot) const
{
    return slots_.contains(slot);
}

const std::set<std::uint32_t> &SlotTransfer::slots() const
{
    return slots_;
}

const std::string &SlotTransfer::receiver() const
{
    return receiver_;
}

std::uint64_t SlotTransfer::receiverIncarnation() const
{
    return receiverIncarnation_;
}

bool SlotTransfer::isAcknowledged(bool requireAll) const
{
    return unacknowledged_.empty() || (!requireAll && receiverIncarnation_ != 0);
}

void SlotTransfer::onAck(const wire::SlotHandoverAck &ack)
{
    if (ack.from().name() != receiver_ || ack.service() != service_) {
        return;
    }
    // Each incarnation of the receiver has only a part of the keys, so neither may become the owner.
    if (receiverIncarnation_ != 0 && ack.from().incarnation() != receiverIncarnation_) {
        sendCount_ = maxSends;
        return;
    }
    const auto found = unacknowledged_.find({ack.slot(), ack.part()});
    if (found != unacknowledged_.end() && found->second.fence() == ack.fence()) {
        receiverIncarnation_ = ack.from().incarnation();
        unacknowledged_.erase(found);
    }
}

bool SlotTransfer::sendUnacknowledged(const std::function<void(const std::string &, wire::Envelope)> &send)
{
    if (sendCount_ >= maxSends) {
        return false;
    }
    ++sendCount_;
    for (const auto &[key, part] : unacknowledged_) {
        wire::Envelope envelope;
        *envelope.mutable_slot_handover() = part;
        send(receiver_, std::move(envelope));
    }
    return true;
}

} // namespace anvilscale

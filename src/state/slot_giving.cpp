// Parts and acknowledgements of a slot transfer.
#include "slot_giving.h"

namespace anvilscale {
namespace {

constexpr std::size_t largestPart = 256U << 10;
constexpr std::uint32_t mostSends = 8;

} // namespace

SlotGiving::SlotGiving(OwnerId giver, std::string service, std::string receiver)
    : giver_(std::move(giver))
    , service_(std::move(service))
    , receiver_(std::move(receiver))
{
}

void SlotGiving::add(std::uint32_t slot, std::uint64_t fence, std::uint32_t slotsOfService, const SeenKeys &seen,
                     Now now)
{
    slots_.insert(slot);
    wire::SlotHandover whole;
    seen.exportSlot(slot, slotsOfService, now, whole);
    int next = 0;
    std::uint32_t number = 0;
    do {
        wire::SlotHandover part;
        part.mutable_from()->set_name(giver_.name);
        part.mutable_from()->set_incarnation(giver_.incarnation);
        part.set_service(service_);
        part.set_slot(slot);
        part.set_fence(fence);
        part.set_part(number);
        part.set_forgotten_before_ms(whole.forgotten_before_ms());
        for (std::size_t bytes = 0; next < whole.keys_size() && bytes < largestPart; ++next) {
            bytes += whole.keys(next).ByteSizeLong();
            part.add_keys()->Swap(whole.mutable_keys(next));
        }
        part.set_final(next == whole.keys_size());
        unacknowledged_[{slot, number}] = std::move(part);
        ++number;
    } while (next < whole.keys_size());
}

bool SlotGiving::holds(std::uint32_t slot) const
{
    return slots_.contains(slot);
}

const std::set<std::uint32_t> &SlotGiving::slots() const
{
    return slots_;
}

const std::string &SlotGiving::receiver() const
{
    return receiver_;
}

std::uint64_t SlotGiving::receiverIncarnation() const
{
    return receiverIncarnation_;
}

bool SlotGiving::acknowledged(bool all) const
{
    return unacknowledged_.empty() || (!all && receiverIncarnation_ != 0);
}

void SlotGiving::onAck(const wire::SlotHandoverAck &ack)
{
    if (ack.from().name() != receiver_ || ack.service() != service_) {
        return;
    }
    // Each incarnation of the receiver has only a part of the keys, so neither may become the owner.
    if (receiverIncarnation_ != 0 && ack.from().incarnation() != receiverIncarnation_) {
        sends_ = mostSends;
        return;
    }
    const auto found = unacknowledged_.find({ack.slot(), ack.part()});
    if (found != unacknowledged_.end() && found->second.fence() == ack.fence()) {
        receiverIncarnation_ = ack.from().incarnation();
        unacknowledged_.erase(found);
    }
}

bool SlotGiving::sendAll(const std::function<void(const std::string &, wire::Envelope)> &send)
{
    if (sends_ >= mostSends) {
        return false;
    }
    ++sends_;
    for (const auto &[key, part] : unacknowledged_) {
        wire::Envelope envelope;
        *envelope.mutable_slot_handover() = part;
        send(receiver_, std::move(envelope));
    }
    return true;
}

} // namespace anvilscale

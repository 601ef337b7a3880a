// Planning of a slot owner on a fresh read of leases and table: completes transfers, claims, releases and starts
// transfers.
#include "slot_owner_impl.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr std::size_t batchSlots = 64; // slots per transfer
constexpr Duration resendAfter = Milliseconds(300);
// Slots are moved between live owners only if one exceeds its share by this fraction: calls are refused during a move.
constexpr std::uint32_t toleratedExcess = 32; // divisor: 1/32 of all slots

} // namespace

/// Names the receiver in the table after it has acknowledged all keys, if its lease still exists.
bool SlotOwner::Impl::moveGiven(std::vector<SlotState> &slots, std::vector<KvCompare> &compares)
{
    if (!giving || resuming || !giving->acknowledged(init.safeguards.keysBeforeTable)) {
        return false;
    }
    const OwnerId receiver{giving->receiver(), giving->receiverIncarnation()};
    const auto holder = holders.find(receiver);
    if (holder == holders.end()) {
        return false;
    }
    const std::uint64_t fence = nextFence(slots);
    for (const auto slot : giving->slots()) {
        if (mine(slots[slot])) {
            // `taken` is unchanged: the receiver has exactly the keys of the sender.
            slots[slot].owner = receiver;
            slots[slot].fence = fence;
            slots[slot].lease = static_cast<std::uint64_t>(holder->second);
            slots[slot].handedOver = true;
        }
    }
    compares.push_back({leasePrefix + receiver.name + "/" + incarnationText(receiver.incarnation), holder->second});
    return true;
}

/// Reclaims slots that the table lists under a lapsed lease of ours, or whose transfer was aborted. Their keys are
/// still in memory. The new fencing number invalidates late acknowledgements.
bool SlotOwner::Impl::reclaim(std::vector<SlotState> &slots)
{
    const std::uint64_t fence = nextFence(slots);
    bool changed = false;
    for (std::uint32_t i = 0; i < slots.size(); ++i) {
        const bool lapsed = mine(slots[i]) && slots[i].lease != lease.fence();
        const bool resumed = resuming && giving && giving->holds(i) && mine(slots[i]);
        if (lapsed || resumed) {
            slots[i].lease = lease.fence();
            slots[i].fence = fence;
            changed = true;
        }
    }
    return changed;
}

bool SlotOwner::Impl::claim(std::vector<SlotState> &slots, std::vector<KvCompare> &compares, Now now)
{
    const auto self = std::lower_bound(members.begin(), members.end(), init.self);
    if (draining || self == members.end() || *self != init.self) {
        return false;
    }
    const auto isFree = [this](const SlotState &slot) {
        const bool member = std::binary_search(members.begin(), members.end(), slot.owner.name);
        const bool gone = init.safeguards.takeOverAfterLease ? !holders.contains(slot.owner) : !member;
        return slot.owner.name.empty() || gone;
    };
    const auto free = static_cast<std::uint32_t>(std::count_if(slots.begin(), slots.end(), isFree));
    if (free == 0) {
        orphansSince.reset();
        return false;
    }
    orphansSince = orphansSince.value_or(now.mono);
    const auto owned = static_cast<std::uint32_t>(
        std::count_if(slots.begin(), slots.end(), [this](const SlotState &slot) { return mine(slot); }));
    const std::uint32_t share = fairShare(slotCount(), members.size());
    // The other members had the duration of a lease to claim their shares; what is left belongs to members that do not
    // exist.
    const bool orphaned = now.mono - *orphansSince >= init.timing.lease;
    std::uint32_t wanted = orphaned ? free : share - std::min(share, owned);
    const std::uint64_t fence = nextFence(slots);
    const auto rank = static_cast<std::size_t>(self - members.begin());
    std::set<OwnerId> gone;
    for (std::size_t n = 0; n < slots.size() && wanted > 0; ++n) {
        auto &slot = slots[(n + rank * share) % slots.size()];
        if (!isFree(slot)) {
            continue;
        }
        if (!slot.owner.name.empty()) {
            gone.insert(slot.owner);
        }
        slot = SlotState{{init.self, init.incarnation}, fence, lease.fence(), now.wall, false};
        --wanted;
    }
    for (const auto &owner : gone) {
        if (!init.safeguards.takeOverAfterLease) {
            break;
        }
        compares.push_back({leasePrefix + owner.name + "/" + incarnationText(owner.incarnation), 0});
    }
    return std::any_of(slots.begin(), slots.end(), [&](const SlotState &slot) { return slot.fence == fence; });
}

/// Leaves the slots unowned if a drain finds no receiver, so that others need not wait until the lease expires.
bool SlotOwner::Impl::release(std::vector<SlotState> &slots, Now now)
{
    const std::uint64_t fence = nextFence(slots);
    bool changed = false;
    for (auto &slot : slots) {
        if (mine(slot)) {
            slot = SlotState{{}, fence, 0, now.wall, false};
            changed = true;
        }
    }
    return changed;
}

std::size_t SlotOwner::Impl::excess(const std::vector<SlotState> &slots) const
{
    const auto owned = static_cast<std::size_t>(
        std::count_if(slots.begin(), slots.end(), [this](const SlotState &slot) { return mine(slot); }));
    if (draining) {
        return owned;
    }
    const std::size_t share = fairShare(slotCount(), members.size());
    const std::size_t tolerated = share + slots.size() / toleratedExcess;
    return owned > tolerated ? owned - share : 0;
}

/// Returns the live member with the fewest slots if it is below its share, or any if we are draining.
std::string SlotOwner::Impl::chooseReceiver(const std::vector<SlotState> &slots) const
{
    std::string best;
    std::size_t fewest = draining ? slots.size() + 1 : fairShare(slotCount(), members.size());
    for (const auto &entry : holders) {
        const OwnerId &holder = entry.first;
        const bool member = std::binary_search(members.begin(), members.end(), holder.name);
        if (!member || holder.name == init.self || deafReceivers.contains(holder.name)) {
            continue;
        }
        const auto owned = static_cast<std::size_t>(
            std::count_if(slots.begin(), slots.end(), [&](const SlotState &slot) { return slot.owner == holder; }));
        if (owned < fewest) {
            fewest = owned;
            best = holder.name;
        }
    }
    return best;
}

void SlotOwner::Impl::beginGiving(const std::vector<SlotState> &slots, Now now)
{
    const std::size_t count = std::min(excess(slots), batchSlots);
    const std::string receiver = count == 0 || init.seen == nullptr || !init.send ? "" : chooseReceiver(slots);
    if (receiver.empty()) {
        return;
    }
    giving.emplace(OwnerId{init.self, init.incarnation}, init.service, receiver);
    std::vector<std::uint32_t> given;
    for (std::size_t i = slots.size(); i-- > 0 && given.size() < count;) {
        if (mine(slots[i])) {
            given.push_back(static_cast<std::uint32_t>(i));
        }
    }
    for (const auto slot : given) {
        if (init.beforeGiving) {
            init.beforeGiving(slot);
        }
        giving->add(slot, slots[slot].fence, slotCount(), *init.seen, now);
    }
    resend(now);
}

void SlotOwner::Impl::resend(Now now)
{
    if (!giving || giving->acknowledged()) {
        return;
    }
    if (!giving->sendAll(init.send)) {
        giveUpReceiver(now);
        return;
    }
    init.timers->cancel(resendTimer);
    resendTimer = init.timers->subscribe(now.mono + resendAfter, [this, now](TimePoint at) {
        resendTimer = {};
        resend(laterNow(now, at));
    });
}

/// Aborts the transfer. The slots stay refused until a write has renewed our ownership with a new fencing number.
void SlotOwner::Impl::giveUpReceiver(Now now)
{
    deafReceivers.insert(giving->receiver());
    resuming = true;
    planIn(soon, now);
}

void SlotOwner::Impl::plan(Now now)
{
    if (!lease.mayAct(now.mono)) {
        planIn(random.jitter(init.timing.heartbeat), now);
        return;
    }
    std::vector<SlotState> slots = expand(table, slotCount());
    std::vector<KvCompare> compares;
    if (giving && !resuming && giving->acknowledged(init.safeguards.keysBeforeTable)) {
        if (moveGiven(slots, compares)) {
            write(slots, std::move(compares));
            return;
        }
        giveUpReceiver(now); // the receiver failed after it had acknowledged the keys
    }
    if (reclaim(slots) || (!giving && claim(slots, compares, now))) {
        write(slots, std::move(compares));
        return;
    }
    if (!giving) {
        beginGiving(slots, now);
        if (!giving && draining && release(slots, now)) {
            write(slots, {});
            return;
        }
    }
    if (!planTimer) {
        planIn(random.jitter(draining || orphansSince ? init.timing.lease / 4 : init.timing.lease), now);
    }
}

void SlotOwner::Impl::write(const std::vector<SlotState> &slots, std::vector<KvCompare> compares)
{
    written = compress(init.service, table.table_revision() + 1, slots);
    step = Step::Writing;
    KvRequest request;
    request.id = ids.next();
    request.op = KvOp::Txn;
    request.compares = std::move(compares);
    request.compares.push_back({tableKey, tableMod});
    request.puts.push_back({tableKey, written.SerializeAsString()});
    pending = request.id;
    submit(std::move(request));
}

} // namespace anvilscale

// Planning of a slot owner on a fresh read of leases and table: completes transfers, claims, releases and starts
// transfers.
#include "slot_owner_impl.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr std::size_t maxSlotsPerTransfer = 64;
// Former owners whose slots one write claims: the service bounds the compares of a transaction.
constexpr std::size_t maxGoneOwnersPerClaim = 30;
constexpr Duration resendInterval = Milliseconds(300);
// Slots are moved between live owners only if one exceeds its share by this fraction: calls are refused during a move.
constexpr std::uint32_t toleratedExcessDivisor = 32; // 1/32 of all slots

} // namespace

/// Names the receiver in the table after it has acknowledged all keys, if its lease still exists.
bool SlotOwner::Impl::completeTransfer(std::vector<SlotState> &slots, std::vector<KvCompare> &compares)
{
    if (!transfer || isReclaiming || !transfer->isAcknowledged(init.safeguards.keysBeforeTable)) {
        return false;
    }
    const OwnerId receiver{transfer->receiver(), transfer->receiverIncarnation()};
    const auto holder = holders.find(receiver);
    if (holder == holders.end()) {
        return false;
    }
    const std::uint64_t fence = nextFence(slots);
    for (const auto slot : transfer->slots()) {
        if (isOwnedBySelf(slots[slot])) {
            // `takenOverAt` is unchanged: the receiver has exactly the keys of the sender.
            slots[slot].owner = receiver;
            slots[slot].acceptedUntil = std::max(slots[slot].acceptedUntil, largestAdmitted());
            slots[slot].fence = fence;
            slots[slot].lease = static_cast<std::uint64_t>(holder->second);
            slots[slot].wasHandedOver = true;
        }
    }
    compares.push_back({leaseKeyOf(receiver), holder->second});
    return true;
}

/// Reclaims slots that the table lists under a lapsed lease of ours, or whose transfer was aborted. Their keys are
/// still in memory. The new fencing number invalidates late acknowledgements.
bool SlotOwner::Impl::reclaim(std::vector<SlotState> &slots)
{
    const std::uint64_t fence = nextFence(slots);
    bool hasChanged = false;
    for (std::uint32_t i = 0; i < slots.size(); ++i) {
        const bool hasLapsed = isOwnedBySelf(slots[i]) && slots[i].lease != lease.fence();
        const bool isReclaimed = isReclaiming && transfer && transfer->contains(i) && isOwnedBySelf(slots[i]);
        if (hasLapsed || isReclaimed) {
            slots[i].lease = lease.fence();
            slots[i].fence = fence;
            hasChanged = true;
        }
    }
    return hasChanged;
}

/// Slots of an owner whose limit cannot be read stay refused: nothing tells which keys it admitted.
bool SlotOwner::Impl::isFree(const SlotState &slot) const
{
    const bool isMember = std::binary_search(members.begin(), members.end(), slot.owner.name);
    const bool isOwnerGone = init.safeguards.takeOverAfterLease ? !holders.contains(slot.owner) : !isMember;
    const auto stored = limits.find(slot.owner);
    const bool isLimitReadable = stored == limits.end() || stored->second.limit;
    return slot.owner.name.empty() || (isOwnerGone && isLimitReadable);
}

/// The take-over time is later than all stamps that owners before may have admitted, by this clock and by theirs.
SlotState SlotOwner::Impl::claimedFrom(const SlotState &slot, std::uint64_t fence, Now now) const
{
    SlotState claimed{{init.self, init.incarnation}, fence, lease.fence(), now.wall, slot.acceptedUntil, false};
    if (!init.safeguards.keyTimeLimit) {
        return claimed;
    }
    const auto stored = limits.find(slot.owner);
    if (stored != limits.end()) {
        claimed.acceptedUntil = std::max(claimed.acceptedUntil, stored->second.limit.value_or(WallTime{}));
    }
    claimed.takenOverAt = std::max(claimed.takenOverAt, WallTime{claimed.acceptedUntil.ms + 1});
    return claimed;
}

bool SlotOwner::Impl::claim(std::vector<SlotState> &slots, std::vector<KvCompare> &compares, Now now)
{
    const auto self = std::lower_bound(members.begin(), members.end(), init.self);
    if (isDraining || self == members.end() || *self != init.self) {
        return false;
    }
    const auto freeSlots = static_cast<std::uint32_t>(
        std::count_if(slots.begin(), slots.end(), [this](const SlotState &slot) { return isFree(slot); }));
    if (freeSlots == 0) {
        unclaimedSince.reset();
        return false;
    }
    unclaimedSince = unclaimedSince.value_or(now.mono);
    const auto owned = static_cast<std::uint32_t>(
        std::count_if(slots.begin(), slots.end(), [this](const SlotState &slot) { return isOwnedBySelf(slot); }));
    const std::uint32_t share = fairShare(slotCount(), members.size());
    // The other members had the duration of a lease to claim their shares; those that did not are treated as absent.
    const bool isOrphaned = now.mono - *unclaimedSince >= init.timing.lease;
    std::uint32_t remaining = isOrphaned ? freeSlots : share - std::min(share, owned);
    const std::uint64_t fence = nextFence(slots);
    const auto rank = static_cast<std::size_t>(self - members.begin());
    std::set<OwnerId> goneOwners;
    for (std::size_t offset = 0; offset < slots.size() && remaining > 0; ++offset) {
        auto &slot = slots[(offset + rank * share) % slots.size()];
        const bool isOverLimit = goneOwners.size() >= maxGoneOwnersPerClaim && !goneOwners.contains(slot.owner);
        if (!isFree(slot) || (isOverLimit && !slot.owner.name.empty())) {
            continue;
        }
        if (!slot.owner.name.empty()) {
            goneOwners.insert(slot.owner);
        }
        slot = claimedFrom(slot, fence, now);
        --remaining;
    }
    for (const auto &owner : goneOwners) {
        if (!init.safeguards.takeOverAfterLease) {
            break;
        }
        const auto stored = limits.find(owner);
        compares.push_back({leaseKeyOf(owner), 0});
        compares.push_back({limitKeyOf(owner), stored == limits.end() ? 0 : stored->second.modRevision});
    }
    return std::any_of(slots.begin(), slots.end(), [&](const SlotState &slot) { return slot.fence == fence; });
}

/// Returns the limits to delete with a claim, and adds what the deletion relies on: their owners are gone and own no
/// slot any more. Without it each restart would leave a key.
std::vector<std::string> SlotOwner::Impl::takeUnusedLimits(const std::vector<SlotState> &slots,
                                                           std::vector<KvCompare> &compares) const
{
    std::set<OwnerId> owners;
    for (const auto &slot : slots) {
        owners.insert(slot.owner);
    }
    std::vector<std::string> unused;
    for (const auto &[owner, stored] : limits) {
        if (holders.contains(owner) || owners.contains(owner) || unused.size() >= maxGoneOwnersPerClaim) {
            continue;
        }
        unused.push_back(limitKeyOf(owner));
        const auto isCompared = [&](const KvCompare &compare) { return compare.key == unused.back(); };
        if (std::none_of(compares.begin(), compares.end(), isCompared)) {
            compares.push_back({leaseKeyOf(owner), 0});
            compares.push_back({unused.back(), stored.modRevision});
        }
    }
    return unused;
}

/// Leaves the slots unowned if a drain finds no receiver, so that others need not wait until the lease expires.
bool SlotOwner::Impl::release(std::vector<SlotState> &slots, Now now)
{
    const std::uint64_t fence = nextFence(slots);
    bool hasChanged = false;
    for (auto &slot : slots) {
        if (isOwnedBySelf(slot)) {
            const WallTime acceptedUntil = std::max(slot.acceptedUntil, largestAdmitted());
            slot = SlotState{{}, fence, 0, now.wall, acceptedUntil, false};
            hasChanged = true;
        }
    }
    return hasChanged;
}

std::size_t SlotOwner::Impl::excessSlots(const std::vector<SlotState> &slots) const
{
    const auto owned = static_cast<std::size_t>(
        std::count_if(slots.begin(), slots.end(), [this](const SlotState &slot) { return isOwnedBySelf(slot); }));
    if (isDraining) {
        return owned;
    }
    const std::size_t share = fairShare(slotCount(), members.size());
    const std::size_t tolerated = share + slots.size() / toleratedExcessDivisor;
    return owned > tolerated ? owned - share : 0;
}

/// Returns the live member with the fewest slots if it is below its share or this sidecar is draining; "" if none.
std::string SlotOwner::Impl::chooseReceiver(const std::vector<SlotState> &slots) const
{
    std::string bestReceiver;
    std::size_t minOwned = isDraining ? slots.size() + 1 : fairShare(slotCount(), members.size());
    for (const auto &entry : holders) {
        const OwnerId &holder = entry.first;
        const bool isMember = std::binary_search(members.begin(), members.end(), holder.name);
        if (!isMember || holder.name == init.self || excludedReceivers.contains(holder.name)) {
            continue;
        }
        const auto owned = static_cast<std::size_t>(
            std::count_if(slots.begin(), slots.end(), [&](const SlotState &slot) { return slot.owner == holder; }));
        if (owned < minOwned) {
            minOwned = owned;
            bestReceiver = holder.name;
        }
    }
    return bestReceiver;
}

void SlotOwner::Impl::beginTransfer(const std::vector<SlotState> &slots, Now now)
{
    const std::size_t count = std::min(excessSlots(slots), maxSlotsPerTransfer);
    const std::string receiver = count == 0 || init.seen == nullptr || !init.send ? "" : chooseReceiver(slots);
    if (receiver.empty()) {
        return;
    }
    transfer.emplace(OwnerId{init.self, init.incarnation}, init.service, receiver);
    std::vector<std::uint32_t> selected;
    for (std::size_t i = slots.size(); i-- > 0 && selected.size() < count;) {
        if (isOwnedBySelf(slots[i])) {
            selected.push_back(static_cast<std::uint32_t>(i));
        }
    }
    for (const auto slot : selected) {
        if (init.beforeTransfer) {
            init.beforeTransfer(slot);
        }
        transfer->add(slot, slots[slot].fence, slotCount(), *init.seen, now);
    }
    resend(now);
}

void SlotOwner::Impl::resend(Now now)
{
    if (!transfer || transfer->isAcknowledged()) {
        return;
    }
    if (!transfer->sendUnacknowledged(init.send)) {
        abortTransfer(now);
        return;
    }
    init.timers->cancel(resendTimer);
    resendTimer = init.timers->subscribe(now.mono + resendInterval, [this, now](TimePoint at) {
        resendTimer = {};
        resend(advanceNow(now, at));
    });
}

/// Aborts the transfer. The slots stay refused until a write has renewed our ownership with a new fencing number.
void SlotOwner::Impl::abortTransfer(Now now)
{
    excludedReceivers.insert(transfer->receiver());
    isReclaiming = true;
    schedulePlan(replanDelay, now);
}

void SlotOwner::Impl::plan(Now now)
{
    if (!lease.mayAct(now.mono)) {
        schedulePlan(random.jitter(init.timing.heartbeat), now);
        return;
    }
    std::vector<SlotState> slots = expandSlots(table, slotCount());
    std::vector<KvCompare> compares;
    if (transfer && !isReclaiming && transfer->isAcknowledged(init.safeguards.keysBeforeTable)) {
        if (completeTransfer(slots, compares)) {
            write(slots, std::move(compares));
            return;
        }
        abortTransfer(now); // the receiver failed after it had acknowledged the keys
    }
    if (reclaim(slots)) {
        write(slots, {});
        return;
    }
    if (!transfer && claim(slots, compares, now)) {
        auto unusedLimits = takeUnusedLimits(slots, compares);
        write(slots, std::move(compares), std::move(unusedLimits));
        return;
    }
    if (!transfer) {
        beginTransfer(slots, now);
        if (!transfer && isDraining && release(slots, now)) {
            write(slots, {});
            return;
        }
    }
    if (!planTimer) {
        schedulePlan(random.jitter(isDraining || unclaimedSince ? init.timing.lease / 4 : init.timing.lease), now);
    }
}

void SlotOwner::Impl::write(const std::vector<SlotState> &slots, std::vector<KvCompare> compares,
                            std::vector<std::string> deletes)
{
    pendingTable = compressSlots(init.service, table.table_revision() + 1, slots);
    step = Step::Writing;
    KvRequest request;
    request.id = ids.next();
    request.op = KvOp::Txn;
    request.compares = std::move(compares);
    request.compares.push_back({tableKey, tableModRevision});
    request.puts.push_back({tableKey, pendingTable.SerializeAsString()});
    request.deletes = std::move(deletes);
    pending = request.id;
    submit(std::move(request));
}

} // namespace anvilscale

// Ownership of a service's slots: one table, changed only by compare-and-swap, and one lease per sidecar.
// Changes are planned on a fresh read of leases and table, in the reply to that read, so that the wall time written as
// the takeover time is later than the time at which the previous owner's lease was seen to be deleted.
#include "slot_owner_impl.h"

#include <algorithm>

namespace anvilscale {
namespace {

constexpr Duration initialBackoff = Milliseconds(100);
constexpr std::string_view limitSuffix = "/key-limit";

std::uint64_t parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    for (const char c : text) {
        value = value << 4 | static_cast<std::uint64_t>(c <= '9' ? c - '0' : c - 'a' + 10);
    }
    return value;
}

} // namespace

std::string formatIncarnation(std::uint64_t value)
{
    constexpr unsigned digits = 16;
    std::string text;
    for (unsigned i = digits; i-- > 0;) {
        text += "0123456789abcdef"[value >> (4 * i) & 0xf];
    }
    return text;
}

SlotOwner::Impl::Impl(Init initValue, std::function<void(KvRequest)> submitRequest)
    : init(std::move(initValue))
    , submit(std::move(submitRequest))
    , tableKey(init.keyPrefix + "slots/" + init.service)
    , leasePrefix(init.keyPrefix + "slot-owners/" + init.service + "/")
    , ids("slot-owner/" + init.service + "/" + init.self)
    , random(init.seed)
    , backoff(initialBackoff, init.timing.lease)
    , lease(leaseInit(), submit)
    , keyTimeLimit(keyTimeLimitInit(), submit)
    , tableWatch(KeyWatcher::Init{tableKey, {}, init.timers, init.timing.lease, init.seed + 1}, submit,
                 [this](const std::vector<KvEntry> &entries, bool, Now now) {
                     updateTable(entries);
                     schedulePlan(replanDelay, now);
                 })
{
}

SlotOwner::Impl::~Impl()
{
    init.timers->cancel(planTimer);
    init.timers->cancel(resendTimer);
}

LeaseHolder::Init SlotOwner::Impl::leaseInit() const
{
    LeaseHolder::Init result;
    result.key = leaseKeyOf({init.self, init.incarnation});
    result.holder = init.self;
    result.incarnation = init.incarnation;
    result.timing = init.timing;
    result.timers = init.timers;
    result.seed = init.seed + 2;
    result.safeguards = init.safeguards;
    return result;
}

KeyTimeLimit::Init SlotOwner::Impl::keyTimeLimitInit() const
{
    KeyTimeLimit::Init result;
    result.key = limitKeyOf({init.self, init.incarnation});
    result.timers = init.timers;
    result.maxBackoff = init.timing.lease / 4;
    result.seed = init.seed + 3;
    return result;
}

std::string SlotOwner::Impl::leaseKeyOf(const OwnerId &owner) const
{
    return leasePrefix + owner.name + "/" + formatIncarnation(owner.incarnation);
}

std::string SlotOwner::Impl::limitKeyOf(const OwnerId &owner) const
{
    return leaseKeyOf(owner) + std::string(limitSuffix);
}

/// The limit reaches to the end of the lease and not further: after a take-over, keys up to it are refused.
void SlotOwner::Impl::renewKeyTimeLimit(Now now)
{
    const auto view = init.config->service(init.service);
    if (!view || !lease.mayAct(now.mono)) {
        return;
    }
    const Duration ahead = init.timing.lease - init.timing.leaseMargin + view->skew;
    const WallTime atLeaseEnd{now.wall.ms + std::chrono::duration_cast<Milliseconds>(ahead).count()};
    keyTimeLimit.renew(lease.fence(), std::max(atLeaseEnd, largestAdmitted()));
}

/// No key with a later stamp has been admitted, whatever the wall clock was set to meanwhile.
WallTime SlotOwner::Impl::largestAdmitted() const
{
    return init.seen != nullptr ? init.seen->latestStamp() : keyTimeLimit.largestWritten();
}

std::uint32_t SlotOwner::Impl::slotCount() const
{
    const auto view = init.config->service(init.service);
    return view ? view->slots : 0;
}

bool SlotOwner::Impl::isOwnedBySelf(const SlotState &slot) const
{
    return slot.owner.name == init.self && slot.owner.incarnation == init.incarnation;
}

/// A reacquired lease does not restore the ownership: another sidecar may have claimed the slots meanwhile, and this
/// copy of the table may be older.
bool SlotOwner::Impl::isOwnedUnderLease(const config::SlotRange &range) const
{
    return range.owner() == init.self && range.owner_incarnation() == init.incarnation
           && range.lease() == lease.fence();
}

void SlotOwner::Impl::schedulePlan(Duration wait, Now now)
{
    init.timers->cancel(planTimer);
    planTimer = init.timers->subscribe(now.mono + wait, [this, now](TimePoint at) {
        planTimer = {};
        beginPlan(advanceNow(now, at));
    });
}

void SlotOwner::Impl::read(Step next, std::string key, std::string rangeEnd)
{
    step = next;
    KvRequest request;
    request.id = ids.next();
    request.key = std::move(key);
    request.rangeEnd = std::move(rangeEnd);
    pending = request.id;
    submit(std::move(request));
}

void SlotOwner::Impl::beginPlan(Now now)
{
    if (step != Step::Idle) {
        needsReplan = true;
        return;
    }
    if (!lease.mayAct(now.mono) || slotCount() == 0) {
        schedulePlan(random.jitter(init.timing.heartbeat), now);
        return;
    }
    if (keyTimeLimit.value(lease.fence()) == WallTime{}) {
        renewKeyTimeLimit(now);
    }
    std::string end = leasePrefix;
    ++end.back();
    read(Step::ReadingLeases, leasePrefix, std::move(end));
}

void SlotOwner::Impl::updateTable(const std::vector<KvEntry> &entries)
{
    for (const auto &entry : entries) {
        config::SlotTable newTable;
        if (entry.key != tableKey || entry.modRevision <= tableModRevision) {
            continue;
        }
        if (!entry.isDeleted && !newTable.ParseFromString(entry.value)) {
            continue;
        }
        table = std::move(newTable);
        tableModRevision = entry.modRevision;
    }
    if (!transfer) {
        return;
    }
    const auto &transferred = transfer->slots();
    const bool ownsAny = std::any_of(transferred.begin(), transferred.end(), [this](std::uint32_t slot) {
        const auto *range = findRange(table, slot);
        return range != nullptr && range->owner() == init.self && range->owner_incarnation() == init.incarnation;
    });
    if (!ownsAny) { // the transfer took effect, even if its reply was lost
        transfer.reset();
        isReclaiming = false;
    }
}

void SlotOwner::Impl::onLeasesReply(const KvReply &reply, Now now)
{
    if (reply.status != KvStatus::Ok) {
        step = Step::Idle;
        schedulePlan(backoff.next(random), now);
        return;
    }
    holders.clear();
    limits.clear();
    holdersRevision = reply.storeRevision;
    for (const auto &entry : reply.entries) {
        applyOwnerEntry(entry);
    }
    read(Step::ReadingTable, tableKey, {});
}

void SlotOwner::Impl::applyOwnerEntry(const KvEntry &entry)
{
    std::string_view id = std::string_view(entry.key).substr(leasePrefix.size());
    const bool isLimit = id.ends_with(limitSuffix);
    id.remove_suffix(isLimit ? limitSuffix.size() : 0);
    const auto slash = id.rfind('/');
    if (slash == std::string_view::npos) {
        return;
    }
    const OwnerId owner{std::string(id.substr(0, slash)), parseHex(id.substr(slash + 1))};
    if (isLimit) {
        limits[owner] = {entry.modRevision, KeyTimeLimit::parse(entry.value)};
    } else {
        holders[owner] = entry.modRevision;
    }
}

void SlotOwner::Impl::onTableReply(const KvReply &reply, Now now)
{
    step = Step::Idle;
    if (reply.status != KvStatus::Ok) {
        schedulePlan(backoff.next(random), now);
        return;
    }
    updateTable(reply.entries);
    // A read older than the cached table comes from a stale replica and is not used. Neither is a list of leases older
    // than the table: an owner that appeared between the two would seem absent, and the takeover time would be read
    // while it still accepts keys.
    const std::int64_t readRevision = reply.entries.empty() ? 0 : reply.entries.front().modRevision;
    if (readRevision < tableModRevision || holdersRevision < tableModRevision) {
        schedulePlan(backoff.next(random), now);
        return;
    }
    backoff.reset();
    plan(now);
}

void SlotOwner::Impl::onWriteReply(const KvReply &reply, Now now)
{
    step = Step::Idle;
    if (reply.status != KvStatus::Ok) {
        // The next read shows whether a write without a reply took effect; changes are planned again on it.
        schedulePlan(reply.status == KvStatus::Conflict ? random.jitter(replanDelay * 4) : backoff.next(random), now);
        return;
    }
    const bool wasReclaiming = isReclaiming;
    updateTable({KvEntry{tableKey, pendingTable.SerializeAsString(), reply.storeRevision, 0, false}});
    if (wasReclaiming && transfer) {
        transfer.reset();
        isReclaiming = false;
    }
    schedulePlan(replanDelay, now);
}

SlotOwner::SlotOwner(Init init, std::function<void(KvRequest)> submit)
    : impl_(std::make_unique<Impl>(std::move(init), std::move(submit)))
{
}

SlotOwner::~SlotOwner() = default;

void SlotOwner::start(Now now)
{
    impl_->lease.start(now);
    impl_->tableWatch.start(now);
    impl_->schedulePlan(replanDelay, now);
}

void SlotOwner::onMembers(const std::vector<std::string> &names, Now now)
{
    std::vector<std::string> sorted = names;
    std::sort(sorted.begin(), sorted.end());
    sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
    if (sorted == impl_->members) {
        return;
    }
    impl_->members = std::move(sorted);
    impl_->excludedReceivers.clear();
    impl_->schedulePlan(impl_->random.jitter(replanDelay * 4), now);
}

bool SlotOwner::onReply(const KvReply &reply, Now now)
{
    const auto before = impl_->lease.state();
    if (impl_->lease.onReply(reply, now)) {
        impl_->renewKeyTimeLimit(now);
        if (impl_->lease.state() != before) {
            impl_->schedulePlan(replanDelay, now);
        }
        return true;
    }
    if (impl_->tableWatch.onReply(reply, now) || impl_->keyTimeLimit.onReply(reply, now)) {
        return true;
    }
    if (impl_->step == Impl::Step::Idle || reply.id != impl_->pending) {
        return false;
    }
    if (impl_->step == Impl::Step::ReadingLeases) {
        impl_->onLeasesReply(reply, now);
    } else if (impl_->step == Impl::Step::ReadingTable) {
        impl_->onTableReply(reply, now);
    } else {
        impl_->onWriteReply(reply, now);
    }
    if (impl_->step == Impl::Step::Idle && std::exchange(impl_->needsReplan, false)) {
        impl_->schedulePlan(replanDelay, now);
    }
    return true;
}

SlotOwnership SlotOwner::owns(std::uint32_t slot, Now now) const
{
    SlotOwnership ownership;
    const auto *range = findRange(impl_->table, slot);
    if (range == nullptr) {
        return ownership;
    }
    ownership.fence = range->fence();
    const auto view = impl_->init.config->service(impl_->init.service);
    if (!view || !impl_->lease.mayAct(now.mono) || !impl_->isOwnedUnderLease(*range)) {
        return ownership;
    }
    if (impl_->transfer && impl_->transfer->contains(slot) && impl_->init.safeguards.refuseWhileGiving) {
        return ownership;
    }
    const auto latestAccepted = now.wall.ms + std::chrono::duration_cast<Milliseconds>(view->skew).count();
    if (impl_->init.safeguards.keyTimeLimit && impl_->keyTimeLimit.value(impl_->lease.fence()).ms < latestAccepted) {
        return ownership;
    }
    ownership.isOwned = true;
    const Duration margin = std::max(view->margin, 2 * view->skew);
    if (!impl_->init.safeguards.takenAtRefusal) {
        return ownership;
    }
    ownership.minKeyTime.ms =
        static_cast<std::int64_t>(range->taken_wall_ms()) + std::chrono::duration_cast<Milliseconds>(margin).count();
    return ownership;
}

void SlotOwner::drain(Now now)
{
    if (std::exchange(impl_->isDraining, true)) {
        return;
    }
    impl_->schedulePlan(Duration::zero(), now);
}

bool SlotOwner::isDrained() const
{
    return impl_->isDraining && impl_->step == Impl::Step::Idle && slots().empty();
}

bool SlotOwner::onHandover(const wire::SlotHandover &part, Now now)
{
    // A sidecar that is draining must not become the owner: the keys would have to be transferred again at once.
    if (part.service() != impl_->init.service || impl_->isDraining || impl_->init.seen == nullptr || !impl_->init.send
        || !impl_->init.seen->importPart(part, now)) {
        return false;
    }
    // The sender is leaving or has too many slots, so nothing is transferred back to it until the members change.
    impl_->excludedReceivers.insert(part.from().name());
    wire::Envelope envelope;
    auto &ack = *envelope.mutable_slot_handover_ack();
    ack.mutable_from()->set_name(impl_->init.self);
    ack.mutable_from()->set_incarnation(impl_->init.incarnation);
    ack.set_service(part.service());
    ack.set_slot(part.slot());
    ack.set_fence(part.fence());
    ack.set_part(part.part());
    impl_->init.send(part.from().name(), std::move(envelope));
    return true;
}

void SlotOwner::onHandoverAck(const wire::SlotHandoverAck &ack, Now now)
{
    if (!impl_->transfer || impl_->transfer->isAcknowledged()) {
        return;
    }
    impl_->transfer->onAck(ack);
    if (impl_->transfer->isAcknowledged(impl_->init.safeguards.keysBeforeTable)) {
        impl_->schedulePlan(Duration::zero(), now);
    }
}

void SlotOwner::stop(Now now)
{
    impl_->init.timers->cancel(std::exchange(impl_->planTimer, {}));
    impl_->init.timers->cancel(std::exchange(impl_->resendTimer, {}));
    impl_->tableWatch.stop();
    if (slots().empty()) {
        impl_->keyTimeLimit.remove();
    }
    impl_->keyTimeLimit.stop();
    impl_->lease.stop(now);
}

std::vector<std::uint32_t> SlotOwner::slots() const
{
    std::vector<std::uint32_t> owned;
    for (const auto &range : impl_->table.ranges()) {
        if (range.owner() != impl_->init.self || range.owner_incarnation() != impl_->init.incarnation) {
            continue;
        }
        for (std::uint32_t i = 0; i < range.count(); ++i) {
            owned.push_back(range.first() + i);
        }
    }
    return owned;
}

} // namespace anvilscale

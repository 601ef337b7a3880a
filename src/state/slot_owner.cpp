// Ownership of the slots of one service: one table, changed by compare-and-swap only, and one lease for each sidecar.
// Every change is planned on a fresh read of the leases and the table, in the reply to that read: so the wall time
// written as the take-over time is later than the moment at which the former owner's lease was seen to be gone.
#include "kv_ids.h"
#include "later_now.h"
#include "slot_giving.h"

#include <algorithm>

namespace anvilscale {
namespace {

constexpr std::size_t batchSlots = 64; // given at a time
constexpr Duration resendAfter = Milliseconds(300);
constexpr Duration firstWait = Milliseconds(100);
constexpr Duration soon = Milliseconds(20);
// Slots are only moved between live owners when one has this share of all too many: each move refuses calls a moment.
constexpr std::uint32_t toleratedExcess = 32; // 1/32
constexpr unsigned incarnationDigits = 16;

std::string hexText(std::uint64_t value)
{
    std::string text;
    for (unsigned i = incarnationDigits; i-- > 0;) {
        text += "0123456789abcdef"[value >> (4 * i) & 0xf];
    }
    return text;
}

std::uint64_t hexNumber(std::string_view text)
{
    std::uint64_t value = 0;
    for (const char c : text) {
        value = value << 4 | static_cast<std::uint64_t>(c <= '9' ? c - '0' : c - 'a' + 10);
    }
    return value;
}

} // namespace

struct SlotOwner::Impl
{
    enum class Step : std::uint8_t {
        Idle,
        ReadingLeases,
        ReadingTable,
        Writing,
    };

    Init init;
    std::function<void(KvRequest)> submit;
    std::string tableKey;
    std::string leasePrefix;
    KvIds ids;
    Random random;
    Backoff backoff;
    LeaseKeeper lease;
    KeyFollower follower; // of the table

    config::SlotTable table;
    std::int64_t tableMod = 0; // modification revision of `table`; only grows
    std::vector<std::string> members;
    LeaseHolders holders; // as of the last read
    std::int64_t holdersRevision = 0; // store revision of that read
    Step step = Step::Idle;
    KvHandle pending;
    bool planAgain = false; // something happened while a step was under way
    TimerHandle planTimer;
    TimerHandle resendTimer;
    bool draining = false;
    std::optional<SlotGiving> giving; // its slots are refused
    bool resuming = false; // the hand-over was given up: the slots are ours again after the next write
    std::set<std::string> deafReceivers; // did not acknowledge, or gave to us
    std::optional<TimePoint> orphansSince; // slots that no member takes up
    config::SlotTable written; // while Writing

    Impl(Init from, std::function<void(KvRequest)> to);
    ~Impl();
    LeaseKeeper::Init leaseInit() const;
    std::uint32_t slotCount() const;
    bool mine(const SlotState &slot) const;
    bool mineUnderLease(const config::SlotRange &range) const;
    void planIn(Duration wait, Now now);
    void read(Step next, std::string key, std::string rangeEnd);
    void beginPlan(Now now);
    void takeTable(const std::vector<KvEntry> &entries);
    void onLeases(const KvReply &reply, Now now);
    void onTable(const KvReply &reply, Now now);
    void onWritten(const KvReply &reply, Now now);
    void plan(Now now);
    bool moveGiven(std::vector<SlotState> &slots, std::vector<KvCompare> &compares);
    bool reclaim(std::vector<SlotState> &slots);
    bool claim(std::vector<SlotState> &slots, std::vector<KvCompare> &compares, Now now);
    bool release(std::vector<SlotState> &slots, Now now);
    void write(const std::vector<SlotState> &slots, std::vector<KvCompare> compares);
    void beginGiving(const std::vector<SlotState> &slots, Now now);
    std::string chooseReceiver(const std::vector<SlotState> &slots) const;
    std::size_t excess(const std::vector<SlotState> &slots) const;
    void resend(Now now);
    void giveUpReceiver(Now now);
};

SlotOwner::Impl::Impl(Init from, std::function<void(KvRequest)> to)
    : init(std::move(from))
    , submit(std::move(to))
    , tableKey(init.keyPrefix + "slots/" + init.service)
    , leasePrefix(init.keyPrefix + "slot-owners/" + init.service + "/")
    , ids("slot-owner/" + init.service + "/" + init.self)
    , random(init.seed)
    , backoff(firstWait, init.timing.lease)
    , lease(leaseInit(), submit)
    , follower(KeyFollower::Init{tableKey, {}, init.timers, init.timing.lease, init.seed + 1}, submit,
               [this](const std::vector<KvEntry> &entries, bool, Now now) {
                   takeTable(entries);
                   planIn(soon, now);
               })
{
}

SlotOwner::Impl::~Impl()
{
    init.timers->cancel(planTimer);
    init.timers->cancel(resendTimer);
}

LeaseKeeper::Init SlotOwner::Impl::leaseInit() const
{
    LeaseKeeper::Init from;
    from.key = leasePrefix + init.self + "/" + hexText(init.incarnation);
    from.holder = init.self;
    from.incarnation = init.incarnation;
    from.timing = init.timing;
    from.timers = init.timers;
    from.seed = init.seed + 2;
    from.safeguards = init.safeguards;
    return from;
}

std::uint32_t SlotOwner::Impl::slotCount() const
{
    const auto view = init.config->service(init.service);
    return view ? view->slots : 0;
}

bool SlotOwner::Impl::mine(const SlotState &slot) const
{
    return slot.owner.name == init.self && slot.owner.incarnation == init.incarnation;
}

/// A lease that lapsed and was taken anew does not bring the slots back by itself: somebody may have taken them over
/// in between, and our copy of the table may not show it yet.
bool SlotOwner::Impl::mineUnderLease(const config::SlotRange &range) const
{
    return range.owner() == init.self && range.owner_incarnation() == init.incarnation
           && range.lease() == lease.fence();
}

void SlotOwner::Impl::planIn(Duration wait, Now now)
{
    init.timers->cancel(planTimer);
    planTimer = init.timers->subscribe(now.mono + wait, [this, now](TimePoint at) {
        planTimer = {};
        beginPlan(laterNow(now, at));
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
        planAgain = true;
        return;
    }
    if (!lease.mayAct(now.mono) || slotCount() == 0) {
        planIn(random.jitter(init.timing.heartbeat), now);
        return;
    }
    std::string end = leasePrefix;
    ++end.back();
    read(Step::ReadingLeases, leasePrefix, std::move(end));
}

void SlotOwner::Impl::takeTable(const std::vector<KvEntry> &entries)
{
    for (const auto &entry : entries) {
        config::SlotTable fresh;
        if (entry.key != tableKey || entry.modRevision <= tableMod) {
            continue;
        }
        if (!entry.deleted && !fresh.ParseFromString(entry.value)) {
            continue;
        }
        table = std::move(fresh);
        tableMod = entry.modRevision;
    }
    if (!giving) {
        return;
    }
    const auto &given = giving->slots();
    const bool anyOurs = std::any_of(given.begin(), given.end(), [this](std::uint32_t slot) {
        const auto *range = rangeOf(table, slot);
        return range != nullptr && range->owner() == init.self && range->owner_incarnation() == init.incarnation;
    });
    if (!anyOurs) { // the move took effect, whether or not its reply came
        giving.reset();
        resuming = false;
    }
}

void SlotOwner::Impl::onLeases(const KvReply &reply, Now now)
{
    if (reply.status != KvStatus::Ok) {
        step = Step::Idle;
        planIn(backoff.next(random), now);
        return;
    }
    holders.clear();
    holdersRevision = reply.storeRevision;
    for (const auto &entry : reply.entries) {
        const std::string_view id = std::string_view(entry.key).substr(leasePrefix.size());
        const auto slash = id.rfind('/');
        if (slash != std::string_view::npos) {
            const OwnerId owner{std::string(id.substr(0, slash)), hexNumber(id.substr(slash + 1))};
            holders[owner] = entry.modRevision;
        }
    }
    read(Step::ReadingTable, tableKey, {});
}

void SlotOwner::Impl::onTable(const KvReply &reply, Now now)
{
    step = Step::Idle;
    if (reply.status != KvStatus::Ok) {
        planIn(backoff.next(random), now);
        return;
    }
    takeTable(reply.entries);
    // A read that shows an older table than we know comes from a stale replica: nothing is planned on it. Nor on a
    // list of leases that is older than the table: an owner that came between the two would look gone, and the
    // take-over time would be read while that owner still accepts keys.
    const std::int64_t shown = reply.entries.empty() ? 0 : reply.entries.front().modRevision;
    if (shown < tableMod || holdersRevision < tableMod) {
        planIn(backoff.next(random), now);
        return;
    }
    backoff.reset();
    plan(now);
}

/// The receiver holds all keys of the given slots: the table names it, if it still lives.
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
            // `taken` stays: the receiver knows what we knew, and no more.
            slots[slot].owner = receiver;
            slots[slot].fence = fence;
            slots[slot].lease = static_cast<std::uint64_t>(holder->second);
            slots[slot].handedOver = true;
        }
    }
    compares.push_back({leasePrefix + receiver.name + "/" + hexText(receiver.incarnation), holder->second});
    return true;
}

/// Slots that are ours in the table but under a lease that lapsed, or whose hand-over was given up. Nobody took them,
/// and all their keys are still in our memory. The new fencing number makes late acknowledgements void.
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
    // The others had a lease's time to take up their shares: what is left belongs to members that are not there.
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
        compares.push_back({leasePrefix + owner.name + "/" + hexText(owner.incarnation), 0});
    }
    return std::any_of(slots.begin(), slots.end(), [&](const SlotState &slot) { return slot.fence == fence; });
}

/// A drain that finds nobody to give to leaves the slots free, so that others need not wait for the lease to end.
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

/// The live member with the fewest slots, if it has less than its share (or if we must give them away).
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

/// The slots stay refused until a write has made them ours again under a new fencing number.
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
        giveUpReceiver(now); // it died after it had taken the keys
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

void SlotOwner::Impl::onWritten(const KvReply &reply, Now now)
{
    step = Step::Idle;
    if (reply.status != KvStatus::Ok) {
        // Whether a lost write took effect is learned from the next read; it is planned anew on what that shows.
        planIn(reply.status == KvStatus::Conflict ? random.jitter(soon * 4) : backoff.next(random), now);
        return;
    }
    const bool resumed = resuming;
    takeTable({KvEntry{tableKey, written.SerializeAsString(), reply.storeRevision, 0, false}});
    if (resumed && giving) {
        giving.reset();
        resuming = false;
    }
    planIn(soon, now);
}

SlotOwner::SlotOwner(Init init, std::function<void(KvRequest)> submit)
    : impl_(std::make_unique<Impl>(std::move(init), std::move(submit)))
{
}

SlotOwner::~SlotOwner() = default;

void SlotOwner::start(Now now)
{
    impl_->lease.start(now);
    impl_->follower.start(now);
    impl_->planIn(soon, now);
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
    impl_->deafReceivers.clear();
    impl_->planIn(impl_->random.jitter(soon * 4), now);
}

bool SlotOwner::onReply(const KvReply &reply, Now now)
{
    const auto before = impl_->lease.state();
    if (impl_->lease.onReply(reply, now)) {
        if (impl_->lease.state() != before) {
            impl_->planIn(soon, now);
        }
        return true;
    }
    if (impl_->follower.onReply(reply, now)) {
        return true;
    }
    if (impl_->step == Impl::Step::Idle || reply.id != impl_->pending) {
        return false;
    }
    if (impl_->step == Impl::Step::ReadingLeases) {
        impl_->onLeases(reply, now);
    } else if (impl_->step == Impl::Step::ReadingTable) {
        impl_->onTable(reply, now);
    } else {
        impl_->onWritten(reply, now);
    }
    if (impl_->step == Impl::Step::Idle && std::exchange(impl_->planAgain, false)) {
        impl_->planIn(soon, now);
    }
    return true;
}

SlotOwnership SlotOwner::owns(std::uint32_t slot, Now now) const
{
    SlotOwnership ownership;
    const auto *range = rangeOf(impl_->table, slot);
    if (range == nullptr) {
        return ownership;
    }
    ownership.fence = range->fence();
    const auto view = impl_->init.config->service(impl_->init.service);
    if (!view || !impl_->lease.mayAct(now.mono) || !impl_->mineUnderLease(*range)) {
        return ownership;
    }
    if (impl_->giving && impl_->giving->holds(slot) && impl_->init.safeguards.refuseWhileGiving) {
        return ownership;
    }
    ownership.owned = true;
    const Duration margin = std::max(view->margin, 2 * view->skew);
    if (!impl_->init.safeguards.takenAtRefusal) {
        return ownership;
    }
    ownership.takenAt.ms =
        static_cast<std::int64_t>(range->taken_wall_ms()) + std::chrono::duration_cast<Milliseconds>(margin).count();
    return ownership;
}

void SlotOwner::drain(Now now)
{
    if (std::exchange(impl_->draining, true)) {
        return;
    }
    impl_->planIn(Duration::zero(), now);
}

bool SlotOwner::drained() const
{
    return impl_->draining && impl_->step == Impl::Step::Idle && slots().empty();
}

bool SlotOwner::onHandover(const wire::SlotHandover &part, Now now)
{
    // One that leaves itself must not become the owner: the keys would have to move again at once.
    if (part.service() != impl_->init.service || impl_->draining || impl_->init.seen == nullptr || !impl_->init.send
        || !impl_->init.seen->importPart(part, now)) {
        return false;
    }
    // Whoever gives is leaving or has too many: nothing is given back to it until the members change.
    impl_->deafReceivers.insert(part.from().name());
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
    if (!impl_->giving || impl_->giving->acknowledged()) {
        return;
    }
    impl_->giving->onAck(ack);
    if (impl_->giving->acknowledged(impl_->init.safeguards.keysBeforeTable)) {
        impl_->planIn(Duration::zero(), now);
    }
}

void SlotOwner::stop(Now now)
{
    impl_->init.timers->cancel(std::exchange(impl_->planTimer, {}));
    impl_->init.timers->cancel(std::exchange(impl_->resendTimer, {}));
    impl_->follower.stop();
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

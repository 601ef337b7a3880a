// Holds one key under a lease. The fencing number is the key's modification revision: it increases with every
// acquisition and does not change on a keep-alive.
#include "config.pb.h"
#include "kv_ids.h"
#include "later_now.h"

#include "anvilscale/state.h"

namespace anvilscale {
namespace {

constexpr int keepAlivesPerLease = 3;
constexpr Duration firstWait = Milliseconds(200);

} // namespace

struct LeaseKeeper::Impl
{
    enum class Step : std::uint8_t {
        Idle,
        Reading, ///< reading the current holder
        Granting,
        Writing,
        ReadingBack, ///< the reply to the write was lost
        KeepingAlive,
    };

    Init init;
    std::function<void(KvRequest)> submit;
    KvIds ids;
    Random random;
    Backoff backoff;

    bool wanted = false;
    Step step = Step::Idle;
    KvHandle pending; // the only request in flight
    TimerHandle timer;
    LeaseState state = LeaseState::None;
    std::uint64_t lease = 0;
    std::uint64_t fence = 0; // 0 unless the key was last known to be ours
    TimePoint countedFrom; // send time of the last request that extended the lease
    TimePoint sentAt;
    Duration ttl{};

    Impl(Init from, std::function<void(KvRequest)> to)
        : init(std::move(from))
        , submit(std::move(to))
        , ids("lease/" + init.key + "/" + init.holder)
        , random(init.seed)
        , backoff(firstWait, init.timing.lease / 2)
    {
    }

    void send(Step next, KvRequest request, Now now);
    void later(Duration wait, Now now);
    void wake(Now now);
    void read(Step next, Now now);
    void grant(Now now);
    void write(Now now);
    void keepAlive(Now now);
    void giveUp(LeaseState why, Now now);
    void hold(std::uint64_t newFence, Now now);
    void onRead(const KvReply &reply, Now now);
    void onGranted(const KvReply &reply, Now now);
    void onWritten(const KvReply &reply, Now now);
    void onReadBack(const KvReply &reply, Now now);
    void onKeptAlive(const KvReply &reply, Now now);
    const KvEntry *entryIn(const KvReply &reply) const;
};

LeaseKeeper::LeaseKeeper(Init init, std::function<void(KvRequest)> submit)
    : impl_(std::make_unique<Impl>(std::move(init), std::move(submit)))
{
}

LeaseKeeper::~LeaseKeeper()
{
    impl_->init.timers->cancel(impl_->timer);
}

void LeaseKeeper::Impl::send(Step next, KvRequest request, Now now)
{
    step = next;
    request.id = ids.next();
    pending = request.id;
    sentAt = now.mono;
    submit(std::move(request));
}

void LeaseKeeper::Impl::later(Duration wait, Now now)
{
    init.timers->cancel(timer);
    timer = init.timers->subscribe(now.mono + wait, [this, now](TimePoint at) {
        timer = {};
        wake(laterNow(now, at));
    });
}

void LeaseKeeper::Impl::wake(Now now)
{
    if (pending || !wanted) {
        return;
    }
    if (state == LeaseState::Held) {
        keepAlive(now);
    } else if (step == Step::ReadingBack) {
        read(Step::ReadingBack, now);
    } else {
        read(Step::Reading, now);
    }
}

void LeaseKeeper::Impl::read(Step next, Now now)
{
    KvRequest request;
    request.op = KvOp::Range;
    request.key = init.key;
    send(next, std::move(request), now);
}

void LeaseKeeper::Impl::grant(Now now)
{
    KvRequest request;
    request.op = KvOp::LeaseGrant;
    request.ttl = init.timing.lease;
    send(Step::Granting, std::move(request), now);
}

void LeaseKeeper::Impl::write(Now now)
{
    config::SchedulerLease value;
    value.set_holder(init.holder);
    value.set_incarnation(init.incarnation);
    value.set_address(init.address);
    KvRequest request;
    request.op = KvOp::Txn;
    request.compares.push_back({init.key, 0});
    request.puts.push_back({init.key, value.SerializeAsString(), lease});
    send(Step::Writing, std::move(request), now);
}

void LeaseKeeper::Impl::keepAlive(Now now)
{
    KvRequest request;
    request.op = KvOp::LeaseKeepAlive;
    request.lease = lease;
    send(Step::KeepingAlive, std::move(request), now);
}

void LeaseKeeper::Impl::giveUp(LeaseState why, Now now)
{
    state = why;
    fence = 0;
    lease = 0;
    step = Step::Idle;
    later(backoff.next(random), now);
}

void LeaseKeeper::Impl::hold(std::uint64_t newFence, Now now)
{
    state = LeaseState::Held;
    fence = newFence;
    step = Step::Idle;
    backoff.reset();
    later(random.jitter(init.timing.lease / keepAlivesPerLease), now);
}

const KvEntry *LeaseKeeper::Impl::entryIn(const KvReply &reply) const
{
    for (const auto &entry : reply.entries) {
        if (entry.key == init.key && entry.modRevision != 0 && !entry.deleted) {
            return &entry;
        }
    }
    return nullptr;
}

void LeaseKeeper::Impl::onRead(const KvReply &reply, Now now)
{
    if (reply.status != KvStatus::Ok) {
        step = Step::Idle;
        later(backoff.next(random), now);
        return;
    }
    if (entryIn(reply) != nullptr) { // held by another process; check again within its lease
        step = Step::Idle;
        state = LeaseState::None;
        later(random.jitter(init.timing.lease), now);
        return;
    }
    state = LeaseState::Asking;
    grant(now);
}

void LeaseKeeper::Impl::onGranted(const KvReply &reply, Now now)
{
    // A lease whose grant reply was lost expires by itself; no key is attached to it.
    if (reply.status != KvStatus::Ok || reply.lease == 0) {
        giveUp(LeaseState::None, now);
        return;
    }
    lease = reply.lease;
    ttl = reply.ttl > Duration::zero() ? std::min(reply.ttl, init.timing.lease) : init.timing.lease;
    countedFrom = init.safeguards.leaseFromSend ? sentAt : now.mono;
    write(now);
}

void LeaseKeeper::Impl::onWritten(const KvReply &reply, Now now)
{
    if (reply.status == KvStatus::Ok) {
        hold(static_cast<std::uint64_t>(reply.storeRevision), now);
    } else if (reply.status == KvStatus::Unknown) {
        // A repeated write could conflict with its own first effect, and this process would treat itself as another
        // holder.
        read(Step::ReadingBack, now);
    } else {
        giveUp(LeaseState::None, now);
    }
}

void LeaseKeeper::Impl::onReadBack(const KvReply &reply, Now now)
{
    if (reply.status != KvStatus::Ok) {
        const bool leaseOver = now.mono - countedFrom >= ttl;
        if (leaseOver) {
            giveUp(LeaseState::None, now);
        } else {
            later(backoff.next(random), now);
        }
        return;
    }
    // The lease id identifies this acquisition: no other write carries it.
    const KvEntry *entry = entryIn(reply);
    if (entry != nullptr && entry->lease == lease) {
        hold(static_cast<std::uint64_t>(entry->modRevision), now);
    } else {
        giveUp(LeaseState::None, now);
    }
}

void LeaseKeeper::Impl::onKeptAlive(const KvReply &reply, Now now)
{
    step = Step::Idle;
    if (reply.status == KvStatus::Ok && reply.ttl >= Duration::zero()) {
        countedFrom = init.safeguards.leaseFromSend ? sentAt : now.mono;
        ttl = reply.ttl > Duration::zero() ? std::min(reply.ttl, init.timing.lease) : init.timing.lease;
        backoff.reset();
        later(random.jitter(init.timing.lease / keepAlivesPerLease), now);
    } else if (reply.status == KvStatus::LeaseGone) {
        giveUp(LeaseState::Lost, now);
    } else {
        later(backoff.next(random), now);
    }
}

void LeaseKeeper::start(Now now)
{
    impl_->wanted = true;
    impl_->wake(now);
}

void LeaseKeeper::stop(Now now)
{
    impl_->wanted = false;
    impl_->init.timers->cancel(impl_->timer);
    impl_->state = LeaseState::None;
    impl_->fence = 0; // cleared before the revocation is sent, so nothing is done under a revoked lease
    if (impl_->lease == 0) {
        return;
    }
    KvRequest request;
    request.op = KvOp::LeaseRevoke;
    request.lease = std::exchange(impl_->lease, 0);
    impl_->send(Impl::Step::Idle, std::move(request), now);
}

bool LeaseKeeper::onReply(const KvReply &reply, Now now)
{
    if (!impl_->pending || reply.id != impl_->pending) {
        return false;
    }
    impl_->pending = {};
    if (!impl_->wanted) {
        return true;
    }
    switch (impl_->step) {
    case Impl::Step::Idle:
        break;
    case Impl::Step::Reading:
        impl_->onRead(reply, now);
        break;
    case Impl::Step::Granting:
        impl_->onGranted(reply, now);
        break;
    case Impl::Step::Writing:
        impl_->onWritten(reply, now);
        break;
    case Impl::Step::ReadingBack:
        impl_->onReadBack(reply, now);
        break;
    case Impl::Step::KeepingAlive:
        impl_->onKeptAlive(reply, now);
        break;
    }
    return true;
}

bool LeaseKeeper::mayAct(TimePoint now) const
{
    // Counted from before the send, the lease expires here no later than at the service. A holder that was paused is
    // past this time when it resumes, whatever it had checked before.
    if (!impl_->init.safeguards.leaseClock) {
        return impl_->state == LeaseState::Held;
    }
    return impl_->state == LeaseState::Held && now < impl_->countedFrom + impl_->ttl - impl_->init.timing.leaseMargin;
}

std::uint64_t LeaseKeeper::fence() const
{
    return impl_->fence;
}

LeaseState LeaseKeeper::state() const
{
    return impl_->state;
}

} // namespace anvilscale

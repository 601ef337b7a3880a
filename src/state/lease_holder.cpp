// Holds one key under a lease. The fencing number is the key's modification revision: it increases with every
// acquisition and does not change on a keep-alive.
#include "advance_now.h"
#include "config.pb.h"
#include "kv_requests.h"

#include "anvilscale/state.h"

namespace anvilscale {
namespace {

constexpr int keepAlivesPerLease = 3;
constexpr Duration initialBackoff = Milliseconds(200);

} // namespace

struct LeaseHolder::Impl
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
    KvRequestIds ids;
    Random random;
    Backoff backoff;

    bool isStarted = false;
    Step step = Step::Idle;
    KvHandle pending; // the only request in flight
    TimerHandle timer;
    LeaseState state = LeaseState::None;
    std::uint64_t lease = 0;
    std::uint64_t fence = 0; // 0 unless this process was last known to hold the key
    TimePoint leaseCountedFrom; // send time of the last request that extended the lease
    TimePoint lastSentAt;
    Duration ttl{};

    Impl(Init initValue, std::function<void(KvRequest)> submitRequest)
        : init(std::move(initValue))
        , submit(std::move(submitRequest))
        , ids("lease/" + init.key + "/" + init.holder)
        , random(init.seed)
        , backoff(initialBackoff, init.timing.lease / 2)
    {
    }

    void send(Step nextStep, KvRequest request, Now now);
    void scheduleWake(Duration wait, Now now);
    void onTimer(Now now);
    void readKey(Step nextStep, Now now);
    void requestLease(Now now);
    void writeKey(Now now);
    void sendKeepAlive(Now now);
    void dropLease(LeaseState newState, Now now);
    void onAcquired(std::uint64_t newFence, Now now);
    void onReadReply(const KvReply &reply, Now now);
    void onGrantReply(const KvReply &reply, Now now);
    void onWriteReply(const KvReply &reply, Now now);
    void onReadBackReply(const KvReply &reply, Now now);
    void onKeepAliveReply(const KvReply &reply, Now now);
    const KvEntry *findEntry(const KvReply &reply) const;
};

LeaseHolder::LeaseHolder(Init init, std::function<void(KvRequest)> submit)
    : impl_(std::make_unique<Impl>(std::move(init), std::move(submit)))
{
}

LeaseHolder::~LeaseHolder()
{
    impl_->init.timers->cancel(impl_->timer);
}

void LeaseHolder::Impl::send(Step nextStep, KvRequest request, Now now)
{
    step = nextStep;
    request.id = ids.next();
    pending = request.id;
    lastSentAt = now.mono;
    submit(std::move(request));
}

void LeaseHolder::Impl::scheduleWake(Duration wait, Now now)
{
    init.timers->cancel(timer);
    timer = init.timers->subscribe(now.mono + wait, [this, now](TimePoint at) {
        timer = {};
        onTimer(advanceNow(now, at));
    });
}

void LeaseHolder::Impl::onTimer(Now now)
{
    if (pending || !isStarted) {
        return;
    }
    if (state == LeaseState::Held) {
        sendKeepAlive(now);
    } else if (step == Step::ReadingBack) {
        readKey(Step::ReadingBack, now);
    } else {
        readKey(Step::Reading, now);
    }
}

void LeaseHolder::Impl::readKey(Step nextStep, Now now)
{
    KvRequest request;
    request.op = KvOp::Range;
    request.key = init.key;
    send(nextStep, std::move(request), now);
}

void LeaseHolder::Impl::requestLease(Now now)
{
    KvRequest request;
    request.op = KvOp::LeaseGrant;
    request.ttl = init.timing.lease;
    send(Step::Granting, std::move(request), now);
}

void LeaseHolder::Impl::writeKey(Now now)
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

void LeaseHolder::Impl::sendKeepAlive(Now now)
{
    KvRequest request;
    request.op = KvOp::LeaseKeepAlive;
    request.lease = lease;
    send(Step::KeepingAlive, std::move(request), now);
}

void LeaseHolder::Impl::dropLease(LeaseState newState, Now now)
{
    state = newState;
    fence = 0;
    lease = 0;
    step = Step::Idle;
    scheduleWake(backoff.next(random), now);
}

void LeaseHolder::Impl::onAcquired(std::uint64_t newFence, Now now)
{
    state = LeaseState::Held;
    fence = newFence;
    step = Step::Idle;
    backoff.reset();
    scheduleWake(random.jitter(init.timing.lease / keepAlivesPerLease), now);
}

const KvEntry *LeaseHolder::Impl::findEntry(const KvReply &reply) const
{
    for (const auto &entry : reply.entries) {
        if (entry.key == init.key && entry.modRevision != 0 && !entry.isDeleted) {
            return &entry;
        }
    }
    return nullptr;
}

void LeaseHolder::Impl::onReadReply(const KvReply &reply, Now now)
{
    if (reply.status != KvStatus::Ok) {
        step = Step::Idle;
        scheduleWake(backoff.next(random), now);
        return;
    }
    if (findEntry(reply) != nullptr) { // held by another process; check again within its lease
        step = Step::Idle;
        state = LeaseState::None;
        scheduleWake(random.jitter(init.timing.lease), now);
        return;
    }
    state = LeaseState::Asking;
    requestLease(now);
}

void LeaseHolder::Impl::onGrantReply(const KvReply &reply, Now now)
{
    // A lease whose grant reply was lost expires by itself; no key is attached to it.
    if (reply.status != KvStatus::Ok || reply.lease == 0) {
        dropLease(LeaseState::None, now);
        return;
    }
    lease = reply.lease;
    ttl = reply.ttl > Duration::zero() ? std::min(reply.ttl, init.timing.lease) : init.timing.lease;
    leaseCountedFrom = init.safeguards.leaseFromSend ? lastSentAt : now.mono;
    writeKey(now);
}

void LeaseHolder::Impl::onWriteReply(const KvReply &reply, Now now)
{
    if (reply.status == KvStatus::Ok) {
        onAcquired(static_cast<std::uint64_t>(reply.storeRevision), now);
    } else if (reply.status == KvStatus::Unknown) {
        // A repeated write could conflict with its own first effect, and this process would treat itself as another
        // holder.
        readKey(Step::ReadingBack, now);
    } else {
        dropLease(LeaseState::None, now);
    }
}

void LeaseHolder::Impl::onReadBackReply(const KvReply &reply, Now now)
{
    if (reply.status != KvStatus::Ok) {
        const bool hasExpired = now.mono - leaseCountedFrom >= ttl;
        if (hasExpired) {
            dropLease(LeaseState::None, now);
        } else {
            scheduleWake(backoff.next(random), now);
        }
        return;
    }
    // The lease id identifies this acquisition: no other write carries it.
    const KvEntry *entry = findEntry(reply);
    if (entry != nullptr && entry->lease == lease) {
        onAcquired(static_cast<std::uint64_t>(entry->modRevision), now);
    } else {
        dropLease(LeaseState::None, now);
    }
}

void LeaseHolder::Impl::onKeepAliveReply(const KvReply &reply, Now now)
{
    step = Step::Idle;
    if (reply.status == KvStatus::Ok && reply.ttl >= Duration::zero()) {
        leaseCountedFrom = init.safeguards.leaseFromSend ? lastSentAt : now.mono;
        ttl = reply.ttl > Duration::zero() ? std::min(reply.ttl, init.timing.lease) : init.timing.lease;
        backoff.reset();
        scheduleWake(random.jitter(init.timing.lease / keepAlivesPerLease), now);
    } else if (reply.status == KvStatus::LeaseGone) {
        dropLease(LeaseState::Lost, now);
    } else {
        scheduleWake(backoff.next(random), now);
    }
}

void LeaseHolder::start(Now now)
{
    impl_->isStarted = true;
    impl_->onTimer(now);
}

void LeaseHolder::stop(Now now)
{
    impl_->isStarted = false;
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

bool LeaseHolder::onReply(const KvReply &reply, Now now)
{
    if (!impl_->pending || reply.id != impl_->pending) {
        return false;
    }
    impl_->pending = {};
    if (!impl_->isStarted) {
        return true;
    }
    switch (impl_->step) {
    case Impl::Step::Idle:
        break;
    case Impl::Step::Reading:
        impl_->onReadReply(reply, now);
        break;
    case Impl::Step::Granting:
        impl_->onGrantReply(reply, now);
        break;
    case Impl::Step::Writing:
        impl_->onWriteReply(reply, now);
        break;
    case Impl::Step::ReadingBack:
        impl_->onReadBackReply(reply, now);
        break;
    case Impl::Step::KeepingAlive:
        impl_->onKeepAliveReply(reply, now);
        break;
    }
    return true;
}

bool LeaseHolder::mayAct(TimePoint now) const
{
    // Counted from before the send, the lease expires here no later than at the service. A holder that was paused
    // beyond this time detects it on resuming, regardless of earlier checks.
    if (!impl_->init.safeguards.leaseClock) {
        return impl_->state == LeaseState::Held;
    }
    return impl_->state == LeaseState::Held
           && now < impl_->leaseCountedFrom + impl_->ttl - impl_->init.timing.leaseMargin;
}

std::uint64_t LeaseHolder::fence() const
{
    return impl_->fence;
}

LeaseState LeaseHolder::state() const
{
    return impl_->state;
}

} // namespace anvilscale

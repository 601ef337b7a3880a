// Watches keys by a full read followed by a watch from the next revision, so that no change is missed.
#include "kv_ids.h"

#include "anvilscale/state.h"

namespace anvilscale {
namespace {

constexpr Duration firstWait = Milliseconds(100);

} // namespace

struct KeyFollower::Impl
{
    Init init;
    std::function<void(KvRequest)> submit;
    std::function<void(const std::vector<KvEntry> &, bool, Now)> changed;
    KvIds ids;
    Random random;
    Backoff backoff;

    KvHandle reading;
    KvHandle watch;
    TimerHandle timer;
    std::int64_t seenRevision = 0; // all changes up to this one were passed to `changed`
    bool mustRead = true;
    bool stands = false;
    std::optional<TimePoint> lastAnswer;

    Impl(Init from, std::function<void(KvRequest)> to,
         std::function<void(const std::vector<KvEntry> &, bool, Now)> onChange)
        : init(std::move(from))
        , submit(std::move(to))
        , changed(std::move(onChange))
        , ids("follow/" + init.key + "/" + std::to_string(init.seed))
        , random(init.seed)
        , backoff(firstWait, init.longestWait)
    {
    }

    void proceed();
    void again(Now now);
    void onRead(const KvReply &reply, Now now);
    void onWatch(const KvReply &reply, Now now);
};

KeyFollower::KeyFollower(Init init, std::function<void(KvRequest)> submit,
                         std::function<void(const std::vector<KvEntry> &, bool, Now)> changed)
    : impl_(std::make_unique<Impl>(std::move(init), std::move(submit), std::move(changed)))
{
}

KeyFollower::~KeyFollower()
{
    impl_->init.timers->cancel(impl_->timer);
}

void KeyFollower::Impl::proceed()
{
    if (reading || watch) {
        return;
    }
    KvRequest request;
    request.id = ids.next();
    request.key = init.key;
    request.rangeEnd = init.rangeEnd;
    if (mustRead) {
        request.op = KvOp::Range;
        reading = request.id;
    } else {
        request.op = KvOp::Watch;
        request.startRevision = seenRevision + 1;
        watch = request.id;
    }
    submit(std::move(request));
}

void KeyFollower::Impl::again(Now now)
{
    init.timers->cancel(timer);
    timer = init.timers->subscribe(now.mono + backoff.next(random), [this](TimePoint) {
        timer = {};
        proceed();
    });
}

void KeyFollower::Impl::onRead(const KvReply &reply, Now now)
{
    reading = {};
    // A read older than the last watch event comes from a stale replica and would revert changes.
    if (reply.status != KvStatus::Ok || reply.storeRevision < seenRevision) {
        again(now);
        return;
    }
    backoff.reset();
    mustRead = false;
    seenRevision = reply.storeRevision;
    lastAnswer = now.mono;
    proceed();
    changed(reply.entries, true, now);
}

void KeyFollower::Impl::onWatch(const KvReply &reply, Now now)
{
    if (reply.status == KvStatus::Ok) {
        stands = true;
        backoff.reset();
        lastAnswer = now.mono;
        std::vector<KvEntry> fresh;
        for (const auto &entry : reply.entries) {
            if (entry.modRevision > seenRevision) {
                fresh.push_back(entry);
            }
        }
        seenRevision = std::max(seenRevision, reply.event ? reply.storeRevision : seenRevision);
        for (const auto &entry : fresh) {
            seenRevision = std::max(seenRevision, entry.modRevision);
        }
        if (!fresh.empty()) {
            changed(fresh, false, now);
        }
        return;
    }
    watch = {};
    stands = false;
    mustRead = mustRead || reply.status == KvStatus::Compacted;
    again(now);
}

void KeyFollower::start(Now)
{
    impl_->proceed();
}

void KeyFollower::stop()
{
    impl_->init.timers->cancel(impl_->timer);
    impl_->reading = {};
    impl_->mustRead = true;
    impl_->stands = false;
    if (!impl_->watch) {
        return;
    }
    KvRequest request;
    request.op = KvOp::WatchCancel;
    request.id = std::exchange(impl_->watch, {});
    impl_->submit(std::move(request));
}

bool KeyFollower::onReply(const KvReply &reply, Now now)
{
    if (impl_->reading && reply.id == impl_->reading) {
        impl_->onRead(reply, now);
        return true;
    }
    if (impl_->watch && reply.id == impl_->watch) {
        impl_->onWatch(reply, now);
        return true;
    }
    return false;
}

std::optional<TimePoint> KeyFollower::lastAnswer() const
{
    return impl_->lastAnswer;
}

bool KeyFollower::watching() const
{
    return impl_->stands;
}

} // namespace anvilscale

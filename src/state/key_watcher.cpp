// Watches keys by a full read followed by a watch from the next revision, so that no change is missed.
#include "kv_requests.h"

#include "anvilscale/state.h"

namespace anvilscale {
namespace {

constexpr Duration initialBackoff = Milliseconds(100);

} // namespace

struct KeyWatcher::Impl
{
    Init init;
    std::function<void(KvRequest)> submit;
    std::function<void(const std::vector<KvEntry> &, bool, Now)> changed;
    KvRequestIds ids;
    Random random;
    Backoff backoff;

    KvHandle pendingRead;
    KvHandle activeWatch;
    TimerHandle retryTimer;
    std::int64_t processedRevision = 0; // all changes up to this one were passed to `changed`
    bool needsFullRead = true;
    bool isEstablished = false;
    std::optional<TimePoint> lastUpdateAt;

    Impl(Init initValue, std::function<void(KvRequest)> submitRequest,
         std::function<void(const std::vector<KvEntry> &, bool, Now)> onChange)
        : init(std::move(initValue))
        , submit(std::move(submitRequest))
        , changed(std::move(onChange))
        , ids("follow/" + init.key + "/" + std::to_string(init.seed))
        , random(init.seed)
        , backoff(initialBackoff, init.maxBackoff)
    {
    }

    void sendNextRequest();
    void scheduleRetry(Now now);
    void onReadReply(const KvReply &reply, Now now);
    void onWatchReply(const KvReply &reply, Now now);
};

KeyWatcher::KeyWatcher(Init init, std::function<void(KvRequest)> submit,
                       std::function<void(const std::vector<KvEntry> &, bool, Now)> changed)
    : impl_(std::make_unique<Impl>(std::move(init), std::move(submit), std::move(changed)))
{
}

KeyWatcher::~KeyWatcher()
{
    impl_->init.timers->cancel(impl_->retryTimer);
}

void KeyWatcher::Impl::sendNextRequest()
{
    if (pendingRead || activeWatch) {
        return;
    }
    KvRequest request;
    request.id = ids.next();
    request.key = init.key;
    request.rangeEnd = init.rangeEnd;
    if (needsFullRead) {
        request.op = KvOp::Range;
        pendingRead = request.id;
    } else {
        request.op = KvOp::Watch;
        request.startRevision = processedRevision + 1;
        activeWatch = request.id;
    }
    submit(std::move(request));
}

void KeyWatcher::Impl::scheduleRetry(Now now)
{
    init.timers->cancel(retryTimer);
    retryTimer = init.timers->subscribe(now.mono + backoff.next(random), [this](TimePoint) {
        retryTimer = {};
        sendNextRequest();
    });
}

void KeyWatcher::Impl::onReadReply(const KvReply &reply, Now now)
{
    pendingRead = {};
    // A read older than the last watch event comes from a stale replica and would revert changes.
    if (reply.status != KvStatus::Ok || reply.storeRevision < processedRevision) {
        scheduleRetry(now);
        return;
    }
    backoff.reset();
    needsFullRead = false;
    processedRevision = reply.storeRevision;
    lastUpdateAt = now.mono;
    sendNextRequest();
    changed(reply.entries, true, now);
}

void KeyWatcher::Impl::onWatchReply(const KvReply &reply, Now now)
{
    if (reply.status == KvStatus::Ok) {
        isEstablished = true;
        backoff.reset();
        lastUpdateAt = now.mono;
        std::vector<KvEntry> newEntries;
        for (const auto &entry : reply.entries) {
            if (entry.modRevision > processedRevision) {
                newEntries.push_back(entry);
            }
        }
        processedRevision = std::max(processedRevision, reply.isEvent ? reply.storeRevision : processedRevision);
        for (const auto &entry : newEntries) {
            processedRevision = std::max(processedRevision, entry.modRevision);
        }
        if (!newEntries.empty()) {
            changed(newEntries, false, now);
        }
        return;
    }
    activeWatch = {};
    isEstablished = false;
    needsFullRead = needsFullRead || reply.status == KvStatus::Compacted;
    scheduleRetry(now);
}

void KeyWatcher::start(Now)
{
    impl_->sendNextRequest();
}

void KeyWatcher::stop()
{
    impl_->init.timers->cancel(impl_->retryTimer);
    impl_->pendingRead = {};
    impl_->needsFullRead = true;
    impl_->isEstablished = false;
    if (!impl_->activeWatch) {
        return;
    }
    KvRequest request;
    request.op = KvOp::WatchCancel;
    request.id = std::exchange(impl_->activeWatch, {});
    impl_->submit(std::move(request));
}

bool KeyWatcher::onReply(const KvReply &reply, Now now)
{
    if (impl_->pendingRead && reply.id == impl_->pendingRead) {
        impl_->onReadReply(reply, now);
        return true;
    }
    if (impl_->activeWatch && reply.id == impl_->activeWatch) {
        impl_->onWatchReply(reply, now);
        return true;
    }
    return false;
}

std::optional<TimePoint> KeyWatcher::lastUpdateAt() const
{
    return impl_->lastUpdateAt;
}

bool KeyWatcher::isWatching() const
{
    return impl_->isEstablished;
}

} // namespace anvilscale

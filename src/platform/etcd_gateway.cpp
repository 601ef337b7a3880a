// Key-value adapter: dispatches requests to its lanes and owns the watches.
#include "etcd_lane.h"
#include "etcd_watch.h"

#include "anvilscale/platform.h"

#include <algorithm>
#include <list>

namespace anvilscale {

static_assert(KeyValueService<EtcdGateway>);

namespace {
constexpr std::size_t leaseThreadCount = 1;
constexpr std::size_t requestThreadCount = 2;
// Each watch has a thread. A process needs one for the configuration and one for each slot table.
constexpr std::size_t maxWatches = 16;
} // namespace

struct EtcdGateway::Impl
{
    Impl(Init init, std::function<void(KvReply)> reply)
        : shared(std::move(init), std::move(reply))
        , leaseLane(shared, leaseThreadCount)
        , requestLane(shared, requestThreadCount)
    {
    }

    void rejectRequest(const KvRequest &request)
    {
        shared.count(&KvStats::queueFull);
        shared.sendReply(request.op, {.id = request.id, .status = KvStatus::Unavailable});
    }

    void addWatch(KvRequest request)
    {
        {
            const std::scoped_lock lock(mutex);
            watches.remove_if([](const auto &watch) { return watch->isFinished(); });
            if (watches.size() < maxWatches && !shared.isStopping()) {
                watches.push_back(std::make_unique<EtcdWatch>(shared, std::move(request)));
                return;
            }
        }
        rejectRequest(request);
    }

    // Does not join the thread: submit() must return at once and may be called from the watch's own callback.
    void cancelWatch(const KvRequest &request)
    {
        {
            const std::scoped_lock lock(mutex);
            for (auto &watch : watches) {
                if (watch->id() == request.id) {
                    watch->requestStop();
                }
            }
        }
        shared.sendReply(request.op, {.id = request.id});
    }

    GatewayShared shared;
    EtcdLane leaseLane;
    EtcdLane requestLane;
    std::mutex mutex; // guards watches
    std::list<std::unique_ptr<EtcdWatch>> watches;
};

EtcdGateway::EtcdGateway(Init init, std::function<void(KvReply)> reply)
    : impl_(std::make_unique<Impl>(std::move(init), std::move(reply)))
{
}

EtcdGateway::~EtcdGateway()
{
    shutdown();
}

void EtcdGateway::submit(KvRequest request)
{
    switch (request.op) {
    case KvOp::Watch:
        impl_->addWatch(std::move(request));
        return;
    case KvOp::WatchCancel:
        impl_->cancelWatch(request);
        return;
    default:
        break;
    }
    const bool isLease = request.op == KvOp::LeaseKeepAlive || request.op == KvOp::LeaseRevoke;
    auto &lane = isLease ? impl_->leaseLane : impl_->requestLane;
    if (!lane.push(request)) {
        impl_->rejectRequest(request);
    }
}

void EtcdGateway::shutdown()
{
    impl_->shared.stop();
    std::list<std::unique_ptr<EtcdWatch>> watches;
    {
        const std::scoped_lock lock(impl_->mutex);
        watches.swap(impl_->watches);
    }
    for (auto &watch : watches) {
        watch->stop();
    }
    impl_->leaseLane.stop();
    impl_->requestLane.stop();
}

EtcdGateway::Stats EtcdGateway::stats() const
{
    return impl_->shared.stats();
}

} // namespace anvilscale

// The key-value adapter: hands requests to its lanes and keeps the watches.
#include "etcd_lane.h"
#include "etcd_watch.h"

#include "anvilscale/platform.h"

#include <algorithm>
#include <list>

namespace anvilscale {

static_assert(KeyValueService<EtcdGateway>);

namespace {
constexpr std::size_t leaseThreads = 1;
constexpr std::size_t otherThreads = 2;
// A process needs a watch for the configuration and one for each slot table; each has a thread.
constexpr std::size_t watchLimit = 16;
} // namespace

struct EtcdGateway::Impl
{
    Impl(Init init, std::function<void(KvReply)> reply)
        : shared(std::move(init), std::move(reply))
        , leases(shared, leaseThreads)
        , others(shared, otherThreads)
    {
    }

    void refuse(const KvRequest &request)
    {
        shared.count(&KvStats::queueFull);
        shared.answer(request.op, {.id = request.id, .status = KvStatus::Unavailable});
    }

    void watch(KvRequest request)
    {
        {
            const std::scoped_lock lock(mutex);
            watches.remove_if([](const auto &old) { return old->finished(); });
            if (watches.size() < watchLimit && !shared.stopping()) {
                watches.push_back(std::make_unique<EtcdWatch>(shared, std::move(request)));
                return;
            }
        }
        refuse(request);
    }

    // The thread is not waited for: submit() must return at once, and it may be called from the watch's own callback.
    void cancel(const KvRequest &request)
    {
        {
            const std::scoped_lock lock(mutex);
            for (auto &watch : watches) {
                if (watch->id() == request.id) {
                    watch->requestStop();
                }
            }
        }
        shared.answer(request.op, {.id = request.id});
    }

    GatewayShared shared;
    EtcdLane leases;
    EtcdLane others;
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
        impl_->watch(std::move(request));
        return;
    case KvOp::WatchCancel:
        impl_->cancel(request);
        return;
    default:
        break;
    }
    const bool lease = request.op == KvOp::LeaseKeepAlive || request.op == KvOp::LeaseRevoke;
    auto &lane = lease ? impl_->leases : impl_->others;
    if (!lane.push(request)) {
        impl_->refuse(request);
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
    impl_->leases.stop();
    impl_->others.stop();
}

EtcdGateway::Stats EtcdGateway::stats() const
{
    return impl_->shared.stats();
}

} // namespace anvilscale

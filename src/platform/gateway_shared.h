// State shared by the lanes and watches of one gateway: endpoints, call budget, counters and the reply callback.
#pragma once

#include "call_budget.h"

#include "anvilscale/platform.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace anvilscale {

class GatewayShared
{
public:
    GatewayShared(EtcdGateway::Init init, std::function<void(KvReply)> reply)
        : init_(std::move(init))
        , reply_(std::move(reply))
        , budget_(init_.callBudget)
    {
    }

    const EtcdGateway::Init &init() const
    {
        return init_;
    }
    const std::string &endpoint(std::size_t index) const
    {
        return init_.endpoints[index % init_.endpoints.size()];
    }

    /// Consumes one call of the budget; false if the budget is exhausted.
    bool tryTakeCall(KvOp op)
    {
        const std::scoped_lock lock(mutex_);
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        if (!budget_.tryConsume(op, TimePoint(std::chrono::duration_cast<Duration>(now)))) {
            ++stats_.overBudget;
            return false;
        }
        stats_.calls.add(op);
        return true;
    }

    void sendReply(KvOp op, KvReply reply)
    {
        {
            const std::scoped_lock lock(mutex_);
            if (!reply.isEvent) {
                stats_.replies[static_cast<std::size_t>(op)].add(reply.status);
            }
        }
        if (!isStopping_) {
            reply_(std::move(reply));
        }
    }

    void count(std::uint64_t KvStats::*member)
    {
        const std::scoped_lock lock(mutex_);
        ++(stats_.*member);
    }
    KvStats stats() const
    {
        const std::scoped_lock lock(mutex_);
        return stats_;
    }

    void stop()
    {
        isStopping_ = true;
        const std::scoped_lock lock(mutex_);
        wake_.notify_all();
    }
    bool isStopping() const
    {
        return isStopping_;
    }
    /// Sleeps for `duration`; returns early on stop().
    void sleepFor(Duration duration)
    {
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, duration, [this] { return isStopping_.load(); });
    }

private:
    const EtcdGateway::Init init_;
    const std::function<void(KvReply)> reply_;
    std::atomic<bool> isStopping_ = false;
    mutable std::mutex mutex_; // guards budget_ and stats_
    std::condition_variable wake_;
    CallBudget budget_;
    KvStats stats_;
};

} // namespace anvilscale

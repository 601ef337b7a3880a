// What the workers and watches of one gateway share: endpoints, budget, counters and the way back.
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

    /// Counts one call to the service, or says that the budget is spent.
    bool takeCall(KvOp op)
    {
        const std::scoped_lock lock(mutex_);
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        if (!budget_.take(op, TimePoint(std::chrono::duration_cast<Duration>(now)))) {
            ++stats_.overBudget;
            return false;
        }
        stats_.calls.add(op);
        return true;
    }

    void answer(KvOp op, KvReply reply)
    {
        {
            const std::scoped_lock lock(mutex_);
            if (!reply.event) {
                stats_.replies[static_cast<std::size_t>(op)].add(reply.status);
            }
        }
        if (!stopping_) {
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
        stopping_ = true;
        const std::scoped_lock lock(mutex_);
        wake_.notify_all();
    }
    bool stopping() const
    {
        return stopping_;
    }
    /// Sleeps, but not through a stop.
    void pause(Duration span)
    {
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, span, [this] { return stopping_.load(); });
    }

private:
    const EtcdGateway::Init init_;
    const std::function<void(KvReply)> reply_;
    std::atomic<bool> stopping_ = false;
    mutable std::mutex mutex_; // guards budget_ and stats_
    std::condition_variable wake_;
    CallBudget budget_;
    KvStats stats_;
};

} // namespace anvilscale

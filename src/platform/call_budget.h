// Token bucket for calls to the key-value service. Prevents a looping process from using up the call rate that all
// processes share.
#pragma once

#include "anvilscale/platform.h"

#include <algorithm>

namespace anvilscale {

class CallBudget
{
public:
    explicit CallBudget(double callsPerSecond)
        : callsPerSecond_(callsPerSecond)
        , capacity_(std::max(callsPerSecond, minCapacity))
        , tokens_(capacity_)
    {
    }

    /// Consumes one call at `now`; false if none is left. A fifth of the bucket is reserved for lease keep-alives and
    /// revocations, so that a burst of reads cannot let the process's own leases expire.
    bool tryConsume(KvOp op, TimePoint now)
    {
        refill(now);
        const bool isLease = op == KvOp::LeaseKeepAlive || op == KvOp::LeaseRevoke;
        const double minRemaining = isLease ? 0.0 : capacity_ * reservedLeaseShare;
        if (tokens_ - 1.0 < minRemaining) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    static constexpr double minCapacity = 5.0;
    static constexpr double reservedLeaseShare = 0.2;

    void refill(TimePoint now)
    {
        const double elapsedSeconds = std::chrono::duration<double>(now - lastRefillAt_).count();
        if (elapsedSeconds > 0.0) {
            tokens_ = std::min(capacity_, tokens_ + elapsedSeconds * callsPerSecond_);
            lastRefillAt_ = now;
        }
    }

    double callsPerSecond_;
    double capacity_;
    double tokens_; // invariant: 0 <= tokens_ <= capacity_
    TimePoint lastRefillAt_{};
};

} // namespace anvilscale

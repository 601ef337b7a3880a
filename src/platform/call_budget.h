// Token bucket over the calls to the key-value service. The service counts each call of the whole fleet; a process
// that loops must not take the others' share.
#pragma once

#include "anvilscale/platform.h"

#include <algorithm>

namespace anvilscale {

class CallBudget
{
public:
    explicit CallBudget(double rate)
        : rate_(rate)
        , size_(std::max(rate, minimumSize))
        , tokens_(size_)
    {
    }

    /// Takes one call at `now`, if there is one left. A fifth is kept for leases: if reads could spend it, a burst of
    /// them would let the process's own leases lapse.
    bool take(KvOp op, TimePoint now)
    {
        refill(now);
        const bool lease = op == KvOp::LeaseKeepAlive || op == KvOp::LeaseRevoke;
        const double floor = lease ? 0.0 : size_ * leaseShare;
        if (tokens_ - 1.0 < floor) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    static constexpr double minimumSize = 5.0;
    static constexpr double leaseShare = 0.2;

    void refill(TimePoint now)
    {
        const double seconds = std::chrono::duration<double>(now - last_).count();
        if (seconds > 0.0) {
            tokens_ = std::min(size_, tokens_ + seconds * rate_);
            last_ = now;
        }
    }

    double rate_;
    double size_;
    double tokens_; // invariant: 0 <= tokens_ <= size_
    TimePoint last_{};
};

} // namespace anvilscale

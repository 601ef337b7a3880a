// Request ids and backoff for the key-value service.
#pragma once

#include "anvilscale/base.h"

#include <algorithm>

namespace anvilscale {

/// Generates request ids that are unique within a process: the upper half is a hash of the component's name.
class KvRequestIds
{
public:
    explicit KvRequestIds(std::string_view component)
        : upperBits_(hash64(component) << 32)
    {
    }
    KvHandle next()
    {
        return KvHandle{upperBits_ | ++last_};
    }

private:
    std::uint64_t upperBits_;
    std::uint32_t last_ = 0;
};

/// Exponential backoff with jitter. Spreads the retries of many processes after an outage, which could otherwise
/// overload the service again.
class Backoff
{
public:
    Backoff(Duration initialWait, Duration maxWait)
        : initialWait_(initialWait)
        , maxWait_(maxWait)
        , wait_(initialWait)
    {
    }
    Duration next(Random &random)
    {
        const Duration wait = random.jitter(wait_ * 2);
        wait_ = std::min(wait_ * 2, maxWait_);
        return wait;
    }
    void reset()
    {
        wait_ = initialWait_;
    }

private:
    Duration initialWait_;
    Duration maxWait_;
    Duration wait_;
};

} // namespace anvilscale

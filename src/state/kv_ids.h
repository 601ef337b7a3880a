// Request ids and backoff for the key-value service.
#pragma once

#include "anvilscale/base.h"

#include <algorithm>

namespace anvilscale {

/// Generates request ids that are unique within a process: the upper half is a hash of the component's name.
class KvIds
{
public:
    explicit KvIds(std::string_view part)
        : upper_(hash64(part) << 32)
    {
    }
    KvHandle next()
    {
        return KvHandle{upper_ | ++last_};
    }

private:
    std::uint64_t upper_;
    std::uint32_t last_ = 0;
};

/// Exponential backoff with jitter. Spreads the retries of many processes after an outage, which could otherwise
/// overload the service again.
class Backoff
{
public:
    Backoff(Duration first, Duration longest)
        : first_(first)
        , longest_(longest)
        , wait_(first)
    {
    }
    Duration next(Random &random)
    {
        const Duration wait = random.jitter(wait_ * 2);
        wait_ = std::min(wait_ * 2, longest_);
        return wait;
    }
    void reset()
    {
        wait_ = first_;
    }

private:
    Duration first_;
    Duration longest_;
    Duration wait_;
};

} // namespace anvilscale

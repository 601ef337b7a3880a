// Numbers of requests to the key-value service, and the waits between them.
#pragma once

#include "anvilscale/base.h"

#include <algorithm>

namespace anvilscale {

/// Numbers that two parts of a process do not share: the upper half comes from the part's name.
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

/// Waits that double up to a limit, with jitter: after an outage the processes come back spread over the limit
/// instead of all at once, which would take the service down again.
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

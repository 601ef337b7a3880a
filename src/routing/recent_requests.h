// Recently sent idempotency keys of an entry and the sidecars they were sent to.
#pragma once

#include "fleet_view.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace anvilscale {

/// Detects repeated keys, so that a repeat after a timeout is sent to the same sidecar and can attach to its execution.
class RecentRequests
{
public:
    struct SentRequest
    {
        SidecarIndex sidecar = 0;
        TimePoint lastSeenAt; ///< last time a call with this key was sent or ended
    };
    /// Records that a call with the key was sent to the sidecar or ended there. Ignores an empty key.
    void record(const std::string &key, SidecarIndex sidecar, TimePoint now);
    /// Returns the last sidecar of the key, or nothing if the key is empty, unknown or expired.
    std::optional<SentRequest> find(const std::string &key, TimePoint now);

private:
    void removeExpired(TimePoint now);

    // By key hash. On a collision a new call counts as a repeat: it may be rerouted or use the retry budget.
    std::unordered_map<std::uint64_t, SentRequest> sentRequests_;
    // Time and key hash of each recorded request, oldest first.
    std::deque<std::pair<TimePoint, std::uint64_t>> expiryOrder_;
};

} // namespace anvilscale

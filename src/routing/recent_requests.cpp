// Recently sent idempotency keys, bounded by age and count.
#include "recent_requests.h"

namespace anvilscale {

namespace {

// Client libraries retry within seconds. A later repeat is handled as a new call.
constexpr Duration retention = Seconds(60);
constexpr std::size_t maxRecords = 16384;

} // namespace

void RecentRequests::removeExpired(TimePoint now)
{
    while (!expiryOrder_.empty()
           && (expiryOrder_.size() > maxRecords || expiryOrder_.front().first + retention <= now)) {
        const auto position = sentRequests_.find(expiryOrder_.front().second);
        if (position != sentRequests_.end() && position->second.lastSeenAt <= expiryOrder_.front().first) {
            sentRequests_.erase(position);
        }
        expiryOrder_.pop_front();
    }
}

void RecentRequests::record(const std::string &key, SidecarIndex sidecar, TimePoint now)
{
    if (key.empty()) {
        return;
    }
    const auto hash = hash64(key);
    sentRequests_[hash] = SentRequest{sidecar, now};
    expiryOrder_.emplace_back(now, hash);
    removeExpired(now);
}

std::optional<RecentRequests::SentRequest> RecentRequests::find(const std::string &key, TimePoint now)
{
    if (key.empty()) {
        return std::nullopt;
    }
    removeExpired(now);
    const auto position = sentRequests_.find(hash64(key));
    return position == sentRequests_.end() ? std::nullopt : std::optional(position->second);
}

} // namespace anvilscale

// Origins of streams at a sidecar.
#include "anvilscale/direct.h"

namespace anvilscale {

namespace {

// Streams of a minute from a thousand calls per second; bounds the memory to some 20 MB.
constexpr std::size_t maxOrigins = 1U << 16;
constexpr Duration maxLifetime = Seconds(60);
constexpr Duration sweepInterval = Seconds(1);

} // namespace

void OriginTable::onReport(const wire::OriginReport &report, TimePoint now)
{
    tick(now);
    for (const auto &item : report.origins()) {
        ++stats_.reported;
        const auto lifetime = std::min<Duration>(std::chrono::microseconds(item.valid_us()), maxLifetime);
        const auto known = origins_.find(item.request());
        const bool exceedsLimit = origins_.size() >= maxOrigins || item.request().size() > maxOriginIdBytes;
        if (known == origins_.end() && exceedsLimit) {
            ++stats_.dropped;
            continue;
        }
        // The first report counts: a call has one origin only. Several streams may have the same content.
        auto &kept = known != origins_.end()
                         ? known->second
                         : origins_[item.request()] = {{item.service(), item.software_version()}, TimePoint{}};
        if (isStreamContentKey(item.request())
            && kept.origin != StreamOrigin{item.service(), item.software_version()}) {
            kept.origin = StreamOrigin{};
        }
        kept.validUntil = std::max(kept.validUntil, now + lifetime);
    }
    stats_.streams = origins_.size();
}

wire::OriginAnswer OriginTable::answer(const wire::OriginAsk &ask, TimePoint now)
{
    wire::OriginAnswer answer;
    answer.set_lookup(ask.lookup());
    const auto found = origins_.find(ask.request());
    if (found == origins_.end() || found->second.validUntil <= now) {
        ++stats_.unknown;
        return answer;
    }
    ++stats_.told;
    answer.set_known(true);
    answer.set_service(found->second.origin.service);
    answer.set_software_version(found->second.origin.softwareVersion);
    return answer;
}

void OriginTable::tick(TimePoint now)
{
    if (now < nextSweepAt_) {
        return;
    }
    nextSweepAt_ = now + sweepInterval;
    std::erase_if(origins_, [now](const auto &item) { return item.second.validUntil <= now; });
    stats_.streams = origins_.size();
}

const OriginTableStats &OriginTable::stats() const
{
    return stats_;
}

} // namespace anvilscale

// Selects the sidecar that watches the platform's store for all entries.
#include "direct_calls_impl.h"

namespace anvilscale {

namespace {

// Fewer entries watch the store themselves, where sharing saves little.
constexpr std::uint32_t leastEntries = 8;
// Longer than a usual store outage for a single VM.
constexpr Duration avoidance = Seconds(10);

} // namespace

std::string DirectCalls::storeSharer(TimePoint now) const
{
    const EndpointEntry *best = nullptr;
    for (const auto &[id, entry] : impl_->endpoints.all()) {
        const bool shares = entry.stateFresh(now) && !entry.sidecarSilent(impl_->endpoints.lastHeard())
                            && entry.state->shares_store() && entry.state->entries() >= leastEntries;
        const auto failed = impl_->failedSharers.find(entry.record.address);
        const bool avoided = failed != impl_->failedSharers.end() && now < failed->second;
        if (!shares || avoided || entry.superseded || entry.leaves(now)) {
            continue;
        }
        if (best == nullptr || hash64(entry.record.address) < hash64(best->record.address)) {
            best = &entry;
        }
    }
    return best == nullptr ? std::string() : best->record.address;
}

void DirectCalls::storeSharerFailed(const std::string &address, TimePoint now)
{
    std::erase_if(impl_->failedSharers, [now](const auto &item) { return item.second <= now; });
    impl_->failedSharers[address] = now + avoidance;
}

} // namespace anvilscale

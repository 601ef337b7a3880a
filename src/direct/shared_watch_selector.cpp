// Selects the sidecar that watches the platform's store for all entries.
#include "direct_calls_impl.h"

namespace anvilscale {

namespace {

// Fewer entries watch the store themselves, where sharing saves little.
constexpr std::uint32_t minEntries = 8;
// Longer than a usual store outage for a single VM.
constexpr Duration avoidanceTime = Seconds(10);

} // namespace

std::string DirectCalls::sharedWatchAddress(TimePoint now) const
{
    const EndpointEntry *best = nullptr;
    for (const auto &[id, entry] : impl_->endpoints.entries()) {
        const bool shares = entry.hasFreshState(now) && !entry.isSidecarSilent(impl_->endpoints.lastReceivedAt())
                            && entry.state->shares_store() && entry.state->entries() >= minEntries;
        const auto failed = impl_->avoidedWatchAddresses.find(entry.record.address);
        const bool avoided = failed != impl_->avoidedWatchAddresses.end() && now < failed->second;
        if (!shares || avoided || entry.isSuperseded || entry.isLeaving(now)) {
            continue;
        }
        if (best == nullptr || hash64(entry.record.address) < hash64(best->record.address)) {
            best = &entry;
        }
    }
    return best == nullptr ? std::string() : best->record.address;
}

void DirectCalls::onSharedWatchFailed(const std::string &address, TimePoint now)
{
    std::erase_if(impl_->avoidedWatchAddresses, [now](const auto &item) { return item.second <= now; });
    impl_->avoidedWatchAddresses[address] = now + avoidanceTime;
}

} // namespace anvilscale

// Selects the sidecar that watches the platform's store for all entries.
#include "direct_calls_impl.h"
#include "sidecar_selection.h"

namespace anvilscale {

namespace {

// Fewer entries watch the store themselves, where sharing saves little.
constexpr std::uint32_t minEntries = 8;
// Longer than a usual store outage for a single VM.
constexpr Duration avoidanceTime = Seconds(10);
constexpr std::uint64_t selectionSeed = 0;

} // namespace

std::string DirectCalls::sharedWatchAddress(TimePoint now) const
{
    const auto select = [&](bool nearOnly) {
        const auto sharesStore = [&](const EndpointEntry &entry) {
            const bool isNear = entry.record.dataCentre == impl_->init.dataCentre;
            return entry.state->shares_store() && entry.state->entries() >= minEntries && (isNear || !nearOnly);
        };
        return selectSidecar(impl_->endpoints, selectionSeed, impl_->avoidedWatchAddresses, now, sharesStore);
    };
    // Entries that listen to different engines agree on those of their data centre only.
    const auto nearAddress = impl_->listensToAll ? std::string() : select(true);
    return nearAddress.empty() ? select(false) : nearAddress;
}

void DirectCalls::onSharedWatchFailed(const std::string &address, TimePoint now)
{
    std::erase_if(impl_->avoidedWatchAddresses, [now](const auto &item) { return item.second <= now; });
    impl_->avoidedWatchAddresses[address] = now + avoidanceTime;
}

} // namespace anvilscale

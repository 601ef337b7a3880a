// Which sidecar asks the platform's store for this entry and the others.
#include "direct_calls_impl.h"

namespace anvilscale {

namespace {

// Fewer entries ask the store themselves: sharing would save next to nothing.
constexpr std::uint32_t leastEntries = 8;
// Longer than an outage of the store usually lasts for a VM that it turns away.
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

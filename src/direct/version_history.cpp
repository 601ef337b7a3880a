// Software versions that have served lately.
#include "version_history.h"

namespace anvilscale {

void VersionHistory::onStoreRead(TimePoint now)
{
    knownSince_ = knownSince_.value_or(now);
}

void VersionHistory::onVersionEnded(const EndpointRecord &record, TimePoint now)
{
    endedAt_[record.service][record.softwareVersion] = now;
}

Duration VersionHistory::knownFor(TimePoint now) const
{
    return knownSince_ ? now - *knownSince_ : Duration(0);
}

std::optional<std::string> VersionHistory::soleVersion(const std::string &service, const EndpointTable &endpoints,
                                                       Duration span, TimePoint now) const
{
    if (!knownSince_ || now - *knownSince_ < span) {
        return std::nullopt;
    }
    std::set<std::string> versions;
    for (const auto &[id, entry] : endpoints.entries()) {
        if (entry.record.service == service) {
            versions.insert(entry.record.softwareVersion);
        }
    }
    const auto ended = endedAt_.find(service);
    if (ended != endedAt_.end()) {
        for (const auto &[version, time] : ended->second) {
            if (now - time < span) {
                versions.insert(version);
            }
        }
    }
    return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

} // namespace anvilscale

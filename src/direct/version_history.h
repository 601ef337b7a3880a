// Software versions that have served lately, by service, as one entry knows them from the store.
#pragma once

#include "endpoint_table.h"

namespace anvilscale {

class VersionHistory
{
public:
    /// All records of the store have been read; counts once.
    void onStoreRead(TimePoint now);
    /// An endpoint was removed, or runs another version from now on.
    void onVersionEnded(const EndpointRecord &record, TimePoint now);
    /// Time since the store was read; 0 before that.
    Duration knownFor(TimePoint now) const;
    /// The only version that endpoints of the service have run for `span`; empty if there were several, or if this
    /// entry has not known the store for so long.
    std::optional<std::string> soleVersion(const std::string &service, const EndpointTable &endpoints, Duration span,
                                           TimePoint now) const;

private:
    std::optional<TimePoint> knownSince_;
    std::map<std::string, std::map<std::string, TimePoint>> endedAt_; // last end of each version, by service
};

} // namespace anvilscale

// Software versions that have served lately, by service, as one entry knows them from the store.
#pragma once

#include "endpoint_table.h"

namespace anvilscale {

/// The store has a record of each version from its first endpoint until a while after its last one, so that an entry
/// that has just started knows versions that ended before.
class VersionHistory
{
public:
    /// `entryName`: selects the time at which this entry writes a record that all entries miss.
    explicit VersionHistory(const std::string &entryName);
    /// All records are read again from the store. Versions may have come and gone since its last answer.
    void onReadStarted();
    /// All changes of the store up to now have been applied.
    void onStoreCurrent(TimePoint now);
    void applyRecord(const SoftwareVersionRecord &record, TimePoint now);
    /// An endpoint was removed, or runs another version from now on.
    void onVersionEnded(const EndpointRecord &record, TimePoint now);
    /// A process of the service has ended whose version never became known.
    void onUnknownVersionEnded(const std::string &service, TimePoint now);
    /// False until the store has been read, and while it is read again.
    bool isKnown() const;
    /// Time since which all changes of the store have been known; 0 before that.
    Duration knownFor(TimePoint now) const;
    /// The only version that endpoints of the service have run for maxStreamAge. Empty if there were several, or if
    /// neither this entry nor the store's records reach back for so long.
    std::optional<std::string> soleVersion(const std::string &service, const EndpointTable &endpoints,
                                           TimePoint now) const;
    /// Records to write or remove now. `entries`: number of entries that may write the same ones.
    std::vector<SoftwareVersionWrite> takeWrites(const std::set<std::string> &services, const EndpointTable &endpoints,
                                                 std::uint32_t entries, TimePoint now);

private:
    using VersionName = std::pair<std::string, std::string>; // service and version
    /// True once per attempt: after a delay that differs between entries, and again if the write has had no effect.
    bool isDue(const VersionName &name, std::uint32_t entries, TimePoint now);

    std::uint64_t seed_;
    std::optional<TimePoint> knownSince_; // empty during a read of all records
    std::set<std::string> recordedServices_; // with a record when all records were last read
    std::map<VersionName, SoftwareVersionRecord> records_;
    std::map<std::string, std::map<std::string, TimePoint>> servedUntil_; // of versions, by service; not before that
    std::map<VersionName, TimePoint> pendingWrites_; // and when each is due
};

/// Upper bound on the time from the last record of a version to a call that resumes one of its streams: no caller waits
/// longer than 60 s, and other entries see the end of a version some seconds later.
constexpr Duration maxStreamAge = Seconds(65);

} // namespace anvilscale

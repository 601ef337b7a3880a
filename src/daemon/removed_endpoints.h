// Endpoints removed before the store was restored from a backup that may still contain their records.
#pragma once

#include "anvilscale/direct.h"

#include <map>
#include <optional>
#include <set>

namespace anvilscale {

/// Prevents calls to endpoints that exited and reappear through a restored record: such a record expires again some
/// seconds later. It is accepted once the endpoint has written it in the new era, or after withholdTime.
class RemovedEndpoints
{
public:
    void add(const std::string &id, std::uint64_t era, TimePoint now)
    {
        withheld_.erase(id);
        std::erase_if(removals_, [this, now](const auto &item) {
            return now - item.second.removedAt >= removalRetention && withheld_.count(item.first) == 0;
        });
        removals_[id] = {era, now};
    }
    /// Withholds a record that may be outdated. Returns whether it is withheld, in which case takeDue() returns it
    /// later.
    bool withhold(const EndpointRecord &record, TimePoint now)
    {
        const auto found = removals_.find(record.id);
        if (found == removals_.end()) {
            return false;
        }
        const auto withheld = withheld_.find(record.id);
        const bool isWithheld = withheld != withheld_.end() && withheld->second.record.era == record.era;
        const bool isRewritten = isWithheld && record.revision > withheld->second.record.revision;
        if (found->second.era >= record.era || isRewritten) {
            discard(record.id);
            return false;
        }
        if (!isWithheld) {
            withheld_[record.id] = {record, now + withholdTime};
        }
        return true;
    }
    /// Discards withheld records of endpoints other than these, after a full read of the store.
    void retainOnly(const std::set<std::string> &ids)
    {
        std::erase_if(withheld_, [&ids](const auto &item) { return ids.count(item.first) == 0; });
    }
    /// Discards the withheld record of an endpoint that was removed again.
    void dropWithheld(const std::string &id)
    {
        withheld_.erase(id);
    }
    /// Returns the records that need not be withheld any longer, and discards their state.
    std::vector<EndpointRecord> takeDue(TimePoint now)
    {
        std::vector<EndpointRecord> due;
        for (const auto &[id, withheld] : withheld_) {
            if (withheld.due <= now) {
                due.push_back(withheld.record);
            }
        }
        for (const auto &record : due) {
            discard(record.id);
        }
        return due;
    }
    std::optional<TimePoint> nextDue() const
    {
        std::optional<TimePoint> next;
        for (const auto &[id, withheld] : withheld_) {
            next = next ? std::min(*next, withheld.due) : withheld.due;
        }
        return next;
    }

private:
    // Longer than three store heartbeats of an endpoint, after which its record has expired.
    static constexpr Duration withholdTime = Seconds(4);
    // Longer than the age of a backup.
    static constexpr Duration removalRetention = Seconds(60);

    struct Removal
    {
        std::uint64_t era = 0; // era of the store at the removal
        TimePoint removedAt;
    };
    struct Withheld
    {
        EndpointRecord record;
        TimePoint due;
    };

    void discard(const std::string &id)
    {
        withheld_.erase(id);
        removals_.erase(id);
    }

    std::map<std::string, Removal> removals_;
    std::map<std::string, Withheld> withheld_; // invariant: the keys are a subset of those of removals_
};

} // namespace anvilscale

// An entry's store watch under a virtual clock, for tests of the delay of endpoint removals.
#pragma once

#include "daemon/direct_settings.h"
#include "support/virtual_store.h"

#include "anvilscale/settings.h"

#include <gtest/gtest.h>

namespace anvilscale::test {

inline settings::Settings entrySettings(std::uint32_t leaveMs)
{
    const auto text = std::to_string(leaveMs);
    const auto result = parseSettings(R"({"role":"direct-entry","name":"e1","dataCentre":"dc","region":"r",)"
                                      R"("direct":{"store":"http://127.0.0.1:1","leaveMs":)"
                                      + text + R"(,"configMs":)" + text + "}}");
    EXPECT_TRUE(result);
    return *result;
}

/// An entry's store watch, created from settings, with a record of what it reported and when.
class WatchedStore
{
public:
    /// `prepare` configures the store before the entry starts.
    explicit WatchedStore(
        std::uint32_t leaveMs = 2000, std::uint64_t incarnation = 1,
        const std::function<void(VirtualLoop &)> &prepare = [](VirtualLoop &) {}, std::set<std::string> known = {})
        : maxDelay_(Milliseconds(leaveMs))
        , watcher_(loop, makeInit(leaveMs, incarnation, std::move(known)), handlers())
    {
        loop.change("a", false);
        loop.change("b", false);
        prepare(loop);
        watcher_.start();
        loop.run(Seconds(5));
    }

    VirtualLoop loop;
    /// Called with each reported record before it is recorded. May throw.
    std::function<void(const StoreRecord &)> beforeRecord;

    void contradictRecord()
    {
        watcher_.onRecordContradicted();
    }
    void confirm(std::uint64_t number)
    {
        watcher_.confirm(number);
    }
    /// How a confirmation ended.
    struct Confirmed
    {
        std::uint64_t number = 0;
        std::optional<StoreFailureKind> failure;
        std::set<std::string> presentIds; // when it was reported
    };
    std::vector<Confirmed> confirmed;
    /// How often the endpoint was reported as removed.
    std::size_t removals(const std::string &id) const
    {
        const auto found = removals_.find(id);
        return found == removals_.end() ? 0 : found->second;
    }
    /// Time at which the endpoint was first reported as removed or leaving.
    std::optional<TimePoint> removalTime(const std::string &id) const
    {
        const auto found = removedAt_.find(id);
        return found == removedAt_.end() ? std::nullopt : std::optional(found->second);
    }
    /// Delay from the store's acknowledgement to the report of the removal; nothing if it was not reported.
    std::optional<Duration> removalDelay(const std::string &id, TimePoint acknowledged) const
    {
        const auto removedAt = removalTime(id);
        return removedAt ? std::optional(*removedAt - acknowledged) : std::nullopt;
    }
    /// The removal was reported within maxDelay().
    bool isRemovedInTime(const std::string &id, TimePoint acknowledged) const
    {
        const auto delay = removalDelay(id, acknowledged);
        return delay && *delay <= maxDelay_;
    }
    /// Upper bound on the delay of a removal, from the settings.
    Duration maxDelay() const
    {
        return maxDelay_;
    }
    /// Endpoints that were reported and not removed since.
    const std::set<std::string> &presentIds() const
    {
        return presentIds_;
    }
    /// A report was older than the previous report of the same endpoint.
    bool hasRegressed() const
    {
        return hasRegressed_;
    }

private:
    static StoreWatcherInit makeInit(std::uint32_t leaveMs, std::uint64_t incarnation, std::set<std::string> known)
    {
        auto init = storeWatcherInit(entrySettings(leaveMs), NetAddress(), incarnation);
        init.knownEndpoints = std::move(known);
        return init;
    }

    StoreWatcherHandlers handlers()
    {
        StoreWatcherHandlers result;
        result.record = [this](const StoreRecord &record) {
            if (beforeRecord) {
                beforeRecord(record);
            }
            if (const auto *endpoint = std::get_if<EndpointRecord>(&record)) {
                hasRegressed_ = hasRegressed_ || endpoint->revision < lastRevisions_[endpoint->id];
                lastRevisions_[endpoint->id] = endpoint->revision;
                presentIds_.insert(endpoint->id);
                if (endpoint->leaving) {
                    removedAt_.emplace(endpoint->id, loop.now());
                }
            }
            if (const auto *removed = std::get_if<EndpointRemoved>(&record)) {
                hasRegressed_ = hasRegressed_ || removed->revision < lastRevisions_[removed->id];
                removedAt_.emplace(removed->id, loop.now());
                ++removals_[removed->id];
                presentIds_.erase(removed->id);
            }
        };
        result.complete = [] {};
        result.answered = [](Duration, bool) {};
        result.failed = [](const StoreFailure &) {};
        result.confirmed = [this](std::uint64_t number, std::optional<StoreFailureKind> failure) {
            confirmed.push_back({number, failure, presentIds_});
        };
        return result;
    }

    Duration maxDelay_;
    std::map<std::string, TimePoint> removedAt_;
    std::map<std::string, std::size_t> removals_;
    std::map<std::string, std::uint64_t> lastRevisions_; // last reported revisions, by endpoint
    std::set<std::string> presentIds_;
    bool hasRegressed_ = false;
    StoreWatcher<VirtualDialect, VirtualLoop, VirtualClient> watcher_;
};

inline std::string inMs(Duration span)
{
    return std::to_string(toMilliseconds(span)) + " ms";
}

} // namespace anvilscale::test

// Tests of SharedStoreWatch: calls to the store and delay of changes when the sidecar, the connection to it or the
// store fails. Virtual clock.
#include "daemon/shared_store_watch.h"
#include "support/virtual_store.h"

#include <gtest/gtest.h>

namespace anvilscale {
namespace {

using test::StoreCondition;
using test::VirtualClient;
using test::VirtualDialect;
using test::VirtualLoop;

const NetAddress storeAddress = NetAddress::parse("10.0.0.1:80").value();
constexpr Duration bound = Milliseconds(2000);
constexpr Duration messageLatency = Milliseconds(2); // between an entry and the sidecar
constexpr std::size_t fleetSize = 12;

class SharedWatchFleet
{
public:
    explicit SharedWatchFleet(std::string store = sidecarsStore, std::size_t entries = fleetSize, int endpoints = 0)
        : entriesStore(std::move(store))
        , sharedWatch_(loop, SharedStoreWatchInit{sidecarsStore, storeAddress, storeTimes(bound)},
                       [this](PeerHandle entry, const wire::StoreNews &update) { onUpdate(entry, update); })
    {
        loop.change("a", false);
        loop.change("b", false);
        for (int i = 0; i < endpoints; ++i) {
            loop.change("e" + std::to_string(i), false);
        }
        for (std::size_t i = 0; i < entries; ++i) {
            entries_.push_back(std::make_unique<Entry>());
            auto &entry = *entries_.back();
            StoreWatcherInit init;
            init.address = storeAddress;
            init.times = storeTimes(bound);
            init.seed = i + 1;
            entry.watcher = std::make_unique<Watcher>(loop, init, handlersOf(i));
            loop.at(loop.now() + Milliseconds(37 * static_cast<int>(i)), [&entry] { entry.watcher->start(); });
        }
        loop.run(Seconds(5));
    }

    static inline const std::string sidecarsStore = "http://10.0.0.1:80";

    VirtualLoop loop;
    std::string entriesStore; ///< URL of the store in the settings of the entries
    bool isSidecarSilent = false; ///< does not answer requests
    bool isSidecarSelected = true; ///< entries send their requests to it

    /// Longest time until an entry knew that the endpoint leaves; `unknown` if one never did.
    Duration longestLateness(const std::string &id, TimePoint since) const
    {
        Duration longest{};
        for (const auto &entry : entries_) {
            const auto leavingAt = entry->leavingSince.find(id);
            longest = std::max(longest, leavingAt == entry->leavingSince.end() ? unknown : leavingAt->second - since);
        }
        return longest;
    }
    std::size_t reportCount(const std::string &id) const
    {
        std::size_t sum = 0;
        for (const auto &entry : entries_) {
            const auto count = entry->reportCounts.find(id);
            sum += count == entry->reportCounts.end() ? 0 : count->second;
        }
        return sum;
    }

    static constexpr Duration unknown = Seconds(100);

private:
    using Watcher = StoreWatcher<VirtualDialect, VirtualLoop, VirtualClient>;
    struct Entry
    {
        std::unique_ptr<Watcher> watcher;
        std::map<std::string, TimePoint> leavingSince;
        std::map<std::string, std::size_t> reportCounts;
    };

    StoreWatcherHandlers handlersOf(std::size_t index)
    {
        StoreWatcherHandlers handlers;
        handlers.record = [this, index](const StoreRecord &record) {
            auto &entry = *entries_[index];
            if (const auto *endpoint = std::get_if<EndpointRecord>(&record)) {
                ++entry.reportCounts[endpoint->id];
                if (endpoint->leaving) {
                    entry.leavingSince.emplace(endpoint->id, loop.now());
                }
            }
            if (const auto *removed = std::get_if<EndpointRemoved>(&record)) {
                entry.leavingSince.emplace(removed->id, loop.now());
            }
        };
        handlers.complete = [] {};
        handlers.answered = [](Duration, bool) {};
        handlers.failed = [](const StoreFailure &) {};
        handlers.requestSharedWatch = [this, index](std::uint64_t call, StorePosition after, Duration wait) {
            if (!isSidecarSelected) {
                return false;
            }
            loop.at(loop.now() + messageLatency, [this, index, call, after, wait] {
                if (!isSidecarSilent) {
                    sharedWatch_.addRequest({PeerHandle{index + 1}, entriesStore, call, after, wait});
                }
            });
            return true;
        };
        handlers.sharedWatchFailed = [this] { isSidecarSelected = false; };
        return handlers;
    }

    void onUpdate(PeerHandle entry, const wire::StoreNews &update)
    {
        loop.at(loop.now() + messageLatency, [this, entry, update] {
            std::optional<std::string> body;
            if (update.answered()) {
                body = VirtualDialect::joinWatch(update.revision(), {update.items().begin(), update.items().end()});
            }
            if (!isSidecarSilent) {
                entries_[entry.value - 1]->watcher->onSharedWatchAnswer(update.call(), update.era(), body);
            }
        });
    }

    std::vector<std::unique_ptr<Entry>> entries_;
    SharedStoreWatch<VirtualDialect, VirtualLoop, VirtualClient> sharedWatch_;
};

TEST(SharedStoreWatch, OneCallToTheStoreServesAllEntries)
{
    SharedWatchFleet fleet;
    const auto before = fleet.loop.calls;
    fleet.loop.run(Seconds(20));
    const auto perBound = static_cast<double>(fleet.loop.calls - before) / (Seconds(20) / bound);
    EXPECT_LE(perBound, 4.0) << "one call per quarter of the bound";
}

TEST(SharedStoreWatch, ReportsToAllEntriesInTime)
{
    for (Duration phase{}; phase < Seconds(2); phase += Milliseconds(90)) {
        SharedWatchFleet fleet;
        fleet.loop.run(phase);
        const auto since = fleet.loop.now();
        fleet.loop.change("a", true);
        fleet.loop.run(Seconds(5));
        EXPECT_LE(fleet.longestLateness("a", since), bound / 2) << "phase " << toMilliseconds(phase) << " ms";
    }
}

// Guards against late changes when the sidecar stops answering at any moment around the change.
TEST(SharedStoreWatch, EntriesCallTheStoreInTimeWhenTheSidecarStops)
{
    for (Duration phase{}; phase < Seconds(1); phase += Milliseconds(30)) {
        for (Duration lead{}; lead <= Milliseconds(900); lead += Milliseconds(150)) {
            SharedWatchFleet fleet;
            fleet.loop.run(phase + Milliseconds(700));
            const auto stopsAt = fleet.loop.now();
            fleet.loop.at(stopsAt, [&fleet] { fleet.isSidecarSilent = true; });
            fleet.loop.run(std::max<Duration>(lead, Duration(0)));
            const auto since = fleet.loop.now();
            fleet.loop.change("a", true);
            fleet.loop.run(Seconds(6));
            EXPECT_LE(fleet.longestLateness("a", since), bound)
                << "phase " << toMilliseconds(phase) << " lead " << toMilliseconds(lead);
        }
    }
}

// Guards against late changes after an outage of the store, through the sidecar or without it.
TEST(SharedStoreWatch, ReportsToAllEntriesInTimeAfterAnOutage)
{
    for (const auto condition : {StoreCondition::Unresponsive, StoreCondition::Refusing, StoreCondition::Unreachable,
                                 StoreCondition::HistoryLost}) {
        for (Duration length = Milliseconds(400); length < Seconds(8); length += Milliseconds(730)) {
            for (Duration phase{}; phase < Seconds(1); phase += Milliseconds(170)) {
                SharedWatchFleet fleet;
                fleet.loop.run(phase);
                fleet.loop.setCondition(condition);
                fleet.loop.run(length);
                fleet.loop.setCondition(StoreCondition::Healthy);
                const auto since = fleet.loop.now();
                fleet.loop.change("a", true);
                fleet.loop.run(Seconds(8));
                EXPECT_LE(fleet.longestLateness("a", since), bound)
                    << "condition " << static_cast<int>(condition) << " length " << toMilliseconds(length) << " phase "
                    << toMilliseconds(phase);
            }
        }
    }
}

// Guards against using a sidecar that watches another store, whose revisions cannot be compared.
TEST(SharedStoreWatch, EntriesRejectASidecarOfAnotherStore)
{
    SharedWatchFleet fleet("http://10.0.0.2:80");
    EXPECT_FALSE(fleet.isSidecarSelected);
    const auto since = fleet.loop.now();
    fleet.loop.change("a", true);
    fleet.loop.run(Seconds(5));
    EXPECT_LE(fleet.longestLateness("a", since), bound);
}

// Guards against mixing up revisions that were used before and after a restore.
TEST(SharedStoreWatch, ReportsToAllEntriesInTimeAfterARestore)
{
    for (Duration phase{}; phase < Seconds(2); phase += Milliseconds(70)) {
        for (const int lostChanges : {0, 1, 20}) {
            SharedWatchFleet fleet;
            fleet.loop.run(phase);
            const test::VirtualStore backup = fleet.loop.store;
            for (int i = 0; i < lostChanges; ++i) {
                fleet.loop.change("a", false);
            }
            fleet.loop.run(Seconds(2));
            fleet.loop.restore(backup);
            const auto since = fleet.loop.now();
            fleet.loop.change("a", true);
            for (int i = 0; i <= lostChanges; ++i) { // exceeds the revisions from before the restore
                fleet.loop.change("b", false);
            }
            fleet.loop.run(Seconds(6));
            EXPECT_LE(fleet.longestLateness("a", since), bound)
                << "phase " << toMilliseconds(phase) << " lost " << lostChanges;
        }
    }
}

// Guards against more reads than the store accepts when all entries read after a restore.
TEST(SharedStoreWatch, ARestoreCostsNoMoreReadsThanTheStoreAccepts)
{
    constexpr std::size_t entries = 360;
    constexpr int endpoints = 3900;
    constexpr std::uint64_t maxReadsPerSecond = 2000;
    SharedWatchFleet fleet(SharedWatchFleet::sidecarsStore, entries, endpoints);
    fleet.loop.store.pageSize = 500;
    fleet.loop.run(Seconds(20));
    const test::VirtualStore backup = fleet.loop.store;
    fleet.loop.run(Seconds(2));
    fleet.loop.restore(backup);
    std::uint64_t maxReads = 0;
    const auto firstCalls = fleet.loop.calls;
    const auto firstLimited = fleet.loop.limitedCalls;
    for (int second = 0; second < 10; ++second) {
        const auto before = fleet.loop.limitedCalls;
        fleet.loop.run(Seconds(1));
        maxReads = std::max(maxReads, fleet.loop.limitedCalls - before);
    }
    RecordProperty("callsInTenSeconds", static_cast<int>(fleet.loop.calls - firstCalls));
    RecordProperty("limitedCallsInTenSeconds", static_cast<int>(fleet.loop.limitedCalls - firstLimited));
    RecordProperty("mostInASecond", static_cast<int>(maxReads));
    EXPECT_LE(maxReads, maxReadsPerSecond);
}

// Guards against sending every adapter change to each entry, which gets them from the sidecars.
TEST(SharedStoreWatch, DoesNotForwardChangesOfResidentAdapters)
{
    SharedWatchFleet fleet;
    fleet.loop.change("b", false); // the first change observed by the sidecar
    fleet.loop.run(Seconds(2));
    const auto before = fleet.reportCount("b");
    for (int i = 0; i < 20; ++i) {
        fleet.loop.change("b", false);
        fleet.loop.run(Milliseconds(100));
    }
    fleet.loop.run(Seconds(2));
    EXPECT_EQ(fleet.reportCount("b"), before);
    const auto since = fleet.loop.now();
    fleet.loop.change("b", true);
    fleet.loop.run(Seconds(3));
    EXPECT_LE(fleet.longestLateness("b", since), bound);
}

} // namespace
} // namespace anvilscale

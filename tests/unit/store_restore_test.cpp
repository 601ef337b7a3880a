// Tests of StoreWatcher with a store that is restored from a backup. Virtual clock.
#include "daemon/direct_settings.h"
#include "support/watched_store.h"

#include <rapidcheck/gtest.h>

namespace anvilscale {
namespace {

using test::inMs;
using test::StoreCondition;
using test::VirtualStore;
using test::WatchedStore;

/// Running endpoints rewrite their records within the time that the platform gives them.
void rewriteRecords(WatchedStore &entry, const std::vector<std::string> &ids)
{
    Duration delay = Milliseconds(200);
    for (const auto &id : ids) {
        entry.loop.at(entry.loop.now() + delay, [&entry, id] { entry.loop.change(id, false); });
        delay += Milliseconds(150);
    }
}

struct RestoreScenario
{
    Duration backupAge{}; // age of the backup at the restore
    Duration outage{}; // length of the outage before the restore
    int lostChanges = 0; // number of changes since the backup
};

/// The store is unavailable and restored from a backup; endpoints then write the records missing in it.
void runScenario(WatchedStore &entry, const RestoreScenario &scenario)
{
    const VirtualStore backup = entry.loop.store;
    entry.loop.change("late", false);
    for (int i = 0; i < scenario.lostChanges; ++i) {
        entry.loop.change(i % 2 == 0 ? "a" : "b", false);
    }
    entry.loop.run(scenario.backupAge);
    const auto runningIds = entry.loop.store.ids();
    entry.loop.setCondition(StoreCondition::Refusing);
    entry.loop.run(scenario.outage);
    entry.loop.restore(backup);
    entry.loop.setCondition(StoreCondition::Healthy);
    rewriteRecords(entry, runningIds);
}

template<class RunScenario>
void forEachScenario(RunScenario run)
{
    for (const int lostChanges : {0, 3, 40}) {
        for (Duration age = Milliseconds(500); age <= Seconds(6); age += Milliseconds(1100)) {
            for (Duration outage = Milliseconds(10); outage <= Seconds(4); outage += Milliseconds(570)) {
                for (Duration phase{}; phase < Seconds(2); phase += Milliseconds(210)) {
                    run(RestoreScenario{age, outage, lostChanges}, phase);
                }
            }
        }
    }
}

} // namespace

// Guards against ignoring changes because their revisions were used before the restore.
TEST(StoreRestore, ReportsLeavingEndpointInTime)
{
    Duration longest{};
    forEachScenario([&](const RestoreScenario &scenario, Duration phase) {
        WatchedStore entry;
        entry.loop.run(phase);
        runScenario(entry, scenario);
        entry.loop.run(Seconds(2));
        entry.loop.change("a", true);
        const auto acknowledged = entry.loop.now();
        entry.loop.run(Seconds(10));
        longest = std::max(longest, entry.removalDelay("a", acknowledged).value_or(Seconds(10)));
    });
    RecordProperty("longestMs", static_cast<int>(toMilliseconds(longest)));
    EXPECT_LE(longest, Milliseconds(2000)) << inMs(longest);
}

// Guards against removing an endpoint whose record is newer than the backup.
TEST(StoreRestore, KeepsEndpointsThatRewriteTheirRecords)
{
    int wronglyRemoved = 0;
    forEachScenario([&](const RestoreScenario &scenario, Duration phase) {
        WatchedStore entry;
        entry.loop.run(phase);
        runScenario(entry, scenario);
        entry.loop.run(Seconds(10));
        wronglyRemoved += entry.removalTime("late") || entry.removalTime("a") || entry.removalTime("b") ? 1 : 0;
    });
    EXPECT_EQ(wronglyRemoved, 0);
}

// Guards against keeping an endpoint that exited during the outage and is missing in the backup.
TEST(StoreRestore, RemovesEndpointMissingInTheBackup)
{
    WatchedStore entry;
    const VirtualStore backup = entry.loop.store;
    entry.loop.change("late", false);
    entry.loop.run(Seconds(2));
    ASSERT_FALSE(entry.removalTime("late"));
    entry.loop.restore(backup);
    const auto restored = entry.loop.now();
    entry.loop.run(Seconds(10));
    const auto lateness = entry.removalDelay("late", restored);
    ASSERT_TRUE(lateness);
    EXPECT_LE(*lateness, Seconds(2) + entry.maxDelay());
}

// Guards against missing a restore between two answers after which revisions exceed the known one.
TEST(StoreRestore, DetectsRestoreBetweenTwoAnswersByEra)
{
    Duration longest{};
    for (Duration phase{}; phase < Seconds(2); phase += Milliseconds(30)) {
        WatchedStore entry;
        const VirtualStore backup = entry.loop.store;
        entry.loop.change("b", false);
        entry.loop.run(phase); // the pause after an answer with changes, and the next watch
        entry.loop.restore(backup);
        entry.loop.change("a", true);
        const auto acknowledged = entry.loop.now();
        for (int i = 0; i < 5; ++i) {
            entry.loop.change("b", false);
        }
        entry.loop.run(Seconds(10));
        longest = std::max(longest, entry.removalDelay("a", acknowledged).value_or(Seconds(10)));
    }
    RecordProperty("longestMs", static_cast<int>(toMilliseconds(longest)));
    EXPECT_LE(longest, Milliseconds(2000)) << inMs(longest);
}

// Guards against applying a stale answer from before the restore.
TEST(StoreRestore, DropsAnswerOfAnEarlierEra)
{
    WatchedStore entry;
    const VirtualStore backup = entry.loop.store;
    entry.loop.restore(backup);
    entry.loop.run(Seconds(3));
    const VirtualStore present = entry.loop.store;
    VirtualStore stale = backup;
    for (int i = 0; i < 50; ++i) {
        stale.change("a", false, true);
    }
    entry.loop.store = stale;
    entry.loop.run(Seconds(3));
    EXPECT_FALSE(entry.removalTime("a"));
    entry.loop.store = present;
    entry.loop.run(Seconds(2));
    entry.loop.change("a", true);
    entry.loop.run(Seconds(2));
    EXPECT_TRUE(entry.removalTime("a"));
}

// Guards against state that stays outdated after a read of old data, of this era or the one before.
TEST(StoreRestore, WatchUpdatesOldRead)
{
    for (const bool isOfCurrentEra : {true, false}) {
        for (Duration phase{}; phase < Seconds(2); phase += Milliseconds(130)) {
            WatchedStore entry;
            entry.loop.run(phase);
            const VirtualStore backup = entry.loop.store;
            entry.loop.store.pageSize = 1;
            entry.loop.change("late", false);
            entry.loop.staleStore = entry.loop.store;
            entry.loop.restore(backup);
            if (isOfCurrentEra) {
                entry.loop.staleStore = entry.loop.store;
            }
            entry.loop.change("late", false);
            entry.loop.change("a", true);
            const auto acknowledged = entry.loop.now();
            entry.loop.run(Seconds(5));
            EXPECT_TRUE(entry.isRemovedInTime("a", acknowledged)) << "phase " << inMs(phase);
            EXPECT_EQ(entry.presentIds(), (std::set<std::string>{"a", "b", "late"}));
        }
    }
}

// Guards against calls to an endpoint that was removed, but whose record is in the backup.
TEST(StoreRestore, WithholdsRemovedEndpointFoundInTheBackup)
{
    for (Duration phase{}; phase < Seconds(2); phase += Milliseconds(130)) {
        WatchedStore entry;
        entry.loop.run(phase);
        const VirtualStore backup = entry.loop.store;
        entry.loop.change("a", false, true);
        entry.loop.run(Seconds(2));
        ASSERT_TRUE(entry.removalTime("a"));
        entry.loop.restore(backup);
        for (int i = 0; i < 30; ++i) {
            entry.loop.run(Milliseconds(100));
            EXPECT_EQ(entry.presentIds().count("a"), 0U) << "phase " << inMs(phase);
        }
        entry.loop.change("a", false, true);
        entry.loop.run(Seconds(5));
        EXPECT_EQ(entry.presentIds(), std::set<std::string>{"b"});
    }
}

// Guards against permanently ignoring a running endpoint whose record had expired before the restore.
TEST(StoreRestore, ReportsRemovedEndpointThatIsRunning)
{
    for (const bool rewritesRecord : {true, false}) {
        WatchedStore entry;
        const VirtualStore backup = entry.loop.store;
        entry.loop.change("a", false, true);
        entry.loop.run(Seconds(2));
        entry.loop.restore(backup);
        entry.loop.run(Seconds(1));
        if (rewritesRecord) {
            entry.loop.change("a", false);
            entry.loop.run(Seconds(2));
        } else {
            entry.loop.run(Seconds(5));
        }
        EXPECT_EQ(entry.presentIds().count("a"), 1U);
    }
}

// Guards against an inconsistent state when an entry starts during a restore, between two pages of its read.
TEST(StoreRestore, EntryStartedDuringRestoreHasStateOfTheStore)
{
    for (Duration phase{}; phase < Milliseconds(60); phase += Milliseconds(1)) {
        WatchedStore entry(2000, 1, [phase](test::VirtualLoop &loop) {
            loop.store.pageSize = 1;
            const VirtualStore backup = loop.store;
            loop.change("late", false);
            loop.change("a", true);
            loop.at(loop.now() + phase, [&loop, backup] {
                loop.restore(backup);
                loop.change("c", false);
            });
        });
        const auto expectedIds = entry.loop.store.ids();
        EXPECT_EQ(entry.presentIds(), std::set<std::string>(expectedIds.begin(), expectedIds.end()))
            << "phase " << inMs(phase);
        entry.loop.change("b", true);
        const auto acknowledged = entry.loop.now();
        entry.loop.run(Seconds(3));
        EXPECT_TRUE(entry.isRemovedInTime("b", acknowledged)) << "phase " << inMs(phase);
    }
}

/// Performs random restores, outages, reads of old data and changes. Returns whether the entry then has the state of
/// the store.
bool matchesStoreAfterSeries(std::uint64_t seed)
{
    Random random(seed);
    WatchedStore entry(2000, seed);
    std::vector<VirtualStore> backups{entry.loop.store};
    const std::vector<std::string> ids{"a", "b", "c", "d"};
    for (int step = 0; step < 30; ++step) {
        const auto &id = ids[random.uniformBelow(ids.size())];
        switch (random.uniformBelow(8)) {
        case 0:
            backups.push_back(entry.loop.store);
            break;
        case 1:
            entry.loop.restore(backups[random.uniformBelow(backups.size())]);
            break;
        case 5:
            entry.loop.staleStore = entry.loop.store;
            break;
        case 2:
            entry.loop.setCondition(static_cast<StoreCondition>(random.uniformBelow(enumCount<StoreCondition>)));
            break;
        case 3:
            entry.loop.change(id, false, true);
            break;
        default:
            entry.loop.change(id, false);
            break;
        }
        entry.loop.run(Milliseconds(static_cast<int>(random.uniformBelow(1500))));
    }
    entry.loop.setCondition(StoreCondition::Healthy);
    entry.loop.run(Seconds(12));
    const auto expectedIds = entry.loop.store.ids();
    return entry.presentIds() == std::set<std::string>(expectedIds.begin(), expectedIds.end());
}

// Guards against reporting a withheld record that a later full read has not found.
TEST(StoreRestore, MatchesStoreAfterKnownSeeds)
{
    for (const std::uint64_t seed : {0U, 159U}) {
        EXPECT_TRUE(matchesStoreAfterSeries(seed)) << seed;
    }
}

// Guards against a permanent difference between entry and store after any series of failures.
RC_GTEST_PROP(StoreRestore, MatchesStoreAfterAnySeries, (std::uint64_t seed))
{
    RC_ASSERT(matchesStoreAfterSeries(seed));
}

} // namespace anvilscale

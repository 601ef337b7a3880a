// Confirmations of the store: what they show, and how often they are started. Virtual clock.
#include "direct/store_confirmations.h"
#include "support/watched_store.h"

#include "anvilscale/direct.h"

#include <gtest/gtest.h>

namespace anvilscale {
namespace {

using test::StoreCondition;
using test::WatchedStore;

constexpr TimePoint start{Seconds(100)};

// Guards against a proof by knowledge from before a pause between watches.
TEST(StoreConfirmation, ShowsAChangeOfAPauseBetweenWatches)
{
    WatchedStore entry(3000);
    entry.loop.change("unused", false);
    entry.loop.run(Milliseconds(250));
    entry.loop.change("joined", false);
    entry.confirm(7);
    entry.loop.run(Milliseconds(100));
    ASSERT_EQ(entry.confirmed.size(), 1U);
    EXPECT_EQ(entry.confirmed[0].number, 7U);
    EXPECT_FALSE(entry.confirmed[0].failure);
    EXPECT_TRUE(entry.confirmed[0].presentIds.count("joined"));
}

// Guards against an endpoint that comes and goes twice, once by the confirmation and once by the watch beside it.
TEST(StoreConfirmation, ReportsNoChangeTwice)
{
    for (const int offsetMs : {0, 1, 2, 3, 4, 5, 8}) {
        WatchedStore entry(2000);
        entry.loop.run(Seconds(2));
        entry.loop.at(entry.loop.now() + Milliseconds(offsetMs), [&entry] { entry.confirm(1); });
        entry.loop.at(entry.loop.now() + Milliseconds(2), [&entry] {
            entry.loop.store.change("brief", false, false);
            entry.loop.change("brief", false, true);
        });
        entry.loop.run(Seconds(3));
        EXPECT_EQ(entry.removals("brief"), 1U) << offsetMs << " ms";
        EXPECT_FALSE(entry.presentIds().count("brief"));
        ASSERT_EQ(entry.confirmed.size(), 1U);
        EXPECT_FALSE(entry.confirmed[0].failure);
    }
}

// Guards against a confirmation by a read that returns old data, whenever it is requested around that read.
TEST(StoreConfirmation, IsNoAnswerOfAReadOfOldData)
{
    std::size_t confirmed = 0;
    for (int offsetMs = 0; offsetMs < 400; ++offsetMs) {
        WatchedStore entry(2000);
        entry.loop.store.pageSize = 1;
        entry.loop.restore(entry.loop.store); // everything is read again
        entry.loop.staleStore = entry.loop.store;
        entry.loop.change("later", false);
        entry.loop.run(Milliseconds(offsetMs));
        entry.confirm(1);
        entry.loop.run(Seconds(3));
        ASSERT_EQ(entry.confirmed.size(), 1U) << offsetMs;
        const auto &result = entry.confirmed[0];
        EXPECT_TRUE(result.failure || result.presentIds.count("later")) << offsetMs;
        confirmed += result.failure ? 0 : 1;
    }
    EXPECT_GT(confirmed, 0U);
}

// Guards against a confirmation without an answer, and against calls that wait for one without end.
TEST(StoreConfirmation, EndsAsFailedWhereTheStoreDoesNotAnswer)
{
    const std::map<StoreCondition, StoreFailureKind> failures{
        {StoreCondition::Refusing, StoreFailureKind::Refused},
        {StoreCondition::Unreachable, StoreFailureKind::Unreachable},
        {StoreCondition::Unresponsive, StoreFailureKind::Silent},
        {StoreCondition::HistoryLost, StoreFailureKind::Outdated},
    };
    for (const auto &[condition, failure] : failures) {
        WatchedStore entry(2000);
        entry.loop.condition = condition; // not seen by the watch under way
        entry.confirm(1);
        entry.loop.run(Seconds(2));
        ASSERT_EQ(entry.confirmed.size(), 1U) << toString(failure);
        EXPECT_EQ(entry.confirmed[0].failure, failure);
    }
}

// Guards against a proof while the record of an endpoint is withheld after a restore: its version may be another one.
TEST(StoreConfirmation, FailsWhileARecordIsWithheld)
{
    WatchedStore entry(2000);
    const auto copy = entry.loop.store;
    entry.loop.change("a", false, true);
    entry.loop.run(Seconds(3));
    ASSERT_TRUE(entry.removalTime("a"));
    entry.loop.restore(copy);
    entry.loop.run(Seconds(2));
    ASSERT_FALSE(entry.presentIds().count("a"));
    entry.confirm(1);
    entry.loop.run(Milliseconds(100));
    ASSERT_EQ(entry.confirmed.size(), 1U);
    EXPECT_EQ(entry.confirmed[0].failure, StoreFailureKind::Withheld);
}

// Guards against a proof by a confirmation that was requested before the call arrived, and against a read of the store
// for each resumed call.
TEST(StoreConfirmation, CallsShareTheNextOne)
{
    StoreConfirmations confirmations;
    confirmations.add(CallHandle{1});
    const auto first = confirmations.start(start);
    ASSERT_TRUE(first);
    for (std::uint64_t call = 2; call <= 50; ++call) {
        confirmations.add(CallHandle{call});
        EXPECT_FALSE(confirmations.start(start + Seconds(1)));
    }
    EXPECT_EQ(confirmations.finish(first->number, true).size(), 1U);
    EXPECT_TRUE(confirmations.finish(first->number, true).empty()) << "reported twice";
    const auto second = confirmations.start(start + Seconds(1));
    ASSERT_TRUE(second);
    EXPECT_EQ(confirmations.finish(second->number, false).size(), 49U);
    EXPECT_EQ(confirmations.stats().started, 2U);
    EXPECT_EQ(confirmations.stats().shared, 48U);
    EXPECT_EQ(confirmations.stats().failed, 1U);
}

// Guards against reads of the store at the rate of resumed calls that arrive one after the other.
TEST(StoreConfirmation, StartsAreBoundedInRate)
{
    StoreConfirmations confirmations;
    std::uint64_t started = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
        confirmations.add(CallHandle{static_cast<std::uint64_t>(ms) + 1});
        if (const auto confirmation = confirmations.start(start + Milliseconds(ms))) {
            ++started;
            confirmations.finish(confirmation->number, true);
        }
    }
    EXPECT_EQ(started, 40U);
}

} // namespace
} // namespace anvilscale

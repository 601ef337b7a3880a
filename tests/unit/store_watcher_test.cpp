// Tests of StoreWatcher: delay of changes under failures of the store and of connections. Virtual clock.
#include "support/watched_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace anvilscale {
namespace {

using test::entrySettings;
using test::inMs;
using test::StoreCondition;
using test::VirtualLoop;
using test::WatchedStore;

// Longest delay over outages that start at each phase of the entry's calls and last at least `minLength`.
template<class Outage>
Duration longestLateness(std::uint32_t leaveMs, Duration minLength, const Outage &outage)
{
    Duration longest{};
    for (Duration length = minLength; length <= Seconds(13); length += Milliseconds(310)) {
        for (Duration phase{}; phase < Seconds(5); phase += Milliseconds(170)) {
            WatchedStore entry(leaveMs);
            entry.loop.run(phase);
            const auto acknowledged = outage(entry, length);
            entry.loop.run(Seconds(20));
            const auto lateness = entry.removalDelay("a", acknowledged);
            longest = std::max(longest, lateness.value_or(Seconds(20)));
        }
    }
    return longest;
}

TimePoint leaveAndGetTime(WatchedStore &entry)
{
    entry.loop.change("a", true);
    return entry.loop.now();
}

TimePoint removeAndGetTime(WatchedStore &entry)
{
    entry.loop.change("a", false, true);
    return entry.loop.now();
}

// Guards against calls to a leaving endpoint: a watch sent near the end of an outage is never answered.
TEST(StoreWatcher, ReportsLeavingEndpointInTimeAfterUnansweredCalls)
{
    for (const std::uint32_t leaveMs : {2000U, 3000U, 5000U}) {
        const auto longest = longestLateness(leaveMs, Milliseconds(100), [](WatchedStore &entry, Duration length) {
            entry.loop.setCondition(StoreCondition::Unresponsive);
            entry.loop.run(length);
            entry.loop.setCondition(StoreCondition::Healthy);
            return leaveAndGetTime(entry);
        });
        EXPECT_LE(longest, Milliseconds(leaveMs)) << inMs(longest);
    }
}

// Guards against an entry that never reads the store again after an answer that could not be applied.
TEST(StoreWatcher, GoesOnAfterAnAnswerThatCannotBeApplied)
{
    WatchedStore entry;
    bool hasFailed = false;
    entry.beforeRecord = [&](const StoreRecord &) {
        if (!std::exchange(hasFailed, true)) {
            throw std::bad_alloc();
        }
    };
    entry.loop.change("c", false);
    entry.loop.run(Seconds(10));
    EXPECT_TRUE(hasFailed);
    EXPECT_EQ(entry.presentIds().count("c"), 1U);
    entry.loop.change("c", false, true);
    entry.loop.run(Seconds(10));
    EXPECT_EQ(entry.presentIds().count("c"), 0U);
}

// Guards against adding the grown retry delay to the timeout of an unanswered call.
TEST(StoreWatcher, ReportsLeavingEndpointInTimeAfterRefusedAndUnansweredCalls)
{
    const auto longest = longestLateness(3000, Milliseconds(900), [](WatchedStore &entry, Duration length) {
        entry.loop.setCondition(StoreCondition::Refusing);
        entry.loop.run(length - Milliseconds(800));
        entry.loop.setCondition(StoreCondition::Unresponsive);
        entry.loop.run(Milliseconds(800));
        entry.loop.setCondition(StoreCondition::Healthy);
        return leaveAndGetTime(entry);
    });
    EXPECT_LE(longest, Milliseconds(3000)) << inMs(longest);
}

// Guards against a retry delay that grows beyond the maximum delay of a change.
TEST(StoreWatcher, ReportsLeavingEndpointInTimeAfterFailedConnections)
{
    const auto longest = longestLateness(2000, Milliseconds(100), [](WatchedStore &entry, Duration length) {
        entry.loop.setCondition(StoreCondition::Unreachable);
        entry.loop.run(length);
        entry.loop.setCondition(StoreCondition::Healthy);
        return leaveAndGetTime(entry);
    });
    EXPECT_LE(longest, Milliseconds(2000)) << inMs(longest);
}

// Guards against counting the time for rewriting expired records from the entry's first answer instead of the end of
// the outage.
TEST(StoreWatcher, ReportsRemovalInTimeTwoSecondsAfterAnOutage)
{
    for (const std::uint32_t leaveMs : {2000U, 3000U}) {
        const auto longest = longestLateness(leaveMs, Milliseconds(100), [](WatchedStore &entry, Duration length) {
            entry.loop.setCondition(StoreCondition::Unresponsive);
            entry.loop.run(length);
            entry.loop.setCondition(StoreCondition::Healthy);
            entry.loop.run(Seconds(2));
            return removeAndGetTime(entry);
        });
        EXPECT_LE(longest, Milliseconds(leaveMs)) << inMs(longest);
    }
}

// Guards against waiting on a connection, idle or with a watch, that is broken without notice while the store is
// available.
TEST(StoreWatcher, ReportsLeavingEndpointInTimeWithABrokenConnection)
{
    for (const std::uint32_t leaveMs : {2000U, 3000U}) {
        const auto longest = longestLateness(leaveMs, Milliseconds(0), [](WatchedStore &entry, Duration length) {
            entry.loop.stallConnections();
            entry.loop.run(length % Seconds(1));
            return leaveAndGetTime(entry);
        });
        EXPECT_LE(longest, Milliseconds(leaveMs)) << inMs(longest);
    }
}

// Guards against reporting older versions of records: pages of a read are no snapshot, and the watch starts at the
// first one.
TEST(StoreWatcher, ReportsNoOlderRevisions)
{
    const auto prepare = [](VirtualLoop &loop) {
        loop.store.pageSize = 1;
        loop.change("c", false);
        loop.at(loop.now() + Milliseconds(6), [&loop] { // between the first page and the others
            loop.change("b", false);
            loop.change("b", true);
            loop.change("c", false, true);
            loop.change("c", false);
        });
    };
    WatchedStore entry(2000, 1, prepare);
    EXPECT_TRUE(entry.removalTime("b"));
    EXPECT_FALSE(entry.hasRegressed());
}

// Guards against calls to endpoints that are missing in the new store after a change of the settings.
TEST(StoreWatcher, RemovesEndpointsMissingInANewStore)
{
    WatchedStore entry(2000, 1, [](VirtualLoop &) {}, {"a", "gone"});
    EXPECT_TRUE(entry.removalTime("gone"));
    EXPECT_FALSE(entry.removalTime("a"));
}

enum class Step : std::uint8_t {
    Leave,
    Silent,
    Refusing,
    Dark,
    Well,
    SilentConnection,
    Count
};

std::ostream &operator<<(std::ostream &out, Step step)
{
    constexpr std::array<std::string_view, enumCount<Step>> names{"leave", "silent", "refusing",
                                                                  "dark",  "well",   "silent connection"};
    return out << names[static_cast<std::size_t>(step)];
}

/// Performs steps and records which endpoints left when, and when the store and the connection to it were available.
class FailureScenario
{
public:
    explicit FailureScenario(std::uint32_t leaveMs)
        : entry_(leaveMs)
    {
        changes_.push_back({entry_.loop.now(), true});
    }

    void perform(Step step, Duration pause)
    {
        switch (step) {
        case Step::Leave:
            addLeavingEndpoint();
            break;
        case Step::SilentConnection:
            entry_.loop.stallConnections();
            changes_.push_back({entry_.loop.now(), entry_.loop.condition == StoreCondition::Healthy});
            break;
        case Step::Silent:
            setCondition(StoreCondition::Unresponsive);
            break;
        case Step::Refusing:
            setCondition(StoreCondition::Refusing);
            break;
        case Step::Dark:
            setCondition(StoreCondition::Unreachable);
            break;
        default:
            setCondition(StoreCondition::Healthy);
            break;
        }
        entry_.loop.run(pause);
    }

    /// Longest excess over the bound until the entry knew of a leaving endpoint, counted from the first moment without
    /// a failure for the length of the bound.
    Duration longestExcess() const
    {
        Duration longest{};
        for (const auto &[id, acknowledged] : leavingSince_) {
            const auto reportedAt = entry_.removalTime(id).value_or(entry_.loop.now() + Seconds(60));
            longest = std::max(longest, reportedAt - stableSince(acknowledged) - entry_.maxDelay());
        }
        return longest;
    }

private:
    struct Change
    {
        TimePoint at;
        bool isAvailable = false; // available from then on
    };

    void addLeavingEndpoint()
    {
        const auto id = "l" + std::to_string(leavingSince_.size());
        entry_.loop.change(id, true);
        leavingSince_.emplace(id, entry_.loop.now());
    }

    void setCondition(StoreCondition condition)
    {
        entry_.loop.setCondition(condition);
        changes_.push_back({entry_.loop.now(), condition == StoreCondition::Healthy});
    }

    TimePoint stableSince(TimePoint since) const
    {
        for (std::size_t i = 0; i + 1 < changes_.size(); ++i) {
            const auto begin = std::max(since, changes_[i].at);
            if (changes_[i].isAvailable && changes_[i + 1].at >= begin + entry_.maxDelay()) {
                return begin;
            }
        }
        return std::max(since, changes_.back().at);
    }

    WatchedStore entry_;
    std::map<std::string, TimePoint> leavingSince_; // time of the acknowledgement by the store, by endpoint
    std::vector<Change> changes_;
};

// Guards against late changes after any series of overlapping failures of the store and the connection.
RC_GTEST_PROP(StoreWatcherRandom, ReportsLeavingEndpointsInTimeAfterAnyFailures, ())
{
    FailureScenario scenario(*rc::gen::element(2000U, 3000U));
    const auto steps = *rc::gen::container<std::vector<std::pair<Step, int>>>(
        rc::gen::pair(rc::gen::element(Step::Leave, Step::Leave, Step::Silent, Step::Refusing, Step::Dark, Step::Well,
                                       Step::Well, Step::SilentConnection),
                      rc::gen::inRange(0, 6000)));
    for (const auto &[step, pause] : steps) {
        scenario.perform(step, Milliseconds(pause));
    }
    scenario.perform(Step::Well, Seconds(10));
    RC_ASSERT(scenario.longestExcess() == Duration(0));
}

// Guards against retrying on a connection that is broken without notice after the retry delay has grown.
TEST(StoreWatcher, ReportsLeavingEndpointInTimeWhenARefusedConnectionBreaks)
{
    FailureScenario first(3000);
    first.perform(Step::Silent, Milliseconds(1178));
    first.perform(Step::Refusing, Milliseconds(0));
    first.perform(Step::Leave, Milliseconds(1370));
    first.perform(Step::SilentConnection, Milliseconds(0));
    first.perform(Step::Well, Seconds(10));
    EXPECT_EQ(first.longestExcess(), Duration(0));

    FailureScenario second(2000);
    second.perform(Step::Silent, Milliseconds(0));
    second.perform(Step::Leave, Milliseconds(1536));
    second.perform(Step::Refusing, Milliseconds(916));
    second.perform(Step::Well, Milliseconds(4));
    second.perform(Step::SilentConnection, Milliseconds(0));
    second.perform(Step::Well, Seconds(10));
    EXPECT_EQ(second.longestExcess(), Duration(0));
}

// Guards against cancelling a read that is slow because of a large configuration and a slow link.
TEST(StoreWatcher, ReadsALargeAnswerOverASlowLink)
{
    WatchedStore entry(2000, 1, [](VirtualLoop &loop) {
        loop.bodyPadding = 3'000'000;
        loop.bytesPerMs = 1250; // 10 Mbit/s
        loop.change("a", true);
    });
    EXPECT_TRUE(entry.removalTime("a"));
}

// Guards against timing out every call while the link is congested or the store is slow.
TEST(StoreWatcher, AcceptsLateAnswers)
{
    WatchedStore entry(2000);
    entry.loop.answerTime = Milliseconds(1500);
    entry.loop.run(Seconds(10));
    leaveAndGetTime(entry);
    entry.loop.run(Seconds(10));
    EXPECT_TRUE(entry.removalTime("a"));
}

// Guards against a read that begins anew for ever, as its later pages are given less time than its first one.
TEST(StoreWatcher, ReadOfSeveralPagesEndsAtASlowStore)
{
    const auto prepare = [](VirtualLoop &loop) {
        loop.store.pageSize = 1;
        loop.answerTime = Milliseconds(1000);
    };
    WatchedStore entry(2000, 1, prepare);
    entry.loop.run(Seconds(10));
    EXPECT_EQ(entry.presentIds(), (std::set<std::string>{"a", "b"}));
}

// Guards against more calls to the store than the pause between answers allows, with and without changes.
TEST(StoreWatcher, CallsNoMoreOftenThanThePauseAllows)
{
    for (const std::uint32_t leaveMs : {2000U, 3000U}) {
        const auto pause = storeWatcherInit(entrySettings(leaveMs), NetAddress(), 1).times.pause;
        WatchedStore quietEntry(leaveMs);
        const auto before = quietEntry.loop.calls;
        quietEntry.loop.run(Seconds(60));
        const auto maxCalls = static_cast<std::uint64_t>(Seconds(60) / pause) + 1;
        EXPECT_LE(quietEntry.loop.calls - before, maxCalls);

        WatchedStore busyEntry(leaveMs);
        const auto start = busyEntry.loop.calls;
        for (int i = 0; i < 600; ++i) {
            busyEntry.loop.change("b", false);
            busyEntry.loop.run(Milliseconds(100));
        }
        EXPECT_LE(busyEntry.loop.calls - start, maxCalls);
    }
}

// Guards against frequent calls to a store that refuses them: at most two a second, as the delay is jittered.
TEST(StoreWatcher, CallsARefusingStoreAboutOnceASecond)
{
    WatchedStore entry(2000);
    entry.loop.setCondition(StoreCondition::Refusing);
    entry.loop.run(Seconds(10));
    const auto before = entry.loop.calls;
    entry.loop.run(Seconds(60));
    EXPECT_LE(entry.loop.calls - before, 121U); // delays are jittered down to half
}

// Guards against alternating reads and watches without a pause when the store keeps losing its history.
TEST(StoreWatcher, CallsAStoreWithoutHistoryNoMoreOftenThanARefusingOne)
{
    WatchedStore entry(2000);
    entry.loop.setCondition(StoreCondition::HistoryLost);
    entry.loop.run(Seconds(10));
    const auto before = entry.loop.calls;
    const auto acknowledged = leaveAndGetTime(entry);
    entry.loop.run(Seconds(60));
    EXPECT_LE(entry.loop.calls - before, 2 * 121U); // one read and one watch each
    EXPECT_TRUE(entry.isRemovedInTime("a", acknowledged));
}

// Guards against calls to restarted endpoints under their old records for a whole pause between watches.
TEST(StoreWatcher, ContradictedRecordEndsThePause)
{
    WatchedStore entry(3000);
    entry.loop.change("c", false); // its answer is followed by a pause
    entry.loop.run(Milliseconds(100));
    const auto acknowledged = removeAndGetTime(entry);
    entry.contradictRecord();
    entry.loop.run(Seconds(3));
    const auto delay = entry.removalDelay("a", acknowledged);
    ASSERT_TRUE(delay);
    EXPECT_LE(*delay, Milliseconds(350)) << inMs(*delay);
}

// Guards against a call to the store for each of many contradictions.
TEST(StoreWatcher, ManyContradictionsCauseFewCalls)
{
    WatchedStore entry(3000);
    const auto before = entry.loop.calls;
    for (int i = 0; i < 200; ++i) {
        entry.loop.change("c", i % 2 == 0);
        entry.contradictRecord();
        entry.loop.run(Milliseconds(10));
    }
    EXPECT_LE(entry.loop.calls - before, 10U);
}

// Guards against a call to the store for each change of a record that entries do not use.
TEST(StoreWatcher, ChangesOfUnusedRecordsCauseFewCalls)
{
    WatchedStore entry(2000);
    const auto before = entry.loop.calls;
    for (int i = 0; i < 200; ++i) {
        entry.loop.change("unused", false);
        entry.loop.run(Milliseconds(10));
    }
    EXPECT_LE(entry.loop.calls - before, 5U);
}

// Guards against an entry that serves with the old state of its first read.
TEST(StoreWatcher, FirstWatchUpdatesAnOldFirstRead)
{
    WatchedStore entry(5000, 1, [](VirtualLoop &loop) {
        loop.staleStore = loop.store;
        loop.change("a", true);
        loop.change("late", false);
    });
    EXPECT_TRUE(entry.removalTime("a"));
    EXPECT_EQ(entry.presentIds(), (std::set<std::string>{"a", "b", "late"}));
}

// Guards against endpoints that are lost for a moment when the settings name another store.
TEST(StoreWatcher, FirstReadAfterAChangeOfTheStoreIsCurrent)
{
    const WatchedStore entry(2000, 1, [](VirtualLoop &loop) { loop.staleStore = test::VirtualStore{}; }, {"a", "b"});
    EXPECT_FALSE(entry.removalTime("a"));
    EXPECT_EQ(entry.presentIds(), (std::set<std::string>{"a", "b"}));
}

} // namespace
} // namespace anvilscale

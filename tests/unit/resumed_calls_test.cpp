// Resumed streams: they go on at the software version that began them, whatever is lost, restarted or out of reach.
#include "support/stream_fleet.h"

#include <random>

namespace anvilscale::test {

const std::vector<std::string> twoVersions{"v1", "v2", "v1", "v2", "v1", "v2"};

std::string streamId(int number)
{
    return "stream-" + std::to_string(number);
}

// Guards against a stream resumed at another version, at any entry, and against a refusal while its version serves.
TEST(ResumedCalls, GoOnAtTheirVersionAtEveryEntry)
{
    StreamFleet fleet(3, twoVersions);
    std::set<std::string> versions;
    for (int i = 0; i < 20; ++i) {
        const auto version = fleet.beginStream(0, streamId(i));
        versions.insert(version);
        for (const std::size_t entry : {0U, 1U, 2U}) {
            EXPECT_EQ(fleet.resumeStream(entry, streamId(i)), version);
        }
    }
    EXPECT_EQ(versions.size(), 2U);
    EXPECT_EQ(fleet.entry(1).stats().origins.told, 20U);
}

// Guards against a lost report, and against one sidecar that is killed together with the entry that began the stream.
TEST(ResumedCalls, OneLostCopyIsEnough)
{
    for (std::size_t lost = 0; lost < twoVersions.size(); ++lost) {
        StreamFleet fleet(2, twoVersions);
        fleet.isLost = [lost](std::size_t entry, std::size_t engine) { return entry == 0 && engine == lost; };
        const auto version = fleet.beginStream(0, "cut");
        fleet.isLost = nullptr;
        const auto other = fleet.beginStream(0, "whole");
        fleet.restartEntry(0);
        fleet.restartSidecar(lost);
        EXPECT_EQ(fleet.resumeStream(1, "cut"), version);
        EXPECT_EQ(fleet.resumeStream(1, "whole"), other);
    }
}

// Guards against streams that cannot be resumed after all sidecars have restarted, while their entry still knows them.
TEST(ResumedCalls, EntryReportsAgainToRestartedSidecars)
{
    StreamFleet fleet(2, twoVersions);
    const auto version = fleet.beginStream(0, "s");
    for (std::size_t engine = 0; engine < twoVersions.size(); ++engine) {
        fleet.restartSidecar(engine);
    }
    fleet.advance(Milliseconds(300));
    EXPECT_EQ(fleet.resumeStream(1, "s"), version);
}

// Guards against a guess where the origin is lost: the entry and all sidecars have restarted.
TEST(ResumedCalls, UnknownOriginIsRefusedForGood)
{
    StreamFleet fleet(2, twoVersions);
    fleet.beginStream(0, "s");
    fleet.restartEntry(0);
    for (std::size_t engine = 0; engine < twoVersions.size(); ++engine) {
        fleet.restartSidecar(engine);
    }
    EXPECT_EQ(fleet.resumeStream(1, "s"), std::nullopt);
    EXPECT_EQ(fleet.lastRefusal.reason, RefusalReason::OriginUnknown);
    EXPECT_EQ(fleet.lastRefusal.retryAfter, Duration(0)) << "it will not be known later";
}

// Guards against a guess at an entry that is cut off, and against a wait for sidecars that do not answer.
TEST(ResumedCalls, EntryThatIsCutOffRefuses)
{
    StreamFleet fleet(2, twoVersions);
    fleet.beginStream(0, "s");
    fleet.isLost = [](std::size_t entry, std::size_t) { return entry == 1; };
    const auto before = fleet.now();
    EXPECT_EQ(fleet.resumeStream(1, "s"), std::nullopt);
    EXPECT_LE(fleet.now() - before, Milliseconds(200));
    EXPECT_EQ(fleet.lastRefusal.reason, RefusalReason::OriginUnknown);
    EXPECT_GT(fleet.lastRefusal.retryAfter, Duration(0));
    EXPECT_GT(fleet.entry(1).stats().origins.timeouts, 0U);
}

// Guards against origins that are looked up where they were not reported: new sidecars have lower hashes.
TEST(ResumedCalls, NewSidecarsDoNotHideOrigins)
{
    StreamFleet fleet(3, {"v1", "v2"});
    std::map<std::string, std::string> began;
    for (int i = 0; i < 20; ++i) {
        began[streamId(i)] = fleet.beginStream(0, streamId(i));
    }
    for (int i = 0; i < 12; ++i) {
        fleet.addEngine(i % 2 == 0 ? "v1" : "v2");
    }
    fleet.advance(Milliseconds(500));
    for (const auto &[id, version] : began) {
        EXPECT_EQ(fleet.resumeStream(1, id), version);
    }
}

// Guards against lookups at sidecars of an older release, which do not answer.
TEST(ResumedCalls, OlderSidecarsAreNotAsked)
{
    StreamFleet fleet(2, twoVersions);
    fleet.olderSidecars = {0, 1, 2, 3};
    fleet.advance(Milliseconds(500));
    for (int i = 0; i < 8; ++i) {
        const auto version = fleet.beginStream(0, streamId(i));
        EXPECT_EQ(fleet.resumeStream(1, streamId(i)), version);
    }
    EXPECT_EQ(fleet.entry(1).stats().origins.timeouts, 0U);
}

// Guards against holding a stream whose version is gone until its caller leaves, and against another version for it.
TEST(ResumedCalls, StreamOfAVersionThatIsGoneIsRefused)
{
    StreamFleet fleet(2, {"v1", "v2", "v2"});
    std::string id;
    for (int i = 0; id.empty() && i < 50; ++i) {
        id = fleet.beginStream(0, streamId(i)) == "v1" ? streamId(i) : "";
    }
    ASSERT_FALSE(id.empty());
    fleet.stopEngine(0);
    EXPECT_EQ(fleet.resumeStream(1, id), std::nullopt);
    EXPECT_EQ(fleet.lastRefusal.reason, RefusalReason::SoftwareVersionGone);
    EXPECT_EQ(fleet.lastRefusal.retryAfter, Duration(0));
}

// Guards against refusals in a service with one version where origins are not known, such as in a fleet of releases in
// which older entries report none.
TEST(ResumedCalls, SoleVersionIsAssumedIfItHasServedForLongEnough)
{
    StreamFleet fleet(2, {"v1", "v1"});
    const auto keepStore = [&](Duration span) {
        fleet.advance(span);
        fleet.entry(1).onStoreAnswered(fleet.now());
    };
    keepStore(Seconds(30));
    EXPECT_EQ(fleet.resumeStream(1, "one"), std::nullopt) << "not known for long enough";
    keepStore(Seconds(36));
    EXPECT_EQ(fleet.resumeStream(1, "two"), "v1");
    fleet.advance(Seconds(3));
    fleet.isStoreAway = true;
    EXPECT_EQ(fleet.resumeStream(1, "three"), std::nullopt) << "the store is not heard";
    fleet.isStoreAway = false;
    fleet.addEngine("v2");
    fleet.stopEngine(2);
    keepStore(Seconds(60));
    EXPECT_EQ(fleet.resumeStream(1, "four"), std::nullopt) << "the other version has just ended";
    keepStore(Seconds(6));
    EXPECT_EQ(fleet.resumeStream(1, "five"), "v1");
}

// Guards against refusals by an entry that has just started, where the store's records show that a single version has
// served.
TEST(ResumedCalls, SoleVersionIsKnownFromTheStore)
{
    StreamFleet fleet(2, {"v1", "v1"});
    fleet.advance(Seconds(1));
    fleet.restartEntry(1);
    fleet.entry(1).onStoreAnswered(fleet.now());
    EXPECT_EQ(fleet.resumeStream(1, "one"), "v1");
}

// Guards against taking an old stream for a young one at an entry that has seen callers with short timeouts only, where
// the store has no record yet.
TEST(ResumedCalls, ShortCallsOfOthersDoNotBoundTheAgeOfAStream)
{
    StreamFleet fleet(2, {"v1", "v1"});
    fleet.beginStream(1, "other", Seconds(2));
    fleet.advance(Seconds(7));
    fleet.entry(1).onStoreAnswered(fleet.now());
    EXPECT_EQ(fleet.resumeStream(1, "one"), std::nullopt) << "may have begun 45 s ago, at a version that has ended";
}

// Guards against a version that ended before this entry started, while no other process remembers its streams.
TEST(ResumedCalls, VersionThatEndedBeforeTheStartIsKnownFromTheStore)
{
    for (const std::string name : {"s", ""}) {
        StreamFleet fleet(2, {"v1", "v2"});
        fleet.advance(Seconds(1));
        fleet.stopEngine(0);
        fleet.restartEntry(0);
        fleet.restartEntry(1);
        fleet.restartSidecar(1);
        for (const auto known : {Seconds(0), Seconds(30), Seconds(33)}) {
            fleet.advance(known);
            fleet.entry(1).onStoreAnswered(fleet.now());
            EXPECT_EQ(fleet.resumeStream(1, name), std::nullopt);
        }
        fleet.advance(Seconds(3));
        fleet.entry(1).onStoreAnswered(fleet.now());
        EXPECT_EQ(fleet.resumeStream(1, name), "v2") << "callers have given up the streams of the other version";
    }
}

// Guards against a bound on the age of a stream by what its caller says of its remaining time, which may be a default
// or the same for each call.
TEST(ResumedCalls, TimeoutOfTheCallerDoesNotBoundTheAgeOfItsStream)
{
    StreamFleet fleet(2, {"v1", "v2"});
    fleet.advance(Seconds(1));
    fleet.stopEngine(0);
    fleet.advance(Seconds(3));
    fleet.entry(1).onStoreAnswered(fleet.now());
    EXPECT_EQ(fleet.resumeStream(1, "s", Seconds(60)), std::nullopt);
    EXPECT_EQ(fleet.resumeUnnamed(1, "s", Seconds(60)), std::nullopt);
}

// Guards against taking a version for the only one while sidecars know a stream of a newer one, which this entry has
// not read yet.
TEST(ResumedCalls, SidecarsAreAskedBeforeASoleVersionIsAssumed)
{
    StreamFleet fleet(2, {"v1"});
    fleet.advance(Seconds(1));
    fleet.restartEntry(1);
    fleet.advance(Milliseconds(100));
    wire::OriginReport report;
    auto &item = *report.add_origins();
    item.set_request(fleet.contentKey("s"));
    item.set_service(engineService);
    item.set_software_version("v2");
    item.set_valid_us(60'000'000);
    fleet.report(0, report);
    fleet.entry(1).onStoreAnswered(fleet.now());
    EXPECT_EQ(fleet.resumeUnnamed(1, "s"), std::nullopt);
    EXPECT_EQ(fleet.lastRefusal.reason, RefusalReason::SoftwareVersionGone);
}

// Guards against records of versions that no longer serve, for which streams would be refused after each restart.
TEST(ResumedCalls, RecordOfAVersionIsRemovedAfterItsStreams)
{
    StreamFleet fleet(2, {"v1", "v2"});
    fleet.advance(Seconds(1));
    fleet.stopEngine(0);
    fleet.advance(Seconds(80));
    fleet.restartEntry(1);
    fleet.entry(1).onStoreAnswered(fleet.now());
    EXPECT_EQ(fleet.resumeStream(1, "s"), "v2");
}

// Guards against a proof from the store's records where it has none: it accepts no writes.
TEST(ResumedCalls, StoreWithoutRecordsProvesNothing)
{
    StreamFleet fleet(2, {"v1", "v1"}, false);
    fleet.advance(Seconds(1));
    fleet.restartEntry(1);
    fleet.entry(1).onStoreAnswered(fleet.now());
    EXPECT_EQ(fleet.resumeStream(1, "one"), std::nullopt);
}

// Guards against a stream that another service began, and that goes on at the service to which its route has moved.
TEST(ResumedCalls, StreamOfUnknownOriginIsNotAssumedAfterItsRouteMoved)
{
    StreamFleet fleet(2, {"v1", "v1"});
    fleet.advance(Seconds(1));
    fleet.routeStreamsTo(plainService);
    fleet.advance(Seconds(66));
    fleet.routeStreamsTo(engineService);
    EXPECT_EQ(fleet.resumeStream(1, "one"), std::nullopt);
    fleet.advance(Seconds(66));
    EXPECT_EQ(fleet.resumeStream(1, "two"), "v1");
}

// Guards against a version that came and went while the entry read no changes, and of which the store has no record.
TEST(ResumedCalls, LostHistoryEndsTheKnowledgeOfASoleVersion)
{
    StreamFleet fleet(2, {"v1", "v1"}, false);
    fleet.advance(Seconds(66));
    EXPECT_EQ(fleet.resumeStream(1, "one"), "v1");
    fleet.readStoreAgain(1);
    EXPECT_EQ(fleet.resumeStream(1, "two"), std::nullopt);
    fleet.advance(Seconds(66));
    EXPECT_EQ(fleet.resumeStream(1, "three"), "v1");
}

// Guards against refusals after lost history where the store's records show that a single version has served.
TEST(ResumedCalls, SoleVersionIsKnownFromTheStoreAfterLostHistory)
{
    StreamFleet fleet(2, {"v1", "v1"});
    fleet.advance(Seconds(1));
    fleet.readStoreAgain(1);
    EXPECT_EQ(fleet.resumeStream(1, "one"), "v1");
}

// Guards against a guess for a caller that does not name the first call of its stream, where several versions serve and
// no stream with the content of its request is known.
TEST(ResumedCalls, StreamWithoutANameIsNotGuessed)
{
    StreamFleet fleet(2, twoVersions);
    fleet.beginStream(0, "s");
    EXPECT_EQ(fleet.resumeUnnamed(1, "other"), std::nullopt);
    EXPECT_EQ(fleet.lastRefusal.reason, RefusalReason::OriginUnknown);
}

// Guards against refusing streams without a name while their version serves, whichever entry or one sidecar has
// restarted.
TEST(ResumedCalls, StreamWithoutANameIsFoundByItsContent)
{
    for (std::size_t lost = 0; lost < twoVersions.size(); ++lost) {
        StreamFleet fleet(2, twoVersions);
        std::map<std::string, std::string> began;
        for (int i = 0; i < 8; ++i) {
            began[streamId(i)] = fleet.beginStream(0, streamId(i));
        }
        fleet.restartEntry(0);
        fleet.restartSidecar(lost);
        for (const auto &[id, version] : began) {
            EXPECT_EQ(fleet.resumeUnnamed(1, id), version);
        }
        EXPECT_EQ(fleet.entry(1).stats().origins.matched, began.size());
    }
}

// Guards against the origin of another stream with the same content, at entries that know one or both of them.
TEST(ResumedCalls, StreamsOfTheSameContentAtTwoVersionsAreNotGuessed)
{
    StreamFleet fleet(3, twoVersions);
    std::set<std::string> versions;
    for (int i = 0; versions.size() < 2 && i < 50; ++i) {
        versions.insert(
            fleet.beginStream(static_cast<std::size_t>(i) % 2, "twin-" + std::to_string(i), Seconds(15), "twin"));
    }
    ASSERT_EQ(versions.size(), 2U);
    for (const std::size_t entry : {0U, 1U, 2U}) {
        EXPECT_EQ(fleet.resumeUnnamed(entry, "twin"), std::nullopt);
    }
}

// Guards against refusing all resumed streams after a loss of all processes where callers name no stream, as in
// deployments with a single version.
TEST(ResumedCalls, StreamWithoutANameGoesOnAtTheSoleVersion)
{
    StreamFleet fleet(1, {"v1", "v1"});
    fleet.advance(Seconds(1));
    fleet.restartEntry(0);
    fleet.entry(0).onStoreAnswered(fleet.now());
    EXPECT_EQ(fleet.resumeStream(0, ""), "v1");
    fleet.addEngine("v2");
    EXPECT_EQ(fleet.resumeStream(0, ""), std::nullopt);
}

// Guards against an origin of the endpoint that a call was to move to, while the first one's stream is forwarded.
TEST(ResumedCalls, OriginIsTheOneOfTheForwardedAttempt)
{
    StreamFleet fleet(1, {"v1"});
    auto &entry = fleet.entry(0);
    CallInfo info;
    info.requestId = "s";
    info.host = host;
    info.path = "/s/x";
    info.model = modelName;
    info.adapter = "a1";
    info.callerTimeout = Seconds(5);
    entry.onCall(CallHandle{999}, info, fleet.now());
    entry.takeActions();
    entry.onStreamStarted(CallHandle{999}, {engineService, "v0"}, fleet.now());
    const auto actions = entry.takeActions();
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<ReportOrigins>(actions[0]).report.origins(0).software_version(), "v0");
}

// Guards against calls that wait at an engine which changes its version.
TEST(ResumedCalls, CallsLeaveAnEngineThatChangesItsVersion)
{
    StreamFleet fleet(2, {"v1", "v1"});
    fleet.beginStream(0, "s");
    fleet.setVersion(0, "v2");
    fleet.setVersion(1, "v2");
    EXPECT_EQ(fleet.resumeStream(1, "s"), std::nullopt);
    EXPECT_EQ(fleet.lastRefusal.reason, RefusalReason::SoftwareVersionGone);
}

// Guards against any interleaving of lost messages, restarts, releases and cuts after which a stream changes its
// version.
TEST(ResumedCalls, NoFailureChangesTheVersionOfAStream)
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        const auto draw = [&](std::size_t count) { return static_cast<std::size_t>(random() % count); };
        StreamFleet fleet(4, twoVersions);
        std::map<std::string, std::string> began;
        std::size_t resumed = 0;
        std::size_t goneOn = 0;
        for (int step = 0; step < 300; ++step) {
            const auto entry = draw(4);
            switch (draw(8)) {
            case 0:
                fleet.restartEntry(entry);
                break;
            case 1:
                fleet.restartSidecar(draw(fleet.engineCount()));
                break;
            case 2:
                fleet.isLost = [one = entry, two = draw(8)](std::size_t from, std::size_t engine) {
                    return from == one && (two == engine || two == 7);
                };
                break;
            case 3:
                fleet.isLost = nullptr;
                break;
            case 4:
                fleet.advance(Milliseconds(static_cast<int>(draw(900)) + 100));
                break;
            case 5:
                if (fleet.engineCount() < 12) {
                    fleet.addEngine(draw(2) == 0 ? "v2" : "v3");
                }
                break;
            case 6:
                if (const auto version = fleet.beginStream(entry, streamId(step), Seconds(60)); !version.empty()) {
                    began[streamId(step)] = version;
                }
                break;
            default:
                if (!began.empty()) {
                    const auto &[id, version] = *std::next(began.begin(), static_cast<long>(draw(began.size())));
                    const auto next = step % 2 == 0 ? fleet.resumeStream(entry, id) : fleet.resumeUnnamed(entry, id);
                    ++resumed;
                    goneOn += next ? 1 : 0;
                    EXPECT_TRUE(!next || *next == version) << "seed " << seed << ", step " << step << ", " << id;
                }
            }
        }
        EXPECT_GT(goneOn * 2, resumed) << "seed " << seed;
    }
}

TEST(OriginTable, OriginsExpireWithTheirCallersAndAreBounded)
{
    OriginTable table;
    const TimePoint start{Seconds(100)};
    wire::OriginReport report;
    auto &item = *report.add_origins();
    item.set_request("s");
    item.set_service("engines");
    item.set_software_version("v1");
    item.set_valid_us(5'000'000);
    table.onReport(report, start);
    item.set_software_version("v2");
    table.onReport(report, start);
    wire::OriginAsk ask;
    ask.set_request("s");
    EXPECT_EQ(table.answer(ask, start + Seconds(4)).software_version(), "v1") << "the first report counts";
    EXPECT_FALSE(table.answer(ask, start + Seconds(5)).known());
    for (int i = 0; i < 70'000; ++i) {
        item.set_request(std::to_string(i));
        table.onReport(report, start);
    }
    EXPECT_EQ(table.stats().streams, 65'536U);
    EXPECT_GT(table.stats().dropped, 0U);
    table.tick(start + Seconds(6));
    EXPECT_EQ(table.stats().streams, 0U);
    const auto dropped = table.stats().dropped;
    item.set_request(std::string(129, 'x'));
    table.onReport(report, start + Seconds(6));
    EXPECT_EQ(table.stats().dropped, dropped + 1) << "ids are chosen by callers";
}

} // namespace anvilscale::test

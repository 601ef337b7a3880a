// Resumed streams in a service with two software versions, with real processes: two entries, two engines, two sidecars.
#include "direct_fleet.h"
#include "support/delaying_proxy.h"

#include <future>

namespace {

using namespace fleet;

class StreamVersion : public Direct
{
protected:
    static constexpr auto otherAddress = "127.0.0.4"; // of the engine of the other version and of its sidecar

    /// `softwareVersion`: of the other engine.
    void startAll(const std::string &softwareVersion = "v2")
    {
        otherVersion_ = softwareVersion;
        const std::regex streamPrefix(R"("prefix":"/s/")");
        putKey("op/config", std::regex_replace(config(2, "/n/"), streamPrefix, R"("prefix":"/s/","resumable":true)"));
        otherPort_ =
            fleet_.startStandin("site-replica", {"--id", "e-2", "--slots", "2", "--address", otherAddress}, "engine-2");
        putKey("servers/e-2", otherRecord("ready"));
        startSidecars();
        startEntries();
    }
    void startSidecars()
    {
        startSidecar();
        startSidecar("side-2", otherAddress, otherPort_);
    }
    void startEntries()
    {
        startEntry();
        startEntry("entry-2", "127.0.0.3", secondEntry_);
        awaitEntries();
    }
    void awaitEntries()
    {
        EXPECT_TRUE(eventually([&] {
            return readinessStatus() == 200 && request(secondEntry_.ready, "GET", "/api/readyz").status == 200;
        }));
        EXPECT_TRUE(eventually([&] { return hasEngines("entry-1") && hasEngines("entry-2"); }));
    }
    void killEntries()
    {
        for (const std::string name : {"entry-1", "entry-2"}) {
            daemons_.erase(name);
            std::filesystem::remove(fleet_.logFile(name));
        }
    }
    void restartSidecars()
    {
        daemons_.erase("side-1");
        daemons_.erase("side-2");
        startSidecars();
    }
    std::string otherRecord(const std::string &state) const
    {
        const auto text = record("engines", std::string(otherAddress) + ":" + std::to_string(otherPort_), state);
        return std::regex_replace(text, std::regex(R"("version":"v1")"), R"("version":")" + otherVersion_ + R"(")");
    }
    bool hasEngines(const std::string &entry) const
    {
        const std::regex line(R"("member_changed"[^\n]*"connected")");
        const auto log = readLog(entry);
        return std::distance(std::sregex_iterator(log.begin(), log.end(), line), std::sregex_iterator()) >= engines_;
    }
    void breakNextStream(bool isBroken)
    {
        const std::string fault = R"({"fault":"break","times":)" + std::string(isBroken ? "1" : "0") + "}";
        controlStandin(enginePort_, fault, sidecarAddress);
        controlStandin(otherPort_, fault, otherAddress);
    }
    /// Begins a stream at the first entry and has its engine break it off. Returns whether that is the other engine.
    bool beginStream(const std::string &id)
    {
        breakNextStream(true);
        EXPECT_EQ(call("/s/x", id, "a1").body.find("piece 3"), std::string::npos) << "broken off";
        breakNextStream(false);
        return executionCount(otherPort_, id, otherAddress) == 1;
    }
    /// Resumes the stream `firstId` at the second entry.
    Answer resumeStream(const std::string &id, const std::string &firstId, bool namesFirstCall = true)
    {
        std::map<std::string, std::string> headers{{"Last-Event-Id", "2"}};
        if (namesFirstCall) {
            headers["Resumes"] = firstId;
        }
        return callSecondEntry(id, "body " + firstId, std::chrono::milliseconds(5000), std::move(headers));
    }
    Answer callSecondEntry(const std::string &id, const std::string &body, std::chrono::milliseconds timeLeft,
                           std::map<std::string, std::string> headers = {})
    {
        headers.insert({{"Host", "h.example"},
                        {"X-Anvilscale-Request-Id", id},
                        {"X-Anvilscale-Deadline-Ms", std::to_string(timeLeft.count())},
                        {"X-Anvilscale-Model", "base/a1"},
                        {"X-Anvilscale-Token-Usage", "100,20"}});
        return request(secondEntry_.http, "POST", "/s/x", body, headers);
    }
    /// Starts all with the first engine only, which runs the only version that the store knows. The other engine has
    /// no record yet. `secondEntryStore` and `secondEntryTimes`: store port and further settings of the second entry.
    void startSoleVersion(unsigned secondEntryStore, const std::string &secondEntryTimes = R"("storePauseMs":50)")
    {
        const std::regex streamPrefix(R"("prefix":"/s/")");
        putKey("op/config", std::regex_replace(config(2, "/n/"), streamPrefix, R"("prefix":"/s/","resumable":true)"));
        putKey("anvilscale/software/engines/v1", R"({"service":"engines","version":"v1"})");
        otherVersion_ = "v2";
        otherPort_ =
            fleet_.startStandin("site-replica", {"--id", "e-2", "--slots", "2", "--address", otherAddress}, "engine-2");
        startSidecars();
        startEntry();
        startDaemon("entry-2", R"({"role":"direct-entry","name":"entry-2","dataCentre":"dc","control":{"address":)"
                               R"("127.0.0.3","port":)"
                                   + std::to_string(controlPort_) + R"(},"http":{"at":"127.0.0.1:)"
                                   + std::to_string(secondEntry_.http) + R"("},"direct":{"store":"http://127.0.0.1:)"
                                   + std::to_string(secondEntryStore) + R"(","ready":{"at":"127.0.0.1:)"
                                   + std::to_string(secondEntry_.ready) + R"("},)" + secondEntryTimes
                                   + R"(,"graceMs":8000,"metricsPort":)" + std::to_string(secondEntry_.metrics)
                                   + R"(},"log":{"file":"-"}})");
        engines_ = 1;
        awaitEntries();
        EXPECT_EQ(resumeStream("sole", "unknown").status, 200) << "the sole version is known";
    }
    /// Resumes a stream of unknown origin once the store has acknowledged the record of the other version. It may have
    /// begun there through any entry that has read the record.
    void expectNoJoinAfterOtherVersionJoined()
    {
        putKey("servers/e-2", otherRecord("ready"));
        expectRefused(resumeStream("r-2", "lost"), true, "r-2");
    }
    void expectNoJoinWithLateAnswers(std::chrono::milliseconds delay)
    {
        anvilscale::test::DelayingProxy proxy(storePort_);
        startSoleVersion(proxy.port(), R"("storePauseMs":50,"leaveMs":5000,"configMs":5000)");
        proxy.setDelay(delay);
        putKey("other", "1"); // ends the watch under way, so that a later one waits in the store
        std::this_thread::sleep_for(2 * delay + std::chrono::milliseconds(200));
        expectNoJoinAfterOtherVersionJoined();
        daemons_.erase("entry-2");
    }
    /// The other version joins, and the first entry begins a stream there. Returns its request id.
    std::string beginStreamAtJoinedVersion()
    {
        putKey("servers/e-2", otherRecord("ready"));
        engines_ = 2;
        EXPECT_TRUE(eventually([&] { return hasEngines("entry-1"); }));
        for (int i = 0; i < 50; ++i) {
            auto id = "r-" + std::to_string(i);
            if (beginStream(id)) {
                return id;
            }
        }
        ADD_FAILURE() << "no stream began at the other version";
        return {};
    }
    /// The engine stops and its record is removed. Its sidecar goes on.
    void removeEngine(bool isOther)
    {
        const std::string id = isOther ? "e-2" : "e-1";
        controlStandin(storePort_, R"({"deletes":["servers/)" + id + R"("]})");
        fleet_.removeProcess(isOther ? "engine-2" : "engine");
        engines_ = 1;
    }
    void awaitRemoval(bool isOther)
    {
        const std::string id = isOther ? "e-2" : "e-1";
        const std::regex line(R"("endpoint_removed"[^\n]*"endpoint":")" + id + R"(")");
        EXPECT_TRUE(eventually([&] { return std::regex_search(readLog("entry-2"), line); }));
    }
    /// The stream of a version that has ended was refused, and no other version has run it.
    void expectRefused(const Answer &answer, bool isOther, const std::string &id)
    {
        EXPECT_EQ(answer.status, 503);
        EXPECT_EQ(runCount(!isOther, id), 0);
    }
    void makeEngineLeave(bool isOther)
    {
        if (isOther) {
            putKey("servers/e-2", otherRecord("draining"));
        } else {
            putKey("servers/e-1",
                   record("engines", std::string(sidecarAddress) + ":" + std::to_string(enginePort_), "draining"));
        }
        const std::string id = isOther ? "e-2" : "e-1";
        const std::regex line(R"("endpoint_changed"[^\n]*"endpoint":")" + id + R"("[^\n]*"leaving":true)");
        EXPECT_TRUE(eventually([&] { return std::regex_search(readLog("entry-2"), line); }));
    }
    int runCount(bool isOther, const std::string &id) const
    {
        return isOther ? executionCount(otherPort_, id, otherAddress) : executionCount(enginePort_, id, sidecarAddress);
    }

    EntryPorts secondEntry_;
    unsigned otherPort_ = 0;
    std::string otherVersion_;
    int engines_ = 2; // with a record
};

// Guards against a stream that goes on at another software version than the one that began it, at an entry that has
// never seen the stream.
TEST_F(StreamVersion, ResumedStreamIsRefusedIfOnlyAnotherVersionServes)
{
    startAll();
    const bool isOther = beginStream("r-1");
    makeEngineLeave(isOther);
    EXPECT_EQ(resumeStream("r-2", "r-1").status, 503);
    EXPECT_EQ(runCount(!isOther, "r-2"), 0);
}

// Guards against refusing resumed streams although endpoints of their software version serve, and against placing them
// by load or adapter alone.
TEST_F(StreamVersion, ResumedStreamsGoOnAtTheirVersion)
{
    startAll();
    for (int i = 0; i < 8; ++i) {
        const auto id = "r-" + std::to_string(i);
        const bool isOther = beginStream(id);
        EXPECT_EQ(resumeStream(id + "-again", id).status, 200);
        EXPECT_EQ(runCount(isOther, id + "-again"), 1);
    }
}

// Guards against a stream joined from two versions at entries that have just started and know the other one only: the
// caller does not name its first call.
TEST_F(StreamVersion, UnnamedStreamIsNotJoinedAfterAllEntriesRestarted)
{
    startAll();
    const bool isOther = beginStream("r-1");
    removeEngine(isOther);
    killEntries();
    startEntries();
    expectRefused(resumeStream("r-2", "r-1", false), isOther, "r-2");
}

// Guards against a stream joined from two versions at an entry that has itself seen the first one end.
TEST_F(StreamVersion, UnnamedStreamIsNotJoinedWhereItsVersionHasJustEnded)
{
    startAll();
    const bool isOther = beginStream("r-1");
    removeEngine(isOther);
    awaitRemoval(isOther);
    expectRefused(resumeStream("r-2", "r-1", false), isOther, "r-2");
}

// Guards against taking an old stream for a young one: the entry has seen no caller that waits as long as this one.
TEST_F(StreamVersion, StreamOfAnUnknownCallIsNotJoinedAtAnEntryThatKnowsShortCalls)
{
    startAll();
    const bool isOther = beginStream("r-1");
    removeEngine(isOther);
    killEntries();
    startEntries();
    std::this_thread::sleep_for(std::chrono::milliseconds(1600));
    EXPECT_EQ(callSecondEntry("new", "body", std::chrono::milliseconds(2000)).status, 200);
    expectRefused(resumeStream("r-2", "unknown"), isOther, "r-2");
}

// Guards against a stream joined from two versions where all that knew its origin has restarted.
TEST_F(StreamVersion, StreamIsNotJoinedAfterAllEntriesAndSidecarsRestarted)
{
    startAll();
    const bool isOther = beginStream("r-1");
    removeEngine(isOther);
    killEntries();
    restartSidecars();
    startEntries();
    std::this_thread::sleep_for(std::chrono::milliseconds(1600));
    EXPECT_EQ(callSecondEntry("new", "body", std::chrono::milliseconds(2000)).status, 200);
    expectRefused(resumeStream("r-2", "r-1"), isOther, "r-2");
}

// Guards against refusing streams of the only version that has served, right after all entries have restarted.
TEST_F(StreamVersion, StreamsOfASoleVersionGoOnAfterAllEntriesRestarted)
{
    startAll("v1");
    for (int i = 0; i < 10; ++i) {
        beginStream("r-" + std::to_string(i));
    }
    killEntries();
    startEntries();
    for (int i = 0; i < 10; ++i) {
        const auto id = "r-" + std::to_string(i);
        EXPECT_EQ(resumeStream(id + "-named", id).status, 200);
        EXPECT_EQ(resumeStream(id + "-unnamed", id, false).status, 200);
    }
}

// Guards against refusing streams whose version still serves beside another one, right after all entries have
// restarted.
TEST_F(StreamVersion, StreamsOfTwoVersionsGoOnAfterAllEntriesRestarted)
{
    startAll();
    std::map<std::string, bool> began; // whether at the other engine, by request id
    for (int i = 0; i < 10; ++i) {
        const auto id = "r-" + std::to_string(i);
        began[id] = beginStream(id);
    }
    killEntries();
    startEntries();
    int resumed = 0;
    for (const auto &[id, isOther] : began) {
        for (const bool isNamed : {true, false}) {
            const auto again = id + (isNamed ? "-named" : "-unnamed");
            resumed += resumeStream(again, id, isNamed).status == 200 ? 1 : 0;
            EXPECT_EQ(runCount(!isOther, again), 0);
        }
    }
    EXPECT_GE(resumed, 18);
}

// Guards against a resumed stream that repeats events of its caller unseen. Sight only: the stream is forwarded whole.
TEST_F(StreamVersion, ResumedStreamThatRepeatsEventsIsLogged)
{
    startAll();
    beginStream("r-1");
    const auto hasLine = [&](const std::string &id, const std::string &fields) {
        const std::regex line(R"("request":")" + id + R"(","outcome":"answered"[^\n]*)" + fields);
        return eventually([&] { return std::regex_search(readLog("entry-2"), line); });
    };
    const auto resumed = resumeStream("r-2", "r-1").body;
    EXPECT_EQ(resumed.find("piece 2"), std::string::npos) << resumed;
    EXPECT_TRUE(hasLine("r-2", R"("afterEvent":"2","eventIds":"none","lastEvent":"5")")) << readLog("entry-2");
    controlStandin(enginePort_, R"({"fault":"repeat","times":1})", sidecarAddress);
    controlStandin(otherPort_, R"({"fault":"repeat","times":1})", otherAddress);
    const auto repeated = resumeStream("r-3", "r-1").body;
    EXPECT_NE(repeated.find("piece 1"), std::string::npos) << repeated;
    EXPECT_NE(repeated.find("piece 5"), std::string::npos) << repeated;
    EXPECT_TRUE(hasLine("r-3", R"("afterEvent":"2","eventIds":"repeated","lastEvent":"5")")) << readLog("entry-2");
    EXPECT_TRUE(eventually([&] {
        return request(secondEntry_.metrics, "GET", "/metrics").body.find(R"(event_ids_total{finding="repeated"} 1)")
               != std::string::npos;
    }));
}

// Guards against a stream joined from two versions at an entry whose answers from the store are late.
TEST_F(StreamVersion, StreamIsNotJoinedWhereAnswersOfTheStoreAreLate)
{
    expectNoJoinWithLateAnswers(std::chrono::milliseconds(300));
}

// Guards against the same with answers that are later than a retried call may take by the settings' defaults.
TEST_F(StreamVersion, StreamIsNotJoinedWhereAnswersOfTheStoreAreVeryLate)
{
    expectNoJoinWithLateAnswers(std::chrono::milliseconds(1000));
}

// Guards against a stream joined from two versions at an entry that has stood still, by an answer of the store from
// before the other version joined.
TEST_F(StreamVersion, StreamIsNotJoinedAfterItsEntryStoodStill)
{
    startSoleVersion(storePort_);
    std::this_thread::sleep_for(std::chrono::milliseconds(200)); // a watch waits in the store
    daemons_["entry-2"]->signal(SIGSTOP);
    putKey("other", "1");
    putKey("servers/e-2", otherRecord("ready"));
    auto resumed = std::async(std::launch::async, [&] { return resumeStream("r-2", "lost"); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    daemons_["entry-2"]->signal(SIGCONT);
    expectRefused(resumed.get(), true, "r-2");
}

// Guards against the same where all processes that knew the stream have ended meanwhile.
TEST_F(StreamVersion, StreamIsNotJoinedAfterItsEntryStoodStillAndItsSidecarsEnded)
{
    startSoleVersion(storePort_, R"("storePauseMs":50,"leaveMs":10000,"configMs":10000)");
    std::this_thread::sleep_for(std::chrono::milliseconds(200)); // a watch waits in the store
    daemons_["entry-2"]->signal(SIGSTOP);
    putKey("other", "1");
    const auto began = beginStreamAtJoinedVersion();
    daemons_.erase("entry-1");
    restartSidecars();
    auto resumed = std::async(std::launch::async, [&] { return resumeStream("again", began); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    daemons_["entry-2"]->signal(SIGCONT);
    expectRefused(resumed.get(), true, "again");
}

// Guards against a stream joined from two versions at an entry that pauses between its watches.
TEST_F(StreamVersion, StreamIsNotJoinedInAPauseBetweenWatches)
{
    startSoleVersion(storePort_, R"("leaveMs":3000,"configMs":3000)");
    std::this_thread::sleep_for(std::chrono::milliseconds(2000)); // a watch waits in the store
    putKey("other", "1");
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    expectNoJoinAfterOtherVersionJoined();
}

// Guards against refusing for good a stream whose version is known to sidecars and has not been read from the store yet
// by the entry that resumes it, as the store's answers are late.
TEST_F(StreamVersion, StreamOfAVersionThatItsEntryHasNotReadYetGoesOn)
{
    anvilscale::test::DelayingProxy proxy(storePort_);
    startSoleVersion(proxy.port(), R"("storePauseMs":50,"leaveMs":10000,"configMs":10000)");
    proxy.setDelay(std::chrono::milliseconds(2000));
    const auto began = beginStreamAtJoinedVersion();
    EXPECT_EQ(resumeStream("again", began).status, 200);
    EXPECT_EQ(runCount(true, "again"), 1);
    daemons_.erase("entry-2");
}

// Guards against refusing streams that sidecars know at an entry that has stood still for so long that it takes no
// sidecar for reachable, while their version has not been read from the store either.
TEST_F(StreamVersion, StreamsGoOnAfterTheirEntryStoodStillForLong)
{
    startSoleVersion(storePort_);
    daemons_["entry-2"]->signal(SIGSTOP);
    const auto stoppedAt = std::chrono::steady_clock::now();
    const auto began = beginStreamAtJoinedVersion();
    std::vector<std::future<Answer>> resumed;
    constexpr std::size_t calls = 6;
    resumed.reserve(calls);
    std::this_thread::sleep_until(stoppedAt + std::chrono::milliseconds(3900));
    for (std::size_t i = 0; i < calls; ++i) {
        resumed.push_back(std::async(std::launch::async,
                                     [this, i, began] { return resumeStream("again-" + std::to_string(i), began); }));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    daemons_["entry-2"]->signal(SIGCONT);
    for (std::size_t i = 0; i < calls; ++i) {
        EXPECT_EQ(resumed[i].get().status, 200);
        EXPECT_EQ(runCount(true, "again-" + std::to_string(i)), 1);
    }
}

} // namespace

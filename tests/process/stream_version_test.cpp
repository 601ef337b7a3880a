// Resumed streams in a service with two software versions, with real processes: two entries, two engines, two sidecars.
#include "direct_fleet.h"

namespace {

using namespace fleet;

class StreamVersion : public Direct
{
protected:
    static constexpr auto otherAddress = "127.0.0.4"; // of the engine of the other version and of its sidecar

    void startAll()
    {
        const std::regex streamPrefix(R"("prefix":"/s/")");
        putKey("op/config", std::regex_replace(config(2, "/n/"), streamPrefix, R"("prefix":"/s/","resumable":true)"));
        otherPort_ =
            fleet_.startStandin("site-replica", {"--id", "e-2", "--slots", "2", "--address", otherAddress}, "engine-2");
        putKey("servers/e-2", otherRecord("ready"));
        startSidecar();
        startSidecar("side-2", otherAddress, otherPort_);
        startEntry();
        startEntry("entry-2", "127.0.0.3", secondEntry_);
        EXPECT_TRUE(eventually([&] {
            return readinessStatus() == 200 && request(secondEntry_.ready, "GET", "/api/readyz").status == 200;
        }));
        EXPECT_TRUE(eventually([&] { return hasEngines("entry-1") && hasEngines("entry-2"); }));
    }
    std::string otherRecord(const std::string &state) const
    {
        const auto text = record("engines", std::string(otherAddress) + ":" + std::to_string(otherPort_), state);
        return std::regex_replace(text, std::regex(R"("version":"v1")"), R"("version":"v2")");
    }
    bool hasEngines(const std::string &entry) const
    {
        const std::regex line(R"("member_changed"[^\n]*"connected")");
        const auto log = readLog(entry);
        return std::distance(std::sregex_iterator(log.begin(), log.end(), line), std::sregex_iterator()) >= 2;
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
    Answer resumeStream(const std::string &id, const std::string &firstId)
    {
        return request(secondEntry_.http, "POST", "/s/x", "body " + firstId,
                       {{"Host", "h.example"},
                        {"X-Anvilscale-Request-Id", id},
                        {"X-Anvilscale-Deadline-Ms", "5000"},
                        {"X-Anvilscale-Model", "base/a1"},
                        {"X-Anvilscale-Token-Usage", "100,20"},
                        {"Last-Event-Id", "2"},
                        {"Resumes", firstId}});
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

} // namespace

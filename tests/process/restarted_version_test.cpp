// A resumable stream at an engine that restarts in place, with real processes.
#include "direct_fleet.h"

namespace {

using namespace fleet;

class RestartedVersion : public Direct
{
protected:
    static constexpr std::int64_t firstStartMs = 1'767'883'170'000;
    static constexpr std::int64_t secondStartMs = firstStartMs + 9000;

    void startAll()
    {
        const std::regex streamPrefix(R"("prefix":"/s/")");
        putKey("op/config", std::regex_replace(config(2, "/n/"), streamPrefix, R"("prefix":"/s/","resumable":true)"));
        restartEngine(firstStartMs);
        putRecord(firstStartMs);
        start();
    }
    void restartEngine(std::int64_t startTimeMs) const
    {
        controlStandin(enginePort_, R"({"born":)" + std::to_string(startTimeMs) + "}", sidecarAddress);
    }
    void putRecord(std::int64_t startTimeMs) const
    {
        auto text = record("engines", std::string(sidecarAddress) + ":" + std::to_string(enginePort_));
        text.pop_back();
        putKey("servers/e-1", text + R"(,"born":)" + std::to_string(startTimeMs) + "}");
    }
    Answer callStream(std::map<std::string, std::string> headers) const
    {
        headers.insert({{"Host", "h.example"},
                        {"X-Anvilscale-Deadline-Ms", "60000"},
                        {"X-Anvilscale-Model", "base/a1"},
                        {"X-Anvilscale-Token-Usage", "100,20"}});
        return request(httpPort_, "POST", "/s/x", "body", headers);
    }
    /// Begins a stream and has its engine break it off.
    void beginStream(const std::string &id) const
    {
        EXPECT_EQ(callStream({{"X-Anvilscale-Request-Id", "warm-up"}}).status, 200);
        controlStandin(enginePort_, R"({"fault":"break","times":1})", sidecarAddress);
        EXPECT_EQ(callStream({{"X-Anvilscale-Request-Id", id}}).body.find("piece 3"), std::string::npos)
            << "broken off";
    }
    /// Resumes the stream `firstId`; returns the status.
    int resumeStream(const std::string &firstId)
    {
        return callStream({{"X-Anvilscale-Request-Id", "again-" + std::to_string(++resumed_)},
                           {"Last-Event-Id", "2"},
                           {"Resumes", firstId}})
            .status;
    }

    int resumed_ = 0;
};

// Guards against a stream that goes on at an engine whose record does not describe its process, which may be of another
// software version, and against refusing it for longer, or refusing other calls.
TEST_F(RestartedVersion, StreamsAreResumedOnceTheRecordOfTheNewProcessIsRead)
{
    startAll();
    beginStream("r-1");
    EXPECT_EQ(resumeStream("r-1"), 200);
    restartEngine(secondStartMs);
    EXPECT_TRUE(eventually([&] { return resumeStream("r-1") == 503; }));
    EXPECT_EQ(callStream({{"X-Anvilscale-Request-Id", "new"}}).status, 200);
    EXPECT_EQ(resumeStream("r-1"), 503) << "as long as its record is the one of the process before";
    putRecord(secondStartMs);
    EXPECT_TRUE(eventually([&] { return resumeStream("r-1") == 200; }));
}

} // namespace

// Quarantine of prompt parts that crash engines, shared by two entries, with real processes.
#include "direct_fleet.h"

namespace {

using namespace fleet;

class DirectPartQuarantine : public Direct
{
protected:
    static constexpr int extraEngines = 5;

    struct Engine
    {
        std::string id;
        std::string address;
        unsigned port = 0;
    };

    void startAll()
    {
        engines_.push_back({"e-1", sidecarAddress, enginePort_});
        for (int i = 0; i < extraEngines; ++i) {
            const auto name = "x-" + std::to_string(i);
            const auto address = "127.0.0." + std::to_string(4 + i);
            const auto port =
                fleet_.startStandin("site-replica", {"--id", name, "--slots", "2", "--address", address}, name);
            startSidecar("side-" + name, address, port);
            engines_.push_back({name, address, port});
        }
        for (const auto &engine : engines_) {
            const auto text = record("engines", engine.address + ":" + std::to_string(engine.port));
            putKey("servers/" + engine.id,
                   std::regex_replace(text, std::regex(R"("models")"), R"("born":1000,"models")"));
            controlStandin(engine.port, R"({"crashOnPart":"bad","downMs":600,"born":1000})", engine.address);
        }
        start();
        startEntry("entry-2", "127.0.0.3", secondEntry_);
        EXPECT_TRUE(eventually([&] { return request(secondEntry_.ready, "GET", "/api/readyz").status == 200; }));
    }
    /// Sends a new request whose prompt has this part between a first one that all share and one of its own.
    Answer sendRequest(unsigned entry, const std::string &part)
    {
        const auto id = "r-" + std::to_string(++requestCount_);
        return request(entry, "POST", "/s/x", "body " + id,
                       {{"Host", "h.example"},
                        {"X-Anvilscale-Request-Id", id},
                        {"X-Anvilscale-Deadline-Ms", "5000"},
                        {"X-Anvilscale-Model", "base"},
                        {"X-Anvilscale-Token-Usage", "100,20"},
                        {"X-Anvilscale-Prefix-Hash", "first:50," + part + ":20," + id + ":30"}});
    }
    bool isQuarantined(unsigned entry, const std::string &part)
    {
        return sendRequest(entry, part).body.find("prompt_part_quarantined") != std::string::npos;
    }
    int crashCount() const
    {
        int count = 0;
        for (const auto &engine : engines_) {
            count += parse(requestAt(engine.address, engine.port, "GET", "/standin").body)->getValue<int>("crashes");
        }
        return count;
    }

    EntryPorts secondEntry_;
    std::vector<Engine> engines_;
    int requestCount_ = 0;
};

// Guards against requests that are all different and crash one engine after another by a prompt part that they share.
TEST_F(DirectPartQuarantine, DifferentRequestsWithACrashingPartAreRefusedAtEveryEntry)
{
    startAll();
    EXPECT_TRUE(eventually([&] {
        const bool atFirst = isQuarantined(httpPort_, "bad");
        const bool atSecond = isQuarantined(secondEntry_.http, "bad");
        return atFirst && atSecond;
    }));
    const auto crashesBefore = crashCount();
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(sendRequest(httpPort_, "bad").status, 503);
        EXPECT_EQ(sendRequest(secondEntry_.http, "bad").status, 503);
    }
    EXPECT_EQ(crashCount(), crashesBefore);
    for (const auto entry : {httpPort_, secondEntry_.http}) {
        EXPECT_TRUE(eventually([&] { return sendRequest(entry, "sound").status == 200; }))
            << "requests that share the first part are served";
        EXPECT_FALSE(isQuarantined(entry, "sound"));
    }
}

} // namespace

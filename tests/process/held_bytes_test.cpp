// The memory of an entry that holds large bodies for endpoints that do not read them.
#include "direct_fleet.h"
#include "support/stalled_reader.h"

namespace {

using namespace fleet;
using anvilscale::test::StalledReader;

constexpr std::size_t callerCount = 47;
constexpr std::size_t bodyBytes = 4U << 20; // the largest that an entry accepts
constexpr std::uint64_t memoryLimitKb = 160U << 10; // of an entry whose limit is not set

/// What a process uses of its own, without the pages of its program and libraries. 0 if it has ended.
std::uint64_t anonymousKb(const Process &process)
{
    std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("RssAnon:")) {
            return std::stoull(line.substr(8));
        }
    }
    return 0;
}

class HeldBytes : public Direct
{
protected:
    /// Makes the slow endpoint the only one of the plain service, whose calls have much time.
    void startWithSlowEndpoint()
    {
        const auto text = config(2, "/n/");
        putKey("op/config", std::regex_replace(text, std::regex(R"("timeout_ms":6000)"), R"("timeout_ms":60000)"));
        controlStandin(storePort_, R"({"deletes":["servers/p-1","servers/p-2"]})");
        putKey("servers/p-3", record("plain", slow_.address()));
        start();
    }
    Answer upload(const std::string &id, std::size_t bytes) const
    {
        return request(
            httpPort_, "POST", "/n/x", std::string(bytes, 'b'),
            {{"Host", "h.example"}, {"X-Anvilscale-Request-Id", id}, {"X-Anvilscale-Deadline-Ms", "60000"}});
    }
    static std::string uploadId(std::size_t number)
    {
        return "upload-" + std::to_string(number);
    }

    StalledReader slow_;
};

} // namespace

// Guards against an entry that exceeds its memory by bodies that endpoints read slowly, and ends with calls that it has
// passed on.
TEST_F(HeldBytes, BodiesOfAllCallsStayWithinTheMemory)
{
    startWithSlowEndpoint();
    std::array<Answer, callerCount> answers;
    std::atomic<std::size_t> answered = 0;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.emplace_back([&, i] {
            answers[i] = upload(uploadId(i), bodyBytes);
            ++answered;
        });
    }
    std::uint64_t peakKb = 0;
    const auto hasSettled = [&] {
        peakKb = std::max(peakKb, anonymousKb(*daemons_["entry-1"]));
        std::size_t atEndpoint = 0;
        for (std::size_t i = 0; i < callerCount; ++i) {
            atEndpoint += slow_.hasHead(uploadId(i)) ? 1 : 0;
        }
        return atEndpoint + answered == callerCount;
    };
    EXPECT_TRUE(eventually(hasSettled)) << answered << " answered before any body was read";
    slow_.release();
    EXPECT_TRUE(eventually([&] {
        peakKb = std::max(peakKb, anonymousKb(*daemons_["entry-1"]));
        return answered == callerCount;
    }));
    for (auto &caller : callers) {
        caller.join();
    }
    EXPECT_LE(peakKb, memoryLimitKb);
    for (std::size_t i = 0; i < callerCount; ++i) {
        const auto id = uploadId(i);
        EXPECT_TRUE(answers[i].status == 200 || answers[i].status == 503) << id << ": " << answers[i].status;
        EXPECT_EQ(slow_.executionCount(id), answers[i].status == 200 ? 1 : 0) << id;
        EXPECT_EQ(answers[i].headers.contains("Retry-After"), answers[i].status == 503) << id;
    }
}

// The direct path with real processes: calls, and failures of endpoints, the store and processes.
#include "direct_fleet.h"

#include <regex>

namespace {

using namespace fleet;

TEST_F(Direct, PlainCallsAndStreamsAreAnsweredCompletely)
{
    start();
    const auto plain = call("/n/x", "r-1");
    EXPECT_EQ(plain.status, 200);
    EXPECT_EQ(plain.body, "answer to body r-1");
    EXPECT_EQ(plain.headers.at("X-Anvilscale-Server-Signature"), "sig.r-1");
    const auto stream = call("/s/x", "r-2", "a1");
    EXPECT_EQ(stream.status, 200);
    EXPECT_NE(stream.body.find("data: piece 5"), std::string::npos) << stream.body;
    EXPECT_EQ(call("/unknown/x", "r-3").status, 404);
    // The log is written by a thread of its own.
    EXPECT_TRUE(eventually(
        [&] { return readLog("entry-1").find(R"("request":"r-2","outcome":"answered")") != std::string::npos; }));
}

TEST_F(Direct, MetricsCountCallsRefusalsAndLatencies)
{
    start();
    EXPECT_EQ(call("/n/x", "r-1").status, 200);
    EXPECT_EQ(call("/unknown/x", "r-2").status, 404);
    EXPECT_TRUE(eventually([&] {
        const auto text = request(metricsPort_, "GET", "/metrics").body;
        return text.find("anvilscale_direct_calls_total 2") != std::string::npos
               && text.find(R"(anvilscale_direct_refusals_total{reason="unknown_route"} 1)") != std::string::npos
               && text.find("anvilscale_call_first_byte_seconds_count 1") != std::string::npos;
    }));
}

TEST_F(Direct, LogTimesAreInTheStandardForm)
{
    start();
    const std::regex timePattern(R"(\{"time":"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z","event":)");
    EXPECT_TRUE(std::regex_search(readLog("entry-1"), timePattern)) << readLog("entry-1");
}

// Guards against loads beyond the engine's slots, on which the real engine crashes, and against calls that starve while
// more adapters are in demand than there are slots.
TEST_F(Direct, AdaptersShareTheSlots)
{
    start();
    for (int round = 0; round < 2; ++round) {
        for (int adapter = 1; adapter <= 5; ++adapter) {
            const auto name = "a" + std::to_string(adapter);
            const auto answer = call("/s/x", "r-" + std::to_string(round) + name, name);
            EXPECT_EQ(answer.status, 200) << name;
        }
    }
    EXPECT_FALSE(parse(requestAt(sidecarAddress, enginePort_, "GET", "/standin").body)->getValue<bool>("overfull"));
}

// Guards against repeated loads beyond the slots after orders whose answers are lost. The sidecar reads their effect
// from the engine's report.
TEST_F(Direct, OrdersWithLostAnswersAreRecovered)
{
    start();
    controlStandin(enginePort_, R"({"lostOrders":4})", sidecarAddress);
    for (const auto *adapter : {"a1", "a2", "a3"}) {
        EXPECT_EQ(call("/s/x", std::string("r-") + adapter, adapter).status, 200) << adapter;
    }
    EXPECT_FALSE(parse(requestAt(sidecarAddress, enginePort_, "GET", "/standin").body)->getValue<bool>("overfull"));
}

// Guards against an engine that stays empty after a restart under another incarnation.
TEST_F(Direct, RestartedEngineIsReloaded)
{
    start();
    EXPECT_EQ(call("/s/x", "r-1", "a1").status, 200);
    controlStandin(enginePort_, R"({"id":"e-2"})", sidecarAddress);
    controlStandin(storePort_, R"({"deletes":["servers/e-1"]})");
    putKey("servers/e-2", record("engines", std::string(sidecarAddress) + ":" + std::to_string(enginePort_)));
    EXPECT_TRUE(eventually([&] { return call("/s/x", "r-2", "a1").status == 200; }));
}

// Guards against a restarted sidecar whose orders are fenced off: its fencing number must have increased.
TEST_F(Direct, RestartedSidecarMaySendOrders)
{
    start();
    EXPECT_EQ(call("/s/x", "r-1", "a1").status, 200);
    daemons_["side-1"]->signal(SIGKILL);
    daemons_["side-1"]->wait();
    startSidecar();
    EXPECT_TRUE(eventually([&] { return call("/s/x", "r-2", "a2").status == 200; }));
}

// Guards against a second run of a non-idempotent call after a broken answer. An idempotent call is retried at the
// other endpoint.
TEST_F(Direct, BrokenAnswersAreRetriedOnlyIfIdempotent)
{
    start();
    for (const auto port : plainPorts_) {
        controlStandin(port, R"({"fault":"break","times":1})");
    }
    EXPECT_EQ(call("/n/x", "r-1").status, 502);
    EXPECT_EQ(plainExecutionCount("r-1"), 1);
    const auto repaired = call("/i/x", "r-2");
    EXPECT_EQ(repaired.status, 200);
    EXPECT_EQ(repaired.body, "answer to body r-2");
}

// Guards against a broken stream that looks complete to its caller: the connection is cut without the final chunk.
TEST_F(Direct, BrokenStreamDoesNotLookComplete)
{
    start();
    EXPECT_EQ(call("/s/x", "r-1", "a1").status, 200);
    controlStandin(enginePort_, R"({"fault":"break","times":1})", sidecarAddress);
    const auto bytes = rawCall("/s/x", "r-2", "a1");
    EXPECT_NE(bytes.find("piece 2"), std::string::npos) << bytes;
    EXPECT_FALSE(bytes.ends_with("0\r\n\r\n")) << bytes;
}

// Guards against a truncated stream that looks complete to its caller: the endpoint marks the end of the stream only by
// closing its connection, and closes it inside an event.
TEST_F(Direct, UnframedStreamThatEndsInsideAnEventDoesNotLookComplete)
{
    start();
    EXPECT_EQ(call("/s/x", "r-1", "a1").status, 200);
    controlStandin(enginePort_, R"({"fault":"unframed_break","times":1})", sidecarAddress);
    const auto bytes = rawCall("/s/x", "r-2", "a1");
    EXPECT_NE(bytes.find("piece 2"), std::string::npos) << bytes;
    EXPECT_EQ(bytes.find("id: 3"), std::string::npos) << bytes;
    EXPECT_FALSE(bytes.ends_with("0\r\n\r\n")) << bytes;
}

// Guards against a broken stream that looks complete to a caller of HTTP/1.0, which takes the end of the connection for
// the end of the answer: the connection must be reset.
TEST_F(Direct, BrokenStreamDoesNotLookCompleteWithoutChunks)
{
    start();
    EXPECT_EQ(call("/s/x", "r-1", "a1").status, 200);
    EXPECT_TRUE(rawCall("/s/x", "r-2", "a1", "HTTP/1.0").ends_with("piece 5\n\n"));
    controlStandin(enginePort_, R"({"fault":"break","times":1})", sidecarAddress);
    EXPECT_THROW(rawCall("/s/x", "r-3", "a1", "HTTP/1.0"), Poco::Net::ConnectionResetException);
}

// Guards against cutting a complete stream that ends with its endpoint's connection.
TEST_F(Direct, UnframedStreamIsForwardedCompletely)
{
    start();
    EXPECT_EQ(call("/s/x", "r-1", "a1").status, 200);
    controlStandin(enginePort_, R"({"fault":"unframed","times":1})", sidecarAddress);
    const auto bytes = rawCall("/s/x", "r-2", "a1");
    EXPECT_NE(bytes.find("piece 5"), std::string::npos) << bytes;
    EXPECT_TRUE(bytes.ends_with("0\r\n\r\n")) << bytes;
}

// Guards against forwarding another request's late answer.
TEST_F(Direct, AnotherRequestsAnswerIsNotPassedOn)
{
    start();
    for (const auto port : plainPorts_) {
        controlStandin(port, R"({"fault":"foreign","times":1})");
    }
    EXPECT_EQ(call("/n/x", "r-1").status, 502);
}

// Guards against refusals by full endpoints that reach the caller without Retry-After, or after a run.
TEST_F(Direct, FullEndpointsAreReported)
{
    start();
    for (const auto port : plainPorts_) {
        controlStandin(port, R"({"fault":"refuse","times":5})");
    }
    const auto refused = call("/n/x", "r-1");
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(refused.headers.count("Retry-After")) << "when to come back";
    EXPECT_EQ(plainExecutionCount("r-1"), 0);
}

// Guards against calls to an endpoint after the store's notification that it is leaving.
TEST_F(Direct, LeavingEndpointGetsNoCalls)
{
    start();
    putKey("servers/p-1", record("plain", "127.0.0.1:" + std::to_string(plainPorts_[0]), "draining"));
    ASSERT_TRUE(eventually([&] { return hasLoggedLeaving("p-1"); }));
    for (int i = 0; i < 40; ++i) {
        const auto id = "r-" + std::to_string(i);
        EXPECT_EQ(call("/n/x", id).status, 200);
        EXPECT_EQ(executionCount(plainPorts_[0], id), 0);
    }
}

// Guards against calls to an endpoint that reports in its answers that it is leaving, while the store lists it as
// ready.
TEST_F(Direct, EndpointThatAnswersAsLeavingGetsNoCalls)
{
    start();
    controlStandin(plainPorts_[0], R"({"leaving":true})");
    constexpr int requiredSkips = 40; // an endpoint in use is not skipped this often by chance
    int skippedCalls = 0;
    EXPECT_TRUE(eventually([&] {
        const auto id = "l-" + std::to_string(++probeCount_);
        EXPECT_EQ(call("/n/x", id).status, 200);
        skippedCalls = executionCount(plainPorts_[0], id) == 0 ? skippedCalls + 1 : 0;
        return skippedCalls == requiredSkips;
    }));
}

// Guards against calls to an endpoint during the Retry-After of its refusal.
TEST_F(Direct, EndpointGetsNoCallsDuringRetryAfter)
{
    start();
    controlStandin(plainPorts_[0], R"({"fault":"refuse","times":1000,"retryAfter":600})");
    for (int i = 0; i < 40; ++i) {
        EXPECT_EQ(call("/n/x", "w-" + std::to_string(i)).status, 200);
    }
    const auto status = parse(request(plainPorts_[0], "GET", "/standin").body);
    EXPECT_EQ(status->getValue<int>("turnedAway"), 1);
}

// Guards against failing calls during a store outage, and against missed changes and removals if the store loses its
// history meanwhile.
TEST_F(Direct, StoreOutageWithLostHistoryIsRecovered)
{
    start();
    controlStandin(storePort_, R"({"status":503})");
    EXPECT_EQ(call("/n/x", "r-1").status, 200);
    controlStandin(storePort_, R"({"deletes":["servers/p-1"]})");
    putKey("op/config", config(2, "/m/"));
    controlStandin(storePort_, R"({"status":0,"forget":true})");
    EXPECT_TRUE(eventually([&] { return call("/m/x", "r-2").status == 200; }));
    EXPECT_EQ(call("/n/x", "r-3").status, 404);
    EXPECT_TRUE(eventually([&] { return readLog("entry-1").find(R"("endpoint":"p-1")") != std::string::npos; }));
}

// Guards against a configuration rollback and missed changes after the store is restored from an older copy.
TEST_F(Direct, StoreRestoredFromOlderCopyIsDetected)
{
    start();
    controlStandin(storePort_, R"({"copy":true})");
    putKey("op/config", config(2, "/m/"));
    EXPECT_TRUE(eventually([&] { return call("/m/x", "r-1").status == 200; }));
    controlStandin(storePort_, R"({"restore":true})");
    EXPECT_TRUE(eventually([&] { return readLog("entry-1").find("store_restored") != std::string::npos; }));
    EXPECT_EQ(call("/m/x", "r-2").status, 200);
    EXPECT_EQ(call("/n/x", "r-3").status, 404);
    putKey("servers/p-1", record("plain", "127.0.0.1:" + std::to_string(plainPorts_[0]), "draining"));
    EXPECT_TRUE(eventually([&] { return hasLoggedLeaving("p-1"); }));
}

// Guards against an entry that waits forever for an unresponsive store, and against changes missed during that time.
TEST_F(Direct, UnresponsiveStoreIsQueriedAgain)
{
    start();
    controlStandin(storePort_, R"({"hang":true})");
    EXPECT_TRUE(eventually([&] { return readLog("entry-1").find(R"("failure":"silent")") != std::string::npos; }));
    putKey("servers/p-1", record("plain", "127.0.0.1:" + std::to_string(plainPorts_[0]), "draining"));
    putKey("op/config", config(2, "/m/"));
    controlStandin(storePort_, R"({"hang":false})");
    EXPECT_TRUE(eventually([&] { return call("/m/x", "r-1").status == 200; }));
    EXPECT_TRUE(eventually([&] { return readLog("entry-1").find("key_value_back") != std::string::npos; }));
    for (int i = 0; i < 10; ++i) {
        const auto id = "s-" + std::to_string(i);
        EXPECT_EQ(call("/m/x", id).status, 200);
        EXPECT_EQ(executionCount(plainPorts_[0], id), 0);
    }
}

// Guards against refused calls after SIGTERM: readiness fails within a second, late calls are served, exit code 0.
TEST_F(Direct, StoppedEntryServesUntilTheBalancerReacts)
{
    start();
    EXPECT_EQ(call("/s/x", "r-1", "a1").status, 200);
    daemons_["entry-1"]->signal(SIGTERM);
    EXPECT_TRUE(eventually([&] { return readinessStatus() != 200; }, std::chrono::seconds(1)));
    const auto lateCall = call("/s/x", "r-2", "a1");
    EXPECT_EQ(lateCall.status, 200);
    EXPECT_EQ(lateCall.headers.at("Connection"), "close");
    EXPECT_EQ(daemons_["entry-1"]->wait(), 0);
}

// Guards against termination by SIGHUP, which reloads the settings. An invalid file is rejected and logged.
TEST_F(Direct, SettingsReloadKeepsTheProcessRunning)
{
    start();
    daemons_["entry-1"]->signal(SIGHUP);
    EXPECT_TRUE(eventually([&] { return readLog("entry-1").find("settings_reloaded") != std::string::npos; }));
    std::ofstream(fleet_.settingsFile("entry-1")) << "{";
    daemons_["entry-1"]->signal(SIGHUP);
    EXPECT_TRUE(eventually([&] { return readLog("entry-1").find("reload_rejected") != std::string::npos; }));
    EXPECT_EQ(call("/n/x", "r-1").status, 200);
}

// Guards against treating a removal after a store outage as a lapsed record, which would keep a departed endpoint in
// use for two more seconds.
TEST_F(Direct, EndpointRemovedAfterStoreOutageIsDroppedAtOnce)
{
    start();
    controlStandin(storePort_, R"({"status":503})");
    EXPECT_TRUE(eventually([&] { return readLog("entry-1").find("key_value_down") != std::string::npos; }));
    controlStandin(storePort_, R"({"deletes":["servers/p-2"]})");
    controlStandin(storePort_, R"({"status":0})");
    const auto removalPosition = [&](const std::string &id) {
        const auto log = readLog("entry-1");
        const std::regex line(R"("endpoint_removed"[^\n]*"endpoint":")" + id + "\"");
        std::smatch match;
        return std::regex_search(log, match, line) ? static_cast<std::ptrdiff_t>(match.position()) : -1;
    };
    ASSERT_TRUE(eventually([&] { return removalPosition("p-2") >= 0; }));
    controlStandin(storePort_, R"({"deletes":["servers/p-1"]})");
    putKey("op/config", config(2, "/n/"));
    const std::string newRevision = R"("revision":2)";
    ASSERT_TRUE(eventually([&] { return readLog("entry-1").find(newRevision) != std::string::npos; }));
    ASSERT_GE(removalPosition("p-1"), 0);
    EXPECT_LT(removalPosition("p-1"), static_cast<std::ptrdiff_t>(readLog("entry-1").find(newRevision)));
}

} // namespace

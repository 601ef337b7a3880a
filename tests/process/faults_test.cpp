// Faults of real processes during calls: the answers that callers get, and recovery afterwards.
#include "../standins/expected_answer.h"
#include "fleet.h"

#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

namespace {

using namespace fleet;

const std::vector<std::string> slowEngineOptions{"--slots", "4", "--batch-limit", "64", "--step-us", "20000"};

class Faults : public testing::Test
{
protected:
    void start(unsigned entries, unsigned engines)
    {
        ASSERT_NE(fleet_.configureRoutes(2), 0U);
        ASSERT_NE(fleet_.configure({R"({"schemaVersion":2,"name":"default","policy":{"cancelDelayMs":300}})"}), 0U);
        for (unsigned i = 1; i <= engines; ++i) {
            fleet_.startEngine("engine-" + std::to_string(i), slowEngineOptions);
        }
        for (unsigned i = 1; i <= entries; ++i) {
            fleet_.startEntry("entry-" + std::to_string(i));
        }
        fleet_.publishVmList();
        for (unsigned i = 1; i <= entries; ++i) {
            ASSERT_TRUE(isAnswering("entry-" + std::to_string(i)))
                << fleet_.lastAnswer.status << fleet_.lastAnswer.body;
        }
    }
    bool isAnswering(const std::string &entry)
    {
        return fleet_.waitForAnswer(entry, "/v1/completions", completion("route-0", "again", 2, false));
    }
    /// Starts a long stream in a thread and waits until the entry receives parts of it.
    void startStream(const std::string &entry, const std::string &sidecar)
    {
        caller_ = std::thread([this, entry] {
            answer_ =
                request(fleet_.httpPort(entry), "POST", "/v1/completions", completion("route-1", "long", 400, true));
        });
        ASSERT_TRUE(eventually([&] { return fleet_.metric(sidecar, "anvilscale_running") > 0; }));
        ASSERT_TRUE(
            eventually([&] { return fleet_.metric(entry, "anvilscale_messages_received_bytes_total") > 3000; }));
        std::this_thread::sleep_for(std::chrono::milliseconds(300)); // lets the stream progress
    }
    void TearDown() override
    {
        if (caller_.joinable()) {
            caller_.join();
        }
    }
    void expectErrorEvent(const std::string &type, const std::string &verdict)
    {
        caller_.join();
        const auto stream = readStream(answer_.body);
        EXPECT_FALSE(stream.isDone);
        ASSERT_FALSE(stream.error.empty()) << answer_.status << answer_.body << fleet_.folder();
        EXPECT_EQ(errorField(stream.error, "type"), type);
        EXPECT_EQ(errorField(stream.error, "verdict"), verdict);
        const auto expectedText = standins::expectedAnswer("adapter-1@v1", "long", 400);
        EXPECT_TRUE(expectedText.starts_with(stream.text)) << "bytes of another attempt in the stream";
    }

    Fleet fleet_;
    std::thread caller_;
    Answer answer_;
};

// Guards against a stream that looks complete, or continues with bytes of a second attempt, after its sidecar is
// killed.
TEST_F(Faults, KilledSidecarEndsTheStreamInAnErrorEvent)
{
    start(1, 1);
    startStream("entry-1", "engine-1");
    fleet_.process("engine-1").signal(SIGKILL);
    expectErrorEvent("sidecar_lost", "outcome_unknown");
    fleet_.restartSidecar("engine-1");
    fleet_.publishVmList();
    EXPECT_TRUE(isAnswering("entry-1")) << fleet_.lastAnswer.body << fleet_.folder();
}

// Guards against a stream that looks complete after its engine is killed, and against a restarted engine whose
// adapters are not loaded again.
TEST_F(Faults, KilledEngineEndsTheStreamInAnErrorEvent)
{
    start(1, 1);
    startStream("entry-1", "engine-1");
    fleet_.process("engine-1-engine").signal(SIGKILL);
    expectErrorEvent("endpoint_cut", "outcome_unknown");
    fleet_.process("engine-1-engine").wait();
    auto options = slowEngineOptions;
    options.insert(options.end(), {"--base-model", "base", "--port", std::to_string(fleet_.endpointPort("engine-1"))});
    fleet_.startStandin("engine", options, "engine-1-engine");
    EXPECT_TRUE(isAnswering("entry-1")) << fleet_.lastAnswer.body << fleet_.folder();
}

// Guards against calls that keep running at the engine after their entry is killed: the sidecar cancels them after the
// policy's cancel delay.
TEST_F(Faults, KilledEntryFreesTheEngine)
{
    start(2, 1);
    startStream("entry-1", "engine-1");
    fleet_.process("entry-1").signal(SIGKILL);
    caller_.join();
    EXPECT_FALSE(readStream(answer_.body).isDone);
    EXPECT_TRUE(eventually([&] { return fleet_.metric("engine-1", "anvilscale_running") == 0; }));
    EXPECT_TRUE(isAnswering("entry-2")) << fleet_.lastAnswer.body;
}

// Guards against calls that keep running at the engine after their caller has disconnected.
TEST_F(Faults, DisconnectedCallerFreesTheEngine)
{
    start(1, 1);
    {
        Poco::Net::HTTPClientSession session("127.0.0.1", static_cast<Poco::UInt16>(fleet_.httpPort("entry-1")));
        Poco::Net::HTTPRequest message("POST", "/v1/completions", Poco::Net::HTTPMessage::HTTP_1_1);
        const auto body = completion("route-1", "leaves", 2000, true);
        message.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(message) << body;
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        EXPECT_EQ(response.getStatus(), 200);
    }
    EXPECT_TRUE(eventually([&] { return fleet_.metric("engine-1", "anvilscale_endpoint_cancels_total") == 1; }));
    EXPECT_TRUE(eventually([&] { return fleet_.metric("engine-1", "anvilscale_running") == 0; }));
}

// Guards against two schedulers: an entry paused for longer than its lease must detect the expiry by its own clock.
TEST_F(Faults, PausedSchedulerGivesUpItsLease)
{
    fleet_.setTiming(R"("heartbeatMs":100,"suspectMs":600,"leaseMs":1500,"leaseMarginMs":300,"vmListMs":200)");
    start(1, 1);
    ASSERT_TRUE(eventually([&] { return fleet_.metric("entry-1", "anvilscale_scheduler") == 1; }));
    fleet_.startEntry("entry-2");
    fleet_.publishVmList();
    ASSERT_TRUE(isAnswering("entry-2")) << fleet_.lastAnswer.body;
    fleet_.process("entry-1").signal(SIGSTOP);
    EXPECT_TRUE(eventually([&] { return fleet_.metric("entry-2", "anvilscale_scheduler") == 1; }));
    EXPECT_TRUE(isAnswering("entry-2")) << fleet_.lastAnswer.body;
    fleet_.process("entry-1").signal(SIGCONT);
    EXPECT_TRUE(eventually([&] { return fleet_.metric("entry-1", "anvilscale_scheduler") == 0; }));
    EXPECT_TRUE(isAnswering("entry-1")) << fleet_.lastAnswer.body;
    EXPECT_EQ(fleet_.metric("entry-2", "anvilscale_scheduler"), 1);
}

// Guards against failing calls during an outage of the key-value service, and missed revisions after it.
TEST_F(Faults, KeyValueOutageStopsNoCall)
{
    start(1, 1);
    ASSERT_EQ(request(fleet_.keyValuePort, "POST", "/standin", R"({"outage":"down"})").status, 200);
    ASSERT_TRUE(eventually([&] { return fleet_.metric("entry-1", "anvilscale_kv_down") == 1; }));
    const auto text = completion("route-0", "in the outage", 3, false);
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(request(fleet_.httpPort("entry-1"), "POST", "/v1/completions", text).status, 200);
    }
    ASSERT_EQ(request(fleet_.keyValuePort, "POST", "/standin", R"({"outage":"none"})").status, 200);
    EXPECT_TRUE(eventually([&] { return fleet_.metric("entry-1", "anvilscale_kv_down") == 0; }));
    const auto valueBefore = fleet_.metric("entry-1", "anvilscale_config_revision");
    ASSERT_NE(fleet_.configureRoutes(3), 0U);
    EXPECT_TRUE(eventually([&] { return fleet_.metric("entry-1", "anvilscale_config_revision") > valueBefore; }));
    EXPECT_TRUE(eventually([&] { return fleet_.metric("engine-1", "anvilscale_config_revision") > valueBefore; }));
}

// Guards against unbounded buffers for a caller that does not read its stream: it is disconnected after the write
// timeout and the call is cancelled at the engine.
TEST_F(Faults, StalledReaderIsDisconnectedWithBoundedMemory)
{
    ASSERT_NE(fleet_.configureRoutes(2), 0U);
    ASSERT_NE(fleet_.configure({R"({"schemaVersion":2,"name":"default","policy":{"cancelDelayMs":300}})"}), 0U);
    fleet_.startEngine("engine-1", {"--slots", "4", "--batch-limit", "64"});
    fleet_.startEntry("entry-1", R"("schedulerCandidate":true,"writeTimeoutMs":1000,"streamBufferBytes":65536)");
    fleet_.publishVmList();
    ASSERT_TRUE(isAnswering("entry-1")) << fleet_.lastAnswer.body;
    Poco::Net::StreamSocket reader(
        Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(fleet_.httpPort("entry-1"))));
    const auto body = completion("route-1", "endless", 65536, true); // about 15 MB of events
    const auto head = "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: " + std::to_string(body.size())
                      + "\r\n\r\n" + body;
    reader.sendBytes(head.data(), static_cast<int>(head.size()));
    std::uint64_t maxResidentKb = 0;
    EXPECT_TRUE(eventually([&] {
        for (const auto *name : {"entry-1", "engine-1"}) {
            maxResidentKb = std::max(maxResidentKb, fleet_.process(name).residentKb());
        }
        return fleet_.metric("entry-1", "anvilscale_http_slow_readers_cut_total") == 1;
    }));
    EXPECT_LT(maxResidentKb, 32'768U);
    EXPECT_TRUE(eventually([&] { return fleet_.metric("engine-1", "anvilscale_running") == 0; }));
    EXPECT_TRUE(isAnswering("entry-1")) << fleet_.lastAnswer.body;
}

// Guards against a second run of a non-idempotent call that is repeated through another entry after the first entry was
// killed.
TEST_F(Faults, RepeatThroughAnotherEntryRunsOnce)
{
    ASSERT_NE(fleet_.configure({R"({"schemaVersion":2,"name":"admission","service":{"idempotent":false,"slots":8,)"
                                R"("skewMs":50,"marginMs":100}})"}),
              0U);
    fleet_.startService("desk-1", "admission", {"--delay-ms", "800"});
    fleet_.startEntry("entry-1");
    fleet_.startEntry("entry-2");
    fleet_.publishVmList();
    const auto call = [&](const std::string &entry, const std::string &key) {
        return request(fleet_.httpPort(entry), "POST", "/v1/services/admission/admit?gate=4", "pass",
                       {{"Idempotency-Key", key}});
    };
    const auto newKey = [&](const std::string &entry) {
        return parse(request(fleet_.httpPort(entry), "POST", "/v1/idempotency-keys").body)
            ->getValue<std::string>("key");
    };
    Answer firstAnswer;
    for (const auto *entry : {"entry-1", "entry-2"}) {
        ASSERT_TRUE(eventually([&] {
            firstAnswer = call(entry, newKey(entry));
            return firstAnswer.status == 200;
        })) << firstAnswer.body
            << fleet_.folder();
    }
    const auto runCount = [&] {
        return parse(request(fleet_.endpointPort("desk-1"), "GET", "/standin/record").body)->getValue<int>("total");
    };
    const auto valueBefore = runCount();
    const auto key = newKey("entry-1");
    std::thread first([&] { call("entry-1", key); });
    EXPECT_TRUE(eventually([&] { return runCount() == valueBefore + 1; }));
    fleet_.process("entry-1").signal(SIGKILL);
    first.join();
    const auto repeat = call("entry-2", key);
    EXPECT_TRUE(repeat.status == 200 || errorField(repeat.body, "verdict") == "outcome_unknown") << repeat.body;
    EXPECT_EQ(runCount(), valueBefore + 1);
    const auto record = parse(request(fleet_.endpointPort("desk-1"), "GET", "/standin/record").body);
    EXPECT_EQ(record->getValue<int>("doubled"), 0);
}

} // namespace

// Unit tests of the answer buffer and of the model engine protocol, without sockets.
#include "../src/endpoint/answer_buffer.h"
#include "../src/endpoint/model_engine.h"
#include "wire.pb.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace anvilscale;

constexpr std::uint64_t largeCredit = 1U << 30;

/// Records what one listener received and verifies frame order like an entry does.
struct ReceivedAnswer
{
    std::string data;
    std::uint32_t frames = 0;
    std::optional<wire::CallEnd> end;
    Digest digest;

    void add(const wire::Envelope &message)
    {
        if (message.has_call_frame()) {
            EXPECT_EQ(message.call_frame().sequence(), frames);
            EXPECT_FALSE(end);
            ++frames;
            data += message.call_frame().data();
            digest.add(message.call_frame().data());
        } else {
            end = message.call_end();
        }
    }
    bool isComplete() const
    {
        return end && end->frames() == frames && end->digest() == digest.value()
               && end->outcome() == static_cast<std::uint32_t>(CallOutcome::Complete);
    }
};

wire::AttemptId attemptId(std::uint64_t call)
{
    wire::AttemptId id;
    id.set_call(call);
    return id;
}

class ListenerRecorder
{
public:
    AnswerBuffer::Send send()
    {
        return [this](PeerHandle peer, const wire::Envelope &message) { listener(peer.value).add(message); };
    }
    ReceivedAnswer &listener(std::uint64_t number)
    {
        return received_[number];
    }

private:
    std::map<std::uint64_t, ReceivedAnswer> received_;
};

RC_GTEST_PROP(AnswerBufferTest, EveryListenerReceivesAllBytesWithinItsCredit,
              (const std::vector<std::string> &parts, const std::vector<std::uint8_t> &credits))
{
    ListenerRecorder listeners;
    AnswerBuffer answer(1 << 20, 1 << 20);
    answer.addListener({PeerHandle{1}, attemptId(1), 0, 0, false});
    answer.setHead(200, {});
    std::string expected;
    std::uint64_t grantedCredit = 0;
    std::size_t next = 0;
    for (const auto &part : parts) {
        answer.append(part);
        expected += part;
        const std::uint64_t credit = credits.empty() ? 0 : credits[next++ % credits.size()];
        answer.addCredit(PeerHandle{1}, attemptId(1), credit);
        grantedCredit += credit;
        if (next == 2) {
            answer.addListener({PeerHandle{2}, attemptId(2), largeCredit, 0, false}); // attached late
        }
        answer.pump(listeners.send());
        RC_ASSERT(listeners.listener(1).data.size() <= grantedCredit);
    }
    answer.finish({CallOutcome::Complete, FailureReason::None, 0});
    answer.addListener({PeerHandle{3}, attemptId(3), largeCredit, 0, false}); // attached after the end
    answer.addCredit(PeerHandle{1}, attemptId(1), largeCredit);
    answer.pump(listeners.send());
    RC_ASSERT(answer.isDelivered());
    for (const std::uint64_t number : {1U, 3U}) {
        RC_ASSERT(listeners.listener(number).isComplete());
        RC_ASSERT(listeners.listener(number).data == expected);
    }
}

// Guards against sending a truncated answer to a listener attached after the first bytes were dropped.
TEST(AnswerBufferTest, LateListenerGetsFailureWithoutData)
{
    ListenerRecorder listeners;
    AnswerBuffer answer(10, 1000);
    answer.addListener({PeerHandle{1}, attemptId(1), largeCredit, 0, false});
    answer.setHead(200, {});
    answer.append(std::string(100, 'a'));
    answer.pump(listeners.send());
    answer.addListener({PeerHandle{2}, attemptId(2), largeCredit, 0, false});
    answer.pump(listeners.send());
    EXPECT_TRUE(listeners.listener(2).data.empty());
    ASSERT_TRUE(listeners.listener(2).end);
    EXPECT_EQ(listeners.listener(2).end->failure(), static_cast<std::uint32_t>(FailureReason::AnswerIncomplete));
    answer.append("end");
    answer.finish({CallOutcome::Complete, FailureReason::None, 0});
    answer.pump(listeners.send());
    EXPECT_TRUE(listeners.listener(1).isComplete());
    EXPECT_EQ(listeners.listener(1).data.size(), 103U);
    EXPECT_FALSE(answer.completeBody());
}

// Guards against a sidecar that exceeds its memory by answers without end, also where their callers read them at once.
TEST(AnswerBufferTest, EndlessAnswerHoldsABoundedPart)
{
    constexpr std::size_t keptBytes = 1U << 20;
    constexpr std::size_t windowBytes = 256U << 10;
    constexpr std::size_t readBytes = 64U << 10;
    const std::string part(readBytes, 'x');
    const AnswerBuffer::Send send = [](PeerHandle, const wire::Envelope &) {};
    for (const std::uint64_t credit : {std::uint64_t{0}, std::uint64_t{readBytes}, std::uint64_t{1} << 40U}) {
        AnswerBuffer answer(keptBytes, windowBytes);
        answer.setHead(200, {});
        wire::AttemptId id;
        answer.addListener(AnswerListener{PeerHandle{1}, id, credit, 0, false});
        for (int i = 0; i < 4096 && !answer.isFull(); ++i) {
            answer.append(part);
            answer.pump(send);
            ASSERT_LE(answer.bufferedBody().size(), keptBytes + windowBytes + readBytes) << credit;
        }
    }
}

TEST(AnswerBufferTest, SlowListenerPausesReading)
{
    ListenerRecorder listeners;
    AnswerBuffer answer(1000, 50);
    answer.addListener({PeerHandle{1}, attemptId(1), 10, 0, false});
    answer.setHead(200, {});
    answer.append(std::string(100, 'a'));
    answer.pump(listeners.send());
    EXPECT_EQ(listeners.listener(1).data.size(), 10U);
    EXPECT_TRUE(answer.isFull());
    answer.addCredit(PeerHandle{1}, attemptId(1), 60);
    answer.pump(listeners.send());
    EXPECT_FALSE(answer.isFull());
}

SendOrder makeOrder(OrderKind kind)
{
    SendOrder order;
    order.kind = kind;
    order.adapterVersion = {"guest", "v1"};
    order.weights = "/w/guest";
    order.fence = 7;
    return order;
}

TEST(ModelEngineTest, OrdersCarryNameWeightsAndFence)
{
    const ModelEngine engine(16);
    const auto load = engine.orderRequest(makeOrder(OrderKind::Load));
    EXPECT_EQ(load.target, "/v1/load_lora_adapter");
    EXPECT_EQ(load.body, R"({"lora_name":"guest@v1","lora_path":"/w/guest"})");
    EXPECT_EQ(*findHeader(load.headers, "X-Fencing-Token"), "7");
    EXPECT_EQ(engine.orderRequest(makeOrder(OrderKind::Fence)).body, R"({"lora_name":"anvilscale-fence"})");
}

TEST(ModelEngineTest, MapsStatusToOrderOutcome)
{
    struct Case
    {
        OrderKind kind;
        std::uint32_t status;
        std::string body;
        OrderOutcome outcome;
    };
    const std::vector<Case> cases{
        {OrderKind::Load, 200, "", OrderOutcome::Done},
        {OrderKind::Load, 400, "has already been loaded", OrderOutcome::Done},
        {OrderKind::Load, 400, "no free adapter slot", OrderOutcome::Refused},
        {OrderKind::Load, 404, "", OrderOutcome::Failed},
        {OrderKind::Load, 500, "", OrderOutcome::Failed},
        {OrderKind::Load, 429, "", OrderOutcome::Refused},
        {OrderKind::Load, 412, "", OrderOutcome::FencedOff},
        {OrderKind::Unload, 404, "", OrderOutcome::Done},
        {OrderKind::Unload, 412, "", OrderOutcome::FencedOff},
        {OrderKind::Fence, 404, "", OrderOutcome::Done},
    };
    const ModelEngine engine(16);
    for (const auto &testCase : cases) {
        EXPECT_EQ(engine.parseOrderOutcome(makeOrder(testCase.kind), testCase.status, testCase.body), testCase.outcome)
            << toString(testCase.kind) << " " << testCase.status << " " << testCase.body;
    }
}

TEST(ModelEngineTest, ParsesListAndReport)
{
    const ModelEngine engine(8);
    const std::string metrics =
        "# TYPE x\nprocess_start_time_seconds 12.5\nvllm:num_requests_running{m=\"b\"} 4\n"
        "vllm:num_requests_waiting{m=\"b\"} 2\n"
        "vllm:lora_requests_info{running_lora_adapters=\"old@1\",waiting_lora_adapters=\"\"} 1\n"
        "vllm:lora_requests_info{running_lora_adapters=\"a@1,b@2\",waiting_lora_adapters=\"a@1\"} 2\n";
    const auto list = engine.parseList(R"({"data":[{"id":"base"},{"id":"a@1"},{"id":"b@2"}]})", metrics);
    ASSERT_TRUE(list);
    EXPECT_EQ(list->incarnation, 12500U);
    ASSERT_EQ(list->loaded.size(), 2U);
    EXPECT_EQ(list->loaded[1], (AdapterVersion{"b", "2"}));
    EXPECT_EQ(list->running.size(), 2U);
    const auto report = engine.parseReport(metrics);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->running, 4U);
    EXPECT_EQ(report->waiting, 2U);
    EXPECT_EQ(report->stepFillPermille, 500U);
    EXPECT_FALSE(engine.parseList("not json", metrics));
    EXPECT_FALSE(engine.parseReport("nothing"));
}

TEST(EndpointUrl, AcceptsLoopbackOnly)
{
    EXPECT_TRUE(parseEndpointUrl("http://127.0.0.1:8000"));
    EXPECT_EQ(parseEndpointUrl("http://[::1]:8000").error(), EndpointErrorKind::BadUrl);
    EXPECT_EQ(parseEndpointUrl("http://127.0.0.1:8000/path").error(), EndpointErrorKind::BadUrl);
    EXPECT_EQ(parseEndpointUrl("http://10.0.0.1:8000").error(), EndpointErrorKind::NotLoopback);
    EXPECT_EQ(parseEndpointUrl("http://example.org:8000").error(), EndpointErrorKind::BadUrl);
    EXPECT_EQ(parseEndpointUrl("ftp://127.0.0.1:8000").error(), EndpointErrorKind::BadUrl);
}

} // namespace

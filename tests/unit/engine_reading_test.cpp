// Reading turns in the process of a sidecar: messages, restarts of the engine, and when entries need a new state.
#include "daemon/engine_reading.h"

#include <gtest/gtest.h>

namespace anvilscale {
namespace {

constexpr PeerHandle entry{1};
constexpr std::uint64_t longTokens = 9190;

class EngineReadingTest : public testing::Test
{
protected:
    void request(std::uint64_t call, std::uint64_t tokens, bool sent)
    {
        wire::ReadingUpdate update;
        auto &message = *update.add_requests();
        message.set_call(call);
        message.set_tokens(tokens);
        message.set_slack_us(1'000'000);
        message.set_limit_us(10'000'000);
        message.set_sent(sent);
        reading_.onUpdate(entry, update, now_);
        reading_.afterEvents(now_);
    }
    void endRead(std::uint64_t call, std::uint64_t elapsedUs)
    {
        now_ += Duration(elapsedUs);
        wire::ReadingUpdate update;
        auto &end = *update.add_ends();
        end.set_call(call);
        end.set_stage(wire::READING_READ);
        end.set_elapsed_us(elapsedUs);
        reading_.onUpdate(entry, update, now_);
        reading_.afterEvents(now_);
    }
    void applyPlan()
    {
        wire::DirectDemand demand;
        demand.set_endpoint_id("i-1");
        demand.mutable_plan()->set_config_version(1);
        demand.mutable_plan()->set_shortest_objective_us(500'000);
        demand.mutable_plan()->set_longest_objective_us(2'000'000);
        controller_.applyDemand(entry, demand, now_);
        reading_.applyEngine(controller_, now_);
    }
    void measure()
    {
        for (std::uint64_t call = 1000; call < 1032; ++call) {
            const auto tokens = 500 + 400 * (call * 7 % 16);
            request(call, tokens, true);
            endRead(call, 26 * tokens);
        }
    }
    void applyReport(std::uint64_t startTimeMs)
    {
        EngineStateReport report;
        report.startTimeMs = startTimeMs;
        controller_.applyReport(report, now_);
        reading_.applyEngine(controller_, now_);
        reading_.afterEvents(now_);
    }

    TimePoint now_{Seconds(100)};
    std::vector<wire::ReadingAnswer> sent_;
    AdapterController controller_;
    EngineReading reading_{DirectPolicy{}, [this](PeerHandle peer, const wire::Envelope &message) {
                               EXPECT_EQ(peer, entry);
                               sent_.push_back(message.reading_answer());
                           }};
};

// Guards against entries that decide by a budget or a queue of half a second ago.
TEST_F(EngineReadingTest, EntriesNeedAStateWhenTheBudgetOrTheQueueChanges)
{
    applyPlan();
    EXPECT_EQ(reading_.changedWork(), 0U);
    measure();
    EXPECT_GE(reading_.changedWork(), 2 * longTokens) << "the budget has begun to apply";
    reading_.onStateSent();
    EXPECT_EQ(reading_.changedWork(), 0U);
    request(1, longTokens, true);
    request(2, longTokens, false);
    EXPECT_EQ(reading_.changedWork(), longTokens);
    reading_.onStateSent();
    endRead(1, 0);
    EXPECT_EQ(reading_.changedWork(), longTokens) << "the queue is empty again";
}

// Guards against answers that wait for the next state, and against checks of waiting requests that are not scheduled.
TEST_F(EngineReadingTest, AnswersAreSentAtOnceAndWaitingRequestsAreChecked)
{
    applyPlan();
    measure();
    request(1, longTokens, true);
    request(2, longTokens, false);
    ASSERT_EQ(sent_.size(), 1U);
    EXPECT_EQ(sent_.back().call(), 2U);
    EXPECT_EQ(sent_.back().result(), wire::READING_QUEUED);
    ASSERT_TRUE(reading_.nextDueAt());
    EXPECT_LE(*reading_.nextDueAt() - now_, Milliseconds(100));
    for (int i = 0; i < 100 && sent_.size() < 2; ++i) {
        now_ = *reading_.nextDueAt();
        reading_.afterEvents(now_);
    }
    EXPECT_EQ(sent_.back().result(), wire::READING_GRANTED) << "the first prompt has expired";
}

// Guards against turns of an engine that has restarted.
TEST_F(EngineReadingTest, ARestartOfTheEngineEmptiesTheQueue)
{
    applyPlan();
    measure();
    applyReport(1000);
    request(1, longTokens, true);
    request(2, longTokens, false);
    applyReport(1000);
    wire::DirectState state;
    reading_.addTo(state);
    EXPECT_EQ(state.reading_queued(), longTokens);
    applyReport(2000);
    reading_.addTo(state);
    EXPECT_EQ(state.reading_queued(), 0U);
    EXPECT_EQ(state.streams(), 0U);
    EXPECT_NE(state.read_ns_per_token(), 0U);
}

} // namespace
} // namespace anvilscale

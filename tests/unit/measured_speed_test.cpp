// Speed of an engine before and after its own samples suffice for a fit.
#include "direct/measured_speed.h"
#include "reading_fixture.h"

namespace anvilscale::test {
namespace {

constexpr std::uint32_t serviceNsPerToken = 26'000;
constexpr std::uint32_t serviceBaseUs = 10'000;

Duration serviceTime(std::uint64_t tokens)
{
    return Duration(serviceBaseUs + tokens * serviceNsPerToken / 1000);
}

/// Prompts of two lengths, too few for a fit.
void addPrompts(MeasuredSpeed &speed, int count, double ratio)
{
    for (int i = 0; i < count; ++i) {
        const std::uint64_t tokens = i % 2 == 0 ? shortTokens : longTokens;
        speed.add(tokens, fromMilliseconds(ratio * milliseconds(serviceTime(tokens))));
    }
}

// Guards against engines under load that never get a budget, because few prompts have them to themselves.
TEST(MeasuredSpeed, SpeedOfTheServiceIsKnownAtOnce)
{
    MeasuredSpeed speed;
    EXPECT_FALSE(speed.isKnown());
    speed.setServiceSpeed(serviceNsPerToken, serviceBaseUs);
    EXPECT_TRUE(speed.isKnown());
    EXPECT_NEAR(speed.msPerToken(), 0.026, 1e-6);
    EXPECT_EQ(speed.reportedNsPerToken(), 0U) << "it is not the engine's own";
}

// Guards against slow engines that count as usual ones until a fit succeeds.
TEST(MeasuredSpeed, FewSamplesShowTheRatioToTheService)
{
    MeasuredSpeed speed;
    speed.setServiceSpeed(serviceNsPerToken, serviceBaseUs);
    addPrompts(speed, 5, 1.2);
    EXPECT_EQ(speed.reportedNsPerToken(), 0U);
    addPrompts(speed, 2, 1.2);
    EXPECT_NEAR(speed.msPerToken(), 1.2 * 0.026, 0.001);
    EXPECT_NEAR(speed.reportedNsPerToken(), 31'000, 1'000);
}

// Guards against one entry with a wrong measurement that changes the budget of an engine at once.
TEST(MeasuredSpeed, OneReportChangesTheSpeedOfTheServiceLittle)
{
    MeasuredSpeed speed;
    speed.setServiceSpeed(serviceNsPerToken, serviceBaseUs);
    speed.setServiceSpeed(3 * serviceNsPerToken, serviceBaseUs);
    EXPECT_LT(speed.msPerToken(), 1.25 * 0.026);
    speed.setServiceSpeed(0, 0);
    EXPECT_TRUE(speed.isKnown()) << "an entry that has measured nothing changes nothing";
}

// Guards against turns that stay off at a busy engine: the first request tells the speed.
TEST_F(ReadingQueueTest, BudgetAppliesFromTheFirstReportOfTheServiceSpeed)
{
    applyPlan(Milliseconds(500), Seconds(2), Duration(0));
    send({.call = 1});
    EXPECT_EQ(queue_.budget(), 0U);
    wire::ReadingUpdate update;
    auto &request = *update.add_requests();
    request.set_call(2);
    request.set_tokens(shortTokens);
    request.set_limit_us(static_cast<std::uint64_t>(callerTimeout.count()));
    request.set_sent(true);
    request.set_service_ns_per_token(serviceNsPerToken);
    request.set_service_base_us(serviceBaseUs);
    queue_.applyUpdate(entryA, update, now_);
    EXPECT_NEAR(static_cast<double>(queue_.budget()), 250 / 0.026, 2);
}

} // namespace
} // namespace anvilscale::test

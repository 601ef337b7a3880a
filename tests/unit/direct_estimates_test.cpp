// Estimates of entries and sidecars, for engines from 0.3 to 4 times the usual speed.
#include "direct/load_times.h"
#include "direct_fixture.h"

namespace anvilscale::test {

const std::vector<double> speeds{0.3, 0.6, 1, 2, 4};
constexpr double usualTokensPerMs = 38.4;
constexpr double usualLoadMs = 250;

TEST(RecentSamples, KeepsTheLastOnesOnly)
{
    RecentSamples samples(4);
    EXPECT_EQ(samples.quantile(0.5), 0);
    for (const double value : {100.0, 1.0, 2.0, 3.0, 4.0}) {
        samples.add(value);
    }
    EXPECT_EQ(samples.count(), 4U);
    EXPECT_EQ(samples.quantile(1), 4);
    EXPECT_EQ(samples.mean(), 2.5);
}

// Guards against a fit that follows outliers: a third of the samples met a busy engine or missed the prefix cache.
TEST(ReadingSpeed, IsFoundAmongWrongSamplesAtAnySpeed)
{
    for (const double speed : speeds) {
        ReadingSpeed reading;
        EXPECT_FALSE(reading.isMeasured());
        for (int i = 0; i < 96; ++i) {
            const double tokens = 150 + 60.0 * (i * 11 % 32);
            const double wrong = i % 3 == 0 ? 400 : 0;
            reading.add(tokens, tokens, fromMilliseconds(12 + tokens / (usualTokensPerMs * speed) + wrong));
        }
        ASSERT_TRUE(reading.isMeasured()) << speed;
        EXPECT_NEAR(reading.msPerToken() * usualTokensPerMs * speed, 1, 0.1) << speed;
        EXPECT_NEAR(reading.baseMs(), 12, 6) << speed;
    }
}

TEST(ReadingSpeed, FollowsAnEngineThatIsReplacedByAnother)
{
    ReadingSpeed reading;
    for (const double speed : {0.3, 4.0}) {
        for (int i = 0; i < 96; ++i) {
            const double tokens = 150 + 60.0 * (i * 11 % 32);
            reading.add(tokens, tokens, fromMilliseconds(tokens / (usualTokensPerMs * speed)));
        }
        EXPECT_NEAR(reading.msPerToken() * usualTokensPerMs * speed, 1, 0.1);
    }
}

TEST(ReadingSpeed, EqualPromptsYieldNoSpeed)
{
    ReadingSpeed reading;
    for (int i = 0; i < 200; ++i) {
        reading.add(500, 500, Milliseconds(20));
    }
    EXPECT_FALSE(reading.isMeasured());
}

class Loads : public testing::Test
{
protected:
    void load(const std::string &adapter, double ms, std::uint32_t version = 1)
    {
        const LoadTimes::Name name{"base", adapter};
        loads_.onLoadStarted(name, version, now_);
        now_ += fromMilliseconds(ms);
        loads_.checkOverdue(now_);
        loads_.onLoaded(name, version, now_);
        loads_.recordHeld({{"base", adapter, version}});
    }
    TimePoint now_{Seconds(100)};
    LoadTimes loads_;
};

TEST_F(Loads, SeparatesStoreAndCopyTimesAtAnySpeed)
{
    for (const double speed : speeds) {
        loads_ = LoadTimes();
        for (int i = 0; i < 12; ++i) {
            load("a" + std::to_string(i), usualLoadMs / speed);
        }
        for (int i = 0; i < 12; ++i) {
            load("a" + std::to_string(i), usualLoadMs / speed / 10);
        }
        EXPECT_NEAR(loads_.idleStoreMs(), usualLoadMs / speed, 1) << speed;
        EXPECT_NEAR(loads_.copyMs(), usualLoadMs / speed / 10, 1) << speed;
        EXPECT_EQ(loads_.copyCount(), 0U) << "every copy was there: nothing shows how many there are";
    }
}

// Guards against counting on copies that the engine no longer has.
TEST_F(Loads, HowManyCopiesAnEngineKeepsIsLearned)
{
    for (int round = 0; round < 12; ++round) {
        for (int i = 0; i < 14; ++i) {
            load("a" + std::to_string(i), usualLoadMs); // held 13 adapters ago
        }
        load("a13", usualLoadMs / 10);
        load("a9", usualLoadMs / 10);
    }
    EXPECT_GE(loads_.copyCount(), 5U);
    EXPECT_LT(loads_.copyCount(), 14U);
}

TEST_F(Loads, ANewerVersionIsNoCopy)
{
    for (int i = 0; i < 6; ++i) {
        load("a" + std::to_string(i), usualLoadMs);
    }
    load("a5", usualLoadMs, 2);
    EXPECT_EQ(loads_.copyCount(), 0U) << "it came from the store because it is new, not because the copy was dropped";
}

// Guards against concurrent loads that keep the store overloaded, and against a window that stays small afterwards.
TEST_F(Loads, FewerGoOnSideBySideWhileTheStoreIsSlow)
{
    for (const double speed : speeds) {
        loads_ = LoadTimes();
        EXPECT_EQ(loads_.window(), 1U) << "the load on the store is unknown at first";
        for (int i = 0; i < 3; ++i) {
            load("a" + std::to_string(i), usualLoadMs / speed);
        }
        EXPECT_EQ(loads_.window(), 4U);
        for (int i = 0; i < 8; ++i) {
            load("b" + std::to_string(i), 2.2 * usualLoadMs / speed);
        }
        EXPECT_EQ(loads_.window(), 1U) << speed;
        EXPECT_GT(loads_.recentStoreMs(), 2 * loads_.idleStoreMs());
        for (int i = 0; i < 12; ++i) {
            load("c" + std::to_string(i), usualLoadMs / speed);
        }
        EXPECT_EQ(loads_.window(), 4U) << speed;
    }
}

TEST_F(Loads, ARestartedEngineHasNoCopies)
{
    for (int i = 0; i < 6; ++i) {
        load("a" + std::to_string(i), usualLoadMs);
    }
    loads_.onEngineRestarted();
    load("a1", usualLoadMs);
    EXPECT_EQ(loads_.copyCount(), 0U);
    EXPECT_EQ(loads_.copyMs(), 0);
}

// Guards against refusals that assume a fixed reading speed: the same backlog takes longer on a slower engine.
class AtAnySpeed : public Calls, public testing::WithParamInterface<double>
{
};

TEST_P(AtAnySpeed, BacklogUsesTheMeasuredReadingSpeed)
{
    auto config = makeConfig(2);
    config.routes.front().firstByteLimit = Seconds(2);
    calls_.applyConfig(config, now_);
    addEngine("e-1", "10.0.1.1:80", {"a1"});
    measureReading("a1", usualTokensPerMs * GetParam());
    for (const double seconds : {1.0, 3.0}) {
        auto busy = makeState({"a1"});
        busy.set_unread_tokens(static_cast<std::uint64_t>(seconds * 1000 * usualTokensPerMs * GetParam()));
        calls_.applyState("10.0.1.1:80", busy, now_);
        startCall("/s/x", "a1");
        EXPECT_EQ(takeActions<RefuseCall>().size(), seconds > 2 ? 1U : 0U) << seconds;
    }
}

INSTANTIATE_TEST_SUITE_P(Speeds, AtAnySpeed, testing::ValuesIn(speeds));

} // namespace anvilscale::test

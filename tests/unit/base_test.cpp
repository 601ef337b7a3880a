// Tests of timers, random numbers, digests and name tables.
#include "anvilscale/base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace anvilscale {
namespace {

TimePoint at(int us)
{
    return TimePoint(Duration(us));
}

TEST(TimerService, FiresInOrderOfTimeThenSubscription)
{
    TimerService timers;
    std::string fired;
    timers.subscribe(at(20), [&](TimePoint) { fired += 'c'; });
    timers.subscribe(at(10), [&](TimePoint) { fired += 'a'; });
    timers.subscribe(at(10), [&](TimePoint) { fired += 'b'; });
    EXPECT_EQ(timers.advance(at(9)), 0U);
    EXPECT_EQ(timers.advance(at(20)), 3U);
    EXPECT_EQ(fired, "abc");
    EXPECT_FALSE(timers.next());
}

TEST(TimerService, CancelledTimerNeitherFiresNorIsNext)
{
    TimerService timers;
    int fired = 0;
    const auto first = timers.subscribe(at(1), [&](TimePoint) { ++fired; });
    timers.subscribe(at(5), [&](TimePoint) { ++fired; });
    timers.cancel(first);
    timers.cancel(first);
    EXPECT_EQ(timers.next(), at(5));
    timers.advance(at(5));
    timers.cancel(first);
    EXPECT_EQ(fired, 1);
}

TEST(TimerService, CallbackCanCancelAndSubscribe)
{
    TimerService timers;
    int fired = 0;
    TimerHandle second;
    timers.subscribe(at(1), [&](TimePoint) {
        timers.cancel(second);
        timers.subscribe(at(2), [&](TimePoint) { fired += 10; });
    });
    second = timers.subscribe(at(3), [&](TimePoint) { ++fired; });
    timers.advance(at(4));
    EXPECT_EQ(fired, 10);
}

RC_GTEST_PROP(Digest, IsIndependentOfSplit, (const std::string &text))
{
    const auto cut = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    Digest whole;
    whole.add(text);
    Digest parts;
    parts.add(std::string_view(text).substr(0, cut));
    parts.add(std::string_view(text).substr(cut));
    RC_ASSERT(whole.value() == parts.value());
}

TEST(Random, SameSeedGivesSameSequence)
{
    Random a(7);
    Random b(7);
    Random c(8);
    EXPECT_EQ(a.next(), b.next());
    EXPECT_NE(a.next(), c.next());
}

template<class E>
void expectNamesRoundTrip()
{
    for (std::size_t i = 0; i < enumCount<E>; ++i) {
        const auto name = toString(static_cast<E>(i));
        EXPECT_FALSE(name.empty());
        EXPECT_EQ(fromString<E>(name), static_cast<E>(i));
    }
}

TEST(EnumNames, NamesAreUniqueAndRoundTrip)
{
    expectNamesRoundTrip<Verdict>();
    expectNamesRoundTrip<CallClass>();
    expectNamesRoundTrip<RefusalReason>();
    expectNamesRoundTrip<RetryReason>();
    expectNamesRoundTrip<CallOutcome>();
    expectNamesRoundTrip<FailureReason>();
    expectNamesRoundTrip<ResidencyState>();
    expectNamesRoundTrip<OrderOutcome>();
}

} // namespace
} // namespace anvilscale

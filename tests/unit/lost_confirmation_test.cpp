// Confirmations of the store whose end is never reported.
#include "direct/store_confirmations.h"

#include <gtest/gtest.h>

namespace anvilscale {
namespace {

// Guards against resumed calls that all wait out their time after one confirmation was lost.
TEST(StoreConfirmations, OneThatIsLostIsFollowedByTheNext)
{
    StoreConfirmations confirmations;
    TimePoint now{Seconds(100)};
    confirmations.add(CallHandle{1});
    ASSERT_TRUE(confirmations.start(now));
    confirmations.add(CallHandle{2});
    now += Seconds(1);
    EXPECT_FALSE(confirmations.start(now));
    ASSERT_TRUE(confirmations.nextStartAt());
    now = *confirmations.nextStartAt();
    const auto next = confirmations.start(now);
    ASSERT_TRUE(next);
    EXPECT_EQ(confirmations.finish(next->number, true), (std::vector<CallHandle>{CallHandle{1}, CallHandle{2}}));
}

} // namespace
} // namespace anvilscale

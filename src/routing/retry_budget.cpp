// Sliding window of the retry budget.
#include "retry_budget.h"

namespace anvilscale {

namespace {

constexpr Duration halfWindowLength = Seconds(15);
// Allows single failed calls to be retried at an entry with little traffic.
constexpr double minRetries = 2.0;

} // namespace

void RetryBudget::advanceWindow(TimePoint now)
{
    if (now - currentStart_ < halfWindowLength) {
        return;
    }
    const bool isAdjacent = now - currentStart_ < 2 * halfWindowLength;
    previous_ = isAdjacent ? current_ : HalfWindow{};
    current_ = HalfWindow{};
    currentStart_ = now;
}

void RetryBudget::countFirst(TimePoint now)
{
    advanceWindow(now);
    ++current_.firstExecutions;
}

bool RetryBudget::take(double ratio, TimePoint now)
{
    advanceWindow(now);
    const auto firstExecutions = static_cast<double>(current_.firstExecutions + previous_.firstExecutions);
    const auto retries = static_cast<double>(current_.retries + previous_.retries);
    const bool isSpent = ratio <= 0.0 || retries + 1.0 > minRetries + ratio * firstExecutions;
    if (isSpent) {
        return false;
    }
    ++current_.retries;
    return true;
}

} // namespace anvilscale

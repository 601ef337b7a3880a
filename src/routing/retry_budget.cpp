// Sliding window of the retry budget.
#include "retry_budget.h"

namespace anvilscale {

namespace {

constexpr Duration halfWindow = Seconds(15);
// Lets a lone failed call be retried at an entry with little traffic.
constexpr double minimumRetries = 2.0;

} // namespace

void RetryBudget::roll(TimePoint now)
{
    if (now - halfStart_ < halfWindow) {
        return;
    }
    const bool adjacent = now - halfStart_ < 2 * halfWindow;
    previous_ = adjacent ? current_ : Half{};
    current_ = Half{};
    halfStart_ = now;
}

void RetryBudget::countFirst(TimePoint now)
{
    roll(now);
    ++current_.first;
}

bool RetryBudget::take(double ratio, TimePoint now)
{
    roll(now);
    const auto first = static_cast<double>(current_.first + previous_.first);
    const auto retries = static_cast<double>(current_.retries + previous_.retries);
    const bool spent = ratio <= 0.0 || retries + 1.0 > minimumRetries + ratio * first;
    if (spent) {
        return false;
    }
    ++current_.retries;
    return true;
}

} // namespace anvilscale

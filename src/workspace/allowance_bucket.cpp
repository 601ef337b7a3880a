// Token bucket of a part of an allowance, and the times of the protocol between entries and pools.
#include "anvilscale/workspace.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

// The tolerated overage is divided between these two causes of use beyond the allowance.
constexpr double creditShare = 0.375;
constexpr double memberShare = 0.625;
// A member whose message is delayed by less than one interval keeps its part.
constexpr double keepAlivesPerTimeout = 2.5;
// Starts of the pools of a workspace in one window that the slack covers.
constexpr double poolStartsPerWindow = 4;
constexpr Duration minMargin = Milliseconds(200);
constexpr Duration maxMargin = Seconds(2);
constexpr Duration poolAnswerTimeout = Milliseconds(400);

Duration scale(Duration span, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

} // namespace

std::uint32_t allowanceGroup(std::string_view workspace)
{
    return static_cast<std::uint32_t>(hash64(workspace) % allowanceGroups);
}

AllowanceTimes allowanceTimes(Duration window, double overage, double slack)
{
    const auto margin = std::clamp(scale(window, overage), minMargin, maxMargin);
    AllowanceTimes times;
    times.creditLifetime = scale(margin, creditShare);
    times.memberTimeout = scale(margin, memberShare);
    times.keepAlive = scale(times.memberTimeout, 1 / keepAlivesPerTimeout);
    times.answerTimeout = poolAnswerTimeout;
    times.initialSavings = slack / poolStartsPerWindow;
    return times;
}

AllowanceBucket::AllowanceBucket(TimePoint now, double savings)
    : savings_(savings)
    , refilledAt_(now)
{
}

void AllowanceBucket::refill(const Allowance &allowance, double part, TimePoint now)
{
    const double elapsed = std::max(0.0, toSeconds(now - refilledAt_));
    refilledAt_ = std::max(refilledAt_, now);
    ratePerSecond_ = allowance.ratePerSecond * part;
    // Without a declared burst, one second's worth lets calls through that arrive together.
    size_ = (allowance.burst > 0 ? allowance.burst : allowance.ratePerSecond) * part;
    balance_ = std::min(size_, balance_ + ratePerSecond_ * elapsed);
}

bool AllowanceBucket::take(double cost)
{
    if (size_ > 0 && balance_ >= std::min(cost, size_)) {
        balance_ -= cost;
        return true;
    }
    const double fromSavings = cost - std::max(0.0, balance_);
    if (balance_ < 0 || fromSavings > savings_) {
        return false;
    }
    balance_ = 0;
    savings_ -= fromSavings;
    return true;
}

void AllowanceBucket::giveBack(double amount)
{
    balance_ = std::min(size_, balance_ + amount);
}

double AllowanceBucket::balance() const
{
    return balance_;
}

double AllowanceBucket::ratePerSecond() const
{
    return ratePerSecond_;
}

Duration AllowanceBucket::timeUntil(double cost) const
{
    const double missing = std::min(cost, size_) - balance_;
    if (missing <= 0) {
        return Duration(0);
    }
    constexpr double maxSeconds = 3600;
    const double seconds = ratePerSecond_ > 0 ? std::min(maxSeconds, missing / ratePerSecond_) : maxSeconds;
    return Duration(static_cast<Duration::rep>(std::ceil(seconds * 1e6)));
}

} // namespace anvilscale

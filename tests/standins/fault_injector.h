// Fault injection of the key-value stand-in: outages, delays, lost replies and a rate limit.
#pragma once

#include "http_host.h"

#include "anvilscale/base.h"

#include <mutex>

namespace standins {

/// Behaviour during an outage.
enum class Outage {
    None,
    Down, ///< closes connections without an answer or effect
    Hang ///< holds calls without effect until the outage ends, then closes their connections
};

/// Handling of one call.
enum class ReplyAction {
    Answer,
    Close, ///< close the connection without effect or answer
    LoseReply, ///< execute the call, but send no answer
    RateLimited ///< refuse the call because of the rate limit
};

/// Decides the handling of each call. Thread-safe.
class FaultInjector
{
public:
    /// Applies the fields present: outage, delayMs, loseReplies, loseProbability, seed, ratePerSecond.
    void set(const JsonObject &object);
    /// Blocks for the delay and a hanging outage, then returns the handling of this call. Only writes lose replies.
    ReplyAction nextAction(bool isWrite);
    /// An outage of either kind is active.
    bool hasOutage() const;

private:
    bool isOverRate();

    mutable std::mutex mutex_; // guards all below
    Outage outage_ = Outage::None;
    std::chrono::milliseconds delay_{0};
    std::uint64_t loseReplies_ = 0;
    double loseProbability_ = 0.0;
    double ratePerSecond_ = 0.0; // calls per second; 0 for no limit
    double tokens_ = 0.0; // of the rate limit's token bucket
    std::chrono::steady_clock::time_point refilledAt_ = std::chrono::steady_clock::now();
    anvilscale::Random random_{1};
};

} // namespace standins

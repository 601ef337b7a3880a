// Faults that the key-value stand-in shows on request: outage, delay, lost replies, a rate limit.
#pragma once

#include "http_host.h"

#include "anvilscale/base.h"

#include <mutex>

namespace standins {

enum class Outage {
    None,
    Down, ///< connections are closed without an answer, and nothing takes effect
    Hang ///< no answer and no effect until the outage ends
};

enum class Fate {
    Answer,
    Close, ///< no effect, no answer
    LoseReply, ///< the effect, but no answer
    TooMany ///< refused by the rate limit
};

class Faults
{
public:
    /// Sets what the object names: outage, delayMs, loseReplies, loseProbability, seed, ratePerSecond.
    void set(const JsonObject &object);
    /// Waits out the delay and the hanging outage, then says what is to become of this call.
    Fate next(bool write);
    bool out() const;

private:
    bool overRate();

    mutable std::mutex mutex_; // guards all below
    Outage outage_ = Outage::None;
    std::chrono::milliseconds delay_{0};
    std::uint64_t loseReplies_ = 0;
    double loseProbability_ = 0.0;
    double rate_ = 0.0; // 0: no limit
    double tokens_ = 0.0;
    std::chrono::steady_clock::time_point filled_ = std::chrono::steady_clock::now();
    anvilscale::Random random_{1};
};

} // namespace standins

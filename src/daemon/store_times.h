// Intervals and timeouts of calls to the platform's store.
#pragma once

#include "anvilscale/base.h"

namespace anvilscale {

/// Intervals and timeouts, all as shares of the maximum delay of a change, so that no single call, answered or not,
/// delays a change beyond it. With independent timeouts, a watch that was never answered left an entry without changes
/// for 4.8 s, and the pause after it for up to 2 s more, against a bound of 2 s.
///
/// Delay of a change in hundredths of the maximum:
/// - previous call answered: `pause` 45, then the answer;
/// - connection broken without notice: `pause` and `waitAfterPause` 60 (or `waitWithoutPause` 60), `silenceTimeout` 20,
///   `minRetryDelay` 10, then the answer: 90;
/// - store unavailable, counted from its return: `maxSilenceTimeout` 80 and `minRetryDelay` 10, or `maxRetryDelay` 50,
///   then the answer;
/// - sidecar that watches for several entries: `sharedWait` 25, then the answer. If it does not answer:
///   `silenceTimeout` 20, then a call to the store, answered after 45 or given up after `retrySilenceTimeout` 40 and
///   repeated at 95.
struct StoreTimes
{
    Duration pause{}; ///< minimum time from an answer with changes to the next watch
    Duration waitAfterPause{}; ///< maximum wait in the store of a watch that follows a pause
    Duration waitWithoutPause{}; ///< maximum wait in the store of a watch without a preceding pause
    Duration sharedWait{}; ///< maximum wait of a request to a sidecar, in which it combines requests
    Duration silenceTimeout{}; ///< silence timeout: time without a byte, beyond the wait, after which a call fails
    Duration retrySilenceTimeout{}; ///< silence timeout of reads and of calls after a failure, which do not wait
    /// Silence timeout after such a call has timed out. Lets answers through that are slow because of a congested
    /// link.
    Duration maxSilenceTimeout{};
    Duration minRetryDelay{}; ///< minimum time from a failure to the next call
    Duration
        initialRetryDelay{}; ///< time between the starts of two calls after a failure, doubled after each further one
    Duration maxRetryDelay{}; ///< upper bound on that time
};

/// `maxDelay`: maximum delay of a change.
constexpr StoreTimes storeTimes(Duration maxDelay)
{
    const auto share = [maxDelay](int percent) { return maxDelay * percent / 100; };
    StoreTimes times;
    times.pause = share(45);
    times.waitAfterPause = share(15);
    times.waitWithoutPause = share(60);
    times.sharedWait = share(25);
    times.silenceTimeout = share(20);
    times.retrySilenceTimeout = share(40);
    times.maxSilenceTimeout = share(80);
    times.minRetryDelay = share(10);
    times.initialRetryDelay = share(12);
    times.maxRetryDelay = share(50);
    return times;
}

} // namespace anvilscale

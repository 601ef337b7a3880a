// How often an entry asks the store and how long it waits for answers, all from the time within which it has to know.
#pragma once

#include "anvilscale/base.h"

namespace anvilscale {

/// Every span is a share of one bound, so that no single call, answered or not, keeps the entry from knowing a change
/// within it. With spans of their own, a watch that was never answered kept an entry blind for 4.8 s and the pause
/// after it for up to 2 s more, while endpoints that leave had to be spared after 2 s.
///
/// Longest time from a change to its knowledge, in hundredths of the bound:
/// - the call before was answered: `pause` 45, and the answer;
/// - its connection has gone silent: `pause` and `waitAfterPause` 60 (or `waitAlone` 60), `silence` 20,
///   `shortestRetry` 10, and the answer: 90;
/// - the store was away, counted from its return: `longestSilence` 80 and `shortestRetry` 10, or `longestRetry` 50, and
///   the answer;
/// - a sidecar that asks for several entries tells: `sharedWait` 25, and the answer. Where it is silent: `silence` 20,
///   then a call of the entry's own, which is answered after 45, or given up after `silenceOfRetry` 40 and followed by
///   another one at 95.
struct StoreTimes
{
    Duration pause{}; ///< least time from an answer with changes to the next watch: changes in between come together
    Duration waitAfterPause{}; ///< of a watch in the store
    Duration waitAlone{}; ///< the same where no pause went before
    Duration sharedWait{}; ///< of a question to a sidecar that asks for several entries: they wait for one call
    Duration silence{}; ///< without a byte, beyond the wait: the call is given up
    Duration silenceOfRetry{}; ///< the same of reads and of calls after a failure, which do not wait in the store
    /// The same once such a call has been given up: over a crowded link an answer may take that long, and an entry that
    /// gave up every call would know nothing at all.
    Duration longestSilence{};
    Duration shortestRetry{}; ///< from a failure to the next call
    Duration firstRetry{}; ///< between the starts of two calls after the first failure, doubled with each further one
    Duration longestRetry{}; ///< the most that it grows to
};

constexpr StoreTimes storeTimes(Duration bound)
{
    const auto share = [bound](int percent) { return bound * percent / 100; };
    StoreTimes times;
    times.pause = share(45);
    times.waitAfterPause = share(15);
    times.waitAlone = share(60);
    times.sharedWait = share(25);
    times.silence = share(20);
    times.silenceOfRetry = share(40);
    times.longestSilence = share(80);
    times.shortestRetry = share(10);
    times.firstRetry = share(12);
    times.longestRetry = share(50);
    return times;
}

} // namespace anvilscale

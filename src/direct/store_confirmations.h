// Confirmations of the store at an entry: which calls wait for which one.
#pragma once

#include "anvilscale/direct.h"

#include <optional>
#include <vector>

namespace anvilscale {

/// What an entry has read of the store may be older than a call that resumes a stream: an answer may be late, and this
/// process may have stood still. A confirmation is requested after the calls that wait for it have arrived, so that it
/// shows all that their streams can depend on. One is in progress at a time; calls that arrive meanwhile share the
/// next.
class StoreConfirmations
{
public:
    void add(CallHandle call);
    /// Starts a confirmation if calls wait for one, the last one was started a while ago, and its end has been reported
    /// or is long overdue.
    std::optional<ConfirmStore> start(TimePoint now);
    /// Time of the next start(); empty if no calls wait.
    std::optional<TimePoint> nextStartAt() const;
    /// Returns the calls that waited for this confirmation; none if another one is in progress.
    std::vector<CallHandle> finish(std::uint64_t number, bool isConfirmed);
    /// Start of the last confirmation.
    TimePoint startedAt() const;
    const StoreConfirmationStats &stats() const;

private:
    std::vector<CallHandle> waiting_; // for the next confirmation
    std::vector<CallHandle> served_; // by the one in progress
    bool isInProgress_ = false;
    std::uint64_t lastNumber_ = 0;
    TimePoint startedAt_{};
    StoreConfirmationStats stats_;
};

} // namespace anvilscale

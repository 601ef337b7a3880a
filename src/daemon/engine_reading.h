// Reading turns of a sidecar's engine: passes messages to the queue, sends its answers and logs its activity.
#pragma once

#include "anvilscale/direct.h"

#include <functional>

namespace anvilscale {

class EngineReading
{
public:
    using Send = std::function<void(PeerHandle, const wire::Envelope &)>;

    EngineReading(const DirectPolicy &policy, Send send);
    void onUpdate(PeerHandle peer, const wire::ReadingUpdate &update, TimePoint now);
    void onPeerLost(PeerHandle peer, TimePoint now);
    /// Takes over the limits and the restarts of the engine.
    void applyEngine(const AdapterController &controller, TimePoint now);
    /// Runs what is due, sends answers and logs when turns begin or stop to apply.
    void afterEvents(TimePoint now);
    /// Time at which afterEvents() has to be called at the latest; empty if it need not be.
    std::optional<TimePoint> nextDueAt() const;
    void addTo(wire::DirectState &state) const;
    /// Change of the queued tokens since the last state. A budget that begins or stops to apply counts as a large
    /// change.
    std::uint64_t changedWork() const;
    void onStateSent();
    /// Logs the measurements and counters if they have changed since the last call.
    void logCounters();

private:
    void logBudget();

    ReadingQueue queue_;
    Send send_;
    std::uint64_t engineRestarts_ = 0;
    bool wasLimited_ = false; // in the last log line
    bool sentLimited_ = false; // in the last state
    std::uint64_t sentQueued_ = 0; // in the last state
    ReadingQueueStats loggedStats_;
};

} // namespace anvilscale

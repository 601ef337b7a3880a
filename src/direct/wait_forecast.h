// Forecast of how long a call would wait at an endpoint, from learned times and its sidecar's state. All times are in
// milliseconds.
#pragma once

#include "endpoint_choice.h"
#include "engine_speed.h"

namespace anvilscale {

class WaitForecast
{
public:
    WaitForecast(const EndpointEntry &entry, const ChoiceQuery &query, TimePoint now);

    const EngineSpeed &speed() const;
    /// Prompt tokens that are read before those of a call that is sent now.
    double backlogTokens() const;
    /// Time for reading them.
    double backlogMs() const;
    /// Time for reading the prompts that wait for a turn and are read before the call's own.
    double queuedMs() const;
    /// Time for reading prompts of calls that wait for an adapter there; they are read before one that starts to wait
    /// now.
    double plannedReadingMs() const;
    /// Time for reading `work` tokens.
    double readingMs(double work) const;
    /// Time until the call's adapter is resident, while the weight store is not overloaded.
    double untilResidentMs(Presence presence) const;
    /// Additional time until the adapter is resident at recent load times.
    double storeDelayMs(Presence presence) const;
    /// True if the engine probably has a copy of the call's adapter.
    bool hasLocalCopy() const;
    /// One load from an idle weight store.
    double loadMs() const;
    /// Part of the wait for the adapter that rests on measured or declared times; defaults count as 0.
    double confirmedUntilResidentMs(Presence presence) const;
    /// The same for a call already waiting there: on average half of the other loads precede its own.
    double confirmedRemainingMs(Presence presence) const;

private:
    double modelLoadMs() const;
    double copyLoadMs() const;
    double adapterLoadMs() const;
    bool hasMeasuredLoads() const;
    double recentLoadMs() const;
    double slotWaitMs() const;
    /// Number of adapters that are loaded before this call's.
    std::uint32_t loadsAhead() const;
    double loadsAheadMs(double loadTime) const;
    double meanRunMs() const;
    bool hasFreshState() const;
    /// True if the adapter would have to be loaded, and the sidecar reports that it cannot order loads.
    bool isLoadBlocked(Presence presence) const;
    const ServiceEstimates &estimates() const;

    const EndpointEntry &entry_;
    const ChoiceQuery &query_;
    TimePoint now_;
    EngineSpeed speed_;
    AdapterName name_;
};

} // namespace anvilscale

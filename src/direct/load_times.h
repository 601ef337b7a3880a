// Load times of one engine as learned by its sidecar: from the weight store, from local copies, and how many loads
// may run concurrently.
#pragma once

#include "estimates.h"

#include "anvilscale/direct.h"

#include <list>
#include <map>

namespace anvilscale {

class LoadTimes
{
public:
    using Name = std::pair<std::string, std::string>; // model, adapter

    LoadTimes();
    /// An order to load the adapter was accepted.
    void onLoadStarted(const Name &name, std::uint32_t version, TimePoint now);
    /// The engine holds the adapter now.
    void onLoaded(const Name &name, std::uint32_t version, TimePoint now);
    /// Records all adapters that the engine reports as held.
    void recordHeld(const std::vector<HeldAdapter> &held);
    void onModelLoadStarted(TimePoint now);
    void onModelLoaded(TimePoint now);
    /// The engine has restarted without copies of adapters. Learned times are kept.
    void onEngineRestarted();
    /// Narrows the window if a load takes longer than usual, which shows that the store is overloaded.
    void checkOverdue(TimePoint now);

    /// Load time in ms from an idle weight store; 0 without samples.
    double idleStoreMs() const;
    /// Recent load time in ms from the weight store.
    double recentStoreMs() const;
    double copyMs() const;
    double modelMs() const;
    /// Number of most recently held adapters that load from a copy; 0 if unknown.
    std::size_t copyCount() const;
    /// Maximum number of concurrent loads.
    std::size_t window() const;

private:
    struct Load
    {
        TimePoint startedAt{};
        std::size_t recencyRank = 0; // number of adapters held more recently
        bool wasHeld = false;
    };
    struct Held
    {
        std::list<Name>::iterator position; // in byRecency_
        std::uint32_t version = 0;
    };
    void recordStoreLoad(double ms, TimePoint now);
    void narrowIfSlow(double ms, TimePoint now);
    void updateCopyCount(const Load &load, bool isFast);
    void markHeld(const Name &name, std::uint32_t version);

    RecentSamples storeSamples_;
    RecentSamples recentStoreSamples_;
    RecentSamples copySamples_;
    double modelMs_ = 0;
    std::optional<TimePoint> modelStartedAt_;
    std::map<Name, Load> pending_;
    std::list<Name> byRecency_; // adapters that the engine has held, most recent first; bounded
    std::map<Name, Held> held_; // the same by name
    double copyCount_ = 0; // 0 until a load shows a limit
    double window_;
    TimePoint narrowedAt_{};
};

} // namespace anvilscale

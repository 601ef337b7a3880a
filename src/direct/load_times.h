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
    void began(const Name &name, std::uint32_t version, TimePoint now);
    /// The engine holds the adapter now.
    void ended(const Name &name, std::uint32_t version, TimePoint now);
    /// Records all adapters that the engine reports as held.
    void seenHeld(const std::vector<HeldAdapter> &held);
    void modelBegan(TimePoint now);
    void modelEnded(TimePoint now);
    /// The engine has restarted without copies of adapters. Learned times are kept.
    void engineRestarted();
    /// Narrows the window if a load takes longer than usual, which shows that the store is overloaded.
    void checkOverdue(TimePoint now);

    /// Load time in ms from an idle weight store; 0 without samples.
    double usualMs() const;
    /// Recent load time in ms from the weight store.
    double recentMs() const;
    double copyMs() const;
    double modelMs() const;
    /// Number of most recently held adapters that load from a copy; 0 if unknown.
    std::size_t copies() const;
    /// Maximum number of concurrent loads.
    std::size_t window() const;

private:
    struct Load
    {
        TimePoint since{};
        std::size_t heldAgo = 0; // number of adapters held more recently
        bool heldBefore = false;
    };
    struct Held
    {
        std::list<Name>::iterator place; // in byRecency_
        std::uint32_t version = 0;
    };
    void noteStoreLoad(double ms, TimePoint now);
    void narrowIfSlow(double ms, TimePoint now);
    void learnCopies(const Load &load, bool fast);
    void touch(const Name &name, std::uint32_t version);

    RecentSamples store_;
    RecentSamples recentStore_;
    RecentSamples copy_;
    double modelMs_ = 0;
    std::optional<TimePoint> modelSince_;
    std::map<Name, Load> underWay_;
    std::list<Name> order_; // adapters that the engine has held, most recent first; bounded
    std::map<Name, Held> held_; // the same by name
    double copies_ = 0; // 0 until a load shows a limit
    double window_;
    TimePoint narrowedAt_{};
};

} // namespace anvilscale

// What a sidecar learns from the loads into its engine: how long an adapter takes, from the weight store and from the
// engine's own copies, how many copies it keeps, and how many loads may go on side by side.
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
    /// An order to load it was accepted.
    void began(const Name &name, std::uint32_t version, TimePoint now);
    /// It is in the engine now.
    void ended(const Name &name, std::uint32_t version, TimePoint now);
    /// All adapters that the engine holds, as it reports them.
    void seenHeld(const std::vector<HeldAdapter> &held);
    void modelBegan(TimePoint now);
    void modelEnded(TimePoint now);
    /// The engine has started again and keeps no copies of adapters. What was learned of times stays.
    void engineRestarted();
    /// Some load is on its way for longer than usual: the store is asked for more than it carries.
    void checkOverdue(TimePoint now);

    /// From the weight store while it is not busy; 0: none was seen.
    double usualMs() const;
    /// From the weight store lately.
    double recentMs() const;
    double copyMs() const;
    double modelMs() const;
    /// Adapters held before that still load from a copy, counted from the last held; 0: not known.
    std::size_t copies() const;
    /// Loads that may go on at the same time.
    std::size_t window() const;

private:
    struct Load
    {
        TimePoint since{};
        std::size_t heldAgo = 0; // adapters held since it was held itself
        bool heldBefore = false;
    };
    struct Held
    {
        std::list<Name>::iterator place; // in order_
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
    std::list<Name> order_; // adapters that the engine has held, the last held first; bounded
    std::map<Name, Held> held_; // the same by name
    double copies_ = 0; // 0: nothing seen that bounds it
    double window_;
    TimePoint narrowedAt_{};
};

} // namespace anvilscale

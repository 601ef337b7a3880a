// Fakes in virtual time: an engine with continuous batching and adapter slots, and a weight store whose rate is shared
// by concurrent loads.
#pragma once

#include "scenario.h"

#include "anvilscale/residency.h"

#include <functional>
#include <map>
#include <set>

namespace anvilscale::bench {

/// Weight store whose load rate (loads per second) is divided among the loads in progress.
class FakeWeightStore
{
public:
    using Callback = std::function<void(OrderOutcome, Now)>;
    FakeWeightStore(TimerService &timers, double rate, std::uint64_t seed);
    void load(TimePoint now, Callback done);
    /// Scales the rate by `rateFactor` and refuses the given share of loads.
    void setDisturbance(double rateFactor, double refusalShare, TimePoint now);
    std::uint64_t loads() const
    {
        return loads_;
    }

private:
    struct Load
    {
        double remaining = 1.0; // fraction of the load
        Callback done;
    };
    double ratePerLoad() const;
    void updateProgress(TimePoint now);
    void armTimer(TimePoint now);

    TimerService &timers_;
    Random random_;
    double rate_;
    double rateFactor_ = 1.0;
    double refusalShare_ = 0.0;
    std::map<std::uint64_t, Load> activeLoads_;
    std::uint64_t lastId_ = 0;
    TimePoint lastUpdate_{};
    TimerHandle timer_;
    std::uint64_t loads_ = 0;
};

/// Engine callbacks.
struct EngineEvents
{
    std::function<void(ExecutionHandle, Now)> firstToken;
    std::function<void(ExecutionHandle, CallOutcome, FailureReason, std::uint32_t tokens, Now)> ended;
};

/// Time integrals for batch efficiency.
struct EngineUsage
{
    double busySeconds = 0.0; ///< time in steps
    double occupiedSeconds = 0.0; ///< time in steps, weighted by batch occupancy
    double tokens = 0.0;
};

class FakeEngine
{
public:
    FakeEngine(TimerService &timers, const DeploymentSpec &spec, EngineEvents events);
    void start(ExecutionHandle execution, const std::string &adapter, std::uint32_t prompt, std::uint32_t output,
               TimePoint now);
    void cancel(ExecutionHandle execution, TimePoint now);
    bool hasFreeSlot() const;
    void addAdapter(const std::string &adapter, TimePoint now);
    /// Returns false and counts a fault while calls use the adapter; a real engine would abort them.
    bool removeAdapter(const std::string &adapter);
    void restart(TimePoint now);
    void recover();
    bool isDown() const
    {
        return isDown_;
    }
    EngineList list() const;
    EngineReport report() const;
    std::optional<TimePoint> loadedAt(const std::string &adapter) const;
    const EngineUsage &usage() const
    {
        return usage_;
    }
    /// Clears the integrals at the end of the warm-up.
    void resetUsage()
    {
        usage_ = EngineUsage{};
    }
    std::uint64_t faultCount() const
    {
        return faultCount_;
    }

private:
    struct Sequence
    {
        std::string adapter;
        std::uint32_t prompt = 0;
        std::uint32_t remaining = 0;
        std::uint32_t generated = 0;
    };
    void step(TimePoint now);
    void armStep(TimePoint now);
    double stepMs() const;

    TimerService &timers_;
    const DeploymentSpec &spec_;
    EngineEvents events_;
    std::map<ExecutionHandle, Sequence> running_;
    std::vector<std::pair<ExecutionHandle, Sequence>> waiting_;
    std::map<std::string, TimePoint> loaded_;
    std::uint64_t incarnation_ = 1;
    bool isDown_ = false;
    bool isStepping_ = false;
    TimerHandle stepTimer_;
    double currentStepMs_ = 0.0;
    EngineUsage usage_;
    std::uint64_t faultCount_ = 0;
};

/// Parses "adapter@version".
AdapterVersion parseAdapter(const std::string &text);

} // namespace anvilscale::bench

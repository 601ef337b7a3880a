// Small fakes at the decisions' interfaces: an engine with continuous batching and adapter slots, and a weight store
// that shares its rate among the loads in progress.
#pragma once

#include "scenario.h"

#include "anvilscale/residency.h"

#include <functional>
#include <map>
#include <set>

namespace anvilscale::bench {

class FakeStore
{
public:
    using Callback = std::function<void(OrderOutcome, Now)>;
    FakeStore(TimerService &timers, double rate, std::uint64_t seed);
    void load(TimePoint now, Callback done);
    /// A slow store gives `factor` of its rate and refuses a share of the loads.
    void disturb(double factor, double refusals, TimePoint now);
    std::uint64_t loads() const
    {
        return loads_;
    }

private:
    struct Load
    {
        double left = 1.0; // parts of a load
        Callback done;
    };
    double rateNow() const;
    void progress(TimePoint now);
    void arm(TimePoint now);

    TimerService &timers_;
    Random random_;
    double rate_;
    double factor_ = 1.0;
    double refusals_ = 0.0;
    std::map<std::uint64_t, Load> active_;
    std::uint64_t lastId_ = 0;
    TimePoint last_{};
    TimerHandle timer_;
    std::uint64_t loads_ = 0;
};

/// What the engine reports to its owner.
struct EngineEvents
{
    std::function<void(ExecutionHandle, Now)> firstToken;
    std::function<void(ExecutionHandle, CallOutcome, FailureReason, std::uint32_t tokens, Now)> ended;
};

/// Integrals over time for batch efficiency.
struct EngineUse
{
    double busySeconds = 0.0; ///< time in steps
    double filledSeconds = 0.0; ///< time in steps times the part of the batch that was used
    double tokens = 0.0;
};

class FakeEngine
{
public:
    FakeEngine(TimerService &timers, const Site &site, EngineEvents events);
    void start(ExecutionHandle execution, const std::string &adapter, std::uint32_t prompt, std::uint32_t output,
               TimePoint now);
    void cancel(ExecutionHandle execution, TimePoint now);
    bool hasRoom() const;
    void addAdapter(const std::string &adapter, TimePoint now);
    /// False while calls of the adapter run: a real engine would abort them, the bench counts it as a fault.
    bool removeAdapter(const std::string &adapter);
    void restart(TimePoint now);
    void recover();
    bool down() const
    {
        return down_;
    }
    EngineList list() const;
    EngineReport report() const;
    std::optional<TimePoint> loadedAt(const std::string &adapter) const;
    const EngineUse &use() const
    {
        return use_;
    }
    /// Clears the integrals, at the end of the warm-up.
    void resetUse()
    {
        use_ = EngineUse{};
    }
    std::uint64_t faults() const
    {
        return faults_;
    }

private:
    struct Sequence
    {
        std::string adapter;
        std::uint32_t prompt = 0;
        std::uint32_t left = 0;
        std::uint32_t made = 0;
    };
    void step(TimePoint now);
    void armStep(TimePoint now);
    double stepMs() const;

    TimerService &timers_;
    const Site &site_;
    EngineEvents events_;
    std::map<ExecutionHandle, Sequence> running_;
    std::vector<std::pair<ExecutionHandle, Sequence>> waiting_;
    std::map<std::string, TimePoint> loaded_;
    std::uint64_t incarnation_ = 1;
    bool down_ = false;
    bool stepping_ = false;
    TimerHandle stepTimer_;
    double currentStepMs_ = 0.0;
    EngineUse use_;
    std::uint64_t faults_ = 0;
};

/// "adapter@version" as it is used as a name of weights.
AdapterVersion parseAdapter(const std::string &text);

} // namespace anvilscale::bench

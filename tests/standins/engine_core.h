// The engine stand-in without its HTTP: adapter slots, a prefix cache, continuous batching with a cost for each step,
// fencing, restart, and a record of every request with what the tests judge by.
#pragma once

#include "anvilscale/base.h"

#include <chrono>
#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace standins {

/// Time of one step = base + perSequence * sequences + perAdapter * distinct adapters + perPromptToken * new prompt
/// tokens, in microseconds.
struct StepCost
{
    double base = 0.0;
    double perSequence = 0.0;
    double perAdapter = 0.0;
    double perPromptToken = 0.0;
};

struct EngineOptions
{
    std::string baseModel;
    std::size_t slots = 4;
    std::size_t batchLimit = 8;
    std::size_t cacheBlocks = 1024;
    StepCost cost;
    bool checksFencing = false;
};

enum class RunEnd : std::uint8_t {
    Running,
    Finished,
    Cancelled, ///< the connection was closed
    Cut, ///< by a restart
    Count
};

struct Sequence
{
    std::uint64_t id = 0;
    std::string model;
    std::string prompt;
    std::string key;
    std::int64_t priority = 0;
    std::size_t tokens = 0; ///< to be generated
    std::size_t promptTokens = 0;
    std::size_t produced = 0;
    RunEnd end = RunEnd::Running;
    bool evicted = false; ///< its adapter was unloaded while it ran
    std::condition_variable changed;
};
using SequencePtr = std::shared_ptr<Sequence>;

enum class OrderResult : std::uint8_t {
    Done,
    Fenced,
    AlreadyLoaded,
    NotLoaded,
    NoSlot,
    LoadFailed,
    Down,
    Count
};

struct EngineStats
{
    double startTime = 0.0;
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::vector<std::string> loaded;
    std::vector<std::string> runningAdapters;
    std::vector<std::string> waitingAdapters;
    std::uint64_t loads = 0;
    std::uint64_t failedLoads = 0;
    std::uint64_t unloads = 0;
    std::uint64_t fenced = 0; ///< orders refused for an old fencing number
    std::uint64_t evictionsUnderCall = 0;
    std::uint64_t unknownModel = 0;
    std::uint64_t steps = 0;
    std::uint64_t stepSequences = 0; ///< sum of sequences over all steps
    std::uint64_t cachedPromptTokens = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t highestFence = 0;
};

class EngineCore
{
public:
    explicit EngineCore(EngineOptions options);
    ~EngineCore();

    const EngineOptions &options() const
    {
        return options_;
    }
    /// Null if the model is not loaded, or the engine is down.
    SequencePtr submit(Sequence &&request);
    /// Waits up to `wait` for more than `have` tokens or the end; returns the tokens produced.
    std::size_t waitTokens(const SequencePtr &sequence, std::size_t have, std::chrono::milliseconds wait, RunEnd &end);
    void cancel(const SequencePtr &sequence);

    /// Takes a slot; the weights are then fetched by the caller, who calls finishLoad().
    OrderResult beginLoad(const std::string &name, std::uint64_t fence);
    OrderResult finishLoad(const std::string &name, std::uint64_t restarts, bool fetched);
    OrderResult unload(const std::string &name, std::uint64_t fence);

    /// Loses every loaded adapter and prefix and cuts all that runs.
    void restart(std::chrono::milliseconds down);
    bool up() const;
    std::uint64_t restarts() const;
    EngineStats stats() const;
    std::vector<SequencePtr> record() const;

private:
    void run();
    void admit();
    std::chrono::microseconds stepTime();
    void produce();
    void finish(const SequencePtr &sequence, RunEnd end);
    bool fenced(std::uint64_t fence);
    std::size_t lookUpPrefix(const Sequence &sequence);

    const EngineOptions options_;
    mutable std::mutex mutex_; // guards all below
    std::condition_variable work_;
    bool stopped_ = false;
    std::uint64_t restarts_ = 0;
    std::chrono::steady_clock::time_point upAt_{};
    std::set<std::string> loaded_;
    std::set<std::string> loading_; // invariant: loaded_ and loading_ together fill at most the slots
    std::vector<SequencePtr> waiting_; // by priority, then arrival
    std::vector<SequencePtr> running_; // at most the batch limit
    std::size_t newPromptTokens_ = 0; // of the sequences admitted to the next step
    std::list<std::uint64_t> cacheOrder_; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
    std::vector<SequencePtr> record_;
    EngineStats stats_;
    std::thread thread_;
};

} // namespace standins

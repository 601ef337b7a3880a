// Model of an engine without HTTP: adapter slots, prefix cache, continuous batching with a cost per step, fencing and
// restart. Records every request.
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

/// Capacities and costs of the engine.
struct EngineOptions
{
    std::string baseModel;
    std::size_t slots = 4;
    std::size_t batchLimit = 8;
    std::size_t cacheBlocks = 1024;
    StepCost cost;
    bool checksFencing = false;
};

/// State of a sequence.
enum class RunState : std::uint8_t {
    Running,
    Finished,
    Cancelled, ///< the client closed its connection
    Cut, ///< the engine restarted
    Count
};

/// One request with its progress.
struct Sequence
{
    std::uint64_t id = 0;
    std::string model;
    std::string prompt;
    std::string key;
    std::int64_t priority = 0;
    std::size_t maxTokens = 0; ///< number of tokens to generate
    std::size_t promptTokens = 0;
    std::size_t produced = 0;
    RunState state = RunState::Running;
    bool wasEvicted = false; ///< its adapter was unloaded while it ran
    std::condition_variable changed;
};
using SequencePtr = std::shared_ptr<Sequence>;

/// Result of a load or unload order.
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

/// Counters and current state of the engine.
struct EngineStats
{
    double startTime = 0.0; ///< seconds since the Unix epoch
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::vector<std::string> loaded;
    std::vector<std::string> runningAdapters;
    std::vector<std::string> waitingAdapters;
    std::uint64_t loads = 0;
    std::uint64_t failedLoads = 0;
    std::uint64_t unloads = 0;
    std::uint64_t fenced = 0; ///< orders refused because of an old fencing number
    std::uint64_t evictionsUnderCall = 0;
    std::uint64_t unknownModel = 0;
    std::uint64_t steps = 0;
    std::uint64_t stepSequences = 0; ///< sum of sequences over all steps
    std::uint64_t cachedPromptTokens = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t highestFence = 0;
};

/// Thread-safe engine with a thread that executes the steps.
class EngineCore
{
public:
    explicit EngineCore(EngineOptions options);
    ~EngineCore();

    const EngineOptions &options() const
    {
        return options_;
    }
    /// Queues a request. Returns null if the model is not loaded or the engine is down.
    SequencePtr submit(Sequence &&request);
    /// Waits up to `wait` for more than `knownTokens` tokens or the end of the sequence. Returns the number of tokens
    /// produced and sets `end`.
    std::size_t waitForTokens(const SequencePtr &sequence, std::size_t knownTokens, std::chrono::milliseconds wait,
                              RunState &end);
    void cancel(const SequencePtr &sequence);

    /// Reserves a slot. If Done, the caller fetches the weights and then calls finishLoad().
    OrderResult beginLoad(const std::string &name, std::uint64_t fence);
    /// `restarts` is the value of restarts() before beginLoad(). Returns Down if the engine restarted since.
    OrderResult finishLoad(const std::string &name, std::uint64_t restarts, bool fetched);
    OrderResult unload(const std::string &name, std::uint64_t fence);

    /// Discards all adapters and cached prefixes, cuts all sequences and stays down for the given time.
    void restart(std::chrono::milliseconds down);
    bool isUp() const;
    std::uint64_t restarts() const;
    EngineStats stats() const;
    std::vector<SequencePtr> records() const;

private:
    void run();
    void admit();
    std::chrono::microseconds stepTime();
    void produce();
    void finish(const SequencePtr &sequence, RunState end);
    bool isFencedOff(std::uint64_t fence);
    std::size_t lookUpPrefix(const Sequence &sequence);

    const EngineOptions options_;
    mutable std::mutex mutex_; // guards all below
    std::condition_variable workAvailable_;
    bool isStopped_ = false;
    std::uint64_t restarts_ = 0;
    std::chrono::steady_clock::time_point availableAt_{};
    std::set<std::string> loaded_;
    std::set<std::string> loading_; // invariant: loaded_.size() + loading_.size() <= options_.slots
    std::vector<SequencePtr> waiting_; // ordered by priority, then arrival
    std::vector<SequencePtr> running_; // at most options_.batchLimit
    std::size_t newPromptTokens_ = 0; // uncached prompt tokens of the sequences admitted to the next step
    std::list<std::uint64_t> cacheOrder_; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
    std::vector<SequencePtr> records_;
    EngineStats stats_;
    std::thread thread_;
};

} // namespace standins

// Adapter slots, continuous batching and prefix cache of the engine stand-in.
#include "engine_core.h"

#include "expected_answer.h"

#include <algorithm>

namespace standins {

namespace {
constexpr std::size_t blockTokens = 16;
constexpr std::size_t charactersPerToken = 4;

double wallSeconds()
{
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::vector<std::string> distinctAdapters(const std::vector<SequencePtr> &sequences)
{
    std::set<std::string> names;
    for (const auto &sequence : sequences) {
        names.insert(sequence->model);
    }
    return {names.begin(), names.end()};
}
} // namespace

EngineCore::EngineCore(EngineOptions options)
    : options_(std::move(options))
{
    stats_.startTime = wallSeconds();
    thread_ = std::thread([this] { run(); });
}

EngineCore::~EngineCore()
{
    {
        const std::scoped_lock lock(mutex_);
        isStopped_ = true;
        workAvailable_.notify_all();
    }
    thread_.join();
}

SequencePtr EngineCore::submit(Sequence &&request)
{
    const std::scoped_lock lock(mutex_);
    const bool isKnown = request.model == options_.baseModel || loaded_.contains(request.model);
    if (!isKnown || std::chrono::steady_clock::now() < availableAt_) {
        ++stats_.unknownModel;
        return nullptr;
    }
    auto sequence = std::make_shared<Sequence>();
    sequence->id = records_.size() + 1;
    sequence->model = std::move(request.model);
    sequence->prompt = std::move(request.prompt);
    sequence->key = std::move(request.key);
    sequence->priority = request.priority;
    sequence->maxTokens = std::max<std::size_t>(request.maxTokens, 1);
    sequence->promptTokens = sequence->prompt.size() / charactersPerToken + 1;
    records_.push_back(sequence);
    const auto position = std::upper_bound(waiting_.begin(), waiting_.end(), sequence,
                                           [](const auto &a, const auto &b) { return a->priority < b->priority; });
    waiting_.insert(position, sequence);
    workAvailable_.notify_all();
    return sequence;
}

std::size_t EngineCore::waitForTokens(const SequencePtr &sequence, std::size_t knownTokens,
                                      std::chrono::milliseconds wait, RunState &end)
{
    std::unique_lock lock(mutex_);
    sequence->changed.wait_for(
        lock, wait, [&] { return sequence->produced > knownTokens || sequence->state != RunState::Running; });
    end = sequence->state;
    return sequence->produced;
}

void EngineCore::finish(const SequencePtr &sequence, RunState end)
{
    if (sequence->state != RunState::Running) {
        return;
    }
    sequence->state = end;
    std::erase(waiting_, sequence);
    std::erase(running_, sequence);
    sequence->changed.notify_all();
}

void EngineCore::cancel(const SequencePtr &sequence)
{
    const std::scoped_lock lock(mutex_);
    finish(sequence, RunState::Cancelled);
}

bool EngineCore::isFencedOff(std::uint64_t fence)
{
    if (options_.checksFencing && fence < stats_.highestFence) {
        ++stats_.fenced;
        return true;
    }
    stats_.highestFence = std::max(stats_.highestFence, fence);
    return false;
}

OrderResult EngineCore::beginLoad(const std::string &name, std::uint64_t fence)
{
    const std::scoped_lock lock(mutex_);
    if (std::chrono::steady_clock::now() < availableAt_) {
        return OrderResult::Down;
    }
    if (isFencedOff(fence)) {
        return OrderResult::Fenced;
    }
    if (loaded_.contains(name) || loading_.contains(name)) {
        return OrderResult::AlreadyLoaded;
    }
    if (loaded_.size() + loading_.size() >= options_.slots) {
        return OrderResult::NoSlot;
    }
    loading_.insert(name);
    return OrderResult::Done;
}

OrderResult EngineCore::finishLoad(const std::string &name, std::uint64_t restarts, bool fetched)
{
    const std::scoped_lock lock(mutex_);
    if (restarts != restarts_) {
        return OrderResult::Down; // the engine restarted after it accepted the order
    }
    loading_.erase(name);
    if (!fetched) {
        ++stats_.failedLoads;
        return OrderResult::LoadFailed;
    }
    loaded_.insert(name);
    ++stats_.loads;
    return OrderResult::Done;
}

OrderResult EngineCore::unload(const std::string &name, std::uint64_t fence)
{
    const std::scoped_lock lock(mutex_);
    if (std::chrono::steady_clock::now() < availableAt_) {
        return OrderResult::Down;
    }
    if (isFencedOff(fence)) {
        return OrderResult::Fenced;
    }
    if (loaded_.erase(name) == 0) {
        return OrderResult::NotLoaded;
    }
    ++stats_.unloads;
    for (const auto *sequences : {&running_, &waiting_}) {
        for (const auto &sequence : *sequences) {
            if (sequence->model == name) {
                sequence->wasEvicted = true;
                ++stats_.evictionsUnderCall;
            }
        }
    }
    return OrderResult::Done;
}

void EngineCore::restart(std::chrono::milliseconds down)
{
    const std::scoped_lock lock(mutex_);
    ++restarts_;
    availableAt_ = std::chrono::steady_clock::now() + down;
    loaded_.clear();
    loading_.clear();
    cache_.clear();
    cacheOrder_.clear();
    while (!running_.empty()) {
        finish(running_.back(), RunState::Cut);
    }
    while (!waiting_.empty()) {
        finish(waiting_.back(), RunState::Cut);
    }
    constexpr double minStartTimeStep = 0.001; // seconds; keeps the start times of two incarnations distinct
    stats_.startTime = std::max(wallSeconds(), stats_.startTime + minStartTimeStep);
}

bool EngineCore::isUp() const
{
    const std::scoped_lock lock(mutex_);
    return std::chrono::steady_clock::now() >= availableAt_;
}

std::uint64_t EngineCore::restarts() const
{
    const std::scoped_lock lock(mutex_);
    return restarts_;
}

EngineStats EngineCore::stats() const
{
    const std::scoped_lock lock(mutex_);
    EngineStats stats = stats_;
    stats.running = running_.size();
    stats.waiting = waiting_.size();
    stats.loaded = {loaded_.begin(), loaded_.end()};
    stats.runningAdapters = distinctAdapters(running_);
    stats.waitingAdapters = distinctAdapters(waiting_);
    return stats;
}

std::vector<SequencePtr> EngineCore::records() const
{
    const std::scoped_lock lock(mutex_);
    return records_;
}

// Returns the number of prompt tokens found in the cache and adds the others. Only whole blocks are cached; the hash of
// a block covers the adapter's name and all blocks before it.
std::size_t EngineCore::lookUpPrefix(const Sequence &sequence)
{
    std::size_t found = 0;
    bool isPrefixCached = true;
    std::uint64_t hash = anvilscale::hash64(sequence.model);
    constexpr std::size_t blockBytes = blockTokens * charactersPerToken;
    for (std::size_t at = 0; at + blockBytes <= sequence.prompt.size(); at += blockBytes) {
        hash = anvilscale::hash64(std::string_view(sequence.prompt).substr(at, blockBytes), hash);
        const auto cached = cache_.find(hash);
        isPrefixCached = isPrefixCached && cached != cache_.end();
        found += isPrefixCached ? blockTokens : 0;
        if (cached != cache_.end()) {
            cacheOrder_.splice(cacheOrder_.begin(), cacheOrder_, cached->second);
            continue;
        }
        cacheOrder_.push_front(hash);
        cache_[hash] = cacheOrder_.begin();
        if (cache_.size() > options_.cacheBlocks) {
            cache_.erase(cacheOrder_.back());
            cacheOrder_.pop_back();
        }
    }
    return found;
}

void EngineCore::admit()
{
    while (!waiting_.empty() && running_.size() < options_.batchLimit) {
        const auto next = waiting_.front();
        waiting_.erase(waiting_.begin());
        running_.push_back(next);
        const std::size_t cached = lookUpPrefix(*next);
        stats_.cachedPromptTokens += cached;
        stats_.promptTokens += next->promptTokens;
        newPromptTokens_ += next->promptTokens - std::min(cached, next->promptTokens);
    }
}

std::chrono::microseconds EngineCore::stepTime()
{
    const auto adapters = distinctAdapters(running_).size();
    const auto &cost = options_.cost;
    const double time = cost.base + cost.perSequence * static_cast<double>(running_.size())
                        + cost.perAdapter * static_cast<double>(adapters)
                        + cost.perPromptToken * static_cast<double>(newPromptTokens_);
    newPromptTokens_ = 0;
    return std::chrono::microseconds(static_cast<std::int64_t>(time));
}

void EngineCore::produce()
{
    ++stats_.steps;
    stats_.stepSequences += running_.size();
    const auto sequences = running_;
    for (const auto &sequence : sequences) {
        ++sequence->produced;
        sequence->changed.notify_all();
        if (sequence->produced >= sequence->maxTokens) {
            finish(sequence, RunState::Finished);
        }
    }
}

void EngineCore::run()
{
    std::unique_lock lock(mutex_);
    while (true) {
        workAvailable_.wait(lock, [this] { return isStopped_ || !running_.empty() || !waiting_.empty(); });
        if (isStopped_) {
            return;
        }
        admit();
        const auto time = stepTime();
        if (time.count() > 0) {
            lock.unlock();
            std::this_thread::sleep_for(time);
            lock.lock();
        }
        produce();
    }
}

} // namespace standins

// Continuous batching, slots and prefix cache of the engine stand-in.
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

std::vector<std::string> adaptersOf(const std::vector<SequencePtr> &sequences)
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
        stopped_ = true;
        work_.notify_all();
    }
    thread_.join();
}

SequencePtr EngineCore::submit(Sequence &&request)
{
    const std::scoped_lock lock(mutex_);
    const bool known = request.model == options_.baseModel || loaded_.contains(request.model);
    if (!known || std::chrono::steady_clock::now() < upAt_) {
        ++stats_.unknownModel;
        return nullptr;
    }
    auto sequence = std::make_shared<Sequence>();
    sequence->id = record_.size() + 1;
    sequence->model = std::move(request.model);
    sequence->prompt = std::move(request.prompt);
    sequence->key = std::move(request.key);
    sequence->priority = request.priority;
    sequence->tokens = std::max<std::size_t>(request.tokens, 1);
    sequence->promptTokens = sequence->prompt.size() / charactersPerToken + 1;
    record_.push_back(sequence);
    const auto place = std::upper_bound(waiting_.begin(), waiting_.end(), sequence,
                                        [](const auto &a, const auto &b) { return a->priority < b->priority; });
    waiting_.insert(place, sequence);
    work_.notify_all();
    return sequence;
}

std::size_t EngineCore::waitTokens(const SequencePtr &sequence, std::size_t have, std::chrono::milliseconds wait,
                                   RunEnd &end)
{
    std::unique_lock lock(mutex_);
    sequence->changed.wait_for(lock, wait,
                               [&] { return sequence->produced > have || sequence->end != RunEnd::Running; });
    end = sequence->end;
    return sequence->produced;
}

void EngineCore::finish(const SequencePtr &sequence, RunEnd end)
{
    if (sequence->end != RunEnd::Running) {
        return;
    }
    sequence->end = end;
    std::erase(waiting_, sequence);
    std::erase(running_, sequence);
    sequence->changed.notify_all();
}

void EngineCore::cancel(const SequencePtr &sequence)
{
    const std::scoped_lock lock(mutex_);
    finish(sequence, RunEnd::Cancelled);
}

bool EngineCore::fenced(std::uint64_t fence)
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
    if (std::chrono::steady_clock::now() < upAt_) {
        return OrderResult::Down;
    }
    if (fenced(fence)) {
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
        return OrderResult::Down; // the engine that had taken the order is gone
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
    if (std::chrono::steady_clock::now() < upAt_) {
        return OrderResult::Down;
    }
    if (fenced(fence)) {
        return OrderResult::Fenced;
    }
    if (loaded_.erase(name) == 0) {
        return OrderResult::NotLoaded;
    }
    ++stats_.unloads;
    for (const auto *sequences : {&running_, &waiting_}) {
        for (const auto &sequence : *sequences) {
            if (sequence->model == name) {
                sequence->evicted = true;
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
    upAt_ = std::chrono::steady_clock::now() + down;
    loaded_.clear();
    loading_.clear();
    cache_.clear();
    cacheOrder_.clear();
    while (!running_.empty()) {
        finish(running_.back(), RunEnd::Cut);
    }
    while (!waiting_.empty()) {
        finish(waiting_.back(), RunEnd::Cut);
    }
    constexpr double leastStep = 0.001; // two starts never show the same time
    stats_.startTime = std::max(wallSeconds(), stats_.startTime + leastStep);
}

bool EngineCore::up() const
{
    const std::scoped_lock lock(mutex_);
    return std::chrono::steady_clock::now() >= upAt_;
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
    stats.runningAdapters = adaptersOf(running_);
    stats.waitingAdapters = adaptersOf(waiting_);
    return stats;
}

std::vector<SequencePtr> EngineCore::record() const
{
    const std::scoped_lock lock(mutex_);
    return record_;
}

// Prompt tokens found in the cache: whole blocks from the start, hashed in a chain over the adapter's name.
std::size_t EngineCore::lookUpPrefix(const Sequence &sequence)
{
    std::size_t found = 0;
    bool chain = true;
    std::uint64_t hash = anvilscale::hash64(sequence.model);
    constexpr std::size_t blockBytes = blockTokens * charactersPerToken;
    for (std::size_t at = 0; at + blockBytes <= sequence.prompt.size(); at += blockBytes) {
        hash = anvilscale::hash64(std::string_view(sequence.prompt).substr(at, blockBytes), hash);
        const auto known = cache_.find(hash);
        chain = chain && known != cache_.end();
        found += chain ? blockTokens : 0;
        if (known != cache_.end()) {
            cacheOrder_.splice(cacheOrder_.begin(), cacheOrder_, known->second);
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
    const auto adapters = adaptersOf(running_).size();
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
        if (sequence->produced >= sequence->tokens) {
            finish(sequence, RunEnd::Finished);
        }
    }
}

void EngineCore::run()
{
    std::unique_lock lock(mutex_);
    while (true) {
        work_.wait(lock, [this] { return stopped_ || !running_.empty() || !waiting_.empty(); });
        if (stopped_) {
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

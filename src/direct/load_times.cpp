// Load time estimation. Constants are ratios or bounds of the platform, not properties of an engine.
#include "load_times.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr std::size_t idleStoreSamples = 48;
constexpr std::size_t recentSamples = 6;
constexpr std::size_t copySamples = 24;
// Quantile of the load times that represents an idle store; congestion only makes loads longer.
constexpr double idleQuantile = 0.1;
// Ratio to the usual load time below which a load counts as one from a copy.
constexpr double maxCopyShare = 0.5;
// Ratios to the usual load time: up to the first the store is idle, beyond the second it is overloaded.
constexpr double uncongestedRatio = 1.25;
constexpr double overloadedRatio = 1.6;
constexpr double narrowingFactor = 0.7;
constexpr std::size_t minSamplesToNarrow = 4;
// Sidecars that start together must not overload the store: the initial samples have to show its full speed. With all
// slots loading at once the store was asked for nine times what it carries, and no load showed its full speed.
constexpr double initialWindow = 1;
constexpr std::size_t maxTrackedAdapters = 512; // bounds memory
constexpr double copiesWeight = 0.25; // weight of a load that contradicts the estimate

} // namespace

LoadTimes::LoadTimes()
    : storeSamples_(idleStoreSamples)
    , recentStoreSamples_(recentSamples)
    , copySamples_(copySamples)
    , window_(initialWindow)
{
}

void LoadTimes::onLoadStarted(const Name &name, std::uint32_t version, TimePoint now)
{
    Load load;
    load.startedAt = now;
    const auto known = held_.find(name);
    // A newer version has no copy in the engine.
    load.wasHeld = known != held_.end() && (version == 0 || version == known->second.version);
    if (load.wasHeld) {
        load.recencyRank = static_cast<std::size_t>(std::distance(byRecency_.begin(), known->second.position));
    }
    pending_[name] = load;
}

void LoadTimes::onLoaded(const Name &name, std::uint32_t version, TimePoint now)
{
    const auto found = pending_.find(name);
    if (found == pending_.end()) {
        return;
    }
    const auto load = found->second;
    pending_.erase(found);
    const double ms = milliseconds(now - load.startedAt);
    const auto known = held_.find(name);
    const bool sameVersion = known != held_.end() && known->second.version == version;
    const bool wasHeldBefore = load.wasHeld && sameVersion;
    const bool hasBaseline = storeSamples_.count() != 0;
    const bool isFast = hasBaseline && ms < maxCopyShare * idleStoreMs();
    if (wasHeldBefore && (isFast || !hasBaseline)) {
        copySamples_.add(ms);
    }
    if (wasHeldBefore && hasBaseline) {
        updateCopyCount(load, isFast);
    }
    if (!isFast) {
        recordStoreLoad(ms, now);
    }
}

void LoadTimes::updateCopyCount(const Load &load, bool isFast)
{
    const auto seen = static_cast<double>(load.recencyRank + 1);
    if (isFast) {
        copyCount_ = copyCount_ == 0 ? 0 : std::max(copyCount_, seen);
        return;
    }
    if (copyCount_ == 0) {
        copyCount_ = seen;
        return;
    }
    copyCount_ -= seen < copyCount_ ? copiesWeight * (copyCount_ - seen) : 0;
}

void LoadTimes::recordStoreLoad(double ms, TimePoint now)
{
    storeSamples_.add(ms);
    recentStoreSamples_.add(ms);
    if (ms <= uncongestedRatio * idleStoreMs()) {
        // Grows fast until the store was overloaded once, then slowly.
        window_ = std::min<double>(maxEngineLoads, window_ + (narrowedAt_ == TimePoint{} ? 1 : 1 / window_));
    }
    narrowIfSlow(ms, now);
}

void LoadTimes::narrowIfSlow(double ms, TimePoint now)
{
    const bool slow = storeSamples_.count() >= minSamplesToNarrow && ms > overloadedRatio * idleStoreMs();
    // Concurrent loads show the same overload only once.
    if (slow && milliseconds(now - narrowedAt_) > ms) {
        window_ = std::max(1.0, window_ * narrowingFactor);
        narrowedAt_ = now;
    }
}

void LoadTimes::checkOverdue(TimePoint now)
{
    for (const auto &[name, load] : pending_) {
        narrowIfSlow(milliseconds(now - load.startedAt), now);
    }
}

void LoadTimes::recordHeld(const std::vector<HeldAdapter> &held)
{
    for (const auto &adapter : held) {
        markHeld({adapter.model, adapter.adapter}, adapter.version);
    }
}

void LoadTimes::markHeld(const Name &name, std::uint32_t version)
{
    const auto known = held_.find(name);
    if (known != held_.end()) {
        known->second.version = version;
        byRecency_.splice(byRecency_.begin(), byRecency_, known->second.position);
        return;
    }
    byRecency_.push_front(name);
    held_[name] = Held{byRecency_.begin(), version};
    if (byRecency_.size() > maxTrackedAdapters) {
        held_.erase(byRecency_.back());
        byRecency_.pop_back();
    }
}

void LoadTimes::onModelLoadStarted(TimePoint now)
{
    modelStartedAt_ = now;
}

void LoadTimes::onModelLoaded(TimePoint now)
{
    if (const auto startedAt = std::exchange(modelStartedAt_, std::nullopt)) {
        modelMs_ = milliseconds(now - *startedAt);
    }
}

void LoadTimes::onEngineRestarted()
{
    pending_.clear();
    byRecency_.clear();
    held_.clear();
    modelStartedAt_.reset();
}

double LoadTimes::idleStoreMs() const
{
    return storeSamples_.quantile(idleQuantile);
}

double LoadTimes::recentStoreMs() const
{
    return recentStoreSamples_.quantile(0.5);
}

double LoadTimes::copyMs() const
{
    return copySamples_.quantile(0.5);
}

double LoadTimes::modelMs() const
{
    return modelMs_;
}

std::size_t LoadTimes::copyCount() const
{
    return static_cast<std::size_t>(copyCount_);
}

std::size_t LoadTimes::window() const
{
    return static_cast<std::size_t>(window_);
}

} // namespace anvilscale

// Load time estimation. Constants are ratios or bounds of the platform, not properties of an engine.
#include "load_times.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr std::size_t usualSamples = 48;
constexpr std::size_t recentSamples = 6;
constexpr std::size_t copySamples = 24;
// Quantile of the load times that represents an idle store; congestion only makes loads longer.
constexpr double idleQuantile = 0.1;
// Ratio to the usual load time below which a load counts as one from a copy.
constexpr double copyShare = 0.5;
// Ratios to the usual load time: up to the first the store is idle, beyond the second it is overloaded.
constexpr double fullSpeed = 1.25;
constexpr double overloaded = 1.6;
constexpr double narrowing = 0.7;
constexpr std::size_t leastToNarrow = 4;
// Sidecars that start together must not overload the store: the initial samples have to show its full speed.
constexpr double firstWindow = 1;
constexpr std::size_t mostRemembered = 512; // adapters
constexpr double copiesWeight = 0.25; // weight of a load that contradicts the estimate

} // namespace

LoadTimes::LoadTimes()
    : store_(usualSamples)
    , recentStore_(recentSamples)
    , copy_(copySamples)
    , window_(firstWindow)
{
}

void LoadTimes::began(const Name &name, std::uint32_t version, TimePoint now)
{
    Load load;
    load.since = now;
    const auto known = held_.find(name);
    // A newer version has no copy in the engine.
    load.heldBefore = known != held_.end() && (version == 0 || version == known->second.version);
    if (load.heldBefore) {
        load.heldAgo = static_cast<std::size_t>(std::distance(order_.begin(), known->second.place));
    }
    underWay_[name] = load;
}

void LoadTimes::ended(const Name &name, std::uint32_t version, TimePoint now)
{
    const auto found = underWay_.find(name);
    if (found == underWay_.end()) {
        return;
    }
    const auto load = found->second;
    underWay_.erase(found);
    const double ms = milliseconds(now - load.since);
    const auto known = held_.find(name);
    const bool sameVersion = known != held_.end() && known->second.version == version;
    const bool again = load.heldBefore && sameVersion;
    const bool comparable = store_.count() != 0;
    const bool fast = comparable && ms < copyShare * usualMs();
    if (again && (fast || !comparable)) {
        copy_.add(ms);
    }
    if (again && comparable) {
        learnCopies(load, fast);
    }
    if (!fast) {
        noteStoreLoad(ms, now);
    }
}

void LoadTimes::learnCopies(const Load &load, bool fast)
{
    const auto seen = static_cast<double>(load.heldAgo + 1);
    if (fast) {
        copies_ = copies_ == 0 ? 0 : std::max(copies_, seen);
        return;
    }
    if (copies_ == 0) {
        copies_ = seen;
        return;
    }
    copies_ -= seen < copies_ ? copiesWeight * (copies_ - seen) : 0;
}

void LoadTimes::noteStoreLoad(double ms, TimePoint now)
{
    store_.add(ms);
    recentStore_.add(ms);
    if (ms <= fullSpeed * usualMs()) {
        // Grows fast until the store was overloaded once, then slowly.
        window_ = std::min<double>(engineLoadsAtOnce, window_ + (narrowedAt_ == TimePoint{} ? 1 : 1 / window_));
    }
    narrowIfSlow(ms, now);
}

void LoadTimes::narrowIfSlow(double ms, TimePoint now)
{
    const bool slow = store_.count() >= leastToNarrow && ms > overloaded * usualMs();
    // Concurrent loads show the same overload only once.
    if (slow && milliseconds(now - narrowedAt_) > ms) {
        window_ = std::max(1.0, window_ * narrowing);
        narrowedAt_ = now;
    }
}

void LoadTimes::checkOverdue(TimePoint now)
{
    for (const auto &[name, load] : underWay_) {
        narrowIfSlow(milliseconds(now - load.since), now);
    }
}

void LoadTimes::seenHeld(const std::vector<HeldAdapter> &held)
{
    for (const auto &adapter : held) {
        touch({adapter.model, adapter.adapter}, adapter.version);
    }
}

void LoadTimes::touch(const Name &name, std::uint32_t version)
{
    const auto known = held_.find(name);
    if (known != held_.end()) {
        known->second.version = version;
        order_.splice(order_.begin(), order_, known->second.place);
        return;
    }
    order_.push_front(name);
    held_[name] = Held{order_.begin(), version};
    if (order_.size() > mostRemembered) {
        held_.erase(order_.back());
        order_.pop_back();
    }
}

void LoadTimes::modelBegan(TimePoint now)
{
    modelSince_ = now;
}

void LoadTimes::modelEnded(TimePoint now)
{
    if (const auto since = std::exchange(modelSince_, std::nullopt)) {
        modelMs_ = milliseconds(now - *since);
    }
}

void LoadTimes::engineRestarted()
{
    underWay_.clear();
    order_.clear();
    held_.clear();
    modelSince_.reset();
}

double LoadTimes::usualMs() const
{
    return store_.quantile(idleQuantile);
}

double LoadTimes::recentMs() const
{
    return recentStore_.quantile(0.5);
}

double LoadTimes::copyMs() const
{
    return copy_.quantile(0.5);
}

double LoadTimes::modelMs() const
{
    return modelMs_;
}

std::size_t LoadTimes::copies() const
{
    return static_cast<std::size_t>(copies_);
}

std::size_t LoadTimes::window() const
{
    return static_cast<std::size_t>(window_);
}

} // namespace anvilscale

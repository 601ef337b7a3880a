// Virtual token counters of workspaces.
#include "workspace_shares.h"

#include <algorithm>
#include <limits>

namespace anvilscale {

namespace {

// Time without waiting calls after which earlier use does not matter any more.
constexpr Duration memoryTime = Seconds(10);
// Workspaces beyond this number share the treatment of new ones; bounds memory under contention without a break.
constexpr std::size_t maxCounters = 4096;

} // namespace

std::uint64_t WorkspaceShares::lowestWaiting() const
{
    auto lowest = std::numeric_limits<std::uint64_t>::max();
    for (const auto &[name, counter] : counters_) {
        lowest = counter.waiting == 0 ? lowest : std::min(lowest, counter.tokens);
    }
    return lowest;
}

void WorkspaceShares::onWaiting(const std::string &workspace)
{
    if (counters_.size() >= maxCounters) {
        std::erase_if(counters_, [](const auto &item) { return item.second.waiting == 0; });
    }
    const auto floor = waiting_ == 0 ? lastTokens_ : lowestWaiting();
    auto &counter = counters_[workspace];
    if (counter.waiting == 0) {
        counter.tokens = std::max(counter.tokens, floor);
    }
    ++counter.waiting;
    ++waiting_;
}

void WorkspaceShares::onStoppedWaiting(const std::string &workspace, TimePoint now)
{
    auto &counter = counters_[workspace];
    counter.waiting -= counter.waiting == 0 ? 0 : 1;
    waiting_ -= waiting_ == 0 ? 0 : 1;
    if (waiting_ == 0) {
        lastTokens_ = counter.tokens;
        idleSince_ = now;
    }
}

void WorkspaceShares::charge(const std::string &workspace, std::uint64_t tokens)
{
    if (waiting_ != 0) {
        counters_[workspace].tokens += tokens;
    }
}

std::uint64_t WorkspaceShares::given(const std::string &workspace) const
{
    const auto found = counters_.find(workspace);
    return found == counters_.end() ? 0 : found->second.tokens;
}

void WorkspaceShares::expire(TimePoint now)
{
    if (waiting_ == 0 && now - idleSince_ >= memoryTime) {
        counters_.clear();
        lastTokens_ = 0;
    }
}

std::size_t WorkspaceShares::size() const
{
    return counters_.size();
}

} // namespace anvilscale

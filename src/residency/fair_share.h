// Fairness between callers by their share of the running calls.
#pragma once

#include "execution_table.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace anvilscale {

/// Snapshot of the running calls by caller; created for each selection from the queue.
class FairShare
{
public:
    FairShare(const ExecutionTable &executions, std::uint32_t batchLimit)
        : batchLimit_(batchLimit)
    {
        for (const auto &[handle, execution] : executions.all()) {
            const auto it = std::ranges::find(runningByCaller_, execution.caller, &Count::first);
            if (it != runningByCaller_.end()) {
                ++it->second;
            } else {
                runningByCaller_.emplace_back(execution.caller, 1);
            }
        }
    }
    /// Returns true if the caller has more than an equal share of the batch.
    bool exceedsShare(std::uint64_t caller) const
    {
        const auto it = std::ranges::find(runningByCaller_, caller, &Count::first);
        return it != runningByCaller_.end() && it->second * runningByCaller_.size() > batchLimit_;
    }

private:
    using Count = std::pair<std::uint64_t, std::uint32_t>;

    std::uint32_t batchLimit_;
    std::vector<Count> runningByCaller_; // at most batchLimit_ callers
};

} // namespace anvilscale

// Fairness over callers: who already has more than an even share of the running calls.
#pragma once

#include "execution_table.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace anvilscale {

/// A snapshot of the running calls by caller; made once for each choice from the queue.
class FairShare
{
public:
    FairShare(const ExecutionTable &executions, std::uint32_t batchLimit)
        : batchLimit_(batchLimit)
    {
        for (const auto &[handle, execution] : executions.all()) {
            const auto place = std::ranges::find(running_, execution.caller, &Count::first);
            if (place != running_.end()) {
                ++place->second;
            } else {
                running_.emplace_back(execution.caller, 1);
            }
        }
    }
    bool isOver(std::uint64_t caller) const
    {
        const auto place = std::ranges::find(running_, caller, &Count::first);
        return place != running_.end() && place->second * running_.size() > batchLimit_;
    }

private:
    using Count = std::pair<std::uint64_t, std::uint32_t>;

    std::uint32_t batchLimit_;
    std::vector<Count> running_; // at most one for each place in the batch
};

} // namespace anvilscale

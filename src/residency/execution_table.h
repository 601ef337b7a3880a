// Calls that were given to the endpoint and have not ended.
#pragma once

#include "listener.h"

#include "anvilscale/residency.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilscale {

struct Execution
{
    ExecutionHandle handle;
    AdapterVersion which;
    std::string service;
    std::string key;
    std::uint64_t fingerprint = 0;
    std::uint64_t caller = 0;
    std::vector<Listener> listeners;
    TimePoint started;
    TimePoint deadline;
    bool pinned = false; ///< holds one pin of `which`
    bool atMostOnce = false;
    bool cancelling = false;
    bool obsolete = false; ///< given to an engine incarnation that is gone
    // Set exactly while nobody listens and the cancel is put off, so that a repeat can attach.
    std::optional<TimePoint> cancelAt;
};

class ExecutionTable
{
public:
    using Executions = std::map<ExecutionHandle, Execution>;

    Execution &add(Execution execution)
    {
        const auto handle = execution.handle;
        return executions_.insert_or_assign(handle, std::move(execution)).first->second;
    }
    Execution *find(ExecutionHandle handle)
    {
        const auto place = executions_.find(handle);
        return place == executions_.end() ? nullptr : &place->second;
    }
    void erase(ExecutionHandle handle)
    {
        executions_.erase(handle);
    }
    Executions &all()
    {
        return executions_;
    }
    const Executions &all() const
    {
        return executions_;
    }
    bool empty() const
    {
        return executions_.empty();
    }
    /// Calls that take room in the endpoint's batch.
    std::uint32_t running() const
    {
        std::uint32_t count = 0;
        for (const auto &[handle, execution] : executions_) {
            count += static_cast<std::uint32_t>(!execution.obsolete);
        }
        return count;
    }
    /// A running execution to which a repeat may listen.
    Execution *attachable(const std::string &key, std::uint64_t fingerprint)
    {
        for (auto &[handle, execution] : executions_) {
            const bool open = !execution.cancelling && !execution.obsolete && !execution.atMostOnce;
            if (open && execution.key == key && execution.fingerprint == fingerprint) {
                return &execution;
            }
        }
        return nullptr;
    }
    /// Earliest time at which an execution is to be cancelled; `delay` is what is added to a deadline.
    std::optional<TimePoint> nextCancel(Duration delay) const
    {
        std::optional<TimePoint> earliest;
        for (const auto &[handle, execution] : executions_) {
            if (execution.cancelling || execution.atMostOnce) {
                continue;
            }
            const TimePoint due = execution.cancelAt.value_or(execution.deadline + delay);
            earliest = earliest ? std::min(*earliest, due) : due;
        }
        return earliest;
    }

private:
    Executions executions_; // at most the batch limit, and what an earlier engine incarnation has not yet given up
};

} // namespace anvilscale

// Table of the calls that were sent to the endpoint and have not ended.
#pragma once

#include "listener.h"

#include "anvilscale/residency.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilscale {

/// Call that runs at the endpoint.
struct Execution
{
    ExecutionHandle handle;
    AdapterVersion adapterVersion;
    std::string service;
    std::string key;
    std::uint64_t fingerprint = 0;
    std::uint64_t caller = 0;
    std::vector<Listener> listeners;
    TimePoint startedAt;
    TimePoint deadline;
    bool isPinned = false; ///< holds one pin of `adapterVersion`
    bool isAtMostOnce = false;
    bool isCancelling = false;
    bool isObsolete = false; ///< sent to an earlier engine incarnation
    // Set exactly while there are no listeners and the cancel is deferred, so that a repeat can attach.
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
        const auto it = executions_.find(handle);
        return it == executions_.end() ? nullptr : &it->second;
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
    /// Number of calls in the endpoint's batch.
    std::uint32_t runningCount() const
    {
        std::uint32_t count = 0;
        for (const auto &[handle, execution] : executions_) {
            count += static_cast<std::uint32_t>(!execution.isObsolete);
        }
        return count;
    }
    /// Returns a running execution to which a repeat can attach, or null.
    Execution *findAttachable(const std::string &key, std::uint64_t fingerprint)
    {
        for (auto &[handle, execution] : executions_) {
            const bool isOpen = !execution.isCancelling && !execution.isObsolete && !execution.isAtMostOnce;
            if (isOpen && execution.key == key && execution.fingerprint == fingerprint) {
                return &execution;
            }
        }
        return nullptr;
    }
    /// Earliest time at which an execution must be cancelled; `delay` is the grace period after its deadline.
    std::optional<TimePoint> nextCancelAt(Duration delay) const
    {
        std::optional<TimePoint> earliest;
        for (const auto &[handle, execution] : executions_) {
            if (execution.isCancelling || execution.isAtMostOnce) {
                continue;
            }
            const TimePoint due = execution.cancelAt.value_or(execution.deadline + delay);
            earliest = earliest ? std::min(*earliest, due) : due;
        }
        return earliest;
    }

private:
    Executions executions_; // at most the batch limit, plus obsolete executions that have not ended
};

} // namespace anvilscale

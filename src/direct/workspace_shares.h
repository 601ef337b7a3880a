// Fair order of workspaces that wait for an engine, by virtual token counters.
#pragma once

#include "anvilscale/base.h"

#include <map>
#include <string>

namespace anvilscale {

/// Counts the work that each workspace has been given while calls waited. The counters of two workspaces that both wait
/// and are served by the lowest counter differ by one call's work at most.
class WorkspaceShares
{
public:
    /// A call of the workspace begins to wait. The counter of a workspace that had no waiting call is raised to the
    /// lowest one of those that wait: time without calls earns no claim.
    void onWaiting(const std::string &workspace);
    void onStoppedWaiting(const std::string &workspace, TimePoint now);
    /// Work given while other calls wait. Work given without contention takes nothing from anybody and is not counted.
    void charge(const std::string &workspace, std::uint64_t tokens);
    std::uint64_t given(const std::string &workspace) const;
    /// Lowest counter of the workspaces with waiting calls; the highest number without any.
    std::uint64_t lowestWaiting() const;
    /// Forgets all counters after some time without waiting calls, which bounds memory.
    void expire(TimePoint now);
    std::size_t size() const;

private:
    struct Counter
    {
        std::uint64_t tokens = 0;
        std::uint32_t waiting = 0; // calls
    };

    std::map<std::string, Counter> counters_;
    std::uint64_t lastTokens_ = 0; // counter of the workspace that was the last to stop waiting
    std::uint32_t waiting_ = 0; // calls of all workspaces
    TimePoint idleSince_{};
};

} // namespace anvilscale

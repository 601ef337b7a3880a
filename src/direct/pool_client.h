// Credit of one entry from the pools of one scope, and the sidecars selected to hold these pools.
#pragma once

#include "endpoint_table.h"

#include "anvilscale/workspace.h"

#include <bitset>

namespace anvilscale {

class PoolClient
{
public:
    PoolClient(wire::AllowanceScope scope, std::string entryName, AllowanceTimes times);

    AllowanceAccounts &accounts();
    /// `standalone`: no sidecar will ever hold a pool.
    void applyConfig(std::uint64_t configVersion, bool standalone);
    /// Groups whose pools this entry takes part in; all of them at the start.
    void setGroups(std::bitset<allowanceGroups> groups);
    void onPoolLost(const std::string &address);
    /// Called every directTickInterval.
    void tick(const EndpointTable &endpoints, TimePoint now);
    void selectPools(const EndpointTable &endpoints, TimePoint now);
    /// Address of the sidecar that holds the pool of this name; empty if there is none.
    const std::string &poolAddress(const std::string &name) const;
    /// Messages to send to pools.
    std::vector<AskAllowance> takeRequests(TimePoint now);

private:
    wire::AllowanceScope scope_;
    AllowanceAccounts accounts_;
    std::bitset<allowanceGroups> groups_;
    TimePoint nextSelectionAt_{};
    std::map<std::string, TimePoint> avoided_; // addresses, and until when each is avoided
};

} // namespace anvilscale

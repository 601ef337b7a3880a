// Selection of the sidecars that hold the pools of one scope.
#include "pool_client.h"

#include "sidecar_selection.h"

namespace anvilscale {

namespace {

constexpr Duration selectionInterval = Milliseconds(200);
// Longer than most pauses of a VM, so that a pool does not move twice for one pause.
constexpr Duration avoidanceTime = Seconds(2);

} // namespace

PoolClient::PoolClient(wire::AllowanceScope scope, std::string entryName, AllowanceTimes times)
    : scope_(scope)
    , accounts_(std::move(entryName), times)
{
    groups_.set();
}

AllowanceAccounts &PoolClient::accounts()
{
    return accounts_;
}

void PoolClient::applyConfig(std::uint64_t configVersion, bool standalone)
{
    accounts_.applyConfig(configVersion, standalone);
    nextSelectionAt_ = TimePoint{};
}

void PoolClient::setGroups(std::bitset<allowanceGroups> groups)
{
    if (groups_ != groups) {
        groups_ = groups;
        nextSelectionAt_ = TimePoint{};
    }
}

void PoolClient::onPoolLost(const std::string &address)
{
    accounts_.onPoolLost(address);
    nextSelectionAt_ = TimePoint{};
}

void PoolClient::tick(const EndpointTable &endpoints, TimePoint now)
{
    accounts_.tick(now);
    for (const auto &address : accounts_.takeSilentPools()) {
        avoided_[address] = now + avoidanceTime;
        nextSelectionAt_ = now;
    }
    selectPools(endpoints, now);
}

void PoolClient::selectPools(const EndpointTable &endpoints, TimePoint now)
{
    if (now < nextSelectionAt_) {
        return;
    }
    nextSelectionAt_ = now + selectionInterval;
    std::erase_if(avoided_, [now](const auto &item) { return item.second <= now; });
    for (std::uint32_t group = 0; group < allowanceGroups; ++group) {
        const auto acceptsAny = [](const EndpointEntry &) { return true; };
        const auto address = groups_.test(group)
                                 ? selectSidecar(endpoints, poolSelectionSeed(group), avoided_, now, acceptsAny)
                                 : std::string();
        accounts_.setPoolAddress(group, address, now);
    }
}

const std::string &PoolClient::poolAddress(const std::string &name) const
{
    return accounts_.poolAddress(allowanceGroup(name));
}

std::vector<AskAllowance> PoolClient::takeRequests(TimePoint now)
{
    std::vector<AskAllowance> result;
    for (auto &request : accounts_.takeRequests(now)) {
        request.ask.set_scope(scope_);
        result.push_back({std::move(request.address), std::move(request.ask)});
    }
    return result;
}

} // namespace anvilscale

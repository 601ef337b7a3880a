// Configuration of a policybench run, in one ConfigStore shared by all simulated processes.
#pragma once

#include "scenario.h"

#include "anvilscale/state.h"

namespace anvilscale::bench {

struct PolicySettings
{
    double retryBudget = 0.1;
    Duration cancelDelay = Seconds(10);
    double hedgeQuantile = 0.0;
    std::uint32_t queueLimit = 0; ///< 0 for the default
};

/// Overload protections that can be switched individually.
struct OverloadFeatures
{
    bool isRetryBudgetOn = true;
    bool attachesRepeats = true;
    bool defersCancel = true;
    bool servesNewestFirst = false;
    bool refusesByDeadline = true;
};

/// Returns false if the store rejected the records.
bool buildConfig(ConfigStore &store, const DeploymentSpec &spec, const PolicySettings &policy);
std::string routeName(std::uint32_t adapter);
constexpr const char *serviceName = "admit";
constexpr const char *baseModel = "base";

} // namespace anvilscale::bench

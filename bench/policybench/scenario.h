// Deployments, scenarios and seeded call traces.
#pragma once

#include "anvilscale/base.h"

#include <string>
#include <vector>

namespace anvilscale::bench {

enum class Deployment : std::uint8_t {
    Authority,
    Utac,
    Fleet, ///< one data centre at its expected size in two years
    Count
};

enum class Scenario : std::uint8_t {
    Steady,
    Shift, ///< popularity ranks change abruptly
    Flash, ///< flash crowd on one cold adapter
    Restart, ///< engines restart one after the other, with a cold start
    Overload, ///< 2.7 times capacity for 107 s, then 0.6 times
    Storm, ///< like Overload, with callers that retry failed calls
    KvDown, ///< the scheduler temporarily loses its lease
    SlowStore, ///< the weight store has a quarter of its rate and refuses some loads
    Count
};

} // namespace anvilscale::bench

template<>
struct anvilscale::EnumNames<anvilscale::bench::Deployment>
{
    static constexpr std::array<std::string_view, enumCount<bench::Deployment>> table{"authority", "utac", "fleet"};
};
template<>
struct anvilscale::EnumNames<anvilscale::bench::Scenario>
{
    static constexpr std::array<std::string_view, enumCount<bench::Scenario>> table{
        "steady", "shift", "flash", "restart", "overload", "storm", "kvdown", "slowstore"};
};

namespace anvilscale::bench {

/// Cost model of one engine step, in the shape of published continuous-batching engines.
struct StepCost
{
    double baseMs = 18.0;
    double perSequenceMs = 0.4;
    double perAdapterMs = 0.8;
    double perPromptTokenMs = 0.02;
};

struct DeploymentSpec
{
    std::uint32_t dataCentres = 3;
    std::uint32_t engines = 18;
    std::uint32_t services = 3;
    std::uint32_t entries = 4;
    std::uint32_t adapters = 3000;
    std::uint32_t slots = 4;
    std::uint32_t batch = 16;
    double loadRate = 4.0;
    double zipf = 1.2;
    double callsPerSecond = 8.0; ///< for scenarios with an absolute call rate
    double jobShare = 0.0; ///< share of calls that arrive in jobs, i.e. bursts for one adapter
    double jobSize = 24.0; ///< mean number of calls per job
    double serviceCallsPerSecond = 2.0;
    double promptTokens = 400.0;
    double outputTokens = 150.0; ///< median of a lognormal distribution
    Duration networkDelay{};
    Duration deadline{};
    StepCost cost;
    /// Calls per second that the engines complete with full batches over all slots.
    double engineCapacity() const;
    /// Minimum of engineCapacity() and the call rate the weight store sustains if the most popular adapters occupy all
    /// slots and every other arrival needs a load.
    double capacity() const;
};

struct TraceCall
{
    Duration at{};
    std::uint32_t adapter = 0; ///< adapter index; ignored for a service call
    bool isService = false;
    CallClass callClass = CallClass::Normal;
    std::uint32_t caller = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

struct Trace
{
    DeploymentSpec spec;
    Scenario scenario = Scenario::Steady;
    Duration length{};
    Duration warmUpUntil{}; ///< end of the warm-up; earlier calls are not measured
    Duration disturbanceStart{};
    Duration disturbanceEnd{};
    bool callersRetry = false;
    std::vector<TraceCall> calls; ///< sorted by time
};

DeploymentSpec specOf(Deployment deployment);
Trace makeTrace(const DeploymentSpec &spec, Deployment deployment, Scenario scenario, std::uint64_t seed);
CallClass callClassOf(std::uint32_t adapter);

} // namespace anvilscale::bench

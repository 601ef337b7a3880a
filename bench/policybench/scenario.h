// Deployments, scenarios and the seeded trace of calls that both versions serve.
#pragma once

#include "anvilscale/base.h"

#include <string>
#include <vector>

namespace anvilscale::bench {

enum class Deployment : std::uint8_t {
    Authority,
    Utac,
    Fleet, ///< one data centre of the size that is expected in two years
    Count
};

enum class Scenario : std::uint8_t {
    Steady,
    Shift, ///< popularity is drawn anew for half of the calls at once
    Flash, ///< a crowd on one cold adapter
    Restart, ///< engines restart with a cold start, one after the other
    Overload, ///< 2.7 times capacity for 107 s, then 0.6
    Storm, ///< as Overload, and callers repeat what timed out
    KvDown, ///< the scheduler's lease is lost for a while
    SlowStore, ///< the weight store gives a quarter of its rate and refuses some loads
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

/// Cost of one engine step. Source: shapes of published continuous-batching engines, not a measurement of one.
struct StepCost
{
    double baseMs = 18.0;
    double perSequenceMs = 0.4;
    double perAdapterMs = 0.8;
    double perPromptTokenMs = 0.02;
};

struct Site
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
    double callsPerSecond = 8.0; ///< in scenarios that are not given in parts of the capacity
    double jobShare = 0.0; ///< part of the calls that come in jobs: many calls of one adapter at once
    double jobSize = 24.0; ///< mean calls of a job
    double serviceCallsPerSecond = 2.0;
    double promptTokens = 400.0;
    double outputTokens = 150.0; ///< median of a lognormal
    Duration networkDelay{};
    Duration deadline{};
    StepCost cost;
    /// Calls a second that the engines finish with full batches of all their slots' adapters.
    double engineCapacity() const;
    /// The lesser of engineCapacity() and what the weight store carries if the most popular adapters fill all slots
    /// and each arrival for another one costs a load.
    double capacity() const;
};

struct TraceCall
{
    Duration at{};
    std::uint32_t adapter = 0; ///< rank number; ignored for a service call
    bool service = false;
    CallClass callClass = CallClass::Normal;
    std::uint32_t caller = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

struct Trace
{
    Site site;
    Scenario scenario = Scenario::Steady;
    Duration length{};
    Duration measureFrom{}; ///< before it the fleet warms up; these calls are not measured
    Duration disturbanceFrom{};
    Duration disturbanceUntil{};
    bool callersRetry = false;
    std::vector<TraceCall> calls; ///< in order of time
};

Site siteOf(Deployment deployment);
Trace makeTrace(const Site &site, Deployment deployment, Scenario scenario, std::uint64_t seed);
CallClass classOfAdapter(std::uint32_t adapter);

} // namespace anvilscale::bench

// Parameters of the deployments and generation of seeded traces.
#include "scenario.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace anvilscale::bench {

namespace {

constexpr Duration overloadDuration = Seconds(107);
constexpr double overloadFactor = 2.7;
constexpr double postOverloadFactor = 0.6;
constexpr double outputSigma = 0.6;
constexpr std::uint32_t callerCount = 40;

double meanOutputTokens(const DeploymentSpec &spec)
{
    return spec.outputTokens * std::exp(outputSigma * outputSigma / 2.0);
}

class Popularity
{
public:
    Popularity(std::uint32_t adapters, double exponent, Random &random)
        : order_(adapters)
        , cumulative_(adapters)
    {
        std::iota(order_.begin(), order_.end(), 0U);
        double sum = 0.0;
        for (std::uint32_t rank = 0; rank < adapters; ++rank) {
            sum += std::pow(rank + 1.0, -exponent);
            cumulative_[rank] = sum;
        }
        shuffle(random);
    }
    void shuffle(Random &random)
    {
        for (std::size_t i = order_.size(); i > 1; --i) {
            std::swap(order_[i - 1], order_[random.uniformBelow(i)]);
        }
    }
    /// Swaps a share of the ranks, spread over all popularities.
    void shift(double share, Random &random)
    {
        const auto count = static_cast<std::size_t>(share * static_cast<double>(order_.size()));
        for (std::size_t i = 0; i < count; ++i) {
            const auto rank = static_cast<std::size_t>(static_cast<double>(i) / share);
            std::swap(order_[rank], order_[random.uniformBelow(order_.size())]);
        }
    }
    std::uint32_t sample(Random &random) const
    {
        const double at = random.uniform() * cumulative_.back();
        const auto rank = std::lower_bound(cumulative_.begin(), cumulative_.end(), at) - cumulative_.begin();
        return order_[std::min<std::size_t>(static_cast<std::size_t>(rank), order_.size() - 1)];
    }
    std::uint32_t leastPopular() const
    {
        return order_.back();
    }

private:
    std::vector<std::uint32_t> order_; // adapters sorted by rank
    std::vector<double> cumulative_;
};

double sampleNormal(Random &random)
{
    const double radius = std::sqrt(-2.0 * std::log(1.0 - random.uniform()));
    return radius * std::cos(2.0 * std::numbers::pi * random.uniform());
}

double rateAt(const Trace &trace, Duration at)
{
    const bool isPulse = at >= trace.disturbanceStart && at < trace.disturbanceEnd;
    switch (trace.scenario) {
    case Scenario::Overload:
    case Scenario::Storm:
        return trace.spec.capacity() * (isPulse ? overloadFactor : postOverloadFactor);
    case Scenario::Flash:
        return trace.spec.callsPerSecond * (isPulse ? 2.0 : 1.0);
    default:
        return trace.spec.callsPerSecond;
    }
}

/// Probability that an arrival is a job of several calls.
double jobProbability(const DeploymentSpec &spec)
{
    return spec.jobShare / (spec.jobShare + (1.0 - spec.jobShare) * spec.jobSize);
}

double callsPerArrival(const DeploymentSpec &spec)
{
    return 1.0 + jobProbability(spec) * (spec.jobSize - 1.0);
}

TraceCall sampleCall(const Trace &trace, Duration at, const Popularity &popularity, Random &random)
{
    TraceCall call;
    call.at = at;
    const double total = rateAt(trace, at) / callsPerArrival(trace.spec) + trace.spec.serviceCallsPerSecond;
    call.isService = random.uniform() * total < trace.spec.serviceCallsPerSecond;
    call.caller = static_cast<std::uint32_t>(random.uniformBelow(callerCount));
    const bool isPulse = at >= trace.disturbanceStart && at < trace.disturbanceEnd;
    const bool isFlashCall = trace.scenario == Scenario::Flash && isPulse && random.uniform() < 0.5;
    call.adapter = isFlashCall ? popularity.leastPopular() : popularity.sample(random);
    call.callClass = call.isService ? CallClass::Normal : callClassOf(call.adapter);
    const double output = trace.spec.outputTokens * std::exp(outputSigma * sampleNormal(random));
    call.outputTokens = static_cast<std::uint32_t>(std::clamp(output, 4.0, 2000.0));
    const double prompt = trace.spec.promptTokens * (0.5 + random.uniform());
    call.promptTokens = static_cast<std::uint32_t>(prompt);
    return call;
}

void addCalls(Trace &trace, Duration at, const Popularity &popularity, Random &random)
{
    const auto first = sampleCall(trace, at, popularity, random);
    trace.calls.push_back(first);
    const bool isJob = !first.isService && random.uniform() < jobProbability(trace.spec);
    if (!isJob) {
        return;
    }
    const auto extraCalls =
        static_cast<std::uint32_t>(std::lround(2.0 * (trace.spec.jobSize - 1.0) * random.uniform()));
    for (std::uint32_t i = 0; i < extraCalls; ++i) {
        auto call = sampleCall(trace, at, popularity, random);
        call.isService = false;
        call.adapter = first.adapter;
        call.callClass = first.callClass;
        call.caller = first.caller;
        trace.calls.push_back(call);
    }
}

} // namespace

double DeploymentSpec::capacity() const
{
    double resident = 0.0;
    double all = 0.0;
    for (std::uint32_t rank = 0; rank < adapters; ++rank) {
        const double weight = std::pow(rank + 1.0, -zipf);
        all += weight;
        resident += rank < engines * slots ? weight : 0.0;
    }
    const double storeCapacity = loadRate / (1.0 - resident / all) * callsPerArrival(*this);
    return std::min(engineCapacity(), storeCapacity);
}

double DeploymentSpec::engineCapacity() const
{
    const double prefill = promptTokens * cost.perPromptTokenMs;
    const double step = cost.baseMs + cost.perSequenceMs * batch + cost.perAdapterMs * slots;
    const double perCall = meanOutputTokens(*this) * step / batch + prefill;
    return engines * 1000.0 / perCall;
}

CallClass callClassOf(std::uint32_t adapter)
{
    switch (adapter % 10) {
    case 0:
    case 1:
        return CallClass::Urgent;
    case 7:
    case 8:
    case 9:
        return CallClass::Bulk;
    default:
        return CallClass::Normal;
    }
}

DeploymentSpec specOf(Deployment deployment)
{
    DeploymentSpec spec;
    switch (deployment) {
    case Deployment::Utac:
        spec.engines = 9;
        spec.loadRate = 2.0;
        spec.networkDelay = Duration(1500);
        spec.deadline = Seconds(120);
        spec.jobShare = 0.85;
        // More work than the fixed fleet can process, so that batches can always be filled.
        spec.callsPerSecond = 1.1 * spec.engineCapacity();
        break;
    case Deployment::Fleet:
        spec.dataCentres = 1;
        spec.engines = 180;
        spec.services = 0;
        spec.entries = 16;
        spec.adapters = 140'000;
        spec.loadRate = 40.0;
        spec.callsPerSecond = 120.0;
        spec.serviceCallsPerSecond = 0.0;
        spec.networkDelay = Duration(500);
        spec.deadline = Seconds(60);
        break;
    default:
        spec.networkDelay = Duration(1000);
        spec.deadline = Seconds(60);
        break;
    }
    return spec;
}

Trace makeTrace(const DeploymentSpec &spec, Deployment deployment, Scenario scenario, std::uint64_t seed)
{
    Trace trace;
    trace.spec = spec;
    trace.scenario = scenario;
    trace.warmUpUntil = Seconds(60);
    trace.disturbanceStart = Seconds(120);
    trace.disturbanceEnd = Seconds(180);
    trace.length = deployment == Deployment::Fleet ? Seconds(240) : Seconds(360);
    trace.callersRetry = scenario == Scenario::Storm;
    const bool isPulse = scenario == Scenario::Overload || scenario == Scenario::Storm;
    if (isPulse) {
        trace.disturbanceEnd = trace.disturbanceStart + overloadDuration;
        trace.length = trace.disturbanceEnd + Seconds(420);
        trace.spec.deadline = Seconds(120);
    }
    Random random(seed * 7919 + 17);
    Popularity popularity(trace.spec.adapters, trace.spec.zipf, random);
    Duration at{};
    bool hasShifted = false;
    while (true) {
        const double total = rateAt(trace, at) / callsPerArrival(trace.spec) + trace.spec.serviceCallsPerSecond;
        at += Duration(static_cast<std::int64_t>(random.exponential(1e6 / total)));
        if (at >= trace.length) {
            break;
        }
        if (scenario == Scenario::Shift && !hasShifted && at >= trace.disturbanceStart) {
            popularity.shift(0.5, random);
            hasShifted = true;
        }
        addCalls(trace, at, popularity, random);
    }
    return trace;
}

} // namespace anvilscale::bench

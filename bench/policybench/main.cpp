// policybench: runs a seeded trace through baseline and product decisions in virtual time and prints their metrics.
#include "bench_config.h"
#include "fleet_simulation.h"
#include "offline_bound.h"

#include <cxxopts.hpp>

#include <iostream>

namespace {

using namespace anvilscale;
using namespace anvilscale::bench;

constexpr std::uint32_t unlimitedQueue = 1'000'000;

struct Options
{
    Deployment deployment = Deployment::Authority;
    Scenario scenario = Scenario::Steady;
    std::uint64_t seed = 1;
    PolicySettings policy;
    OverloadFeatures overloadFeatures;
    std::string versions = "both";
    double zipf = 0.0; ///< 0 for the value of the deployment
    double rate = 0.0; ///< calls per second; 0 for the value of the deployment
};

std::optional<Options> parseOptions(int argc, char **argv)
{
    cxxopts::Options options("policybench", "decisions under load in virtual time");
    auto add = options.add_options();
    add("deployment", "authority, utac or fleet", cxxopts::value<std::string>()->default_value("authority"));
    add("scenario", "steady, shift, flash, restart, overload, storm, kvdown or slowstore",
        cxxopts::value<std::string>()->default_value("steady"));
    add("seed", "any number", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("json", "print JSON (the only form)");
    add("version", "both, naive or product", cxxopts::value<std::string>()->default_value("both"));
    add("zipf", "exponent of the popularity; 0: the deployment's", cxxopts::value<double>()->default_value("0"));
    add("rate", "calls a second; 0: the deployment's", cxxopts::value<double>()->default_value("0"));
    add("ideas", "against a retry storm: a list of queue, budget, attach, defer, newest, deadline; or none",
        cxxopts::value<std::string>()->default_value("queue,budget,attach,defer,deadline"));
    const auto parsed = options.parse(argc, argv);
    const auto deployment = fromString<Deployment>(parsed["deployment"].as<std::string>());
    const auto scenario = fromString<Scenario>(parsed["scenario"].as<std::string>());
    if (!deployment || !scenario) {
        std::cerr << options.help() << '\n';
        return std::nullopt;
    }
    Options out;
    out.deployment = *deployment;
    out.scenario = *scenario;
    out.seed = parsed["seed"].as<std::uint64_t>();
    out.versions = parsed["version"].as<std::string>();
    out.zipf = parsed["zipf"].as<double>();
    out.rate = parsed["rate"].as<double>();
    const auto optionList = parsed["ideas"].as<std::string>();
    const auto has = [&](const char *name) { return optionList.find(name) != std::string::npos; };
    out.overloadFeatures = OverloadFeatures{has("budget"), has("attach"), has("defer"), has("newest"), has("deadline")};
    // Zero means the default in a record, so the shortest delay is 1 ms.
    out.policy.cancelDelay = out.overloadFeatures.defersCancel ? Duration(Seconds(10)) : Duration(Milliseconds(1));
    out.policy.queueLimit = has("queue") ? 0 : unlimitedQueue;
    return out;
}

template<class Version>
void runVersion(const char *name, const Trace &trace, const ConfigStore &config, const Options &options)
{
    FleetSimulation<Version> fleet(trace, config, options.seed, options.overloadFeatures);
    fleet.run();
    std::cout << ",\"" << name << "\":";
    printMetrics(std::cout, fleet.metrics());
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = parseOptions(argc, argv);
    if (!options) {
        return 2;
    }
    auto spec = specOf(options->deployment);
    spec.zipf = options->zipf > 0.0 ? options->zipf : spec.zipf;
    spec.callsPerSecond = options->rate > 0.0 ? options->rate : spec.callsPerSecond;
    const auto trace = makeTrace(spec, options->deployment, options->scenario, options->seed);
    ConfigStore config;
    if (!buildConfig(config, trace.spec, options->policy)) {
        return 1;
    }
    std::cout << "{\"deployment\":\"" << toString(options->deployment) << "\",\"scenario\":\""
              << toString(options->scenario) << "\",\"seed\":" << options->seed
              << ",\"capacity_calls_per_s\":" << trace.spec.capacity();
    printBound(std::cout, offlineBound(trace));
    if (options->versions != "product") {
        runVersion<NaiveVersion>("naive", trace, config, *options);
    }
    if (options->versions != "naive") {
        runVersion<ProductVersion>("product", trace, config, *options);
    }
    std::cout << "}\n";
    return 0;
}

// Builds the configuration records of a policybench run.
#include "bench_config.h"

#include "config.pb.h"

#include <iostream>
#include <sstream>

namespace anvilscale::bench {

namespace {

void addRecord(config::Delta &delta, const char *kind, const std::string &name, const std::string &json)
{
    auto &change = *delta.add_changes();
    change.set_kind(kind);
    change.set_name(name);
    change.set_json(json);
}

std::string recordHead(const std::string &name)
{
    return R"({"schemaVersion":2,"name":")" + name + "\",";
}

void addAdapter(config::Delta &delta, std::uint32_t adapter, const DeploymentSpec &spec)
{
    const auto name = routeName(adapter);
    addRecord(delta, "adapter", name,
              recordHead(name) + R"("adapter":{"baseModel":")" + baseModel
                  + R"(","versions":[{"name":"1","weights":"w/)" + name + R"("}]}})");
    std::ostringstream route;
    route << recordHead(name) << R"("route":{"adapter":")" << name << R"(","version":"1","deadlineMs":)"
          << spec.deadline.count() / 1000 << R"(,"callClass":")" << toString(callClassOf(adapter)) << "\"}}";
    addRecord(delta, "route", name, route.str());
}

} // namespace

std::string routeName(std::uint32_t adapter)
{
    return "a" + std::to_string(adapter);
}

bool buildConfig(ConfigStore &store, const DeploymentSpec &spec, const PolicySettings &policy)
{
    config::Delta delta;
    delta.set_revision(store.revision() + 1);
    delta.set_change_id("bench");
    for (std::uint32_t adapter = 0; adapter < spec.adapters; ++adapter) {
        addAdapter(delta, adapter, spec);
    }
    std::ostringstream record;
    record << recordHead("default") << R"("policy":{"loadRate":)" << spec.loadRate << R"(,"retryBudget":)"
           << policy.retryBudget << R"(,"cancelDelayMs":)" << policy.cancelDelay.count() / 1000;
    if (policy.hedgeQuantile > 0.0) {
        record << R"(,"hedgeQuantile":)" << policy.hedgeQuantile;
    }
    if (policy.queueLimit > 0) {
        record << R"(,"queueLimit":)" << policy.queueLimit;
    }
    record << "}}";
    addRecord(delta, "policy", "default", record.str());
    addRecord(delta, "service", serviceName,
              recordHead(serviceName) + R"("service":{"idempotent":true,"deadlineMs":5000}})");
    const auto applied = store.apply(delta);
    if (!applied) {
        std::cerr << "configuration rejected: " << toString(applied.error().kind) << ' ' << applied.error().path << ' '
                  << applied.error().detail << '\n';
    }
    return applied.has_value();
}

} // namespace anvilscale::bench

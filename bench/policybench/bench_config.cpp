// Records of the bench.
#include "bench_config.h"

#include "config.pb.h"

#include <iostream>
#include <sstream>

namespace anvilscale::bench {

namespace {

void add(config::Delta &delta, const char *kind, const std::string &name, const std::string &json)
{
    auto &change = *delta.add_changes();
    change.set_kind(kind);
    change.set_name(name);
    change.set_json(json);
}

std::string head(const std::string &name)
{
    return R"({"schemaVersion":2,"name":")" + name + "\",";
}

void addAdapter(config::Delta &delta, std::uint32_t adapter, const Site &site)
{
    const auto name = routeName(adapter);
    add(delta, "adapter", name,
        head(name) + R"("adapter":{"baseModel":")" + baseModel + R"(","versions":[{"name":"1","weights":"w/)" + name
            + R"("}]}})");
    std::ostringstream route;
    route << head(name) << R"("route":{"adapter":")" << name << R"(","version":"1","deadlineMs":)"
          << site.deadline.count() / 1000 << R"(,"callClass":")" << toString(classOfAdapter(adapter)) << "\"}}";
    add(delta, "route", name, route.str());
}

} // namespace

std::string routeName(std::uint32_t adapter)
{
    return "a" + std::to_string(adapter);
}

bool fillConfig(ConfigStore &store, const Site &site, const PolicyChoice &policy)
{
    config::Delta delta;
    delta.set_revision(store.revision() + 1);
    delta.set_change_id("bench");
    for (std::uint32_t adapter = 0; adapter < site.adapters; ++adapter) {
        addAdapter(delta, adapter, site);
    }
    std::ostringstream record;
    record << head("default") << R"("policy":{"loadRate":)" << site.loadRate << R"(,"retryBudget":)"
           << policy.retryBudget << R"(,"cancelDelayMs":)" << policy.cancelDelay.count() / 1000;
    if (policy.hedgeQuantile > 0.0) {
        record << R"(,"hedgeQuantile":)" << policy.hedgeQuantile;
    }
    if (policy.queueLimit > 0) {
        record << R"(,"queueLimit":)" << policy.queueLimit;
    }
    record << "}}";
    add(delta, "policy", "default", record.str());
    add(delta, "service", serviceName, head(serviceName) + R"("service":{"idempotent":true,"deadlineMs":5000}})");
    const auto applied = store.apply(delta);
    if (!applied) {
        std::cerr << "configuration refused: " << toString(applied.error().kind) << ' ' << applied.error().path << ' '
                  << applied.error().detail << '\n';
    }
    return applied.has_value();
}

} // namespace anvilscale::bench

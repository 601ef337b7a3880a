// Configuration records of a synthetic fleet, with realistic name lengths and one route per adapter.
#include "fleet_records.h"

#include "anvilscale/state.h"

#include <cstdio>
#include <cstdlib>

namespace anvilscale::slopes {

namespace {

config::Change parseOrExit(const std::string &json)
{
    auto change = parseRecord(json);
    if (!change) {
        std::fprintf(stderr, "record rejected: %s %s\n", change.error().path.c_str(), change.error().detail.c_str());
        std::exit(1);
    }
    return std::move(*change);
}

} // namespace

std::string adapterName(std::size_t i)
{
    return "lounge-rulings-partner-" + std::to_string(i);
}

std::string routeName(std::size_t i)
{
    return "desk-" + std::to_string(i) + "-mn";
}

config::Delta makeAdapterDelta(std::size_t i, std::uint64_t revision, const std::string &version)
{
    const std::string name = adapterName(i);
    config::Delta delta;
    delta.set_revision(revision);
    delta.set_change_id("change-" + std::to_string(revision));
    delta.set_author("slopes");
    *delta.add_changes() =
        parseOrExit(R"({"schemaVersion":2,"name":")" + name
                    + R"(","adapter":{"baseModel":"base-70b","versions":[{"name":"v1","weights":"store://)" + name
                    + R"(/v1"},{"name":"v2","weights":"store://)" + name + R"(/v2"}]}})");
    *delta.add_changes() =
        parseOrExit(R"({"schemaVersion":2,"name":")" + routeName(i) + R"(","route":{"adapter":")" + name
                    + R"(","version":")" + version + R"(","deadlineMs":4000,"callClass":"normal"}})");
    return delta;
}

} // namespace anvilscale::slopes

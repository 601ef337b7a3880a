// Selection of the engines that one entry is connected to.
#include "listened_engines.h"

#include "sidecar_selection.h"

#include <algorithm>

namespace anvilscale {

namespace {

// For each group of allowance pools. The second one is known already when the first one fails.
constexpr std::size_t commonEnginesPerPool = 2;
// Groups into which the entries of a data centre are divided. With more of them the selection changes in smaller steps
// as the data centre grows, and entries agree on fewer engines.
constexpr std::uint64_t groupCount = 8;
// Distinguishes the hashes of this selection from those of placement.
constexpr std::uint64_t groupSeed = 0x6e656172;
constexpr std::uint64_t farSeed = 0x666172;

/// Inserts the `count` addresses with the lowest hashes.
void insertLowest(std::set<std::string> &selected, std::vector<const EngineSite *> engines, std::size_t count,
                  std::uint64_t seed)
{
    const auto last = engines.begin() + static_cast<std::ptrdiff_t>(std::min(count, engines.size()));
    std::partial_sort(engines.begin(), last, engines.end(), [seed](const EngineSite *a, const EngineSite *b) {
        return hash64(a->address, seed) < hash64(b->address, seed);
    });
    for (auto it = engines.begin(); it != last; ++it) {
        selected.insert((*it)->address);
    }
}

/// Returns whether the entries of a group listen to an engine of their data centre. Each engine takes `groups` of all
/// groupCount groups, so that all engines have listeners.
bool isInGroup(const EngineSite &engine, std::uint64_t group, std::uint64_t groups)
{
    const auto rank = [&](std::uint64_t other) { return hash64(engine.address, groupSeed + other); };
    std::uint64_t before = 0;
    for (std::uint64_t other = 0; other < groupCount; ++other) {
        before += rank(other) < rank(group) ? 1 : 0;
    }
    return before < groups;
}

/// Removes the engines to which other entries of the data centre listen.
void keepGroup(std::vector<const EngineSite *> &engines, const EntrySite &entry, std::size_t limit)
{
    if (engines.size() <= limit) {
        return;
    }
    const std::uint64_t groups = std::max<std::uint64_t>(1, groupCount * limit / engines.size());
    const auto group = hash64(entry.name, groupSeed) % groupCount;
    std::erase_if(engines, [&](const EngineSite *engine) { return !isInGroup(*engine, group, groups); });
}

} // namespace

std::set<std::string> selectListenedEngines(const std::vector<EngineSite> &engines, const EntrySite &entry,
                                            const ListeningLimits &limits)
{
    std::set<std::string> selected;
    if (engines.size() <= limits.engines) {
        for (const auto &engine : engines) {
            selected.insert(engine.address);
        }
        return selected;
    }
    std::vector<const EngineSite *> all;
    std::vector<const EngineSite *> nearEngines;
    for (const auto &engine : engines) {
        all.push_back(&engine);
        if (engine.dataCentre == entry.dataCentre) {
            nearEngines.push_back(&engine);
        }
    }
    const std::size_t nearLimit =
        std::max<std::uint32_t>(1, limits.engines - std::min(limits.engines, limits.farEngines));
    keepGroup(nearEngines, entry, nearLimit);
    insertLowest(selected, nearEngines, limits.engines, groupSeed);
    auto farEngines = all;
    std::erase_if(farEngines, [&](const EngineSite *engine) { return selected.count(engine->address) != 0; });
    insertLowest(selected, farEngines, limits.engines - std::min<std::size_t>(limits.engines, selected.size()),
                 hash64(entry.name, farSeed));
    for (std::uint32_t pool = 0; pool < allowanceGroups; ++pool) {
        insertLowest(selected, all, commonEnginesPerPool, poolSelectionSeed(pool));
    }
    return selected;
}

} // namespace anvilscale

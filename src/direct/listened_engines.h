// Selection of the engines that one entry is connected to, so that its cost does not grow with the fleet.
#pragma once

#include "anvilscale/direct.h"

namespace anvilscale {

/// Where an engine runs.
struct EngineSite
{
    std::string address;
    std::string dataCentre;
};

/// Where an entry runs.
struct EntrySite
{
    std::string name;
    std::string dataCentre;
};

/// Returns the addresses of the engines that an entry listens to: all of them up to `limits.engines`. In a larger fleet
/// these are
/// - common engines, the same for all entries, which learn from them how many entries there are;
/// - near engines, in its own data centre, all of them up to a limit. Beyond it, entries are divided into groups whose
///   members select the same engines, and therefore load an adapter into the same ones;
/// - far engines, selected by each entry for itself. They take over when the data centre has too few engines.
/// A change of one engine changes the selection of an entry by one engine, and rarely by an eighth of the near ones.
std::set<std::string> selectListenedEngines(const std::vector<EngineSite> &engines, const EntrySite &entry,
                                            const ListeningLimits &limits);

} // namespace anvilscale

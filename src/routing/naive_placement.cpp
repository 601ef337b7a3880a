// Baseline placement: the sidecar with the smallest backlog, regardless of adapter residency.
#include "placement.h"

#include <algorithm>

namespace anvilscale {

std::optional<PlacementChoice> LeastLoadedPlacement::choose(const FleetView &fleet, const PlacementRequest &request,
                                                            Random &random) const
{
    const auto &group =
        request.service.empty() ? fleet.sidecarsOfModel(request.baseModel) : fleet.sidecarsOfService(request.service);
    std::optional<PlacementChoice> best;
    const auto start = group.empty() ? 0 : random.uniformBelow(group.size());
    for (std::size_t i = 0; i < group.size(); ++i) {
        const auto index = group[(start + i) % group.size()];
        const auto &view = fleet.at(index);
        const bool wasTried =
            std::find(request.triedSidecars.begin(), request.triedSidecars.end(), index) != request.triedSidecars.end();
        if (!view.isRoutable() || wasTried) {
            continue;
        }
        if (!best || view.backlog() < fleet.at(best->sidecar).backlog()) {
            best = PlacementChoice{index, Duration{}, false};
        }
    }
    return best;
}

} // namespace anvilscale

// The naive version: the sidecar with the fewest calls by its last report, wherever the adapter is.
#include "placement.h"

#include <algorithm>

namespace anvilscale {

std::optional<PlacementChoice> LeastLoadedPlacement::choose(const FleetView &fleet, const PlacementRequest &request,
                                                            Random &random) const
{
    const auto &group = request.service.empty() ? fleet.ofModel(request.baseModel) : fleet.ofService(request.service);
    std::optional<PlacementChoice> best;
    const auto start = group.empty() ? 0 : random.below(group.size());
    for (std::size_t i = 0; i < group.size(); ++i) {
        const auto index = group[(start + i) % group.size()];
        const auto &view = fleet.at(index);
        const bool tried = std::find(request.tried.begin(), request.tried.end(), index) != request.tried.end();
        if (!view.routable() || tried) {
            continue;
        }
        if (!best || view.backlog() < fleet.at(best->sidecar).backlog()) {
            best = PlacementChoice{index, Duration{}, false};
        }
    }
    return best;
}

} // namespace anvilscale

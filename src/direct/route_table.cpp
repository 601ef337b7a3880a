// Configuration lookups, and routes by host and path.
#include "anvilscale/direct.h"

#include <algorithm>

namespace anvilscale {

const DirectService *DirectConfig::service(std::string_view name) const
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const DirectService &service) { return service.name == name; });
    return found == services.end() ? nullptr : &*found;
}

const EngineModelSize *DirectConfig::model(std::string_view serviceName, std::string_view modelName) const
{
    const auto *owner = service(serviceName);
    if (owner == nullptr || !owner->engine) {
        return nullptr;
    }
    const auto &models = owner->engine->models;
    const auto found = std::find_if(models.begin(), models.end(),
                                    [&](const EngineModelSize &model) { return model.name == modelName; });
    return found == models.end() ? nullptr : &*found;
}

RouteTable::RouteTable(const std::vector<DirectRoute> &routes)
{
    for (const auto &route : routes) {
        byHost_[route.host].push_back(route);
    }
    for (auto &[host, list] : byHost_) {
        std::stable_sort(list.begin(), list.end(),
                         [](const DirectRoute &a, const DirectRoute &b) { return a.prefix.size() > b.prefix.size(); });
    }
}

const DirectRoute *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = byHost_.find(std::string(host));
    if (routes == byHost_.end()) {
        return nullptr;
    }
    for (const auto &route : routes->second) {
        if (path.starts_with(route.prefix)) {
            return &route;
        }
    }
    return nullptr;
}

} // namespace anvilscale

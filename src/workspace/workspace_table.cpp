// Workspaces of one configuration.
#include "anvilscale/workspace.h"

namespace anvilscale {

double Allowance::cost(std::optional<std::uint64_t> tokens) const
{
    if (unit == AllowanceUnit::Calls) {
        return 1;
    }
    return tokens ? static_cast<double>(*tokens) : defaultTokens;
}

WorkspaceTable::WorkspaceTable(std::vector<Workspace> workspaces)
    : workspaces_(std::move(workspaces))
{
    for (std::size_t i = 0; i < workspaces_.size(); ++i) {
        byName_.emplace(workspaces_[i].name, i);
        for (const auto &key : workspaces_[i].keys) {
            byKey_.emplace(key, i);
        }
    }
}

const Workspace *WorkspaceTable::findByKey(const KeyDigest &key) const
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : &workspaces_[found->second];
}

const Workspace *WorkspaceTable::find(const std::string &name) const
{
    const auto found = byName_.find(name);
    return found == byName_.end() ? nullptr : &workspaces_[found->second];
}

} // namespace anvilscale

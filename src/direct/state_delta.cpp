// Builds and applies deltas of engine states.
#include "state_delta.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace anvilscale {

namespace {

using Name = std::pair<std::string, std::string>; // model, adapter

/// Serialized items of each name: an adapter has two while a newer version of it is loading.
std::map<Name, std::string> contentByName(const wire::DirectState &state)
{
    std::map<Name, std::string> result;
    for (const auto &adapter : state.adapters()) {
        result[{adapter.model(), adapter.adapter()}] += adapter.SerializeAsString();
    }
    return result;
}

void addRef(const Name &name, wire::AdapterRef &ref)
{
    ref.set_model(name.first);
    ref.set_adapter(name.second);
}

void addAdapterChanges(const wire::DirectState &base, const wire::DirectState &target, wire::DirectDelta &delta)
{
    const auto before = contentByName(base);
    const auto after = contentByName(target);
    for (const auto &[name, content] : before) {
        if (after.count(name) == 0) {
            addRef(name, *delta.add_removed());
        }
    }
    for (const auto &adapter : target.adapters()) {
        const Name name{adapter.model(), adapter.adapter()};
        const auto known = before.find(name);
        if (known == before.end() || known->second != after.at(name)) {
            *delta.add_adapters() = adapter;
        }
    }
}

void copyFigures(const wire::DirectState &from, wire::DirectState &to)
{
    for (const auto &figure : stateFigures) {
        (to.*figure.set)((from.*figure.get)());
    }
}

bool haveSameFigures(const wire::DirectState &a, const wire::DirectState &b)
{
    return std::all_of(stateFigures.begin(), stateFigures.end(),
                       [&](const StateFigure &figure) { return (a.*figure.get)() == (b.*figure.get)(); });
}

template<class Items>
void insertNames(const Items &items, std::set<Name> &names)
{
    for (const auto &item : items) {
        names.emplace(item.model(), item.adapter());
    }
}

} // namespace

void sortAdapters(wire::DirectState &state)
{
    std::stable_sort(state.mutable_adapters()->begin(), state.mutable_adapters()->end(),
                     [](const wire::DirectAdapter &a, const wire::DirectAdapter &b) {
                         return std::tie(a.model(), a.adapter()) < std::tie(b.model(), b.adapter());
                     });
}

std::optional<wire::DirectDelta> buildDelta(const wire::DirectState &base, const wire::DirectState &target)
{
    wire::DirectDelta delta;
    delta.set_base(base.sequence());
    delta.set_sequence(target.sequence());
    addAdapterChanges(base, target, delta);
    for (const auto &awaited : target.awaited()) {
        addRef({awaited.model(), awaited.adapter()}, *delta.add_awaited());
    }
    delta.set_loads_ahead(target.loads_ahead());
    delta.set_loads_in_time(target.loads_in_time());
    copyLoad(target, *delta.mutable_load());
    if (!haveSameFigures(base, target)) {
        copyFigures(target, *delta.mutable_figures());
    }
    if (delta.ByteSizeLong() >= target.ByteSizeLong()) {
        return std::nullopt;
    }
    // Covers every field that a delta does not carry, also those that are added to the state later.
    const auto result = applyDelta(base, delta);
    return result->SerializeAsString() == target.SerializeAsString() ? std::optional(delta) : std::nullopt;
}

std::optional<wire::DirectState> applyDelta(const wire::DirectState &base, const wire::DirectDelta &delta)
{
    if (base.sequence() != delta.base()) {
        return std::nullopt;
    }
    auto state = base;
    state.set_sequence(delta.sequence());
    std::set<Name> replaced;
    insertNames(delta.removed(), replaced);
    insertNames(delta.adapters(), replaced);
    auto &adapters = *state.mutable_adapters();
    adapters.erase(std::remove_if(adapters.begin(), adapters.end(),
                                  [&](const wire::DirectAdapter &adapter) {
                                      return replaced.count({adapter.model(), adapter.adapter()}) != 0;
                                  }),
                   adapters.end());
    adapters.MergeFrom(delta.adapters());
    sortAdapters(state);
    state.clear_awaited();
    for (const auto &ref : delta.awaited()) {
        auto &awaited = *state.add_awaited();
        awaited.set_model(ref.model());
        awaited.set_adapter(ref.adapter());
    }
    state.set_loads_ahead(delta.loads_ahead());
    state.set_loads_in_time(delta.loads_in_time());
    copyLoad(delta.load(), state);
    if (delta.has_figures()) {
        copyFigures(delta.figures(), state);
    }
    return state;
}

} // namespace anvilscale

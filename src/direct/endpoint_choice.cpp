// Endpoint choice by estimated time to the first byte. All times are in milliseconds.
#include "endpoint_choice.h"

#include "wait_forecast.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Work of a plain call before any measurement, as a share of its objective.
constexpr double plainShare = 0.2;

// Sampled engines for a call with an absent adapter, besides its home engine.
constexpr std::ptrdiff_t drawnEngines = 8;

struct Scored
{
    const EndpointEntry *entry = nullptr;
    Presence presence = Presence::Resident;
    double fresh = 0; // prompt tokens not cached there
    double work = 0; // work of reading them, in tokens of a short prompt
    double ms = 0; // estimated time to the first byte
    double readingMs = 0; // part of it for reading prompts, without the endpoint's slowness
    std::pair<bool, std::uint64_t> draw{}; // sampling order, lowest first: endpoints that are not avoided, then random
    double dislike = 0; // penalty that does not make the call late
    double sum() const
    {
        return ms + dislike;
    }
};

std::uint64_t rank(std::uint64_t key, const EndpointEntry &entry)
{
    return hash64(entry.record.address, key);
}

double sharedTokens(const CallFacts &facts)
{
    double sum = 0;
    for (std::size_t i = 0; i + 1 < facts.parts.size(); ++i) {
        sum += facts.parts[i].tokens;
    }
    return sum;
}

double ownTokens(const CallFacts &facts)
{
    return facts.parts.empty() ? facts.promptTokens : facts.parts.back().tokens;
}

std::uint64_t prefixKey(const CallFacts &facts)
{
    std::uint64_t key = hash64(facts.adapter, hash64(facts.model));
    for (std::size_t i = 0; i + 1 < facts.parts.size(); ++i) {
        key = hash64(facts.parts[i].id, key);
    }
    return key;
}

double trouble(const EndpointEntry &entry, const ChoiceQuery &query, TimePoint now)
{
    const auto &policy = *query.policy;
    double ms = 0;
    if (policy.has(Mechanism::Avoidance)) {
        ms += policy.failingMs * entry.failureShare;
        ms += now < entry.avoidUntil ? policy.avoidedMs : 0;
        ms += entry.silentFor(query.learned->silence(), now) ? policy.avoidedMs : 0;
    }
    if (policy.has(Mechanism::Unreachable)) {
        // Avoids engines on stopped VMs at once: they would read the calls after resuming, when the callers have
        // left.
        ms += entry.toldUnreachable(now) || entry.sidecarSilent(query.heard) ? policy.avoidedMs : 0;
    }
    return ms;
}

/// Number of engines that hold an adapter, and its call rate.
struct Holders
{
    std::uint32_t count = 0;
    double recentCalls = 0; // at all of them
};

/// Engines with a special role for the call's adapter.
struct Placement
{
    const EndpointEntry *keeper = nullptr; // most likely caches the shared parts of the prompt
    const EndpointEntry *home = nullptr; // where all entries load the adapter next
    Holders holders;
};

// A load is paid once and serves all calls of the copy. Prevents calls of a popular adapter from queueing at its few
// holders while other engines are idle.
double priceShare(const Holders &holders, const DirectPolicy &policy)
{
    return policy.has(Mechanism::Popularity) ? 1 / (1 + holders.recentCalls / (holders.count + 1)) : 1;
}

// Cost of a load to other calls; none if the adapter is awaited there already. Prevents calls that arrive together
// from loading one absent adapter into several engines.
double loadPrice(const Scored &scored, const Placement &placement, const ChoiceQuery &query, const WaitForecast &wait,
                 TimePoint now)
{
    const auto &policy = *query.policy;
    const AdapterName name{query.facts->model, query.facts->adapter};
    const bool awaited = policy.has(Mechanism::Awaited) && scored.entry->awaits(name, now);
    if (scored.presence != Presence::Absent || name.second.empty() || wait.hasCopy() || awaited) {
        return 0;
    }
    const double price =
        policy.has(Mechanism::LoadPrice) ? policy.loadPriceMs * priceShare(placement.holders, policy) : 0;
    return price + (scored.entry != placement.home && policy.has(Mechanism::Home) ? policy.homeMs : 0);
}

bool mayTake(const EndpointEntry &entry, const ChoiceQuery &query, TimePoint now)
{
    return entry.record.service == *query.service && !entry.leaves(now) && !entry.pauses(now) && !entry.superseded
           && query.exclude->count(entry.record.id) == 0;
}

Placement findPlacement(std::vector<Scored> &list, const ChoiceQuery &query, TimePoint now)
{
    const AdapterName name{query.facts->model, query.facts->adapter};
    const auto key = prefixKey(*query.facts);
    const auto homeKey = hash64(query.facts->adapter, hash64(query.facts->model));
    Placement placement;
    for (auto &scored : list) {
        const auto &entry = *scored.entry;
        scored.presence = entry.presence(name, query.leastVersion, now);
        if (scored.presence == Presence::Resident) {
            ++placement.holders.count;
            placement.holders.recentCalls += entry.recentCalls(name, now);
            if (placement.keeper == nullptr || rank(key, entry) > rank(key, *placement.keeper)) {
                placement.keeper = &entry;
            }
        } else if (placement.home == nullptr || rank(homeKey, entry) > rank(homeKey, *placement.home)) {
            placement.home = &entry;
        }
    }
    return placement;
}

/// Keeps the engines that are related to the adapter, and a random sample of the others. Prevents entries with the
/// same outdated state from sending all calls to the same engine, and bounds the work of a choice in a large fleet.
void drawCandidates(std::vector<Scored> &list, const Placement &placement, const ChoiceQuery &query, TimePoint now)
{
    if (!query.policy->has(Mechanism::Sampling)) {
        return;
    }
    const AdapterName name{query.facts->model, query.facts->adapter};
    const auto others = std::partition(list.begin(), list.end(), [&](const Scored &scored) {
        const auto &entry = *scored.entry;
        return scored.presence != Presence::Absent || &entry == placement.home || entry.loadsFast(name)
               || entry.awaits(name, now);
    });
    if (list.end() - others <= drawnEngines) {
        return;
    }
    const auto tie = hash64(query.facts->requestId);
    for (auto it = others; it != list.end(); ++it) {
        const bool avoided = trouble(*it->entry, query, now) >= query.policy->avoidedMs;
        it->draw = {avoided, rank(tie, *it->entry)};
    }
    std::nth_element(others, others + drawnEngines, list.end(),
                     [](const Scored &a, const Scored &b) { return a.draw < b.draw; });
    list.erase(others + drawnEngines, list.end());
}

void scoreEngines(std::vector<Scored> &list, const ChoiceQuery &query, TimePoint now)
{
    const auto shared = sharedTokens(*query.facts);
    const auto placement = findPlacement(list, query, now);
    drawCandidates(list, placement, query, now);
    const auto *keeper = query.policy->has(Mechanism::KeptParts) ? placement.keeper : nullptr;
    for (auto &scored : list) {
        const auto &entry = *scored.entry;
        const WaitForecast wait(entry, query, now);
        const double kept = &entry == keeper ? shared : 0;
        scored.fresh = shared + ownTokens(*query.facts) - kept;
        scored.work = query.learned->reading.work(scored.fresh, kept);
        const double backlog = wait.backlogMs();
        const double own = query.learned->reading.aloneMs(scored.work);
        scored.readingMs = backlog + own;
        // Own calls show the effect of evicted prefix caches and of long answers.
        const double slowness = query.policy->has(Mechanism::Slowness) ? entry.slownessNow(now) : 1;
        scored.ms = slowness * scored.readingMs;
        if (scored.presence != Presence::Resident) {
            // The engine continues reading while the adapter is loaded.
            const double loading = wait.presenceMs(scored.presence);
            scored.ms = std::max(loading, slowness * backlog) + slowness * (wait.plannedMs() + own);
        }
        scored.dislike = trouble(entry, query, now) + loadPrice(scored, placement, query, wait, now);
    }
}

double plainWorkMs(const ChoiceQuery &query)
{
    const bool measured = query.learned->plainMs.count() != 0;
    return measured ? query.learned->plainMs.quantile(0.5) : plainShare * milliseconds(query.objective);
}

void scorePlain(std::vector<Scored> &list, const ChoiceQuery &query, TimePoint now)
{
    for (auto &scored : list) {
        scored.ms = plainWorkMs(query) * scored.entry->inFlight;
        scored.dislike = trouble(*scored.entry, query, now);
    }
}

Duration certainFirstByte(const Scored &best, const ChoiceQuery &query, const WaitForecast &wait, Duration whole)
{
    if (!query.engine) {
        return query.learned->plainMs.count() != 0 ? whole : Duration(0);
    }
    const double presence = wait.certainPresenceMs(best.presence);
    if (!query.learned->reading.measured()) {
        return fromMilliseconds(presence);
    }
    // Without a measured load time the whole estimate rests on a default.
    const bool guessed = best.presence != Presence::Resident && query.learned->loadMs == 0;
    return guessed ? fromMilliseconds(std::max(presence, best.readingMs)) : whole;
}

} // namespace

std::optional<Choice> chooseEndpoint(const EndpointTable &table, const ChoiceQuery &query, TimePoint now)
{
    std::vector<Scored> list;
    for (const auto &[id, entry] : table.all()) {
        if (mayTake(entry, query, now)) {
            list.push_back({&entry});
        }
    }
    if (list.empty()) {
        return std::nullopt;
    }
    if (query.engine) {
        scoreEngines(list, query, now);
    } else {
        scorePlain(list, query, now);
    }
    const auto tie = hash64(query.facts->requestId);
    for (auto &scored : list) {
        scored.dislike += scored.entry->record.dataCentre == query.dataCentre ? 0 : query.policy->otherCentreMs;
    }
    const auto best = std::min_element(list.begin(), list.end(), [&](const Scored &a, const Scored &b) {
        return a.sum() != b.sum() ? a.sum() < b.sum() : rank(tie, *a.entry) < rank(tie, *b.entry);
    });
    Choice choice;
    choice.endpointId = best->entry->record.id;
    choice.presence = best->presence;
    choice.freshTokens = best->fresh;
    choice.unreadTokens = best->work;
    choice.reading = fromMilliseconds(best->readingMs);
    const WaitForecast wait(*best->entry, query, now);
    const double extra = query.engine ? wait.storeDelayMs(best->presence) : plainWorkMs(query);
    const double whole = best->ms + extra;
    choice.firstByte = fromMilliseconds(whole);
    choice.certain = certainFirstByte(*best, query, wait, choice.firstByte);
    choice.load = fromMilliseconds(wait.loadMs());
    return choice;
}

} // namespace anvilscale

// The estimate that chooses an endpoint. All parts are in milliseconds.
#include "endpoint_choice.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Prompt tokens that an engine reads in a millisecond; from the sheet of the engines served.
constexpr double readTokensPerMs = 38.4;
// A prompt's token is also compared with each one before it: 0.647 ms for a million pairs on the engines served, told
// here in tokens read in that time. A prompt of 30,000 tokens takes 1.4 times as long as its tokens alone, one of
// 3,000 1.04.
constexpr double pairTokens = 0.647e-6 * readTokensPerMs;
// A load from the weight store takes 250 to 290 ms on the engines served while few are on their way.
constexpr double loadMs = 270;
// It slows all others and is paid for, so that it is weighed with more than its time. With 180 in place of 630 calls
// spread and loaded copies that cost more waits than they saved: 1,161 loads against 1,070 and worth 0.625 against
// 0.665, measured on a day with failing engines, 24 VMs.
constexpr double loadPriceMs = 630;
// From the engine's own memory: a tenth of the store's time.
constexpr double fastLoadMs = 60;
constexpr double loadingMs = 150; // on its way already: half of it is left in the mean
// An older version with running calls is in the way: they have to end first.
constexpr double heldByRunsMs = 1500;
// A call runs some two seconds on the engines served. With calls on all slots, one comes free each so many milliseconds
// divided by the slots.
constexpr double slotHoldMs = 2000;
// Orders go to an engine one after the other, an unload and a load for each adapter.
constexpr double loadAheadMs = 60;
constexpr double modelLoadMs = 3000; // of a model where the operator does not tell how long it takes
// Nobody beside the engine takes orders: as long as that lasts the adapter does not come.
constexpr double noSidecarMs = 20'000;
// A call of somebody else that runs at the engine slows the reading of prompts a little.
constexpr double othersCallMs = 2;
constexpr double plainCallMs = 30; // work of one call of a plain service
// Worth of staying in the data centre: bytes between data centres are paid for.
constexpr double otherCentreMs = 25;
// The home of an absent adapter is preferred by this much, so that entries that know nothing of each other load it
// once and not each in a place of its own.
constexpr double homeMs = 200;
constexpr double failingMs = 3000; // for an endpoint that fails every call
constexpr double avoidedMs = 8000;
constexpr Duration engineSilence = Milliseconds(1500); // longer than the longest prompt takes to be read
constexpr Duration plainSilence = Milliseconds(400);

struct Scored
{
    const EndpointEntry *entry = nullptr;
    Presence presence = Presence::Resident;
    double work = 0; // of reading the call's prompt, in tokens
    double ms = 0; // until the first byte
    double readingMs = 0; // part of it, without the endpoint's slowness
    double dislike = 0; // on top: what speaks against the endpoint without making a call late
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

/// Work of reading `fresh` tokens behind `kept` ones that need not be read, as tokens of a short prompt.
double readingWork(double fresh, double kept)
{
    return fresh + pairTokens * fresh * (kept + fresh / 2);
}

std::uint64_t prefixKey(const CallFacts &facts)
{
    std::uint64_t key = hash64(facts.adapter, hash64(facts.model));
    for (std::size_t i = 0; i + 1 < facts.parts.size(); ++i) {
        key = hash64(facts.parts[i].id, key);
    }
    return key;
}

double trouble(const EndpointEntry &entry, Duration silence, TimePoint now)
{
    double ms = failingMs * entry.failureShare;
    ms += now < entry.avoidUntil ? avoidedMs : 0;
    ms += entry.silentFor(silence, now) ? avoidedMs : 0;
    ms += entry.toldUnreachable(now) ? avoidedMs : 0;
    return ms;
}

double backlogMs(const EndpointEntry &entry, TimePoint now)
{
    double ms = entry.unreadTokens / readTokensPerMs;
    double running = 0;
    if (entry.stateFresh(now)) {
        const auto others = static_cast<double>(entry.state->unread_tokens()) - entry.toldUnread;
        ms += std::max(0.0, others) / readTokensPerMs;
        const auto there = entry.state->running() + entry.state->queued();
        running = othersCallMs * (there > entry.inFlightAtState ? there - entry.inFlightAtState : 0);
    }
    return running + ms;
}

// Prompts of calls that wait for an adapter at the engine are read before one that begins to wait now. While they were
// not counted, calls were sent where the work was only about to come, and met it: they waited for up to a second where
// a quarter had been estimated.
double plannedMs(const EndpointEntry &entry, TimePoint now)
{
    double tokens = entry.waitingTokens;
    if (entry.stateFresh(now)) {
        tokens += std::max(0.0, static_cast<double>(entry.state->waiting_tokens()) - entry.toldWaiting);
    }
    return tokens / readTokensPerMs;
}

// An engine that has restarted is empty, and its model is ordered at once: what is left of that load counts. With a
// fixed long time for it, callers were refused that could be served a second later, and the first engine to be ready
// got all calls of the others.
double modelMs(const EndpointEntry &entry, const ChoiceQuery &query, TimePoint now)
{
    if (entry.hasModel(query.facts->model, now)) {
        return 0;
    }
    if (query.modelReload <= Duration(0)) {
        return modelLoadMs;
    }
    const auto passed = entry.emptySince ? now - *entry.emptySince : Duration(0);
    const auto left = std::max(query.modelReload - passed, query.modelReload / 4);
    return std::chrono::duration<double, std::milli>(left).count();
}

// Until an absent adapter is there, as long as the weight store keeps up.
double adapterMs(const EndpointEntry &entry, const CallFacts &facts)
{
    const double alone = entry.loadsFast({facts.model, facts.adapter}) ? fastLoadMs : loadMs;
    return alone + loadAheadMs * entry.state->loads_ahead();
}

// How much later an absent adapter comes while the weight store is slow: the sidecar loads one after the other, those
// for calls that can be in time first. This is no reason to prefer another engine, whose loads come from the same
// store: with it in the choice, adapters spread and 3 % of the callers in time became late (four days, four seeds).
double slowStoreMs(const EndpointEntry &entry, const ChoiceQuery &query, Presence presence, TimePoint now)
{
    const double slow = entry.stateFresh(now) ? entry.state->slow_load_ms() : 0;
    if (slow == 0 || presence != Presence::Absent || query.facts->adapter.empty()) {
        return 0;
    }
    const auto ahead = query.inTime ? entry.state->loads_in_time() : entry.state->loads_ahead();
    return std::max(0.0, slow * (1 + ahead) - adapterMs(entry, *query.facts));
}

// Until a slot is free for one more adapter: those that are waited for already come first. Where each slot has a
// running call, the queue for slots and not the load makes callers wait: for seconds, on the days with most calls for
// an engine.
double slotMs(const EndpointEntry &entry, bool awaited)
{
    const auto wanted = entry.state->loads_ahead() + (awaited ? 0 : 1);
    const auto missing = wanted > entry.state->room() ? wanted - entry.state->room() : 0;
    return missing * slotHoldMs / std::max<std::uint32_t>(1, entry.state->slots());
}

double presenceMs(const EndpointEntry &entry, const ChoiceQuery &query, Presence presence, TimePoint now)
{
    const AdapterName name{query.facts->model, query.facts->adapter};
    if (presence == Presence::Resident) {
        return 0;
    }
    if (!entry.stateFresh(now)) {
        return entry.stateExpected(now) ? loadMs : noSidecarMs;
    }
    double ms = modelMs(entry, query, now);
    if (!name.second.empty()) {
        ms += presence == Presence::Loading ? loadingMs : adapterMs(entry, *query.facts);
        ms += presence == Presence::Absent ? slotMs(entry, entry.awaits(name, now)) : 0;
        ms += presence == Presence::Absent && entry.heldByRuns(name, now) ? heldByRunsMs : 0;
    }
    return ms;
}

// What a load costs the others; nothing where it is awaited already. While entries did not know what waits where, calls
// on one absent adapter that came within a moment had it loaded into several engines.
double loadPrice(const EndpointEntry &entry, const CallFacts &facts, Presence presence, TimePoint now)
{
    const AdapterName name{facts.model, facts.adapter};
    const bool fromStore = presence == Presence::Absent && !facts.adapter.empty();
    return fromStore && !entry.loadsFast(name) && !entry.awaits(name, now) ? loadPriceMs : 0;
}

bool mayTake(const EndpointEntry &entry, const ChoiceQuery &query)
{
    return entry.record.service == *query.service && !entry.record.leaving && !entry.superseded
           && query.exclude->count(entry.record.id) == 0;
}

void scoreEngines(std::vector<Scored> &list, const ChoiceQuery &query, TimePoint now)
{
    const AdapterName name{query.facts->model, query.facts->adapter};
    const auto shared = sharedTokens(*query.facts);
    const auto key = prefixKey(*query.facts);
    const auto homeKey = hash64(query.facts->adapter, hash64(query.facts->model));
    const Scored *keeper = nullptr; // where the shared parts of the prompt are most likely kept
    const Scored *home = nullptr;
    for (auto &scored : list) {
        scored.presence = scored.entry->presence(name, query.leastVersion, now);
        const bool resident = scored.presence == Presence::Resident;
        if (resident && (keeper == nullptr || rank(key, *scored.entry) > rank(key, *keeper->entry))) {
            keeper = &scored;
        }
        if (home == nullptr || rank(homeKey, *scored.entry) > rank(homeKey, *home->entry)) {
            home = &scored;
        }
    }
    for (auto &scored : list) {
        const auto &entry = *scored.entry;
        const double kept = &scored == keeper ? shared : 0;
        scored.work = readingWork(shared + ownTokens(*query.facts) - kept, kept);
        scored.readingMs = backlogMs(entry, now) + scored.work / readTokensPerMs;
        // Shared parts may have been dropped, and long answers slow the reading: what own calls have met there counts.
        const double slowness = entry.slownessNow(now);
        scored.ms = slowness * scored.readingMs;
        if (scored.presence != Presence::Resident) {
            // The engine goes on reading while the adapter is loaded.
            const double loading = presenceMs(entry, query, scored.presence, now);
            const double reading = slowness * (plannedMs(entry, now) + scored.work / readTokensPerMs);
            scored.ms = std::max(loading, slowness * backlogMs(entry, now)) + reading;
        }
        scored.dislike = trouble(entry, engineSilence, now) + loadPrice(entry, *query.facts, scored.presence, now)
                         - (&scored == home && keeper == nullptr ? homeMs : 0);
    }
}

void scorePlain(std::vector<Scored> &list, TimePoint now)
{
    for (auto &scored : list) {
        scored.ms = plainCallMs * scored.entry->inFlight;
        scored.dislike = trouble(*scored.entry, plainSilence, now);
    }
}

} // namespace

Duration readingTime(const EndpointEntry &entry, double work, TimePoint now)
{
    const double ms = backlogMs(entry, now) + work / readTokensPerMs;
    return Duration(static_cast<std::int64_t>(ms * 1000));
}

std::optional<Choice> chooseEndpoint(const EndpointTable &table, const ChoiceQuery &query, TimePoint now)
{
    std::vector<Scored> list;
    for (const auto &[id, entry] : table.all()) {
        if (mayTake(entry, query)) {
            list.push_back({&entry});
        }
    }
    if (list.empty()) {
        return std::nullopt;
    }
    if (query.engine) {
        scoreEngines(list, query, now);
    } else {
        scorePlain(list, now);
    }
    const auto tie = hash64(query.facts->requestId);
    for (auto &scored : list) {
        scored.dislike += scored.entry->record.dataCentre == query.dataCentre ? 0 : otherCentreMs;
    }
    const auto best = std::min_element(list.begin(), list.end(), [&](const Scored &a, const Scored &b) {
        return a.sum() != b.sum() ? a.sum() < b.sum() : rank(tie, *a.entry) < rank(tie, *b.entry);
    });
    Choice choice;
    choice.endpointId = best->entry->record.id;
    choice.presence = best->presence;
    choice.unreadTokens = best->work;
    choice.reading = Duration(static_cast<std::int64_t>(best->readingMs * 1000));
    const double extra = query.engine ? slowStoreMs(*best->entry, query, best->presence, now) : plainCallMs;
    const double whole = best->ms + extra;
    choice.firstByte = Duration(static_cast<std::int64_t>(whole * 1000));
    return choice;
}

} // namespace anvilscale

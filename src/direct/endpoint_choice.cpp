// Endpoint choice by estimated time to the first byte. All times are in milliseconds.
#include "endpoint_choice.h"

#include "wait_forecast.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Work of a plain call before any measurement, as a share of its objective.
constexpr double plainWorkShare = 0.2;

// Sampled engines for a call with an absent adapter, besides its home engine.
constexpr std::ptrdiff_t sampledEngines = 8;

struct Candidate
{
    const EndpointEntry *entry = nullptr;
    Presence presence = Presence::Resident;
    double uncachedTokens = 0; // prompt tokens not cached there
    double readingWork = 0; // work of reading them, in tokens of a short prompt
    double firstByteMs = 0; // estimated time to the first byte
    double readingMs = 0; // part of it for reading prompts, without the endpoint's slowness
    std::pair<bool, std::uint64_t>
        samplingKey{}; // sampling order, lowest first: endpoints that are not avoided, then random
    double penaltyMs = 0; // penalty that does not make the call late
    double totalMs() const
    {
        return firstByteMs + penaltyMs;
    }
};

std::uint64_t rendezvousHash(std::uint64_t key, const EndpointEntry &entry)
{
    return hash64(entry.record.address, key);
}

std::uint64_t homeKeyOf(const CallInfo &info)
{
    return hash64(info.adapter, hash64(info.model));
}

double sharedTokens(const CallInfo &info)
{
    double sum = 0;
    for (std::size_t i = 0; i + 1 < info.parts.size(); ++i) {
        sum += info.parts[i].tokens;
    }
    return sum;
}

double ownTokens(const CallInfo &info)
{
    return info.parts.empty() ? info.promptTokens : info.parts.back().tokens;
}

std::uint64_t prefixKey(const CallInfo &info)
{
    std::uint64_t key = hash64(info.adapter, hash64(info.model));
    for (std::size_t i = 0; i + 1 < info.parts.size(); ++i) {
        key = hash64(info.parts[i].id, key);
    }
    return key;
}

double avoidancePenaltyMs(const EndpointEntry &entry, const ChoiceQuery &query, TimePoint now)
{
    const auto &policy = *query.policy;
    double ms = 0;
    if (policy.has(Mechanism::Avoidance)) {
        ms += now < entry.avoidedUntil ? policy.avoidancePenaltyMs : 0;
        ms += entry.isSilentFor(query.estimates->silenceTimeout(), now) ? policy.avoidancePenaltyMs : 0;
    }
    if (policy.has(Mechanism::Unreachable)) {
        // Avoids engines on stopped VMs at once: they would read the calls after resuming, when the callers have
        // left.
        ms += entry.isReportedUnreachable(now) || entry.isSidecarSilent(query.lastReceivedAt)
                  ? policy.avoidancePenaltyMs
                  : 0;
    }
    return ms;
}

double healthPenaltyMs(const EndpointEntry &entry, const ChoiceQuery &query, TimePoint now)
{
    const auto &policy = *query.policy;
    const double failureMs = policy.has(Mechanism::Avoidance) ? policy.failurePenaltyMs * entry.failureShare : 0;
    return failureMs + avoidancePenaltyMs(entry, query, now);
}

double centrePenaltyMs(const EndpointEntry &entry, const ChoiceQuery &query)
{
    return entry.record.dataCentre == query.dataCentre ? 0 : query.policy->remoteCentrePenaltyMs;
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
    const EndpointEntry *prefixHolder = nullptr; // most likely caches the shared parts of the prompt
    const EndpointEntry *homeEngine = nullptr; // where all entries load the adapter next
    Holders holders;
};

// A load is paid once and serves all calls of the copy. Prevents calls of a popular adapter from queueing at its few
// holders while other engines are idle.
double loadPenaltyShare(const Holders &holders, const DirectPolicy &policy)
{
    return policy.has(Mechanism::Popularity) ? 1 / (1 + holders.recentCalls / (holders.count + 1)) : 1;
}

// Cost of a load to other calls; none if the adapter is awaited there already. Prevents calls that arrive together
// from loading one absent adapter into several engines.
double loadPenalty(const Candidate &candidate, const Placement &placement, const ChoiceQuery &query,
                   const WaitForecast &forecast, TimePoint now)
{
    const auto &policy = *query.policy;
    const AdapterName name{query.info->model, query.info->adapter};
    if (candidate.presence == Presence::Absent && candidate.entry->isLimited()) {
        // The calls that need the load may get no permit when it is done.
        return policy.avoidancePenaltyMs;
    }
    const bool awaited = policy.has(Mechanism::Awaited) && candidate.entry->isAwaiting(name, now);
    if (candidate.presence != Presence::Absent || name.second.empty() || forecast.hasLocalCopy() || awaited) {
        return 0;
    }
    const double penalty =
        policy.has(Mechanism::LoadPrice) ? policy.loadPenaltyMs * loadPenaltyShare(placement.holders, policy) : 0;
    return penalty
           + (candidate.entry != placement.homeEngine && policy.has(Mechanism::Home) ? policy.homePenaltyMs : 0);
}

Placement findPlacement(std::vector<Candidate> &candidates, const ChoiceQuery &query, TimePoint now)
{
    const AdapterName name{query.info->model, query.info->adapter};
    const auto key = prefixKey(*query.info);
    const auto homeKey = homeKeyOf(*query.info);
    Placement placement;
    for (auto &candidate : candidates) {
        const auto &entry = *candidate.entry;
        candidate.presence = entry.presence(name, query.minVersion, now);
        if (candidate.presence == Presence::Resident) {
            ++placement.holders.count;
            placement.holders.recentCalls += entry.recentCalls(name, now);
            if (placement.prefixHolder == nullptr
                || rendezvousHash(key, entry) > rendezvousHash(key, *placement.prefixHolder)) {
                placement.prefixHolder = &entry;
            }
        } else if (placement.homeEngine == nullptr
                   || rendezvousHash(homeKey, entry) > rendezvousHash(homeKey, *placement.homeEngine)) {
            placement.homeEngine = &entry;
        }
    }
    return placement;
}

/// Keeps the engines that are related to the adapter, and a random sample of the others. Prevents entries with the
/// same outdated state from sending all calls to the same engine, and bounds the work of a choice in a large fleet. The
/// states are some tenths of a second old, and calls that all chose the best engine waited there for seconds. The best
/// of a few random ones is nearly as good.
void sampleCandidates(std::vector<Candidate> &candidates, const Placement &placement, const ChoiceQuery &query,
                      TimePoint now)
{
    if (!query.policy->has(Mechanism::Sampling)) {
        return;
    }
    const AdapterName name{query.info->model, query.info->adapter};
    const auto unrelated = std::partition(candidates.begin(), candidates.end(), [&](const Candidate &candidate) {
        const auto &entry = *candidate.entry;
        return candidate.presence != Presence::Absent || &entry == placement.homeEngine || entry.hasLocalCopy(name)
               || entry.isAwaiting(name, now);
    });
    if (candidates.end() - unrelated <= sampledEngines) {
        return;
    }
    const auto tieKey = hash64(query.info->requestId);
    for (auto it = unrelated; it != candidates.end(); ++it) {
        const bool isAvoided = healthPenaltyMs(*it->entry, query, now) >= query.policy->avoidancePenaltyMs;
        it->samplingKey = {isAvoided, rendezvousHash(tieKey, *it->entry)};
    }
    std::nth_element(unrelated, unrelated + sampledEngines, candidates.end(),
                     [](const Candidate &a, const Candidate &b) { return a.samplingKey < b.samplingKey; });
    candidates.erase(unrelated + sampledEngines, candidates.end());
}

// Cost of a prompt to the streams that it delays beyond their allowed pause: the time that it adds beyond the limit,
// for each stream. An event takes several engine steps, so that a single prompt delays it by less. That is enough here,
// as the cost only ranks engines: it is lower at a faster engine and at one with fewer streams.
double pausePenaltyMs(const EndpointEntry &entry, const ChoiceQuery &query, double backlogMs, double ownMs,
                      TimePoint now)
{
    const bool isContended = entry.hasFreshState(now) && entry.state->reading_budget() != 0;
    const bool hasLimit = query.pauseLimit > Duration(0);
    if (!isContended || !hasLimit || !query.policy->has(Mechanism::EngineSpeeds)) {
        return 0;
    }
    const double beyond = std::min(ownMs, backlogMs + ownMs - milliseconds(query.pauseLimit));
    const auto ownStreams = entry.inFlight - entry.awaitingFirstByte;
    const double streams = std::max(entry.state->streams(), ownStreams); // the reported ones include own streams
    return std::clamp(streams * beyond, 0.0, milliseconds(query.objective));
}

void scoreEngines(std::vector<Candidate> &candidates, const ChoiceQuery &query, TimePoint now)
{
    const auto shared = sharedTokens(*query.info);
    const auto placement = findPlacement(candidates, query, now);
    sampleCandidates(candidates, placement, query, now);
    const auto *prefixHolder = query.policy->has(Mechanism::KeptParts) ? placement.prefixHolder : nullptr;
    for (auto &candidate : candidates) {
        const auto &entry = *candidate.entry;
        const WaitForecast forecast(entry, query, now);
        const double cached = &entry == prefixHolder ? shared : 0;
        candidate.uncachedTokens = shared + ownTokens(*query.info) - cached;
        candidate.readingWork = query.estimates->reading.work(candidate.uncachedTokens, cached);
        const double unread = forecast.backlogMs();
        const double backlog = unread + forecast.queuedMs();
        const double own = forecast.speed().idleEngineMs(candidate.readingWork);
        candidate.readingMs = backlog + own;
        // Own calls show the effect of evicted prefix caches and of long answers.
        const double slowness = query.policy->has(Mechanism::Slowness) ? entry.currentSlowness(now) : 1;
        candidate.firstByteMs = slowness * candidate.readingMs;
        if (candidate.presence != Presence::Resident) {
            // The engine continues reading while the adapter is loaded.
            const double loading = forecast.untilResidentMs(candidate.presence);
            candidate.firstByteMs =
                std::max(loading, slowness * backlog) + slowness * (forecast.plannedReadingMs() + own);
        }
        candidate.penaltyMs = healthPenaltyMs(entry, query, now)
                              + loadPenalty(candidate, placement, query, forecast, now)
                              + pausePenaltyMs(entry, query, unread, own, now);
    }
}

void scorePlain(std::vector<Candidate> &candidates, const ChoiceQuery &query, TimePoint now)
{
    for (auto &candidate : candidates) {
        candidate.firstByteMs = plainWorkMs(query) * candidate.entry->inFlight;
        candidate.penaltyMs = healthPenaltyMs(*candidate.entry, query, now);
    }
}

Duration confirmedTime(const Candidate &best, const ChoiceQuery &query, const WaitForecast &forecast, Duration whole)
{
    if (!query.isEngine) {
        return query.estimates->plainRunMs.count() != 0 ? whole : Duration(0);
    }
    const double presence = forecast.confirmedUntilResidentMs(best.presence);
    if (!forecast.speed().isMeasured()) {
        return fromMilliseconds(presence);
    }
    // Without a measured load time the whole estimate rests on a default.
    const bool usesDefault = best.presence != Presence::Resident && query.estimates->loadMs == 0;
    return usesDefault ? fromMilliseconds(std::max(presence, best.readingMs)) : whole;
}

} // namespace

bool runsVersion(const EndpointEntry &entry, const ChoiceQuery &query)
{
    return query.softwareVersion == nullptr
           || (entry.isVersionKnown() && entry.record.softwareVersion == *query.softwareVersion);
}

bool isEligible(const EndpointEntry &entry, const ChoiceQuery &query, TimePoint now)
{
    return entry.record.service == *query.service && !entry.isLeaving(now) && !entry.isPaused(now)
           && !entry.isSuperseded && entry.acceptsPlacement(now) && runsVersion(entry, query)
           && query.excludedIds->count(entry.record.id) == 0;
}

double plainWorkMs(const ChoiceQuery &query)
{
    const bool measured = query.estimates->plainRunMs.count() != 0;
    return measured ? query.estimates->plainRunMs.quantile(0.5) : plainWorkShare * milliseconds(query.objective);
}

std::vector<PlainOption> findPlainOptions(const EndpointTable &table, const ChoiceQuery &query, TimePoint now)
{
    std::vector<PlainOption> result;
    for (const auto &[id, entry] : table.entries()) {
        if (isEligible(entry, query, now)) {
            result.push_back({&entry, avoidancePenaltyMs(entry, query, now) + centrePenaltyMs(entry, query)});
        }
    }
    return result;
}

EndpointEntry *findHomeToVisit(EndpointTable &table, const ChoiceQuery &query, TimePoint now)
{
    const AdapterName name{query.info->model, query.info->adapter};
    const auto homeKey = homeKeyOf(*query.info);
    EndpointEntry *home = nullptr;
    std::uint64_t highest = 0;
    for (auto &[id, entry] : table.entries()) {
        if (entry.record.service != *query.service || entry.isSuperseded || entry.isLeaving(now) || entry.isPaused(now)
            || now < entry.avoidedUntil || !runsVersion(entry, query) || query.excludedIds->count(id) != 0) {
            continue;
        }
        if (entry.acceptsPlacement(now)
            && (entry.presence(name, query.minVersion, now) != Presence::Absent || entry.isAwaiting(name, now))) {
            return nullptr;
        }
        // One that was visited in vain is passed over until the visit ends.
        const bool isUnheard = entry.listening == Listening::Visited && !entry.acceptsPlacement(now);
        const auto hash = rendezvousHash(homeKey, entry);
        if (!isUnheard && (home == nullptr || hash > highest)) {
            home = &entry;
            highest = hash;
        }
    }
    const bool isConnected = home == nullptr || home->listening == Listening::Selected;
    return isConnected ? nullptr : home;
}

std::optional<Choice> chooseEndpoint(const EndpointTable &table, const ChoiceQuery &query, TimePoint now)
{
    std::vector<Candidate> candidates;
    for (const auto &[id, entry] : table.entries()) {
        if (isEligible(entry, query, now)) {
            candidates.push_back({&entry});
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (query.isEngine) {
        scoreEngines(candidates, query, now);
    } else {
        scorePlain(candidates, query, now);
    }
    const auto tieKey = hash64(query.info->requestId);
    for (auto &candidate : candidates) {
        candidate.penaltyMs += centrePenaltyMs(*candidate.entry, query);
    }
    const auto best =
        std::min_element(candidates.begin(), candidates.end(), [&](const Candidate &a, const Candidate &b) {
            return a.totalMs() != b.totalMs() ? a.totalMs() < b.totalMs()
                                              : rendezvousHash(tieKey, *a.entry) < rendezvousHash(tieKey, *b.entry);
        });
    Choice choice;
    choice.endpointId = best->entry->record.id;
    choice.presence = best->presence;
    choice.uncachedTokens = best->uncachedTokens;
    choice.unreadTokens = best->readingWork;
    choice.readingTime = fromMilliseconds(best->readingMs);
    const WaitForecast forecast(*best->entry, query, now);
    const double extra = query.isEngine ? forecast.storeDelayMs(best->presence) : plainWorkMs(query);
    const double whole = best->firstByteMs + extra;
    choice.firstByte = fromMilliseconds(whole);
    choice.confirmedFirstByte = confirmedTime(*best, query, forecast, choice.firstByte);
    choice.loadTime = fromMilliseconds(forecast.loadMs());
    return choice;
}

} // namespace anvilscale

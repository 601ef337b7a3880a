// Choice of the endpoint for a call that waits for a slot, and the order of these calls.
#include "slot_table.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Run time before any measurement.
constexpr double defaultRunMs = 50;
// Calls without a failure that are assumed before the first ones: a single failure does not exclude an endpoint.
constexpr double assumedSuccesses = 10;
// Ratio from which an endpoint may have lost its calls to others because of its failures.
constexpr double minProbedRatio = 0.01;
// An endpoint without a call gets one of so many calls of its service, to detect its recovery.
constexpr std::uint64_t callsPerProbe = 50;
// Endpoints whose costs differ by less than this share of a run are used evenly: measured run times differ by chance.
constexpr double evenShare = 0.25;

} // namespace

double SlotTable::Impl::Service::usualRunMs() const
{
    return runMs != 0 ? runMs : defaultRunMs;
}

double SlotTable::Impl::Endpoint::failureRatio(TimePoint now) const
{
    return failed.value(now) / (ended.value(now) + assumedSuccesses);
}

double SlotTable::Impl::runMs(const Service &service, const Endpoint &endpoint)
{
    return endpoint.runMs != 0 ? endpoint.runMs : service.usualRunMs();
}

/// Time until a slot is free for one more call, behind those that are expected before it.
double SlotTable::Impl::waitMs(const Service &service, const Endpoint &endpoint)
{
    const auto ahead = endpoint.inUse + endpoint.expected;
    if (ahead < endpoint.slots) {
        return 0;
    }
    return runMs(service, endpoint) * (ahead - endpoint.slots + 1) / endpoint.slots;
}

bool SlotTable::Impl::isProbeDue(const Service &service, const Endpoint &endpoint, TimePoint now)
{
    return endpoint.inUse + endpoint.expected == 0 && service.grants - endpoint.lastGrant >= callsPerProbe
           && endpoint.failureRatio(now) >= minProbedRatio;
}

std::vector<SlotTable::Impl::Candidate> SlotTable::Impl::findCandidates(const Service &service, const Waiting &call,
                                                                        TimePoint now)
{
    std::vector<Candidate> result;
    for (const auto &option : call.options) {
        const auto &endpoint = *option.endpoint;
        const double wait = waitMs(service, endpoint);
        if (wait > 0 && now + fromMilliseconds(wait) >= call.until) {
            continue;
        }
        const double failures = endpoint.failureRatio(now) * call.failureMs;
        const double others = wait + runMs(service, endpoint) + option.penaltyMs;
        const double use = static_cast<double>(endpoint.inUse + endpoint.expected) / endpoint.slots;
        result.push_back({&option, wait, failures, others, use});
    }
    return result;
}

SlotTable::Impl::Forecast SlotTable::Impl::choose(const Service &service, const Waiting &call, TimePoint now)
{
    const auto candidates = findCandidates(service, call, now);
    if (candidates.empty()) {
        return {};
    }
    const auto cheapest = std::min_element(candidates.begin(), candidates.end(),
                                           [](const auto &a, const auto &b) { return a.costMs() < b.costMs(); });
    const double limit = cheapest->costMs() + evenShare * service.usualRunMs();
    const auto rank = [](const Candidate &one) { return std::pair(one.use, one.option->endpoint->lastGrant); };
    const auto *best = &*cheapest;
    for (const auto &candidate : candidates) {
        if (candidate.othersMs <= limit && isProbeDue(service, *candidate.option->endpoint, now)) {
            return {candidate.option, candidate.waitMs};
        }
        if (candidate.costMs() <= limit && rank(candidate) < rank(*best)) {
            best = &candidate;
        }
    }
    return {best->option, best->waitMs};
}

// In order of priority; among equals the workspace with the fewest slots is next, then the call that came first. A
// workspace that sends many calls waits behind its own ones and not in front of others.
std::vector<std::list<SlotTable::Impl::Waiting>::iterator> SlotTable::Impl::orderWaiting(Service &service)
{
    using Position = std::list<Waiting>::iterator;
    std::vector<Position> result;
    for (auto it = service.waiting.begin(); it != service.waiting.end(); ++it) {
        result.push_back(it);
    }
    std::stable_sort(result.begin(), result.end(), [](Position a, Position b) { return a->priority < b->priority; });
    std::map<std::string_view, std::uint32_t> slotsBefore(service.inUse.begin(), service.inUse.end());
    std::vector<std::pair<std::uint32_t, Position>> turns;
    turns.reserve(result.size());
    for (const auto it : result) {
        turns.emplace_back(slotsBefore[it->workspace]++, it);
    }
    std::stable_sort(turns.begin(), turns.end(), [](const auto &a, const auto &b) {
        return std::pair(a.second->priority, a.first) < std::pair(b.second->priority, b.first);
    });
    std::transform(turns.begin(), turns.end(), result.begin(), [](const auto &turn) { return turn.second; });
    return result;
}

} // namespace anvilscale

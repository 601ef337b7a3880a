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

double SlotTable::Impl::costMs(const Service &service, const Waiting &call, const Option &option, TimePoint now)
{
    const auto &endpoint = *option.endpoint;
    return waitMs(service, endpoint) + runMs(service, endpoint) + option.penaltyMs
           + endpoint.failureRatio(now) * call.failureMs;
}

bool SlotTable::Impl::isProbeDue(const Service &service, const Endpoint &endpoint, TimePoint now)
{
    return endpoint.inUse + endpoint.expected == 0 && service.grants - endpoint.lastGrant >= callsPerProbe
           && endpoint.failureRatio(now) >= minProbedRatio;
}

SlotTable::Impl::Forecast SlotTable::Impl::choose(const Service &service, const Waiting &call, TimePoint now)
{
    struct Candidate
    {
        const Option *option;
        double waitMs;
        double costMs;
        double use; // share of the slots in use or expected to be
    };
    std::vector<Candidate> candidates;
    double leastMs = 0;
    for (const auto &option : call.options) {
        const auto &endpoint = *option.endpoint;
        const double wait = waitMs(service, endpoint);
        if (wait > 0 && now + fromMilliseconds(wait) >= call.until) {
            continue;
        }
        const double cost = costMs(service, call, option, now);
        leastMs = candidates.empty() ? cost : std::min(leastMs, cost);
        candidates.push_back({&option, wait, cost, double(endpoint.inUse + endpoint.expected) / endpoint.slots});
    }
    const double tolerance = evenShare * service.usualRunMs();
    const Candidate *best = nullptr;
    for (const auto &candidate : candidates) {
        const auto &endpoint = *candidate.option->endpoint;
        const double withoutFailures = candidate.costMs - endpoint.failureRatio(now) * call.failureMs;
        if (isProbeDue(service, endpoint, now) && withoutFailures <= leastMs + tolerance) {
            return {candidate.option, candidate.waitMs};
        }
        if (candidate.costMs > leastMs + tolerance) {
            continue;
        }
        const auto rank = [](const Candidate &one) { return std::pair(one.use, one.option->endpoint->lastGrant); };
        if (best == nullptr || rank(candidate) < rank(*best)) {
            best = &candidate;
        }
    }
    return best == nullptr ? Forecast{} : Forecast{best->option, best->waitMs};
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

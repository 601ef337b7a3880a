// Estimates learned from calls, call ranks and the entry's share of retries.
#include "direct_calls_impl.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Usable share of the retry slack of all entries; the rest is reserved for entries that sidecars do not count yet.
constexpr double usableSlackShare = 0.7;

} // namespace

std::optional<Duration> DirectCalls::Impl::attemptTime(const DirectCall &call, TimePoint now) const
{
    return pauses.hasPausedSince(call.stepStartedAt, now) ? std::nullopt : std::optional(now - call.stepStartedAt);
}

void DirectCalls::Impl::recordFirstByte(const DirectCall &call, EndpointEntry &entry, TimePoint now)
{
    const auto elapsed = attemptTime(call, now);
    if (!elapsed) {
        return;
    }
    auto &service = estimates[call.service];
    service.firstByteMs.add(milliseconds(*elapsed));
    if (!call.isEngine) {
        return;
    }
    entry.recordFirstByte(*elapsed, call.readingTime, now);
    // With much other work ahead, the time does not show the reading speed of one prompt.
    const bool isUndisturbed = call.tokensAhead <= call.uncachedTokens;
    if (isUndisturbed && init.policy.has(Mechanism::LearnedReading)) {
        service.reading.add(call.tokensAhead + call.uncachedTokens, call.uncachedTokens, *elapsed);
    }
}

void DirectCalls::Impl::recordRun(const DirectCall &call, TimePoint now)
{
    const auto elapsed = attemptTime(call, now);
    if (!elapsed) {
        return;
    }
    auto &service = estimates[call.service];
    service.runMs.add(milliseconds(*elapsed));
    if (!call.isEngine && call.wasOnlyCall) {
        service.plainRunMs.add(milliseconds(*elapsed));
    }
}

// Rank of the call at the engine, lower ranks first. A call that would be late even at an idle engine gets a higher
// rank, so that calls that can meet their objective do not wait behind it.
std::uint32_t DirectCalls::Impl::computeRank(const DirectCall &call, TimePoint now)
{
    const auto *entry = findEndpoint(call);
    const auto &service = estimates[call.service].reading;
    const double idleEngineMs = entry == nullptr
                                    ? service.idleEngineMs(call.unreadTokens)
                                    : EngineSpeed(*entry, service, init.policy).idleEngineMs(call.unreadTokens);
    const bool isLate = call.isEngine && now + fromMilliseconds(idleEngineMs) > call.arrivedAt + call.objective;
    return call.priority + (isLate && init.policy.has(Mechanism::LateRank) ? init.policy.lateRankOffset : 0);
}

std::uint64_t DirectCalls::Impl::countOwnSpeeds() const
{
    return static_cast<std::uint64_t>(
        std::count_if(endpoints.entries().begin(), endpoints.entries().end(), [this](const auto &item) {
            const auto &entry = item.second;
            const auto service = estimates.find(entry.record.service);
            return service != estimates.end() && !entry.isSuperseded
                   && EngineSpeed(entry, service->second.reading, init.policy).isOwn();
        }));
}

// Sidecars report how many entries share the allowance.
void DirectCalls::Impl::updateRetryShare(TimePoint now)
{
    std::uint32_t entries = 0;
    for (const auto &[id, entry] : endpoints.entries()) {
        entries = entry.hasFreshState(now) ? std::max(entries, entry.state->entries()) : entries;
    }
    knownEntries = entries;
    if (entries != 0 && init.retrySlack > 0) {
        maxRetryBalance = std::max(1.0, usableSlackShare * init.retrySlack / entries);
    }
}

} // namespace anvilscale

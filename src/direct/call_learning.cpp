// Estimates learned from calls, call ranks and the entry's share of retries.
#include "direct_calls_impl.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Usable share of the retry slack of all entries; the rest is reserved for entries that sidecars do not count yet.
constexpr double slackUsed = 0.7;

} // namespace

void DirectCalls::Impl::learnFirstByte(const DirectCall &call, EndpointEntry &entry, TimePoint now)
{
    auto &service = learned[call.service];
    const auto took = now - call.stepSince;
    service.firstByteMs.add(milliseconds(took));
    if (!call.engine) {
        return;
    }
    entry.countFirstByte(took, call.reading, now);
    // With much other work ahead, the time does not show the reading speed of one prompt.
    const bool clear = call.tokensAhead <= call.freshTokens;
    if (clear && init.policy.has(Mechanism::LearnedReading)) {
        service.reading.add(call.tokensAhead + call.freshTokens, call.freshTokens, took);
    }
}

void DirectCalls::Impl::learnRun(const DirectCall &call, TimePoint now)
{
    auto &service = learned[call.service];
    if (call.engine) {
        service.runMs.add(milliseconds(now - call.stepSince));
    } else if (call.alone) {
        service.plainMs.add(milliseconds(now - call.stepSince));
    }
}

// Rank of the call at the engine, lower ranks first. A call that would be late even at an idle engine gets a higher
// rank, so that calls that can meet their objective do not wait behind it.
std::uint32_t DirectCalls::Impl::rankOf(const DirectCall &call, TimePoint now)
{
    const auto alone = fromMilliseconds(learned[call.service].reading.aloneMs(call.unreadTokens));
    const bool late = call.engine && now + alone > call.arrived + call.objective;
    return call.priority + (late && init.policy.has(Mechanism::LateRank) ? init.policy.lateRank : 0);
}

// Sidecars report how many entries share the allowance.
void DirectCalls::Impl::shareRetries(TimePoint now)
{
    std::uint32_t entries = 0;
    for (const auto &[id, entry] : endpoints.all()) {
        entries = entry.stateFresh(now) ? std::max(entries, entry.state->entries()) : entries;
    }
    if (entries != 0 && init.retrySlack > 0) {
        retriesSaved = std::max(1.0, slackUsed * init.retrySlack / entries);
    }
}

} // namespace anvilscale

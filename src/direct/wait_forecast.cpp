// Wait forecasts from measured times. Defaults apply only until a value is measured, and refuse no call.
#include "wait_forecast.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Until a sidecar has measured a load: a fraction of a second, as networks of data centres give.
constexpr double defaultLoadMs = 300;
// Model load, unless declared by the operator or measured by a sidecar.
constexpr double defaultModelLoadMs = 3000;
// Declared by the platform: load time of a recently held adapter relative to one from the weight store.
constexpr double copyTimeShare = 0.1;
// Without a sidecar, or with one that has no fencing number, the engine gets no orders: the adapter is not loaded.
constexpr double noOrdersMs = 20'000;

} // namespace

WaitForecast::WaitForecast(const EndpointEntry &entry, const ChoiceQuery &query, TimePoint now)
    : entry_(entry)
    , query_(query)
    , now_(now)
    , speed_(entry, query.estimates->reading, *query.policy)
    , name_(query.info->model, query.info->adapter)
{
}

bool WaitForecast::hasFreshState() const
{
    return entry_.hasFreshState(now_);
}

const ServiceEstimates &WaitForecast::estimates() const
{
    return *query_.estimates;
}

double WaitForecast::readingMs(double work) const
{
    return work * speed_.msPerToken();
}

const EngineSpeed &WaitForecast::speed() const
{
    return speed_;
}

double WaitForecast::backlogTokens() const
{
    double tokens = entry_.unreadTokens;
    if (hasFreshState() && query_.policy->has(Mechanism::OthersWork)) {
        tokens += std::max(0.0, static_cast<double>(entry_.state->unread_tokens()) - entry_.lastSentUnreadTokens);
    }
    return tokens;
}

double WaitForecast::backlogMs() const
{
    return readingMs(backlogTokens());
}

// A call that can meet its objective passes those that cannot and some of the others: half of the queue on average.
double WaitForecast::queuedMs() const
{
    if (!query_.policy->has(Mechanism::ReadingTurns)) {
        return 0;
    }
    const double reported = hasFreshState() ? static_cast<double>(entry_.state->reading_queued()) : 0;
    const double others = std::max(0.0, reported - entry_.turnTokens);
    return readingMs(entry_.turnTokens + (query_.canMeetObjective ? others / 2 : others));
}

// Prevents calls from being sent to an engine whose work is only about to arrive. Without it they waited for up to a
// second where a quarter had been estimated.
double WaitForecast::plannedReadingMs() const
{
    if (!query_.policy->has(Mechanism::PlannedWork)) {
        return 0;
    }
    double tokens = entry_.waitingTokens;
    if (hasFreshState()) {
        tokens += std::max(0.0, static_cast<double>(entry_.state->waiting_tokens()) - entry_.lastSentWaitingTokens);
    }
    return readingMs(tokens);
}

double WaitForecast::loadMs() const
{
    if (hasFreshState() && entry_.state->load_ms() != 0) {
        return entry_.state->load_ms();
    }
    return estimates().loadMs > 0 ? estimates().loadMs : defaultLoadMs;
}

bool WaitForecast::hasLocalCopy() const
{
    return query_.policy->has(Mechanism::Copies) && entry_.hasLocalCopy(name_);
}

double WaitForecast::copyLoadMs() const
{
    const bool reported = hasFreshState() && entry_.state->copy_ms() != 0;
    return reported ? entry_.state->copy_ms() : copyTimeShare * loadMs();
}

// Adapters for calls that can meet their objective are loaded first, so that only those count for such a call. With all
// of them counted, long prompts were refused after a loss of all engines for waits of three to four seconds, while
// those that were accepted waited for one.
std::uint32_t WaitForecast::loadsAhead() const
{
    const bool first = query_.canMeetObjective && query_.policy->has(Mechanism::InTimeFirst);
    return first ? entry_.state->loads_in_time() : entry_.state->loads_ahead();
}

double WaitForecast::loadsAheadMs(double loadTime) const
{
    const auto reported = entry_.state->loads_at_once();
    return loadTime * loadsAhead() / (reported != 0 ? reported : maxEngineLoads);
}

double WaitForecast::adapterLoadMs() const
{
    return (hasLocalCopy() ? copyLoadMs() : loadMs()) + loadsAheadMs(loadMs());
}

// Not part of the choice between engines: all of them load from the same store. As a part of it, it spread adapters
// over more engines and made 3 % of the calls late that were in time without it.
double WaitForecast::storeDelayMs(Presence presence) const
{
    const bool counts = presence == Presence::Absent && !name_.second.empty() && hasFreshState();
    if (!counts || !query_.policy->has(Mechanism::StoreForecast)) {
        return 0;
    }
    const double recent = recentLoadMs();
    return std::max(0.0, recent + loadsAheadMs(recent) - adapterLoadMs());
}

// A restarted engine is empty and its model is ordered at once: only the remaining load time counts. Prevents
// refusals of calls that could be served a second later, and all waiting calls going to the first engine that is ready.
double WaitForecast::modelLoadMs() const
{
    if (entry_.hasModel(name_.first, now_)) {
        return 0;
    }
    double whole = milliseconds(query_.modelReload);
    if (hasFreshState() && entry_.state->model_ms() != 0) {
        whole = entry_.state->model_ms();
    }
    if (whole <= 0) {
        return defaultModelLoadMs;
    }
    const double passed = entry_.emptySince ? milliseconds(now_ - *entry_.emptySince) : 0;
    return std::max(whole - passed, whole / 4);
}

double WaitForecast::meanRunMs() const
{
    return query_.policy->has(Mechanism::LearnedRuns) ? estimates().runMs.mean() : 0;
}

// Time until a slot is free for one more adapter, after those already awaited. When all slots have running calls,
// callers wait for a slot and not for the load.
double WaitForecast::slotWaitMs() const
{
    if (!query_.policy->has(Mechanism::SlotQueue)) {
        return 0;
    }
    const bool awaited = entry_.isAwaiting(name_, now_);
    const auto demanded = loadsAhead() + (awaited ? 0 : 1);
    const auto missing = demanded > entry_.state->room() ? demanded - entry_.state->room() : 0;
    return missing * meanRunMs() / std::max<std::uint32_t>(1, entry_.state->slots());
}

double WaitForecast::untilResidentMs(Presence presence) const
{
    if (presence == Presence::Resident) {
        return 0;
    }
    if (!hasFreshState()) {
        return entry_.isStateExpected(now_) ? loadMs() : noOrdersMs;
    }
    if (isLoadBlocked(presence)) {
        return noOrdersMs;
    }
    double ms = modelLoadMs();
    if (name_.second.empty()) {
        return ms;
    }
    if (presence == Presence::Loading) {
        return ms + loadMs() / 2; // half of it is left on average
    }
    // An older version with running calls is replaced only after they end.
    return ms + adapterLoadMs() + slotWaitMs() + (entry_.isReplacementBlocked(name_, now_) ? meanRunMs() : 0);
}

bool WaitForecast::isLoadBlocked(Presence presence) const
{
    return presence == Presence::Absent && hasFreshState() && entry_.state->orders_blocked();
}

bool WaitForecast::hasMeasuredLoads() const
{
    return estimates().loadMs > 0;
}

double WaitForecast::recentLoadMs() const
{
    return entry_.state->recent_load_ms();
}

double WaitForecast::confirmedUntilResidentMs(Presence presence) const
{
    if (presence == Presence::Resident || !hasFreshState()) {
        return 0;
    }
    if (isLoadBlocked(presence)) {
        return noOrdersMs;
    }
    const bool declared = query_.modelReload > Duration(0) || entry_.state->model_ms() != 0;
    if (!hasMeasuredLoads()) {
        return declared ? modelLoadMs() : 0;
    }
    return untilResidentMs(presence) + storeDelayMs(presence);
}

double WaitForecast::confirmedRemainingMs(Presence presence) const
{
    if (isLoadBlocked(presence)) {
        return noOrdersMs;
    }
    if (presence != Presence::Absent || !hasFreshState() || !hasMeasuredLoads()) {
        return 0;
    }
    const double load = std::max(loadMs(), recentLoadMs());
    return modelLoadMs() + (name_.second.empty() ? 0 : loadsAheadMs(load) / 2);
}

} // namespace anvilscale

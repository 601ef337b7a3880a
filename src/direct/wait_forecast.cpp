// Wait forecasts from measured times. Defaults apply only until a value is measured, and refuse no call.
#include "wait_forecast.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Until a sidecar has measured a load.
constexpr double guessedLoadMs = 300;
// Model load, unless declared by the operator or measured by a sidecar.
constexpr double guessedModelLoadMs = 3000;
// Declared by the platform: load time of a recently held adapter relative to one from the weight store.
constexpr double copyShare = 0.1;
// Without a sidecar the engine gets no orders, so that the adapter is not loaded.
constexpr double noSidecarMs = 20'000;

} // namespace

WaitForecast::WaitForecast(const EndpointEntry &entry, const ChoiceQuery &query, TimePoint now)
    : entry_(entry)
    , query_(query)
    , now_(now)
    , name_(query.facts->model, query.facts->adapter)
{
}

bool WaitForecast::fresh() const
{
    return entry_.stateFresh(now_);
}

const ServiceEstimates &WaitForecast::learned() const
{
    return *query_.learned;
}

double WaitForecast::readingMs(double work) const
{
    return work * learned().reading.msPerToken();
}

double WaitForecast::backlogMs() const
{
    double tokens = entry_.unreadTokens;
    if (fresh() && query_.policy->has(Mechanism::OthersWork)) {
        tokens += std::max(0.0, static_cast<double>(entry_.state->unread_tokens()) - entry_.toldUnread);
    }
    return readingMs(tokens);
}

// Prevents calls from being sent to an engine whose work is only about to arrive.
double WaitForecast::plannedMs() const
{
    if (!query_.policy->has(Mechanism::PlannedWork)) {
        return 0;
    }
    double tokens = entry_.waitingTokens;
    if (fresh()) {
        tokens += std::max(0.0, static_cast<double>(entry_.state->waiting_tokens()) - entry_.toldWaiting);
    }
    return readingMs(tokens);
}

double WaitForecast::loadMs() const
{
    if (fresh() && entry_.state->load_ms() != 0) {
        return entry_.state->load_ms();
    }
    return learned().loadMs > 0 ? learned().loadMs : guessedLoadMs;
}

bool WaitForecast::hasCopy() const
{
    return query_.policy->has(Mechanism::Copies) && entry_.loadsFast(name_);
}

double WaitForecast::copyMs() const
{
    const bool told = fresh() && entry_.state->copy_ms() != 0;
    return told ? entry_.state->copy_ms() : copyShare * loadMs();
}

// Adapters for calls that can meet their objective are loaded first, so that only those count for such a call.
std::uint32_t WaitForecast::ahead() const
{
    const bool first = query_.inTime && query_.policy->has(Mechanism::InTimeFirst);
    return first ? entry_.state->loads_in_time() : entry_.state->loads_ahead();
}

double WaitForecast::aheadMs(double loadTime) const
{
    const auto told = entry_.state->loads_at_once();
    return loadTime * ahead() / (told != 0 ? told : engineLoadsAtOnce);
}

double WaitForecast::adapterMs() const
{
    return (hasCopy() ? copyMs() : loadMs()) + aheadMs(loadMs());
}

// Not part of the choice between engines: all of them load from the same store.
double WaitForecast::storeDelayMs(Presence presence) const
{
    const bool counts = presence == Presence::Absent && !name_.second.empty() && fresh();
    if (!counts || !query_.policy->has(Mechanism::StoreForecast)) {
        return 0;
    }
    const double recent = recentLoadMs();
    return std::max(0.0, recent + aheadMs(recent) - adapterMs());
}

// A restarted engine is empty and its model is ordered at once: only the remaining load time counts. Prevents
// refusals of calls that could be served shortly.
double WaitForecast::modelMs() const
{
    if (entry_.hasModel(name_.first, now_)) {
        return 0;
    }
    double whole = milliseconds(query_.modelReload);
    if (fresh() && entry_.state->model_ms() != 0) {
        whole = entry_.state->model_ms();
    }
    if (whole <= 0) {
        return guessedModelLoadMs;
    }
    const double passed = entry_.emptySince ? milliseconds(now_ - *entry_.emptySince) : 0;
    return std::max(whole - passed, whole / 4);
}

double WaitForecast::runMs() const
{
    return query_.policy->has(Mechanism::LearnedRuns) ? learned().runMs.mean() : 0;
}

// Time until a slot is free for one more adapter, after those already awaited. When all slots have running calls,
// callers wait for a slot and not for the load.
double WaitForecast::slotMs() const
{
    if (!query_.policy->has(Mechanism::SlotQueue)) {
        return 0;
    }
    const bool awaited = entry_.awaits(name_, now_);
    const auto wanted = ahead() + (awaited ? 0 : 1);
    const auto missing = wanted > entry_.state->room() ? wanted - entry_.state->room() : 0;
    return missing * runMs() / std::max<std::uint32_t>(1, entry_.state->slots());
}

double WaitForecast::presenceMs(Presence presence) const
{
    if (presence == Presence::Resident) {
        return 0;
    }
    if (!fresh()) {
        return entry_.stateExpected(now_) ? loadMs() : noSidecarMs;
    }
    double ms = modelMs();
    if (name_.second.empty()) {
        return ms;
    }
    if (presence == Presence::Loading) {
        return ms + loadMs() / 2; // half of it is left on average
    }
    // An older version with running calls is replaced only after they end.
    return ms + adapterMs() + slotMs() + (entry_.heldByRuns(name_, now_) ? runMs() : 0);
}

bool WaitForecast::loadsMeasured() const
{
    return learned().loadMs > 0;
}

double WaitForecast::recentLoadMs() const
{
    return entry_.state->recent_load_ms();
}

double WaitForecast::certainPresenceMs(Presence presence) const
{
    if (presence == Presence::Resident || !fresh()) {
        return 0;
    }
    const bool declared = query_.modelReload > Duration(0) || entry_.state->model_ms() != 0;
    if (!loadsMeasured()) {
        return declared ? modelMs() : 0;
    }
    return presenceMs(presence) + storeDelayMs(presence);
}

double WaitForecast::certainRestMs(Presence presence) const
{
    if (presence != Presence::Absent || !fresh() || !loadsMeasured()) {
        return 0;
    }
    const double load = std::max(loadMs(), recentLoadMs());
    return modelMs() + (name_.second.empty() ? 0 : aheadMs(load) / 2);
}

} // namespace anvilscale

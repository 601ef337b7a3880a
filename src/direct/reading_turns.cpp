// Turns of a contended engine: calls that wait for the permission of its sidecar before they are sent.
#include "direct_calls_impl.h"

#include <algorithm>

namespace anvilscale {

namespace {

// A sidecar answers within milliseconds, so that its answer or the request is lost after this time.
constexpr Duration turnAnswerTimeout = Milliseconds(100);
// Tolerated wait beyond twice the expected one.
constexpr Duration turnSlack = Milliseconds(100);
// Bounds an expected wait as received; callers leave long before.
constexpr Duration maxTurnWait = Seconds(60);
// Time without requests to a sidecar that has not answered one. Otherwise every call would wait for the time-out while
// states arrive but requests do not.
constexpr Duration turnAvoidanceTime = Seconds(2);
// Maximum number of engines at which one call asks for a turn. Prevents calls from moving between queues.
constexpr std::uint32_t maxTurnRequests = 2;

Duration expectedWait(const wire::ReadingAnswer &answer)
{
    const auto most = static_cast<std::uint64_t>(maxTurnWait.count());
    return Duration(static_cast<Duration::rep>(std::min(answer.wait_us(), most)));
}

} // namespace

bool DirectCalls::Impl::needsTurn(const DirectCall &call, const EndpointEntry &entry, TimePoint now)
{
    const bool mayAsk = init.policy.has(Mechanism::ReadingTurns) && call.isEngine && call.reading.number == 0
                        && call.turnRequests < maxTurnRequests;
    if (!mayAsk || !entry.hasFreshState(now) || entry.state->reading_budget() == 0 || now < entry.turnsAvoidedUntil
        || entry.isSidecarSilent(endpoints.lastReceivedAt())) {
        return false;
    }
    const auto query = buildQuery(call, now);
    const auto queued = std::max(entry.turnTokens, static_cast<double>(entry.state->reading_queued()));
    const double backlog = WaitForecast(entry, query, now).backlogTokens() + queued;
    return backlog > 0 && backlog + call.unreadTokens > static_cast<double>(entry.state->reading_budget());
}

void DirectCalls::Impl::requestTurn(CallHandle handle, DirectCall &call, EndpointEntry &entry, TimePoint now)
{
    call.step = CallStep::Turn;
    call.stepStartedAt = now;
    ++call.turnRequests;
    ++stats.turnRequests;
    addReadingRequest(handle, call, entry, now);
    call.reading.giveUpAt = now + turnAnswerTimeout;
    entry.awaitingTurn.insert(handle);
    entry.turnTokens += call.unreadTokens;
    // The sidecar must not evict the adapter meanwhile.
    entry.hasDemandChanged = true;
    entry.hasUnsentRun = entry.hasUnsentRun || entry.runningByAdapter.count(call.adapterName()) == 0;
    sendDemand(entry, now);
}

void DirectCalls::Impl::stopAwaitingTurn(CallHandle handle, DirectCall &call, TimePoint now)
{
    auto *entry = findEndpoint(call);
    if (entry != nullptr && entry->awaitingTurn.erase(handle) != 0) {
        entry->turnTokens = std::max(0.0, entry->turnTokens - call.unreadTokens);
        entry->hasDemandChanged = true;
    }
    call.turnWait += now - call.stepStartedAt;
    call.step = CallStep::Waiting;
}

bool DirectCalls::Impl::isAcceptedThere(const DirectCall &call, TimePoint now)
{
    const auto *entry = findEndpoint(call);
    const auto name = call.adapterName();
    return entry != nullptr && !entry->isLeaving(now) && !entry->isPaused(now)
           && (!call.isEngine || entry->presence(name, publishedVersion(name), now) == Presence::Resident);
}

void DirectCalls::Impl::sendAfterTurn(CallHandle handle, DirectCall &call, TimePoint now)
{
    stopAwaitingTurn(handle, call, now);
    if (stopIfQuarantined(handle, call, now)) {
        return;
    }
    if (isAcceptedThere(call, now)) {
        requestSend(handle, call, now);
    } else {
        routeCall(handle, call, now);
    }
}

void DirectCalls::Impl::leaveTurnQueue(CallHandle handle, DirectCall &call, Duration wait, TimePoint now)
{
    ++stats.turnRefusals;
    const auto *entry = findEndpoint(call);
    const auto firstByte = wait + (entry == nullptr ? Duration(0) : ownReadingTime(call, *entry, now));
    stopAwaitingTurn(handle, call, now);
    call.excludedIds.insert(call.endpointId);
    if (call.turnRequests < maxTurnRequests && chooseEndpoint(endpoints, buildQuery(call, now), now)) {
        routeCall(handle, call, now);
        return;
    }
    refuseUnreachable(handle, call, firstByte, now);
}

Duration DirectCalls::Impl::ownReadingTime(const DirectCall &call, const EndpointEntry &entry, TimePoint now)
{
    const auto query = buildQuery(call, now);
    return fromMilliseconds(WaitForecast(entry, query, now).speed().idleEngineMs(call.unreadTokens));
}

void DirectCalls::Impl::onTurnQueued(CallHandle handle, DirectCall &call, Duration wait, TimePoint now)
{
    // The sidecar sends a new forecast when other calls have passed this one. The first byte limit bounds the wait.
    call.reading.isQueued = true;
    call.reading.giveUpAt = std::min(now + 2 * wait + turnSlack, call.firstByteBy);
    const auto *entry = findEndpoint(call);
    if (entry == nullptr || !init.policy.has(Mechanism::EarlyRefusal)) {
        return;
    }
    const bool isMeasured = EngineSpeed(*entry, estimates[call.service].reading, init.policy).isMeasured();
    if (isMeasured && now + wait + ownReadingTime(call, *entry, now) > call.firstByteBy) {
        leaveTurnQueue(handle, call, wait, now);
    }
}

void DirectCalls::onReadingAnswer(const std::string &address, const wire::ReadingAnswer &answer, TimePoint now)
{
    auto &impl = *impl_;
    const auto found = impl.readings.find(answer.call());
    if (found == impl.readings.end()) {
        if (answer.result() == wire::READING_GRANTED) {
            impl.withdrawReading(address, answer.call());
        }
        return;
    }
    const auto handle = found->second;
    auto &call = impl.calls.at(handle);
    if (call.step != CallStep::Turn || call.reading.address != address) {
        return; // a duplicate, or late: the call was sent without a turn and reported as sent
    }
    switch (answer.result()) {
    case wire::READING_QUEUED:
        impl.onTurnQueued(handle, call, expectedWait(answer), now);
        return;
    case wire::READING_GRANTED:
        ++impl.stats.turnGrants;
        call.reading.isGranted = true;
        impl.sendAfterTurn(handle, call, now);
        return;
    case wire::READING_REFUSED:
        impl.forgetReading(call);
        impl.leaveTurnQueue(handle, call, expectedWait(answer), now);
        return;
    default:
        return;
    }
}

// The VM of a silent sidecar may have stopped: its engine would read the call after its caller has left.
bool DirectCalls::Impl::hasBetterEngine(const DirectCall &call, TimePoint now)
{
    const auto choice = chooseEndpoint(endpoints, buildQuery(call, now), now);
    return choice && choice->endpointId != call.endpointId;
}

void DirectCalls::Impl::checkTurns(TimePoint now)
{
    std::vector<CallHandle> isDue;
    for (const auto &[handle, call] : calls) {
        if (call.step != CallStep::Turn) {
            continue;
        }
        const auto *entry = findEndpoint(call);
        const bool isSilent = entry != nullptr && entry->isSidecarSilent(endpoints.lastReceivedAt());
        if (now >= call.reading.giveUpAt || isSilent) {
            isDue.push_back(handle);
        }
    }
    for (const auto handle : isDue) {
        auto &call = calls.at(handle);
        auto *entry = findEndpoint(call);
        if (entry != nullptr && !call.reading.isQueued) {
            entry->turnsAvoidedUntil = now + turnAvoidanceTime;
        }
        ++stats.turnTimeouts;
        if (now >= call.firstByteBy && init.policy.has(Mechanism::EarlyRefusal)) {
            stopAwaitingTurn(handle, call, now);
            refuseUnreachable(handle, call, now - call.arrivedAt, now);
            continue;
        }
        if (entry != nullptr && entry->isSidecarSilent(endpoints.lastReceivedAt()) && hasBetterEngine(call, now)) {
            stopAwaitingTurn(handle, call, now);
            routeCall(handle, call, now);
            continue;
        }
        sendAfterTurn(handle, call, now);
    }
    for (auto &[address, pending] : pendingReadings) {
        pending.isUrgent = true; // the tick sends what could wait
    }
}

} // namespace anvilscale

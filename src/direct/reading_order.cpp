// Reading turns: order of the waiting requests, forecasts, grants and refusals.
#include "reading_queue.h"

#include <algorithm>

namespace anvilscale {

namespace {

// A request that has waited for this part of its limit goes before those in time and those of a higher priority, so
// that none waits until its caller leaves. Such requests get at most half of the work that has to wait: under lasting
// overload all calls with time would pass the urgent ones.
constexpr int starvationDivisor = 2;
constexpr int starvingWorkFactor = 2; // time of a starving request's work, as the others get the other half
// Growth of the expected wait from which the entry receives the new one: it sends the call without a turn after twice
// the expected wait.
constexpr Duration minWaitGrowth = Milliseconds(50);

/// When a request goes before all others.
TimePoint starvesAt(TimePoint arrivedAt, TimePoint limitAt)
{
    return arrivedAt + (limitAt - arrivedAt) / starvationDivisor;
}

} // namespace

bool ReadingQueue::Impl::fits(const Request &request) const
{
    return budget == 0 || livePrompts == 0 || prefillTokens + request.tokens <= budget;
}

bool ReadingQueue::Impl::isStarving(const Request &request, std::uint64_t lowestShare, TimePoint now) const
{
    return starvesAt(request.arrivedAt, request.limitAt) <= now && shares.given(request.workspace) <= lowestShare;
}

// The shares of workspaces are simulated: each request is ranked by what its workspace will have been given before its
// turn, so that one pass gives the whole order.
std::vector<ReadingQueue::Impl::Rank> ReadingQueue::Impl::rankWaiting(TimePoint now) const
{
    const auto engineFreeAt = now + prefillTime(prefillTokens) - timeReadSinceProgress(now);
    const auto lowestShare = shares.lowestWaiting();
    std::vector<Rank> ranks;
    ranks.reserve(waitingRequests.size());
    for (const auto &[key, waiting] : waitingRequests) {
        const auto &request = waiting.request;
        if (isStarving(request, lowestShare, now)) {
            ranks.push_back({false, false, 0, 0, starvesAt(request.arrivedAt, request.limitAt), key});
            continue;
        }
        const auto startBy = request.objectiveAt - prefillTime(request.tokens);
        ranks.push_back({true, engineFreeAt > startBy, request.priority, 0, startBy, key});
    }
    std::sort(ranks.begin(), ranks.end());
    std::map<std::string, std::uint64_t> given;
    for (auto &rank : ranks) {
        const auto &request = waitingRequests.at(rank.key).request;
        auto &tokens = given.try_emplace(request.workspace, shares.given(request.workspace)).first->second;
        rank.given = tokens;
        tokens += request.tokens;
    }
    std::sort(ranks.begin(), ranks.end());
    return ranks;
}

std::vector<ReadingQueue::Impl::Turn> ReadingQueue::Impl::orderOfTurns(TimePoint now)
{
    const auto ranks = rankWaiting(now);
    const auto firstRegular = std::find_if(ranks.begin(), ranks.end(), [](const Rank &rank) { return rank.isRegular; });
    auto starving = ranks.begin();
    auto regular = firstRegular;
    if (starving == firstRegular || regular == ranks.end()) {
        starvingLead = 0;
    }
    std::vector<Turn> order;
    order.reserve(ranks.size());
    auto lead = starvingLead;
    while (order.size() < ranks.size()) {
        const bool takesStarving = regular == ranks.end() || (starving != firstRegular && lead <= 0);
        const auto waiting = waitingRequests.find((takesStarving ? starving++ : regular++)->key);
        const auto tokens = static_cast<std::int64_t>(waiting->second.request.tokens);
        lead += takesStarving ? tokens : -tokens;
        order.push_back({waiting, takesStarving});
    }
    return order;
}

void ReadingQueue::Impl::updateTurns(TimePoint now)
{
    updateBudget(now);
    const auto order = orderOfTurns(now);
    const auto read = timeReadSinceProgress(now);
    const auto engineFreeAt = now + prefillTime(prefillTokens) - read;
    auto cumulative = cumulativePrefill(); // continued by the waiting requests in their order
    bool isBlocked = false; // none passes a request that does not fit
    for (const auto &turn : order) {
        const auto waiting = turn.waiting;
        const auto &request = waiting->second.request;
        const auto tokens = request.tokens;
        const auto before = cumulative.empty() ? 0 : cumulative.back();
        const auto startsIn = std::max<Duration>(Duration(0), prefillTime(before) - read);
        isBlocked = isBlocked || !fits(request);
        if (budget != 0 && now + startsIn > request.limitAt
            && startAsStarving(request, engineFreeAt) > request.limitAt) {
            refuse(waiting, startsIn, now);
            continue;
        }
        if (isBlocked) {
            const auto wait = prefillTime(workUntilTurn(request, cumulative)) - read;
            answerWait(waiting->second, waiting->first, std::max<Duration>(wait, Duration(0)), now);
        } else {
            grant(turn, now);
        }
        cumulative.push_back(before + tokens);
    }
    updateDueAt(now);
}

// A request may start sooner than by the order as one that has waited for long, after those that have waited even
// longer.
TimePoint ReadingQueue::Impl::startAsStarving(const Request &request, TimePoint engineFreeAt) const
{
    const auto starves = starvesAt(request.arrivedAt, request.limitAt);
    std::uint64_t longerWaiting = 0;
    for (const auto &[key, other] : waitingRequests) {
        const auto otherStarves = starvesAt(other.request.arrivedAt, other.request.limitAt);
        longerWaiting += otherStarves < starves ? other.request.tokens : 0;
    }
    return std::max(engineFreeAt, starves) + starvingWorkFactor * prefillTime(longerWaiting);
}

// Work in prefill decreases by whole prompts.
std::uint64_t ReadingQueue::Impl::workUntilTurn(const Request &request,
                                                const std::vector<std::uint64_t> &cumulative) const
{
    const auto total = cumulative.empty() ? 0 : cumulative.back();
    if (total + request.tokens <= budget) {
        return 0; // only its place in the order makes it wait
    }
    const auto end = std::lower_bound(cumulative.begin(), cumulative.end(), total + request.tokens - budget);
    return end == cumulative.end() ? total : *end;
}

void ReadingQueue::Impl::answerWait(Waiting &waiting, const Key &key, Duration wait, TimePoint now)
{
    // A request that is overdue without more work ahead gets no new answer: its entry sends the call when it has waited
    // for too long, which is right if the engine has stalled.
    const auto known = std::max<Duration>(waiting.expectedBy - now, Duration(0));
    if (waiting.isAnswered && wait <= known + minWaitGrowth) {
        return;
    }
    stats.queued += waiting.isAnswered ? 0 : 1;
    waiting.isAnswered = true;
    waiting.expectedBy = now + wait;
    addAnswer(key, wire::READING_QUEUED, wait);
}

void ReadingQueue::Impl::grant(const Turn &turn, TimePoint now)
{
    const auto key = turn.waiting->first;
    const auto request = turn.waiting->second.request;
    const auto tokens = static_cast<std::int64_t>(request.tokens);
    starvingLead += turn.isStarving ? tokens : -tokens;
    shares.charge(request.workspace, request.tokens);
    stopWaiting(turn.waiting, now);
    startPrefill(key, request, now);
    ++stats.granted;
    addAnswer(key, wire::READING_GRANTED, Duration(0));
}

void ReadingQueue::Impl::refuse(WaitingMap::iterator waiting, Duration wait, TimePoint now)
{
    ++stats.refused;
    addAnswer(waiting->first, wire::READING_REFUSED, wait);
    stopWaiting(waiting, now);
}

void ReadingQueue::Impl::stopWaiting(WaitingMap::iterator waiting, TimePoint now)
{
    queuedTokens -= waiting->second.request.tokens;
    shares.onStoppedWaiting(waiting->second.request.workspace, now);
    waitingRequests.erase(waiting);
}

void ReadingQueue::Impl::addAnswer(const Key &key, wire::ReadingResult result, Duration wait)
{
    wire::ReadingAnswer answer;
    answer.set_call(key.second);
    answer.set_result(result);
    answer.set_wait_us(static_cast<std::uint64_t>(std::max<Duration>(wait, Duration(0)).count()));
    answers.emplace_back(key.first, std::move(answer));
}

} // namespace anvilscale

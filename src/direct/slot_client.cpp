// Requests for slots of plain endpoints.
#include "slot_client.h"

#include "sidecar_selection.h"

#include <algorithm>

namespace anvilscale {

namespace {

// An entry has a few calls per second: their rate is known to some 20 % after two lifetimes.
constexpr Duration rateLifetime = Seconds(5);
// Demand, as a share of the declared slots, from which calls wait behind each other by chance, and below which they
// hardly do.
constexpr double contendedDemand = 0.3;
constexpr double uncontendedDemand = 0.2;
// Longer than most pauses of a VM. Also the time after which a sidecar of an older release gets the next request.
constexpr Duration avoidanceTime = Seconds(10);
// If so many sidecars do not answer, they are of an older release or this entry is cut off: stops asking.
constexpr std::size_t maxAvoided = 3;
// An entry or a sidecar whose processor is busy answers later than usual by some milliseconds.
constexpr Duration answerSlack = Milliseconds(20);
constexpr double maxAnswerMs = 100;
constexpr double answerWeight = 0.1; // of the newest answer
// A check that runs later than this shows a pause of this process: answers may have arrived meanwhile.
constexpr Duration maxCheckDelay = Milliseconds(10);

} // namespace

bool SlotClient::recordCall(const std::string &service, double callsPerSecond, std::uint32_t entries, TimePoint now)
{
    auto &demand = demands_.try_emplace(service, Demand{DecayedCount(rateLifetime)}).first->second;
    demand.calls.add(1, now);
    if (callsPerSecond <= 0 || entries == 0) {
        demand.isContended = false;
        return false;
    }
    const double share = demand.calls.perSecond(now) * entries / callsPerSecond;
    demand.isContended = share >= (demand.isContended ? uncontendedDemand : contendedDemand);
    return demand.isContended;
}

bool SlotClient::isContended(const std::string &service) const
{
    const auto found = demands_.find(service);
    return found != demands_.end() && found->second.isContended;
}

std::size_t SlotClient::contendedServices() const
{
    return static_cast<std::size_t>(
        std::count_if(demands_.begin(), demands_.end(), [](const auto &item) { return item.second.isContended; }));
}

std::string SlotClient::sidecarOf(const std::string &service, const EndpointTable &endpoints, TimePoint now)
{
    std::erase_if(avoided_, [now](const auto &item) { return item.second <= now; });
    if (avoided_.size() >= maxAvoided) {
        return {};
    }
    const auto acceptsAny = [](const EndpointEntry &) { return true; };
    // All entries listen to the sidecars that hold pools, also those that listen to different engines.
    const auto seed = poolSelectionSeed(allowanceGroup(service));
    return selectSidecar(endpoints, seed, avoided_, now, acceptsAny);
}

Duration SlotClient::answerTimeout() const
{
    return answerSlack + fromMilliseconds(2 * answerMs_);
}

std::uint64_t SlotClient::addRequest(CallHandle call, const std::string &address, Duration maxWait, TimePoint now)
{
    requests_[++lastNumber_] = SlotRequest{call, address, now, maxWait, now + answerTimeout()};
    return lastNumber_;
}

void SlotClient::cancel(std::uint64_t number)
{
    requests_.erase(number);
}

std::optional<SlotRequest> SlotClient::onAnswer(const std::string &address, const wire::SlotAnswer &answer,
                                                TimePoint now)
{
    auto &known = requests_.count(answer.call()) != 0 ? requests_ : overdue_;
    const auto found = known.find(answer.call());
    if (found == known.end() || found->second.address != address) {
        return std::nullopt;
    }
    auto &request = found->second;
    if (!request.isQueued) {
        // Late answers count too, so that the time-out suits a slow connection.
        const double elapsed = std::min(maxAnswerMs, milliseconds(now - request.sentAt));
        answerMs_ += answerWeight * (elapsed - answerMs_);
    }
    if (&known == &overdue_) {
        overdue_.erase(found);
        return std::nullopt;
    }
    if (!answer.queued()) {
        return std::move(requests_.extract(found).mapped());
    }
    request.isQueued = true;
    request.answerBy = now + request.maxWait + answerTimeout();
    return request;
}

std::vector<std::pair<std::uint64_t, SlotRequest>> SlotClient::takeOverdue(TimePoint now)
{
    std::erase_if(overdue_, [now](const auto &item) { return now - item.second.sentAt >= avoidanceTime; });
    std::vector<std::pair<std::uint64_t, SlotRequest>> result;
    for (auto it = requests_.begin(); it != requests_.end();) {
        auto &request = it->second;
        if (now < request.answerBy) {
            ++it;
            continue;
        }
        if (now - request.answerBy > maxCheckDelay && !std::exchange(request.isExtended, true)) {
            request.answerBy = now + answerTimeout();
            ++it;
            continue;
        }
        avoided_[request.address] = now + avoidanceTime;
        overdue_[it->first] = request;
        result.emplace_back(it->first, std::move(request));
        it = requests_.erase(it);
    }
    return result;
}

std::vector<SlotRequest> SlotClient::takeLost(const std::string &address)
{
    std::vector<SlotRequest> result;
    for (auto it = requests_.begin(); it != requests_.end();) {
        if (it->second.address != address) {
            ++it;
            continue;
        }
        result.push_back(std::move(it->second));
        it = requests_.erase(it);
    }
    return result;
}

std::optional<TimePoint> SlotClient::nextCheckAt() const
{
    std::optional<TimePoint> soonest;
    for (const auto &[number, request] : requests_) {
        soonest = soonest ? std::min(*soonest, request.answerBy) : request.answerBy;
    }
    return soonest;
}

} // namespace anvilscale

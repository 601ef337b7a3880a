// Origins of streams at an entry.
#include "origin_client.h"

#include "sidecar_selection.h"
#include "wire_units.h"

namespace anvilscale {

namespace {

// Sidecars that keep the origin of a stream: one may be lost, or its report.
constexpr std::size_t copies = 2;
// Sidecars that a lookup asks, in steps of `copies`. The further ones have the origin if the selection has changed.
constexpr std::size_t maxAsked = 2 * copies;
// A sidecar whose processor is busy answers within some tens of milliseconds.
constexpr Duration answerTime = Milliseconds(100);
// A check that runs later than this shows a pause of this process: answers may have arrived meanwhile.
constexpr Duration maxCheckDelay = Milliseconds(10);
constexpr Duration selectionInterval = Milliseconds(200);
constexpr Duration sweepInterval = Seconds(1);

bool keepsOrigins(const EndpointEntry &entry)
{
    return entry.state->keeps_origins();
}

} // namespace

void OriginClient::add(const std::string &key, const StreamOrigin &origin, TimePoint validUntil)
{
    if (key.size() > maxOriginIdBytes) {
        return;
    }
    const auto [item, isNew] = streams_.try_emplace(key, OwnStream{origin, validUntil, {}});
    auto &stream = item->second;
    if (isStreamContentKey(key)) {
        const bool isExtended = !isNew && validUntil > stream.validUntil;
        const bool differs = stream.origin != origin && !stream.origin.isAmbiguous();
        stream.validUntil = std::max(stream.validUntil, validUntil);
        stream.origin = differs ? StreamOrigin{} : stream.origin;
        if (isExtended || differs) {
            stream.reportedTo.clear();
            unreported_.push_back(key);
        }
    }
    if (isNew) {
        unreported_.push_back(key);
    }
}

const StreamOrigin *OriginClient::find(const std::string &requestId, TimePoint now) const
{
    const auto found = streams_.find(requestId);
    return found == streams_.end() || found->second.validUntil <= now ? nullptr : &found->second.origin;
}

void OriginClient::lookUp(CallHandle call, const std::string &key, const EndpointTable &endpoints, TimePoint now)
{
    const auto number = ++lastNumber_;
    auto &lookup = lookups_[number];
    lookup.call = call;
    lookup.key = key;
    if (const auto *own = find(key, now); own != nullptr && isStreamContentKey(key)) {
        lookup.known = *own;
    }
    selectCandidates(lookup, endpoints, now);
    if (lookup.candidates.empty()) {
        // After a pause of this process the states of all sidecars are out of date, and their next ones arrive soon.
        lookup.answerBy = now + answerTime;
        return;
    }
    proceed(number, now);
}

void OriginClient::selectCandidates(Lookup &lookup, const EndpointTable &endpoints, TimePoint now)
{
    const auto seed = poolSelectionSeed(allowanceGroup(lookup.key));
    const auto candidates = selectSidecars(endpoints, seed, {}, now, maxAsked, keepsOrigins);
    lookup.candidates.assign(candidates.begin(), candidates.end());
}

void OriginClient::proceed(std::uint64_t number, TimePoint now)
{
    auto &lookup = lookups_.at(number);
    if (lookup.candidates.empty()) {
        // A sidecar that did not answer may know another stream of the same content.
        const bool isProven = lookup.known && !lookup.known->isAmbiguous() && lookup.asked != 0 && !lookup.hasTimedOut;
        finish(number, isProven ? lookup.known : std::nullopt);
        return;
    }
    askNext(number, lookup, now);
}

void OriginClient::askNext(std::uint64_t number, Lookup &lookup, TimePoint now)
{
    for (std::size_t i = 0; i < copies && !lookup.candidates.empty(); ++i) {
        const auto address = lookup.candidates.front();
        lookup.candidates.pop_front();
        lookup.unanswered.insert(address);
        ++lookup.asked;
        wire::OriginAsk ask;
        ask.set_lookup(number);
        ask.set_request(lookup.key);
        asks_.push_back({address, std::move(ask)});
    }
    lookup.answerBy = now + answerTime;
    lookup.isExtended = false;
}

void OriginClient::finish(std::uint64_t number, std::optional<StreamOrigin> origin)
{
    const auto node = lookups_.extract(number);
    const auto &lookup = node.mapped();
    OriginResult result;
    result.call = lookup.call;
    result.origin = std::move(origin);
    result.isAnswered = lookup.asked != 0 && lookup.unanswered.empty() && !lookup.hasTimedOut;
    results_.push_back(std::move(result));
}

void OriginClient::onAnswer(const std::string &address, const wire::OriginAnswer &answer, TimePoint now)
{
    const auto found = lookups_.find(answer.lookup());
    if (found == lookups_.end() || found->second.unanswered.erase(address) == 0) {
        return;
    }
    const bool isContent = isStreamContentKey(found->second.key);
    if (answer.known() && isContent) {
        addKnown(found->second, {answer.service(), answer.software_version()});
    }
    if (answer.known() && !isContent) {
        finish(answer.lookup(), StreamOrigin{answer.service(), answer.software_version()});
    } else if (found->second.unanswered.empty()) {
        proceed(answer.lookup(), now);
    }
}

void OriginClient::addKnown(Lookup &lookup, const StreamOrigin &origin)
{
    const bool differs = lookup.known && *lookup.known != origin;
    lookup.known = differs ? StreamOrigin{} : origin;
}

void OriginClient::onSidecarLost(const std::string &address, TimePoint now)
{
    for (auto &[requestId, stream] : streams_) {
        stream.reportedTo.erase(address);
    }
    hasHoldersChanged_ = true;
    std::vector<std::uint64_t> ended;
    for (auto &[number, lookup] : lookups_) {
        if (lookup.unanswered.erase(address) != 0) {
            lookup.hasTimedOut = true;
            if (lookup.unanswered.empty()) {
                ended.push_back(number);
            }
        }
    }
    for (const auto number : ended) {
        proceed(number, now);
    }
}

void OriginClient::checkAnswers(const EndpointTable &endpoints, TimePoint now)
{
    std::vector<std::uint64_t> overdue;
    for (auto &[number, lookup] : lookups_) {
        if (now < lookup.answerBy) {
            continue;
        }
        if (now - lookup.answerBy > maxCheckDelay && !std::exchange(lookup.isExtended, true)) {
            lookup.answerBy = now + answerTime;
            continue;
        }
        overdue.push_back(number);
    }
    for (const auto number : overdue) {
        auto &lookup = lookups_.at(number);
        if (lookup.asked == 0) {
            selectCandidates(lookup, endpoints, now);
            proceed(number, now);
            continue;
        }
        lookup.hasTimedOut = true;
        timeouts_ += lookup.unanswered.size();
        proceed(number, now);
    }
}

std::optional<TimePoint> OriginClient::nextCheckAt() const
{
    std::optional<TimePoint> soonest;
    for (const auto &[number, lookup] : lookups_) {
        soonest = soonest ? std::min(*soonest, lookup.answerBy) : lookup.answerBy;
    }
    return soonest;
}

std::vector<ReportOrigins> OriginClient::takeReports(const EndpointTable &endpoints, TimePoint now)
{
    removeExpired(now);
    if (streams_.empty()) {
        return {};
    }
    selectHolders(endpoints, now);
    std::map<std::string, wire::OriginReport> reports; // by address
    const auto report = [&](const std::string &requestId, OwnStream &stream) {
        for (const auto &address : holders_.at(allowanceGroup(requestId))) {
            if (!stream.reportedTo.insert(address).second) {
                continue;
            }
            auto &item = *reports[address].add_origins();
            item.set_request(requestId);
            item.set_service(stream.origin.service);
            item.set_software_version(stream.origin.softwareVersion);
            item.set_valid_us(toMicroseconds(stream.validUntil - now));
        }
    };
    const auto added = std::exchange(unreported_, {});
    if (std::exchange(hasHoldersChanged_, false)) {
        for (auto &[requestId, stream] : streams_) {
            report(requestId, stream);
        }
    } else {
        for (const auto &requestId : added) {
            if (const auto found = streams_.find(requestId); found != streams_.end()) {
                report(requestId, found->second);
            }
        }
    }
    std::vector<ReportOrigins> result;
    result.reserve(reports.size());
    for (auto &[address, message] : reports) {
        result.push_back({address, std::move(message)});
    }
    return result;
}

void OriginClient::selectHolders(const EndpointTable &endpoints, TimePoint now)
{
    if (now < nextSelectionAt_) {
        return;
    }
    nextSelectionAt_ = now + selectionInterval;
    for (std::uint32_t group = 0; group < allowanceGroups; ++group) {
        auto selected = selectSidecars(endpoints, poolSelectionSeed(group), {}, now, copies, keepsOrigins);
        if (selected != holders_.at(group)) {
            holders_.at(group) = std::move(selected);
            hasHoldersChanged_ = true;
        }
    }
}

void OriginClient::removeExpired(TimePoint now)
{
    if (now < nextSweepAt_) {
        return;
    }
    nextSweepAt_ = now + sweepInterval;
    std::erase_if(streams_, [now](const auto &item) { return item.second.validUntil <= now; });
}

std::vector<AskOrigin> OriginClient::takeAsks()
{
    return std::exchange(asks_, {});
}

std::vector<OriginResult> OriginClient::takeResults()
{
    return std::exchange(results_, {});
}

std::uint64_t OriginClient::timeouts() const
{
    return timeouts_;
}

} // namespace anvilscale

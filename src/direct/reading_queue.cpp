// Reading turns: reports of entries, the budget, and what depends on time.
#include "reading_queue.h"

#include <algorithm>
#include <bit>

namespace anvilscale {

namespace {

// Bounds the memory that one entry can use; far beyond what one engine serves. Further requests get their turn at once.
constexpr std::size_t maxTrackedPerEntry = 1024;
constexpr Duration maxReportDelay = Milliseconds(60); // of a prompt that was sent; entries run every 50 ms
// Objectives that differ by this factor make order at the engine worth a wait.
constexpr int minObjectiveRatio = 2;
// Interval at which waiting requests are checked against their limits.
constexpr Duration waitCheckInterval = Milliseconds(50);
constexpr Duration idleCheckInterval = Seconds(10);

} // namespace

ReadingQueue::ReadingQueue(DirectPolicy policy)
    : impl_(std::make_unique<Impl>())
{
    impl_->policy = policy;
}

ReadingQueue::~ReadingQueue() = default;

void ReadingQueue::applyPlan(const wire::EnginePlan &plan, TimePoint now)
{
    const StreamLimits limits{Duration(plan.shortest_objective_us()), Duration(plan.longest_objective_us()),
                              Duration(plan.shortest_pause_us())};
    if (limits.shortestObjective == Duration(0) || limits == impl_->limits) {
        return;
    }
    impl_->limits = limits;
    impl_->updateTurns(now);
}

void ReadingQueue::applyUpdate(PeerHandle peer, const wire::ReadingUpdate &update, TimePoint now)
{
    impl_->expirePrompts(now);
    // Ends go first, because they make room for the requests, unless they belong to a request of the same message.
    const auto isRequested = [&update](std::uint64_t call) {
        return std::any_of(update.requests().begin(), update.requests().end(),
                           [call](const auto &request) { return request.call() == call; });
    };
    const auto applyEnds = [&](bool requested) {
        for (const auto &end : update.ends()) {
            if (isRequested(end.call()) == requested) {
                impl_->applyEnd(peer, end, now);
            }
        }
    };
    applyEnds(false);
    for (const auto &request : update.requests()) {
        impl_->applyRequest(peer, request, now);
    }
    applyEnds(true);
    impl_->updateTurns(now);
}

bool ReadingQueue::Impl::isKnown(const Key &key) const
{
    return prompts.contains(key) || streams.contains(key) || waitingRequests.contains(key);
}

std::size_t ReadingQueue::Impl::countTracked(PeerHandle peer) const
{
    const auto countIn = [peer](const auto &calls) {
        const auto first = calls.lower_bound(Key{peer, 0});
        const auto last = calls.lower_bound(Key{PeerHandle{peer.value + 1}, 0});
        return static_cast<std::size_t>(std::distance(first, last));
    };
    return countIn(prompts) + countIn(streams) + countIn(waitingRequests);
}

void ReadingQueue::Impl::applyRequest(PeerHandle peer, const wire::ReadingRequest &message, TimePoint now)
{
    const Key key{peer, message.call()};
    speed.setServiceSpeed(message.service_ns_per_token(), message.service_base_us());
    Request request;
    request.tokens = message.tokens();
    request.priority = message.priority();
    request.workspace = message.workspace();
    request.pause = Duration(message.pause_us());
    request.arrivedAt = now;
    request.objectiveAt = now + Duration(message.slack_us());
    request.limitAt = now + Duration(message.limit_us());
    if (!isKnown(key) && countTracked(peer) >= maxTrackedPerEntry) {
        ++stats.untracked;
        if (!message.sent()) {
            addAnswer(key, wire::READING_GRANTED, Duration(0));
        }
        return;
    }
    if (message.sent()) {
        onSent(key, request, now);
    } else {
        onTurnRequested(key, request);
    }
}

void ReadingQueue::Impl::onSent(const Key &key, const Request &request, TimePoint now)
{
    if (streams.contains(key)) {
        return;
    }
    if (const auto waiting = waitingRequests.find(key); waiting != waitingRequests.end()) {
        stopWaiting(waiting, now); // the entry has waited for too long
    }
    const auto known = prompts.find(key);
    if (known == prompts.end()) {
        ++stats.sentWithoutTurn;
        shares.charge(request.workspace, request.tokens);
        startPrefill(key, request, now);
        return;
    }
    // It has had its turn, or is reported again.
    const bool wasAlone = known->second.isAlone;
    stopPrefill(key, now);
    startPrefill(key, request, now);
    prompts.at(key).isAlone = wasAlone && prompts.size() == 1;
}

void ReadingQueue::Impl::onTurnRequested(const Key &key, const Request &request)
{
    if (prompts.contains(key)) {
        addAnswer(key, wire::READING_GRANTED, Duration(0));
        return;
    }
    if (const auto waiting = waitingRequests.find(key); waiting != waitingRequests.end()) {
        waiting->second.isAnswered = false; // the answer may be lost
        return;
    }
    if (streams.contains(key)) {
        return;
    }
    shares.onWaiting(request.workspace);
    queuedTokens += request.tokens;
    waitingRequests.emplace(key, Waiting{request, {}, false});
}

// An unknown call has expired, or began before a restart of the sidecar.
void ReadingQueue::Impl::applyEnd(PeerHandle peer, const wire::ReadingEnd &end, TimePoint now)
{
    const Key key{peer, end.call()};
    if (const auto waiting = waitingRequests.find(key); waiting != waitingRequests.end()) {
        stopWaiting(waiting, now);
        return;
    }
    if (end.stage() == wire::READING_READ) {
        onPromptRead(key, Duration(end.elapsed_us()), now);
        return;
    }
    stopPrefill(key, now);
    if (const auto stream = streams.find(key); stream != streams.end()) {
        pauses.onStreamEnded(stream->second.pause, Duration(end.longest_pause_us()), stream->second.isUndisturbed, now);
        streams.erase(stream);
    }
}

void ReadingQueue::Impl::onPromptRead(const Key &key, Duration elapsed, TimePoint now)
{
    const auto found = prompts.find(key);
    if (found == prompts.end()) {
        return;
    }
    const auto prompt = found->second;
    stopPrefill(key, now);
    // A prompt that was sent before it was reported, to a sidecar that has restarted, may not have been alone.
    const bool isWhollySeen = elapsed <= now - prompt.startedAt + maxReportDelay;
    if (prompt.isAlone && isWhollySeen && elapsed > Duration(0) && prompt.request.tokens != 0) {
        speed.add(prompt.request.tokens, elapsed);
        ++stats.speedSamples;
    }
    streams.emplace(key, Stream{prompt.request.pause, now, prompts.empty()});
}

void ReadingQueue::Impl::updateBudget(TimePoint now)
{
    budget = 0;
    if (!policy.has(Mechanism::ReadingTurns) || !speed.isKnown()) {
        return;
    }
    std::optional<Duration> limit;
    if (limits.shortestPause > Duration(0) && pauses.isContended(now)) {
        limit = pauses.prefillTime(limits.shortestPause);
    }
    const auto shortest = limits.shortestObjective;
    if (shortest > Duration(0) && limits.longestObjective >= minObjectiveRatio * shortest) {
        limit = std::min(limit.value_or(Duration::max()), shortest / 2);
    }
    if (limit) {
        budget = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(milliseconds(*limit) / speed.msPerToken()));
    }
}

void ReadingQueue::onPeerLost(PeerHandle peer, TimePoint now)
{
    auto &impl = *impl_;
    const auto isOfPeer = [peer](const auto &item) { return item.first.first == peer; };
    std::erase_if(impl.streams, isOfPeer);
    std::vector<Impl::Key> lost;
    for (const auto &[key, prompt] : impl.prompts) {
        if (key.first == peer) {
            lost.push_back(key);
        }
    }
    for (const auto &key : lost) {
        impl.stopPrefill(key, now);
    }
    for (auto waiting = impl.waitingRequests.begin(); waiting != impl.waitingRequests.end();) {
        const auto next = std::next(waiting);
        if (isOfPeer(*waiting)) {
            impl.stopWaiting(waiting, now);
        }
        waiting = next;
    }
    impl.updateTurns(now);
}

void ReadingQueue::onEngineRestarted(TimePoint now)
{
    auto &impl = *impl_;
    impl.streams.clear();
    impl.prompts.clear();
    impl.prefillTokens = 0;
    impl.livePrompts = 0;
    while (!impl.waitingRequests.empty()) {
        impl.stopWaiting(impl.waitingRequests.begin(), now);
    }
    impl.updateTurns(now);
}

void ReadingQueue::tick(TimePoint now)
{
    if (!impl_->dueAt || now < *impl_->dueAt) {
        return;
    }
    impl_->expirePrompts(now);
    impl_->updateTurns(now);
}

void ReadingQueue::Impl::updateDueAt(TimePoint now)
{
    dueAt = nextExpiry();
    if (!waitingRequests.empty()) {
        dueAt = std::min(dueAt.value_or(TimePoint::max()), now + waitCheckInterval);
    } else if (budget != 0 || !streams.empty() || shares.size() != 0) {
        // The budget may end to apply, a stream or a counter may expire.
        dueAt = std::min(dueAt.value_or(TimePoint::max()), now + idleCheckInterval);
    }
}

std::optional<TimePoint> ReadingQueue::nextDueAt() const
{
    return impl_->dueAt;
}

std::vector<std::pair<PeerHandle, wire::ReadingAnswer>> ReadingQueue::takeAnswers()
{
    return std::exchange(impl_->answers, {});
}

std::uint64_t ReadingQueue::budget() const
{
    return impl_->budget;
}

std::uint64_t ReadingQueue::queuedTokens() const
{
    return impl_->queuedTokens;
}

std::uint64_t ReadingQueue::prefillTokens() const
{
    return impl_->prefillTokens;
}

double ReadingQueue::msPerToken() const
{
    return impl_->speed.isKnown() ? impl_->speed.msPerToken() : 0;
}

double ReadingQueue::shareBeyondPause() const
{
    return impl_->pauses.shareBeyondLimit();
}

void ReadingQueue::addTo(wire::DirectState &state) const
{
    state.set_reading_budget(impl_->budget);
    state.set_reading_queued(impl_->queuedTokens);
    state.set_streams(std::bit_floor(static_cast<std::uint32_t>(impl_->streams.size())));
    if (impl_->policy.has(Mechanism::EngineSpeeds)) {
        state.set_read_ns_per_token(impl_->speed.reportedNsPerToken());
        state.set_read_base_us(impl_->speed.reportedBaseUs());
    }
}

const ReadingQueueStats &ReadingQueue::stats() const
{
    return impl_->stats;
}

} // namespace anvilscale

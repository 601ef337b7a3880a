// Internal state of the reading turns of one engine.
#pragma once

#include "measured_speed.h"
#include "stream_limits.h"
#include "stream_pauses.h"
#include "workspace_shares.h"

#include "anvilscale/direct.h"

namespace anvilscale {

struct ReadingQueue::Impl
{
    using Key = std::pair<PeerHandle, std::uint64_t>; // entry, its name of the call
    struct Request
    {
        std::uint64_t tokens = 0;
        std::uint32_t priority = 0;
        std::string workspace;
        Duration pause{}; // 0: no limit
        TimePoint arrivedAt{};
        TimePoint objectiveAt{}; // the first byte is in time until then
        TimePoint limitAt{}; // the caller leaves
    };
    struct Prompt
    {
        Request request;
        TimePoint startedAt{};
        TimePoint expiresAt{};
        bool isAlone = true; // no other prompt was in prefill since it was sent
        bool isExpired = false; // does not count as work any more; its end may still be reported
    };
    struct Stream
    {
        Duration pause{};
        TimePoint startedAt{};
        bool isUndisturbed = true; // no prompt was in prefill since its first byte
    };
    struct Waiting
    {
        Request request;
        TimePoint expectedBy{}; // its turn, as last sent to the entry
        bool isAnswered = false;
    };
    using WaitingMap = std::map<Key, Waiting>;
    /// Position of a request in the order of turns; compared member by member.
    struct Rank
    {
        bool isRegular = false; // not starving; starving requests are ranked among themselves
        bool isLate = false; // cannot meet its objective
        std::uint32_t priority = 0;
        std::uint64_t given = 0; // work given to its workspace when its turn comes
        TimePoint startBy{}; // latest start of its prefill that meets its objective; starving: when it began to starve
        Key key;
        auto operator<=>(const Rank &) const = default; // NOLINT(modernize-use-nullptr): not a pointer
    };
    struct Turn
    {
        WaitingMap::iterator waiting;
        bool isStarving = false;
    };

    // Reports and requests of entries.
    void applyRequest(PeerHandle peer, const wire::ReadingRequest &message, TimePoint now);
    void onSent(const Key &key, const Request &request, TimePoint now);
    void onTurnRequested(const Key &key, const Request &request);
    void applyEnd(PeerHandle peer, const wire::ReadingEnd &end, TimePoint now);
    void onPromptRead(const Key &key, Duration elapsed, TimePoint now);
    bool isKnown(const Key &key) const;
    std::size_t countTracked(PeerHandle peer) const;

    // Prompts in prefill.
    void startPrefill(const Key &key, const Request &request, TimePoint now);
    void stopPrefill(const Key &key, TimePoint now);
    void disturbOthers();
    void expirePrompts(TimePoint now);
    std::optional<TimePoint> nextExpiry() const;
    Duration prefillTime(std::uint64_t tokens) const;
    /// Part of the prefill time of the prompts that has passed already.
    Duration timeReadSinceProgress(TimePoint now) const;
    /// Work up to the end of each prompt in prefill, in the order in which the engine reads them.
    std::vector<std::uint64_t> cumulativePrefill() const;

    // Turns.
    void updateBudget(TimePoint now);
    /// Gives turns as far as the budget permits, refuses requests that cannot start in time, and answers new ones.
    void updateTurns(TimePoint now);
    bool fits(const Request &request) const;
    /// Waiting requests in the order in which they will get their turns.
    std::vector<Turn> orderOfTurns(TimePoint now);
    std::vector<Rank> rankWaiting(TimePoint now) const;
    /// Has waited for half of its limit, and its workspace has been given no more than any other.
    bool isStarving(const Request &request, std::uint64_t lowestShare, TimePoint now) const;
    void grant(const Turn &turn, TimePoint now);
    void refuse(WaitingMap::iterator waiting, Duration wait, TimePoint now);
    void answerWait(Waiting &waiting, const Key &key, Duration wait, TimePoint now);
    void stopWaiting(WaitingMap::iterator waiting, TimePoint now);
    /// Expected start of the prefill of a request that has to be refused if it keeps its place in the order.
    TimePoint startAsStarving(const Request &request, TimePoint engineFreeAt) const;
    /// Work that has to be read before the request fits into the budget; `cumulative`: work up to the end of each
    /// prompt that is read before it.
    std::uint64_t workUntilTurn(const Request &request, const std::vector<std::uint64_t> &cumulative) const;
    void addAnswer(const Key &key, wire::ReadingResult result, Duration wait);
    void updateDueAt(TimePoint now);

    DirectPolicy policy;
    StreamLimits limits; // of the engine's service; all 0 until a plan was received
    std::map<Key, Prompt> prompts; // in prefill
    std::map<Key, Stream> streams; // running
    WaitingMap waitingRequests;
    std::uint64_t prefillTokens = 0; // invariant: sum over the prompts that are not expired
    std::uint64_t queuedTokens = 0; // invariant: sum over the waiting requests
    std::size_t livePrompts = 0; // invariant: number of prompts that are not expired
    // Work given to starving requests beyond that given to the others while both wait.
    std::int64_t starvingLead = 0;
    std::uint64_t budget = 0;
    TimePoint progressAt{}; // the engine began or ended a prompt
    std::optional<TimePoint> dueAt;
    MeasuredSpeed speed;
    StreamPauses pauses;
    WorkspaceShares shares;
    ReadingQueueStats stats;
    std::vector<std::pair<PeerHandle, wire::ReadingAnswer>> answers;
};

} // namespace anvilscale

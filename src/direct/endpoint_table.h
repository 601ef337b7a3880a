// Endpoints as known to one entry: their records, the states from sidecars and the results of its own calls.
#pragma once

#include "anvilscale/direct.h"

#include <deque>

namespace anvilscale {

/// Model and adapter of a call; the adapter is empty for the model alone.
using AdapterName = std::pair<std::string, std::string>;

enum class Presence : std::uint8_t {
    Absent,
    Loading,
    Resident,
    Count
};

/// Effect of applying an endpoint's record.
enum class RecordEffect : std::uint8_t {
    None, ///< none on routing
    Changed, ///< the endpoint is new, or has started to leave
    Stale, ///< the record describes an earlier process
    Count
};

/// Whether this entry is connected to the sidecar of an engine.
enum class Listening : std::uint8_t {
    Apart, ///< not connected, gets no calls
    Finishing, ///< connected until its calls have ended, gets no new ones
    Visited, ///< connected for a while, for calls on adapters that no selected engine holds
    Selected,
    Count
};

/// Reading speed of an engine, as last reported by its sidecar.
struct ReportedSpeed
{
    std::uint32_t nsPerToken = 0; // 0: not measured
    std::uint32_t baseUs = 0;
};

/// A process as reported by a sidecar.
struct ReportedProcess
{
    std::uint64_t startTimeMs = 0;
    std::uint64_t sequence = 0; // of the state; 0 if not told
};

/// State of one process of an endpoint; reset when another process starts under the same id.
struct EndpointEntry
{
    EndpointRecord record;
    std::uint64_t recordedStartTimeMs = 0; // start of the process that its record describes; 0 if unknown
    std::uint64_t generation = 0; // unique for each process; counters of calls belong to one generation
    TimePoint connectingSince{}; // when it was first seen, or the connection to its sidecar was last opened
    // A later incarnation has the same address, and this record has not been removed yet.
    bool isSuperseded = false;
    Listening listening = Listening::Selected; // plain services have no sidecars and are always selected
    TimePoint visitedUntil{}; // end of the visit, unless it is visited again
    std::uint32_t inFlight = 0; // own calls
    std::uint32_t awaitingFirstByte = 0; // own calls without a first byte; invariant: at most inFlight
    double unreadTokens = 0; // prompt tokens that the engine probably has to read for them
    double slowness = 1; // smoothed ratio of measured to estimated time to the first byte
    TimePoint slownessUpdatedAt{};
    TimePoint silentSince{}; // last byte, or sending of the first unanswered call if that is later
    TimePoint avoidedUntil{};
    bool hasAnnouncedLeaving = false; // reported in its record or with an answer; not set by a removal of its record
    TimePoint pausedUntil{}; // accepts no calls of this entry until then
    std::optional<double> requestsPerSecond; // rate limit, over the calls of all entries together
    TimePoint deniedUntil{}; // no credit of this limit is expected before
    std::set<CallHandle> awaitingPermit; // own calls that wait for credit of this limit
    std::uint32_t consecutiveFailures = 0;
    double failureShare = 0; // decayed share of own calls that failed
    std::optional<wire::DirectState> state;
    TimePoint stateReceivedAt{};
    // A delta or heartbeat was based on another state than `state`: a message was lost. Until the next whole state.
    bool hasMissedState = false;
    ReportedSpeed speed; // outlasts the state and the process: a later one runs on the same VM
    TimePoint vanishedUntil{}; // the connection to its sidecar was lost after a silence: its VM has probably stopped
    std::optional<TimePoint> emptySince; // since when the engine holds no model, as reported by its sidecar
    double lastSentUnreadTokens = 0; // own unreadTokens as last sent to the sidecar
    double waitingTokens = 0; // prompt tokens of own calls that wait for an adapter here
    double lastSentWaitingTokens = 0; // own waitingTokens as last sent to the sidecar
    std::set<CallHandle> awaitingTurn; // own calls that wait for a reading turn here
    double turnTokens = 0; // prompt tokens of these calls
    TimePoint turnsAvoidedUntil{}; // its sidecar has not answered a request for a turn
    std::map<AdapterName, std::uint32_t> runningByAdapter; // own calls by adapter
    bool hasDemandChanged = true; // the demand may differ from the one last sent
    // A call was sent on, or waits for a turn with, an adapter that the last demand does not list as running.
    bool hasUnsentRun = false;
    std::map<AdapterName, std::uint32_t> startedByAdapter; // since the last demand
    std::set<CallHandle> waitingCalls; // own calls that wait for an adapter here
    std::map<AdapterName, std::uint32_t> waitingByAdapter; // the same by adapter
    // The process that its sidecar last reported over the present connection, on which no message overtakes another.
    std::optional<ReportedProcess> reportedProcess;
    // Latest record, if it names an earlier start: a late write of an earlier process, or a later one whose clock was
    // set back. The sidecar's next states tell.
    std::optional<EndpointRecord> undecidedRecord;
    std::deque<std::uint64_t> replacedStartsMs; // later start times of earlier processes, latest last
    // Adapters that the engine recently held, with the last time, and loads from its own memory.
    std::map<AdapterName, TimePoint> recentlyHeld;

    Presence presence(const AdapterName &name, std::uint32_t minVersion, TimePoint now) const;
    /// Version of a resident adapter; 0 if unknown.
    std::uint32_t heldVersion(const AdapterName &name, TimePoint now) const;
    /// True if calls already wait for this adapter here, so that it will be loaded anyway.
    bool isAwaiting(const AdapterName &name, TimePoint now) const;
    /// True if running calls hold an older version, which cannot be replaced before they end.
    bool isReplacementBlocked(const AdapterName &name, TimePoint now) const;
    /// Recent calls of the adapter here, as reported by the sidecar; 0 for few.
    std::uint32_t recentCalls(const AdapterName &name, TimePoint now) const;
    bool hasModel(const std::string &model, TimePoint now) const;
    bool hasFreshState(TimePoint now) const;
    /// True if the sidecar has missed its interval while other sidecars sent messages until `lastReceivedAt`: its VM
    /// has probably stopped. Compared with the last message of any sidecar and not with the clock, so that a paused
    /// entry does not take all connected sidecars for silent and send its calls to the others.
    bool isSidecarSilent(TimePoint lastReceivedAt) const;
    /// True if it has been silent for `span` after a message that was due.
    bool isSidecarSilentFor(Duration span, TimePoint lastReceivedAt) const;
    /// True if its sidecar reports that it cannot reach the engine; the record of a crashed engine lapses only later.
    bool isReportedUnreachable(TimePoint now) const;
    /// True if its record or its sidecar reports that it accepts no new calls.
    bool isLeaving(TimePoint now) const;
    /// True if it accepts no calls of this entry for a while, as it has reported or by its rate limit.
    bool isPaused(TimePoint now) const;
    TimePoint pauseEnd() const;
    /// True if the calls of all entries together are limited.
    bool isLimited() const;
    /// True if calls may be placed here, as far as the connection to the sidecar goes.
    bool acceptsPlacement(TimePoint now) const;
    /// True if its sidecar has not sent a state yet, but probably will soon.
    bool isStateExpected(TimePoint now) const;
    /// True if the engine probably still has a copy in its memory, so that it loads without the weight store.
    bool hasLocalCopy(const AdapterName &name) const;
    /// False after a restart, until a record of the new process has been applied: its software may be another one.
    bool isVersionKnown() const;
    /// True if the record describes a later process under the same id.
    bool isReplacedBy(const EndpointRecord &later) const;
    /// The same for a state. Start times are wall times: a later process may report an earlier one. Then it counts if
    /// its sidecar has reported the known process before, or if the latest record agrees.
    bool isReplacedBy(const wire::DirectState &reported) const;
    /// True if the state describes another process than the known one.
    bool isOfOtherProcess(const wire::DirectState &reported) const;
    /// Records which process the sidecar reports. Returns false for a state that was sent before the last one.
    bool recordReportedProcess(const wire::DirectState &reported);
    void applyState(const wire::DirectState &reported, TimePoint now);
    /// The state that the delta results in; empty if it is based on one that this entry does not have.
    std::optional<wire::DirectState> stateAfter(const wire::DirectDelta &delta);
    /// Sequence to report to the sidecar; 0 requests the whole state.
    std::uint64_t reportedSequence() const;
    /// Returns false if the heartbeat is based on a state that this entry does not have.
    bool applyHeartbeat(const wire::DirectHeartbeat &heartbeat, TimePoint now);
    /// The sidecar is disconnected: the engine gets no orders, so it keeps what it last held. `lastReceivedAt`: last
    /// message of any sidecar.
    void onSidecarLost(TimePoint lastReceivedAt);
    /// True if it has unanswered calls and has sent nothing for `span`.
    bool isSilentFor(Duration span, TimePoint now) const;
    /// Current ratio of measured to estimated reading time; at least 1.
    double currentSlowness(TimePoint now) const;
    void recordFirstByte(Duration elapsed, Duration estimated, TimePoint now);
    void recordByte(TimePoint now);
    void recordEnd(bool failed, TimePoint now);
};

class EndpointTable
{
public:
    /// Applies a record of the known process, or of one under a new id. A later process needs resetProcess first.
    RecordEffect applyRecord(const EndpointRecord &record, TimePoint now);
    /// Resets the entry for a new process under the same id.
    void resetProcess(EndpointEntry &entry, std::uint64_t startTimeMs, TimePoint now);
    /// The endpoint accepts no new calls, whatever its record says.
    void setLeaving(EndpointEntry &entry);
    /// Ignores the addresses of records whose service is not configured.
    void setServices(std::set<std::string> services);
    /// Returns nullptr if the id is unknown.
    EndpointEntry *find(const std::string &id);
    EndpointEntry *findByAddress(const std::string &address);
    /// Records the time of a message from any sidecar.
    void recordMessage(TimePoint now);
    TimePoint lastReceivedAt() const;
    /// An endpoint that was leaving still counts as leaving if its record reappears.
    void remove(const std::string &id, TimePoint now);
    std::map<std::string, EndpointEntry> &entries();
    const std::map<std::string, EndpointEntry> &entries() const;
    /// Increases when an endpoint is added, removed, replaced or moved, starts to leave, or when services change.
    std::uint64_t membershipRevision() const;
    /// Number of records examined so far to find those that a later incarnation hides.
    std::uint64_t examinedRecords() const;

private:
    struct LeaverRemoval
    {
        std::uint64_t startTimeMs = 0;
        TimePoint removedAt;
    };

    bool wasRemovedLeaving(const EndpointRecord &record, TimePoint now) const;
    bool hasConfiguredService(const EndpointEntry &entry) const;
    void markSuperseded(const std::string &address);
    void inheritSpeed(EndpointEntry &entry);
    void keepSpeed(const EndpointEntry &entry);
    void addAddress(const std::string &address, const std::string &id);
    void removeAddress(const std::string &address, const std::string &id);

    std::map<std::string, EndpointEntry> byId_;
    // Invariant: lists each id of byId_ under the address of its record, and nothing else.
    std::unordered_map<std::string, std::set<std::string>> idsByAddress_;
    std::uint64_t membershipRevision_ = 0;
    std::uint64_t examinedRecords_ = 0;
    std::optional<std::set<std::string>> services_; // empty without a configuration
    std::map<std::string, LeaverRemoval> removedLeavers_; // endpoints that were removed while leaving, by id
    std::map<std::string, ReportedSpeed> keptSpeeds_; // of removed engines, by address
    std::uint64_t lastGeneration_ = 0;
    TimePoint lastReceivedAt_{};
};

} // namespace anvilscale

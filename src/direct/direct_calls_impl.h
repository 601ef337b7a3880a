// Internal state of the calls of one entry.
#pragma once

#include "crash_watch.h"
#include "endpoint_choice.h"
#include "endpoint_table.h"
#include "origin_client.h"
#include "pause_watch.h"
#include "pool_client.h"
#include "reading_turns.h"
#include "request_quarantine.h"
#include "retry_allowance.h"
#include "slot_client.h"
#include "store_confirmations.h"
#include "version_history.h"
#include "wait_forecast.h"

namespace anvilscale {

constexpr std::uint32_t statusUnauthorized = 401;
constexpr std::uint32_t statusNotFound = 404;
constexpr std::uint32_t statusUnavailable = 503;
// Sent if no better value is known: a crashed endpoint is replaced or avoided within about this time.
constexpr Duration defaultRetryAfter = Milliseconds(500);

enum class CallStep : std::uint8_t {
    Admission, ///< waits for credit of its workspace
    Origin, ///< waits for sidecars to tell where the stream began that it resumes
    Confirmation, ///< waits for a read of the store that was sent after its arrival
    Slot, ///< waits for a sidecar to select a plain endpoint with a free slot
    Permit, ///< waits for credit of its endpoint, which limits the calls of all entries
    Turn, ///< waits for the permission of its engine's sidecar, with its adapter resident
    Waiting, ///< for its adapter at `endpointId`
    Sent,
    Count
};

/// What a call does after a confirmation of the store.
enum class ConfirmedStep : std::uint8_t {
    Assume, ///< goes on at the only version that can have begun its stream
    Continue, ///< looks the service of its known origin up in the routes again
    Route, ///< looks for an endpoint of its version again
    Count
};

struct DirectCall
{
    CallInfo info;
    std::vector<PartFingerprint> parts; // shared ones, in prompt order
    std::string workspace; // empty if unknown
    Allowance allowance; // of the workspace, when the call was charged
    double allowanceCost = 0; // charged to the workspace; 0 if it is not limited
    TimePoint creditUntil{}; // a call that is not run gives its credit back until then
    Duration allowanceWait{};
    std::string service;
    bool isEngine = false;
    RepeatRule repeat = RepeatRule::NonIdempotent;
    bool isResumable = false;
    std::optional<StreamOrigin> origin; // of the stream that it resumes; empty for a new call
    OriginSource originSource = OriginSource::None;
    Duration originWait{};
    bool hasAllOriginAnswers = false; // all sidecars that were asked for the origin have answered
    std::optional<StreamOrigin> unroutedOrigin; // of a service that its route does not name, as far as is known
    ConfirmedStep confirmedStep = ConfirmedStep::Assume;
    Duration confirmationWait{};
    Duration confirmationAge = Milliseconds(-1); // when it was used; negative without a confirmation
    std::uint32_t priority = 0;
    std::uint32_t maxEndpoints = 1;
    Duration objective{};
    Duration pauseLimit{}; // of its stream; 0: none
    TimePoint arrivedAt;
    TimePoint deadline; // of the caller
    TimePoint firstByteBy; // when the caller abandons a call without a first byte; never after the deadline
    TimePoint cutOffAt; // end of the route's timeout; never after the deadline
    CallStep step = CallStep::Waiting;
    TimePoint stepStartedAt;
    std::string endpointId;
    std::uint64_t endpointGeneration = 0; // generation of the EndpointEntry that counts the call
    std::uint64_t endpointStartTimeMs = 0; // start of that process; 0 if unknown
    std::string softwareVersion; // of the endpoint that it was last sent to
    double uncachedTokens = 0; // prompt tokens that are probably not cached by the endpoint
    double unreadTokens = 0; // the same as work: long prompts count for more
    double tokensAhead = 0; // tokens that the endpoint reads before this call, at sending
    bool wasOnlyCall = false; // no other call of this entry was at the endpoint, at sending
    TimePoint nextCheckAt{}; // next check of a waiting call's deadline
    TimePoint reevaluateAt{}; // a waiting call is placed again if its adapter is not loaded by then
    std::uint32_t attempt = 0;
    std::uint64_t lastCrash = 0; // that this entry knew when it sent the current attempt, see PartQuarantine
    std::set<std::string> excludedIds; // ids that the call must not go to again
    std::uint32_t executionCount = 0; // number of endpoints that have run it or may have
    bool hasFirstByte = false; // the current attempt has received its first byte
    TimePoint firstByteAt{}; // of the current attempt, if it has one
    std::uint32_t version = 0; // requested by the current attempt
    Duration estimate{}; // of the last choice
    Duration readingTime{}; // part of the estimate that the engine spends reading prompts
    Duration stateAge{}; // age of the chosen endpoint's state
    Duration storeAge{}; // time since the store's last answer, at the last choice
    Duration adapterWait{};
    Duration permitWait{};
    ReadingAttempt reading; // the current attempt, as reported to the engine's sidecar
    std::uint32_t turnRequests = 0;
    Duration turnWait{};
    std::uint64_t slotNumber = 0; // of the request for a slot, or of the slot that the call has; 0: none
    std::string slotAddress; // of the endpoint beside the sidecar that holds the slots
    std::uint32_t slotRequests = 0;
    bool choosesAlone = false; // requests no more slots
    Duration slotWait{};
    std::optional<Duration> firstByte;
    Duration longestPause{}; // longest interval between parts of its answer
    AnswerFraming framing = AnswerFraming::None; // of its last answer
    bool isTruncated = false; // its last answer ended inside an event
    EventIdFinding eventIds = EventIdFinding::None; // of its stream
    std::optional<std::uint64_t> lastEvent; // of its stream

    /// The store has been read since its arrival.
    bool isConfirmed() const
    {
        return confirmationAge >= Duration(0);
    }
    AdapterName adapterName() const
    {
        return {info.model, info.adapter};
    }
    /// True if the first byte could meet the objective with the adapter loaded now.
    bool canMeetObjective(TimePoint now) const
    {
        return now + readingTime <= arrivedAt + objective;
    }
    /// True if a second run has no side effects. A resumable stream may be restarted while its caller has received
    /// nothing of it.
    bool isRepeatable() const
    {
        return repeat == RepeatRule::Idempotent || (repeat == RepeatRule::Stream && isResumable);
    }
};

struct SentDemand
{
    std::string serialized; // as sent, to detect changes
    TimePoint sentAt{};
    std::uint64_t planVersion = 0;
};

struct DirectCalls::Impl
{
    explicit Impl(DirectCallsInit settings);

    DirectCallsInit init;
    std::optional<DirectConfig> config;
    TimePoint configuredAt{}; // when the first configuration was applied
    RouteTable routes;
    WorkspaceTable workspaces;
    std::optional<PoolClient> workspaceCredit;
    bool hasLimitedWorkspaces = false;
    SlotClient slots;
    OriginClient origins;
    StoreConfirmations confirmations;
    VersionHistory versionHistory;
    // Last change of the services that serve the paths of a route, by host and prefix; of the last maxStreamAge.
    std::map<std::pair<std::string, std::string>, TimePoint> routeMovedAt;
    std::set<std::string> resumableServices; // with streams that may be resumed, by the configuration
    std::uint32_t knownEntries = 0; // number of entries, as reported by sidecars; 0 if unknown
    std::optional<PoolClient> endpointCredit; // for calls to endpoints that have announced a rate limit
    bool hasLimitedEndpoints = false; // some endpoint had a limit when the groups of endpointCredit were set
    EndpointTable endpoints;
    std::optional<std::uint64_t> selectedRevision; // membership for which the listened engines were selected
    std::uint64_t selectedConfig = 0; // version of the configuration for which they were selected
    bool listensToAll = true;
    std::set<std::string> selectedAddresses;
    TimePoint nextReleaseAt = TimePoint::max(); // when engines that are visited or finish calls are checked again
    bool hasListeningChanged = false; // since the last takeListenedEngines()
    std::map<AdapterName, std::uint32_t> publishedVersions; // latest version published by the operator
    std::map<CallHandle, DirectCall> calls;
    std::map<std::string, RetryAllowance> retryAllowances; // by service
    std::map<std::string, ServiceEstimates> estimates; // by service
    std::map<std::string, StreamLimits> streamLimits; // by service
    double maxRetryBalance = RetryAllowance::defaultMaxBalance; // upper bound on the saved retries of each service
    std::map<std::string, SentDemand> sentDemands; // by address
    std::map<std::string, std::uint64_t> callsByModel; // calls by model, selects the model for an empty engine
    std::uint64_t lastReading = 0; // number of the last attempt that was reported to a sidecar
    std::unordered_map<std::uint64_t, CallHandle> readings; // calls by ReadingAttempt::number
    std::map<std::string, PendingReadings> pendingReadings; // by address
    std::vector<DirectAction> actions;
    std::vector<EndedCall> endedCalls;
    std::vector<FailedAttempt> failedAttempts;
    RequestQuarantine quarantine;
    PartQuarantine crashingParts;
    CrashWatch crashWatch;
    std::vector<CrashReport>
        crashReports; // of crashes that crashWatch has confirmed, since the last takeCrashReports()
    DirectCallsStats stats;
    TimePoint storeAnsweredAt{};
    PauseWatch pauses;
    std::map<std::string, TimePoint> avoidedWatchAddresses; // addresses, and until when each is avoided
    std::optional<TimePoint> callsEndAt; // when the process ends all calls, once it drains
    TimePoint refusesUnmeasuredFrom = TimePoint::max(); // calls to services without measured runs, once it drains

    /// Returns the capacity of an engine of the service; nullptr for a plain or unknown service.
    const EngineLimits *findEngine(const std::string &service) const;
    /// Selects the engines to listen to, if they or the configuration have changed, and ends visits.
    void updateListening(TimePoint now);
    void selectEngines();
    void applySelection(TimePoint now);
    /// Connects to the engine where all entries load the adapter of the call, unless an engine that this entry listens
    /// to holds the adapter.
    void visitHome(const DirectCall &call, TimePoint now);
    void extendVisit(EndpointEntry &entry, TimePoint now);
    std::uint32_t publishedVersion(const AdapterName &name) const;
    ChoiceQuery buildQuery(const DirectCall &call, TimePoint now);
    std::uint32_t computeRank(const DirectCall &call, TimePoint now);
    /// Number of engines whose own reading speed is used in place of their service's.
    std::uint64_t countOwnSpeeds() const;
    /// Time since the call was sent to its endpoint. Empty if this process may have stood still meanwhile.
    std::optional<Duration> attemptTime(const DirectCall &call, TimePoint now) const;
    void recordFirstByte(const DirectCall &call, EndpointEntry &entry, TimePoint now);
    void recordRun(const DirectCall &call, TimePoint now);
    void updateRetryShare(TimePoint now);
    void applyWorkspaces(TimePoint now);
    /// Decides again on calls that wait for credit, where the configuration has changed what they wait for.
    void recheckPendingCharges(TimePoint now);
    /// Finds the workspace of the call; returns the reason for a refusal if its key does not admit it.
    RefusalReason identifyCaller(DirectCall &call, const DirectRoute &route);
    /// Starts the call, refuses it, or keeps it until its credit is known.
    void chargeCall(CallHandle handle, DirectCall &call, TimePoint now);
    void refuseCharge(CallHandle handle, RefusalReason reason, Duration retryAfter, TimePoint now);
    /// Performs the decisions on calls that waited for credit, and sends requests for credit.
    void updateAllowances(TimePoint now);
    /// Returns the credit of a call that ends without having run.
    void releaseCredit(CallHandle handle, const DirectCall &call, EndedOutcome outcome, TimePoint now);
    WorkspaceStats *countersOf(const std::string &workspace);
    /// Sets what the route decides about the call.
    void applyRoute(DirectCall &call, const DirectRoute &route) const;
    void startCall(CallHandle handle, DirectCall &call, TimePoint now);
    /// Finds out where the stream began that the call resumes, before it begins.
    void resumeCall(CallHandle handle, DirectCall &call, TimePoint now);
    /// Performs the results of lookups, and sends requests of further ones.
    void resolveOrigins(TimePoint now);
    void checkOriginAnswers(TimePoint now);
    /// Turns reports of origins that are due into actions.
    void flushOrigins(TimePoint now);
    void updateResumableServices();
    /// The only software version that can have begun the stream, as far as the store has been read.
    std::optional<std::string> soleVersion(const DirectCall &call, TimePoint now) const;
    void recordMovedRoutes(const std::vector<DirectRoute> &routesBefore, const RouteTable &tableBefore, TimePoint now);
    bool hasMovedLately(const DirectRoute &route, TimePoint now) const;
    bool mayOriginBeKnownLater(const DirectCall &call) const;
    /// Makes the call wait for a confirmation of the store before its next step.
    void confirmStore(CallHandle handle, DirectCall &call, ConfirmedStep next, TimePoint now);
    void startConfirmation(TimePoint now);
    void resumeConfirmed(CallHandle handle, DirectCall &call, TimePoint now);
    /// The store could not be confirmed: refuses the call as one that may be tried again.
    void refuseUnconfirmed(CallHandle handle, DirectCall &call, TimePoint now);
    /// Goes on at the only software version that can have begun the stream, or refuses the call.
    void assumeOrigin(CallHandle handle, DirectCall &call, TimePoint now);
    /// `mayBeKnownLater`: tells the caller to try again.
    void refuseUnknownOrigin(CallHandle handle, bool mayBeKnownLater, TimePoint now);
    /// True if the process that wrote the stream is still the one that the attempt was sent to, and its version was
    /// known then.
    bool isCertain(const StreamOrigin &origin);
    void continueStream(CallHandle handle, DirectCall &call, const StreamOrigin &origin, TimePoint now);
    /// True for a resumed stream that no endpoint can continue.
    bool isVersionGone(const DirectCall &call, TimePoint now) const;
    /// False if the process is expected to end before a call that is sent after `wait`.
    bool canEndInTime(const DirectCall &call, Duration wait, TimePoint now);
    /// Refuses a call that cannot end in time; returns false for any other.
    bool stopIfUnending(CallHandle handle, DirectCall &call, Duration wait, TimePoint now);
    /// Refuses the calls that are at no endpoint and cannot end in time.
    void refuseUnendingCalls(TimePoint now);
    void beginCall(CallHandle handle, DirectCall &call, TimePoint now);
    void routeCall(CallHandle handle, DirectCall &call, TimePoint now);
    /// The sidecar at this address has sent a whole state, or a delta that results in it.
    void applyState(const std::string &address, const wire::DirectState &state, TimePoint now);
    void rerouteWaiting(EndpointEntry &entry, TimePoint now);
    void dropEndpoint(EndpointEntry &entry, TimePoint now);
    void rerouteCalls(const std::set<CallHandle> &waiting, TimePoint now);
    RecordEffect applyRecord(const EndpointRecord &record, TimePoint now);
    void onRestarted(EndpointEntry &entry, std::uint64_t startTimeMs, TimePoint now);
    void onReportedRestart(EndpointEntry &entry, std::uint64_t startTimeMs, TimePoint now);
    /// The entry of the process that the call was placed at; nullptr if that process has terminated.
    EndpointEntry *findEndpoint(const DirectCall &call);
    /// True if the request or a part of its prompt is under quarantine.
    bool isQuarantined(const DirectCall &call, TimePoint now) const;
    /// Refuses a call whose request or prompt is under quarantine; returns false for any other.
    bool stopIfQuarantined(CallHandle handle, DirectCall &call, TimePoint now);
    static CalledProcess calledProcess(const DirectCall &call);
    /// An endpoint has begun an answer, which may clear parts of the prompt.
    void watchAnswer(CallHandle handle, const DirectCall &call, TimePoint now);
    /// An endpoint has broken the call off and may have crashed.
    void recordBreak(const DirectCall &call, TimePoint now);
    /// Performs what has become known of endpoints that may have crashed.
    void judgeCrashes(TimePoint now);
    void placeCall(CallHandle handle, DirectCall &call, const Choice &choice, TimePoint now);
    /// Refuses a call whose first byte would come after its caller has left.
    void refuseUnreachable(CallHandle handle, DirectCall &call, Duration firstByte, TimePoint now);
    /// Sends the call. Asks for a turn first if its engine is contended, and for credit if its endpoint has announced a
    /// rate limit.
    void requestSend(CallHandle handle, DirectCall &call, TimePoint now);
    void sendCall(CallHandle handle, DirectCall &call, TimePoint now);
    /// Sets or ends the rate limit of an endpoint; returns false if it is the same as before.
    bool setLimit(EndpointEntry &entry, std::optional<double> requestsPerSecond, TimePoint now);
    /// Reports the rate limit of the endpoint to the other entries.
    void reportLimit(const EndpointEntry &entry);
    /// Takes part in the pools of the endpoints that are limited now.
    void updateLimitedGroups();
    /// Performs the decisions on calls that waited for a permit, and sends requests for credit.
    void updatePermits(TimePoint now);
    void tickPermits(TimePoint now);
    void onPermitDecided(const AllowanceDecision &decision, TimePoint now);
    /// Avoids the endpoint for `retryAfter` and places the call again.
    void denyPermit(CallHandle handle, DirectCall &call, Duration retryAfter, TimePoint now);
    void stopAwaitingPermit(CallHandle handle, DirectCall &call, TimePoint now);
    bool needsTurn(const DirectCall &call, const EndpointEntry &entry, TimePoint now);
    void requestTurn(CallHandle handle, DirectCall &call, EndpointEntry &entry, TimePoint now);
    void stopAwaitingTurn(CallHandle handle, DirectCall &call, TimePoint now);
    /// True if the endpoint of the call still takes calls and holds its adapter.
    bool isAcceptedThere(const DirectCall &call, TimePoint now);
    /// The turn was granted, or is not waited for any more.
    void sendAfterTurn(CallHandle handle, DirectCall &call, TimePoint now);
    /// The turn would come too late: places the call at another engine or refuses it.
    void leaveTurnQueue(CallHandle handle, DirectCall &call, Duration wait, TimePoint now);
    void onTurnQueued(CallHandle handle, DirectCall &call, Duration wait, TimePoint now);
    /// Time for reading the prompt of the call at an idle engine.
    Duration ownReadingTime(const DirectCall &call, const EndpointEntry &entry, TimePoint now);
    /// True if the call would be placed at another engine now.
    bool hasBetterEngine(const DirectCall &call, TimePoint now);
    /// Sends calls whose turn does not come in time, and marks pending reports as due.
    void checkTurns(TimePoint now);
    bool reportsReadings(const DirectCall &call, const EndpointEntry &entry) const;
    /// The pending reports to the sidecar at this address; nullptr if it is not connected.
    wire::ReadingUpdate *readingsTo(const std::string &address, bool isUrgent);
    /// True if calls of any entry may wait for a turn there.
    bool mayHaveReadingQueue(const std::string &address);
    void addReadingRequest(CallHandle handle, DirectCall &call, const EndpointEntry &entry, TimePoint now);
    void reportSent(CallHandle handle, DirectCall &call, const EndpointEntry &entry, TimePoint now);
    void reportFirstByte(const DirectCall &call, TimePoint now);
    ReadingAttempt forgetReading(DirectCall &call);
    /// Reports the end of the attempt to the sidecar, if it was reported before.
    void endReading(DirectCall &call);
    void withdrawReading(const std::string &address, std::uint64_t number);
    void reportRunningPrompts(const EndpointEntry &entry, TimePoint now);
    /// Turns urgent reports into actions, one message for each sidecar.
    void flushReadings();
    void addStreamLimits(const std::string &service, wire::EnginePlan &plan) const;
    /// Calls per second of all entries that the endpoints of a plain service can process; 0 if unknown.
    double plainCapacity(const std::string &service, TimePoint now);
    /// Requests a slot for a call to a contended plain service; returns false for any other.
    bool requestSlot(CallHandle handle, DirectCall &call, TimePoint now);
    wire::SlotAsk buildSlotAsk(const DirectCall &call, const std::vector<PlainOption> &options, TimePoint now);
    /// Time for which the call may wait for a slot.
    Duration maxSlotWait(const DirectCall &call, TimePoint now);
    void onSlotGranted(CallHandle handle, DirectCall &call, const std::string &endpointId, TimePoint now);
    /// Places the call without a slot.
    void chooseAlone(CallHandle handle, DirectCall &call, TimePoint now);
    void checkSlotAnswers(TimePoint now);
    void stopAwaitingSlot(DirectCall &call, TimePoint now);
    void returnSlot(DirectCall &call, wire::SlotReturn message);
    /// Returns the slot of a call that was not sent with it.
    void returnUnusedSlot(DirectCall &call);
    /// Returns the slot of a call whose attempt has ended.
    void returnUsedSlot(DirectCall &call, const AttemptResult &result, TimePoint now);
    /// Returns the slot of a call that ends while it is waiting or running.
    void releaseSlot(DirectCall &call, EndedOutcome outcome);
    void onSlotSidecarLost(const std::string &address, TimePoint now);
    void waitForAdapter(CallHandle handle, DirectCall &call, TimePoint now);
    static void stopWaiting(EndpointEntry &entry, CallHandle handle, DirectCall &call, TimePoint now);
    void detachFromEndpoint(CallHandle handle, DirectCall &call, bool failed, TimePoint now);
    void refuse(CallHandle handle, std::uint32_t status, RefusalReason reason, Duration retryAfter, TimePoint now);
    /// True if an endpoint of the service would accept calls but for its rate limit.
    bool isServiceLimited(const std::string &service, TimePoint now) const;
    /// Time until an endpoint of the service may accept calls again.
    Duration timeUntilAvailable(const std::string &service, TimePoint now) const;
    /// Removes the call and records its outcome.
    void finishCall(CallHandle handle, EndedOutcome outcome, std::string_view reason, std::uint32_t status,
                    TimePoint now);
    /// Reports an error that holds for all attempts so far.
    void refuseOrAbandon(CallHandle handle, DirectCall &call, RefusalReason reason, Duration retryAfter, TimePoint now);
    void abandon(CallHandle handle, FailureReason reason, TimePoint now);
    bool mayRetry(const DirectCall &call, TimePoint now);
    void retryOrRefuse(CallHandle handle, DirectCall &call, RetryReason why, RefusalReason otherwise, TimePoint now);
    void onRefused(CallHandle handle, DirectCall &call, EndpointRefusal refusal, TimePoint now);
    void sendReadyCalls(const std::string &endpointId, TimePoint now);
    void checkDeadlines(TimePoint now);
    void leaveStoppedEngines(TimePoint now);
    /// Sends the call to another engine if that answers in time; otherwise it stays where it is.
    void moveCall(CallHandle handle, DirectCall &call, TimePoint now);
    void checkWaitingCalls(TimePoint now);
    bool missesFirstByteLimit(const DirectCall &call, TimePoint now);
    void sendDemands(TimePoint now);
    void sendDemand(EndpointEntry &entry, TimePoint now);
    wire::DirectDemand buildDemand(const EndpointEntry &entry, TimePoint now) const;
    wire::EnginePlan buildPlan(const std::string &service) const;
    std::string mostUsedModel(const std::string &service) const;
};

} // namespace anvilscale

// Direct library: decisions of the direct path, where an entry sends calls to endpoints itself and a sidecar only
// orders loads into its engine. No I/O, threads or clocks: time and events are passed in, actions are returned.
#pragma once

#include "wire.pb.h"

#include "anvilscale/base.h"
#include "anvilscale/workspace.h"

#include <bitset>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace anvilscale {

// ---- configuration and endpoint records

/// Whether a call with an unknown outcome may be sent again.
enum class RepeatRule : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Stream, ///< an event stream; repeated only if the route allows resuming it
    Count
};
template<>
struct EnumNames<RepeatRule>
{
    static constexpr std::array<std::string_view, enumCount<RepeatRule>> table{"idempotent", "non_idempotent",
                                                                               "stream"};
};

/// One of the services that share the calls of a route.
struct ServiceShare
{
    std::string service;
    std::uint32_t weight = 1; ///< relative to the other shares
};

struct DirectRoute
{
    std::string name;
    std::string host;
    std::string prefix; ///< path prefix; starts and ends with a slash
    RepeatRule repeat = RepeatRule::NonIdempotent;
    bool resumable = false;
    Duration timeout{}; ///< upper bound on a call's duration, set by the operator
    Duration objective{}; ///< time to the whole answer, or to the first event of a stream
    Duration pauseLimit{}; ///< longest pause between two events of a stream that is in time; 0: no limit
    Duration firstByteLimit{}; ///< callers abandon a stream without a first event by then; 0: at their deadline
    std::uint32_t priority = 0; ///< 0 is the most urgent; a workspace's own priority replaces it
    bool isPublic = false; ///< callers need no key
    std::uint32_t maxEndpoints = 1; ///< maximum number of endpoints that one call is sent to
    std::vector<ServiceShare> services; ///< never empty
};

struct EngineModelSize
{
    std::string name;
    double weightsMb = 0;
    double adapterMb = 0;
    /// Time to load the model from the engine's own disk after a restart; 0 if unknown.
    Duration reload{};
};

/// Capacity of an engine of a service.
struct EngineLimits
{
    std::uint32_t adapterSlots = 0;
    double weightsMb = 0; ///< limit for models and adapters together
    std::vector<EngineModelSize> models;
};

struct DirectService
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< limit per endpoint, over all callers
    std::optional<EngineLimits> engine; ///< empty for a plain service
};

/// Bounds on caller requests.
struct CallerLimits
{
    std::uint32_t headBytes = 16U << 10;
    std::uint64_t bodyBytes = 4U << 20;
    Duration headTimeout = Seconds(10);
    Duration idleTimeout = Seconds(60);
};

struct DirectConfig
{
    std::uint64_t version = 0;
    std::vector<DirectRoute> routes;
    std::vector<DirectService> services;
    /// Empty if callers have no keys. An empty list admits no caller to a route that is not public.
    std::optional<std::vector<Workspace>> workspaces;
    CallerLimits limits;

    const DirectService *service(std::string_view name) const;
    /// Returns nullptr if no engine of the service is declared to hold the model.
    const EngineModelSize *model(std::string_view serviceName, std::string_view modelName) const;
};

struct HeldAdapter
{
    std::string model;
    std::string adapter;
    std::uint32_t version = 0;
    auto operator<=>(const HeldAdapter &) const = default; // NOLINT(modernize-use-nullptr): not a pointer
};

/// An endpoint as declared in the platform's store.
struct EndpointRecord
{
    std::string id; ///< may be reused by a later incarnation
    std::string service;
    std::string address; ///< "IP:PORT"
    std::string dataCentre;
    std::uint32_t slots = 0; ///< number of calls it processes concurrently
    std::string softwareVersion; ///< of the endpoint's program; not of its models and adapters
    bool leaving = false;
    std::uint64_t startTimeMs = 0; ///< process start in Unix milliseconds, distinguishes incarnations; 0 if unknown
    std::uint64_t era = 0; ///< era of the store in which this record was read
    std::uint64_t createRevision = 0; ///< increases with each record created in the store, within an era
    std::uint64_t revision = 0; ///< store revision of the last change of the record
    std::vector<std::string> models;
    std::vector<HeldAdapter> adapters;
    bool operator==(const EndpointRecord &) const = default;
};

/// A new version of an adapter, published by the operator.
struct PublishedVersion
{
    std::string model;
    std::string adapter;
    std::uint32_t version = 0;
};

/// A software version that endpoints of a service run or have run lately. Written and removed by entries.
struct SoftwareVersionRecord
{
    std::string key; ///< name of the record in the store
    std::string service;
    std::string softwareVersion;
    std::uint64_t revision = 0; ///< store revision of its last change
    bool isRemoved = false; ///< only `key` is set
};

/// A change that an entry makes to these records. May be repeated.
struct SoftwareVersionWrite
{
    enum class Kind : std::uint8_t {
        Record,
        Remove, ///< if the record has not changed since `revision`
        Count
    };
    Kind kind = Kind::Record;
    std::string key; ///< of the record to remove
    std::string service;
    std::string softwareVersion;
    std::uint64_t revision = 0;
};

/// Removal of an endpoint's record from the store.
struct EndpointRemoved
{
    std::string id;
    bool unreadable = false; ///< a record exists, but is not one of an endpoint
    Duration withheldFor{}; ///< time since the removal was seen; removals are withheld in case the record reappears
    std::uint64_t revision = 0; ///< store revision of the removal; 0 if unknown
};
std::string fingerprintText(std::uint64_t value);
std::optional<std::uint64_t> readFingerprint(std::string_view text);

/// Hash by which entries, logs and records identify something that callers send. `Content` tells kinds apart.
template<class Content>
struct Fingerprint
{
    std::uint64_t value = 0;
    auto operator<=>(const Fingerprint &) const = default; // NOLINT(modernize-use-nullptr): not a pointer

    /// 16 hexadecimal digits, as in logs.
    std::string text() const
    {
        return fingerprintText(value);
    }
    /// Parses the text form; empty for any other text.
    static std::optional<Fingerprint> read(std::string_view text)
    {
        const auto value = readFingerprint(text);
        return value ? std::optional(Fingerprint{*value}) : std::nullopt;
    }
};

/// Identifies the content of a request. Equal for all repeats of a request, at any entry, although each has its own
/// request id.
using CallFingerprint = Fingerprint<struct CallContent>;
/// Identifies a part of prompts by the id that callers give it.
using PartFingerprint = Fingerprint<struct PartContent>;

/// Identifies one process of an endpoint by its id and start time.
using ProcessFingerprint = Fingerprint<struct EndpointProcess>;
ProcessFingerprint fingerprintOf(const std::string &endpointId, std::uint64_t startTimeMs);

/// A part of a prompt that may have crashed an endpoint.
struct SuspectPart
{
    PartFingerprint part;
    /// Crashes on this part, each of a call whose entry knew of the one before when it sent the call; this one
    /// included.
    std::uint32_t round = 1;
    bool operator==(const SuspectPart &) const = default;
};
/// Shared parts of one call, in prompt order.
using SuspectPrompt = std::vector<SuspectPart>;

/// Calls in progress at an endpoint when it broke them off, as seen by one entry. Any of them may have crashed it.
struct CrashReport
{
    std::string endpointId;
    std::uint64_t startTimeMs = 0; ///< start of the endpoint's process in Unix milliseconds; 0 if unknown
    std::vector<CallFingerprint> suspects;
    std::vector<SuspectPrompt> prompts{}; ///< only after the process is known to have ended
};
/// Time for which a crash counts against the requests that were in progress.
constexpr Duration crashReportLifetime = Seconds(600);

/// An endpoint has answered on a prompt part after these crashes, so that the part has not caused them.
struct PartClearance
{
    PartFingerprint part;
    std::vector<ProcessFingerprint> crashes;
};
struct ClearanceReport
{
    std::vector<PartClearance> clearances;
};
using StoreRecord = std::variant<DirectConfig, EndpointRecord, EndpointRemoved, PublishedVersion, CrashReport,
                                 ClearanceReport, SoftwareVersionRecord>;

// ---- policy

/// Optimizations that can be disabled one by one for measurements. Correctness does not depend on any of them:
/// without them calls are still served, later or at a higher cost.
enum class Mechanism : std::uint8_t {
    KeptParts, ///< prefers the engine that probably caches the shared parts of a prompt
    Sampling, ///< limits the engines for an absent adapter to a random sample
    Home, ///< lets independent entries load an absent adapter into the same engine
    LoadPrice, ///< prefers a resident adapter to a load
    OthersWork, ///< counts prompts of other entries in an engine's backlog
    PlannedWork, ///< counts prompts of calls that wait for an adapter in an engine's backlog
    Popularity, ///< lowers the cost of a further copy of an adapter with its call rate
    Awaited, ///< avoids loading an adapter that another engine is about to load
    SlotQueue, ///< accounts for the wait for an adapter slot when all slots are in use
    StoreForecast, ///< uses recent load times of the weight store for early refusals
    Copies, ///< prefers the engine that has a local copy of the adapter
    Slowness, ///< accounts for engines that answer later than estimated
    Avoidance, ///< avoids failing or silent endpoints for a while
    Unreachable, ///< avoids engines that their sidecars report unreachable
    EarlyRefusal, ///< refuses calls that cannot start before their callers leave
    LateRank, ///< puts calls that can no longer meet their objective behind the others at the engine
    InTimeFirst, ///< loads adapters first whose calls can still meet their objective
    LoadWindow, ///< reduces concurrent loads while the weight store is slow
    LearnedReading, ///< measures how fast engines read prompts
    LearnedLoads, ///< measures load times
    LearnedRuns, ///< measures call durations
    LearnedOrders, ///< measures answer times of engine orders
    SlotLeases, ///< shares the slots of contended plain endpoints between entries
    ReadingTurns, ///< orders the reading of prompts at a contended engine
    EngineSpeeds, ///< uses the measured reading speed of each engine
    StateDeltas, ///< sends the changes of an engine's adapters instead of its whole state
    Count
};
template<>
struct EnumNames<Mechanism>
{
    static constexpr std::array<std::string_view, enumCount<Mechanism>> table{
        "kept_parts",      "sampling",      "home",          "load_price",     "others_work",   "planned_work",
        "popularity",      "awaited",       "slot_queue",    "store_forecast", "copies",        "slowness",
        "avoidance",       "unreachable",   "early_refusal", "late_rank",      "in_time_first", "load_window",
        "learned_reading", "learned_loads", "learned_runs",  "learned_orders", "slot_leases",   "reading_turns",
        "engine_speeds",   "state_deltas"};
};

/// Weights of the endpoint choice, expressed as additional waiting time. Times of loads, prompts and calls are
/// learned and not configured here.
struct DirectPolicy
{
    /// Cost of a load from the weight store to other calls, in addition to its own duration. A constant: as a multiple
    /// of the measured load time (2.3) it kept calls at full engines where loads are slow.
    double loadPenaltyMs = 630;
    double homePenaltyMs = 200; ///< penalty for loading an absent adapter outside its home engine
    double remoteCentrePenaltyMs = 25; ///< penalty for another data centre, whose traffic is billed
    double failurePenaltyMs = 3000; ///< for an endpoint that fails every call; less in proportion
    double avoidancePenaltyMs = 8000; ///< for an endpoint that has just failed, is silent or is unreachable
    std::uint32_t lateRankOffset = 4; ///< added to the rank of a call that can no longer meet its objective
    std::bitset<enumCount<Mechanism>> disabled; ///< disabled mechanisms

    bool has(Mechanism mechanism) const
    {
        return !disabled.test(static_cast<std::size_t>(mechanism));
    }
};

/// Parses names separated by commas; the error is the first unknown name.
tl::expected<std::bitset<enumCount<Mechanism>>, std::string> parseMechanisms(std::string_view names);

// ---- calls

/// A part of a prompt. Endpoints cache parts that several calls share.
struct PromptPart
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// Whether a request carries a caller's key.
enum class KeyPresence : std::uint8_t {
    Missing,
    Malformed, ///< another scheme, no value, or several keys
    Present,
    Count
};
template<>
struct EnumNames<KeyPresence>
{
    static constexpr std::array<std::string_view, enumCount<KeyPresence>> table{"missing", "malformed", "present"};
};

struct CallerKey
{
    KeyPresence presence = KeyPresence::Missing;
    KeyDigest digest; ///< of a key that is present
};

/// Where a stream began.
struct StreamOrigin
{
    std::string service;
    std::string softwareVersion; ///< of the endpoint
    std::string endpointId{}; ///< only at the entry that sent the attempt: where to
    std::uint64_t generation = 0; ///< of the endpoint's process there; 0 if its software version was not known
    bool operator==(const StreamOrigin &) const = default;

    /// Streams of the same content began at different places. Reported and answered like an origin, without a service.
    bool isAmbiguous() const
    {
        return service.empty();
    }
};

/// How an entry found where a resumed stream began.
enum class OriginSource : std::uint8_t {
    None, ///< not resumed, or unknown
    Own, ///< the stream began at this entry
    Told, ///< by a sidecar
    Content, ///< by its content, as sidecars and this entry know it: the caller does not name the stream
    SoleVersion, ///< no other version can have begun it
    Count
};
template<>
struct EnumNames<OriginSource>
{
    static constexpr std::array<std::string_view, enumCount<OriginSource>> table{"none", "own", "sidecar", "content",
                                                                                 "sole_version"};
};

/// A stream that broke off and that its caller resumes with another call.
struct ResumedStream
{
    std::string lastEventId; ///< last event that the caller has
    /// Request id of the call that brought the stream's first event; empty if the caller does not name it.
    std::string firstRequestId;
};

/// Data of a call, taken from its request.
struct CallInfo
{
    std::string requestId;
    std::optional<ResumedStream> resumed; ///< empty for a new call
    CallerKey key;
    CallFingerprint fingerprint;
    std::string host;
    std::string path;
    std::string model; ///< empty for a plain service
    std::string adapter; ///< empty for the model alone
    std::uint32_t promptTokens = 0;
    std::optional<std::uint64_t> countedTokens; ///< prompt and largest answer, if the request says so
    std::vector<PromptPart> parts; ///< in prompt order; the last one belongs to this call alone
    Duration callerTimeout{}; ///< time for which the caller waits
};

CallFingerprint computeFingerprint(std::string_view method, std::string_view target, std::string_view body,
                                   const CallInfo &info);
/// Key under which the origin of a stream is kept besides its request id, for callers that do not name it. Equal for
/// all calls of a caller for one stream, and different from every request id.
std::string streamContentKey(const CallInfo &info, std::string_view workspace);
bool isStreamContentKey(std::string_view key);
/// Longest list of shared parts that is kept of a call: callers choose the length of theirs.
constexpr std::size_t maxSharedParts = 16;
/// The parts that other calls may have too, in prompt order: all but the last, and the first maxSharedParts of them.
std::vector<PartFingerprint> sharedParts(const std::vector<PromptPart> &parts);

/// Reason reported by an endpoint that did not run a call.
enum class EndpointRefusal : std::uint8_t {
    None,
    Full, ///< no free slot, or blocked by an order
    OtherIncarnation, ///< the address belongs to another incarnation
    NotLoaded, ///< the requested model, adapter or version is not loaded
    Other,
    Count
};
template<>
struct EnumNames<EndpointRefusal>
{
    static constexpr std::array<std::string_view, enumCount<EndpointRefusal>> table{"none", "full", "other_incarnation",
                                                                                    "not_loaded", "other"};
};

/// Result of one attempt at an endpoint.
enum class AttemptEnd : std::uint8_t {
    Answered, ///< the whole answer has been sent to the caller
    OwnFailure, ///< the endpoint ran the call and answered with an error
    Refused, ///< the endpoint reports that it did not run the call
    Unreachable, ///< no byte was sent
    Broken, ///< sent, but the answer is incomplete: the call may have run
    Count
};
template<>
struct EnumNames<AttemptEnd>
{
    static constexpr std::array<std::string_view, enumCount<AttemptEnd>> table{"answered", "own_failure", "refused",
                                                                               "unreachable", "broken"};
};

/// Status of an endpoint that it reports along with an answer.
struct EndpointNotice
{
    bool leaving = false; ///< accepts no new calls
    Duration pause{}; ///< time for which it accepts no calls of this entry; 0 if not reported
    std::optional<double> requestsPerSecond{}; ///< limit on the calls of all entries together; empty: none
    bool endsLimit = false; ///< the call was sent under a limit that the answer no longer announces

    bool empty() const
    {
        return !leaving && pause == Duration(0) && !requestsPerSecond && !endsLimit;
    }
};

/// How an endpoint marks the end of an answer.
enum class AnswerFraming : std::uint8_t {
    None, ///< no answer
    Length,
    Chunked,
    UntilClose, ///< by closing its connection
    Count
};
template<>
struct EnumNames<AnswerFraming>
{
    static constexpr std::array<std::string_view, enumCount<AnswerFraming>> table{"none", "length", "chunked",
                                                                                  "until_close"};
};

/// What the ids of the events of a stream show, in rising order of weight.
enum class EventIdFinding : std::uint8_t {
    None,
    Skipped, ///< an id is more than one above the one before it, or above the last one that the caller has
    Falling, ///< an id is not above the one before it
    Repeated, ///< the first id is not above the last one that the caller has
    Count
};
template<>
struct EnumNames<EventIdFinding>
{
    static constexpr std::array<std::string_view, enumCount<EventIdFinding>> table{"none", "skipped", "falling",
                                                                                   "repeated"};
};

/// Incremental reader of the ids of events in an event stream. An id that is not an unsigned decimal number ends the
/// reading: nothing is known of the order of such ids.
class EventIds
{
public:
    EventIds() = default;
    /// `lastEventId`: last event that the caller has. Only numbers are compared with the stream.
    explicit EventIds(std::string_view lastEventId);
    void read(std::string_view data);
    /// The one of most weight so far.
    EventIdFinding finding() const;
    /// Id of the last event that has ended; empty if there is none, or if the reading has ended.
    std::optional<std::uint64_t> last() const;

private:
    enum class Step : std::uint8_t {
        Name,
        Space, // after the colon of an id
        Value,
        Other // a line of another field
    };
    void readLine(char byte);
    void readDigit(char byte);
    void endLine();
    void judge(std::uint64_t id);
    void stop();

    Step step_ = Step::Name; // in the current line
    std::uint8_t nameBytes_ = 0; // of the field name "id", read so far
    bool followsReturn_ = false; // the last byte was a CR, so that a LF belongs to the same line end
    bool isStopped_ = false;
    EventIdFinding finding_ = EventIdFinding::None;
    std::optional<std::uint64_t> number_; // digits of the current line, read so far
    std::optional<std::uint64_t> eventId_; // of the current event
    std::optional<std::uint64_t> last_; // of the last event that has ended
    std::optional<std::uint64_t> callersLast_;
};

struct AttemptResult
{
    AttemptEnd end = AttemptEnd::Broken;
    EndpointRefusal refusal = EndpointRefusal::None;
    std::uint32_t status = 0; ///< of the endpoint's answer; 0 without an answer
    bool namesRequest = false; ///< the endpoint's answer carried the id of the request
    bool isOnReusedConnection = false; ///< earlier requests had been answered on the connection
    bool callerHasBytes = false; ///< part of the answer has been sent to the caller
    Duration longestPause{}; ///< longest interval between parts of an event stream, as received from the endpoint
    AnswerFraming framing = AnswerFraming::None;
    bool isTruncated = false; ///< an event stream that ended inside an event, although complete by its framing
    bool isForwardedStream = false; ///< an event stream, parts of which may have been sent to the caller
    EventIdFinding eventIds = EventIdFinding::None; ///< of the forwarded stream
    std::optional<std::uint64_t> lastEvent; ///< id of the last whole event of the forwarded stream
};

/// Actions for the owner of the sockets.
struct SendCall
{
    CallHandle call;
    std::uint32_t attempt = 0;
    std::string endpointId;
    std::string address;
    std::uint32_t priority = 0;
    std::uint32_t version = 0; ///< required version of the adapter; 0 for any
    TimePoint deadline; ///< deadline of the caller
    bool hidesKey = false; ///< the caller's key is not forwarded
    std::string workspace; ///< told to the endpoint; empty: none
    StreamOrigin origin; ///< of the stream, if this attempt starts it
    bool isLimited = false; ///< the endpoint has announced a rate limit
    bool holdAnswer = false; ///< another attempt may follow: forward only a complete, successful answer
};
struct RefuseCall
{
    CallHandle call;
    std::uint32_t status = 503;
    Duration retryAfter{}; ///< 0: none is sent
    RefusalReason reason = RefusalReason::None;
};
/// Forwards the answer of the last attempt unchanged.
struct ForwardAnswer
{
    CallHandle call;
};
/// Terminates a call that was sent: closes its connection and reports an unknown outcome to the caller.
struct AbandonCall
{
    CallHandle call;
    FailureReason reason = FailureReason::None;
};
/// Sends the sidecar at this address the demand for its engine.
struct SendDemand
{
    std::string address; ///< address of the endpoint
    wire::DirectDemand demand;
};
/// Sends the sidecar at this address a request for credit.
struct AskAllowance
{
    std::string address; ///< address of the endpoint
    wire::AllowanceAsk ask;
};
/// Sends the sidecar at this address a change of a rate limit, for all other entries.
struct ReportLimit
{
    std::string address; ///< address of the endpoint
    wire::EndpointLimit limit;
};
/// Sends the sidecar at this address a request for a slot of a plain endpoint.
struct AskSlot
{
    std::string address; ///< address of the endpoint beside the sidecar
    wire::SlotAsk ask;
};
/// Returns a slot to the sidecar at this address, or withdraws the request for it.
struct ReturnSlot
{
    std::string address; ///< address of the endpoint beside the sidecar
    wire::SlotReturn message;
};
/// Reports to the sidecar at this address where streams began.
struct ReportOrigins
{
    std::string address; ///< address of the endpoint beside the sidecar
    wire::OriginReport report;
};
/// Requests the origin of a stream from the sidecar at this address.
struct AskOrigin
{
    std::string address; ///< address of the endpoint beside the sidecar
    wire::OriginAsk ask;
};
/// An endpoint has contradicted its record: asks the store for news.
struct RefreshRecords
{
};
/// Reads the changes up to now from the store itself, and applies them before it reports the end of this confirmation.
struct ConfirmStore
{
    std::uint64_t number = 0; ///< of the confirmation
};
/// Reports prompts to the sidecar of their engine at this address, and requests turns there.
struct SendReadings
{
    std::string address; ///< address of the endpoint
    wire::ReadingUpdate update;
};
/// The process at this address has terminated: closes the idle connections to it.
struct DropConnections
{
    std::string address;
};
using DirectAction =
    std::variant<SendCall, RefuseCall, ForwardAnswer, AbandonCall, SendDemand, AskAllowance, ReportLimit, AskSlot,
                 ReturnSlot, RefreshRecords, DropConnections, SendReadings, ReportOrigins, AskOrigin, ConfirmStore>;

/// Finds routes by host and longest matching path prefix.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(const std::vector<DirectRoute> &routes);
    const DirectRoute *find(std::string_view host, std::string_view path) const;

private:
    std::unordered_map<std::string, std::vector<DirectRoute>> byHost_; // routes of a host, longest prefix first
};

/// Outcome of a call for its caller.
enum class EndedOutcome : std::uint8_t {
    Answered,
    OwnFailure, ///< the endpoint's error was forwarded
    Refused, ///< not run
    Abandoned, ///< sent, and ended without a complete answer
    CallerGone,
    Count
};
template<>
struct EnumNames<EndedOutcome>
{
    static constexpr std::array<std::string_view, enumCount<EndedOutcome>> table{"answered", "own_failure", "refused",
                                                                                 "abandoned", "caller_gone"};
};

/// Log record of an ended call, with the data behind its last decision.
struct EndedCall
{
    std::string requestId;
    CallFingerprint fingerprint;
    std::vector<PartFingerprint> parts; ///< shared ones, in prompt order
    EndedOutcome outcome = EndedOutcome::Answered;
    std::string reason; ///< name of the RefusalReason or FailureReason; empty on success
    std::uint32_t status = 0; ///< of the endpoint's answer; 0 without an answer
    AnswerFraming framing = AnswerFraming::None; ///< of the endpoint's answer
    bool isTruncated = false; ///< the answer ended inside an event
    EventIdFinding eventIds = EventIdFinding::None; ///< of the forwarded stream
    std::optional<std::uint64_t> lastEvent; ///< id of the last whole event of the forwarded stream
    std::string service;
    std::string workspace; ///< empty if unknown
    std::string adapter;
    std::string endpointId; ///< of the last decision
    std::string softwareVersion; ///< of the endpoint that the call was last sent to
    std::optional<ResumedStream> resumed; ///< empty for a new call
    OriginSource originSource = OriginSource::None; ///< of the stream that it resumes
    Duration storeKnownFor{}; ///< time since this entry has known the store; 0 if it does not yet
    std::uint32_t attempts = 0;
    std::uint64_t configVersion = 0;
    Duration estimate{}; ///< estimated time to the first byte, at the last decision
    Duration stateAge{}; ///< age of the endpoint's state at the last decision; negative without a state
    Duration storeAge{}; ///< time since the last answer of the store, at the last decision
    Duration allowanceWait{}; ///< until the credit of its workspace was known
    Duration adapterWait{};
    Duration permitWait{}; ///< for credit of the rate limit of its endpoint
    Duration turnWait{}; ///< for reading turns
    Duration slotWait{}; ///< for slots of plain endpoints, until sidecars answered
    Duration originWait{}; ///< for the origin of the stream that it resumes
    Duration confirmationWait{}; ///< for a confirmation of the store
    /// Time from the request of the last confirmation to its use for this call; negative without one.
    Duration confirmationAge = Milliseconds(-1);
    std::optional<Duration> firstByte;
    Duration longestPause{}; ///< longest interval between two parts of an event stream
    Duration total{};
    Duration callerTimeout{};
    std::uint32_t promptTokens = 0;
};

/// Log record of an attempt that did not complete its call.
struct FailedAttempt
{
    std::string requestId;
    CallFingerprint fingerprint;
    std::vector<PartFingerprint> parts; ///< shared ones, in prompt order
    std::uint32_t attempt = 0;
    std::string endpointId;
    AttemptResult result;
    Duration elapsed{}; ///< time since the call was sent
    std::optional<Duration> answeredFor; ///< time since the first byte of the attempt's answer; empty without one
};

/// A prompt part was put under quarantine or released.
struct PartVerdict
{
    PartFingerprint part;
    bool isQuarantined = false;
    std::size_t crashes = 0; ///< that count against it
};

/// Limits of the connections of one entry to sidecars, for each service with engines. Engines beyond them get calls of
/// other entries only.
struct ListeningLimits
{
    std::uint32_t engines = 160; ///< engines that an entry listens to, besides a few that all entries listen to
    std::uint32_t farEngines = 32; ///< part of them for engines of other data centres
};

struct DirectCallsInit
{
    std::string entryName; ///< the same after a restart
    AllowanceTimes allowanceTimes = anvilscale::allowanceTimes(Seconds(8), 0.1);
    std::string dataCentre;
    double retryRatio = 0.2; ///< share of a service's calls that all entries together may retry
    double retrySlack = 0; ///< additional retries of all entries together, within any few seconds
    ListeningLimits listening;
    DirectPolicy policy;
};

struct WorkspaceStats
{
    std::uint64_t calls = 0;
    std::uint64_t overAllowance = 0; ///< refused calls
    std::uint64_t answered = 0;
};
/// Bounds the number of metrics.
constexpr std::size_t maxCountedWorkspaces = 64;

/// Messages from sidecars on the states of their engines.
enum class StateMessage : std::uint8_t {
    State, ///< whole
    Delta,
    Heartbeat,
    IgnoredDelta, ///< its base is not the state that this entry has
    IgnoredHeartbeat, ///< of a state that this entry does not have
    Count
};
template<>
struct EnumNames<StateMessage>
{
    static constexpr std::array<std::string_view, enumCount<StateMessage>> table{"state", "delta", "heartbeat",
                                                                                 "ignored_delta", "ignored_heartbeat"};
};

/// Slots of plain endpoints, requested by one entry.
struct SlotStats
{
    std::uint64_t contendedServices = 0; ///< whose calls request slots now
    std::uint64_t asks = 0;
    std::uint64_t waits = 0; ///< requests that waited until a slot was free
    std::uint64_t refusals = 0; ///< requests that could not get a slot in time
    std::uint64_t timeouts = 0; ///< requests that were not answered; the entry chose by itself
    std::uint64_t unused = 0; ///< granted slots that were returned without sending a call
};

/// Streams that calls resume, and what one entry knows of their origins.
struct OriginStats
{
    std::uint64_t reported = 0; ///< streams that began at this entry, or were resumed there
    std::uint64_t resumed = 0; ///< calls that resume a stream
    std::uint64_t own = 0; ///< of these, with an origin that the entry knew itself
    std::uint64_t told = 0; ///< with an origin that a sidecar knew
    std::uint64_t matched = 0; ///< with an origin found by the content of the request
    std::uint64_t assumed = 0; ///< placed at the only software version that has served lately
    std::uint64_t timeouts = 0; ///< requests for an origin that a sidecar did not answer in time
};

/// Reads of the store on which resumed calls depend.
struct StoreConfirmationStats
{
    std::uint64_t started = 0;
    std::uint64_t shared = 0; ///< calls that used a confirmation started for another one
    std::uint64_t failed = 0;
};

/// Prompt parts on which endpoints crashed, as one entry knows them.
struct CrashingPartStats
{
    std::uint64_t quarantined = 0; ///< parts that are under quarantine now
    std::uint64_t crashes = 0; ///< endpoints that ended with calls of this entry in progress
    std::uint64_t brokenOnly = 0; ///< endpoints that broke calls off and went on
    std::uint64_t clearances = 0; ///< parts that this entry has cleared
};

struct DirectCallsStats
{
    std::uint64_t calls = 0;
    std::uint64_t sent = 0;
    std::uint64_t waitedForAdapter = 0; ///< load stalls
    std::uint64_t open = 0;
    std::uint64_t listenedEngines = 0; ///< engines that the entry is connected to
    std::uint64_t visits = 0; ///< connections to engines that hold or load an adapter which no listened engine holds
    std::uint64_t limitedEndpoints = 0; ///< endpoints that have announced a rate limit
    std::uint64_t permitWaits = 0; ///< calls that asked for credit of an endpoint's limit
    std::uint64_t permitDenials = 0; ///< of these, the ones sent elsewhere or refused
    std::uint64_t turnRequests = 0; ///< requests for a reading turn
    std::uint64_t turnGrants = 0;
    std::uint64_t turnRefusals = 0; ///< turns that would have come too late: the call was placed elsewhere or refused
    std::uint64_t turnTimeouts = 0; ///< calls sent without the turn that they had asked for
    std::uint64_t ownSpeedEngines = 0; ///< engines whose reading speed differs from their service's
    std::uint64_t quarantined = 0; // requests put under quarantine
    SlotStats slots;
    OriginStats origins;
    StoreConfirmationStats storeConfirmations;
    CrashingPartStats crashingParts;
    Counters<AttemptEnd> ends;
    Counters<EventIdFinding> eventIds; ///< of forwarded streams that have ended
    Counters<StateMessage> stateMessages;
    AllowanceStats allowances;
    std::map<std::string, WorkspaceStats> workspaces; ///< the first maxCountedWorkspaces; the rest under "other"
    Counters<EndpointRefusal> endpointRefusals;
    Counters<RefusalReason> refusals;
    Counters<RetryReason> retries;
};

/// Times of the pools that divide the rate limits of endpoints between entries. Endpoints tolerate half as much
/// again in 4 s; the pools use less than half of that, and the rest is left for calls sent before a limit is known.
inline AllowanceTimes endpointLimitTimes()
{
    return allowanceTimes(Seconds(4), 0.2);
}

/// The calls of one entry: routes them, waits for adapters and retries them where allowed.
class DirectCalls
{
public:
    explicit DirectCalls(DirectCallsInit init);
    ~DirectCalls();
    DirectCalls(const DirectCalls &) = delete;
    DirectCalls &operator=(const DirectCalls &) = delete;

    // Configuration and endpoint state.
    /// Returns false for a version that is not newer than the current one.
    bool applyConfig(const DirectConfig &config, TimePoint now);
    /// Returns true if the endpoint is new, has restarted, or has started to leave.
    bool applyEndpoint(const EndpointRecord &record, TimePoint now);
    void removeEndpoint(const std::string &id, TimePoint now);
    void applyVersion(const PublishedVersion &version, TimePoint now);
    void applySoftwareVersion(const SoftwareVersionRecord &record, TimePoint now);
    /// Records of software versions to write or remove now.
    std::vector<SoftwareVersionWrite> takeSoftwareVersionWrites(TimePoint now);
    /// Calls that broke off at an endpoint, as seen by any entry; reports of this entry may be included.
    void applyCrashReport(const CrashReport &report, TimePoint now);
    /// Prompt parts that another entry has cleared; reports of this entry may be included.
    void applyClearances(const ClearanceReport &report, TimePoint now);
    /// Engine state from the sidecar beside the endpoint at this address.
    void applyState(const std::string &address, const wire::DirectState &state, TimePoint now);
    /// Has the effect of applyState with the state that the delta results in.
    void applyDelta(const std::string &address, const wire::DirectDelta &delta, TimePoint now);
    /// Updates the load figures of a state received before.
    void applyHeartbeat(const std::string &address, const wire::DirectHeartbeat &heartbeat, TimePoint now);
    void onSidecarLost(const std::string &address, TimePoint now);
    /// Credit from the sidecar beside the endpoint at this address.
    void onAllowanceAnswer(const std::string &address, const wire::AllowanceAnswer &answer, TimePoint now);
    /// Answer of the sidecar beside the engine at this address to a request for a turn.
    void onReadingAnswer(const std::string &address, const wire::ReadingAnswer &answer, TimePoint now);
    /// The sidecar beside the endpoint at this address has granted, queued or refused a request for a slot.
    void onSlotAnswer(const std::string &address, const wire::SlotAnswer &answer, TimePoint now);
    /// Answer of the sidecar beside the endpoint at this address to a request for the origin of a stream.
    void onOriginAnswer(const std::string &address, const wire::OriginAnswer &answer, TimePoint now);
    /// Ends the wait of requests for slots and origins that were not answered in time, and starts a confirmation of the
    /// store that is due. Called at nextAnswerCheckAt() and by tick().
    void checkAnswers(TimePoint now);
    std::optional<TimePoint> nextAnswerCheckAt() const;
    /// Another entry, or the sidecar of an engine, reports the rate limit of an endpoint. Returns false if it was
    /// known already.
    bool applyEndpointLimit(const wire::EndpointLimit &limit, TimePoint now);
    /// All records of the store have been read once.
    void onStoreRead(TimePoint now);
    /// All records of the store are read from now on, once more perhaps.
    void onStoreReadStarted();
    /// All changes of the store up to now have been applied: the records that were read may have been some seconds old.
    void onStoreCurrent(TimePoint now);
    /// The store has answered: all its earlier changes have been applied.
    void onStoreAnswered(TimePoint now);
    /// The confirmation of a ConfirmStore has ended. `isConfirmed`: all changes of the store up to its start have been
    /// applied.
    void onStoreConfirmed(std::uint64_t number, bool isConfirmed, TimePoint now);
    /// Addresses of the engines whose sidecars this entry has to be connected to; empty if they are the same as at the
    /// last call.
    std::optional<std::vector<std::string>> takeListenedEngines(TimePoint now);
    /// Address of the endpoint whose sidecar watches the store for this entry; empty if none does. All entries that
    /// listen to the same engines select the same one, so that a single watch serves them all.
    std::string sharedWatchAddress(TimePoint now) const;
    /// The sidecar failed or did not answer: selects another one for a while.
    void onSharedWatchFailed(const std::string &address, TimePoint now);

    // Calls.
    void onCall(CallHandle call, CallInfo info, TimePoint now);
    /// An answer carried a notice of the endpoint. Returns false if it was known already.
    bool onEndpointNotice(const std::string &endpointId, const EndpointNotice &notice, TimePoint now);
    /// The endpoint has started its answer.
    void onAnswerStarted(CallHandle call, std::uint32_t attempt, TimePoint now);
    /// An event stream is now forwarded to the caller, so that no other endpoint can answer the call any more.
    /// `origin`: as in the SendCall of the attempt that is forwarded.
    void onStreamStarted(CallHandle call, const StreamOrigin &origin, TimePoint now);
    void onAttemptEnded(CallHandle call, std::uint32_t attempt, const AttemptResult &result, TimePoint now);
    void onCallerGone(CallHandle call, TimePoint now);
    /// The process is about to end: a call that is not expected to end before `callsEndAt` is refused from now on,
    /// unless it is at an endpoint already.
    void beginDrain(TimePoint callsEndAt, TimePoint now);
    /// No further connections are accepted.
    void onListenerClosed(TimePoint now);
    /// Checks deadlines and waiting calls and sends demand to sidecars. Called every directTickInterval.
    void tick(TimePoint now);

    std::vector<DirectAction> takeActions();
    std::vector<EndedCall> takeEnded();
    std::vector<FailedAttempt> takeFailedAttempts();
    /// Reports to publish to all entries.
    std::vector<CrashReport> takeCrashReports();
    /// Clearances to publish to all entries.
    std::vector<PartClearance> takeClearances();
    /// Requests newly under quarantine, which are sent to no endpoint any more.
    std::vector<CallFingerprint> takeQuarantined();
    /// Prompt parts put under quarantine or released since the last call.
    std::vector<PartVerdict> takePartVerdicts();
    bool isConfigured() const;
    /// True if callers may be sent here: the configuration, endpoints and engine states are known.
    bool isReady(TimePoint now) const;
    const DirectConfig &config() const;
    std::vector<std::string> endpointIds() const;
    const DirectCallsStats &stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Retry-After of an entry that is about to end: other entries serve callers that return to the load balancer.
constexpr Duration leavingRetryAfter = Milliseconds(50);

/// Interval of DirectCalls::tick; short against the load time of an adapter (about 250 ms).
constexpr Duration directTickInterval = Milliseconds(50);

// ---- orders to one engine

struct EngineStateReport
{
    std::uint64_t startTimeMs = 0; ///< start of the engine in Unix milliseconds; 0 if unknown
    bool leaving = false; ///< accepts no new calls
    std::optional<double> requestsPerSecond{}; ///< limit on the calls of all entries together; empty: none
    std::vector<std::string> models;
    std::vector<HeldAdapter> adapters;
    std::vector<HeldAdapter> pending; ///< loads in progress; they count toward the adapter slots
    bool busy = false; ///< an order on a model is in progress
    std::uint64_t sequence = 0; ///< orders accepted since the engine's start
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t kvUsed = 0;
    std::uint64_t kvTotal = 0;
};

enum class EngineOrderKind : std::uint8_t {
    Load,
    Unload,
    Count
};
template<>
struct EnumNames<EngineOrderKind>
{
    static constexpr std::array<std::string_view, enumCount<EngineOrderKind>> table{"load", "unload"};
};

struct EngineOrder
{
    OrderHandle id;
    EngineOrderKind kind = EngineOrderKind::Load;
    std::string model;
    std::string adapter; ///< empty for the model itself
    std::uint64_t expectedSequence = 0; ///< the engine refuses the order if its sequence differs
    std::uint64_t fencingNumber = 0;
    std::string endpointId;
};

enum class EngineOrderResult : std::uint8_t {
    Accepted, ///< in progress
    AlreadyHolds,
    Conflict, ///< another order is in progress, or the sequence differs
    FencedOff, ///< the engine has seen a higher fencing number
    OtherIncarnation,
    Rejected,
    NoAnswer, ///< may have been accepted, or may be later
    Count
};
template<>
struct EnumNames<EngineOrderResult>
{
    static constexpr std::array<std::string_view, enumCount<EngineOrderResult>> table{
        "accepted", "already_holds", "conflict", "fenced_off", "other_incarnation", "rejected", "no_answer"};
};

/// Loads into one engine what the entries demand, within its slots and memory. Invariant: no other process orders
/// this engine.
class AdapterController
{
public:
    /// Sends no orders before setFencingNumber().
    explicit AdapterController(DirectPolicy policy = {});
    ~AdapterController();
    AdapterController(const AdapterController &) = delete;
    AdapterController &operator=(const AdapterController &) = delete;

    /// Allows orders. `number` is higher than all that this or an earlier process has used for the engine.
    void setFencingNumber(std::uint64_t number);
    /// True until a number is set, and again once the engine has refused it as too low.
    bool needsFencingNumber() const;
    /// No number can be had for the time being. Entries are notified, as nothing will be loaded meanwhile.
    void onFencingNumberFailed();
    void applyDemand(PeerHandle peer, const wire::DirectDemand &demand, TimePoint now);
    void onPeerLost(PeerHandle peer);
    void applyReport(const EngineStateReport &report, TimePoint now);
    void onReportFailed(TimePoint now);
    void onOrderEnded(OrderHandle id, EngineOrderResult result, const std::string &incarnation, TimePoint now);
    /// The next order, if one is due. At most one is in progress.
    std::optional<EngineOrder> nextOrder(TimePoint now);
    /// After this time the answer to an order counts as lost, and the next order may follow.
    Duration orderTimeout() const;
    /// True until the effect of an order is reported, so that the next report is requested soon.
    bool isAwaitingEffect() const;
    /// State for the entries; the caller sets `sequence` and `interval_ms`.
    wire::DirectState state(TimePoint now) const;
    /// True if calls of this entry wait for an adapter.
    bool hasWaitingCalls(PeerHandle peer) const;
    /// Changes with everything that entries wait for.
    std::uint64_t revision() const;
    /// Work of all entries in progress or planned at the engine, as prompt tokens; each demanded load counts as a
    /// fixed number of them. Entries are notified soon of large changes.
    std::uint64_t pendingWork() const;
    /// Number of restarts of the engine that its reports have shown.
    std::uint64_t engineRestarts() const;
    /// Limits of the engine as last received from an entry.
    const wire::EnginePlan &plan() const;
    const Counters<EngineOrderResult> &results() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

struct ReadingQueueStats
{
    std::uint64_t sentWithoutTurn = 0; ///< prompts that entries reported as sent
    std::uint64_t granted = 0; ///< turns, at once or after waiting
    std::uint64_t queued = 0; ///< requests that had to wait
    std::uint64_t refused = 0;
    std::uint64_t expired = 0; ///< prompts whose end was not reported in time
    std::uint64_t speedSamples = 0; ///< prompts that had the engine to themselves
    std::uint64_t untracked = 0; ///< requests beyond the limit of an entry
    bool operator==(const ReadingQueueStats &) const = default;
};

/// Reading turns of one engine: the prompts in prefill, the running streams, and the requests that wait until the
/// prefill work of the engine permits the next prompt. Also measures the engine's prefill speed. Invariant: a request
/// waits only while other prompts are in prefill and a budget applies.
class ReadingQueue
{
public:
    explicit ReadingQueue(DirectPolicy policy = {});
    ~ReadingQueue();
    ReadingQueue(const ReadingQueue &) = delete;
    ReadingQueue &operator=(const ReadingQueue &) = delete;

    /// A plan without objectives (from an entry of an older release) changes nothing.
    void applyPlan(const wire::EnginePlan &plan, TimePoint now);
    void applyUpdate(PeerHandle peer, const wire::ReadingUpdate &update, TimePoint now);
    void onPeerLost(PeerHandle peer, TimePoint now);
    /// Drops all prompts, streams and requests; entries place their waiting calls again. Measurements are kept.
    void onEngineRestarted(TimePoint now);
    /// Expires prompts and refuses requests that can no longer start in time. Does nothing before nextDueAt().
    void tick(TimePoint now);
    /// Empty if nothing depends on time.
    std::optional<TimePoint> nextDueAt() const;
    std::vector<std::pair<PeerHandle, wire::ReadingAnswer>> takeAnswers();

    /// Prompt tokens up to which calls are sent without a turn; 0: no limit.
    std::uint64_t budget() const;
    /// Tokens of the requests that wait.
    std::uint64_t queuedTokens() const;
    /// Tokens of the prompts in prefill.
    std::uint64_t prefillTokens() const;
    double msPerToken() const;
    double shareBeyondPause() const;
    /// Sets the budget, queued tokens, streams and speed.
    void addTo(wire::DirectState &state) const;
    const ReadingQueueStats &stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

// ---- slots of plain endpoints

struct SlotMessage
{
    PeerHandle entry;
    wire::SlotAnswer answer;
};

struct SlotTableStats
{
    std::uint64_t services = 0; ///< whose slots are held here
    std::uint64_t leases = 0; ///< slots in use
    std::uint64_t grants = 0;
    std::uint64_t waits = 0; ///< calls that waited until a slot was free
    std::uint64_t refusals = 0; ///< calls that could not get a slot in time
    std::uint64_t expired = 0; ///< leases that were not returned
};

/// Held by one sidecar for a plain service: leases the slots of its endpoints to the calls of all entries. Memory is
/// bounded: leases and waits expire, unused services are dropped.
class SlotTable
{
public:
    SlotTable();
    ~SlotTable();
    SlotTable(const SlotTable &) = delete;
    SlotTable &operator=(const SlotTable &) = delete;

    void onAsk(PeerHandle entry, const wire::SlotAsk &ask, TimePoint now);
    /// Ends a lease or a wait; unknown ones are ignored.
    void onReturn(PeerHandle entry, const wire::SlotReturn &message, TimePoint now);
    void onEntryLost(PeerHandle entry, TimePoint now);
    /// Ends leases and waits that have expired. Called at nextCheckAt().
    void tick(TimePoint now);
    std::optional<TimePoint> nextCheckAt() const;
    std::vector<SlotMessage> takeMessages();
    const SlotTableStats &stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Longest request id whose origin is kept: callers choose their ids.
constexpr std::size_t maxOriginIdBytes = 128;

struct OriginTableStats
{
    std::uint64_t streams = 0; ///< whose origins are known now
    std::uint64_t reported = 0;
    std::uint64_t told = 0; ///< requests that were answered with an origin
    std::uint64_t unknown = 0; ///< requests for other streams
    std::uint64_t dropped = 0; ///< reports beyond the limits of the table
};

/// Held by a sidecar: where the streams of all entries began, under the request ids of their first calls. Memory is
/// bounded: origins expire with their callers, and reports to a full table are dropped.
class OriginTable
{
public:
    void onReport(const wire::OriginReport &report, TimePoint now);
    wire::OriginAnswer answer(const wire::OriginAsk &ask, TimePoint now);
    /// Forgets expired origins.
    void tick(TimePoint now);
    const OriginTableStats &stats() const;

private:
    struct KnownOrigin
    {
        StreamOrigin origin;
        TimePoint validUntil;
    };

    std::unordered_map<std::string, KnownOrigin> origins_; // by request id
    TimePoint nextSweepAt_{};
    OriginTableStats stats_;
};

/// Selects the message for each entry: a heartbeat with the load figures only if the entry has the state, a delta if it
/// has an earlier one, and the whole state otherwise. Between many entries and engines nearly all messages are
/// heartbeats.
class StatePublisher
{
public:
    /// `startTimeMs`: start of the sidecar in Unix milliseconds. Separates the sequences of different starts, so that
    /// no heartbeat or delta fits a state of an earlier start.
    explicit StatePublisher(std::uint64_t startTimeMs = 0, const DirectPolicy &policy = {});
    /// Sets the current engine state and assigns its `sequence`, which increases when more than load figures change.
    /// With deltas, learned figures are published when they have changed by a twentieth.
    void update(const wire::DirectState &state);
    wire::Envelope buildMessage(PeerHandle entry);
    /// The entry has reported which state it has, 0 for none; a lost state is sent again. Entries that have not
    /// reported one and do not accept deltas may not support heartbeats and receive whole states.
    void onStateAcknowledged(PeerHandle entry, std::uint64_t sequence, bool acceptsDeltas = false);
    void onEntryLost(PeerHandle entry);

private:
    struct Subscription
    {
        std::uint64_t sequence = 0; // of the last state that was sent, whole or as a delta
        bool supportsHeartbeats = false;
        bool acceptsDeltas = false;
    };

    /// Moves the current state to the history.
    void rememberState();
    /// The delta from an earlier state to the current one; nullptr if the whole state has to be sent.
    const wire::DirectDelta *findDelta(std::uint64_t base);

    bool buildsDeltas_;
    wire::DirectState state_;
    std::string serialized_; // serialized state without the figures that heartbeats carry
    std::uint64_t sequence_;
    std::map<std::uint64_t, wire::DirectState> history_; // earlier states by sequence, bounded; empty without deltas
    // Deltas to the current state by their base, empty if they are not used. One delta goes to many entries.
    std::map<std::uint64_t, std::optional<wire::DirectDelta>> deltas_;
    std::unordered_map<PeerHandle, Subscription> subscriptions_;
};

} // namespace anvilscale

// Internal state of the calls of one entry.
#pragma once

#include "endpoint_choice.h"
#include "endpoint_table.h"
#include "request_quarantine.h"
#include "retry_allowance.h"
#include "wait_forecast.h"

namespace anvilscale {

constexpr std::uint32_t unavailable = 503;
// Sent if no better value is known: a crashed endpoint is replaced or avoided within about this time.
constexpr Duration usualRetryAfter = Milliseconds(500);

enum class CallStep : std::uint8_t {
    Waiting, ///< for its adapter at `endpointId`
    Sent,
    Count
};

struct DirectCall
{
    CallFacts facts;
    std::string service;
    bool engine = false;
    RepeatRule repeat = RepeatRule::NonIdempotent;
    bool resumable = false;
    std::uint32_t priority = 0;
    std::uint32_t maxEndpoints = 1;
    Duration objective{};
    TimePoint arrived;
    TimePoint deadline; // of the caller
    TimePoint firstByteBy; // when the caller abandons a call without a first byte; never after the deadline
    TimePoint cutAt; // end of the route's timeout; never after the deadline
    CallStep step = CallStep::Waiting;
    TimePoint stepSince;
    std::string endpointId;
    std::uint64_t endpointLife = 0; // generation of the EndpointEntry that counts the call
    std::uint64_t endpointBorn = 0; // start of that process; 0 if unknown
    double freshTokens = 0; // prompt tokens that are probably not cached by the endpoint
    double unreadTokens = 0; // the same as work: long prompts count for more
    double tokensAhead = 0; // tokens that the endpoint reads before this call, at sending
    bool alone = false; // no other call of this entry was at the endpoint, at sending
    TimePoint checkAt{}; // next check of a waiting call's deadline
    TimePoint thinkAgainAt{}; // a waiting call is placed again if its adapter is not loaded by then
    std::uint32_t attempt = 0;
    std::set<std::string> tried; // ids that the call must not go to again
    std::uint32_t ranAt = 0; // number of endpoints that have run it or may have
    bool began = false; // the current attempt has received its first byte
    std::uint32_t version = 0; // requested by the current attempt
    Duration estimate{}; // of the last choice
    Duration reading{}; // part of the estimate that the engine spends reading prompts
    Duration stateAge{}; // age of the chosen endpoint's state
    Duration storeAge{}; // time since the store's last answer, at the last choice
    Duration adapterWait{};
    std::optional<Duration> firstByte;
    Duration longestPause{}; // longest interval between parts of its answer

    AdapterName adapterName() const
    {
        return {facts.model, facts.adapter};
    }
    /// True if the first byte could meet the objective with the adapter loaded now.
    bool canBeInTime(TimePoint now) const
    {
        return now + reading <= arrived + objective;
    }
    /// True if a second run has no side effects. A resumable stream may be restarted while its caller has received
    /// nothing of it.
    bool repeatable() const
    {
        return repeat == RepeatRule::Idempotent || (repeat == RepeatRule::Stream && resumable);
    }
};

struct SentWishes
{
    std::string text; // as sent, to detect changes
    TimePoint at{};
    std::uint64_t planVersion = 0;
};

struct DirectCalls::Impl
{
    DirectCallsInit init;
    std::optional<DirectConfig> config;
    TimePoint configuredAt{}; // when the first configuration was applied
    RouteTable routes;
    EndpointTable endpoints;
    std::map<AdapterName, std::uint32_t> versions; // published by the operator
    std::map<CallHandle, DirectCall> calls;
    std::map<std::string, RetryAllowance> retries; // by service
    std::map<std::string, ServiceEstimates> learned; // by service
    double retriesSaved = RetryAllowance::leastSaved; // upper bound on the saved retries of each service
    std::map<std::string, SentWishes> wishes; // by address
    std::map<std::string, std::uint64_t> modelUse; // calls by model, selects the model for an empty engine
    std::vector<DirectAction> actions;
    std::vector<EndedCall> ended;
    std::vector<FailedAttempt> failedAttempts;
    RequestQuarantine quarantine;
    DirectCallsStats stats;
    TimePoint storeAnsweredAt{};
    std::map<std::string, TimePoint> failedSharers; // addresses, and until when each is avoided

    std::uint32_t namedVersion(const AdapterName &name) const;
    ChoiceQuery queryFor(const DirectCall &call, TimePoint now);
    std::uint32_t rankOf(const DirectCall &call, TimePoint now);
    void learnFirstByte(const DirectCall &call, EndpointEntry &entry, TimePoint now);
    void learnRun(const DirectCall &call, TimePoint now);
    void shareRetries(TimePoint now);
    void route(CallHandle handle, DirectCall &call, TimePoint now);
    void rerouteWaiting(EndpointEntry &entry, TimePoint now);
    void forgetEndpoint(EndpointEntry &entry, TimePoint now);
    void routeAgain(const std::set<CallHandle> &waiting, TimePoint now);
    void onRestarted(EndpointEntry &entry, std::uint64_t born, TimePoint now);
    /// The entry of the process that the call was placed at; nullptr if that process has terminated.
    EndpointEntry *endpointOf(const DirectCall &call);
    /// Refuses a call whose request is under quarantine; returns false for any other.
    bool stopQuarantined(CallHandle handle, DirectCall &call, TimePoint now);
    void place(CallHandle handle, DirectCall &call, const Choice &choice, TimePoint now);
    void send(CallHandle handle, DirectCall &call, TimePoint now);
    void wait(CallHandle handle, DirectCall &call, TimePoint now);
    static void stopWaiting(EndpointEntry &entry, CallHandle handle, DirectCall &call, TimePoint now);
    void leaveEndpoint(CallHandle handle, DirectCall &call, bool failed, TimePoint now);
    void refuse(CallHandle handle, std::uint32_t status, RefusalReason reason, Duration retryAfter, TimePoint now);
    /// Time until an endpoint of the service may accept calls again.
    Duration returnTime(const std::string &service, TimePoint now) const;
    /// Removes the call and records its outcome.
    void end(CallHandle handle, EndedOutcome outcome, std::string_view reason, std::uint32_t status, TimePoint now);
    /// Reports an error that holds for all attempts so far.
    void giveUp(CallHandle handle, DirectCall &call, RefusalReason reason, Duration retryAfter, TimePoint now);
    void abandon(CallHandle handle, FailureReason reason, TimePoint now);
    bool mayRetry(const DirectCall &call, TimePoint now);
    void retryOrGiveUp(CallHandle handle, DirectCall &call, RetryReason why, RefusalReason otherwise, TimePoint now);
    void onRefused(CallHandle handle, DirectCall &call, EndpointRefusal refusal, TimePoint now);
    void sendWaiting(const std::string &endpointId, TimePoint now);
    void checkDeadlines(TimePoint now);
    void checkWaiting(TimePoint now);
    bool isHopeless(const DirectCall &call, TimePoint now);
    void tellSidecars(TimePoint now);
    void tellSidecar(EndpointEntry &entry, TimePoint now);
    wire::DirectDemand demandFor(const EndpointEntry &entry, TimePoint now) const;
    wire::EnginePlan planFor(const std::string &service) const;
    std::string favouriteModel(const std::string &service) const;
};

} // namespace anvilscale

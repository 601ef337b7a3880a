// Endpoint choice by the estimated time to the first byte.
#pragma once

#include "endpoint_table.h"
#include "estimates.h"

namespace anvilscale {

/// Input of the choice for one call.
struct ChoiceQuery
{
    const CallInfo *info = nullptr;
    const std::string *service = nullptr;
    bool isEngine = false;
    std::uint32_t minVersion = 0;
    bool canMeetObjective = true; // the objective can still be met
    Duration modelReload{}; // into a restarted engine; 0 if unknown
    const std::set<std::string> *excludedIds = nullptr; // ids that the call must not go to again
    const std::string *softwareVersion = nullptr; // that the endpoint must run; null for any
    std::string_view dataCentre; // of this entry
    Duration objective{}; // of the call's route
    Duration pauseLimit{}; // shortest allowed pause of the service's streams; 0: none
    const ServiceEstimates *estimates = nullptr; // of the service
    const DirectPolicy *policy = nullptr;
    TimePoint lastReceivedAt{}; // time of the last message from any sidecar
};

struct Choice
{
    std::string endpointId;
    Duration firstByte{}; // estimated time to the first byte
    Duration loadTime{}; // duration of one adapter load from the weight store
    Duration confirmedFirstByte{}; // part of the estimate that rests on measured or declared times
    Duration readingTime{}; // time for reading prompts, without the slowness of this endpoint
    Presence presence = Presence::Resident;
    double uncachedTokens = 0; // prompt tokens not cached there
    double unreadTokens = 0; // tokens to read for this call; long prompts count for more
};

/// Returns the engine that all entries load the adapter of the call into, if this entry has to connect to it first;
/// nullptr if it is connected, or to another engine that holds the adapter.
EndpointEntry *findHomeToVisit(EndpointTable &table, const ChoiceQuery &query, TimePoint now);

/// An endpoint that a plain call may go to.
struct PlainOption
{
    const EndpointEntry *entry = nullptr;
    double penaltyMs = 0; // besides its load and its failures
};
std::vector<PlainOption> findPlainOptions(const EndpointTable &table, const ChoiceQuery &query, TimePoint now);
/// True if the endpoint runs the software version that the call needs.
bool runsVersion(const EndpointEntry &entry, const ChoiceQuery &query);
/// True if the call may go to this endpoint.
bool isEligible(const EndpointEntry &entry, const ChoiceQuery &query, TimePoint now);
/// Duration of a plain call, measured or assumed.
double plainWorkMs(const ChoiceQuery &query);

/// Returns the endpoint with the lowest estimate; empty if none is eligible.
std::optional<Choice> chooseEndpoint(const EndpointTable &table, const ChoiceQuery &query, TimePoint now);

} // namespace anvilscale

// Which endpoint a call goes to. One estimate decides: the time until the endpoint's first byte, from the adapter's
// load, the prompt tokens that have to be read, the work that is there already, and the distance.
#pragma once

#include "endpoint_table.h"
#include "estimates.h"

namespace anvilscale {

/// A call as the choice sees it.
struct ChoiceQuery
{
    const CallFacts *facts = nullptr;
    const std::string *service = nullptr;
    bool engine = false;
    std::uint32_t leastVersion = 0;
    bool inTime = true; // it can still be answered within its objective
    Duration modelReload{}; // into an engine that has restarted; 0: not known
    const std::set<std::string> *exclude = nullptr; // ids that the call must not go to again
    std::string_view dataCentre; // of this entry
    Duration objective{}; // of the call's route
    const ServiceEstimates *learned = nullptr; // of the service
    const DirectPolicy *policy = nullptr;
    TimePoint heard{}; // the last message of any sidecar
};

struct Choice
{
    std::string endpointId;
    Duration firstByte{}; // estimate
    Duration load{}; // of one adapter from the weight store there
    Duration certain{}; // part of it that rests on measured or declared times
    Duration reading{}; // part of it: the prompts to be read there, as if the engine were as fast as its service
    Presence presence = Presence::Resident;
    double freshTokens = 0; // of the prompt, that are not kept there
    double unreadTokens = 0; // that the engine probably has to read for this call; long prompts count for more
};

/// The endpoint with the lowest estimate; no value if none may take the call.
std::optional<Choice> chooseEndpoint(const EndpointTable &table, const ChoiceQuery &query, TimePoint now);

} // namespace anvilscale

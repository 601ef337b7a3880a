// Requests for slots of plain endpoints: which services need them, the sidecars selected to grant them, and answers.
#pragma once

#include "decayed_count.h"
#include "endpoint_table.h"

namespace anvilscale {

/// A request under way.
struct SlotRequest
{
    CallHandle call;
    std::string address; // of the endpoint beside the sidecar
    TimePoint sentAt;
    Duration maxWait{}; // for a slot, as requested
    TimePoint answerBy{};
    bool isQueued = false; // the sidecar has answered that the call waits
    bool isExtended = false; // answerBy was set again after a pause of this process
};

class SlotClient
{
public:
    /// Counts a call of the service. `callsPerSecond`: capacity of its endpoints; 0 if unknown. `entries`: number of
    /// entries that share it. Returns true if the calls need slots.
    bool recordCall(const std::string &service, double callsPerSecond, std::uint32_t entries, TimePoint now);
    bool isContended(const std::string &service) const;
    std::size_t contendedServices() const;
    /// Address of the sidecar that grants slots of the service; empty if there is none.
    std::string sidecarOf(const std::string &service, const EndpointTable &endpoints, TimePoint now);
    /// Returns the number of the request.
    std::uint64_t addRequest(CallHandle call, const std::string &address, Duration maxWait, TimePoint now);
    void cancel(std::uint64_t number);
    /// Returns the request that is answered; empty for an unknown one. It is removed unless the call was queued.
    std::optional<SlotRequest> onAnswer(const std::string &address, const wire::SlotAnswer &answer, TimePoint now);
    /// Removes the requests that were not answered in time, and avoids their sidecars for a while.
    std::vector<std::pair<std::uint64_t, SlotRequest>> takeOverdue(TimePoint now);
    /// Removes the requests to this sidecar, to which the connection was lost.
    std::vector<SlotRequest> takeLost(const std::string &address);
    std::optional<TimePoint> nextCheckAt() const;

private:
    struct Demand
    {
        DecayedCount calls;
        bool isContended = false;
    };

    Duration answerTimeout() const;

    std::map<std::string, Demand> demands_; // by service
    std::map<std::uint64_t, SlotRequest> requests_; // by number
    std::map<std::uint64_t, SlotRequest> overdue_; // requests that may still be answered
    std::map<std::string, TimePoint> avoided_; // addresses, and until when each is avoided
    double answerMs_ = 5; // smoothed time of an answer
    std::uint64_t lastNumber_ = 0;
};

} // namespace anvilscale

// Internal state of a slot table.
#pragma once

#include "decayed_count.h"

#include "anvilscale/direct.h"

#include <list>

namespace anvilscale {

// Some hundred calls of a busy endpoint. An endpoint that has recovered gets all its calls again after a few lifetimes.
constexpr Duration failureLifetime = Seconds(10);

struct SlotTable::Impl
{
    /// Names a request. Leases of calls that the table has not granted have no entry.
    using CallKey = std::pair<PeerHandle, std::uint64_t>;

    struct Endpoint
    {
        std::uint32_t slots = 0; // declared
        std::uint64_t inUse = 0; // slots of leases
        std::uint64_t expected = 0; // waiting calls that are expected here, valid during assign()
        double runMs = 0; // smoothed; 0 if not measured
        DecayedCount ended{failureLifetime};
        DecayedCount failed{failureLifetime};
        std::uint64_t lastGrant = 0; // value of Service::grants at the last grant here
        TimePoint namedAt{}; // by a request

        double failureRatio(TimePoint now) const;
    };
    struct Option
    {
        Endpoint *endpoint = nullptr;
        const std::string *id = nullptr;
        double penaltyMs = 0;
    };
    struct Waiting
    {
        CallKey key;
        std::vector<Option> options;
        double failureMs = 0; // cost of a failed call
        TimePoint until;
        Duration lease{};
        std::uint32_t priority = 0;
        std::string workspace;
        bool isQueued = false; // its entry knows that it waits
    };
    struct Lease
    {
        std::string service;
        std::string endpointId;
        std::optional<std::string> workspace; // empty for a call that the table has not granted
        TimePoint expiresAt;
        std::uint64_t slots = 1; // more than one only of calls that the table has not granted
    };
    struct Service
    {
        std::map<std::string, Endpoint> endpoints;
        std::list<Waiting> waiting; // in order of arrival
        std::map<std::string, std::uint32_t> inUse; // leases by workspace
        double runMs = 0; // of all endpoints, smoothed
        std::uint64_t grants = 0;
        TimePoint promisedUntil{}; // the last refused caller was told to return then
        TimePoint usedAt{};

        /// Measured or assumed.
        double usualRunMs() const;
    };
    /// An endpoint where a call can get a slot in time.
    struct Candidate
    {
        const Option *option = nullptr;
        double waitMs = 0;
        double failuresMs = 0; // cost of its failures to the call
        double othersMs = 0; // wait, run time and penalty
        double use = 0; // share of the slots that are in use or expected to be

        double costMs() const
        {
            return failuresMs + othersMs;
        }
    };
    /// Where and when a waiting call is expected to get a slot.
    struct Forecast
    {
        const Option *option = nullptr; // nullptr: none in time
        double waitMs = 0;
    };

    std::map<std::string, Service> services;
    std::map<CallKey, Lease> leases;
    std::set<std::pair<TimePoint, CallKey>> expiries; // of leases and of waiting calls
    std::vector<SlotMessage> messages;
    std::uint64_t lastForeign = 0; // number of the last lease without an entry
    TimePoint nextCleaningAt{};
    SlotTableStats stats;

    static double runMs(const Service &service, const Endpoint &endpoint);
    static double waitMs(const Service &service, const Endpoint &endpoint);
    static bool isProbeDue(const Service &service, const Endpoint &endpoint, TimePoint now);
    static std::vector<Candidate> findCandidates(const Service &service, const Waiting &call, TimePoint now);
    static Forecast choose(const Service &service, const Waiting &call, TimePoint now);
    static std::vector<std::list<Waiting>::iterator> orderWaiting(Service &service);
    bool isKnown(const CallKey &key) const;
    /// Decides on all waiting calls of the service.
    void assign(const std::string &name, TimePoint now);
    void grant(const std::string &name, const Waiting &call, const Option &option, TimePoint now);
    void refuse(Service &service, const Waiting &call, TimePoint now);
    void send(const CallKey &key, wire::SlotAnswer answer);
    /// Returns false if the call does not wait.
    bool withdraw(const CallKey &key, TimePoint now);
    void endLease(std::map<CallKey, Lease>::iterator lease);
    void recordEnd(const Lease &lease, const wire::SlotReturn &message, TimePoint now);
    void occupyFreeSlots(const Lease &lease, TimePoint now);
    void clean(TimePoint now);
};

} // namespace anvilscale

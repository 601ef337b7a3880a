// Quarantine of requests that crash the endpoints running them.
#pragma once

#include "anvilscale/direct.h"

#include <array>

namespace anvilscale {

/// Counts crashed endpoints per request and quarantines a request from a threshold on. Prevents a request that is
/// repeated under new ids from crashing one endpoint after another. All calls in progress at a crash are suspects;
/// entries share them as crash reports. A request that was answered successfully is no suspect.
class RequestQuarantine
{
public:
    /// The endpoint broke off a call with this request: it may have crashed.
    void brokenOff(CallFingerprint request, const std::string &endpointId, std::uint64_t born, TimePoint now);
    /// An endpoint has answered the request successfully.
    void answered(CallFingerprint request);
    /// Applies the report of any entry, including this one.
    void apply(const CrashReport &report, TimePoint now);
    /// True if the request must not be sent to any endpoint.
    bool holds(CallFingerprint request, TimePoint now) const;
    /// Crashes seen by this entry since the last call, one report per endpoint.
    std::vector<CrashReport> takeReports();
    /// Requests put under quarantine since the last call.
    std::vector<CallFingerprint> takeNewlyHeld();

private:
    // Repeats of an innocent request may be in progress at two crashes, but hardly at three.
    static constexpr std::size_t crashesToHold = 3;
    static constexpr std::size_t mostSuspects = 8192;
    static constexpr std::size_t answeredSlots = 1024;

    struct Suspect
    {
        std::vector<std::uint64_t> crashes; // hashes of the crashed processes, each once
        TimePoint last;
    };

    static std::uint64_t processHash(const std::string &endpointId, std::uint64_t born);
    bool wasAnswered(CallFingerprint request) const;
    void suspect(CallFingerprint request, std::uint64_t process, TimePoint now);
    void makeRoom();

    std::map<CallFingerprint, Suspect> suspects_;
    // Recently answered requests, slotted by fingerprint. A frequent request is in progress at every crash and must
    // not come under quarantine. Fingerprint 0, of calls without one, counts as answered.
    std::array<CallFingerprint, answeredSlots> answered_{};
    std::map<std::pair<std::string, std::uint64_t>, std::vector<CallFingerprint>> unreported_; // by id and start time
    std::vector<CallFingerprint> newlyHeld_;
};

} // namespace anvilscale

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
    void onCallBroken(CallFingerprint request, const std::string &endpointId, std::uint64_t startTimeMs, TimePoint now);
    /// An endpoint has answered the request successfully.
    void onAnswered(CallFingerprint request);
    /// Applies the report of any entry, including this one.
    void applyReport(const CrashReport &report, TimePoint now);
    /// True if the request must not be sent to any endpoint.
    bool isQuarantined(CallFingerprint request, TimePoint now) const;
    /// Crashes seen by this entry since the last call, one report per endpoint.
    std::vector<CrashReport> takeReports();
    /// Requests put under quarantine since the last call.
    std::vector<CallFingerprint> takeNewlyQuarantined();

private:
    // Repeats of an innocent request may be in progress at two crashes, but hardly at three.
    static constexpr std::size_t minCrashes = 3;
    static constexpr std::size_t maxSuspects = 8192;
    static constexpr std::size_t answeredSlots = 1024;

    struct Suspect
    {
        std::vector<ProcessFingerprint> crashes; // each once
        TimePoint lastCrashAt;
    };

    bool wasAnswered(CallFingerprint request) const;
    void addSuspect(CallFingerprint request, ProcessFingerprint process, TimePoint now);
    void evictSuspects();

    std::map<CallFingerprint, Suspect> suspects_;
    // Recently answered requests, slotted by fingerprint. A frequent request is in progress at every crash and must
    // not come under quarantine. Fingerprint 0, of calls without one, counts as answered.
    std::array<CallFingerprint, answeredSlots> recentlyAnswered_{};
    std::map<std::pair<std::string, std::uint64_t>, std::vector<CallFingerprint>> unreported_; // by id and start time
    std::vector<CallFingerprint> newlyQuarantined_;
};

} // namespace anvilscale

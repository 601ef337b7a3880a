// Counts crashed endpoints by request.
#include "request_quarantine.h"

#include <algorithm>

namespace anvilscale {

void RequestQuarantine::onCallBroken(CallFingerprint request, const std::string &endpointId, std::uint64_t startTimeMs,
                                     TimePoint now)
{
    if (wasAnswered(request)) {
        return;
    }
    unreported_[{endpointId, startTimeMs}].push_back(request);
    addSuspect(request, fingerprintOf(endpointId, startTimeMs), now);
}

void RequestQuarantine::onAnswered(CallFingerprint request)
{
    recentlyAnswered_.at(request.value % answeredSlots) = request;
    suspects_.erase(request);
}

void RequestQuarantine::applyReport(const CrashReport &report, TimePoint now)
{
    const auto process = fingerprintOf(report.endpointId, report.startTimeMs);
    for (const auto request : report.suspects) {
        if (!wasAnswered(request)) {
            addSuspect(request, process, now);
        }
    }
}

bool RequestQuarantine::isQuarantined(CallFingerprint request, TimePoint now) const
{
    const auto found = suspects_.find(request);
    return found != suspects_.end() && found->second.crashes.size() >= minCrashes
           && now - found->second.lastCrashAt < crashReportLifetime;
}

std::vector<CrashReport> RequestQuarantine::takeReports()
{
    std::vector<CrashReport> reports;
    for (auto &[process, requests] : unreported_) {
        reports.push_back({process.first, process.second, std::move(requests)});
    }
    unreported_.clear();
    return reports;
}

std::vector<CallFingerprint> RequestQuarantine::takeNewlyQuarantined()
{
    return std::exchange(newlyQuarantined_, {});
}

bool RequestQuarantine::wasAnswered(CallFingerprint request) const
{
    return recentlyAnswered_.at(request.value % answeredSlots) == request;
}

void RequestQuarantine::addSuspect(CallFingerprint request, ProcessFingerprint process, TimePoint now)
{
    if (suspects_.size() >= maxSuspects && suspects_.count(request) == 0) {
        evictSuspects();
    }
    auto &entry = suspects_[request];
    if (now - entry.lastCrashAt >= crashReportLifetime) {
        entry.crashes.clear();
    }
    auto &crashes = entry.crashes;
    if (std::find(crashes.begin(), crashes.end(), process) != crashes.end()) {
        return;
    }
    entry.lastCrashAt = now;
    crashes.push_back(process);
    if (crashes.size() == minCrashes) {
        newlyQuarantined_.push_back(request);
    }
}

/// Evicts half of the suspects: those with the fewest crashes first, and of these the oldest.
void RequestQuarantine::evictSuspects()
{
    using Item = std::pair<std::pair<std::size_t, TimePoint>, CallFingerprint>;
    std::vector<Item> items;
    for (const auto &[request, entry] : suspects_) {
        items.push_back({{std::min(entry.crashes.size(), minCrashes), entry.lastCrashAt}, request});
    }
    const auto middle = items.begin() + static_cast<std::ptrdiff_t>(items.size() / 2);
    std::nth_element(items.begin(), middle, items.end());
    for (auto it = items.begin(); it != middle; ++it) {
        suspects_.erase(it->second);
    }
}

} // namespace anvilscale

// Counts crashed endpoints by request.
#include "request_quarantine.h"

#include <algorithm>

namespace anvilscale {

void RequestQuarantine::brokenOff(CallFingerprint request, const std::string &endpointId, std::uint64_t born,
                                  TimePoint now)
{
    if (wasAnswered(request)) {
        return;
    }
    unreported_[{endpointId, born}].push_back(request);
    suspect(request, processHash(endpointId, born), now);
}

void RequestQuarantine::answered(CallFingerprint request)
{
    answered_.at(request.value % answeredSlots) = request;
    suspects_.erase(request);
}

void RequestQuarantine::apply(const CrashReport &report, TimePoint now)
{
    const auto process = processHash(report.endpointId, report.born);
    for (const auto request : report.suspects) {
        if (!wasAnswered(request)) {
            suspect(request, process, now);
        }
    }
}

bool RequestQuarantine::holds(CallFingerprint request, TimePoint now) const
{
    const auto found = suspects_.find(request);
    return found != suspects_.end() && found->second.crashes.size() >= crashesToHold
           && now - found->second.last < crashReportLife;
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

std::vector<CallFingerprint> RequestQuarantine::takeNewlyHeld()
{
    return std::exchange(newlyHeld_, {});
}

std::uint64_t RequestQuarantine::processHash(const std::string &endpointId, std::uint64_t born)
{
    return hash64(endpointId, born);
}

bool RequestQuarantine::wasAnswered(CallFingerprint request) const
{
    return answered_.at(request.value % answeredSlots) == request;
}

void RequestQuarantine::suspect(CallFingerprint request, std::uint64_t process, TimePoint now)
{
    if (suspects_.size() >= mostSuspects && suspects_.count(request) == 0) {
        makeRoom();
    }
    auto &entry = suspects_[request];
    if (now - entry.last >= crashReportLife) {
        entry.crashes.clear();
    }
    auto &crashes = entry.crashes;
    if (std::find(crashes.begin(), crashes.end(), process) != crashes.end()) {
        return;
    }
    entry.last = now;
    crashes.push_back(process);
    if (crashes.size() == crashesToHold) {
        newlyHeld_.push_back(request);
    }
}

/// Evicts half of the suspects: those with the fewest crashes first, and of these the oldest.
void RequestQuarantine::makeRoom()
{
    using Item = std::pair<std::pair<std::size_t, TimePoint>, CallFingerprint>;
    std::vector<Item> items;
    for (const auto &[request, entry] : suspects_) {
        items.push_back({{std::min(entry.crashes.size(), crashesToHold), entry.last}, request});
    }
    const auto middle = items.begin() + static_cast<std::ptrdiff_t>(items.size() / 2);
    std::nth_element(items.begin(), middle, items.end());
    for (auto it = items.begin(); it != middle; ++it) {
        suspects_.erase(it->second);
    }
}

} // namespace anvilscale

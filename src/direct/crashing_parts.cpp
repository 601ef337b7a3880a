// Calls on prompt parts that crash endpoints: evidence from this entry's calls, and refusals.
#include "direct_calls_impl.h"

namespace anvilscale {

namespace {

/// The shared parts of a call and, behind them, the call's request. A request that crashes endpoints by itself, each
/// time that it is repeated, is then suspected as its parts are, and as the last suspect it is the cause.
std::vector<PartFingerprint> partsAndRequest(const DirectCall &call)
{
    auto parts = call.parts;
    if (!parts.empty()) {
        parts.push_back({call.info.fingerprint.value});
    }
    return parts;
}

} // namespace

bool DirectCalls::Impl::isQuarantined(const DirectCall &call, TimePoint now) const
{
    return crashingParts.isQuarantined(call.parts) || quarantine.isQuarantined(call.info.fingerprint, now);
}

bool DirectCalls::Impl::stopIfQuarantined(CallHandle handle, DirectCall &call, TimePoint now)
{
    if (!isQuarantined(call, now)) {
        return false;
    }
    const bool isPart = crashingParts.isQuarantined(call.parts);
    const auto reason = isPart ? RefusalReason::PromptPartQuarantined : RefusalReason::RequestQuarantined;
    refuseOrAbandon(handle, call, reason, Duration(0), now);
    return true;
}

void DirectCalls::Impl::watchAnswer(CallHandle handle, const DirectCall &call, TimePoint now)
{
    if (crashingParts.isClearedByAnswer(call.parts, call.lastCrash)) {
        crashWatch.onAnswerBegan(handle, calledProcess(call), {call.parts, call.lastCrash}, now);
    }
}

void DirectCalls::Impl::recordBreak(const DirectCall &call, TimePoint now)
{
    quarantine.onCallBroken(call.info.fingerprint, call.endpointId, call.endpointStartTimeMs, now);
    const auto *entry = findEndpoint(call);
    const bool hasJustBegun = !call.hasFirstByte || now - call.firstByteAt <= crashDelay;
    const bool isSuspect = hasJustBegun && (entry == nullptr || !entry->isLeaving(now)); // leaving endpoints end
    crashWatch.onBroken(calledProcess(call),
                        isSuspect ? crashingParts.suspect(partsAndRequest(call), call.lastCrash) : SuspectPrompt{},
                        now);
}

CalledProcess DirectCalls::Impl::calledProcess(const DirectCall &call)
{
    return {call.endpointId, call.endpointStartTimeMs, call.endpointGeneration};
}

void DirectCalls::Impl::judgeCrashes(TimePoint now)
{
    crashWatch.check(endpoints, now);
    for (auto &ended : crashWatch.takeEnded()) {
        auto &[process, prompts] = ended;
        crashingParts.applyCrash(fingerprintOf(process.endpointId, process.startTimeMs), prompts, now);
        crashReports.push_back({process.endpointId, process.startTimeMs, {}, std::move(prompts)});
        ++stats.crashingParts.crashes;
    }
    for (const auto &answer : crashWatch.takeSurvived()) {
        crashingParts.onSurvived(answer.parts, answer.lastCrash, now);
    }
    crashingParts.tick(now);
}

void DirectCalls::applyCrashReport(const CrashReport &report, TimePoint now)
{
    impl_->quarantine.applyReport(report, now);
    if (!report.prompts.empty()) {
        impl_->crashingParts.applyCrash(fingerprintOf(report.endpointId, report.startTimeMs), report.prompts, now);
    }
}

void DirectCalls::applyClearances(const ClearanceReport &report, TimePoint now)
{
    for (const auto &clearance : report.clearances) {
        impl_->crashingParts.applyClearance(clearance, now);
    }
}

std::vector<CrashReport> DirectCalls::takeCrashReports()
{
    auto reports = impl_->quarantine.takeReports();
    for (auto &report : std::exchange(impl_->crashReports, {})) {
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<PartClearance> DirectCalls::takeClearances()
{
    auto clearances = impl_->crashingParts.takeClearances();
    impl_->stats.crashingParts.clearances += clearances.size();
    return clearances;
}

std::vector<PartVerdict> DirectCalls::takePartVerdicts()
{
    return impl_->crashingParts.takeVerdicts();
}

} // namespace anvilscale

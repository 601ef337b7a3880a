// Log lines and metrics of direct-path calls.
#include "direct_log.h"

namespace anvilscale {

namespace {

// Bounds the CPU time spent on logging under overload. Further lines are only counted. In ordinary operation an entry
// ends some twenty calls a second.
constexpr std::uint32_t maxLinesPerSecond = 100;
const std::vector<double> latencyBucketBounds{0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8, 1, 1.5, 2, 3, 5, 10, 15};

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::string partsText(const std::vector<PartFingerprint> &parts)
{
    std::string text;
    for (const auto &part : parts) {
        text += (text.empty() ? "" : ",") + part.text();
    }
    return text;
}

} // namespace

DirectLog::DirectLog()
    : firstByte_("anvilscale_call_first_byte_seconds", "time from a call's arrival to the first byte of its answer",
                 latencyBucketBounds)
    , total_("anvilscale_call_seconds", "time from a call's arrival to its end", latencyBucketBounds)
    , adapterWait_("anvilscale_call_adapter_wait_seconds", "time that a call waited for its adapter",
                   latencyBucketBounds)
    , confirmationWait_("anvilscale_call_store_confirmation_wait_seconds",
                        "time that a resumed call waited for a read of the store", latencyBucketBounds)
{
}

bool DirectLog::reserveLine(TimePoint now)
{
    if (now - windowStart_ >= Seconds(1)) {
        windowStart_ = now;
        linesInWindow_ = 0;
    }
    if (linesInWindow_ >= maxLinesPerSecond) {
        ++suppressedLines_;
        return false;
    }
    ++linesInWindow_;
    return true;
}

void DirectLog::attemptFailed(const FailedAttempt &attempt, TimePoint now)
{
    if (!reserveLine(now)) {
        return;
    }
    logEvent(Event::AttemptFailed, {{"request", attempt.requestId},
                                    {"fingerprint", attempt.fingerprint.text()},
                                    {"parts", partsText(attempt.parts)},
                                    {"attempt", std::uint64_t{attempt.attempt}},
                                    {"endpoint", attempt.endpointId},
                                    {"end", std::string(toString(attempt.result.end))},
                                    {"refusal", std::string(toString(attempt.result.refusal))},
                                    {"status", std::uint64_t{attempt.result.status}},
                                    {"framing", std::string(toString(attempt.result.framing))},
                                    {"truncated", attempt.result.isTruncated},
                                    {"namesRequest", attempt.result.namesRequest},
                                    {"reusedConnection", attempt.result.isOnReusedConnection},
                                    {"callerHasBytes", attempt.result.callerHasBytes},
                                    {"afterMs", toMilliseconds(attempt.elapsed)},
                                    {"answeredMs", attempt.answeredFor ? toMilliseconds(*attempt.answeredFor) : -1}});
}

void DirectLog::requestQuarantined(CallFingerprint request)
{
    logEvent(Event::RequestQuarantined, {{"fingerprint", request.text()}});
}

void DirectLog::partJudged(const PartVerdict &verdict)
{
    logEvent(verdict.isQuarantined ? Event::PromptPartQuarantined : Event::PromptPartReleased,
             {{"part", verdict.part.text()}, {"crashes", std::uint64_t{verdict.crashes}}});
}

void DirectLog::callEnded(const EndedCall &call, TimePoint now)
{
    total_.record(seconds(call.total));
    if (call.firstByte) {
        firstByte_.record(seconds(*call.firstByte));
    }
    if (call.adapterWait != Duration(0)) {
        adapterWait_.record(seconds(call.adapterWait));
    }
    if (call.confirmationWait != Duration(0)) {
        confirmationWait_.record(seconds(call.confirmationWait));
    }
    if (!reserveLine(now)) {
        return;
    }
    const bool isAnswered = call.outcome == EndedOutcome::Answered;
    logEvent(isAnswered ? Event::CallEnded : Event::CallEndedBadly,
             {{"request", call.requestId},
              {"outcome", std::string(toString(call.outcome))},
              {"reason", call.reason},
              {"status", std::uint64_t{call.status}},
              {"framing", std::string(toString(call.framing))},
              {"truncated", call.isTruncated},
              {"service", call.service},
              {"workspace", call.workspace},
              {"adapter", call.adapter},
              {"fingerprint", call.fingerprint.text()},
              {"parts", partsText(call.parts)},
              {"endpoint", call.endpointId},
              {"softwareVersion", call.softwareVersion},
              {"resumes", call.resumed ? call.resumed->firstRequestId : std::string()},
              {"afterEvent", call.resumed ? call.resumed->lastEventId : std::string()},
              {"eventIds", std::string(toString(call.eventIds))},
              {"lastEvent", call.lastEvent ? std::to_string(*call.lastEvent) : std::string()},
              {"originSource", std::string(toString(call.originSource))},
              {"storeKnownMs", toMilliseconds(call.storeKnownFor)},
              {"attempts", std::uint64_t{call.attempts}},
              {"config", call.configVersion},
              {"estimateMs", toMilliseconds(call.estimate)},
              {"stateAgeMs", toMilliseconds(call.stateAge)},
              {"storeAgeMs", toMilliseconds(call.storeAge)},
              {"allowanceWaitMs", toMilliseconds(call.allowanceWait)},
              {"adapterWaitMs", toMilliseconds(call.adapterWait)},
              {"permitWaitMs", toMilliseconds(call.permitWait)},
              {"turnWaitMs", toMilliseconds(call.turnWait)},
              {"slotWaitMs", toMilliseconds(call.slotWait)},
              {"originWaitMs", toMilliseconds(call.originWait)},
              {"confirmationWaitMs", toMilliseconds(call.confirmationWait)},
              {"confirmationAgeMs", toMilliseconds(call.confirmationAge)},
              {"firstByteMs", call.firstByte ? toMilliseconds(*call.firstByte) : -1},
              {"pauseMs", toMilliseconds(call.longestPause)},
              {"promptTokens", std::uint64_t{call.promptTokens}},
              {"totalMs", toMilliseconds(call.total)},
              {"patienceMs", toMilliseconds(call.callerTimeout)}});
}

void DirectLog::appendMetrics(MetricsText &text) const
{
    text.add(firstByte_);
    text.add(total_);
    text.add(adapterWait_);
    text.add(confirmationWait_);
    text.counter("anvilscale_log_lines_suppressed_total", "lines of calls that were not written, beyond the rate",
                 suppressedLines_);
}

namespace {

void appendWorkspaceMetrics(MetricsText &text, const DirectCallsStats &stats)
{
    const auto append = [&](std::string_view name, std::string_view help, std::uint64_t WorkspaceStats::*value) {
        std::vector<std::pair<std::string, std::uint64_t>> counts;
        for (const auto &[workspace, counters] : stats.workspaces) {
            counts.emplace_back(workspace, counters.*value);
        }
        text.counters(name, help, "workspace", counts);
    };
    append("anvilscale_workspace_calls_total", "calls that arrived, by workspace", &WorkspaceStats::calls);
    append("anvilscale_workspace_answered_total", "calls that were answered, by workspace", &WorkspaceStats::answered);
    append("anvilscale_workspace_over_allowance_total", "calls refused beyond the allowance, by workspace",
           &WorkspaceStats::overAllowance);
}

} // namespace

namespace {

void appendSlotMetrics(MetricsText &text, const SlotStats &stats)
{
    text.gauge("anvilscale_slots_contended_services", "plain services whose calls request slots",
               static_cast<double>(stats.contendedServices));
    text.counter("anvilscale_slots_requests_total", "requests for slots sent to sidecars", stats.asks);
    text.counter("anvilscale_slots_waits_total", "requests that waited until a slot was free", stats.waits);
    text.counter("anvilscale_slots_refusals_total", "requests that could not get a slot in time", stats.refusals);
    text.counter("anvilscale_slots_timeouts_total", "requests that no sidecar answered in time", stats.timeouts);
    text.counter("anvilscale_slots_unused_total", "slots returned without sending a call", stats.unused);
}

void appendCrashMetrics(MetricsText &text, const CrashingPartStats &stats)
{
    text.gauge("anvilscale_direct_quarantined_parts",
               "prompt parts whose requests go to no endpoint, as too many ended on them",
               static_cast<double>(stats.quarantined));
    text.counter("anvilscale_direct_endpoint_crashes_total",
                 "endpoints that ended with calls of this entry in progress", stats.crashes);
    text.counter("anvilscale_direct_endpoint_breaks_total", "endpoints that broke calls off and went on",
                 stats.brokenOnly);
    text.counter("anvilscale_direct_clearances_total", "prompt parts cleared by answers to calls of this entry",
                 stats.clearances);
}

void appendConfirmationMetrics(MetricsText &text, const StoreConfirmationStats &stats)
{
    text.counter("anvilscale_store_confirmations_total", "reads of the store for resumed calls", stats.started);
    text.counter("anvilscale_store_confirmations_shared_total",
                 "resumed calls that used a read of the store that another one had caused", stats.shared);
}

void appendOriginMetrics(MetricsText &text, const OriginStats &stats)
{
    text.counter("anvilscale_origins_reported_total", "streams whose origin was reported to sidecars", stats.reported);
    text.counter("anvilscale_origins_resumed_total", "calls that resume a stream", stats.resumed);
    text.counters(
        "anvilscale_origins_found_total", "resumed streams by the source of their origin", "source",
        {{"own", stats.own}, {"sidecar", stats.told}, {"content", stats.matched}, {"sole_version", stats.assumed}});
    text.counter("anvilscale_origins_timeouts_total", "requests for origins that sidecars did not answer in time",
                 stats.timeouts);
}

} // namespace

void appendDirectMetrics(MetricsText &text, const DirectCallsStats &stats)
{
    text.counter("anvilscale_direct_calls_total", "calls that arrived", stats.calls);
    text.counter("anvilscale_direct_sent_total", "attempts sent to endpoints", stats.sent);
    text.counter("anvilscale_direct_adapter_waits_total", "waits of calls for their adapter", stats.waitedForAdapter);
    text.gauge("anvilscale_direct_calls_open", "calls in progress", static_cast<double>(stats.open));
    text.gauge("anvilscale_direct_listened_engines", "engines that this entry is connected to",
               static_cast<double>(stats.listenedEngines));
    text.counter("anvilscale_direct_visits_total",
                 "connections made for an adapter that no engine held which this entry listened to", stats.visits);
    text.counters("anvilscale_direct_state_messages_total", "messages from sidecars on the states of their engines",
                  "kind", stats.stateMessages);
    text.counters("anvilscale_direct_attempt_ends_total", "how attempts ended", "end", stats.ends);
    text.counters("anvilscale_direct_event_ids_total",
                  "forwarded streams that have ended, by what their event ids show", "finding", stats.eventIds);
    text.counters("anvilscale_direct_endpoint_refusals_total", "calls refused by endpoints", "refusal",
                  stats.endpointRefusals);
    text.counters("anvilscale_direct_refusals_total", "calls refused by this entry", "reason", stats.refusals);
    text.counter("anvilscale_direct_quarantined_total", "requests that go to no endpoint, as too many ended under them",
                 stats.quarantined);
    text.gauge("anvilscale_direct_limited_endpoints", "endpoints that have announced a rate limit",
               static_cast<double>(stats.limitedEndpoints));
    text.counter("anvilscale_direct_permit_waits_total", "calls that asked for credit of an endpoint's rate limit",
                 stats.permitWaits);
    text.counter("anvilscale_direct_permit_denials_total", "calls that got no credit of an endpoint's rate limit",
                 stats.permitDenials);
    text.counter("anvilscale_direct_turn_requests_total", "requests for a reading turn of a contended engine",
                 stats.turnRequests);
    text.counter("anvilscale_direct_turn_grants_total", "reading turns that were granted", stats.turnGrants);
    text.counter("anvilscale_direct_turn_refusals_total",
                 "reading turns that would have come too late: the call went elsewhere or was refused",
                 stats.turnRefusals);
    text.counter("anvilscale_direct_turn_timeouts_total", "calls sent without the reading turn that they had asked for",
                 stats.turnTimeouts);
    text.gauge("anvilscale_direct_own_speed_engines",
               "engines whose measured reading speed is used in place of their service's",
               static_cast<double>(stats.ownSpeedEngines));
    text.counter("anvilscale_allowance_requests_total", "requests for credit sent to sidecars", stats.allowances.asks);
    text.counter("anvilscale_allowance_waits_total", "calls that waited for credit", stats.allowances.waits);
    text.counter("anvilscale_allowance_pools_lost_total", "sidecars that did not answer a request for credit",
                 stats.allowances.lostPools);
    text.counter("anvilscale_allowance_own_part_total", "calls charged to this entry's own part, without a sidecar",
                 stats.allowances.ownPart);
    appendSlotMetrics(text, stats.slots);
    appendOriginMetrics(text, stats.origins);
    appendConfirmationMetrics(text, stats.storeConfirmations);
    appendCrashMetrics(text, stats.crashingParts);
    appendWorkspaceMetrics(text, stats);
    text.counters("anvilscale_direct_retries_total", "further attempts", "reason", stats.retries);
}

} // namespace anvilscale

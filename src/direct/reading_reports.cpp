// Reports of prompts to the sidecars of their engines: sent, read, ended or withdrawn.
#include "direct_calls_impl.h"
#include "wire_units.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

Duration shorter(Duration known, Duration other)
{
    return known == Duration(0) || (other != Duration(0) && other < known) ? other : known;
}

} // namespace

std::map<std::string, StreamLimits> findStreamLimits(const DirectConfig &config)
{
    std::map<std::string, StreamLimits> result;
    for (const auto &route : config.routes) {
        if (route.repeat != RepeatRule::Stream) {
            continue;
        }
        for (const auto &share : route.services) {
            auto &limits = result[share.service];
            limits.shortestObjective = shorter(limits.shortestObjective, route.objective);
            limits.longestObjective = std::max(limits.longestObjective, route.objective);
            limits.shortestPause = shorter(limits.shortestPause, route.pauseLimit);
        }
    }
    return result;
}

void DirectCalls::Impl::addStreamLimits(const std::string &service, wire::EnginePlan &plan) const
{
    const auto found = streamLimits.find(service);
    if (found == streamLimits.end()) {
        return;
    }
    plan.set_shortest_objective_us(toMicroseconds(found->second.shortestObjective));
    plan.set_longest_objective_us(toMicroseconds(found->second.longestObjective));
    plan.set_shortest_pause_us(toMicroseconds(found->second.shortestPause));
}

// Sidecars measure the speed of their engines by these reports, also where no turns apply.
bool DirectCalls::Impl::reportsReadings(const DirectCall &call, const EndpointEntry &entry) const
{
    const bool isUsed = init.policy.has(Mechanism::ReadingTurns) || init.policy.has(Mechanism::EngineSpeeds);
    return isUsed && call.isEngine && entry.state.has_value();
}

wire::ReadingUpdate *DirectCalls::Impl::readingsTo(const std::string &address, bool isUrgent)
{
    const auto *entry = endpoints.findByAddress(address);
    if (entry == nullptr || !entry->state) {
        return nullptr; // not connected: the sidecar ends all that it has of this entry
    }
    auto &pending = pendingReadings[address];
    pending.isUrgent = pending.isUrgent || isUrgent;
    return &pending.update;
}

// The queued tokens of the last state do not show whether calls wait: it may be older than the first of them.
bool DirectCalls::Impl::mayHaveReadingQueue(const std::string &address)
{
    const auto *entry = endpoints.findByAddress(address);
    return entry != nullptr && entry->state && (entry->turnTokens > 0 || entry->state->reading_budget() != 0);
}

void DirectCalls::Impl::addReadingRequest(CallHandle handle, DirectCall &call, const EndpointEntry &entry,
                                          TimePoint now)
{
    if (call.reading.number == 0) {
        call.reading.number = ++lastReading;
        call.reading.address = entry.record.address;
        readings[call.reading.number] = handle;
    }
    auto *update = readingsTo(call.reading.address, true);
    if (update == nullptr) {
        return;
    }
    auto &request = *update->add_requests();
    request.set_call(call.reading.number);
    request.set_tokens(static_cast<std::uint64_t>(std::ceil(call.unreadTokens)));
    request.set_slack_us(toMicroseconds(call.arrivedAt + call.objective - now));
    request.set_limit_us(toMicroseconds(call.firstByteBy - now));
    request.set_priority(call.priority);
    request.set_workspace(call.workspace);
    request.set_pause_us(toMicroseconds(call.pauseLimit));
    request.set_sent(call.reading.isSent);
    if (const auto &speed = estimates[call.service].reading; speed.isMeasured()) {
        request.set_service_ns_per_token(static_cast<std::uint32_t>(speed.msPerToken() * nsPerMs));
        request.set_service_base_us(static_cast<std::uint32_t>(speed.baseMs() * usPerMs));
    }
}

void DirectCalls::Impl::reportSent(CallHandle handle, DirectCall &call, const EndpointEntry &entry, TimePoint now)
{
    if (!reportsReadings(call, entry)) {
        return;
    }
    call.reading.isSent = true;
    if (!call.reading.isGranted) { // a granted call counts as sent at the sidecar
        addReadingRequest(handle, call, entry, now);
    }
}

void DirectCalls::Impl::reportFirstByte(const DirectCall &call, TimePoint now)
{
    if (!call.reading.isSent) {
        return; // not reported, or a late answer to an earlier attempt
    }
    if (auto *update = readingsTo(call.reading.address, mayHaveReadingQueue(call.reading.address))) {
        auto &end = *update->add_ends();
        end.set_call(call.reading.number);
        end.set_stage(wire::READING_READ);
        end.set_elapsed_us(toMicroseconds(attemptTime(call, now).value_or(Duration(0)))); // 0: not measured
    }
}

ReadingAttempt DirectCalls::Impl::forgetReading(DirectCall &call)
{
    readings.erase(call.reading.number);
    return std::exchange(call.reading, {});
}

void DirectCalls::Impl::endReading(DirectCall &call)
{
    if (call.reading.number == 0) {
        return;
    }
    const auto reading = forgetReading(call);
    const bool wasReading = reading.isSent && !call.hasFirstByte; // calls may wait for the end of this work
    const bool isUrgent = !reading.isSent || (wasReading && mayHaveReadingQueue(reading.address));
    if (auto *update = readingsTo(reading.address, isUrgent)) {
        auto &end = *update->add_ends();
        end.set_call(reading.number);
        end.set_stage(reading.isSent ? wire::READING_ENDED : wire::READING_WITHDRAWN);
        end.set_longest_pause_us(reading.isSent ? toMicroseconds(call.longestPause) : 0);
    }
}

// Lets a late grant for a call that has gone return to the sidecar.
void DirectCalls::Impl::withdrawReading(const std::string &address, std::uint64_t number)
{
    if (auto *update = readingsTo(address, true)) {
        auto &end = *update->add_ends();
        end.set_call(number);
        end.set_stage(wire::READING_WITHDRAWN);
    }
}

// A sidecar that has restarted, or whose connection was lost, has no reports of the prompts that its engine still
// reads. Streams that run already are not reported again: they end soon and their reading is over.
void DirectCalls::Impl::reportRunningPrompts(const EndpointEntry &entry, TimePoint now)
{
    for (auto &[handle, call] : calls) {
        if (call.step != CallStep::Sent || call.hasFirstByte || findEndpoint(call) != &entry
            || !reportsReadings(call, entry)) {
            continue;
        }
        call.reading.isSent = true;
        addReadingRequest(handle, call, entry, now);
    }
}

void DirectCalls::Impl::flushReadings()
{
    for (auto it = pendingReadings.begin(); it != pendingReadings.end();) {
        if (!it->second.isUrgent) {
            ++it;
            continue;
        }
        actions.emplace_back(SendReadings{it->first, std::move(it->second.update)});
        it = pendingReadings.erase(it);
    }
}

} // namespace anvilscale

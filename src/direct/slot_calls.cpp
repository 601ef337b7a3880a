// Calls to contended plain services: the slot that each call requests from a sidecar, and its return.
#include "direct_calls_impl.h"
#include "wire_units.h"

#include <algorithm>

namespace anvilscale {

namespace {

// Bounds the requests of one call: its endpoints change faster than their changes reach the sidecar.
constexpr std::uint32_t maxSlotRequests = 4;
// Part of the time until its deadline that a call may wait if it is late already.
constexpr int lateWaitDivisor = 4;
constexpr std::uint32_t firstServerError = 500;

bool isFailure(const AttemptResult &result)
{
    return result.end == AttemptEnd::Unreachable || result.end == AttemptEnd::Broken
           || (result.end == AttemptEnd::OwnFailure && result.status >= firstServerError);
}

} // namespace

double DirectCalls::Impl::plainCapacity(const std::string &service, TimePoint now)
{
    const auto &runs = estimates[service].plainRunMs;
    const double run = runs.quantile(0.5);
    double slotCount = 0;
    for (const auto &[id, entry] : endpoints.entries()) {
        if (entry.record.service != service || entry.isLeaving(now) || entry.isSuperseded || entry.isPaused(now)) {
            continue;
        }
        if (entry.record.slots == 0) {
            return 0;
        }
        slotCount += entry.record.slots;
    }
    return run == 0 ? 0 : 1000 * slotCount / run;
}

Duration DirectCalls::Impl::maxSlotWait(const DirectCall &call, TimePoint now)
{
    const auto run = fromMilliseconds(plainWorkMs(buildQuery(call, now)));
    const auto inTime = call.arrivedAt + call.objective - now - run;
    const auto wait = inTime > Duration(0) ? inTime : (call.deadline - now) / lateWaitDivisor;
    return std::max(Duration(0), std::min(wait, call.firstByteBy - now - run));
}

bool DirectCalls::Impl::requestSlot(CallHandle handle, DirectCall &call, TimePoint now)
{
    if (call.isEngine || call.choosesAlone || !init.policy.has(Mechanism::SlotLeases)
        || !slots.isContended(call.service)) {
        return false;
    }
    const auto query = buildQuery(call, now);
    const auto options = findPlainOptions(endpoints, query, now);
    const bool isDeclared = std::all_of(options.begin(), options.end(),
                                        [](const PlainOption &option) { return option.entry->record.slots != 0; });
    const auto address = slots.sidecarOf(call.service, endpoints, now);
    const bool isHopeless = now + fromMilliseconds(plainWorkMs(query)) > call.firstByteBy;
    if (options.empty() || !isDeclared || address.empty() || isHopeless || call.slotRequests >= maxSlotRequests) {
        return false;
    }
    ++stats.slots.asks;
    ++call.slotRequests;
    auto ask = buildSlotAsk(call, options, now);
    call.step = CallStep::Slot;
    call.stepStartedAt = now;
    call.slotAddress = address;
    call.slotNumber = slots.addRequest(handle, address, std::chrono::microseconds(ask.wait_us()), now);
    ask.set_call(call.slotNumber);
    actions.emplace_back(AskSlot{address, std::move(ask)});
    return true;
}

wire::SlotAsk DirectCalls::Impl::buildSlotAsk(const DirectCall &call, const std::vector<PlainOption> &options,
                                              TimePoint now)
{
    wire::SlotAsk ask;
    ask.set_service(call.service);
    for (const auto &option : options) {
        auto &endpoint = *ask.add_endpoints();
        endpoint.set_endpoint_id(option.entry->record.id);
        endpoint.set_slots(option.entry->record.slots);
        endpoint.set_penalty_us(toMicroseconds(fromMilliseconds(option.penaltyMs)));
    }
    ask.set_wait_us(toMicroseconds(maxSlotWait(call, now)));
    const bool weighsFailures = init.policy.has(Mechanism::Avoidance);
    ask.set_failure_us(weighsFailures ? toMicroseconds(call.deadline - now) : 0);
    ask.set_priority(call.priority);
    ask.set_workspace(call.workspace);
    ask.set_limit_us(toMicroseconds(call.cutOffAt - now));
    return ask;
}

void DirectCalls::onSlotAnswer(const std::string &address, const wire::SlotAnswer &answer, TimePoint now)
{
    auto &impl = *impl_;
    const auto request = impl.slots.onAnswer(address, answer, now);
    if (!request) {
        const bool isHeld = std::any_of(impl.calls.begin(), impl.calls.end(), [&](const auto &item) {
            return item.second.slotNumber == answer.call() && item.second.slotAddress == address;
        });
        if (!isHeld && !answer.endpoint_id().empty()) {
            wire::SlotReturn message;
            message.set_call(answer.call());
            message.set_not_sent(true);
            impl.actions.emplace_back(ReturnSlot{address, std::move(message)});
        }
        return;
    }
    if (answer.queued()) {
        ++impl.stats.slots.waits;
        return;
    }
    auto &call = impl.calls.at(request->call);
    call.slotWait += now - call.stepStartedAt;
    call.step = CallStep::Waiting;
    if (!answer.endpoint_id().empty()) {
        impl.onSlotGranted(request->call, call, answer.endpoint_id(), now);
        return;
    }
    call.slotNumber = 0;
    ++impl.stats.slots.refusals;
    impl.refuseOrAbandon(request->call, call, RefusalReason::QueueFull,
                         std::chrono::microseconds(answer.retry_after_us()), now);
}

void DirectCalls::Impl::onSlotGranted(CallHandle handle, DirectCall &call, const std::string &endpointId, TimePoint now)
{
    const auto *entry = endpoints.find(endpointId);
    const auto query = buildQuery(call, now);
    if (entry == nullptr || !isEligible(*entry, query, now)) {
        routeCall(handle, call, now); // the endpoint has left, is paused or has refused the call
        return;
    }
    if (stopIfQuarantined(handle, call, now)) {
        return;
    }
    Choice choice;
    choice.endpointId = endpointId;
    choice.firstByte = fromMilliseconds(plainWorkMs(query));
    call.endpointId = endpointId;
    call.estimate = choice.firstByte;
    placeCall(handle, call, choice, now);
}

void DirectCalls::Impl::chooseAlone(CallHandle handle, DirectCall &call, TimePoint now)
{
    call.choosesAlone = true;
    routeCall(handle, call, now);
}

void DirectCalls::Impl::checkSlotAnswers(TimePoint now)
{
    for (const auto &[number, request] : slots.takeOverdue(now)) {
        ++stats.slots.timeouts;
        auto &call = calls.at(request.call);
        stopAwaitingSlot(call, now);
        chooseAlone(request.call, call, now);
    }
}

void DirectCalls::Impl::stopAwaitingSlot(DirectCall &call, TimePoint now)
{
    slots.cancel(call.slotNumber);
    call.slotWait += now - call.stepStartedAt;
    call.step = CallStep::Waiting;
    wire::SlotReturn message;
    message.set_not_sent(true);
    returnSlot(call, std::move(message));
}

void DirectCalls::Impl::returnSlot(DirectCall &call, wire::SlotReturn message)
{
    message.set_call(std::exchange(call.slotNumber, 0));
    actions.emplace_back(ReturnSlot{call.slotAddress, std::move(message)});
}

void DirectCalls::Impl::returnUnusedSlot(DirectCall &call)
{
    if (call.slotNumber == 0) {
        return;
    }
    ++stats.slots.unused;
    wire::SlotReturn message;
    message.set_not_sent(true);
    returnSlot(call, std::move(message));
}

void DirectCalls::Impl::returnUsedSlot(DirectCall &call, const AttemptResult &result, TimePoint now)
{
    if (call.slotNumber == 0) {
        return;
    }
    wire::SlotReturn message;
    message.set_failed(isFailure(result));
    message.set_run_us(toMicroseconds(attemptTime(call, now).value_or(Duration(0)))); // 0: not measured
    message.set_not_sent(result.end == AttemptEnd::Refused || result.end == AttemptEnd::Unreachable);
    message.set_full(result.end == AttemptEnd::Refused && result.refusal == EndpointRefusal::Full);
    returnSlot(call, std::move(message));
}

void DirectCalls::Impl::releaseSlot(DirectCall &call, EndedOutcome outcome)
{
    if (call.step != CallStep::Sent) {
        returnUnusedSlot(call);
        return;
    }
    if (call.slotNumber == 0) {
        return;
    }
    wire::SlotReturn message;
    message.set_failed(outcome == EndedOutcome::Abandoned); // not answered by its deadline
    returnSlot(call, std::move(message));
}

void DirectCalls::Impl::onSlotSidecarLost(const std::string &address, TimePoint now)
{
    for (auto &[handle, call] : calls) {
        if (call.slotAddress == address && call.step != CallStep::Slot) {
            call.slotNumber = 0; // its lease has ended with the connection
        }
    }
    for (const auto &request : slots.takeLost(address)) {
        auto &call = calls.at(request.call);
        call.slotNumber = 0;
        call.slotWait += now - call.stepStartedAt;
        call.step = CallStep::Waiting;
        chooseAlone(request.call, call, now);
    }
}

} // namespace anvilscale

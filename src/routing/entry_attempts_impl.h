// EntryCore: sending of attempts, matching of replies and retries. Included by entry_core.cpp only.
#pragma once

#include "entry_core.h"

#include <algorithm>

namespace anvilscale {

// Per call, including the first attempt. Limits how far a fault spreads.
constexpr std::size_t maxAttempts = 4;

template<class Traits>
wire::Envelope EntryCore<Traits>::makeRequestMessage(const EntryCall &call, const Attempt &attempt, Now now) const
{
    wire::Envelope message;
    message.set_protocol(wireProtocol);
    auto &out = *message.mutable_call_request();
    out.mutable_id()->set_entry_incarnation(init_.incarnation);
    out.mutable_id()->set_call(call.handle.value);
    out.mutable_id()->set_attempt(attempt.number);
    out.set_route(call.request.route);
    out.set_service(call.request.service);
    out.set_adapter(call.target.adapter);
    out.set_version(call.target.version);
    out.set_config_revision(call.revision);
    out.set_call_class(static_cast<std::uint32_t>(call.callClass));
    out.set_idempotent(call.isIdempotent);
    out.set_key(call.request.key);
    out.set_slot_fence(init_.safeguards.slotFence ? attempt.slotFence : 0);
    out.set_budget_us(static_cast<std::uint64_t>(call.timeLeft(now.mono).count()));
    out.set_stream(call.request.isStreaming);
    out.set_method(call.request.method);
    out.set_path(call.request.path);
    for (const auto &[name, value] : call.request.headers) {
        auto &header = *out.add_headers();
        header.set_name(name);
        header.set_value(value);
    }
    out.set_body(call.request.body);
    out.set_prompt_tokens(call.request.promptTokens);
    out.set_max_tokens(call.request.maxTokens);
    out.set_prefix_hash(call.request.prefixHash);
    out.set_credit_bytes(call.request.creditBytes);
    out.set_caller(call.request.caller);
    return message;
}

template<class Traits>
void EntryCore<Traits>::send(EntryCall &call, SidecarIndex sidecar, std::uint64_t slotFence, Now now)
{
    Attempt attempt;
    attempt.number = static_cast<std::uint32_t>(call.attempts.size() + 1);
    attempt.sidecar = sidecar;
    attempt.incarnation = fleet_.at(sidecar).incarnation;
    attempt.slotFence = slotFence;
    attempt.sentAt = now.mono;
    ++stats_.attempts;
    fleet_.onAttemptSent(sidecar, call.adapterKey, now.mono);
    recentRequests_.record(call.request.key, sidecar, now.mono);
    actions_.emplace_back(SendToSidecar{fleet_.at(sidecar).name, makeRequestMessage(call, attempt, now)});
    call.attempts.push_back(std::move(attempt));
    call.triedSidecars.push_back(sidecar);
}

template<class Traits>
void EntryCore<Traits>::closeAttempt(Attempt &attempt, AttemptOutcome outcome)
{
    attempt.outcome = outcome;
    if (attempt.gapTimer) {
        init_.timers->cancel(attempt.gapTimer);
        attempt.gapTimer = TimerHandle{};
    }
    if (!attempt.isOpen) {
        return;
    }
    attempt.isOpen = false;
    fleet_.onAttemptClosed(attempt.sidecar);
}

template<class Traits>
void EntryCore<Traits>::cancel(EntryCall &call, Attempt &attempt, bool isCallerGone)
{
    wire::Envelope message;
    message.set_protocol(wireProtocol);
    auto &out = *message.mutable_call_cancel();
    out.mutable_id()->set_entry_incarnation(init_.incarnation);
    out.mutable_id()->set_call(call.handle.value);
    out.mutable_id()->set_attempt(attempt.number);
    out.set_caller_gone(isCallerGone);
    actions_.emplace_back(SendToSidecar{fleet_.at(attempt.sidecar).name, std::move(message)});
    closeAttempt(attempt, attempt.outcome);
}

template<class Traits>
void EntryCore<Traits>::onCallerRead(CallHandle handle, std::uint64_t bytes)
{
    auto *call = findCall(handle);
    auto *attempt = call == nullptr ? nullptr : call->attempt(call->answeringAttempt);
    if (attempt == nullptr || !attempt->isOpen) {
        return;
    }
    wire::Envelope message;
    message.set_protocol(wireProtocol);
    auto &out = *message.mutable_call_credit();
    out.mutable_id()->set_entry_incarnation(init_.incarnation);
    out.mutable_id()->set_call(handle.value);
    out.mutable_id()->set_attempt(attempt->number);
    out.set_bytes(bytes);
    actions_.emplace_back(SendToSidecar{fleet_.at(attempt->sidecar).name, std::move(message)});
}

/// Returns the open attempt that a message belongs to, or nulls for a message of another attempt, sidecar or
/// incarnation of this entry. Prevents late or misrouted bytes from reaching the wrong caller.
template<class Traits>
std::pair<EntryCall *, Attempt *> EntryCore<Traits>::findOpenAttempt(const std::string &sidecar,
                                                                     const wire::AttemptId &id)
{
    auto *call = findCall(CallHandle{id.call()});
    if (call != nullptr && !init_.safeguards.frameMatch) {
        for (auto &attempt : call->attempts) {
            if (attempt.isOpen) {
                return {call, &attempt};
            }
        }
    }
    auto *attempt = call == nullptr ? nullptr : call->attempt(id.attempt());
    const bool isMatching = attempt != nullptr && attempt->isOpen && id.entry_incarnation() == init_.incarnation
                            && fleet_.at(attempt->sidecar).name == sidecar;
    if (!isMatching) {
        ++stats_.droppedFrames;
        return {nullptr, nullptr};
    }
    return {call, attempt};
}

template<class Traits>
void EntryCore<Traits>::onMessage(const std::string &sidecar, const wire::Envelope &message, Now now)
{
    if (message.protocol() != wireProtocol) {
        ++stats_.droppedFrames;
        return;
    }
    switch (message.body_case()) {
    case wire::Envelope::kCallRefused:
        onRefused(sidecar, message.call_refused(), now);
        return;
    case wire::Envelope::kCallFrame:
        onFrame(sidecar, message.call_frame(), now);
        return;
    case wire::Envelope::kCallEnd:
        onEnd(sidecar, message.call_end(), now);
        return;
    case wire::Envelope::kHeartbeat:
        onReport(message.heartbeat(), now);
        return;
    case wire::Envelope::kBeat:
        onBeat(sidecar, message.beat());
        return;
    default:
        return;
    }
}

/// A call that may have run is retried only if it is idempotent. Prevents a non-idempotent call from running twice.
template<class Traits>
bool EntryCore<Traits>::mayRetry(const EntryCall &call, AttemptOutcome lastOutcome) const
{
    if (call.hasDelivered && init_.safeguards.spliceGuard) {
        return false;
    }
    if (call.attempts.size() >= maxAttempts) {
        return false;
    }
    const bool isProvenNotRun =
        lastOutcome == AttemptOutcome::NeverSent || lastOutcome == AttemptOutcome::RefusedNotRun;
    return isProvenNotRun || call.isIdempotent || !init_.safeguards.retryOnlySafe;
}

template<class Traits>
void EntryCore<Traits>::retryOrFail(EntryCall &call, RetryReason reason, CallError error, Now now)
{
    if (call.hasOpenAttempt()) {
        return;
    }
    const auto lastOutcome = call.attempts.back().outcome;
    if (!mayRetry(call, lastOutcome) || call.timeLeft(now.mono) <= Duration{}) {
        fail(call, error);
        return;
    }
    // An attempt refused before it ran created no execution, so its retry uses no budget.
    const bool createsExecution =
        lastOutcome != AttemptOutcome::NeverSent && lastOutcome != AttemptOutcome::RefusedNotRun;
    if (createsExecution && !retryBudget_.take(init_.config->policy().retryBudget, now.mono)) {
        stats_.refusals.add(RefusalReason::RetryBudgetSpent);
        fail(call, error);
        return;
    }
    call.heldFrames.clear();
    call.heldBytes = 0;
    call.answeringAttempt = 0;
    if (!call.isIdempotent) {
        stats_.retries.add(reason);
        dispatchToOwner(call, now);
        return;
    }
    const auto choice = placement_.choose(fleet_, makePlacementRequest(call, now.mono), random_);
    const bool canMeetDeadline =
        choice && (!Traits::hasDeadlineAdmission || choice->expectedWait <= call.timeLeft(now.mono));
    if (!canMeetDeadline) {
        fail(call, error);
        return;
    }
    stats_.retries.add(reason);
    send(call, choice->sidecar, 0, now);
}

/// Refusals that another attempt cannot change.
inline bool isFinalRefusal(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadRequest:
    case RefusalReason::DeadlinePassed:
    case RefusalReason::KeyMissing:
    case RefusalReason::KeyInvalid:
    case RefusalReason::KeyTooOld:
    case RefusalReason::KeyFromFuture:
    case RefusalReason::KeyTableFull:
    case RefusalReason::KeyReused:
    case RefusalReason::AdapterQuarantined:
    case RefusalReason::CallerGone:
        return true;
    default:
        return false;
    }
}

/// True if the refusal applies to the key, not only to this attempt.
inline bool isOwnerDecision(RefusalReason reason)
{
    return reason != RefusalReason::NotSlotOwner && reason != RefusalReason::SlotUnowned
           && reason != RefusalReason::Leaving && reason != RefusalReason::Recovering;
}

template<class Traits>
void EntryCore<Traits>::applyRefusal(const EntryCall &call, const Attempt &attempt, const wire::CallRefused &refused)
{
    const auto reason = fromWire(refused.reason(), RefusalReason::Internal);
    if (reason == RefusalReason::Leaving) {
        fleet_.markLeaving(attempt.sidecar);
    }
    if (reason == RefusalReason::NotSlotOwner) {
        slots_.markNotOwner(call.request.service, call.slot, attempt.slotFence);
    }
}

template<class Traits>
void EntryCore<Traits>::onRefused(const std::string &sidecar, const wire::CallRefused &refused, Now now)
{
    const auto [call, attempt] = findOpenAttempt(sidecar, refused.id());
    if (call == nullptr) {
        return;
    }
    const auto reason = fromWire(refused.reason(), RefusalReason::Internal);
    // A sidecar that has sent part of the answer cannot prove that the call did not run.
    const bool isProvenNotRun = refused.proved_not_run() && !attempt->answer.hasStarted();
    applyRefusal(*call, *attempt, refused);
    closeAttempt(*attempt, isProvenNotRun ? AttemptOutcome::RefusedNotRun : AttemptOutcome::MayHaveRun);
    const bool hasOwnerProof =
        !call->isIdempotent && isProvenNotRun && isOwnerDecision(reason) && attempt->slotFence != 0;
    if (hasOwnerProof) {
        call->keyProof = KeyProof::OwnerProved;
    }
    const CallError error{Verdict::OutcomeUnknown, reason, FailureReason::None, Duration(refused.retry_after_us())};
    if (isFinalRefusal(reason) || !isProvenNotRun) {
        fail(*call, error);
        return;
    }
    const bool isConfigBehind =
        reason == RefusalReason::StaleRevision && refused.config_revision() > init_.config->revision();
    if (isConfigBehind && mayRetry(*call, attempt->outcome)) {
        stats_.retries.add(RetryReason::StaleRevision);
        call->triedSidecars.clear();
        startWaiting(*call, error, refused.config_revision(), now);
        return;
    }
    const bool hasSlotMoved = reason == RefusalReason::NotSlotOwner || reason == RefusalReason::SlotUnowned
                              || reason == RefusalReason::Leaving;
    if (!call->isIdempotent && !hasSlotMoved) {
        // Only the slot owner may run the call, and it refused: fail without a retry.
        fail(*call, error);
        return;
    }
    retryOrFail(*call, hasSlotMoved ? RetryReason::SlotMoved : RetryReason::Refused, error, now);
}

/// Selects the first attempt whose answer starts and cancels the others. Returns false for any other attempt.
template<class Traits>
bool EntryCore<Traits>::selectAnswer(EntryCall &call, Attempt &attempt)
{
    if (call.answeringAttempt == attempt.number) {
        return true;
    }
    if (call.answeringAttempt != 0 && init_.safeguards.spliceGuard) {
        return false;
    }
    call.answeringAttempt = attempt.number;
    for (auto &other : call.attempts) {
        if (other.isOpen && other.number != attempt.number) {
            cancel(call, other, false);
        }
    }
    return true;
}

template<class Traits>
void EntryCore<Traits>::deliver(EntryCall &call, const wire::CallFrame &frame)
{
    DeliverFrame out;
    out.call = call.handle;
    out.isFirst = !call.hasDelivered;
    out.status = frame.status();
    for (const auto &header : frame.headers()) {
        out.headers.emplace_back(header.name(), header.value());
    }
    out.data = frame.data();
    call.hasDelivered = true;
    actions_.emplace_back(std::move(out));
}

template<class Traits>
void EntryCore<Traits>::deliverHeldFrames(EntryCall &call)
{
    for (const auto &frame : call.heldFrames) {
        deliver(call, frame);
    }
    call.heldFrames.clear();
    call.heldBytes = 0;
}

template<class Traits>
void EntryCore<Traits>::onFrame(const std::string &sidecar, const wire::CallFrame &frame, Now now)
{
    const auto [call, attempt] = findOpenAttempt(sidecar, frame.id());
    if (call == nullptr) {
        return;
    }
    std::vector<wire::CallFrame> ready;
    if (!init_.safeguards.frameMatch) {
        ready.push_back(frame);
    } else if (attempt->answer.add(frame, ready) == FrameResult::Dropped) {
        ++stats_.droppedFrames;
        return;
    }
    if (!ready.empty() && !selectAnswer(*call, *attempt)) {
        return;
    }
    for (auto &each : ready) {
        call->heldBytes += each.data().size();
        call->heldFrames.push_back(std::move(each));
    }
    // Holds back at most half the credit: the sidecar stops at the full credit until the caller reads bytes.
    const bool shouldDeliver =
        call->request.isStreaming || call->hasDelivered || call->heldBytes * 2 >= call->request.creditBytes;
    if (shouldDeliver) {
        deliverHeldFrames(*call);
    }
    evaluateAnswer(*call, *attempt, now);
}

template<class Traits>
void EntryCore<Traits>::onEnd(const std::string &sidecar, const wire::CallEnd &end, Now now)
{
    const auto [call, attempt] = findOpenAttempt(sidecar, end.id());
    if (call == nullptr) {
        return;
    }
    attempt->answer.setEnd(end);
    evaluateAnswer(*call, *attempt, now);
}

inline AttemptOutcome attemptOutcomeOf(const wire::CallEnd &end)
{
    const auto failure = fromWire(end.failure(), FailureReason::EndpointError);
    if (failure == FailureReason::EndpointUnreachable) {
        return AttemptOutcome::RefusedNotRun;
    }
    const auto outcome = fromWire(end.outcome(), CallOutcome::Unknown);
    return outcome == CallOutcome::Failed ? AttemptOutcome::RanAndFailed : AttemptOutcome::MayHaveRun;
}

template<class Traits>
void EntryCore<Traits>::evaluateAnswer(EntryCall &call, Attempt &attempt, Now now)
{
    const auto &end = attempt.answer.endFrame();
    if (!end) {
        return;
    }
    const auto outcome = fromWire(end->outcome(), CallOutcome::Unknown);
    if (outcome != CallOutcome::Complete) {
        const auto failure = fromWire(end->failure(), FailureReason::EndpointError);
        closeAttempt(attempt, attemptOutcomeOf(*end));
        const CallError error{Verdict::OutcomeUnknown, RefusalReason::None,
                              failure == FailureReason::None ? FailureReason::EndpointError : failure, Duration{}};
        retryOrFail(call, RetryReason::EngineFailed, error, now);
        return;
    }
    const auto state = attempt.answer.state(init_.safeguards.digestCheck && init_.safeguards.frameMatch);
    if (state == AnswerState::Whole) {
        placement_.recordServiceTime(now.mono - attempt.sentAt - Duration(end->stall_us()));
        selectAnswer(call, attempt);
        finish(call, end->replayed());
        return;
    }
    if (state == AnswerState::Broken) {
        onAnswerBroken(call, attempt, now);
        return;
    }
    if (attempt.gapTimer) {
        return;
    }
    const auto handle = call.handle;
    const auto number = attempt.number;
    const auto wall = now.wall;
    attempt.gapTimer = init_.timers->subscribe(now.mono + init_.timing.suspect, [=, this](TimePoint at) {
        auto *openCall = findCall(handle);
        auto *openAttempt = openCall == nullptr ? nullptr : openCall->attempt(number);
        if (openAttempt != nullptr && openAttempt->isOpen) {
            openAttempt->gapTimer = TimerHandle{};
            onAnswerBroken(*openCall, *openAttempt, Now{at, wall});
        }
    });
}

/// Handles an incomplete answer. The call has run, so it is reported neither as complete nor as not run.
template<class Traits>
void EntryCore<Traits>::onAnswerBroken(EntryCall &call, Attempt &attempt, Now now)
{
    ++stats_.brokenAnswers;
    closeAttempt(attempt, AttemptOutcome::MayHaveRun);
    const CallError error{Verdict::OutcomeUnknown, RefusalReason::None, FailureReason::AnswerIncomplete, Duration{}};
    retryOrFail(call, RetryReason::BrokenAnswer, error, now);
}

template<class Traits>
void EntryCore<Traits>::onSendFailed(const std::string &sidecar, const wire::AttemptId &id, Now now)
{
    const auto [call, attempt] = findOpenAttempt(sidecar, id);
    if (call == nullptr) {
        return;
    }
    closeAttempt(*attempt, attempt->answer.hasStarted() ? AttemptOutcome::MayHaveRun : AttemptOutcome::NeverSent);
    const CallError error{Verdict::OutcomeUnknown, RefusalReason::NoEndpoint, FailureReason::None, Seconds(1)};
    retryOrFail(*call, RetryReason::SidecarLost, error, now);
}

template<class Traits>
void EntryCore<Traits>::closeLostAttempts(SidecarIndex sidecar, std::uint64_t currentIncarnation, bool isGone, Now now)
{
    for (const auto handle : sortedCalls()) {
        auto *call = findCall(handle);
        bool hasLostAttempts = false;
        for (auto &attempt : call->attempts) {
            const bool isLost =
                attempt.isOpen && attempt.sidecar == sidecar && (isGone || attempt.incarnation != currentIncarnation);
            if (isLost) {
                closeAttempt(attempt, AttemptOutcome::MayHaveRun);
                hasLostAttempts = true;
            }
        }
        if (hasLostAttempts) {
            const CallError error{Verdict::OutcomeUnknown, RefusalReason::None, FailureReason::SidecarLost, Duration{}};
            retryOrFail(*call, RetryReason::SidecarLost, error, now);
        }
    }
}

/// Prevents a call whose frames were lost with the connection from waiting until its deadline.
template<class Traits>
void EntryCore<Traits>::onConnectionLost(const std::string &sidecar, Now now)
{
    if (const auto existingSidecar = fleet_.find(sidecar)) {
        closeLostAttempts(*existingSidecar, 0, true, now);
    }
}

template<class Traits>
void EntryCore<Traits>::sendHello(const std::string &sidecar, bool requestFull)
{
    wire::Envelope message;
    message.set_protocol(wireProtocol);
    auto &hello = *message.mutable_hello();
    hello.mutable_from()->set_name(init_.name);
    hello.mutable_from()->set_incarnation(init_.incarnation);
    hello.set_data_centre(init_.dataCentre);
    hello.set_want_full(requestFull);
    hello.set_config_revision(init_.config->revision());
    hello.set_config_digest(init_.config->digest());
    actions_.emplace_back(SendToSidecar{sidecar, std::move(message)});
}

template<class Traits>
void EntryCore<Traits>::onReport(const wire::Heartbeat &report, Now now)
{
    const auto existingSidecar = fleet_.find(report.from().name());
    const bool wasRoutable = existingSidecar && fleet_.at(*existingSidecar).isRoutable();
    const auto result = fleet_.onReport(report);
    if (result == ReportResult::Stale) {
        return;
    }
    const auto sidecar = *fleet_.find(report.from().name());
    if (result == ReportResult::Restarted) {
        closeLostAttempts(sidecar, report.from().incarnation(), false, now);
    }
    if (result == ReportResult::Gap || (result == ReportResult::Restarted && !report.full())) {
        sendHello(report.from().name(), true);
    }
    if (!wasRoutable && fleet_.at(sidecar).isRoutable()) {
        resumeForSidecar(sidecar, now);
    }
}

template<class Traits>
void EntryCore<Traits>::onBeat(const std::string &sidecar, const wire::Beat &beat)
{
    if (fleet_.onBeat(sidecar, beat) == ReportResult::Gap) {
        sendHello(sidecar, true);
    }
}

template<class Traits>
void EntryCore<Traits>::onMember(const Member &member, Now now)
{
    if (member.role != VmRole::Sidecar) {
        return;
    }
    const auto existingSidecar = fleet_.find(member.name);
    const auto incarnationBefore = existingSidecar ? fleet_.at(*existingSidecar).incarnation : 0;
    const bool wasRoutable = existingSidecar && fleet_.at(*existingSidecar).isRoutable();
    const bool hasLostAttempts = fleet_.onMember(member);
    const auto sidecar = *fleet_.find(member.name);
    const bool isNew = !existingSidecar || fleet_.at(sidecar).incarnation != incarnationBefore;
    if (hasLostAttempts) {
        closeLostAttempts(sidecar, member.incarnation, member.state == MemberState::Gone, now);
    }
    if (isNew && member.state == MemberState::Live) {
        sendHello(member.name, true);
    }
    // Resumes waiting calls when a suspect member is live again: its next report is no transition to routable.
    if (!wasRoutable && fleet_.at(sidecar).isRoutable()) {
        resumeForSidecar(sidecar, now);
    }
}

template<class Traits>
void EntryCore<Traits>::onSummary(const std::string &dataCentre, const wire::Heartbeat &summary, Now now)
{
    auto report = summary;
    report.set_data_centre(dataCentre);
    onReport(report, now);
}

} // namespace anvilscale

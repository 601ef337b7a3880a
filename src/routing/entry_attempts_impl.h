// Attempts of an entry's calls: sending, matching what comes back, retries and hedges. Definitions of EntryCore,
// included by entry_core.cpp only.
#pragma once

#include "entry_core.h"

#include <algorithm>

namespace anvilscale {

// Attempts of one call, the first included. More only spread a fault.
constexpr std::size_t maximumAttempts = 4;

template<class Way>
wire::Envelope EntryCore<Way>::requestMessage(const EntryCall &call, const Attempt &attempt, Now now) const
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
    out.set_idempotent(call.idempotent);
    out.set_key(call.request.key);
    out.set_slot_fence(init_.safeguards.slotFence ? attempt.slotFence : 0);
    out.set_budget_us(static_cast<std::uint64_t>(call.left(now.mono).count()));
    out.set_stream(call.request.stream);
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

template<class Way>
void EntryCore<Way>::send(EntryCall &call, SidecarIndex sidecar, std::uint64_t slotFence, Now now)
{
    Attempt attempt;
    attempt.number = static_cast<std::uint32_t>(call.attempts.size() + 1);
    attempt.sidecar = sidecar;
    attempt.incarnation = fleet_.at(sidecar).incarnation;
    attempt.slotFence = slotFence;
    attempt.sentAt = now.mono;
    ++stats_.attempts;
    fleet_.onSent(sidecar, call.adapterKey, now.mono);
    repeats_.note(call.request.key, sidecar, now.mono);
    actions_.emplace_back(SendToSidecar{fleet_.at(sidecar).name, requestMessage(call, attempt, now)});
    call.attempts.push_back(std::move(attempt));
    call.tried.push_back(sidecar);
}

template<class Way>
void EntryCore<Way>::closeAttempt(Attempt &attempt, AttemptFate fate)
{
    attempt.fate = fate;
    if (attempt.gapTimer) {
        init_.timers->cancel(attempt.gapTimer);
        attempt.gapTimer = TimerHandle{};
    }
    if (!attempt.open) {
        return;
    }
    attempt.open = false;
    fleet_.onEnded(attempt.sidecar);
}

template<class Way>
void EntryCore<Way>::cancel(EntryCall &call, Attempt &attempt, bool callerGone)
{
    wire::Envelope message;
    message.set_protocol(wireProtocol);
    auto &out = *message.mutable_call_cancel();
    out.mutable_id()->set_entry_incarnation(init_.incarnation);
    out.mutable_id()->set_call(call.handle.value);
    out.mutable_id()->set_attempt(attempt.number);
    out.set_caller_gone(callerGone);
    actions_.emplace_back(SendToSidecar{fleet_.at(attempt.sidecar).name, std::move(message)});
    closeAttempt(attempt, attempt.fate);
}

template<class Way>
void EntryCore<Way>::onCallerTook(CallHandle handle, std::uint64_t bytes)
{
    auto *call = find(handle);
    auto *attempt = call == nullptr ? nullptr : call->attempt(call->winner);
    if (attempt == nullptr || !attempt->open) {
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

/// The open attempt that a message belongs to. A late, crossed or duplicate message of another attempt, another start
/// of this entry or another sidecar finds none: else its bytes would reach the wrong caller.
template<class Way>
std::pair<EntryCall *, Attempt *> EntryCore<Way>::match(const std::string &sidecar, const wire::AttemptId &id)
{
    auto *call = find(CallHandle{id.call()});
    if (call != nullptr && !init_.safeguards.frameMatch) {
        for (auto &attempt : call->attempts) {
            if (attempt.open) {
                return {call, &attempt};
            }
        }
    }
    auto *attempt = call == nullptr ? nullptr : call->attempt(id.attempt());
    const bool matches = attempt != nullptr && attempt->open && id.entry_incarnation() == init_.incarnation
                         && fleet_.at(attempt->sidecar).name == sidecar;
    if (!matches) {
        ++stats_.droppedFrames;
        return {nullptr, nullptr};
    }
    return {call, attempt};
}

template<class Way>
void EntryCore<Way>::onMessage(const std::string &sidecar, const wire::Envelope &message, Now now)
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

/// A call that may have run is only repeated if it is idempotent: else a second run doubles an admission.
template<class Way>
bool EntryCore<Way>::mayRetry(const EntryCall &call, AttemptFate lastFate) const
{
    if (call.delivered && init_.safeguards.spliceGuard) {
        return false;
    }
    if (call.attempts.size() >= maximumAttempts) {
        return false;
    }
    const bool knownNotRun = lastFate == AttemptFate::NeverSent || lastFate == AttemptFate::RefusedNotRun;
    return knownNotRun || call.idempotent || !init_.safeguards.retryOnlySafe;
}

template<class Way>
void EntryCore<Way>::retryOrFail(EntryCall &call, RetryReason why, CallError error, Now now)
{
    if (call.anyOpen()) {
        return;
    }
    const auto lastFate = call.attempts.back().fate;
    if (!mayRetry(call, lastFate) || call.left(now.mono) <= Duration{}) {
        fail(call, error);
        return;
    }
    // An attempt that was refused before it ran created no execution, so that its repeat costs no budget.
    const bool createsExecution = lastFate != AttemptFate::NeverSent && lastFate != AttemptFate::RefusedNotRun;
    if (createsExecution && !retries_.take(init_.config->policy().retryBudget, now.mono)) {
        stats_.refusals.add(RefusalReason::RetryBudgetSpent);
        fail(call, error);
        return;
    }
    call.held.clear();
    call.heldBytes = 0;
    call.winner = 0;
    if (!call.idempotent) {
        stats_.retries.add(why);
        dispatchToOwner(call, now);
        return;
    }
    const auto choice = placement_.choose(fleet_, placementRequest(call, now.mono), random_);
    const bool inTime = choice && (!Way::admitByDeadline || choice->expectedWait <= call.left(now.mono));
    if (!inTime) {
        fail(call, error);
        return;
    }
    stats_.retries.add(why);
    send(call, choice->sidecar, 0, now);
}

inline bool finalRefusal(RefusalReason reason)
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

/// Says that the refusal speaks for the key, not only for this attempt.
inline bool ownerSpoke(RefusalReason reason)
{
    return reason != RefusalReason::NotSlotOwner && reason != RefusalReason::SlotUnowned
           && reason != RefusalReason::Leaving && reason != RefusalReason::Recovering;
}

template<class Way>
void EntryCore<Way>::noteRefusal(const EntryCall &call, const Attempt &attempt, const wire::CallRefused &refused)
{
    const auto reason = fromWire(refused.reason(), RefusalReason::Internal);
    if (reason == RefusalReason::Leaving) {
        fleet_.markLeaving(attempt.sidecar);
    }
    if (reason == RefusalReason::NotSlotOwner) {
        slots_.disown(call.request.service, call.slot, attempt.slotFence);
    }
}

template<class Way>
void EntryCore<Way>::onRefused(const std::string &sidecar, const wire::CallRefused &refused, Now now)
{
    const auto [call, attempt] = match(sidecar, refused.id());
    if (call == nullptr) {
        return;
    }
    const auto reason = fromWire(refused.reason(), RefusalReason::Internal);
    // A sidecar that has sent a part of the answer can't prove that the call did not run.
    const bool proved = refused.proved_not_run() && !attempt->answer.started();
    noteRefusal(*call, *attempt, refused);
    closeAttempt(*attempt, proved ? AttemptFate::RefusedNotRun : AttemptFate::MayHaveRun);
    const bool ownerProof = !call->idempotent && proved && ownerSpoke(reason) && attempt->slotFence != 0;
    if (ownerProof) {
        call->keyProof = KeyProof::OwnerProved;
    }
    const CallError error{Verdict::OutcomeUnknown, reason, FailureReason::None, Duration(refused.retry_after_us())};
    if (finalRefusal(reason) || !proved) {
        fail(*call, error);
        return;
    }
    const bool entryIsBehind =
        reason == RefusalReason::StaleRevision && refused.config_revision() > init_.config->revision();
    if (entryIsBehind && mayRetry(*call, attempt->fate)) {
        stats_.retries.add(RetryReason::StaleRevision);
        call->tried.clear();
        wait(*call, error, refused.config_revision(), now);
        return;
    }
    const bool slotMoved = reason == RefusalReason::NotSlotOwner || reason == RefusalReason::SlotUnowned
                           || reason == RefusalReason::Leaving;
    if (!call->idempotent && !slotMoved) {
        // Only the owner may run it, and the owner said no: the caller is told at once.
        fail(*call, error);
        return;
    }
    retryOrFail(*call, slotMoved ? RetryReason::SlotMoved : RetryReason::Refused, error, now);
}

/// The first attempt whose answer begins is the one that is used; a hedge beside it is cancelled.
template<class Way>
bool EntryCore<Way>::takeLead(EntryCall &call, Attempt &attempt)
{
    if (call.winner == attempt.number) {
        return true;
    }
    if (call.winner != 0 && init_.safeguards.spliceGuard) {
        return false;
    }
    call.winner = attempt.number;
    for (auto &other : call.attempts) {
        if (other.open && other.number != attempt.number) {
            cancel(call, other, false);
        }
    }
    return true;
}

template<class Way>
void EntryCore<Way>::deliver(EntryCall &call, const wire::CallFrame &frame)
{
    DeliverFrame out;
    out.call = call.handle;
    out.begin = !call.delivered;
    out.status = frame.status();
    for (const auto &header : frame.headers()) {
        out.headers.emplace_back(header.name(), header.value());
    }
    out.data = frame.data();
    call.delivered = true;
    actions_.emplace_back(std::move(out));
}

template<class Way>
void EntryCore<Way>::flushHeld(EntryCall &call)
{
    for (const auto &frame : call.held) {
        deliver(call, frame);
    }
    call.held.clear();
    call.heldBytes = 0;
}

template<class Way>
void EntryCore<Way>::onFrame(const std::string &sidecar, const wire::CallFrame &frame, Now now)
{
    const auto [call, attempt] = match(sidecar, frame.id());
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
    if (!ready.empty() && !takeLead(*call, *attempt)) {
        return;
    }
    for (auto &each : ready) {
        call->heldBytes += each.data().size();
        call->held.push_back(std::move(each));
    }
    // Held back only up to half the credit: the sidecar sends no more than the credit until the caller takes bytes.
    const bool passOn = call->request.stream || call->delivered || call->heldBytes * 2 >= call->request.creditBytes;
    if (passOn) {
        flushHeld(*call);
    }
    settle(*call, *attempt, now);
}

template<class Way>
void EntryCore<Way>::onEnd(const std::string &sidecar, const wire::CallEnd &end, Now now)
{
    const auto [call, attempt] = match(sidecar, end.id());
    if (call == nullptr) {
        return;
    }
    attempt->answer.end(end);
    settle(*call, *attempt, now);
}

inline AttemptFate fateOf(const wire::CallEnd &end)
{
    const auto failure = fromWire(end.failure(), FailureReason::EndpointError);
    if (failure == FailureReason::EndpointUnreachable) {
        return AttemptFate::RefusedNotRun;
    }
    const auto outcome = fromWire(end.outcome(), CallOutcome::Unknown);
    return outcome == CallOutcome::Failed ? AttemptFate::RanAndFailed : AttemptFate::MayHaveRun;
}

template<class Way>
void EntryCore<Way>::settle(EntryCall &call, Attempt &attempt, Now now)
{
    const auto &end = attempt.answer.ending();
    if (!end) {
        return;
    }
    const auto outcome = fromWire(end->outcome(), CallOutcome::Unknown);
    if (outcome != CallOutcome::Complete) {
        const auto failure = fromWire(end->failure(), FailureReason::EndpointError);
        closeAttempt(attempt, fateOf(*end));
        const CallError error{Verdict::OutcomeUnknown, RefusalReason::None,
                              failure == FailureReason::None ? FailureReason::EndpointError : failure, Duration{}};
        retryOrFail(call, RetryReason::EngineFailed, error, now);
        return;
    }
    const auto state = attempt.answer.state(init_.safeguards.digestCheck && init_.safeguards.frameMatch);
    if (state == AnswerState::Whole) {
        placement_.observeService(now.mono - attempt.sentAt - Duration(end->stall_us()));
        takeLead(call, attempt);
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
        auto *late = find(handle);
        auto *lateAttempt = late == nullptr ? nullptr : late->attempt(number);
        if (lateAttempt != nullptr && lateAttempt->open) {
            lateAttempt->gapTimer = TimerHandle{};
            onAnswerBroken(*late, *lateAttempt, Now{at, wall});
        }
    });
}

/// The endpoint ran the call but its answer did not arrive whole: never reported as done or as not run.
template<class Way>
void EntryCore<Way>::onAnswerBroken(EntryCall &call, Attempt &attempt, Now now)
{
    ++stats_.brokenAnswers;
    closeAttempt(attempt, AttemptFate::MayHaveRun);
    const CallError error{Verdict::OutcomeUnknown, RefusalReason::None, FailureReason::AnswerIncomplete, Duration{}};
    retryOrFail(call, RetryReason::BrokenAnswer, error, now);
}

template<class Way>
void EntryCore<Way>::onSendFailed(const std::string &sidecar, const wire::AttemptId &id, Now now)
{
    const auto [call, attempt] = match(sidecar, id);
    if (call == nullptr) {
        return;
    }
    closeAttempt(*attempt, attempt->answer.started() ? AttemptFate::MayHaveRun : AttemptFate::NeverSent);
    const CallError error{Verdict::OutcomeUnknown, RefusalReason::NoEndpoint, FailureReason::None, Seconds(1)};
    retryOrFail(*call, RetryReason::SidecarLost, error, now);
}

template<class Way>
void EntryCore<Way>::loseAttempts(SidecarIndex sidecar, std::uint64_t currentIncarnation, bool gone, Now now)
{
    for (const auto handle : sortedCalls()) {
        auto *call = find(handle);
        bool lost = false;
        for (auto &attempt : call->attempts) {
            const bool isLost =
                attempt.open && attempt.sidecar == sidecar && (gone || attempt.incarnation < currentIncarnation);
            if (isLost) {
                closeAttempt(attempt, AttemptFate::MayHaveRun);
                lost = true;
            }
        }
        if (lost) {
            const CallError error{Verdict::OutcomeUnknown, RefusalReason::None, FailureReason::SidecarLost, Duration{}};
            retryOrFail(*call, RetryReason::SidecarLost, error, now);
        }
    }
}

// Without this, a call whose frames were lost with the connection would wait for its deadline.
template<class Way>
void EntryCore<Way>::onConversationLost(const std::string &sidecar, Now now)
{
    if (const auto known = fleet_.find(sidecar)) {
        loseAttempts(*known, 0, true, now);
    }
}

template<class Way>
void EntryCore<Way>::sayHello(const std::string &sidecar, bool wantFull)
{
    wire::Envelope message;
    message.set_protocol(wireProtocol);
    auto &hello = *message.mutable_hello();
    hello.mutable_from()->set_name(init_.name);
    hello.mutable_from()->set_incarnation(init_.incarnation);
    hello.set_data_centre(init_.dataCentre);
    hello.set_want_full(wantFull);
    hello.set_config_revision(init_.config->revision());
    hello.set_config_digest(init_.config->digest());
    actions_.emplace_back(SendToSidecar{sidecar, std::move(message)});
}

template<class Way>
void EntryCore<Way>::onReport(const wire::Heartbeat &report, Now now)
{
    const auto known = fleet_.find(report.from().name());
    const bool wasRoutable = known && fleet_.at(*known).routable();
    const auto result = fleet_.onReport(report);
    if (result == ReportResult::Stale) {
        return;
    }
    const auto sidecar = *fleet_.find(report.from().name());
    if (result == ReportResult::Restarted) {
        loseAttempts(sidecar, report.from().incarnation(), false, now);
    }
    if (result == ReportResult::Gap || (result == ReportResult::Restarted && !report.full())) {
        sayHello(report.from().name(), true);
    }
    if (!wasRoutable && fleet_.at(sidecar).routable()) {
        resumeForSidecar(sidecar, now);
    }
}

template<class Way>
void EntryCore<Way>::onBeat(const std::string &sidecar, const wire::Beat &beat)
{
    if (fleet_.onBeat(sidecar, beat) == ReportResult::Gap) {
        sayHello(sidecar, true);
    }
}

template<class Way>
void EntryCore<Way>::onMember(const Member &member, Now now)
{
    if (member.role != VmRole::Sidecar) {
        return;
    }
    const auto known = fleet_.find(member.name);
    const bool fresh = !known || fleet_.at(*known).incarnation < member.incarnation;
    const bool wasRoutable = known && fleet_.at(*known).routable();
    const bool lost = fleet_.onMember(member);
    const auto sidecar = *fleet_.find(member.name);
    if (lost) {
        loseAttempts(sidecar, member.incarnation, member.state == MemberState::Gone, now);
    }
    if (fresh && member.state == MemberState::Live) {
        sayHello(member.name, true);
    }
    // A member that is live again after a suspicion: its next report finds it routable and resumes nothing.
    if (!wasRoutable && fleet_.at(sidecar).routable()) {
        resumeForSidecar(sidecar, now);
    }
}

template<class Way>
void EntryCore<Way>::onSummary(const std::string &dataCentre, const wire::Heartbeat &summary, Now now)
{
    auto report = summary;
    report.set_data_centre(dataCentre);
    onReport(report, now);
}

} // namespace anvilscale

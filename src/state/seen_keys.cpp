// Table of idempotency keys seen by a slot owner, with cached answers of finished executions.
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <algorithm>
#include <deque>
#include <map>

namespace anvilscale {
namespace {

/// A UUID as 128 bits, independent of letter case. Ordered by time stamp, which comes first.
struct KeyBits
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const KeyBits &) const = default; // NOLINT(modernize-use-nullptr): not a pointer

    WallTime stamp() const
    {
        return WallTime{static_cast<std::int64_t>(high >> 16)};
    }
};

KeyBits bitsOf(std::string_view key)
{
    KeyBits bits;
    unsigned digits = 0;
    for (const char c : key) {
        if (c == '-') {
            continue;
        }
        const auto value = static_cast<std::uint64_t>(c <= '9' ? c - '0' : (c | 0x20) - 'a' + 10);
        auto &half = digits++ < 16 ? bits.high : bits.low;
        half = half << 4 | value;
    }
    return bits;
}

std::string textOf(const KeyBits &bits)
{
    constexpr std::string_view hexDigits = "0123456789abcdef";
    std::string text;
    for (unsigned i = 0; i < 32; ++i) {
        if (i == 8 || i == 12 || i == 16 || i == 20) {
            text += '-';
        }
        const auto half = i < 16 ? bits.high : bits.low;
        text += hexDigits[half >> (4 * (15 - i % 16)) & 0xf];
    }
    return text;
}

std::int64_t toMs(Duration span)
{
    return std::chrono::duration_cast<Milliseconds>(span).count();
}

std::size_t sizeOf(const KeptAnswer &answer)
{
    std::size_t bytes = sizeof(KeptAnswer) + answer.body.size();
    for (const auto &[name, value] : answer.headers) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

KeyDecision refuse(RefusalReason reason, bool provedNotRun)
{
    KeyDecision decision;
    decision.kind = KeyDecisionKind::Refuse;
    decision.reason = reason;
    decision.provedNotRun = provedNotRun;
    return decision;
}

} // namespace

struct SeenKeys::Impl
{
    struct Seen
    {
        std::uint64_t fingerprint = 0;
        ExecutionHandle execution; // none after it has ended
        std::shared_ptr<const KeptAnswer> answer; // empty if the outcome is unknown or the answer was dropped
        TimePoint endedAt;
    };

    Limits limits;
    std::map<KeyBits, Seen> keys; // oldest stamp first
    std::deque<KeyBits> answered; // keys with an answer, in order of completion; may contain removed keys
    std::size_t answerBytes = 0;
    // Largest wall time seen. Prevents a clock that is set back from making a removed key valid again.
    WallTime latest;
    // All removed keys are stamped before this time.
    WallTime forgottenBefore;

    KeyDecision onKnown(const Seen &seen, std::uint64_t fingerprint) const;
    void forgetBefore(WallTime threshold);
    void dropAnswer(Seen &seen);
    void keepAnswer(const KeyBits &bits, Seen &seen, KeptAnswer answer);
};

SeenKeys::SeenKeys(Limits limits)
    : impl_(std::make_unique<Impl>())
{
    impl_->limits = limits;
}

SeenKeys::~SeenKeys() = default;

KeyDecision SeenKeys::Impl::onKnown(const Seen &seen, std::uint64_t fingerprint) const
{
    // A key runs at most one request. Another request under it has not run, since only this owner handles the key.
    if (seen.fingerprint != fingerprint) {
        return refuse(RefusalReason::KeyReused, true);
    }
    KeyDecision decision;
    if (seen.execution) {
        decision.kind = KeyDecisionKind::Attach;
        decision.execution = seen.execution;
        return decision;
    }
    if (seen.answer) {
        decision.kind = KeyDecisionKind::Replay;
        decision.answer = seen.answer;
        return decision;
    }
    return refuse(RefusalReason::KeyTooOld, false);
}

void SeenKeys::Impl::dropAnswer(Seen &seen)
{
    if (seen.answer) {
        answerBytes -= sizeOf(*seen.answer);
        seen.answer.reset();
    }
}

void SeenKeys::Impl::keepAnswer(const KeyBits &bits, Seen &seen, KeptAnswer answer)
{
    const std::size_t bytes = sizeOf(answer);
    if (bytes > limits.answerBytes) {
        return;
    }
    while (answerBytes + bytes > limits.answerBytes && !answered.empty()) {
        const auto oldest = keys.find(answered.front());
        answered.pop_front();
        if (oldest != keys.end()) {
            dropAnswer(oldest->second);
        }
    }
    seen.answer = std::make_shared<const KeptAnswer>(std::move(answer));
    answerBytes += bytes;
    answered.push_back(bits);
}

void SeenKeys::Impl::forgetBefore(WallTime threshold)
{
    for (auto it = keys.begin(); it != keys.end() && it->first.stamp() < threshold;) {
        if (it->second.execution) { // still running; a repeat attaches to it
            ++it;
            continue;
        }
        dropAnswer(it->second);
        it = keys.erase(it);
        forgottenBefore = std::max(forgottenBefore, threshold);
    }
    while (!answered.empty() && !keys.contains(answered.front())) {
        answered.pop_front();
    }
}

KeyDecision SeenKeys::admit(std::string_view key, std::uint64_t fingerprint, const ServiceView &service,
                            WallTime takenAt, ExecutionHandle execution, Now now)
{
    if (key.empty()) {
        return refuse(RefusalReason::KeyMissing, true);
    }
    const auto stamp = keyTime(key);
    if (!stamp) {
        return refuse(RefusalReason::KeyInvalid, true);
    }
    expire(service, now);
    const KeyBits bits = bitsOf(key);
    const auto known = impl_->keys.find(bits);
    if (known != impl_->keys.end()) {
        return impl_->onKnown(known->second, fingerprint);
    }
    // The previous owner may have accepted the key and may run it after a pause. Checked before every refusal that
    // claims a proof.
    if (*stamp < takenAt) {
        return refuse(RefusalReason::KeyTooOld, false);
    }
    const WallTime windowStart{impl_->latest.ms - toMs(service.window)};
    if (*stamp < std::max(windowStart, impl_->forgottenBefore)) {
        return refuse(RefusalReason::KeyTooOld, false);
    }
    // If accepted, the key could be stamped after a successor's takeover time, which would run it again.
    if (stamp->ms > now.wall.ms + toMs(service.skew)) {
        return refuse(RefusalReason::KeyFromFuture, true);
    }
    if (impl_->keys.size() >= impl_->limits.keys) {
        if (impl_->limits.safeguards.forgetOnlyOld) {
            return refuse(RefusalReason::KeyTableFull, true);
        }
        impl_->keys.erase(impl_->keys.begin());
    }
    impl_->keys[bits] = Impl::Seen{fingerprint, execution, nullptr, now.mono};
    KeyDecision decision;
    decision.kind = KeyDecisionKind::Run;
    decision.execution = execution;
    return decision;
}

void SeenKeys::release(std::string_view key)
{
    const auto known = impl_->keys.find(bitsOf(key));
    if (known != impl_->keys.end() && known->second.execution) {
        impl_->keys.erase(known);
    }
}

void SeenKeys::finish(std::string_view key, KeptAnswer answer, Now now)
{
    const KeyBits bits = bitsOf(key);
    const auto known = impl_->keys.find(bits);
    if (known == impl_->keys.end() || !known->second.execution) {
        return;
    }
    known->second.execution = {};
    known->second.endedAt = now.mono;
    if (answer.outcome == CallOutcome::Complete) {
        impl_->keepAnswer(bits, known->second, std::move(answer));
    }
}

void SeenKeys::expire(const ServiceView &service, Now now)
{
    impl_->latest = std::max(impl_->latest, now.wall);
    impl_->forgetBefore(WallTime{impl_->latest.ms - toMs(service.window)});
}

std::size_t SeenKeys::size() const
{
    return impl_->keys.size();
}

std::size_t SeenKeys::answerBytes() const
{
    return impl_->answerBytes;
}

void SeenKeys::exportSlot(std::uint32_t slot, std::uint32_t slots, Now now, wire::SlotHandover &into) const
{
    into.set_forgotten_before_ms(static_cast<std::uint64_t>(impl_->forgottenBefore.ms));
    for (const auto &[bits, seen] : impl_->keys) {
        const std::string key = textOf(bits);
        if (slotOf(key, slots) != slot) {
            continue;
        }
        auto &out = *into.add_keys();
        out.set_key(key);
        out.set_fingerprint(seen.fingerprint);
        out.set_outcome(static_cast<std::uint32_t>(seen.answer ? seen.answer->outcome : CallOutcome::Unknown));
        out.set_age_us(static_cast<std::uint64_t>((now.mono - seen.endedAt).count()));
        if (!seen.answer) {
            continue;
        }
        out.set_answer_kept(true);
        out.set_status(seen.answer->status);
        out.set_failure(static_cast<std::uint32_t>(seen.answer->failure));
        out.set_answer(seen.answer->body);
        for (const auto &[name, value] : seen.answer->headers) {
            auto &header = *out.add_headers();
            header.set_name(name);
            header.set_value(value);
        }
    }
}

bool SeenKeys::importPart(const wire::SlotHandover &part, Now now)
{
    // A sender's keys are bounded by its own limit. Allowing twice the limit bounds this owner's memory.
    if (impl_->keys.size() + static_cast<std::size_t>(part.keys_size()) > 2 * impl_->limits.keys) {
        return false;
    }
    impl_->forgottenBefore =
        std::max(impl_->forgottenBefore, WallTime{static_cast<std::int64_t>(part.forgotten_before_ms())});
    for (const auto &from : part.keys()) {
        if (!keyTime(from.key())) {
            continue;
        }
        const KeyBits bits = bitsOf(from.key());
        const auto [entry, added] = impl_->keys.try_emplace(bits);
        Impl::Seen &seen = entry->second;
        if (!added && (seen.execution || seen.answer)) {
            continue; // the local entry has more information
        }
        seen.fingerprint = from.fingerprint();
        seen.endedAt = now.mono;
        if (from.answer_kept()) {
            KeptAnswer answer;
            answer.outcome = fromWire(from.outcome(), CallOutcome::Unknown);
            answer.failure = fromWire(from.failure(), FailureReason::None);
            answer.status = from.status();
            answer.body = from.answer();
            for (const auto &header : from.headers()) {
                answer.headers.emplace_back(header.name(), header.value());
            }
            impl_->keepAnswer(bits, seen, std::move(answer));
        }
    }
    return true;
}

} // namespace anvilscale

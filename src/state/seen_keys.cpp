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

    WallTime timestamp() const
    {
        return WallTime{static_cast<std::int64_t>(high >> 16)};
    }
};

KeyBits parseKeyBits(std::string_view key)
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

std::string formatKey(const KeyBits &bits)
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

std::size_t answerSize(const CachedAnswer &answer)
{
    std::size_t bytes = sizeof(CachedAnswer) + answer.body.size();
    for (const auto &[name, value] : answer.headers) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

KeyDecision makeRefusal(RefusalReason reason, bool provedNotRun)
{
    KeyDecision decision;
    decision.kind = KeyDecisionKind::Refuse;
    decision.reason = reason;
    decision.isProvenNotRun = provedNotRun;
    return decision;
}

} // namespace

struct SeenKeys::Impl
{
    struct KeyEntry
    {
        std::uint64_t fingerprint = 0;
        ExecutionHandle execution; // none after it has ended
        std::shared_ptr<const CachedAnswer> answer; // empty if the outcome is unknown or the answer was dropped
        TimePoint endedAt;
    };

    Limits limits;
    std::map<KeyBits, KeyEntry> keys; // oldest stamp first
    std::deque<KeyBits> answeredKeys; // keys with an answer, in order of completion; may contain removed keys
    std::size_t answerBytes = 0;
    // Largest wall time seen. Prevents a clock that is set back from making a removed key valid again.
    WallTime latestWallTime;
    WallTime latestStamp; // of all keys registered or imported
    // All removed keys are stamped before this time.
    WallTime removedBefore;

    KeyDecision decideKnownKey(const KeyEntry &keyEntry, std::uint64_t fingerprint) const;
    void removeBefore(WallTime threshold);
    void dropAnswer(KeyEntry &keyEntry);
    void cacheAnswer(const KeyBits &bits, KeyEntry &keyEntry, CachedAnswer answer);
};

SeenKeys::SeenKeys(Limits limits)
    : impl_(std::make_unique<Impl>())
{
    impl_->limits = limits;
}

SeenKeys::~SeenKeys() = default;

KeyDecision SeenKeys::Impl::decideKnownKey(const KeyEntry &keyEntry, std::uint64_t fingerprint) const
{
    // A key runs at most one request. Another request under it has not run, since only this owner handles the key.
    if (keyEntry.fingerprint != fingerprint) {
        return makeRefusal(RefusalReason::KeyReused, true);
    }
    KeyDecision decision;
    if (keyEntry.execution) {
        decision.kind = KeyDecisionKind::Attach;
        decision.execution = keyEntry.execution;
        return decision;
    }
    if (keyEntry.answer) {
        decision.kind = KeyDecisionKind::Replay;
        decision.answer = keyEntry.answer;
        return decision;
    }
    return makeRefusal(RefusalReason::KeyTooOld, false);
}

void SeenKeys::Impl::dropAnswer(KeyEntry &keyEntry)
{
    if (keyEntry.answer) {
        answerBytes -= answerSize(*keyEntry.answer);
        keyEntry.answer.reset();
    }
}

void SeenKeys::Impl::cacheAnswer(const KeyBits &bits, KeyEntry &keyEntry, CachedAnswer answer)
{
    const std::size_t bytes = answerSize(answer);
    if (bytes > limits.answerBytes) {
        return;
    }
    while (answerBytes + bytes > limits.answerBytes && !answeredKeys.empty()) {
        const auto oldest = keys.find(answeredKeys.front());
        answeredKeys.pop_front();
        if (oldest != keys.end()) {
            dropAnswer(oldest->second);
        }
    }
    keyEntry.answer = std::make_shared<const CachedAnswer>(std::move(answer));
    answerBytes += bytes;
    answeredKeys.push_back(bits);
}

void SeenKeys::Impl::removeBefore(WallTime threshold)
{
    for (auto it = keys.begin(); it != keys.end() && it->first.timestamp() < threshold;) {
        if (it->second.execution) { // still running; a repeat attaches to it
            ++it;
            continue;
        }
        dropAnswer(it->second);
        it = keys.erase(it);
        removedBefore = std::max(removedBefore, threshold);
    }
    while (!answeredKeys.empty() && !keys.contains(answeredKeys.front())) {
        answeredKeys.pop_front();
    }
}

KeyDecision SeenKeys::admit(std::string_view key, std::uint64_t fingerprint, const ServiceView &service,
                            WallTime minKeyTime, ExecutionHandle execution, Now now)
{
    if (key.empty()) {
        return makeRefusal(RefusalReason::KeyMissing, true);
    }
    const auto timestamp = parseKeyTime(key);
    if (!timestamp) {
        return makeRefusal(RefusalReason::KeyInvalid, true);
    }
    expire(service, now);
    const KeyBits bits = parseKeyBits(key);
    const auto found = impl_->keys.find(bits);
    if (found != impl_->keys.end()) {
        return impl_->decideKnownKey(found->second, fingerprint);
    }
    // The previous owner may have accepted the key and may run it after a pause. Checked before every refusal that
    // claims a proof.
    if (*timestamp < minKeyTime) {
        return makeRefusal(RefusalReason::KeyTooOld, false);
    }
    const WallTime windowStart{impl_->latestWallTime.ms - toMs(service.window)};
    if (*timestamp < std::max(windowStart, impl_->removedBefore)) {
        return makeRefusal(RefusalReason::KeyTooOld, false);
    }
    // If accepted, the key could be stamped after a successor's takeover time, which would run it again.
    if (timestamp->ms > now.wall.ms + toMs(service.skew)) {
        return makeRefusal(RefusalReason::KeyFromFuture, true);
    }
    if (impl_->keys.size() >= impl_->limits.keys) {
        if (impl_->limits.safeguards.forgetOnlyOld) {
            return makeRefusal(RefusalReason::KeyTableFull, true);
        }
        impl_->keys.erase(impl_->keys.begin());
    }
    impl_->latestStamp = std::max(impl_->latestStamp, *timestamp);
    impl_->keys[bits] = Impl::KeyEntry{fingerprint, execution, nullptr, now.mono};
    KeyDecision decision;
    decision.kind = KeyDecisionKind::Run;
    decision.execution = execution;
    return decision;
}

void SeenKeys::release(std::string_view key)
{
    const auto found = impl_->keys.find(parseKeyBits(key));
    if (found != impl_->keys.end() && found->second.execution) {
        impl_->keys.erase(found);
    }
}

void SeenKeys::finish(std::string_view key, CachedAnswer answer, Now now)
{
    const KeyBits bits = parseKeyBits(key);
    const auto found = impl_->keys.find(bits);
    if (found == impl_->keys.end() || !found->second.execution) {
        return;
    }
    found->second.execution = {};
    found->second.endedAt = now.mono;
    if (answer.outcome == CallOutcome::Complete) {
        impl_->cacheAnswer(bits, found->second, std::move(answer));
    }
}

void SeenKeys::expire(const ServiceView &service, Now now)
{
    impl_->latestWallTime = std::max(impl_->latestWallTime, now.wall);
    impl_->removeBefore(WallTime{impl_->latestWallTime.ms - toMs(service.window)});
}

std::size_t SeenKeys::size() const
{
    return impl_->keys.size();
}

std::size_t SeenKeys::answerBytes() const
{
    return impl_->answerBytes;
}

WallTime SeenKeys::latestStamp() const
{
    return impl_->latestStamp;
}

void SeenKeys::exportSlot(std::uint32_t slot, std::uint32_t slots, Now now, wire::SlotHandover &into) const
{
    into.set_forgotten_before_ms(static_cast<std::uint64_t>(impl_->removedBefore.ms));
    for (const auto &[bits, keyEntry] : impl_->keys) {
        const std::string key = formatKey(bits);
        if (slotOf(key, slots) != slot) {
            continue;
        }
        auto &out = *into.add_keys();
        out.set_key(key);
        out.set_fingerprint(keyEntry.fingerprint);
        out.set_outcome(static_cast<std::uint32_t>(keyEntry.answer ? keyEntry.answer->outcome : CallOutcome::Unknown));
        out.set_age_us(static_cast<std::uint64_t>((now.mono - keyEntry.endedAt).count()));
        if (!keyEntry.answer) {
            continue;
        }
        out.set_answer_kept(true);
        out.set_status(keyEntry.answer->status);
        out.set_failure(static_cast<std::uint32_t>(keyEntry.answer->failure));
        out.set_answer(keyEntry.answer->body);
        for (const auto &[name, value] : keyEntry.answer->headers) {
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
    impl_->removedBefore =
        std::max(impl_->removedBefore, WallTime{static_cast<std::int64_t>(part.forgotten_before_ms())});
    for (const auto &from : part.keys()) {
        if (!parseKeyTime(from.key())) {
            continue;
        }
        const KeyBits bits = parseKeyBits(from.key());
        impl_->latestStamp = std::max(impl_->latestStamp, bits.timestamp());
        const auto [entry, isNew] = impl_->keys.try_emplace(bits);
        Impl::KeyEntry &keyEntry = entry->second;
        if (!isNew && (keyEntry.execution || keyEntry.answer)) {
            continue; // the local entry has more information
        }
        keyEntry.fingerprint = from.fingerprint();
        keyEntry.endedAt = now.mono;
        if (from.answer_kept()) {
            CachedAnswer answer;
            answer.outcome = fromWire(from.outcome(), CallOutcome::Unknown);
            answer.failure = fromWire(from.failure(), FailureReason::None);
            answer.status = from.status();
            answer.body = from.answer();
            for (const auto &header : from.headers()) {
                answer.headers.emplace_back(header.name(), header.value());
            }
            impl_->cacheAnswer(bits, keyEntry, std::move(answer));
        }
    }
    return true;
}

} // namespace anvilscale

// Verdict reported to callers on whether a call ran. Used by every path that ends a call.
#pragma once

#include "anvilscale/base.h"

#include <span>

namespace anvilscale {

/// Outcome of one attempt as known when the call ends.
enum class AttemptOutcome : std::uint8_t {
    NeverSent, ///< the transport proved that nothing was sent
    RefusedNotRun, ///< the sidecar proved that the endpoint did not receive it
    MayHaveRun, ///< sent, without further information
    RanAndFailed, ///< the endpoint reported a failure
    Count
};
template<>
struct EnumNames<AttemptOutcome>
{
    static constexpr std::array<std::string_view, enumCount<AttemptOutcome>> table{"never_sent", "refused_not_run",
                                                                                   "may_have_run", "ran_and_failed"};
};

/// Whether an earlier call with the same key is ruled out.
enum class KeyProof : std::uint8_t {
    NoKey, ///< the call has no key, so no earlier call can match
    OwnerProved, ///< the owner of the key's slot reported that the key has not run
    NotProved, ///< another entry may have sent a call with this key
    Count
};
template<>
struct EnumNames<KeyProof>
{
    static constexpr std::array<std::string_view, enumCount<KeyProof>> table{"no_key", "owner_proved", "not_proved"};
};

/// Returns NotRun only if neither an attempt nor an earlier call with the same key can have reached an endpoint.
/// Prevents a duplicate admission: on "not run" the caller repeats the call under a new key.
Verdict verdictOf(std::span<const AttemptOutcome> attempts, KeyProof key);

} // namespace anvilscale

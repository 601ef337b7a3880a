// The one rule by which a caller is told whether a call ran. Every path that ends a call uses it.
#pragma once

#include "anvilscale/base.h"

#include <span>

namespace anvilscale {

/// What is known of one attempt when the call ends.
enum class AttemptFate : std::uint8_t {
    NeverSent, ///< the transport proved that nothing left this process
    RefusedNotRun, ///< its sidecar proved that the endpoint never saw it
    MayHaveRun, ///< sent, and nothing better is known
    RanAndFailed, ///< the endpoint reported a failure
    Count
};
template<>
struct EnumNames<AttemptFate>
{
    static constexpr std::array<std::string_view, enumCount<AttemptFate>> table{"never_sent", "refused_not_run",
                                                                                "may_have_run", "ran_and_failed"};
};

/// Where a proof about the caller's key comes from.
enum class KeyProof : std::uint8_t {
    NoKey, ///< without a key no earlier call can be the same call
    OwnerProved, ///< the owner of the key's slot says that the key never ran
    NotProved, ///< another entry may have sent an earlier call with this key
    Count
};
template<>
struct EnumNames<KeyProof>
{
    static constexpr std::array<std::string_view, enumCount<KeyProof>> table{"no_key", "owner_proved", "not_proved"};
};

/// NotRun only if no attempt can have reached an endpoint and no earlier call with the same key can have either.
/// A caller that is told "not run" repeats the call under a new key; if an execution exists, that doubles an admission.
Verdict verdictOf(std::span<const AttemptFate> attempts, KeyProof key);

} // namespace anvilscale

// Verdict on whether a call ran.
#include "verdict.h"

namespace anvilscale {

namespace {

bool provesNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NeverSent || outcome == AttemptOutcome::RefusedNotRun;
}

} // namespace

Verdict verdictOf(std::span<const AttemptOutcome> attempts, KeyProof key)
{
    bool isNotRun = key != KeyProof::NotProved;
    bool hasFailed = !attempts.empty();
    for (const auto outcome : attempts) {
        isNotRun = isNotRun && provesNotRun(outcome);
        hasFailed = hasFailed && (provesNotRun(outcome) || outcome == AttemptOutcome::RanAndFailed);
    }
    if (isNotRun) {
        return Verdict::NotRun;
    }
    const bool lastAttemptFailed = !attempts.empty() && attempts.back() == AttemptOutcome::RanAndFailed;
    return hasFailed && lastAttemptFailed ? Verdict::Failed : Verdict::OutcomeUnknown;
}

} // namespace anvilscale

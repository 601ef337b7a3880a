// The verdict rule.
#include "verdict.h"

namespace anvilscale {

namespace {

bool provesNotRun(AttemptFate fate)
{
    return fate == AttemptFate::NeverSent || fate == AttemptFate::RefusedNotRun;
}

} // namespace

Verdict verdictOf(std::span<const AttemptFate> attempts, KeyProof key)
{
    bool notRun = key != KeyProof::NotProved;
    bool failed = !attempts.empty();
    for (const auto fate : attempts) {
        notRun = notRun && provesNotRun(fate);
        failed = failed && (provesNotRun(fate) || fate == AttemptFate::RanAndFailed);
    }
    if (notRun) {
        return Verdict::NotRun;
    }
    const bool anyFailed = !attempts.empty() && attempts.back() == AttemptFate::RanAndFailed;
    return failed && anyFailed ? Verdict::Failed : Verdict::OutcomeUnknown;
}

} // namespace anvilscale

// State of one open call of an entry and of its attempts.
#pragma once

#include "answer_assembler.h"
#include "fleet_view.h"
#include "verdict.h"

#include "anvilscale/routing.h"

#include <vector>

namespace anvilscale {

/// One try of a call at one sidecar.
struct Attempt
{
    std::uint32_t number = 0; ///< counted from 1 within the call
    SidecarIndex sidecar = 0;
    std::uint64_t incarnation = 0; ///< incarnation of the sidecar when the attempt was sent
    std::uint64_t slotFence = 0; ///< fencing number of the slot owner; 0 for idempotent calls
    bool isOpen = true; ///< frames are accepted
    AttemptOutcome outcome = AttemptOutcome::MayHaveRun;
    AnswerAssembler answer;
    TimePoint sentAt;
    TimerHandle gapTimer; ///< armed while frames are missing after the end frame
};

/// One open call.
struct EntryCall
{
    CallHandle handle;
    CallerRequest request;
    AdapterVersion target;
    std::string baseModel;
    std::uint64_t adapterKey = 0;
    std::uint64_t revision = 0; ///< configuration revision at which `target` was resolved
    CallClass callClass = CallClass::Normal;
    bool isIdempotent = true;
    std::uint32_t slot = 0; ///< slot of the key, for a non-idempotent service
    TimePoint arrivedAt;
    TimePoint deadline;
    TimerHandle deadlineTimer;
    TimerHandle waitTimer; ///< armed while the call waits for a slot table or a configuration
    TimerHandle hedgeTimer;
    CallError timeoutError; ///< reported if the wait times out
    std::uint64_t awaitedRevision = 0; ///< awaited configuration revision; 0 while waiting for a slot table
    std::vector<Attempt> attempts;
    std::vector<SidecarIndex> triedSidecars;
    KeyProof keyProof = KeyProof::NoKey;
    // Undelivered frames of an answer that is not streamed, so that a broken answer can be retried.
    std::vector<wire::CallFrame> heldFrames;
    std::size_t heldBytes = 0;
    bool hasDelivered = false; ///< the caller has received bytes; no other attempt may append to them
    std::uint32_t answeringAttempt = 0; ///< number of the attempt whose answer is used; 0 if none has started

    Duration timeLeft(TimePoint now) const
    {
        return deadline > now ? deadline - now : Duration{};
    }
    Attempt *attempt(std::uint32_t number)
    {
        return number >= 1 && number <= attempts.size() ? &attempts[number - 1] : nullptr;
    }
    bool hasOpenAttempt() const
    {
        for (const auto &each : attempts) {
            if (each.isOpen) {
                return true;
            }
        }
        return false;
    }
};

} // namespace anvilscale

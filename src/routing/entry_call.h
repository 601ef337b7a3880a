// One open call of an entry with its attempts.
#pragma once

#include "answer_assembler.h"
#include "fleet_view.h"
#include "verdict.h"

#include "anvilscale/routing.h"

#include <vector>

namespace anvilscale {

struct Attempt
{
    std::uint32_t number = 0;
    SidecarIndex sidecar = 0;
    std::uint64_t incarnation = 0; ///< of the sidecar, when the attempt was sent
    std::uint64_t slotFence = 0;
    bool open = true; ///< frames are accepted
    AttemptFate fate = AttemptFate::MayHaveRun;
    AnswerAssembler answer;
    TimePoint sentAt;
    TimerHandle gapTimer; ///< armed while the end frame is there and frames are missing
};

struct EntryCall
{
    CallHandle handle;
    CallerRequest request;
    AdapterVersion target;
    std::string baseModel;
    std::uint64_t adapterKey = 0;
    std::uint64_t revision = 0; ///< at which `target` was resolved
    CallClass callClass = CallClass::Normal;
    bool idempotent = true;
    std::uint32_t slot = 0; ///< of the key, for a non-idempotent service
    TimePoint arrived;
    TimePoint deadline;
    TimerHandle deadlineTimer;
    TimerHandle waitTimer; ///< armed while the call waits for a slot table or a configuration
    TimerHandle hedgeTimer;
    CallError waitError; ///< the answer if the wait ends in vain
    std::uint64_t waitRevision = 0; ///< configuration revision waited for; 0: a slot table
    std::vector<Attempt> attempts;
    std::vector<SidecarIndex> tried;
    KeyProof keyProof = KeyProof::NoKey;
    // Frames of a plain (not streamed) answer, held back until it is whole, so that a broken one can be repeated.
    std::vector<wire::CallFrame> held;
    std::size_t heldBytes = 0;
    bool delivered = false; ///< the caller has seen bytes; no other attempt may add to them
    std::uint32_t winner = 0; ///< attempt number whose answer is used; 0 while none has begun

    Duration left(TimePoint now) const
    {
        return deadline > now ? deadline - now : Duration{};
    }
    Attempt *attempt(std::uint32_t number)
    {
        return number >= 1 && number <= attempts.size() ? &attempts[number - 1] : nullptr;
    }
    bool anyOpen() const
    {
        for (const auto &each : attempts) {
            if (each.open) {
                return true;
            }
        }
        return false;
    }
};

} // namespace anvilscale

// Identity of an attempt, and the listener that receives the answer of an execution.
#pragma once

#include "wire.pb.h"

#include "anvilscale/base.h"

#include <compare>

namespace anvilscale {

/// Unique identity of an attempt.
struct AttemptKey
{
    std::uint64_t entryIncarnation = 0;
    std::uint64_t call = 0;
    std::uint32_t attempt = 0;
    auto operator<=>(const AttemptKey &) const = default;

    static AttemptKey fromWire(const wire::AttemptId &id)
    {
        return {id.entry_incarnation(), id.call(), id.attempt()};
    }
    wire::AttemptId toWire() const
    {
        wire::AttemptId id;
        id.set_entry_incarnation(entryIncarnation);
        id.set_call(call);
        id.set_attempt(attempt);
        return id;
    }
};

/// Attempt of an entry that waits for, or is attached to, an execution.
struct Listener
{
    PeerHandle peer;
    AttemptKey attempt;
    std::uint64_t creditBytes = 0;
};

} // namespace anvilscale

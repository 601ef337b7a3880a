// At-most-once execution for the calls of one non-idempotent service: its seen keys and its share of the slots. The
// rules are those of the state library.
#pragma once

#include "anvilscale/state.h"

#include <functional>
#include <memory>
#include <string>

namespace anvilscale {

/// Combines the seen keys and the slot ownership of one service.
class KeyGuard
{
public:
    struct Init
    {
        SlotOwner::Init owner; ///< `seen` is set by KeyGuard
        SeenKeys::Limits limits;
    };
    KeyGuard(Init init, std::function<void(KvRequest)> submit);

    SlotOwner &owner()
    {
        return owner_;
    }
    /// Returns the current ownership of the key's slot.
    SlotOwnership ownership(std::string_view key, const ServiceView &service, Now now) const;
    /// Decides on a call whose slot is owned. If the decision is Run, the key is registered until release() or
    /// finish().
    KeyDecision admit(const std::string &key, std::uint64_t fingerprint, const ServiceView &service,
                      const SlotOwnership &ownership, ExecutionHandle execution, Now now);
    /// Returns true if the key certainly never ran. Required before a refusal for another reason may claim "not run".
    bool provesNotRun(const std::string &key, std::uint64_t fingerprint, const ServiceView &service, Now now);
    void release(const std::string &key);
    void finish(const std::string &key, CachedAnswer &&answer, Now now);
    void expire(const ServiceView &service, Now now);

private:
    SeenKeys seen_;
    SlotOwner owner_; // uses seen_
};

} // namespace anvilscale

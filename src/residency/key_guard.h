// At most once for the calls of one non-idempotent service: its seen keys and its share of the slots. The rules are
// those of the state library; here they are joined to the calls of this sidecar.
#pragma once

#include "anvilscale/state.h"

#include <functional>
#include <memory>
#include <string>

namespace anvilscale {

class KeyGuard
{
public:
    struct Init
    {
        SlotOwner::Init owner; ///< without `seen`
        SeenKeys::Limits limits;
    };
    KeyGuard(Init init, std::function<void(KvRequest)> submit);

    SlotOwner &owner()
    {
        return owner_;
    }
    /// Ownership of the key's slot, now.
    SlotOwnership ownership(std::string_view key, const ServiceView &service, Now now) const;
    /// Decides on a call whose slot is owned; with Run the key is registered until release() or finish().
    KeyDecision admit(const std::string &key, std::uint64_t fingerprint, const ServiceView &service,
                      const SlotOwnership &ownership, ExecutionHandle execution, Now now);
    /// Whether the key was certainly never run: what a refusal for another reason may claim.
    bool provesNotRun(const std::string &key, std::uint64_t fingerprint, const ServiceView &service, Now now);
    void release(const std::string &key);
    void finish(const std::string &key, KeptAnswer &&answer, Now now);
    void expire(const ServiceView &service, Now now);

private:
    SeenKeys seen_;
    SlotOwner owner_; // hands seen_ over
};

} // namespace anvilscale

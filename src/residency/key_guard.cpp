// Implementation of KeyGuard.
#include "key_guard.h"

#include <utility>

namespace anvilscale {

namespace {

SlotOwner::Init withSeenKeys(SlotOwner::Init init, SeenKeys &seen)
{
    init.seen = &seen;
    return init;
}

} // namespace

KeyGuard::KeyGuard(Init init, std::function<void(KvRequest)> submit)
    : seen_(init.limits)
    , owner_(withSeenKeys(std::move(init.owner), seen_), std::move(submit))
{
}

SlotOwnership KeyGuard::ownership(std::string_view key, const ServiceView &service, Now now) const
{
    return owner_.owns(slotOf(key, service.slots), now);
}

KeyDecision KeyGuard::admit(const std::string &key, std::uint64_t fingerprint, const ServiceView &service,
                            const SlotOwnership &ownership, ExecutionHandle execution, Now now)
{
    return seen_.admit(key, fingerprint, service, ownership.minKeyTime, execution, now);
}

bool KeyGuard::provesNotRun(const std::string &key, std::uint64_t fingerprint, const ServiceView &service, Now now)
{
    const auto owned = ownership(key, service, now);
    if (!owned.isOwned) {
        return false;
    }
    const auto decision = seen_.admit(key, fingerprint, service, owned.minKeyTime, ExecutionHandle{1}, now);
    if (decision.kind == KeyDecisionKind::Run) {
        seen_.release(key);
    }
    return decision.kind == KeyDecisionKind::Run || decision.isProvenNotRun;
}

void KeyGuard::release(const std::string &key)
{
    seen_.release(key);
}

void KeyGuard::finish(const std::string &key, CachedAnswer &&answer, Now now)
{
    seen_.finish(key, std::move(answer), now);
}

void KeyGuard::expire(const ServiceView &service, Now now)
{
    seen_.expire(service, now);
}

} // namespace anvilscale

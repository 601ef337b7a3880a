// Public interface of the entry state machine.
#include "entry_core.h"

namespace anvilscale {

struct EntryDecisions::Impl
{
    EntryCore<ProductTraits> core;
};

EntryDecisions::EntryDecisions(EntryInit init)
    : impl_(new Impl{EntryCore<ProductTraits>(std::move(init))})
{
}

EntryDecisions::~EntryDecisions() = default;

void EntryDecisions::onCall(CallHandle call, CallerRequest request, Now now)
{
    impl_->core.onCall(call, std::move(request), now);
}

void EntryDecisions::onCallerGone(CallHandle call, FailureReason reason, Now now)
{
    impl_->core.onCallerGone(call, reason, now);
}

void EntryDecisions::onCallerRead(CallHandle call, std::uint64_t bytes, Now /*now*/)
{
    impl_->core.onCallerRead(call, bytes);
}

void EntryDecisions::onMessage(const std::string &sidecar, const wire::Envelope &message, Now now)
{
    impl_->core.onMessage(sidecar, message, now);
}

void EntryDecisions::onSendFailed(const std::string &sidecar, const wire::AttemptId &id, Now now)
{
    impl_->core.onSendFailed(sidecar, id, now);
}

void EntryDecisions::onConnectionLost(const std::string &sidecar, Now now)
{
    impl_->core.onConnectionLost(sidecar, now);
}

void EntryDecisions::onMember(const Member &member, Now now)
{
    impl_->core.onMember(member, now);
}

void EntryDecisions::onConfigChanged(Now now)
{
    impl_->core.onConfigChanged(now);
}

void EntryDecisions::onSlotTable(const config::SlotTable &table, Now now)
{
    impl_->core.onSlotTable(table, now);
}

void EntryDecisions::onSummary(const std::string &dataCentre, const wire::Heartbeat &summary, Now now)
{
    impl_->core.onSummary(dataCentre, summary, now);
}

std::vector<EntryAction> EntryDecisions::takeActions()
{
    return impl_->core.takeActions();
}

const EntryStats &EntryDecisions::stats() const
{
    return impl_->core.stats();
}

RouteExplanation EntryDecisions::explain(std::string_view route, Now now) const
{
    return impl_->core.explain(route, now);
}

} // namespace anvilscale

// Baseline implementation of the entry interface.
#include "entry_core.h"

namespace anvilscale {

struct NaiveEntryDecisions::Impl
{
    EntryCore<NaiveTraits> core;
};

NaiveEntryDecisions::NaiveEntryDecisions(EntryInit init)
    : impl_(new Impl{EntryCore<NaiveTraits>(std::move(init))})
{
}

NaiveEntryDecisions::~NaiveEntryDecisions() = default;

void NaiveEntryDecisions::onCall(CallHandle call, CallerRequest request, Now now)
{
    impl_->core.onCall(call, std::move(request), now);
}

void NaiveEntryDecisions::onCallerGone(CallHandle call, FailureReason reason, Now now)
{
    impl_->core.onCallerGone(call, reason, now);
}

void NaiveEntryDecisions::onCallerRead(CallHandle call, std::uint64_t bytes, Now /*now*/)
{
    impl_->core.onCallerRead(call, bytes);
}

void NaiveEntryDecisions::onMessage(const std::string &sidecar, const wire::Envelope &message, Now now)
{
    impl_->core.onMessage(sidecar, message, now);
}

void NaiveEntryDecisions::onSendFailed(const std::string &sidecar, const wire::AttemptId &id, Now now)
{
    impl_->core.onSendFailed(sidecar, id, now);
}

void NaiveEntryDecisions::onMember(const Member &member, Now now)
{
    impl_->core.onMember(member, now);
}

void NaiveEntryDecisions::onConfigChanged(Now now)
{
    impl_->core.onConfigChanged(now);
}

void NaiveEntryDecisions::onSlotTable(const config::SlotTable &table, Now now)
{
    impl_->core.onSlotTable(table, now);
}

void NaiveEntryDecisions::onSummary(const std::string &dataCentre, const wire::Heartbeat &summary, Now now)
{
    impl_->core.onSummary(dataCentre, summary, now);
}

std::vector<EntryAction> NaiveEntryDecisions::takeActions()
{
    return impl_->core.takeActions();
}

const EntryStats &NaiveEntryDecisions::stats() const
{
    return impl_->core.stats();
}

} // namespace anvilscale

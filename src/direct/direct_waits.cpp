// Waiting calls, deadlines, and the demand sent to sidecars.
#include "direct_calls_impl.h"

#include <algorithm>
#include <cmath>

namespace anvilscale {

namespace {

// Interval at which a waiting call is checked against its deadline.
constexpr Duration hopeInterval = Milliseconds(250);
// Minimum interval between demands while calls are running, so that a sidecar evicts no adapter in use.
constexpr Duration wishesInterval = Milliseconds(400);
// Changes of unread prompt tokens are sent sooner, to keep independent entries from sending long prompts to the same
// engine at the same time.
constexpr double unreadStep = 3000;
constexpr Duration unreadInterval = Milliseconds(15);
// Maximum interval between demands, so that a sidecar knows that the entry is alive.
constexpr Duration wishesKeepAlive = Milliseconds(2000);

/// Returns the capacity of an engine of the service; nullptr for a plain or unknown service.
const EngineLimits *engineOf(const std::optional<DirectConfig> &config, const std::string &name)
{
    const auto *service = config ? config->service(name) : nullptr;
    return service != nullptr && service->engine ? &*service->engine : nullptr;
}

} // namespace

void DirectCalls::tick(TimePoint now)
{
    impl_->shareRetries(now);
    impl_->checkDeadlines(now);
    impl_->checkWaiting(now);
    impl_->tellSidecars(now);
}

void DirectCalls::Impl::checkDeadlines(TimePoint now)
{
    std::vector<CallHandle> due;
    for (const auto &[handle, call] : calls) {
        if (now >= call.cutAt) {
            due.push_back(handle);
        }
    }
    for (const auto handle : due) {
        auto &call = calls.at(handle);
        const bool sent = call.step == CallStep::Sent;
        const bool slow = sent && !call.began;
        leaveEndpoint(handle, call, slow, now);
        if (sent) {
            abandon(handle, FailureReason::DeadlinePassed, now);
        } else {
            giveUp(handle, call, RefusalReason::DeadlinePassed, Duration(0), now);
        }
    }
}

// True if the adapter cannot be loaded before the caller leaves. An early refusal leaves the caller time to return.
bool DirectCalls::Impl::isHopeless(const DirectCall &call, TimePoint now)
{
    const auto *entry = endpointOf(call);
    if (entry == nullptr || !init.policy.has(Mechanism::EarlyRefusal)) {
        return false;
    }
    const auto query = queryFor(call, now);
    const WaitForecast forecast(*entry, query, now);
    const auto presence = entry->presence(call.adapterName(), query.leastVersion, now);
    return now + fromMilliseconds(forecast.certainRestMs(presence)) > call.firstByteBy;
}

void DirectCalls::Impl::checkWaiting(TimePoint now)
{
    std::vector<CallHandle> due;
    for (auto &[handle, call] : calls) {
        if (call.step != CallStep::Waiting || now < call.checkAt) {
            continue;
        }
        call.checkAt = now + hopeInterval;
        if (now > call.thinkAgainAt || quarantine.holds(call.facts.fingerprint, now) || isHopeless(call, now)) {
            due.push_back(handle);
        }
    }
    for (const auto handle : due) {
        auto &call = calls.at(handle);
        leaveEndpoint(handle, call, false, now);
        route(handle, call, now);
    }
}

void DirectCalls::Impl::sendWaiting(const std::string &endpointId, TimePoint now)
{
    auto *entry = endpoints.find(endpointId);
    if (entry == nullptr || entry->waiting.empty()) {
        return;
    }
    std::vector<CallHandle> ready;
    for (const auto handle : entry->waiting) {
        const auto name = calls.at(handle).adapterName();
        if (entry->presence(name, namedVersion(name), now) == Presence::Resident) {
            ready.push_back(handle);
        }
    }
    for (const auto handle : ready) {
        auto &call = calls.at(handle);
        stopWaiting(*entry, handle, call, now);
        if (!stopQuarantined(handle, call, now)) {
            send(handle, call, now);
        }
    }
}

std::string DirectCalls::Impl::favouriteModel(const std::string &service) const
{
    const auto *engine = engineOf(config, service);
    if (engine == nullptr) {
        return {};
    }
    std::string best;
    std::uint64_t most = 0;
    for (const auto &model : engine->models) {
        const auto used = modelUse.find(model.name);
        const auto count = used == modelUse.end() ? 0 : used->second;
        if (best.empty() || count > most) {
            best = model.name;
            most = count;
        }
    }
    return best;
}

wire::EnginePlan DirectCalls::Impl::planFor(const std::string &service) const
{
    wire::EnginePlan plan;
    const auto *engine = engineOf(config, service);
    if (engine == nullptr) {
        return plan;
    }
    plan.set_config_version(config->version);
    plan.set_adapter_slots(engine->adapterSlots);
    plan.set_weights_mb(engine->weightsMb);
    for (const auto &model : engine->models) {
        auto &size = *plan.add_models();
        size.set_name(model.name);
        size.set_weights_mb(model.weightsMb);
        size.set_adapter_mb(model.adapterMb);
    }
    return plan;
}

wire::DirectDemand DirectCalls::Impl::demandFor(const EndpointEntry &entry, TimePoint now) const
{
    std::map<AdapterName, wire::AdapterWish> items;
    const auto wishFor = [&](const AdapterName &name) -> wire::AdapterWish & {
        auto &wish = items[name];
        wish.set_model(name.first);
        wish.set_adapter(name.second);
        wish.set_least_version(namedVersion(name));
        return wish;
    };
    for (const auto handle : entry.waiting) {
        const auto &call = calls.at(handle);
        auto &wish = wishFor(call.adapterName());
        wish.set_waiting(wish.waiting() + 1);
        wish.set_in_time(wish.in_time() + (call.canBeInTime(now) ? 1 : 0));
    }
    for (const auto &[name, count] : entry.runningOn) {
        wishFor(name).set_running(count);
    }
    for (const auto &[name, count] : entry.startedOn) {
        wishFor(name).set_started(count);
    }
    if (entry.stateFresh(now)) {
        for (const auto &held : entry.state->adapters()) {
            const AdapterName name{held.model(), held.adapter()};
            if (held.version() < namedVersion(name)) {
                wishFor(name); // a newer version is published: the held one has to be replaced
            }
        }
        if (entry.state->models().empty()) {
            // A restarted engine is empty: loads its model before calls need it.
            wishFor({favouriteModel(entry.record.service), ""}).set_waiting(1);
        }
    }
    wire::DirectDemand demand;
    demand.set_endpoint_id(entry.record.id);
    demand.set_unread_tokens(static_cast<std::uint64_t>(entry.unreadTokens));
    demand.set_waiting_tokens(static_cast<std::uint64_t>(entry.waitingTokens));
    for (auto &[name, wish] : items) {
        if (!name.first.empty()) {
            *demand.add_wishes() = std::move(wish);
        }
    }
    return demand;
}

void DirectCalls::Impl::tellSidecar(EndpointEntry &entry, TimePoint now)
{
    auto &sent = wishes[entry.record.address];
    const bool planNew = config && sent.planVersion < config->version;
    const bool quiet = now - sent.at >= wishesKeepAlive;
    if (!entry.changed && !planNew && !quiet) {
        return;
    }
    auto demand = demandFor(entry, now);
    auto text = demand.SerializeAsString();
    entry.changed = text != sent.text;
    // A sidecar must not evict an adapter with a new call: the first call on an adapter is sent at once.
    const bool urgent = (!entry.waiting.empty() || entry.newlyRunning) && text != sent.text;
    const bool due = text != sent.text && now - sent.at >= wishesInterval;
    const bool moved = std::abs(entry.unreadTokens - entry.toldUnread) >= unreadStep && now - sent.at >= unreadInterval;
    if (!planNew && !urgent && !due && !moved && !quiet) {
        return;
    }
    if (planNew) {
        *demand.mutable_plan() = planFor(entry.record.service);
        sent.planVersion = config->version;
    }
    demand.set_state_sequence(entry.state ? entry.state->sequence() : 0);
    entry.toldUnread = entry.unreadTokens;
    entry.toldWaiting = entry.waitingTokens;
    entry.newlyRunning = false;
    entry.changed = !entry.startedOn.empty(); // the started calls were sent and must not be sent again
    sent.at = now;
    sent.text = std::move(text);
    entry.startedOn.clear();
    actions.emplace_back(SendWishes{entry.record.address, std::move(demand)});
}

void DirectCalls::Impl::tellSidecars(TimePoint now)
{
    if (!config) {
        return;
    }
    for (auto &[id, entry] : endpoints.all()) {
        const bool takesCalls = !entry.leaves(now) && !entry.superseded;
        if (takesCalls && engineOf(config, entry.record.service) != nullptr) {
            entry.changed = entry.changed || !entry.waiting.empty(); // a waiting call becomes late with time alone
            tellSidecar(entry, now);
        }
    }
}

std::vector<std::string> DirectCalls::engineAddresses() const
{
    std::set<std::string> addresses;
    for (const auto &[id, entry] : impl_->endpoints.all()) {
        if (engineOf(impl_->config, entry.record.service) != nullptr) {
            addresses.insert(entry.record.address);
        }
    }
    return {addresses.begin(), addresses.end()};
}

std::vector<std::string> DirectCalls::endpointIds() const
{
    std::vector<std::string> ids;
    for (const auto &[id, entry] : impl_->endpoints.all()) {
        ids.push_back(id);
    }
    return ids;
}

} // namespace anvilscale

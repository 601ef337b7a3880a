// Slots of plain endpoints: which of the waiting calls of all entries gets a slot, and at which endpoint.
#include "slot_table.h"

#include "wire_units.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr double runWeight = 0.1; // of the newest call
// Upper bounds on what one entry may request.
constexpr Duration maxLease = Seconds(30);
constexpr Duration maxWait = Seconds(10);
// Bounds the work of a decision. Further calls are refused as if they could not get a slot in time.
constexpr std::size_t maxWaiting = 512;
// Bounds the leases of calls that the table has not granted, of one endpoint.
constexpr std::uint64_t maxForeignLeases = 256;
// Later retries are not spread any further: most callers do not wait that long.
constexpr Duration maxRetryAfter = Seconds(5);
// Time after which an unused service or endpoint is forgotten.
constexpr Duration idleTime = Seconds(60);
constexpr Duration cleaningInterval = Seconds(10);

Duration fromMicroseconds(std::uint64_t us, Duration limit)
{
    const auto most = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(limit).count());
    return std::chrono::microseconds(std::min(us, most));
}

double smoothed(double before, double value)
{
    return before == 0 ? value : before + runWeight * (value - before);
}

} // namespace

void SlotTable::Impl::assign(const std::string &name, TimePoint now)
{
    auto &service = services.at(name);
    for (auto &[id, endpoint] : service.endpoints) {
        endpoint.expected = 0;
    }
    for (const auto it : orderWaiting(service)) {
        const auto forecast = choose(service, *it, now);
        if (forecast.option != nullptr && forecast.waitMs > 0) {
            ++forecast.option->endpoint->expected;
            if (!std::exchange(it->isQueued, true)) {
                ++stats.waits;
                wire::SlotAnswer answer;
                answer.set_queued(true);
                send(it->key, std::move(answer));
            }
            continue;
        }
        expiries.erase({it->until, it->key});
        if (forecast.option == nullptr) {
            refuse(service, *it, now);
        } else {
            grant(name, *it, *forecast.option, now);
        }
        service.waiting.erase(it);
    }
}

void SlotTable::Impl::grant(const std::string &name, const Waiting &call, const Option &option, TimePoint now)
{
    auto &service = services.at(name);
    auto &endpoint = *option.endpoint;
    ++stats.grants;
    ++endpoint.inUse;
    endpoint.lastGrant = ++service.grants;
    ++service.inUse[call.workspace];
    leases[call.key] = Lease{name, *option.id, call.workspace, now + call.lease};
    expiries.emplace(now + call.lease, call.key);
    wire::SlotAnswer answer;
    answer.set_endpoint_id(*option.id);
    answer.set_lease_us(toMicroseconds(call.lease));
    send(call.key, std::move(answer));
}

// Each refused caller is told a later time than the one before, by the time in which one slot becomes free. Prevents
// the callers of a peak from returning all at once.
void SlotTable::Impl::refuse(Service &service, const Waiting &call, TimePoint now)
{
    ++stats.refusals;
    double slots = 0;
    double soonestMs = 0;
    for (const auto &option : call.options) {
        const double wait = waitMs(service, *option.endpoint);
        soonestMs = slots == 0 ? wait : std::min(soonestMs, wait);
        slots += option.endpoint->slots;
    }
    const auto slotTime = fromMilliseconds(service.usualRunMs() / std::max(1.0, slots));
    const auto soonest = now + fromMilliseconds(soonestMs);
    auto promised = std::max(soonest, service.promisedUntil) + slotTime;
    if (promised > now + maxRetryAfter) {
        promised = soonest + slotTime;
    }
    service.promisedUntil = promised;
    wire::SlotAnswer answer;
    answer.set_retry_after_us(toMicroseconds(promised - now));
    send(call.key, std::move(answer));
}

void SlotTable::Impl::send(const CallKey &key, wire::SlotAnswer answer)
{
    answer.set_call(key.second);
    messages.push_back({key.first, std::move(answer)});
}

bool SlotTable::Impl::isKnown(const CallKey &key) const
{
    return leases.count(key) != 0 || std::any_of(services.begin(), services.end(), [&](const auto &item) {
               const auto &waiting = item.second.waiting;
               return std::any_of(waiting.begin(), waiting.end(), [&](const Waiting &call) { return call.key == key; });
           });
}

bool SlotTable::Impl::withdraw(const CallKey &key, TimePoint now)
{
    for (auto &[name, service] : services) {
        const auto found = std::find_if(service.waiting.begin(), service.waiting.end(),
                                        [&](const Waiting &call) { return call.key == key; });
        if (found != service.waiting.end()) {
            expiries.erase({found->until, key});
            service.waiting.erase(found);
            assign(name, now);
            return true;
        }
    }
    return false;
}

void SlotTable::Impl::endLease(std::map<CallKey, Lease>::iterator lease)
{
    auto &service = services.at(lease->second.service);
    service.endpoints.at(lease->second.endpointId).inUse -= lease->second.slots;
    if (lease->second.workspace) {
        const auto count = service.inUse.find(*lease->second.workspace);
        if (--count->second == 0) {
            service.inUse.erase(count);
        }
    }
    expiries.erase({lease->second.expiresAt, lease->first});
    leases.erase(lease);
}

void SlotTable::Impl::recordEnd(const Lease &lease, const wire::SlotReturn &message, TimePoint now)
{
    auto &service = services.at(lease.service);
    auto &endpoint = service.endpoints.at(lease.endpointId);
    if (message.failed() || !message.not_sent()) {
        endpoint.ended.add(1, now);
        endpoint.failed.add(message.failed() ? 1 : 0, now);
    }
    if (!message.failed() && !message.not_sent() && message.run_us() != 0) {
        const double run = milliseconds(fromMicroseconds(message.run_us(), maxLease));
        endpoint.runMs = smoothed(endpoint.runMs, run);
        service.runMs = smoothed(service.runMs, run);
    }
}

// The endpoint is full with calls that this table has not granted, such as those of entries that use another sidecar.
// They are counted until they have probably ended, one after the other. An endpoint declares its slots itself, so that
// the work does not grow with their number: many slots become free in equal steps.
void SlotTable::Impl::occupyFreeSlots(const Lease &lease, TimePoint now)
{
    auto &service = services.at(lease.service);
    auto &endpoint = service.endpoints.at(lease.endpointId);
    const auto unknown = endpoint.slots > endpoint.inUse ? endpoint.slots - endpoint.inUse : 0;
    const auto steps = std::min(unknown, maxForeignLeases);
    const auto run = fromMilliseconds(runMs(service, endpoint));
    for (std::uint64_t i = 1; i <= steps; ++i) {
        const CallKey key{PeerHandle{}, ++lastForeign};
        const auto expiresAt = now + run * i / steps;
        const auto count = unknown * i / steps - unknown * (i - 1) / steps;
        endpoint.inUse += count;
        leases[key] = Lease{lease.service, lease.endpointId, std::nullopt, expiresAt, count};
        expiries.emplace(expiresAt, key);
    }
}

void SlotTable::Impl::clean(TimePoint now)
{
    if (now < nextCleaningAt) {
        return;
    }
    nextCleaningAt = now + cleaningInterval;
    for (auto &[name, service] : services) {
        std::erase_if(service.endpoints, [now](const auto &item) {
            return item.second.inUse == 0 && now - item.second.namedAt >= idleTime;
        });
    }
    std::erase_if(services, [now](const auto &item) {
        const auto &service = item.second;
        return service.waiting.empty() && service.endpoints.empty() && now - service.usedAt >= idleTime;
    });
}

SlotTable::SlotTable()
    : impl_(std::make_unique<Impl>())
{
}

SlotTable::~SlotTable() = default;

void SlotTable::onAsk(PeerHandle entry, const wire::SlotAsk &ask, TimePoint now)
{
    const Impl::CallKey key{entry, ask.call()};
    if (impl_->isKnown(key)) {
        return; // a repeated message
    }
    impl_->clean(now);
    auto &service = impl_->services[ask.service()];
    service.usedAt = now;
    Impl::Waiting call;
    call.key = key;
    for (const auto &named : ask.endpoints()) {
        if (named.slots() == 0) {
            continue;
        }
        const auto it = service.endpoints.try_emplace(named.endpoint_id()).first;
        it->second.slots = named.slots();
        it->second.namedAt = now;
        call.options.push_back({&it->second, &it->first, static_cast<double>(named.penalty_us()) / 1000});
    }
    call.failureMs = static_cast<double>(ask.failure_us()) / 1000;
    call.until = now + fromMicroseconds(ask.wait_us(), maxWait);
    call.lease = fromMicroseconds(ask.limit_us(), maxLease);
    call.priority = ask.priority();
    call.workspace = ask.workspace();
    if (service.waiting.size() >= maxWaiting) {
        impl_->refuse(service, call, now);
        return;
    }
    impl_->expiries.emplace(call.until, key);
    service.waiting.push_back(std::move(call));
    impl_->assign(ask.service(), now);
}

void SlotTable::onReturn(PeerHandle entry, const wire::SlotReturn &message, TimePoint now)
{
    const Impl::CallKey key{entry, message.call()};
    const auto found = impl_->leases.find(key);
    if (found == impl_->leases.end()) {
        impl_->withdraw(key, now);
        return;
    }
    const auto lease = found->second;
    impl_->endLease(found);
    impl_->recordEnd(lease, message, now);
    if (message.full()) {
        impl_->occupyFreeSlots(lease, now);
    }
    impl_->assign(lease.service, now);
}

void SlotTable::onEntryLost(PeerHandle entry, TimePoint now)
{
    for (auto &[name, service] : impl_->services) {
        std::erase_if(service.waiting, [&](const Impl::Waiting &call) {
            return call.key.first == entry && impl_->expiries.erase({call.until, call.key}) != 0;
        });
    }
    for (auto it = impl_->leases.lower_bound({entry, 0}); it != impl_->leases.end() && it->first.first == entry;) {
        impl_->endLease(it++);
    }
    for (const auto &[name, service] : impl_->services) {
        impl_->assign(name, now);
    }
}

void SlotTable::tick(TimePoint now)
{
    std::set<std::string> changed;
    while (!impl_->expiries.empty() && impl_->expiries.begin()->first <= now) {
        const auto key = impl_->expiries.begin()->second;
        impl_->expiries.erase(impl_->expiries.begin());
        const auto lease = impl_->leases.find(key);
        if (lease != impl_->leases.end()) {
            changed.insert(lease->second.service);
            impl_->stats.expired += key.first ? 1 : 0;
            impl_->endLease(lease);
            continue;
        }
        for (const auto &[name, service] : impl_->services) {
            changed.insert(name);
        }
    }
    for (const auto &name : changed) {
        impl_->assign(name, now);
    }
    impl_->clean(now);
}

std::optional<TimePoint> SlotTable::nextCheckAt() const
{
    return impl_->expiries.empty() ? std::nullopt : std::optional(impl_->expiries.begin()->first);
}

std::vector<SlotMessage> SlotTable::takeMessages()
{
    return std::exchange(impl_->messages, {});
}

const SlotTableStats &SlotTable::stats() const
{
    impl_->stats.services = impl_->services.size();
    impl_->stats.leases = impl_->leases.size();
    return impl_->stats;
}

} // namespace anvilscale

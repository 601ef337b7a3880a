// Table of the adapters tracked by a sidecar: residency state, pins, demand and load failures. All transitions are its
// functions, so that the rules on pins and slots are in one place.
#pragma once

#include "decayed_rate.h"

#include "anvilscale/residency.h"

#include <map>
#include <string>

namespace anvilscale {

/// State of one adapter version.
struct AdapterRecord
{
    AdapterVersion adapterVersion;
    ResidencyState state = ResidencyState::Absent;

    // Open calls of this sidecar at the engine. Invariant: grows only in Resident.
    std::uint32_t pins = 0;
    // Calls that may still run although their connection broke or a predecessor started them. Released only by a list
    // that was requested after orphanOrderNumber and orphanedAt and shows no running call for this adapter.
    std::uint32_t orphanedCalls = 0;
    std::uint64_t orphanOrderNumber = 0;
    TimePoint orphanedAt;

    // Invariant: set exactly in Loading and Evicting.
    OrderHandle order;
    // Number of the last order issued before the last change of `state`. Only a list with a larger number, which was
    // requested after the change, may update the state.
    std::uint64_t changeOrderNumber = 0;
    // In Unknown: kind of the lost order (List: no order is in flight), and the time until which it may take effect.
    OrderKind lostOrder = OrderKind::List;
    TimePoint effectDeadline;
    // In Unknown: whether the effect of the lost order in a list proves that it was executed. False for an unload sent
    // around an engine restart: the restart removed the adapter and the unload may still execute after a new load.
    bool isEffectObservable = true;

    std::uint32_t waiting = 0; ///< queued calls
    DecayedRate demand;
    DecayedRate reloads;
    TimePoint residentSince;
    TimePoint lastUsed;
    bool isUrgent = false; ///< the latest call was urgent
    bool wasResident = false;
    std::uint32_t loadFailures = 0; ///< consecutive failed loads
    TimePoint earliestLoadAt; ///< no load is attempted before this time
    bool isQuarantined = false;
    // No further call is started, so that the pins fall to zero and a starving call of another adapter gets the slot.
    bool isYielding = false;
    std::string route; ///< route of the latest call
    bool isSuperseded = false; ///< `route` now names another version

    bool occupiesSlot() const
    {
        return state != ResidencyState::Absent;
    }
    bool mayHaveRunningCalls() const
    {
        return pins != 0 || orphanedCalls != 0;
    }
};

/// Enforces the rules on pins and slots: all state transitions of adapters go through this class.
class AdapterTable
{
public:
    using Records = std::map<AdapterVersion, AdapterRecord>;

    explicit AdapterTable(Safeguards safeguards);

    AdapterRecord &add(const AdapterVersion &adapterVersion);
    AdapterRecord *find(const AdapterVersion &adapterVersion);
    const AdapterRecord *find(const AdapterVersion &adapterVersion) const;
    Records &records()
    {
        return records_;
    }
    const Records &records() const
    {
        return records_;
    }

    /// Number of adapters that hold or may hold a slot of the engine (Loading, Resident, Evicting or Unknown).
    std::uint32_t occupiedSlots() const
    {
        return occupiedSlots_;
    }
    std::uint32_t residentCount() const;
    std::uint32_t occupiedByNonUrgent() const; ///< slots held by adapters whose latest call was not urgent

    /// Returns false if the adapter is not resident.
    bool pin(AdapterRecord &record, TimePoint now);
    void unpin(AdapterRecord &record);
    /// Converts the pin of a call whose connection broke: the call may still run at the engine.
    void convertPinToOrphan(AdapterRecord &record, std::uint64_t orderNumber, TimePoint now);

    void beginLoad(AdapterRecord &record, OrderHandle order);
    /// Returns false if the adapter is not resident or calls may run on it.
    bool beginEviction(AdapterRecord &record, OrderHandle order);
    /// Sets a confirmed state. `orderNumber` is the number of the last order issued.
    void setState(AdapterRecord &record, ResidencyState state, std::uint64_t orderNumber, TimePoint now);
    /// Sets Unknown after an order whose reply was lost; it may take effect until `effectDeadline`.
    void setUnknown(AdapterRecord &record, OrderKind lostOrder, TimePoint effectDeadline, std::uint64_t orderNumber);

    /// Removes absent adapters that have not been used since `idleSince`.
    void removeIdle(TimePoint idleSince);

private:
    void changeState(AdapterRecord &record, ResidencyState state);

    Records records_;
    Safeguards safeguards_;
    std::uint32_t occupiedSlots_ = 0; // number of records_ with occupiesSlot()
};

} // namespace anvilscale

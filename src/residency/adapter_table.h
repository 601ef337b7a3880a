// The adapters that this sidecar has an interest in: residency, pins, demand and load failures. All transitions are
// functions of the table, so that the rules about pins and slots stand in one place.
#pragma once

#include "decayed_rate.h"

#include "anvilscale/residency.h"

#include <map>
#include <string>

namespace anvilscale {

struct AdapterRecord
{
    AdapterVersion which;
    ResidencyState state = ResidencyState::Absent;

    // Calls of this sidecar that are open at the engine. Invariant: grows only in Resident.
    std::uint32_t pins = 0;
    // Calls that may still run though their connection broke, or that a predecessor started. Released only by a list
    // that was asked for after lingeringMark and lingeringFrom and shows none running for this adapter.
    std::uint32_t lingering = 0;
    std::uint64_t lingeringMark = 0;
    TimePoint lingeringFrom;

    // Invariant: set exactly in Loading and Evicting.
    OrderHandle order;
    // Number of the latest order issued before the last change of `state`. A list with a larger number was asked for
    // after the change, and only such a list may speak about it.
    std::uint64_t changeMark = 0;
    // In Unknown: what the lost order would do (List: no order is in flight), and until when it may do it.
    OrderKind lostOrder = OrderKind::List;
    TimePoint effectUntil;
    // In Unknown: a list that shows the lost order's effect proves that it has come. Not so for an unload given around
    // a restart of the engine: the adapter is gone by the restart, and the unload may still land after a new load.
    bool effectShows = true;

    std::uint32_t waiting = 0; ///< calls in the queue
    DecayedRate demand;
    DecayedRate reloads;
    TimePoint residentSince;
    TimePoint lastUsed;
    bool urgent = false; ///< its latest call was urgent
    bool wasResident = false;
    std::uint32_t failures = 0; ///< loads that failed in a row
    TimePoint notBefore; ///< no load is tried before
    bool quarantined = false;
    // No further call is started, so that the pins fall to zero: a call of another adapter has waited too long.
    bool yielding = false;
    std::string route; ///< the route that named it last
    bool superseded = false; ///< that route names another version now

    bool occupiesSlot() const
    {
        return state != ResidencyState::Absent;
    }
    bool mayRun() const
    {
        return pins != 0 || lingering != 0;
    }
};

class AdapterTable
{
public:
    using Records = std::map<AdapterVersion, AdapterRecord>;

    explicit AdapterTable(Safeguards safeguards);

    AdapterRecord &add(const AdapterVersion &which);
    AdapterRecord *find(const AdapterVersion &which);
    const AdapterRecord *find(const AdapterVersion &which) const;
    Records &records()
    {
        return records_;
    }
    const Records &records() const
    {
        return records_;
    }

    /// Adapters in Loading, Resident, Evicting or Unknown: each holds a slot of the engine, or may hold one.
    std::uint32_t occupied() const
    {
        return occupied_;
    }
    std::uint32_t resident() const;
    std::uint32_t occupiedByOthers() const; ///< slots held by adapters that serve no urgent calls

    /// False if the adapter takes no pin now.
    bool pin(AdapterRecord &record, TimePoint now);
    void unpin(AdapterRecord &record);
    /// The connection of a pinned call broke: the call may still run.
    void pinToLingering(AdapterRecord &record, std::uint64_t mark, TimePoint now);

    void beginLoad(AdapterRecord &record, OrderHandle order);
    /// False if calls may run on the adapter.
    bool beginEvict(AdapterRecord &record, OrderHandle order);
    void settle(AdapterRecord &record, ResidencyState state, std::uint64_t mark, TimePoint now);
    void lose(AdapterRecord &record, OrderKind lost, TimePoint effectUntil, std::uint64_t mark);

    /// Forgets absent adapters in which nobody has had an interest since `before`.
    void forget(TimePoint before);

private:
    void move(AdapterRecord &record, ResidencyState state);

    Records records_;
    Safeguards safeguards_;
    std::uint32_t occupied_ = 0; // records_ with occupiesSlot()
};

} // namespace anvilscale

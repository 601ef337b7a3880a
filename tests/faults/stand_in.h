// A stand-in endpoint: an engine with adapter slots, or a plain service. It keeps books of what really ran; the
// invariants are checked against these, never against what the product believes.
#pragma once

#include "anvilscale/residency.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilscale::faults {

/// One execution as the endpoint saw it.
struct Run
{
    std::uint64_t id = 0;
    std::string endpoint;
    std::string body; ///< names the caller's call
    std::string attempt; ///< names the caller's try
    std::string key;
    std::string route;
    AdapterVersion which;
    TimePoint decided; ///< when its sidecar decided to send it
    std::uint64_t engine = 0; ///< incarnation that ran it
    TimePoint arrivesAt; ///< of its last part at the sidecar
    bool running = true;
    bool stream = false;

    /// Every part of an answer carries the run that it came from, so that a splice shows.
    std::string part(std::uint32_t number) const
    {
        return "[" + std::to_string(id) + "|" + body + "|" + which.text() + "|" + std::to_string(number) + "]";
    }
    std::uint32_t parts() const
    {
        return stream ? 4 : 1;
    }
    std::string answer() const
    {
        std::string whole;
        for (std::uint32_t i = 0; i < parts(); ++i) {
            whole += part(i);
        }
        return whole;
    }
};

class StandIn
{
public:
    std::string name;
    bool engine = true;
    bool checksFence = true;
    std::uint32_t slots = 2;
    std::uint64_t incarnation = 1;
    std::uint64_t highestFence = 0;
    bool failNextLoad = false;
    TimePoint restartedAt;
    std::set<AdapterVersion> loaded;
    std::vector<std::string> *violations = nullptr;

    OrderOutcome apply(const SendOrder &order, const std::vector<Run> &runs)
    {
        if (checksFence && order.fence < highestFence) {
            return OrderOutcome::FencedOff;
        }
        highestFence = std::max(highestFence, order.fence);
        if (order.kind == OrderKind::Load) {
            return load(order.which);
        }
        if (order.kind == OrderKind::Unload) {
            if (running(order.which, runs) != 0) {
                violations->push_back("evicted under a running call: " + order.which.text() + " at " + name);
            }
            loaded.erase(order.which);
        }
        return OrderOutcome::Done;
    }
    EngineList list(const std::vector<Run> &runs) const
    {
        EngineList result;
        result.incarnation = incarnation;
        result.highestFence = checksFence ? highestFence : 0;
        result.loaded.assign(loaded.begin(), loaded.end());
        for (const auto &which : loaded) {
            if (const auto count = running(which, runs); count != 0) {
                result.running.emplace_back(which, count);
            }
        }
        return result;
    }

private:
    OrderOutcome load(const AdapterVersion &which)
    {
        if (std::exchange(failNextLoad, false)) {
            return OrderOutcome::Failed;
        }
        if (loaded.size() >= slots && !loaded.contains(which)) {
            violations->push_back("load without a free slot: " + which.text() + " at " + name);
            return OrderOutcome::Failed;
        }
        loaded.insert(which);
        return OrderOutcome::Done;
    }
    std::uint32_t running(const AdapterVersion &which, const std::vector<Run> &runs) const
    {
        std::uint32_t count = 0;
        for (const auto &run : runs) {
            count += run.running && run.endpoint == name && run.which == which ? 1 : 0;
        }
        return count;
    }
};

} // namespace anvilscale::faults

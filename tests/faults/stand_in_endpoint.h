// A stand-in endpoint: an engine with adapter slots, or a plain service. The invariants are checked against its state
// and the recorded runs, independent of the state of the product.
#pragma once

#include "anvilscale/residency.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilscale::faults {

/// One execution as recorded by the endpoint.
struct Run
{
    std::uint64_t id = 0;
    std::string endpoint;
    std::string body; ///< id of the caller's call
    std::string tryId; ///< id of the caller's try
    std::string key;
    std::string route;
    AdapterVersion adapter;
    TimePoint decidedAt; ///< the sidecar's decision to send it
    std::uint64_t engineIncarnation = 0; ///< engine incarnation that ran it
    TimePoint arrivesAt; ///< arrival of the last sent part at the sidecar
    bool isRunning = true;
    bool isStream = false;

    /// Text of one part of the answer. It contains the run's id, so that an answer mixed from two runs is detected.
    std::string partText(std::uint32_t number) const
    {
        return "[" + std::to_string(id) + "|" + body + "|" + adapter.text() + "|" + std::to_string(number) + "]";
    }
    std::uint32_t partCount() const
    {
        return isStream ? 4 : 1;
    }
    std::string fullAnswer() const
    {
        std::string text;
        for (std::uint32_t i = 0; i < partCount(); ++i) {
            text += partText(i);
        }
        return text;
    }
};

/// Endpoint with its adapter slots and fencing number.
class StandInEndpoint
{
public:
    std::string name;
    bool isEngine = true;
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
            return load(order.adapterVersion);
        }
        if (order.kind == OrderKind::Unload) {
            if (countRunning(order.adapterVersion, runs) != 0) {
                violations->push_back("evicted under a running call: " + order.adapterVersion.text() + " at " + name);
            }
            loaded.erase(order.adapterVersion);
        }
        return OrderOutcome::Done;
    }
    EngineList list(const std::vector<Run> &runs) const
    {
        EngineList result;
        result.incarnation = incarnation;
        result.highestFence = checksFence ? highestFence : 0;
        result.loaded.assign(loaded.begin(), loaded.end());
        for (const auto &adapterVersion : loaded) {
            if (const auto count = countRunning(adapterVersion, runs); count != 0) {
                result.running.emplace_back(adapterVersion, count);
            }
        }
        return result;
    }

private:
    OrderOutcome load(const AdapterVersion &adapterVersion)
    {
        if (std::exchange(failNextLoad, false)) {
            return OrderOutcome::Failed;
        }
        if (loaded.size() >= slots && !loaded.contains(adapterVersion)) {
            violations->push_back("load without a free slot: " + adapterVersion.text() + " at " + name);
            return OrderOutcome::Failed;
        }
        loaded.insert(adapterVersion);
        return OrderOutcome::Done;
    }
    std::uint32_t countRunning(const AdapterVersion &adapterVersion, const std::vector<Run> &runs) const
    {
        std::uint32_t count = 0;
        for (const auto &run : runs) {
            count += run.isRunning && run.endpoint == name && run.adapter == adapterVersion ? 1 : 0;
        }
        return count;
    }
};

} // namespace anvilscale::faults

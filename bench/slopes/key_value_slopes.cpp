// Calls on the key-value service by the real state machines of one data centre in virtual time: idle, at a change
// of the configuration, and after an outage.
#include "config.pb.h"
#include "fleet_records.h"
#include "slopes.h"
#include "support/virtual_world.h"
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <memory>

namespace anvilscale::slopes {

namespace {

using test::KvFault;
using test::VirtualWorld;

constexpr std::size_t sidecarCount = 177; // 3,900 over 22 data centres

/// Requests counted for each second of virtual time.
class CallLog
{
public:
    void add(const KvRequest &request, Now now)
    {
        const bool read = request.op == KvOp::Range || request.op == KvOp::Watch || request.op == KvOp::WatchCancel;
        writes_ += read ? 0 : 1;
        ++perSecond_[std::chrono::duration_cast<Seconds>(now.mono.time_since_epoch()).count()];
    }
    std::size_t total() const
    {
        std::size_t sum = 0;
        for (const auto &[second, count] : perSecond_) {
            sum += count;
        }
        return sum;
    }
    std::size_t peak() const
    {
        std::size_t most = 0;
        for (const auto &[second, count] : perSecond_) {
            most = std::max(most, count);
        }
        return most;
    }
    std::size_t writes() const
    {
        return writes_;
    }
    void clear()
    {
        perSecond_.clear();
        writes_ = 0;
    }

private:
    std::size_t writes_ = 0; ///< transactions and lease calls
    std::map<std::int64_t, std::size_t> perSecond_;
};

struct Process
{
    std::string name;
    ConfigStore store;
    std::unique_ptr<ConfigSpread> spread;
    std::unique_ptr<LeaseKeeper> scheduler; ///< entries only
};

/// The processes of one data centre, one key-value service, and heartbeats that carry the revision.
class DataCentre
{
public:
    DataCentre(std::size_t entries, std::size_t sidecars)
    {
        for (std::size_t i = 0; i < entries + sidecars; ++i) {
            add(i, i < entries);
        }
        for (auto &process : processes_) {
            process->spread->start(world_.now());
            if (process->scheduler) {
                process->scheduler->start(world_.now());
            }
        }
        entries_ = entries;
        beat();
    }

    VirtualWorld &world()
    {
        return world_;
    }
    CallLog &calls()
    {
        return calls_;
    }
    std::size_t behind(std::uint64_t revision) const
    {
        std::size_t count = 0;
        for (const auto &process : processes_) {
            count += process->store.revision() < revision ? 1 : 0;
        }
        return count;
    }
    std::size_t watchers() const
    {
        std::size_t count = 0;
        for (const auto &process : processes_) {
            count += process->spread->watching() ? 1 : 0;
        }
        return count;
    }

private:
    std::function<void(KvRequest)> counted(const VirtualWorld::OnReply &onReply)
    {
        auto client = world_.client(onReply);
        return [this, client](KvRequest request) {
            calls_.add(request, world_.now());
            client(std::move(request));
        };
    }

    void add(std::size_t i, bool entry)
    {
        processes_.push_back(std::make_unique<Process>());
        Process *process = processes_.back().get();
        process->name = (entry ? "entry-" : "sidecar-") + std::to_string(i);
        ConfigSpread::Init init;
        init.self = process->name;
        init.incarnation = 1;
        init.dataCentre = "hall-east";
        init.mayWatch = entry;
        init.store = &process->store;
        init.timers = &world_.timers;
        init.seed = i + 1;
        ConfigSpread::Callbacks callbacks;
        callbacks.submit = counted([process](const KvReply &reply, Now now) { process->spread->onReply(reply, now); });
        callbacks.sendToPeer = [this, process](const std::string &peer, const wire::Envelope &message) {
            deliver(process->name, peer, message);
        };
        callbacks.changed = [](Now) {};
        process->spread = std::make_unique<ConfigSpread>(init, callbacks);
        if (entry) {
            addScheduler(*process, i);
        }
    }

    void addScheduler(Process &process, std::size_t i)
    {
        LeaseKeeper::Init init;
        init.key = "/anvilscale/scheduler";
        init.holder = process.name;
        init.incarnation = 1;
        init.timers = &world_.timers;
        init.seed = i + 1;
        process.scheduler = std::make_unique<LeaseKeeper>(
            init, counted([&process](const KvReply &reply, Now now) { process.scheduler->onReply(reply, now); }));
    }

    void deliver(const std::string &from, const std::string &to, const wire::Envelope &message)
    {
        for (auto &target : processes_) {
            if (target->name != to) {
                continue;
            }
            Process *process = target.get();
            world_.later(Milliseconds(1), [process, from, message](Now now) {
                if (message.has_config_push()) {
                    process->spread->onPush(message.config_push(), now);
                } else if (message.has_config_fetch()) {
                    process->spread->onFetch(from, message.config_fetch(), now);
                }
            });
        }
    }

    /// Entries say Hello to all; sidecars answer with heartbeats to the entries.
    void beat()
    {
        const Now now = world_.now();
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            for (std::size_t peer = 0; peer < (i < entries_ ? processes_.size() : entries_); ++peer) {
                if (peer != i) {
                    const Process &from = *processes_[i];
                    processes_[peer]->spread->onPeerRevision(from.name, from.store.revision(), from.store.digest(), now,
                                                             from.spread->age(now.mono));
                }
            }
        }
        world_.later(Seconds(1), [this](Now) { beat(); });
    }

    VirtualWorld world_;
    CallLog calls_;
    std::vector<std::unique_ptr<Process>> processes_;
    std::size_t entries_ = 0;
};

/// Appends one change as a writer of its own; returns the revision.
std::uint64_t change(VirtualWorld &world, ConfigStore &store, std::size_t number)
{
    std::uint64_t made = 0;
    bool over = false;
    std::unique_ptr<ConfigWriter> writer;
    ConfigWriter::Init init;
    init.author = "slopes";
    init.schemaVersionOfAll = 2;
    init.store = &store;
    init.timers = &world.timers;
    init.seed = number;
    writer = std::make_unique<ConfigWriter>(
        init, world.client([&writer](const KvReply &reply, Now now) { writer->onReply(reply, now); }),
        [&](const ConfigWriter::Result &result, Now) {
            made = result ? *result : 0;
            over = true;
        });
    const config::Delta delta = adapterDelta(number, 1);
    writer->apply({delta.changes().begin(), delta.changes().end()}, "slopes-" + std::to_string(number), std::nullopt,
                  world.now());
    world.runUntil(Seconds(30), [&over] { return over; });
    require(made != 0, "a change was not accepted");
    return made;
}

} // namespace

void measureKeyValueCalls(Report &report)
{
    constexpr double idleSeconds = 600;
    constexpr double outageSeconds = 300;
    for (const std::size_t entries : {4, 8, 16}) {
        DataCentre centre(entries, sidecarCount);
        ConfigStore writer;
        change(centre.world(), writer, 1);
        centre.world().run(Seconds(60));
        require(centre.behind(writer.revision()) == 0, "a process has no configuration");
        require(centre.watchers() > 0, "nobody watches the head");
        const auto size = static_cast<double>(entries);

        centre.calls().clear();
        centre.world().run(Seconds(static_cast<int>(idleSeconds)));
        const auto idle = static_cast<double>(centre.calls().total()) / idleSeconds;
        report.addCost("key_value.idle_calls_per_s", "calls/s", "entries", {size, idle});
        report.addCost("key_value.idle_writes_per_s", "calls/s", "entries",
                       {size, static_cast<double>(centre.calls().writes()) / idleSeconds});

        centre.calls().clear();
        const TimePoint before = centre.world().now().mono;
        const std::uint64_t revision = change(centre.world(), writer, 2);
        require(centre.world().runUntil(Seconds(30), [&] { return centre.behind(revision) == 0; }),
                "a change did not reach everyone in 30 s");
        const auto took = static_cast<double>((centre.world().now().mono - before).count()) / 1e6;
        report.addCost("key_value.change_calls", "calls", "entries",
                       {size, static_cast<double>(centre.calls().total()) - idle * took});
        report.addCost("config.spread_s", "s", "entries", {size, took});

        centre.world().rule = [](const KvRequest &) { return KvFault::Down; };
        centre.world().kv.breakWatches();
        centre.calls().clear();
        centre.world().run(Seconds(static_cast<int>(outageSeconds)));
        report.addCost("key_value.outage_tries_per_s", "calls/s", "entries",
                       {size, static_cast<double>(centre.calls().total()) / outageSeconds});
        centre.world().rule = nullptr;
        centre.calls().clear();
        centre.world().run(Seconds(30));
        report.addCost("key_value.return_peak_per_s", "calls/s", "entries",
                       {size, static_cast<double>(centre.calls().peak())});
        report.addCost("key_value.return_calls_30s", "calls", "entries",
                       {size, static_cast<double>(centre.calls().total())});
    }
}

} // namespace anvilscale::slopes

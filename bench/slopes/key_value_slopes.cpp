// Key-value calls of one data centre in virtual time: idle, during a configuration change, during and after an outage.
#include "config.pb.h"
#include "fleet_records.h"
#include "slopes.h"
#include "support/virtual_cluster.h"
#include "wire.pb.h"

#include "anvilscale/state.h"

#include <memory>

namespace anvilscale::slopes {

namespace {

using test::KvFault;
using test::VirtualCluster;

constexpr std::size_t sidecarCount = 177; // 3,900 sidecars in 22 data centres

/// Counts requests per second of virtual time.
class RequestLog
{
public:
    void add(const KvRequest &request, Now now)
    {
        const bool isRead = request.op == KvOp::Range || request.op == KvOp::Watch || request.op == KvOp::WatchCancel;
        writes_ += isRead ? 0 : 1;
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
        std::size_t maxCount = 0;
        for (const auto &[second, count] : perSecond_) {
            maxCount = std::max(maxCount, count);
        }
        return maxCount;
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
    std::size_t writes_ = 0; ///< transactions and lease requests
    std::map<std::int64_t, std::size_t> perSecond_;
};

struct Process
{
    std::string name;
    ConfigStore store;
    std::unique_ptr<ConfigDistributor> distributor;
    std::unique_ptr<LeaseHolder> schedulerLease; ///< entries only
};

/// Processes of one data centre with a key-value service and periodic exchange of revisions.
class DataCentre
{
public:
    DataCentre(std::size_t entries, std::size_t sidecars)
    {
        for (std::size_t i = 0; i < entries + sidecars; ++i) {
            addProcess(i, i < entries);
        }
        for (auto &process : processes_) {
            process->distributor->start(cluster_.now());
            if (process->schedulerLease) {
                process->schedulerLease->start(cluster_.now());
            }
        }
        entries_ = entries;
        exchangeRevisions();
    }

    VirtualCluster &cluster()
    {
        return cluster_;
    }
    RequestLog &requests()
    {
        return requests_;
    }
    std::size_t processesBehind(std::uint64_t revision) const
    {
        std::size_t count = 0;
        for (const auto &process : processes_) {
            count += process->store.revision() < revision ? 1 : 0;
        }
        return count;
    }
    std::size_t watcherCount() const
    {
        std::size_t count = 0;
        for (const auto &process : processes_) {
            count += process->distributor->isWatching() ? 1 : 0;
        }
        return count;
    }

private:
    std::function<void(KvRequest)> countingClient(const VirtualCluster::OnReply &onReply)
    {
        auto client = cluster_.makeClient(onReply);
        return [this, client](KvRequest request) {
            requests_.add(request, cluster_.now());
            client(std::move(request));
        };
    }

    void addProcess(std::size_t i, bool isEntry)
    {
        processes_.push_back(std::make_unique<Process>());
        Process *process = processes_.back().get();
        process->name = (isEntry ? "entry-" : "sidecar-") + std::to_string(i);
        ConfigDistributor::Init init;
        init.self = process->name;
        init.incarnation = 1;
        init.dataCentre = "hall-east";
        init.mayWatch = isEntry;
        init.store = &process->store;
        init.timers = &cluster_.timers;
        init.seed = i + 1;
        ConfigDistributor::Callbacks callbacks;
        callbacks.submit =
            countingClient([process](const KvReply &reply, Now now) { process->distributor->onReply(reply, now); });
        callbacks.sendToPeer = [this, process](const std::string &peer, const wire::Envelope &message) {
            deliver(process->name, peer, message);
        };
        callbacks.changed = [](Now) {};
        process->distributor = std::make_unique<ConfigDistributor>(init, callbacks);
        if (isEntry) {
            addSchedulerLease(*process, i);
        }
    }

    void addSchedulerLease(Process &process, std::size_t i)
    {
        LeaseHolder::Init init;
        init.key = "/anvilscale/scheduler";
        init.holder = process.name;
        init.incarnation = 1;
        init.timers = &cluster_.timers;
        init.seed = i + 1;
        process.schedulerLease = std::make_unique<LeaseHolder>(
            init,
            countingClient([&process](const KvReply &reply, Now now) { process.schedulerLease->onReply(reply, now); }));
    }

    void deliver(const std::string &from, const std::string &to, const wire::Envelope &message)
    {
        for (auto &target : processes_) {
            if (target->name != to) {
                continue;
            }
            Process *process = target.get();
            cluster_.later(Milliseconds(1), [process, from, message](Now now) {
                if (message.has_config_push()) {
                    process->distributor->onPush(message.config_push(), now);
                } else if (message.has_config_fetch()) {
                    process->distributor->onFetch(from, message.config_fetch(), now);
                }
            });
        }
    }

    /// Entries send their revision to all processes, sidecars to the entries.
    void exchangeRevisions()
    {
        const Now now = cluster_.now();
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            for (std::size_t peer = 0; peer < (i < entries_ ? processes_.size() : entries_); ++peer) {
                if (peer != i) {
                    const Process &from = *processes_[i];
                    processes_[peer]->distributor->onPeerRevision(from.name, from.store.revision(), from.store.digest(),
                                                                  now, from.distributor->confirmationAge(now.mono));
                }
            }
        }
        cluster_.later(Seconds(1), [this](Now) { exchangeRevisions(); });
    }

    VirtualCluster cluster_;
    RequestLog requests_;
    std::vector<std::unique_ptr<Process>> processes_;
    std::size_t entries_ = 0;
};

/// Applies one change with a separate writer and returns its revision.
std::uint64_t applyChange(VirtualCluster &cluster, ConfigStore &store, std::size_t number)
{
    std::uint64_t revision = 0;
    bool isDone = false;
    std::unique_ptr<ConfigWriter> writer;
    ConfigWriter::Init init;
    init.author = "slopes";
    init.schemaVersionOfAll = 2;
    init.store = &store;
    init.timers = &cluster.timers;
    init.seed = number;
    writer = std::make_unique<ConfigWriter>(
        init, cluster.makeClient([&writer](const KvReply &reply, Now now) { writer->onReply(reply, now); }),
        [&](const ConfigWriter::Result &result, Now) {
            revision = result ? *result : 0;
            isDone = true;
        });
    const config::Delta delta = makeAdapterDelta(number, 1);
    writer->apply({delta.changes().begin(), delta.changes().end()}, "slopes-" + std::to_string(number), std::nullopt,
                  cluster.now());
    cluster.runUntil(Seconds(30), [&isDone] { return isDone; });
    requireThat(revision != 0, "a change was rejected");
    return revision;
}

} // namespace

void measureKeyValueCalls(Report &report)
{
    constexpr double idleSeconds = 600;
    constexpr double outageSeconds = 300;
    for (const std::size_t entries : {4, 8, 16}) {
        DataCentre centre(entries, sidecarCount);
        ConfigStore writer;
        applyChange(centre.cluster(), writer, 1);
        centre.cluster().run(Seconds(60));
        requireThat(centre.processesBehind(writer.revision()) == 0, "a process has no configuration");
        requireThat(centre.watcherCount() > 0, "no process watches the head");
        const auto size = static_cast<double>(entries);

        centre.requests().clear();
        centre.cluster().run(Seconds(static_cast<int>(idleSeconds)));
        const auto idleRate = static_cast<double>(centre.requests().total()) / idleSeconds;
        report.addCost("key_value.idle_calls_per_s", "calls/s", "entries", {size, idleRate});
        report.addCost("key_value.idle_writes_per_s", "calls/s", "entries",
                       {size, static_cast<double>(centre.requests().writes()) / idleSeconds});

        centre.requests().clear();
        const TimePoint before = centre.cluster().now().mono;
        const std::uint64_t revision = applyChange(centre.cluster(), writer, 2);
        requireThat(centre.cluster().runUntil(Seconds(30), [&] { return centre.processesBehind(revision) == 0; }),
                    "a change did not reach all processes in 30 s");
        const auto elapsed = static_cast<double>((centre.cluster().now().mono - before).count()) / 1e6;
        report.addCost("key_value.change_calls", "calls", "entries",
                       {size, static_cast<double>(centre.requests().total()) - idleRate * elapsed});
        report.addCost("config.spread_s", "s", "entries", {size, elapsed});

        centre.cluster().faultRule = [](const KvRequest &) { return KvFault::Down; };
        centre.cluster().kv.breakWatches();
        centre.requests().clear();
        centre.cluster().run(Seconds(static_cast<int>(outageSeconds)));
        report.addCost("key_value.outage_tries_per_s", "calls/s", "entries",
                       {size, static_cast<double>(centre.requests().total()) / outageSeconds});
        centre.cluster().faultRule = nullptr;
        centre.requests().clear();
        centre.cluster().run(Seconds(30));
        report.addCost("key_value.return_peak_per_s", "calls/s", "entries",
                       {size, static_cast<double>(centre.requests().peak())});
        report.addCost("key_value.return_calls_30s", "calls", "entries",
                       {size, static_cast<double>(centre.requests().total())});
    }
}

} // namespace anvilscale::slopes

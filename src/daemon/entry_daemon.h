// The entry as a process: callers on one side, sidecars on the other, decisions between them on the control thread.
#pragma once

#include "caller_api.h"
#include "control_loop.h"
#include "kv_mux.h"
#include "process.h"
#include "slot_tables.h"

#include "anvilscale/residency.h"
#include "anvilscale/routing.h"
#include "anvilscale/telemetry.h"

#include <atomic>
#include <map>
#include <set>

namespace anvilscale {

class EntryDaemon
{
public:
    static tl::expected<std::unique_ptr<EntryDaemon>, StartError> create(const settings::Settings &settings);
    ~EntryDaemon();
    EntryDaemon(const EntryDaemon &) = delete;
    EntryDaemon &operator=(const EntryDaemon &) = delete;

    void start();
    /// `done` is called, in some thread, once no call is in progress.
    void drain(std::function<void()> done);
    void shutdown();
    std::uint16_t controlPort() const;
    std::uint16_t httpPort() const;

private:
    explicit EntryDaemon(const settings::Settings &settings);
    tl::expected<void, StartError> bindAll();
    void makeDecisions();
    void makePlatform();

    // Traffic threads.
    void onRequest(HttpExchange exchange, HttpRequestData request);

    // Messenger's thread.
    void onTargetMessage(const std::string &name, wire::Envelope &&message);
    void onPeerMessage(PeerHandle peer, wire::Envelope &&message);

    // Control thread.
    void afterBatch(Now now);
    void onCall(HttpExchange exchange, CallerRequest request, Now now);
    void onApiPath(HttpExchange exchange, ApiPath path, Now now);
    void fromTarget(const std::string &name, const wire::Envelope &message, Now now);
    void fromPeer(PeerHandle peer, const wire::Envelope &message, Now now);
    void onTargetUp(const std::string &name);
    void onTargetLost(const std::string &name, Now now);
    void onMember(const Member &member);
    void onVmList(const HttpVmList::Result &result, Now now);
    void onConfigChanged(Now now);
    void watchLease(Now now);
    void watchStaleness();
    void carryOut(EntryAction &action);
    void sendToSidecar(SendToSidecar &action);
    void sendToPeer(const std::string &name, const wire::Envelope &message);
    bool connect(const std::string &name);
    bool wants(const Member &member) const;
    bool inFarSample(const std::string &sidecar) const;
    void sayHello(const std::string &name, bool wantFull);
    void scheduleHellos(Now now);
    void onStatusRequest(PeerHandle peer, const wire::StatusRequest &request, Now now);
    std::string statusJson() const;
    std::string explainJson(const std::string &route, Now now) const;
    std::string metrics() const;
    const std::string &modelList();

    settings::Settings settings_;
    std::uint64_t incarnation_;
    Timing timing_;
    ControlLoop control_;
    std::atomic<bool> ready_ = false;
    std::atomic<bool> draining_ = false;

    // Control state: the control thread only, from start() on.
    Random random_;
    ConfigStore config_;
    std::unique_ptr<Membership> membership_;
    std::unique_ptr<EntryDecisions> decisions_;
    std::unique_ptr<LeaseKeeper> lease_; // none unless this entry may schedule loads
    std::unique_ptr<LoadScheduler> scheduler_;
    std::unique_ptr<ConfigSpread> spread_;
    std::unique_ptr<SlotTables> slots_;
    std::unique_ptr<KvMux> kvMux_;
    std::map<std::string, std::string> connected_; // name to address
    std::map<std::string, PeerHandle> peers_; // processes that connected to us, by the name they gave
    bool leaseHeld_ = false;
    bool stale_ = false;
    bool vmListDown_ = false;
    Counters<RefusalReason> ownRefusals_; // before a call reached the decisions
    std::string modelList_;
    std::uint64_t modelListRevision_ = ~0ULL;
    HistogramMetric stallSeconds_;
    HistogramMetric stepFill_;

    std::unique_ptr<Messenger> messenger_;
    std::unique_ptr<HttpServer> http_;
    std::unique_ptr<EtcdGateway> gateway_;
    std::unique_ptr<HttpVmList> vmList_;
};

} // namespace anvilscale

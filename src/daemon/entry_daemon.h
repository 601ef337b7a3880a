// Process of an entry: callers on one side, sidecars on the other, decisions on the control thread.
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
    /// Stops accepting calls. `done` is called on an unspecified thread once no call is in progress.
    void drain(std::function<void()> done);
    void shutdown();
    std::uint16_t controlPort() const;
    std::uint16_t httpPort() const;

private:
    explicit EntryDaemon(const settings::Settings &settings);
    tl::expected<void, StartError> bindSockets();
    void createDecisions();
    void createPlatform();

    // Traffic threads.
    void onRequest(HttpExchange exchange, HttpRequestData request);

    // Messenger's thread.
    void onTargetMessage(const std::string &name, wire::Envelope &&message);
    void onPeerMessage(PeerHandle peer, wire::Envelope &&message);

    // Control thread.
    void afterBatch(Now now);
    void onCall(HttpExchange exchange, CallerRequest request, Now now);
    void onApiPath(HttpExchange exchange, ApiPath path, Now now);
    void handleTargetMessage(const std::string &name, const wire::Envelope &message, Now now);
    void handlePeerMessage(PeerHandle peer, const wire::Envelope &message, Now now);
    void onTargetUp(const std::string &name);
    void onTargetLost(const std::string &name, Now now);
    void onMember(const Member &member);
    void onVmList(const HttpVmList::Result &result, Now now);
    void onConfigChanged(Now now);
    void checkLease(Now now);
    void checkStaleness();
    void performAction(EntryAction &action);
    void sendToSidecar(SendToSidecar &action);
    void sendToPeer(const std::string &name, const wire::Envelope &message);
    bool connect(const std::string &name);
    bool shouldConnect(const Member &member) const;
    bool isInRemoteSample(const std::string &sidecar) const;
    void sendHello(const std::string &name, bool requestFullState);
    void scheduleHellos(Now now);
    void onStatusRequest(PeerHandle peer, const wire::StatusRequest &request, Now now);
    std::string statusJson() const;
    std::string explainJson(const std::string &route, Now now) const;
    std::string metrics() const;
    const std::string &modelListJson();

    settings::Settings settings_;
    std::uint64_t incarnation_;
    Timing timing_;
    ControlLoop control_;
    std::atomic<bool> isReady_ = false;
    std::atomic<bool> isDraining_ = false;

    // Control state: control thread only after start().
    Random random_;
    ConfigStore config_;
    std::unique_ptr<Membership> membership_;
    std::unique_ptr<EntryDecisions> decisions_;
    std::unique_ptr<LeaseHolder> lease_; // null unless this entry may become the scheduler
    std::unique_ptr<LoadScheduler> scheduler_;
    std::unique_ptr<ConfigDistributor> configDistributor_;
    std::unique_ptr<SlotTables> slotTables_;
    std::unique_ptr<KvMux> kvMux_;
    std::map<std::string, std::string> connectedAddresses_; // name to address
    std::map<std::string, PeerHandle> peers_; // connections accepted from other processes, by process name
    bool isLeaseHeld_ = false;
    bool isStale_ = false;
    bool isVmListDown_ = false;
    Counters<RefusalReason> localRefusals_; // refusals before a call reached decisions_
    std::string modelListJson_;
    std::uint64_t modelListRevision_ = ~0ULL;
    HistogramMetric stallSeconds_;
    HistogramMetric stepFill_;

    std::unique_ptr<Messenger> messenger_;
    std::unique_ptr<HttpServer> http_;
    std::unique_ptr<EtcdGateway> gateway_;
    std::unique_ptr<HttpVmList> vmList_;
};

} // namespace anvilscale

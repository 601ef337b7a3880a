// The sidecar as a process: entries on one side, the endpoint of its VM on the other, decisions between them on the
// control thread. Answers go from the endpoint's thread to the messenger without a turn through the control thread.
#pragma once

#include "control_loop.h"
#include "kv_mux.h"
#include "process.h"

#include "anvilscale/endpoint.h"
#include "anvilscale/residency.h"
#include "anvilscale/telemetry.h"

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <map>
#include <set>

namespace anvilscale {

class SidecarDaemon
{
public:
    static tl::expected<std::unique_ptr<SidecarDaemon>, StartError> create(const settings::Settings &settings);
    ~SidecarDaemon();
    SidecarDaemon(const SidecarDaemon &) = delete;
    SidecarDaemon &operator=(const SidecarDaemon &) = delete;

    void start();
    /// `done` is called, in some thread, once no work is left.
    void drain(std::function<void()> done);
    /// Called, in some thread, if the sidecar drains without being told to by drain(): by an operator's order or
    /// because the list of VMs names it as leaving.
    void onDrained(std::function<void()> done);
    void shutdown();
    std::uint16_t controlPort() const;
    std::uint16_t httpPort() const;

private:
    explicit SidecarDaemon(const settings::Settings &settings);
    tl::expected<void, StartError> takeLock();
    tl::expected<void, StartError> bindAll();
    tl::expected<void, StartError> makeEndpoint();
    void makeDecisions();
    void makePlatform();

    // Messenger's thread.
    void onPeerMessage(PeerHandle peer, wire::Envelope &&message);

    // Control thread.
    void afterBatch(Now now);
    void fromPeer(PeerHandle peer, const wire::Envelope &message, Now now);
    void carryOut(SidecarAction &action);
    void onPeerLost(PeerHandle peer, Now now);
    void onVmList(const HttpVmList::Result &result, Now now);
    void onReport(const EngineReport &report, Now now);
    void onEndpointLost(Now now);
    void onConfigChanged(Now now);
    void watchStaleness(Now now);
    void startDrain(Now now);
    void finishDrain();
    void sendToPeer(const std::string &name, const wire::Envelope &message);
    /// To another sidecar, for the hand-over of slots; connects first.
    void sendToMember(const std::string &name, const wire::Envelope &message);
    void noteMembers(const std::vector<VmInfo> &list);
    void onStatusRequest(PeerHandle peer, const wire::StatusRequest &request);
    void onHttp(HttpExchange exchange, const HttpRequestData &request);
    std::string statusJson() const;
    std::string adaptersJson() const;
    std::string metrics() const;

    settings::Settings settings_;
    std::uint64_t incarnation_;
    Timing timing_;
    ControlLoop control_;
    std::vector<ExecutionHandle> endedExecutions_; // in this batch of events; released after its actions
    std::atomic<bool> draining_ = false;

    // Control state: the control thread only, from start() on.
    Random random_;
    ConfigStore config_;
    std::unique_ptr<SidecarDecisions> decisions_;
    std::unique_ptr<ConfigSpread> spread_;
    std::unique_ptr<KvMux> kvMux_;
    KvMux::Submit submitKv_; // for the decisions
    std::map<std::string, PeerHandle> peers_; // entries that said hello, by name
    std::map<std::string, std::string> addresses_; // of live sidecars, from the list of VMs
    std::set<std::string> connected_; // other sidecars that we spoke to; a subset of the names in addresses_
    std::function<void()> drained_;
    bool hasDrained_ = false;
    bool drainLogged_ = false;
    bool stale_ = false;
    bool vmListDown_ = false;
    bool listedLive_ = false; // this VM stood in the list as live since our start
    bool endpointDown_ = false;
    std::uint64_t endpointIncarnation_ = 0;
    HistogramMetric stepFill_;

    // Held as long as the process lives: the kernel gives the port to one process only, and a paused holder keeps it.
    Poco::Net::ServerSocket lock_;
    std::unique_ptr<Messenger> messenger_;
    std::unique_ptr<HttpServer> http_;
    std::unique_ptr<Endpoint> endpoint_;
    std::unique_ptr<EtcdGateway> gateway_;
    std::unique_ptr<HttpVmList> vmList_;
};

} // namespace anvilscale

// Process of a sidecar: entries on one side, the endpoint of its VM on the other, decisions on the control thread.
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

/// Response data goes from the endpoint's thread to the messenger without passing through the control thread.
class SidecarDaemon
{
public:
    static tl::expected<std::unique_ptr<SidecarDaemon>, StartError> create(const settings::Settings &settings);
    ~SidecarDaemon();
    SidecarDaemon(const SidecarDaemon &) = delete;
    SidecarDaemon &operator=(const SidecarDaemon &) = delete;

    void start();
    /// Stops accepting work. `done` is called on an unspecified thread once no work is left.
    void drain(std::function<void()> done);
    /// Sets the function called, on an unspecified thread, when the sidecar has drained without a call of drain(): by
    /// an operator's order or because the list of VMs shows it as leaving.
    void setDrainedHandler(std::function<void()> done);
    void shutdown();
    std::uint16_t controlPort() const;
    std::uint16_t httpPort() const;

private:
    explicit SidecarDaemon(const settings::Settings &settings);
    tl::expected<void, StartError> acquireLock();
    tl::expected<void, StartError> bindSockets();
    tl::expected<void, StartError> createEndpoint();
    void createDecisions();
    void createPlatform();

    // Messenger's thread.
    void onPeerMessage(PeerHandle peer, wire::Envelope &&message);

    // Control thread.
    void afterBatch(Now now);
    void handlePeerMessage(PeerHandle peer, const wire::Envelope &message, Now now);
    void performAction(SidecarAction &action);
    void onPeerLost(PeerHandle peer, Now now);
    void onVmList(const HttpVmList::Result &result, Now now);
    void onReport(const EngineReport &report, Now now);
    void onEndpointLost(Now now);
    void onConfigChanged(Now now);
    void checkStaleness(Now now);
    void startDrain(Now now);
    void finishDrain();
    void sendToPeer(const std::string &name, const wire::Envelope &message);
    /// Sends to another sidecar, as needed for slot transfers. Connects first if necessary.
    void sendToMember(const std::string &name, const wire::Envelope &message);
    void updateAddresses(const std::vector<VmInfo> &list);
    void onStatusRequest(PeerHandle peer, const wire::StatusRequest &request);
    void onHttpRequest(HttpExchange exchange, const HttpRequestData &request);
    std::string statusJson() const;
    std::string adaptersJson() const;
    std::string metrics() const;

    settings::Settings settings_;
    std::uint64_t incarnation_;
    Timing timing_;
    ControlLoop control_;
    std::vector<ExecutionHandle> endedExecutions_; // ended in this batch of events; released after its actions
    std::atomic<bool> isDraining_ = false;

    // Control state: control thread only after start().
    Random random_;
    ConfigStore config_;
    std::unique_ptr<SidecarDecisions> decisions_;
    std::unique_ptr<ConfigDistributor> configDistributor_;
    std::unique_ptr<KvMux> kvMux_;
    KvMux::Submit submitKv_; // submits the requests of decisions_
    std::map<std::string, PeerHandle> peers_; // entries that have sent a Hello, by name
    std::map<std::string, std::string> addresses_; // addresses of sidecars in the list of VMs, by name
    std::set<std::string> connectedSidecars_; // invariant: a subset of the names in addresses_
    std::function<void()> drainedHandler_;
    bool hasDrained_ = false;
    bool isDrainLogged_ = false;
    bool isStale_ = false;
    bool isVmListDown_ = false;
    bool wasListedLive_ = false; // the list of VMs has shown this VM as live since the start
    bool isEndpointDown_ = false;
    std::uint64_t endpointIncarnation_ = 0;
    HistogramMetric stepFill_;

    // Bound until the process exits: only one process gets the port, also while its holder is paused.
    Poco::Net::ServerSocket lockSocket_;
    std::unique_ptr<Messenger> messenger_;
    std::unique_ptr<HttpServer> http_;
    std::unique_ptr<Endpoint> endpoint_;
    std::unique_ptr<EtcdGateway> gateway_;
    std::unique_ptr<HttpVmList> vmList_;
};

} // namespace anvilscale

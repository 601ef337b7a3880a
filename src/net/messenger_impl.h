// State of the messenger: queued messages, sockets, peers and targets.
#pragma once

#include "peer_listener.h"
#include "socket_watch.h"

#include "anvilscale/net.h"

#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>

namespace anvilscale {

constexpr int maxSocketQueue = 20'000; // messages that ZeroMQ queues for one connection
constexpr auto openRetryInterval = std::chrono::seconds(1); // of a target whose sockets could not be made
constexpr int lingerMs = 200; // for messages queued when a socket is closed
// Names under which the descriptors of other than targets are watched. Target names never have this form.
constexpr std::string_view wakeName = "\nwake";
constexpr std::string_view routerName = "\nrouter";
constexpr std::string_view routerMonitorName = "\nrouter-monitor";

/// A message waiting to be sent.
struct Outgoing
{
    PeerHandle peer; // receiver; sent to `target` if unset
    std::string target;
    zmq::message_t data;
    std::optional<wire::AttemptId> request; // set for a call request, whose failure to be sent is reported
    std::chrono::steady_clock::time_point queuedAt; // when it was queued
};

struct Command
{
    enum class Kind : std::uint8_t {
        Send,
        Connect,
        Disconnect,
        DropPeer,
        Stop
    };
    Kind kind = Kind::Send;
    Outgoing message;
    std::string name;
    NetAddress address;
    PeerHandle peer;
};

struct Target
{
    std::string name;
    NetAddress address;
    std::uint64_t epoch = 0;
    zmq::socket_t dealer;
    zmq::socket_t monitor;
    bool isUp = false;
    bool hasSent = false; // on the current connection
    bool wasUpBefore = false; // if so, calls fail at once instead of waiting
    std::optional<std::chrono::steady_clock::time_point> lastReceivedAt; // on the current connection
    std::deque<Outgoing> waitingMessages; // until the connection is established
};

struct Peer
{
    PeerHandle handle;
    std::string identity;
};

struct Messenger::Impl
{
    MessengerInit init;
    Handlers handlers;
    zmq::context_t context{1};
    std::unique_ptr<PeerListener> listener; // of the router; messenger's thread once started
    zmq::socket_t router;
    zmq::socket_t routerMonitor; // events of connections to the router
    std::uint16_t port = 0;
    int wakeFd = -1;
    std::thread thread;

    std::mutex mutex;
    std::vector<Command> commands; // guarded by mutex
    bool isWakePending = false; // guarded by mutex
    std::atomic<std::size_t> queuedBytes = 0;
    std::atomic<std::uint64_t> lastMessage = 0;

    std::array<std::atomic<std::uint64_t>, enumCount<MessageDrop>> dropped{};
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> sentBytes = 0;
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> receivedBytes = 0;
    std::atomic<std::uint64_t> visitedTargets = 0;

    // The messenger's thread only.
    std::unordered_map<std::string, PeerHandle> peerByIdentity;
    std::unordered_map<PeerHandle, std::string> identityByPeer;
    std::uint64_t lastPeer = 0;
    std::map<std::string, std::unique_ptr<Target>> targets;
    // Names of the targets with waiting messages. A turn visits these and the targets with events, and not all others:
    // with hundreds of targets such walks were most of the thread's work.
    std::set<std::string> waitingTargets;
    std::set<std::string> closedTargets; // names of the targets without sockets, which are opened again at nextOpenAt
    std::chrono::steady_clock::time_point nextOpenAt;
    SocketWatch socketWatch; // under wakeName, routerName and the names of the targets
    std::chrono::steady_clock::time_point silenceCheckedAt; // when reopenSilentTargets() last checked
    bool isStopping = false;

    ~Impl()
    {
        if (wakeFd >= 0) {
            ::close(wakeFd);
        }
    }

    void count(MessageDrop reason)
    {
        dropped[static_cast<std::size_t>(reason)] += 1;
    }
    void submit(Command command);
    void submitMessage(PeerHandle peer, const std::string &target, const wire::Envelope &message);
    void run();
    void poll();
    void runCommands();
    void runCommand(Command &command);
    void connectTarget(const std::string &name, NetAddress address, std::uint64_t epoch);
    void openDealer(Target &target);
    void openTarget(Target &target);
    void openClosedTargets();
    void reopenConnection(Target &target);
    void removeTarget(const std::string &name);
    void closeSockets(Target &target);
    void send(Outgoing message);
    void sendToPeer(Outgoing message);
    void sendToTarget(Target &target, Outgoing message);
    bool trySendMessage(zmq::socket_t &socket, Outgoing &message);
    void onSendFailed(const Outgoing &message, MessageDrop reason);
    void onPeerUnreachable(PeerHandle peer);
    void receivePeers();
    void openRouterMonitor();
    void handleRouterEvents();
    void receiveTarget(Target &target);
    void handleMonitorEvents(Target &target);
    void reopenSilentTargets();
    void configureLiveness(zmq::socket_t &socket) const;
    void addWaiting(Target &target, Outgoing message);
    void handleWaitingTargets();
    void sendWaiting(Target &target);
    void expireWaiting(Target &target);
    bool parse(const zmq::message_t &data, wire::Envelope &message);
};

} // namespace anvilscale

// The in-memory link of the fault matrix: a few processes made of the real decision objects, stand-in endpoints, a
// small key-value service, and one virtual clock. No cluster simulator: it holds just what a protocol needs.
#pragma once

#include "config.pb.h"
#include "stand_in.h"
#include "support/memory_kv.h"
#include "tables.h"
#include "wire.pb.h"

#include "anvilscale/residency.h"
#include "anvilscale/routing.h"
#include "anvilscale/state.h"

#include <memory>
#include <optional>
#include <ostream>

namespace anvilscale::faults {

struct AllSafeguards
{
    Safeguards sidecar;
    EntrySafeguards entry;
    StateSafeguards state;
};

/// One execution as the traffic thread of a sidecar sees it.
struct Traffic
{
    std::vector<std::pair<std::string, wire::AttemptId>> listeners;
    std::vector<std::string> frames;
    std::uint64_t run = 0;
};

/// The objects of one process start. The timers come first: all others cancel theirs when they go.
struct Process
{
    TimerService timers;
    ConfigStore store;
    std::unique_ptr<ConfigSpread> spread;
    std::unique_ptr<ConfigWriter> writer;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<LeaseKeeper> lease;
    std::unique_ptr<LoadScheduler> scheduler;
    std::unique_ptr<EntryDecisions> entry;
    std::unique_ptr<KeyFollower> slots;
    std::unique_ptr<SidecarDecisions> sidecar;
    std::map<std::uint64_t, Traffic> traffic;
    std::string changeId; ///< of an operator's last change
    bool writing = false;
    std::set<std::pair<std::string, std::uint64_t>> left; ///< starts that an entry has seen leaving
    std::uint64_t highestRevision = 0;
    bool scheduling = false; // mayAct at the last look
    bool drained = false;
};

enum class NodeKind : std::uint8_t {
    Entry,
    EngineSidecar,
    ServiceSidecar,
    Operator,
    Count
};

constexpr Duration restartAfter = Seconds(2); // a killed process is started again

struct Node
{
    std::string name;
    NodeKind kind = NodeKind::Entry;
    int dataCentre = 0;
    std::int64_t clockError = 0; // milliseconds
    std::uint64_t incarnation = 0;
    bool paused = false;
    bool dying = false;
    TimePoint wokeAt;
    std::optional<TimePoint> leavingSince;
    std::vector<std::function<void()>> backlog; // what a paused process has not yet read or sent
    std::unique_ptr<Process> process;
    StandIn endpoint;

    bool sidecar() const
    {
        return kind == NodeKind::EngineSidecar || kind == NodeKind::ServiceSidecar;
    }
};

/// One try of a caller's call through one entry.
struct Try
{
    std::string id;
    std::string entry;
    std::uint64_t incarnation = 0;
    std::string data;
    bool ended = false;
    bool finished = false;
};

struct CallerCall
{
    std::string id;
    std::string key;
    std::string route; ///< empty: the non-idempotent service
    bool stream = false;
    bool done = false;
    std::vector<Try> tries;
};

class World
{
public:
    World(Protocol protocol, std::vector<Injection> injections, AllSafeguards safeguards, std::uint64_t seed);
    ~World();

    /// Plays the protocol; the violations found, in order of time.
    std::vector<std::string> play();
    /// Prints each step, for a replay.
    void traceTo(std::ostream *out)
    {
        trace_ = out;
    }
    /// Injections that were reached.
    std::size_t reached() const;
    std::size_t finishedCalls() const;
    std::size_t runs() const;

private:
    struct Fate
    {
        bool lost = false;
        bool doubled = false;
        bool replyLost = false;
        Duration delay{};
    };
    using Action = std::function<void()>;

    // world.cpp: time and processes
    void at(Duration wait, Action action);
    void post(const std::string &node, Duration wait, Action action);
    void runUntil(TimePoint end);
    Now nowOf(const Node &node) const;
    Node &node(const std::string &name);
    void boot(Node &node);
    void bootEntry(Node &node);
    void bootSidecar(Node &node);
    void bootOperator(Node &node);
    void bootSpread(Node &node, bool mayWatch);
    void collect(Node &node);
    void wake(Node &node);
    void kill(Node &node);
    void tellVmList();
    void takeVmList(Node &to, const std::vector<VmInfo> &list);
    void sayHello(Node &entry);

    // injector.cpp: faults
    Fate pass(Step step, Node &actor);
    void inflict(Fault fault, Node &actor, Fate &fate);
    void leave(Node &node, bool byOrder);
    void restartEngine(Node &node);
    void heal();

    // link.cpp: messages, endpoint, key-value service
    void link(Node &from, const std::string &to, wire::Envelope message);
    void receive(Node &node, const std::string &from, const wire::Envelope &message);
    void receiveAtSidecar(Node &node, const std::string &from, const wire::Envelope &message);
    PeerHandle peer(const std::string &identity);
    void submit(Node &from, const KvRequest &request);
    void carryOut(Node &from, const KvRequest &request, const Fate &fate);
    void replyKv(Node &node, std::uint64_t incarnation, KvReply reply);
    void sendOrder(Node &from, const SendOrder &order);
    void start(Node &from, const StartExecution &begin, TimePoint decided);
    void runAtEndpoint(const std::string &sidecar, const StartExecution &begin, TimePoint decided, bool cut);
    void partFromEndpoint(const std::string &sidecar, std::uint64_t execution, std::uint64_t run, std::uint32_t number);
    void frame(Node &node, Traffic &traffic, const std::string &data);
    void sendFrames(Node &node, const Traffic &traffic, const std::string &to, const wire::AttemptId &id);
    void endTraffic(const std::string &sidecar, std::uint64_t execution, CallOutcome outcome, FailureReason failure);
    void cancel(Node &node, const CancelExecution &cancel);
    void replay(Node &node, const ReplayAnswer &replay);

    // callers.cpp: callers and invariants
    void startCalls();
    void call(CallerCall fresh, const std::string &entry);
    void tryCall(std::size_t index, const std::string &entry);
    void deliver(const DeliverFrame &frame);
    void checkAnswered(CallHandle handle);
    void finish(const FinishCall &finish);
    void fail(const FailCall &fail);
    Try *tryOf(CallHandle handle);
    void endTry(Try &tried, bool mayRetry);
    void checkRun(const Run &run, Node &node, const StartExecution &start);
    void checkSent(const Node &from, const std::string &to, const wire::CallRequest &request);
    void checkMember(Node &at, const Member &member);
    void checkWritten(Node &by, const ConfigWriter::Result &result);
    void checkAlways();
    void checkEnd();
    void violation(const std::string &text);
    void trace(const std::string &text) const;
    void applyChange(const std::string &operatorName, const std::string &route, const std::string &version);

    struct Event
    {
        Action action;
    };

    std::ostream *trace_ = nullptr;
    Protocol protocol_;
    std::vector<Injection> injections_;
    AllSafeguards safeguards_;
    Random random_;
    TimePoint time_{Seconds(1000)};
    std::map<std::pair<TimePoint, std::uint64_t>, Event> events_;
    std::uint64_t lastEvent_ = 0;
    std::map<std::string, std::unique_ptr<Node>> nodes_;
    std::vector<std::unique_ptr<Process>> buried_; // callbacks into them may still be on the stack
    test::MemoryKv kv_;
    std::map<std::string, std::uint64_t> peers_;
    std::vector<std::string> peerNames_;
    std::set<std::pair<std::string, std::string>> muted_; // the next message from first to second is lost
    bool armed_ = false; // passes are counted and faults injected
    std::map<Step, std::uint32_t> passes_;
    std::size_t reached_ = 0;
    bool kvDown_ = false;
    bool kvSlow_ = false;
    bool parted_ = false;
    std::vector<Run> runs_;
    std::vector<CallerCall> calls_;
    std::map<std::uint64_t, std::pair<std::size_t, std::size_t>> handles_; // call and try of a handle
    std::uint64_t lastHandle_ = 0;
    std::set<std::string> saidNotRun_; // tries
    std::set<std::string> ranAttempts_;
    std::set<std::string> saidNotMade_; // changes
    std::map<std::string, std::uint64_t> revisionAtArrival_; // of the sidecar, by attempt
    std::map<std::uint64_t, std::map<std::string, std::string>> versions_; // by revision and route, as accepted
    std::vector<std::string> acceptedChanges_;
    std::uint64_t lastChange_ = 0;
    std::vector<std::string> violations_;
};

} // namespace anvilscale::faults

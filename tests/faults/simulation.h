// Simulation for the fault matrix: processes made of the real decision objects, stand-in endpoints, a key-value service
// and an in-memory network, all under one virtual clock.
#pragma once

#include "config.pb.h"
#include "stand_in_endpoint.h"
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

/// Safeguards of the product, each of which a test may switch off.
struct AllSafeguards
{
    Safeguards sidecar;
    EntrySafeguards entry;
    StateSafeguards state;
};

/// Open execution of a sidecar: the peers that receive its answer and the frames so far.
struct OpenExecution
{
    std::vector<std::pair<std::string, wire::AttemptId>> listeners;
    std::vector<std::string> frames;
    std::uint64_t runId = 0; ///< 0 if nothing runs for it, or its connection is cut
};

/// Objects of one process incarnation. The timers are declared first, because all other objects cancel theirs when
/// destroyed.
struct Process
{
    TimerService timers;
    ConfigStore store;
    std::unique_ptr<ConfigDistributor> configDistributor;
    std::unique_ptr<ConfigWriter> writer;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<LeaseHolder> lease;
    std::unique_ptr<LoadScheduler> scheduler;
    std::unique_ptr<EntryDecisions> entry;
    std::unique_ptr<KeyWatcher> slotWatcher;
    std::unique_ptr<SidecarDecisions> sidecar;
    std::map<std::uint64_t, OpenExecution> openExecutions;
    std::string changeId; ///< last change of an operator
    bool isWriting = false;
    std::set<std::pair<std::string, std::uint64_t>> leavingStarts; ///< incarnations that an entry has seen leaving
    std::uint64_t highestRevision = 0;
    bool isScheduler = false; ///< result of the last mayAct()
    bool isDrained = false;
};

enum class NodeKind : std::uint8_t {
    Entry,
    EngineSidecar,
    ServiceSidecar,
    Operator,
    Count
};

constexpr Duration restartDelay = Seconds(2); // of a killed process

/// A simulated VM with its process and endpoint.
struct Node
{
    std::string name;
    NodeKind kind = NodeKind::Entry;
    int dataCentre = 0;
    std::int64_t clockOffsetMs = 0;
    std::uint64_t incarnation = 0;
    bool isPaused = false;
    bool isTerminating = false;
    TimePoint resumedAt;
    std::optional<TimePoint> leavingSince;
    std::vector<std::function<void()>> pendingActions; ///< messages that a paused process has not yet read or sent
    std::unique_ptr<Process> process;
    StandInEndpoint endpoint;

    bool isSidecar() const
    {
        return kind == NodeKind::EngineSidecar || kind == NodeKind::ServiceSidecar;
    }
};

/// One try of a call by its caller, through one entry.
struct Try
{
    std::string id;
    std::string entry;
    std::uint64_t incarnation = 0;
    std::string received;
    bool isEnded = false; ///< answered, failed or disconnected
    bool isFinished = false; ///< got a complete answer
};

/// A call with all its tries.
struct CallerCall
{
    std::string id;
    std::string key;
    std::string route; ///< empty for the non-idempotent service
    bool isStream = false;
    bool isDone = false;
    std::vector<Try> tries;
};

/// Plays one protocol with injected faults and records violated invariants.
class Simulation
{
public:
    Simulation(Protocol protocol, std::vector<Injection> injections, AllSafeguards safeguards, std::uint64_t seed);
    ~Simulation();

    /// Plays the protocol. Returns the violations in order of time.
    std::vector<std::string> run();
    /// Prints each step to `out`; no output if null.
    void setTrace(std::ostream *out)
    {
        trace_ = out;
    }
    /// Number of faults injected.
    std::size_t injectedCount() const;
    /// Number of calls with a complete answer.
    std::size_t finishedCallCount() const;
    /// Number of executions at the endpoints.
    std::size_t runCount() const;

private:
    /// Effect of injected faults on one message or request.
    struct FaultEffect
    {
        bool isLost = false;
        bool isDuplicated = false;
        bool isReplyLost = false;
        Duration delay{};
    };
    using Action = std::function<void()>;

    // simulation.cpp: time and processes
    void schedule(Duration wait, Action action);
    void post(const std::string &node, Duration wait, Action action);
    void runUntil(TimePoint end);
    Now nowOf(const Node &node) const;
    Node &node(const std::string &name);
    void startProcess(Node &node);
    void startEntry(Node &node);
    void startSidecar(Node &node);
    void startOperator(Node &node);
    void createConfigDistributor(Node &node, bool mayWatch);
    void processActions(Node &node);
    void resume(Node &node);
    void kill(Node &node);
    void publishVmList();
    void applyVmList(Node &to, const std::vector<VmInfo> &list);
    void sendHello(Node &entry);

    // injector.cpp: faults
    FaultEffect injectFaults(Step step, Node &actor);
    void applyFault(Fault fault, Node &actor, FaultEffect &effect);
    void startLeaving(Node &node, bool byOrder);
    void restartEngine(Node &node);
    void clearFaults();

    // link.cpp: messages, endpoint, key-value service
    void sendMessage(Node &from, const std::string &to, wire::Envelope message);
    void receive(Node &node, const std::string &from, const wire::Envelope &message);
    void receiveAtSidecar(Node &node, const std::string &from, const wire::Envelope &message);
    PeerHandle peerHandle(const std::string &identity);
    void submitKv(Node &from, const KvRequest &request);
    void executeKv(Node &from, const KvRequest &request, const FaultEffect &effect);
    void deliverKvReply(Node &node, std::uint64_t incarnation, KvReply reply);
    void sendOrder(Node &from, const SendOrder &order);
    void startExecution(Node &from, const StartExecution &start, TimePoint decided);
    void runAtEndpoint(const std::string &sidecar, const StartExecution &start, TimePoint decided, bool isCut);
    void scheduleAnswerPart(const std::string &sidecar, std::uint64_t execution, std::uint64_t run,
                            std::uint32_t number);
    void sendFrame(Node &node, OpenExecution &openExecution, const std::string &data);
    void resendFrames(Node &node, const OpenExecution &openExecution, const std::string &to, const wire::AttemptId &id);
    void endExecution(const std::string &sidecar, std::uint64_t execution, CallOutcome outcome, FailureReason failure);
    void cancelExecution(Node &node, const CancelExecution &cancel);
    void replayAnswer(Node &node, const ReplayAnswer &replay);

    // callers.cpp: callers and invariants
    void startCalls();
    void startCall(CallerCall newCall, const std::string &entry);
    void startTry(std::size_t index, const std::string &entry);
    void onFrame(const DeliverFrame &frame);
    void checkAnswered(CallHandle handle);
    void onFinished(const FinishCall &finish);
    void onFailed(const FailCall &fail);
    Try *findTry(CallHandle handle);
    void endTry(Try &callerTry, bool mayRetry);
    void checkRun(const Run &run, Node &node, const StartExecution &start);
    void checkCallRequest(const Node &from, const std::string &to, const wire::CallRequest &request);
    void checkMember(Node &entry, const Member &member);
    void checkChangeResult(Node &operatorNode, const ConfigWriter::Result &result);
    void checkInvariants();
    void checkFinalState();
    void reportViolation(const std::string &text);
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
    std::vector<std::unique_ptr<Process>> terminated_; // kept, because callbacks into them may still be on the stack
    test::MemoryKv kv_;
    std::map<std::string, std::uint64_t> peers_;
    std::vector<std::string> peerNames_;
    std::set<std::pair<std::string, std::string>> droppedLinks_; // the next message from first to second is dropped
    bool isInjecting_ = false; // passes are counted and faults injected
    std::map<Step, std::uint32_t> passCounts_;
    std::size_t injectedCount_ = 0;
    bool isKvDown_ = false;
    bool isKvSlow_ = false;
    bool isPartitioned_ = false;
    std::vector<Run> runs_;
    std::vector<CallerCall> calls_;
    std::map<std::uint64_t, std::pair<std::size_t, std::size_t>> tryByHandle_; // indexes of call and try
    std::uint64_t lastHandle_ = 0;
    std::set<std::string> reportedNotRun_; // tries answered with the verdict NotRun
    std::set<std::string> ranAttempts_;
    std::set<std::string> reportedNotMade_; // changes rejected with a certain outcome
    std::map<std::string, std::uint64_t> revisionAtArrival_; // configuration revision of the sidecar, by attempt
    // Accepted adapter versions, by revision and route
    std::map<std::uint64_t, std::map<std::string, std::string>> versionsByRevision_;
    std::vector<std::string> acceptedChanges_;
    std::uint64_t lastChange_ = 0;
    std::vector<std::string> violations_;
};

} // namespace anvilscale::faults

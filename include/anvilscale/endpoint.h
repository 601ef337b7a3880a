// Endpoint library: HTTP client for a sidecar's endpoint. Runs calls, streams answers to their listeners and sends
// adapter orders; each kind of endpoint (model_engine, plain_service) implements EndpointProtocol.
#pragma once

#include "anvilscale/net.h"
#include "anvilscale/residency.h"

#include <concepts>
#include <functional>
#include <memory>
#include <string>

namespace anvilscale {

/// Request encoding and response parsing for one kind of endpoint. Performs no I/O.
template<class T>
concept EndpointProtocol = requires(const T protocol, const wire::CallRequest &call, const SendOrder &order,
                                    std::uint32_t status, const std::string &body, const std::string &metrics)
{
    {
        protocol.callRequest(call)
        } -> std::same_as<EndpointRequest>;
    {
        protocol.orderRequest(order)
        } -> std::same_as<EndpointRequest>;
    {
        protocol.parseOrderOutcome(order, status, body)
        } -> std::same_as<OrderOutcome>;
    {
        protocol.listRequest()
        } -> std::same_as<EndpointRequest>;
    {
        protocol.reportRequest()
        } -> std::same_as<EndpointRequest>;
    {
        protocol.parseList(body, metrics)
        } -> std::same_as<std::optional<EngineList>>;
    {
        protocol.parseReport(metrics)
        } -> std::same_as<std::optional<EngineReport>>;
    {
        protocol.generatedTokens(body)
        } -> std::same_as<std::uint32_t>;
};

struct EndpointInit
{
    NetAddress address; ///< on the loopback interface
    EndpointKind kind = EndpointKind::Engine;
    std::uint32_t batchLimit = 16;
    Duration reportInterval = Milliseconds(500);
    Duration connectTimeout = Seconds(2);
    Duration cancelGrace = Milliseconds(300); ///< how long to wait for the endpoint to confirm a cancel by closing
    std::size_t maxReadAheadBytes = 256U << 10; ///< maximum read ahead of the slowest listener
    std::uint32_t threadCount = 2; ///< number of threads that calls are distributed over
    std::size_t maxKeptAnswerBytes = 4U << 20; ///< maximum size of an answer kept for late listeners and repeats
};

struct EndpointStats
{
    std::uint64_t requests = 0;
    std::uint64_t connections = 0;
    std::uint64_t connectFailures = 0;
    std::uint64_t brokenAnswers = 0; ///< answers that ended before they were complete
    std::uint64_t cancels = 0;
    std::uint64_t unconfirmedCancels = 0;
    std::uint64_t reportFailures = 0;
    std::uint32_t runningCalls = 0;
    std::uint32_t listenerCount = 0;

    void add(const EndpointStats &other)
    {
        requests += other.requests;
        connections += other.connections;
        connectFailures += other.connectFailures;
        brokenAnswers += other.brokenAnswers;
        cancels += other.cancels;
        unconfirmedCancels += other.unconfirmedCancels;
        reportFailures += other.reportFailures;
        runningCalls += other.runningCalls;
        listenerCount += other.listenerCount;
    }
};

enum class EndpointErrorKind : std::uint8_t {
    BadUrl,
    NotLoopback, ///< a sidecar only connects to the endpoint on its own VM
    Count
};
template<>
struct EnumNames<EndpointErrorKind>
{
    static constexpr std::array<std::string_view, enumCount<EndpointErrorKind>> table{"bad_url", "not_loopback"};
};

/// Parses "http://IP:PORT" into address and port.
tl::expected<NetAddress, EndpointErrorKind> parseEndpointUrl(std::string_view url);

/// Client of one endpoint with its own threads. Calls are distributed over them; orders and reports use the first.
class Endpoint
{
public:
    /// Callbacks, invoked on the endpoint's threads. They must not block.
    struct Handlers
    {
        std::function<void(PeerHandle, const wire::Envelope &)> send;
        std::function<void(ExecutionHandle)> onStarted;
        std::function<void(ExecutionHandle, CachedAnswer, std::uint32_t generatedTokens)> onEnded;
        std::function<void(OrderHandle, OrderOutcome)> onOrderDone;
        std::function<void(OrderHandle, EngineList)> onList;
        std::function<void(EngineReport)> onReport;
        std::function<void()> onUnreachable;
    };
    Endpoint(const EndpointInit &init, Handlers handlers);
    ~Endpoint();
    Endpoint(const Endpoint &) = delete;
    Endpoint &operator=(const Endpoint &) = delete;

    // The methods below may be called from any thread.
    void start(StartExecution action);
    void attach(AttachListener action);
    /// Must be called after onEnded has been processed; no listener may be attached to the execution afterwards.
    void release(ExecutionHandle execution);
    void detach(DetachListener action);
    void cancel(CancelExecution action);
    void replay(ReplayAnswer action);
    void order(SendOrder action);
    void credit(PeerHandle peer, const wire::CallCredit &credit);
    /// Removes the listener from finished executions. Running executions are stopped by cancel().
    void listenerDisconnected(PeerHandle peer, const wire::AttemptId &id);
    void peerLost(PeerHandle peer);
    /// Starts polling the endpoint for reports.
    void startReports();
    /// Calls `idle` on an endpoint thread once every answer has been sent completely to all its listeners. A finished
    /// execution may still hold bytes for which its reader has granted no credit.
    void whenIdle(std::function<void()> idle);
    void shutdown();
    EndpointStats stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace anvilscale

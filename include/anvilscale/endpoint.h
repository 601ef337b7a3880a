// Endpoint library: the only part that talks to a sidecar's endpoint. Calls are run and their bytes sent to all who
// listen; orders, lists and reports of a model engine go through the same thread. One file for each kind of endpoint
// (src/endpoint/model_engine, plain_service) meets the concept EndpointProtocol.
#pragma once

#include "anvilscale/net.h"
#include "anvilscale/residency.h"

#include <concepts>
#include <functional>
#include <memory>
#include <string>

namespace anvilscale {

/// How a kind of endpoint is spoken to. No I/O.
template<class T>
concept EndpointProtocol = requires(const T protocol, const wire::CallRequest &call, const SendOrder &order,
                                    std::uint32_t status, const std::string &body, const std::string &metrics)
{
    {
        protocol.call(call)
        } -> std::same_as<EndpointRequest>;
    {
        protocol.order(order)
        } -> std::same_as<EndpointRequest>;
    {
        protocol.orderOutcome(order, status, body)
        } -> std::same_as<OrderOutcome>;
    {
        protocol.listRequest()
        } -> std::same_as<EndpointRequest>;
    {
        protocol.reportRequest()
        } -> std::same_as<EndpointRequest>;
    {
        protocol.readList(body, metrics)
        } -> std::same_as<std::optional<EngineList>>;
    {
        protocol.readReport(metrics)
        } -> std::same_as<std::optional<EngineReport>>;
    {
        protocol.generatedTokens(body)
        } -> std::same_as<std::uint32_t>;
};

struct EndpointInit
{
    std::string address; ///< IP number on loopback
    std::uint16_t port = 0;
    EndpointKind kind = EndpointKind::Engine;
    std::uint32_t batchLimit = 16;
    Duration reportInterval = Milliseconds(500);
    Duration connectTimeout = Seconds(2);
    Duration cancelGrace = Milliseconds(300); ///< time for the endpoint to confirm a cancel by closing
    std::size_t windowBytes = 256U << 10; ///< read ahead of the slowest listener
    std::uint32_t threads = 2; ///< that calls are spread over
    std::size_t answerBytes = 4U << 20; ///< of one answer kept for late listeners and repeats
};

struct EndpointStats
{
    std::uint64_t requests = 0;
    std::uint64_t connections = 0;
    std::uint64_t connectFailures = 0;
    std::uint64_t broken = 0; ///< answers that broke off
    std::uint64_t cancels = 0;
    std::uint64_t unconfirmedCancels = 0;
    std::uint64_t reportFailures = 0;
    std::uint32_t running = 0;
    std::uint32_t listeners = 0;

    void add(const EndpointStats &other)
    {
        requests += other.requests;
        connections += other.connections;
        connectFailures += other.connectFailures;
        broken += other.broken;
        cancels += other.cancels;
        unconfirmedCancels += other.unconfirmedCancels;
        reportFailures += other.reportFailures;
        running += other.running;
        listeners += other.listeners;
    }
};

enum class EndpointErrorKind : std::uint8_t {
    BadUrl,
    NotLoopback, ///< a sidecar talks to the endpoint of its own VM only
    Count
};
template<>
struct EnumNames<EndpointErrorKind>
{
    static constexpr std::array<std::string_view, enumCount<EndpointErrorKind>> table{"bad_url", "not_loopback"};
};

/// Takes "http://IP:PORT" apart.
tl::expected<std::pair<std::string, std::uint16_t>, EndpointErrorKind> parseEndpointUrl(std::string_view url);

/// The endpoint, with threads of its own: calls are spread over them, orders and reports belong to the first.
class Endpoint
{
public:
    /// All called in the endpoint's threads; they must not block.
    struct Handlers
    {
        std::function<void(PeerHandle, const wire::Envelope &)> send;
        std::function<void(ExecutionHandle)> started;
        std::function<void(ExecutionHandle, KeptAnswer, std::uint32_t generatedTokens)> ended;
        std::function<void(OrderHandle, OrderOutcome)> orderDone;
        std::function<void(OrderHandle, EngineList)> list;
        std::function<void(EngineReport)> report;
        std::function<void()> lost;
    };
    Endpoint(EndpointInit init, Handlers handlers);
    ~Endpoint();
    Endpoint(const Endpoint &) = delete;
    Endpoint &operator=(const Endpoint &) = delete;

    // Any thread.
    void start(StartExecution action);
    void attach(AttachListener action);
    /// To be called once `ended` has been taken in: no listener is attached to the execution after this.
    void release(ExecutionHandle execution);
    void detach(DetachListener action);
    void cancel(CancelExecution action);
    void replay(ReplayAnswer action);
    void order(SendOrder action);
    void credit(PeerHandle peer, const wire::CallCredit &credit);
    /// The listener gave up. Only what is left of ended executions is dropped here; running ones are ended by cancel.
    void listenerGone(PeerHandle peer, const wire::AttemptId &id);
    void peerLost(PeerHandle peer);
    /// Begins to read reports.
    void startReports();
    /// Calls `idle`, in an endpoint's thread, once every answer has gone out whole to all its listeners. An execution
    /// that has ended may still have bytes for which its reader has given no credit yet.
    void whenIdle(std::function<void()> idle);
    void shutdown();
    EndpointStats stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace anvilscale

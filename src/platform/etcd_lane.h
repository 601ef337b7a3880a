// A bounded queue of requests with a few threads that each have their own connections. Leases have a lane of their
// own, so that slow reads cannot delay a keep-alive and let the lease of a healthy holder expire.
#pragma once

#include "gateway_shared.h"
#include "http_connection.h"

#include <deque>
#include <thread>

namespace anvilscale {

class EtcdLane
{
public:
    EtcdLane(GatewayShared &shared, std::size_t threadCount);
    ~EtcdLane();
    /// Returns false if the queue is full or the lane is stopped.
    bool push(KvRequest request);
    /// Joins the threads; aborts those that wait for a reply.
    void stop();

private:
    struct QueuedRequest
    {
        KvRequest request;
        HttpConnection::Clock::time_point deadline;
    };
    struct EndpointConnections
    {
        std::vector<std::unique_ptr<HttpConnection>> byEndpoint;
        std::size_t current = 0; // index of the endpoint in use
    };

    void runThread(EndpointConnections &connections);
    std::optional<QueuedRequest> takeRequest();
    KvReply performRequest(const QueuedRequest &queued, EndpointConnections &connections);

    GatewayShared &shared_;
    std::mutex mutex_; // guards queue_ and isStopped_
    std::condition_variable wake_;
    std::deque<QueuedRequest> queue_;
    bool isStopped_ = false;
    std::vector<EndpointConnections> threadConnections_; // one per thread, fixed after construction
    std::vector<std::thread> threads_;
};

} // namespace anvilscale

// A bounded queue of requests with a few threads, each with its own kept connection. The gateway has one lane for
// leases and one for all else: slow reads must not hold up a keep-alive, or the lease lapses while its holder is well.
#pragma once

#include "gateway_shared.h"
#include "http_connection.h"

#include <deque>
#include <thread>

namespace anvilscale {

class EtcdLane
{
public:
    EtcdLane(GatewayShared &shared, std::size_t threads);
    ~EtcdLane();
    /// False if the queue is full.
    bool push(KvRequest request);
    /// Ends the threads, also those that wait for an answer.
    void stop();

private:
    struct Waiting
    {
        KvRequest request;
        HttpConnection::Clock::time_point deadline;
    };
    struct Connections
    {
        std::vector<std::unique_ptr<HttpConnection>> byEndpoint;
        std::size_t current = 0; // the endpoint that answered last
    };

    void run(Connections &connections);
    std::optional<Waiting> take();
    KvReply perform(const Waiting &waiting, Connections &connections);

    GatewayShared &shared_;
    std::mutex mutex_; // guards queue_ and stopped_
    std::condition_variable wake_;
    std::deque<Waiting> queue_;
    bool stopped_ = false;
    std::vector<Connections> connections_; // one for each thread, fixed after construction
    std::vector<std::thread> threads_;
};

} // namespace anvilscale

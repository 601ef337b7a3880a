// Requests with a single reply: queue, threads and failover between endpoints.
#include "etcd_lane.h"

#include "etcd_codec.h"

namespace anvilscale {

namespace {
constexpr std::size_t maxQueuedRequests = 1024;
constexpr std::size_t maxAnswerBytes = 8U << 20;

bool isRepeatable(KvOp op)
{
    return op == KvOp::Range || op == KvOp::LeaseKeepAlive;
}

KvReply failureReply(const KvRequest &request, KvStatus status)
{
    return {.id = request.id, .status = status};
}
} // namespace

EtcdLane::EtcdLane(GatewayShared &shared, std::size_t threadCount)
    : shared_(shared)
    , threadConnections_(threadCount)
{
    for (auto &connections : threadConnections_) {
        for (const auto &endpoint : shared_.init().endpoints) {
            connections.byEndpoint.push_back(std::make_unique<HttpConnection>(endpoint));
        }
        threads_.emplace_back([this, &connections] { runThread(connections); });
    }
}

EtcdLane::~EtcdLane()
{
    stop();
}

bool EtcdLane::push(KvRequest request)
{
    const std::scoped_lock lock(mutex_);
    if (queue_.size() >= maxQueuedRequests || isStopped_) {
        return false;
    }
    queue_.push_back({std::move(request), HttpConnection::Clock::now() + shared_.init().timeout});
    wake_.notify_one();
    return true;
}

void EtcdLane::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        isStopped_ = true;
        wake_.notify_all();
    }
    for (auto &connections : threadConnections_) {
        for (auto &connection : connections.byEndpoint) {
            connection->abort();
        }
    }
    for (auto &thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

std::optional<EtcdLane::QueuedRequest> EtcdLane::takeRequest()
{
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [this] { return isStopped_ || !queue_.empty(); });
    if (isStopped_) {
        return std::nullopt;
    }
    QueuedRequest next = std::move(queue_.front());
    queue_.pop_front();
    return next;
}

void EtcdLane::runThread(EndpointConnections &connections)
{
    while (const auto queued = takeRequest()) {
        shared_.sendReply(queued->request.op, performRequest(*queued, connections));
    }
}

// A write fails over only if none of it was sent. Once it may have been received, resending it could apply it twice,
// or report its own first attempt as a conflict with another writer.
KvReply EtcdLane::performRequest(const QueuedRequest &queued, EndpointConnections &connections)
{
    const KvRequest &request = queued.request;
    const std::string body = etcdBody(request, 0);
    KvStatus failureStatus = KvStatus::Unavailable;
    for (std::size_t attempt = 0; attempt < connections.byEndpoint.size(); ++attempt) {
        if (HttpConnection::Clock::now() >= queued.deadline || !shared_.tryTakeCall(request.op)) {
            return failureReply(request, failureStatus);
        }
        auto &connection = *connections.byEndpoint[connections.current % connections.byEndpoint.size()];
        const auto answer = connection.exchange("POST", etcdPath(request.op), body, queued.deadline, maxAnswerBytes);
        if (answer) {
            KvReply reply = parseEtcdAnswer(request, answer->status, answer->body);
            const bool isFinal = reply.status != KvStatus::Unavailable && reply.status != KvStatus::Unknown;
            if (isFinal || !isRepeatable(request.op)) {
                return reply;
            }
        } else if (answer.error() != ExchangeError::NotSent && request.op != KvOp::Range) {
            failureStatus = KvStatus::Unknown;
            if (!isRepeatable(request.op)) {
                ++connections.current;
                return failureReply(request, failureStatus);
            }
        }
        ++connections.current;
        if (attempt + 1 < connections.byEndpoint.size()) {
            shared_.count(&KvStats::failovers);
        }
    }
    return failureReply(request, failureStatus);
}

} // namespace anvilscale

// Requests with one answer: queue, threads, fail-over between endpoints.
#include "etcd_lane.h"

#include "etcd_codec.h"

namespace anvilscale {

namespace {
constexpr std::size_t queueLimit = 1024;
constexpr std::size_t answerLimit = 8U << 20;

bool repeatable(KvOp op)
{
    return op == KvOp::Range || op == KvOp::LeaseKeepAlive;
}

KvReply failed(const KvRequest &request, KvStatus status)
{
    return {.id = request.id, .status = status};
}
} // namespace

EtcdLane::EtcdLane(GatewayShared &shared, std::size_t threads)
    : shared_(shared)
    , connections_(threads)
{
    for (auto &connections : connections_) {
        for (const auto &endpoint : shared_.init().endpoints) {
            connections.byEndpoint.push_back(std::make_unique<HttpConnection>(endpoint));
        }
        threads_.emplace_back([this, &connections] { run(connections); });
    }
}

EtcdLane::~EtcdLane()
{
    stop();
}

bool EtcdLane::push(KvRequest request)
{
    const std::scoped_lock lock(mutex_);
    if (queue_.size() >= queueLimit || stopped_) {
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
        stopped_ = true;
        wake_.notify_all();
    }
    for (auto &connections : connections_) {
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

std::optional<EtcdLane::Waiting> EtcdLane::take()
{
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [this] { return stopped_ || !queue_.empty(); });
    if (stopped_) {
        return std::nullopt;
    }
    Waiting next = std::move(queue_.front());
    queue_.pop_front();
    return next;
}

void EtcdLane::run(Connections &connections)
{
    while (const auto waiting = take()) {
        shared_.answer(waiting->request.op, perform(*waiting, connections));
    }
}

// A write goes on to the next endpoint only while nothing of it was sent. Once it may have been received, a second
// sending could apply it twice or make its own first sending look like another writer's conflict.
KvReply EtcdLane::perform(const Waiting &waiting, Connections &connections)
{
    const KvRequest &request = waiting.request;
    const std::string body = etcdBody(request, 0);
    KvStatus worst = KvStatus::Unavailable;
    for (std::size_t tried = 0; tried < connections.byEndpoint.size(); ++tried) {
        if (HttpConnection::Clock::now() >= waiting.deadline || !shared_.takeCall(request.op)) {
            return failed(request, worst);
        }
        auto &connection = *connections.byEndpoint[connections.current % connections.byEndpoint.size()];
        const auto answer = connection.exchange("POST", etcdPath(request.op), body, waiting.deadline, answerLimit);
        if (answer) {
            KvReply reply = parseEtcdAnswer(request, answer->status, answer->body);
            const bool settled = reply.status != KvStatus::Unavailable && reply.status != KvStatus::Unknown;
            if (settled || !repeatable(request.op)) {
                return reply;
            }
        } else if (answer.error() != ExchangeError::NotSent && request.op != KvOp::Range) {
            worst = KvStatus::Unknown;
            if (!repeatable(request.op)) {
                ++connections.current;
                return failed(request, worst);
            }
        }
        ++connections.current;
        if (tried + 1 < connections.byEndpoint.size()) {
            shared_.count(&KvStats::failovers);
        }
    }
    return failed(request, worst);
}

} // namespace anvilscale

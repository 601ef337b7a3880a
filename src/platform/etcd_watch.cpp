// A watch: connects, reads events line by line, and resumes after a lost connection.
#include "etcd_watch.h"

#include <algorithm>

namespace anvilscale {

namespace {
constexpr Duration minRetryDelay = Milliseconds(100);
constexpr Duration maxRetryDelay = Seconds(5);
// A connection without data for this long is reopened, in case its peer vanished without closing it.
constexpr Duration maxIdleTime = std::chrono::minutes(1);
constexpr std::size_t maxLineBytes = 8U << 20;
constexpr int httpOk = 200;
} // namespace

EtcdWatch::EtcdWatch(GatewayShared &shared, KvRequest request)
    : shared_(shared)
    , request_(std::move(request))
    , nextRevision_(request_.startRevision)
{
    for (const auto &endpoint : shared_.init().endpoints) {
        connections_.push_back(std::make_unique<HttpConnection>(endpoint));
    }
    thread_ = std::thread([this] { run(); });
}

EtcdWatch::~EtcdWatch()
{
    stop();
}

void EtcdWatch::requestStop()
{
    isStopped_ = true;
    for (auto &connection : connections_) {
        connection->abort();
    }
}

void EtcdWatch::stop()
{
    requestStop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void EtcdWatch::report(KvStatus status, bool event, std::vector<KvEntry> entries)
{
    if (isStopped_) {
        return;
    }
    KvReply reply{.id = request_.id, .status = status, .isEvent = event};
    reply.entries = std::move(entries);
    reply.storeRevision = storeRevision_;
    shared_.sendReply(KvOp::Watch, std::move(reply));
}

void EtcdWatch::run()
{
    Duration retryDelay = minRetryDelay;
    std::size_t failureCount = 0;
    while (!isStopped_ && !shared_.isStopping()) {
        const auto previousRevision = nextRevision_;
        const bool wasEstablished = isEstablished_;
        if (connectAndRead(failureCount) == ReadResult::Finished) {
            break;
        }
        ++failureCount;
        if (!isEstablished_ && failureCount >= connections_.size()) {
            report(KvStatus::Unavailable, false);
            break;
        }
        if (!isEstablished_) {
            continue; // tries the next endpoint at once
        }
        const bool hasProgress = nextRevision_ != previousRevision || !wasEstablished;
        retryDelay = hasProgress ? minRetryDelay : std::min(maxRetryDelay, retryDelay * 2);
        shared_.count(&KvStats::watchReconnects);
        shared_.sleepFor(retryDelay);
    }
    isFinished_ = true;
}

EtcdWatch::ReadResult EtcdWatch::connectAndRead(std::size_t endpoint)
{
    if (!shared_.tryTakeCall(KvOp::Watch)) {
        return ReadResult::Lost;
    }
    auto &connection = *connections_[endpoint % connections_.size()];
    const auto result = readEvents(connection);
    connection.close();
    return result;
}

EtcdWatch::ReadResult EtcdWatch::readEvents(HttpConnection &connection)
{
    const auto deadline = HttpConnection::Clock::now() + shared_.init().timeout;
    const bool isOpen =
        connection.open(etcdPath(KvOp::Watch), etcdBody(request_, nextRevision_), deadline, maxIdleTime).has_value();
    if (!isOpen || connection.status() != httpOk) {
        return ReadResult::Lost;
    }
    std::string line;
    while (!isStopped_ && connection.readLine(line, maxLineBytes)) {
        const auto message = parseEtcdWatch(line);
        if (!message.isValid) {
            break;
        }
        if (handleMessage(message) == ReadResult::Finished) {
            return ReadResult::Finished;
        }
    }
    return ReadResult::Lost;
}

EtcdWatch::ReadResult EtcdWatch::handleMessage(const EtcdWatchMessage &message)
{
    storeRevision_ = std::max(storeRevision_, message.revision);
    if (message.isCompacted) {
        report(KvStatus::Compacted, isEstablished_);
        return ReadResult::Finished;
    }
    if (message.isCancelled) {
        return ReadResult::Lost;
    }
    if (message.isCreated && !isEstablished_) {
        isEstablished_ = true;
        if (nextRevision_ == 0) {
            nextRevision_ = message.revision + 1;
        }
        report(KvStatus::Ok, false);
    }
    // After a reconnect the service may repeat events that were already reported.
    std::vector<KvEntry> newEntries;
    for (const auto &entry : message.entries) {
        if (entry.modRevision >= nextRevision_) {
            newEntries.push_back(entry);
        }
    }
    if (!newEntries.empty()) {
        nextRevision_ = newEntries.back().modRevision + 1;
        report(KvStatus::Ok, true, std::move(newEntries));
    }
    return ReadResult::Lost;
}

} // namespace anvilscale

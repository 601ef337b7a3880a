// A watch: connecting, reading events line by line, resuming.
#include "etcd_watch.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <istream>

namespace anvilscale {

namespace {
constexpr Duration retryFirst = Milliseconds(100);
constexpr Duration retryMost = Seconds(5);
// A connection whose other end vanished without a word is given up after this long and taken up anew.
constexpr Duration idleLimit = std::chrono::minutes(1);
constexpr std::size_t lineLimit = 8U << 20;
constexpr int httpOk = 200;

// std::getline, but bounded: a service that never ends its line must not fill the memory.
bool readLine(std::istream &in, std::string &line)
{
    line.clear();
    for (int byte = in.get(); byte != std::char_traits<char>::eof(); byte = in.get()) {
        if (byte == '\n') {
            return true;
        }
        if (line.size() >= lineLimit) {
            return false;
        }
        line.push_back(static_cast<char>(byte));
    }
    return false;
}
} // namespace

EtcdWatch::EtcdWatch(GatewayShared &shared, KvRequest request)
    : shared_(shared)
    , request_(std::move(request))
    , next_(request_.startRevision)
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
    stopped_ = true;
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
    if (stopped_) {
        return;
    }
    KvReply reply{.id = request_.id, .status = status, .event = event};
    reply.entries = std::move(entries);
    reply.storeRevision = storeRevision_;
    shared_.answer(KvOp::Watch, std::move(reply));
}

void EtcdWatch::run()
{
    Duration wait = retryFirst;
    std::size_t failures = 0;
    while (!stopped_ && !shared_.stopping()) {
        const auto before = next_;
        const bool wasEstablished = established_;
        if (connectAndRead(failures) == End::Over) {
            break;
        }
        ++failures;
        if (!established_ && failures >= connections_.size()) {
            report(KvStatus::Unavailable, false);
            break;
        }
        if (!established_) {
            continue; // the next endpoint, at once
        }
        const bool progress = next_ != before || !wasEstablished;
        wait = progress ? retryFirst : std::min(retryMost, wait * 2);
        shared_.count(&KvStats::watchReconnects);
        shared_.pause(wait);
    }
    finished_ = true;
}

EtcdWatch::End EtcdWatch::connectAndRead(std::size_t endpoint)
{
    if (!shared_.takeCall(KvOp::Watch)) {
        return End::Lost;
    }
    auto &connection = *connections_[endpoint % connections_.size()];
    const auto deadline = HttpConnection::Clock::now() + shared_.init().timeout;
    const auto in = connection.open(etcdPath(KvOp::Watch), etcdBody(request_, next_), deadline, idleLimit);
    if (!in || connection.status() != httpOk) {
        return End::Lost;
    }
    try {
        std::string line;
        while (!stopped_ && readLine(**in, line)) {
            const auto message = parseEtcdWatch(line);
            if (!message.valid) {
                break;
            }
            if (handle(message) == End::Over) {
                return End::Over;
            }
        }
    } catch (const Poco::Exception &) {
        return End::Lost;
    }
    return End::Lost;
}

EtcdWatch::End EtcdWatch::handle(const EtcdWatchMessage &message)
{
    storeRevision_ = std::max(storeRevision_, message.revision);
    if (message.compacted) {
        report(KvStatus::Compacted, established_);
        return End::Over;
    }
    if (message.cancelled) {
        return End::Lost;
    }
    if (message.created && !established_) {
        established_ = true;
        if (next_ == 0) {
            next_ = message.revision + 1;
        }
        report(KvStatus::Ok, false);
    }
    // After a reconnect the service may repeat what was told already.
    std::vector<KvEntry> fresh;
    for (const auto &entry : message.entries) {
        if (entry.modRevision >= next_) {
            fresh.push_back(entry);
        }
    }
    if (!fresh.empty()) {
        next_ = fresh.back().modRevision + 1;
        report(KvStatus::Ok, true, std::move(fresh));
    }
    return End::Lost;
}

} // namespace anvilscale

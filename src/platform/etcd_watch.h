// A watch with its thread and connections. Once established, it resumes after the last revision seen, so that a lost
// connection neither loses nor repeats events.
#pragma once

#include "etcd_codec.h"
#include "gateway_shared.h"
#include "http_connection.h"

#include <memory>
#include <thread>

namespace anvilscale {

class EtcdWatch
{
public:
    EtcdWatch(GatewayShared &shared, KvRequest request);
    ~EtcdWatch();
    KvHandle id() const
    {
        return request_.id;
    }
    /// Stops and joins the thread; no event follows. Must not be called on the watch's own thread.
    void stop();
    /// Requests the thread to stop, without waiting. Callable from any thread.
    void requestStop();
    bool isFinished() const
    {
        return isFinished_;
    }

private:
    enum class ReadResult : std::uint8_t {
        Lost, ///< the connection ended: the watch reconnects
        Finished, ///< compacted: the watch has been answered and ends
    };

    void run();
    ReadResult connectAndRead(std::size_t endpoint);
    /// Opens the connection and reads events until it is lost.
    ReadResult readEvents(HttpConnection &connection);
    ReadResult handleMessage(const EtcdWatchMessage &message);
    void report(KvStatus status, bool event, std::vector<KvEntry> entries = {});

    GatewayShared &shared_;
    const KvRequest request_;
    std::int64_t nextRevision_; // invariant: all events before this revision have been reported
    std::int64_t storeRevision_ = 0;
    bool isEstablished_ = false; // the initial reply was sent
    std::atomic<bool> isStopped_ = false;
    std::atomic<bool> isFinished_ = false;
    std::vector<std::unique_ptr<HttpConnection>> connections_; // one per endpoint
    std::thread thread_;
};

} // namespace anvilscale

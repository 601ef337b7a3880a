// One watch with its thread and connection. Once it stood, it is taken up again from the revision after the last one
// seen, so that no event is missed or told twice over a lost connection.
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
    /// Any thread but the watch's own. Ends the thread; no event follows.
    void stop();
    /// Any thread: tells the thread to end, without waiting.
    void requestStop();
    bool finished() const
    {
        return finished_;
    }

private:
    enum class End : std::uint8_t {
        Lost, ///< the connection ended: take the watch up again
        Over, ///< compacted or refused: it is answered and done
    };

    void run();
    End connectAndRead(std::size_t endpoint);
    End handle(const EtcdWatchMessage &message);
    void report(KvStatus status, bool event, std::vector<KvEntry> entries = {});

    GatewayShared &shared_;
    const KvRequest request_;
    std::int64_t next_; // invariant: every event before this revision has been told
    std::int64_t storeRevision_ = 0;
    bool established_ = false; // the first answer was given
    std::atomic<bool> stopped_ = false;
    std::atomic<bool> finished_ = false;
    std::vector<std::unique_ptr<HttpConnection>> connections_; // by endpoint
    std::thread thread_;
};

} // namespace anvilscale

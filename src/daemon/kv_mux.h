// Multiplexes the key-value requests of several clients of a process.
#pragma once

#include "anvilscale/platform.h"

#include <functional>
#include <map>
#include <vector>

namespace anvilscale {

/// Each client numbers its own requests. Requests get ids that are unique in the process, and each reply returns to its
/// client under the original id. Control thread only.
class KvMux
{
public:
    using Submit = std::function<void(KvRequest)>;
    using Reply = std::function<void(const KvReply &, Now)>;

    explicit KvMux(Submit submit);
    /// Returns a function that submits requests of a new client, whose replies go to `reply`.
    Submit addClient(Reply reply);
    void onReply(const KvReply &reply, Now now);
    /// Number of replies since the start with status Unavailable or Unknown.
    std::uint64_t unavailableReplies() const;
    /// Several consecutive requests have failed.
    bool isDown() const;

private:
    struct Pending
    {
        std::size_t client = 0;
        KvHandle clientRequestId; // id assigned by the client
        bool isWatch = false;
    };
    void submit(std::size_t client, KvRequest request);
    void recordStatus(KvStatus status);

    Submit submit_;
    std::vector<Reply> clients_;
    std::map<std::uint64_t, Pending> pending_; // by process-wide id; a watch stays until it ends
    std::uint64_t lastId_ = 0;
    std::uint64_t unavailableReplies_ = 0;
    std::uint64_t consecutiveFailures_ = 0; // since the last success
    bool isDown_ = false;
};

} // namespace anvilscale

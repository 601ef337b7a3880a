// Lets several parts of a process share the key-value service. Each part numbers its own requests; here they get
// numbers that are unique in the process, and each reply goes back to the part that asked, under its own number.
#pragma once

#include "anvilscale/platform.h"

#include <functional>
#include <map>
#include <vector>

namespace anvilscale {

/// The control thread only.
class KvMux
{
public:
    using Submit = std::function<void(KvRequest)>;
    using Reply = std::function<void(const KvReply &, Now)>;

    explicit KvMux(Submit submit);
    /// A way to submit for one part, whose replies go to `reply`.
    Submit part(Reply reply);
    void onReply(const KvReply &reply, Now now);
    /// Replies that said so since the start.
    std::uint64_t unavailable() const;
    bool down() const;

private:
    struct Pending
    {
        std::size_t part = 0;
        KvHandle own; // as the part numbered it
        bool watch = false;
    };
    void submit(std::size_t part, KvRequest request);
    void noteStatus(KvStatus status);

    Submit submit_;
    std::vector<Reply> parts_;
    std::map<std::uint64_t, Pending> pending_; // by our number; a watch stays until it ends
    std::uint64_t last_ = 0;
    std::uint64_t unavailable_ = 0;
    std::uint64_t inARow_ = 0; // failures since the last success
    bool down_ = false;
};

} // namespace anvilscale

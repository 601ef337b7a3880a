// Numbers of key-value requests, and the log lines for an outage.
#include "kv_mux.h"

#include "anvilscale/telemetry.h"

namespace anvilscale {

namespace {

constexpr std::uint64_t failuresOfOutage = 4; // in a row

} // namespace

KvMux::KvMux(Submit submit)
    : submit_(std::move(submit))
{
}

KvMux::Submit KvMux::part(Reply reply)
{
    parts_.push_back(std::move(reply));
    return [this, part = parts_.size() - 1](KvRequest request) { submit(part, std::move(request)); };
}

void KvMux::submit(std::size_t part, KvRequest request)
{
    if (request.op == KvOp::WatchCancel) {
        for (auto it = pending_.begin(); it != pending_.end(); ++it) {
            if (it->second.part == part && it->second.own == request.id && it->second.watch) {
                request.id = KvHandle{it->first};
                pending_.erase(it);
                submit_(std::move(request));
                return;
            }
        }
        return;
    }
    const auto number = ++last_;
    pending_[number] = Pending{part, request.id, request.op == KvOp::Watch};
    request.id = KvHandle{number};
    submit_(std::move(request));
}

void KvMux::onReply(const KvReply &reply, Now now)
{
    const auto found = pending_.find(reply.id.value);
    if (found == pending_.end()) {
        return; // of a watch that was cancelled
    }
    const auto pending = found->second;
    const bool goesOn = pending.watch && reply.status == KvStatus::Ok;
    if (!goesOn) {
        pending_.erase(found);
    }
    if (!pending.watch) {
        noteStatus(reply.status);
    }
    auto own = reply;
    own.id = pending.own;
    parts_[pending.part](own, now);
}

void KvMux::noteStatus(KvStatus status)
{
    const bool failed = status == KvStatus::Unavailable || status == KvStatus::Unknown;
    unavailable_ += failed ? 1 : 0;
    inARow_ = failed ? inARow_ + 1 : 0;
    // Single failures are also made by the call budget; they are no outage.
    const bool down = inARow_ >= failuresOfOutage;
    if (down == down_ || (failed && !down)) {
        return;
    }
    down_ = down;
    logEvent(down_ ? Event::KeyValueDown : Event::KeyValueBack, {{"status", std::string(toString(status))}});
}

std::uint64_t KvMux::unavailable() const
{
    return unavailable_;
}

bool KvMux::down() const
{
    return down_;
}

} // namespace anvilscale

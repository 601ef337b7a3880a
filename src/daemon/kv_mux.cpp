// Multiplexing of key-value requests and outage events.
#include "kv_mux.h"

#include "anvilscale/telemetry.h"

namespace anvilscale {

namespace {

constexpr std::uint64_t outageFailures = 4; // consecutive failures that count as an outage

} // namespace

KvMux::KvMux(Submit submit)
    : submit_(std::move(submit))
{
}

KvMux::Submit KvMux::addClient(Reply reply)
{
    clients_.push_back(std::move(reply));
    return [this, client = clients_.size() - 1](KvRequest request) { submit(client, std::move(request)); };
}

void KvMux::submit(std::size_t client, KvRequest request)
{
    if (request.op == KvOp::WatchCancel) {
        for (auto it = pending_.begin(); it != pending_.end(); ++it) {
            if (it->second.client == client && it->second.clientRequestId == request.id && it->second.isWatch) {
                request.id = KvHandle{it->first};
                pending_.erase(it);
                submit_(std::move(request));
                return;
            }
        }
        return;
    }
    const auto id = ++lastId_;
    pending_[id] = Pending{client, request.id, request.op == KvOp::Watch};
    request.id = KvHandle{id};
    submit_(std::move(request));
}

void KvMux::onReply(const KvReply &reply, Now now)
{
    const auto found = pending_.find(reply.id.value);
    if (found == pending_.end()) {
        return; // reply of a cancelled watch
    }
    const auto pending = found->second;
    const bool isOpenWatch = pending.isWatch && reply.status == KvStatus::Ok;
    if (!isOpenWatch) {
        pending_.erase(found);
    }
    if (!pending.isWatch) {
        recordStatus(reply.status);
    }
    auto clientReply = reply;
    clientReply.id = pending.clientRequestId;
    clients_[pending.client](clientReply, now);
}

void KvMux::recordStatus(KvStatus status)
{
    const bool isFailure = status == KvStatus::Unavailable || status == KvStatus::Unknown;
    unavailableReplies_ += isFailure ? 1 : 0;
    consecutiveFailures_ = isFailure ? consecutiveFailures_ + 1 : 0;
    // A single failure may come from the call budget and is no outage.
    const bool isOutage = consecutiveFailures_ >= outageFailures;
    if (isOutage == isDown_ || (isFailure && !isOutage)) {
        return;
    }
    isDown_ = isOutage;
    logEvent(isDown_ ? Event::KeyValueDown : Event::KeyValueBack, {{"status", std::string(toString(status))}});
}

std::uint64_t KvMux::unavailableReplies() const
{
    return unavailableReplies_;
}

bool KvMux::isDown() const
{
    return isDown_;
}

} // namespace anvilscale

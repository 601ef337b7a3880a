// Streams one answer to its listeners.
#include "answer_buffer.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr std::size_t maxFrameBytes = 64U << 10;

bool isSameAttempt(const wire::AttemptId &a, const wire::AttemptId &b)
{
    return a.entry_incarnation() == b.entry_incarnation() && a.call() == b.call() && a.attempt() == b.attempt();
}

} // namespace

AnswerBuffer::AnswerBuffer(std::size_t maxKeptBytes, std::size_t windowBytes)
    : maxKeptBytes_(maxKeptBytes)
    , windowBytes_(windowBytes)
{
}

void AnswerBuffer::setHead(std::uint32_t status, HttpHeaders headers)
{
    hasHead_ = true;
    status_ = status;
    headers_ = std::move(headers);
}

void AnswerBuffer::append(std::string_view data)
{
    bytes_.append(data);
}

void AnswerBuffer::finish(AnswerOutcome outcome)
{
    outcome_ = outcome;
}

void AnswerBuffer::addListener(AnswerListener listener)
{
    auto &cursor = cursors_.emplace_back();
    cursor.listener = std::move(listener);
}

bool AnswerBuffer::removeListener(const wire::AttemptId &id)
{
    return std::erase_if(cursors_, [&](const Cursor &cursor) { return isSameAttempt(cursor.listener.id, id); }) != 0;
}

void AnswerBuffer::removePeer(PeerHandle peer)
{
    std::erase_if(cursors_, [&](const Cursor &cursor) { return cursor.listener.peer == peer; });
}

bool AnswerBuffer::addCredit(PeerHandle peer, const wire::AttemptId &id, std::uint64_t bytes)
{
    for (auto &cursor : cursors_) {
        if (cursor.listener.peer == peer && isSameAttempt(cursor.listener.id, id)) {
            cursor.listener.credit += bytes;
            return true;
        }
    }
    return false;
}

void AnswerBuffer::pump(const Send &send)
{
    for (auto &cursor : cursors_) {
        pumpListener(cursor, send);
    }
    std::erase_if(cursors_, [](const Cursor &cursor) { return cursor.hasEnded; });
    trim();
}

void AnswerBuffer::pumpListener(Cursor &cursor, const Send &send)
{
    if (hasHead_ && cursor.sentBytes < firstOffset_) {
        // The first bytes were already dropped: fail the listener instead of sending a truncated answer.
        wire::Envelope message;
        auto &end = *message.mutable_call_end();
        *end.mutable_id() = cursor.listener.id;
        end.set_outcome(static_cast<std::uint32_t>(CallOutcome::Unknown));
        end.set_failure(static_cast<std::uint32_t>(FailureReason::AnswerIncomplete));
        send(cursor.listener.peer, message);
        cursor.hasEnded = true;
        return;
    }
    if (hasHead_ && cursor.sentFrames == 0) {
        const auto first =
            std::string_view(bytes_).substr(0, std::min<std::size_t>(cursor.listener.credit, maxFrameBytes));
        sendFrame(cursor, first, send);
    }
    while (hasHead_ && cursor.listener.credit != 0 && cursor.sentBytes - firstOffset_ < bytes_.size()) {
        const auto rest = std::string_view(bytes_).substr(cursor.sentBytes - firstOffset_);
        sendFrame(cursor, rest.substr(0, std::min<std::size_t>(cursor.listener.credit, maxFrameBytes)), send);
    }
    if (outcome_ && cursor.sentBytes - firstOffset_ == bytes_.size()) {
        sendEnd(cursor, send);
    }
}

void AnswerBuffer::sendFrame(Cursor &cursor, std::string_view data, const Send &send)
{
    wire::Envelope message;
    auto &frame = *message.mutable_call_frame();
    *frame.mutable_id() = cursor.listener.id;
    frame.set_sequence(cursor.sentFrames);
    if (cursor.sentFrames == 0) {
        frame.set_status(status_);
        for (const auto &[name, value] : headers_) {
            auto &header = *frame.add_headers();
            header.set_name(name);
            header.set_value(value);
        }
    }
    frame.set_data(data.data(), data.size());
    ++cursor.sentFrames;
    cursor.sentBytes += data.size();
    cursor.listener.credit -= data.size();
    cursor.digest.add(data);
    send(cursor.listener.peer, message);
}

void AnswerBuffer::sendEnd(Cursor &cursor, const Send &send)
{
    wire::Envelope message;
    auto &end = *message.mutable_call_end();
    *end.mutable_id() = cursor.listener.id;
    end.set_frames(cursor.sentFrames);
    end.set_digest(cursor.digest.value());
    end.set_outcome(static_cast<std::uint32_t>(outcome_->outcome));
    end.set_failure(static_cast<std::uint32_t>(outcome_->failure));
    end.set_generated_tokens(outcome_->generatedTokens);
    end.set_stall_us(cursor.listener.stallUs);
    end.set_replayed(cursor.listener.isReplayed);
    send(cursor.listener.peer, message);
    cursor.hasEnded = true;
}

std::uint64_t AnswerBuffer::slowestOffset() const
{
    const auto end = firstOffset_ + bytes_.size();
    std::uint64_t lowest = end;
    for (const auto &cursor : cursors_) {
        lowest = std::min(lowest, cursor.sentBytes);
    }
    return lowest;
}

// Drops bytes that every listener has received, which bounds the memory of a long answer.
void AnswerBuffer::trim()
{
    if (firstOffset_ + bytes_.size() <= maxKeptBytes_ || cursors_.empty()) {
        return;
    }
    const auto droppable = slowestOffset() - firstOffset_;
    if (droppable > 0) {
        bytes_.erase(0, droppable);
        firstOffset_ += droppable;
    }
}

bool AnswerBuffer::isFull() const
{
    const auto end = firstOffset_ + bytes_.size();
    const bool isUnread = cursors_.empty() && bytes_.size() > maxKeptBytes_;
    return isUnread || (!cursors_.empty() && end - slowestOffset() > windowBytes_);
}

bool AnswerBuffer::isDelivered() const
{
    return outcome_.has_value() && cursors_.empty();
}

bool AnswerBuffer::isFinished() const
{
    return outcome_.has_value();
}

std::size_t AnswerBuffer::listenerCount() const
{
    return cursors_.size();
}

std::optional<std::string> AnswerBuffer::completeBody() const
{
    if (firstOffset_ != 0) {
        return std::nullopt;
    }
    return bytes_;
}

const std::string &AnswerBuffer::bufferedBody() const
{
    return bytes_;
}

std::uint32_t AnswerBuffer::status() const
{
    return status_;
}

const HttpHeaders &AnswerBuffer::headers() const
{
    return headers_;
}

} // namespace anvilscale

// Distribution of one answer to its listeners.
#include "answer_buffer.h"

#include <algorithm>

namespace anvilscale {

namespace {

constexpr std::size_t frameBytes = 64U << 10;

bool sameAttempt(const wire::AttemptId &a, const wire::AttemptId &b)
{
    return a.entry_incarnation() == b.entry_incarnation() && a.call() == b.call() && a.attempt() == b.attempt();
}

} // namespace

AnswerBuffer::AnswerBuffer(std::size_t keepBytes, std::size_t windowBytes)
    : keepBytes_(keepBytes)
    , windowBytes_(windowBytes)
{
}

void AnswerBuffer::setHead(std::uint32_t status, HttpHeaders headers)
{
    headKnown_ = true;
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
    auto &place = places_.emplace_back();
    place.listener = std::move(listener);
}

bool AnswerBuffer::removeListener(const wire::AttemptId &id)
{
    return std::erase_if(places_, [&](const Place &place) { return sameAttempt(place.listener.id, id); }) != 0;
}

void AnswerBuffer::removePeer(PeerHandle peer)
{
    std::erase_if(places_, [&](const Place &place) { return place.listener.to == peer; });
}

bool AnswerBuffer::addCredit(PeerHandle peer, const wire::AttemptId &id, std::uint64_t bytes)
{
    for (auto &place : places_) {
        if (place.listener.to == peer && sameAttempt(place.listener.id, id)) {
            place.listener.credit += bytes;
            return true;
        }
    }
    return false;
}

void AnswerBuffer::pump(const Send &send)
{
    for (auto &place : places_) {
        pumpOne(place, send);
    }
    std::erase_if(places_, [](const Place &place) { return place.ended; });
    trim();
}

void AnswerBuffer::pumpOne(Place &place, const Send &send)
{
    if (headKnown_ && place.offset < base_) {
        // It came after the first bytes had been dropped: it cannot have the whole answer and is given none of it.
        wire::Envelope message;
        auto &end = *message.mutable_call_end();
        *end.mutable_id() = place.listener.id;
        end.set_outcome(static_cast<std::uint32_t>(CallOutcome::Unknown));
        end.set_failure(static_cast<std::uint32_t>(FailureReason::AnswerIncomplete));
        send(place.listener.to, message);
        place.ended = true;
        return;
    }
    if (headKnown_ && place.frames == 0) {
        const auto first = std::string_view(bytes_).substr(0, std::min<std::size_t>(place.listener.credit, frameBytes));
        sendFrame(place, first, send);
    }
    while (headKnown_ && place.listener.credit != 0 && place.offset - base_ < bytes_.size()) {
        const auto rest = std::string_view(bytes_).substr(place.offset - base_);
        sendFrame(place, rest.substr(0, std::min<std::size_t>(place.listener.credit, frameBytes)), send);
    }
    if (outcome_ && place.offset - base_ == bytes_.size()) {
        sendEnd(place, send);
    }
}

void AnswerBuffer::sendFrame(Place &place, std::string_view data, const Send &send)
{
    wire::Envelope message;
    auto &frame = *message.mutable_call_frame();
    *frame.mutable_id() = place.listener.id;
    frame.set_sequence(place.frames);
    if (place.frames == 0) {
        frame.set_status(status_);
        for (const auto &[name, value] : headers_) {
            auto &header = *frame.add_headers();
            header.set_name(name);
            header.set_value(value);
        }
    }
    frame.set_data(data.data(), data.size());
    ++place.frames;
    place.offset += data.size();
    place.listener.credit -= data.size();
    place.digest.add(data);
    send(place.listener.to, message);
}

void AnswerBuffer::sendEnd(Place &place, const Send &send)
{
    wire::Envelope message;
    auto &end = *message.mutable_call_end();
    *end.mutable_id() = place.listener.id;
    end.set_frames(place.frames);
    end.set_digest(place.digest.value());
    end.set_outcome(static_cast<std::uint32_t>(outcome_->outcome));
    end.set_failure(static_cast<std::uint32_t>(outcome_->failure));
    end.set_generated_tokens(outcome_->tokens);
    end.set_stall_us(place.listener.stallUs);
    end.set_replayed(place.listener.replayed);
    send(place.listener.to, message);
    place.ended = true;
}

std::uint64_t AnswerBuffer::slowest() const
{
    const auto end = base_ + bytes_.size();
    std::uint64_t least = end;
    for (const auto &place : places_) {
        least = std::min(least, place.offset);
    }
    return least;
}

// A long answer is no longer kept whole, so that its memory is bounded by the window of its slowest listener.
void AnswerBuffer::trim()
{
    if (base_ + bytes_.size() <= keepBytes_ || places_.empty()) {
        return;
    }
    const auto passed = slowest() - base_;
    if (passed > 0) {
        bytes_.erase(0, passed);
        base_ += passed;
    }
}

bool AnswerBuffer::full() const
{
    const auto end = base_ + bytes_.size();
    const bool unread = places_.empty() && bytes_.size() > keepBytes_;
    return unread || (!places_.empty() && end - slowest() > windowBytes_);
}

bool AnswerBuffer::done() const
{
    return outcome_.has_value() && places_.empty();
}

bool AnswerBuffer::ended() const
{
    return outcome_.has_value();
}

std::size_t AnswerBuffer::listeners() const
{
    return places_.size();
}

std::optional<std::string> AnswerBuffer::whole() const
{
    if (base_ != 0) {
        return std::nullopt;
    }
    return bytes_;
}

const std::string &AnswerBuffer::tail() const
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

// The answer of one execution and those who listen to it. No I/O: frames and end frames come out through a callback.
#pragma once

#include "anvilscale/endpoint.h"

#include <functional>
#include <list>

namespace anvilscale {

/// How the answer ended, as it is told in the end frame.
struct AnswerOutcome
{
    CallOutcome outcome = CallOutcome::Unknown;
    FailureReason failure = FailureReason::None;
    std::uint32_t tokens = 0;
};

struct AnswerListener
{
    PeerHandle to;
    wire::AttemptId id;
    std::uint64_t credit = 0; ///< bytes it may still be sent
    std::uint64_t stallUs = 0;
    bool replayed = false;
};

/// Keeps the answer's bytes from the first one on, up to a limit, so that a repeat can listen to the whole of it.
/// Each listener has its own place, credit, frame numbers and digest. Invariant: a listener is sent every byte in
/// order or an end frame that says the answer failed.
class AnswerBuffer
{
public:
    using Send = std::function<void(PeerHandle, const wire::Envelope &)>;

    AnswerBuffer(std::size_t keepBytes, std::size_t windowBytes);

    void setHead(std::uint32_t status, HttpHeaders headers);
    void append(std::string_view data);
    void finish(AnswerOutcome outcome);
    void addListener(AnswerListener listener);
    bool removeListener(const wire::AttemptId &id);
    void removePeer(PeerHandle peer);
    bool addCredit(PeerHandle peer, const wire::AttemptId &id, std::uint64_t bytes);
    /// Sends what listeners may have now.
    void pump(const Send &send);
    /// Too much is buffered ahead of the slowest listener: read no more from the endpoint for now.
    bool full() const;
    /// The answer has ended and every listener has its end frame.
    bool done() const;
    bool ended() const;
    std::size_t listeners() const;
    /// The whole answer, if it was not too long to keep.
    std::optional<std::string> whole() const;
    const std::string &tail() const;
    std::uint32_t status() const;
    const HttpHeaders &headers() const;

private:
    struct Place
    {
        AnswerListener listener;
        std::uint64_t offset = 0; // bytes of the answer sent to it
        std::uint32_t frames = 0;
        Digest digest;
        bool ended = false;
    };
    void pumpOne(Place &place, const Send &send);
    void sendFrame(Place &place, std::string_view data, const Send &send);
    void sendEnd(Place &place, const Send &send);
    void trim();
    std::uint64_t slowest() const;

    std::size_t keepBytes_;
    std::size_t windowBytes_;
    bool headKnown_ = false;
    std::uint32_t status_ = 0;
    HttpHeaders headers_;
    std::string bytes_; // of the answer, from offset base_ on
    std::uint64_t base_ = 0; // more than 0: the answer was too long to keep
    std::optional<AnswerOutcome> outcome_;
    std::list<Place> places_;
};

} // namespace anvilscale

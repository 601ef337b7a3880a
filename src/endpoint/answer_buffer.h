// Answer of one execution and its listeners. Performs no I/O: frames are passed to a callback.
#pragma once

#include "anvilscale/endpoint.h"

#include <functional>
#include <list>

namespace anvilscale {

/// Result of an answer, as reported in the end frame.
struct AnswerOutcome
{
    CallOutcome outcome = CallOutcome::Unknown;
    FailureReason failure = FailureReason::None;
    std::uint32_t generatedTokens = 0;
};

struct AnswerListener
{
    PeerHandle peer;
    wire::AttemptId id;
    std::uint64_t credit = 0; ///< bytes that may still be sent
    std::uint64_t stallUs = 0;
    bool isReplayed = false;
};

/// Buffers an answer up to a size limit so that a repeated call can receive all of it. Each listener has its own
/// offset, credit, frame numbers and digest. Invariant: a listener receives every byte in order, or an end frame that
/// reports a failure.
class AnswerBuffer
{
public:
    using Send = std::function<void(PeerHandle, const wire::Envelope &)>;

    AnswerBuffer(std::size_t maxKeptBytes, std::size_t windowBytes);

    void setHead(std::uint32_t status, HttpHeaders headers);
    void append(std::string_view data);
    void finish(AnswerOutcome outcome);
    void addListener(AnswerListener listener);
    bool removeListener(const wire::AttemptId &id);
    void removePeer(PeerHandle peer);
    bool addCredit(PeerHandle peer, const wire::AttemptId &id, std::uint64_t bytes);
    /// Sends each listener the bytes that its credit allows.
    void pump(const Send &send);
    /// True if reading from the endpoint has to pause until the slowest listener catches up.
    bool isFull() const;
    /// True if the answer is finished and every listener has received its end frame.
    bool isDelivered() const;
    bool isFinished() const;
    std::size_t listenerCount() const;
    /// The complete answer, or nothing if it exceeded the size limit.
    std::optional<std::string> completeBody() const;
    const std::string &bufferedBody() const;
    std::uint32_t status() const;
    const HttpHeaders &headers() const;

private:
    struct Cursor
    {
        AnswerListener listener;
        std::uint64_t sentBytes = 0; // bytes of the answer sent so far
        std::uint32_t sentFrames = 0;
        Digest digest;
        bool hasEnded = false;
    };
    void pumpListener(Cursor &cursor, const Send &send);
    void sendFrame(Cursor &cursor, std::string_view data, const Send &send);
    void sendEnd(Cursor &cursor, const Send &send);
    void trim();
    std::uint64_t slowestOffset() const;

    std::size_t maxKeptBytes_;
    std::size_t windowBytes_;
    bool hasHead_ = false;
    std::uint32_t status_ = 0;
    HttpHeaders headers_;
    std::string bytes_; // answer bytes from offset firstOffset_ on
    std::uint64_t firstOffset_ = 0; // above 0 once the answer exceeded the size limit
    std::optional<AnswerOutcome> outcome_;
    std::list<Cursor> cursors_;
};

} // namespace anvilscale

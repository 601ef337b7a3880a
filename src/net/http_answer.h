// Formats one response to a caller as bytes for its connection. Does no I/O, so that it can be tested without
// sockets.
#pragma once

#include "anvilscale/net.h"

namespace anvilscale {

/// What happens to the connection after the output is written.
enum class AnswerEnd : std::uint8_t {
    Open, ///< the response is incomplete
    Keep,
    Close,
    Cut, ///< closed at once: the caller detects the truncated response by its framing
    Reset, ///< the same for a response that ends with its connection: only a reset shows that it is truncated
    Count
};

/// A response to one request. A non-streamed response is buffered until it is complete or exceeds `maxHeldBytes`, so
/// that an error can still set its status. An event stream is forwarded in complete events, so that an error event
/// never follows a partial event, which a reader would accept as complete.
class HttpAnswer
{
public:
    /// `keepAlive` and `acceptsChunked` describe the caller's connection; `isHeadRequest` is set for HEAD requests.
    HttpAnswer(bool keepAlive, bool acceptsChunked, bool isHeadRequest, std::size_t maxHeldBytes);

    void reply(const HttpReply &reply);
    void begin(std::uint32_t status, const HttpHeaders &headers);
    void send(std::string_view data);
    void finish();
    void fail(const HttpReply &reply);
    /// Sends `reply` if nothing has been sent yet, otherwise closes the connection in the middle of the response.
    void cut(const HttpReply &reply);

    /// Bytes to write; the caller clears what it has consumed.
    std::string &output();
    AnswerEnd end() const;
    /// Bytes kept that are not in output().
    std::size_t heldBytes() const;
    /// Returns the number of body bytes added to output() since the last call.
    std::uint64_t takeForwardedBytes();
    bool hasFailedOpen() const;

private:
    void setFields(const HttpHeaders &headers);
    void writeHead(std::optional<std::size_t> length);
    void forward(std::string_view data);
    void startForwarding();
    void close(AnswerEnd end);
    AnswerEnd cutEnd() const;

    bool keepAlive_;
    bool acceptsChunked_;
    bool isHeadRequest_;
    std::size_t maxHeldBytes_;
    bool hasBegun_ = false; // status and headers are set
    bool isForwarding_ = false; // the head is in the output, so the status can no longer change
    bool isEventStream_ = false;
    std::uint32_t status_ = 0;
    std::string fields_; // of the head, until it is written
    std::string heldBody_; // body bytes not yet forwarded
    std::string output_;
    std::uint64_t forwardedBytes_ = 0;
    AnswerEnd end_ = AnswerEnd::Open;
};

} // namespace anvilscale

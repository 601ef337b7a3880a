// One answer on its way to a caller, as bytes for the connection. No I/O, so that every way an answer can end is
// tested without sockets.
#pragma once

#include "anvilscale/net.h"

namespace anvilscale {

/// What is done with the connection after the bytes are written.
enum class AnswerEnd : std::uint8_t {
    Open, ///< more to come
    Keep,
    Close,
    Cut, ///< at once, so that the caller sees a broken answer
    Count
};

/// An unstreamed answer is held back until it is known to be whole or too long to hold: an error can then still be
/// told by its status. An event stream is passed on in whole events: an error event never follows half an event,
/// which a reader would take for one.
class HttpAnswer
{
public:
    /// `keepAlive` and `chunked` say what the caller's connection can do; `bodyless` is an answer to HEAD.
    HttpAnswer(bool keepAlive, bool chunked, bool bodyless, std::size_t holdBytes);

    void reply(const HttpReply &reply);
    void begin(std::uint32_t status, HttpHeaders headers);
    void send(std::string_view data);
    void finish();
    void fail(const HttpReply &reply);
    /// As `reply` if nothing has gone out, else the connection is cut in the middle of the answer.
    void cut(const HttpReply &reply);

    /// Bytes to write; the caller of this takes them away.
    std::string &output();
    AnswerEnd end() const;
    /// Body bytes put into output() since the last call.
    std::uint64_t takePassedOn();
    bool failedOpen() const;

private:
    void writeHead(std::optional<std::size_t> length);
    void pass(std::string_view data);
    void startPassing();
    void close(AnswerEnd end);

    bool keepAlive_;
    bool chunked_;
    bool bodyless_;
    std::size_t holdBytes_;
    bool begun_ = false; // status and headers are known
    bool passing_ = false; // the head is in the output: the status can no longer change
    bool events_ = false;
    std::uint32_t status_ = 0;
    HttpHeaders headers_;
    std::string held_; // body bytes not passed on yet
    std::string output_;
    std::uint64_t passedOn_ = 0;
    AnswerEnd end_ = AnswerEnd::Open;
};

} // namespace anvilscale

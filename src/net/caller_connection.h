// Connection of one caller: reads requests in sequence and writes their responses. Used on one event loop.
#pragma once

#include "http_answer.h"

#include <Poco/Net/StreamSocket.h>

#include <optional>

namespace anvilscale {

/// State and callbacks of the server that its connections use.
struct CallerConnectionContext
{
    const HttpServerInit *init = nullptr;
    EventLoop *loop = nullptr;
    std::function<HttpExchange(std::uint64_t connection)> newExchange;
    std::function<void(HttpExchange)> endExchange;
    std::function<void(HttpError)> countError;
    std::function<class CallerConnection *(std::uint64_t connection)> findConnection; ///< null if it is closed
    std::function<void()> countSlowReader;
    std::function<void(std::uint64_t connection)> onClosed;
    const HttpServer::Handlers *handlers = nullptr;
    bool isDraining = false;
};

class CallerConnection
{
public:
    CallerConnection(std::uint64_t id, const Poco::Net::StreamSocket &socket, CallerConnectionContext &context);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void onReady(int mode);
    /// Applies `change` to the response of the current exchange and writes the resulting output.
    template<class Change>
    void answer(Change &&change)
    {
        if (answer_) {
            change(*answer_);
            onAnswerChanged();
        }
    }
    HttpExchange exchange() const;
    /// True if the peer has closed or reset the connection, also if input before that has not been read yet.
    bool hasPeerClosed() const;
    /// Closes the connection if no exchange is in progress.
    void closeIfIdle();
    /// Sends an error response and closes; used for connections over the limit.
    void refuse(HttpError reason);

private:
    enum class State : std::uint8_t {
        Head, ///< waiting for a complete head
        Room, ///< waiting for room for the body, without reading
        Body,
        Answering,
        Closing, ///< the response is complete and being written
        Draining, ///< written, and the sending side is closed; further input is discarded
        Closed
    };

    void readAvailable();
    void processInput();
    bool processHead();
    bool processBody();
    bool reserveHead(std::size_t headBytes);
    bool startBody();
    bool reserveBody(std::uint64_t bytes);
    void onRoom();
    void beginReading();
    void countHeldBytes();
    void extendLinger();
    void discardWritten();
    void dispatchRequest();
    void onAnswerChanged();
    void collectOutput();
    void writeOutput();
    void onOutputWritten();
    void rejectMessage(HttpError reason);
    void onDisconnected(FailureReason reason);
    void close();
    void updatePollModes();
    void setDeadline(Duration timeout, HttpError error);
    void clearDeadline();
    void updateWriteTimer();
    void onDeadline();

    std::uint64_t id_;
    Poco::Net::StreamSocket socket_;
    CallerConnectionContext &context_;
    State state_ = State::Head;
    std::string input_; // bounded by the head limit plus one read
    std::string output_;
    std::size_t writtenBytes_ = 0; // of output_ that are written to the socket
    std::uint64_t unsentBodyBytes_ = 0; // body bytes of the response that are not yet written to the socket
    std::optional<HttpRequestData> request_;
    MemoryAccount::Wait roomWait_; // set if and only if state_ is Room
    TimePoint bodyDeadline_{}; // of the whole body, while it is not complete
    bool awaitsContinue_ = false; // the caller sends its body once it is told to
    MemoryHold inputRoom_; // covers input_
    MemoryHold outputRoom_; // covers output_
    HttpBodyReader bodyReader_;
    std::optional<HttpAnswer> answer_;
    HttpExchange exchange_; // invariant: set if and only if state_ is Answering
    AnswerEnd answerEnd_ = AnswerEnd::Open;
    bool hasInputEnded_ = false;
    int pollModes_ = 0;
    TimerHandle deadline_;
    HttpError deadlineError_ = HttpError::None;
    TimerHandle writeTimer_;
    std::uint64_t totalWrittenBytes_ = 0;
    std::uint64_t writtenAtTimerStart_ = 0;
};

} // namespace anvilscale

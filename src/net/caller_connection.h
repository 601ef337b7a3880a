// One caller's connection: reads requests one after the other and writes their answers. Lives in one event loop.
#pragma once

#include "http_answer.h"

#include <Poco/Net/StreamSocket.h>

#include <optional>

namespace anvilscale {

/// What a connection needs of its server.
struct CallerConnectionContext
{
    const HttpServerInit *init = nullptr;
    EventLoop *loop = nullptr;
    std::function<HttpExchange(std::uint64_t connection)> newExchange;
    std::function<void(HttpExchange)> endExchange;
    std::function<void(HttpProblem)> countProblem;
    std::function<void()> countSlowReader;
    std::function<void(std::uint64_t connection)> closed;
    const HttpServer::Handlers *handlers = nullptr;
    bool draining = false;
};

class CallerConnection
{
public:
    CallerConnection(std::uint64_t id, const Poco::Net::StreamSocket &socket, CallerConnectionContext &context);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void onReady(int mode);
    /// Applies `change` to the answer of the present exchange and writes what it gave.
    template<class Change>
    void answer(Change &&change)
    {
        if (answer_) {
            change(*answer_);
            afterAnswer();
        }
    }
    HttpExchange exchange() const;
    /// Closes if no exchange is in progress.
    void closeIfIdle();
    /// Answers a problem and closes; used for connections over the limit.
    void refuse(HttpProblem problem);

private:
    enum class State : std::uint8_t {
        Head, ///< waits for a head, or for the rest of one
        Body,
        Answering,
        Closing, ///< the last answer is being written
        Draining, ///< written and shut; reads away what the caller still sends
        Closed
    };

    void readAvailable();
    void process();
    bool processHead();
    bool processBody();
    void dispatch();
    void afterAnswer();
    void moveOutput();
    void flush();
    void afterWritten();
    void problem(HttpProblem problem);
    void lost(FailureReason why);
    void close();
    void updateInterest();
    void setDeadline(Duration span, HttpProblem problem);
    void clearDeadline();
    void watchWriting();
    void onDeadline();

    std::uint64_t id_;
    Poco::Net::StreamSocket socket_;
    CallerConnectionContext &context_;
    State state_ = State::Head;
    std::string input_; // bounded by the head limit plus one read
    std::string output_;
    std::size_t written_ = 0; // of output_
    std::uint64_t bodyInOutput_ = 0; // body bytes passed on but not yet taken by the connection
    std::optional<HttpRequestData> request_;
    HttpBodyReader bodyReader_;
    std::optional<HttpAnswer> answer_;
    HttpExchange exchange_; // invariant: set exactly in state Answering
    AnswerEnd end_ = AnswerEnd::Open;
    bool inputEnded_ = false;
    int interest_ = 0;
    TimerHandle deadline_;
    HttpProblem deadlineProblem_ = HttpProblem::None;
    TimerHandle writeTimer_;
    std::uint64_t writtenTotal_ = 0;
    std::uint64_t writtenAtTimer_ = 0;
};

} // namespace anvilscale

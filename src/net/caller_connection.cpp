// State machine of one caller's connection.
#include "caller_connection.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>

#include <algorithm>

namespace anvilscale {

namespace {

constexpr std::size_t readSize = 16U << 10;
constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr Duration lingerTime = Seconds(1);
constexpr int readMode = Poco::Net::PollSet::POLL_READ;
constexpr int writeMode = Poco::Net::PollSet::POLL_WRITE;
constexpr int errorMode = Poco::Net::PollSet::POLL_ERROR;

} // namespace

CallerConnection::CallerConnection(std::uint64_t id, const Poco::Net::StreamSocket &socket,
                                   CallerConnectionContext &context)
    : id_(id)
    , socket_(socket)
    , context_(context)
{
    socket_.setBlocking(false);
    socket_.setNoDelay(true);
    interest_ = readMode | errorMode;
    context_.loop->watch(socket_, interest_, [this](int mode) { onReady(mode); });
    setDeadline(context_.init->headTimeout, HttpProblem::HeadTimeout);
}

CallerConnection::~CallerConnection()
{
    clearDeadline();
    context_.loop->timers().cancel(writeTimer_);
    if (state_ != State::Closed) {
        context_.loop->forget(socket_);
        socket_.close();
    }
}

HttpExchange CallerConnection::exchange() const
{
    return exchange_;
}

void CallerConnection::onReady(int mode)
{
    if ((mode & writeMode) != 0) {
        flush();
    }
    if (state_ != State::Closed && (mode & (readMode | errorMode)) != 0) {
        readAvailable();
    }
    if (state_ == State::Closed) {
        context_.closed(id_); // destroys this
    }
}

void CallerConnection::readAvailable()
{
    std::array<char, readSize> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read
    int got = 0;
    try {
        got = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    } catch (const Poco::Exception &) {
        lost(FailureReason::CallerGone);
        return;
    }
    if (got < 0) {
        return; // nothing there
    }
    if (got == 0) {
        // A caller that has closed its side for writing cannot be told from one that left: both are taken as gone,
        // because the engine must not work for callers that no longer listen.
        lost(FailureReason::CallerGone);
        return;
    }
    if (state_ == State::Draining || state_ == State::Closing) {
        return;
    }
    input_.append(buffer.data(), static_cast<std::size_t>(got));
    process();
    updateInterest();
}

void CallerConnection::process()
{
    bool more = true;
    while (more) {
        more = state_ == State::Head ? processHead() : state_ == State::Body && processBody();
    }
}

bool CallerConnection::processHead()
{
    // Empty lines between requests are allowed for (RFC 9112, 2.2).
    while (input_.starts_with("\r\n")) {
        input_.erase(0, 2);
    }
    const auto length = headLength(input_);
    if (length > context_.init->headLimit || (length == 0 && input_.size() > context_.init->headLimit)) {
        problem(HttpProblem::HeadTooLarge);
        return false;
    }
    if (length == 0) {
        if (!input_.empty() && deadlineProblem_ != HttpProblem::HeadTimeout) {
            setDeadline(context_.init->headTimeout, HttpProblem::HeadTimeout);
        }
        return false;
    }
    auto parsed = parseRequestHead(std::string_view(input_).substr(0, length), context_.init->bodyLimit);
    input_.erase(0, length);
    if (!parsed) {
        problem(parsed.error());
        return false;
    }
    request_ = std::move(parsed->first);
    bodyReader_ = parsed->second;
    state_ = State::Body;
    setDeadline(context_.init->bodyTimeout, HttpProblem::BodyTimeout);
    if (!bodyReader_.done() && input_.empty() && findHeader(request_->headers, "Expect") != nullptr) {
        output_.append(continueLine);
        flush();
    }
    return true;
}

bool CallerConnection::processBody()
{
    const auto used = bodyReader_.take(input_, request_->body);
    input_.erase(0, used);
    if (bodyReader_.broken()) {
        problem(HttpProblem::BadBody);
        return false;
    }
    if (request_->body.size() > context_.init->bodyLimit) {
        problem(HttpProblem::BodyTooLarge);
        return false;
    }
    if (!bodyReader_.done()) {
        return false;
    }
    dispatch();
    return false;
}

void CallerConnection::dispatch()
{
    clearDeadline();
    state_ = State::Answering;
    auto request = std::move(*request_);
    request_.reset();
    const bool keep = request.keepAlive && !context_.draining;
    answer_.emplace(keep, request.chunkedAnswers, request.method == "HEAD", context_.init->holdBytes);
    end_ = AnswerEnd::Open;
    exchange_ = context_.newExchange(id_);
    context_.handlers->request(exchange_, std::move(request));
}

void CallerConnection::afterAnswer()
{
    moveOutput();
    if (end_ != AnswerEnd::Open) {
        context_.endExchange(exchange_);
        exchange_ = HttpExchange{};
        answer_.reset();
        state_ = State::Closing;
    }
    if (end_ == AnswerEnd::Cut) {
        close();
        context_.closed(id_); // destroys this
        return;
    }
    flush();
    if (state_ == State::Closed) {
        context_.closed(id_); // destroys this
    }
}

void CallerConnection::moveOutput()
{
    if (output_.empty()) {
        output_.swap(answer_->output());
    } else {
        output_.append(answer_->output());
        answer_->output().clear();
    }
    bodyInOutput_ += answer_->takePassedOn();
    end_ = answer_->end();
}

void CallerConnection::flush()
{
    while (written_ < output_.size()) {
        const auto sent = sendSome(socket_, std::string_view(output_).substr(written_));
        if (!sent) {
            lost(FailureReason::CallerGone);
            return;
        }
        if (*sent == 0) {
            break;
        }
        written_ += *sent;
        writtenTotal_ += *sent;
    }
    const auto waiting = output_.size() - written_;
    const auto untaken = std::min<std::uint64_t>(bodyInOutput_, waiting);
    const auto taken = bodyInOutput_ - untaken;
    bodyInOutput_ = untaken;
    if (waiting == 0) {
        output_.clear();
        written_ = 0;
    }
    if (taken != 0 && exchange_) {
        context_.handlers->taken(exchange_, taken);
    }
    watchWriting();
    if (waiting == 0) {
        afterWritten();
    }
    if (state_ != State::Closed) {
        updateInterest();
    }
}

void CallerConnection::afterWritten()
{
    if (state_ != State::Closing) {
        return;
    }
    if (end_ == AnswerEnd::Keep && !context_.draining) {
        state_ = State::Head;
        setDeadline(context_.init->idleTimeout, HttpProblem::None);
        process();
        return;
    }
    // A close with unread input makes the kernel reset the connection, and the caller may lose the end of the answer
    // that it has not read yet. So the sending side is closed first and input is read away for a moment.
    state_ = State::Draining;
    try {
        socket_.shutdownSend();
    } catch (const Poco::Exception &) {
        close();
        return;
    }
    setDeadline(lingerTime, HttpProblem::None);
}

void CallerConnection::refuse(HttpProblem why)
{
    problem(why);
    if (state_ == State::Closed) {
        context_.closed(id_); // destroys this
    }
}

void CallerConnection::problem(HttpProblem why)
{
    context_.countProblem(why);
    clearDeadline();
    const bool chunked = true;
    HttpAnswer answer(false, chunked, false, context_.init->holdBytes);
    auto reply = context_.handlers->problem(why);
    reply.close = true;
    answer.reply(reply);
    output_.append(answer.output());
    end_ = AnswerEnd::Close;
    state_ = State::Closing;
    request_.reset();
    input_.clear();
    flush();
}

void CallerConnection::lost(FailureReason why)
{
    if (state_ == State::Closed) {
        return;
    }
    const auto exchange = exchange_;
    exchange_ = HttpExchange{};
    answer_.reset();
    close();
    if (exchange) {
        context_.endExchange(exchange);
        context_.handlers->gone(exchange, why);
    }
}

void CallerConnection::close()
{
    clearDeadline();
    context_.loop->timers().cancel(writeTimer_);
    writeTimer_ = TimerHandle{};
    context_.loop->forget(socket_);
    socket_.close();
    state_ = State::Closed;
}

void CallerConnection::closeIfIdle()
{
    const bool idle = state_ == State::Head && input_.empty();
    if (idle) {
        close();
        context_.closed(id_); // destroys this
    }
}

void CallerConnection::updateInterest()
{
    if (state_ == State::Closed) {
        return;
    }
    // Input sent ahead of the answer waits in the socket once a head's worth of it is here.
    const bool full = state_ == State::Answering && input_.size() > context_.init->headLimit;
    int wanted = errorMode;
    wanted |= full ? 0 : readMode;
    wanted |= written_ < output_.size() ? writeMode : 0;
    if (wanted != interest_) {
        interest_ = wanted;
        context_.loop->update(socket_, wanted);
    }
}

void CallerConnection::setDeadline(Duration span, HttpProblem problem)
{
    clearDeadline();
    deadlineProblem_ = problem;
    deadline_ = context_.loop->timers().subscribe(EventLoop::now() + span, [this](TimePoint) { onDeadline(); });
}

void CallerConnection::clearDeadline()
{
    context_.loop->timers().cancel(deadline_);
    deadline_ = TimerHandle{};
    deadlineProblem_ = HttpProblem::None;
}

void CallerConnection::onDeadline()
{
    deadline_ = TimerHandle{};
    const bool begun = state_ == State::Body || !input_.empty();
    if (deadlineProblem_ != HttpProblem::None && begun) {
        problem(deadlineProblem_);
    } else {
        close();
    }
    if (state_ == State::Closed) {
        context_.closed(id_); // destroys this
    }
}

// A reader that takes nothing keeps its answer in memory and, by credit, its call at the engine. It is cut once it
// has taken no byte for the write timeout.
void CallerConnection::watchWriting()
{
    if (written_ == output_.size()) {
        context_.loop->timers().cancel(writeTimer_);
        writeTimer_ = TimerHandle{};
        return;
    }
    if (writeTimer_) {
        return;
    }
    writtenAtTimer_ = writtenTotal_;
    writeTimer_ = context_.loop->timers().subscribe(EventLoop::now() + context_.init->writeTimeout, [this](TimePoint) {
        writeTimer_ = TimerHandle{};
        if (writtenTotal_ != writtenAtTimer_) {
            watchWriting();
            return;
        }
        context_.countSlowReader();
        lost(FailureReason::SlowReader);
        context_.closed(id_); // destroys this
    });
}

} // namespace anvilscale

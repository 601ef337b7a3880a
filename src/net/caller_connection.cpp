// State machine of a caller's connection.
#include "caller_connection.h"

#include "release_buffer.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketImpl.h>
#include <poll.h>

#include <algorithm>

namespace anvilscale {

namespace {

constexpr std::size_t maxReadBytes = 16U << 10;
// A head with more fields has room of its own.
constexpr std::size_t usualFields = 128;
// Room of a body without a length grows by this much. Not less than can be read at once.
constexpr std::uint64_t bodyPieceBytes = 64U << 10;
// A written buffer of up to this size is kept for the next message.
constexpr std::size_t maxKeptBytes = 4U << 10;
constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr Duration lingerTimeout = Seconds(1);
constexpr int readMode = Poco::Net::PollSet::POLL_READ;
constexpr int writeMode = Poco::Net::PollSet::POLL_WRITE;
constexpr int errorMode = Poco::Net::PollSet::POLL_ERROR;

// Keeps the buffer for the next message if it is small.
void clearBuffer(std::string &buffer)
{
    if (buffer.capacity() > maxKeptBytes) {
        releaseBuffer(buffer);
    } else {
        buffer.clear();
    }
}

} // namespace

CallerConnection::CallerConnection(std::uint64_t id, const Poco::Net::StreamSocket &socket,
                                   CallerConnectionContext &context)
    : id_(id)
    , socket_(socket)
    , context_(context)
    , inputRoom_(context.init->memory->makeHold(HeldKind::CallerInput))
    , outputRoom_(context.init->memory->makeHold(HeldKind::CallerOutput))
{
    socket_.setBlocking(false);
    socket_.setNoDelay(true);
    pollModes_ = readMode | errorMode;
    context_.loop->watch(socket_, pollModes_, [this](int mode) { onReady(mode); });
    setDeadline(context_.init->headTimeout, HttpError::HeadTimeout);
}

CallerConnection::~CallerConnection()
{
    clearDeadline();
    context_.loop->timers().cancel(writeTimer_);
    if (state_ != State::Closed) {
        context_.loop->unwatch(socket_);
        socket_.close();
    }
}

HttpExchange CallerConnection::exchange() const
{
    return exchange_;
}

bool CallerConnection::hasPeerClosed() const
{
    pollfd descriptor{socket_.impl()->sockfd(), POLLRDHUP, 0};
    return ::poll(&descriptor, 1, 0) > 0;
}

void CallerConnection::onReady(int mode)
{
    if ((mode & writeMode) != 0) {
        writeOutput();
    }
    if (state_ != State::Closed && (mode & (readMode | errorMode)) != 0) {
        readAvailable();
    }
    if (state_ == State::Closed) {
        context_.onClosed(id_); // destroys this
    }
}

void CallerConnection::readAvailable()
{
    std::array<char, maxReadBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read
    int received = 0;
    try {
        received = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    } catch (const Poco::Exception &) {
        onDisconnected(FailureReason::CallerGone);
        return;
    }
    if (received < 0) {
        return; // no data available
    }
    if (received == 0) {
        // A half-closed connection cannot be told from a closed one. Both count as a disconnect, so that no engine
        // works for callers that have left.
        onDisconnected(FailureReason::CallerGone);
        return;
    }
    if (state_ == State::Draining) {
        extendLinger();
        return;
    }
    if (state_ == State::Closing) {
        return;
    }
    input_.append(buffer.data(), static_cast<std::size_t>(received));
    processInput();
    countHeldBytes();
    updatePollModes();
}

void CallerConnection::countHeldBytes()
{
    if (state_ == State::Closed) {
        inputRoom_.resize(0);
        outputRoom_.resize(0);
        return;
    }
    if (input_.empty()) {
        clearBuffer(input_);
    }
    inputRoom_.resize(input_.size());
    outputRoom_.resize(output_.size() + (answer_ ? answer_->heldBytes() : 0));
}

// A caller that still sends the body of a refused request reads the refusal after it.
void CallerConnection::extendLinger()
{
    if (EventLoop::now() + lingerTimeout < bodyDeadline_) {
        setDeadline(lingerTimeout, HttpError::None);
    }
}

void CallerConnection::processInput()
{
    bool hasMore = true;
    while (hasMore) {
        hasMore = state_ == State::Head ? processHead() : state_ == State::Body && processBody();
    }
}

bool CallerConnection::processHead()
{
    // Empty lines before a request are ignored (RFC 9112, 2.2).
    while (input_.starts_with("\r\n")) {
        input_.erase(0, 2);
    }
    const auto length = headLength(input_);
    if (length > context_.init->maxHeadBytes || (length == 0 && input_.size() > context_.init->maxHeadBytes)) {
        rejectMessage(HttpError::HeadTooLarge);
        return false;
    }
    if (length == 0) {
        if (!input_.empty() && deadlineError_ != HttpError::HeadTimeout) {
            setDeadline(context_.init->headTimeout, HttpError::HeadTimeout);
        }
        return false;
    }
    auto parsed = parseRequestHead(std::string_view(input_).substr(0, length), context_.init->maxBodyBytes);
    input_.erase(0, length);
    if (!parsed) {
        rejectMessage(parsed.error());
        return false;
    }
    request_ = std::move(parsed->first);
    bodyReader_ = parsed->second;
    return reserveHead(length) && startBody();
}

// Many short fields take several times the memory of their bytes.
bool CallerConnection::reserveHead(std::size_t headBytes)
{
    const auto &headers = request_->headers;
    if (headers.size() <= usualFields) {
        return true;
    }
    auto &memory = *context_.init->memory;
    request_->headRoom = memory.makeHold(HeldKind::CallerInput);
    if (memory.tryGrow(request_->headRoom, headBytes + headers.size() * sizeof(HttpHeaders::value_type))) {
        return true;
    }
    rejectMessage(HttpError::MemoryShort);
    return false;
}

bool CallerConnection::startBody()
{
    bodyDeadline_ = EventLoop::now() + context_.init->bodyTimeout;
    awaitsContinue_ = !bodyReader_.isDone() && input_.empty() && findHeader(request_->headers, "Expect") != nullptr;
    if (bodyReader_.isDone()) {
        beginReading();
        return true;
    }
    const auto group = context_.handlers->bodyGroup ? context_.handlers->bodyGroup(*request_) : 0;
    request_->bodyRoom = context_.init->memory->makeHold(HeldKind::RequestBodies, group);
    const bool hasLength = bodyReader_.framing() == HttpBodyReader::Framing::Length;
    return reserveBody(hasLength ? bodyReader_.remainingBytes() : bodyPieceBytes);
}

// Returns true if there is room for further bytes of the body. Without it the connection is not read until there is.
bool CallerConnection::reserveBody(std::uint64_t bytes)
{
    auto &memory = *context_.init->memory;
    auto &room = request_->bodyRoom;
    if (room.bytes() + bytes > memory.largestHold()) {
        rejectMessage(HttpError::BodyOverMemory);
        return false;
    }
    if (memory.tryGrow(room, bytes)) {
        beginReading();
        return true;
    }
    roomWait_ = memory.waitToGrow(room, bytes, [context = &context_, id = id_] {
        context->loop->post([context, id] {
            if (auto *connection = context->findConnection(id)) {
                connection->onRoom();
            }
        });
    });
    if (!roomWait_) {
        rejectMessage(HttpError::MemoryShort);
        return false;
    }
    state_ = State::Room;
    setDeadline(context_.init->roomTimeout, HttpError::MemoryShort);
    return false;
}

void CallerConnection::onRoom()
{
    // The wait may have ended meanwhile, and another one begun.
    if (state_ != State::Room || !context_.init->memory->takeGrant(request_->bodyRoom, roomWait_)) {
        return;
    }
    beginReading();
    processInput();
    countHeldBytes();
    updatePollModes();
    if (state_ == State::Closed) {
        context_.onClosed(id_); // destroys this
    }
}

void CallerConnection::beginReading()
{
    state_ = State::Body;
    setDeadline(bodyDeadline_ - EventLoop::now(), HttpError::BodyTimeout);
    // Growth by doubling would touch twice the size.
    request_->body.reserve(request_->bodyRoom.bytes());
    if (std::exchange(awaitsContinue_, false)) {
        output_.append(continueResponse);
        writeOutput();
    }
}

bool CallerConnection::processBody()
{
    const auto consumed = bodyReader_.read(input_, request_->body);
    input_.erase(0, consumed);
    if (bodyReader_.isBroken()) {
        rejectMessage(HttpError::BadBody);
        return false;
    }
    if (request_->body.size() > context_.init->maxBodyBytes) {
        rejectMessage(HttpError::BodyTooLarge);
        return false;
    }
    if (!bodyReader_.isDone()) {
        const bool hasLength = bodyReader_.framing() == HttpBodyReader::Framing::Length;
        const bool hasRoom =
            hasLength || request_->body.size() + input_.size() + maxReadBytes <= request_->bodyRoom.bytes();
        return !hasRoom && reserveBody(bodyPieceBytes);
    }
    request_->bodyRoom.resize(request_->body.size());
    bodyDeadline_ = TimePoint{};
    dispatchRequest();
    return false;
}

void CallerConnection::dispatchRequest()
{
    clearDeadline();
    state_ = State::Answering;
    auto request = std::move(*request_);
    request_.reset();
    const bool isKeptAlive = request.keepAlive && !context_.isDraining;
    answer_.emplace(isKeptAlive, request.acceptsChunked, request.method == "HEAD", context_.init->maxHeldBytes);
    answerEnd_ = AnswerEnd::Open;
    exchange_ = context_.newExchange(id_);
    context_.handlers->request(exchange_, std::move(request));
}

void CallerConnection::onAnswerChanged()
{
    collectOutput();
    if (answerEnd_ != AnswerEnd::Open) {
        context_.endExchange(exchange_);
        exchange_ = HttpExchange{};
        answer_.reset();
        state_ = State::Closing;
    }
    if (answerEnd_ == AnswerEnd::Cut || answerEnd_ == AnswerEnd::Reset) {
        if (answerEnd_ == AnswerEnd::Reset) {
            resetOnClose(socket_);
        }
        close();
        context_.onClosed(id_); // destroys this
        return;
    }
    writeOutput();
    if (state_ == State::Closed) {
        context_.onClosed(id_); // destroys this
    }
}

void CallerConnection::collectOutput()
{
    if (output_.empty()) {
        output_.swap(answer_->output());
    } else {
        output_.append(answer_->output());
        releaseBuffer(answer_->output());
    }
    unsentBodyBytes_ += answer_->takeForwardedBytes();
    answerEnd_ = answer_->end();
}

void CallerConnection::writeOutput()
{
    while (writtenBytes_ < output_.size()) {
        const auto sentBytes = trySend(socket_, std::string_view(output_).substr(writtenBytes_));
        if (!sentBytes) {
            onDisconnected(FailureReason::CallerGone);
            return;
        }
        if (*sentBytes == 0) {
            break;
        }
        writtenBytes_ += *sentBytes;
        totalWrittenBytes_ += *sentBytes;
    }
    const auto pendingBytes = output_.size() - writtenBytes_;
    const auto remainingBodyBytes = std::min<std::uint64_t>(unsentBodyBytes_, pendingBytes);
    const auto sentBodyBytes = unsentBodyBytes_ - remainingBodyBytes;
    unsentBodyBytes_ = remainingBodyBytes;
    discardWritten();
    if (sentBodyBytes != 0 && exchange_) {
        context_.handlers->bytesSent(exchange_, sentBodyBytes);
    }
    updateWriteTimer();
    if (pendingBytes == 0) {
        onOutputWritten();
    }
    if (state_ != State::Closed) {
        updatePollModes();
    }
}

// Output that follows while the reader is behind must not pile up after what has been written.
void CallerConnection::discardWritten()
{
    if (writtenBytes_ == output_.size()) {
        clearBuffer(output_);
        writtenBytes_ = 0;
    } else if (writtenBytes_ >= output_.size() / 2 && writtenBytes_ > maxKeptBytes) {
        output_.substr(writtenBytes_).swap(output_);
        writtenBytes_ = 0;
    }
    outputRoom_.resize(output_.size() + (answer_ ? answer_->heldBytes() : 0));
}

void CallerConnection::onOutputWritten()
{
    if (state_ != State::Closing) {
        return;
    }
    if (answerEnd_ == AnswerEnd::Keep && !context_.isDraining) {
        state_ = State::Head;
        setDeadline(context_.init->idleTimeout, HttpError::None);
        processInput();
        return;
    }
    // Closing a socket with unread input makes the kernel send a reset, which may discard the end of the response. So
    // only the sending side is closed, and further input is discarded for a short time.
    state_ = State::Draining;
    try {
        socket_.shutdownSend();
    } catch (const Poco::Exception &) {
        close();
        return;
    }
    setDeadline(lingerTimeout, HttpError::None);
}

void CallerConnection::refuse(HttpError reason)
{
    rejectMessage(reason);
    if (state_ == State::Closed) {
        context_.onClosed(id_); // destroys this
    }
}

void CallerConnection::rejectMessage(HttpError reason)
{
    context_.countError(reason);
    clearDeadline();
    const bool acceptsChunked = true;
    HttpAnswer answer(false, acceptsChunked, false, context_.init->maxHeldBytes);
    auto reply = context_.handlers->errorReply(reason);
    reply.closesConnection = true;
    answer.reply(reply);
    output_.append(answer.output());
    answerEnd_ = AnswerEnd::Close;
    state_ = State::Closing;
    request_.reset();
    roomWait_ = MemoryAccount::Wait();
    releaseBuffer(input_);
    inputRoom_.resize(0);
    writeOutput();
}

void CallerConnection::onDisconnected(FailureReason reason)
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
        context_.handlers->disconnected(exchange, reason);
    }
}

void CallerConnection::close()
{
    clearDeadline();
    context_.loop->timers().cancel(writeTimer_);
    writeTimer_ = TimerHandle{};
    context_.loop->unwatch(socket_);
    socket_.close();
    state_ = State::Closed;
    roomWait_ = MemoryAccount::Wait();
}

void CallerConnection::closeIfIdle()
{
    if (state_ == State::Head) {
        readAvailable(); // a request may have arrived that the loop has not reported yet
    }
    if (state_ == State::Head && input_.empty()) {
        close();
    }
    if (state_ == State::Closed) {
        context_.onClosed(id_); // destroys this
    }
}

void CallerConnection::updatePollModes()
{
    if (state_ == State::Closed) {
        return;
    }
    // Pipelined input stays in the socket buffer once input_ exceeds the head limit.
    const bool isInputFull = state_ == State::Answering && input_.size() > context_.init->maxHeadBytes;
    int modes = errorMode;
    modes |= isInputFull || state_ == State::Room ? 0 : readMode;
    modes |= writtenBytes_ < output_.size() ? writeMode : 0;
    if (modes != pollModes_) {
        pollModes_ = modes;
        context_.loop->update(socket_, modes);
    }
}

void CallerConnection::setDeadline(Duration timeout, HttpError error)
{
    clearDeadline();
    deadlineError_ = error;
    deadline_ = context_.loop->timers().subscribe(EventLoop::now() + timeout, [this](TimePoint) { onDeadline(); });
}

void CallerConnection::clearDeadline()
{
    context_.loop->timers().cancel(deadline_);
    deadline_ = TimerHandle{};
    deadlineError_ = HttpError::None;
}

void CallerConnection::onDeadline()
{
    deadline_ = TimerHandle{};
    if (state_ == State::Head && input_.empty()) {
        clearDeadline();
        closeIfIdle();
        return;
    }
    const bool hasPartialRequest = state_ == State::Room || state_ == State::Body || !input_.empty();
    if (deadlineError_ != HttpError::None && hasPartialRequest) {
        rejectMessage(deadlineError_);
    } else {
        close();
    }
    if (state_ == State::Closed) {
        context_.onClosed(id_); // destroys this
    }
}

// A caller that does not read keeps its response in memory and, through flow control, its call at the engine. It is
// disconnected once its connection has accepted no byte for the write timeout.
void CallerConnection::updateWriteTimer()
{
    if (writtenBytes_ == output_.size()) {
        context_.loop->timers().cancel(writeTimer_);
        writeTimer_ = TimerHandle{};
        return;
    }
    if (writeTimer_) {
        return;
    }
    writtenAtTimerStart_ = totalWrittenBytes_;
    writeTimer_ = context_.loop->timers().subscribe(EventLoop::now() + context_.init->writeTimeout, [this](TimePoint) {
        writeTimer_ = TimerHandle{};
        if (totalWrittenBytes_ != writtenAtTimerStart_) {
            updateWriteTimer();
            return;
        }
        context_.countSlowReader();
        onDisconnected(FailureReason::SlowReader);
        context_.onClosed(id_); // destroys this
    });
}

} // namespace anvilscale

// HTTP connection to the platform over a blocking socket.
#include "http_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>

namespace anvilscale {

namespace {
constexpr std::size_t bufferBytes = 16U << 10; // sent or received by one call of the socket
constexpr std::size_t maxHeadBytes = 64U << 10; // of a response, with its interim responses
// Bytes of a chunked body for each byte of its content. The framing of chunks of a few bytes takes as much as they.
constexpr std::size_t maxFramingFactor = 4;

Poco::Timespan remainingTime(HttpConnection::Clock::time_point deadline)
{
    const auto remaining = std::chrono::duration_cast<Duration>(deadline - HttpConnection::Clock::now());
    return Poco::Timespan(std::max<Duration::rep>(remaining.count(), 1));
}
} // namespace

// Bounds a whole exchange instead of each read. Prevents a service that sends single bytes from blocking a thread,
// and the requests queued behind it, far beyond the timeout.
class HttpConnection::DeadlineSocket : public Poco::Net::StreamSocketImpl
{
public:
    void setDeadline(Clock::time_point deadline)
    {
        deadline_ = deadline;
    }
    /// For streams: bounds each read instead of the whole exchange.
    void setIdleTimeout(Duration idleTimeout)
    {
        deadline_.reset();
        setReceiveTimeout(Poco::Timespan(idleTimeout.count()));
    }
    void setReceiveLimit(std::size_t bytes)
    {
        remainingBytes_ = bytes;
    }
    bool isReceiveLimitReached() const
    {
        return remainingBytes_ == 0;
    }
    int receiveBytes(void *buffer, int length, int flags) override
    {
        if (remainingBytes_ == 0) {
            throw Poco::DataException("the response is too long");
        }
        const int received = receiveInTime(
            buffer, static_cast<int>(std::min<std::size_t>(static_cast<std::size_t>(length), remainingBytes_)), flags);
        remainingBytes_ -= received > 0 ? static_cast<std::size_t>(received) : 0;
        return received;
    }
    int sendBytes(const void *buffer, int length, int flags) override
    {
        if (deadline_) {
            requireTimeLeft();
            setSendTimeout(remainingTime(*deadline_));
        }
        return Poco::Net::StreamSocketImpl::sendBytes(buffer, length, flags);
    }

private:
    int receiveInTime(void *buffer, int length, int flags)
    {
        if (deadline_) {
            requireTimeLeft();
            setReceiveTimeout(remainingTime(*deadline_));
        }
        return Poco::Net::StreamSocketImpl::receiveBytes(buffer, length, flags);
    }
    void requireTimeLeft() const
    {
        if (Clock::now() >= *deadline_) {
            throw Poco::TimeoutException();
        }
    }

    std::optional<Clock::time_point> deadline_;
    std::size_t remainingBytes_ = maxHeadBytes; // that may still be received
};

HttpConnection::HttpConnection(const std::string &url)
    : uri_(url)
{
}

void HttpConnection::close()
{
    const std::scoped_lock lock(mutex_);
    socket_ = Poco::Net::StreamSocket();
    deadlineSocket_ = nullptr;
    input_.clear();
    content_.clear();
}

void HttpConnection::abort()
{
    const std::scoped_lock lock(mutex_);
    isAborted_ = true;
    try {
        socket_.shutdown();
    } catch (const Poco::Exception &) {
        return; // not connected: no blocked call to wake
    }
}

// An idle connection that is readable was closed by the server and is replaced. Sending on it would look like a lost
// reply, so that a write would needlessly count as Unknown. Bytes beyond a response would be read as the next one.
bool HttpConnection::isReusable()
{
    if (deadlineSocket_ == nullptr || !input_.empty()) {
        return false;
    }
    try {
        return !socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception &) {
        return false;
    }
}

bool HttpConnection::connect(Clock::time_point deadline)
{
    if (isReusable()) {
        return true;
    }
    close();
    try {
        auto *deadlineSocket = new DeadlineSocket; // owned by the socket
        Poco::Net::StreamSocket socket(deadlineSocket);
        const Poco::Net::SocketAddress address(uri_.getHost(), uri_.getPort());
        socket.connect(address, remainingTime(deadline));
        socket.setNoDelay(true);
        const std::scoped_lock lock(mutex_);
        if (isAborted_) {
            return false;
        }
        socket_ = socket;
        deadlineSocket_ = deadlineSocket;
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

std::string HttpConnection::hostHeader() const
{
    const auto host = uri_.getHost();
    const bool isIpV6 = host.find(':') != std::string::npos;
    return (isIpV6 ? "[" + host + "]" : host) + ":" + std::to_string(uri_.getPort());
}

void HttpConnection::send(const std::string &method, const std::string &path, const std::string &body)
{
    const auto headers = body.empty() ? HttpHeaders{} : HttpHeaders{{"Content-Type", "application/json"}};
    const auto request = formatRequestHead(method, path, hostHeader(), headers, body.size(), true) + body;
    std::string_view rest(request);
    while (!rest.empty()) {
        const auto part = rest.substr(0, bufferBytes);
        rest.remove_prefix(static_cast<std::size_t>(socket_.sendBytes(part.data(), static_cast<int>(part.size()))));
    }
    readHead();
}

// Only its empty line ends a head: one that ends with its connection may lack the length of the body, or more.
void HttpConnection::readHead()
{
    input_.clear();
    content_.clear();
    deadlineSocket_->setReceiveLimit(maxHeadBytes);
    while (true) {
        const auto length = headLength(input_);
        if (length == 0) {
            if (!receive()) {
                throw Poco::DataException("the head of the response is cut off");
            }
            continue;
        }
        auto head = parseResponseHead(std::string_view(input_).substr(0, length), false);
        if (!head) {
            throw Poco::DataException("the head of the response is not valid");
        }
        input_.erase(0, length);
        if (head->status / 100 != 1) { // an interim response precedes another one
            response_ = std::move(*head);
            return;
        }
    }
}

bool HttpConnection::readBody(std::string &out)
{
    auto &reader = response_.body;
    if (reader.isDone()) {
        return false;
    }
    if (input_.empty() && !receive()) {
        if (reader.framing() == HttpBodyReader::Framing::UntilClose) {
            return false;
        }
        throw Poco::DataException("the body of the response is cut off");
    }
    input_.erase(0, reader.read(input_, out));
    if (reader.isBroken()) {
        throw Poco::DataException("the body of the response is not framed as its head says");
    }
    return true;
}

bool HttpConnection::receive()
{
    std::array<char, bufferBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read
    const int received = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (received > 0) {
        input_.append(buffer.data(), static_cast<std::size_t>(received));
        return true;
    }
    const std::scoped_lock lock(mutex_);
    if (isAborted_) {
        throw Poco::DataException("aborted"); // not the end of a body without a length
    }
    return false;
}

tl::expected<PlatformAnswer, ExchangeError> HttpConnection::exchange(const std::string &method, const std::string &path,
                                                                     const std::string &body,
                                                                     Clock::time_point deadline, std::size_t maxBytes)
{
    if (!connect(deadline)) {
        return tl::unexpected(ExchangeError::NotSent);
    }
    try {
        deadlineSocket_->setDeadline(deadline);
        send(method, path, body);
        deadlineSocket_->setReceiveLimit(maxFramingFactor * maxBytes);
        PlatformAnswer answer;
        answer.status = status();
        while (readBody(answer.body)) {
            if (answer.body.size() > maxBytes) {
                close();
                return tl::unexpected(ExchangeError::TooLarge);
            }
        }
        if (!response_.keepAlive || !isReusable()) {
            close();
        }
        return answer;
    } catch (const Poco::Exception &) {
        const auto error = endError();
        close();
        return tl::unexpected(error);
    }
}

ExchangeError HttpConnection::endError() const
{
    const bool isTooLarge = deadlineSocket_ != nullptr && deadlineSocket_->isReceiveLimitReached();
    return isTooLarge ? ExchangeError::TooLarge : ExchangeError::NoAnswer;
}

tl::expected<void, ExchangeError> HttpConnection::open(const std::string &path, const std::string &body,
                                                       Clock::time_point deadline, Duration idleTimeout)
{
    close();
    if (!connect(deadline)) {
        return tl::unexpected(ExchangeError::NotSent);
    }
    try {
        deadlineSocket_->setDeadline(deadline);
        send("POST", path, body);
        deadlineSocket_->setIdleTimeout(idleTimeout);
        return {};
    } catch (const Poco::Exception &) {
        close();
        return tl::unexpected(ExchangeError::NoAnswer);
    }
}

bool HttpConnection::readLine(std::string &line, std::size_t maxBytes)
{
    if (deadlineSocket_ == nullptr) {
        return false;
    }
    try {
        deadlineSocket_->setReceiveLimit(maxFramingFactor * maxBytes);
        std::size_t searchedBytes = 0;
        auto end = content_.find('\n');
        while (end == std::string::npos) {
            searchedBytes = content_.size();
            if (searchedBytes > maxBytes || !readBody(content_)) {
                return false;
            }
            end = content_.find('\n', searchedBytes);
        }
        line = content_.substr(0, end);
        content_.erase(0, end + 1);
        return line.size() <= maxBytes;
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace anvilscale

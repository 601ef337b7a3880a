// HTTP connection to the platform over POCO's client session.
#include "http_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <istream>
#include <vector>

namespace anvilscale {

namespace {
constexpr std::size_t readBufferBytes = 16U << 10;
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
    session_.reset();
    socket_ = Poco::Net::StreamSocket();
    deadlineSocket_ = nullptr;
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
// reply, so that a write would needlessly count as Unknown.
bool HttpConnection::isReusable()
{
    if (session_ == nullptr) {
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
        session_ = std::make_unique<Poco::Net::HTTPClientSession>(socket);
        session_->setKeepAlive(true);
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

std::istream &HttpConnection::send(const std::string &method, const std::string &path, const std::string &body)
{
    Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(uri_.getHost(), uri_.getPort());
    request.setKeepAlive(true);
    if (!body.empty()) {
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
    }
    session_->sendRequest(request) << body << std::flush;
    response_.clear();
    deadlineSocket_->setReceiveLimit(maxHeadBytes);
    return session_->receiveResponse(response_);
}

tl::expected<HttpAnswer, ExchangeError> HttpConnection::exchange(const std::string &method, const std::string &path,
                                                                 const std::string &body, Clock::time_point deadline,
                                                                 std::size_t maxBytes)
{
    if (!connect(deadline)) {
        return tl::unexpected(ExchangeError::NotSent);
    }
    try {
        deadlineSocket_->setDeadline(deadline);
        std::istream &in = send(method, path, body);
        deadlineSocket_->setReceiveLimit(maxFramingFactor * maxBytes);
        HttpAnswer answer;
        answer.status = response_.getStatus();
        std::vector<char> chunk(readBufferBytes);
        while (in.read(chunk.data(), static_cast<std::streamsize>(chunk.size())) || in.gcount() > 0) {
            answer.body.append(chunk.data(), static_cast<std::size_t>(in.gcount()));
            if (answer.body.size() > maxBytes) {
                close();
                return tl::unexpected(ExchangeError::TooLarge);
            }
        }
        const bool isTruncated = in.bad()
                                 || (response_.hasContentLength()
                                     && answer.body.size() != static_cast<std::size_t>(response_.getContentLength64()));
        const auto error = endError();
        if (isTruncated || !response_.getKeepAlive() || !isReusable()) {
            close();
        }
        if (isTruncated) {
            return tl::unexpected(error);
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

void HttpConnection::setReceiveLimit(std::size_t bytes)
{
    if (deadlineSocket_ != nullptr) {
        deadlineSocket_->setReceiveLimit(bytes);
    }
}

tl::expected<std::istream *, ExchangeError> HttpConnection::open(const std::string &path, const std::string &body,
                                                                 Clock::time_point deadline, Duration idleTimeout)
{
    close();
    if (!connect(deadline)) {
        return tl::unexpected(ExchangeError::NotSent);
    }
    try {
        deadlineSocket_->setDeadline(deadline);
        std::istream &in = send("POST", path, body);
        deadlineSocket_->setIdleTimeout(idleTimeout);
        return &in;
    } catch (const Poco::Exception &) {
        close();
        return tl::unexpected(ExchangeError::NoAnswer);
    }
}

} // namespace anvilscale

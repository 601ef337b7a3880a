// HTTP exchange with the platform over POCO's client session.
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
constexpr std::size_t readPart = 16U << 10;

Poco::Timespan timeLeft(HttpConnection::Clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<Duration>(deadline - HttpConnection::Clock::now());
    return Poco::Timespan(std::max<Duration::rep>(left.count(), 1));
}
} // namespace

// Bounds a whole exchange, not each read of it: a service that sends one byte now and then would otherwise hold a
// thread far beyond the timeout, and with it every request that queues behind.
class HttpConnection::DeadlineSocket : public Poco::Net::StreamSocketImpl
{
public:
    void setDeadline(Clock::time_point deadline)
    {
        deadline_ = deadline;
    }
    /// For streams: only each single wait is bounded.
    void setIdleLimit(Duration idle)
    {
        deadline_.reset();
        setReceiveTimeout(Poco::Timespan(idle.count()));
    }
    int receiveBytes(void *buffer, int length, int flags) override
    {
        if (deadline_) {
            checkDeadline();
            setReceiveTimeout(timeLeft(*deadline_));
        }
        return Poco::Net::StreamSocketImpl::receiveBytes(buffer, length, flags);
    }
    int sendBytes(const void *buffer, int length, int flags) override
    {
        if (deadline_) {
            checkDeadline();
            setSendTimeout(timeLeft(*deadline_));
        }
        return Poco::Net::StreamSocketImpl::sendBytes(buffer, length, flags);
    }

private:
    void checkDeadline() const
    {
        if (Clock::now() >= *deadline_) {
            throw Poco::TimeoutException();
        }
    }

    std::optional<Clock::time_point> deadline_;
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
    limits_ = nullptr;
}

void HttpConnection::abort()
{
    const std::scoped_lock lock(mutex_);
    aborted_ = true;
    try {
        socket_.shutdown();
    } catch (const Poco::Exception &) {
        return; // not connected: there is nothing to wake
    }
}

// A server may have closed a kept connection meanwhile. Writing into it would look like a lost answer, and a
// write would needlessly count as "may have taken effect"; a readable idle connection is therefore replaced first.
bool HttpConnection::reusable()
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
    if (reusable()) {
        return true;
    }
    close();
    try {
        auto *limits = new DeadlineSocket; // owned by the socket
        Poco::Net::StreamSocket socket(limits);
        const Poco::Net::SocketAddress address(uri_.getHost(), uri_.getPort());
        socket.connect(address, timeLeft(deadline));
        socket.setNoDelay(true);
        const std::scoped_lock lock(mutex_);
        if (aborted_) {
            return false;
        }
        socket_ = socket;
        limits_ = limits;
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
    return session_->receiveResponse(response_);
}

tl::expected<HttpAnswer, ExchangeError> HttpConnection::exchange(const std::string &method, const std::string &path,
                                                                 const std::string &body, Clock::time_point deadline,
                                                                 std::size_t limit)
{
    if (!connect(deadline)) {
        return tl::unexpected(ExchangeError::NotSent);
    }
    try {
        limits_->setDeadline(deadline);
        std::istream &in = send(method, path, body);
        HttpAnswer answer;
        answer.status = response_.getStatus();
        std::vector<char> part(readPart);
        while (in.read(part.data(), static_cast<std::streamsize>(part.size())) || in.gcount() > 0) {
            answer.body.append(part.data(), static_cast<std::size_t>(in.gcount()));
            if (answer.body.size() > limit) {
                close();
                return tl::unexpected(ExchangeError::TooLarge);
            }
        }
        const bool cut = in.bad()
                         || (response_.hasContentLength()
                             && answer.body.size() != static_cast<std::size_t>(response_.getContentLength64()));
        if (cut || !response_.getKeepAlive()) {
            close();
        }
        if (cut) {
            return tl::unexpected(ExchangeError::NoAnswer);
        }
        return answer;
    } catch (const Poco::Exception &) {
        close();
        return tl::unexpected(ExchangeError::NoAnswer);
    }
}

tl::expected<std::istream *, ExchangeError> HttpConnection::open(const std::string &path, const std::string &body,
                                                                 Clock::time_point deadline, Duration idle)
{
    close();
    if (!connect(deadline)) {
        return tl::unexpected(ExchangeError::NotSent);
    }
    try {
        limits_->setDeadline(deadline);
        std::istream &in = send("POST", path, body);
        limits_->setIdleLimit(idle);
        return &in;
    } catch (const Poco::Exception &) {
        close();
        return tl::unexpected(ExchangeError::NoAnswer);
    }
}

} // namespace anvilscale

// One HTTP connection to the platform, kept alive between calls. It tells apart what was certainly not sent from
// what may have reached the service, because callers must know whether a write can have taken effect.
#pragma once

#include "anvilscale/base.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace anvilscale {

enum class ExchangeError : std::uint8_t {
    NotSent, ///< no connection: the request certainly had no effect
    NoAnswer, ///< the request may have been received
    TooLarge, ///< the answer is larger than allowed
    Count
};

struct HttpAnswer
{
    int status = 0;
    std::string body;
};

class HttpConnection
{
public:
    using Clock = std::chrono::steady_clock;

    explicit HttpConnection(const std::string &url);

    /// One request and its whole answer, until `deadline`.
    tl::expected<HttpAnswer, ExchangeError> exchange(const std::string &method, const std::string &path,
                                                     const std::string &body, Clock::time_point deadline,
                                                     std::size_t limit);
    /// Sends a request whose answer is read as a stream. The stream lives until the next call or close().
    tl::expected<std::istream *, ExchangeError> open(const std::string &path, const std::string &body,
                                                     Clock::time_point deadline, Duration idle);
    int status() const
    {
        return response_.getStatus();
    }
    void close();
    /// Any thread: a blocked call of the owner's thread returns soon, and every later one fails.
    void abort();

private:
    class DeadlineSocket;

    bool connect(Clock::time_point deadline);
    bool reusable();
    std::istream &send(const std::string &method, const std::string &path, const std::string &body);

    Poco::URI uri_;
    std::unique_ptr<Poco::Net::HTTPClientSession> session_;
    Poco::Net::HTTPResponse response_;
    std::mutex mutex_; // guards socket_ and aborted_
    Poco::Net::StreamSocket socket_; // the session's socket, shared so that abort() can reach it
    DeadlineSocket *limits_ = nullptr; // of socket_, null if there is no connection
    bool aborted_ = false;
};

} // namespace anvilscale

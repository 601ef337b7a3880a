// An HTTP connection to the platform, kept alive between calls. Distinguishes requests that were certainly not sent
// from those that may have reached the service, because a write may have taken effect then.
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
    TooLarge, ///< the response exceeds the limit
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

    /// Sends a request and reads its complete response until `deadline`, up to `maxBytes` of body.
    tl::expected<HttpAnswer, ExchangeError> exchange(const std::string &method, const std::string &path,
                                                     const std::string &body, Clock::time_point deadline,
                                                     std::size_t maxBytes);
    /// Sends a POST request and returns its response as a stream, valid until the next call or close(). `idleTimeout`
    /// bounds each read, setReceiveLimit() the bytes.
    tl::expected<std::istream *, ExchangeError> open(const std::string &path, const std::string &body,
                                                     Clock::time_point deadline, Duration idleTimeout);
    /// The stream of open() fails after this many further bytes, with those of its framing. Without a limit, a server
    /// that sends nothing but framing keeps its reader busy for ever.
    void setReceiveLimit(std::size_t bytes);
    int status() const
    {
        return response_.getStatus();
    }
    void close();
    /// Makes a blocked call of the owner's thread return soon and every later one fail. Callable from any thread.
    void abort();

private:
    class DeadlineSocket;

    bool connect(Clock::time_point deadline);
    bool isReusable();
    std::istream &send(const std::string &method, const std::string &path, const std::string &body);
    /// Why a response has ended early.
    ExchangeError endError() const;

    Poco::URI uri_;
    std::unique_ptr<Poco::Net::HTTPClientSession> session_;
    Poco::Net::HTTPResponse response_;
    std::mutex mutex_; // guards socket_ and isAborted_
    Poco::Net::StreamSocket socket_; // the session's socket, shared so that abort() can reach it
    DeadlineSocket *deadlineSocket_ = nullptr; // implementation of socket_; null if there is no connection
    bool isAborted_ = false;
};

} // namespace anvilscale

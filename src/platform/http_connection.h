// An HTTP connection to the platform, kept alive between calls. Distinguishes requests that were certainly not sent
// from those that may have reached the service, because a write may have taken effect then.
#pragma once

#include "anvilscale/net.h"

#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>

#include <mutex>
#include <optional>
#include <string>

namespace anvilscale {

enum class ExchangeError : std::uint8_t {
    NotSent, ///< no connection: the request certainly had no effect
    NoAnswer, ///< no whole answer: the request may have been received
    TooLarge, ///< the response exceeds the limit
    Count
};

struct PlatformAnswer
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
    tl::expected<PlatformAnswer, ExchangeError> exchange(const std::string &method, const std::string &path,
                                                         const std::string &body, Clock::time_point deadline,
                                                         std::size_t maxBytes);
    /// Sends a POST request and reads the head of its response, whose body follows with readLine(). `idleTimeout`
    /// bounds each read.
    tl::expected<void, ExchangeError> open(const std::string &path, const std::string &body, Clock::time_point deadline,
                                           Duration idleTimeout);
    /// Reads the next line of the body up to `maxBytes`, and a multiple of them with its framing. Without a limit, a
    /// server that sends nothing but framing keeps its reader busy for ever. Returns false if no whole line follows.
    bool readLine(std::string &line, std::size_t maxBytes);
    int status() const
    {
        return static_cast<int>(response_.status);
    }
    void close();
    /// Makes a blocked call of the owner's thread return soon and every later one fail. Callable from any thread.
    void abort();

private:
    class DeadlineSocket;

    bool connect(Clock::time_point deadline);
    bool isReusable();
    std::string hostHeader() const;
    // These throw a Poco::Exception if the connection ends before the response.
    void send(const std::string &method, const std::string &path, const std::string &body);
    void readHead();
    /// Appends the next bytes of the body; false once the body has ended.
    bool readBody(std::string &out);
    /// Receives into input_; false if the server has closed the connection.
    bool receive();
    /// Why a response has ended early.
    ExchangeError endError() const;

    Poco::URI uri_;
    HttpResponseHead response_;
    std::string input_; // received, not yet parsed
    std::string content_; // of the body of open(), not yet returned by readLine()
    std::mutex mutex_; // guards socket_ and isAborted_
    Poco::Net::StreamSocket socket_;
    DeadlineSocket *deadlineSocket_ = nullptr; // implementation of socket_; null if there is no connection
    bool isAborted_ = false;
};

} // namespace anvilscale

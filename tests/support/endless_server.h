// Server whose answers never end: bytes follow in a head or a body until the client closes the connection.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace anvilscale::test {

enum class EndlessAnswer : std::uint8_t {
    Junk, ///< bytes without a line end
    HeaderLines, ///< a head that goes on
    InterimHeads, ///< one interim response after the other
    UnframedBody, ///< a body that would end with the connection
    LongBody, ///< a body of a huge length
    Chunks,
    ChunkSize, ///< a chunk size line without an end
    Trailers,
    Count
};

inline constexpr std::array allEndlessAnswers{
    EndlessAnswer::Junk,     EndlessAnswer::HeaderLines, EndlessAnswer::InterimHeads, EndlessAnswer::UnframedBody,
    EndlessAnswer::LongBody, EndlessAnswer::Chunks,      EndlessAnswer::ChunkSize,    EndlessAnswer::Trailers};

struct EndlessBytes
{
    std::string prefix;
    std::string filler; ///< repeated until the client closes
};

inline EndlessBytes endlessBytes(EndlessAnswer answer, const std::string &headers = {})
{
    constexpr std::size_t fillerBytes = 64U << 10;
    const std::string head = "HTTP/1.1 200 OK\r\n" + headers;
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string plain(fillerBytes, 'x');
    const auto repeat = [](const std::string &text) {
        std::string result;
        while (result.size() < fillerBytes) {
            result += text;
        }
        return result;
    };
    const auto lines = repeat("X-Filler: " + std::string(80, 'y') + "\r\n");
    switch (answer) {
    case EndlessAnswer::HeaderLines:
        return {head, lines};
    case EndlessAnswer::InterimHeads:
        return {"", repeat("HTTP/1.1 100 Continue\r\n\r\n")};
    case EndlessAnswer::UnframedBody:
        return {head + "\r\n", plain};
    case EndlessAnswer::LongBody:
        return {head + "Content-Length: 1000000000000\r\n\r\n", plain};
    case EndlessAnswer::Chunks:
        return {chunked, "10000\r\n" + plain + "\r\n"};
    case EndlessAnswer::ChunkSize:
        return {chunked, std::string(fillerBytes, 'z')};
    case EndlessAnswer::Trailers:
        return {chunked + "0\r\n", lines};
    case EndlessAnswer::Junk:
    case EndlessAnswer::Count:
        break;
    }
    return {"", plain};
}

class EndlessServer
{
public:
    /// A client that takes this much does not bound what it reads. Well above any limit and the buffers of sockets.
    static constexpr std::size_t maxBytes = 96U << 20;

    /// `answerTo`: the answer to a request head.
    explicit EndlessServer(std::function<EndlessBytes(const std::string &head)> answerTo)
        : answerTo_(std::move(answerTo))
        , socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
        , thread_([this] { serve(); })
    {
    }
    explicit EndlessServer(EndlessAnswer answer)
        : EndlessServer([bytes = endlessBytes(answer)](const std::string & /*head*/) { return bytes; })
    {
    }
    ~EndlessServer()
    {
        isStopped_ = true;
        thread_.join();
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    /// "IP:PORT"
    std::string address() const
    {
        return socket_.address().toString();
    }
    /// Waits until a client has closed the connection or taken maxBytes. Returns whether it has closed it.
    bool hasBeenClosed()
    {
        constexpr auto maxWait = std::chrono::seconds(60);
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, maxWait, [this] { return isClosed_.has_value(); });
        return isClosed_.value_or(false);
    }

    /// Number of connections that have ended.
    int connectionCount()
    {
        const std::scoped_lock lock(mutex_);
        return connectionCount_;
    }

private:
    void serve()
    {
        while (!isStopped_) {
            if (!socket_.poll(Poco::Timespan(0, 10000), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            auto connection = socket_.acceptConnection();
            connection.setReceiveTimeout(Poco::Timespan(5, 0));
            connection.setSendTimeout(Poco::Timespan(5, 0)); // after it the client counts as not reading
            const bool isClosed = sendUntilClosed(connection);
            const std::scoped_lock lock(mutex_);
            ++connectionCount_;
            isClosed_ = isClosed_.value_or(true) && isClosed;
            changed_.notify_all();
        }
    }

    bool sendUntilClosed(Poco::Net::StreamSocket &connection)
    {
        const int socket = connection.impl()->sockfd();
        std::string head;
        std::array<char, 4096> buffer{};
        while (head.find("\r\n\r\n") == std::string::npos) {
            const auto received = ::recv(socket, buffer.data(), buffer.size(), 0);
            if (received <= 0) {
                return received == 0;
            }
            head.append(buffer.data(), static_cast<std::size_t>(received));
        }
        const auto bytes = answerTo_(head);
        bool isOpen = send(socket, bytes.prefix);
        for (std::size_t sent = 0; isOpen && sent < maxBytes && !isStopped_; sent += bytes.filler.size()) {
            isOpen = send(socket, bytes.filler);
        }
        return !isOpen && (errno == EPIPE || errno == ECONNRESET);
    }

    /// Returns false, with errno set, if not everything could be sent.
    static bool send(int socket, std::string_view text)
    {
        while (!text.empty()) {
            const auto sent = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent < 0) {
                return false;
            }
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    std::function<EndlessBytes(const std::string &)> answerTo_;
    Poco::Net::ServerSocket socket_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<bool> isClosed_; // guarded by mutex_; whether all connections so far were closed by their clients
    int connectionCount_ = 0; // guarded by mutex_
    std::atomic<bool> isStopped_ = false;
    std::thread thread_;
};

} // namespace anvilscale::test

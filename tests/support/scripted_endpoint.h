// Endpoint whose answers a test writes byte by byte. Each connection has a thread of its own.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <thread>

namespace anvilscale::test {

struct ScriptedRequest
{
    std::string id; ///< of the X-Anvilscale-Request-Id header
    std::uint64_t connection = 0;
    std::size_t number = 0; ///< on its connection, from 1
    std::string head; ///< without its empty line
    std::string body;
};

class ScriptedEndpoint
{
public:
    /// Returns the bytes that answer a request; the connection is closed if there are none.
    using Script = std::function<std::string(const ScriptedRequest &)>;
    /// Returns for how long a new connection is not read.
    using ReadDelay = std::function<std::chrono::milliseconds(std::uint64_t connection)>;

    explicit ScriptedEndpoint(Script script, ReadDelay readDelay = {})
        : script_(std::move(script))
        , readDelay_(std::move(readDelay))
        , socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
        , thread_([this] { serve(); })
    {
    }
    ~ScriptedEndpoint()
    {
        isStopped_ = true;
        thread_.join();
        for (auto &connection : connections_) {
            connection.join();
        }
    }
    ScriptedEndpoint(const ScriptedEndpoint &) = delete;
    ScriptedEndpoint &operator=(const ScriptedEndpoint &) = delete;

    /// "IP:PORT"
    std::string address() const
    {
        return socket_.address().toString();
    }

    static std::string answer(const std::string &statusLine, const std::string &headers, const std::string &body = {})
    {
        return "HTTP/1.1 " + statusLine + "\r\n" + headers + "Content-Length: " + std::to_string(body.size())
               + "\r\n\r\n" + body;
    }
    /// Success of the endpoint itself.
    static std::string success(const std::string &id)
    {
        return answer("200 OK",
                      "X-Anvilscale-Request-Id: " + id + "\r\nX-Anvilscale-Server-Signature: sig." + id + "\r\n",
                      "answer to " + id);
    }

private:
    static constexpr int pollIntervalUs = 10'000;

    void serve()
    {
        std::uint64_t lastConnection = 0;
        while (!isStopped_) {
            if (socket_.poll(Poco::Timespan(0, pollIntervalUs), Poco::Net::Socket::SELECT_READ)) {
                connections_.emplace_back([this, number = ++lastConnection, connection = socket_.acceptConnection()] {
                    serveConnection(number, connection);
                });
            }
        }
    }

    void serveConnection(std::uint64_t number, Poco::Net::StreamSocket connection)
    {
        if (readDelay_) {
            std::this_thread::sleep_for(readDelay_(number));
        }
        std::string input;
        ScriptedRequest request;
        request.connection = number;
        while (readRequest(connection, input, request)) {
            const auto bytes = script_(request);
            const auto sent = ::send(connection.impl()->sockfd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (bytes.empty() || sent != static_cast<ssize_t>(bytes.size())) {
                return;
            }
        }
    }

    /// Returns false if the connection has ended.
    bool readRequest(Poco::Net::StreamSocket &connection, std::string &input, ScriptedRequest &request)
    {
        const std::string_view headEnd = "\r\n\r\n";
        while (true) {
            const auto head = input.find(headEnd);
            const auto bodyBytes = head == std::string::npos ? 0 : contentLength(input.substr(0, head));
            if (head != std::string::npos && input.size() >= head + headEnd.size() + bodyBytes) {
                request.head = input.substr(0, head);
                request.id = header(request.head, "x-anvilscale-request-id");
                request.body = input.substr(head + headEnd.size(), bodyBytes);
                ++request.number;
                input.erase(0, head + headEnd.size() + bodyBytes);
                return true;
            }
            if (!receive(connection, input)) {
                return false;
            }
        }
    }

    bool receive(Poco::Net::StreamSocket &connection, std::string &input) const
    {
        std::array<char, 4096> buffer{};
        while (!connection.poll(Poco::Timespan(0, pollIntervalUs), Poco::Net::Socket::SELECT_READ)) {
            if (isStopped_) {
                return false;
            }
        }
        const auto received = ::recv(connection.impl()->sockfd(), buffer.data(), buffer.size(), 0);
        input.append(buffer.data(), received > 0 ? static_cast<std::size_t>(received) : 0);
        return received > 0;
    }

    static std::string header(const std::string &head, const std::string &name)
    {
        const auto found = Poco::toLower(head).find("\r\n" + name + ":");
        if (found == std::string::npos) {
            return {};
        }
        const auto begin = found + name.size() + 3;
        return Poco::trim(head.substr(begin, head.find("\r\n", begin) - begin));
    }

    static std::size_t contentLength(const std::string &head)
    {
        const auto text = header(head, "content-length");
        return text.empty() ? 0 : std::stoul(text);
    }

    Script script_;
    ReadDelay readDelay_;
    Poco::Net::ServerSocket socket_;
    std::list<std::thread> connections_; // thread_ only, until it has ended
    std::atomic<bool> isStopped_ = false;
    std::thread thread_;
};

} // namespace anvilscale::test

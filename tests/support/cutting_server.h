// Server that answers each connection once, with bytes that a test gives, and closes it in order after them.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace anvilscale::test {

class CuttingServer
{
public:
    /// `answerTo`: the bytes that answer a request, given with its head and body.
    explicit CuttingServer(std::function<std::string(const std::string &request)> answerTo)
        : answerTo_(std::move(answerTo))
        , socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
        , thread_([this] { serve(); })
    {
    }
    ~CuttingServer()
    {
        isStopped_ = true;
        thread_.join();
    }
    CuttingServer(const CuttingServer &) = delete;
    CuttingServer &operator=(const CuttingServer &) = delete;

    /// "IP:PORT"
    std::string address() const
    {
        return socket_.address().toString();
    }
    std::uint16_t port() const
    {
        return socket_.address().port();
    }

private:
    void serve()
    {
        while (!isStopped_) {
            if (!socket_.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            auto connection = socket_.acceptConnection();
            connection.setReceiveTimeout(Poco::Timespan(20, 0));
            const auto request = readRequest(connection.impl()->sockfd());
            if (request.empty()) {
                continue;
            }
            const auto answer = answerTo_(request);
            ::send(connection.impl()->sockfd(), answer.data(), answer.size(), MSG_NOSIGNAL);
        }
    }

    /// Reads a request whole, so that closing the connection does not reset it.
    static std::string readRequest(int socket)
    {
        std::string input;
        std::array<char, 4096> buffer{};
        while (!isWhole(input)) {
            const auto received = ::recv(socket, buffer.data(), buffer.size(), 0);
            if (received <= 0) {
                return {};
            }
            input.append(buffer.data(), static_cast<std::size_t>(received));
        }
        return input;
    }

    static bool isWhole(const std::string &input)
    {
        constexpr std::string_view headEnd = "\r\n\r\n";
        constexpr std::string_view lengthHeader = "\r\nContent-Length: ";
        const auto end = input.find(headEnd);
        if (end == std::string::npos) {
            return false;
        }
        const auto at = input.find(lengthHeader);
        const auto bodyBytes = at < end ? std::stoul(input.substr(at + lengthHeader.size())) : 0;
        return input.size() >= end + headEnd.size() + bodyBytes;
    }

    std::function<std::string(const std::string &)> answerTo_;
    Poco::Net::ServerSocket socket_;
    std::atomic<bool> isStopped_ = false;
    std::thread thread_;
};

/// An answer of status 200 with a body, framed in each way in which the end of the body can be told from a cut.
inline std::array<std::string, 3> framedAnswers(const std::string &body, const std::string &headers = {})
{
    const auto hex = [](std::size_t number) {
        std::array<char, 20> text{};
        return std::string(text.data(),
                           static_cast<std::size_t>(std::snprintf(text.data(), text.size(), "%zx", number)));
    };
    const std::string head = "HTTP/1.1 200 OK\r\n" + headers;
    const auto half = body.size() / 2;
    const auto chunks = hex(half) + "\r\n" + body.substr(0, half) + "\r\n" + hex(body.size() - half) + "\r\n"
                        + body.substr(half) + "\r\n0\r\n";
    return {head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
            head + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n" + chunks + "X-End: 1\r\n\r\n"};
}

} // namespace anvilscale::test

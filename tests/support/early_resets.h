// Server that answers an upload before it has read it whole, and resets the connection. Busy threads beside it vary the
// moment at which the other side notices.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace anvilscale::test {

/// Threads that compute until this is destroyed.
class BusyThreads
{
public:
    explicit BusyThreads(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            threads_.emplace_back([this] {
                while (!isStopped_) {
                    ++work_;
                }
            });
        }
    }
    ~BusyThreads()
    {
        isStopped_ = true;
        for (auto &thread : threads_) {
            thread.join();
        }
    }
    BusyThreads(const BusyThreads &) = delete;
    BusyThreads &operator=(const BusyThreads &) = delete;

private:
    std::atomic<bool> isStopped_ = false;
    std::atomic<std::uint64_t> work_ = 0;
    std::vector<std::thread> threads_;
};

class EarlyResetServer
{
public:
    /// Returns the bytes that answer a request, given its head.
    using Script = std::function<std::string(const std::string &head)>;

    /// The seed selects how much of each upload is read, and how fast.
    EarlyResetServer(std::uint32_t seed, Script script)
        : random_(seed)
        , script_(std::move(script))
        , socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
        socket_.setReceiveBufferSize(receiveBufferBytes);
        thread_ = std::thread([this] { serve(); });
    }
    ~EarlyResetServer()
    {
        isStopped_ = true;
        thread_.join();
    }
    EarlyResetServer(const EarlyResetServer &) = delete;
    EarlyResetServer &operator=(const EarlyResetServer &) = delete;

    /// "IP:PORT"
    std::string address() const
    {
        return socket_.address().toString();
    }
    /// Connections that were reset.
    std::size_t resets() const
    {
        return resets_;
    }

private:
    static constexpr int receiveBufferBytes = 4096;
    static constexpr int pollIntervalUs = 10'000;

    void serve()
    {
        while (!isStopped_) {
            if (socket_.poll(Poco::Timespan(0, pollIntervalUs), Poco::Net::Socket::SELECT_READ)) {
                auto connection = socket_.acceptConnection();
                connection.setReceiveTimeout(Poco::Timespan(20, 0));
                answer(connection);
            }
        }
    }

    void answer(Poco::Net::StreamSocket &connection)
    {
        const std::size_t readBytes = random_() % 4 == 0 ? 0 : random_() % (300U << 10);
        const auto pause = std::chrono::microseconds(random_() % 200);
        const auto pauseBeforeReset = std::chrono::microseconds(random_() % 2 == 0 ? 0 : random_() % 3000);
        std::string input;
        std::array<char, 4096> buffer{};
        while (input.find("\r\n\r\n") == std::string::npos || input.size() < readBytes) {
            const auto received = ::recv(connection.impl()->sockfd(), buffer.data(), buffer.size(), 0);
            if (received <= 0) {
                return;
            }
            input.append(buffer.data(), static_cast<std::size_t>(received));
            std::this_thread::sleep_for(pause);
        }
        const auto bytes = script_(input.substr(0, input.find("\r\n\r\n")));
        ::send(connection.impl()->sockfd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        std::this_thread::sleep_for(pauseBeforeReset);
        ++resets_;
        connection.setLinger(true, 0);
        connection.close();
    }

    std::mt19937 random_; // thread_ only
    Script script_;
    Poco::Net::ServerSocket socket_;
    std::atomic<std::size_t> resets_ = 0;
    std::atomic<bool> isStopped_ = false;
    std::thread thread_;
};

} // namespace anvilscale::test

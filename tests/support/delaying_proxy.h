// Proxy that passes requests on at once and answers late.
#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <list>
#include <string>
#include <thread>

namespace anvilscale::test {

class DelayingProxy
{
public:
    /// `target`: port of 127.0.0.1 to which connections are passed on.
    explicit DelayingProxy(unsigned target)
        : target_("127.0.0.1", static_cast<Poco::UInt16>(target))
        , socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
        , thread_([this] { serve(); })
    {
    }
    ~DelayingProxy()
    {
        isStopped_ = true;
        thread_.join();
    }
    DelayingProxy(const DelayingProxy &) = delete;
    DelayingProxy &operator=(const DelayingProxy &) = delete;

    unsigned port() const
    {
        return socket_.address().port();
    }
    /// Of all bytes of answers that arrive from now on.
    void setDelay(std::chrono::milliseconds delay)
    {
        delay_ = delay;
    }

private:
    using Clock = std::chrono::steady_clock;

    struct LateBytes
    {
        Clock::time_point dueAt;
        std::string bytes; // empty at the end of the connection
    };
    struct Connection
    {
        Poco::Net::StreamSocket client;
        Poco::Net::StreamSocket server;
        std::deque<LateBytes> answers{};
        bool isServerClosed = false;
    };

    void serve()
    {
        while (!isStopped_) {
            if (socket_.poll(Poco::Timespan(0, 2000), Poco::Net::Socket::SELECT_READ)) {
                accept();
            }
            connections_.remove_if([this](Connection &connection) { return !forward(connection); });
        }
    }

    void accept()
    {
        auto client = socket_.acceptConnection();
        try {
            connections_.push_back({client, Poco::Net::StreamSocket(target_)});
        } catch (const Poco::Exception &) {
            client.close();
        }
    }

    /// Returns false at the end of the connection.
    bool forward(Connection &connection)
    {
        try {
            std::string bytes;
            if (isReadable(connection.client)) {
                bytes = receive(connection.client);
                if (bytes.empty()) {
                    return false;
                }
                connection.server.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
            }
            if (!connection.isServerClosed && isReadable(connection.server)) {
                bytes = receive(connection.server);
                connection.isServerClosed = bytes.empty();
                connection.answers.push_back({Clock::now() + delay_.load(), bytes});
            }
            while (!connection.answers.empty() && connection.answers.front().dueAt <= Clock::now()) {
                bytes = connection.answers.front().bytes;
                if (bytes.empty()) {
                    return false;
                }
                connection.answers.pop_front();
                connection.client.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
            }
            return true;
        } catch (const Poco::Exception &) {
            return false;
        }
    }

    static bool isReadable(const Poco::Net::StreamSocket &socket)
    {
        return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }

    static std::string receive(Poco::Net::StreamSocket &socket)
    {
        std::array<char, 65536> buffer{};
        const int received = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        return {buffer.data(), static_cast<std::size_t>(std::max(received, 0))};
    }

    Poco::Net::SocketAddress target_;
    Poco::Net::ServerSocket socket_;
    std::atomic<std::chrono::milliseconds> delay_{std::chrono::milliseconds(0)};
    std::atomic<bool> isStopped_ = false;
    std::list<Connection> connections_;
    std::thread thread_;
};

} // namespace anvilscale::test

// Plain endpoint that reads the head of each request and leaves its body unread until it is told to go on.
#pragma once

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace anvilscale::test {

/// Answers a request with the status 200 once it has read its body, of which it reads nothing before release().
class StalledReader
{
public:
    /// `answerBytes`: size of the body of its answers.
    explicit StalledReader(std::size_t answerBytes = 4)
        : answerBytes_(answerBytes)
        , thread_([this] { acceptAll(); })
    {
    }
    ~StalledReader()
    {
        release();
        isStopped_ = true;
        thread_.join();
        for (auto &reader : readers_) {
            reader.join();
        }
    }
    StalledReader(const StalledReader &) = delete;
    StalledReader &operator=(const StalledReader &) = delete;

    /// "IP:PORT"
    std::string address() const
    {
        return listener_.address().toString();
    }
    void release()
    {
        const std::scoped_lock lock(mutex_);
        isReleased_ = true;
        changed_.notify_all();
    }
    /// True if the head of the request has arrived.
    bool hasHead(const std::string &id) const
    {
        const std::scoped_lock lock(mutex_);
        return executions_.contains(id);
    }
    /// Number of times that the whole request has arrived.
    int executionCount(const std::string &id) const
    {
        const std::scoped_lock lock(mutex_);
        const auto found = executions_.find(id);
        return found == executions_.end() ? 0 : found->second;
    }

private:
    static constexpr int backlog = 1024; // of connections that come at once
    static constexpr int smallBuffer = 64 << 10; // the kernel takes little of a body that is not read

    static Poco::Net::ServerSocket listen()
    {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        socket.setReceiveBufferSize(smallBuffer);
        socket.listen(backlog);
        return socket;
    }

    void acceptAll()
    {
        while (!isStopped_) {
            if (listener_.poll(Poco::Timespan(0, 10000), Poco::Net::Socket::SELECT_READ)) {
                readers_.emplace_back([this, socket = listener_.acceptConnection()]() mutable { serve(socket); });
            }
        }
    }

    void serve(Poco::Net::StreamSocket &socket)
    {
        std::string input;
        try {
            while (serveOne(socket, input)) {
            }
        } catch (const Poco::Exception &) { // NOLINT(bugprone-empty-catch): the client has left
        }
    }

    bool serveOne(Poco::Net::StreamSocket &socket, std::string &input)
    {
        auto end = input.find("\r\n\r\n");
        for (; end == std::string::npos; end = input.find("\r\n\r\n")) {
            if (!receive(socket, input)) {
                return false;
            }
        }
        const auto head = input.substr(0, end + 2);
        input.erase(0, end + 4);
        const auto id = headerOf(head, "X-Anvilscale-Request-Id: ");
        std::unique_lock lock(mutex_);
        executions_[id];
        changed_.wait(lock, [this] { return isReleased_; });
        lock.unlock();
        auto remaining = std::stoul(headerOf(head, "Content-Length: "));
        while (remaining > input.size()) {
            remaining -= input.size();
            input.clear();
            if (!receive(socket, input)) {
                return false;
            }
        }
        input.erase(0, remaining);
        lock.lock();
        ++executions_[id];
        lock.unlock();
        const auto answer = "HTTP/1.1 200 OK\r\nX-Anvilscale-Request-Id: " + id
                            + "\r\nX-Anvilscale-Server-Signature: s\r\nContent-Length: " + std::to_string(answerBytes_)
                            + "\r\n\r\n" + std::string(answerBytes_, 'a');
        std::size_t sent = 0;
        while (sent < answer.size()) {
            sent += static_cast<std::size_t>(
                socket.sendBytes(answer.data() + sent, static_cast<int>(answer.size() - sent)));
        }
        return true;
    }

    /// Waits for further bytes; returns false if there are no more.
    bool receive(Poco::Net::StreamSocket &socket, std::string &input) const
    {
        while (!socket.poll(Poco::Timespan(0, 10000), Poco::Net::Socket::SELECT_READ)) {
            if (isStopped_) {
                return false;
            }
        }
        std::array<char, 65536> buffer{};
        const int received = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        input.append(buffer.data(), static_cast<std::size_t>(std::max(received, 0)));
        return received > 0;
    }

    static std::string headerOf(const std::string &head, const std::string &name)
    {
        const auto at = head.find(name);
        return at == std::string::npos ? "0" : head.substr(at + name.size(), head.find('\r', at) - at - name.size());
    }

    const std::size_t answerBytes_;
    Poco::Net::ServerSocket listener_ = listen();
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool isReleased_ = false; // guarded by mutex_
    std::map<std::string, int> executions_; // guarded by mutex_; by request id, from the arrival of its head
    std::atomic<bool> isStopped_ = false;
    std::vector<std::thread> readers_;
    std::thread thread_;
};

} // namespace anvilscale::test

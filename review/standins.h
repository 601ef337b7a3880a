// Parts that the scripts of the review share: record, channels, and stand-ins of the users' platform with its store and
// replicas of a plain service.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit statuses of a script.
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

// Ports of the settings that run.sh fills in, and of the replicas.
constexpr std::uint16_t readyPort = 8141;
constexpr std::uint16_t storePort = 8142;
constexpr std::uint16_t frontendPort = 8149;
constexpr std::uint16_t firstReplicaPort = 8151;
constexpr int replicaCount = 3;

/// The record of the run; lines carry the time since its start.
class Record
{
public:
    explicit Record(const std::string &file)
        : out_(file)
    {
    }
    void add(const std::string &line)
    {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
        const std::scoped_lock lock(mutex_);
        out_ << elapsed << " ms  " << line << "\n" << std::flush;
    }

private:
    const Clock::time_point start_ = Clock::now();
    std::mutex mutex_;
    std::ofstream out_;
};

inline sockaddr_in makeAddress(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int openListener(const std::string &ip, std::uint16_t port, int receiveBuffer)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (receiveBuffer != 0) {
        setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    const auto address = makeAddress(ip, port);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(listener, SOMAXCONN) != 0) {
        return -1;
    }
    return listener;
}

/// One connection, closed on destruction.
class Channel
{
public:
    explicit Channel(int fd)
        : fd_(fd)
    {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Channel()
    {
        close(fd_);
    }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    void setTimeout(milliseconds timeout) const
    {
        const timeval time{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
        setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
        setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    }
    bool sendAll(std::string_view data) const
    {
        while (!data.empty()) {
            const auto sent = send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            data.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    /// Reads the next head, without the empty line that ends it.
    std::optional<std::string> readHead()
    {
        while (true) {
            const auto end = input_.find("\r\n\r\n");
            if (end != std::string::npos) {
                auto head = input_.substr(0, end);
                input_.erase(0, end + 4);
                return head;
            }
            if (!receive()) {
                return std::nullopt;
            }
        }
    }
    /// Reads and drops a body; `bytesPerSecond` limits the speed, 0 is no limit.
    bool skipBody(std::size_t bytes, double bytesPerSecond)
    {
        const auto start = Clock::now();
        std::size_t done = 0;
        while (true) {
            const auto part = std::min(bytes - done, input_.size());
            input_.erase(0, part);
            done += part;
            if (done == bytes) {
                return true;
            }
            if (bytesPerSecond > 0) {
                const auto due = std::chrono::duration<double>(static_cast<double>(done) / bytesPerSecond);
                std::this_thread::sleep_until(start + std::chrono::duration_cast<Clock::duration>(due));
            }
            if (!receive()) {
                return false;
            }
        }
    }

private:
    bool receive()
    {
        std::array<char, 65536> buffer{};
        const auto received = recv(fd_, buffer.data(), buffer.size(), 0);
        if (received <= 0) {
            return false;
        }
        input_.append(buffer.data(), static_cast<std::size_t>(received));
        return true;
    }

    int fd_;
    std::string input_;
};

/// Value of a header, found by its lower-case name; empty if it is missing.
inline std::string headerOf(const std::string &head, const std::string &name)
{
    std::string lower;
    for (const char c : head) {
        lower.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
    }
    const auto at = lower.find("\r\n" + name + ":");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = head.find_first_not_of(' ', at + name.size() + 3);
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

inline std::size_t lengthOf(const std::string &head)
{
    const auto text = headerOf(head, "content-length");
    return text.empty() ? 0 : static_cast<std::size_t>(std::stoull(text));
}

inline std::string encodeBase64(const std::string &text)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = (bits << 8U) | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            const auto digit = (bits >> (18 - 6 * k)) & 63U;
            result.push_back(k <= text.size() - i ? digits[digit] : '=');
        }
    }
    return result;
}

/// Calls `handler` with each new channel of the listener, on a thread of its own.
template<class Handler>
void serve(int listener, Handler handler)
{
    if (listener < 0) {
        return;
    }
    std::thread([listener, handler] {
        while (true) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                std::thread([fd, handler] {
                    Channel channel(fd);
                    handler(channel);
                }).detach();
            }
        }
    }).detach();
}

/// The platform's store. Holds one configuration and the records of the replicas, which do not change.
class Store
{
public:
    Store(std::string address, int timeoutMs)
        : address_(std::move(address))
        , timeoutMs_(timeoutMs)
    {
    }
    bool start()
    {
        const int listener = openListener(address_, storePort, 0);
        serve(listener, [this](Channel &channel) { answer(channel); });
        return listener >= 0;
    }

private:
    std::string items() const
    {
        const std::string config =
            R"({"version":1,"routes":[{"name":"r-1","hostname":"h.example","prefix":"/w/","type":"non_idempotent",)"
            R"("timeout_ms":)"
            + std::to_string(timeoutMs_)
            + R"(,"target_latency_ms":150,"priority":2,"service":"roster","max_attempts":1}],)"
              R"("services":[{"name":"roster","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],)"
              R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
              R"("idle_timeout_ms":15000}})";
        auto result = item("op/config", config, 1);
        for (int i = 0; i < replicaCount; ++i) {
            const auto record = R"({"service":"roster","address":")" + address_ + ":"
                                + std::to_string(firstReplicaPort + i)
                                + R"(","zone":"tw-north-a","version":"v1","slots":6,"state":"ready",)"
                                + R"("cold_left_ms":0,"sequence":1})";
            result += "," + item("servers/i-" + std::to_string(i), record, 2 + i);
        }
        return result;
    }
    static std::string item(const std::string &key, const std::string &value, int revision)
    {
        const auto number = std::to_string(revision);
        return R"({"key":")" + key + R"(","value":")" + encodeBase64(value) + R"(","revision":)" + number
               + R"(,"created":)" + number + R"(,"lease":0})";
    }
    void answer(Channel &channel) const
    {
        while (const auto head = channel.readHead()) {
            channel.skipBody(lengthOf(*head), 0);
            const auto wait = head->find("wait_ms=");
            if (wait != std::string::npos) {
                std::this_thread::sleep_for(milliseconds(std::stoi(head->substr(wait + 8))));
            }
            const std::string revision = std::to_string(1 + replicaCount);
            const auto body =
                wait == std::string::npos
                    ? R"({"items":[)" + items() + R"(],"has_more":false,"store_revision":)" + revision + "}"
                    : R"({"events":[],"store_revision":)" + revision + "}";
            channel.sendAll("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                            + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
    }

    std::string address_;
    int timeoutMs_; // of the route
};

/// A complete answer of a replica to the request with this id.
inline std::string replicaAnswer(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nX-Anvilscale-Request-Id: " + id + "\r\nX-Anvilscale-Server-Signature: s." + id
           + "\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\ndone";
}

/// A request of a client.
inline std::string clientRequest(const std::string &id, milliseconds callerTimeout, std::size_t bodyBytes)
{
    return "POST /w/" + id + " HTTP/1.1\r\nHost: h.example\r\nX-Anvilscale-Request-Id: " + id
           + "\r\nX-Anvilscale-Deadline-Ms: " + std::to_string(callerTimeout.count())
           + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
}

inline std::optional<int> connectTo(const std::string &ip, std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = makeAddress(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return std::nullopt;
    }
    return fd;
}

/// Returns whether the entry answers the platform's probe with 200.
inline bool isReady(const std::string &address)
{
    const auto fd = connectTo(address, readyPort);
    if (!fd) {
        return false;
    }
    Channel channel(*fd);
    channel.setTimeout(milliseconds(1000));
    channel.sendAll("GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    const auto head = channel.readHead();
    return head && head->starts_with("HTTP/1.1 200");
}

/// Waits until the entry counts as ready; returns false if it does not within ten seconds.
inline bool awaitReady(const std::string &address)
{
    for (int i = 0; i < 100; ++i) {
        if (isReady(address)) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

/// Starts a process of the system with its output going to `output`.
inline pid_t startProcess(const std::string &program, const std::string &settings, int output)
{
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // no process outlives the script
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        setenv("ANVILSCALE_SETTINGS", settings.c_str(), 1);
        execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), static_cast<char *>(nullptr));
        _exit(127);
    }
    return child;
}

inline void endProcess(pid_t process)
{
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
}

} // namespace review

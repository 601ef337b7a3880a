// Rig of the second review: the project's processes on loopback addresses, and small stand-ins of the platform.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline std::string variable(const char *name, const std::string &otherwise)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe): read only
    return value == nullptr ? otherwise : value;
}

inline bool hasTrouble()
{
    return variable("TROUBLE", "1") != "0";
}

inline void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

template<class Condition>
bool eventually(Condition condition, milliseconds timeout)
{
    const auto end = Clock::now() + timeout;
    while (Clock::now() < end) {
        if (condition()) {
            return true;
        }
        pause(milliseconds(5));
    }
    return condition();
}

/// Lines with the time since the start of the case, written to record.txt.
class Record
{
public:
    explicit Record(const std::string &file)
        : out_(file)
        , start_(Clock::now())
    {
    }
    void add(const std::string &line)
    {
        const std::scoped_lock lock(mutex_);
        const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
        out_ << ms << " ms  " << line << std::endl;
    }

private:
    std::mutex mutex_; // guards all below
    std::ofstream out_;
    Clock::time_point start_;
};

// ---- sockets ----

inline sockaddr_in socketAddress(const std::string &ip, unsigned port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// A listening socket; -1 if the port is taken.
inline int listenAt(const std::string &ip, unsigned port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = socketAddress(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 256) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// A port below the ephemeral range that is free at this moment on the addresses that the cases use.
inline unsigned freePort()
{
    static unsigned next = 21'000 + (static_cast<unsigned>(::getpid()) * 37) % 9'000;
    const auto isFree = [](const std::string &ip, unsigned port) {
        const int fd = listenAt(ip, port);
        if (fd >= 0) {
            ::close(fd);
        }
        return fd >= 0;
    };
    for (int i = 0; i < 2'000; ++i) {
        const unsigned port = next++;
        bool isFreeEverywhere = isFree("127.0.0.1", port);
        for (int last = 1; last <= 9; ++last) {
            isFreeEverywhere = isFreeEverywhere && isFree("127.0.1." + std::to_string(last), port);
        }
        if (isFreeEverywhere) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

inline bool sendAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline int connectTo(const std::string &ip, unsigned port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = socketAddress(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Message
{
    std::string start; // request or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isComplete = false;

    std::string header(const std::string &name, const std::string &otherwise = {}) const
    {
        for (const auto &[key, value] : headers) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return otherwise;
    }
    std::string word(std::size_t index) const
    {
        std::istringstream words(start);
        std::string result;
        for (std::size_t i = 0; i <= index; ++i) {
            result.clear();
            words >> result;
        }
        return result;
    }
    std::string method() const
    {
        return word(0);
    }
    std::string target() const
    {
        return word(1);
    }
    std::string path() const
    {
        const auto text = target();
        return text.substr(0, text.find('?'));
    }
    std::string query(const std::string &name) const
    {
        const auto text = target();
        const auto at = text.find('?');
        std::istringstream items(at == std::string::npos ? std::string() : text.substr(at + 1));
        std::string item;
        while (std::getline(items, item, '&')) {
            if (item.rfind(name + "=", 0) == 0) {
                return item.substr(name.size() + 1);
            }
        }
        return {};
    }
    int status() const
    {
        return std::atoi(word(1).c_str());
    }
};

/// Reads messages from a connection in sequence.
class Reader
{
public:
    explicit Reader(int fd)
        : fd_(fd)
    {
    }
    /// Empty if the connection ends before a head is complete.
    std::optional<Message> next(bool isAnswer)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill()) {
                return std::nullopt;
            }
        }
        Message message;
        std::istringstream lines(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (message.start.empty()) {
                message.start = line;
            } else if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                message.headers.emplace_back(line.substr(0, colon),
                                             value == std::string::npos ? std::string() : line.substr(value));
            }
        }
        readBody(message, isAnswer);
        return message;
    }

private:
    bool fill()
    {
        char part[16384];
        const auto count = ::recv(fd_, part, sizeof part, 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(part, static_cast<std::size_t>(count));
        return true;
    }
    bool take(std::size_t count, std::string &out)
    {
        while (buffer_.size() < count) {
            if (!fill()) {
                out += buffer_;
                return false;
            }
        }
        out += buffer_.substr(0, count);
        buffer_.erase(0, count);
        return true;
    }
    void readBody(Message &message, bool isAnswer)
    {
        const auto length = message.header("Content-Length");
        if (!length.empty()) {
            message.isComplete = take(std::stoul(length), message.body);
        } else if (lower(message.header("Transfer-Encoding")) == "chunked") {
            message.isComplete = readChunks(message.body);
        } else if (isAnswer) {
            while (fill()) {
            }
            message.body = std::exchange(buffer_, {});
            message.isComplete = true;
        } else {
            message.isComplete = true;
        }
    }
    bool readChunks(std::string &body)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill()) {
                    return false;
                }
            }
            const auto size = std::stoul(buffer_.substr(0, end), nullptr, 16);
            buffer_.erase(0, end + 2);
            std::string lineEnd;
            if (!take(size, body) || !take(2, lineEnd)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }

    int fd_;
    std::string buffer_;
};

/// Serves each connection in a thread of its own.
class Server
{
public:
    /// Returns whether the connection is kept.
    using Handler = std::function<bool(int fd, const Message &)>;

    Server(std::string ip, unsigned port, Handler handler)
        : ip_(std::move(ip))
        , port_(port)
        , handler_(std::move(handler))
    {
        open();
    }
    ~Server()
    {
        close();
        for (auto &thread : threads_) {
            thread.join();
        }
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    void open()
    {
        listener_ = listenAt(ip_, port_);
        if (listener_ < 0) {
            throw std::runtime_error("port is taken");
        }
        const std::scoped_lock lock(mutex_);
        threads_.emplace_back([this, fd = listener_.load()] { accept(fd); });
    }
    /// Ends the listener and resets all connections, as the end of a process does.
    void close()
    {
        const int fd = listener_.exchange(-1);
        if (fd >= 0) {
            ::shutdown(fd, SHUT_RDWR);
            ::close(fd);
        }
        const std::scoped_lock lock(mutex_);
        for (const int connection : connections_) {
            const linger reset{1, 0};
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            ::shutdown(connection, SHUT_RD); // ends the reader; the close that follows resets
        }
    }
    unsigned port() const
    {
        return port_;
    }
    std::string address() const
    {
        return ip_ + ":" + std::to_string(port_);
    }

private:
    void accept(int listener)
    {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (listener_ != listener) {
                    return;
                }
                pause(milliseconds(1));
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::scoped_lock lock(mutex_);
            connections_.insert(fd);
            threads_.emplace_back([this, fd] { serve(fd); });
        }
    }
    void serve(int fd)
    {
        Reader reader(fd);
        while (const auto message = reader.next(false)) {
            if (!message->isComplete || !handler_(fd, *message)) {
                break;
            }
        }
        const std::scoped_lock lock(mutex_);
        connections_.erase(fd);
        ::close(fd);
    }

    std::string ip_;
    unsigned port_;
    Handler handler_;
    std::atomic<int> listener_ = -1;
    std::mutex mutex_; // guards all below
    std::set<int> connections_;
    std::vector<std::thread> threads_;
};

inline std::string answerText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline bool sendJson(int fd, int status, const std::string &body)
{
    return sendAll(fd, answerText(status, "Content-Type: application/json\r\n", body));
}

// ---- JSON, as far as the stand-ins need it ----

inline std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

/// Value of the first member with this name, without quotes; empty if there is none.
inline std::string member(const std::string &json, const std::string &name)
{
    auto at = json.find("\"" + name + "\"");
    if (at == std::string::npos) {
        return {};
    }
    at = json.find_first_not_of(" :", at + name.size() + 2);
    if (at == std::string::npos) {
        return {};
    }
    if (json[at] == '"') {
        return json.substr(at + 1, json.find('"', at + 1) - at - 1);
    }
    return json.substr(at, json.find_first_of(",}] ", at) - at);
}

inline std::string base64(const std::string &text)
{
    static constexpr char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = bits << 8U | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            result += i + k > text.size() ? '=' : letters[bits >> (18 - 6 * k) & 63U];
        }
    }
    return result;
}

/// The platform's store: reads, watches and writes, as PROTOCOL.md describes them. Leases never end, and the history is
/// kept whole.
class Store
{
public:
    Store()
        : server_("127.0.0.1", freePort(), [this](int fd, const Message &message) { return handle(fd, message); })
    {
    }
    std::string address() const
    {
        return server_.address();
    }
    void put(const std::string &key, const std::string &value)
    {
        const std::scoped_lock lock(mutex_);
        putEncoded(key, base64(value));
    }
    void remove(const std::string &key)
    {
        const std::scoped_lock lock(mutex_);
        items_.erase(key);
        ++revision_;
        history_.emplace_back(revision_, "{\"key\":" + quoted(key) + ",\"revision\":" + std::to_string(revision_)
                                             + ",\"tombstone\":true}");
        changed_.notify_all();
    }

private:
    struct Item
    {
        std::int64_t created = 0;
        std::int64_t revision = 0;
        std::string text;
    };

    void putEncoded(const std::string &key, const std::string &value)
    {
        ++revision_;
        auto &item = items_[key];
        item.created = item.created == 0 ? revision_ : item.created;
        item.revision = revision_;
        item.text = "{\"key\":" + quoted(key) + ",\"value\":" + quoted(value) + ",\"revision\":"
                    + std::to_string(revision_) + ",\"created\":" + std::to_string(item.created) + ",\"lease\":0}";
        history_.emplace_back(revision_, item.text);
        changed_.notify_all();
    }
    bool handle(int fd, const Message &message)
    {
        const auto path = message.path();
        if (path == "/api/kv-range") {
            return sendJson(fd, 200, range(message.query("prefix")));
        }
        if (path == "/api/kv-watch") {
            return sendJson(fd, 200, watch(message));
        }
        if (path == "/api/kv-txn") {
            return write(fd, message.body);
        }
        if (path == "/api/kv-lease") {
            return sendJson(fd, 200, R"({"lease":1,"ttl_ms":60000})");
        }
        return sendJson(fd, 404, "{}");
    }
    std::string range(const std::string &prefix)
    {
        const std::scoped_lock lock(mutex_);
        std::string items;
        for (const auto &[key, item] : items_) {
            if (key.rfind(prefix, 0) == 0) {
                items += (items.empty() ? "" : ",") + item.text;
            }
        }
        return "{\"items\":[" + items + "],\"has_more\":false,\"store_revision\":" + std::to_string(revision_) + "}";
    }
    std::string watch(const Message &message)
    {
        std::unique_lock lock(mutex_);
        const auto after = std::atoll(message.query("after").c_str());
        changed_.wait_for(lock, milliseconds(std::atoll(message.query("wait_ms").c_str())),
                          [&] { return revision_ > after; });
        std::string events;
        for (const auto &[revision, text] : history_) {
            if (revision > after) {
                events += (events.empty() ? "" : ",") + text;
            }
        }
        return "{\"events\":[" + events + "],\"store_revision\":" + std::to_string(revision_) + "}";
    }
    /// Writes of this system name one item each; one that deletes under a condition is not needed by the cases.
    bool write(int fd, const std::string &body)
    {
        const std::scoped_lock lock(mutex_);
        const auto puts = body.find("\"puts\"");
        auto at = puts == std::string::npos ? puts : body.find('{', puts);
        while (at != std::string::npos) {
            const auto item = body.substr(at, body.find('}', at) - at + 1);
            putEncoded(member(item, "key"), member(item, "value"));
            at = body.find('{', at + 1);
        }
        return sendJson(fd, 200, "{\"revision\":" + std::to_string(revision_) + "}");
    }

    std::mutex mutex_; // guards all below
    std::condition_variable changed_;
    std::int64_t revision_ = 100;
    std::map<std::string, Item> items_;
    std::vector<std::pair<std::int64_t, std::string>> history_;
    Server server_;
};

// ---- processes of the project ----

/// Renders a settings template: values, lists of one and sections that are present or not.
inline std::string render(std::string text, const std::map<std::string, std::string> &fields)
{
    std::size_t at = 0;
    while ((at = text.find("{{#")) != std::string::npos) {
        const auto nameEnd = text.find("}}", at);
        const auto name = text.substr(at + 3, nameEnd - at - 3);
        const auto closing = "{{/" + name + "}}";
        const auto end = text.find(closing, nameEnd);
        const auto found = fields.find(name);
        auto part = found == fields.end() ? std::string() : text.substr(nameEnd + 2, end - nameEnd - 2);
        for (auto dot = part.find("{{.}}"); dot != std::string::npos; dot = part.find("{{.}}")) {
            part.replace(dot, 5, found->second);
        }
        text.replace(at, end + closing.size() - at, part);
    }
    while ((at = text.find("{{")) != std::string::npos) {
        const auto end = text.find("}}", at);
        auto name = text.substr(at + 2, end - at - 2);
        const auto pipe = name.find("|json");
        const bool isJson = pipe != std::string::npos;
        name = name.substr(0, pipe);
        const auto found = fields.find(name);
        const auto value = found == fields.end() ? std::string() : found->second;
        text.replace(at, end + 2 - at, isJson ? quoted(value) : value);
    }
    return text;
}

inline std::string readFile(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        throw std::runtime_error("no file " + file);
    }
    return {std::istreambuf_iterator<char>(in), {}};
}

/// A child process, killed on destruction.
class Process
{
public:
    Process(const std::vector<std::string> &command, const std::string &logFile, const std::string &settings)
    {
        std::vector<char *> arguments;
        for (const auto &part : command) {
            arguments.push_back(const_cast<char *>(part.c_str()));
        }
        arguments.push_back(nullptr);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // prevents orphans
            const int file = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
            ::dup2(file, STDERR_FILENO);
            ::dup2(file, STDOUT_FILENO);
            ::close_range(STDERR_FILENO + 1, ~0U, 0);
            ::setenv("ANVILSCALE_SETTINGS", settings.c_str(), 1); // NOLINT(concurrency-mt-unsafe): one thread
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
    }
    ~Process()
    {
        end(SIGKILL);
    }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const
    {
        ::kill(pid_, number);
    }
    bool isRunning()
    {
        int status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ > 0;
    }
    void end(int number)
    {
        if (isRunning()) {
            ::kill(pid_, number);
            ::kill(pid_, SIGCONT);
            int status = 0;
            ::waitpid(pid_, &status, 0);
            pid_ = -1;
        }
    }

private:
    pid_t pid_ = -1;
};

/// An entry or a sidecar, started by the deploy file's command with the settings of a small deployment.
class Node
{
public:
    /// `app`: address of the engine beside a sidecar; empty for an entry.
    Node(std::string name, std::string ip, unsigned control, const std::string &store, const std::string &app)
        : name_(std::move(name))
        , isEntry_(app.empty())
        , folder_(variable("RIG_FOLDER", "/tmp"))
    {
        frontend_ = freePort();
        ready_ = freePort();
        const auto metrics = freePort();
        std::map<std::string, std::string> fields{{"node_name", name_},
                                                  {"zone", "carthage"},
                                                  {"region", "tn-north"},
                                                  {"ip", ip},
                                                  {"internal_ports.0", std::to_string(control)},
                                                  {"listen.frontend", ip + ":" + std::to_string(frontend_)},
                                                  {"listen.ready", ip + ":" + std::to_string(ready_)},
                                                  {"platform.address", store},
                                                  {"app", app},
                                                  {"bounds.drain_ms", "2000"},
                                                  {"bounds.config_apply_ms", "2000"},
                                                  {"bounds.retry_budget_ratio", "0.2"},
                                                  {"bounds.retry_budget_slack", "56"}};
        auto text = render(readFile(isEntry_ ? "deploy/entry.json" : "deploy/sidecar.json"), fields);
        const std::string fixed = "\"metricsPort\": 9464";
        if (const auto at = text.find(fixed); at != std::string::npos) {
            text.replace(at, fixed.size(), "\"metricsPort\": " + std::to_string(metrics));
        }
        std::ofstream(settingsFile()) << text;
        ip_ = std::move(ip);
        start();
    }
    void start()
    {
        std::vector<std::string> command{"target/bin/anvilscaled", "--settings", settingsFile()};
        if (isEntry_) {
            command.emplace_back("--memory-mb=260");
        }
        process_ = std::make_unique<Process>(command, logFile(), settingsFile());
    }
    Process &process()
    {
        return *process_;
    }
    const std::string &ip() const
    {
        return ip_;
    }
    unsigned frontend() const
    {
        return frontend_;
    }
    std::string log() const
    {
        return readFile(logFile());
    }
    bool isReady() const
    {
        const int fd = connectTo(ip_, ready_);
        if (fd < 0) {
            return false;
        }
        sendAll(fd, "GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        Reader reader(fd);
        const auto answer = reader.next(true);
        ::close(fd);
        return answer && answer->status() == 200;
    }

private:
    std::string settingsFile() const
    {
        return folder_ + "/" + name_ + ".json";
    }
    std::string logFile() const
    {
        return folder_ + "/" + name_ + ".log";
    }

    std::string name_;
    bool isEntry_;
    std::string folder_;
    std::string ip_;
    unsigned frontend_ = 0;
    unsigned ready_ = 0;
    std::unique_ptr<Process> process_;
};

/// Sends one request on a new channel and reads its answer; empty if the channel ends before.
inline std::optional<Message> request(const Node &node, const std::string &text, milliseconds timeout)
{
    const int fd = connectTo(node.ip(), node.frontend());
    if (fd < 0) {
        return std::nullopt;
    }
    const timeval limit{timeout.count() / 1000, timeout.count() % 1000 * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sendAll(fd, text);
    Reader reader(fd);
    auto answer = reader.next(true);
    ::close(fd);
    return answer;
}

} // namespace rig

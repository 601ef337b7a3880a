// Connections to the endpoint: non-blocking, kept for a short time, one exchange at a time.
#include "http_client.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>

#include <algorithm>

namespace anvilscale {

namespace {

constexpr std::size_t readSize = 64U << 10;
constexpr std::size_t headLimit = 64U << 10;
constexpr int readMode = Poco::Net::PollSet::POLL_READ;
constexpr int writeMode = Poco::Net::PollSet::POLL_WRITE;
constexpr int errorMode = Poco::Net::PollSet::POLL_ERROR;

} // namespace

struct HttpClient::Connection
{
    std::uint64_t key = 0;
    Poco::Net::StreamSocket socket;
    Step step = Step::Connecting;
    std::string output;
    std::size_t written = 0;
    std::string input;
    HttpResponseHead response;
    bool bodyless = false;
    bool paused = false;
    bool deadline = false; // the timer bounds the whole exchange, not only the connecting
    int interest = 0;
    TimerHandle timer;
    TimePoint idleSince;
    ExchangeHandlers handlers;
};

HttpClient::HttpClient(EventLoop &loop, HttpClientInit init)
    : loop_(loop)
    , init_(std::move(init))
    , host_(init_.address.toString())
{
}

HttpClient::~HttpClient()
{
    loop_.timers().cancel(sweep_);
    for (auto &[key, connection] : connections_) {
        loop_.timers().cancel(connection->timer);
        loop_.forget(connection->socket);
        connection->socket.close();
    }
}

const HttpClientCounts &HttpClient::counts() const
{
    return counts_;
}

HttpClient::Connection *HttpClient::takeIdle()
{
    // The one used last: its endpoint is the least likely to close it just now.
    if (idle_.empty() || EventLoop::now() - connections_.at(idle_.back())->idleSince >= init_.keepIdle) {
        return nullptr;
    }
    auto &connection = *connections_.at(idle_.back());
    idle_.pop_back();
    return &connection;
}

HttpClient::Connection *HttpClient::open()
{
    auto connection = std::make_unique<Connection>();
    auto *raw = connection.get();
    counts_.connections += 1;
    try {
        raw->socket.connectNB(init_.address);
        raw->socket.setNoDelay(true);
    } catch (const Poco::Exception &) {
        counts_.connectFailures += 1;
        return nullptr;
    }
    raw->key = ++lastKey_;
    raw->interest = writeMode | errorMode;
    loop_.watch(raw->socket, raw->interest, [this, raw](int mode) { onReady(*raw, mode); });
    connections_.emplace(raw->key, std::move(connection));
    return raw;
}

ExchangeId HttpClient::start(const EndpointRequest &request, Duration timeout, ExchangeHandlers handlers)
{
    counts_.requests += 1;
    auto *connection = request.freshConnection ? nullptr : takeIdle();
    const bool kept = connection != nullptr;
    if (!kept) {
        connection = open();
    }
    if (connection == nullptr) {
        loop_.post([end = std::move(handlers.end)] { end(ExchangeEnd::Unreachable); });
        return 0;
    }
    if (kept) {
        // A new key for the new exchange.
        auto node = connections_.extract(connection->key);
        node.key() = ++lastKey_;
        connection->key = node.key();
        connections_.insert(std::move(node));
    }
    connection->handlers = std::move(handlers);
    connection->output =
        requestHead(request.method, request.target, host_, request.headers, request.body.size(), true) + request.body;
    connection->written = 0;
    connection->input.clear();
    connection->paused = false;
    connection->bodyless = request.method == "HEAD";
    connection->step = kept ? Step::Sending : Step::Connecting;
    const auto key = connection->key;
    connection->deadline = timeout != Duration(0);
    if (connection->deadline) {
        setTimer(*connection, timeout);
    } else if (!kept) {
        setTimer(*connection, init_.connectTimeout);
    }
    if (kept) {
        send(*connection);
    }
    return key;
}

void HttpClient::cancel(ExchangeId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second->step == Step::Idle) {
        return;
    }
    auto &connection = *found->second;
    if (connection.step == Step::Connecting) {
        finish(connection, ExchangeEnd::Unreachable);
        return;
    }
    connection.step = Step::Cancelling;
    connection.paused = false;
    connection.handlers.head = nullptr;
    connection.handlers.data = nullptr;
    connection.written = connection.output.size();
    try {
        connection.socket.shutdownSend();
    } catch (const Poco::Exception &) {
        finish(connection, ExchangeEnd::CancelConfirmed); // the endpoint has closed already
        return;
    }
    setTimer(connection, init_.cancelGrace);
    updateInterest(connection);
}

void HttpClient::pause(ExchangeId id, bool paused)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second->paused == paused || found->second->step != Step::Body) {
        return;
    }
    found->second->paused = paused;
    updateInterest(*found->second);
}

// The handler is forgotten before its connection is destroyed.
void HttpClient::onReady(Connection &connection, int mode)
{
    const auto key = connection.key;
    if (connection.step == Step::Connecting) {
        onConnected(connection);
        return;
    }
    if (connection.step == Step::Idle) {
        drop(connection); // closed by the endpoint, or data that nobody asked for
        return;
    }
    if ((mode & writeMode) != 0 && connection.step == Step::Sending) {
        send(connection);
    }
    if ((mode & (readMode | errorMode)) != 0 && connections_.count(key) != 0) {
        receive(connection);
    }
}

void HttpClient::onConnected(Connection &connection)
{
    int error = 0;
    connection.socket.impl()->getOption(SOL_SOCKET, SO_ERROR, error);
    if (error != 0) {
        counts_.connectFailures += 1;
        finish(connection, ExchangeEnd::Unreachable);
        return;
    }
    if (!connection.deadline) {
        loop_.timers().cancel(connection.timer);
        connection.timer = TimerHandle{};
    }
    connection.step = Step::Sending;
    send(connection);
}

void HttpClient::send(Connection &connection)
{
    while (connection.written < connection.output.size()) {
        const auto sent = sendSome(connection.socket, std::string_view(connection.output).substr(connection.written));
        if (!sent) {
            // The endpoint may have answered before it closed: what can be read is read.
            connection.step = Step::Head;
            receive(connection);
            return;
        }
        if (*sent == 0) {
            updateInterest(connection);
            return;
        }
        connection.written += *sent;
    }
    connection.step = Step::Head;
    connection.output.clear();
    connection.written = 0;
    updateInterest(connection);
}

void HttpClient::receive(Connection &connection)
{
    std::array<char, readSize> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read
    int got = 0;
    try {
        got = connection.socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    } catch (const Poco::Exception &) {
        got = 0;
    }
    if (got < 0) {
        return;
    }
    if (got == 0) {
        onClosed(connection);
        return;
    }
    connection.input.append(buffer.data(), static_cast<std::size_t>(got));
    onInput(connection);
}

void HttpClient::onInput(Connection &connection)
{
    if (connection.step == Step::Cancelling) {
        connection.input.clear();
        return;
    }
    const auto key = connection.key;
    while (connection.step == Step::Sending || connection.step == Step::Head) {
        if (!readHead(connection)) {
            return;
        }
        if (connections_.count(key) == 0) {
            return;
        }
    }
    if (connection.step == Step::Body) {
        readBody(connection);
    }
}

// Returns true if a head was read and the connection goes on.
bool HttpClient::readHead(Connection &connection)
{
    const auto length = headLength(connection.input);
    if (length == 0) {
        if (connection.input.size() > headLimit) {
            finish(connection, ExchangeEnd::Broken);
        }
        return false;
    }
    auto parsed = parseResponseHead(std::string_view(connection.input).substr(0, length), connection.bodyless);
    connection.input.erase(0, length);
    if (!parsed) {
        finish(connection, ExchangeEnd::Broken);
        return false;
    }
    if (parsed->status / 100 == 1) {
        return true; // an interim answer
    }
    connection.response = std::move(*parsed);
    connection.step = Step::Body;
    const auto key = connection.key;
    if (connection.handlers.head) {
        connection.handlers.head(connection.response);
    }
    return connections_.count(key) != 0;
}

void HttpClient::readBody(Connection &connection)
{
    std::string data;
    auto &body = connection.response.body;
    const auto used = body.take(connection.input, data);
    connection.input.erase(0, used);
    const auto key = connection.key;
    if (!data.empty() && connection.handlers.data) {
        connection.handlers.data(std::move(data));
    }
    if (connections_.count(key) == 0 || connection.step != Step::Body) {
        return;
    }
    if (body.broken()) {
        finish(connection, ExchangeEnd::Broken);
    } else if (body.done()) {
        finish(connection, ExchangeEnd::Complete);
    }
}

void HttpClient::onClosed(Connection &connection)
{
    if (connection.step == Step::Cancelling) {
        finish(connection, ExchangeEnd::CancelConfirmed);
        return;
    }
    const bool whole = connection.step == Step::Body
                       && connection.response.body.framing() == HttpBodyReader::Framing::UntilClose
                       && !connection.response.body.done();
    finish(connection, whole ? ExchangeEnd::Complete : ExchangeEnd::Broken);
}

void HttpClient::finish(Connection &connection, ExchangeEnd end)
{
    const auto handler = std::move(connection.handlers.end);
    connection.handlers = ExchangeHandlers{};
    const bool reusable = end == ExchangeEnd::Complete && connection.response.keepAlive && connection.input.empty()
                          && connection.output.empty() && idle_.size() < init_.keepConnections;
    if (reusable) {
        keep(connection);
    } else {
        drop(connection);
    }
    if (handler) {
        handler(end);
    }
}

void HttpClient::keep(Connection &connection)
{
    loop_.timers().cancel(connection.timer);
    connection.timer = TimerHandle{};
    connection.step = Step::Idle;
    connection.paused = false;
    connection.idleSince = EventLoop::now();
    idle_.push_back(connection.key);
    updateInterest(connection);
    scheduleSweep();
}

// One timer for all kept connections: most are used again long before it is due.
void HttpClient::scheduleSweep()
{
    if (!sweep_ && !idle_.empty()) {
        sweep_ = loop_.timers().subscribe(EventLoop::now() + init_.keepIdle, [this](TimePoint) { sweep(); });
    }
}

void HttpClient::sweep()
{
    sweep_ = TimerHandle{};
    const auto oldest = EventLoop::now() - init_.keepIdle;
    while (!idle_.empty()) {
        auto &connection = *connections_.at(idle_.front());
        if (connection.idleSince > oldest) {
            break;
        }
        drop(connection);
    }
    scheduleSweep();
}

void HttpClient::drop(Connection &connection)
{
    loop_.timers().cancel(connection.timer);
    loop_.forget(connection.socket);
    connection.socket.close();
    if (connection.step == Step::Idle) {
        std::erase(idle_, connection.key);
    }
    connections_.erase(connection.key); // destroys the connection
}

void HttpClient::updateInterest(Connection &connection)
{
    int wanted = errorMode;
    wanted |= connection.paused ? 0 : readMode;
    wanted |= connection.step == Step::Sending ? writeMode : 0;
    if (wanted != connection.interest) {
        connection.interest = wanted;
        loop_.update(connection.socket, wanted);
    }
}

void HttpClient::setTimer(Connection &connection, Duration span)
{
    loop_.timers().cancel(connection.timer);
    connection.timer =
        loop_.timers().subscribe(EventLoop::now() + span, [this, key = connection.key](TimePoint) { onTimer(key); });
}

void HttpClient::onTimer(ExchangeId key)
{
    const auto found = connections_.find(key);
    if (found == connections_.end()) {
        return;
    }
    auto &connection = *found->second;
    connection.timer = TimerHandle{};
    switch (connection.step) {
    case Step::Idle:
        return;
    case Step::Connecting:
        finish(connection, ExchangeEnd::Unreachable);
        return;
    case Step::Cancelling:
        finish(connection, ExchangeEnd::CancelUnconfirmed);
        return;
    case Step::Sending:
    case Step::Head:
    case Step::Body:
        finish(connection, ExchangeEnd::Broken);
        return;
    }
}

} // namespace anvilscale

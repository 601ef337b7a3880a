// Connections to the endpoint: non-blocking, kept for a short time, one exchange at a time.
#include "anvilscale/net.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>

namespace anvilscale {

namespace {

constexpr std::size_t readSize = 64U << 10;
constexpr std::size_t headLimit = 64U << 10;
constexpr int readMode = Poco::Net::PollSet::POLL_READ;
constexpr int writeMode = Poco::Net::PollSet::POLL_WRITE;
constexpr int errorMode = Poco::Net::PollSet::POLL_ERROR;

enum class Step : std::uint8_t {
    Connecting,
    Sending,
    Head,
    Body,
    Cancelling,
    Idle
};

struct Connection
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
    Duration keepIdle{}; // how long it may stay idle
    TimePoint mustEnd; // of the exchange, if `deadline`
    ExchangeHandlers handlers;
};

} // namespace

struct HttpClient::Impl
{
    Impl(EventLoop &owner, HttpClientInit parameters)
        : loop(owner)
        , init(std::move(parameters))
        , address(init.address)
    {
    }

    Connection *takeIdle();
    Connection *open();
    ExchangeId start(const EndpointRequest &request, Duration timeout, ExchangeHandlers handlers);
    void cancel(ExchangeId id);
    void abort(ExchangeId id);
    void pause(ExchangeId id, bool paused);
    void onReady(Connection &connection, int mode);
    void onConnected(Connection &connection);
    void send(Connection &connection);
    void receive(Connection &connection);
    void onInput(Connection &connection);
    bool readHead(Connection &connection);
    void readBody(Connection &connection);
    void onClosed(Connection &connection);
    void finish(Connection &connection, ExchangeEnd end);
    static void resetOnClose(Connection &connection);
    void drop(Connection &connection);
    void keep(Connection &connection);
    Duration idleTimeOf(const HttpResponseHead &response) const;
    void updateInterest(Connection &connection);
    void setTimer(Connection &connection, Duration span);
    void onTimer(ExchangeId key);
    void scheduleSweep();
    void sweep();

    EventLoop &loop;
    HttpClientInit init;
    Poco::Net::SocketAddress address;
    HttpClientCounts counts;
    std::uint64_t lastKey = 0;
    // Connections by a key that changes with each exchange, so that a late callback never reaches the next one.
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections;
    std::deque<std::uint64_t> idle; // keys of kept connections, oldest first
    TimerHandle sweepTimer; // closes connections that were kept too long
};

HttpClient::HttpClient(EventLoop &loop, HttpClientInit init)
    : impl_(std::make_unique<Impl>(loop, std::move(init)))
{
}

HttpClient::~HttpClient()
{
    impl_->loop.timers().cancel(impl_->sweepTimer);
    for (auto &[key, connection] : impl_->connections) {
        impl_->loop.timers().cancel(connection->timer);
        impl_->loop.forget(connection->socket);
        connection->socket.close();
    }
}

const HttpClientCounts &HttpClient::counts() const
{
    return impl_->counts;
}

ExchangeId HttpClient::start(const EndpointRequest &request, Duration timeout, ExchangeHandlers handlers)
{
    return impl_->start(request, timeout, std::move(handlers));
}

void HttpClient::cancel(ExchangeId id)
{
    impl_->cancel(id);
}

void HttpClient::abort(ExchangeId id)
{
    impl_->abort(id);
}

void HttpClient::pause(ExchangeId id, bool paused)
{
    impl_->pause(id, paused);
}

Connection *HttpClient::Impl::takeIdle()
{
    // The one used last: its endpoint is the least likely to close it just now.
    if (idle.empty()) {
        return nullptr;
    }
    auto &connection = *connections.at(idle.back());
    if (EventLoop::now() - connection.idleSince >= connection.keepIdle) {
        return nullptr;
    }
    idle.pop_back();
    return &connection;
}

Connection *HttpClient::Impl::open()
{
    auto connection = std::make_unique<Connection>();
    auto *raw = connection.get();
    counts.connections += 1;
    try {
        raw->socket.connectNB(address);
        raw->socket.setNoDelay(true);
    } catch (const Poco::Exception &) {
        counts.connectFailures += 1;
        return nullptr;
    }
    raw->key = ++lastKey;
    raw->interest = writeMode | errorMode;
    loop.watch(raw->socket, raw->interest, [this, raw](int mode) { onReady(*raw, mode); });
    connections.emplace(raw->key, std::move(connection));
    return raw;
}

ExchangeId HttpClient::Impl::start(const EndpointRequest &request, Duration timeout, ExchangeHandlers handlers)
{
    counts.requests += 1;
    auto *connection = request.freshConnection ? nullptr : takeIdle();
    const bool kept = connection != nullptr;
    if (!kept) {
        connection = open();
    }
    if (connection == nullptr) {
        loop.post([end = std::move(handlers.end)] { end(ExchangeEnd::Unreachable); });
        return 0;
    }
    if (kept) {
        // A new key for the new exchange.
        auto node = connections.extract(connection->key);
        node.key() = ++lastKey;
        connection->key = node.key();
        connections.insert(std::move(node));
    }
    connection->handlers = std::move(handlers);
    connection->output =
        requestHead(request.method, request.target, request.host.empty() ? address.toString() : request.host,
                    request.headers, request.body.size(), true)
        + request.body;
    connection->written = 0;
    connection->input.clear();
    connection->paused = false;
    connection->bodyless = request.method == "HEAD";
    connection->step = kept ? Step::Sending : Step::Connecting;
    const auto key = connection->key;
    connection->deadline = timeout != Duration(0);
    if (connection->deadline) {
        connection->mustEnd = EventLoop::now() + timeout;
    }
    if (!kept) {
        setTimer(*connection, connection->deadline ? std::min(timeout, init.connectTimeout) : init.connectTimeout);
    } else if (connection->deadline) {
        setTimer(*connection, timeout);
    }
    if (kept) {
        send(*connection);
    }
    return key;
}

void HttpClient::Impl::cancel(ExchangeId id)
{
    const auto found = connections.find(id);
    if (found == connections.end() || found->second->step == Step::Idle) {
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
    setTimer(connection, init.cancelGrace);
    updateInterest(connection);
}

void HttpClient::Impl::abort(ExchangeId id)
{
    const auto found = connections.find(id);
    if (found != connections.end() && found->second->step != Step::Idle) {
        resetOnClose(*found->second);
        drop(*found->second);
    }
}

void HttpClient::Impl::pause(ExchangeId id, bool paused)
{
    const auto found = connections.find(id);
    if (found == connections.end() || found->second->paused == paused || found->second->step != Step::Body) {
        return;
    }
    found->second->paused = paused;
    updateInterest(*found->second);
}

// The handler is forgotten before its connection is destroyed.
void HttpClient::Impl::onReady(Connection &connection, int mode)
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
    if ((mode & (readMode | errorMode)) != 0 && connections.count(key) != 0) {
        receive(connection);
    }
}

void HttpClient::Impl::onConnected(Connection &connection)
{
    int error = 0;
    connection.socket.impl()->getOption(SOL_SOCKET, SO_ERROR, error);
    if (error != 0) {
        counts.connectFailures += 1;
        finish(connection, ExchangeEnd::Unreachable);
        return;
    }
    if (connection.deadline) {
        setTimer(connection, connection.mustEnd - EventLoop::now());
    } else {
        loop.timers().cancel(connection.timer);
        connection.timer = TimerHandle{};
    }
    connection.step = Step::Sending;
    send(connection);
}

void HttpClient::Impl::send(Connection &connection)
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

void HttpClient::Impl::receive(Connection &connection)
{
    std::array<char, readSize> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read
    int got = 0;
    try {
        got = connection.socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    } catch (const Poco::Exception &) {
        // A reset may cut an answer that ends with its connection: it is never taken for the end.
        finish(connection, connection.step == Step::Cancelling ? ExchangeEnd::CancelConfirmed : ExchangeEnd::Broken);
        return;
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

void HttpClient::Impl::onInput(Connection &connection)
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
        if (connections.count(key) == 0) {
            return;
        }
    }
    if (connection.step == Step::Body) {
        readBody(connection);
    }
}

// Returns true if a head was read and the connection goes on.
bool HttpClient::Impl::readHead(Connection &connection)
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
    return connections.count(key) != 0;
}

void HttpClient::Impl::readBody(Connection &connection)
{
    std::string data;
    auto &body = connection.response.body;
    const auto used = body.take(connection.input, data);
    connection.input.erase(0, used);
    const auto key = connection.key;
    if (!data.empty() && connection.handlers.data) {
        connection.handlers.data(std::move(data));
    }
    if (connections.count(key) == 0 || connection.step != Step::Body) {
        return;
    }
    if (body.broken()) {
        finish(connection, ExchangeEnd::Broken);
    } else if (body.done()) {
        finish(connection, ExchangeEnd::Complete);
    }
}

void HttpClient::Impl::onClosed(Connection &connection)
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

void HttpClient::Impl::finish(Connection &connection, ExchangeEnd end)
{
    const auto handler = std::move(connection.handlers.end);
    connection.handlers = ExchangeHandlers{};
    const bool reusable = end == ExchangeEnd::Complete && connection.response.keepAlive && connection.input.empty()
                          && connection.output.empty() && idle.size() < init.keepConnections;
    if (reusable) {
        keep(connection);
    } else {
        if (end == ExchangeEnd::Broken) {
            resetOnClose(connection);
        }
        drop(connection);
    }
    if (handler) {
        handler(end);
    }
}

void HttpClient::Impl::keep(Connection &connection)
{
    loop.timers().cancel(connection.timer);
    connection.timer = TimerHandle{};
    connection.step = Step::Idle;
    connection.paused = false;
    connection.idleSince = EventLoop::now();
    connection.keepIdle = idleTimeOf(connection.response);
    idle.push_back(connection.key);
    updateInterest(connection);
    scheduleSweep();
}

Duration HttpClient::Impl::idleTimeOf(const HttpResponseHead &response) const
{
    constexpr std::string_view parameter = "timeout=";
    const auto *told = findHeader(response.headers, "Keep-Alive");
    const auto at = told == nullptr ? std::string::npos : told->find(parameter);
    if (init.keepMargin == Duration(0) || at == std::string::npos) {
        return init.keepIdle;
    }
    unsigned seconds = 0;
    const auto *first = told->data() + at + parameter.size();
    if (std::from_chars(first, told->data() + told->size(), seconds).ec != std::errc()) {
        return init.keepIdle;
    }
    return std::max(Duration(0), Seconds(seconds) - init.keepMargin);
}

// One timer for all kept connections: most are used again long before it is due.
void HttpClient::Impl::scheduleSweep()
{
    if (!sweepTimer && !idle.empty()) {
        sweepTimer = loop.timers().subscribe(EventLoop::now() + init.keepIdle, [this](TimePoint) { sweep(); });
    }
}

void HttpClient::Impl::sweep()
{
    sweepTimer = TimerHandle{};
    const auto now = EventLoop::now();
    const auto kept = idle;
    for (const auto key : kept) {
        auto &connection = *connections.at(key);
        if (now - connection.idleSince >= connection.keepIdle) {
            drop(connection);
        }
    }
    scheduleSweep();
}

void HttpClient::dropIdle()
{
    const auto kept = impl_->idle;
    for (const auto key : kept) {
        impl_->drop(*impl_->connections.at(key));
    }
}

// While the network is cut, a request waits in the kernel. After a plain close it would still be delivered once the cut
// is over, and run for a caller who has left; a reset throws it away.
void HttpClient::Impl::resetOnClose(Connection &connection)
{
    try {
        connection.socket.setLinger(true, 0);
    } catch (const Poco::Exception &) {
        return; // closed by the other side already: nothing waits
    }
}

void HttpClient::Impl::drop(Connection &connection)
{
    loop.timers().cancel(connection.timer);
    loop.forget(connection.socket);
    connection.socket.close();
    if (connection.step == Step::Idle) {
        std::erase(idle, connection.key);
    }
    connections.erase(connection.key); // destroys the connection
}

void HttpClient::Impl::updateInterest(Connection &connection)
{
    int wanted = errorMode;
    wanted |= connection.paused ? 0 : readMode;
    wanted |= connection.step == Step::Sending ? writeMode : 0;
    if (wanted != connection.interest) {
        connection.interest = wanted;
        loop.update(connection.socket, wanted);
    }
}

void HttpClient::Impl::setTimer(Connection &connection, Duration span)
{
    loop.timers().cancel(connection.timer);
    connection.timer =
        loop.timers().subscribe(EventLoop::now() + span, [this, key = connection.key](TimePoint) { onTimer(key); });
}

void HttpClient::Impl::onTimer(ExchangeId key)
{
    const auto found = connections.find(key);
    if (found == connections.end()) {
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

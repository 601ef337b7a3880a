// HTTP client: non-blocking connections to one address, reused for a short time, with one exchange at a time each.
#include "release_buffer.h"

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

constexpr std::size_t maxReadBytes = 64U << 10;
constexpr std::size_t maxHeadBytes = 64U << 10; // of a response, with its interim responses
constexpr std::size_t fieldOverheadBytes = 32; // counted for each field (as in RFC 9113, 6.5.2)
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
    std::string output; // the head, and a body that is not shared
    SharedBody body; // sent after `output`
    std::size_t writtenBytes = 0; // of both
    std::string input;
    HttpResponseHead response;
    std::optional<EventBounds> events; // of the response, if it is an event stream
    std::size_t headBytes = 0; // read so far, with interim responses
    std::uint64_t bodyBytes = 0; // read so far
    std::uint64_t maxBodyBytes = 0; // 0: no limit
    bool isHeadRequest = false;
    bool isReused = false; // has served an earlier exchange
    bool isPaused = false;
    bool hasWriteFailed = false; // which consumed the error of the socket: reads report an orderly end
    bool hasDeadline = false; // the timer bounds the whole exchange, not only connecting
    int pollModes = 0;
    TimerHandle timer;
    TimePoint idleSince;
    Duration maxIdleTime{}; // after this time it is not reused
    TimePoint deadline; // of the exchange, if `hasDeadline`
    ExchangeHandlers handlers;
};

Poco::Net::SocketAddress socketAddress(const NetAddress &address)
{
    const in_addr ip{htonl(address.ip())};
    return {Poco::Net::IPAddress(&ip, sizeof ip), address.port()};
}

// Returns the bytes to send next; empty if the request has been sent.
std::string_view unsentPart(const Connection &connection)
{
    const auto headBytes = connection.output.size();
    return connection.writtenBytes < headBytes ? std::string_view(connection.output).substr(connection.writtenBytes)
                                               : connection.body.text().substr(connection.writtenBytes - headBytes);
}

// Gives back the memory of a request that has been sent or is given up.
void releaseRequest(Connection &connection)
{
    releaseBuffer(connection.output);
    connection.body = SharedBody();
    connection.writtenBytes = 0;
}

} // namespace

struct HttpClient::Impl
{
    Impl(EventLoop &eventLoop, const HttpClientInit &parameters)
        : loop(eventLoop)
        , init(parameters)
        , address(socketAddress(init.address))
    {
    }

    Connection *takeIdleConnection();
    Connection *openConnection();
    ExchangeId start(const EndpointRequest &request, Duration timeout, ExchangeHandlers handlers);
    ExchangeId failStart(std::function<void(ExchangeEnd)> end);
    void cancel(ExchangeId id);
    void abort(ExchangeId id);
    void pause(ExchangeId id, bool isPaused);
    void onReady(Connection &connection, int mode);
    void onConnected(Connection &connection);
    void send(Connection &connection);
    void receive(Connection &connection);
    void onInput(Connection &connection);
    bool readHead(Connection &connection);
    void readBody(Connection &connection);
    void onClosed(Connection &connection);
    static ExchangeEnd completeEnd(const Connection &connection);
    void finish(Connection &connection, ExchangeEnd end);
    void closeConnection(Connection &connection);
    void makeIdle(Connection &connection);
    Duration readMaxIdleTime(const HttpResponseHead &response) const;
    void updatePollModes(Connection &connection);
    void setTimer(Connection &connection, Duration timeout);
    void onTimer(ExchangeId key);
    void scheduleExpiry();
    void closeExpired();

    EventLoop &loop;
    HttpClientInit init;
    Poco::Net::SocketAddress address;
    HttpClientCounts counts;
    std::uint64_t lastKey = 0;
    // Keyed by a number that changes with each exchange, so that a late callback never reaches the next exchange.
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections;
    // Ends of exchanges without a connection that have not been reported yet, by key.
    std::shared_ptr<std::map<std::uint64_t, std::function<void(ExchangeEnd)>>> failedStarts =
        std::make_shared<std::map<std::uint64_t, std::function<void(ExchangeEnd)>>>();
    std::deque<std::uint64_t> idleKeys; // keys of idle connections, least recently used first
    TimerHandle expiryTimer; // closes expired idle connections
};

HttpClient::HttpClient(EventLoop &loop, const HttpClientInit &init)
    : impl_(std::make_unique<Impl>(loop, init))
{
}

HttpClient::~HttpClient()
{
    impl_->loop.timers().cancel(impl_->expiryTimer);
    for (auto &[key, connection] : impl_->connections) {
        impl_->loop.timers().cancel(connection->timer);
        impl_->loop.unwatch(connection->socket);
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

void HttpClient::pause(ExchangeId id, bool isPaused)
{
    impl_->pause(id, isPaused);
}

Connection *HttpClient::Impl::takeIdleConnection()
{
    // The most recently used connection is the least likely to be closed by the endpoint.
    if (idleKeys.empty()) {
        return nullptr;
    }
    auto &connection = *connections.at(idleKeys.back());
    if (EventLoop::now() - connection.idleSince >= connection.maxIdleTime) {
        return nullptr;
    }
    idleKeys.pop_back();
    return &connection;
}

Connection *HttpClient::Impl::openConnection()
{
    auto connection = std::make_unique<Connection>();
    auto *newConnection = connection.get();
    counts.connections += 1;
    try {
        newConnection->socket.connectNB(address);
        newConnection->socket.setNoDelay(true);
    } catch (const Poco::Exception &) {
        counts.connectFailures += 1;
        return nullptr;
    }
    newConnection->key = ++lastKey;
    newConnection->pollModes = writeMode | errorMode;
    loop.watch(newConnection->socket, newConnection->pollModes,
               [this, newConnection](int mode) { onReady(*newConnection, mode); });
    connections.emplace(newConnection->key, std::move(connection));
    return newConnection;
}

ExchangeId HttpClient::Impl::start(const EndpointRequest &request, Duration timeout, ExchangeHandlers handlers)
{
    counts.requests += 1;
    auto *connection = request.needsNewConnection ? nullptr : takeIdleConnection();
    const bool isReused = connection != nullptr;
    if (!isReused) {
        connection = openConnection();
    }
    if (connection == nullptr) {
        return failStart(std::move(handlers.end));
    }
    if (isReused) {
        // Each exchange gets a new key.
        auto node = connections.extract(connection->key);
        node.key() = ++lastKey;
        connection->key = node.key();
        connections.insert(std::move(node));
    }
    connection->isReused = isReused;
    connection->handlers = std::move(handlers);
    connection->output =
        formatRequestHead(request.method, request.target, request.host.empty() ? address.toString() : request.host,
                          request.headers, request.body.size() + request.sharedBody.text().size(), true)
        + request.body;
    connection->body = request.sharedBody;
    connection->writtenBytes = 0;
    connection->input.clear();
    connection->isPaused = false;
    connection->isHeadRequest = request.method == "HEAD";
    connection->headBytes = 0;
    connection->bodyBytes = 0;
    connection->maxBodyBytes = request.maxAnswerBytes;
    connection->step = isReused ? Step::Sending : Step::Connecting;
    const auto key = connection->key;
    connection->hasDeadline = timeout != Duration(0);
    if (connection->hasDeadline) {
        connection->deadline = EventLoop::now() + timeout;
    }
    if (!isReused) {
        setTimer(*connection, connection->hasDeadline ? std::min(timeout, init.connectTimeout) : init.connectTimeout);
    } else if (connection->hasDeadline) {
        setTimer(*connection, timeout);
    }
    if (isReused) {
        send(*connection);
    }
    return key;
}

// Reports the end from the loop, as for any other exchange, unless it is aborted or the client is destroyed before.
ExchangeId HttpClient::Impl::failStart(std::function<void(ExchangeEnd)> end)
{
    const auto key = ++lastKey;
    failedStarts->emplace(key, std::move(end));
    loop.post([starts = std::weak_ptr(failedStarts), key] {
        const auto pending = starts.lock();
        if (!pending) {
            return;
        }
        if (auto node = pending->extract(key)) {
            node.mapped()(ExchangeEnd::Unreachable);
        }
    });
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
    connection.isPaused = false;
    connection.handlers.head = nullptr;
    connection.handlers.data = nullptr;
    releaseRequest(connection);
    try {
        connection.socket.shutdownSend();
    } catch (const Poco::Exception &) {
        finish(connection, ExchangeEnd::CancelConfirmed); // already closed by the endpoint
        return;
    }
    setTimer(connection, init.cancelGrace);
    updatePollModes(connection);
}

void HttpClient::Impl::abort(ExchangeId id)
{
    failedStarts->erase(id);
    const auto found = connections.find(id);
    if (found != connections.end() && found->second->step != Step::Idle) {
        // After a plain close, a request queued during a network partition would still be delivered later and run for a
        // caller that has left.
        resetOnClose(found->second->socket);
        closeConnection(*found->second);
    }
}

void HttpClient::Impl::pause(ExchangeId id, bool isPaused)
{
    const auto found = connections.find(id);
    if (found == connections.end() || found->second->isPaused == isPaused || found->second->step != Step::Body) {
        return;
    }
    found->second->isPaused = isPaused;
    updatePollModes(*found->second);
}

// The socket is unwatched before its connection is destroyed, so `connection` is valid here.
void HttpClient::Impl::onReady(Connection &connection, int mode)
{
    const auto key = connection.key;
    if (connection.step == Step::Connecting) {
        onConnected(connection);
        return;
    }
    if (connection.step == Step::Idle) {
        closeConnection(connection); // closed by the endpoint, or unsolicited data
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
    if (connection.hasDeadline) {
        setTimer(connection, connection.deadline - EventLoop::now());
    } else {
        loop.timers().cancel(connection.timer);
        connection.timer = TimerHandle{};
    }
    connection.step = Step::Sending;
    const auto key = connection.key;
    // The handler may abort the exchange, which destroys the connection.
    if (const auto connected = std::move(connection.handlers.connected)) {
        connected();
    }
    if (connections.count(key) != 0) {
        send(connection);
    }
}

void HttpClient::Impl::send(Connection &connection)
{
    for (auto unsent = unsentPart(connection); !unsent.empty(); unsent = unsentPart(connection)) {
        const auto sentBytes = trySend(connection.socket, unsent);
        if (!sentBytes) {
            // The endpoint may have responded before it closed the connection, so the response is still read.
            connection.hasWriteFailed = true;
            connection.step = Step::Head;
            receive(connection);
            return;
        }
        if (*sentBytes == 0) {
            updatePollModes(connection);
            return;
        }
        connection.writtenBytes += *sentBytes;
    }
    connection.step = Step::Head;
    releaseRequest(connection);
    updatePollModes(connection);
}

void HttpClient::Impl::receive(Connection &connection)
{
    std::array<char, maxReadBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read
    int received = 0;
    try {
        received = connection.socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    } catch (const Poco::Exception &) {
        // A reset may truncate a response that ends with its connection, so it never counts as the end.
        finish(connection, connection.step == Step::Cancelling ? ExchangeEnd::CancelConfirmed : ExchangeEnd::Broken);
        return;
    }
    if (received < 0) {
        return;
    }
    if (received == 0) {
        onClosed(connection);
        return;
    }
    connection.input.append(buffer.data(), static_cast<std::size_t>(received));
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

// Returns true if a head was read and the connection is still open.
bool HttpClient::Impl::readHead(Connection &connection)
{
    const auto length = headLength(connection.input);
    const auto headBytes = connection.headBytes + (length == 0 ? connection.input.size() : length);
    if (headBytes > maxHeadBytes) {
        finish(connection, ExchangeEnd::Broken);
        return false;
    }
    if (length == 0) {
        return false;
    }
    connection.headBytes = headBytes;
    auto parsed = parseResponseHead(std::string_view(connection.input).substr(0, length), connection.isHeadRequest);
    connection.input.erase(0, length);
    if (!parsed || headBytes + parsed->headers.size() * fieldOverheadBytes > maxHeadBytes) {
        finish(connection, ExchangeEnd::Broken);
        return false;
    }
    if (parsed->status / 100 == 1) {
        return true; // interim response
    }
    connection.response = std::move(*parsed);
    connection.response.isOnReusedConnection = connection.isReused;
    connection.events.reset();
    if (isEventStream(connection.response.headers)) {
        connection.events.emplace();
    }
    connection.maxIdleTime = readMaxIdleTime(connection.response);
    connection.step = Step::Body;
    const auto key = connection.key;
    if (connection.handlers.head) {
        connection.handlers.head(connection.response);
    }
    if (connections.count(key) == 0) {
        return false;
    }
    HttpHeaders().swap(connection.response.headers); // not needed while the body comes
    return true;
}

void HttpClient::Impl::readBody(Connection &connection)
{
    std::string data;
    auto &body = connection.response.body;
    const auto consumed = body.read(connection.input, data);
    connection.input.erase(0, consumed);
    if (connection.input.empty()) {
        releaseBuffer(connection.input); // many slow answers must not keep a buffer each
    }
    if (connection.events) {
        connection.events->read(data);
    }
    const auto key = connection.key;
    connection.bodyBytes += data.size();
    if (connection.maxBodyBytes != 0 && connection.bodyBytes > connection.maxBodyBytes) {
        finish(connection, ExchangeEnd::TooLarge);
        return;
    }
    if (!data.empty() && connection.handlers.data) {
        connection.handlers.data(std::move(data));
    }
    if (connections.count(key) == 0 || connection.step != Step::Body) {
        return;
    }
    if (body.isBroken()) {
        finish(connection, ExchangeEnd::Broken);
    } else if (body.isDone()) {
        finish(connection, completeEnd(connection));
    }
}

void HttpClient::Impl::onClosed(Connection &connection)
{
    if (connection.step == Step::Cancelling) {
        finish(connection, ExchangeEnd::CancelConfirmed);
        return;
    }
    // The end of a broken connection is not the end of a response: the endpoint may have been about to send more.
    const bool isComplete = !connection.hasWriteFailed && connection.step == Step::Body
                            && connection.response.body.framing() == HttpBodyReader::Framing::UntilClose
                            && !connection.response.body.isDone();
    finish(connection, isComplete ? completeEnd(connection) : ExchangeEnd::Broken);
}

// The end of a response that is complete by its framing.
ExchangeEnd HttpClient::Impl::completeEnd(const Connection &connection)
{
    if (!connection.events) {
        return ExchangeEnd::Complete;
    }
    // Nothing but the events of an unframed stream shows that it has not been cut off before its first one.
    const bool isUnframed = connection.response.body.framing() == HttpBodyReader::Framing::UntilClose;
    const bool isTruncated = connection.events->isInsideEvent() || (isUnframed && !connection.events->hasEvent());
    return isTruncated ? ExchangeEnd::Truncated : ExchangeEnd::Complete;
}

void HttpClient::Impl::finish(Connection &connection, ExchangeEnd end)
{
    const auto handler = std::move(connection.handlers.end);
    connection.handlers = ExchangeHandlers{};
    const bool isReusable = end == ExchangeEnd::Complete && connection.response.keepAlive && connection.input.empty()
                            && unsentPart(connection).empty() && idleKeys.size() < init.maxIdleConnections;
    if (isReusable) {
        makeIdle(connection);
    } else {
        if (end == ExchangeEnd::Broken || end == ExchangeEnd::TooLarge) {
            resetOnClose(connection.socket);
        }
        closeConnection(connection);
    }
    if (handler) {
        handler(end);
    }
}

void HttpClient::Impl::makeIdle(Connection &connection)
{
    loop.timers().cancel(connection.timer);
    connection.timer = TimerHandle{};
    connection.step = Step::Idle;
    connection.isPaused = false;
    connection.idleSince = EventLoop::now();
    releaseBuffer(connection.input);
    connection.response = HttpResponseHead{};
    idleKeys.push_back(connection.key);
    updatePollModes(connection);
    scheduleExpiry();
}

Duration HttpClient::Impl::readMaxIdleTime(const HttpResponseHead &response) const
{
    constexpr std::string_view parameter = "timeout=";
    const auto *keepAliveHeader = findHeader(response.headers, "Keep-Alive");
    const auto position = keepAliveHeader == nullptr ? std::string::npos : keepAliveHeader->find(parameter);
    if (init.idleMargin == Duration(0) || position == std::string::npos) {
        return init.maxIdleTime;
    }
    unsigned seconds = 0;
    const auto *digits = keepAliveHeader->data() + position + parameter.size();
    if (std::from_chars(digits, keepAliveHeader->data() + keepAliveHeader->size(), seconds).ec != std::errc()) {
        return init.maxIdleTime;
    }
    return std::max(Duration(0), Seconds(seconds) - init.idleMargin);
}

// One timer serves all idle connections, as most are reused before they expire.
void HttpClient::Impl::scheduleExpiry()
{
    if (!expiryTimer && !idleKeys.empty()) {
        expiryTimer =
            loop.timers().subscribe(EventLoop::now() + init.maxIdleTime, [this](TimePoint) { closeExpired(); });
    }
}

void HttpClient::Impl::closeExpired()
{
    expiryTimer = TimerHandle{};
    const auto now = EventLoop::now();
    const auto keys = idleKeys;
    for (const auto key : keys) {
        auto &connection = *connections.at(key);
        if (now - connection.idleSince >= connection.maxIdleTime) {
            closeConnection(connection);
        }
    }
    scheduleExpiry();
}

void HttpClient::closeIdleConnections()
{
    const auto keys = impl_->idleKeys;
    for (const auto key : keys) {
        impl_->closeConnection(*impl_->connections.at(key));
    }
}

void HttpClient::Impl::closeConnection(Connection &connection)
{
    loop.timers().cancel(connection.timer);
    loop.unwatch(connection.socket);
    connection.socket.close();
    if (connection.step == Step::Idle) {
        std::erase(idleKeys, connection.key);
    }
    connections.erase(connection.key); // destroys the connection
}

void HttpClient::Impl::updatePollModes(Connection &connection)
{
    int modes = errorMode;
    modes |= connection.isPaused ? 0 : readMode;
    modes |= connection.step == Step::Sending ? writeMode : 0;
    if (modes != connection.pollModes) {
        connection.pollModes = modes;
        loop.update(connection.socket, modes);
    }
}

void HttpClient::Impl::setTimer(Connection &connection, Duration timeout)
{
    loop.timers().cancel(connection.timer);
    connection.timer =
        loop.timers().subscribe(EventLoop::now() + timeout, [this, key = connection.key](TimePoint) { onTimer(key); });
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

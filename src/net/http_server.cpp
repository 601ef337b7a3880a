// HTTP server: the listener, the traffic threads with their connections, and the lookup of connections by exchange.
#include "caller_connection.h"
#include "descriptor_shortage.h"
#include "net_errors.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>

#include <atomic>
#include <future>
#include <unordered_map>

namespace anvilscale {

namespace {

constexpr int listenBacklog = 1024;
constexpr int maxAcceptsPerPoll = 64;
constexpr std::uint64_t workerBits = 8;
constexpr std::uint64_t workerMask = (1U << workerBits) - 1;
constexpr Duration drainCheckInterval = Milliseconds(50);
constexpr std::size_t maxDiscardedBytes = 16U << 10; // of the input of a connection that is refused at once
constexpr Duration acceptRest = Milliseconds(50); // of a listener that cannot accept

struct AtomicStats
{
    std::array<std::atomic<std::uint64_t>, enumCount<HttpError>> problems{};
    std::atomic<std::uint64_t> connections = 0;
    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> slowReadersCut = 0;
    std::atomic<std::uint64_t> acceptsWithoutDescriptor = 0;
    std::atomic<std::uint32_t> open = 0;
};

// A traffic thread with its connections. All members but the loop itself are used on that thread only.
struct Worker
{
    std::uint64_t index = 0;
    std::uint64_t lastExchange = 0;
    std::uint64_t lastConnection = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<CallerConnection>> connections;
    std::unordered_map<std::uint64_t, std::uint64_t> connectionByExchange; // connection id by exchange
    CallerConnectionContext context;
    HttpServerInit limits; // the server's settings with the changes of updateLimits()
    std::unique_ptr<EventLoop> loop;

    CallerConnection *findConnection(HttpExchange exchange)
    {
        const auto found = connectionByExchange.find(exchange.value);
        return found == connectionByExchange.end() ? nullptr : connections.at(found->second).get();
    }
};

std::string formatRefusal(HttpReply reply)
{
    reply.closesConnection = true;
    const bool keepsAlive = false;
    const bool acceptsChunked = true;
    const bool isHeadRequest = false;
    HttpAnswer answer(keepsAlive, acceptsChunked, isHeadRequest, 0);
    answer.reply(reply);
    return answer.output();
}

} // namespace

struct HttpServer::Impl
{
    HttpServerInit init;
    Handlers handlers;
    Poco::Net::ServerSocket listener;
    std::vector<std::unique_ptr<Worker>> workers;
    AtomicStats stats;
    std::size_t nextWorker = 0; // first worker's thread only
    bool isListening = false; // first worker's thread only
    SpareDescriptor spare; // first worker's thread only
    std::optional<DescriptorShortage> shortage; // first worker's thread only; set while listening
    std::function<void()> onDrained;
    bool isShutDown = false; // thread of the owner only

    void addWorker(std::uint64_t index);
    /// Result of an attempt to accept a connection.
    enum class Accept : std::uint8_t {
        Done,
        Refused, ///< few descriptors are left
        NonePending,
        Failed ///< no descriptor is free
    };

    void acceptPending();
    Accept acceptOne();
    Accept refuseBySpare();
    void onShortage();
    void checkShortage();
    void restListener();
    void refuseAtOnce(Poco::Net::StreamSocket &socket);
    void addConnection(Worker &worker, const Poco::Net::StreamSocket &socket, bool isOverLimit);
    void closeListener();
    void checkDrained();
    Worker &findWorker(HttpExchange exchange)
    {
        return *workers[(exchange.value & workerMask) % workers.size()];
    }
    template<class Change>
    void updateAnswer(HttpExchange exchange, Change change)
    {
        auto &worker = findWorker(exchange);
        worker.loop->post([&worker, exchange, change = std::move(change)]() mutable {
            if (auto *connection = worker.findConnection(exchange)) {
                connection->answer(change);
            }
        });
    }
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

HttpServer::~HttpServer()
{
    shutdown();
}

tl::expected<std::unique_ptr<HttpServer>, NetError> HttpServer::create(HttpServerInit init, Handlers handlers)
{
    auto impl = std::make_unique<Impl>();
    impl->init = std::move(init);
    impl->handlers = std::move(handlers);
    if (!impl->init.memory) {
        impl->init.memory = std::make_shared<MemoryAccount>(MemoryAccountInit{});
    }
    const auto addressText = impl->init.address + ":" + std::to_string(impl->init.port);
    try {
        // Reuses the address of a process that has exited, but never shares it with a running one.
        impl->listener.bind(Poco::Net::SocketAddress(impl->init.address, impl->init.port), true, false);
        impl->listener.listen(listenBacklog);
        impl->listener.setBlocking(false);
    } catch (const Poco::Exception &error) {
        return tl::unexpected(NetError{toErrorKind(error), addressText, error.displayText()});
    }
    for (std::uint64_t index = 0; index < std::max<std::uint32_t>(1, impl->init.threads); ++index) {
        impl->addWorker(index);
    }
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

void HttpServer::Impl::addWorker(std::uint64_t index)
{
    auto newWorker = std::make_unique<Worker>();
    auto *worker = newWorker.get();
    worker->index = index;
    worker->loop = std::make_unique<EventLoop>("http-" + std::to_string(index));
    auto &context = worker->context;
    worker->limits = init;
    context.init = &worker->limits;
    context.loop = worker->loop.get();
    context.handlers = &handlers;
    context.newExchange = [this, worker](std::uint64_t connection) {
        stats.requests += 1;
        const HttpExchange exchange{(++worker->lastExchange << workerBits) | worker->index};
        worker->connectionByExchange[exchange.value] = connection;
        return exchange;
    };
    context.endExchange = [worker](HttpExchange exchange) { worker->connectionByExchange.erase(exchange.value); };
    context.countError = [this](HttpError error) { stats.problems[static_cast<std::size_t>(error)] += 1; };
    context.findConnection = [worker](std::uint64_t connection) {
        const auto found = worker->connections.find(connection);
        return found == worker->connections.end() ? nullptr : found->second.get();
    };
    context.countSlowReader = [this] { stats.slowReadersCut += 1; };
    context.onClosed = [this, worker](std::uint64_t connection) {
        if (worker->connections.erase(connection) != 0) {
            stats.open -= 1;
        }
    };
    workers.push_back(std::move(newWorker));
}

std::uint16_t HttpServer::port() const
{
    return impl_->listener.address().port();
}

void HttpServer::start()
{
    impl_->workers[0]->loop->post([impl = impl_.get()] {
        impl->isListening = true;
        impl->shortage.emplace(impl->listener.address().toString());
        impl->workers[0]->loop->watch(impl->listener, Poco::Net::PollSet::POLL_READ,
                                      [impl](int) { impl->acceptPending(); });
    });
}

void HttpServer::Impl::acceptPending()
{
    auto accepted = Accept::Done;
    // Refused connections are answered before more are accepted, so that they do not use the reserve up.
    for (int i = 0; i < maxAcceptsPerPoll && accepted == Accept::Done; ++i) {
        accepted = acceptOne();
    }
    if (accepted == Accept::Failed) {
        restListener();
    }
}

HttpServer::Impl::Accept HttpServer::Impl::acceptOne()
{
    Poco::Net::StreamSocket socket;
    try {
        if (!listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            return Accept::NonePending;
        }
        socket = listener.acceptConnection();
    } catch (const Poco::Exception &error) {
        return isShortageError(error.code()) ? refuseBySpare() : Accept::NonePending; // else closed by the caller
    }
    stats.connections += 1;
    const int firstReserved = descriptorLimit() - reservedDescriptors();
    const bool isReserved = socket.impl()->sockfd() >= firstReserved;
    if (isReserved) {
        onShortage();
    }
    if (socket.impl()->sockfd() >= firstReserved + reservedDescriptors() / 2) {
        refuseAtOnce(socket);
        return Accept::Refused;
    }
    const bool isOverLimit = stats.open.fetch_add(1) >= init.maxConnections || isReserved;
    auto &worker = *workers[nextWorker++ % workers.size()];
    worker.loop->post([this, &worker, socket, isOverLimit] { addConnection(worker, socket, isOverLimit); });
    return isReserved ? Accept::Refused : Accept::Done;
}

HttpServer::Impl::Accept HttpServer::Impl::refuseBySpare()
{
    onShortage();
    spare.release();
    auto result = Accept::Failed;
    try {
        auto socket = listener.acceptConnection();
        stats.connections += 1;
        refuseAtOnce(socket);
        result = Accept::Refused;
    } catch (const Poco::Exception &error) {
        result = isShortageError(error.code()) ? Accept::Failed : Accept::NonePending;
    }
    spare.refill();
    return result;
}

void HttpServer::Impl::onShortage()
{
    if (!shortage) {
        return;
    }
    stats.acceptsWithoutDescriptor += 1;
    const bool wasActive = shortage->isActive();
    shortage->onShort(EventLoop::now());
    if (!wasActive) {
        checkShortage();
    }
}

void HttpServer::Impl::checkShortage()
{
    auto &timers = workers[0]->loop->timers();
    timers.subscribe(EventLoop::now() + DescriptorShortage::quietTime, [this](TimePoint now) {
        spare.refill();
        if (!shortage) {
            return;
        }
        shortage->onTick(now);
        if (shortage->isActive()) {
            checkShortage();
        }
    });
}

// A listener that cannot accept stays ready: without a rest its thread would do nothing else.
void HttpServer::Impl::restListener()
{
    if (!isListening) {
        return;
    }
    workers[0]->loop->update(listener, 0);
    workers[0]->loop->timers().subscribe(EventLoop::now() + acceptRest, [this](TimePoint) {
        if (isListening) {
            workers[0]->loop->update(listener, Poco::Net::PollSet::POLL_READ);
        }
    });
}

// Without the time for which other refused connections discard input: that needs a descriptor for each.
void HttpServer::Impl::refuseAtOnce(Poco::Net::StreamSocket &socket)
{
    stats.problems[static_cast<std::size_t>(HttpError::ConnectionLimit)] += 1;
    try {
        socket.setBlocking(false);
        // Closing a socket with unread input would reset the connection and may discard the response.
        std::array<char, maxDiscardedBytes> input; // NOLINT(cppcoreguidelines-pro-type-member-init): not read
        socket.receiveBytes(input.data(), static_cast<int>(input.size()));
        trySend(socket, formatRefusal(handlers.errorReply(HttpError::ConnectionLimit)));
        socket.shutdownSend();
        socket.close();
    } catch (const Poco::Exception &) {
        socket.close(); // reset by the caller
    }
}

void HttpServer::Impl::addConnection(Worker &worker, const Poco::Net::StreamSocket &socket, bool isOverLimit)
{
    const auto id = ++worker.lastConnection;
    try {
        auto connection = std::make_unique<CallerConnection>(id, socket, worker.context);
        auto *newConnection = connection.get();
        worker.connections.emplace(id, std::move(connection));
        if (isOverLimit) {
            newConnection->refuse(HttpError::ConnectionLimit);
        }
    } catch (const Poco::Exception &) {
        stats.open -= 1; // reset by the caller during setup
    }
}

void HttpServer::Impl::closeListener()
{
    if (isListening) {
        isListening = false;
        // Closing the listener would reset the connections in its backlog, which may already carry requests.
        auto accepted = Accept::Done;
        while (accepted == Accept::Done || accepted == Accept::Refused) {
            accepted = acceptOne();
        }
        shortage.reset();
        workers[0]->loop->unwatch(listener);
        listener.close();
    }
}

void HttpServer::drain(std::function<void()> onDrained)
{
    impl_->workers[0]->loop->post([impl = impl_.get(), onDrained = std::move(onDrained)] {
        impl->closeListener();
        impl->onDrained = onDrained;
        for (auto &worker : impl->workers) {
            worker->loop->post([worker = worker.get()] {
                worker->context.isDraining = true;
                std::vector<std::uint64_t> ids;
                for (const auto &[id, connection] : worker->connections) {
                    ids.push_back(id);
                }
                for (const auto id : ids) {
                    worker->connections.at(id)->closeIfIdle();
                }
            });
        }
        impl->checkDrained();
    });
}

void HttpServer::Impl::checkDrained()
{
    if (stats.open == 0) {
        if (auto callback = std::exchange(onDrained, nullptr)) {
            callback();
        }
        return;
    }
    auto &loop = *workers[0]->loop;
    loop.timers().subscribe(EventLoop::now() + drainCheckInterval, [this](TimePoint) { checkDrained(); });
}

void HttpServer::shutdown()
{
    if (std::exchange(impl_->isShutDown, true)) {
        return;
    }
    for (auto &worker : impl_->workers) {
        std::promise<void> done;
        worker->loop->post([&] {
            if (worker->index == 0) {
                impl_->closeListener();
            }
            worker->connections.clear();
            worker->connectionByExchange.clear();
            done.set_value();
        });
        done.get_future().wait();
        worker->loop->stop();
    }
    // The workers stay: other threads may still post to their loops, without effect.
}

void HttpServer::reply(HttpExchange exchange, HttpReply reply)
{
    impl_->updateAnswer(exchange, [reply = std::move(reply)](HttpAnswer &answer) { answer.reply(reply); });
}

void HttpServer::begin(HttpExchange exchange, std::uint32_t status, HttpHeaders headers)
{
    impl_->updateAnswer(exchange,
                        [status, headers = std::move(headers)](HttpAnswer &answer) { answer.begin(status, headers); });
}

void HttpServer::send(HttpExchange exchange, std::string data)
{
    impl_->updateAnswer(exchange, [data = std::move(data)](HttpAnswer &answer) { answer.send(data); });
}

void HttpServer::finish(HttpExchange exchange)
{
    impl_->updateAnswer(exchange, [](HttpAnswer &answer) { answer.finish(); });
}

void HttpServer::fail(HttpExchange exchange, HttpReply reply)
{
    impl_->updateAnswer(exchange, [reply = std::move(reply)](HttpAnswer &answer) { answer.fail(reply); });
}

void HttpServer::cut(HttpExchange exchange, HttpReply reply)
{
    impl_->updateAnswer(exchange, [reply = std::move(reply)](HttpAnswer &answer) { answer.cut(reply); });
}

bool HttpServer::hasCallerLeft(HttpExchange exchange) const
{
    const auto *connection = impl_->findWorker(exchange).findConnection(exchange);
    return connection == nullptr || connection->hasPeerClosed();
}

void HttpServer::closeAfterAnswers()
{
    for (auto &worker : impl_->workers) {
        worker->loop->post([worker = worker.get()] { worker->context.isDraining = true; });
    }
}

void HttpServer::updateLimits(std::uint32_t maxHeadBytes, std::uint64_t maxBodyBytes, Duration headTimeout,
                              Duration idleTimeout)
{
    for (auto &worker : impl_->workers) {
        worker->loop->post([worker = worker.get(), maxHeadBytes, maxBodyBytes, headTimeout, idleTimeout] {
            auto &limits = worker->limits;
            limits.maxHeadBytes = maxHeadBytes;
            limits.maxBodyBytes = maxBodyBytes;
            limits.headTimeout = headTimeout;
            limits.idleTimeout = idleTimeout;
        });
    }
}

MemoryAccount &HttpServer::memory()
{
    return *impl_->init.memory;
}

EventLoop &HttpServer::loop()
{
    return *impl_->workers.front()->loop;
}

HttpServerStats HttpServer::stats() const
{
    HttpServerStats result;
    for (std::size_t i = 0; i < enumCount<HttpError>; ++i) {
        result.errors.add(static_cast<HttpError>(i), impl_->stats.problems[i]);
    }
    result.connections = impl_->stats.connections;
    result.requests = impl_->stats.requests;
    result.slowReadersCut = impl_->stats.slowReadersCut;
    result.acceptsWithoutDescriptor = impl_->stats.acceptsWithoutDescriptor;
    result.openConnections = impl_->stats.open;
    return result;
}

} // namespace anvilscale

// The HTTP server: a listener, event loops with their connections, and the way from an exchange to its connection.
#include "caller_connection.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <future>
#include <unordered_map>

namespace anvilscale {

namespace {

constexpr int listenBacklog = 1024;
constexpr int acceptsAtOnce = 64;
constexpr std::uint64_t loopBits = 8;
constexpr std::uint64_t loopMask = (1U << loopBits) - 1;
constexpr Duration drainCheck = Milliseconds(50);

struct AtomicStats
{
    std::array<std::atomic<std::uint64_t>, enumCount<HttpProblem>> problems{};
    std::atomic<std::uint64_t> connections = 0;
    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> slowReadersCut = 0;
    std::atomic<std::uint32_t> open = 0;
};

// One traffic thread with its connections. Everything but the loop itself belongs to that thread.
struct Worker
{
    std::uint64_t number = 0;
    std::uint64_t lastExchange = 0;
    std::uint64_t lastConnection = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<CallerConnection>> connections;
    std::unordered_map<std::uint64_t, std::uint64_t> exchanges; // exchange to connection
    CallerConnectionContext context;
    HttpServerInit limits; // the server's, with what updateLimits has changed
    std::unique_ptr<EventLoop> loop;

    CallerConnection *find(HttpExchange exchange)
    {
        const auto found = exchanges.find(exchange.value);
        return found == exchanges.end() ? nullptr : connections.at(found->second).get();
    }
};

NetErrorKind kindOf(const Poco::Exception &error)
{
    if (error.code() == EADDRINUSE) {
        return NetErrorKind::AddressInUse;
    }
    if (error.code() == EACCES) {
        return NetErrorKind::NotPermitted;
    }
    return error.code() == EADDRNOTAVAIL ? NetErrorKind::BadAddress : NetErrorKind::Failed;
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
    bool listening = false; // first worker's thread only
    std::function<void()> idle;

    void addWorker(std::uint64_t number);
    void accept();
    bool acceptOne();
    void adopt(Worker &worker, const Poco::Net::StreamSocket &socket, bool overLimit);
    void closeListener();
    void checkIdle();
    Worker &workerOf(HttpExchange exchange)
    {
        return *workers[(exchange.value & loopMask) % workers.size()];
    }
    template<class Change>
    void change(HttpExchange exchange, Change change)
    {
        auto &worker = workerOf(exchange);
        worker.loop->post([&worker, exchange, change = std::move(change)]() mutable {
            if (auto *connection = worker.find(exchange)) {
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
    const auto text = impl->init.address + ":" + std::to_string(impl->init.port);
    try {
        // The address may be taken over from a process that is gone, but never shared with one that lives.
        impl->listener.bind(Poco::Net::SocketAddress(impl->init.address, impl->init.port), true, false);
        impl->listener.listen(listenBacklog);
        impl->listener.setBlocking(false);
    } catch (const Poco::Exception &error) {
        return tl::unexpected(NetError{kindOf(error), text, error.displayText()});
    }
    for (std::uint64_t number = 0; number < std::max<std::uint32_t>(1, impl->init.threads); ++number) {
        impl->addWorker(number);
    }
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

void HttpServer::Impl::addWorker(std::uint64_t number)
{
    auto owned = std::make_unique<Worker>();
    auto *worker = owned.get();
    worker->number = number;
    worker->loop = std::make_unique<EventLoop>("http-" + std::to_string(number));
    auto &context = worker->context;
    worker->limits = init;
    context.init = &worker->limits;
    context.loop = worker->loop.get();
    context.handlers = &handlers;
    context.newExchange = [this, worker](std::uint64_t connection) {
        stats.requests += 1;
        const HttpExchange exchange{(++worker->lastExchange << loopBits) | worker->number};
        worker->exchanges[exchange.value] = connection;
        return exchange;
    };
    context.endExchange = [worker](HttpExchange exchange) { worker->exchanges.erase(exchange.value); };
    context.countProblem = [this](HttpProblem problem) { stats.problems[static_cast<std::size_t>(problem)] += 1; };
    context.countSlowReader = [this] { stats.slowReadersCut += 1; };
    context.closed = [this, worker](std::uint64_t connection) {
        if (worker->connections.erase(connection) != 0) {
            stats.open -= 1;
        }
    };
    workers.push_back(std::move(owned));
}

std::uint16_t HttpServer::port() const
{
    return impl_->listener.address().port();
}

void HttpServer::start()
{
    impl_->workers[0]->loop->post([impl = impl_.get()] {
        impl->listening = true;
        impl->workers[0]->loop->watch(impl->listener, Poco::Net::PollSet::POLL_READ, [impl](int) { impl->accept(); });
    });
}

void HttpServer::Impl::accept()
{
    for (int i = 0; i < acceptsAtOnce && acceptOne(); ++i) {
    }
}

bool HttpServer::Impl::acceptOne()
{
    Poco::Net::StreamSocket socket;
    try {
        if (!listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            return false;
        }
        socket = listener.acceptConnection();
    } catch (const Poco::Exception &) {
        return false; // taken back by the caller, or out of descriptors: tried again at the next readiness
    }
    stats.connections += 1;
    const bool overLimit = stats.open.fetch_add(1) >= init.connectionLimit;
    auto &worker = *workers[nextWorker++ % workers.size()];
    worker.loop->post([this, &worker, socket, overLimit] { adopt(worker, socket, overLimit); });
    return true;
}

void HttpServer::Impl::adopt(Worker &worker, const Poco::Net::StreamSocket &socket, bool overLimit)
{
    const auto id = ++worker.lastConnection;
    try {
        auto connection = std::make_unique<CallerConnection>(id, socket, worker.context);
        auto *raw = connection.get();
        worker.connections.emplace(id, std::move(connection));
        if (overLimit) {
            raw->refuse(HttpProblem::ConnectionLimit);
        }
    } catch (const Poco::Exception &) {
        stats.open -= 1; // reset before it could be set up
    }
}

void HttpServer::Impl::closeListener()
{
    if (listening) {
        listening = false;
        // What the kernel has taken but we have not would be reset by the close, with a request perhaps on its way.
        while (acceptOne()) {
        }
        workers[0]->loop->forget(listener);
        listener.close();
    }
}

void HttpServer::drain(std::function<void()> idle)
{
    impl_->workers[0]->loop->post([impl = impl_.get(), idle = std::move(idle)] {
        impl->closeListener();
        impl->idle = idle;
        for (auto &worker : impl->workers) {
            worker->loop->post([worker = worker.get()] {
                worker->context.draining = true;
                std::vector<std::uint64_t> ids;
                for (const auto &[id, connection] : worker->connections) {
                    ids.push_back(id);
                }
                for (const auto id : ids) {
                    worker->connections.at(id)->closeIfIdle();
                }
            });
        }
        impl->checkIdle();
    });
}

void HttpServer::Impl::checkIdle()
{
    if (stats.open == 0) {
        if (auto call = std::exchange(idle, nullptr)) {
            call();
        }
        return;
    }
    auto &loop = *workers[0]->loop;
    loop.timers().subscribe(EventLoop::now() + drainCheck, [this](TimePoint) { checkIdle(); });
}

void HttpServer::shutdown()
{
    if (impl_->workers.empty()) {
        return;
    }
    for (auto &worker : impl_->workers) {
        std::promise<void> done;
        worker->loop->post([&] {
            if (worker->number == 0) {
                impl_->closeListener();
            }
            worker->connections.clear();
            worker->exchanges.clear();
            done.set_value();
        });
        done.get_future().wait();
        worker->loop->stop();
    }
    impl_->workers.clear();
}

void HttpServer::reply(HttpExchange exchange, HttpReply reply)
{
    impl_->change(exchange, [reply = std::move(reply)](HttpAnswer &answer) { answer.reply(reply); });
}

void HttpServer::begin(HttpExchange exchange, std::uint32_t status, HttpHeaders headers)
{
    impl_->change(exchange, [status, headers = std::move(headers)](HttpAnswer &answer) mutable {
        answer.begin(status, std::move(headers));
    });
}

void HttpServer::send(HttpExchange exchange, std::string data)
{
    impl_->change(exchange, [data = std::move(data)](HttpAnswer &answer) { answer.send(data); });
}

void HttpServer::finish(HttpExchange exchange)
{
    impl_->change(exchange, [](HttpAnswer &answer) { answer.finish(); });
}

void HttpServer::fail(HttpExchange exchange, HttpReply reply)
{
    impl_->change(exchange, [reply = std::move(reply)](HttpAnswer &answer) { answer.fail(reply); });
}

void HttpServer::cut(HttpExchange exchange, HttpReply reply)
{
    impl_->change(exchange, [reply = std::move(reply)](HttpAnswer &answer) { answer.cut(reply); });
}

void HttpServer::closeAfterAnswers()
{
    for (auto &worker : impl_->workers) {
        worker->loop->post([worker = worker.get()] { worker->context.draining = true; });
    }
}

void HttpServer::updateLimits(std::uint32_t headLimit, std::uint64_t bodyLimit, Duration headTimeout,
                              Duration idleTimeout)
{
    for (auto &worker : impl_->workers) {
        worker->loop->post([worker = worker.get(), headLimit, bodyLimit, headTimeout, idleTimeout] {
            auto &limits = worker->limits;
            limits.headLimit = headLimit;
            limits.bodyLimit = bodyLimit;
            limits.headTimeout = headTimeout;
            limits.idleTimeout = idleTimeout;
        });
    }
}

EventLoop &HttpServer::loop()
{
    return *impl_->workers.front()->loop;
}

HttpServerStats HttpServer::stats() const
{
    HttpServerStats result;
    for (std::size_t i = 0; i < enumCount<HttpProblem>; ++i) {
        result.problems.add(static_cast<HttpProblem>(i), impl_->stats.problems[i]);
    }
    result.connections = impl_->stats.connections;
    result.requests = impl_->stats.requests;
    result.slowReadersCut = impl_->stats.slowReadersCut;
    result.open = impl_->stats.open;
    return result;
}

} // namespace anvilscale

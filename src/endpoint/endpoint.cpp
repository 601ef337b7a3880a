// Endpoint: forwards requests to its worker threads and selects the protocol by kind of endpoint.
#include "endpoint_runner.h"
#include "model_engine.h"
#include "plain_service.h"

#include <atomic>
#include <future>
#include <mutex>

namespace anvilscale {

tl::expected<NetAddress, EndpointErrorKind> parseEndpointUrl(std::string_view url)
{
    const auto address = NetAddress::parseUrl(url);
    if (!address) {
        return tl::unexpected(EndpointErrorKind::BadUrl);
    }
    if (!address->isLoopback()) {
        return tl::unexpected(EndpointErrorKind::NotLoopback);
    }
    return *address;
}

// One thread and the calls assigned to it.
struct Worker
{
    using Runner = std::variant<EndpointRunner<ModelEngine>, EndpointRunner<PlainService>>;

    explicit Worker(std::size_t number)
        : loop("endpoint-" + std::to_string(number))
    {
    }
    template<class Task>
    void post(Task task)
    {
        loop.post([this, task = std::move(task)]() mutable {
            if (runner) {
                std::visit([&](auto &typedRunner) { task(typedRunner); }, *runner);
            }
        });
    }

    EventLoop loop;
    std::unique_ptr<Runner> runner; // created, used and destroyed on the loop's thread
};

struct Endpoint::Impl
{
    EndpointInit init;
    Handlers handlers;
    std::vector<std::unique_ptr<Worker>> workers;

    void addWorker()
    {
        auto &worker = *workers.emplace_back(std::make_unique<Worker>(workers.size()));
        worker.loop.post([this, &worker] {
            if (init.kind == EndpointKind::Engine) {
                worker.runner = std::make_unique<Worker::Runner>(std::in_place_index<0>, worker.loop, init, handlers,
                                                                 ModelEngine(init.batchLimit));
            } else {
                worker.runner = std::make_unique<Worker::Runner>(std::in_place_index<1>, worker.loop, init, handlers,
                                                                 PlainService());
            }
        });
    }
    Worker &workerOf(ExecutionHandle execution)
    {
        return *workers[execution.value % workers.size()];
    }
    template<class Task>
    void postToAll(const Task &task)
    {
        for (auto &worker : workers) {
            worker->post(task);
        }
    }
};

Endpoint::Endpoint(const EndpointInit &init, Handlers handlers)
    : impl_(std::make_unique<Impl>())
{
    impl_->init = init;
    impl_->handlers = std::move(handlers);
    for (std::uint32_t i = 0; i < std::max<std::uint32_t>(1, impl_->init.threadCount); ++i) {
        impl_->addWorker();
    }
}

Endpoint::~Endpoint()
{
    shutdown();
}

void Endpoint::start(StartExecution action)
{
    auto &worker = impl_->workerOf(action.execution);
    worker.post([action = std::move(action)](auto &runner) { runner.start(action); });
}

void Endpoint::attach(AttachListener action)
{
    auto &worker = impl_->workerOf(action.execution);
    worker.post([action = std::move(action)](auto &runner) { runner.attach(action); });
}

void Endpoint::release(ExecutionHandle execution)
{
    impl_->workerOf(execution).post([execution](auto &runner) { runner.release(execution); });
}

void Endpoint::detach(DetachListener action)
{
    auto &worker = impl_->workerOf(action.execution);
    worker.post([action = std::move(action)](auto &runner) { runner.detach(action); });
}

void Endpoint::cancel(CancelExecution action)
{
    impl_->workerOf(action.execution).post([action](auto &runner) { runner.cancel(action); });
}

void Endpoint::replay(ReplayAnswer action)
{
    impl_->workers[0]->post([action = std::move(action)](auto &runner) { runner.replay(action); });
}

void Endpoint::order(SendOrder action)
{
    impl_->workers[0]->post([action = std::move(action)](auto &runner) { runner.order(action); });
}

void Endpoint::credit(PeerHandle peer, const wire::CallCredit &credit)
{
    impl_->postToAll([peer, credit](auto &runner) { runner.credit(peer, credit); });
}

void Endpoint::listenerDisconnected(PeerHandle peer, const wire::AttemptId &id)
{
    impl_->postToAll([peer, id](auto &runner) { runner.listenerDisconnected(peer, id); });
}

void Endpoint::peerLost(PeerHandle peer)
{
    impl_->postToAll([peer](auto &runner) { runner.peerLost(peer); });
}

void Endpoint::startReports()
{
    impl_->workers[0]->post([](auto &runner) { runner.startReports(); });
}

void Endpoint::whenIdle(std::function<void()> idle)
{
    auto busyWorkers = std::make_shared<std::atomic<std::size_t>>(impl_->workers.size());
    impl_->postToAll([busyWorkers, idle = std::move(idle)](auto &runner) {
        runner.whenIdle([busyWorkers, idle] {
            if (--*busyWorkers == 0) {
                idle();
            }
        });
    });
}

void Endpoint::shutdown()
{
    for (auto &worker : impl_->workers) {
        worker->loop.post([worker = worker.get()] { worker->runner.reset(); });
        worker->loop.stop();
    }
}

EndpointStats Endpoint::stats() const
{
    EndpointStats total;
    for (auto &worker : impl_->workers) {
        std::promise<EndpointStats> result;
        auto future = result.get_future();
        worker->loop.post([&worker, &result] {
            EndpointStats workerStats;
            if (worker->runner) {
                std::visit([&](const auto &runner) { workerStats = runner.stats(); }, *worker->runner);
            }
            result.set_value(workerStats);
        });
        total.add(future.get());
    }
    return total;
}

} // namespace anvilscale

// The endpoint's public face: hands everything to the loop's thread, and picks the protocol by kind.
#include "endpoint_runner.h"
#include "model_engine.h"
#include "plain_service.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/URI.h>

#include <atomic>
#include <future>
#include <mutex>

namespace anvilscale {

tl::expected<std::pair<std::string, std::uint16_t>, EndpointErrorKind> parseEndpointUrl(std::string_view url)
{
    try {
        const Poco::URI uri{std::string(url)};
        const Poco::Net::IPAddress address(uri.getHost());
        if (uri.getScheme() != "http" || uri.getPort() == 0) {
            return tl::unexpected(EndpointErrorKind::BadUrl);
        }
        if (!address.isLoopback()) {
            return tl::unexpected(EndpointErrorKind::NotLoopback);
        }
        return std::pair(address.toString(), uri.getPort());
    } catch (const Poco::Exception &) {
        return tl::unexpected(EndpointErrorKind::BadUrl);
    }
}

// One thread with its share of the calls.
struct Lane
{
    using Runner = std::variant<EndpointRunner<ModelEngine>, EndpointRunner<PlainService>>;

    explicit Lane(std::size_t number)
        : loop("endpoint-" + std::to_string(number))
    {
    }
    template<class Use>
    void post(Use use)
    {
        loop.post([this, use = std::move(use)]() mutable {
            if (runner) {
                std::visit([&](auto &each) { use(each); }, *runner);
            }
        });
    }

    EventLoop loop;
    std::unique_ptr<Runner> runner; // made, used and destroyed in the loop's thread
};

struct Endpoint::Impl
{
    EndpointInit init;
    Handlers handlers;
    std::vector<std::unique_ptr<Lane>> lanes;

    void addLane()
    {
        auto &lane = *lanes.emplace_back(std::make_unique<Lane>(lanes.size()));
        lane.loop.post([this, &lane] {
            if (init.kind == EndpointKind::Engine) {
                lane.runner = std::make_unique<Lane::Runner>(std::in_place_index<0>, lane.loop, init, handlers,
                                                             ModelEngine(init.batchLimit));
            } else {
                lane.runner =
                    std::make_unique<Lane::Runner>(std::in_place_index<1>, lane.loop, init, handlers, PlainService());
            }
        });
    }
    Lane &laneOf(ExecutionHandle execution)
    {
        return *lanes[execution.value % lanes.size()];
    }
    template<class Use>
    void postAll(const Use &use)
    {
        for (auto &lane : lanes) {
            lane->post(use);
        }
    }
};

Endpoint::Endpoint(EndpointInit init, Handlers handlers)
    : impl_(std::make_unique<Impl>())
{
    impl_->init = std::move(init);
    impl_->handlers = std::move(handlers);
    for (std::uint32_t i = 0; i < std::max<std::uint32_t>(1, impl_->init.threads); ++i) {
        impl_->addLane();
    }
}

Endpoint::~Endpoint()
{
    shutdown();
}

void Endpoint::start(StartExecution action)
{
    auto &lane = impl_->laneOf(action.execution);
    lane.post([action = std::move(action)](auto &runner) { runner.start(action); });
}

void Endpoint::attach(AttachListener action)
{
    auto &lane = impl_->laneOf(action.execution);
    lane.post([action = std::move(action)](auto &runner) { runner.attach(action); });
}

void Endpoint::release(ExecutionHandle execution)
{
    impl_->laneOf(execution).post([execution](auto &runner) { runner.release(execution); });
}

void Endpoint::detach(DetachListener action)
{
    auto &lane = impl_->laneOf(action.execution);
    lane.post([action = std::move(action)](auto &runner) { runner.detach(action); });
}

void Endpoint::cancel(CancelExecution action)
{
    impl_->laneOf(action.execution).post([action](auto &runner) { runner.cancel(action); });
}

void Endpoint::replay(ReplayAnswer action)
{
    impl_->lanes[0]->post([action = std::move(action)](auto &runner) { runner.replay(action); });
}

void Endpoint::order(SendOrder action)
{
    impl_->lanes[0]->post([action = std::move(action)](auto &runner) { runner.order(action); });
}

void Endpoint::credit(PeerHandle peer, const wire::CallCredit &credit)
{
    impl_->postAll([peer, credit](auto &runner) { runner.credit(peer, credit); });
}

void Endpoint::listenerGone(PeerHandle peer, const wire::AttemptId &id)
{
    impl_->postAll([peer, id](auto &runner) { runner.listenerGone(peer, id); });
}

void Endpoint::peerLost(PeerHandle peer)
{
    impl_->postAll([peer](auto &runner) { runner.peerLost(peer); });
}

void Endpoint::startReports()
{
    impl_->lanes[0]->post([](auto &runner) { runner.startReports(); });
}

void Endpoint::whenIdle(std::function<void()> idle)
{
    auto busy = std::make_shared<std::atomic<std::size_t>>(impl_->lanes.size());
    impl_->postAll([busy, idle = std::move(idle)](auto &runner) {
        runner.whenIdle([busy, idle] {
            if (--*busy == 0) {
                idle();
            }
        });
    });
}

void Endpoint::shutdown()
{
    for (auto &lane : impl_->lanes) {
        lane->loop.post([lane = lane.get()] { lane->runner.reset(); });
        lane->loop.stop();
    }
}

EndpointStats Endpoint::stats() const
{
    EndpointStats all;
    for (auto &lane : impl_->lanes) {
        std::promise<EndpointStats> result;
        auto future = result.get_future();
        lane->loop.post([&lane, &result] {
            EndpointStats stats;
            if (lane->runner) {
                std::visit([&](const auto &runner) { stats = runner.stats(); }, *lane->runner);
            }
            result.set_value(stats);
        });
        all.add(future.get());
    }
    return all;
}

} // namespace anvilscale

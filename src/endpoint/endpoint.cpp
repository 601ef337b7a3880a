// The endpoint's public face: hands everything to the loop's thread, and picks the protocol by kind.
#include "endpoint_runner.h"
#include "model_engine.h"
#include "plain_service.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/URI.h>

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

struct Endpoint::Impl
{
    using Runner = std::variant<EndpointRunner<ModelEngine>, EndpointRunner<PlainService>>;

    EndpointInit init;
    Handlers handlers;
    EventLoop loop{"endpoint"};
    std::unique_ptr<Runner> runner; // made, used and destroyed in the loop's thread

    void make()
    {
        if (init.kind == EndpointKind::Engine) {
            runner =
                std::make_unique<Runner>(std::in_place_index<0>, loop, init, handlers, ModelEngine(init.batchLimit));
        } else {
            runner = std::make_unique<Runner>(std::in_place_index<1>, loop, init, handlers, PlainService());
        }
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
};

Endpoint::Endpoint(EndpointInit init, Handlers handlers)
    : impl_(std::make_unique<Impl>())
{
    impl_->init = std::move(init);
    impl_->handlers = std::move(handlers);
    impl_->loop.post([impl = impl_.get()] { impl->make(); });
}

Endpoint::~Endpoint()
{
    shutdown();
}

void Endpoint::start(StartExecution action)
{
    impl_->post([action = std::move(action)](auto &runner) { runner.start(action); });
}

void Endpoint::attach(AttachListener action)
{
    impl_->post([action = std::move(action)](auto &runner) { runner.attach(action); });
}

void Endpoint::detach(DetachListener action)
{
    impl_->post([action = std::move(action)](auto &runner) { runner.detach(action); });
}

void Endpoint::cancel(CancelExecution action)
{
    impl_->post([action](auto &runner) { runner.cancel(action); });
}

void Endpoint::replay(ReplayAnswer action)
{
    impl_->post([action = std::move(action)](auto &runner) { runner.replay(action); });
}

void Endpoint::order(SendOrder action)
{
    impl_->post([action = std::move(action)](auto &runner) { runner.order(action); });
}

void Endpoint::credit(PeerHandle peer, const wire::CallCredit &credit)
{
    impl_->post([peer, credit](auto &runner) { runner.credit(peer, credit); });
}

void Endpoint::listenerGone(PeerHandle peer, const wire::AttemptId &id)
{
    impl_->post([peer, id](auto &runner) { runner.listenerGone(peer, id); });
}

void Endpoint::peerLost(PeerHandle peer)
{
    impl_->post([peer](auto &runner) { runner.peerLost(peer); });
}

void Endpoint::startReports()
{
    impl_->post([](auto &runner) { runner.startReports(); });
}

void Endpoint::shutdown()
{
    impl_->loop.post([impl = impl_.get()] { impl->runner.reset(); });
    impl_->loop.stop();
}

EndpointStats Endpoint::stats() const
{
    std::promise<EndpointStats> result;
    auto future = result.get_future();
    impl_->loop.post([this, &result] {
        EndpointStats stats;
        if (impl_->runner) {
            std::visit([&](const auto &runner) { stats = runner.stats(); }, *impl_->runner);
        }
        result.set_value(stats);
    });
    return future.get();
}

} // namespace anvilscale

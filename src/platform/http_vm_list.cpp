// Polling of the platform's list of VMs over HTTP.
#include "http_connection.h"

#include "anvilscale/platform.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <condition_variable>
#include <thread>

namespace anvilscale {

static_assert(VmListSource<HttpVmList>);

namespace {
constexpr std::size_t maxAnswerBytes = 4U << 20;
constexpr int httpOk = 200;

std::string readText(const Poco::JSON::Object &object, const char *name)
{
    return object.getValue<std::string>(name);
}

VmInfo readVm(const Poco::JSON::Object &object)
{
    const auto role = fromString<VmRole>(readText(object, "role"));
    const auto state = fromString<VmState>(readText(object, "state"));
    if (!role || !state) {
        throw Poco::DataFormatException("unknown role or state");
    }
    VmInfo vm;
    vm.name = readText(object, "name");
    vm.role = *role;
    vm.state = *state;
    vm.dataCentre = readText(object, "dataCentre");
    vm.region = readText(object, "region");
    vm.address = readText(object, "address");
    return vm;
}

HttpVmList::Result fetchList(HttpConnection &connection, const std::string &path, Duration timeout)
{
    const auto deadline = HttpConnection::Clock::now() + timeout;
    const auto answer = connection.exchange("GET", path, {}, deadline, maxAnswerBytes);
    if (!answer) {
        const bool isTooLarge = answer.error() == ExchangeError::TooLarge;
        return tl::unexpected(isTooLarge ? VmListError::TooLarge : VmListError::Unreachable);
    }
    if (answer->status != httpOk) {
        return tl::unexpected(VmListError::BadStatus);
    }
    return parseVmList(answer->body);
}

std::string requestPath(const std::string &url)
{
    const auto path = Poco::URI(url).getPathEtc();
    return path.empty() ? "/" : path;
}
} // namespace

tl::expected<std::vector<VmInfo>, VmListError> parseVmList(const std::string &json)
{
    try {
        Poco::JSON::Parser parser;
        const auto list = parser.parse(json).extract<Poco::JSON::Object::Ptr>()->getArray("vms");
        if (list.isNull()) {
            return tl::unexpected(VmListError::BadForm);
        }
        std::vector<VmInfo> vms;
        for (std::size_t i = 0; i < list->size(); ++i) {
            const auto object = list->getObject(static_cast<unsigned>(i));
            if (object.isNull()) {
                return tl::unexpected(VmListError::BadForm);
            }
            vms.push_back(readVm(*object));
        }
        return vms;
    } catch (const Poco::Exception &) {
        return tl::unexpected(VmListError::BadForm);
    }
}

HttpVmList::Result readVmList(const std::string &url, Duration timeout)
{
    HttpConnection connection(url);
    return fetchList(connection, requestPath(url), timeout);
}

struct HttpVmList::Impl
{
    Impl(Init parameters, std::function<void(Result)> resultCallback)
        : init(std::move(parameters))
        , callback(std::move(resultCallback))
        , connection(init.url)
        , thread([this] { run(); })
    {
    }

    void run()
    {
        const std::string path = requestPath(init.url);
        std::unique_lock lock(mutex);
        while (!isStopped) {
            isRefreshRequested = false;
            lock.unlock();
            auto result = fetchList(connection, path, init.timeout);
            lock.lock();
            if (isStopped) {
                return;
            }
            lock.unlock();
            callback(std::move(result));
            lock.lock();
            wake.wait_for(lock, init.interval, [this] { return isStopped || isRefreshRequested; });
        }
    }

    const Init init;
    const std::function<void(Result)> callback;
    HttpConnection connection;
    std::mutex mutex; // guards isRefreshRequested and isStopped
    std::condition_variable wake;
    bool isRefreshRequested = false;
    bool isStopped = false;
    std::thread thread;
};

HttpVmList::HttpVmList(Init init, std::function<void(Result)> callback)
    : impl_(std::make_unique<Impl>(std::move(init), std::move(callback)))
{
}

HttpVmList::~HttpVmList()
{
    shutdown();
}

void HttpVmList::requestRefresh()
{
    const std::scoped_lock lock(impl_->mutex);
    impl_->isRefreshRequested = true;
    impl_->wake.notify_all();
}

void HttpVmList::shutdown()
{
    {
        const std::scoped_lock lock(impl_->mutex);
        impl_->isStopped = true;
        impl_->wake.notify_all();
    }
    impl_->connection.abort();
    if (impl_->thread.joinable()) {
        impl_->thread.join();
    }
}

} // namespace anvilscale

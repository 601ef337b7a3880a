// The platform's list of VMs over HTTP.
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
constexpr std::size_t answerLimit = 4U << 20;
constexpr int httpOk = 200;

std::string text(const Poco::JSON::Object &object, const char *name)
{
    return object.getValue<std::string>(name);
}

VmInfo readVm(const Poco::JSON::Object &object)
{
    const auto role = fromString<VmRole>(text(object, "role"));
    const auto state = fromString<VmState>(text(object, "state"));
    if (!role || !state) {
        throw Poco::DataFormatException("role or state");
    }
    VmInfo vm;
    vm.name = text(object, "name");
    vm.role = *role;
    vm.state = *state;
    vm.dataCentre = text(object, "dataCentre");
    vm.region = text(object, "region");
    vm.address = text(object, "address");
    return vm;
}

HttpVmList::Result read(HttpConnection &connection, const std::string &path, Duration timeout)
{
    const auto deadline = HttpConnection::Clock::now() + timeout;
    const auto answer = connection.exchange("GET", path, {}, deadline, answerLimit);
    if (!answer) {
        const bool large = answer.error() == ExchangeError::TooLarge;
        return tl::unexpected(large ? VmListError::TooLarge : VmListError::Unreachable);
    }
    if (answer->status != httpOk) {
        return tl::unexpected(VmListError::BadStatus);
    }
    return parseVmList(answer->body);
}

std::string pathOf(const std::string &url)
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
    return read(connection, pathOf(url), timeout);
}

struct HttpVmList::Impl
{
    Impl(Init given, std::function<void(Result)> receiver)
        : init(std::move(given))
        , callback(std::move(receiver))
        , connection(init.url)
        , thread([this] { run(); })
    {
    }

    void run()
    {
        const std::string path = pathOf(init.url);
        std::unique_lock lock(mutex);
        while (!stopped) {
            asked = false;
            lock.unlock();
            auto result = read(connection, path, init.timeout);
            lock.lock();
            if (stopped) {
                return;
            }
            lock.unlock();
            callback(std::move(result));
            lock.lock();
            wake.wait_for(lock, init.interval, [this] { return stopped || asked; });
        }
    }

    const Init init;
    const std::function<void(Result)> callback;
    HttpConnection connection;
    std::mutex mutex; // guards asked and stopped
    std::condition_variable wake;
    bool asked = false;
    bool stopped = false;
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
    impl_->asked = true;
    impl_->wake.notify_all();
}

void HttpVmList::shutdown()
{
    {
        const std::scoped_lock lock(impl_->mutex);
        impl_->stopped = true;
        impl_->wake.notify_all();
    }
    impl_->connection.abort();
    if (impl_->thread.joinable()) {
        impl_->thread.join();
    }
}

} // namespace anvilscale

// The key-value service stand-in: a subset of the published JSON gateway of etcd v3 over an in-memory store.
// POST /standin sets faults (see faults.h) and {"compact": revision}; GET /standin prints counters.
#include "faults.h"
#include "http_host.h"
#include "key_value_store.h"
#include "subcommands.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <cxxopts.hpp>

#include <atomic>
#include <iterator>
#include <sstream>
#include <thread>

namespace standins {

namespace {
using Poco::JSON::Array;

constexpr std::size_t valueLimit = 1U << 20;
constexpr std::chrono::milliseconds expiryStep(20);
constexpr std::chrono::milliseconds watchStep(100);
constexpr int grpcInvalidArgument = 3;
constexpr int grpcNotFound = 5;
constexpr int grpcResourceExhausted = 8;

std::string encode(const std::string &bytes)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

std::string decode(const std::string &text)
{
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in);
    return {std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>()};
}

std::string bytes(const JsonObject &object, const std::string &name)
{
    return decode(option<std::string>(object, name, ""));
}

JsonObject::Ptr header(std::int64_t revision)
{
    JsonObject::Ptr object = new JsonObject;
    object->set("cluster_id", "1");
    object->set("member_id", "1");
    object->set("revision", std::to_string(revision));
    return object;
}

JsonObject::Ptr printEntry(const StoredEntry &entry)
{
    JsonObject::Ptr kv = new JsonObject;
    kv->set("key", encode(entry.key));
    kv->set("mod_revision", std::to_string(entry.modRevision));
    if (entry.version > 0) {
        kv->set("create_revision", std::to_string(entry.createRevision));
        kv->set("version", std::to_string(entry.version));
        kv->set("value", encode(entry.value));
    }
    if (entry.lease != 0) {
        kv->set("lease", std::to_string(entry.lease));
    }
    return kv;
}

JsonObject::Ptr printRange(const OperationResult &result, std::int64_t revision)
{
    Array::Ptr kvs = new Array;
    for (const auto &entry : result.entries) {
        kvs->add(printEntry(entry));
    }
    JsonObject::Ptr range = new JsonObject;
    range->set("header", header(revision));
    if (!result.entries.empty()) {
        range->set("kvs", kvs);
        range->set("count", std::to_string(result.entries.size()));
    }
    return range;
}

StoreCompare readCompare(const JsonObject &object)
{
    StoreCompare compare;
    compare.key = bytes(object, "key");
    const auto target = option<std::string>(object, "target", "VERSION");
    if (option<std::string>(object, "result", "EQUAL") != "EQUAL") {
        throw Poco::DataFormatException("only EQUAL is known");
    }
    if (target == "MOD") {
        compare.expected = option<Poco::Int64>(object, "mod_revision", 0);
    } else if (target == "CREATE") {
        compare.target = CompareTarget::CreateRevision;
        compare.expected = option<Poco::Int64>(object, "create_revision", 0);
    } else if (target == "VERSION") {
        compare.target = CompareTarget::Version;
        compare.expected = option<Poco::Int64>(object, "version", 0);
    } else {
        throw Poco::DataFormatException("unknown compare target");
    }
    return compare;
}

StoreOperation readOperation(const JsonObject &object)
{
    StoreOperation operation;
    JsonObject::Ptr body = object.getObject("request_range");
    if (object.has("request_put")) {
        operation.kind = OperationKind::Put;
        body = object.getObject("request_put");
        operation.value = bytes(*body, "value");
        operation.lease = option<Poco::Int64>(*body, "lease", 0);
    } else if (object.has("request_delete_range")) {
        operation.kind = OperationKind::Delete;
        body = object.getObject("request_delete_range");
    }
    if (body.isNull()) {
        throw Poco::DataFormatException("unknown operation");
    }
    operation.key = bytes(*body, "key");
    operation.rangeEnd = bytes(*body, "range_end");
    return operation;
}

template<class Read>
auto readList(const JsonObject &object, const std::string &name, Read read)
{
    std::vector<decltype(read(object))> list;
    const auto array = object.getArray(name);
    for (std::size_t i = 0; !array.isNull() && i < array->size(); ++i) {
        list.push_back(read(*array->getObject(static_cast<unsigned>(i))));
    }
    return list;
}

class KeyValueHost
{
public:
    explicit KeyValueHost(const cxxopts::ParseResult &options)
    {
        JsonObject faults;
        faults.set("ratePerSecond", options["rate"].as<double>());
        faults_.set(faults);
        expiry_ = std::thread([this] {
            while (true) {
                std::this_thread::sleep_for(expiryStep);
                store_.expireLeases(KeyValueStore::Clock::now());
            }
        });
        expiry_.detach(); // runs as long as the process
    }

    void handle(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const std::string path = request.getURI();
        const auto body = readJson(request);
        if (path == "/standin") {
            control(*body, response);
            return;
        }
        ++calls_;
        const bool write = path != "/v3/kv/range" && path != "/v3/watch";
        const Fate fate = faults_.next(write);
        if (fate == Fate::Close) {
            cut(request);
        } else if (fate == Fate::TooMany) {
            ++refused_;
            error(response, HTTPServerResponse::HTTP_TOO_MANY_REQUESTS, grpcResourceExhausted, "too many requests");
        } else if (path == "/v3/watch") {
            watch(request, response, *body);
        } else {
            answer(request, response, path, *body, fate == Fate::LoseReply);
        }
    }

private:
    static void error(HTTPServerResponse &response, int status, int code, const std::string &message)
    {
        JsonObject object;
        object.set("error", "etcdserver: " + message);
        object.set("message", "etcdserver: " + message);
        object.set("code", code);
        sendJson(response, status, object);
    }

    void control(const JsonObject &body, HTTPServerResponse &response)
    {
        faults_.set(body);
        if (body.has("compact")) {
            store_.compact(body.getValue<Poco::Int64>("compact"));
        }
        JsonObject object;
        object.set("calls", calls_.load());
        object.set("refused", refused_.load());
        object.set("lostReplies", lost_.load());
        object.set("watches", watches_.load());
        object.set("leases", store_.leases());
        object.set("revision", store_.revision());
        sendJson(response, HTTPServerResponse::HTTP_OK, object);
    }

    void answer(HTTPServerRequest &request, HTTPServerResponse &response, const std::string &path,
                const JsonObject &body, bool lose)
    {
        JsonObject object;
        int status = HTTPServerResponse::HTTP_OK;
        if (path == "/v3/kv/range") {
            StoreOperation operation;
            operation.key = bytes(body, "key");
            operation.rangeEnd = bytes(body, "range_end");
            const auto result = store_.txn({}, {operation}, {});
            object = *printRange(result.results.at(0), result.revision);
        } else if (path == "/v3/kv/txn") {
            status = txn(body, object);
        } else if (path == "/v3/lease/grant") {
            const auto seconds = option<Poco::Int64>(body, "TTL", 0);
            object.set("ID", std::to_string(store_.grantLease(seconds)));
            object.set("TTL", std::to_string(seconds));
            object.set("header", header(store_.revision()));
        } else if (path == "/v3/lease/keepalive") {
            keepAlive(body, object);
        } else if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
            status = revoke(body, object);
        } else {
            status = HTTPServerResponse::HTTP_NOT_FOUND;
            object.set("code", grpcInvalidArgument);
        }
        if (lose) {
            ++lost_;
            cut(request);
            return;
        }
        sendJson(response, status, object);
    }

    int txn(const JsonObject &body, JsonObject &object)
    {
        const auto success = readList(body, "success", readOperation);
        for (const auto &operation : success) {
            if (operation.value.size() > valueLimit) {
                object.set("error", "etcdserver: request is too large");
                object.set("code", grpcInvalidArgument);
                return HTTPServerResponse::HTTP_BAD_REQUEST;
            }
        }
        const auto result =
            store_.txn(readList(body, "compare", readCompare), success, readList(body, "failure", readOperation));
        if (result.leaseMissing) {
            object.set("error", "etcdserver: requested lease not found");
            object.set("code", grpcNotFound);
            return HTTPServerResponse::HTTP_NOT_FOUND;
        }
        object.set("header", header(result.revision));
        if (result.succeeded) {
            object.set("succeeded", true);
        }
        Array::Ptr responses = new Array;
        for (const auto &part : result.results) {
            JsonObject::Ptr wrapped = new JsonObject;
            const bool put = part.kind == OperationKind::Put;
            const char *name = put ? "response_put" : "response_delete_range";
            wrapped->set(part.kind == OperationKind::Range ? "response_range" : name,
                         printRange(part, result.revision));
            responses->add(wrapped);
        }
        object.set("responses", responses);
        return HTTPServerResponse::HTTP_OK;
    }

    void keepAlive(const JsonObject &body, JsonObject &object)
    {
        const auto id = option<Poco::Int64>(body, "ID", 0);
        const auto seconds = store_.keepAlive(id);
        JsonObject::Ptr result = new JsonObject;
        result->set("header", header(store_.revision()));
        result->set("ID", std::to_string(id));
        if (seconds) {
            result->set("TTL", std::to_string(*seconds));
        }
        object.set("result", result);
    }

    int revoke(const JsonObject &body, JsonObject &object)
    {
        if (!store_.revokeLease(option<Poco::Int64>(body, "ID", 0))) {
            object.set("error", "etcdserver: requested lease not found");
            object.set("code", grpcNotFound);
            return HTTPServerResponse::HTTP_NOT_FOUND;
        }
        object.set("header", header(store_.revision()));
        return HTTPServerResponse::HTTP_OK;
    }

    static void send(std::ostream &out, const JsonObject::Ptr &result)
    {
        JsonObject line;
        line.set("result", result);
        out << print(line) + "\n" << std::flush;
    }

    JsonObject::Ptr watchHeader() const
    {
        JsonObject::Ptr result = new JsonObject;
        result->set("header", header(store_.revision()));
        return result;
    }

    void watch(HTTPServerRequest &request, HTTPServerResponse &response, const JsonObject &body)
    {
        const auto create = body.getObject("create_request");
        if (create.isNull()) {
            error(response, HTTPServerResponse::HTTP_BAD_REQUEST, grpcInvalidArgument, "no create_request");
            return;
        }
        const auto key = bytes(*create, "key");
        const auto rangeEnd = bytes(*create, "range_end");
        auto created = watchHeader();
        std::int64_t next = option<Poco::Int64>(*create, "start_revision", 0);
        next = next == 0 ? created->getObject("header")->get("revision").convert<Poco::Int64>() + 1 : next;
        response.setChunkedTransferEncoding(true);
        response.setContentType("application/json");
        std::ostream &out = response.send();
        created->set("created", true);
        send(out, created);
        if (next < store_.compacted()) {
            auto over = watchHeader();
            over->set("canceled", true);
            over->set("compact_revision", std::to_string(store_.compacted()));
            send(out, over);
            return;
        }
        ++watches_;
        while (out.good() && !clientGone(request) && !faults_.out()) {
            sendEvents(out, store_.events(key, rangeEnd, next, watchStep, next));
        }
        --watches_;
        cut(request);
    }

    void sendEvents(std::ostream &out, const std::vector<StoreEvent> &events) const
    {
        if (events.empty()) {
            return;
        }
        Array::Ptr list = new Array;
        for (const auto &event : events) {
            JsonObject::Ptr item = new JsonObject;
            if (event.deleted) {
                item->set("type", "DELETE");
            }
            item->set("kv", printEntry(event.entry));
            list->add(item);
        }
        auto result = watchHeader();
        result->set("events", list);
        send(out, result);
    }

    KeyValueStore store_;
    Faults faults_;
    std::atomic<std::uint64_t> calls_ = 0;
    std::atomic<std::uint64_t> refused_ = 0;
    std::atomic<std::uint64_t> lost_ = 0;
    std::atomic<std::uint64_t> watches_ = 0;
    std::thread expiry_;
};
} // namespace

void keyValueOptions(cxxopts::Options &options)
{
    options.add_options()("rate", "calls a second, 0: no limit", cxxopts::value<double>()->default_value("0"));
}

int runKeyValue(const cxxopts::ParseResult &options)
{
    KeyValueHost host(options);
    return serveUntilStopped(
        [&host](HTTPServerRequest &request, HTTPServerResponse &response) { host.handle(request, response); }, options);
}

} // namespace standins

// The key-value service stand-in: a subset of etcd v3's JSON gateway over an in-memory store.
// Control: POST /standin sets faults (see fault_injector.h) and {"compact": revision}, GET /standin returns counters.
#include "fault_injector.h"
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

constexpr std::size_t maxValueBytes = 1U << 20;
constexpr std::chrono::milliseconds expiryInterval(20);
constexpr std::chrono::milliseconds watchPollInterval(100);
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

std::string decodedField(const JsonObject &object, const std::string &name)
{
    return decode(fieldOr<std::string>(object, name, ""));
}

JsonObject::Ptr makeHeader(std::int64_t revision)
{
    JsonObject::Ptr object = new JsonObject;
    object->set("cluster_id", "1");
    object->set("member_id", "1");
    object->set("revision", std::to_string(revision));
    return object;
}

JsonObject::Ptr entryToJson(const StoredEntry &entry)
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

JsonObject::Ptr rangeToJson(const OperationResult &result, std::int64_t revision)
{
    Array::Ptr kvs = new Array;
    for (const auto &entry : result.entries) {
        kvs->add(entryToJson(entry));
    }
    JsonObject::Ptr range = new JsonObject;
    range->set("header", makeHeader(revision));
    if (!result.entries.empty()) {
        range->set("kvs", kvs);
        range->set("count", std::to_string(result.entries.size()));
    }
    return range;
}

StoreCompare readCompare(const JsonObject &object)
{
    StoreCompare compare;
    compare.key = decodedField(object, "key");
    const auto target = fieldOr<std::string>(object, "target", "VERSION");
    if (fieldOr<std::string>(object, "result", "EQUAL") != "EQUAL") {
        throw Poco::DataFormatException("only the compare result EQUAL is supported");
    }
    if (target == "MOD") {
        compare.expected = fieldOr<Poco::Int64>(object, "mod_revision", 0);
    } else if (target == "CREATE") {
        compare.target = CompareTarget::CreateRevision;
        compare.expected = fieldOr<Poco::Int64>(object, "create_revision", 0);
    } else if (target == "VERSION") {
        compare.target = CompareTarget::Version;
        compare.expected = fieldOr<Poco::Int64>(object, "version", 0);
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
        operation.value = decodedField(*body, "value");
        operation.lease = fieldOr<Poco::Int64>(*body, "lease", 0);
    } else if (object.has("request_delete_range")) {
        operation.kind = OperationKind::Delete;
        body = object.getObject("request_delete_range");
    }
    if (body.isNull()) {
        throw Poco::DataFormatException("unknown operation");
    }
    operation.key = decodedField(*body, "key");
    operation.rangeEnd = decodedField(*body, "range_end");
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
        faultInjector_.set(faults);
        expiry_ = std::thread([this] {
            while (true) {
                std::this_thread::sleep_for(expiryInterval);
                store_.expireLeases(KeyValueStore::Clock::now());
            }
        });
        expiry_.detach(); // runs until the process exits
    }

    void handle(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const std::string path = request.getURI();
        const auto body = readJson(request);
        if (path == "/standin") {
            handleControl(*body, response);
            return;
        }
        ++calls_;
        const bool isWrite = path != "/v3/kv/range" && path != "/v3/watch";
        const ReplyAction action = faultInjector_.nextAction(isWrite);
        if (action == ReplyAction::Close) {
            closeConnection(request);
        } else if (action == ReplyAction::RateLimited) {
            ++refusedCalls_;
            sendError(response, HTTPServerResponse::HTTP_TOO_MANY_REQUESTS, grpcResourceExhausted, "too many requests");
        } else if (path == "/v3/watch") {
            handleWatch(request, response, *body);
        } else {
            handleCall(request, response, path, *body, action == ReplyAction::LoseReply);
        }
    }

private:
    static void sendError(HTTPServerResponse &response, int status, int code, const std::string &message)
    {
        JsonObject object;
        object.set("error", "etcdserver: " + message);
        object.set("message", "etcdserver: " + message);
        object.set("code", code);
        sendJson(response, status, object);
    }

    void handleControl(const JsonObject &body, HTTPServerResponse &response)
    {
        faultInjector_.set(body);
        if (body.has("compact")) {
            store_.compact(body.getValue<Poco::Int64>("compact"));
        }
        JsonObject object;
        object.set("calls", calls_.load());
        object.set("refused", refusedCalls_.load());
        object.set("lostReplies", lostReplies_.load());
        object.set("watches", openWatches_.load());
        object.set("leases", store_.leaseCount());
        object.set("revision", store_.revision());
        sendJson(response, HTTPServerResponse::HTTP_OK, object);
    }

    void handleCall(HTTPServerRequest &request, HTTPServerResponse &response, const std::string &path,
                    const JsonObject &body, bool loseReply)
    {
        JsonObject object;
        int status = HTTPServerResponse::HTTP_OK;
        if (path == "/v3/kv/range") {
            StoreOperation operation;
            operation.key = decodedField(body, "key");
            operation.rangeEnd = decodedField(body, "range_end");
            const auto result = store_.txn({}, {operation}, {});
            object = *rangeToJson(result.results.at(0), result.revision);
        } else if (path == "/v3/kv/txn") {
            status = handleTxn(body, object);
        } else if (path == "/v3/lease/grant") {
            const auto seconds = fieldOr<Poco::Int64>(body, "TTL", 0);
            object.set("ID", std::to_string(store_.grantLease(seconds)));
            object.set("TTL", std::to_string(seconds));
            object.set("header", makeHeader(store_.revision()));
        } else if (path == "/v3/lease/keepalive") {
            handleKeepAlive(body, object);
        } else if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
            status = handleRevoke(body, object);
        } else {
            status = HTTPServerResponse::HTTP_NOT_FOUND;
            object.set("code", grpcInvalidArgument);
        }
        if (loseReply) {
            ++lostReplies_;
            closeConnection(request);
            return;
        }
        sendJson(response, status, object);
    }

    int handleTxn(const JsonObject &body, JsonObject &object)
    {
        const auto success = readList(body, "success", readOperation);
        for (const auto &operation : success) {
            if (operation.value.size() > maxValueBytes) {
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
        object.set("header", makeHeader(result.revision));
        if (result.succeeded) {
            object.set("succeeded", true);
        }
        Array::Ptr responses = new Array;
        for (const auto &part : result.results) {
            JsonObject::Ptr wrapped = new JsonObject;
            const bool put = part.kind == OperationKind::Put;
            const char *name = put ? "response_put" : "response_delete_range";
            wrapped->set(part.kind == OperationKind::Range ? "response_range" : name,
                         rangeToJson(part, result.revision));
            responses->add(wrapped);
        }
        object.set("responses", responses);
        return HTTPServerResponse::HTTP_OK;
    }

    void handleKeepAlive(const JsonObject &body, JsonObject &object)
    {
        const auto id = fieldOr<Poco::Int64>(body, "ID", 0);
        const auto seconds = store_.keepAlive(id);
        JsonObject::Ptr result = new JsonObject;
        result->set("header", makeHeader(store_.revision()));
        result->set("ID", std::to_string(id));
        if (seconds) {
            result->set("TTL", std::to_string(*seconds));
        }
        object.set("result", result);
    }

    int handleRevoke(const JsonObject &body, JsonObject &object)
    {
        if (!store_.revokeLease(fieldOr<Poco::Int64>(body, "ID", 0))) {
            object.set("error", "etcdserver: requested lease not found");
            object.set("code", grpcNotFound);
            return HTTPServerResponse::HTTP_NOT_FOUND;
        }
        object.set("header", makeHeader(store_.revision()));
        return HTTPServerResponse::HTTP_OK;
    }

    static void sendLine(std::ostream &out, const JsonObject::Ptr &result)
    {
        JsonObject line;
        line.set("result", result);
        out << toJsonText(line) + "\n" << std::flush;
    }

    JsonObject::Ptr watchHeader() const
    {
        JsonObject::Ptr result = new JsonObject;
        result->set("header", makeHeader(store_.revision()));
        return result;
    }

    void handleWatch(HTTPServerRequest &request, HTTPServerResponse &response, const JsonObject &body)
    {
        const auto create = body.getObject("create_request");
        if (create.isNull()) {
            sendError(response, HTTPServerResponse::HTTP_BAD_REQUEST, grpcInvalidArgument, "no create_request");
            return;
        }
        const auto key = decodedField(*create, "key");
        const auto rangeEnd = decodedField(*create, "range_end");
        auto created = watchHeader();
        std::int64_t next = fieldOr<Poco::Int64>(*create, "start_revision", 0);
        next = next == 0 ? created->getObject("header")->get("revision").convert<Poco::Int64>() + 1 : next;
        response.setChunkedTransferEncoding(true);
        response.setContentType("application/json");
        std::ostream &out = response.send();
        created->set("created", true);
        sendLine(out, created);
        if (next < store_.compactedRevision()) {
            auto cancellation = watchHeader();
            cancellation->set("canceled", true);
            cancellation->set("compact_revision", std::to_string(store_.compactedRevision()));
            sendLine(out, cancellation);
            return;
        }
        ++openWatches_;
        while (out.good() && !isClientDisconnected(request) && !faultInjector_.hasOutage()) {
            sendEvents(out, store_.waitForEvents(key, rangeEnd, next, watchPollInterval, next));
        }
        --openWatches_;
        closeConnection(request);
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
            item->set("kv", entryToJson(event.entry));
            list->add(item);
        }
        auto result = watchHeader();
        result->set("events", list);
        sendLine(out, result);
    }

    KeyValueStore store_;
    FaultInjector faultInjector_;
    std::atomic<std::uint64_t> calls_ = 0;
    std::atomic<std::uint64_t> refusedCalls_ = 0;
    std::atomic<std::uint64_t> lostReplies_ = 0;
    std::atomic<std::uint64_t> openWatches_ = 0;
    std::thread expiry_;
};
} // namespace

void keyValueOptions(cxxopts::Options &options)
{
    options.add_options()("rate", "maximum calls per second, 0 for no limit",
                          cxxopts::value<double>()->default_value("0"));
}

int runKeyValue(const cxxopts::ParseResult &options)
{
    KeyValueHost host(options);
    return serveUntilStopped(
        [&host](HTTPServerRequest &request, HTTPServerResponse &response) { host.handle(request, response); }, options);
}

} // namespace standins

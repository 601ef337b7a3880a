// Encoding of requests and parsing of replies of the etcd v3 JSON gateway.
#include "etcd_codec.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <istream>
#include <iterator>
#include <sstream>

namespace anvilscale {

namespace {
using Poco::JSON::Array;
using Poco::JSON::Object;

// gRPC status codes in the gateway's error bodies.
constexpr int grpcNotFound = 5;
constexpr int grpcResourceExhausted = 8;
constexpr int httpOk = 200;
constexpr int httpNotFound = 404;
constexpr int httpTooManyRequests = 429;
constexpr std::int64_t microsecondsPerSecond = 1'000'000;

std::string encodeBase64(const std::string &bytes)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

std::string decodeBase64(const std::string &text)
{
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in);
    return {std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>()};
}

// The gateway omits fields that are zero.
std::int64_t readNumber(const Object &object, const std::string &name)
{
    return object.has(name) ? object.get(name).convert<Poco::Int64>() : 0;
}

std::string readText(const Object &object, const std::string &name)
{
    return object.has(name) ? object.get(name).convert<std::string>() : std::string();
}

bool readFlag(const Object &object, const std::string &name)
{
    return object.has(name) && object.get(name).convert<bool>();
}

std::string toJson(const Object &object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

Object::Ptr parseObject(const std::string &body)
{
    Poco::JSON::Parser parser;
    return parser.parse(body).extract<Object::Ptr>();
}

KvEntry readEntry(const Object &kv)
{
    KvEntry entry;
    entry.key = decodeBase64(readText(kv, "key"));
    entry.value = decodeBase64(readText(kv, "value"));
    entry.modRevision = readNumber(kv, "mod_revision");
    entry.lease = static_cast<std::uint64_t>(readNumber(kv, "lease"));
    return entry;
}

void readEntries(const Object &range, std::vector<KvEntry> &into)
{
    const auto list = range.getArray("kvs");
    if (list.isNull()) {
        return;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
        into.push_back(readEntry(*list->getObject(static_cast<unsigned>(i))));
    }
}

std::int64_t storeRevision(const Object &answer)
{
    const auto header = answer.getObject("header");
    return header.isNull() ? 0 : readNumber(*header, "revision");
}

Object::Ptr makeRangeBody(const std::string &key, const std::string &rangeEnd)
{
    Object::Ptr body = new Object;
    body->set("key", encodeBase64(key));
    if (!rangeEnd.empty()) {
        body->set("range_end", encodeBase64(rangeEnd));
    }
    return body;
}

Object::Ptr wrapObject(const std::string &name, const Object::Ptr &inner)
{
    Object::Ptr outer = new Object;
    outer->set(name, inner);
    return outer;
}

Object::Ptr makeCompareBody(const KvCompare &compare)
{
    Object::Ptr body = new Object;
    body->set("key", encodeBase64(compare.key));
    body->set("target", "MOD");
    body->set("result", "EQUAL");
    body->set("mod_revision", std::to_string(compare.modRevision));
    return body;
}

Object::Ptr makePutBody(const KvPut &put)
{
    Object::Ptr body = new Object;
    body->set("key", encodeBase64(put.key));
    body->set("value", encodeBase64(put.value));
    if (put.lease != 0) {
        body->set("lease", std::to_string(put.lease));
    }
    return body;
}

Object::Ptr makeTxnBody(const KvRequest &request)
{
    Array::Ptr compares = new Array;
    Array::Ptr success = new Array;
    Array::Ptr failure = new Array;
    for (const auto &compare : request.compares) {
        compares->add(makeCompareBody(compare));
        failure->add(wrapObject("request_range", makeRangeBody(compare.key, {})));
    }
    for (const auto &put : request.puts) {
        success->add(wrapObject("request_put", makePutBody(put)));
    }
    for (const auto &key : request.deletes) {
        success->add(wrapObject("request_delete_range", makeRangeBody(key, {})));
    }
    Object::Ptr body = new Object;
    body->set("compare", compares);
    body->set("success", success);
    body->set("failure", failure);
    return body;
}

void readTxn(const Object &answer, KvReply &reply)
{
    reply.status = readFlag(answer, "succeeded") ? KvStatus::Ok : KvStatus::Conflict;
    const auto responses = answer.getArray("responses");
    if (responses.isNull()) {
        return;
    }
    for (std::size_t i = 0; i < responses->size(); ++i) {
        const auto range = responses->getObject(static_cast<unsigned>(i))->getObject("response_range");
        if (!range.isNull()) {
            readEntries(*range, reply.entries);
        }
    }
}

void readLease(const Object &answer, KvReply &reply)
{
    const auto result = answer.getObject("result"); // keep-alive returns a stream of results, grant a plain object
    const Object &lease = result.isNull() ? answer : *result;
    reply.lease = static_cast<std::uint64_t>(readNumber(lease, "ID"));
    reply.ttl = Seconds(readNumber(lease, "TTL"));
    const bool isExpired = reply.ttl <= Duration::zero(); // how the service reports an unknown lease
    reply.status = isExpired ? KvStatus::LeaseGone : KvStatus::Ok;
    if (!result.isNull()) {
        reply.storeRevision = storeRevision(*result);
    }
}

// Only a rejection before the request was accepted is certain. Any other error of a write may occur after it took
// effect (such as a timeout inside the service), and Unavailable would lose that write.
KvStatus toErrorStatus(KvOp op, int httpStatus, int code)
{
    if (httpStatus == httpTooManyRequests || code == grpcResourceExhausted) {
        return KvStatus::Unavailable;
    }
    if (httpStatus == httpNotFound && code == grpcNotFound) {
        return KvStatus::LeaseGone;
    }
    return op == KvOp::Range ? KvStatus::Unavailable : KvStatus::Unknown;
}

int readErrorCode(const std::string &body)
{
    try {
        return static_cast<int>(readNumber(*parseObject(body), "code"));
    } catch (const Poco::Exception &) {
        return 0;
    }
}

void readAnswer(const KvRequest &request, const Object &answer, KvReply &reply)
{
    reply.storeRevision = storeRevision(answer);
    switch (request.op) {
    case KvOp::Range:
        readEntries(answer, reply.entries);
        return;
    case KvOp::Txn:
        readTxn(answer, reply);
        return;
    case KvOp::LeaseGrant:
    case KvOp::LeaseKeepAlive:
        readLease(answer, reply);
        return;
    default:
        reply.lease = request.lease;
    }
}
} // namespace

std::string etcdPath(KvOp op)
{
    switch (op) {
    case KvOp::Range:
        return "/v3/kv/range";
    case KvOp::Txn:
        return "/v3/kv/txn";
    case KvOp::LeaseGrant:
        return "/v3/lease/grant";
    case KvOp::LeaseKeepAlive:
        return "/v3/lease/keepalive";
    case KvOp::LeaseRevoke:
        return "/v3/lease/revoke";
    default:
        return "/v3/watch";
    }
}

std::string etcdBody(const KvRequest &request, std::int64_t startRevision)
{
    switch (request.op) {
    case KvOp::Range:
        return toJson(*makeRangeBody(request.key, request.rangeEnd));
    case KvOp::Txn:
        return toJson(*makeTxnBody(request));
    case KvOp::LeaseGrant: {
        Object body;
        const auto seconds = (request.ttl.count() + microsecondsPerSecond - 1) / microsecondsPerSecond;
        body.set("TTL", std::to_string(seconds));
        return toJson(body);
    }
    case KvOp::LeaseKeepAlive:
    case KvOp::LeaseRevoke: {
        Object body;
        body.set("ID", std::to_string(request.lease));
        return toJson(body);
    }
    default: {
        auto create = makeRangeBody(request.key, request.rangeEnd);
        create->set("start_revision", std::to_string(startRevision));
        create->set("progress_notify", true);
        return toJson(*wrapObject("create_request", create));
    }
    }
}

KvReply parseEtcdAnswer(const KvRequest &request, int httpStatus, const std::string &body)
{
    KvReply reply;
    reply.id = request.id;
    if (httpStatus != httpOk) {
        reply.status = toErrorStatus(request.op, httpStatus, readErrorCode(body));
        return reply;
    }
    try {
        readAnswer(request, *parseObject(body), reply);
    } catch (const Poco::Exception &) {
        reply = KvReply{.id = request.id, .status = toErrorStatus(request.op, httpStatus, 0)};
    }
    return reply;
}

EtcdWatchMessage parseEtcdWatch(const std::string &line)
{
    EtcdWatchMessage message;
    try {
        const auto result = parseObject(line)->getObject("result");
        if (result.isNull()) {
            return message;
        }
        message.revision = storeRevision(*result);
        message.isCreated = readFlag(*result, "created");
        message.isCancelled = readFlag(*result, "canceled");
        message.isCompacted = readNumber(*result, "compact_revision") > 0;
        const auto events = result->getArray("events");
        for (std::size_t i = 0; !events.isNull() && i < events->size(); ++i) {
            const auto event = events->getObject(static_cast<unsigned>(i));
            KvEntry entry = readEntry(*event->getObject("kv"));
            entry.isDeleted = readText(*event, "type") == "DELETE";
            message.entries.push_back(std::move(entry));
        }
        message.isValid = true;
    } catch (const Poco::Exception &) {
        return {};
    }
    return message;
}

} // namespace anvilscale

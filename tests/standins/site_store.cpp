// Stand-in for the store of the users' platform: paged reads of all keys, watches and writes. POST /standin accepts:
//   {"puts": [{"key", "value"}], "deletes": [...]}  writes and deletes keys
//   {"status": 503}                   answers all calls with this status; 0 to end
//   {"hang": true}                    accepts calls without ever answering them; false to end
//   {"forget": true}                  discards the history
//   {"copy": true}, {"restore": true}  saves a copy, and restores it in a new era
#include "http_host.h"
#include "subcommands.h"

#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>
#include <cxxopts.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <sstream>
#include <tuple>
#include <vector>

namespace standins {

namespace {

using Poco::JSON::Array;

std::string encode(const std::string &value)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << value;
    encoder.close();
    return out.str();
}

class SiteStore
{
public:
    explicit SiteStore(std::size_t pageSize)
        : pageSize_(pageSize)
    {
    }

    void handle(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const Poco::URI uri(request.getURI());
        std::map<std::string, std::string> query;
        for (const auto &[name, value] : uri.getQueryParameters()) {
            query[name] = value;
        }
        const auto body = readJson(request);
        std::unique_lock lock(mutex_);
        if (uri.getPath() == "/standin") {
            handleControl(*body);
            sendJson(response, HTTPServerResponse::HTTP_OK, JsonObject());
            return;
        }
        ++calls_;
        response.set("Store-Era", std::to_string(era_));
        failIfHanging(lock);
        if (forcedStatus_ != 0) {
            sendJson(response, forcedStatus_, JsonObject());
        } else if (uri.getPath() == "/api/kv-range") {
            sendJson(response, HTTPServerResponse::HTTP_OK, readPage(query["after"]));
        } else if (uri.getPath() == "/api/kv-watch") {
            handleWatch(lock, query, response);
        } else if (uri.getPath() == "/api/kv-lease") {
            JsonObject lease;
            lease.set("lease", ++lastLease_);
            lease.set("ttl_ms", body->getValue<std::int64_t>("ttl_ms"));
            sendJson(response, HTTPServerResponse::HTTP_OK, lease);
        } else if (uri.getPath() == "/api/kv-txn") {
            handleWrite(*body, response);
        } else {
            sendJson(response, HTTPServerResponse::HTTP_NOT_FOUND, JsonObject());
        }
    }

private:
    struct Change
    {
        std::int64_t revision;
        JsonObject event;
    };

    /// Blocks while the store hangs, then throws, so that the call ends without an answer.
    void failIfHanging(std::unique_lock<std::mutex> &lock)
    {
        if (!isHanging_) {
            return;
        }
        changed_.wait(lock, [&] { return !isHanging_; });
        throw Poco::Net::NetException("never answered");
    }

    void handleControl(const JsonObject &body)
    {
        forcedStatus_ = fieldOr<int>(body, "status", forcedStatus_);
        isHanging_ = fieldOr(body, "hang", isHanging_);
        const auto puts = body.getArray("puts");
        for (std::size_t i = 0; puts && i < puts->size(); ++i) {
            const auto put = puts->getObject(static_cast<unsigned>(i));
            const auto key = put->getValue<std::string>("key");
            JsonObject item;
            item.set("key", key);
            item.set("value", encode(put->getValue<std::string>("value")));
            item.set("revision", ++revision_);
            items_[key] = item;
            history_.push_back({revision_, item});
        }
        const auto deletes = body.getArray("deletes");
        for (std::size_t i = 0; deletes && i < deletes->size(); ++i) {
            const auto key = deletes->getElement<std::string>(static_cast<unsigned>(i));
            items_.erase(key);
            JsonObject event;
            event.set("key", key);
            event.set("revision", ++revision_);
            event.set("tombstone", true);
            history_.push_back({revision_, event});
        }
        if (fieldOr(body, "copy", false)) {
            savedCopy_ = {revision_, items_, history_};
        }
        if (fieldOr(body, "restore", false)) {
            std::tie(revision_, items_, history_) = savedCopy_;
            lastLease_ = 0;
            ++era_;
        }
        if (fieldOr(body, "forget", false)) {
            history_.clear();
            discardedRevision_ = ++revision_;
        }
        changed_.notify_all();
    }

    /// Writes the items. Conditions and lease expiry are not implemented.
    void handleWrite(const JsonObject &body, HTTPServerResponse &response)
    {
        const auto puts = body.getArray("puts");
        for (std::size_t i = 0; puts && i < puts->size(); ++i) {
            const auto item = puts->getObject(static_cast<unsigned>(i));
            if (item->getValue<std::int64_t>("lease") > lastLease_) {
                sendJson(response, HTTPServerResponse::HTTP_NOT_FOUND, JsonObject());
                return;
            }
        }
        for (std::size_t i = 0; puts && i < puts->size(); ++i) {
            auto item = *puts->getObject(static_cast<unsigned>(i));
            item.set("revision", ++revision_);
            items_[item.getValue<std::string>("key")] = item;
            history_.push_back({revision_, item});
        }
        JsonObject reply;
        reply.set("revision", revision_);
        sendJson(response, HTTPServerResponse::HTTP_OK, reply);
        changed_.notify_all();
    }

    JsonObject readPage(const std::string &after)
    {
        Array items;
        auto it = after.empty() ? items_.begin() : items_.upper_bound(after);
        for (; it != items_.end() && items.size() < pageSize_; ++it) {
            items.add(it->second);
        }
        JsonObject result;
        result.set("items", items);
        result.set("has_more", it != items_.end());
        result.set("store_revision", revision_);
        return result;
    }

    void handleWatch(std::unique_lock<std::mutex> &lock, std::map<std::string, std::string> &query,
                     HTTPServerResponse &response)
    {
        const auto after = std::stoll(query["after"]);
        const auto deadline =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(query["wait_ms"]));
        const auto era = era_;
        changed_.wait_until(lock, deadline,
                            [&] { return revision_ > after || forcedStatus_ != 0 || isHanging_ || era_ != era; });
        failIfHanging(lock);
        response.set("Store-Era", std::to_string(era_));
        if (forcedStatus_ != 0) {
            sendJson(response, forcedStatus_, JsonObject());
            return;
        }
        if (after < discardedRevision_ || after > revision_) {
            sendJson(response, HTTPServerResponse::HTTP_GONE, JsonObject());
            return;
        }
        Array events;
        for (const auto &change : history_) {
            if (change.revision > after) {
                events.add(change.event);
            }
        }
        JsonObject result;
        result.set("events", events);
        result.set("store_revision", revision_);
        sendJson(response, HTTPServerResponse::HTTP_OK, result);
    }

    std::mutex mutex_; // guards all below
    std::condition_variable changed_;
    std::size_t pageSize_;
    std::int64_t revision_ = 1;
    std::int64_t discardedRevision_ = 0; // the history starts after this revision
    std::map<std::string, JsonObject> items_;
    std::vector<Change> history_;
    std::int64_t era_ = 1; // incremented by each restore
    std::tuple<std::int64_t, std::map<std::string, JsonObject>, std::vector<Change>> savedCopy_;
    int forcedStatus_ = 0;
    bool isHanging_ = false;
    std::uint64_t calls_ = 0;
    std::int64_t lastLease_ = 0;
};

} // namespace

void siteStoreOptions(cxxopts::Options &options)
{
    options.add_options()("page", "number of items in a page", cxxopts::value<unsigned>()->default_value("3"));
}

int runSiteStore(const cxxopts::ParseResult &options)
{
    SiteStore store(options["page"].as<unsigned>());
    return serveUntilStopped(
        [&store](HTTPServerRequest &request, HTTPServerResponse &response) { store.handle(request, response); },
        options);
}

} // namespace standins

// The platform's store, a client of it and an event loop under a virtual clock, for tests of the store watch.
#pragma once

#include "daemon/store_watcher.h"

#include <algorithm>
#include <map>
#include <memory>
#include <sstream>
#include <vector>

namespace anvilscale::test {

/// How the store handles calls.
enum class StoreCondition : std::uint8_t {
    Healthy,
    Unresponsive, ///< accepts calls and never answers them, waiting ones included
    Refusing, ///< answers 503 at once, without effect
    HistoryLost, ///< answers reads, and each watch with 410 because its history is lost
    Unreachable, ///< unreachable; waiting calls are never answered
    Count
};

/// Endpoint records by id, with a history of changes. Can be restored from a copy, which starts a new era.
class VirtualStore
{
public:
    struct Item
    {
        std::string id;
        bool leaving = false;
        bool removed = false;
        std::uint64_t revision = 0;
    };

    std::uint64_t revision() const
    {
        return revision_;
    }
    std::uint64_t era() const
    {
        return era_;
    }
    /// Replaces the content by the copy's and raises the era.
    void restore(const VirtualStore &copy)
    {
        const auto era = era_ + 1;
        *this = copy;
        era_ = era;
    }
    std::vector<std::string> ids() const
    {
        std::vector<std::string> result;
        for (const auto &[id, item] : items_) {
            result.push_back(id);
        }
        return result;
    }
    void change(const std::string &id, bool leaving, bool removed)
    {
        history_.push_back({id, leaving, removed, ++revision_});
        items_[id] = history_.back();
        if (removed) {
            items_.erase(id);
        }
    }
    /// Returns at most one page of items with an id greater than `after`.
    std::vector<Item> pageAfter(const std::string &after) const
    {
        std::vector<Item> list;
        for (auto it = items_.upper_bound(after); it != items_.end() && list.size() < pageSize; ++it) {
            list.push_back(it->second);
        }
        return list;
    }
    bool hasMore(const std::string &after) const
    {
        return items_.upper_bound(after) != items_.end();
    }

    std::size_t pageSize = 100;

    /// Changes after the given revision, in order.
    std::vector<Item> changesAfter(std::uint64_t after) const
    {
        std::vector<Item> list;
        std::copy_if(history_.begin(), history_.end(), std::back_inserter(list),
                     [after](const Item &item) { return item.revision > after; });
        return list;
    }

private:
    std::uint64_t revision_ = 1;
    std::uint64_t era_ = 1;
    std::map<std::string, Item> items_;
    std::vector<Item> history_;
};

/// Clock and timers of one test, and the store that its clients call.
class VirtualLoop
{
public:
    VirtualStore store;
    StoreCondition condition = StoreCondition::Healthy;
    std::uint64_t calls = 0;
    std::uint64_t limitedCalls = 0; ///< calls that count toward the store's rate limit
    std::uint64_t stalledGeneration = 0; ///< connections of an earlier generation transfer no more data
    std::optional<VirtualStore> staleStore; ///< answers reads that may be stale; empty if the store answers them
    Duration answerTime = Milliseconds(4);
    std::size_t bodyPadding = 0; ///< additional bytes in each answer
    std::size_t bytesPerMs = 0; ///< bandwidth; 0 if answers arrive in one piece
    std::vector<std::function<void()>> onChange; ///< called after a change of the store or of its condition

    TimerService &timers()
    {
        return timers_;
    }
    TimePoint now() const
    {
        return time_;
    }
    void run(Duration span)
    {
        const TimePoint end = time_ + span;
        for (auto next = timers_.next(); next && *next <= end; next = timers_.next()) {
            time_ = std::max(time_, *next);
            timers_.advance(time_);
        }
        time_ = end;
    }
    void at(TimePoint when, std::function<void()> what)
    {
        timers_.subscribe(when, [what = std::move(what)](TimePoint) { what(); });
    }
    void setCondition(StoreCondition next)
    {
        condition = next;
        notifyChange();
    }
    void change(const std::string &id, bool leaving, bool removed = false)
    {
        store.change(id, leaving, removed);
        notifyChange();
    }
    /// Restores the store from the copy. Waiting calls are cut.
    void restore(const VirtualStore &copy)
    {
        store.restore(copy);
        const auto previous = std::exchange(condition, StoreCondition::Refusing);
        notifyChange();
        setCondition(previous);
    }
    /// Open connections transfer no more data; new ones work.
    void stallConnections()
    {
        ++stalledGeneration;
        notifyChange();
    }

private:
    void notifyChange()
    {
        for (const auto &listener : onChange) {
            listener();
        }
    }

    TimerService timers_;
    TimePoint time_{Seconds(1000)};
};

/// Protocol of the virtual store: a line with its revision and the last id of the page, or "-" on the last page; then
/// lines of "id leaving removed revision". Items "unused..." are not endpoints.
struct VirtualDialect
{
    static EndpointRequest rangeRequest(const std::string &after, bool mayBeOld)
    {
        EndpointRequest request;
        request.target = (mayBeOld ? "old " : "read ") + after;
        return request;
    }
    static EndpointRequest watchRequest(std::uint64_t after, Duration wait)
    {
        EndpointRequest request;
        request.target = "watch " + std::to_string(after) + " " + std::to_string(wait.count());
        return request;
    }
    static std::optional<StorePage> readRange(const std::string &body)
    {
        return readWatch(body);
    }
    static std::optional<StorePage> readWatch(const std::string &body)
    {
        std::istringstream in(body);
        StorePage page;
        in >> page.revision >> page.lastKey;
        page.hasMore = page.lastKey != "-";
        VirtualStore::Item item;
        while (in >> item.id >> item.leaving >> item.removed >> item.revision) {
            if (item.id.starts_with("unused")) {
                continue;
            }
            if (item.removed) {
                EndpointRemoved removed{item.id};
                removed.revision = item.revision;
                page.records.emplace_back(removed);
                continue;
            }
            EndpointRecord record;
            record.id = item.id;
            record.leaving = item.leaving;
            record.revision = item.revision;
            page.records.emplace_back(record);
        }
        return page;
    }
    static std::optional<StoreChanges> splitWatch(const std::string &body)
    {
        const auto page = readWatch(body);
        std::istringstream in(body);
        std::string line;
        std::getline(in, line);
        StoreChanges changes;
        changes.revision = page->revision;
        for (const auto &record : page->records) {
            std::getline(in, line);
            const auto *endpoint = std::get_if<EndpointRecord>(&record);
            const auto revision = endpoint != nullptr ? endpoint->revision : std::get<EndpointRemoved>(record).revision;
            changes.items.push_back({record, revision, line});
        }
        return changes;
    }
    static std::string joinWatch(std::uint64_t revision, const std::vector<std::string> &items)
    {
        auto body = std::to_string(revision) + " -\n";
        for (const auto &item : items) {
            body += item + "\n";
        }
        return body;
    }
    static std::uint64_t storeEra(const HttpResponseHead &head)
    {
        const auto *text = findHeader(head.headers, "era");
        return text == nullptr ? 0 : std::stoull(*text);
    }
    static StoreStatus storeStatus(std::uint32_t status)
    {
        if (status == 410) {
            return StoreStatus::HistoryGone;
        }
        return status == 200 ? StoreStatus::Ok : StoreStatus::Unavailable;
    }
};

/// Stand-in for the HTTP client: one keep-alive connection, and an end for each exchange that was not aborted.
class VirtualClient
{
public:
    VirtualClient(VirtualLoop &loop, const HttpClientInit &init)
        : loop_(loop)
        , init_(init)
    {
        loop_.onChange.emplace_back([this] { onStoreChanged(); });
    }

    ExchangeId start(const EndpointRequest &request, Duration timeout, ExchangeHandlers handlers)
    {
        ++loop_.calls;
        current_ = Exchange{};
        current_.id = ++lastId_;
        current_.handlers = std::move(handlers);
        parseTarget(request.target);
        if (timeout != Duration(0)) {
            scheduleEnd(loop_.now() + timeout, ExchangeEnd::Broken);
        }
        const bool isReused = reusableUntil_ > loop_.now() && !request.needsNewConnection;
        if (!isReused) {
            connectionGeneration_ = loop_.stalledGeneration;
        }
        if (loop_.condition == StoreCondition::Unreachable && !isReused) {
            scheduleEnd(loop_.now() + init_.connectTimeout, ExchangeEnd::Unreachable);
            current_.isNeverAnswered = true;
        }
        reusableUntil_ = TimePoint{};
        handleArrival();
        return current_.id;
    }
    void abort(ExchangeId id)
    {
        if (current_.id == id) {
            current_ = Exchange{};
        }
    }

private:
    struct Exchange
    {
        ExchangeId id = 0; // 0 if no exchange is open
        ExchangeHandlers handlers;
        bool isWatch = false;
        bool allowsStale = false;
        std::uint64_t after = 0; // revision, for a watch
        std::string afterId; // for a read
        Duration wait{};
        bool isNeverAnswered = false;
        bool isAnswering = false;
    };

    void parseTarget(const std::string &target)
    {
        std::istringstream in(target);
        std::string operation;
        Duration::rep wait = 0;
        in >> operation;
        current_.allowsStale = operation == "old";
        loop_.limitedCalls += current_.allowsStale ? 0 : 1;
        current_.isWatch = operation == "watch";
        if (current_.isWatch) {
            in >> current_.after >> wait;
            current_.wait = Duration(wait);
            return;
        }
        in >> current_.afterId;
    }

    void handleArrival()
    {
        if (loop_.condition == StoreCondition::Unresponsive || connectionGeneration_ < loop_.stalledGeneration) {
            current_.isNeverAnswered = true;
        }
        if (current_.isNeverAnswered) {
            return;
        }
        if (loop_.condition == StoreCondition::Refusing) {
            answer(503);
            return;
        }
        const bool isAheadOfStore = current_.after > loop_.store.revision();
        if (current_.isWatch && (isAheadOfStore || loop_.condition == StoreCondition::HistoryLost)) {
            answer(410);
            return;
        }
        if (!current_.isWatch || hasChanges() || current_.wait == Duration(0)) {
            answer(200);
            return;
        }
        schedule(current_.wait, [this] { answer(200); });
    }

    bool hasChanges() const
    {
        return loop_.store.revision() > current_.after;
    }

    void onStoreChanged()
    {
        if (current_.id == 0 || current_.isNeverAnswered) {
            return;
        }
        if (loop_.condition == StoreCondition::Unresponsive || loop_.condition == StoreCondition::Unreachable
            || connectionGeneration_ < loop_.stalledGeneration) {
            current_.isNeverAnswered = true;
        } else if (loop_.condition == StoreCondition::Refusing) {
            end(ExchangeEnd::Broken); // waiting calls are cut
        } else if (current_.isWatch && hasChanges()) {
            answer(200);
        }
    }

    void answer(std::uint32_t status)
    {
        if (std::exchange(current_.isAnswering, true)) {
            return;
        }
        schedule(loop_.answerTime, [this, status] {
            HttpResponseHead head;
            head.status = status;
            head.headers.emplace_back("era", std::to_string(answeringStore().era()));
            current_.handlers.head(head);
            sendBody(body(), 0);
        });
    }

    const VirtualStore &answeringStore() const
    {
        return current_.allowsStale && loop_.staleStore ? *loop_.staleStore : loop_.store;
    }

    std::string body() const
    {
        const auto &store = answeringStore();
        const auto items = current_.isWatch ? store.changesAfter(current_.after) : store.pageAfter(current_.afterId);
        const bool hasNextPage = !current_.isWatch && !items.empty() && store.hasMore(items.back().id);
        std::ostringstream out;
        out << store.revision() << ' ' << (hasNextPage ? items.back().id : "-") << '\n';
        for (const auto &item : items) {
            out << item.id << ' ' << item.leaving << ' ' << item.removed << ' ' << item.revision << '\n';
        }
        return out.str() + std::string(loop_.bodyPadding, ' ');
    }

    void sendBody(const std::string &text, std::size_t from)
    {
        constexpr std::size_t partInterval = 50; // milliseconds between two parts
        const auto maxBytes = loop_.bytesPerMs == 0 ? text.size() : partInterval * loop_.bytesPerMs;
        const auto part = text.substr(from, maxBytes);
        const auto id = current_.id;
        current_.handlers.data(part);
        if (from + part.size() < text.size() && current_.id == id) {
            schedule(Milliseconds(partInterval), [this, text, next = from + part.size()] { sendBody(text, next); });
            return;
        }
        reusableUntil_ = loop_.now() + init_.maxIdleTime;
        end(ExchangeEnd::Complete);
    }

    void end(ExchangeEnd result)
    {
        const auto handler = std::move(current_.handlers.end);
        current_ = Exchange{};
        handler(result);
    }

    /// Runs `what` after `span`, unless the exchange has ended by then or is never answered.
    void schedule(Duration span, std::function<void()> what)
    {
        loop_.at(loop_.now() + span, [this, id = current_.id, what = std::move(what)] {
            if (current_.id == id && !current_.isNeverAnswered) {
                what();
            }
        });
    }
    void scheduleEnd(TimePoint when, ExchangeEnd result)
    {
        loop_.at(when, [this, id = current_.id, result] {
            if (current_.id == id) {
                end(result);
            }
        });
    }

    VirtualLoop &loop_;
    HttpClientInit init_;
    Exchange current_;
    ExchangeId lastId_ = 0;
    TimePoint reusableUntil_{}; // an idle connection can be reused up to then
    std::uint64_t connectionGeneration_ = 0; // of the current connection
};

} // namespace anvilscale::test

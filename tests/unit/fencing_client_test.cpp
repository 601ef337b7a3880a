// Tests of FencingClient with a store that fails and is restored from older copies.
#include "daemon/fencing_client.h"
#include "support/virtual_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace anvilscale::test {

namespace {

constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusUnavailable = 503;

/// What the store does with the next calls.
enum class CallFate : std::uint8_t {
    Answered,
    Lost, ///< executed, but not answered
    Dropped, ///< neither executed nor answered
    Refused,
    Unreadable, ///< executed, and answered without a revision
    Count
};

/// Position of the store. Each executed call is one change.
struct FencingStore
{
    std::uint64_t era = 1;
    std::uint64_t revision = 1;
    CallFate fate = CallFate::Answered;

    void restore(std::uint64_t copiedRevision)
    {
        revision = copiedRevision;
        ++era;
    }
};

FencingStore store; // NOLINT(cppcoreguidelines-avoid-non-const-global-variables): shared by the clients of a test

struct VirtualFencingDialect
{
    static EndpointRequest fencingRequest(std::string_view holder)
    {
        EndpointRequest request;
        request.body = holder;
        return request;
    }
    static std::optional<std::uint64_t> readWriteRevision(const std::string &body)
    {
        return body.empty() ? std::nullopt : std::optional<std::uint64_t>(std::stoull(body));
    }
    static std::uint64_t storeEra(const HttpResponseHead &head)
    {
        const auto *era = findHeader(head.headers, "era");
        return era == nullptr ? 0 : std::stoull(*era);
    }
    static StoreStatus storeStatus(std::uint32_t status)
    {
        return status == statusOk ? StoreStatus::Ok : StoreStatus::Unavailable;
    }
};

class FencingStoreClient
{
public:
    static inline std::uint64_t calls = 0;

    FencingStoreClient(VirtualLoop &loop, const HttpClientInit & /*init*/)
        : loop_(loop)
    {
    }
    ExchangeId start(const EndpointRequest & /*request*/, Duration /*timeout*/, ExchangeHandlers handlers)
    {
        ++calls;
        const auto fate = store.fate;
        const bool isExecuted = fate != CallFate::Dropped && fate != CallFate::Refused;
        store.revision += isExecuted ? 1 : 0;
        HttpResponseHead head;
        head.status = fate == CallFate::Refused ? statusUnavailable : statusOk;
        if (store.era != 0) {
            head.headers.emplace_back("era", std::to_string(store.era));
        }
        const auto body = fate == CallFate::Unreadable ? std::string() : std::to_string(store.revision);
        openExchange_ = ++lastExchange_;
        if (fate == CallFate::Lost || fate == CallFate::Dropped) {
            return openExchange_;
        }
        loop_.at(loop_.now() + loop_.answerTime,
                 [this, id = openExchange_, head, body, handlers = std::move(handlers)] {
                     if (openExchange_ == id) {
                         handlers.head(head);
                         handlers.data(body);
                         handlers.end(ExchangeEnd::Complete);
                     }
                 });
        return openExchange_;
    }
    void abort(ExchangeId id)
    {
        openExchange_ = openExchange_ == id ? 0 : openExchange_;
    }

private:
    VirtualLoop &loop_;
    ExchangeId lastExchange_ = 0;
    ExchangeId openExchange_ = 0;
};

/// One start of a sidecar.
struct Start
{
    explicit Start(VirtualLoop &loop)
        : client(loop, {NetAddress(), "vm", storeTimes(Seconds(2)), 1}, handlers())
    {
        client.request();
    }
    FencingClientHandlers handlers()
    {
        FencingClientHandlers result;
        result.obtained = [this](std::uint64_t value, StorePosition /*position*/) { numbers.push_back(value); };
        result.failed = [this](StoreFailureKind kind, std::uint32_t /*status*/, bool /*isFirst*/) {
            failures.push_back(kind);
        };
        return result;
    }

    std::vector<std::uint64_t> numbers;
    std::vector<StoreFailureKind> failures;
    FencingClient<VirtualFencingDialect, VirtualLoop, FencingStoreClient> client;
};

class Fencing : public testing::Test
{
protected:
    Fencing()
    {
        store = FencingStore{};
        FencingStoreClient::calls = 0;
    }
    /// The number of a new start; 0 if it gets none within the time.
    std::uint64_t numberOfStart(Duration within = Seconds(3))
    {
        Start start(loop_);
        loop_.run(within);
        return start.numbers.empty() ? 0 : start.numbers.front();
    }

    VirtualLoop loop_;
};

} // namespace

// Guards against an engine that gets no orders for as long as the store answers later than a first call may take.
TEST_F(Fencing, SlowStoreGivesANumber)
{
    loop_.answerTime = Milliseconds(1000);
    EXPECT_NE(numberOfStart(Seconds(6)), 0U);
    EXPECT_NE(numberOfStart(Seconds(6)), 0U);
}

// Guards against equal numbers of two starts at the same moment.
TEST_F(Fencing, StartsAtOneMomentGetDifferentNumbers)
{
    Start first(loop_);
    Start second(loop_);
    loop_.run(Milliseconds(10));
    ASSERT_EQ(first.numbers.size(), 1U);
    ASSERT_EQ(second.numbers.size(), 1U);
    EXPECT_NE(first.numbers.front(), second.numbers.front());
}

// Guards against a number that falls because the store has lost the change of an earlier start.
TEST_F(Fencing, NumbersGrowThoughTheStoreIsRestored)
{
    store.revision = 1000;
    const auto before = numberOfStart();
    store.restore(10);
    const auto after = numberOfStart();
    ASSERT_NE(before, 0U);
    EXPECT_GT(after, before);
}

// Guards against numbers below those of earlier releases, which were milliseconds of the time of day.
TEST_F(Fencing, NumbersAreAboveTheTimeOfDay)
{
    constexpr std::uint64_t yearMs = 31'556'952'000;
    store.era = 0; // a store that reports none
    EXPECT_GT(numberOfStart(), (2100 - 1970) * yearMs);
}

// Guards against a sidecar that orders without a number, and against one that stays without it after an outage.
TEST_F(Fencing, NumberIsTakenOnceTheStoreIsBack)
{
    for (const auto fate : {CallFate::Lost, CallFate::Dropped, CallFate::Refused, CallFate::Unreadable}) {
        store.fate = fate;
        Start start(loop_);
        loop_.run(Seconds(20));
        EXPECT_TRUE(start.numbers.empty());
        EXPECT_GT(start.failures.size(), 3U);
        store.fate = CallFate::Answered;
        loop_.run(Seconds(2));
        EXPECT_EQ(start.numbers.size(), 1U);
    }
}

// Guards against many calls to a store that is down.
TEST_F(Fencing, CallsAreRareWhileTheStoreRefuses)
{
    store.fate = CallFate::Refused;
    Start start(loop_);
    loop_.run(Seconds(60));
    EXPECT_LT(FencingStoreClient::calls, 90U);
}

// Guards against the use of a number that the engine has refused: the store has gone back without a new era.
TEST_F(Fencing, LowerNumberIsNotUsed)
{
    store.revision = 1000;
    Start start(loop_);
    loop_.run(Seconds(1));
    ASSERT_EQ(start.numbers.size(), 1U);
    store.revision = 995;
    start.client.request();
    loop_.run(Seconds(30));
    ASSERT_EQ(start.numbers.size(), 2U);
    EXPECT_GT(start.numbers[1], start.numbers[0]);
    EXPECT_EQ(start.failures.front(), StoreFailureKind::Outdated);
}

// Guards against numbers that lose their order because a part of them overflows.
TEST_F(Fencing, PositionOutOfRangeGivesNoNumber)
{
    for (const StorePosition position :
         {StorePosition{1, 0}, StorePosition{1, 1ULL << 40}, StorePosition{1 << 13, 1}}) {
        EXPECT_FALSE(fencingNumberAt(position));
    }
    EXPECT_LT(fencingNumberAt({1, (1ULL << 40) - 1}), fencingNumberAt({2, 1}));
    EXPECT_LT(*fencingNumberAt({(1 << 13) - 5, (1ULL << 40) - 1}), 1ULL << 53);
}

// Guards against a lower or equal number after any sequence of starts, outages, lost answers and restores.
RC_GTEST_FIXTURE_PROP(Fencing, NumbersGrowOverAnyHistory, ())
{
    std::uint64_t highest = 0;
    std::uint64_t copiedRevision = store.revision;
    for (int step = 0; step < 60; ++step) {
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            copiedRevision = store.revision;
            break;
        case 1:
            store.restore(copiedRevision);
            break;
        case 2:
            store.revision += *rc::gen::inRange<std::uint64_t>(0, 1000);
            break;
        default:
            store.fate = static_cast<CallFate>(*rc::gen::inRange<int>(0, static_cast<int>(CallFate::Count)));
            if (const auto number = numberOfStart(Milliseconds(*rc::gen::inRange(1, 3000))); number != 0) {
                RC_ASSERT(number > highest);
                highest = number;
            }
        }
    }
}

} // namespace anvilscale::test

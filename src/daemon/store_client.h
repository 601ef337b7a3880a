// Clients of the platform's store, and the reasons for which their calls fail.
#pragma once

#include "store_times.h"

#include "anvilscale/direct_path.h"

namespace anvilscale {

/// Reason of a failed call to the store.
enum class StoreFailureKind : std::uint8_t {
    Unreachable, ///< the connection could not be established
    Broken, ///< the connection closed before the end of the answer
    Silent, ///< no byte received within the silence timeout of StoreTimes
    Refused, ///< the status says that the store has not performed the call
    Unreadable, ///< the body cannot be parsed
    Outdated, ///< the answer is from an earlier era than a previous answer
    TooLarge, ///< the answer is longer than maxStoreAnswerBytes
    OutOfRange, ///< the position in the answer cannot be used as a fencing number
    Withheld, ///< the answer has records that are withheld after a restore
    Count
};
template<>
struct EnumNames<StoreFailureKind>
{
    static constexpr std::array<std::string_view, enumCount<StoreFailureKind>> table{
        "unreachable", "broken",    "silent",       "refused", "unreadable",
        "outdated",    "too_large", "out_of_range", "withheld"};
};

/// Returns the reason of a call that did not end with a whole answer.
constexpr StoreFailureKind storeFailureOf(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::Unreachable:
        return StoreFailureKind::Unreachable;
    case ExchangeEnd::TooLarge:
        return StoreFailureKind::TooLarge;
    default:
        return StoreFailureKind::Broken;
    }
}

// Maximum size of a page or of the changes since a position. The store limits pages to about a megabyte. Changes may
// be more after a long pause; if they do not fit, everything is read again page by page.
constexpr std::uint64_t maxStoreAnswerBytes = 8U << 20;

template<class T>
concept StoreClient = requires(T client, const EndpointRequest &request, Duration span, ExchangeHandlers handlers)
{
    {
        client.start(request, span, handlers)
        } -> std::same_as<ExchangeId>;
    client.abort(ExchangeId{});
};

/// Returns settings of a client that keeps one connection open for pauses of this length between calls.
inline HttpClientInit storeClientInit(NetAddress address, const StoreTimes &times, Duration pause)
{
    HttpClientInit init;
    init.address = address;
    init.connectTimeout = times.silenceTimeout;
    init.maxIdleTime = pause + Milliseconds(500);
    init.maxIdleConnections = 1;
    return init;
}

} // namespace anvilscale

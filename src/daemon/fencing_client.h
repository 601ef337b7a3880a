// FencingClient: takes fencing numbers for orders to an engine from the platform's store.
#pragma once

#include "store_caller.h"

namespace anvilscale {

/// The number that belongs to a change of the store at this position. Numbers of later changes are higher, also if the
/// store was restored from an older copy in between: the era counts before the revision. Empty if the position is out
/// of range: such numbers would not be ordered.
constexpr std::optional<std::uint64_t> fencingNumberAt(StorePosition position)
{
    // JSON readers keep 53 bits of a number.
    constexpr unsigned revisionBits = 40;
    constexpr std::uint64_t maxEra = (1ULL << (53 - revisionBits)) - 1;
    // Milliseconds of the time of day, the numbers of earlier releases, are lower than 4 << 40 until the year 2109.
    constexpr std::uint64_t firstEra = 4;
    const bool isInRange =
        position.revision != 0 && position.revision < (1ULL << revisionBits) && position.era <= maxEra - firstEra;
    return isInRange ? std::optional((position.era + firstEra) << revisionBits | position.revision) : std::nullopt;
}

struct FencingClientInit
{
    NetAddress address; ///< of the store
    std::string holder; ///< name of this process, for operators
    StoreTimes times;
    std::uint64_t seed = 1;
};

/// Handlers of a FencingClient, called from the loop's thread.
struct FencingClientHandlers
{
    std::function<void(std::uint64_t number, StorePosition position)> obtained;
    /// No number could be taken; the call is repeated.
    std::function<void(StoreFailureKind, std::uint32_t status, bool isFirst)> failed;
};

/// Takes a number from the store's history: each is higher than all that any process was given before the request. It
/// depends on no clock, and on nothing that the VM keeps. An unanswered request is repeated, which only skips a number.
/// Use from the loop's thread only.
template<FencingDialect Dialect, class Loop = EventLoop, StoreClient Client = HttpClient>
class FencingClient
{
public:
    FencingClient(Loop &loop, const FencingClientInit &init, FencingClientHandlers handlers)
        : holder_(init.holder)
        , handlers_(std::move(handlers))
        , caller_(loop, {init.address, init.times, init.seed}, callerHandlers())
    {
    }

    /// Requests a number. Ignored while a request is open.
    void request()
    {
        if (!std::exchange(isRequesting_, true)) {
            sendRequest();
        }
    }

private:
    StoreCallerHandlers callerHandlers()
    {
        StoreCallerHandlers handlers;
        handlers.due = [this] { sendRequest(); };
        handlers.failed = handlers_.failed;
        return handlers;
    }

    void sendRequest()
    {
        caller_.call(Dialect::fencingRequest(holder_),
                     [this](const HttpResponseHead &head, const std::string &body) { onAnswer(head, body); });
    }

    void onAnswer(const HttpResponseHead &head, const std::string &body)
    {
        const auto revision = Dialect::readWriteRevision(body);
        if (!revision) {
            caller_.fail(StoreFailureKind::Unreadable);
            return;
        }
        const StorePosition position{Dialect::storeEra(head), *revision};
        const auto number = fencingNumberAt(position);
        if (!number) {
            caller_.fail(StoreFailureKind::OutOfRange);
            return;
        }
        if (*number <= lastNumber_) {
            caller_.fail(StoreFailureKind::Outdated);
            return;
        }
        lastNumber_ = *number;
        isRequesting_ = false;
        caller_.succeeded();
        handlers_.obtained(*number, position);
    }

    std::string holder_;
    FencingClientHandlers handlers_;
    StoreCaller<Dialect, Loop, Client> caller_;
    bool isRequesting_ = false;
    std::uint64_t lastNumber_ = 0; // obtained last; 0 before the first
};

} // namespace anvilscale

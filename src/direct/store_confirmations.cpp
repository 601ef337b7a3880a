// Confirmations of the store.
#include "store_confirmations.h"

#include <utility>

namespace anvilscale {

namespace {

// Least time between the starts of two confirmations: the store limits the reads of all entries together.
constexpr Duration minStartInterval = Milliseconds(250);

} // namespace

void StoreConfirmations::add(CallHandle call)
{
    waiting_.push_back(call);
}

std::optional<ConfirmStore> StoreConfirmations::start(TimePoint now)
{
    const auto due = nextStartAt();
    if (!due || now < *due) {
        return std::nullopt;
    }
    isInProgress_ = true;
    startedAt_ = now;
    served_ = std::exchange(waiting_, {});
    ++stats_.started;
    stats_.shared += served_.size() - 1;
    return ConfirmStore{++lastNumber_};
}

std::optional<TimePoint> StoreConfirmations::nextStartAt() const
{
    if (isInProgress_ || waiting_.empty()) {
        return std::nullopt;
    }
    return lastNumber_ == 0 ? TimePoint{} : startedAt_ + minStartInterval;
}

std::vector<CallHandle> StoreConfirmations::finish(std::uint64_t number, bool isConfirmed)
{
    if (!isInProgress_ || number != lastNumber_) {
        return {};
    }
    isInProgress_ = false;
    stats_.failed += isConfirmed ? 0 : 1;
    return std::exchange(served_, {});
}

TimePoint StoreConfirmations::startedAt() const
{
    return startedAt_;
}

const StoreConfirmationStats &StoreConfirmations::stats() const
{
    return stats_;
}

} // namespace anvilscale

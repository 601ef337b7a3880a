// Confirmations of the store.
#include "store_confirmations.h"

#include <utility>

namespace anvilscale {

namespace {

// Least time between the starts of two confirmations: the store limits the reads of all entries together.
constexpr Duration minStartInterval = Milliseconds(250);
// A confirmation whose end has not been reported by then is lost.
constexpr Duration maxConfirmationTime = Seconds(12);

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
    ++stats_.started;
    stats_.shared += waiting_.size() - 1;
    served_.insert(served_.end(), waiting_.begin(), waiting_.end()); // beside the calls of one that was lost
    waiting_.clear();
    return ConfirmStore{++lastNumber_};
}

std::optional<TimePoint> StoreConfirmations::nextStartAt() const
{
    if (waiting_.empty()) {
        return std::nullopt;
    }
    if (isInProgress_) {
        return startedAt_ + maxConfirmationTime;
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

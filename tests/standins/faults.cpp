// Faults of the key-value stand-in.
#include "faults.h"

#include <algorithm>
#include <thread>

namespace standins {

namespace {
constexpr std::chrono::milliseconds hangStep(10);
}

void Faults::set(const JsonObject &object)
{
    const std::scoped_lock lock(mutex_);
    if (object.has("outage")) {
        const auto name = object.getValue<std::string>("outage");
        outage_ = name == "down" ? Outage::Down : name == "hang" ? Outage::Hang : Outage::None;
    }
    delay_ = std::chrono::milliseconds(option<Poco::Int64>(object, "delayMs", delay_.count()));
    loseReplies_ = option<Poco::UInt64>(object, "loseReplies", loseReplies_);
    loseProbability_ = option<double>(object, "loseProbability", loseProbability_);
    if (object.has("seed")) {
        random_ = anvilscale::Random(object.getValue<Poco::UInt64>("seed"));
    }
    if (object.has("ratePerSecond")) {
        rate_ = object.getValue<double>("ratePerSecond");
        tokens_ = rate_;
    }
}

bool Faults::out() const
{
    const std::scoped_lock lock(mutex_);
    return outage_ != Outage::None;
}

bool Faults::overRate()
{
    if (rate_ <= 0.0) {
        return false;
    }
    const auto now = std::chrono::steady_clock::now();
    tokens_ = std::min(rate_, tokens_ + std::chrono::duration<double>(now - filled_).count() * rate_);
    filled_ = now;
    if (tokens_ < 1.0) {
        return true;
    }
    tokens_ -= 1.0;
    return false;
}

Fate Faults::next(bool write)
{
    std::unique_lock lock(mutex_);
    const auto delay = delay_;
    lock.unlock();
    std::this_thread::sleep_for(delay);
    lock.lock();
    while (outage_ == Outage::Hang) {
        lock.unlock();
        std::this_thread::sleep_for(hangStep);
        lock.lock();
        if (outage_ != Outage::Hang) {
            return Fate::Close; // the caller gave up long ago
        }
    }
    if (outage_ == Outage::Down) {
        return Fate::Close;
    }
    if (overRate()) {
        return Fate::TooMany;
    }
    if (!write) {
        return Fate::Answer;
    }
    if (loseReplies_ > 0) {
        --loseReplies_;
        return Fate::LoseReply;
    }
    return loseProbability_ > 0.0 && random_.unit() < loseProbability_ ? Fate::LoseReply : Fate::Answer;
}

} // namespace standins

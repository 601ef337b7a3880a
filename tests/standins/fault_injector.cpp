// Fault injection of the key-value stand-in.
#include "fault_injector.h"

#include <algorithm>
#include <thread>

namespace standins {

namespace {
constexpr std::chrono::milliseconds hangPollInterval(10);
}

void FaultInjector::set(const JsonObject &object)
{
    const std::scoped_lock lock(mutex_);
    if (object.has("outage")) {
        const auto name = object.getValue<std::string>("outage");
        outage_ = name == "down" ? Outage::Down : name == "hang" ? Outage::Hang : Outage::None;
    }
    delay_ = std::chrono::milliseconds(fieldOr<Poco::Int64>(object, "delayMs", delay_.count()));
    loseReplies_ = fieldOr<Poco::UInt64>(object, "loseReplies", loseReplies_);
    loseProbability_ = fieldOr<double>(object, "loseProbability", loseProbability_);
    if (object.has("seed")) {
        random_ = anvilscale::Random(object.getValue<Poco::UInt64>("seed"));
    }
    if (object.has("ratePerSecond")) {
        ratePerSecond_ = object.getValue<double>("ratePerSecond");
        tokens_ = ratePerSecond_;
    }
}

bool FaultInjector::hasOutage() const
{
    const std::scoped_lock lock(mutex_);
    return outage_ != Outage::None;
}

bool FaultInjector::isOverRate()
{
    if (ratePerSecond_ <= 0.0) {
        return false;
    }
    const auto now = std::chrono::steady_clock::now();
    tokens_ =
        std::min(ratePerSecond_, tokens_ + std::chrono::duration<double>(now - refilledAt_).count() * ratePerSecond_);
    refilledAt_ = now;
    if (tokens_ < 1.0) {
        return true;
    }
    tokens_ -= 1.0;
    return false;
}

ReplyAction FaultInjector::nextAction(bool isWrite)
{
    std::unique_lock lock(mutex_);
    const auto delay = delay_;
    lock.unlock();
    std::this_thread::sleep_for(delay);
    lock.lock();
    while (outage_ == Outage::Hang) {
        lock.unlock();
        std::this_thread::sleep_for(hangPollInterval);
        lock.lock();
        if (outage_ != Outage::Hang) {
            return ReplyAction::Close; // the caller has timed out by now
        }
    }
    if (outage_ == Outage::Down) {
        return ReplyAction::Close;
    }
    if (isOverRate()) {
        return ReplyAction::RateLimited;
    }
    if (!isWrite) {
        return ReplyAction::Answer;
    }
    if (loseReplies_ > 0) {
        --loseReplies_;
        return ReplyAction::LoseReply;
    }
    return loseProbability_ > 0.0 && random_.uniform() < loseProbability_ ? ReplyAction::LoseReply
                                                                          : ReplyAction::Answer;
}

} // namespace standins

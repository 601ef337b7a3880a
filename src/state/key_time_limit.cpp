// KeyTimeLimit: writes by compare-and-swap, one request at a time.
#include "key_time_limit.h"

#include "config.pb.h"

namespace anvilscale {
namespace {

constexpr Duration initialBackoff = Milliseconds(100);

} // namespace

KeyTimeLimit::KeyTimeLimit(Init init, std::function<void(KvRequest)> submit)
    : init_(std::move(init))
    , submit_(std::move(submit))
    , ids_("key-time-limit/" + init_.key)
    , random_(init_.seed)
    , backoff_(initialBackoff, init_.maxBackoff)
{
}

KeyTimeLimit::~KeyTimeLimit()
{
    stop();
}

void KeyTimeLimit::renew(std::uint64_t leaseFence, WallTime limit)
{
    wantedFence_ = leaseFence;
    wanted_ = limit;
    if (step_ == Step::Idle || step_ == Step::Waiting) {
        init_.timers->cancel(std::exchange(timer_, {}));
        write();
    }
}

WallTime KeyTimeLimit::value(std::uint64_t leaseFence) const
{
    return leaseFence != 0 && leaseFence == fence_ ? allowed_ : WallTime{};
}

WallTime KeyTimeLimit::largestWritten() const
{
    return largestWritten_;
}

void KeyTimeLimit::submitWith(Step step, KvRequest request)
{
    step_ = step;
    request.id = ids_.next();
    pending_ = request.id;
    submit_(std::move(request));
}

void KeyTimeLimit::write()
{
    written_ = wanted_;
    writtenFence_ = wantedFence_;
    largestWritten_ = std::max(largestWritten_, written_);
    allowed_ = std::min(allowed_, written_);
    KvRequest request;
    request.op = KvOp::Txn;
    request.compares.push_back({init_.key, modRevision_});
    request.puts.push_back({init_.key, serialize(written_)});
    submitWith(Step::Writing, std::move(request));
}

void KeyTimeLimit::read()
{
    KvRequest request;
    request.key = init_.key;
    submitWith(Step::Reading, std::move(request));
}

void KeyTimeLimit::retry(Now now)
{
    step_ = Step::Waiting;
    timer_ = init_.timers->subscribe(now.mono + backoff_.next(random_), [this](TimePoint) {
        timer_ = {};
        write();
    });
}

bool KeyTimeLimit::onReply(const KvReply &reply, Now now)
{
    if (!pending_ || reply.id != pending_) {
        return false;
    }
    pending_ = {};
    if (step_ == Step::Writing && reply.status == KvStatus::Ok) {
        step_ = Step::Idle;
        modRevision_ = reply.storeRevision;
        fence_ = writtenFence_;
        allowed_ = written_;
        backoff_.reset();
        if (wantedFence_ != writtenFence_ || wanted_ != written_) {
            write();
        }
    } else if (step_ == Step::Writing && (reply.status == KvStatus::Conflict || reply.status == KvStatus::Unknown)) {
        read();
    } else if (step_ == Step::Reading && reply.status == KvStatus::Ok) {
        modRevision_ = reply.entries.empty() ? 0 : reply.entries.front().modRevision;
        retry(now);
    } else if (step_ == Step::Reading || step_ == Step::Writing) {
        retry(now);
    }
    return true;
}

void KeyTimeLimit::remove()
{
    fence_ = 0;
    if (step_ == Step::Writing || step_ == Step::Reading || modRevision_ == 0) {
        return; // the next owner that claims slots deletes the key
    }
    KvRequest request;
    request.op = KvOp::Txn;
    request.compares.push_back({init_.key, modRevision_});
    request.deletes.push_back(init_.key);
    submitWith(Step::Idle, std::move(request));
}

void KeyTimeLimit::stop()
{
    init_.timers->cancel(std::exchange(timer_, {}));
    fence_ = 0;
}

std::string KeyTimeLimit::serialize(WallTime limit)
{
    config::KeyTimeLimit value;
    value.set_wall_ms(static_cast<std::uint64_t>(limit.ms));
    return value.SerializeAsString();
}

std::optional<WallTime> KeyTimeLimit::parse(const std::string &value)
{
    config::KeyTimeLimit parsed;
    if (!parsed.ParseFromString(value) || parsed.wall_ms() == 0) {
        return std::nullopt;
    }
    return WallTime{static_cast<std::int64_t>(parsed.wall_ms())};
}

} // namespace anvilscale

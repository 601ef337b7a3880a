// LogQueue: bounds and drops.
#include "log_queue.h"

namespace anvilscale {

namespace {

// Eighths of the bounds.
constexpr std::size_t ordinaryEighths = 4;
constexpr std::size_t severeEighths = 7;
constexpr std::size_t lifecycleEighths = 8;
constexpr std::size_t eventEighths = 1; // so that a flood of one warning leaves room for the others
// While a reader is too slow all the time, drops are reported at this interval.
constexpr Duration reportInterval = Seconds(10);

std::size_t sizeOf(const LogLine &line)
{
    return sizeof(LogLine) + line.text.capacity();
}

} // namespace

LogPriority priorityOf(Event event)
{
    switch (event) {
    case Event::ProcessStarted:
    case Event::ProcessStopped:
    case Event::SettingsRejected:
    case Event::ListenFailed:
    case Event::SettingsReloaded:
    case Event::ReloadRejected:
    case Event::RestartNeeded:
    case Event::DrainStarted:
    case Event::DrainFinished:
    case Event::ConfigStale:
    case Event::ConfigFresh:
    case Event::MemberChanged:
    case Event::PeerLost:
    case Event::SchedulerTaken:
    case Event::SchedulerLost:
    case Event::EndpointLost:
    case Event::EndpointBack:
    case Event::EndpointRestarted:
    case Event::KeyValueDown:
    case Event::KeyValueBack:
    case Event::StoreRestored:
    case Event::VmListDown:
        return LogPriority::Lifecycle;
    default:
        return eventTable[static_cast<std::size_t>(event)].level >= LogLevel::Warn ? LogPriority::Severe
                                                                                   : LogPriority::Ordinary;
    }
}

LogQueue::LogQueue(const LogQueueInit &init)
    : init_(init)
{
}

bool LogQueue::push(Event event, std::string text)
{
    LogLine line{event, std::move(text)};
    const auto bytes = sizeOf(line);
    {
        const std::scoped_lock lock(mutex_);
        if (isClosed_ || !hasRoom(event, bytes)) {
            drops_.add(event);
            unreported_.add(event);
            return false;
        }
        lines_.push_back(std::move(line));
        for (Usage *usage : {&usage_, &usageByEvent_[static_cast<std::size_t>(event)]}) {
            ++usage->lines;
            usage->bytes += bytes;
        }
    }
    changed_.notify_one();
    return true;
}

std::optional<LogLine> LogQueue::pop()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return isClosed_ || !lines_.empty(); });
    if (lines_.empty()) {
        return std::nullopt;
    }
    LogLine line = std::move(lines_.front());
    lines_.pop_front();
    const auto bytes = sizeOf(line);
    for (Usage *usage : {&usage_, &usageByEvent_[static_cast<std::size_t>(line.event)]}) {
        --usage->lines;
        usage->bytes -= bytes;
    }
    return line;
}

void LogQueue::close()
{
    {
        const std::scoped_lock lock(mutex_);
        isClosed_ = true;
    }
    changed_.notify_all();
}

void LogQueue::countDrop(Event event)
{
    const std::scoped_lock lock(mutex_);
    drops_.add(event);
    unreported_.add(event);
}

std::optional<LogDrops> LogQueue::takeReport(TimePoint now)
{
    const std::scoped_lock lock(mutex_);
    if (unreported_.total() == 0) {
        return std::nullopt;
    }
    writingSince_ = writingSince_.value_or(now);
    if (!lines_.empty() && now - *writingSince_ < reportInterval) {
        return std::nullopt;
    }
    writingSince_.reset();
    return std::exchange(unreported_, LogDrops());
}

void LogQueue::returnReport(const LogDrops &drops)
{
    const std::scoped_lock lock(mutex_);
    for (std::size_t i = 0; i < enumCount<Event>; ++i) {
        const auto event = static_cast<Event>(i);
        unreported_.add(event, drops.of(event));
    }
}

LogDrops LogQueue::drops() const
{
    const std::scoped_lock lock(mutex_);
    return drops_;
}

std::size_t LogQueue::bytes() const
{
    const std::scoped_lock lock(mutex_);
    return usage_.bytes;
}

bool LogQueue::hasRoom(Event event, std::size_t bytes) const
{
    const auto &ofEvent = usageByEvent_[static_cast<std::size_t>(event)];
    switch (priorityOf(event)) {
    case LogPriority::Severe:
        return isWithin(usage_, bytes, severeEighths) && isWithin(ofEvent, bytes, eventEighths);
    case LogPriority::Lifecycle:
        return isWithin(usage_, bytes, lifecycleEighths) && isWithin(ofEvent, bytes, eventEighths);
    default:
        return isWithin(usage_, bytes, ordinaryEighths);
    }
}

bool LogQueue::isWithin(const Usage &usage, std::size_t bytes, std::size_t eighths) const
{
    return usage.lines < init_.maxLines * eighths / lifecycleEighths
           && usage.bytes + bytes <= init_.maxBytes * eighths / lifecycleEighths;
}

} // namespace anvilscale

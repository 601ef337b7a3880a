// Bounds of events in event streams (text/event-stream).
#include "anvilscale/net.h"

#include <Poco/String.h>

namespace anvilscale {

void EventBounds::read(std::string_view data)
{
    for (const char byte : data) {
        const bool isSecondHalf = byte == '\n' && followsReturn_;
        followsReturn_ = byte == '\r';
        if (isSecondHalf) {
            continue;
        }
        if (byte == '\n' || byte == '\r') {
            endLine();
            continue;
        }
        isComment_ = isLineEmpty_ ? byte == ':' : isComment_;
        isLineEmpty_ = false;
    }
}

void EventBounds::endLine()
{
    if (isLineEmpty_) {
        hasEvent_ = hasEvent_ || hasFields_;
        hasFields_ = false;
    } else if (!isComment_) {
        hasFields_ = true;
    }
    isLineEmpty_ = true;
}

bool EventBounds::isInsideEvent() const
{
    return hasFields_ || !isLineEmpty_;
}

bool EventBounds::hasEvent() const
{
    return hasEvent_;
}

bool isEventStream(const HttpHeaders &headers)
{
    const auto *contentType = findHeader(headers, "Content-Type");
    return contentType != nullptr && Poco::toLower(*contentType).starts_with("text/event-stream");
}

} // namespace anvilscale

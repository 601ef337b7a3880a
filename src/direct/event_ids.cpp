// Ids of the events in event streams (text/event-stream).
#include "anvilscale/direct.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace anvilscale {

namespace {

constexpr std::string_view idField = "id";

} // namespace

EventIds::EventIds(std::string_view lastEventId)
{
    std::uint64_t number = 0;
    const auto *const end = lastEventId.data() + lastEventId.size();
    const auto result = std::from_chars(lastEventId.data(), end, number);
    if (!lastEventId.empty() && result.ec == std::errc() && result.ptr == end) {
        callersLast_ = number;
    }
}

void EventIds::read(std::string_view data)
{
    for (const char byte : data) {
        if (isStopped_) {
            return;
        }
        const bool isSecondHalf = byte == '\n' && followsReturn_;
        followsReturn_ = byte == '\r';
        if (isSecondHalf) {
            continue;
        }
        if (byte == '\n' || byte == '\r') {
            endLine();
        } else if (step_ != Step::Other) {
            readLine(byte);
        }
    }
}

void EventIds::readLine(char byte)
{
    switch (step_) {
    case Step::Name:
        if (nameBytes_ == idField.size()) {
            step_ = byte == ':' ? Step::Space : Step::Other;
        } else if (byte == idField[nameBytes_]) {
            ++nameBytes_;
        } else {
            step_ = Step::Other;
        }
        return;
    case Step::Space:
        step_ = Step::Value;
        number_.reset();
        if (byte == ' ') {
            return;
        }
        [[fallthrough]];
    case Step::Value:
        readDigit(byte);
        return;
    case Step::Other:
        return;
    }
}

void EventIds::readDigit(char byte)
{
    constexpr std::uint64_t base = 10;
    const auto digit = static_cast<std::uint64_t>(byte - '0');
    const auto before = number_.value_or(0);
    if (byte < '0' || byte > '9' || before > (std::numeric_limits<std::uint64_t>::max() - digit) / base) {
        stop();
        return;
    }
    number_ = before * base + digit;
}

void EventIds::endLine()
{
    const bool isLineEmpty = step_ == Step::Name && nameBytes_ == 0;
    const bool isIdField =
        step_ == Step::Space || step_ == Step::Value || (step_ == Step::Name && nameBytes_ == idField.size());
    if (isIdField && (step_ != Step::Value || !number_)) {
        stop(); // an empty id
        return;
    }
    if (isIdField) {
        eventId_ = number_;
    } else if (isLineEmpty && eventId_) {
        judge(*eventId_);
        eventId_.reset();
    }
    step_ = Step::Name;
    nameBytes_ = 0;
}

void EventIds::judge(std::uint64_t id)
{
    const auto before = last_ ? last_ : callersLast_;
    if (before && id <= *before) {
        finding_ = std::max(finding_, last_ ? EventIdFinding::Falling : EventIdFinding::Repeated);
    } else if (before && id - *before > 1) {
        finding_ = std::max(finding_, EventIdFinding::Skipped);
    }
    last_ = id;
}

void EventIds::stop()
{
    isStopped_ = true;
    last_.reset();
}

EventIdFinding EventIds::finding() const
{
    return finding_;
}

std::optional<std::uint64_t> EventIds::last() const
{
    return last_;
}

} // namespace anvilscale

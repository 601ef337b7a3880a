// Frame reordering and end frame verification.
#include "answer_assembler.h"

namespace anvilscale {

namespace {

// Bounds the memory of a call: a sender within its credit never runs this far ahead.
constexpr std::size_t maxEarlyFrames = 4096;

/// True for the status of a response that is not an interim one.
bool isFinalStatus(std::uint32_t status)
{
    return status >= 200 && status <= 599;
}

} // namespace

FrameResult AnswerAssembler::add(wire::CallFrame frame, std::vector<wire::CallFrame> &ready)
{
    const auto sequence = frame.sequence();
    // Sidecars of earlier versions pass on whatever status their endpoint has sent.
    hasBrokenHead_ = hasBrokenHead_ || (sequence == 0 && !isFinalStatus(frame.status()));
    if (hasBrokenHead_) {
        return FrameResult::Dropped;
    }
    if (sequence < nextSequence_ || earlyFrames_.contains(sequence) || sequence - nextSequence_ > maxEarlyFrames) {
        return FrameResult::Dropped;
    }
    earlyFrames_.emplace(sequence, std::move(frame));
    while (!earlyFrames_.empty() && earlyFrames_.begin()->first == nextSequence_) {
        auto node = earlyFrames_.extract(earlyFrames_.begin());
        digest_.add(node.mapped().data());
        ready.push_back(std::move(node.mapped()));
        ++nextSequence_;
    }
    return FrameResult::Accepted;
}

void AnswerAssembler::setEnd(wire::CallEnd end)
{
    endFrame_ = std::move(end);
}

AnswerState AnswerAssembler::state(bool checkDigest) const
{
    if (!endFrame_) {
        return AnswerState::Open;
    }
    if (hasBrokenHead_) {
        return AnswerState::Broken;
    }
    if (!checkDigest) {
        return AnswerState::Whole;
    }
    if (nextSequence_ < endFrame_->frames()) {
        return AnswerState::Open;
    }
    const bool isMatching =
        nextSequence_ == endFrame_->frames() && earlyFrames_.empty() && digest_.value() == endFrame_->digest();
    return isMatching ? AnswerState::Whole : AnswerState::Broken;
}

const std::optional<wire::CallEnd> &AnswerAssembler::endFrame() const
{
    return endFrame_;
}

bool AnswerAssembler::hasStarted() const
{
    return nextSequence_ > 0;
}

} // namespace anvilscale

// Frames into order, and the check of the end frame.
#include "answer_assembler.h"

namespace anvilscale {

namespace {

// A sender is limited by credit; a frame further ahead than this is no honest reordering.
constexpr std::size_t maximumEarlyFrames = 4096;

} // namespace

FrameResult AnswerAssembler::add(wire::CallFrame frame, std::vector<wire::CallFrame> &ready)
{
    const auto sequence = frame.sequence();
    if (sequence < next_ || early_.contains(sequence) || sequence - next_ > maximumEarlyFrames) {
        return FrameResult::Dropped;
    }
    early_.emplace(sequence, std::move(frame));
    while (!early_.empty() && early_.begin()->first == next_) {
        auto node = early_.extract(early_.begin());
        digest_.add(node.mapped().data());
        ready.push_back(std::move(node.mapped()));
        ++next_;
    }
    return FrameResult::Accepted;
}

void AnswerAssembler::end(wire::CallEnd end)
{
    end_ = std::move(end);
}

AnswerState AnswerAssembler::state(bool checkDigest) const
{
    if (!end_) {
        return AnswerState::Open;
    }
    if (!checkDigest) {
        return AnswerState::Whole;
    }
    if (next_ < end_->frames()) {
        return AnswerState::Open;
    }
    const bool agrees = next_ == end_->frames() && early_.empty() && digest_.value() == end_->digest();
    return agrees ? AnswerState::Whole : AnswerState::Broken;
}

const std::optional<wire::CallEnd> &AnswerAssembler::ending() const
{
    return end_;
}

bool AnswerAssembler::started() const
{
    return next_ > 0;
}

} // namespace anvilscale

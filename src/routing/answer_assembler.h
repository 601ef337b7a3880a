// Orders the frames of an attempt's answer and verifies that the answer is complete.
#pragma once

#include "wire.pb.h"

#include "anvilscale/base.h"

#include <map>
#include <optional>
#include <vector>

namespace anvilscale {

enum class FrameResult : std::uint8_t {
    Accepted, ///< in order, or buffered until the preceding frames arrive
    Dropped, ///< duplicate, too far ahead of the next expected frame, or of an answer with a broken head
    Count
};
template<>
struct EnumNames<FrameResult>
{
    static constexpr std::array<std::string_view, enumCount<FrameResult>> table{"accepted", "dropped"};
};

enum class AnswerState : std::uint8_t {
    Open, ///< frames or the end frame are missing
    Whole,
    Broken, ///< frame count or digest differ from the end frame, or the first frame has no status of a response
    Count
};
template<>
struct EnumNames<AnswerState>
{
    static constexpr std::array<std::string_view, enumCount<AnswerState>> table{"open", "whole", "broken"};
};

/// Reassembles the answer of one attempt.
class AnswerAssembler
{
public:
    /// Adds a frame. Appends every frame that is now in order to `ready`.
    FrameResult add(wire::CallFrame frame, std::vector<wire::CallFrame> &ready);
    /// Sets the end frame, which may arrive before the last frames.
    void setEnd(wire::CallEnd end);
    /// Without `checkDigest` the end frame alone makes the answer whole.
    AnswerState state(bool checkDigest) const;
    const std::optional<wire::CallEnd> &endFrame() const;
    /// True once the first frame has been returned.
    bool hasStarted() const;

private:
    // Buffered out-of-order frames by sequence. Invariant: every key is greater than nextSequence_.
    std::map<std::uint32_t, wire::CallFrame> earlyFrames_;
    std::uint32_t nextSequence_ = 0;
    Digest digest_;
    bool hasBrokenHead_ = false;
    std::optional<wire::CallEnd> endFrame_;
};

} // namespace anvilscale

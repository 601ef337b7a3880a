// Puts the frames of one attempt's answer into order and decides whether the answer is whole.
#pragma once

#include "wire.pb.h"

#include "anvilscale/base.h"

#include <map>
#include <optional>
#include <vector>

namespace anvilscale {

enum class FrameResult : std::uint8_t {
    Accepted, ///< in order now, or kept until the gap before it closes
    Dropped, ///< seen before, or beyond what a sender with this credit may send
    Count
};
template<>
struct EnumNames<FrameResult>
{
    static constexpr std::array<std::string_view, enumCount<FrameResult>> table{"accepted", "dropped"};
};

enum class AnswerState : std::uint8_t {
    Open, ///< frames or the end are missing
    Whole,
    Broken, ///< frame count or digest do not agree with the end frame
    Count
};
template<>
struct EnumNames<AnswerState>
{
    static constexpr std::array<std::string_view, enumCount<AnswerState>> table{"open", "whole", "broken"};
};

class AnswerAssembler
{
public:
    /// Takes a frame; those that are in order now are appended to `ready`.
    FrameResult add(wire::CallFrame frame, std::vector<wire::CallFrame> &ready);
    /// The end may arrive before the last frames when answers cross.
    void end(wire::CallEnd end);
    AnswerState state(bool checkDigest) const;
    const std::optional<wire::CallEnd> &ending() const;
    bool started() const;

private:
    // Frames that came before their turn. Invariant: every key is greater than next_.
    std::map<std::uint32_t, wire::CallFrame> early_;
    std::uint32_t next_ = 0;
    Digest digest_;
    std::optional<wire::CallEnd> end_;
};

} // namespace anvilscale

// What the engine stand-in answers: a function of the adapter's name, the prompt and the number of tokens, so that a
// test can tell a wrong adapter, another caller's answer and a missing or foreign part of an answer.
#pragma once

#include "anvilscale/base.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>

namespace standins {

inline std::string hexText(std::uint64_t value)
{
    constexpr std::size_t digits = 17;
    std::array<char, digits> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

/// Token `index` of an answer of `count` tokens. The first names the adapter, the last closes the answer.
inline std::string answerToken(const std::string &model, const std::string &prompt, std::size_t index,
                               std::size_t count)
{
    if (index == 0) {
        return "[" + model + "]";
    }
    const auto hash = anvilscale::hash64(model + "\n" + prompt, index);
    return index + 1 == count ? " end-" + hexText(hash) : " " + hexText(hash).substr(0, 4);
}

inline std::string expectedAnswer(const std::string &model, const std::string &prompt, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
        text += answerToken(model, prompt, i, count);
    }
    return text;
}

} // namespace standins

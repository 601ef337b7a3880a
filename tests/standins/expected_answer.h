// Answers of the engine stand-in as a function of adapter, prompt and token count. Tests use them to detect a wrong
// adapter, another caller's answer, and missing or foreign parts.
#pragma once

#include "anvilscale/base.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>

namespace standins {

/// Returns 16 hexadecimal digits.
inline std::string hexText(std::uint64_t value)
{
    constexpr std::size_t digits = 17;
    std::array<char, digits> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

/// Returns token `index` of an answer of `count` tokens. The first token names the adapter, the last one marks the end.
inline std::string answerToken(const std::string &model, const std::string &prompt, std::size_t index,
                               std::size_t count)
{
    if (index == 0) {
        return "[" + model + "]";
    }
    const auto hash = anvilscale::hash64(model + "\n" + prompt, index);
    return index + 1 == count ? " end-" + hexText(hash) : " " + hexText(hash).substr(0, 4);
}

/// Returns the full answer of `count` tokens.
inline std::string expectedAnswer(const std::string &model, const std::string &prompt, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
        text += answerToken(model, prompt, i, count);
    }
    return text;
}

} // namespace standins

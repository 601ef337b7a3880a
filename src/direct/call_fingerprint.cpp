// Fingerprints that identify repeats of a request.
#include "anvilscale/direct.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace anvilscale {

std::string CallFingerprint::text() const
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(value));
    return digits.data();
}

std::optional<CallFingerprint> CallFingerprint::read(std::string_view text)
{
    constexpr std::size_t digits = 16;
    constexpr int base = 16;
    CallFingerprint result;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), result.value, base);
    if (text.size() != digits || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return result;
}

CallFingerprint computeFingerprint(std::string_view method, std::string_view target, std::string_view body,
                                   const CallInfo &info)
{
    auto value = hash64(method);
    for (const auto part :
         {std::string_view(info.host), target, std::string_view(info.model), std::string_view(info.adapter), body}) {
        value = hash64(part, value);
    }
    return CallFingerprint{value};
}

} // namespace anvilscale

// Fingerprints of requests, prompt parts and processes.
#include "anvilscale/direct.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace anvilscale {

std::string fingerprintText(std::uint64_t value)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(value));
    return digits.data();
}

std::optional<std::uint64_t> readFingerprint(std::string_view text)
{
    constexpr std::size_t digits = 16;
    constexpr int base = 16;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (text.size() != digits || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

ProcessFingerprint fingerprintOf(const std::string &endpointId, std::uint64_t startTimeMs)
{
    return {hash64(endpointId, startTimeMs)};
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

namespace {

constexpr char contentKeyMark = '\n'; // no header value contains it

} // namespace

std::string streamContentKey(const CallInfo &info, std::string_view workspace)
{
    const auto ownPart = info.parts.empty() ? std::string_view() : std::string_view(info.parts.back().id);
    const auto value = hash64(workspace, hash64(ownPart, info.fingerprint.value));
    return contentKeyMark + fingerprintText(value);
}

bool isStreamContentKey(std::string_view key)
{
    return key.starts_with(contentKeyMark);
}

std::vector<PartFingerprint> sharedParts(const std::vector<PromptPart> &parts)
{
    const auto count = parts.empty() ? 0 : std::min(parts.size() - 1, maxSharedParts);
    std::vector<PartFingerprint> result;
    result.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back({hash64(parts[i].id)});
    }
    return result;
}

} // namespace anvilscale

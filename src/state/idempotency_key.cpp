// Idempotency keys: UUIDv7 (RFC 9562), whose first 48 bits are the creation time in milliseconds since 1970.
#include "anvilscale/state.h"

namespace anvilscale {
namespace {

constexpr std::size_t keyLength = 36;
constexpr std::array<std::size_t, 4> dashPositions{8, 13, 18, 23};
constexpr std::size_t versionPosition = 14;
constexpr std::size_t variantPosition = 19;
constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr unsigned timestampDigits = 12;
constexpr std::uint64_t timestampMask = (std::uint64_t(1) << 48) - 1;

std::optional<std::uint64_t> hexDigitValue(char c)
{
    const char lower = c >= 'A' && c <= 'F' ? static_cast<char>(c - 'A' + 'a') : c;
    const auto at = hexDigits.find(lower);
    return at == std::string_view::npos ? std::nullopt : std::optional<std::uint64_t>(at);
}

bool isDashPosition(std::size_t at)
{
    return at == dashPositions[0] || at == dashPositions[1] || at == dashPositions[2] || at == dashPositions[3];
}

/// Appends the low `digits` hex digits of `value`, most significant first.
void appendHex(std::string &out, std::uint64_t value, unsigned digits)
{
    for (unsigned i = digits; i-- > 0;) {
        out += hexDigits[(value >> (4 * i)) & 0xf];
    }
}

} // namespace

std::optional<WallTime> parseKeyTime(std::string_view key)
{
    if (key.size() != keyLength || key[versionPosition] != '7') {
        return std::nullopt;
    }
    std::uint64_t timestamp = 0;
    unsigned digits = 0;
    for (std::size_t i = 0; i < keyLength; ++i) {
        if (isDashPosition(i)) {
            if (key[i] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const auto value = hexDigitValue(key[i]);
        if (!value || (i == variantPosition && (*value >> 2) != 2)) {
            return std::nullopt;
        }
        if (digits++ < timestampDigits) {
            timestamp = timestamp << 4 | *value;
        }
    }
    return WallTime{static_cast<std::int64_t>(timestamp)};
}

std::string makeKey(WallTime now, Random &random)
{
    const std::uint64_t timestamp = static_cast<std::uint64_t>(now.ms) & timestampMask;
    const std::uint64_t randomA = random.next();
    const std::uint64_t randomB = random.next();
    std::string key;
    key.reserve(keyLength);
    appendHex(key, timestamp >> 16, 8);
    key += '-';
    appendHex(key, timestamp, 4);
    key += "-7";
    appendHex(key, randomA, 3);
    key += '-';
    appendHex(key, 0x8 | (randomA >> 12 & 0x3), 1);
    appendHex(key, randomA >> 16, 3);
    key += '-';
    appendHex(key, randomB, 12);
    return key;
}

std::uint32_t slotOf(std::string_view key, std::uint32_t slots)
{
    // UUIDs are case-insensitive: upper and lower case must map to the same slot.
    std::string lower(key);
    for (char &c : lower) {
        c = c >= 'A' && c <= 'F' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    return slots == 0 ? 0 : static_cast<std::uint32_t>(hash64(lower) % slots);
}

} // namespace anvilscale

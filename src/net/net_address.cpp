// NetAddress: IPv4 address and port, and the only parser of their text.
#include "anvilscale/net.h"

#include <charconv>

namespace anvilscale {

namespace {

constexpr int octetBits = 8;
constexpr int octetCount = 4;
constexpr std::uint32_t octetMask = 0xFF;
// Addresses from here on are for multicast, reserved or for broadcast.
constexpr std::uint32_t firstGroupOctet = 224;

/// Reads a whole number that is all of `text`.
template<class Number>
std::optional<Number> readNumber(std::string_view text)
{
    Number number = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

/// Leading zeros are rejected: some readers take such a number for an octal one.
std::optional<std::uint32_t> readIp(std::string_view text)
{
    std::uint32_t ip = 0;
    for (int i = 0; i < octetCount; ++i) {
        const auto dot = text.find('.');
        const bool isLast = i + 1 == octetCount;
        const auto octetText = text.substr(0, dot);
        const auto octet = readNumber<std::uint8_t>(octetText);
        const bool hasLeadingZero = octetText.size() > 1 && octetText.front() == '0';
        if (!octet || hasLeadingZero || isLast != (dot == std::string_view::npos)) {
            return std::nullopt;
        }
        ip = (ip << octetBits) | *octet;
        text.remove_prefix(isLast ? text.size() : dot + 1);
    }
    return ip;
}

} // namespace

tl::expected<NetAddress, AddressErrorKind> NetAddress::parse(std::string_view text)
{
    const auto colon = text.find(':');
    const auto ip = readIp(text.substr(0, colon));
    if (!ip) {
        return tl::unexpected(AddressErrorKind::NotIpv4);
    }
    const auto port =
        colon == std::string_view::npos ? std::nullopt : readNumber<std::uint16_t>(text.substr(colon + 1));
    if (!port || *port == 0) {
        return tl::unexpected(AddressErrorKind::BadPort);
    }
    const auto firstOctet = *ip >> (octetBits * (octetCount - 1));
    if (firstOctet == 0) {
        return tl::unexpected(AddressErrorKind::Unspecified);
    }
    if (firstOctet >= firstGroupOctet) {
        return tl::unexpected(AddressErrorKind::NotUnicast);
    }
    NetAddress address;
    address.ip_ = *ip;
    address.port_ = *port;
    return address;
}

tl::expected<NetAddress, AddressErrorKind> NetAddress::parseUrl(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme)) {
        return tl::unexpected(AddressErrorKind::BadScheme);
    }
    url.remove_prefix(scheme.size());
    if (url.ends_with('/')) {
        url.remove_suffix(1);
    }
    return parse(url);
}

NetAddress NetAddress::withPort(std::uint16_t port) const
{
    auto result = *this;
    result.port_ = port;
    return result;
}

bool NetAddress::isLoopback() const
{
    constexpr std::uint32_t loopbackOctet = 127;
    return ip_ >> (octetBits * (octetCount - 1)) == loopbackOctet;
}

std::string NetAddress::text() const
{
    std::string result;
    for (int i = octetCount - 1; i >= 0; --i) {
        result += std::to_string((ip_ >> (octetBits * i)) & octetMask) + (i == 0 ? ":" : ".");
    }
    return result + std::to_string(port_);
}

} // namespace anvilscale

// Tests of NetAddress: which texts are addresses, and their canonical text.
#include "anvilscale/net.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <unordered_set>

namespace anvilscale {
namespace {

AddressErrorKind errorOf(std::string_view text)
{
    const auto address = NetAddress::parse(text);
    return address ? AddressErrorKind::Count : address.error();
}

// Guards against a text that one reader takes for an address and another one fails on.
TEST(NetAddress, OnlyDottedAddressAndPortAreParsed)
{
    for (const auto *text : {"",
                             ":",
                             ":80",
                             "host:80",
                             "::1:80",
                             "::ffff:10.0.0.1:80",
                             "fe80::1%lo:80",
                             "[::1]:80",
                             "*:80",
                             "10.0.0:80",
                             "10.0.0.1.2:80",
                             "10.0.0.256:80",
                             "10.0.0.-1:80",
                             "10.0.0.01:80",
                             "10.0.0.:80",
                             "10..0.1:80",
                             " 10.0.0.1:80",
                             "10.0.0.1 :80",
                             "0x0a.0.0.1:80",
                             "167772161:80",
                             "10.0.0.+1:80"}) {
        EXPECT_EQ(errorOf(text), AddressErrorKind::NotIpv4) << text;
    }
    for (const auto *text : {"10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:+1",
                             "10.0.0.1:18446744073709551696", "10.0.0.1:80 ", "10.0.0.1: 80", "10.0.0.1:80:80",
                             "10.0.0.1:80/", "10.0.0.1:http", "10.0.0.1:1e2", "10.0.0.1:80\r\nX: y"}) {
        EXPECT_EQ(errorOf(text), AddressErrorKind::BadPort) << text;
    }
    EXPECT_EQ(errorOf(std::string_view("10.0.0.1:80\0", 12)), AddressErrorKind::BadPort);
    EXPECT_EQ(errorOf("0.0.0.0:80"), AddressErrorKind::Unspecified);
    EXPECT_EQ(errorOf("0.1.2.3:80"), AddressErrorKind::Unspecified);
    EXPECT_EQ(errorOf("224.0.0.1:80"), AddressErrorKind::NotUnicast);
    EXPECT_EQ(errorOf("255.255.255.255:80"), AddressErrorKind::NotUnicast);
}

TEST(NetAddress, UrlIsParsed)
{
    EXPECT_EQ(NetAddress::parseUrl("http://10.1.0.40:8080").value().text(), "10.1.0.40:8080");
    EXPECT_EQ(NetAddress::parseUrl("http://10.1.0.40:8080/").value().text(), "10.1.0.40:8080");
    EXPECT_EQ(NetAddress::parseUrl("10.1.0.40:8080").error(), AddressErrorKind::BadScheme);
    EXPECT_EQ(NetAddress::parseUrl("http://10.1.0.40:8080/x").error(), AddressErrorKind::BadPort);
    EXPECT_EQ(NetAddress::parseUrl("http://[::1]:8080").error(), AddressErrorKind::NotIpv4);
}

// Guards against two names of one process: the text is the key under which processes name an endpoint to each other.
TEST(NetAddress, TextIsCanonicalAndParsesToTheSameAddress)
{
    EXPECT_EQ(NetAddress::parse("10.1.0.40:0080").value().text(), "10.1.0.40:80");
    const auto isSame = rc::check([](std::uint32_t ip, std::uint16_t port) {
        std::string text;
        for (int shift = 24; shift >= 0; shift -= 8) {
            text += std::to_string((ip >> shift) & 0xFF) + (shift == 0 ? ":" : ".");
        }
        text += std::to_string(port);
        const auto address = NetAddress::parse(text);
        const bool isUnicast = ip >> 24 != 0 && ip >> 24 < 224;
        RC_ASSERT(address.has_value() == (isUnicast && port != 0));
        if (address) {
            RC_ASSERT(address->text() == text);
            RC_ASSERT(address->ip() == ip);
            RC_ASSERT(address->port() == port);
            RC_ASSERT(std::unordered_set<NetAddress>{*address}.count(*NetAddress::parse(text)) == 1);
        }
    });
    EXPECT_TRUE(isSame);
}

} // namespace
} // namespace anvilscale

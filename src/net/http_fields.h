// Formatting of header fields, shared by requests and responses.
#pragma once

#include "anvilscale/net.h"

#include <Poco/Net/HTTPMessage.h>

namespace anvilscale {

/// Returns the value with spaces in the place of control characters (RFC 9110, 5.5): it may come from outside, and a
/// line end in it would begin another message.
std::string fieldValue(std::string_view value);
/// Formats the fields that are passed on, in their order: all but the hop-by-hop ones and those whose name is not a
/// token. POCO's list of fields is not used for them: it groups equal names, and each insertion walks it.
std::string formatFields(const HttpHeaders &headers);
/// Formats a head of POCO's with these fields after its own.
std::string formatHead(const Poco::Net::HTTPMessage &message, std::string_view fields);

} // namespace anvilscale

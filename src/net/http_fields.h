// Formatting of header fields, shared by requests and responses.
#pragma once

#include "anvilscale/net.h"

namespace anvilscale {

/// Appends one field. Control characters of the value become spaces (RFC 9110, 5.5): a value may come from outside, and
/// a line end in it would begin another message. A field whose name is not a token is left out.
void appendField(std::string &head, std::string_view name, std::string_view value);
/// Appends all fields but the hop-by-hop ones.
void appendFields(std::string &head, const HttpHeaders &headers);

} // namespace anvilscale

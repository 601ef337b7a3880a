// Validates JSON against a protobuf message type. Protobuf's own parser rejects the same input but reports errors only
// as text; this one returns the field's path and the kind of error.
#pragma once

#include "anvilscale/settings.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/struct.pb.h>

#include <optional>

namespace anvilscale {

/// Parses JSON into a tree. Returns BadJson if the text is malformed.
tl::expected<google::protobuf::Struct, SettingsError> parseTree(std::string_view json);
/// Returns the first unknown field or type mismatch, in alphabetical order of the field names.
std::optional<SettingsError> checkTree(const google::protobuf::Struct &tree, const google::protobuf::Descriptor &type,
                                       const std::string &prefix = {});
/// Returns the value at a path such as "entry.bodyLimitBytes", or nullptr if it is absent.
const google::protobuf::Value *findValue(const google::protobuf::Struct &tree, std::string_view path);

} // namespace anvilscale

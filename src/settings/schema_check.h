// Compares a JSON text with a message type of the schema, so that an error names the field and its kind.
// Protobuf's own reader refuses the same texts, but tells it in prose only.
#pragma once

#include "anvilscale/settings.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/struct.pb.h>

#include <optional>

namespace anvilscale {

/// The text as a tree, or BadJson.
tl::expected<google::protobuf::Struct, SettingsError> parseTree(std::string_view json);
/// The first unknown field or wrong type, in the order of names.
std::optional<SettingsError> checkTree(const google::protobuf::Struct &tree, const google::protobuf::Descriptor &type,
                                       const std::string &prefix = {});
/// The value at a path such as "entry.bodyLimitBytes"; null if absent.
const google::protobuf::Value *findValue(const google::protobuf::Struct &tree, std::string_view path);

} // namespace anvilscale

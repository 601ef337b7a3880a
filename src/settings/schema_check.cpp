// Validates a JSON tree against a message type. Field names are in protobuf's JSON form (lowerCamelCase).
#include "schema_check.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace anvilscale {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Struct;
using google::protobuf::Value;

const FieldDescriptor *fieldByJsonName(const google::protobuf::Descriptor &type, const std::string &name)
{
    for (int i = 0; i < type.field_count(); ++i) {
        if (type.field(i)->json_name() == name) {
            return type.field(i);
        }
    }
    return nullptr;
}

SettingsError wrongType(const std::string &path, std::string_view expected)
{
    return {SettingsErrorKind::WrongType, path, "expected " + std::string(expected)};
}

std::optional<SettingsError> checkNumber(const Value &value, const FieldDescriptor &field, const std::string &path)
{
    if (value.kind_case() != Value::kNumberValue) {
        return wrongType(path, "a number");
    }
    const double number = value.number_value();
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
        return std::nullopt;
    }
    if (number != std::floor(number)) {
        return wrongType(path, "an integer");
    }
    constexpr double maxUint32 = 4294967295.0;
    if (number < 0 || (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32 && number > maxUint32)) {
        return SettingsError{SettingsErrorKind::OutOfRange, path, "not an unsigned 32-bit integer"};
    }
    return std::nullopt;
}

std::optional<SettingsError> checkValue(const Value &value, const FieldDescriptor &field, const std::string &path)
{
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
        return value.kind_case() == Value::kStringValue ? std::nullopt : std::optional(wrongType(path, "a string"));
    case FieldDescriptor::CPPTYPE_BOOL:
        return value.kind_case() == Value::kBoolValue ? std::nullopt : std::optional(wrongType(path, "true or false"));
    case FieldDescriptor::CPPTYPE_MESSAGE:
        if (value.kind_case() != Value::kStructValue) {
            return wrongType(path, "an object");
        }
        return checkTree(value.struct_value(), *field.message_type(), path + ".");
    default:
        return checkNumber(value, field, path);
    }
}

std::optional<SettingsError> checkField(const Value &value, const FieldDescriptor &field, const std::string &path)
{
    if (!field.is_repeated()) {
        return checkValue(value, field, path);
    }
    if (value.kind_case() != Value::kListValue) {
        return wrongType(path, "an array");
    }
    for (int i = 0; i < value.list_value().values_size(); ++i) {
        auto error = checkValue(value.list_value().values(i), field, path + "[" + std::to_string(i) + "]");
        if (error) {
            return error;
        }
    }
    return std::nullopt;
}

} // namespace

tl::expected<Struct, SettingsError> parseTree(std::string_view json)
{
    Struct tree;
    const auto status = google::protobuf::util::JsonStringToMessage({json.data(), json.size()}, &tree);
    if (!status.ok()) {
        return tl::unexpected(SettingsError{SettingsErrorKind::BadJson, "", status.ToString()});
    }
    return tree;
}

std::optional<SettingsError> checkTree(const Struct &tree, const google::protobuf::Descriptor &type,
                                       const std::string &prefix)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : tree.fields()) {
        names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    for (const std::string &name : names) {
        const FieldDescriptor *field = fieldByJsonName(type, name);
        if (field == nullptr) {
            return SettingsError{SettingsErrorKind::UnknownField, prefix + name, "unknown field"};
        }
        auto error = checkField(tree.fields().at(name), *field, prefix + name);
        if (error) {
            return error;
        }
    }
    return std::nullopt;
}

const Value *findValue(const Struct &tree, std::string_view path)
{
    const auto dot = path.find('.');
    const auto found = tree.fields().find(std::string(path.substr(0, dot)));
    if (found == tree.fields().end()) {
        return nullptr;
    }
    if (dot == std::string_view::npos) {
        return &found->second;
    }
    return findValue(found->second.struct_value(), path.substr(dot + 1));
}

} // namespace anvilscale

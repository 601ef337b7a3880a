// Validates settings against the rule table, fills in defaults, and prints both.
#include "anvilscale/settings.h"

#include "rules.h"
#include "schema_check.h"

#include <google/protobuf/util/json_util.h>

#include <cmath>
#include <fstream>
#include <sstream>

namespace anvilscale {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Struct;
using google::protobuf::Value;
using settings::Settings;
using settings_rules::Scope;

struct FieldPlace
{
    Message *message;
    const FieldDescriptor *field;
};

/// Returns the field at a path and creates missing parent messages.
FieldPlace placeOf(Message &message, std::string_view path)
{
    const auto dot = path.find('.');
    const std::string name(path.substr(0, dot));
    const FieldDescriptor *field = message.GetDescriptor()->FindFieldByCamelcaseName(name);
    if (dot == std::string_view::npos) {
        return {&message, field};
    }
    return placeOf(*message.GetReflection()->MutableMessage(&message, field), path.substr(dot + 1));
}

void setNumber(Message &message, std::string_view path, double value)
{
    const FieldPlace place = placeOf(message, path);
    const auto *reflection = place.message->GetReflection();
    if (place.field->cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
        reflection->SetDouble(place.message, place.field, value);
    } else {
        reflection->SetUInt32(place.message, place.field, static_cast<std::uint32_t>(value));
    }
}

std::string plain(double value)
{
    std::ostringstream out;
    out.precision(12);
    out << value;
    return out.str();
}

std::optional<SettingsError> checkNumbers(const Struct &tree, Settings &into)
{
    for (const auto &rule : settings_rules::numbers()) {
        if (!settings_rules::applies(rule.scope, into.role())) {
            continue;
        }
        const Value *value = findValue(tree, rule.path);
        if (value == nullptr) {
            setNumber(into, rule.path, rule.initial);
            continue;
        }
        const double number = value->number_value();
        if (number < rule.least || number > rule.most) {
            return SettingsError{SettingsErrorKind::OutOfRange, std::string(rule.path),
                                 plain(number) + " is not between " + plain(rule.least) + " and " + plain(rule.most)};
        }
    }
    return std::nullopt;
}

std::optional<SettingsError> checkText(const settings_rules::TextRule &rule, const Value &value)
{
    if (value.kind_case() == Value::kListValue) {
        for (const Value &item : value.list_value().values()) {
            if (auto error = checkText(rule, item)) {
                return error;
            }
        }
        return std::nullopt;
    }
    if (!settings_rules::matches(rule.form, value.string_value())) {
        return SettingsError{SettingsErrorKind::OutOfRange, std::string(rule.path),
                             "expected " + std::string(settings_rules::describe(rule.form))};
    }
    return std::nullopt;
}

bool isEmpty(const Value *value)
{
    if (value == nullptr) {
        return true;
    }
    if (value->kind_case() == Value::kListValue) {
        return value->list_value().values().empty();
    }
    return value->string_value().empty();
}

std::optional<SettingsError> checkTexts(const Struct &tree, Settings &into)
{
    for (const auto &rule : settings_rules::texts()) {
        if (!settings_rules::applies(rule.scope, into.role())) {
            continue;
        }
        const Value *value = findValue(tree, rule.path);
        if (isEmpty(value)) {
            if (rule.required) {
                return SettingsError{SettingsErrorKind::Missing, std::string(rule.path), std::string(rule.meaning)};
            }
            const FieldPlace place = placeOf(into, rule.path);
            if (!place.field->is_repeated()) {
                place.message->GetReflection()->SetString(place.message, place.field, std::string(rule.initial));
            }
            continue;
        }
        if (auto error = checkText(rule, *value)) {
            return error;
        }
    }
    return std::nullopt;
}

void fillFlags(const Struct &tree, Settings &into)
{
    for (const auto &rule : settings_rules::flags()) {
        if (settings_rules::applies(rule.scope, into.role()) && findValue(tree, rule.path) == nullptr) {
            const FieldPlace place = placeOf(into, rule.path);
            place.message->GetReflection()->SetBool(place.message, place.field, rule.initial);
        }
    }
}

/// Splits `at` ("IP:PORT") into address and port, the only form that the daemon reads.
void splitListen(settings::Listen &listen)
{
    const auto colon = listen.at().rfind(':');
    if (colon == std::string::npos) {
        return;
    }
    listen.set_address(listen.at().substr(0, colon));
    listen.set_port(static_cast<std::uint32_t>(std::stoul(listen.at().substr(colon + 1))));
}

SettingsError contradiction(std::string path, std::string detail)
{
    return {SettingsErrorKind::Contradiction, std::move(path), std::move(detail)};
}

std::optional<SettingsError> checkRoleParts(const Settings &given)
{
    const bool direct = settings_rules::applies(Scope::Direct, given.role());
    if (given.has_sidecar() && given.role() != "sidecar") {
        return contradiction("sidecar", "only the role sidecar has sidecar settings");
    }
    if (given.has_entry() && given.role() != "entry") {
        return contradiction("entry", "only the role entry has entry settings");
    }
    if (given.has_direct() && !direct) {
        return contradiction("direct", "only the roles of the direct path have direct settings");
    }
    if (given.has_platform() && direct) {
        return contradiction("platform", "the direct path has its store in direct.store");
    }
    return std::nullopt;
}

std::optional<SettingsError> checkTiming(const settings::Timing &timing)
{
    constexpr std::uint32_t beatsBeforeSuspicion = 3;
    if (timing.suspect_ms() < beatsBeforeSuspicion * timing.heartbeat_ms()) {
        return contradiction("timing.suspectMs", "less than three heartbeats: one lost message would be suspicion");
    }
    if (timing.lease_ms() == 0) {
        return std::nullopt; // the direct path uses no leases
    }
    // Keep-alives are sent at every third of a lease; with a larger margin the holder would stop between two of them.
    if (timing.lease_margin_ms() * 2 > timing.lease_ms()) {
        return contradiction("timing.leaseMarginMs", "more than half of timing.leaseMs");
    }
    return std::nullopt;
}

// The other delays of the store calls are fractions of the same bound and assume at most this share for the pause.
std::optional<SettingsError> checkStorePause(const settings::Direct &direct)
{
    constexpr std::uint32_t mostPercent = 45;
    const auto bound = std::min(direct.leave_ms(), direct.config_ms());
    if (std::uint64_t{direct.store_pause_ms()} * 100 > std::uint64_t{bound} * mostPercent) {
        return contradiction("direct.storePauseMs", "more than 45 % of direct.leaveMs or direct.configMs");
    }
    return std::nullopt;
}

std::optional<SettingsError> checkSidecar(const settings::Sidecar &sidecar)
{
    if (sidecar.endpoint_kind() == "engine" && sidecar.base_model().empty()) {
        return SettingsError{SettingsErrorKind::Missing, "sidecar.baseModel", "an engine serves a base model"};
    }
    if (sidecar.endpoint_kind() == "service" && sidecar.services().empty()) {
        return SettingsError{SettingsErrorKind::Missing, "sidecar.services", "a service endpoint gives some service"};
    }
    return std::nullopt;
}

std::optional<SettingsError> checkTogether(const Settings &whole)
{
    if (auto error = checkTiming(whole.timing())) {
        return error;
    }
    if (whole.role() == "direct-entry") {
        return checkStorePause(whole.direct());
    }
    return whole.role() == "sidecar" ? checkSidecar(whole.sidecar()) : std::nullopt;
}

std::string row(std::string_view path, Scope scope, const std::string &initial, const std::string &range,
                std::string_view meaning)
{
    return "| `" + std::string(path) + "` | " + std::string(settings_rules::describe(scope)) + " | " + initial + " | "
           + range + " | " + std::string(meaning) + " |\n";
}

} // namespace

tl::expected<Settings, SettingsError> parseSettings(std::string_view json)
{
    const auto tree = parseTree(json);
    if (!tree) {
        return tl::unexpected(tree.error());
    }
    if (auto error = checkTree(*tree, *Settings::descriptor())) {
        return tl::unexpected(std::move(*error));
    }
    Settings result;
    const auto status = google::protobuf::util::JsonStringToMessage({json.data(), json.size()}, &result);
    if (!status.ok()) {
        return tl::unexpected(SettingsError{SettingsErrorKind::BadJson, "", status.ToString()});
    }
    if (auto error = checkRoleParts(result)) {
        return tl::unexpected(std::move(*error));
    }
    if (auto error = checkTexts(*tree, result)) {
        return tl::unexpected(std::move(*error));
    }
    if (auto error = checkNumbers(*tree, result)) {
        return tl::unexpected(std::move(*error));
    }
    fillFlags(*tree, result);
    splitListen(*result.mutable_http());
    if (result.role() == "direct-entry") {
        splitListen(*result.mutable_direct()->mutable_ready());
    }
    if (auto error = checkTogether(result)) {
        return tl::unexpected(std::move(*error));
    }
    return result;
}

tl::expected<Settings, SettingsError> readSettings(const std::string &file)
{
    std::ifstream in(file);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) {
        return tl::unexpected(SettingsError{SettingsErrorKind::Unreadable, "", file});
    }
    return parseSettings(text.str());
}

bool isRole(std::string_view role)
{
    return settings_rules::matches(settings_rules::TextForm::Role, role);
}

std::string printDefaults(std::string_view role)
{
    Settings defaults;
    defaults.set_role(std::string(role));
    const Struct nothing;
    for (const auto &rule : settings_rules::texts()) {
        if (rule.path == "role" || !settings_rules::applies(rule.scope, role)) {
            continue;
        }
        const FieldPlace place = placeOf(defaults, rule.path);
        if (!place.field->is_repeated()) {
            place.message->GetReflection()->SetString(place.message, place.field, std::string(rule.initial));
        }
    }
    checkNumbers(nothing, defaults);
    fillFlags(nothing, defaults);
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.always_print_primitive_fields = true;
    std::string text;
    static_cast<void>(google::protobuf::util::MessageToJsonString(defaults, &text, options));
    return text;
}

std::string settingsPage()
{
    std::string page = "| field | role | default | range | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const auto &rule : settings_rules::texts()) {
        const std::string given = rule.initial.empty() ? "empty" : "`" + std::string(rule.initial) + "`";
        const std::string initial = rule.required ? "required" : given;
        page += row(rule.path, rule.scope, initial, std::string(settings_rules::describe(rule.form)), rule.meaning);
    }
    for (const auto &rule : settings_rules::numbers()) {
        const std::string range = plain(rule.least) + " to " + plain(rule.most);
        page += row(rule.path, rule.scope, plain(rule.initial), range, rule.meaning);
    }
    for (const auto &rule : settings_rules::flags()) {
        page += row(rule.path, rule.scope, rule.initial ? "true" : "false", "true, false", rule.meaning);
    }
    return page;
}

} // namespace anvilscale

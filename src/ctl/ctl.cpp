// Command line of anvilctl: options, command table and dispatch.
#include "anvilscale/ctl.h"

#include "command.h"

#include "anvilscale/settings.h"

#include <Poco/Exception.h>

// Keeps commas in paths from splitting an argument.
#define CXXOPTS_VECTOR_DELIMITER '\n'
#include <cxxopts.hpp>

#include <array>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace anvilscale {

namespace {
enum class RequiredServices : std::uint8_t {
    Nothing,
    KeyValue,
    VmList,
    Both,
};

struct Command
{
    std::string_view group; ///< "config", or empty
    std::string_view name;
    std::string_view arguments;
    std::string_view help;
    RequiredServices requiredServices;
    CtlResult (*run)(const CtlOptions &, const CtlArguments &);
};

constexpr std::array commands{
    Command{"config", "validate", "PATH...", "validate records; with --key-value against the current configuration",
            RequiredServices::Nothing, configValidate},
    Command{"config", "apply", "PATH... [--remove KIND/NAME] [--expect REV]", "apply all records as one new revision",
            RequiredServices::KeyValue, configApply},
    Command{"config", "get", "[KIND | KIND/NAME]...", "print current records", RequiredServices::KeyValue, configGet},
    Command{"config", "diff", "PATH... [--remove KIND/NAME]", "show what apply would change",
            RequiredServices::KeyValue, configDiff},
    Command{"config", "history", "[--limit N]", "list recent changes", RequiredServices::KeyValue, configHistory},
    Command{"config", "wait", "REV", "wait until every live process uses the revision", RequiredServices::VmList,
            configWait},
    Command{"", "status", "[PROCESS]...", "show processes, revisions and load", RequiredServices::VmList, showStatus},
    Command{"", "adapters", "[ADAPTER]", "show where adapters are resident", RequiredServices::VmList, showAdapters},
    Command{"", "explain", "ROUTE", "show how a call on the route would be handled", RequiredServices::Both, explain},
    Command{"", "drain", "PROCESS [--reason TEXT]", "drain a process", RequiredServices::VmList, drain},
};

std::string usage()
{
    std::vector<std::vector<std::string>> rows;
    for (const auto &command : commands) {
        const std::string group = command.group.empty() ? "" : std::string(command.group) + " ";
        rows.push_back({"  " + group + std::string(command.name) + " " + std::string(command.arguments),
                        std::string(command.help)});
    }
    std::string text = "anvilctl COMMAND [OPTIONS]\n\n" + formatTable(rows) + "\nExit codes:";
    for (std::size_t i = 0; i < enumCount<CtlExit>; ++i) {
        text += " " + std::to_string(i) + " " + std::string(toString(static_cast<CtlExit>(i)));
    }
    return text + "\n";
}

const Command *findCommand(CtlArguments &positional)
{
    for (const auto &command : commands) {
        const std::size_t wordCount = command.group.empty() ? 1 : 2;
        if (positional.size() < wordCount || positional[wordCount - 1] != command.name) {
            continue;
        }
        if (!command.group.empty() && positional[0] != command.group) {
            continue;
        }
        positional.erase(positional.begin(), positional.begin() + static_cast<std::ptrdiff_t>(wordCount));
        return &command;
    }
    return nullptr;
}

std::string environmentOr(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

cxxopts::Options makeOptionParser()
{
    cxxopts::Options options("anvilctl");
    const auto text = [](const char *fallback) { return cxxopts::value<std::string>()->default_value(fallback); };
    options.add_options()("key-value", "gateway URLs, comma-separated; default: ANVILSCALE_KEY_VALUE", text(""));
    options.add_options()("vm-list", "URL of the VM list; default: ANVILSCALE_VM_LIST", text(""));
    options.add_options()("prefix", "key prefix; default: ANVILSCALE_PREFIX or /anvilscale/", text(""));
    options.add_options()("settings", "daemon settings file to read the platform addresses from", text(""));
    options.add_options()("output", "text or json", text("text"));
    options.add_options()("timeout-ms", "time limit of the command",
                          cxxopts::value<unsigned>()->default_value("10000"));
    options.add_options()("expect", "current revision required by apply", cxxopts::value<std::uint64_t>());
    options.add_options()("remove", "KIND/NAME of a record that apply removes",
                          cxxopts::value<std::vector<std::string>>());
    options.add_options()("author", "author recorded with the change; default: USER", text(""));
    options.add_options()("limit", "maximum number of changes shown",
                          cxxopts::value<std::size_t>()->default_value("20"));
    options.add_options()("reason", "drain reason, written to the log of the process", text("operator"));
    options.add_options()("help", "print this");
    options.add_options()("words", "command and its arguments", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

tl::expected<void, CtlResult> applySettings(const std::string &file, CtlOptions &options)
{
    const auto settings = readSettings(file);
    if (!settings) {
        const auto &error = settings.error();
        return tl::unexpected(makeFailure(CtlExit::Rejected, std::string(toString(error.kind)),
                                          file + (error.path.empty() ? "" : " " + error.path), error.detail));
    }
    const auto &platform = settings->platform();
    options.gateways = {platform.key_value().begin(), platform.key_value().end()};
    options.vmListUrl = platform.vm_list();
    options.keyPrefix = platform.prefix();
    return {};
}

/// The command line overrides the settings file, which overrides the environment.
tl::expected<CtlOptions, CtlResult> readOptions(const cxxopts::ParseResult &parsed)
{
    CtlOptions options;
    options.gateways = splitList(environmentOr("ANVILSCALE_KEY_VALUE", ""));
    options.vmListUrl = environmentOr("ANVILSCALE_VM_LIST", "");
    options.keyPrefix = environmentOr("ANVILSCALE_PREFIX", options.keyPrefix);
    options.author = environmentOr("USER", "operator");
    const auto text = [&parsed](const char *name) { return parsed[name].as<std::string>(); };
    options.isJsonOutput = text("output") == "json";
    if (!options.isJsonOutput && text("output") != "text") {
        return tl::unexpected(makeFailure(CtlExit::Usage, "bad_output", text("output"), "expected text or json"));
    }
    if (!text("settings").empty()) {
        if (auto applied = applySettings(text("settings"), options); !applied) {
            return tl::unexpected(std::move(applied).error());
        }
    }
    const auto overrideIfSet = [&text](const char *name, std::string &target) {
        target = text(name).empty() ? target : text(name);
    };
    overrideIfSet("vm-list", options.vmListUrl);
    overrideIfSet("prefix", options.keyPrefix);
    overrideIfSet("author", options.author);
    if (!text("key-value").empty()) {
        options.gateways = splitList(text("key-value"));
    }
    options.timeout = Milliseconds(parsed["timeout-ms"].as<unsigned>());
    options.drainReason = text("reason");
    options.historyLimit = parsed["limit"].as<std::size_t>();
    if (parsed.count("expect") > 0) {
        options.expectedRevision = parsed["expect"].as<std::uint64_t>();
    }
    if (parsed.count("remove") > 0) {
        options.removedRecords = parsed["remove"].as<std::vector<std::string>>();
    }
    return options;
}

CtlResult runCommand(const Command &command, const CtlOptions &options, const CtlArguments &positional)
{
    const bool needsKeyValue =
        command.requiredServices == RequiredServices::KeyValue || command.requiredServices == RequiredServices::Both;
    if (needsKeyValue && options.gateways.empty()) {
        return makeFailure(CtlExit::Usage, "missing", "--key-value", "no key-value service specified");
    }
    const bool needsVmList =
        command.requiredServices == RequiredServices::VmList || command.requiredServices == RequiredServices::Both;
    if (needsVmList && options.vmListUrl.empty()) {
        return makeFailure(CtlExit::Usage, "missing", "--vm-list", "no VM list specified");
    }
    try {
        return command.run(options, positional);
    } catch (const Poco::Exception &error) { // malformed address
        return makeFailure(CtlExit::Usage, "bad_address", "", error.displayText());
    }
}

CtlExit print(const CtlResult &result, bool isJson, std::ostream &out, std::ostream &err)
{
    if (isJson) {
        result.json->stringify(out);
        out << "\n";
        return result.exit;
    }
    (result.json->has("error") ? err : out) << result.text;
    return result.exit;
}

bool isJsonRequested(const CtlArguments &arguments)
{
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        if (arguments[i] == "--output=json"
            || (arguments[i] == "--output" && i + 1 < arguments.size() && arguments[i + 1] == "json")) {
            return true;
        }
    }
    return false;
}
} // namespace

CtlExit runCtl(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    std::vector<const char *> argv{"anvilctl"};
    for (const auto &argument : arguments) {
        argv.push_back(argument.c_str());
    }
    const bool isJson = isJsonRequested(arguments);
    auto optionParser = makeOptionParser();
    try {
        const auto parsed = optionParser.parse(static_cast<int>(argv.size()), argv.data());
        CtlArguments positional;
        if (parsed.count("words") > 0) {
            positional = parsed["words"].as<std::vector<std::string>>();
        }
        if (parsed.count("help") > 0) {
            out << usage() << optionParser.help() << "\n";
            return CtlExit::Done;
        }
        const auto *command = findCommand(positional);
        if (command == nullptr) {
            return print(
                makeFailure(CtlExit::Usage, "unknown_command", positional.empty() ? "" : positional[0], usage()),
                isJson, out, err);
        }
        const auto options = readOptions(parsed);
        if (!options) {
            return print(options.error(), isJson, out, err);
        }
        return print(runCommand(*command, *options, positional), isJson, out, err);
    } catch (const cxxopts::exceptions::exception &error) {
        return print(makeFailure(CtlExit::Usage, "bad_option", "", error.what()), isJson, out, err);
    }
}

} // namespace anvilscale

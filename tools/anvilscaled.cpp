// anvilscaled: daemon for all roles. Reads and validates its settings and runs until drained.
#include "anvilscale/daemon.h"
#include "anvilscale/settings.h"

#include <cxxopts.hpp>

#include <charconv>
#include <iostream>
#include <optional>

namespace {

constexpr std::string_view version = "0.1.0";
// As for direct.memoryMb.
constexpr std::uint32_t minMemoryMb = 1;
constexpr std::uint32_t maxMemoryMb = 1048576;

int printSettingsError(const anvilscale::SettingsError &error)
{
    std::cerr << "anvilscaled: " << toString(error.kind) << ": " << error.path << ": " << error.detail << "\n";
    return anvilscale::exitRejected;
}

/// Returns nullopt if an option has a wrong value. An empty memory limit counts as none: a deploy file may have none.
std::optional<anvilscale::SettingsOverrides> readOverrides(const cxxopts::ParseResult &options)
{
    anvilscale::SettingsOverrides overrides;
    const auto text = options.count("memory-mb") == 0 ? std::string() : options["memory-mb"].as<std::string>();
    if (text.empty()) {
        return overrides;
    }
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), overrides.memoryMb);
    const bool isInRange = overrides.memoryMb >= minMemoryMb && overrides.memoryMb <= maxMemoryMb;
    if (error != std::errc() || end != text.data() + text.size() || !isInRange) {
        return std::nullopt;
    }
    return overrides;
}

int runWithOptions(const cxxopts::ParseResult &options)
{
    if (options.count("version") != 0) {
        std::cout << "anvilscaled " << version << "\n";
        return anvilscale::exitDone;
    }
    if (options.count("print-defaults") != 0) {
        const auto role = options["print-defaults"].as<std::string>();
        if (!anvilscale::isRole(role)) {
            std::cerr << "anvilscaled: the role is entry, sidecar, direct-entry or direct-sidecar\n";
            return anvilscale::exitUsage;
        }
        std::cout << anvilscale::printDefaults(role) << "\n";
        return anvilscale::exitDone;
    }
    if (options.count("settings") == 0) {
        std::cerr << "anvilscaled: --settings FILE is missing; see --help\n";
        return anvilscale::exitUsage;
    }
    const auto settingsPath = options["settings"].as<std::string>();
    const auto overrides = readOverrides(options);
    if (!overrides) {
        std::cerr << "anvilscaled: --memory-mb is no number from " << minMemoryMb << " to " << maxMemoryMb << "\n";
        return anvilscale::exitUsage;
    }
    if (options.count("check") == 0) {
        return anvilscale::runDaemon(settingsPath, *overrides);
    }
    const auto settings = anvilscale::readSettings(settingsPath);
    if (!settings) {
        return printSettingsError(settings.error());
    }
    std::cout << "the settings are valid\n";
    return anvilscale::exitDone;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("anvilscaled", "Serves very many LoRA adapters: an entry, or the sidecar of an endpoint.");
    options.add_options()("settings", "JSON file with the settings", cxxopts::value<std::string>(), "FILE")(
        "memory-mb", "memory limit of the process, before direct.memoryMb", cxxopts::value<std::string>(),
        "MB")("check", "check the settings and exit")("print-defaults", "print a role's settings with all defaults",
                                                      cxxopts::value<std::string>(),
                                                      "ROLE")("version", "print the version")("help", "print this");
    try {
        const auto parsedOptions = options.parse(argc, argv);
        if (parsedOptions.count("help") != 0) {
            std::cout << options.help() << "exit codes: 0 done, 1 wrong usage, 2 settings or an address rejected\n";
            return anvilscale::exitDone;
        }
        return runWithOptions(parsedOptions);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "anvilscaled: " << error.what() << "\n";
        return anvilscale::exitUsage;
    }
}

// The program standins: stand-ins for the platform and the endpoints, one subcommand for each.
#include "http_host.h"
#include "subcommands.h"

#include <cxxopts.hpp>

#include <array>
#include <iostream>
#include <string_view>

namespace {
struct Subcommand
{
    std::string_view name;
    void (*describe)(cxxopts::Options &);
    int (*run)(const cxxopts::ParseResult &);
};

constexpr std::array subcommands{
    Subcommand{"key-value", standins::keyValueOptions, standins::runKeyValue},
    Subcommand{"engine", standins::engineOptions, standins::runEngine},
    Subcommand{"service", standins::serviceOptions, standins::runService},
    Subcommand{"weight-store", standins::weightStoreOptions, standins::runWeightStore},
    Subcommand{"vm-list", standins::vmListOptions, standins::runVmList},
    Subcommand{"site-store", standins::siteStoreOptions, standins::runSiteStore},
    Subcommand{"site-replica", standins::siteReplicaOptions, standins::runSiteReplica},
    Subcommand{"caller", standins::callerOptions, standins::runCaller},
};
constexpr int usageError = 2;

int runSubcommand(const Subcommand &subcommand, int argc, char **argv)
{
    cxxopts::Options options("standins " + std::string(subcommand.name));
    options.add_options()("address", "loopback address to listen on",
                          cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "port, 0 for one assigned by the system", cxxopts::value<unsigned>()->default_value("0"))(
        "port-file", "file that the port is written to, empty for standard output",
        cxxopts::value<std::string>()->default_value(""))("help", "print this help");
    subcommand.describe(options);
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help() << "\n";
        return 0;
    }
    return subcommand.run(parsed);
}
} // namespace

int main(int argc, char **argv)
{
    standins::blockStopSignals();
    for (const auto &subcommand : subcommands) {
        if (argc < 2 || subcommand.name != argv[1]) {
            continue;
        }
        try {
            return runSubcommand(subcommand, argc - 1, argv + 1);
        } catch (const std::exception &error) {
            std::cerr << "standins: " << error.what() << "\n";
            return usageError;
        }
    }
    std::cerr << "usage: standins";
    for (const auto &subcommand : subcommands) {
        std::cerr << " " << subcommand.name;
    }
    std::cerr << " [--help]\n";
    return usageError;
}

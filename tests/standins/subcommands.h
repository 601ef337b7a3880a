// Options and main functions of the subcommands of the program standins. Stand-ins serve until SIGTERM; the caller
// exits after its calls.
#pragma once

namespace cxxopts {
class ParseResult;
class Options;
}

namespace standins {

void keyValueOptions(cxxopts::Options &options);
int runKeyValue(const cxxopts::ParseResult &options);
void engineOptions(cxxopts::Options &options);
int runEngine(const cxxopts::ParseResult &options);
void serviceOptions(cxxopts::Options &options);
int runService(const cxxopts::ParseResult &options);
void weightStoreOptions(cxxopts::Options &options);
int runWeightStore(const cxxopts::ParseResult &options);
void vmListOptions(cxxopts::Options &options);
int runVmList(const cxxopts::ParseResult &options);
void siteStoreOptions(cxxopts::Options &options);
int runSiteStore(const cxxopts::ParseResult &options);
void siteReplicaOptions(cxxopts::Options &options);
int runSiteReplica(const cxxopts::ParseResult &options);
void callerOptions(cxxopts::Options &options);
int runCaller(const cxxopts::ParseResult &options);

} // namespace standins

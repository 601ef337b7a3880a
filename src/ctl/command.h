// Options, results and entry points of the anvilctl commands.
#pragma once

#include "anvilscale/ctl.h"
#include "anvilscale/state.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <optional>
#include <string>
#include <vector>

namespace anvilscale {

struct CtlOptions
{
    std::vector<std::string> gateways; ///< gateway URLs of the key-value service
    std::string keyPrefix = "/anvilscale/";
    std::string vmListUrl;
    Duration timeout = Seconds(10); ///< time limit of the whole command
    bool isJsonOutput = false;
    std::optional<std::uint64_t> expectedRevision; ///< current revision required by `config apply`
    std::vector<std::string> removedRecords; ///< "KIND/NAME" of records removed by `config apply`
    std::string author;
    std::size_t historyLimit = 20; ///< maximum number of changes in `config history`
    std::string drainReason; ///< drain reason, for the log of the process
};

/// Result of a command: exit code, JSON output and human-readable text.
struct CtlResult
{
    CtlExit exit = CtlExit::Done;
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    std::string text;
};

using CtlArguments = std::vector<std::string>;

CtlResult makeFailure(CtlExit exit, const std::string &kind, const std::string &path, const std::string &detail,
                      std::uint64_t revision = 0);
CtlResult makeFailure(const ConfigError &error);

/// Formats rows as text with aligned columns.
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

CtlResult configValidate(const CtlOptions &options, const CtlArguments &arguments);
CtlResult configApply(const CtlOptions &options, const CtlArguments &arguments);
CtlResult configGet(const CtlOptions &options, const CtlArguments &arguments);
CtlResult configDiff(const CtlOptions &options, const CtlArguments &arguments);
CtlResult configHistory(const CtlOptions &options, const CtlArguments &arguments);
CtlResult configWait(const CtlOptions &options, const CtlArguments &arguments);
CtlResult showStatus(const CtlOptions &options, const CtlArguments &arguments);
CtlResult drain(const CtlOptions &options, const CtlArguments &arguments);
CtlResult showAdapters(const CtlOptions &options, const CtlArguments &arguments);
CtlResult explain(const CtlOptions &options, const CtlArguments &arguments);

} // namespace anvilscale

// Library behind anvilctl: reads and writes configuration records and queries running processes.
#pragma once

#include "anvilscale/base.h"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace anvilscale {

/// Exit codes of anvilctl. Stable across releases and identical for all output formats.
enum class CtlExit : std::uint8_t {
    Done = 0,
    Usage = 1, ///< invalid command line
    Rejected = 2, ///< invalid records, settings or name; nothing was changed
    Conflict = 3, ///< a concurrent change was applied first; nothing was changed
    Unavailable = 4, ///< the platform or a process could not be reached; nothing was changed
    OutcomeUnknown = 5, ///< the change may have taken effect; check the current state first
    TimedOut = 6, ///< the awaited state was not reached in time
    NotFound = 7, ///< no such record, route or process
    Count
};
template<>
struct EnumNames<CtlExit>
{
    static constexpr std::array<std::string_view, enumCount<CtlExit>> table{
        "done", "usage", "rejected", "conflict", "unavailable", "outcome_unknown", "timed_out", "not_found"};
};

/// Text of one record and its location in a file.
struct RecordText
{
    std::string source; ///< "FILE:LINE" of the first character
    std::string json;
};

struct RecordFileError
{
    std::string source;
    std::string detail; ///< human-readable
};

/// Splits a text into its top-level JSON objects: a single one, a sequence or an array. The bytes of each object are
/// preserved. Fails at the first position where no complete object starts.
tl::expected<std::vector<RecordText>, RecordFileError> splitRecords(const std::string &source, std::string_view text);
/// Reads the records of files and of all *.json files of folders, sorted by name.
tl::expected<std::vector<RecordText>, RecordFileError> readRecords(const std::vector<std::string> &paths);

/// Runs one command. `arguments` exclude the program name.
CtlExit runCtl(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace anvilscale

// Commands `anvilctl config` validate, apply, get, diff and history.
#include "command.h"
#include "config.pb.h"
#include "key_value_session.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace anvilscale {

namespace {
using Poco::JSON::Array;
using Poco::JSON::Object;
using Changes = std::vector<config::Change>;

std::string recordName(const config::Change &change)
{
    return change.kind() + "/" + change.name();
}

/// Reads and parses all records of the files. Fails on the first error, so that nothing is applied partially.
tl::expected<Changes, CtlResult> readChanges(const CtlArguments &paths)
{
    const auto recordTexts = readRecords(paths);
    if (!recordTexts) {
        return tl::unexpected(
            makeFailure(CtlExit::Rejected, "bad_file", recordTexts.error().source, recordTexts.error().detail));
    }
    Changes changes;
    for (const auto &text : *recordTexts) {
        const auto change = parseRecord(text.json);
        if (!change) {
            ConfigError error = change.error();
            error.path = text.source + (error.path.empty() ? "" : " " + error.path);
            return tl::unexpected(makeFailure(error));
        }
        const bool isDuplicate = std::any_of(changes.begin(), changes.end(), [&](const auto &other) {
            return recordName(other) == recordName(*change);
        });
        if (isDuplicate) {
            return tl::unexpected(makeFailure(CtlExit::Rejected, "twice", text.source,
                                              recordName(*change) + " is defined more than once"));
        }
        changes.push_back(*change);
    }
    return changes;
}

tl::expected<config::Change, CtlResult> parseRemoval(const std::string &name)
{
    const auto slash = name.find('/');
    if (slash == std::string::npos) {
        return tl::unexpected(makeFailure(CtlExit::Usage, "bad_name", name, "expected KIND/NAME"));
    }
    config::Change change;
    change.set_kind(name.substr(0, slash));
    change.set_name(name.substr(slash + 1));
    change.set_removed(true);
    return change;
}

enum class Difference : std::uint8_t {
    Same,
    Added,
    Changed,
    Removed,
    Missing, ///< to be removed, but does not exist
    Count
};
constexpr std::array<std::string_view, enumCount<Difference>> differenceNames{"same", "added", "changed", "removed",
                                                                              "missing"};

// Compares by configuration digest, so field order and whitespace don't matter; another schema version is a change.
// A record that fails validation on its own (it may reference records of the same change set) counts as changed.
Difference compare(const ConfigStore &store, const config::Change &change)
{
    const bool exists = store.recordText(change.kind(), change.name()).has_value();
    if (change.removed()) {
        return exists ? Difference::Removed : Difference::Missing;
    }
    if (!exists) {
        return Difference::Added;
    }
    const auto digest = store.validate(std::span(&change, 1));
    return digest && *digest == store.digest() ? Difference::Same : Difference::Changed;
}

std::string_view differenceName(Difference difference)
{
    return differenceNames.at(static_cast<std::size_t>(difference));
}

/// Adds the effect of each change to the result. Returns the number of changes that have an effect.
std::size_t addDifferences(const ConfigStore &store, const Changes &changes, CtlResult &result)
{
    Array::Ptr items = new Array;
    std::size_t differenceCount = 0;
    for (const auto &change : changes) {
        const auto difference = compare(store, change);
        differenceCount += difference == Difference::Same ? 0 : 1;
        Object::Ptr item = new Object;
        item->set("record", recordName(change));
        item->set("difference", std::string(differenceName(difference)));
        items->add(item);
        if (difference != Difference::Same) {
            result.text += std::string(differenceName(difference)) + " " + recordName(change) + "\n";
        }
    }
    result.json->set("records", items);
    return differenceCount;
}

tl::expected<Changes, CtlResult> requestedChanges(const CtlOptions &options, const CtlArguments &paths)
{
    auto changes = readChanges(paths);
    for (const auto &name : options.removedRecords) {
        if (!changes) {
            return changes;
        }
        auto change = parseRemoval(name);
        if (!change) {
            return tl::unexpected(change.error());
        }
        changes->push_back(*change);
    }
    return changes;
}

std::string toHex(std::uint64_t value)
{
    constexpr std::size_t size = 17;
    std::array<char, size> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

std::string deltaKey(const std::string &prefix, std::uint64_t revision)
{
    constexpr std::size_t size = 21;
    std::array<char, size> digits{};
    std::snprintf(digits.data(), digits.size(), "%020llu", static_cast<unsigned long long>(revision));
    return prefix + "config/delta/" + digits.data();
}

std::string formatTime(std::uint64_t wallMs)
{
    constexpr Poco::Timestamp::TimeVal microsecondsPerMillisecond = 1000;
    const Poco::Timestamp time(static_cast<Poco::Timestamp::TimeVal>(wallMs) * microsecondsPerMillisecond);
    return Poco::DateTimeFormatter::format(time, Poco::DateTimeFormat::ISO8601_FORMAT);
}
} // namespace

CtlResult configValidate(const CtlOptions &options, const CtlArguments &arguments)
{
    const auto changes = requestedChanges(options, arguments);
    if (!changes) {
        return changes.error();
    }
    CtlResult result;
    // References are checked against the current configuration if a key-value service is given, else within the files.
    ConfigStore store;
    if (!options.gateways.empty()) {
        KeyValueSession session(options);
        if (const auto head = session.readHead(store); !head) {
            return makeFailure(head.error());
        }
    }
    if (const auto digest = store.validate(*changes); !digest) {
        return makeFailure(digest.error());
    }
    result.json->set("valid", changes->size());
    result.json->set("revision", store.revision());
    result.text = std::to_string(changes->size()) + " records valid\n";
    return result;
}

CtlResult configApply(const CtlOptions &options, const CtlArguments &arguments)
{
    auto changes = requestedChanges(options, arguments);
    if (!changes) {
        return changes.error();
    }
    if (changes->empty()) {
        return makeFailure(CtlExit::Usage, "no_records", "", "expected files, folders or --remove KIND/NAME");
    }
    KeyValueSession session(options);
    ConfigStore store;
    const auto head = session.readHead(store);
    if (!head) {
        return makeFailure(head.error());
    }
    if (options.expectedRevision && *options.expectedRevision != *head) {
        return makeFailure(CtlExit::Conflict, "conflict", "config",
                           "the current revision differs from the expected one", *head);
    }
    CtlResult result;
    if (addDifferences(store, *changes, result) == 0) {
        result.json->set("revision", *head);
        result.json->set("changed", false);
        result.text = "unchanged, revision " + std::to_string(*head) + "\n";
        return result;
    }
    Random random(randomSeed());
    const std::string changeId = makeKey(currentTime().wall, random);
    // The printed differences are relative to this head, so a concurrent change is a conflict.
    const auto applied = session.apply(store, std::move(*changes), changeId, *head, 0);
    if (!applied) {
        CtlResult failed = makeFailure(applied.error());
        failed.json->set("changeId", changeId);
        return failed;
    }
    session.compact(store);
    result.json->set("revision", *applied);
    result.json->set("changed", true);
    result.json->set("changeId", changeId);
    result.text += "revision " + std::to_string(*applied) + "\n";
    return result;
}

CtlResult configGet(const CtlOptions &options, const CtlArguments &arguments)
{
    KeyValueSession session(options);
    ConfigStore store;
    if (const auto head = session.readHead(store); !head) {
        return makeFailure(head.error());
    }
    CtlResult result;
    Array::Ptr items = new Array;
    for (const auto &record : store.records()) {
        const bool isRequested =
            arguments.empty() || std::any_of(arguments.begin(), arguments.end(), [&](const std::string &name) {
                return name == record.kind() || name == recordName(record);
            });
        if (!isRequested) {
            continue;
        }
        Object::Ptr item = new Object;
        item->set("kind", record.kind());
        item->set("name", record.name());
        item->set("json", record.json());
        items->add(item);
        result.text += record.json() + "\n";
    }
    if (!arguments.empty() && items->size() == 0) {
        return makeFailure(CtlExit::NotFound, "not_found", arguments.front(), "no such record", store.revision());
    }
    result.json->set("revision", store.revision());
    result.json->set("digest", toHex(store.digest()));
    result.json->set("records", items);
    return result;
}

CtlResult configDiff(const CtlOptions &options, const CtlArguments &arguments)
{
    const auto changes = requestedChanges(options, arguments);
    if (!changes) {
        return changes.error();
    }
    KeyValueSession session(options);
    ConfigStore store;
    if (const auto head = session.readHead(store); !head) {
        return makeFailure(head.error());
    }
    CtlResult result;
    const std::size_t differenceCount = addDifferences(store, *changes, result);
    result.json->set("different", differenceCount);
    result.json->set("revision", store.revision());
    result.text += std::to_string(differenceCount) + " of " + std::to_string(changes->size())
                   + " records differ from revision " + std::to_string(store.revision()) + "\n";
    return result;
}

CtlResult configHistory(const CtlOptions &options, const CtlArguments &)
{
    KeyValueSession session(options);
    ConfigStore store;
    const auto head = session.readHead(store);
    if (!head) {
        return makeFailure(head.error());
    }
    const std::uint64_t first = *head > options.historyLimit ? *head - options.historyLimit + 1 : 1;
    const auto entries = session.range(deltaKey(options.keyPrefix, first), deltaKey(options.keyPrefix, *head + 1));
    if (!entries) {
        return makeFailure(entries.error());
    }
    CtlResult result;
    Array::Ptr items = new Array;
    std::vector<std::vector<std::string>> rows{{"REVISION", "TIME", "AUTHOR", "RECORDS"}};
    for (const auto &entry : *entries) {
        config::Delta delta;
        if (!delta.ParseFromString(entry.value)) {
            continue;
        }
        Object::Ptr item = new Object;
        Array::Ptr names = new Array;
        std::string text;
        for (const auto &change : delta.changes()) {
            const std::string name = (change.removed() ? "-" : "") + recordName(change);
            names->add(name);
            text += (text.empty() ? "" : ",") + name;
        }
        item->set("revision", delta.revision());
        item->set("changeId", delta.change_id());
        item->set("author", delta.author());
        item->set("time", formatTime(delta.wall_ms()));
        item->set("digest", toHex(delta.digest()));
        item->set("records", names);
        items->add(item);
        constexpr std::size_t maxRecordsWidth = 100;
        if (text.size() > maxRecordsWidth) {
            text = std::to_string(delta.changes_size()) + " records";
        }
        rows.push_back({std::to_string(delta.revision()), formatTime(delta.wall_ms()), delta.author(), text});
    }
    result.json->set("head", *head);
    result.json->set("changes", items);
    result.text = formatTable(rows);
    return result;
}

} // namespace anvilscale

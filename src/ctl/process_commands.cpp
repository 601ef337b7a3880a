// Commands of anvilctl that query running processes: status, adapters, explain, drain and config wait.
#include "command.h"
#include "key_value_session.h"
#include "process_client.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <thread>

namespace anvilscale {

namespace {
using Poco::JSON::Array;
using Poco::JSON::Object;
using Rows = std::vector<std::vector<std::string>>;

constexpr Duration maxQueryTimeout = Seconds(2);
constexpr auto pollInterval = std::chrono::milliseconds(100);

Duration queryTimeout(const CtlOptions &options)
{
    return std::min(options.timeout, maxQueryTimeout);
}

tl::expected<std::vector<VmInfo>, CtlResult> readVms(const CtlOptions &options)
{
    auto vms = readVmList(options.vmListUrl, queryTimeout(options));
    if (!vms) {
        return tl::unexpected(makeFailure(CtlExit::Unavailable, std::string(toString(vms.error())), options.vmListUrl,
                                          "cannot read the VM list"));
    }
    std::sort(vms->begin(), vms->end(), [](const auto &a, const auto &b) { return a.name < b.name; });
    return std::move(*vms);
}

Object::Ptr toJson(const ProcessAnswer &answer)
{
    Object::Ptr item = new Object;
    item->set("name", answer.vm.name);
    item->set("role", std::string(toString(answer.vm.role)));
    item->set("listed", std::string(toString(answer.vm.state)));
    item->set("dataCentre", answer.vm.dataCentre);
    item->set("region", answer.vm.region);
    item->set("address", answer.vm.address);
    item->set("answered", answer.hasAnswered);
    if (answer.hasAnswered) {
        item->set("incarnation", std::to_string(answer.incarnation));
        item->set("status", answer.json);
    }
    return item;
}

std::string fieldText(const ProcessAnswer &answer, const std::string &field)
{
    return answer.hasAnswered && answer.json->has(field) ? answer.text(field) : "-";
}

std::string stateOf(const ProcessAnswer &answer)
{
    if (!answer.hasAnswered) {
        return "silent";
    }
    if (answer.flag("draining")) {
        return "leaving";
    }
    return answer.flag("stale") ? "stale" : std::string(toString(answer.vm.state));
}

/// Adds one row for each object of an array in the answer.
void addRows(const ProcessAnswer &answer, const std::string &arrayName, const std::vector<std::string> &fields,
             Rows &rows)
{
    const auto array = answer.json->getArray(arrayName);
    for (std::size_t i = 0; !array.isNull() && i < array->size(); ++i) {
        const auto object = array->getObject(static_cast<unsigned>(i));
        std::vector<std::string> row{answer.vm.name};
        for (const auto &field : fields) {
            row.push_back(!object.isNull() && object->has(field) ? object->get(field).convert<std::string>() : "-");
        }
        rows.push_back(std::move(row));
    }
}

// ---- config wait

enum class Progress : std::uint8_t {
    There,
    Behind, ///< reports an older revision
    Silent, ///< does not answer and may use any revision
    Count
};
constexpr std::array<std::string_view, enumCount<Progress>> progressNames{"there", "behind", "silent"};

Progress progressOf(const ProcessAnswer &answer, std::uint64_t revision)
{
    if (!answer.hasAnswered) {
        return Progress::Silent;
    }
    return answer.number("revision") >= revision ? Progress::There : Progress::Behind;
}

/// Reports the progress of each process. Returns true if all have the revision; false for an empty list.
bool reportProgress(const std::vector<ProcessAnswer> &answers, std::uint64_t revision, CtlResult &result)
{
    Array::Ptr items = new Array;
    Rows rows{{"PROCESS", "PROGRESS", "REVISION"}};
    std::size_t pendingCount = 0;
    for (const auto &answer : answers) {
        const Progress progress = progressOf(answer, revision);
        pendingCount += progress == Progress::There ? 0 : 1;
        Object::Ptr item = new Object;
        item->set("name", answer.vm.name);
        item->set("progress", std::string(progressNames.at(static_cast<std::size_t>(progress))));
        item->set("revision", answer.number("revision"));
        items->add(item);
        rows.push_back({answer.vm.name, std::string(progressNames.at(static_cast<std::size_t>(progress))),
                        fieldText(answer, "revision")});
    }
    const bool isInForce = pendingCount == 0 && !answers.empty();
    result.json->set("revision", revision);
    result.json->set("inForce", isInForce);
    result.json->set("processes", items);
    result.text = formatTable(rows);
    result.text += isInForce ? "revision " + std::to_string(revision) + " is in force everywhere\n"
                             : "not in force everywhere: " + std::to_string(pendingCount) + " of "
                                   + std::to_string(answers.size()) + " processes not at the revision\n";
    return isInForce;
}

std::optional<std::uint64_t> parseRevision(const CtlArguments &arguments)
{
    std::uint64_t revision = 0;
    if (arguments.size() != 1) {
        return std::nullopt;
    }
    const auto &text = arguments.front();
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), revision);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return isNumber ? std::optional(revision) : std::nullopt;
}

// ---- drain

tl::expected<ProcessAnswer, CtlResult> queryProcess(const CtlOptions &options, const std::string &name)
{
    const auto vms = readVms(options);
    if (!vms) {
        return tl::unexpected(vms.error());
    }
    for (const auto &vm : *vms) {
        if (vm.name != name) {
            continue;
        }
        auto answers = queryProcesses({vm}, "status", "", queryTimeout(options));
        if (!answers.front().hasAnswered) {
            return tl::unexpected(makeFailure(CtlExit::Unavailable, "silent", name, "the process did not answer"));
        }
        return std::move(answers.front());
    }
    return tl::unexpected(makeFailure(CtlExit::NotFound, "not_found", name, "no such process in the VM list"));
}
} // namespace

// Leaving processes accept no new work and are skipped. Waits for unresponsive processes too, since they may still
// serve calls with an older revision.
CtlResult configWait(const CtlOptions &options, const CtlArguments &arguments)
{
    const auto revision = parseRevision(arguments);
    if (!revision) {
        return makeFailure(CtlExit::Usage, "bad_revision", "", "config wait REVISION");
    }
    const TimePoint deadline = currentTime().mono + options.timeout;
    CtlResult result;
    while (true) {
        auto vms = readVms(options);
        if (vms) {
            std::erase_if(*vms, [](const VmInfo &vm) { return vm.state == VmState::Leaving; });
            auto answers = queryProcesses(*vms, "status", "", queryTimeout(options));
            std::erase_if(answers, [](const ProcessAnswer &answer) { return answer.flag("draining"); });
            if (reportProgress(answers, *revision, result)) {
                return result;
            }
        }
        if (currentTime().mono >= deadline) {
            if (!vms) {
                return vms.error();
            }
            result.exit = CtlExit::TimedOut;
            return result;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

CtlResult showStatus(const CtlOptions &options, const CtlArguments &arguments)
{
    auto vms = readVms(options);
    if (!vms) {
        return vms.error();
    }
    if (!arguments.empty()) {
        std::erase_if(*vms, [&](const VmInfo &vm) {
            return std::find(arguments.begin(), arguments.end(), vm.name) == arguments.end();
        });
        if (vms->empty()) {
            return makeFailure(CtlExit::NotFound, "not_found", arguments.front(), "no such process in the VM list");
        }
    }
    CtlResult result;
    Array::Ptr items = new Array;
    Rows rows{{"PROCESS", "ROLE", "DATA CENTRE", "STATE", "REVISION", "RUNNING", "QUEUED", "RESIDENT", "LEASE"}};
    for (const auto &answer : queryProcesses(*vms, "status", "", queryTimeout(options))) {
        items->add(toJson(answer));
        const std::string running = answer.vm.role == VmRole::Entry ? "openCalls" : "running";
        rows.push_back({answer.vm.name, std::string(toString(answer.vm.role)), answer.vm.dataCentre, stateOf(answer),
                        fieldText(answer, "revision"), fieldText(answer, running), fieldText(answer, "queued"),
                        fieldText(answer, "resident"), fieldText(answer, "lease")});
    }
    result.json->set("processes", items);
    result.text = formatTable(rows);
    if (!options.gateways.empty()) {
        KeyValueSession session(options);
        ConfigStore store;
        const auto head = session.readHead(store);
        result.json->set("head", head ? Poco::Dynamic::Var(*head) : Poco::Dynamic::Var());
        result.text +=
            head ? "head: revision " + std::to_string(*head) + "\n" : "head: unknown, key-value service unavailable\n";
    }
    return result;
}

CtlResult showAdapters(const CtlOptions &options, const CtlArguments &arguments)
{
    auto vms = readVms(options);
    if (!vms) {
        return vms.error();
    }
    std::erase_if(*vms, [](const VmInfo &vm) { return vm.role != VmRole::Sidecar; });
    const std::string adapterName = arguments.empty() ? "" : arguments.front();
    CtlResult result;
    Array::Ptr items = new Array;
    Rows rows{{"PROCESS", "ADAPTER", "VERSION", "STATE", "PINS", "WAITING"}};
    for (const auto &answer : queryProcesses(*vms, "adapters", adapterName, queryTimeout(options))) {
        items->add(toJson(answer));
        addRows(answer, "adapters", {"adapter", "version", "state", "pins", "waiting"}, rows);
    }
    std::erase_if(
        rows, [&](const auto &row) { return !adapterName.empty() && row[1] != adapterName && row[1] != "ADAPTER"; });
    result.json->set("processes", items);
    result.text = formatTable(rows);
    return result;
}

CtlResult explain(const CtlOptions &options, const CtlArguments &arguments)
{
    if (arguments.size() != 1) {
        return makeFailure(CtlExit::Usage, "bad_route", "", "explain ROUTE");
    }
    const std::string &name = arguments.front();
    KeyValueSession session(options);
    ConfigStore store;
    if (const auto head = session.readHead(store); !head) {
        return makeFailure(head.error());
    }
    const auto route = store.route(name);
    if (!route) {
        return makeFailure(CtlExit::NotFound, "unknown_route", name, "no such route", store.revision());
    }
    auto vms = readVms(options);
    if (!vms) {
        return vms.error();
    }
    CtlResult result;
    result.json->set("route", name);
    result.json->set("revision", store.revision());
    result.json->set("adapter", route->target.adapter);
    result.json->set("version", route->target.version);
    result.json->set("nextVersion", route->nextVersion);
    result.json->set("baseModel", std::string(route->baseModel));
    result.json->set("callClass", std::string(toString(route->callClass)));
    result.json->set("deadlineMs", std::chrono::duration_cast<Milliseconds>(route->deadline).count());
    result.text = name + " at revision " + std::to_string(store.revision()) + ": " + route->target.text() + " on "
                  + std::string(route->baseModel) + ", class " + std::string(toString(route->callClass)) + "\n";
    Array::Ptr items = new Array;
    Rows rows{{"PROCESS", "ROLE", "STATUS"}};
    for (const auto &answer : queryProcesses(*vms, "explain", name, queryTimeout(options))) {
        items->add(toJson(answer));
        std::ostringstream statusText;
        answer.json->stringify(statusText);
        rows.push_back(
            {answer.vm.name, std::string(toString(answer.vm.role)), answer.hasAnswered ? statusText.str() : "silent"});
    }
    result.json->set("processes", items);
    result.text += formatTable(rows);
    return result;
}

// The order names the incarnation, so that a delayed order cannot drain the successor on the same address.
CtlResult drain(const CtlOptions &options, const CtlArguments &arguments)
{
    if (arguments.size() != 1) {
        return makeFailure(CtlExit::Usage, "bad_process", "", "drain PROCESS");
    }
    const std::string &name = arguments.front();
    const TimePoint deadline = currentTime().mono + options.timeout;
    const auto target = queryProcess(options, name);
    if (!target) {
        return target.error();
    }
    if (target->vm.role == VmRole::Entry) {
        return makeFailure(CtlExit::Rejected, "entry", name, "an entry does not accept drain orders, send it SIGTERM");
    }
    CtlResult result;
    result.json->set("process", name);
    result.json->set("incarnation", std::to_string(target->incarnation));
    sendDrain(*target, options.drainReason, queryTimeout(options));
    while (currentTime().mono < deadline) {
        // A sidecar without calls exits right after the order, so no answer also means success.
        const auto answer = queryProcesses({target->vm}, "status", "", queryTimeout(options)).front();
        const bool isReplaced = answer.hasAnswered && answer.incarnation != target->incarnation;
        if (answer.flag("draining") || isReplaced || !answer.hasAnswered) {
            result.json->set("state", answer.flag("draining") ? "leaving" : "gone");
            result.text = name + (answer.flag("draining") ? " is leaving\n" : " has exited\n");
            return result;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return makeFailure(CtlExit::TimedOut, "timed_out", name, "the process did not report that it is leaving");
}

} // namespace anvilscale

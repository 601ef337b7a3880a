// anvilctl status, adapters, explain, drain, config wait: what the running processes say.
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

constexpr Duration askLimit = Seconds(2);
constexpr auto askAgain = std::chrono::milliseconds(100);

Duration askTime(const CtlOptions &options)
{
    return std::min(options.timeout, askLimit);
}

tl::expected<std::vector<VmInfo>, CtlResult> listedVms(const CtlOptions &options)
{
    auto vms = readVmList(options.vmList, askTime(options));
    if (!vms) {
        return tl::unexpected(failure(CtlExit::Unavailable, std::string(toString(vms.error())), options.vmList,
                                      "the list of VMs cannot be read"));
    }
    std::sort(vms->begin(), vms->end(), [](const auto &a, const auto &b) { return a.name < b.name; });
    return std::move(*vms);
}

Object::Ptr describe(const ProcessAnswer &answer)
{
    Object::Ptr item = new Object;
    item->set("name", answer.vm.name);
    item->set("role", std::string(toString(answer.vm.role)));
    item->set("listed", std::string(toString(answer.vm.state)));
    item->set("dataCentre", answer.vm.dataCentre);
    item->set("region", answer.vm.region);
    item->set("address", answer.vm.address);
    item->set("answered", answer.answered);
    if (answer.answered) {
        item->set("incarnation", std::to_string(answer.incarnation));
        item->set("status", answer.json);
    }
    return item;
}

std::string shown(const ProcessAnswer &answer, const std::string &field)
{
    return answer.answered && answer.json->has(field) ? answer.text(field) : "-";
}

std::string stateOf(const ProcessAnswer &answer)
{
    if (!answer.answered) {
        return "silent";
    }
    if (answer.flag("draining")) {
        return "leaving";
    }
    return answer.flag("stale") ? "stale" : std::string(toString(answer.vm.state));
}

/// One line for each object of an array of the process's answer.
void addRows(const ProcessAnswer &answer, const std::string &list, const std::vector<std::string> &fields, Rows &rows)
{
    const auto array = answer.json->getArray(list);
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
    Behind, ///< answers with an older revision
    Silent, ///< gives no answer: it may run calls at any revision
    Count
};
constexpr std::array<std::string_view, enumCount<Progress>> progressNames{"there", "behind", "silent"};

Progress progressOf(const ProcessAnswer &answer, std::uint64_t revision)
{
    if (!answer.answered) {
        return Progress::Silent;
    }
    return answer.number("revision") >= revision ? Progress::There : Progress::Behind;
}

/// The list of processes and how far each is. True if all are there. An empty list proves nothing.
bool report(const std::vector<ProcessAnswer> &answers, std::uint64_t revision, CtlResult &result)
{
    Array::Ptr list = new Array;
    Rows rows{{"PROCESS", "PROGRESS", "REVISION"}};
    std::size_t missing = 0;
    for (const auto &answer : answers) {
        const Progress progress = progressOf(answer, revision);
        missing += progress == Progress::There ? 0 : 1;
        Object::Ptr item = new Object;
        item->set("name", answer.vm.name);
        item->set("progress", std::string(progressNames.at(static_cast<std::size_t>(progress))));
        item->set("revision", answer.number("revision"));
        list->add(item);
        rows.push_back({answer.vm.name, std::string(progressNames.at(static_cast<std::size_t>(progress))),
                        shown(answer, "revision")});
    }
    const bool all = missing == 0 && !answers.empty();
    result.json->set("revision", revision);
    result.json->set("inForce", all);
    result.json->set("processes", list);
    result.text = table(rows);
    result.text += all ? "revision " + std::to_string(revision) + " is in force everywhere\n"
                       : "not in force everywhere: " + std::to_string(missing) + " of " + std::to_string(answers.size())
                             + " processes not there\n";
    return all;
}

std::optional<std::uint64_t> revisionArgument(const CtlArguments &arguments)
{
    std::uint64_t revision = 0;
    if (arguments.size() != 1) {
        return std::nullopt;
    }
    const auto &text = arguments.front();
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), revision);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return whole ? std::optional(revision) : std::nullopt;
}

// ---- drain

tl::expected<ProcessAnswer, CtlResult> askOne(const CtlOptions &options, const std::string &name)
{
    const auto vms = listedVms(options);
    if (!vms) {
        return tl::unexpected(vms.error());
    }
    for (const auto &vm : *vms) {
        if (vm.name != name) {
            continue;
        }
        auto answers = askProcesses({vm}, "status", "", askTime(options));
        if (!answers.front().answered) {
            return tl::unexpected(failure(CtlExit::Unavailable, "silent", name, "the process does not answer"));
        }
        return std::move(answers.front());
    }
    return tl::unexpected(failure(CtlExit::NotFound, "not_found", name, "no such process in the list of VMs"));
}
} // namespace

// A process that the platform has marked as leaving takes no new work and is left out. One that is silent is waited
// for: without its word nothing is known of the revision at which it runs calls.
CtlResult configWait(const CtlOptions &options, const CtlArguments &arguments)
{
    const auto revision = revisionArgument(arguments);
    if (!revision) {
        return failure(CtlExit::Usage, "bad_revision", "", "config wait REVISION");
    }
    const TimePoint until = clocksNow().mono + options.timeout;
    CtlResult result;
    while (true) {
        auto vms = listedVms(options);
        if (vms) {
            std::erase_if(*vms, [](const VmInfo &vm) { return vm.state == VmState::Leaving; });
            auto answers = askProcesses(*vms, "status", "", askTime(options));
            std::erase_if(answers, [](const ProcessAnswer &answer) { return answer.flag("draining"); });
            if (report(answers, *revision, result)) {
                return result;
            }
        }
        if (clocksNow().mono >= until) {
            if (!vms) {
                return vms.error();
            }
            result.exit = CtlExit::TimedOut;
            return result;
        }
        std::this_thread::sleep_for(askAgain);
    }
}

CtlResult showStatus(const CtlOptions &options, const CtlArguments &arguments)
{
    auto vms = listedVms(options);
    if (!vms) {
        return vms.error();
    }
    if (!arguments.empty()) {
        std::erase_if(*vms, [&](const VmInfo &vm) {
            return std::find(arguments.begin(), arguments.end(), vm.name) == arguments.end();
        });
        if (vms->empty()) {
            return failure(CtlExit::NotFound, "not_found", arguments.front(), "no such process in the list of VMs");
        }
    }
    CtlResult result;
    Array::Ptr list = new Array;
    Rows rows{{"PROCESS", "ROLE", "DATA CENTRE", "STATE", "REVISION", "RUNNING", "QUEUED", "RESIDENT", "LEASE"}};
    for (const auto &answer : askProcesses(*vms, "status", "", askTime(options))) {
        list->add(describe(answer));
        const std::string running = answer.vm.role == VmRole::Entry ? "openCalls" : "running";
        rows.push_back({answer.vm.name, std::string(toString(answer.vm.role)), answer.vm.dataCentre, stateOf(answer),
                        shown(answer, "revision"), shown(answer, running), shown(answer, "queued"),
                        shown(answer, "resident"), shown(answer, "lease")});
    }
    result.json->set("processes", list);
    result.text = table(rows);
    if (!options.keyValue.empty()) {
        KeyValueSession session(options);
        ConfigStore store;
        const auto head = session.readHead(store);
        result.json->set("head", head ? Poco::Dynamic::Var(*head) : Poco::Dynamic::Var());
        result.text +=
            head ? "head: revision " + std::to_string(*head) + "\n" : "head: not known, no key-value service\n";
    }
    return result;
}

CtlResult showAdapters(const CtlOptions &options, const CtlArguments &arguments)
{
    auto vms = listedVms(options);
    if (!vms) {
        return vms.error();
    }
    std::erase_if(*vms, [](const VmInfo &vm) { return vm.role != VmRole::Sidecar; });
    const std::string wanted = arguments.empty() ? "" : arguments.front();
    CtlResult result;
    Array::Ptr list = new Array;
    Rows rows{{"PROCESS", "ADAPTER", "VERSION", "STATE", "PINS", "WAITING"}};
    for (const auto &answer : askProcesses(*vms, "adapters", wanted, askTime(options))) {
        list->add(describe(answer));
        addRows(answer, "adapters", {"adapter", "version", "state", "pins", "waiting"}, rows);
    }
    std::erase_if(rows, [&](const auto &row) { return !wanted.empty() && row[1] != wanted && row[1] != "ADAPTER"; });
    result.json->set("processes", list);
    result.text = table(rows);
    return result;
}

CtlResult explain(const CtlOptions &options, const CtlArguments &arguments)
{
    if (arguments.size() != 1) {
        return failure(CtlExit::Usage, "bad_route", "", "explain ROUTE");
    }
    const std::string &name = arguments.front();
    KeyValueSession session(options);
    ConfigStore store;
    if (const auto head = session.readHead(store); !head) {
        return failure(head.error());
    }
    const auto route = store.route(name);
    if (!route) {
        return failure(CtlExit::NotFound, "unknown_route", name, "no such route", store.revision());
    }
    auto vms = listedVms(options);
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
    Array::Ptr list = new Array;
    Rows rows{{"PROCESS", "ROLE", "SAYS"}};
    for (const auto &answer : askProcesses(*vms, "explain", name, askTime(options))) {
        list->add(describe(answer));
        std::ostringstream says;
        answer.json->stringify(says);
        rows.push_back(
            {answer.vm.name, std::string(toString(answer.vm.role)), answer.answered ? says.str() : "silent"});
    }
    result.json->set("processes", list);
    result.text += table(rows);
    return result;
}

// Leaving is final for one start of a process, so the order names it: an order that arrives late must not drain the
// successor on the same address.
CtlResult drain(const CtlOptions &options, const CtlArguments &arguments)
{
    if (arguments.size() != 1) {
        return failure(CtlExit::Usage, "bad_process", "", "drain PROCESS");
    }
    const std::string &name = arguments.front();
    const TimePoint until = clocksNow().mono + options.timeout;
    const auto target = askOne(options, name);
    if (!target) {
        return target.error();
    }
    if (target->vm.role == VmRole::Entry) {
        return failure(CtlExit::Rejected, "entry", name, "an entry takes no drain order: send it SIGTERM");
    }
    CtlResult result;
    result.json->set("process", name);
    result.json->set("incarnation", std::to_string(target->incarnation));
    sendDrain(*target, options.reason, askTime(options));
    while (clocksNow().mono < until) {
        // A sidecar without calls is gone a moment after the order, so that silence means the same as "leaving".
        const auto answer = askProcesses({target->vm}, "status", "", askTime(options)).front();
        const bool replaced = answer.answered && answer.incarnation != target->incarnation;
        if (answer.flag("draining") || replaced || !answer.answered) {
            result.json->set("state", answer.flag("draining") ? "leaving" : "gone");
            result.text = name + (answer.flag("draining") ? " is leaving\n" : " is gone\n");
            return result;
        }
        std::this_thread::sleep_for(askAgain);
    }
    return failure(CtlExit::TimedOut, "timed_out", name, "the process does not say that it leaves");
}

} // namespace anvilscale

// Enumeration of the cells, and the table that is printed.
#include "cells.h"

#include <rapidcheck.h>

#include <chrono>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace anvilscale::faults {

namespace {

constexpr std::uint64_t cellSeed = 7;

std::string writeInjection(const Injection &injection)
{
    return std::string(toString(injection.step)) + ":" + std::to_string(injection.pass) + ":"
           + std::string(toString(injection.fault));
}

std::optional<Injection> parseInjection(const std::string &text)
{
    std::istringstream in(text);
    std::string step;
    std::string pass;
    std::string fault;
    std::getline(in, step, ':');
    std::getline(in, pass, ':');
    std::getline(in, fault);
    const auto knownStep = fromString<Step>(step);
    const auto knownFault = fromString<Fault>(fault);
    if (!knownStep || !knownFault || pass.empty() || pass.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return Injection{*knownStep, static_cast<std::uint32_t>(std::stoul(pass)), *knownFault};
}

template<class E>
std::vector<E> allOf()
{
    std::vector<E> all;
    for (std::size_t i = 0; i < enumCount<E>; ++i) {
        all.push_back(static_cast<E>(i));
    }
    return all;
}

/// Cells of one protocol, step by step: each fault once, each fault at two passes, and each fault followed by each
/// other at the next step of the protocol.
std::vector<Cell> cellsAt(Protocol protocol, std::size_t index, const std::string &kinds)
{
    const auto steps = stepsOf(protocol);
    const Step here = steps[index];
    const Step next = steps[(index + 1) % steps.size()];
    std::vector<Cell> cells;
    for (const Fault fault : allOf<Fault>()) {
        if (kinds == "single" || kinds == "short" || kinds == "all") {
            cells.push_back({protocol, {{here, 1, fault}}});
        }
        if (kinds == "twice" || kinds == "short" || kinds == "all") {
            cells.push_back({protocol, {{here, 1, fault}, {here, 2, fault}}});
        }
        if (kinds == "pairs" || kinds == "all") {
            for (const Fault second : allOf<Fault>()) {
                cells.push_back({protocol, {{here, 1, fault}, {next, 1, second}}});
            }
        }
    }
    return cells;
}

struct Row
{
    std::size_t cells = 0;
    std::size_t reached = 0; // every injection of the cell struck
    std::size_t red = 0;
    std::string example;
};

class Report
{
public:
    explicit Report(bool markdown)
        : markdown_(markdown)
    {
        std::cout << (markdown_ ? "| protocol | step | cells | struck | red |\n| --- | --- | ---: | ---: | ---: |\n"
                                : "");
    }
    void add(const std::string &protocol, const std::string &step, const Row &row)
    {
        total_.cells += row.cells;
        total_.reached += row.reached;
        total_.red += row.red;
        print(protocol, step, row);
        if (!row.example.empty()) {
            examples_.push_back(row.example);
        }
    }
    int finish(double seconds)
    {
        print("all", "", total_);
        for (const auto &example : examples_) {
            std::cout << (markdown_ ? "\n    " : "  ") << example << "\n";
        }
        std::cout << "\n"
                  << total_.cells << " cells, " << total_.reached << " with every fault struck, " << total_.red
                  << " red, " << std::fixed << std::setprecision(1) << seconds << " s\n";
        return total_.red == 0 ? 0 : 1;
    }
    bool red() const
    {
        return total_.red != 0;
    }

private:
    void print(const std::string &protocol, const std::string &step, const Row &row) const
    {
        if (markdown_) {
            std::cout << "| " << protocol << " | " << step << " | " << row.cells << " | " << row.reached << " | "
                      << row.red << " |\n";
            return;
        }
        std::cout << std::left << std::setw(22) << protocol << std::setw(20) << step << std::right << std::setw(6)
                  << row.cells << " cells " << std::setw(6) << row.reached << " struck " << std::setw(5) << row.red
                  << " red" << std::endl;
    }

    bool markdown_;
    Row total_;
    std::vector<std::string> examples_;
};

void playInto(Row &row, const Cell &cell, const AllSafeguards &safeguards)
{
    const auto result = play(cell, safeguards);
    ++row.cells;
    row.reached += result.reached == cell.injections.size() ? 1 : 0;
    if (!result.violations.empty()) {
        ++row.red;
        if (row.example.empty()) {
            row.example = "--cell " + describe(cell) + ": " + result.violations.front();
        }
    }
}

} // namespace

const std::vector<NamedSafeguard> &safeguardTable()
{
#define SAFEGUARD(group, member)                                                                                       \
    NamedSafeguard                                                                                                     \
    {                                                                                                                  \
#group "." #member, [](AllSafeguards & all) -> bool & { return all.group.member; }                             \
    }
    static const std::vector<NamedSafeguard> table{
        SAFEGUARD(sidecar, pinBeforeSend),
        SAFEGUARD(sidecar, evictOnlyUnpinned),
        SAFEGUARD(sidecar, unknownEndKeepsPin),
        SAFEGUARD(sidecar, unknownAfterLostReply),
        SAFEGUARD(sidecar, listAfterChange),
        SAFEGUARD(sidecar, recoveryWait),
        SAFEGUARD(sidecar, fenceCheck),
        SAFEGUARD(sidecar, grantExpiry),
        SAFEGUARD(sidecar, grantTarget),
        SAFEGUARD(sidecar, leaseRecheck),
        SAFEGUARD(sidecar, staleRevisionRefusal),
        SAFEGUARD(sidecar, duplicateFilter),
        SAFEGUARD(entry, frameMatch),
        SAFEGUARD(entry, digestCheck),
        SAFEGUARD(entry, notRunProof),
        SAFEGUARD(entry, spliceGuard),
        SAFEGUARD(entry, retryOnlySafe),
        SAFEGUARD(entry, slotFence),
        SAFEGUARD(entry, leavingGuard),
        SAFEGUARD(state, leaseClock),
        SAFEGUARD(state, leaseFromSend),
        SAFEGUARD(state, takeOverAfterLease),
        SAFEGUARD(state, takenAtRefusal),
        SAFEGUARD(state, refuseWhileGiving),
        SAFEGUARD(state, keysBeforeTable),
        SAFEGUARD(state, forgetOnlyOld),
        SAFEGUARD(state, readBack),
        SAFEGUARD(state, leavingFinal),
    };
#undef SAFEGUARD
    return table;
}

bool switchOff(const std::string &name, AllSafeguards &safeguards)
{
    for (const auto &safeguard : safeguardTable()) {
        if (safeguard.name == name) {
            safeguard.of(safeguards) = false;
            return true;
        }
    }
    return false;
}

std::string describe(const Cell &cell)
{
    std::string text(toString(cell.protocol));
    for (std::size_t i = 0; i < cell.injections.size(); ++i) {
        text += (i == 0 ? ":" : ",") + writeInjection(cell.injections[i]);
    }
    return text;
}

std::optional<Cell> parseCell(const std::string &text)
{
    Cell cell;
    const auto colon = text.find(':');
    const auto protocol = fromString<Protocol>(text.substr(0, colon));
    if (!protocol) {
        return std::nullopt;
    }
    cell.protocol = *protocol;
    if (colon == std::string::npos) {
        return cell;
    }
    std::istringstream in(text.substr(colon + 1));
    for (std::string part; std::getline(in, part, ',');) {
        const auto injection = parseInjection(part);
        if (!injection) {
            return std::nullopt;
        }
        cell.injections.push_back(*injection);
    }
    return cell;
}

CellResult play(const Cell &cell, const AllSafeguards &safeguards, std::ostream *trace)
{
    World world(cell.protocol, cell.injections, safeguards, cellSeed);
    world.traceTo(trace);
    CellResult result;
    result.violations = world.play();
    result.reached = world.reached();
    result.runs = world.runs();
    result.finished = world.finishedCalls();
    return result;
}

int playMatrix(const MatrixOptions &options, const AllSafeguards &safeguards)
{
    const auto begin = std::chrono::steady_clock::now();
    Report report(options.markdown);
    for (const Protocol protocol : allOf<Protocol>()) {
        if (options.only && *options.only != protocol) {
            continue;
        }
        Row quiet;
        playInto(quiet, Cell{protocol, {}}, safeguards);
        report.add(std::string(toString(protocol)), "(no fault)", quiet);
        for (std::size_t i = 0; i < stepsOf(protocol).size(); ++i) {
            Row row;
            for (const auto &cell : cellsAt(protocol, i, options.kinds)) {
                playInto(row, cell, safeguards);
                if (options.stopAtFirst && row.red != 0) {
                    break;
                }
            }
            report.add(std::string(toString(protocol)), std::string(toString(stepsOf(protocol)[i])), row);
            if (options.stopAtFirst && report.red()) {
                break;
            }
        }
        if (options.stopAtFirst && report.red()) {
            break;
        }
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    return report.finish(took.count());
}

int playRandom(int count, std::uint64_t seed, const AllSafeguards &safeguards)
{
    const std::string parameters = "seed=" + std::to_string(seed) + " max_success=" + std::to_string(count);
    setenv("RC_PARAMS", parameters.c_str(), 1); // NOLINT(concurrency-mt-unsafe): one thread
    std::string smallest;
    const bool good = rc::check("no invariant breaks under random faults", [&] {
        Cell cell;
        cell.protocol = *rc::gen::elementOf(allOf<Protocol>());
        const auto raw = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(Step::Other)), rc::gen::inRange(1, 12),
                           rc::gen::inRange(0, static_cast<int>(Fault::Count))));
        for (const auto &[step, pass, fault] : raw) {
            if (cell.injections.size() < 6) {
                cell.injections.push_back(
                    {static_cast<Step>(step), static_cast<std::uint32_t>(pass), static_cast<Fault>(fault)});
            }
        }
        const auto result = play(cell, safeguards);
        if (!result.violations.empty()) {
            smallest = "--cell " + describe(cell) + ": " + result.violations.front();
            RC_FAIL(smallest);
        }
    });
    if (!good) {
        std::cout << "replay: build/tests/faultmatrix " << smallest << "\n";
    }
    return good ? 0 : 1;
}

} // namespace anvilscale::faults

// Enumerates, runs and reports the cells of the fault matrix.
#include "cells.h"

#include <rapidcheck.h>

#include <chrono>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace anvilscale::faults {

namespace {

constexpr std::uint64_t cellSeed = 7;

std::string formatInjection(const Injection &injection)
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
    const auto parsedStep = fromString<Step>(step);
    const auto parsedFault = fromString<Fault>(fault);
    if (!parsedStep || !parsedFault || pass.empty() || pass.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return Injection{*parsedStep, static_cast<std::uint32_t>(std::stoul(pass)), *parsedFault};
}

template<class E>
std::vector<E> allValues()
{
    std::vector<E> all;
    for (std::size_t i = 0; i < enumCount<E>; ++i) {
        all.push_back(static_cast<E>(i));
    }
    return all;
}

/// Cells for one step of a protocol: each fault once, each fault at the first two passes, and each pair of a fault at
/// this step and a fault at the next one.
std::vector<Cell> cellsForStep(Protocol protocol, std::size_t index, const std::string &kinds)
{
    const auto steps = stepsOf(protocol);
    const Step step = steps[index];
    const Step next = steps[(index + 1) % steps.size()];
    std::vector<Cell> cells;
    for (const Fault fault : allValues<Fault>()) {
        if (kinds == "single" || kinds == "short" || kinds == "all") {
            cells.push_back({protocol, {{step, 1, fault}}});
        }
        if (kinds == "twice" || kinds == "short" || kinds == "all") {
            cells.push_back({protocol, {{step, 1, fault}, {step, 2, fault}}});
        }
        if (kinds == "pairs" || kinds == "all") {
            for (const Fault second : allValues<Fault>()) {
                cells.push_back({protocol, {{step, 1, fault}, {next, 1, second}}});
            }
        }
    }
    return cells;
}

struct MatrixRow
{
    std::size_t cells = 0;
    std::size_t struckCells = 0; // cells in which every fault was injected
    std::size_t failedCells = 0;
    std::string firstFailure;
};

class MatrixReport
{
public:
    explicit MatrixReport(bool markdown)
        : markdown_(markdown)
    {
        std::cout << (markdown_ ? "| protocol | step | cells | struck | red |\n| --- | --- | ---: | ---: | ---: |\n"
                                : "");
    }
    void add(const std::string &protocol, const std::string &step, const MatrixRow &row)
    {
        total_.cells += row.cells;
        total_.struckCells += row.struckCells;
        total_.failedCells += row.failedCells;
        print(protocol, step, row);
        if (!row.firstFailure.empty()) {
            failures_.push_back(row.firstFailure);
        }
    }
    int finish(double seconds)
    {
        print("all", "", total_);
        for (const auto &failure : failures_) {
            std::cout << (markdown_ ? "\n    " : "  ") << failure << "\n";
        }
        std::cout << "\n"
                  << total_.cells << " cells, " << total_.struckCells << " with every fault struck, "
                  << total_.failedCells << " red, " << std::fixed << std::setprecision(1) << seconds << " s\n";
        return total_.failedCells == 0 ? 0 : 1;
    }
    bool hasFailures() const
    {
        return total_.failedCells != 0;
    }

private:
    void print(const std::string &protocol, const std::string &step, const MatrixRow &row) const
    {
        if (markdown_) {
            std::cout << "| " << protocol << " | " << step << " | " << row.cells << " | " << row.struckCells << " | "
                      << row.failedCells << " |\n";
            return;
        }
        std::cout << std::left << std::setw(22) << protocol << std::setw(20) << step << std::right << std::setw(6)
                  << row.cells << " cells " << std::setw(6) << row.struckCells << " struck " << std::setw(5)
                  << row.failedCells << " red" << std::endl;
    }

    bool markdown_;
    MatrixRow total_;
    std::vector<std::string> failures_;
};

void playIntoRow(MatrixRow &row, const Cell &cell, const AllSafeguards &safeguards)
{
    const auto result = playCell(cell, safeguards);
    ++row.cells;
    row.struckCells += result.injectedCount == cell.injections.size() ? 1 : 0;
    if (!result.violations.empty()) {
        ++row.failedCells;
        if (row.firstFailure.empty()) {
            row.firstFailure = "--cell " + formatCell(cell) + ": " + result.violations.front();
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
        SAFEGUARD(state, keyTimeLimit),
        SAFEGUARD(state, refuseWhileGiving),
        SAFEGUARD(state, keysBeforeTable),
        SAFEGUARD(state, forgetOnlyOld),
        SAFEGUARD(state, readBack),
        SAFEGUARD(state, leavingFinal),
    };
#undef SAFEGUARD
    return table;
}

bool disableSafeguard(const std::string &name, AllSafeguards &safeguards)
{
    for (const auto &safeguard : safeguardTable()) {
        if (safeguard.name == name) {
            safeguard.select(safeguards) = false;
            return true;
        }
    }
    return false;
}

std::string formatCell(const Cell &cell)
{
    std::string text(toString(cell.protocol));
    for (std::size_t i = 0; i < cell.injections.size(); ++i) {
        text += (i == 0 ? ":" : ",") + formatInjection(cell.injections[i]);
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

CellResult playCell(const Cell &cell, const AllSafeguards &safeguards, std::ostream *trace)
{
    Simulation simulation(cell.protocol, cell.injections, safeguards, cellSeed);
    simulation.setTrace(trace);
    CellResult result;
    result.violations = simulation.run();
    result.injectedCount = simulation.injectedCount();
    result.runCount = simulation.runCount();
    result.finishedCalls = simulation.finishedCallCount();
    return result;
}

int playMatrix(const MatrixOptions &options, const AllSafeguards &safeguards)
{
    const auto begin = std::chrono::steady_clock::now();
    MatrixReport report(options.markdown);
    for (const Protocol protocol : allValues<Protocol>()) {
        if (options.onlyProtocol && *options.onlyProtocol != protocol) {
            continue;
        }
        MatrixRow faultFreeRow;
        playIntoRow(faultFreeRow, Cell{protocol, {}}, safeguards);
        report.add(std::string(toString(protocol)), "(no fault)", faultFreeRow);
        for (std::size_t i = 0; i < stepsOf(protocol).size(); ++i) {
            MatrixRow row;
            for (const auto &cell : cellsForStep(protocol, i, options.kinds)) {
                playIntoRow(row, cell, safeguards);
                if (options.stopAtFirst && row.failedCells != 0) {
                    break;
                }
            }
            report.add(std::string(toString(protocol)), std::string(toString(stepsOf(protocol)[i])), row);
            if (options.stopAtFirst && report.hasFailures()) {
                break;
            }
        }
        if (options.stopAtFirst && report.hasFailures()) {
            break;
        }
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    return report.finish(elapsed.count());
}

int playRandom(int count, std::uint64_t seed, const AllSafeguards &safeguards)
{
    const std::string parameters = "seed=" + std::to_string(seed) + " max_success=" + std::to_string(count);
    setenv("RC_PARAMS", parameters.c_str(), 1); // NOLINT(concurrency-mt-unsafe): one thread
    std::string minimalFailure;
    const bool hasPassed = rc::check("no invariant breaks under random faults", [&] {
        Cell cell;
        cell.protocol = *rc::gen::elementOf(allValues<Protocol>());
        const auto raw = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(Step::Other)), rc::gen::inRange(1, 12),
                           rc::gen::inRange(0, static_cast<int>(Fault::Count))));
        for (const auto &[step, pass, fault] : raw) {
            if (cell.injections.size() < 6) {
                cell.injections.push_back(
                    {static_cast<Step>(step), static_cast<std::uint32_t>(pass), static_cast<Fault>(fault)});
            }
        }
        const auto result = playCell(cell, safeguards);
        if (!result.violations.empty()) {
            minimalFailure = "--cell " + formatCell(cell) + ": " + result.violations.front();
            RC_FAIL(minimalFailure);
        }
    });
    if (!hasPassed) {
        std::cout << "replay: build/tests/faultmatrix " << minimalFailure << "\n";
    }
    return hasPassed ? 0 : 1;
}

} // namespace anvilscale::faults

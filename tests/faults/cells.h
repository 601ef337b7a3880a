// Cells of the fault matrix: text form, execution and results.
#pragma once

#include "simulation.h"

namespace anvilscale::faults {

/// One protocol with the faults that are injected into it.
struct Cell
{
    Protocol protocol = Protocol::CallPlain;
    std::vector<Injection> injections;
};

struct CellResult
{
    std::vector<std::string> violations; ///< in order of time
    std::size_t injectedCount = 0; ///< faults that were injected
    std::size_t runCount = 0; ///< executions at the endpoints
    std::size_t finishedCalls = 0; ///< calls with a complete answer
};

struct MatrixOptions
{
    std::string kinds = "all"; ///< single, twice, short, pairs or all
    std::optional<Protocol> onlyProtocol; ///< all protocols if empty
    bool stopAtFirst = false;
    bool markdown = false;
};

/// A safeguard of the product that the matrix can switch off.
struct NamedSafeguard
{
    std::string name;
    std::function<bool &(AllSafeguards &)> select;
};

const std::vector<NamedSafeguard> &safeguardTable();
/// Returns false if no safeguard has this name.
bool disableSafeguard(const std::string &name, AllSafeguards &safeguards);

/// Returns PROTOCOL:STEP:PASS:FAULT[,STEP:PASS:FAULT...], the form that parseCell() reads.
std::string formatCell(const Cell &cell);
/// Returns nothing if the text is not a cell.
std::optional<Cell> parseCell(const std::string &text);
/// Simulates one cell and optionally prints each step to `trace`.
CellResult playCell(const Cell &cell, const AllSafeguards &safeguards, std::ostream *trace = nullptr);
/// Plays all selected cells and prints the table. Returns 0 if no invariant was violated, otherwise 1.
int playMatrix(const MatrixOptions &options, const AllSafeguards &safeguards);
/// Plays `count` random fault sequences. Returns 0 if no invariant was violated, otherwise 1.
int playRandom(int count, std::uint64_t seed, const AllSafeguards &safeguards);

} // namespace anvilscale::faults

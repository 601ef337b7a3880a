// Cells of the matrix: what they are, how they are written in one line, and how they are played.
#pragma once

#include "world.h"

namespace anvilscale::faults {

struct Cell
{
    Protocol protocol = Protocol::CallPlain;
    std::vector<Injection> injections;
};

struct CellResult
{
    std::vector<std::string> violations;
    std::size_t reached = 0;
    std::size_t runs = 0;
    std::size_t finished = 0;
};

struct MatrixOptions
{
    std::string kinds = "all";
    std::optional<Protocol> only;
    bool stopAtFirst = false;
    bool markdown = false;
};

struct NamedSafeguard
{
    std::string name;
    std::function<bool &(AllSafeguards &)> of;
};

const std::vector<NamedSafeguard> &safeguardTable();
bool switchOff(const std::string &name, AllSafeguards &safeguards);

std::string describe(const Cell &cell);
std::optional<Cell> parseCell(const std::string &text);
CellResult play(const Cell &cell, const AllSafeguards &safeguards, std::ostream *trace = nullptr);
/// 0: no violation.
int playMatrix(const MatrixOptions &options, const AllSafeguards &safeguards);
int playRandom(int count, std::uint64_t seed, const AllSafeguards &safeguards);

} // namespace anvilscale::faults

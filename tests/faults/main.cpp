// The program faultmatrix: plays every fault at every step of every protocol, once, twice and in pairs.
#include "cells.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace anvilscale;
using namespace anvilscale::faults;

namespace {

int listSafeguards()
{
    for (const auto &safeguard : safeguardTable()) {
        std::cout << safeguard.name << "\n";
    }
    return 0;
}

int playOneCell(const std::string &text, const AllSafeguards &safeguards, bool trace)
{
    const auto cell = parseCell(text);
    if (!cell) {
        std::cerr << "not a cell: " << text << "\n";
        return 2;
    }
    const auto result = playCell(*cell, safeguards, trace ? &std::cout : nullptr);
    std::cout << formatCell(*cell) << ": " << result.runCount << " runs, " << result.finishedCalls
              << " calls finished, " << result.injectedCount << " faults injected\n";
    for (const auto &violation : result.violations) {
        std::cout << "  " << violation << "\n";
    }
    return result.violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("faultmatrix", "Every fault at every step of every protocol.");
    auto add = options.add_options();
    add("without", "switch one safeguard off; the matrix must go red", cxxopts::value<std::string>());
    add("list-safeguards", "names for --without");
    add("cell", "play one cell: PROTOCOL:STEP:PASS:FAULT[,STEP:PASS:FAULT...]", cxxopts::value<std::string>());
    add("random", "this many random fault sequences instead of the table", cxxopts::value<int>());
    add("seed", "of the random sequences", cxxopts::value<std::uint64_t>()->default_value("20261202"));
    add("protocol", "only this protocol", cxxopts::value<std::string>());
    add("kinds", "single, twice, short (both), pairs or all", cxxopts::value<std::string>()->default_value("all"));
    add("trace", "with --cell: print every step");
    add("stop-at-first", "end at the first violation");
    add("markdown", "print the table for docs/faults.md");
    add("help", "this text");
    const auto parsedOptions = options.parse(argc, argv);
    if (parsedOptions.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    if (parsedOptions.count("list-safeguards") != 0) {
        return listSafeguards();
    }
    AllSafeguards safeguards;
    if (parsedOptions.count("without") != 0) {
        const auto name = parsedOptions["without"].as<std::string>();
        if (!disableSafeguard(name, safeguards)) {
            std::cerr << "no such safeguard: " << name << "\n";
            return 2;
        }
    }
    if (parsedOptions.count("cell") != 0) {
        return playOneCell(parsedOptions["cell"].as<std::string>(), safeguards, parsedOptions.count("trace") != 0);
    }
    if (parsedOptions.count("random") != 0) {
        return playRandom(parsedOptions["random"].as<int>(), parsedOptions["seed"].as<std::uint64_t>(), safeguards);
    }
    MatrixOptions matrixOptions;
    matrixOptions.kinds = parsedOptions["kinds"].as<std::string>();
    matrixOptions.stopAtFirst = parsedOptions.count("stop-at-first") != 0;
    matrixOptions.markdown = parsedOptions.count("markdown") != 0;
    if (parsedOptions.count("protocol") != 0) {
        matrixOptions.onlyProtocol = fromString<Protocol>(parsedOptions["protocol"].as<std::string>());
    }
    return playMatrix(matrixOptions, safeguards);
}

// anvilctl: command-line tool for operators.
#include "anvilscale/ctl.h"

#include <iostream>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(anvilscale::runCtl(arguments, std::cout, std::cerr));
}

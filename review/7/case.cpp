// Two orders of before a replica's restart are carried out late, one after the other.
#include "../rig-2/late_orders.h"

using namespace rig;

namespace {

int runCase()
{
    LateOrders run;
    if (!run.start() || !run.fill(adapterSlots)) {
        return run.notRun("the start");
    }
    const std::set<std::string> late(run.loaded().begin(), run.loaded().begin() + 2);
    for (const auto &adapter : late) {
        if (hasTrouble()) {
            run.target().loseNextLoad();
        }
        if (!run.nameVersion(adapter)) {
            return run.notRun("a newer version is not in force");
        }
    }
    if (hasTrouble()) {
        if (run.target().lostOrders() != 2) {
            return run.notRun("no two orders were left unanswered");
        }
        if (run.lostShare() > maxLostShare) {
            return run.notRun("more orders were lost than the pages let");
        }
        run.restartTarget();
    }
    if (!run.fill(adapterSlots - 1, late)) {
        return run.notRun("a call after the restart is not answered");
    }
    return run.end();
}

} // namespace

int main()
{
    try {
        return runCase();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return exitNotRun;
    }
}

// Two orders of before a replica's restart are carried out late, one after the other.
#include "../rig-2/late_orders.h"

using namespace rig;

namespace {

int runCase()
{
    LateOrders run;
    if (!run.start() || !run.callAll(1, 9)) {
        return run.notRun("the start");
    }
    for (const std::string adapter : {"a1", "a2"}) {
        if (hasTrouble()) {
            run.engine().loseNextLoad(adapter);
        }
        if (!run.nameVersion(adapter)) {
            return run.notRun("a newer version is not in force");
        }
    }
    if (hasTrouble()) {
        if (run.engine().lostOrders() != 2) {
            return run.notRun("no two orders were left unanswered");
        }
        run.restartReplica();
    }
    if (!run.callAll(11, 18)) {
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

// An order of before a replica's restart is carried out late, after the replica's new process is full again.
#include "../rig-2/late_orders.h"

using namespace rig;

namespace {

int runCase()
{
    LateOrders run;
    if (!run.start() || !run.callAll(1, 9) || !run.nameVersion("a1")) {
        return run.notRun("the start");
    }
    if (hasTrouble()) {
        run.engine().loseNextLoad("a10");
    }
    if (!run.callAll(10, 10)) {
        return run.notRun("a10 is not answered");
    }
    if (hasTrouble()) {
        if (run.engine().lostOrders() != 1) {
            return run.notRun("no order was left unanswered");
        }
        run.restartReplica();
    }
    if (!run.callAll(1, 9) || !run.nameVersion("a2")) {
        return run.notRun("calls or the version after the restart");
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

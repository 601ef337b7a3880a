// An order of before a replica's restart is carried out late, after the replica's new process is full again.
#include "../rig-2/late_orders.h"

using namespace rig;

namespace {

int runCase()
{
    LateOrders run;
    if (!run.start() || !run.fill(adapterSlots) || !run.nameVersion(run.loaded().front())) {
        return run.notRun("the start");
    }
    std::string late;
    if (hasTrouble()) {
        run.target().loseNextLoad();
        while (run.target().lostOrders() == 0) {
            if (!run.callNew()) {
                return run.notRun("no order was left unanswered");
            }
        }
        late = run.loaded().back();
        if (run.lostShare() > maxLostShare) {
            return run.notRun("more orders were lost than the pages let");
        }
        run.restartTarget();
    }
    if (!run.fill(adapterSlots, {late}) || !run.nameVersion(run.loaded().at(2))) {
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

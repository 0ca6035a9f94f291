// The process that simulates a region's services.
#include "scale/cloud_server.h"
#include "scale/simulators.h"
#include "scale/store_server.h"

namespace scheduler::scale {

void run_simulated_services(const Plan& plan, Counters& counters) {
    EventLoop loop;
    StoreServer store(loop, plan, counters);
    CloudServer cloud(loop, plan, counters);
    counters.services_ready = 1;
    loop.run();
}

} // namespace scheduler::scale

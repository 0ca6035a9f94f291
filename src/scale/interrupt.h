// Interruption of a run by a signal.
#pragma once

namespace scheduler::scale {

// From now on SIGINT, SIGTERM and SIGHUP are noted instead of ending the process.
void catch_interrupts();
// One of these signals has come.
bool interrupted();

} // namespace scheduler::scale

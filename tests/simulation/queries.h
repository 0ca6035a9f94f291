// Queries of tests about the records in the key-value store and the tasks on machines.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulation/history_checker.h"
#include "simulation/kv_store_model.h"
#include "simulation/worker.h"

namespace scheduler::test {

// Returns the controller that leads the partition, or -1 if there is none.
int leader_of(const KvStoreModel& store, int partition);
// Returns all stored jobs and their outcomes.
std::map<std::string, Outcome> job_outcomes(const KvStoreModel& store);

// Returns the machines that have booted and are not dead.
std::vector<std::string> machines_up(const Workers& workers);
// Returns the machines that hold the task and on which it has not exited.
std::set<std::string> machines_of(const Workers& workers, const TaskId& task);
// Returns the task's attempt on the first machine that holds it, or 0 if none does.
std::uint64_t attempt_of(const Workers& workers, const TaskId& task);
// Describes the job and the tasks on all machines, for the message of a failing test.
std::string describe(const Workers& workers, const JobSpec& spec);

// Reports the waiting jobs and the free capacity to the history checker.
void observe_waiting(Time now, const KvStoreModel& store, const Workers& workers,
                     HistoryChecker& history_checker);

} // namespace scheduler::test

/// @file
/// Questions of tests about what stands in the state service and what is on the machines.
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

/// The controller that owns the part; -1: none does.
int owner_of(const KvStoreModel& store, int partition);
/// All stored jobs and their outcomes.
std::map<std::string, Outcome> job_outcomes(const KvStoreModel& store);

/// Machines that have booted and are not dead.
std::vector<std::string> machines_up(const Workers& workers);
/// Machines on which the task is or is to be.
std::set<std::string> machines_of(const Workers& workers, const TaskId& task);
/// The task's attempt on the first machine that has it; 0: it is on none.
std::uint64_t attempt_of(const Workers& workers, const TaskId& task);
/// The job and what is on all machines, for a failing test.
std::string describe(const Workers& workers, const JobSpec& spec);

/// Tells the history checker what waits, and what room there is.
void observe_waiting(Time now, const KvStoreModel& store, const Workers& workers,
                     const InstanceType& type, HistoryChecker& history_checker);

} // namespace scheduler::test

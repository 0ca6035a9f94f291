// Jobs as users submit them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace scheduler {

// How the tasks of a job depend on each other: `array` tasks run independently, `gang` tasks start
// and end together, `service` tasks run until the job is cancelled.
enum class JobKind { array, gang, service };

// Scheduling priority, highest first. Comparisons rely on the order of the enumerators.
enum class Priority { production, high, normal, low };

// The final outcome of a job; `none` while it is open.
enum class Outcome { none, done, cancelled };

// A job as its user submits it. Resources and image are per task.
struct JobSpec {
    std::string id;
    std::string job_class; // the class that selects its service-level objectives
    std::string team;      // the team whose quota its tasks use
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 0; // number of tasks, indexed from 0
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    std::string image; // container image
    double image_gb = 0;
    std::optional<std::vector<std::string>> types; // allowed instance types; absent: any
    std::optional<std::string> zone;               // the only allowed zone; absent: any
    bool one_zone = false;                         // all tasks must run in the same zone
    bool spread = false;              // spread over several zones, see allows_tasks_in_zone
    bool spot = false;                // may run on spot machines
    double estimated_run_s = 0;       // expected run time of one task
    double checkpoint_interval_s = 0; // time between checkpoints; 0: tasks cannot save state
    double save_duration_s = 0;       // time a task takes to save its state when stopped
    std::optional<double> deadline_s; // relative to the submission

    // Returns whether `in_zone` tasks of the job may run in the same zone. A spread job may have at
    // most half of its tasks (rounded up) in one zone.
    bool allows_tasks_in_zone(std::uint32_t in_zone) const {
        return !spread || in_zone <= (tasks + 1) / 2;
    }
    // Returns whether tasks may run on machines of this instance type.
    bool allows_type(const std::string& type) const {
        return !types || std::find(types->begin(), types->end(), type) != types->end();
    }
};

} // namespace scheduler

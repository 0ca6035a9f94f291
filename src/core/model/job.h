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

// Scheduling priority, highest first: comparisons rely on the order of the enumerators.
enum class Priority { production, high, normal, low };

// How a job ended; `none` while it is open.
enum class Outcome { none, done, cancelled };

// What a user asks for when submitting a job. Resources and image are those of one task.
struct JobSpec {
    std::string id;
    std::string job_class; // the class that service-level objectives are stated for
    std::string team;      // the team whose quota its tasks use
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 0; // number of tasks, indexed from 0
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    std::string image; // container image
    double image_gb = 0;
    std::optional<std::vector<std::string>> types; // allowed instance types; none: any
    std::optional<std::string> zone;               // the only allowed zone; none: any
    bool one_zone = false;                         // all tasks in one zone, whichever it is
    bool spread = false;                           // over several zones, see allows_tasks_in_zone
    bool spot = false;                             // may run on spot machines
    double estimated_run_s = 0;                    // expected run time of one task
    double checkpoint_interval_s = 0; // interval between checkpoints; 0: tasks cannot save
    double save_duration_s = 0;       // time that a task takes to save its state when stopped
    std::optional<double> deadline_s; // counted from the submission

    // Whether `in_zone` tasks may run in one zone: of a spread job, at most half of the tasks,
    // rounded up.
    bool allows_tasks_in_zone(std::uint32_t in_zone) const {
        return !spread || in_zone <= (tasks + 1) / 2;
    }
    // Whether tasks may run on machines of this instance type.
    bool allows_type(const std::string& type) const {
        return !types || std::find(types->begin(), types->end(), type) != types->end();
    }
};

} // namespace scheduler

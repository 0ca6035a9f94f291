// Tracks the attempts to run gangs: which attempt is current, whether it has run and whether it is
// being ended.
//
// Safety rule: a gang has at most one attempt at a time, and the next one begins only when every
// task of the previous attempt is known to be gone.
#pragma once

#include "core/jobs/job_store.h"
#include "core/messaging/messages.h"
#include "core/quotas/quota_ledger.h"

namespace scheduler {

// The grace period in which a task may save its state, as a multiple of the save time of its job.
inline constexpr double kSaveGraceFactor = 2;

// The machines planned for the tasks of a gang, in the order of the tasks.
struct GangPlacement {
    std::vector<std::string> machines;
    std::map<std::string, std::uint32_t> tasks_by_machine;
    std::map<std::string, std::uint32_t> tasks_by_zone;
};

// Returns whether all waiting tasks of the gang fit into the team's quota.
bool gang_fits_quota(const QuotaLedger& quotas, const Job& job);

// Called only from the controller's event loop.
class GangTracker {
  public:
    // `start_timeout_s`: how long the tasks of a gang wait for each other on their machines.
    explicit GangTracker(double start_timeout_s) : start_timeout_s_(start_timeout_s) {}

    struct Attempt {
        std::uint64_t number = 0;
        Time started_at = 0;
        bool has_run = false;  // all tasks have been running at the same time
        bool ending = false;   // its tasks are being stopped, or are exiting
        bool may_save = false; // the stopped tasks may save their state
    };

    // Returns the gang's current attempt, or null if it has none.
    const Attempt* find(const std::string& job) const;
    // Returns whether the waiting tasks of the gang may be placed now: all of them as a new
    // attempt, or the lost ones of an attempt that still waits for them.
    bool may_place(Time now, const Job& job) const;
    // Begins the attempt with the given number.
    void begin(Time now, const std::string& job, std::uint64_t number);
    // Records the attempt of a task that an earlier leader launched. Returns false if the gang
    // already has another attempt.
    bool adopt(Time now, const std::string& job, std::uint64_t number);
    // Records that the attempt has run. Tasks of a gang start together, so one running task implies
    // that all have run.
    void on_task_running(const std::string& job);
    // Marks the attempt as ending. Returns false if it is ending already, or if there is none.
    bool end(const std::string& job, bool may_save);
    // Removes the attempt: none of its tasks is on a machine any more, or the job is over.
    void on_attempt_gone(const std::string& job) { attempts_.erase(job); }
    // Returns the gangs whose attempt can no longer be completed because a member has been missing
    // for too long.
    std::vector<std::string> overdue_gangs(Time now, JobStore& jobs) const;

  private:
    double start_timeout_s_;
    std::map<std::string, Attempt> attempts_;
};

} // namespace scheduler

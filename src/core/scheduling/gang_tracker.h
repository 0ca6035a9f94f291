// The attempts of gangs: which one is current, whether it has run, whether it is being ended.
//
// Safety rule: a gang has one attempt at a time, and the next begins only when every task of the
// one before is known to be gone.
#pragma once

#include "core/jobs/job_store.h"
#include "core/messaging/messages.h"
#include "core/quotas/quota_ledger.h"

namespace scheduler {

// The grace time for saving that a task is given, as a multiple of what its job asks for.
inline constexpr double kSaveGraceFactor = 2;

// Slots found for the tasks of a gang, in the order of the tasks.
struct GangPlacement {
    std::vector<std::string> machines;
    std::map<std::string, std::uint32_t> tasks_by_machine;
    std::map<std::string, std::uint32_t> tasks_by_zone;
};

// Does the team's quota leave room for all tasks of the gang that wait?
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
        bool ending = false;   // its tasks are being stopped, or exit by themselves
        bool may_save = false; // ... and may save first
    };

    // Null if the gang has no attempt.
    const Attempt* find(const std::string& job) const;
    // May the waiting tasks of the gang be placed now: all of them as a new attempt, or the lost
    // ones of an attempt that still waits for them?
    bool may_place(Time now, const Job& job) const;
    // Begins the attempt with this number.
    void begin(Time now, const std::string& job, std::uint64_t number);
    // A task that an earlier leader launched was found. Returns false if it belongs to another
    // attempt.
    bool adopt(Time now, const std::string& job, std::uint64_t number);
    // A task of the attempt was seen to run, so all of them did.
    void on_task_running(const std::string& job);
    // Begins to end the attempt. Returns false if it is being ended already, or if there is none.
    bool end(const std::string& job, bool may_save);
    // None of its tasks is on a machine any more, or the job is over.
    void on_attempt_gone(const std::string& job) { attempts_.erase(job); }
    // The gangs whose attempt can no longer be completed: a member has been missing for too long.
    std::vector<std::string> overdue_gangs(Time now, JobStore& jobs) const;

  private:
    double start_timeout_s_;
    std::map<std::string, Attempt> attempts_;
};

} // namespace scheduler

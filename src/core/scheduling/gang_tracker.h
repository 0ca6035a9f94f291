// The attempts of gangs: which one runs, whether it has run, whether it is being ended.
//
// The rule that this class keeps: a gang has one attempt at a time, and the next begins only when
// every task of the one before is known gone.
#pragma once

#include "core/jobs/job_store.h"
#include "core/model/messages.h"
#include "core/quotas/quota_ledger.h"

namespace scheduler {

// The time to save that a task is given, in times of what it says it needs.
inline constexpr double kSaveGraceFactor = 2;

struct GangPlacement { // slots found for tasks of one shape, in their order
    std::vector<std::string> machines;
    std::map<std::string, std::uint32_t> tasks_by_machine;
    std::map<std::string, std::uint32_t> tasks_by_zone;
};

// Does the team's quota leave room for all tasks of the gang that wait?
bool gang_fits_quota(const QuotaLedger& quotas, const Job& job);

class GangTracker {
  public:
    // `wait_s`: how long the tasks of a gang wait for each other on their machines.
    explicit GangTracker(double wait_s) : start_timeout_s_(wait_s) {}

    struct Attempt {
        std::uint64_t number = 0;
        Time since = 0;
        bool ran = false;    // all tasks were there at some time
        bool ending = false; // its tasks are being stopped, or exit by themselves
        bool saves = false;  // ... and may save first
    };

    const Attempt* find(const std::string& job) const;
    // May tasks of the gang that are on no machine be placed now: all of them as a new attempt, or
    // those lost from one that still waits for them?
    bool may_place(Time now, const Job& job) const;
    void begin(Time now, const std::string& job, std::uint64_t number);
    // A task that an owner before us started. False: it belongs to another attempt.
    bool adopt(Time now, const std::string& job, std::uint64_t number);
    // A task of the attempt was seen to run, so all of them did.
    void on_running(const std::string& job);
    // Ends the attempt. False: it was being ended already, or there is none.
    bool end(const std::string& job, bool saves);
    // None of its tasks is on a machine any more, or the job is over.
    void on_attempt_gone(const std::string& job) { attempts_.erase(job); }
    // Attempts that can be completed no more: a mate is missing for too long.
    std::vector<std::string> overdue(Time now, JobStore& jobs) const;

  private:
    double start_timeout_s_;
    std::map<std::string, Attempt> attempts_;
};

} // namespace scheduler

// Judges what users were told and how they were served, from the history alone: every answer
// against the newest that the user had heard before that request was sent, by whatever node. The
// rules about machines (ran_twice, quota, wrong_place) are the cluster's, which sees them. See
// "Rules" in the protocol.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/messaging/messages.h"

namespace scheduler::test {

class HistoryChecker {
  public:
    enum class RequestKind { submit, poll, cancel };
    // `teams` and `types`: what can run at all.
    HistoryChecker(double cancel_s, std::vector<TeamQuota> teams, std::vector<InstanceType> types);

    // Users.
    void asked(Time now, RequestId request_id, RequestKind what, const std::string& job);
    void submitted(Time now, const JobSpec& spec);
    void answered(Time now, const Response& answer);
    // Users were told so before the history begins, under other settings maybe.
    void record_earlier_response(Time now, const JobSpec& spec, const std::string& stage);

    // Machines: a task has its image and is on its machine from now on; it completed; a cancelled
    // job's task is there at this moment. `left`: when its start left the controller.
    void started(Time now, const TaskId& task, Time left);
    void completed(const TaskId& task);
    void task_on_machine(Time now, const TaskId& task);

    // Every so often: the room that machines have, and what waits. Judged from `faults_ended` on.
    struct FreeCapacity {
        std::string zone;
        bool spot = false;
        const InstanceType* type = nullptr;
        double cpus = 0;
        double gpus = 0;
        double ram_gb = 0;
    };
    struct WaitingJob { // of a job that is open, with tasks that are neither done nor on a machine
        std::string job;
        std::uint32_t waiting = 0;
        std::map<std::string, std::uint32_t> in_zone; // its tasks that are on machines
    };
    // The team's guarantee and limit were changed. What could run under any of its limits so far
    // may have been accepted.
    void configured(const TeamQuota& quota);
    void faults_ended(Time now);
    void observe_capacity(
        Time now, const std::vector<FreeCapacity>& rooms, const std::vector<WaitingJob>& jobs,
        const std::map<std::string, std::pair<double, double>>& used); // cpus, gpus by team

    // What came of it.
    std::vector<std::string> broken; // rules, in words
    // No question about an accepted job that is not over was answered for so long.
    double longest_unanswered(Time now) const;
    // A job waited for so long beside a machine that fits, its team being under its limit, and no
    // task of it started.
    double longest_idle() const { return longest_idle_; }
    const std::string& longest_idle_job() const { return longest_idle_job_; }
    double longest_cancelled() const { return longest_cancelled_; }
    struct LateStarts {               // after the user was told of the cancellation
        int sent_before_response = 0; // the start had left its controller before that ...
        int sent_after_response = 0;  // ... or left it all the same
        double longest_s = 0;         // from the user's answer to the task
        double longest_sent_s = 0;    // ... to the start's leaving
    };
    const LateStarts& late_starts() const { return late_starts_; }

    bool all_done(const std::string& job) const;
    bool knows(const std::string& job) const { return specs_.contains(job); }
    const JobSpec& spec(const std::string& job) const { return specs_.at(job); }
    std::optional<double> seconds_to_first_start(const std::string& job) const;
    // The outcome that its user was told: empty, "done" or "cancelled".
    std::string reported_outcome(const std::string& job) const;
    bool done(const TaskId& task) const;
    // Accepted, and not told to be over.
    std::vector<std::string> open_jobs() const;
    // Classes, teams and the largest jobs of each class (a quarter of its jobs, one at least) of
    // which less than this share is done, or for replicas has been started; jobs that can never run
    // or whose user was told that they are cancelled aside.
    std::vector<std::string> groups_served_below(double shard) const;
    // Of the largest jobs, those that began later than this, or not at all by `now`.
    std::vector<std::string> largest_jobs_started_after(double seconds, Time now) const;

  private:
    struct Told { // to the job's user
        std::string stage;
        Time when = 0;
    };
    struct Request {
        RequestKind what = RequestKind::poll;
        std::string job;
        Time when = 0;
    };
    bool can_run(const JobSpec& spec) const;
    bool counts(const std::string& job) const;
    bool could_start(const WaitingJob& job, const std::vector<FreeCapacity>& rooms,
                     const std::map<std::string, std::pair<double, double>>& used) const;
    std::map<std::string, std::vector<std::string>> largest() const; // by class
    static double work(const JobSpec& spec);

    double cancel_s_;
    std::vector<TeamQuota> quotas_;
    std::vector<TeamQuota> widest_; // with the highest limits that they ever had
    std::vector<InstanceType> types_;
    std::map<RequestId, Request> asked_;
    std::map<std::string, JobSpec> specs_;
    std::map<std::string, Time> submitted_;
    std::map<std::string, Time> accepted_; // a user was first told then
    std::map<std::string, Told> final_;
    std::set<std::string> cancel_asked_;
    std::map<std::string, Time> began_;
    std::map<std::string, std::set<std::uint32_t>> done_;
    std::map<std::string, Time> unanswered_since_;
    bool over_ = false; // the faults
    double longest_unanswered_ = 0;
    std::map<std::string, Time> idle_since_;
    double longest_idle_ = 0;
    std::string longest_idle_job_;
    double longest_cancelled_ = 0;
    LateStarts late_starts_;
};

} // namespace scheduler::test

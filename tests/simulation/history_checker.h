// Checks from the history alone what users were told and how they were served. Each response is
// compared with the newest one that the user had received, from any controller, before the request
// was sent. The rules about machines (ran_twice, quota, wrong_place) are checked by the caller,
// which knows the machines. See "Rules" in the protocol.
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
    // `teams` and `types` decide which jobs can run at all.
    HistoryChecker(double cancel_s, std::vector<TeamQuota> teams, std::vector<InstanceType> types);

    // Events of users.
    void asked(Time now, RequestId request_id, RequestKind kind, const std::string& job);
    void submitted(Time now, const JobSpec& spec);
    void answered(Time now, const Response& response);
    // Records a stage that the user was told before the history begins, maybe under other settings.
    void record_earlier_response(Time now, const JobSpec& spec, const std::string& stage);

    // Events of machines. started(): the task has its image and is on its machine from now on; its
    // start command left the controller at `sent_at`. task_on_machine(): the task is on a machine
    // at this moment, which is checked if its job is cancelled.
    void started(Time now, const TaskId& task, Time sent_at);
    void completed(const TaskId& task);
    void task_on_machine(Time now, const TaskId& task);

    // Capacity left on machines and jobs that wait, observed at intervals and checked from
    // faults_ended() on.
    struct FreeCapacity {
        std::string zone;
        bool spot = false;
        const InstanceType* type = nullptr;
        double cpus = 0;
        double gpus = 0;
        double ram_gb = 0;
    };
    // A job that is not over, with tasks that are neither done nor on a machine.
    struct WaitingJob {
        std::string job;
        std::uint32_t waiting = 0;
        std::map<std::string, std::uint32_t> in_zone; // tasks that are on machines, by zone
    };
    // Records a change of the team's guarantee and limit. A job that fits any limit the team had so
    // far may have been accepted.
    void configured(const TeamQuota& quota);
    void faults_ended(Time now);
    void observe_capacity(
        Time now, const std::vector<FreeCapacity>& free_capacity,
        const std::vector<WaitingJob>& jobs,
        const std::map<std::string, std::pair<double, double>>& used); // CPUs and GPUs, by team

    // Results.
    std::vector<std::string> broken; // broken rules, in words
    // Returns the longest time without a response to a status read of an accepted job that was not
    // over.
    double longest_unanswered(Time now) const;
    // Returns the longest time that a job waited, with no task started, while a machine had
    // capacity for it and its team was under its limit.
    double longest_idle() const { return longest_idle_; }
    const std::string& longest_idle_job() const { return longest_idle_job_; }
    double longest_cancelled() const { return longest_cancelled_; }
    // Starts after the user was told of the cancellation.
    struct LateStarts {
        int sent_before_response = 0; // commands sent before that response
        int sent_after_response = 0;  // commands sent after that response
        double longest_s = 0;         // from the response to the start of the task
        double longest_sent_s = 0;    // from the response to the sending of the command
    };
    const LateStarts& late_starts() const { return late_starts_; }

    bool all_done(const std::string& job) const;
    bool knows(const std::string& job) const { return specs_.contains(job); }
    const JobSpec& spec(const std::string& job) const { return specs_.at(job); }
    std::optional<double> seconds_to_first_start(const std::string& job) const;
    // Returns the final stage that the user was told: empty, "done" or "cancelled".
    std::string reported_outcome(const std::string& job) const;
    bool done(const TaskId& task) const;
    // Returns the accepted jobs whose users were not told that they are over.
    std::vector<std::string> open_jobs() const;
    // Returns the classes, the teams, and per class the group of its largest jobs (a quarter of its
    // jobs, at least one), of which less than this share is served: done, or for services started.
    // Jobs that can never run and jobs whose user was told that they are cancelled are not counted.
    std::vector<std::string> groups_served_below(double min_share) const;
    // Returns those of the largest jobs that started later than this, or that have not started by
    // `now`.
    std::vector<std::string> largest_jobs_started_after(double seconds, Time now) const;

  private:
    // The stage that the user was told.
    struct ReportedStage {
        std::string stage;
        Time when = 0;
    };
    struct Request {
        RequestKind kind = RequestKind::poll;
        std::string job;
        Time when = 0;
    };
    bool can_run(const JobSpec& spec) const;
    bool should_be_served(const std::string& job) const;
    bool could_start(const WaitingJob& job, const std::vector<FreeCapacity>& free_capacity,
                     const std::map<std::string, std::pair<double, double>>& used) const;
    std::map<std::string, std::vector<std::string>> largest_jobs() const; // by class
    static double work(const JobSpec& spec);

    double cancel_s_;
    std::vector<TeamQuota> quotas_;
    std::vector<TeamQuota> highest_quotas_; // with the highest limits that each team had so far
    std::vector<InstanceType> types_;
    std::map<RequestId, Request> requests_;
    std::map<std::string, JobSpec> specs_;
    std::map<std::string, Time> submitted_;
    std::map<std::string, Time> accepted_; // when a user was first told that the job is accepted
    std::map<std::string, ReportedStage> final_stages_;
    std::set<std::string> cancel_requested_;
    std::map<std::string, Time> first_starts_;
    std::map<std::string, std::set<std::uint32_t>> done_;
    std::map<std::string, Time> unanswered_since_;
    bool faults_ended_ = false; // faults_ended() was called
    double longest_unanswered_ = 0;
    std::map<std::string, Time> idle_since_;
    double longest_idle_ = 0;
    std::string longest_idle_job_;
    double longest_cancelled_ = 0;
    LateStarts late_starts_;
};

} // namespace scheduler::test

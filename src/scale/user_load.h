// The load that the users of a region generate.
#pragma once

#include <map>
#include <string>

#include "scale/counters.h"
#include "scale/event_loop.h"
#include "scale/history.h"
#include "scale/job_client.h"
#include "scale/load_balancer.h"
#include "scale/plan.h"
#include "scale/quota_changer.h"

namespace scheduler::scale {

// Submits the jobs of the plan, polls them until they are over, cancels and repeats some. First the
// jobs that fill the region; once half of the tasks run, jobs at the plan's rate. Runs an event
// loop in the calling thread.
class UserLoad {
  public:
    // Throws ScaleTestError if the history cannot be written.
    UserLoad(const Plan& plan, Counters& counters, const std::string& history);

    // Runs until SIGTERM.
    void run();

  private:
    struct Job {
        bool accepted = false;
        bool over = false;
        bool submitted_twice = false; // its submission is repeated later
        bool cancelled = false;       // by its user, some time after it was accepted
    };
    // Arrivals of one kind at a constant rate.
    struct Arrivals {
        Time next = 0;
        int submitted = 0;
    };

    void step();
    void submit_initial_jobs();
    void start_arrivals_when_filled(Time at);
    void submit_arrivals(Time at);
    void poll_never_submitted(Time at);
    void submit(Plan::JobKind kind, int number);
    void send(Event::Kind kind, const std::string& id, JobClient::Handler on_response);
    void send_with_retries(Event::Kind kind, const std::string& id, Time first_sent);
    void on_retried_response(Event::Kind kind, const std::string& id, Time first_sent,
                             const JobResponse& response);
    void give_up(Event::Kind kind, const std::string& id);
    void on_stage(Event::Kind kind, const std::string& id, const std::string& stage);
    void on_accepted(const std::string& id, Job& job);
    void poll(const std::string& id);

    const Plan& plan_;
    Counters& counters_;
    HistoryWriter history_;
    EventLoop loop_;
    LoadBalancer balancer_;
    JobClient client_;
    QuotaChanger quota_changer_;
    std::map<std::string, Job> jobs_; // by id
    Time started_at_ = 0;
    bool initial_jobs_submitted_ = false;
    bool arrivals_started_ = false;
    Arrivals ordinary_;
    Arrivals urgent_;
    Arrivals never_submitted_; // polls for jobs that were never submitted
};

} // namespace scheduler::scale

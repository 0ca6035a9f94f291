#include "scale/user_load.h"

#include <algorithm>
#include <utility>

#include "scale/clock.h"
#include "scale/simulators.h"

namespace scheduler::scale {

namespace {
constexpr double kStepInterval_s = 0.02;
constexpr double kPollInterval_s = 5;
constexpr double kRequestTimeout_s = 60; // counted from the first attempt
constexpr double kShortestRetry_s = 1;
constexpr double kLongestRetry_s = 30;
constexpr double kUrgentInterval_s = 1;
constexpr double kNeverSubmittedInterval_s = 7;
constexpr double kFilledFraction =
    0.5; // of the tasks run before arrivals start at the rate at which tasks end
constexpr double kRepeatAfter_s = 4;
constexpr double kCancelAfter_s = 3;

// Which jobs of a kind are submitted twice or cancelled, by their numbers.
constexpr int kRepeatedOf = 10;
constexpr int kRepeatedRemainder = 3;
constexpr int kCancelledOf = 20;
constexpr int kCancelledRemainder = 7;

bool accepted_status(int status) { return status == kHttpOk || status == kHttpCreated; }

// Returns whether the request is invalid, so that it is not retried.
bool rejected_status(int status) {
    return status == kHttpBadRequest || status == kHttpUnprocessable || status == kHttpNotFound;
}
} // namespace

UserLoad::UserLoad(const Plan& plan, Counters& counters, const std::string& history)
    : plan_(plan), counters_(counters), history_(history), balancer_(loop_, plan),
      client_(loop_, plan, balancer_, counters, history_),
      quota_changer_(loop_, plan, counters, history_) {}

void UserLoad::run() {
    balancer_.start();
    loop_.every(kStepInterval_s, [this] { step(); });
    quota_changer_.start();
    balancer_.probe();
    started_at_ = now();
    never_submitted_.next = started_at_ + kNeverSubmittedInterval_s;
    loop_.run();
}

void UserLoad::step() {
    Time at = now();
    if (!balancer_.any_healthy()) {
        return;
    }
    if (!initial_jobs_submitted_) {
        initial_jobs_submitted_ = true;
        submit_initial_jobs();
    }
    start_arrivals_when_filled(at);
    if (arrivals_started_) {
        submit_arrivals(at);
    }
    poll_never_submitted(at);
}

void UserLoad::submit_initial_jobs() {
    for (int n = 0; n < plan_.options().waiting; ++n) {
        submit(Plan::JobKind::waiting, n);
    }
    for (int n = 0; n < plan_.fill_jobs(); ++n) {
        submit(Plan::JobKind::fill, n);
    }
}

void UserLoad::start_arrivals_when_filled(Time at) {
    bool filled = double(counters_.running) >= kFilledFraction * plan_.tasks();
    bool waited_enough = at - started_at_ > plan_.options().fill_s;
    if (!arrivals_started_ && (filled || waited_enough)) {
        arrivals_started_ = true;
        quota_changer_.enable();
        ordinary_.next = at;
        urgent_.next = at;
    }
}

void UserLoad::submit_arrivals(Time at) {
    if (at >= ordinary_.next) {
        ordinary_.next += plan_.ordinary_job_interval_s();
        submit(Plan::JobKind::ordinary, ordinary_.submitted++);
    }
    if (at >= urgent_.next) {
        urgent_.next += kUrgentInterval_s;
        submit(Plan::JobKind::urgent, urgent_.submitted++);
    }
}

// No controller may report such a job as known.
void UserLoad::poll_never_submitted(Time at) {
    if (at < never_submitted_.next) {
        return;
    }
    never_submitted_.next = at + kNeverSubmittedInterval_s;
    std::string id = plan_.job_id(Plan::JobKind::never_submitted, never_submitted_.submitted++);
    send(Event::Kind::poll, id, [](const JobResponse&) {});
}

void UserLoad::submit(Plan::JobKind kind, int number) {
    std::string id = plan_.job_id(kind, number);
    Job& job = jobs_[id];
    job.submitted_twice = number % kRepeatedOf == kRepeatedRemainder;
    job.cancelled = kind == Plan::JobKind::ordinary && number % kCancelledOf == kCancelledRemainder;
    ++counters_.jobs_open;
    send_with_retries(Event::Kind::submit, id, now());
}

void UserLoad::send(Event::Kind kind, const std::string& id, JobClient::Handler on_response) {
    client_.send(kind, id,
                 [this, kind, id, on_response = std::move(on_response)](const JobResponse& r) {
                     if (!r.stage.empty()) {
                         on_stage(kind, id, r.stage);
                     }
                     on_response(r);
                 });
}

// Retries until there is a response about this job or the request has timed out.
void UserLoad::send_with_retries(Event::Kind kind, const std::string& id, Time first_sent) {
    send(kind, id, [this, kind, id, first_sent](const JobResponse& response) {
        on_retried_response(kind, id, first_sent, response);
    });
}

void UserLoad::on_retried_response(Event::Kind kind, const std::string& id, Time first_sent,
                                   const JobResponse& response) {
    if (accepted_status(response.status)) {
        return;
    }
    double wait_s = std::clamp(response.retry_after_s, kShortestRetry_s, kLongestRetry_s);
    bool timed_out = now() + wait_s > first_sent + kRequestTimeout_s;
    if (rejected_status(response.status) || timed_out) {
        give_up(kind, id);
        return;
    }
    loop_.after(wait_s, [this, kind, id, first_sent] { send_with_retries(kind, id, first_sent); });
}

void UserLoad::give_up(Event::Kind kind, const std::string& id) {
    ++counters_.given_up;
    Job& job = jobs_[id];
    if (kind == Event::Kind::submit && !job.accepted) {
        job.over = true;
        --counters_.jobs_open;
    }
}

void UserLoad::on_stage(Event::Kind kind, const std::string& id, const std::string& stage) {
    Job& job = jobs_[id];
    if (kind == Event::Kind::submit && !job.accepted) {
        on_accepted(id, job);
    }
    if ((stage == "done" || stage == "cancelled") && !job.over) {
        job.over = true;
        --counters_.jobs_open;
    }
}

void UserLoad::on_accepted(const std::string& id, Job& job) {
    job.accepted = true;
    ++counters_.accepted;
    loop_.after(kPollInterval_s, [this, id] { poll(id); });
    if (job.submitted_twice) {
        loop_.after(kRepeatAfter_s,
                    [this, id] { send_with_retries(Event::Kind::submit, id, now()); });
    }
    if (job.cancelled) {
        loop_.after(kCancelAfter_s,
                    [this, id] { send_with_retries(Event::Kind::cancel, id, now()); });
    }
}

// Polls at intervals until the job is over, and once more to check that it stays over.
void UserLoad::poll(const std::string& id) {
    bool last = jobs_[id].over;
    send(Event::Kind::poll, id, [](const JobResponse&) {});
    if (!last) {
        loop_.after(kPollInterval_s, [this, id] { poll(id); });
    }
}

void run_users(const Plan& plan, Counters& counters, const std::string& history) {
    UserLoad(plan, counters, history).run();
}

} // namespace scheduler::scale

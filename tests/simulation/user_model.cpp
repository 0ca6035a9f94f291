#include "simulation/user_model.h"

#include <utility>
#include <vector>

#include "simulation/cluster_setup.h"

namespace scheduler::test {

namespace {
constexpr double kPollIntervalS = 5;
// More CPUs than any machine has.
constexpr double kUnsatisfiableCpus = 1000;
} // namespace

UserModel::UserModel(const SimulationOptions& options, const RandomFaults& random_faults,
                     EventQueue& clock, RandomSource& random, MessageCopies& copies,
                     PendingRequests& requests, ControllerModel& controllers,
                     HistoryChecker& history_checker)
    : options_(options), random_faults_(random_faults), clock_(clock), random_(random),
      copies_(copies), requests_(requests), controllers_(controllers),
      history_checker_(history_checker) {}

int UserModel::any_controller() {
    return static_cast<int>(random_.index(static_cast<std::size_t>(controllers_.count())));
}

RequestId UserModel::submit(int controller, const JobSpec& spec) {
    history_checker_.submitted(clock_.now(), spec);
    return send_request(controller, HistoryChecker::RequestKind::submit, spec.id);
}

RequestId UserModel::poll(int controller, const std::string& job) {
    return send_request(controller, HistoryChecker::RequestKind::poll, job);
}

RequestId UserModel::cancel(int controller, const std::string& job) {
    return send_request(controller, HistoryChecker::RequestKind::cancel, job);
}

RequestId UserModel::send_request(int controller, HistoryChecker::RequestKind kind,
                                  const std::string& job) {
    RequestId request_id = requests_.next();
    send_request(request_id, controller, kind, job);
    return request_id;
}

void UserModel::send_follow_up(int controller, HistoryChecker::RequestKind kind,
                               const std::string& job) {
    RequestId request_id = requests_.next();
    follow_up_requests_.insert(request_id); // before sending, as the response may come at once
    send_request(request_id, controller, kind, job);
}

void UserModel::send_request(RequestId request_id, int controller, HistoryChecker::RequestKind kind,
                             const std::string& job) {
    history_checker_.asked(clock_.now(), request_id, kind, job);
    deliver(request_id, controller, kind, job);
    copies_.carried_out([this, controller, kind, job] {
        deliver(requests_.expect([](const Response&, Time) {}), controller, kind, job);
    });
}

void UserModel::deliver(RequestId request_id, int controller, HistoryChecker::RequestKind kind,
                        const std::string& job) {
    if (kind == HistoryChecker::RequestKind::submit) {
        controllers_.input(controller, SubmitJob{request_id, history_checker_.spec(job)});
    } else if (kind == HistoryChecker::RequestKind::poll) {
        controllers_.input(controller, PollJob{request_id, job});
    } else {
        controllers_.input(controller, CancelJob{request_id, job});
    }
}

int UserModel::probe_readiness(int controller) {
    RequestId request_id = requests_.next();
    controllers_.input(controller, ReadinessProbe{request_id});
    return answers.at(request_id).status;
}

void UserModel::answered(const Response& response) {
    history_checker_.answered(clock_.now(), response);
    if (const auto* job = std::get_if<JobStatusBody>(&response.body)) {
        bool is_follow_up = follow_up_requests_.contains(response.request_id);
        status_reads_answered_ += is_follow_up;
        bool is_news =
            response.status == 201 || !history_checker_.reported_outcome(job->id).empty();
        if (is_news && !is_follow_up && random_.fault(random_faults_.concurrent_status_reads)) {
            send_concurrent_status_reads(job->id);
        }
    }
    answers[response.request_id] = response;
}

void UserModel::send_concurrent_status_reads(const std::string& job) {
    for (double after_s : {0.001, 0.004, 0.02, 0.1}) {
        clock_.after(after_s, [this, job] {
            for (int controller = 0; controller < controllers_.count(); ++controller) {
                send_follow_up(controller, HistoryChecker::RequestKind::poll, job);
                send_follow_up(controller, HistoryChecker::RequestKind::submit, job);
            }
        });
    }
    if (random_.chance(0.25)) {
        clock_.after(0.002, [this, job] {
            send_follow_up(any_controller(), HistoryChecker::RequestKind::cancel, job);
        });
    }
}

void UserModel::send_edge_case_requests(const std::string& job) {
    int controller = any_controller();
    send_follow_up(controller, HistoryChecker::RequestKind::submit, job);
    if (history_checker_.reported_outcome(job) == "done") {
        send_follow_up(controller, HistoryChecker::RequestKind::cancel, job);
    }
    JobSpec unfit = usual_job(options_, job + "99999", 1, kUnsatisfiableCpus);
    submit(controller, unfit);
    unfit.id += "9";
    unfit.cpus = 1;
    unfit.types = {"none"};
    submit(controller, unfit);
    unfit.id += "9";
    unfit.types.reset();
    unfit.team = "nobody";
    submit(controller, unfit);
}

void UserModel::task_completed(const TaskId& task) {
    history_checker_.completed(task);
    if (history_checker_.all_done(task.job) && random_.fault(random_faults_.cancel_at_end)) {
        double within_s = random_.uniform(0, 2 * options_.report_s);
        bool wait = random_.chance(0.5);
        clock_.after(wait ? within_s : 0,
                     [this, job = task.job] { cancel(any_controller(), job); });
    }
}

bool UserModel::start_polling() {
    if (std::exchange(polling_, true)) {
        return false;
    }
    clock_.after(0, [this] { poll_open_jobs(); });
    clock_.every(kPollIntervalS, [this] { poll_open_jobs(); });
    return true;
}

void UserModel::poll_open_jobs() {
    std::vector<int> ready;
    for (int controller = 0; controller < controllers_.count(); ++controller) {
        if (controllers_.awake(controller) && probe_readiness(controller) == 200) {
            ready.push_back(controller);
        }
    }
    for (const auto& job : history_checker_.open_jobs()) {
        if (!ready.empty()) {
            poll(ready[random_.index(ready.size())], job);
        }
    }
}

} // namespace scheduler::test

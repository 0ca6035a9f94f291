/// @file
/// The users: see user_model.h.
#include "simulation/user_model.h"

#include <utility>
#include <vector>

#include "simulation/cluster_setup.h"

namespace scheduler::test {

namespace {
constexpr double kAskEveryS = 5;
/// More CPUs than any machine has.
constexpr double kUnfitCpus = 1000;
} // namespace

UserModel::UserModel(const SimulationOptions& options, const RandomFaults& random_faults,
                     EventQueue& clock, RandomSource& random, PendingRequests& requests,
                     ControllerModel& controllers, HistoryChecker& history_checker)
    : options_(options), troubles_(random_faults), clock_(clock), random_(random),
      requests_(requests), controllers_(controllers), history_checker_(history_checker) {}

int UserModel::any_controller() {
    return static_cast<int>(random_.index(static_cast<std::size_t>(controllers_.count())));
}

RequestId UserModel::submit(int controller, const JobSpec& spec) {
    history_checker_.submitted(clock_.now(), spec);
    return ask(controller, HistoryChecker::RequestKind::submit, spec.id);
}

RequestId UserModel::poll(int controller, const std::string& job) {
    return ask(controller, HistoryChecker::RequestKind::poll, job);
}

RequestId UserModel::cancel(int controller, const std::string& job) {
    return ask(controller, HistoryChecker::RequestKind::cancel, job);
}

RequestId UserModel::ask(int controller, HistoryChecker::RequestKind what, const std::string& job) {
    RequestId request_id = requests_.next();
    ask(request_id, controller, what, job);
    return request_id;
}

void UserModel::ask_closely(int controller, HistoryChecker::RequestKind what,
                            const std::string& job) {
    RequestId request_id = requests_.next();
    looks_.insert(request_id); // it may be answered at once
    ask(request_id, controller, what, job);
}

void UserModel::ask(RequestId request_id, int controller, HistoryChecker::RequestKind what,
                    const std::string& job) {
    history_checker_.asked(clock_.now(), request_id, what, job);
    if (what == HistoryChecker::RequestKind::submit) {
        controllers_.input(controller, SubmitJob{request_id, history_checker_.spec(job)});
    } else if (what == HistoryChecker::RequestKind::poll) {
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

void UserModel::answered(const Response& answer) {
    history_checker_.answered(clock_.now(), answer);
    if (const auto* job = std::get_if<JobStatusBody>(&answer.body)) {
        bool close_look = looks_.contains(answer.request_id);
        looks_answered_ += close_look;
        bool news = answer.status == 201 || !history_checker_.reported_outcome(job->id).empty();
        if (news && !close_look && random_.fault(troubles_.concurrent_status_reads)) {
            look_closely(job->id);
        }
    }
    answers[answer.request_id] = answer;
}

void UserModel::look_closely(const std::string& job) {
    for (double after_s : {0.001, 0.004, 0.02, 0.1}) {
        clock_.after(after_s, [this, job] {
            for (int controller = 0; controller < controllers_.count(); ++controller) {
                ask_closely(controller, HistoryChecker::RequestKind::poll, job);
                ask_closely(controller, HistoryChecker::RequestKind::submit, job);
            }
        });
    }
    if (random_.chance(0.25)) {
        clock_.after(0.002, [this, job] {
            ask_closely(any_controller(), HistoryChecker::RequestKind::cancel, job);
        });
    }
}

void UserModel::send_edge_case_requests(const std::string& job) {
    int controller = any_controller();
    ask_closely(controller, HistoryChecker::RequestKind::submit, job);
    if (history_checker_.reported_outcome(job) == "done") {
        ask_closely(controller, HistoryChecker::RequestKind::cancel, job);
    }
    JobSpec unfit = usual_job(options_, job + "99999", 1, kUnfitCpus);
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
    if (history_checker_.all_done(task.job) && random_.fault(troubles_.cancel_at_end)) {
        double within_s = random_.uniform(0, 2 * options_.report_s);
        bool wait = random_.chance(0.5);
        clock_.after(wait ? within_s : 0,
                     [this, job = task.job] { cancel(any_controller(), job); });
    }
}

bool UserModel::start_asking() {
    if (std::exchange(asking_, true)) {
        return false;
    }
    clock_.after(0, [this] { ask_all(); });
    clock_.every(kAskEveryS, [this] { ask_all(); });
    return true;
}

void UserModel::ask_all() {
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

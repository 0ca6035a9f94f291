/// @file
/// The users: what they ask of controllers, and the answers that they get.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "core/messaging/messages.h"
#include "simulation/controller_model.h"
#include "simulation/event_queue.h"
#include "simulation/history_checker.h"
#include "simulation/options.h"
#include "simulation/pending_requests.h"
#include "simulation/random_source.h"

namespace scheduler::test {

/// Sends users' requests, tells the history checker of them and of the answers.
class UserModel {
  public:
    UserModel(const SimulationOptions& options, const RandomFaults& random_faults,
              EventQueue& clock, RandomSource& random, PendingRequests& requests,
              ControllerModel& controllers, HistoryChecker& history_checker);

    RequestId submit(int controller, const JobSpec& spec);
    RequestId poll(int controller, const std::string& job);
    RequestId cancel(int controller, const std::string& job);
    /// What a health check gets now: a status.
    int probe_readiness(int controller);
    /// A repeated submission, a cancellation of a job that is done, jobs that can never run.
    void send_edge_case_requests(const std::string& job);
    /// From now on users ask for each open job every 5 s, at a controller that is ready. Returns
    /// whether they did not so far.
    bool start_asking();

    /// A controller answered a user's request.
    void answered(const Response& answer);
    /// A task has completed; its job's user may call the job off at the end of the last one.
    void task_completed(const TaskId& task);

    /// Of the requests of close looks and odd ones, those that were answered with a job's stage.
    std::size_t status_reads_answered() const { return looks_answered_; }
    /// The answers so far, by request.
    std::map<RequestId, Response> answers;

  private:
    /// A request that leads to no further close look.
    void ask_closely(int controller, HistoryChecker::RequestKind what, const std::string& job);
    void ask(RequestId request_id, int controller, HistoryChecker::RequestKind what,
             const std::string& job);
    RequestId ask(int controller, HistoryChecker::RequestKind what, const std::string& job);
    /// At all controllers within milliseconds: a poll, the submission once more; sometimes a
    /// cancellation.
    void look_closely(const std::string& job);
    void ask_all();
    int any_controller();

    const SimulationOptions& options_;
    const RandomFaults& troubles_;
    EventQueue& clock_;
    RandomSource& random_;
    PendingRequests& requests_;
    ControllerModel& controllers_;
    HistoryChecker& history_checker_;
    bool asking_ = false;
    /// Requests that led to no further ones.
    std::set<RequestId> looks_;
    std::size_t looks_answered_ = 0;
};

} // namespace scheduler::test

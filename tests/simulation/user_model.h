// The users: their requests to controllers and the responses that they get.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "core/messaging/messages.h"
#include "simulation/controller_model.h"
#include "simulation/event_queue.h"
#include "simulation/history_checker.h"
#include "simulation/message_copies.h"
#include "simulation/options.h"
#include "simulation/pending_requests.h"
#include "simulation/random_source.h"

namespace scheduler::test {

// Sends the requests of users, and passes them and the responses to the history checker.
class UserModel {
  public:
    UserModel(const SimulationOptions& options, const RandomFaults& random_faults,
              EventQueue& clock, RandomSource& random, MessageCopies& copies,
              PendingRequests& requests, ControllerModel& controllers,
              HistoryChecker& history_checker);

    RequestId submit(int controller, const JobSpec& spec);
    RequestId poll(int controller, const std::string& job);
    RequestId cancel(int controller, const std::string& job);
    // Returns the status of a readiness probe.
    int probe_readiness(int controller);
    // Sends a repeated submission, a cancellation if the job is done, and submissions that can
    // never run.
    void send_edge_case_requests(const std::string& job);
    // From now on users poll each open job every 5 s, at a controller that is ready. Returns false
    // if they did so already.
    bool start_polling();

    // Called when a controller responds to a user's request.
    void answered(const Response& response);
    // Called when a task completes. At the last one the job's user may cancel the job.
    void task_completed(const TaskId& task);

    // Number of requests of concurrent status reads and edge cases that got the job's stage as
    // response.
    std::size_t status_reads_answered() const { return status_reads_answered_; }
    // All responses so far, by request.
    std::map<RequestId, Response> answers;

  private:
    // Sends a request that does not lead to further concurrent status reads.
    void send_follow_up(int controller, HistoryChecker::RequestKind kind, const std::string& job);
    void send_request(RequestId request_id, int controller, HistoryChecker::RequestKind kind,
                      const std::string& job);
    RequestId send_request(int controller, HistoryChecker::RequestKind kind,
                           const std::string& job);
    // Sends status reads and repeated submissions to all controllers within milliseconds, and
    // sometimes a cancellation.
    void send_concurrent_status_reads(const std::string& job);
    // Passes the request to the controller now, as a new one with this ID.
    void deliver(RequestId request_id, int controller, HistoryChecker::RequestKind kind,
                 const std::string& job);
    void poll_open_jobs();
    int any_controller();

    const SimulationOptions& options_;
    const RandomFaults& random_faults_;
    EventQueue& clock_;
    RandomSource& random_;
    MessageCopies& copies_;
    PendingRequests& requests_;
    ControllerModel& controllers_;
    HistoryChecker& history_checker_;
    bool polling_ = false;
    // Requests that do not lead to further ones.
    std::set<RequestId> follow_up_requests_;
    std::size_t status_reads_answered_ = 0;
};

} // namespace scheduler::test

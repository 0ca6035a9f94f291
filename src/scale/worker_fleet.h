// The hollow workers of a region: thousands in one process, each with an address of its own.
#pragma once

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "scale/counters.h"
#include "scale/history.h"
#include "scale/hollow_worker.h"
#include "scale/http_client.h"
#include "scale/http_server.h"
#include "scale/late_copies.h"
#include "scale/plan.h"

namespace scheduler::scale {

// Boots the workers of the plan, sends their heartbeats, passes the controllers' commands to them,
// and boots and terminates workers at the cloud's request. Runs an event loop in the calling
// thread.
class WorkerFleet {
  public:
    // Throws ScaleTestError if the history cannot be written or an address cannot be listened on.
    WorkerFleet(const Plan& plan, Counters& counters, const std::string& history);

    // Runs until SIGTERM.
    void run();

  private:
    struct Machine { // one that is up
        HollowWorker worker;
        evhttp_bound_socket* socket = nullptr;
        int controller = 0; // receives the next heartbeat
        bool heartbeat_in_flight = false;
        Time last_sent = kLongAgo;
        Time heartbeat_due = 0;        // when the next periodic heartbeat is due
        Time heartbeat_not_before = 0; // earliest time of any heartbeat
        Time queued = kNotQueued;      // the time of its valid entry in the queue
    };
    // An entry of the queue. Stale if its time differs from the machine's `queued`.
    struct Wakeup {
        Time time = 0;
        int worker = 0;
        auto operator<=>(const Wakeup&) const = default;
    };
    static constexpr Time kLongAgo = -1e9;
    static constexpr Time kNotQueued = -1;

    HollowWorker::Environment environment();
    double random_between(double from, double to);
    void record(Time at, Event::Kind kind, const std::string& machine, const TaskId& task,
                std::uint64_t attempt = 0);
    void on_attempt_begun(Time at, const std::string& machine, const TaskId& task,
                          std::uint64_t attempt, bool refused);

    void boot(int worker, double first_heartbeat_s);
    void terminate(int worker);
    void terminate_random_workers();

    Time next_heartbeat_time(const Machine& machine) const;
    void queue_wakeup(int worker, Machine& machine);
    void step();
    void wake(Time at, const Wakeup& wakeup);

    void send_heartbeat(Time at, int worker, Machine& machine);
    void on_heartbeat_response(int worker, std::uint64_t agent_epoch, Time sent,
                               const HttpResponse& response);
    void on_heartbeat_accepted(Time at, Machine& machine, std::uint64_t agent_epoch, Time sent,
                               const std::string& body);
    void on_heartbeat_rejected(Time at, Machine& machine, const HttpResponse& response);
    void try_next_controller(Time at, Machine& machine);
    // Returns the controller's number, or -1 if no controller has this name.
    int controller_number(const std::string& name) const;

    void on_direct_command(const HttpServerRequest& request, Responder to);
    void deliver_copy(int worker, const DirectCommands& direct);
    void on_cloud_command(const HttpServerRequest& request, Responder to);

    const Plan& plan_;
    Counters& counters_;
    HistoryWriter history_;
    std::mt19937_64 random_;
    InstanceType type_;
    EventLoop loop_;
    HollowWorker::Environment environment_;
    std::map<int, Machine> machines_;    // by the worker's number
    std::map<std::string, int> by_host_; // the worker's number
    std::set<TaskId> completed_;
    // No job of a plan is a gang, so an attempt number belongs to one launch.
    std::set<std::uint64_t> begun_attempts_;
    LateCopies copies_;
    std::priority_queue<Wakeup, std::vector<Wakeup>, std::greater<>> wakeups_;
    HttpServer command_server_; // for the controllers
    HttpServer cloud_server_;   // for the cloud
};

} // namespace scheduler::scale

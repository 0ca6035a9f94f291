// A worker without its machine: what it keeps for control, by the protocol; its tasks are timers.
// On a clock that is handed in, without sockets.
#pragma once

#include <functional>
#include <set>

#include "scale/messages.h"

namespace scheduler::scale {

class HollowWorker {
  public:
    struct Surroundings {
        std::function<std::optional<JobSpec>(const std::string& job)> job;
        std::function<double(const TaskId&)> run_s;
        std::function<bool(const TaskId&)> completed; // on whatever machine, before
        // The task has its image: it is on the machine from now on. It is not any more.
        std::function<void(Time, const std::string& machine, const TaskId&)> came;
        std::function<void(Time, const std::string& machine, const TaskId&, bool done)> went;
    };
    struct Identity {
        std::string name;
        std::string endpoint;
        std::string zone;
        bool spot = false;
    };
    HollowWorker(Time now, Identity identity, const InstanceType& type, double lease_s,
                 const Surroundings& surroundings);

    const std::string& name() const { return identity_.name; }
    const std::string& endpoint() const { return identity_.endpoint; }
    std::uint64_t session() const { return session_; }
    bool changed() const { return changed_; }
    std::size_t tasks() const { return tasks_.size(); }

    // For the next report, or the answer to a direct command. `sent`: it counts as a report.
    Heartbeat report(Time now, bool sent);
    // Answered with 200. False: dropped, by its token or its session.
    bool answered(Time now, std::uint64_t session, Time sent, const ReportReply& reply);
    // The status of a direct command.
    int order(Time now, const DirectOrders& orders);
    // Images that arrived and tasks that ended by now; a lease that is over.
    void advance(Time now);
    // When `advance` has something to do next.
    Time next() const;
    // The machine and all on it is gone.
    void die(Time now);

  private:
    using Key = std::pair<TaskId, std::uint64_t>; // with the attempt
    struct Task {
        TaskStage stage = TaskStage::fetching;
        ExitReason why = ExitReason::none;
        Time until = 0; // of the fetch, then of the run
        double cpus = 0;
        double ram_gb = 0;
        std::string image;
    };
    void execute(Time now, const std::vector<WorkerCommand>& commands);
    void start(Time now, const WorkerCommand& command);
    bool occupied(const TaskId& task) const;
    void exit(Time now, const TaskId& ref, Task& task, ExitReason why);
    void drop_all(Time now);

    Identity identity_;
    InstanceType type_;
    double lease_s_;
    const Surroundings& around_;
    std::map<Key, Task> tasks_;
    std::set<std::string> images_;
    double cpus_ = 0;
    double ram_gb_ = 0;
    std::uint64_t session_ = 1;
    std::uint64_t tick_ = 0;
    std::uint64_t token_ = 0;
    Time lease_from_;
    Time token_told_ = -1e9; // a higher one counted as a change then
    bool changed_ = true;
};

} // namespace scheduler::scale

// A partition leader's state of each machine: its agent epoch, its heartbeats, and the tasks that
// may be running on it.
//
// Safety rule: a placement is removed only when it is certain that the task is no longer on the
// machine and will not start there. See docs/design.md, "Never twice".
#pragma once

#include <set>

#include "core/leadership/leadership_lease.h"
#include "core/messaging/messages.h"
#include "core/model/shards.h"

namespace scheduler {

// A task that may be on a machine, and the resources that it takes there.
struct Placement {
    // How far the launch has got. It decides what can prove that the task is not on the machine.
    enum class LaunchState {
        queued,             // not sent yet
        heartbeat_response, // sent in a heartbeat response: resolved by the next heartbeat
        direct_command,     // sent directly: resolved by the response, or by a heartbeat under a
                            // higher fencing token
        reported            // the task has been reported in a heartbeat
    };
    std::uint64_t attempt = 0;
    LaunchState launch_state = LaunchState::queued;
    // The token that the start was, or may have been, sent under directly; 0: it was sent in a
    // heartbeat response only.
    std::uint64_t fencing_token = 0;
    std::uint64_t heartbeat_sequence = 0;  // heartbeat_response: the heartbeat responded to
    OutboundRequestId command_request = 0; // direct_command: the request that contains it
    TaskStage stage = TaskStage::fetching;
    Time since = 0;
    Time running_since = 0;
    std::string team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::production; // the default is never preempted
    bool over_guarantee = false; // the team's usage exceeded its guarantee at the placement
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    std::string image;
    double image_gb = 0;
    // Set for a remote task that was found by a new leader, until the leader of its job sends its
    // resources.
    bool resources_unknown = false;
};

// Returns a queued placement of a task of the job, without its attempt.
Placement placement_for(const JobSpec& spec);

// Slots lent to the leader of another partition, which sends the launch itself, under this fencing
// token. Removed when the task is reported, or when the launch cannot take effect any more.
struct LentSlot {
    int borrower = 0; // the partition
    std::uint64_t borrower_term = 0;
    std::uint64_t fencing_token = 0;
    Time since = 0;
    Placement placement;
};

// An image in a machine's cache.
struct CachedImage {
    std::string name;
    double gb = 0;
};

// A machine as its partition's leader knows it. Times are seconds on the controller's clock.
struct Machine {
    std::string name;
    std::string endpoint;
    InstanceType type;
    std::string zone;
    bool spot = false;
    ShardId shard;
    std::uint64_t term = 0; // the shard's, which the machine's fencing tokens include

    bool reporting = false; // has sent a heartbeat in an agent epoch that has not expired
    bool fenced = false; // the worker has confirmed the token of the latest fence, or a higher one
    std::uint64_t agent_epoch = 0;
    std::uint64_t heartbeat_sequence = 0;
    std::uint64_t expired_epoch = 0;    // the leases of epochs up to this one have expired
    std::uint64_t fencing_sequence = 0; // of the newest token
    std::uint64_t fence_sequence = 0;   // of the token of the latest fence
    Time last_heartbeat = 0;
    Time known_since = 0;
    double age_when_added_s = 0; // its age at `known_since`, as listed by the cloud provider
    // If the lease is not renewed, the worker will have ended this epoch by then.
    Time lease_expires_at = 0;
    Time check_at = 0;         // when the lease is checked next
    int unanswered_probes = 0; // in a row
    bool registered = false;   // its entry in the machine registry is durable
    bool registration_pending = false;
    bool draining = false;    // permanent: preemption notice, or too many failed tasks
    bool cordoned = false;    // surplus: accepts no tasks unless demand grows again
    bool releasing = false;   // a scale-in request for it is in flight
    std::string reserved_for; // the job that tasks were preempted for, if any
    Time reserved_until = 0;
    Time idle_since = 0;
    std::optional<double> preemption_notice_s;
    int consecutive_errors = 0; // failed tasks in a row
    OutboundRequestId command_in_flight = 0;
    std::map<TaskId, Placement> tasks;
    std::map<LaunchId, LentSlot> lent_slots; // whose task has not been reported yet
    std::vector<WorkerCommand> outbox;
    std::vector<TaskStatus> unexpected; // reported, but not placed: to be stopped and cleared
    std::vector<TaskStatus> finished;   // exited, to be cleared once that is durable
    // For each reported exit, the highest token that its start may have been sent under directly.
    std::map<LaunchId, std::uint64_t> exited_start_tokens;
    std::optional<Time> clears_held_since; // see MachineTable::raise_token_for_clears
    std::vector<CachedImage> images;       // most recently used last
    std::uint64_t images_version = 0;      // changes with the set of images
    // Commands of other partitions' leaders for their tasks here (remote tasks).
    std::map<LaunchId, double> remote_stops; // with the grace time in seconds
    std::set<LaunchId> remote_clears;        // exits that are durable
    std::uint64_t remote_tasks_hash = 0;     // of the inventory of remote tasks
    std::uint64_t remote_tasks_version = 0;  // of that inventory

    std::uint64_t fencing_token() const { return make_fencing_token(term, fencing_sequence); }
    std::uint64_t fence_token() const { return make_fencing_token(term, fence_sequence); }
    // Returns whether the term has no higher token. No start may be sent directly under the last
    // token, so that it always proves an unanswered start void.
    bool fencing_exhausted() const { return fencing_sequence == kMaxFencingSequence; }
    // Returns whether the exited task may be cleared under the newest token. The worker forgets a
    // cleared attempt and would begin it again on a late copy of its start, so the clear has to
    // carry a higher token than the start did.
    bool may_clear(const TaskStatus& exited) const;
    double free_cpus() const;
    double free_gpus() const;
    double free_ram() const;
    double free_slots() const { return type.gpus > 0 ? free_gpus() : free_cpus(); }
    bool has_image(const std::string& image) const;
    // The time to fetch the image, in seconds; 0 if the machine has it.
    double fetch_s(const std::string& image, double image_gb) const;
    // Returns whether the machine runs a task that this leader neither placed nor adopted.
    bool runs_unexpected_tasks() const;
    // Returns whether a task here has `resources_unknown`.
    bool has_unknown_resources() const;
    // Returns whether a task here is, or may be, a replica of a service. Replicas run until they
    // are cancelled, so the machine does not become idle by itself. A remote task with unknown
    // resources may be a replica.
    bool has_service() const;
    // Returns whether the job may use idle slots here: the machine is not reserved for another job.
    bool available_to(const std::string& job) const {
        return reserved_for.empty() || reserved_for == job;
    }
    bool empty() const { return tasks.empty() && lent_slots.empty(); }
    // Returns whether an exited attempt of the task is still reported. The worker would refuse to
    // start another one.
    bool reports_exited(const TaskId& task) const;
    // Makes the image the most recently used one; evicts the least recently used if the cache is
    // full.
    void touch_image(const std::string& image, double gb);
    void forget_images();
    // Drops commands for remote tasks that neither are on the machine nor may still be launched.
    void drop_obsolete_remote_commands();
};

// The changes to a machine's tasks that follow from a heartbeat.
struct HeartbeatResult {
    struct RemovedTask {
        TaskId task;
        Placement placement;
        ExitReason reason = ExitReason::none; // none: not on the machine, and no exit reported
    };
    std::vector<RemovedTask> removed;
    bool is_newer = false; // the heartbeat is newer than all before
};

// The machines of the owned shards. Called only from the controller's event loop. Pointers to
// machines are valid until the machine is removed.
class MachineTable {
  public:
    // `margin_s` is added to a lease for delays in this process, besides clock drift.
    MachineTable(double lease_s, double margin_s) : lease_s_(lease_s), margin_s_(margin_s) {}

    // Returns null if the machine is not known.
    Machine* find(const std::string& name);
    // Adds a machine that is not known yet, on the assumption that its worker's lease starts now.
    // `term`: the shard's.
    Machine& add(Time now, const std::string& name, const InstanceType& type,
                 const std::string& zone, bool spot, const ShardId& shard, std::uint64_t term);
    // Removes the machine and returns its tasks. Does nothing if the machine is not known.
    std::vector<HeartbeatResult::RemovedTask> remove(const std::string& name);

    // Applies a heartbeat. `request`: the direct command that it is the response to; 0 for a
    // heartbeat that the worker sent by itself.
    HeartbeatResult apply_heartbeat(Time now, Machine& machine, const Heartbeat& heartbeat,
                                    OutboundRequestId request);
    // Places a reported task that an earlier leader, or a borrower, launched.
    static void adopt(Time now, Machine& machine, const TaskStatus& status, Placement placement);
    // Raises the fencing token, and waits for the worker to confirm it. Until the higher token
    // reaches the worker, direct commands without a response may still be executed.
    static void fence(Machine& machine);
    // Raises the fencing token without waiting, if one of the exited tasks, which are due to be
    // cleared, cannot be cleared under the present one. To be called before the token and the
    // clears are sent in a heartbeat response. While starts under the present token are on their
    // way, which the worker would refuse under a higher one, the clears are held for up to
    // `max_hold_s`, or until there are as many as the machine has CPUs. Returns whether the token
    // was raised.
    static bool raise_token_for_clears(Time now, Machine& machine,
                                       const std::vector<TaskStatus>& exited, double max_hold_s);
    // To be called when a heartbeat is responded to with 200, which may renew the worker's lease.
    void on_lease_renewed(Time now, Machine& machine);
    // Ends the machine's agent epoch, whose lease has expired by any clock. Removes and returns the
    // machine's tasks.
    std::vector<HeartbeatResult::RemovedTask> expire_lease(Machine& machine);
    bool lease_expired(Time now, const Machine& machine) const;
    // Returns the machines whose lease has expired. Each machine is checked only about once in a
    // lease time.
    std::vector<Machine*> expired_machines(Time now);
    // The number of machines with `reporting` set.
    std::size_t reporting_count() const { return reporting_count_; }
    // The longest time, in seconds by this controller's clock, that a worker's lease may last.
    double max_lease_s() const;

    // Places the task and queues its launch.
    void queue_start(Time now, Machine& machine, const TaskId& task, Placement placement);
    // Takes the queued commands; they are to be sent in the response to the last heartbeat.
    std::vector<WorkerCommand> take_commands_for_response(Machine& machine);
    // Takes the queued commands; they are to be sent in a request to the worker.
    std::vector<WorkerCommand> take_commands_for_request(Machine& machine);
    // Records that these commands, from take_commands_for_request, were sent in this request.
    void on_commands_sent(Machine& machine, const std::vector<WorkerCommand>& commands,
                          OutboundRequestId request);
    // Cancels the launches that have not been sent, all or only those of `job`. Returns their
    // tasks.
    std::vector<HeartbeatResult::RemovedTask>
    cancel_queued_starts(Machine& machine, const std::string* job = nullptr);
    // Queues a stop with this grace time. Heartbeat responses repeat it while the task is reported.
    void queue_stop(Machine& machine, const TaskId& task, std::uint64_t attempt, double grace_s);
    // Returns at most `max_machines` machines that have queued commands, are fenced and have no
    // direct command in flight.
    std::vector<Machine*> machines_with_commands(std::size_t max_machines);

    std::map<std::string, Machine>& all() { return machines_; }
    const std::map<std::string, Machine>& all() const { return machines_; }

  private:
    struct LeaseCheck {
        Time at = 0; // the entry is obsolete if this differs from the machine's check_at
        std::string machine;
        auto operator<=>(const LeaseCheck&) const = default;
    };
    void begin_epoch(Time now, Machine& machine, std::uint64_t agent_epoch,
                     HeartbeatResult& result);
    void apply_newer(Machine& machine, const Heartbeat& heartbeat);
    void schedule_check(Machine& machine, Time at);
    void set_reported(Machine& machine, bool reported);

    double lease_s_;
    double margin_s_;
    std::map<std::string, Machine> machines_;
    std::set<std::string> queued_; // the machines that may have commands in their outbox
    std::set<LeaseCheck> checks_;
    std::size_t reporting_count_ = 0;
};

} // namespace scheduler

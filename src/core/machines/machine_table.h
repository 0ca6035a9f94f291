// What a partition leader knows of each machine: its agent epoch, its heartbeats, and the tasks
// that may run on it.
//
// Safety rule: a placement is removed only when the task is known to be no longer on the machine,
// or known never to start there. See docs/design.md, "Never twice".
#pragma once

#include <set>

#include "core/leadership/leadership_lease.h"
#include "core/messaging/messages.h"
#include "core/model/shards.h"

namespace scheduler {

// A task that may be on a machine, and the resources that it takes there.
struct Placement {
    // How the launch was sent, which decides what resolves it.
    enum class LaunchState {
        queued,             // not sent yet
        heartbeat_response, // in the response to a heartbeat: resolved by the worker's next one
        direct_command,     // directly: resolved by the response, or by a heartbeat under a higher
                            // fencing token
        reported            // seen in a heartbeat
    };
    std::uint64_t attempt = 0;
    LaunchState launch_state = LaunchState::queued;
    std::uint64_t fencing_token = 0;       // direct_command: sent under this token
    std::uint64_t heartbeat_sequence = 0;  // heartbeat_response: sent in answer to this
    OutboundRequestId command_request = 0; // direct_command: the request
    TaskStage stage = TaskStage::fetching;
    Time since = 0;
    Time running_since = 0;
    std::string team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::production; // the default is never preempted
    bool over_guarantee = false; // its team was beyond its guarantee when it was placed
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    std::string image;
    double image_gb = 0;
    bool resources_unknown = false; // a remote task found by a new leader: the
                                    // leader of its job will tell its resources
};

// A placement, not sent yet, of a task of such a job.
Placement placement_for(const JobSpec& spec);

// Slots lent to the leader of another partition, which sends the launch itself under this fencing
// token.
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
    std::uint64_t term = 0; // of the shard: the machine's fencing tokens include it

    bool reporting = false; // to this leader, in an agent epoch that has not expired
    bool fenced = false;    // the worker has confirmed this leader's newest fencing token
    std::uint64_t agent_epoch = 0;
    std::uint64_t heartbeat_sequence = 0;
    std::uint64_t expired_epoch = 0; // epochs up to this one have expired by the clock
    std::uint64_t fencing_sequence = 0;
    Time last_heartbeat = 0;
    Time known_since = 0;
    double age_when_added_s = 0;
    Time lease_expires_at =
        0;             // by then the worker has ended this epoch, unless the lease is renewed
    Time check_at = 0; // when the expiry is checked next
    int unanswered_probes = 0; // probes in a row
    bool registered = false;
    bool registration_pending = false;
    bool draining = false; // for good: a preemption notice, or failures
    bool cordoned = false; // surplus: takes no new tasks, unless demand grows again
    bool releasing = false;
    std::string reserved_for; // the job that tasks were preempted for, if any
    Time reserved_until = 0;
    Time idle_since = 0;
    std::optional<double> preemption_notice_s;
    int consecutive_errors = 0; // failed tasks
    OutboundRequestId command_in_flight = 0;
    std::map<TaskId, Placement> tasks;
    std::map<LaunchId, LentSlot> lent_slots; // launch not seen yet
    std::vector<WorkerCommand> outbox;
    std::vector<TaskStatus> unexpected; // reported, but not placed: to be stopped and cleared
    std::vector<TaskStatus> finished;   // exited, to be cleared once durable
    std::vector<CachedImage> images;    // most recently used last
    std::uint64_t images_version = 0;   // changes with the set of images
    // Remote tasks, those of other partitions' jobs: commands of their leaders, until they show.
    std::map<LaunchId, double> remote_stops; // with the grace time in seconds
    std::set<LaunchId> remote_clears;        // their completion is durable
    std::uint64_t remote_tasks_hash = 0;     // of the inventory of remote tasks
    std::uint64_t remote_tasks_version = 0;  // of that inventory

    std::uint64_t fencing_token() const { return make_fencing_token(term, fencing_sequence); }
    double free_cpus() const;
    double free_gpus() const;
    double free_ram() const;
    double free_slots() const { return type.gpus > 0 ? free_gpus() : free_cpus(); }
    bool has_image(const std::string& image) const;
    // Seconds until the image could be used here: 0 if the machine has it.
    double fetch_s(const std::string& image, double image_gb) const;
    // Does a task run here that was not placed by this leader?
    bool runs_unexpected_tasks() const;
    bool has_unknown_resources() const;
    // Replicas of services run until they are cancelled, so such a machine does not become idle by
    // itself. A remote task of unknown resources may be one.
    bool has_service() const;
    // May the job use idle slots here?
    bool available_to(const std::string& job) const {
        return reserved_for.empty() || reserved_for == job;
    }
    bool empty() const { return tasks.empty() && lent_slots.empty(); }
    // An exited attempt of the task is still reported: the worker would refuse another one.
    bool reports_exited(const TaskId& task) const;
    // The image is now the most recently used one; older ones are evicted if the cache is full.
    void touch_image(const std::string& image, double gb);
    void forget_images();
    // Drops commands about remote tasks that are not on the machine, nor on their way to it.
    void drop_obsolete_remote_commands();
};

// What a heartbeat showed of a machine's tasks.
struct HeartbeatResult {
    struct RemovedTask {
        TaskId task;
        Placement placement;
        ExitReason reason = ExitReason::none; // none: not on the machine, and no exit seen
    };
    std::vector<RemovedTask> removed;
    bool is_newer = false; // than every heartbeat before
};

// The machines of the owned shards. Called only from the controller's event loop. Pointers to
// machines are valid until the machine is removed.
class MachineTable {
  public:
    // `margin_s` is added to a lease for delays in this process, besides clock drift.
    MachineTable(double lease_s, double margin_s) : lease_s_(lease_s), margin_s_(margin_s) {}

    // Null if the machine is not known.
    Machine* find(const std::string& name);
    // `term`: of its shard.
    Machine& add(Time now, const std::string& name, const InstanceType& type,
                 const std::string& zone, bool spot, const ShardId& shard, std::uint64_t term);
    // Returns the machine's tasks, which are gone with it.
    std::vector<HeartbeatResult::RemovedTask> remove(const std::string& name);

    // Applies a heartbeat. `request`: the direct command that it is the response to; 0 for a
    // heartbeat that the worker sent by itself.
    HeartbeatResult apply_heartbeat(Time now, Machine& machine, const Heartbeat& heartbeat,
                                    OutboundRequestId request);
    // Places a reported task that an earlier leader launched.
    static void adopt(Time now, Machine& machine, const TaskStatus& status, Placement placement);
    // Raises the fencing token. Direct commands without a response may be executed yet, unless a
    // higher token arrives first.
    void fence(Machine& machine);
    // A heartbeat is answered with 200: the worker's lease may run from now on.
    void on_lease_renewed(Time now, Machine& machine);
    // The lease has expired by any clock. Returns the machine's tasks, which are gone.
    std::vector<HeartbeatResult::RemovedTask> expire_lease(Machine& machine);
    bool lease_expired(Time now, const Machine& machine) const;
    // Machines whose lease has expired. Only machines that may be among them are checked, each
    // about once in a lease time.
    std::vector<Machine*> expired_machines(Time now);
    // The number of machines that have sent a heartbeat and whose lease has not expired since.
    std::size_t reporting_count() const { return reporting_count_; }
    // The longest time that a worker's lease may last by this controller's clock.
    double max_lease_s() const;

    // Places the task. Its launch is sent in a later response or directly.
    void queue_start(Time now, Machine& machine, const TaskId& task, Placement placement);
    // Takes the queued commands, as sent in the response to the last heartbeat.
    std::vector<WorkerCommand> take_commands_for_response(Machine& machine);
    // Takes the queued commands, as sent directly.
    std::vector<WorkerCommand> take_commands_for_request(Machine& machine);
    // Those commands went out as this request.
    void on_commands_sent(Machine& machine, const std::vector<WorkerCommand>& commands,
                          OutboundRequestId request);
    // Cancels launches that have not been sent: all of them, or those of one job. Returns their
    // tasks.
    std::vector<HeartbeatResult::RemovedTask>
    cancel_queued_starts(Machine& machine, const std::string* job = nullptr);
    // Queues a stop to be sent directly; it is repeated in responses as long as the task is
    // reported.
    void queue_stop(Machine& machine, const TaskId& task, std::uint64_t attempt, double grace_s);
    // Machines with commands that could be sent directly now, at most so many.
    std::vector<Machine*> machines_with_commands(std::size_t max_machines);

    std::map<std::string, Machine>& all() { return machines_; }
    const std::map<std::string, Machine>& all() const { return machines_; }

  private:
    struct LeaseCheck {
        Time at = 0; // outdated if it differs from the machine's check_at
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
    std::set<std::string> queued_; // machines that may have commands in their outbox
    std::set<LeaseCheck> checks_;
    std::size_t reporting_count_ = 0;
};

} // namespace scheduler

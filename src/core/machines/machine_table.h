// What is known of each machine: its session, its reports, the tasks that may be on it.
//
// The rule that this class keeps: a placement is taken off only when the task is known to be on
// the machine no longer, or never to come there. See docs/design.md, "Never twice".
#pragma once

#include <set>

#include "core/leadership/leadership_lease.h"
#include "core/model/messages.h"
#include "core/model/shards.h"

namespace scheduler {

struct Placement {
    enum class Via {
        queued,             // not sent yet
        heartbeat_response, // sent in the response to a report: resolved by the worker's next
                            // report
        direct_command,     // sent directly: resolved by its answer, or by a report under a higher
                            // token
        reported            // seen in a report
    };
    std::uint64_t attempt = 0;
    Via via = Via::queued;
    std::uint64_t fencing_token = 0;       // orders: the token it was sent under
    std::uint64_t heartbeat_sequence = 0;  // response: the report it answered
    OutboundRequestId command_request = 0; // orders: the call
    TaskStage stage = TaskStage::fetching;
    Time since = 0;
    Time running_since = 0;
    std::string team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::production; // not known: never stopped for another
    bool over_guarantee = false; // its team ran beyond its guarantee when it was placed
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    std::string image;
    double image_gb = 0;
    bool resources_unknown = false; // a guest found by a new owner: its job's owner will tell
};

// What a task of such a job takes, not placed yet.
Placement placement_for(const JobSpec& spec);

// Slots handed over to the owner of another part, which sends the start itself under `token`.
struct LentSlot {
    int borrower = 0;
    std::uint64_t borrower_term = 0;
    std::uint64_t fencing_token = 0;
    Time since = 0;
    Placement placement;
};

struct CachedImage {
    std::string name;
    double gb = 0;
};

struct Machine {
    std::string name;
    std::string endpoint;
    InstanceType type;
    std::string zone;
    bool spot = false;
    ShardId shard;
    std::uint64_t term = 0; // of the share: tokens for the machine are made of it

    bool reporting = false; // to this owner, in a session that has not lapsed
    bool fenced = false;    // the worker has shown this owner's newest token for it
    std::uint64_t agent_epoch = 0;
    std::uint64_t heartbeat_sequence = 0;
    std::uint64_t expired_epoch = 0; // sessions up to here are over by the clock
    std::uint64_t fencing_sequence = 0;
    Time last_heartbeat = 0;
    Time known_since = 0;
    double age_at_known_s = 0;
    Time lease_expires_at = 0;   // by then the worker has given up this session if nobody renews it
    Time check_at = 0;           // when that is looked at next
    int unanswered_commands = 0; // direct questions in a row
    bool registered = false;
    bool registration_pending = false; // wanted there
    bool draining = false;             // for good: a notice, or failures
    bool cordoned = false; // more than is wanted: no new tasks, unless the wants grow again
    bool releasing = false;
    std::string reserved_for; // the job that room was made for; see Preemptor
    Time reserved_until = 0;
    Time idle_since = 0;
    std::optional<double> preemption_notice_s;
    int consecutive_errors = 0; // failed tasks in a row
    OutboundRequestId command_in_flight = 0;
    std::map<TaskId, Placement> tasks;
    std::map<LaunchId, LentSlot> lent_slots; // handed over, start not seen yet
    std::vector<WorkerCommand> outbox;
    std::vector<TaskStatus> unexpected; // listed, not ours: they are stopped and cleared
    std::vector<TaskStatus> finished;   // exited, cleared once durable
    std::vector<CachedImage> images;    // most recently used last
    std::uint64_t images_version = 0;   // of which images these are
    // Guests, tasks of other parts' jobs: what the owners of these say, until it shows.
    std::map<LaunchId, double> remote_stops; // with the time to save
    std::set<LaunchId> remote_clears;        // their end is durable
    std::uint64_t remote_tasks_hash = 0;     // of the listing of guests, to see it change
    std::uint64_t remote_tasks_version = 0;  // of that listing

    std::uint64_t fencing_token() const { return make_fencing_token(term, fencing_sequence); }
    double free_cpus() const;
    double free_gpus() const;
    double free_ram() const;
    double free_slots() const { return type.gpus > 0 ? free_gpus() : free_cpus(); }
    bool has_image(const std::string& image) const;
    bool has_unexpected() const;
    bool has_unknown_resources() const;
    // Replicas run until they are cancelled, so such a machine does not empty by itself. A guest
    // whose owner has not told its shape yet may be one.
    bool has_service() const;
    // May the job have idle slots here?
    bool available_to(const std::string& job) const {
        return reserved_for.empty() || reserved_for == job;
    }
    bool empty() const { return tasks.empty() && lent_slots.empty(); }
    // An exited attempt of the task is listed still: another would be refused as busy.
    bool reports_exited(const TaskId& task) const;
    void touch_image(const std::string& image, double gb);
    void forget_images();
    // What was said about guests holds until it has shown.
    void forget_remote_commands();
};

// What a listing showed of a machine's tasks.
struct HeartbeatResult {
    struct RemovedTask {
        TaskId task;
        Placement placement;
        ExitReason reason = ExitReason::none; // none: not on the machine, no exit seen
    };
    std::vector<RemovedTask> removed;
    bool is_newer = false; // newer than anything seen before
};

class MachineTable {
  public:
    // `margin`: what is added to a lease for delays inside this process, besides drift.
    MachineTable(double lease_s, double margin_s) : lease_s_(lease_s), margin_s_(margin_s) {}

    Machine* find(const std::string& name);
    // `term`: of its share.
    Machine& add(Time now, const std::string& name, const InstanceType& type,
                 const std::string& zone, bool spot, const ShardId& shard, std::uint64_t term);
    // All tasks of the machine are gone with it.
    std::vector<HeartbeatResult::RemovedTask> remove(const std::string& name);

    // A report from /v1/report, or the worker's report in the answer to the call `orders`.
    HeartbeatResult apply_heartbeat(Time now, Machine& machine, const Heartbeat& heartbeat,
                                    OutboundRequestId orders);
    // A listed task that an owner before us started: it is ours now.
    static void adopt(Time now, Machine& machine, const TaskStatus& status, Placement placement);
    // No answer to direct commands: they may be executed yet, unless a higher token comes first.
    void fence(Machine& machine);
    // A 200 goes out: the worker's lease may run from now on.
    void on_lease_renewed(Time now, Machine& machine);
    // The lease has run out by any clock: everything on the machine is gone.
    std::vector<HeartbeatResult::RemovedTask> expire_lease(Machine& machine);
    bool lease_expired(Time now, const Machine& machine) const;
    // Machines whose lease has run out. Only those that may have are looked at, each about once in
    // a lease time.
    std::vector<Machine*> expired_machines(Time now);
    // How many have reported and not lapsed since.
    std::size_t reporting_count() const { return reporting_count_; }
    double max_lease_s() const;

    void queue_start(Time now, Machine& machine, const TaskId& task, Placement placement);
    // Takes the commands that wait, as sent in the response to the report with this tick.
    std::vector<WorkerCommand> send_in_response(Machine& machine);
    std::vector<WorkerCommand> send_directly(Machine& machine);
    void on_sent_directly(Machine& machine, const std::vector<WorkerCommand>& commands,
                          OutboundRequestId call);
    // Starts that are not out yet never go out: all of them, or those of one job.
    std::vector<HeartbeatResult::RemovedTask>
    cancel_queued_starts(Machine& machine, const std::string* job = nullptr);
    // A stop that goes out directly; it is repeated in responses as long as the task is listed.
    void queue_stop(Machine& machine, const TaskId& task, std::uint64_t attempt, double grace_s);
    // The machines with commands that could go out directly now, so many at most.
    std::vector<Machine*> machines_with_commands(std::size_t most);

    std::map<std::string, Machine>& all() { return machines_; }
    const std::map<std::string, Machine>& all() const { return machines_; }

  private:
    double lease_s_;
    double margin_s_;
    std::map<std::string, Machine> machines_;
    std::set<std::string> queued_;                  // those that may have something in their outbox
    std::set<std::pair<Time, std::string>> checks_; // by Machine::due_at
    std::size_t reporting_count_ = 0;
    void schedule_check(Machine& machine, Time when);
    void set_reported(Machine& machine, bool reported);
};

} // namespace scheduler

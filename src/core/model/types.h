// Plain data that the core works on. Names are the field's; wire names live in the codec only.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace scheduler {

// Seconds of the steady clock.
using Time = double;

enum class JobKind { array, gang, service };
enum class Priority { production, high, normal, low };
enum class Outcome { none, done, cancelled };

struct JobSpec {
    std::string id;
    std::string job_class;
    std::string team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 0;
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool one_zone = false;
    bool spread = false;
    bool spot = false;
    double estimate_s = 0;
    double checkpoint_s = 0;
    double save_s = 0;
    std::optional<double> deadline_s;

    // At most half of the tasks, rounded up, may be in one zone if it says so.
    bool may_spread(std::uint32_t in_zone) const { return !spread || in_zone <= (tasks + 1) / 2; }
    bool allows_type(const std::string& type) const {
        return !types || std::find(types->begin(), types->end(), type) != types->end();
    }
};

struct TaskId {
    std::string job;
    std::uint32_t index = 0;
    auto operator<=>(const TaskId&) const = default;
};

struct LaunchId { // see start_id in parts.h
    std::uint64_t attempt = 0;
    std::uint32_t index = 0;
    auto operator<=>(const LaunchId&) const = default;
};

enum class TaskStage { fetching, waiting, running, saving, exited };
enum class ExitReason {
    none,
    done,
    stopped,
    gang_member_lost,
    gang_incomplete,
    error,
    insufficient_capacity,
    busy,
    unknown
};

struct TaskStatus {
    TaskId task;
    std::uint64_t attempt = 0;
    TaskStage stage = TaskStage::running;
    ExitReason exit_reason = ExitReason::none;
};

struct Heartbeat {
    std::string machine;
    std::string endpoint;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t fencing_token = 0;
    std::optional<double> preemption_notice_s;
    std::vector<TaskStatus> tasks;
};

enum class CommandType { start, stop, clear };

struct WorkerCommand {
    CommandType type = CommandType::start;
    TaskId task;
    std::uint64_t attempt = 0;
    double grace_s = 0;
};

// A share of machines, see shares.h.
struct ShardId {
    int home_partition = 0; // the part that holds it where there is no map
    int number = 0;
    auto operator<=>(const ShardId&) const = default;
};

// What the holder of a share says of a machine's task to the owner of its job, and of the share.
struct RemoteTaskStatus {
    TaskStatus status;
    std::string machine;
    std::string zone;
    bool resources_unknown = false;
    bool draining = false;          // its machine is to go ...
    bool preemption_notice = false; // ... and the cloud has said so
};
struct ShardInventory { // what a reply says of a share that its sender holds
    ShardId shard;
    std::uint64_t term = 0;
    bool reconciled = false; // each of its machines is
    bool complete = false;   // all of them are listed, not only those of `machines`
};

struct InstanceType {
    std::string name;
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    double cache_gb = 0;
    double fetch_gb_per_s = 0;
    double price = 0;
    double spot_price = 0;
    double boot_s = 0;
    std::vector<std::string> zones;

    // A slot is the scarcest unit with its share of the rest: one GPU on a machine that has some,
    // one CPU elsewhere.
    double slots() const { return gpus > 0 ? gpus : cpus; }
    double price_of(bool spot_kind) const { return spot_kind ? spot_price : price; }
};

enum class InstanceState { booting, running, failed };

struct Instance {
    std::string name;
    std::string endpoint;
    std::string type;
    std::string zone;
    bool spot = false;
    InstanceState state = InstanceState::booting;
    double age_s = 0;
};

// What the state service holds, by kind of key.
struct JobRecord { // job/<id>; a final record keeps the outcome only
    Outcome outcome = Outcome::none;
    std::optional<JobSpec> spec;
};
struct ProgressRecord { // done/<id>/<chunk>
    std::vector<bool> done;
};
struct PartitionRecord { // part/<p>, and part/<p>/home
    std::string node;
    bool supports_sharding = false; // the owner follows the map of shares
};
struct ShardHoldersRecord { // part/<home>/shares: see shares.h
    std::vector<int> holders;
};
struct MachineRecord { // machine/<part>/<name>
    std::string endpoint;
    std::string type;
    std::string zone;
    bool spot = false;
};
struct CatalogRecord { // catalog: as the cloud last gave it, for a start while the cloud is down
    std::vector<InstanceType> types;
};
// account/<part>/<holder>/<page>: what a holder of shares lists for a new owner of the part who
// does not reach it, see postbox.h. Pages of one listing have the same terms and version.
struct InventoryRecord {
    std::uint64_t for_term = 0; // of the claim that it is for
    std::uint64_t term = 0;     // of the holder's claim
    std::uint64_t version = 0;  // of its listing
    std::uint32_t pages = 0;
    std::vector<ShardInventory> shards;
    std::vector<RemoteTaskStatus> tasks;
    std::vector<LaunchId> pending_launches;
};
struct TeamQuota {
    std::string name;
    double guaranteed_cpus = 0;
    double max_cpus = 0;
    double guaranteed_gpus = 0;
    double max_gpus = 0;

    // A 0 in the settings means none: what a team states neither of is not its measure, and a limit
    // of 0 is no limit.
    bool limits_cpus() const { return guaranteed_cpus > 0 || max_cpus > 0; }
    bool limits_gpus() const { return guaranteed_gpus > 0 || max_gpus > 0; }
    bool allows(double used_cpus, double used_gpus) const;
    bool guarantees(double used_cpus, double used_gpus) const;
    // What the team's work is reckoned in: GPUs where it states some, else CPUs.
    double amount(double of_cpus, double of_gpus) const {
        return limits_gpus() ? of_gpus : of_cpus;
    }
    double limit() const; // of that amount
};

struct QuotaRecord { // config/team/<name>; the team's name is the key's
    TeamQuota quota;
};
struct UnreadableRecord {};
using StoredRecord =
    std::variant<UnreadableRecord, JobRecord, ProgressRecord, PartitionRecord, ShardHoldersRecord,
                 MachineRecord, CatalogRecord, InventoryRecord, QuotaRecord>;

struct KeyedRecord {
    std::string key;
    StoredRecord record;
    std::uint64_t version = 0;
};

// A team's guarantee and limit as they stood at a revision of the state service.
struct QuotaChange {
    std::string team;
    std::optional<TeamQuota> quota; // none: its record cannot be read
    std::uint64_t revision = 0;
};
// What a node says of a team's configuration; times in seconds before its answer.
struct QuotaStatus {
    std::uint64_t revision = 0; // every change up to it is in force ...
    double age_s = 0;           // ... and every one that was written so long ago
    TeamQuota quota;            // in force; without a name: not a team of the node's settings
    std::uint64_t effective_revision = 0; // the revision of that change, 0: as in the settings
    double effective_for_s = 0;
    bool blocked = false; // no good value is known, nothing of the team is started
};

// What is expected for a class of jobs.
struct ServiceLevelObjective {
    enum class Kind { finished, wait, deadline };
    Kind kind = Kind::finished;
    std::string job_class;
    double within_s = 0; // finished, wait
    double times = 1;    // deadline: of the job's own
};

// One part for each configured node, in the order of the nodes' names.
struct PartitionSettings {
    std::string node;
    std::string zone;
};

// The platform's settings, as far as the core needs them.
struct ClusterSettings {
    std::string node;
    int home_partition = 0; // this node's own part
    std::vector<PartitionSettings> partitions;
    std::vector<std::string> zones;
    std::vector<TeamQuota> teams;
    std::vector<ServiceLevelObjective> objectives;
    double heartbeat_interval_s = 0;
    double worker_lease_s = 0;
    double cancel_s = 0;
    double gang_start_timeout_s = 0;
    double gang_stop_timeout_s = 0;
    double store_requests_per_s = 0;
    double store_writes_per_s = 0;
    double store_value_limit_kb = 0;
    int store_transaction_limit = 0;
    double cloud_requests_per_s = 0;
    double list_lag_s = 0;
    // Direct commands to workers that may be under way at once: each takes a socket and a thread.
    int max_concurrent_commands = 16;
};

// Ratios that operators may set; the defaults stand in policy/defaults.
struct SchedulingPolicy {
    double leadership_lease_s = 0;
    double idle_scale_in_boots = 0;
    double scale_out_horizon_boots = 0;
    double demand_decay_boots = 0;
    double spare_capacity_ratio = 0;
    double boot_timeout_boots = 0;
    double capacity_backoff_s = 0;
    double quarantine_errors = 0;
    double initial_steal_batch = 0;
    double peer_sync_interval_s = 0;
    double warm_image_patience = 0;
    double first_task_deadline_s =
        0; // a job that has waited so long for its first task is to get it
};

} // namespace scheduler

#include "core/partition_leader.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
// Keeps a heartbeat response well below its limit of 64 KiB.
constexpr std::size_t kMaxCommandsPerResponse = 200;
// Clears wait for at most this many heartbeat intervals for starts that are on their way. A slot
// whose start takes longer is fenced anyway.
constexpr double kMaxClearHoldHeartbeats = 1.5;
constexpr std::size_t kTracedCommands = 16384;
constexpr std::size_t kMaxExplainedLaunches = 1000;
} // namespace

PartitionLeader::PartitionLeader(Time now, int partition, const ClusterSettings& settings,
                                 const SchedulingPolicy& policy, const LeadershipLease& lease,
                                 PartitionMap& partition_map, StoreRateLimiter& rate_limiter,
                                 JobRecordCache& job_cache, const std::vector<InstanceType>& types,
                                 const QuotaConfig& config)
    : PartitionTables(now, partition, settings, policy, lease, partition_map, rate_limiter, types),
      quota_config_(config), job_cache_(job_cache),
      registry_(
          {partition_key(partition), leadership_.term()}, settings_, requests_,
          [this](Time at, const OutboundResponse& response, const std::vector<std::string>& names) {
              on_machines_registered(at, response, names);
          }),
      slot_finder_(policy_, owned_shards_, instance_types_, machines_, slots_),
      queue_(
          settings_, policy_, jobs_, quotas_,
          [this](Time at, const Job& job) { return has_schedulable_tasks(at, job); },
          [this] { return lender_.slot_requests(); }),
      preemptor_(settings_, quotas_, slot_finder_, machines_, queue_, requests_),
      demand_(leadership_, settings_, policy_, instance_types_, jobs_, quotas_, machines_,
              planner_),
      autoscaler_(leadership_, settings_, owned_shards_, instance_types_, machines_, planner_,
                  demand_, requests_, *this),
      reconciliation_(leadership_, settings_, machines_, requests_, *this),
      lender_(leadership_, settings_, owned_shards_, machines_, queue_, demand_, requests_, *this),
      borrower_(leadership_, settings_, policy_, partition_map, owned_shards_, jobs_, quotas_,
                gangs_, queue_, demand_, requests_, *this),
      task_launcher_(jobs_, machines_, slots_, quotas_, slot_finder_, lender_),
      gang_scheduler_({leadership_, settings_, jobs_, machines_, quotas_, gangs_, slot_finder_,
                       queue_, lender_, borrower_, task_launcher_, requests_},
                      *this),
      task_scheduler_({leadership_, policy_, machines_, quotas_, slots_, slot_finder_, queue_,
                       lender_, gang_scheduler_, task_launcher_},
                      *this),
      inventory_relay_(leadership_, settings_, partition_map, lender_, borrower_, requests_, *this),
      shard_manager_(leadership_, settings_, partition_map, owned_shards_, instance_types_,
                     planner_,
                     {machines_, slots_, registry_, reconciliation_, lender_, borrower_, demand_},
                     requests_, *this),
      job_persistence_(leadership_, settings_, jobs_, job_cache_, requests_, *this),
      quota_evictor_(leadership_, settings_, own_teams_, jobs_, machines_, quotas_, gangs_,
                     borrower_, requests_, *this),
      command_trace_(kTracedCommands), staleness_(settings_),
      failover_({leadership_, settings_, all_shards_, own_teams_, owned_shards_, instance_types_},
                {job_cache_, jobs_, machines_, quotas_, registry_, queue_, demand_, reconciliation_,
                 lender_, borrower_, staleness_},
                requests_, *this) {
    for (const auto& [team, team_partition] : partitions_of_teams(settings_)) {
        quotas_.configure(*quota_config_.team(team), quota_config_.is_blocked(team));
        if (team_partition == partition) {
            own_teams_.insert(team);
        }
    }
    quota_config_known_ = quota_config_.is_current(now, leadership_.since());
    quotas_.set_limits_known(quota_config_known_);
    failover_.start(now);
}

// ---- Heartbeats ----

// Allows tasks on the machines whose registry entries have become durable.
void PartitionLeader::on_machines_registered(Time now, const OutboundResponse& response,
                                             const std::vector<std::string>& names) {
    leadership_.check_committed(requests_, response, "roster");
    for (const auto& name : names) {
        if (Machine* machine = machines_.find(name)) {
            machine->registered = true;
            update_slot_lists(*machine);
        }
    }
    if (!names.empty()) {
        schedule(now);
        send_commands(now);
    }
}

void PartitionLeader::handle_heartbeat(Time now, RequestId request_id, const Heartbeat& heartbeat) {
    Machine* machine = admit_heartbeat(now, request_id, heartbeat);
    if (!machine) {
        return;
    }
    bool is_newest = heartbeat.agent_epoch > machine->agent_epoch ||
                     (heartbeat.agent_epoch == machine->agent_epoch &&
                      heartbeat.sequence > machine->heartbeat_sequence);
    update_machine(now, *machine, heartbeat);
    apply_heartbeat(now, *machine, heartbeat, 0);
    try_reconcile(now);
    schedule_on(now, *machine);
    // A response without a fencing token keeps the worker with this controller but does not renew
    // its lease (a worker that has never seen a token has no tasks, but its lease starts now). It
    // is sent while this leader may not know of recent cancellations, because it has only just
    // become leader or the key-value store refuses its requests: renewing leases would then keep
    // the tasks of cancelled jobs running.
    HeartbeatBody response;
    if (staleness_.is_fresh(now)) {
        response = heartbeat_response(now, *machine, heartbeat, is_newest);
    }
    machines_.on_lease_renewed(now, *machine);
    requests_.respond(request_id, 200, std::move(response));
    send_commands(now);
}

// Returns the machine that sent the heartbeat; adds it if it is not known. Returns null after
// responding with 503 if the machine is not accepted.
Machine* PartitionLeader::admit_heartbeat(Time now, RequestId request_id,
                                          const Heartbeat& heartbeat) {
    auto refuse = [&](const char* reason) -> Machine* {
        requests_.respond(request_id, 503, TextBody{reason}, 1);
        return nullptr;
    };
    const InstanceType* type = instance_types_.find(heartbeat.type);
    if (!type) {
        requests_.log(LogLevel::error, "event=machine_rejected machine=" + heartbeat.machine);
        return refuse("unknown machine type");
    }
    if (!leadership_.is_active(now)) {
        return refuse("not entitled");
    }
    ShardId shard = shard_of_machine(settings_, heartbeat.machine, heartbeat.zone);
    if (!owned_shards_.may_serve(shard)) { // the shard is migrating, or has migrated
        return refuse("share not held");
    }
    Machine* machine = machines_.find(heartbeat.machine);
    if (!machine) {
        // A delayed heartbeat of a machine that has been terminated.
        if (planner_.was_released(now, heartbeat.machine)) {
            return refuse("released");
        }
        machine = &machines_.add(now, heartbeat.machine, *type, heartbeat.zone, heartbeat.spot,
                                 shard, owned_shards_.term(shard));
        machine->last_heartbeat = now;
        requests_.log(LogLevel::info, "event=machine_registered machine=" + heartbeat.machine);
    }
    if (machine->releasing || heartbeat.agent_epoch <= machine->expired_epoch) {
        return refuse("session is over");
    }
    return machine;
}

// Updates the machine's own attributes from the heartbeat, and registers the machine if it is not
// registered yet.
void PartitionLeader::update_machine(Time now, Machine& machine, const Heartbeat& heartbeat) {
    machine.endpoint = heartbeat.endpoint;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    if (!machine.reporting) {
        machine.idle_since = now;
    }
    machine.last_heartbeat = now;
    if (!machine.registered && !machine.registration_pending) {
        machine.registration_pending = true;
        registry_.add(now, machine.shard.home_partition, machine.name,
                      {machine.endpoint, machine.type.name, machine.zone, machine.spot});
    }
}

// Returns the response with the machine's fencing token and commands. `is_newest`: no newer
// heartbeat of the machine has been received.
HeartbeatBody PartitionLeader::heartbeat_response(Time now, Machine& machine,
                                                  const Heartbeat& heartbeat, bool is_newest) {
    HeartbeatBody response;
    if (is_newest && machine.fenced && failover_.loaded()) {
        add_corrective_commands(now, machine, response.commands);
    } else {
        add_cancellation_stops(heartbeat, response.commands);
    }
    if (is_newest && machine.fenced) {
        auto queued = machines_.take_commands_for_response(machine);
        response.commands.insert(response.commands.end(), queued.begin(), queued.end());
    }
    response.fencing_token = machine.fencing_token();
    trace_commands(now, machine, response.commands, false);
    return response;
}

void PartitionLeader::apply_heartbeat(Time now, Machine& machine, const Heartbeat& heartbeat,
                                      OutboundRequestId command_request) {
    HeartbeatResult result = machines_.apply_heartbeat(now, machine, heartbeat, command_request);
    for (const auto& removed : result.removed) {
        on_task_removed(now, machine.name, removed);
    }
    if (machine.fenced) {
        reconciliation_.on_inventory(machine); // its inventories are complete from now on
    }
    if (result.is_newer) {
        adopt_reported(now, machine);
        log_unexpected_tasks(machine);
        // Resolves the launches on borrowed slots that the inventory does not include.
        if (machine.fenced && failover_.loaded()) {
            borrower_.on_inventory_complete(now, machine.name);
        }
    }
    gang_scheduler_.on_machine_inventory(now, machine);
    if (machine.preemption_notice_s || machine.fencing_exhausted() ||
        machine.consecutive_errors >= policy_.quarantine_errors) {
        for (const auto& removed : machines_.cancel_queued_starts(machine)) {
            on_task_removed(now, machine.name, removed);
        }
        if (!machine.draining) {
            requests_.log(LogLevel::info,
                          "event=machine_cordoned machine=" + machine.name +
                              (machine.preemption_notice_s   ? " reason=notice"
                               : machine.fencing_exhausted() ? " reason=fencing_tokens"
                                                             : " reason=errors"));
        }
        machine.draining = true;
    }
    update_slot_lists(machine);
}

void PartitionLeader::on_task_removed(Time now, const std::string& name,
                                      const HeartbeatResult::RemovedTask& removed) {
    const Placement& placement = removed.placement;
    Machine* machine = machines_.find(name);
    if (machine) {
        if (machine->empty()) {
            machine->idle_since = now;
        }
        if (removed.reason == ExitReason::done) {
            machine->consecutive_errors = 0;
        }
    }
    bool failed = removed.reason == ExitReason::error || removed.reason == ExitReason::unknown;
    if (!leadership_.is_own_attempt(placement.attempt)) {
        // A remote task: the leader of its job's partition learns of the exit by peer sync.
        if (machine && failed) {
            ++machine->consecutive_errors;
        }
        return;
    }
    quotas_.remove_usage(placement.team, placement.cpus, placement.gpus);
    bool suspect_machine =
        on_own_task_gone(now, removed.task, removed.reason, machine ? machine->zone : "");
    if (machine && failed && suspect_machine) {
        ++machine->consecutive_errors;
    }
}

// Handles a placed task of this partition that is no longer on any machine. Returns false if the
// task failed but its job rather than the machine is to blame.
bool PartitionLeader::on_own_task_gone(Time now, const TaskId& task, ExitReason reason,
                                       const std::string& zone) {
    Job* job = jobs_.find(task.job);
    if (!job) {
        return true;
    }
    jobs_.mark_waiting(*job, task.index, zone);
    bool blames_machine = true;
    if (job->open() && reason == ExitReason::done) {
        jobs_.mark_done(*job, task.index);
        job->failures = 0;
        if (job->complete()) {
            job_persistence_.finish_job(now, *job);
        }
    } else if (reason == ExitReason::error || reason == ExitReason::unknown) {
        requests_.log(LogLevel::info,
                      "event=task_failed task=" + task.job + "/" + std::to_string(task.index));
        // A job whose tasks failed this many times in a row on different machines is
        // itself the likely cause, so further failures do not count against the machines.
        blames_machine = job->failures < policy_.quarantine_errors;
        ++job->failures;
        if (!blames_machine) {
            double steps = std::min(6.0, job->failures - policy_.quarantine_errors);
            job->backoff_until = now + settings_.heartbeat_interval_s * std::pow(2.0, steps);
        }
    }
    if (job->spec.kind == JobKind::gang) {
        gang_scheduler_.on_task_gone(now, *job, reason);
    }
    remove_job_if_cancelled(task.job);
    return blames_machine;
}

// Adopts the tasks that the machine reported and an earlier leader started. Only inventories under
// this leader's fencing token are used: a delayed heartbeat, of a machine that was released long
// ago or that has ended the task since, cannot have this token. Without this check, a leader that
// had just started and did not know the machine adopted the tasks of such a heartbeat; the real
// placements of these tasks were then treated as unexpected, and the tasks were started again while
// they were running.
void PartitionLeader::adopt_reported(Time now, Machine& machine) {
    if (!failover_.loaded() || !machine.fenced) {
        return;
    }
    std::vector<TaskStatus> reported = std::move(machine.unexpected);
    machine.unexpected.clear();
    for (const auto& status : reported) {
        if (leadership_.is_own_attempt(status.attempt)) {
            adopt_own(now, machine, status);
        } else if (status.stage == TaskStage::exited) {
            machine.finished.push_back(status); // until the job's leader reports the exit durable
        } else if (machine.tasks.contains(status.task)) {
            machine.unexpected.push_back(status);
        } else {
            Placement placement;
            placement.resources_unknown = true;
            MachineTable::adopt(now, machine, status, std::move(placement));
        }
    }
}

// Handles a reported task of this partition that has no placement on the machine: adopts it if it
// may continue, and otherwise keeps its status so that it is stopped or cleared.
void PartitionLeader::adopt_own(Time now, Machine& machine, const TaskStatus& status) {
    Job* job = jobs_.find(status.task.job);
    if (borrower_.adopt_local(status.task, status.attempt, machine.name)) {
        // It ran on a borrowed slot, and the machine's shard has migrated to this partition.
        if (!job || status.stage == TaskStage::exited) {
            machine.finished.push_back(status);
            on_remote_exit(now, status.task, status.exit_reason, machine.zone);
        } else {
            MachineTable::adopt(now, machine, status, placement_for(job->spec));
        }
        return;
    }
    if (!job || status.task.index >= job->spec.tasks) {
        machine.unexpected.push_back(status);
        return;
    }
    bool is_waiting =
        job->tasks[status.task.index] == TaskState::waiting && !machine.tasks.contains(status.task);
    if (status.stage == TaskStage::exited) {
        if (status.exit_reason == ExitReason::done && job->open()) {
            machine.finished.push_back(status); // cleared once durable
            if (is_waiting) {
                on_completion_discovered(now, *job, status.task.index);
            }
        } else {
            machine.unexpected.push_back(status);
        }
    } else if (is_waiting && (job->spec.kind != JobKind::gang ||
                              gangs_.adopt(now, status.task.job, status.attempt))) {
        MachineTable::adopt(now, machine, status, placement_for(job->spec));
        jobs_.mark_placed(*job, status.task.index, machine.zone);
        quotas_.add_usage(job->spec.team, job->spec.cpus, job->spec.gpus);
    } else {
        machine.unexpected.push_back(status);
    }
}

bool PartitionLeader::is_exit_durable(const TaskStatus& status) {
    const Job* job = jobs_.find(status.task.job);
    return !job || !job->open() || status.exit_reason != ExitReason::done ||
           (status.task.index < job->spec.tasks && jobs_.is_durable(*job, status.task.index));
}

// Adds stops for the reported tasks of cancelled jobs. Used when corrective commands are not
// possible: the heartbeat is not the newest, the machine has not confirmed the fencing token, or
// the jobs are not loaded yet. Tasks of cancelled jobs are stopped even then; otherwise a machine
// that returns from a network partition for a single heartbeat would keep them for two leases.
void PartitionLeader::add_cancellation_stops(const Heartbeat& heartbeat,
                                             std::vector<WorkerCommand>& out) const {
    for (const auto& status : heartbeat.tasks) {
        if (status.stage != TaskStage::exited && out.size() < kMaxCommandsPerResponse &&
            job_cache_.outcome(status.task.job) == Outcome::cancelled) {
            out.push_back({CommandType::stop, status.task, status.attempt, 0});
        }
    }
}

// Adds clears and stops for tasks that should not be on the machine. Requires that all jobs are
// loaded and the machine is fenced; otherwise such a task could be a valid one. Clears and stops
// are idempotent.
void PartitionLeader::add_corrective_commands(Time now, Machine& machine,
                                              std::vector<WorkerCommand>& out) {
    machine.drop_obsolete_remote_commands();
    add_clears(now, machine, out);
    for (const auto& status : machine.unexpected) {
        if (status.stage != TaskStage::exited && out.size() < kMaxCommandsPerResponse) {
            out.push_back({CommandType::stop, status.task, status.attempt, 0});
        }
    }
    for (const auto& [task, placement] : machine.tasks) {
        std::optional<double> grace_s = stop_grace_s(machine, task, placement);
        if (grace_s && placement.launch_state == Placement::LaunchState::reported &&
            out.size() < kMaxCommandsPerResponse) {
            out.push_back({CommandType::stop, task, placement.attempt, *grace_s});
        }
    }
}

// Adds clears for the exited tasks that the worker may forget. May raise the fencing token, under
// which they are to be sent.
void PartitionLeader::add_clears(Time now, Machine& machine, std::vector<WorkerCommand>& out) {
    std::vector<TaskStatus> exited = clearable_exits(machine);
    bool raised = MachineTable::raise_token_for_clears(
        now, machine, exited, kMaxClearHoldHeartbeats * settings_.heartbeat_interval_s);
    token_raises_ += raised ? 1 : 0;
    if (machine.fencing_exhausted()) {
        update_slot_lists(machine);
    }
    for (const auto& status : exited) {
        if (machine.may_clear(status) && out.size() < kMaxCommandsPerResponse) {
            out.push_back({CommandType::clear, status.task, status.attempt, 0});
        }
    }
}

// Returns the exited tasks whose exit is durable, as recorded here or, for remote tasks, by the
// leader that placed them, and those that nobody waits for.
std::vector<TaskStatus> PartitionLeader::clearable_exits(const Machine& machine) {
    std::vector<TaskStatus> exited;
    for (const auto& status : machine.finished) {
        bool remote = !leadership_.is_own_attempt(status.attempt);
        bool durable =
            remote ? machine.remote_clears.contains(launch_id(status.attempt, status.task.index))
                   : is_exit_durable(status);
        if (durable) {
            exited.push_back(status);
        }
    }
    for (const auto& status : machine.unexpected) {
        if (status.stage == TaskStage::exited) {
            exited.push_back(status);
        }
    }
    return exited;
}

// Returns the grace time for the task to save its work, in seconds, or nullopt if the task is not
// to be stopped.
std::optional<double> PartitionLeader::stop_grace_s(const Machine& machine, const TaskId& task,
                                                    const Placement& placement) {
    if (!leadership_.is_own_attempt(placement.attempt)) {
        if (jobs_.final_outcome(task.job) == Outcome::cancelled) {
            return 0;
        }
        auto stop = machine.remote_stops.find(launch_id(placement.attempt, task.index));
        return stop != machine.remote_stops.end() ? std::optional<double>(stop->second)
                                                  : std::nullopt;
    }
    const Job* job = jobs_.find(task.job);
    if (!job || !job->open()) {
        return 0;
    }
    if (job->spec.kind == JobKind::service && (machine.draining || machine.cordoned)) {
        // Replicas are moved off a machine that will be released. Array tasks may finish there.
        return job->spec.save_duration_s;
    }
    if (job->spec.kind == JobKind::gang) {
        const GangTracker::Attempt* attempt = gangs_.find(task.job);
        if (attempt && attempt->ending) {
            return attempt->may_save ? kSaveGraceFactor * job->spec.save_duration_s : 0;
        }
    }
    return std::nullopt;
}

void PartitionLeader::send_commands(Time now) {
    if (!leadership_.is_active(now) || !staleness_.is_fresh(now)) {
        return;
    }
    int available = settings_.max_concurrent_commands - commands_in_flight_;
    for (Machine* sendable :
         machines_.machines_with_commands(static_cast<std::size_t>(std::max(0, available)))) {
        const std::string& name = sendable->name;
        ++effort_;
        std::uint64_t token = sendable->fencing_token();
        auto commands = machines_.take_commands_for_request(*sendable);
        ++commands_in_flight_;
        OutboundRequestId request_id = requests_.send(
            WorkerCommands{name, sendable->endpoint, token, sendable->agent_epoch, commands},
            [this, name = name](Time at, OutboundResponse& response) {
                --commands_in_flight_;
                Machine* machine = machines_.find(name);
                if (!machine || machine->command_in_flight != response.request_id) {
                    return;
                }
                machine->command_in_flight = 0;
                if (response.heartbeat && response.heartbeat->machine == name &&
                    (response.status == 200 || response.status == 409)) {
                    commands_refused_ += response.status == 409 ? 1 : 0;
                    apply_heartbeat(at, *machine, *response.heartbeat, response.request_id);
                } else {
                    machines_.fence(*machine);
                    update_slot_lists(*machine);
                    requests_.log(LogLevel::info, "event=worker_command_timed_out machine=" + name);
                }
                schedule_on(at, *machine);
                send_commands(at);
            });
        machines_.on_commands_sent(*sendable, commands, request_id);
        trace_commands(now, *sendable, commands, true);
    }
}

void PartitionLeader::trace_commands(Time now, const Machine& machine,
                                     const std::vector<WorkerCommand>& commands, bool directly) {
    for (const auto& command : commands) {
        command_trace_.record(
            {now, machine.name, machine.agent_epoch, machine.fencing_token(), directly, command});
    }
}

// Logs tasks that run although they are not placed there, and the commands that were sent from here
// about them: one of these may have arrived late or twice.
void PartitionLeader::log_unexpected_tasks(const Machine& machine) {
    if (!failover_.loaded() || !machine.fenced) {
        return;
    }
    for (const auto& status : machine.unexpected) {
        LaunchId launch = launch_id(status.attempt, status.task.index);
        if (status.stage == TaskStage::exited || explained_launches_.contains(launch)) {
            continue;
        }
        if (explained_launches_.size() >= kMaxExplainedLaunches) {
            explained_launches_.clear();
        }
        explained_launches_.insert(launch);
        requests_.log(LogLevel::info, "event=unexpected_task_reported task=" + status.task.job +
                                          "/" + std::to_string(status.task.index) +
                                          " attempt=" + std::to_string(status.attempt) +
                                          " machine=" + machine.name +
                                          " agent_epoch=" + std::to_string(machine.agent_epoch) +
                                          " token=" + std::to_string(machine.fencing_token()));
        for (const auto& line : command_trace_.describe(status.task)) {
            requests_.log(LogLevel::info, "event=command_was_sent " + line);
        }
    }
}

void PartitionLeader::expire_leases(Time now) {
    for (Machine* machine : machines_.expired_machines(now)) {
        // If the shard may have moved to another partition, its leader may be renewing the leases.
        if ((!machine->reporting && machine->tasks.empty()) ||
            !owned_shards_.may_serve(machine->shard)) {
            continue;
        }
        requests_.log(LogLevel::info, "event=machine_lease_expired machine=" + machine->name);
        for (const auto& removed : machines_.expire_lease(*machine)) {
            on_task_removed(now, machine->name, removed);
        }
        update_slot_lists(*machine);
    }
}

bool PartitionLeader::task_counts(const std::string& id, std::uint32_t& done,
                                  std::uint32_t& running) {
    Job* job = jobs_.find(id);
    if (!job) {
        return false;
    }
    done = job->done;
    running = job->placed;
    return true;
}

// ---- Failover ----

void PartitionLeader::on_partition_loaded(Time now) {
    for (auto& [name, machine] : machines_.all()) {
        adopt_reported(now, machine);
        update_slot_lists(machine);
    }
    refresh_quota_config(now);
}

void PartitionLeader::on_reconciled(Time now) {
    std::vector<std::string> ids;
    for (const auto& [id, job] : jobs_.all()) {
        ids.push_back(id);
    }
    for (const auto& id : ids) {
        remove_job_if_cancelled(id);
    }
    // A gang attempt of an earlier leader continues if it is complete, and is ended otherwise.
    for (const auto& id : ids) {
        const Job* job = jobs_.find(id);
        if (job && job->open() && job->placed > 0 && !job->waiting.empty()) {
            end_attempt(now, id, false);
        }
    }
    schedule(now);
    send_commands(now);
}

void PartitionLeader::on_jobs_changed(Time now) {
    schedule(now);
    retry_preemption(now);
    send_commands(now);
    borrower_.sync_due_peers(now);
}

// ---- Implementations of the delegate interfaces ----

void PartitionLeader::on_remote_exit(Time now, const TaskId& task, ExitReason reason,
                                     const std::string& zone) {
    if (Job* job = jobs_.find(task.job)) {
        quotas_.remove_usage(job->spec.team, job->spec.cpus, job->spec.gpus);
    }
    on_own_task_gone(now, task, reason, zone);
}

void PartitionLeader::on_completion_discovered(Time now, Job& job, std::uint32_t task) {
    jobs_.mark_done(job, task);
    if (job.complete()) {
        job_persistence_.finish_job(now, job);
    }
}

void PartitionLeader::on_peer_response(Time now) {
    schedule(now);
    send_commands(now);
    borrower_.sync_due_peers(now);
}

void PartitionLeader::on_slot_requests(Time now) {
    schedule(now);
    retry_preemption(now);
    send_commands(now);
}

bool PartitionLeader::has_schedulable_tasks(Time now, const Job& job) const {
    // Without the staleness check, a leader whose leadership had outlasted a cluster-wide outage of
    // the store started replicas of a job that was cancelled before, until the first response of
    // its watch.
    return staleness_.is_fresh(now) &&
           (failover_.reconciled() || (failover_.loaded() && !job.unreconciled)) && job.open() &&
           !job.waiting.empty() && now >= job.backoff_until &&
           (job.spec.kind != JobKind::gang || gangs_.may_place(now, job));
}

void PartitionLeader::schedule(Time now) {
    if (failover_.loaded() && leadership_.is_active(now)) {
        task_scheduler_.schedule(now);
    }
}

void PartitionLeader::schedule_on(Time now, Machine& machine) {
    if (failover_.loaded() && leadership_.is_active(now)) {
        task_scheduler_.schedule_on(now, machine);
    }
}

void PartitionLeader::retry_preemption(Time now) {
    if (!failover_.loaded() || !leadership_.is_active(now)) {
        return;
    }
    preemptor_.preempt_for_pending_jobs(now);
    send_commands(now);
}

void PartitionLeader::on_machine_released(Time now, const std::string& name) {
    Machine& machine = *machines_.find(name);
    slots_.forget(name);
    reconciliation_.on_inventory(machine);
    lender_.on_machine_removed(machine);
    bool in_registry = machine.registered || machine.registration_pending;
    int home = machine.shard.home_partition;
    std::string zone = machine.zone;
    for (const auto& removed : machines_.remove(name)) {
        if (leadership_.is_own_attempt(removed.placement.attempt)) {
            quotas_.remove_usage(removed.placement.team, removed.placement.cpus,
                                 removed.placement.gpus);
            on_own_task_gone(now, removed.task, ExitReason::none, zone);
        }
    }
    if (in_registry) {
        registry_.remove(now, home, name);
    }
}

void PartitionLeader::release_machines(Time now, std::vector<std::string> names) {
    autoscaler_.scale_in(now, std::move(names));
}

void PartitionLeader::resume_scheduling(Time now) {
    try_reconcile(now);
    schedule(now);
    send_commands(now);
}

// If the machine were released before the leader of a remote task's job learned of the task's exit,
// the task would be run again. The leader learns of it within one or two peer syncs. A machine
// whose heartbeats are late is not waited for.
bool PartitionLeader::has_unacked_exits(Time now, const Machine& machine) const {
    return machine.reporting && now - machine.last_heartbeat < 2 * settings_.heartbeat_interval_s &&
           machine.empty() && lender_.has_unacked_exits(machine);
}

void PartitionLeader::handle_peer_sync(Time now, RequestId request_id,
                                       const PeerSyncRequest& request) {
    if (!leadership_.is_active(now) || !failover_.loaded()) {
        requests_.respond(request_id, 503, TextBody{"not entitled"}, 1);
        return;
    }
    lender_.handle_sync(now, request_id, request);
}

// ---- Cancellation and end of jobs ----

void PartitionLeader::on_completion_durable(const std::string& id) {
    if (const Job* job = jobs_.find(id)) {
        queue_.on_job_done(job->spec);
    }
    jobs_.record_outcome(id, Outcome::done);
    remove_job(id);
}

void PartitionLeader::on_outcome_found(Time now, const std::string& id, Outcome outcome) {
    if (outcome == Outcome::cancelled) {
        cancel_job(now, id);
    } else if (outcome == Outcome::done) {
        jobs_.record_outcome(id, Outcome::done);
        remove_job(id);
    }
}

void PartitionLeader::cancel_job(Time now, const std::string& id) {
    if (failover_.loaded() && !jobs_.find(id)) {
        // The job is not known here: its remote tasks on these machines are stopped, and it is
        // never started.
        jobs_.record_outcome(id, Outcome::cancelled);
    } else if (jobs_.cancel(id)) {
        requests_.log(LogLevel::info, "event=job_cancelled job=" + id);
        borrower_.stop_job(id, 0); // tasks on borrowed slots, through the lenders
        // Starts that have not been sent yet are dropped.
        for (auto& [name, machine] : machines_.all()) {
            for (const auto& removed : machines_.cancel_queued_starts(machine, &id)) {
                quotas_.remove_usage(removed.placement.team, removed.placement.cpus,
                                     removed.placement.gpus);
                jobs_.mark_waiting(*jobs_.find(id), removed.task.index, machine.zone);
                update_slot_lists(machine);
            }
            queue_immediate_stops(machine, id);
        }
        send_commands(now);
    }
    remove_job_if_cancelled(id);
}

// Queues a direct stop of each of the job's tasks on the machine. If the stop were only sent in the
// next heartbeat response, a task whose image is still being fetched could start before.
void PartitionLeader::queue_immediate_stops(Machine& machine, const std::string& job) {
    for (auto it = machine.tasks.lower_bound({job, 0});
         it != machine.tasks.end() && it->first.job == job; ++it) {
        if (leadership_.is_own_attempt(it->second.attempt)) {
            machines_.queue_stop(machine, it->first, it->second.attempt, 0);
        }
    }
}

// Clears the pending queue as well, since it may hold a pointer to the job.
void PartitionLeader::remove_job(const std::string& id) {
    queue_.clear();
    gangs_.on_attempt_gone(id);
    jobs_.drop(id);
}

void PartitionLeader::remove_job_if_cancelled(const std::string& id) {
    Job* job = jobs_.find(id);
    if (job && failover_.reconciled() && job->outcome == Outcome::cancelled && job->placed == 0) {
        jobs_.record_outcome(id, Outcome::cancelled);
        remove_job(id);
    }
}

// ---- Quota configuration ----

void PartitionLeader::apply_quota(Time now, const TeamQuota& quota) {
    quotas_.configure(quota, quota_config_.is_blocked(quota.name));
    if (!own_teams_.contains(quota.name)) {
        return; // the team belongs to another partition, which counts its usage
    }
    quota_evictor_.mark_over_guarantee(quota.name);
    queue_.invalidate();
    demand_.invalidate();
    if (!failover_.loaded() || !leadership_.is_active(now)) {
        return;
    }
    quota_evictor_.evict_over_quota(now);
    schedule(now);
    retry_preemption(now);
    send_commands(now);
    borrower_.sync_soon();
    borrower_.sync_due_peers(now);
}

// Updates whether the quota configuration that earlier leaders applied is known here, and is recent
// enough to start tasks under it.
void PartitionLeader::refresh_quota_config(Time now) {
    if (bool known = quota_config_.is_current(now, leadership_.since());
        known != quota_config_known_) {
        quota_config_known_ = known;
        quotas_.set_limits_known(known);
        queue_.invalidate();
    }
}

// ---- Statistics ----

// Logs how this partition's slots are used and what is pending, once every two heartbeat intervals.
void PartitionLeader::log_stats(Time now) {
    double total = 0;
    double running = 0;
    double fetching = 0;
    double sent = 0;
    double idle = 0;
    double gathering = 0;
    double closed = 0; // idle, on machines that accept no tasks
    int reporting = 0;
    auto slots_used = [](const InstanceType& type, const Placement& placement) {
        return type.gpus > 0 ? placement.gpus : placement.cpus;
    };
    for (const auto& [name, machine] : machines_.all()) {
        if (!machine.reporting) {
            continue;
        }
        ++reporting;
        total += machine.type.slots();
        for (const auto& [task, placement] : machine.tasks) {
            bool reported = placement.launch_state == Placement::LaunchState::reported;
            (!reported                                ? sent
             : placement.stage == TaskStage::fetching ? fetching
             : placement.stage == TaskStage::waiting  ? gathering
                                                      : running) +=
                slots_used(machine.type, placement);
        }
        for (const auto& [attempt, lent] : machine.lent_slots) {
            sent += slots_used(machine.type, lent.placement);
        }
        (slot_finder_.is_schedulable(machine) ? idle : closed) += machine.free_slots();
    }
    std::size_t waiting = 0;
    for (const auto& [id, job] : jobs_.all()) {
        waiting += job->open() ? job->waiting.size() : 0;
    }
    if (reporting == 0 && jobs_.all().empty()) {
        return;
    }
    auto count = [](double slots) { return std::to_string(std::llround(slots)); };
    requests_.log(LogLevel::info,
                  "event=partition_sampled partition=" + std::to_string(leadership_.partition()) +
                      " machines=" + std::to_string(reporting) + " slots=" + count(total) +
                      " running=" + count(running) + " fetching=" + count(fetching) +
                      " gathering=" + count(gathering) + " sent=" + count(sent) +
                      " idle=" + count(idle) + " closed=" + count(closed) + " jobs=" +
                      std::to_string(jobs_.all().size()) + " waiting=" + std::to_string(waiting) +
                      " token_raises=" + std::to_string(std::exchange(token_raises_, 0)) +
                      " commands_refused=" + std::to_string(std::exchange(commands_refused_, 0)));
    if (autoscaler_.is_provisioner()) {
        ClusterDemand cluster = demand_.cluster_demand(now);
        requests_.log(
            LogLevel::info,
            "event=capacity_sampled wants_on_demand=" + count(cluster.demand.on_demand_slots) +
                " wants_any=" + count(cluster.demand.spot_eligible_slots) + " has_ordinary=" +
                count(cluster.on_demand_slots) + " has_spot=" + count(cluster.spot_slots));
    }
}

// ---- Timer ----

void PartitionLeader::tick(Time now, double cpu_headroom, bool may_migrate) {
    failover_.retry_failed_loads(now);
    if (!failover_.loaded() || !leadership_.is_active(now)) {
        return;
    }
    if (bool known = staleness_.is_fresh(now); known != were_cancellations_known_) {
        were_cancellations_known_ = known;
        requests_.log(LogLevel::info, std::string("event=cancellations_") +
                                          (known ? "known" : "not_known") +
                                          " partition=" + std::to_string(leadership_.partition()));
    }
    refresh_quota_config(now);
    quota_evictor_.evict_over_quota(now);
    expire_leases(now);
    lender_.fence_lent_slots(now);
    reconciliation_.send_due_probes();
    reconciliation_.release_missing(now);
    try_reconcile(now);
    if (!failover_.reconciled()) {
        failover_.count_unreconciled_usage();
    }
    gang_scheduler_.run_periodic_checks(now);
    preemptor_.expire_reservations(now);
    registry_.flush(now);
    failover_.watch_jobs(now);
    for (const auto& [id, job] : jobs_.all()) {
        if (job->open() && job->complete()) {
            job_persistence_.finish_job(now, *job);
        }
    }
    job_persistence_.persist_completed_tasks(now);
    autoscaler_.list_instances(now);
    if (now >= next_stats_at_) {
        next_stats_at_ = now + 2 * settings_.heartbeat_interval_s;
        log_stats(now);
    }
    if (autoscaler_.is_run_due(now)) {
        demand_.set_local_state(cpu_headroom, shard_manager_.accepts_shards(now));
        ClusterDemand cluster = demand_.cluster_demand(now);
        queue_.update_load(now, cluster.on_demand_slots + cluster.spot_slots,
                           cluster.demand.remaining_slot_s);
        autoscaler_.run(now, reconciliation_.all_reconciled() &&
                                 now - leadership_.since() > machines_.max_lease_s());
        if (may_migrate) {
            shard_manager_.balance(now);
        }
    }
    schedule(now);
    retry_preemption(now);
    send_commands(now);
    borrower_.sync_due_peers(now);
    shard_manager_.tick(now);
    inventory_relay_.tick(now);
}

} // namespace scheduler

#include "core/partition_leader.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
constexpr std::size_t kMostCommands = 200; // keeps a response well under the 64 KiB allowed
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
      staleness_(settings_),
      failover_({leadership_, settings_, all_shards_, own_teams_, owned_shards_, instance_types_},
                {job_cache_, jobs_, machines_, quotas_, registry_, queue_, demand_, reconciliation_,
                 lender_, borrower_, staleness_},
                requests_, *this) {
    for (const auto& [team, its_part] : partitions_of_teams(settings_)) {
        quotas_.configure(*quota_config_.team(team), quota_config_.is_blocked(team));
        if (its_part == partition) {
            own_teams_.insert(team);
        }
    }
    quota_config_known_ = quota_config_.is_known(now, leadership_.since());
    quotas_.set_known(quota_config_known_);
    failover_.start(now);
}

// ---- Heartbeats ----

// Machines that the registry has recorded durably may run tasks from now on.
void PartitionLeader::on_machines_registered(Time now, const OutboundResponse& response,
                                             const std::vector<std::string>& names) {
    leadership_.committed(requests_, response, "roster");
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
    bool current = heartbeat.agent_epoch > machine->agent_epoch ||
                   (heartbeat.agent_epoch == machine->agent_epoch &&
                    heartbeat.sequence > machine->heartbeat_sequence);
    update_machine(now, *machine, heartbeat);
    apply_heartbeat(now, *machine, heartbeat, 0);
    try_reconcile(now);
    schedule_on(now, *machine);
    // Without a fencing token in the response, the worker stays with this controller and its lease
    // runs on unrenewed (one that has never seen a token has no tasks, yet counts its lease from
    // here). A leader that does not know of cancellations, since it has only just become leader or
    // since the key-value store refuses it, would keep their tasks alive by every response.
    HeartbeatBody response;
    if (staleness_.is_fresh(now)) {
        response = heartbeat_response(*machine, heartbeat, current);
    }
    machines_.on_lease_renewed(now, *machine);
    requests_.respond(request_id, 200, std::move(response));
    send_commands(now);
}

// The machine that the heartbeat is of, added if it is not known; none: it has been refused.
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
    if (!owned_shards_.may_serve(shard)) { // it is migrating, or has migrated
        return refuse("share not held");
    }
    Machine* machine = machines_.find(heartbeat.machine);
    if (!machine) {
        if (planner_.was_released(now, heartbeat.machine)) { // delayed, from a terminated machine
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

// Takes over what the heartbeat says of the machine itself, and registers the machine if need be.
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

// The fencing token and the commands for the machine. `current`: the heartbeat is its newest.
HeartbeatBody PartitionLeader::heartbeat_response(Machine& machine, const Heartbeat& heartbeat,
                                                  bool current) {
    HeartbeatBody response;
    response.fencing_token = machine.fencing_token();
    if (current && machine.fenced && failover_.loaded()) {
        add_corrective_commands(machine, response.commands);
    } else {
        stop_cancelled(heartbeat, response.commands);
    }
    if (current && machine.fenced) {
        auto starts = machines_.send_in_response(machine);
        response.commands.insert(response.commands.end(), starts.begin(), starts.end());
    }
    return response;
}

void PartitionLeader::apply_heartbeat(Time now, Machine& machine, const Heartbeat& heartbeat,
                                      OutboundRequestId orders) {
    HeartbeatResult result = machines_.apply_heartbeat(now, machine, heartbeat, orders);
    for (const auto& removed : result.removed) {
        on_task_removed(now, machine.name, removed);
    }
    if (machine.fenced) {
        reconciliation_.on_inventory(machine); // from here on its inventories are complete
    }
    if (result.is_newer) {
        adopt_reported(now, machine);
        if (machine.fenced && failover_.loaded()) { // for tasks on borrowed slots not listed here
            borrower_.on_inventory_complete(now, machine.name);
        }
    }
    gang_scheduler_.on_machine_inventory(now, machine);
    if (machine.preemption_notice_s || machine.consecutive_errors >= policy_.quarantine_errors) {
        for (const auto& removed : machines_.cancel_queued_starts(machine)) {
            on_task_removed(now, machine.name, removed);
        }
        if (!machine.draining) {
            requests_.log(LogLevel::info,
                          "event=machine_cordoned machine=" + machine.name +
                              (machine.preemption_notice_s ? " reason=notice" : " reason=errors"));
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
        // On a lent slot: the leader of its job's partition hears of it by peer sync.
        if (machine && failed) {
            ++machine->consecutive_errors;
        }
        return;
    }
    quotas_.remove_usage(placement.team, placement.cpus, placement.gpus);
    bool suspect_machine =
        on_task_gone(now, removed.task, removed.reason, machine ? machine->zone : "");
    if (machine && failed && suspect_machine) {
        ++machine->consecutive_errors;
    }
}

// A placed task of ours is on no machine any more. Says whether its failure, if it is one,
// counts against the machine.
bool PartitionLeader::on_task_gone(Time now, const TaskId& task, ExitReason why,
                                   const std::string& zone) {
    Job* job = jobs_.find(task.job);
    if (!job) {
        return true;
    }
    jobs_.mark_waiting(*job, task.index, zone);
    bool counts = true;
    if (job->open() && why == ExitReason::done) {
        jobs_.mark_done(*job, task.index);
        job->failures = 0;
        if (job->complete()) {
            job_persistence_.finish_job(now, *job);
        }
    } else if (why == ExitReason::error || why == ExitReason::unknown) {
        requests_.log(LogLevel::info,
                      "event=task_failed task=" + task.job + "/" + std::to_string(task.index));
        // A job that has failed on machine after machine is at fault itself, so it no longer
        // counts against the machines.
        counts = job->failures < policy_.quarantine_errors;
        ++job->failures;
        if (!counts) {
            double steps = std::min(6.0, job->failures - policy_.quarantine_errors);
            job->backoff_until = now + settings_.heartbeat_interval_s * std::pow(2.0, steps);
        }
    }
    if (job->spec.kind == JobKind::gang) {
        gang_scheduler_.on_task_gone(now, *job, why);
    }
    forget_if_over(task.job);
    return counts;
}

// Tasks that an earlier leader started come to light through the inventory in a heartbeat. Only one
// under our fencing token counts: a heartbeat that comes late, of a machine that was released long
// ago or of one that has since ended the task, cannot show it. Once such a heartbeat was believed
// by a leader that had just started and no longer knew the machine; the true placements of its
// tasks were then taken for unexpected ones, and the tasks started again while they ran.
void PartitionLeader::adopt_reported(Time now, Machine& machine) {
    if (!failover_.loaded() || !machine.fenced) {
        return;
    }
    std::vector<TaskStatus> listed = std::move(machine.unexpected);
    machine.unexpected.clear();
    for (const auto& status : listed) {
        if (leadership_.is_own_attempt(status.attempt)) {
            adopt_own(now, machine, status);
        } else if (status.stage == TaskStage::exited) {
            machine.finished.push_back(status); // until its job's leader says its end is durable
        } else if (machine.tasks.contains(status.task)) {
            machine.unexpected.push_back(status);
        } else {
            Placement placement;
            placement.resources_unknown = true;
            MachineTable::adopt(now, machine, status, std::move(placement));
        }
    }
}

void PartitionLeader::adopt_own(Time now, Machine& machine, const TaskStatus& status) {
    Job* job = jobs_.find(status.task.job);
    if (borrower_.adopt_local(status.task, status.attempt, machine.name)) {
        // It ran on a borrowed slot, and the machine's shard has migrated to us.
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
    bool waits =
        job->tasks[status.task.index] == TaskState::waiting && !machine.tasks.contains(status.task);
    if (status.stage == TaskStage::exited) {
        if (status.exit_reason == ExitReason::done && job->open()) {
            machine.finished.push_back(status); // cleared once durable
            if (waits) {
                on_completion_discovered(now, *job, status.task.index);
            }
        } else {
            machine.unexpected.push_back(status);
        }
    } else if (waits && (job->spec.kind != JobKind::gang ||
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

// For a heartbeat that corrective commands are too early or too late for: one that is not the
// newest, of a machine that has not shown our fencing token, or before the jobs are read. Nothing
// but tasks of cancelled jobs is stopped then, but these are, or a machine that comes back from a
// network partition for a single heartbeat would keep them for two leases.
void PartitionLeader::stop_cancelled(const Heartbeat& heartbeat,
                                     std::vector<WorkerCommand>& out) const {
    for (const auto& status : heartbeat.tasks) {
        if (status.stage != TaskStage::exited && out.size() < kMostCommands &&
            job_cache_.outcome(status.task.job) == Outcome::cancelled) {
            out.push_back({CommandType::stop, status.task, status.attempt, 0});
        }
    }
}

// Clears and stops for what is on the machine and should not be, all jobs being known and the
// machine fenced: else it may be a job's rightful task. Both can be repeated.
void PartitionLeader::add_corrective_commands(Machine& machine, std::vector<WorkerCommand>& out) {
    machine.forget_remote_commands();
    add_clears(machine, out);
    for (const auto& status : machine.unexpected) {
        if (out.size() >= kMostCommands) {
            break;
        }
        bool exited = status.stage == TaskStage::exited;
        out.push_back(
            {exited ? CommandType::clear : CommandType::stop, status.task, status.attempt, 0});
    }
    for (const auto& [task, placement] : machine.tasks) {
        std::optional<double> grace_s = stop_grace_s(machine, task, placement);
        if (grace_s && placement.via == Placement::Via::reported && out.size() < kMostCommands) {
            out.push_back({CommandType::stop, task, placement.attempt, *grace_s});
        }
    }
}

// Clears for the exited tasks whose end is durable: here, or with the leader that placed them.
void PartitionLeader::add_clears(const Machine& machine, std::vector<WorkerCommand>& out) {
    for (const auto& status : machine.finished) {
        bool remote = !leadership_.is_own_attempt(status.attempt);
        bool durable =
            remote ? machine.remote_clears.contains(launch_id(status.attempt, status.task.index))
                   : is_exit_durable(status);
        if (durable && out.size() < kMostCommands) {
            out.push_back({CommandType::clear, status.task, status.attempt, 0});
        }
    }
}

// How long the task may take to save its work if it is to be stopped; none: it goes on.
std::optional<double> PartitionLeader::stop_grace_s(const Machine& machine, const TaskId& task,
                                                    const Placement& placement) {
    if (!leadership_.is_own_attempt(placement.attempt)) {
        if (jobs_.final_outcome(task.job) == Outcome::cancelled) {
            return 0;
        }
        auto told = machine.remote_stops.find(launch_id(placement.attempt, task.index));
        return told != machine.remote_stops.end() ? std::optional<double>(told->second)
                                                  : std::nullopt;
    }
    const Job* job = jobs_.find(task.job);
    if (!job || !job->open()) {
        return 0;
    }
    if (job->spec.kind == JobKind::service && (machine.draining || machine.cordoned)) {
        // Replicas move off a machine that is to go; a task of an array may end there.
        return job->spec.save_s;
    }
    if (job->spec.kind == JobKind::gang) {
        const GangTracker::Attempt* attempt = gangs_.find(task.job);
        if (attempt && attempt->ending) {
            return attempt->may_save ? kSaveGraceFactor * job->spec.save_s : 0;
        }
    }
    return std::nullopt;
}

void PartitionLeader::send_commands(Time now) {
    if (!leadership_.is_active(now) || !staleness_.is_fresh(now)) {
        return;
    }
    int room = settings_.max_concurrent_commands - commands_in_flight_;
    for (Machine* sendable :
         machines_.machines_with_commands(static_cast<std::size_t>(std::max(0, room)))) {
        const std::string& name = sendable->name;
        ++effort_;
        std::uint64_t token = sendable->fencing_token();
        auto commands = machines_.send_directly(*sendable);
        ++commands_in_flight_;
        OutboundRequestId call = requests_.send(
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
                    apply_heartbeat(at, *machine, *response.heartbeat, response.request_id);
                } else {
                    machines_.fence(*machine);
                    update_slot_lists(*machine);
                    requests_.log(LogLevel::info, "event=worker_command_timed_out machine=" + name);
                }
                schedule_on(at, *machine);
                send_commands(at);
            });
        machines_.on_sent_directly(*sendable, commands, call);
    }
}

void PartitionLeader::expire_leases(Time now) {
    for (Machine* machine : machines_.expired_machines(now)) {
        // While a shard may be another partition's, that one may renew the leases there.
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
        forget_if_over(id);
    }
    // A gang attempt of an earlier leader goes on if it is whole, and is ended if not.
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

// ---- Delegates of the classes that it wires ----

void PartitionLeader::on_remote_exit(Time now, const TaskId& task, ExitReason why,
                                     const std::string& zone) {
    if (Job* job = jobs_.find(task.job)) {
        quotas_.remove_usage(job->spec.team, job->spec.cpus, job->spec.gpus);
    }
    on_task_gone(now, task, why, zone);
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
    // After an outage for all, a leader whose leadership had outlived it once started replicas of a
    // job that had been cancelled before, until the first response of its watch.
    return staleness_.is_fresh(now) &&
           (failover_.reconciled() || (failover_.loaded() && !job.in_doubt)) && job.open() &&
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
    bool on_roster = machine.registered || machine.registration_pending;
    int home = machine.shard.home_partition;
    std::string zone = machine.zone;
    for (const auto& g : machines_.remove(name)) {
        if (leadership_.is_own_attempt(g.placement.attempt)) {
            quotas_.remove_usage(g.placement.team, g.placement.cpus, g.placement.gpus);
            on_task_gone(now, g.task, ExitReason::none, zone);
        }
    }
    if (on_roster) {
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

// A task that ended here would be run again if the machine went before its job's leader has heard
// of the end, which takes no longer than a peer sync or two. A silent machine is not waited for.
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
    drop_job(id);
}

void PartitionLeader::on_outcome_found(Time now, const std::string& id, Outcome outcome) {
    if (outcome == Outcome::cancelled) {
        cancel_job(now, id);
    } else if (outcome == Outcome::done) {
        jobs_.record_outcome(id, Outcome::done);
        drop_job(id);
    }
}

void PartitionLeader::cancel_job(Time now, const std::string& id) {
    if (failover_.loaded() && !jobs_.find(id)) {
        // Its remote tasks here are to stop, and it never starts.
        jobs_.record_outcome(id, Outcome::cancelled);
    } else if (jobs_.cancel(id)) {
        requests_.log(LogLevel::info, "event=job_cancelled job=" + id);
        borrower_.stop_job(id, 0); // on other partitions' machines, by their leaders
        // Starts that have not been sent yet are never sent.
        for (auto& [name, m] : machines_.all()) {
            for (const auto& g : machines_.cancel_queued_starts(m, &id)) {
                quotas_.remove_usage(g.placement.team, g.placement.cpus, g.placement.gpus);
                jobs_.mark_waiting(*jobs_.find(id), g.task.index, m.zone);
                update_slot_lists(m);
            }
            stop_at_once(m, id);
        }
        send_commands(now);
    }
    forget_if_over(id);
}

// A task whose image is still being fetched would start before the next heartbeat's response
// brings its stop.
void PartitionLeader::stop_at_once(Machine& machine, const std::string& job) {
    for (auto it = machine.tasks.lower_bound({job, 0});
         it != machine.tasks.end() && it->first.job == job; ++it) {
        if (leadership_.is_own_attempt(it->second.attempt)) {
            machines_.queue_stop(machine, it->first, it->second.attempt, 0);
        }
    }
}

// The pending queue may point to the job.
void PartitionLeader::drop_job(const std::string& id) {
    queue_.clear();
    gangs_.on_attempt_gone(id);
    jobs_.drop(id);
}

void PartitionLeader::forget_if_over(const std::string& id) {
    Job* job = jobs_.find(id);
    if (job && failover_.reconciled() && job->outcome == Outcome::cancelled && job->placed == 0) {
        jobs_.record_outcome(id, Outcome::cancelled);
        drop_job(id);
    }
}

// ---- Quota configuration ----

void PartitionLeader::apply_quota(Time now, const TeamQuota& quota) {
    quotas_.configure(quota, quota_config_.is_blocked(quota.name));
    if (!own_teams_.contains(quota.name)) {
        return; // another partition's team: its usage is counted there
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

// Whether the configuration that earlier leaders applied is known, and recent enough to start tasks
// by.
void PartitionLeader::refresh_quota_config(Time now) {
    if (bool known = quota_config_.is_known(now, leadership_.since());
        known != quota_config_known_) {
        quota_config_known_ = known;
        quotas_.set_known(known);
        queue_.invalidate();
    }
}

// ---- Figures ----

// Where this partition's slots are, and what is pending: a line every few heartbeats.
void PartitionLeader::log_stats(Time now) {
    double total = 0;
    double running = 0;
    double fetching = 0;
    double sent = 0;
    double idle = 0;
    double gathering = 0;
    double closed = 0; // on machines that take nothing
    int up = 0;
    auto taken = [](const InstanceType& type, const Placement& placement) {
        return type.gpus > 0 ? placement.gpus : placement.cpus;
    };
    for (const auto& [name, m] : machines_.all()) {
        if (!m.reporting) {
            continue;
        }
        ++up;
        total += m.type.slots();
        for (const auto& [task, p] : m.tasks) {
            bool listed = p.via == Placement::Via::reported;
            (!listed                          ? sent
             : p.stage == TaskStage::fetching ? fetching
             : p.stage == TaskStage::waiting  ? gathering
                                              : running) += taken(m.type, p);
        }
        for (const auto& [attempt, lot] : m.lent_slots) {
            sent += taken(m.type, lot.placement);
        }
        (slot_finder_.is_schedulable(m) ? idle : closed) += m.free_slots();
    }
    std::size_t waiting = 0;
    for (const auto& [id, job] : jobs_.all()) {
        waiting += job->open() ? job->waiting.size() : 0;
    }
    if (up == 0 && jobs_.all().empty()) {
        return;
    }
    auto count = [](double d) { return std::to_string(std::llround(d)); };
    requests_.log(LogLevel::info,
                  "event=partition_sampled partition=" + std::to_string(leadership_.partition()) +
                      " machines=" + std::to_string(up) + " slots=" + count(total) +
                      " running=" + count(running) + " fetching=" + count(fetching) +
                      " gathering=" + count(gathering) + " sent=" + count(sent) +
                      " idle=" + count(idle) + " closed=" + count(closed) + " jobs=" +
                      std::to_string(jobs_.all().size()) + " waiting=" + std::to_string(waiting));
    if (autoscaler_.is_provisioner()) {
        ClusterDemand all = demand_.cluster_demand(now);
        requests_.log(LogLevel::info, "event=capacity_sampled wants_on_demand=" +
                                          count(all.demand.on_demand_slots) +
                                          " wants_any=" + count(all.demand.any_kind_slots) +
                                          " has_ordinary=" + count(all.on_demand_slots) +
                                          " has_spot=" + count(all.spot_slots));
    }
}

// ---- Time ----

void PartitionLeader::tick(Time now, double capacity, bool may_move) {
    failover_.retry_failed_loads(now);
    if (!failover_.loaded() || !leadership_.is_active(now)) {
        return;
    }
    if (bool knows = staleness_.is_fresh(now); knows != was_fresh_) {
        was_fresh_ = knows;
        requests_.log(LogLevel::info, std::string("event=cancellations_") +
                                          (knows ? "known" : "not_known") +
                                          " partition=" + std::to_string(leadership_.partition()));
    }
    refresh_quota_config(now);
    quota_evictor_.evict_over_quota(now);
    expire_leases(now);
    lender_.fence_lent_slots(now);
    reconciliation_.probe_due();
    reconciliation_.release_missing(now);
    try_reconcile(now);
    if (!failover_.reconciled()) {
        failover_.count_doubtful_usage();
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
    if (now >= next_stats_) {
        next_stats_ = now + 2 * settings_.heartbeat_interval_s;
        log_stats(now);
    }
    if (autoscaler_.due(now)) {
        demand_.set_local_state(capacity, shard_manager_.accepts_shards(now));
        ClusterDemand all = demand_.cluster_demand(now);
        queue_.update_load(now, all.on_demand_slots + all.spot_slots, all.demand.remaining_slot_s);
        autoscaler_.run(now, reconciliation_.all_reconciled() &&
                                 now - leadership_.since() > machines_.max_lease_s());
        if (may_move) {
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

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
      gang_scheduler_({leadership_, settings_, jobs_, machines_, quotas_, gangs_, slot_finder_,
                       queue_, lender_, borrower_, requests_},
                      *this),
      inventory_relay_(leadership_, settings_, partition_map, lender_, borrower_, requests_, *this),
      shard_manager_(leadership_, settings_, partition_map, owned_shards_, instance_types_,
                     planner_,
                     {machines_, slots_, registry_, reconciliation_, lender_, borrower_, demand_},
                     requests_, *this),
      staleness_(settings_) {
    for (const auto& [team, its_part] : partitions_of_teams(settings_)) {
        quotas_.configure(*quota_config_.team(team), quota_config_.is_blocked(team));
        if (its_part == partition) {
            own_teams_.insert(team);
        }
    }
    quota_config_known_ = quota_config_.is_known(now, leadership_.since());
    quotas_.set_known(quota_config_known_);
    load_records(now, kJobPrefix, "");
}

// ---- Reports ----

void PartitionLeader::handle_heartbeat(Time now, RequestId request_id, const Heartbeat& heartbeat) {
    const InstanceType* type = instance_types_.find(heartbeat.type);
    if (!type) {
        requests_.log(LogLevel::error, "event=machine_rejected machine=" + heartbeat.machine);
        requests_.respond(request_id, 503, TextBody{"unknown machine type"}, 1);
        return;
    }
    if (!leadership_.is_active(now)) {
        requests_.respond(request_id, 503, TextBody{"not entitled"}, 1);
        return;
    }
    ShardId shard = shard_of_machine(settings_, heartbeat.machine, heartbeat.zone);
    if (!owned_shards_.may_serve(shard)) { // it passes on, or has
        requests_.respond(request_id, 503, TextBody{"share not held"}, 1);
        return;
    }
    Machine* machine = machines_.find(heartbeat.machine);
    if (!machine) {
        if (planner_.was_released(now, heartbeat.machine)) { // a message from the dead
            requests_.respond(request_id, 503, TextBody{"released"}, 1);
            return;
        }
        machine = &machines_.add(now, heartbeat.machine, *type, heartbeat.zone, heartbeat.spot,
                                 shard, owned_shards_.term(shard));
        machine->last_heartbeat = now;
        requests_.log(LogLevel::info, "event=machine_registered machine=" + heartbeat.machine);
    }
    if (machine->releasing || heartbeat.agent_epoch <= machine->expired_epoch) {
        requests_.respond(request_id, 503, TextBody{"session is over"}, 1);
        return;
    }
    bool current = heartbeat.agent_epoch > machine->agent_epoch ||
                   (heartbeat.agent_epoch == machine->agent_epoch &&
                    heartbeat.sequence > machine->heartbeat_sequence);
    machine->endpoint = heartbeat.endpoint;
    machine->zone = heartbeat.zone;
    machine->spot = heartbeat.spot;
    if (!machine->reporting) {
        machine->idle_since = now;
    }
    machine->last_heartbeat = now;
    if (!machine->registered && !machine->registration_pending) {
        machine->registration_pending = true;
        registry_.add(now, machine->shard.home_partition, machine->name,
                      {machine->endpoint, machine->type.name, machine->zone, machine->spot});
    }
    apply_heartbeat(now, *machine, heartbeat, 0);
    try_reconcile(now);
    schedule_on(now, *machine);
    HeartbeatBody answer;
    if (staleness_.is_fresh(now)) {
        answer.fencing_token = machine->fencing_token();
        if (current && machine->fenced && loaded_) {
            add_corrective_commands(*machine, answer.commands);
        } else {
            stop_cancelled(heartbeat, answer.commands);
        }
        if (current && machine->fenced) {
            auto starts = machines_.send_in_response(*machine);
            answer.commands.insert(answer.commands.end(), starts.begin(), starts.end());
        }
    }
    // Else it has no token: the worker stays with this node and its lease runs on unrenewed (one
    // that has never seen a token has no tasks, yet counts its lease from here). An owner that does
    // not know of cancellations, since it has only just claimed the part or since the state service
    // refuses it, would keep their tasks alive by every answer.
    machines_.on_lease_renewed(now, *machine);
    requests_.respond(request_id, 200, std::move(answer));
    send_commands(now);
}

void PartitionLeader::apply_heartbeat(Time now, Machine& machine, const Heartbeat& heartbeat,
                                      OutboundRequestId orders) {
    HeartbeatResult result = machines_.apply_heartbeat(now, machine, heartbeat, orders);
    for (const auto& g : result.removed) {
        on_task_removed(now, machine.name, g);
    }
    if (machine.fenced) {
        reconciliation_.on_inventory(machine); // from here on its listings are all there is
    }
    if (result.is_newer) {
        adopt_reported(now, machine);
        if (machine.fenced && loaded_) { // what we had borrowed here and is not listed
            borrower_.on_inventory_complete(now, machine.name);
        }
    }
    gang_scheduler_.observe(now, machine);
    if (machine.preemption_notice_s || machine.consecutive_errors >= policy_.quarantine_errors) {
        for (const auto& g : machines_.cancel_queued_starts(machine)) {
            on_task_removed(now, machine.name, g);
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
    if (!leadership_.is_own_attempt(
            placement.attempt)) { // a guest: its job's owner hears of it by exchange
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
            finish_job(now, *job);
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

// Tasks that an owner before us started come to light through the listing. Only one under our token
// counts: a report that comes late, of a machine that was released long ago or of one that has
// since ended the task, cannot show it. Once such a report was believed by an owner that had just
// started and no longer knew the machine; its tasks' true places were then taken for foreign, and
// the tasks started again while they ran.
void PartitionLeader::adopt_reported(Time now, Machine& machine) {
    if (!loaded_ || !machine.fenced) {
        return;
    }
    std::vector<TaskStatus> listed = std::move(machine.unexpected);
    machine.unexpected.clear();
    for (const auto& t : listed) {
        bool guest = !leadership_.is_own_attempt(t.attempt);
        if (guest) {
            if (t.stage == TaskStage::exited) {
                machine.finished.push_back(t); // until its job's owner says that its end is durable
            } else if (machine.tasks.contains(t.task)) {
                machine.unexpected.push_back(t);
            } else {
                Placement placement;
                placement.resources_unknown = true;
                MachineTable::adopt(now, machine, t, std::move(placement));
            }
            continue;
        }
        adopt_own(now, machine, t);
    }
}

void PartitionLeader::adopt_own(Time now, Machine& machine, const TaskStatus& status) {
    Job* job = jobs_.find(status.task.job);
    if (borrower_.adopt_local(status.task, status.attempt,
                              machine.name)) { // its machine has come to us
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
                on_found_done(now, *job, status.task.index);
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

bool PartitionLeader::end_is_durable(const TaskStatus& status) {
    const Job* job = jobs_.find(status.task.job);
    return !job || !job->open() || status.exit_reason != ExitReason::done ||
           (status.task.index < job->spec.tasks && jobs_.is_durable(*job, status.task.index));
}

// What upkeep is too early or too late for: a report that is not the newest, a machine that has not
// shown our token, or jobs not read yet. Nothing but tasks of cancelled jobs is stopped then, but
// these are, or one that comes back from a cut for a single report would keep them for two leases.
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
    for (const auto& t : machine.finished) {
        bool guest = !leadership_.is_own_attempt(t.attempt);
        bool durable = guest ? machine.remote_clears.contains(launch_id(t.attempt, t.task.index))
                             : end_is_durable(t);
        if (durable && out.size() < kMostCommands) {
            out.push_back({CommandType::clear, t.task, t.attempt, 0});
        }
    }
    for (const auto& t : machine.unexpected) {
        if (out.size() >= kMostCommands) {
            break;
        }
        if (t.stage == TaskStage::exited) {
            out.push_back({CommandType::clear, t.task, t.attempt, 0});
        } else {
            out.push_back({CommandType::stop, t.task, t.attempt, 0});
        }
    }
    for (const auto& [task, p] : machine.tasks) {
        Job* job = jobs_.find(task.job);
        bool stop = !job || !job->open();
        double grace_s = 0;
        if (!leadership_.is_own_attempt(p.attempt)) {
            auto told = machine.remote_stops.find(launch_id(p.attempt, task.index));
            stop = told != machine.remote_stops.end();
            grace_s = stop ? told->second : 0;
            if (jobs_.final_outcome(task.job) == Outcome::cancelled) {
                stop = true;
                grace_s = 0;
            }
        } else if (!stop && job->spec.kind == JobKind::service) {
            // Replicas move off a machine that is to go; a task of an array may end there.
            stop = machine.draining || machine.cordoned;
            grace_s = job->spec.save_s;
        } else if (!stop && job->spec.kind == JobKind::gang) {
            const GangTracker::Attempt* attempt = gangs_.find(task.job);
            stop = attempt && attempt->ending;
            grace_s = stop && attempt->saves ? kSaveGraceFactor * job->spec.save_s : 0;
        }
        if (stop && p.via == Placement::Via::reported && out.size() < kMostCommands) {
            out.push_back({CommandType::stop, task, p.attempt, grace_s});
        }
    }
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
        // While a share may be another's, that one may renew the leases there.
        if ((!machine->reporting && machine->tasks.empty()) ||
            !owned_shards_.may_serve(machine->shard)) {
            continue;
        }
        requests_.log(LogLevel::info, "event=machine_lease_expired machine=" + machine->name);
        for (const auto& g : machines_.expire_lease(*machine)) {
            on_task_removed(now, machine->name, g);
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

// ---- What the parts of this owner ask of it ----

void PartitionLeader::on_remote_exit(Time now, const TaskId& task, ExitReason why,
                                     const std::string& zone) {
    if (Job* job = jobs_.find(task.job)) {
        quotas_.remove_usage(job->spec.team, job->spec.cpus, job->spec.gpus);
    }
    on_task_gone(now, task, why, zone);
}

void PartitionLeader::on_found_done(Time now, Job& job, std::uint32_t task) {
    jobs_.mark_done(job, task);
    if (job.complete()) {
        finish_job(now, job);
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

void PartitionLeader::retry_preemption(Time now) {
    if (!loaded_ || !leadership_.is_active(now)) {
        return;
    }
    preemptor_.retry(now);
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

// A task that ended here would be run again if the machine went before its job's owner has heard of
// the end, which takes no longer than a call or two. A silent machine is not waited for.
bool PartitionLeader::has_unacked_exits(Time now, const Machine& machine) const {
    return machine.reporting && now - machine.last_heartbeat < 2 * settings_.heartbeat_interval_s &&
           machine.empty() && lender_.has_unacked_exits(machine);
}

void PartitionLeader::handle_peer_sync(Time now, RequestId request_id,
                                       const PeerSyncRequest& request) {
    if (!leadership_.is_active(now) || !loaded_) {
        requests_.respond(request_id, 503, TextBody{"not entitled"}, 1);
        return;
    }
    lender_.handle_sync(now, request_id, request);
}

// ---- Figures ----

// Where this part's slots are, and what waits: one line now and then.
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
    for (const auto& again : std::exchange(failed_loads_, {})) {
        load_records(now, again.prefix, again.after);
    }
    if (!loaded_ || !leadership_.is_active(now)) {
        return;
    }
    if (bool knows = staleness_.is_fresh(now); knows != was_fresh_) {
        was_fresh_ = knows;
        requests_.log(LogLevel::info, std::string("event=cancellations_") +
                                          (knows ? "known" : "not_known") +
                                          " partition=" + std::to_string(leadership_.partition()));
    }
    refresh_quota_config(now);
    evict_over_quota(now);
    expire_leases(now);
    lender_.fence_lent_slots(now);
    reconciliation_.probe_due();
    reconciliation_.release_missing(now);
    try_reconcile(now);
    if (!reconciled_) {
        count_doubtful_usage();
    }
    gang_scheduler_.supervise(now);
    preemptor_.expire_reservations(now);
    registry_.flush(now);
    watch_jobs(now);
    for (const auto& [id, job] : jobs_.all()) {
        if (job->open() && job->complete()) {
            finish_job(now, *job);
        }
    }
    if (now >= next_persist_) {
        persist_completed_tasks(now);
    }
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

// A simulation of everything outside the core: key-value store, cloud, workers, network, users and
// clock, with faults on demand. It checks the rules at every step.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/controller.h"
#include "simulation/attempt_checker.h"
#include "simulation/cloud_model.h"
#include "simulation/cluster_setup.h"
#include "simulation/controller_model.h"
#include "simulation/event_queue.h"
#include "simulation/gang_model.h"
#include "simulation/heartbeat_sender.h"
#include "simulation/history_checker.h"
#include "simulation/kv_store_model.h"
#include "simulation/message_copies.h"
#include "simulation/network_model.h"
#include "simulation/options.h"
#include "simulation/pending_requests.h"
#include "simulation/queries.h"
#include "simulation/quota_model.h"
#include "simulation/random_source.h"
#include "simulation/reply_channel.h"
#include "simulation/request_router.h"
#include "simulation/request_transport.h"
#include "simulation/start_checker.h"
#include "simulation/user_model.h"
#include "simulation/worker_model.h"

namespace scheduler::test {

// Connects the models of a simulated cluster with the controllers under test and offers them to
// tests. Controllers ("nodes") are identified by number; times are in seconds of the simulated
// clock.
class SimulatedCluster {
  public:
    explicit SimulatedCluster(SimulationOptions options);
    SimulatedCluster(const SimulatedCluster&) = delete;
    SimulatedCluster& operator=(const SimulatedCluster&) = delete;

    Time now() const { return clock_.now(); }
    void run_until(Time end) { clock_.run_until(end); }
    void run_for(double seconds) { run_until(now() + seconds); }
    // Schedules work of the test.
    void at(Time when, std::function<void()> work) { clock_.at(when, std::move(work)); }

    // Users. The responses are stored in `answers`, by request.
    RequestId submit(int node, const JobSpec& spec) { return users_.submit(node, spec); }
    // Adds a job that was accepted earlier, maybe under other settings, with its outcome.
    void add_existing_job(const JobSpec& spec, Outcome outcome);
    RequestId poll(int node, const std::string& job) { return users_.poll(node, job); }
    RequestId cancel(int node, const std::string& job) { return users_.cancel(node, job); }
    // Returns how many requests of concurrent status reads and edge cases got the job's stage as
    // response.
    std::size_t status_reads_answered() const { return users_.status_reads_answered(); }
    // Sends a repeated submission, a cancellation if the job is done, and submissions that can
    // never run.
    void send_edge_case_requests(const std::string& job) { users_.send_edge_case_requests(job); }
    // From now on users poll each open job every 5 s, at a controller that is ready. The history
    // checker measures how long each goes unanswered or waits although machines are idle.
    void start_polling_open_jobs();
    double longest_unanswered() const { return history_checker_.longest_unanswered(now()); }
    // Returns the status of a readiness probe.
    int probe_readiness(int node) { return users_.probe_readiness(node); }
    JobSpec job(const std::string& id, std::uint32_t tasks, double cpus = 2) const {
        return usual_job(options_, id, tasks, cpus);
    }

    // Faults.
    void crash(int node, double restart_s) { controllers_.crash(node, restart_s); }
    // Pauses the process while its clock continues; inputs are held until it resumes.
    void freeze(int node, double seconds) { controllers_.freeze(node, seconds); }
    // Migrates a shard of the partition to another partition. Returns false if its leader can't
    // now.
    bool migrate_shard(int partition, const ShardId& shard, int to) {
        return controllers_.migrate_shard(owner(partition), partition, shard, to);
    }
    // Returns the shards that the partition's leader holds.
    std::vector<ShardId> held_shards(int partition) const {
        return controllers_.held_shards(owner(partition), partition);
    }
    // Returns the number of log lines with this event.
    std::size_t log_count(const std::string& event) const;
    void set_store_down(bool down) { store_.set_down(down); }
    void set_store_refusing(int node, bool refuses) { store_.set_refusing(node, refuses); }
    // The controller gets no responses from the key-value store.
    void set_store_silent(int node, bool silent) { store_.set_silent(node, silent); }
    void cut_workers(int node, bool cut) { network_.cut_workers(node, cut); }
    void cut_peers(int a, int b, bool cut) { network_.cut_peers(a, b, cut); }
    // Isolates the zone from everything outside it. An empty name ends the isolation.
    void cut_zone(const std::string& zone) { network_.cut_zone(zone); }
    void cut_machine(const std::string& machine, bool cut) { workers_.set_cut(machine, cut); }
    // Its heartbeats arrive; responses and direct commands do not.
    void cut_inbound(const std::string& machine, bool cut) {
        workers_.set_inbound_cut(machine, cut);
    }
    // Its heartbeats reach no controller; direct commands reach it.
    void cut_outbound(const std::string& machine, bool cut) {
        workers_.set_outbound_cut(machine, cut);
    }
    // Pauses the machine. Direct commands are executed when it resumes.
    void hang(const std::string& machine, double seconds) { workers_.hang(machine, seconds); }
    void kill_machine(const std::string& machine) { workers_.kill(machine); }
    // Makes the worker lose the highest fencing token that it has seen, and its exited tasks.
    void forget_token(const std::string& machine) { workers_.forget_token(machine); }
    // Gives notice that the cloud preempts the machine, and ends it after `notice_s`.
    void preempt_machine(const std::string& machine, double notice_s) {
        workers_.preempt(machine, notice_s);
    }
    void set_cloud_down(bool down) { cloud_.set_down(down); }
    // From now on, the cloud provisions a machine only while it has fewer than this number.
    void set_cloud_capacity(std::size_t machines) { cloud_.set_capacity(machines); }
    // While set, the cloud provisions on-demand machines only.
    void set_spot_sold_out(bool sold_out) { cloud_.set_spot_sold_out(sold_out); }
    // Delivers an earlier heartbeat of the machine to the controller now, for the first time or
    // again.
    void deliver_heartbeat_late(int node, const Heartbeat& heartbeat) {
        heartbeats_.deliver_heartbeat_late(node, heartbeat);
    }
    // Delivers a request of a controller once more, now. Nobody waits for the response.
    void deliver_copy(const RequestMessage& message) { transport_.deliver_copy(message); }
    Heartbeat last_sent_heartbeat(const std::string& machine) const {
        return heartbeats_.last_sent_heartbeat(machine);
    }
    using RandomFaults = test::RandomFaults;
    // Faults drawn at random from now on.
    RandomFaults random_faults;

    // Quota configuration.
    // Overwrites the team's quota, as an operator does. Returns false if the store is down. With a
    // positive `late_s`, the write is executed that much later and the writer does not learn its
    // outcome.
    bool configure(const TeamQuota& quota, double late_s = 0) {
        return quotas_.configure(quota, late_s);
    }
    // Returns the quota as last written, or as in the settings.
    TeamQuota team(const std::string& name) const { return quotas_.team(name); }
    // Writes the quota if the stored version is `version`, as a concurrent operator does. Returns
    // the status.
    int configure_if_version(const TeamQuota& quota, std::uint64_t version) {
        return quotas_.configure_if_version(quota, version);
    }
    std::uint64_t version_of(const std::string& key) const { return store_.version_of(key); }
    // Returns the seconds from the write of each change until it is in force at each controller.
    const std::vector<double>& quota_delays_s() const { return quotas_.quota_delays_s(); }
    // Writes or deletes a record of the store directly.
    void put(const std::string& key, StoredRecord record);
    void drop(const std::string& key) { store_.drop(key); }
    bool key_exists(const std::string& key) const { return store_.entries().contains(key); }

    // Actual state of the cluster.
    const HistoryChecker& history_checker() const { return history_checker_; }
    // Returns the longest time that a task was on a machine after its user was told of the
    // cancellation.
    double longest_cancelled() const { return history_checker_.longest_cancelled(); }
    std::vector<std::string> machines_up() const { return test::machines_up(workers_.all()); }
    std::set<std::string> machines_of(const TaskId& task) const {
        return test::machines_of(workers_.all(), task);
    }
    std::string type_of(const std::string& machine) const {
        return workers_.get(machine).type.name;
    }
    std::string zone_of(const std::string& machine) const { return workers_.get(machine).zone; }
    // Returns the controller that the machine sends its heartbeats to.
    int controller_of(const std::string& machine) const {
        return heartbeats_.controller_of(machine);
    }
    // Returns the start of its lease: when the last heartbeat that was answered had been sent.
    Time last_lease_renewal(const std::string& machine) const {
        return workers_.get(machine).lease_renewed_at;
    }
    bool all_done(const std::string& job) const { return history_checker_.all_done(job); }
    // Returns the seconds from the submission to the first start of a task, or none if none has
    // started.
    std::optional<double> seconds_to_first_start(const std::string& job) const {
        return history_checker_.seconds_to_first_start(job);
    }
    int starts(const TaskId& task) const { return start_checker_.starts(task); }
    // Return how often all tasks of a gang started to run together, and how often all of them saved
    // their progress.
    int gang_runs(const std::string& job) const { return gangs_.runs(job); }
    int gang_saves(const std::string& job) const { return gangs_.saves(job); }
    // Returns the attempt that is on a machine now, or 0 if there is none.
    std::uint64_t attempt_of(const TaskId& task) const {
        return test::attempt_of(workers_.all(), task);
    }
    // Returns what the team's tasks use, in the unit of its quota: CPUs or GPUs.
    double used(const std::string& team) const { return quotas_.used(team); }
    // Returns the controller that leads the partition, or -1 if there is none.
    int owner(int partition = 0) const { return leader_of(store_, partition); }
    std::map<std::string, Outcome> outcomes() const { return job_outcomes(store_); }
    // See HistoryChecker::groups_served_below.
    std::vector<std::string> groups_served_below(double min_share) const {
        return history_checker_.groups_served_below(min_share);
    }
    // Describes the job and all machines, for the message of a failing test.
    std::string describe(const std::string& job) const {
        return test::describe(workers_.all(), spec_of(job));
    }
    std::size_t request_count(const std::string& kind) const { return transport_.count(kind); }
    // Totals since the start: heartbeats, starts, inventory entries that leaders sent each other,
    // and items that the controllers examined.
    struct Counts {
        double reports = 0;
        double starts = 0;
        double listed = 0;
        double effort = 0;
    };
    Counts counts() const;
    const ClusterSettings& cluster_settings(int node) const {
        return controllers_.cluster_settings(node);
    }
    const JobSpec& spec_of(const std::string& job) const { return history_checker_.spec(job); }

    // Called for each line that a controller logs.
    std::function<void(Time, int node, const std::string& text)> on_log;

  private:
    ControllerModel::Callbacks controller_callbacks();
    KvStoreModel::Callbacks store_callbacks();
    WorkerModel::Callbacks worker_callbacks();
    void line_logged(int node, const std::string& line);
    void step();

    // Each member is built from those before it; callbacks refer to those after it.
    const SimulationOptions options_;
    EventQueue clock_;
    RandomSource random_;
    HistoryChecker history_checker_;
    NetworkModel network_;
    MessageCopies copies_;
    PendingRequests requests_;
    ControllerModel controllers_;
    KvStoreModel store_;
    GangModel gangs_;
    StartChecker start_checker_;
    AttemptChecker attempt_checker_;
    WorkerModel workers_;
    HeartbeatSender heartbeats_;
    CloudModel cloud_;
    ReplyChannel replies_;
    RequestRouter router_;
    RequestTransport transport_;
    UserModel users_;
    QuotaModel quotas_;
    std::map<std::string, std::size_t> log_counts_;

  public:
    // Broken rules, in words.
    std::vector<std::string>& broken = history_checker_.broken;
    // Responses to users, by request.
    std::map<RequestId, Response>& answers = users_.answers;
    // Called for each request before it is sent. If it returns true, the request is dropped.
    std::function<bool(int node, const OutboundBody&)>& intercept = transport_.intercept;
    // Called for each request other than a read that was carried out.
    std::function<void(const RequestMessage&)>& on_carried_out = transport_.on_carried_out;
    // Selects transactions that are executed at once while only the response is lost.
    std::function<bool(int node, const StoreTransaction&)>& lose_response =
        transport_.lose_response;
    // Called for each output of a controller, with either the request or the response. May return
    // the seconds after which the controller restarts; it then crashes at once, before its next
    // output.
    std::function<std::optional<double>(int node, const OutboundRequest*, const Response*)>&
        after_output = controllers_.after_output;
};

} // namespace scheduler::test

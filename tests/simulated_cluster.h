/// @file
/// A simulation of everything outside the core: state service, cloud, workers, network, users and
/// a fake clock, with faults on demand. It checks the rules at every step.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/controller.h"
#include "simulation/call_router.h"
#include "simulation/call_transport.h"
#include "simulation/cloud_model.h"
#include "simulation/cluster_setup.h"
#include "simulation/controller_model.h"
#include "simulation/event_queue.h"
#include "simulation/gang_model.h"
#include "simulation/history_checker.h"
#include "simulation/kv_store_model.h"
#include "simulation/network_model.h"
#include "simulation/options.h"
#include "simulation/pending_requests.h"
#include "simulation/queries.h"
#include "simulation/quota_model.h"
#include "simulation/random_source.h"
#include "simulation/reply_channel.h"
#include "simulation/report_sender.h"
#include "simulation/start_checker.h"
#include "simulation/user_model.h"
#include "simulation/worker_model.h"

namespace scheduler::test {

/// Wires the models of a simulated cluster to the controllers under test, and offers them to tests.
/// Controllers ("nodes") go by their numbers, times are in seconds of the fake clock.
class SimulatedCluster {
  public:
    explicit SimulatedCluster(SimulationOptions options);
    SimulatedCluster(const SimulatedCluster&) = delete;
    SimulatedCluster& operator=(const SimulatedCluster&) = delete;

    Time now() const { return clock_.now(); }
    void run_until(Time end) { clock_.run_until(end); }
    void run_for(double seconds) { run_until(now() + seconds); }
    /// Schedules work of the test.
    void at(Time when, std::function<void()> work) { clock_.at(when, std::move(work)); }

    // Users. The answers come back in `answers`, by request.
    RequestId submit(int node, const JobSpec& spec) { return users_.submit(node, spec); }
    /// A job that was accepted under other settings, and how it stands.
    void add_existing_job(const JobSpec& spec, Outcome outcome);
    RequestId poll(int node, const std::string& job) { return users_.poll(node, job); }
    RequestId cancel(int node, const std::string& job) { return users_.cancel(node, job); }
    /// Of the requests of close looks and odd ones, those that were answered with a job's stage.
    std::size_t status_reads_answered() const { return users_.status_reads_answered(); }
    /// A repeated submission, a cancellation of a job that is done, jobs that can never run.
    void send_edge_case_requests(const std::string& job) { users_.send_edge_case_requests(job); }
    /// From now on users ask for each job that has been accepted and is not over every 5 s, at a
    /// node that is ready, and the history checker counts how long each goes without an answer, or
    /// waits beside idle machines.
    void start_polling_open_jobs();
    double longest_unanswered() const { return history_checker_.longest_unanswered(now()); }
    /// What a health check gets now.
    int probe_readiness(int node) { return users_.probe_readiness(node); }
    JobSpec job(const std::string& id, std::uint32_t tasks, double cpus = 2) const {
        return usual_job(options_, id, tasks, cpus);
    }

    // Faults.
    void crash(int node, double restart_s) { controllers_.crash(node, restart_s); }
    /// It stands still while its clock runs on; what comes meanwhile waits.
    void freeze(int node, double seconds) { controllers_.freeze(node, seconds); }
    /// Gives a share of the part to another part. False: its owner does not, now.
    bool migrate_shard(int partition, const ShardId& shard, int to) {
        return controllers_.migrate_shard(owner(partition), partition, shard, to);
    }
    /// The shares that the part's owner holds.
    std::vector<ShardId> held_shards(int partition) const {
        return controllers_.held_shards(owner(partition), partition);
    }
    /// Lines of the log with this event.
    std::size_t log_count(const std::string& event) const;
    void set_store_down(bool down) { store_.set_down(down); }
    void set_store_refusing(int node, bool refuses) { store_.set_refusing(node, refuses); }
    /// The node hears nothing from the state service.
    void set_store_silent(int node, bool silent) { store_.set_silent(node, silent); }
    void cut_workers(int node, bool cut) { network_.cut_workers(node, cut); }
    void cut_peers(int a, int b, bool cut) { network_.cut_peers(a, b, cut); }
    /// The zone is cut off from all else, its nodes and machines reach each other. Empty: none is.
    void cut_zone(const std::string& zone) { network_.cut_zone(zone); }
    void cut_machine(const std::string& machine, bool cut) { workers_.set_cut(machine, cut); }
    /// Its reports arrive, answers and direct commands do not.
    void cut_inbound(const std::string& machine, bool deaf) {
        workers_.set_inbound_cut(machine, deaf);
    }
    /// It reaches no controller; direct commands reach it.
    void cut_outbound(const std::string& machine, bool cut_outbound) {
        workers_.set_outbound_cut(machine, cut_outbound);
    }
    /// It stands still; what is sent to it directly is executed when it goes on.
    void hang(const std::string& machine, double seconds) { workers_.hang(machine, seconds); }
    void kill_machine(const std::string& machine) { workers_.kill(machine); }
    /// The cloud says that it takes the machine, and does so then.
    void preempt_machine(const std::string& machine, double notice_s) {
        workers_.take(machine, notice_s);
    }
    void set_cloud_down(bool down) { cloud_.set_down(down); }
    /// The cloud rents no more than so many at once from now on.
    void set_cloud_capacity(std::size_t machines) { cloud_.set_capacity(machines); }
    /// A report that the machine sent once comes to the node only now, or once more.
    void deliver_heartbeat_late(int node, const Heartbeat& heartbeat) {
        reports_.deliver_heartbeat_late(node, heartbeat);
    }
    Heartbeat last_sent_heartbeat(const std::string& machine) const {
        return reports_.last_sent_heartbeat(machine);
    }
    using RandomFaults = test::RandomFaults;
    /// Faults drawn at random from now on.
    RandomFaults random_faults;

    // Configuration.
    /// Writes the team's key as an operator does, over whatever stands there; false: the state
    /// service is down. `late_s`: it is carried out so much later, the writer knows nothing.
    bool configure(const TeamQuota& quota, double late_s = 0) {
        return quotas_.configure(quota, late_s);
    }
    /// As last written, or as in the settings.
    TeamQuota team(const std::string& name) const { return quotas_.team(name); }
    /// A write over this version, as a second operator makes it: its status.
    int configure_if_version(const TeamQuota& quota, std::uint64_t version) {
        return quotas_.configure_if_version(quota, version);
    }
    std::uint64_t version_of(const std::string& key) const { return store_.version_of(key); }
    /// From the write of each change to its coming into force at each node, seconds.
    const std::vector<double>& quota_delays_s() const { return quotas_.quota_delays_s(); }
    /// Puts a raw record into the state service, or takes one away.
    void put(const std::string& key, StoredRecord record) { store_.put(key, std::move(record)); }
    void drop(const std::string& key) { store_.drop(key); }
    bool key_exists(const std::string& key) const { return store_.entries().contains(key); }

    // What is true.
    const HistoryChecker& history_checker() const { return history_checker_; }
    /// The longest time that a task was on a machine after its user had been told of the
    /// cancellation.
    double longest_cancelled() const { return history_checker_.longest_cancelled(); }
    std::vector<std::string> machines_up() const { return test::machines_up(workers_.all()); }
    std::set<std::string> machines_of(const TaskId& task) const {
        return test::machines_of(workers_.all(), task);
    }
    std::string zone_of(const std::string& machine) const { return workers_.get(machine).zone; }
    /// The node that the machine reports to.
    int controller_of(const std::string& machine) const { return reports_.controller_of(machine); }
    /// Its lease: the report answered last was sent then.
    Time last_lease_renewal(const std::string& machine) const {
        return workers_.get(machine).renewed;
    }
    bool all_done(const std::string& job) const { return history_checker_.all_done(job); }
    /// Seconds from the submission to the first start of a task; none: none has started.
    std::optional<double> seconds_to_first_start(const std::string& job) const {
        return history_checker_.seconds_to_first_start(job);
    }
    int starts(const TaskId& task) const { return start_checker_.starts(task); }
    /// Times that all tasks of a gang began to run together, and that they saved in good order.
    int gang_runs(const std::string& job) const { return gangs_.runs(job); }
    int gang_saves(const std::string& job) const { return gangs_.saves(job); }
    /// On a machine now; 0: on none.
    std::uint64_t attempt_of(const TaskId& task) const {
        return test::attempt_of(workers_.all(), task);
    }
    /// In what the team states.
    double used(const std::string& team) const { return quotas_.used(team); }
    /// The node that owns the part, -1: none.
    int owner(int partition = 0) const { return owner_of(store_, partition); }
    std::map<std::string, Outcome> outcomes() const { return job_outcomes(store_); }
    /// See HistoryChecker::groups_served_below.
    std::vector<std::string> groups_served_below(double shard) const {
        return history_checker_.groups_served_below(shard);
    }
    /// For a failing test.
    std::string describe(const std::string& job) const {
        return test::describe(workers_.all(), spec_of(job));
    }
    std::size_t request_count(const std::string& kind) const { return transport_.count(kind); }
    /// Counted since the start: reports, starts, entries of what owners list for each other, and
    /// what the cores looked at.
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

    /// Sees each line that a node logs.
    std::function<void(Time, int node, const std::string& text)> on_log;

  private:
    ControllerModel::Callbacks controller_callbacks();
    KvStoreModel::Callbacks store_callbacks();
    WorkerModel::Callbacks worker_callbacks();
    void line_logged(int node, const std::string& line);
    void step();

    // Each is built from those before it; callbacks lead to those after it.
    const SimulationOptions options_;
    const InstanceType type_;
    EventQueue clock_;
    RandomSource random_;
    HistoryChecker history_checker_;
    NetworkModel network_;
    PendingRequests requests_;
    ControllerModel controllers_;
    KvStoreModel store_;
    GangModel gangs_;
    StartChecker start_checker_;
    WorkerModel workers_;
    ReportSender reports_;
    CloudModel cloud_;
    ReplyChannel replies_;
    CallRouter router_;
    CallTransport transport_;
    UserModel users_;
    QuotaModel quotas_;
    std::map<std::string, std::size_t> log_counts_;

  public:
    /// Rules broken, in words.
    std::vector<std::string>& broken = history_checker_.broken;
    /// The answers to users, by request.
    std::map<RequestId, Response>& answers = users_.answers;
    /// Calls the test wants to see or hold back: return true to swallow the message.
    std::function<bool(int node, const OutboundBody&)>& intercept = transport_.intercept;
    /// Transactions that are carried out at once and whose answer alone is lost.
    std::function<bool(int node, const StoreTransaction&)>& lose_response =
        transport_.lose_response;
    /// Sees each output that leaves a node, the call or the answer, and may end the node right
    /// after it, before the next one: seconds until it is back.
    std::function<std::optional<double>(int node, const OutboundRequest*, const Response*)>&
        after_output = controllers_.after_output;
};

} // namespace scheduler::test

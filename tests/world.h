// A model of everything outside the core: state service, cloud, workers, network and a fake
// clock, with faults on demand. It checks the rules at every step.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "core/controller.h"
#include "judge.h"

namespace scheduler::test {

struct WorldOptions {
    std::uint64_t seed = 1;
    int nodes = 3;
    double drop = 0;  // share of messages that are lost
    double late = 0;  // share of messages that come very late
    double run_s = 8; // a task's usual run time
    double boot_s = 10;
    double error = 0;          // share of tasks that fail
    double limits = 1;         // of the teams, times the usual
    int more_teams = 0;        // t0, t1, ...: one CPU guaranteed, 24 at most
    std::size_t capacity = 12; // machines that the cloud has
    double drift = 0.0005;     // steady clocks differ by up to this
    std::vector<ServiceLevelObjective> objectives;
    double report_s = 3;
    double lease_s = 17;
    double cancel_s = 42;
    double state_rps = 100;
    double state_write_rps = 20;
    bool one_zone = false; // else two, with the nodes in turn
    bool gpus = false;     // machines have 4 GPUs, and teams state GPUs only
    // Direct commands that a node sends at once; five times as many wait in its process, more are
    // not sent.
    int orders_at_once = 64;
    // Nodes tell each other of cancellations. Without, they hear of them by watches and promises
    // only, and every rule has to hold so.
    bool notices = false;
};

class World {
  public:
    explicit World(WorldOptions options);
    ~World();

    Time now() const { return now_; }
    void run_until(Time end);
    void run_for(double seconds) { run_until(now_ + seconds); }
    void at(Time when, std::function<void()> work);

    // Users. The answers come back in `answers`, by request.
    RequestId submit(int node, JobSpec spec);
    // A job that was accepted under other settings, and how it stands.
    void accepted_before(const JobSpec& spec, Outcome outcome);
    RequestId poll(int node, const std::string& job);
    RequestId cancel(int node, const std::string& job);
    // Of the requests of close looks and odd ones, those that were answered with a job's stage.
    std::size_t looks_answered() const { return looks_answered_; }
    // A repeated submission, a cancellation of a job that is done, jobs that can never run.
    void odd_requests(const std::string& job);
    // From now on users ask for each job that has been accepted and is not over every 5 s, at a
    // node that is ready, and the judge counts how long each goes without an answer, or waits
    // beside idle machines.
    void ask_often();
    double longest_unanswered() const { return judge_.longest_unanswered(now_); }
    // What a health check gets now.
    int probe(int node);
    std::map<RequestId, Response> answers;
    JobSpec job(const std::string& id, std::uint32_t tasks, double cpus = 2) const;

    // Faults.
    void crash(int node, double restart_s);
    // It stands still while its clock runs on; what comes meanwhile waits.
    void freeze(int node, double seconds);
    // Gives a share of the part to another part. False: its owner does not, now.
    bool give(int partition, const ShardId& shard, int to);
    // The shares that the part's owner holds.
    std::vector<ShardId> shares(int partition) const;
    // Moves of shares that were completed, and lines of the log with this event.
    std::size_t logged(const std::string& event) const;
    void state_down(bool down) { state_down_ = down; }
    void state_refuses(int node, bool refuses);
    void state_silent(int node, bool silent); // it hears nothing from the state service
    void cut_workers(int node, bool cut);
    void cut_peers(int a, int b, bool cut);
    // The zone is cut off from all else, its nodes and machines reach each other. Empty: none is.
    void cut_zone(const std::string& zone) { zone_cut_ = zone; }
    void cut_machine(const std::string& machine, bool cut);
    // Its reports arrive, answers and direct commands do not.
    void deafen(const std::string& machine, bool deaf);
    // It reaches no controller; direct commands reach it.
    void mute(const std::string& machine, bool mute);
    // It stands still; what is sent to it directly is executed when it goes on.
    void hang(const std::string& machine, double seconds);
    void kill_machine(const std::string& machine);
    // The cloud says that it takes the machine, and does so then.
    void take_machine(const std::string& machine, double notice_s);
    void cloud_down(bool down) { cloud_down_ = down; }
    // The cloud rents no more than so many at once from now on.
    void limit_cloud(std::size_t machines) { options_.capacity = machines; }

    // Shares of messages, from now on: transactions without an answer, carried out 2 to 12 s later,
    // after newer ones; copies of reports that arrive up to one and a half leases later; direct
    // commands without an answer, executed 2 to 12 s later. Seconds that the state service takes
    // for half of what it is asked.
    struct Troubles {
        double late_writes = 0;
        double late_reports = 0;
        double held_orders = 0;
        double state_slow_s = 0;
        // Transactions carried out at once of which only the answer is lost.
        double lost_answers = 0;
        // Copies of reports kept until a part is claimed, and then given to every node.
        double reports_for_next = 0;
        // New machines that are up within two seconds; that reach no controller from then on.
        double quick_boots = 0;
        double mute_boots = 0;
        double slow_links_s = 0; // that a message takes longer, at most
        // Jobs just accepted, ended or cancelled that users look at closely: all nodes are asked,
        // again and again within milliseconds, and sent the submission; some cancel.
        double close_looks = 0;
        double cancel_at_end = 0; // jobs that their users cancel at the end of the last task
    };
    Troubles troubles;

    // Configuration. Writes the team's key as an operator does, over whatever stands there; false:
    // the state service is down. `late`: it is carried out so much later, the writer knows nothing.
    bool configure(const TeamQuota& quota, double late_s = 0);
    TeamQuota team(const std::string& name) const; // as last written, or as in the settings
    // A write over this version, as a second operator makes it: its status.
    int configure_over(const TeamQuota& quota, std::uint64_t version);
    std::uint64_t version_of(const std::string& key) const;
    // From the write of each change to its coming into force at each node, seconds.
    const std::vector<double>& in_force_after() const { return in_force_after_; }

    // What is true.
    const Judge& judge() const { return judge_; }
    // The longest time that a task was on a machine after its user had been told of the
    // cancellation.
    double longest_cancelled() const { return judge_.longest_cancelled(); }
    std::vector<std::string> machines_up() const;
    std::set<std::string> machines_of(const TaskId& task) const;
    std::string zone_of(const std::string& machine) const;
    int node_of(const std::string& machine) const; // that it reports to
    Time
    renewed(const std::string& machine) const; // its lease: the report answered last was sent then
    bool all_done(const std::string& job) const { return judge_.all_done(job); }
    // Seconds from the submission to the first start of a task; none: none has started.
    std::optional<double> began_after(const std::string& job) const {
        return judge_.began_after(job);
    }
    int starts(const TaskId& task) const;
    // Times that all tasks of a gang began to run together, and that they saved in good order.
    int gang_runs(const std::string& job) const;
    int gang_saves(const std::string& job) const;
    std::uint64_t attempt_of(const TaskId& task) const; // on a machine now; 0: on none
    double used(const std::string& team) const;         // in what the team states
    int owner(int partition = 0) const;                 // the node that owns the part, -1: none
    std::map<std::string, Outcome> outcomes() const;
    // See Judge::served_under.
    std::vector<std::string> served_under(double shard) const { return judge_.served_under(shard); }
    std::string describe(const std::string& job) const; // for a failing test
    std::size_t calls_of(const std::string& kind) const;
    // Counted since the start: reports, starts, entries and bytes of what owners list for each
    // other, and what the cores looked at.
    struct Counts {
        double reports = 0;
        double starts = 0;
        double listed = 0;
        double effort = 0;
    };
    Counts counts() const;
    // Calls the test wants to see or hold back: return true to swallow the message.
    std::function<bool(int node, const OutboundBody&)> intercept;
    // Transactions that are carried out at once and whose answer alone is lost.
    std::function<bool(int node, const StoreTransaction&)> lose_answer;
    // A report that the machine sent once comes to the node only now, or once more.
    Heartbeat last_report(const std::string& machine) const { return last_reports_.at(machine); }
    void deliver_late(int node, const Heartbeat& heartbeat);
    // Sees each output that leaves a node, the call or the answer, and may end the node right after
    // it, before the next one: seconds until it is back.
    std::function<std::optional<double>(int node, const OutboundRequest*, const Response*)>
        after_output;
    // Sees each line that a node logs.
    std::function<void(Time, int node, const std::string& text)> on_log;
    // Puts a raw record into the state service, or takes one away.
    void put(const std::string& key, StoredRecord record);
    void drop(const std::string& key);
    bool stands(const std::string& key) const { return kv_.contains(key); }
    const ClusterSettings& facts(int node) const;
    const JobSpec& spec_of(const std::string& job) const { return judge_.spec(job); }

  private:
    struct Node;
    struct Worker;
    struct Kv {
        StoredRecord record;
        std::uint64_t version = 0;
        std::uint64_t lease = 0;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string key;
        bool deleted = false;
    };
    struct Watcher {
        int node;
        int life;
        OutboundRequestId call;
        std::string prefix;
        std::uint64_t since;
        Time until;
    };

    void input(int node, Input in);
    void deliver(int node, int life, OutboundResponse response);
    void carry_out(int node, Outputs out);
    void call(int node, const OutboundRequest& call);
    OutboundResponse serve_state(int node, const OutboundRequest& call);
    void serve_cloud(int node, const OutboundRequest& call);
    void serve_worker(int node, const OutboundRequest& call);
    OutboundResponse transact(const StoreTransaction& transaction);
    void changed(const std::string& key, bool deleted);
    void expire_leases();
    void fire_watches();
    void report(const std::string& machine, std::uint64_t session);
    Heartbeat report_of(Worker& worker);
    void execute(Worker& worker, const std::vector<WorkerCommand>& commands, Time left);
    void worker_step(const std::string& machine);
    void gang_step();
    void comes(Worker& worker, const TaskId& task);
    void complete(const TaskId& task);
    void look_closely(const std::string& job);
    void give_kept_reports();
    static std::vector<std::string> zones(const WorldOptions& options);
    static InstanceType machine_type(const WorldOptions& options);
    static std::vector<TeamQuota> teams(const WorldOptions& options);
    void written(const TeamQuota& quota, std::uint64_t revision);
    void judge_quota();
    void note_in_force(const std::string& line);
    void look();
    void every(double seconds, std::function<void()> work);
    // `closely`: it leads to no further close look.
    RequestId ask(int node, Judge::Ask what, const std::string& job, bool closely = false);
    void start_node(int node);
    double delay();
    // Reads and watches of the configuration draw from a stream of their own, so that a seed plays
    // as it did before there were any.
    class ConfigDraws {
      public:
        ConfigDraws(World& world, bool config) : world_(world), config_(config) { swap(); }
        ~ConfigDraws() { swap(); }
        ConfigDraws(const ConfigDraws&) = delete;
        ConfigDraws& operator=(const ConfigDraws&) = delete;

      private:
        void swap() {
            if (config_) {
                std::swap(world_.random_, world_.config_random_);
            }
        }
        World& world_;
        bool config_;
    };
    bool zone_cut(const std::string& zone) const { return !zone_cut_.empty() && zone == zone_cut_; }
    const std::string& zone_of_node(int node) const { return facts(node).partitions[node].zone; }
    bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random_) < p; }
    // Draws no number where there is none, so that a seed plays as it did before the trouble was
    // known.
    bool trouble(double shard) { return shard > 0 && chance(shard); }

    WorldOptions options_;
    InstanceType type_;
    Judge judge_;

  public:
    std::vector<std::string>& broken = judge_.broken; // rules broken, in words

  private:
    std::mt19937_64 random_;
    std::mt19937_64 config_random_;
    Time now_ = 0;
    std::uint64_t sequence_ = 0;
    struct Event {
        Time time;
        std::uint64_t sequence;
        std::function<void()> work;
        bool operator<(const Event& other) const {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };
    std::priority_queue<Event> events_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::map<std::string, std::unique_ptr<Worker>> workers_;
    std::map<std::string, Kv> kv_;
    std::uint64_t revision_ = 1;
    std::vector<Change> changes_;
    std::map<std::uint64_t, std::pair<Time, double>> leases_; // end, ttl
    std::uint64_t next_lease_ = 1;
    std::vector<Watcher> watchers_;
    std::set<std::pair<int, int>> peers_cut_;
    std::string zone_cut_;
    bool state_down_ = false;
    bool cloud_down_ = false;
    std::map<std::string, std::vector<std::string>> orders_;
    int next_machine_ = 0;
    RequestId next_request_ = 1;
    bool asking_ = false;
    std::set<RequestId> looks_; // that led to no further ones
    std::size_t looks_answered_ = 0;
    std::vector<Heartbeat> kept_reports_;
    std::map<RequestId, std::function<void(const Response&, Time left)>> reports_;
    std::map<TaskId, int> starts_;
    struct GangRun { // of one attempt
        bool ran = false;
        Time end = 0;
        Time first_stop = 0;
        Time mate_lost = 0;
    };
    std::map<std::pair<std::string, std::uint64_t>, GangRun> gang_runs_;
    std::map<std::string, int> gang_run_count_;
    std::map<std::string, int> gang_save_count_;
    Counts counts_;
    std::map<std::string, Heartbeat> last_reports_;
    std::map<std::string, std::size_t> call_counts_;
    std::map<std::pair<int, int>, int> orders_out_; // by node and life
    std::set<std::tuple<int, int, OutboundRequestId>> orders_calls_;
    std::map<std::string, std::size_t> log_counts_;
    // What a team may use: its limit, and for a stated time after each lowering the one before.
    struct Limit {
        TeamQuota facts;
        std::map<Time, double> before; // limits that were lowered, by when they end to count
    };
    std::map<std::string, Limit> limits_;
    std::map<std::uint64_t, std::pair<std::string, Time>> written_; // changes, by revision
    std::vector<double> in_force_after_;
    double outage_s_ = 0; // so far
};

} // namespace scheduler::test

// Stand-ins for a review case: state service, cloud, workers, users, and the started controllers.
// Everything but the controllers runs in this process, on loopback addresses and the real clock.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace review {

// A message body or a stored value.
struct Value;
using List = std::vector<Value>;
using Map = std::map<std::string, Value>;
struct Value {
    std::variant<std::nullptr_t, bool, std::uint64_t, double, std::string, List, Map> v = nullptr;
    Value() = default;
    Value(bool b) : v(b) {}
    Value(int i) : v(static_cast<std::uint64_t>(i)) {}
    Value(std::uint64_t i) : v(i) {}
    Value(double d) : v(d) {}
    Value(const char* s) : v(std::string(s)) {}
    Value(std::string s) : v(std::move(s)) {}
    Value(List l) : v(std::move(l)) {}
    Value(Map m) : v(std::move(m)) {}
    bool has(const std::string& key) const;
    const Value& at(const std::string& key) const; // a nil value if it is missing
    std::string text() const;
    std::uint64_t number() const;
    double amount() const;
    bool flag() const;
    const List& list() const;
    const Map& map() const;
    bool nil() const { return std::holds_alternative<std::nullptr_t>(v); }
};
std::string pack(const Value& value);
std::optional<Value> unpack(const std::string& body);

double now_s(); // seconds since the program started

// Writes record.txt.
class Record {
  public:
    explicit Record(const std::string& path);
    ~Record();
    void line(const std::string& text);

  private:
    std::mutex mutex_;
    std::FILE* file_;
};

struct Limits {
    double rps = 100, write_rps = 20;
    double value_kb = 4;
    int txn_ops = 12;
    double cloud_rps = 6, list_lag_s = 8;
};

struct TeamSpec {
    std::string name;
    double cpus = 0, cpus_max = 0;
    double gpus = 0, gpus_max = 0;
};

// A machine type of the cloud.
struct TypeSpec {
    std::string name = "jalkal-32";
    double cpus = 32, cards = 0, ram_gb = 128, cache_gb = 30, pull_gb_per_s = 1;
    double rate = 1.38, market_price = 0.44;
    double startup_s = 10;     // as the catalog says
    double boot_s = 7;         // what it really takes, up to a third more
    std::size_t capacity = 40; // machines that the cloud has
};

struct Options {
    std::vector<std::string> node_zones; // one controller each
    std::vector<TeamSpec> teams;
    Limits limits;
    double report_s = 3, lease_s = 17, cancel_s = 42, gang_wait_s = 30, gang_peer_s = 5;
    int sockets = 1000;
    std::vector<TypeSpec> types{TypeSpec{}};
    std::string program; // the command of the deploy file, with --config
    std::string folder;  // temporary
};

class Server; // an HTTP server on a free loopback port

// The state service. Each controller has a port of its own, so that faults can be given to one.
class Store {
  public:
    Store(const Limits& limits, int nodes, Record& record);
    ~Store();
    int port(int node) const;
    std::uint64_t ring();
    std::optional<Value> get(const std::string& key);
    // Faults: answer 503 to all requests of the node, without executing them.
    void refuse(int node, bool on);
    // The next transaction of the node that `matches` is executed, and its answer is lost.
    void lose_answer(int node, std::function<bool(const Value&)> matches);

  private:
    struct Entry {
        Value data;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<Value> data;
    };
    struct Lease {
        double ttl_s = 0, ends = 0;
    };
    struct Node {
        std::unique_ptr<Server> server;
        bool refused = false;
        std::function<bool(const Value&)> lose;
    };
    void serve(int node);
    bool admit(int node, int writes, httplib::Response& res);
    void expire();
    void drop(const std::string& key);
    void txn(int node, const httplib::Request& req, httplib::Response& res);
    void range(const httplib::Request& req, httplib::Response& res);
    void changes(int node, const httplib::Request& req, httplib::Response& res);

    Limits limits_;
    Record& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Entry> entries_;
    std::deque<Change> log_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t ring_ = 1000, next_lease_ = 1, dropped_ = 1000;
    double tokens_, write_tokens_, refilled_ = 0;
    std::vector<Node> nodes_;
    bool stopping_ = false;
};

struct JobSpec {
    std::string id, team = "red", kind = "batch", rank = "standard", image = "img-1", house;
    int petals = 1;
    double cpus = 1, cards = 0, ram_gb = 1, pull_gb = 0.5, bloom_s = 20;
    std::vector<std::string> benches; // empty: any
    bool spot = false;
    double run_s = 20; // what its tasks really take
    Value body() const;
};

// All machines, their workers and the cloud that rents them, and the judge of the rules.
class World {
  public:
    World(Options options, Record& record);
    ~World();
    void start_node(int node);
    void kill_node(int node); // SIGKILL
    std::string node_address(int node) const;

    // Users. Each sends one request to one controller and returns the status, 0 without an answer.
    struct Answer {
        int status = 0;
        std::string stage;
        std::uint64_t done = 0, running = 0;
    };
    Answer submit(int node, const JobSpec& job);
    Answer poll(int node, const std::string& job);
    Answer cancel(int node, const std::string& job);
    // Repeat as users do, at the controllers in turn, until there is a final answer.
    Answer submit_until(const JobSpec& job, double for_s);
    Answer cancel_until(const std::string& job, double for_s, int first_node);

    // Machines.
    std::vector<std::string> machines(const std::string& zone);
    void cut(const std::string& machine, bool on);
    void set_faulty(const std::string& machine, bool on); // its tasks fail at once
    int on_machines(const std::string& job);              // tasks with their image, not exited
    std::string where(const std::string& job);            // such tasks, counted by machine
    double free_cpus(const std::string& zone);
    double used_cpus(const std::string& team);
    std::size_t completed(const std::string& job);
    std::size_t rented(const std::string& type); // machines ever rented

    bool wait_for(double for_s, const std::function<bool()>& condition);
    // Broken rules, as the judge saw them.
    std::vector<std::string> broken();
    double most_used(const std::string& team);
    Store& store() { return *store_; }
    Record& record() { return record_; }
    const Options& options() const { return options_; }
    int nodes() const { return static_cast<int>(options_.node_zones.size()); }
    bool ready(int node);

  private:
    struct Task {
        std::string job;
        std::uint32_t index = 0;
        std::uint64_t attempt = 0;
        std::string stage = "pulling", why;
        bool saved = false;
        double until = 0, cpus = 0, cards = 0, ram_gb = 0;
        std::string image;
    };
    struct Machine {
        std::string name, zone, endpoint;
        TypeSpec type;
        bool spot = false, cut = false, gone = false, faulty = false;
        double created = 0, up_at = 0, deleted = 0;
        std::uint64_t season = 1, tick = 0, warrant = 0;
        double last_answered_sent = 0;
        std::map<std::pair<std::string, std::uint64_t>, Task> tasks; // by task name, attempt
        std::set<std::string> images;
        std::unique_ptr<Server> server;
        std::thread reporter;
        bool changed = false;
    };
    void write_settings(int node);
    void serve_cloud();
    void report_loop(Machine* machine);
    void tick_loop();
    void tick(double now);
    void advance(Machine& machine, double now);
    void gangs(double now);
    Value report_of(Machine& machine);
    void execute(Machine& machine, const Value& commands, double now);
    void launch(Machine& machine, const std::string& petal, std::uint64_t attempt, double now);
    void check(double now);
    void on_started(const Machine& machine, const Task& task, double now);
    void break_rule(const std::string& text);
    Answer call(int node, const std::string& method, const std::string& path,
                const std::string& body, double timeout_s);
    static bool on_machine(const Task& task) {
        return task.stage == "waiting" || task.stage == "running" || task.stage == "flushing";
    }

    Options options_;
    Record& record_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<Server> cloud_;
    std::mutex mutex_;
    std::atomic<bool> stopping_{false};
    std::vector<int> listen_ports_, back_ports_;
    std::vector<pid_t> pids_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::map<std::string, List> orders_;
    std::map<std::string, JobSpec> jobs_;
    std::map<std::string, double> cancelled_at_;
    std::map<std::string, std::set<std::uint32_t>> results_;
    std::map<std::string, double> most_used_;
    std::vector<std::string> broken_;
    std::uint64_t next_machine_ = 1;
    std::thread ticker_;
    std::mt19937 random_{1};
};

} // namespace review

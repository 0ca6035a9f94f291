// Stand-ins for what surrounds the controllers, after PROTOCOL-orchidlanding.md: the state service,
// the cloud, workers and users; and the controllers themselves as separate processes. All on
// loopback addresses and the real clock.
#pragma once

#include <fcntl.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>
#include <condition_variable>
#include <deque>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "http.h"

namespace standin {

// ---- The record of a run ----

class Record {
  public:
    explicit Record(const std::string& file) : out_(file), begin_(now_s()) {}
    void line(const std::string& text) {
        std::lock_guard lock(mutex_);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f ", now_s() - begin_);
        out_ << at << text << "\n" << std::flush;
    }
    double seconds() const { return now_s() - begin_; }

  private:
    std::mutex mutex_;
    std::ofstream out_;
    double begin_;
};

// ---- Settings ----

struct Team {
    std::string name;
    double cpus = 0;
    double cpus_max = 0;
};
struct Deployment {
    std::vector<std::string> nodes; // names of the controllers, each with its zone
    std::vector<std::string> node_zones;
    std::vector<std::string> zones;
    std::vector<Team> teams;
    double report_s = 3, lease_s = 17, gang_wait_s = 30, gang_peer_s = 5, cancel_s = 42;
    double state_rps = 100, state_write_rps = 20, value_kb = 4;
    int txn_ops = 12;
    double cloud_rps = 6, list_lag_s = 8;
    int sockets = 1000;
    // The machine type.
    std::string bench = "jalkal-32";
    double cpus = 32, ram_gb = 128, cache_gb = 30, pull_gb_per_s = 0.8, rate = 1.38, market_price = 0.44;
    double startup_s = 10; // nominal boot time
    double boot_s = 0;     // what all machines take; 0: 0.6 to 1.5 times the nominal time
    std::vector<std::string> houses;                 // zones that have the type
    std::map<std::pair<std::string, bool>, int> capacity; // by zone and spot
};

struct JobSpec {
    std::string uid, bloom = "thesis-compare", grower, habit = "batch", rank = "standard";
    int petals = 1;
    double cpus = 1, ram_gb = 2;
    std::string bulb = "img-01";
    double pull_gb = 0.1;
    std::string house; // empty: any
    bool cuttings = true;
    bool one_zone = false, spread = false;
    double bloom_s = 20;
    double run_s = 20; // what a task takes in fact
    Value value() const {
        return Value::make_map({{"uid", uid},
                                {"bloom", bloom},
                                {"grower", grower},
                                {"habit", habit},
                                {"rank", rank},
                                {"petals", petals},
                                {"cpus", cpus},
                                {"cards", 0.0},
                                {"ram_gb", ram_gb},
                                {"bulb", bulb},
                                {"pull_gb", pull_gb},
                                {"benches", Value()},
                                {"house", house.empty() ? Value() : Value(house)},
                                {"one_zone", one_zone},
                                {"spread", spread},
                                {"cuttings", cuttings},
                                {"bloom_s", bloom_s},
                                {"pot_s", 0.0},
                                {"repot_s", 0.0},
                                {"show_s", Value()}});
    }
};

// What users have submitted, for the workers; and what is on the machines, for the checks.
class World {
  public:
    World(const Deployment& deployment, Record& record) : deployment(deployment), record(record) {}
    const Deployment& deployment;
    Record& record;

    void add_job(const JobSpec& job) {
        std::lock_guard lock(mutex_);
        jobs_[job.uid] = job;
    }
    std::optional<JobSpec> job(const std::string& uid) const {
        std::lock_guard lock(mutex_);
        auto it = jobs_.find(uid);
        return it == jobs_.end() ? std::nullopt : std::optional(it->second);
    }
    static std::string job_of(const std::string& petal) { return petal.substr(0, petal.find('/')); }
    bool completed(const std::string& petal) const {
        std::lock_guard lock(mutex_);
        return completed_.contains(petal);
    }
    std::size_t completed_of(const std::string& uid) const {
        std::lock_guard lock(mutex_);
        std::size_t count = 0;
        for (const auto& petal : completed_) {
            count += job_of(petal) == uid;
        }
        return count;
    }
    std::size_t running_of(const std::string& uid) const {
        std::lock_guard lock(mutex_);
        std::size_t count = 0;
        for (const auto& [petal, machines] : on_) {
            count += job_of(petal) == uid ? machines.size() : 0;
        }
        return count;
    }
    std::size_t starts_of(const std::string& uid) const {
        std::lock_guard lock(mutex_);
        auto it = starts_.find(uid);
        return it == starts_.end() ? 0 : it->second;
    }
    double cpus_of(const std::string& team) const {
        std::lock_guard lock(mutex_);
        auto it = cpus_.find(team);
        return it == cpus_.end() ? 0 : it->second;
    }
    // The most CPUs that the team's tasks have used at any time, and for how long they were above
    // its limit in all.
    double most_cpus(const std::string& team) const {
        std::lock_guard lock(mutex_);
        auto it = most_cpus_.find(team);
        return it == most_cpus_.end() ? 0 : it->second;
    }
    double over_limit_s(const std::string& team) const {
        std::lock_guard lock(mutex_);
        auto it = over_s_.find(team);
        auto since = over_since_.find(team);
        return (it == over_s_.end() ? 0 : it->second) +
               (since == over_since_.end() ? 0 : now_s() - since->second);
    }
    std::vector<std::string> ran_twice() const {
        std::lock_guard lock(mutex_);
        return ran_twice_;
    }
    // ---- Gangs: the tasks of one attempt start together and end together ----
    // A task has its image and waits for the others. Returns when the gang has started, or 0.
    double gang_started(const std::string& petal, std::uint64_t sowing) {
        std::lock_guard lock(mutex_);
        Gang& gang = gangs_[{job_of(petal), sowing}];
        gang.waiting.insert(petal);
        if (gang.started == 0 &&
            gang.waiting.size() == static_cast<std::size_t>(jobs_.at(job_of(petal)).petals)) {
            gang.started = now_s();
            record.line("gang " + job_of(petal) + " starts");
        }
        return gang.started;
    }
    // When the gang has lost a task after its start, or 0.
    double gang_lost(const std::string& petal, std::uint64_t sowing) const {
        std::lock_guard lock(mutex_);
        auto it = gangs_.find({job_of(petal), sowing});
        return it == gangs_.end() ? 0 : it->second.lost;
    }
    // A task of the gang is gone without having completed.
    void gang_task_gone(const std::string& petal, std::uint64_t sowing) {
        std::lock_guard lock(mutex_);
        Gang& gang = gangs_[{job_of(petal), sowing}];
        gang.waiting.erase(petal);
        if (gang.started > 0 && gang.lost == 0) {
            gang.lost = now_s();
        }
    }
    std::vector<std::string> wrong_place() const {
        std::lock_guard lock(mutex_);
        return wrong_place_;
    }
    // A task is on its machine: it has its image.
    void task_on(const std::string& petal, const std::string& machine, const std::string& zone, bool spot) {
        std::lock_guard lock(mutex_);
        check_place(petal, machine, zone, spot);
        zone_of_[machine] = zone;
        auto& machines = on_[petal];
        if (!machines.empty()) {
            ran_twice_.push_back(petal + " starts on " + machine + " while on " + *machines.begin());
            record.line("RULE ran_twice " + ran_twice_.back());
        }
        machines.insert(machine);
        ++starts_[job_of(petal)];
        use(petal, 1);
    }
    void task_off(const std::string& petal, const std::string& machine, bool done) {
        std::lock_guard lock(mutex_);
        auto& machines = on_[petal];
        machines.erase(machine);
        if (machines.empty()) {
            on_.erase(petal);
        }
        if (done) {
            completed_.insert(petal);
        }
        use(petal, -1);
    }

  private:
    void check_place(const std::string& petal, const std::string& machine, const std::string& zone,
                     bool spot) {
        const JobSpec& job = jobs_.at(job_of(petal));
        int in_zone = 1;
        bool elsewhere = false;
        for (auto it = on_.lower_bound(job.uid + "/"); it != on_.end() && job_of(it->first) == job.uid; ++it) {
            for (const auto& other : it->second) {
                in_zone += zone_of_[other] == zone;
                elsewhere = elsewhere || zone_of_[other] != zone;
            }
        }
        if ((!job.house.empty() && job.house != zone) || (spot && !job.cuttings) ||
            (job.one_zone && elsewhere) || (job.spread && in_zone > (job.petals + 1) / 2)) {
            wrong_place_.push_back(petal + " starts on " + machine + " in " + zone);
            record.line("RULE wrong_place " + wrong_place_.back());
        }
    }
    void use(const std::string& petal, int tasks) {
        const JobSpec& job = jobs_.at(job_of(petal));
        double& used = cpus_[job.grower];
        used += tasks * job.cpus;
        most_cpus_[job.grower] = std::max(most_cpus_[job.grower], used);
        for (const auto& team : deployment.teams) {
            if (team.name != job.grower) {
                continue;
            }
            bool over = used > team.cpus_max + 1e-6;
            if (over && !over_since_.contains(team.name)) {
                over_since_[team.name] = now_s();
                record.line("team " + team.name + " is over its limit: " + std::to_string(used) +
                            " CPUs of " + std::to_string(team.cpus_max) + ", by " + petal);
            } else if (!over && over_since_.contains(team.name)) {
                over_s_[team.name] += now_s() - over_since_[team.name];
                over_since_.erase(team.name);
                record.line("team " + team.name + " is within its limit again: " + std::to_string(used));
            }
        }
    }
    mutable std::mutex mutex_;
    std::map<std::string, JobSpec> jobs_;
    std::map<std::string, std::set<std::string>> on_;
    std::set<std::string> completed_;
    std::map<std::string, std::size_t> starts_;
    std::map<std::string, double> cpus_, most_cpus_, over_since_, over_s_;
    struct Gang {
        std::set<std::string> waiting;
        double started = 0, lost = 0;
    };
    std::map<std::pair<std::string, std::uint64_t>, Gang> gangs_;
    std::map<std::string, std::string> zone_of_;
    std::vector<std::string> ran_twice_, wrong_place_;
};

// ---- Limits on requests ----

class Bucket {
  public:
    Bucket(double rate, double burst_s) : rate_(rate), most_(rate * burst_s), left_(most_), at_(now_s()) {}
    bool take(double n) {
        double now = now_s();
        left_ = std::min(most_, left_ + (now - at_) * rate_);
        at_ = now;
        if (left_ < n) {
            return false;
        }
        left_ -= n;
        return true;
    }

  private:
    double rate_, most_, left_, at_;
};

// ---- The state service ----

// Each controller reaches it at an address of its own, so that it can be refused alone.
class Store {
  public:
    enum class Mode { serving, refusing };
    Store(const Deployment& deployment, Record& record)
        : record_(record), requests_(deployment.state_rps, 1), writes_(deployment.state_write_rps, 1),
          value_bytes_(deployment.value_kb * 1024), txn_ops_(deployment.txn_ops) {
        for (std::size_t k = 0; k < deployment.nodes.size(); ++k) {
            modes_.push_back(Mode::serving);
            servers_.push_back(std::make_unique<Server>([this, k](const Request& r) { return serve(k, r); }));
        }
        std::thread([this] {
            while (true) {
                sleep_s(0.02);
                std::lock_guard lock(mutex_);
                expire();
            }
        }).detach();
    }
    std::string address(std::size_t node) const { return servers_[node]->address(); }
    void set_mode(std::size_t node, Mode mode) {
        std::lock_guard lock(mutex_);
        modes_[node] = mode;
        changed_.notify_all();
    }
    // An outage for all: no lease ends in it, and each has its full time again after it.
    void set_outage(bool on) {
        std::lock_guard lock(mutex_);
        outage_ = on;
        for (auto& [id, lease] : leases_) {
            lease.end = now_s() + lease.ttl;
        }
        changed_.notify_all();
    }

  private:
    struct Entry {
        Value data;
        std::uint64_t graft = 0;
        std::uint64_t lease = 0;
    };
    struct Lease {
        double ttl = 0, end = 0;
    };
    struct Change {
        std::uint64_t ring = 0;
        std::string key;
        std::optional<Value> data;
    };
    static Response error(int status, const std::string& text) {
        return {status, Value::make_map({{"error", text}})};
    }
    Response ring(int status) const { return {status, Value::make_map({{"ring", ring_}})}; }
    bool refused(std::size_t node) const { return outage_ || modes_[node] == Mode::refusing; }

    Response serve(std::size_t node, const Request& request) {
        sleep_s(0.002);
        std::unique_lock lock(mutex_);
        if (refused(node)) {
            return error(503, "trouble");
        }
        if (!requests_.take(1)) {
            return error(429, "too many requests");
        }
        expire();
        if (request.method == "GET" && request.path.starts_with("/kv/")) {
            auto it = entries_.find(request.path.substr(4));
            return it == entries_.end() ? ring(404) : Response{200, item(*it)};
        }
        if (request.method == "GET" && request.path == "/kv") {
            return range(request);
        }
        if (request.method == "POST" && request.path == "/txn") {
            return transact(unpack(request.body));
        }
        if (request.path.starts_with("/holds")) {
            return lease(request);
        }
        if (request.method == "GET" && request.path == "/changes") {
            return watch(node, request, lock);
        }
        return error(404, "no such path");
    }
    static Value item(const std::pair<const std::string, Entry>& entry) {
        Value v = Value::make_map(
            {{"key", entry.first}, {"data", entry.second.data}, {"graft", entry.second.graft}});
        if (entry.second.lease) {
            v.map.emplace_back("lease", entry.second.lease);
        }
        return v;
    }
    static std::string parameter(const Request& request, const std::string& name,
                                 const std::string& otherwise) {
        auto it = request.query.find(name);
        return it == request.query.end() ? otherwise : it->second;
    }
    Response range(const Request& request) const {
        std::string prefix = parameter(request, "starts", "");
        std::string since = parameter(request, "since", "");
        std::size_t limit = std::min(1000UL, std::stoul(parameter(request, "limit", "1000")));
        Value pairs = Value::make_list();
        std::size_t bytes = 0;
        auto it = since.empty() ? entries_.lower_bound(prefix) : entries_.upper_bound(std::max(since, prefix));
        for (; it != entries_.end() && it->first.starts_with(prefix) && pairs.list.size() < limit &&
               bytes < 500 * 1024;
             ++it) {
            pairs.list.push_back(item(*it));
            bytes += pairs.list.back().to_json().size();
        }
        bool more = it != entries_.end() && it->first.starts_with(prefix);
        return {200, Value::make_map({{"pairs", pairs}, {"more", more}, {"ring", ring_}})};
    }
    Response transact(const Value& txn) {
        const Value* then = txn.find("then");
        std::size_t changes = then ? then->list.size() : 0;
        if (static_cast<int>(changes) > txn_ops_) {
            return error(400, "too many changes");
        }
        if (!writes_.take(static_cast<double>(changes))) {
            return error(429, "too many changes");
        }
        Value failed = Value::make_list();
        if (const Value* when = txn.find("when")) {
            if (static_cast<int>(when->list.size()) > 4 * txn_ops_) {
                return error(400, "too many conditions");
            }
            for (const auto& condition : when->list) {
                auto it = entries_.find(condition.at("key").s);
                if ((it == entries_.end() ? 0 : it->second.graft) != condition.at("graft").i) {
                    failed.list.push_back(condition.at("key"));
                }
            }
        }
        if (!failed.list.empty()) {
            return {409, Value::make_map({{"failed", failed}, {"ring", ring_}})};
        }
        for (std::size_t k = 0; k < changes; ++k) {
            const Value& change = then->list[k];
            if (change.find("lease") && !leases_.contains(change.at("lease").i)) {
                return error(400, "no such lease");
            }
            if (change.find("set") &&
                static_cast<double>(change.at("data").to_json().size()) > value_bytes_) {
                record_.line("state service: the value of " + change.at("set").s + " is too large");
                return error(400, "value too large");
            }
        }
        if (changes > 0) {
            ++ring_;
        }
        for (std::size_t k = 0; k < changes; ++k) {
            const Value& change = then->list[k];
            if (const Value* key = change.find("set")) {
                entries_[key->s] = {change.at("data"), ring_, change.integer_or("lease", 0)};
                log(key->s, change.at("data"));
            } else if (entries_.erase(change.at("drop").s) > 0) {
                log(change.at("drop").s, std::nullopt);
            }
        }
        return ring(200);
    }
    void log(const std::string& key, std::optional<Value> data) {
        log_.push_back({ring_, key, std::move(data)});
        if (log_.size() > 10000) {
            dropped_ = log_.front().ring;
            log_.pop_front();
        }
        if (key.starts_with("part/")) {
            record_.line("state service: " + key + " = " +
                         (log_.back().data ? log_.back().data->to_json() : "gone") + " at " +
                         std::to_string(ring_));
        }
        changed_.notify_all();
    }
    Response lease(const Request& request) {
        if (request.method == "POST" && request.path == "/holds") {
            double ttl = unpack(request.body).at("ttl_ms").number() / 1000;
            std::uint64_t id = next_lease_++;
            leases_[id] = {ttl, now_s() + ttl};
            return {200, Value::make_map({{"lease", id}})};
        }
        std::uint64_t id = std::strtoull(request.path.c_str() + 7, nullptr, 10);
        auto it = leases_.find(id);
        if (it == leases_.end()) {
            return ring(404);
        }
        if (request.method == "DELETE") {
            it->second.end = 0;
            expire();
        } else {
            it->second.end = now_s() + it->second.ttl;
        }
        return {200, Value::make_map()};
    }
    void expire() {
        if (outage_) {
            return;
        }
        double now = now_s();
        for (auto it = leases_.begin(); it != leases_.end();) {
            if (it->second.end > now) {
                ++it;
                continue;
            }
            std::uint64_t id = it->first;
            it = leases_.erase(it);
            bool first = true;
            for (auto entry = entries_.begin(); entry != entries_.end();) {
                if (entry->second.lease != id) {
                    ++entry;
                    continue;
                }
                ring_ += first ? 1 : 0;
                first = false;
                std::string key = entry->first;
                entry = entries_.erase(entry);
                log(key, std::nullopt);
            }
        }
    }
    Response watch(std::size_t node, const Request& request, std::unique_lock<std::mutex>& lock) {
        std::string prefix = parameter(request, "starts", "");
        std::uint64_t since = std::stoull(parameter(request, "since", "0"));
        double until = now_s() + std::stod(parameter(request, "wait_ms", "0")) / 1000;
        while (true) {
            if (!refused(node)) { // else the watch stays open
                if (since < dropped_) {
                    return ring(410);
                }
                Value events = Value::make_list();
                for (const auto& change : log_) {
                    if (change.ring <= since || !change.key.starts_with(prefix)) {
                        continue;
                    }
                    events.list.push_back(
                        change.data ? Value::make_map({{"set", change.key},
                                                       {"data", *change.data},
                                                       {"graft", change.ring}})
                                    : Value::make_map({{"drop", change.key}, {"graft", change.ring}}));
                }
                if (!events.list.empty() || now_s() >= until) {
                    return {200, Value::make_map({{"ring", ring_}, {"events", events}})};
                }
            }
            changed_.wait_for(lock, std::chrono::milliseconds(100));
        }
    }

    Record& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    Bucket requests_, writes_;
    double value_bytes_;
    int txn_ops_;
    std::map<std::string, Entry> entries_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Change> log_;
    std::uint64_t ring_ = 1, dropped_ = 0, next_lease_ = 1;
    bool outage_ = false;
    std::vector<Mode> modes_;
    std::vector<std::unique_ptr<Server>> servers_;
};

// ---- Workers ----

class Worker {
  public:
    Worker(World& world, std::string name, std::string zone, bool spot, std::vector<int> controllers)
        : world_(world), name_(std::move(name)), zone_(std::move(zone)), spot_(spot),
          controllers_(std::move(controllers)), random_(std::hash<std::string>{}(name_)),
          lease_start_(now_s()),
          server_(std::make_unique<Server>([this](const Request& r) { return serve(r); })) {
        at_ = random_() % controllers_.size();
    }
    // Separate from the constructor, so that `self` keeps the worker while its threads run.
    void start(std::shared_ptr<Worker> self) {
        std::thread([self] { self->report_loop(); }).detach();
        std::thread([self] {
            while (!self->gone_) {
                sleep_s(0.01);
                std::lock_guard lock(self->mutex_);
                self->advance();
            }
        }).detach();
    }
    std::string address() const { return server_->address(); }
    // The machine is cut off: nothing reaches it, and its reports reach nobody.
    void set_cut(bool cut) { cut_ = cut; }
    // The machine and everything on it are gone.
    void end() {
        std::lock_guard lock(mutex_);
        gone_ = true;
        drop_tasks();
        server_->close();
    }

  private:
    struct Task {
        std::string stage = "pulling"; // pulling, waiting, running, exited
        std::string why;
        double until = 0;
        JobSpec job;
    };
    using Key = std::pair<std::string, std::uint64_t>;

    Value report() { // with the lock
        advance();
        Value petals = Value::make_list();
        for (const auto& [key, task] : tasks_) {
            Value item = Value::make_map({{"petal", key.first}, {"sowing", key.second}, {"stage", task.stage}});
            if (task.stage == "exited") {
                item.map.emplace_back("wilt", task.why);
            }
            petals.list.push_back(std::move(item));
        }
        return Value::make_map({{"pot", name_},
                                {"endpoint", address()},
                                {"bench", world_.deployment.bench},
                                {"house", zone_},
                                {"cuttings", spot_},
                                {"season", season_},
                                {"tick", ++tick_},
                                {"warrant", token_},
                                {"frost_s", Value()},
                                {"petals", petals}});
    }
    Response serve(const Request& request) {
        if (cut_) {
            sleep_s(2); // longer than anybody waits
            return {0, {}};
        }
        std::lock_guard lock(mutex_);
        if (gone_) {
            return {0, {}};
        }
        advance();
        if (request.path == "/inspect") {
            return {200, report()};
        }
        if (request.body.size() > 65536) {
            return {400, Value::make_map({{"error", "too large"}})};
        }
        Value body = unpack(request.body);
        if (!body.find("warrant") || !body.find("season")) {
            return {400, Value::make_map({{"error", "warrant or season is missing"}})};
        }
        std::uint64_t token = body.at("warrant").i;
        if (token < token_ || body.at("season").i != season_) {
            return {409, report()};
        }
        see_token(token);
        execute(body);
        return {200, report()};
    }
    void see_token(std::uint64_t token) {
        if (token > token_ && now_s() - token_change_at_ >= world_.deployment.lease_s / 2) {
            token_change_at_ = now_s();
            changed_ = true;
        }
        token_ = std::max(token_, token);
    }
    void execute(const Value& body) {
        const Value* commands = body.find("tending");
        for (std::size_t k = 0; commands && k < commands->list.size(); ++k) {
            const Value& command = commands->list[k];
            Key key{command.at("petal").s, command.at("sowing").i};
            const std::string& chore = command.at("chore").s;
            auto it = tasks_.find(key);
            if (chore == "launch" && it == tasks_.end()) {
                launch(key);
            } else if (chore == "stop" && it != tasks_.end() && it->second.stage != "exited") {
                exit(key, it->second, "halted");
            } else if (chore == "clear" && it != tasks_.end() && it->second.stage == "exited") {
                tasks_.erase(it);
                changed_ = true;
            }
        }
        advance();
    }
    void launch(const Key& key) {
        Task task;
        auto job = world_.job(World::job_of(key.first));
        auto index = std::strtoul(key.first.c_str() + key.first.find('/') + 1, nullptr, 10);
        bool busy = false;
        double cpus = 0, ram = 0;
        for (const auto& [other, state] : tasks_) {
            if (state.stage != "exited") {
                busy = busy || other.first == key.first;
                cpus += state.job.cpus;
                ram += state.job.ram_gb;
            }
        }
        if (!job || index >= static_cast<unsigned long>(job->petals)) {
            task.why = "unknown";
        } else if (busy) {
            task.why = "busy";
        } else if (cpus + job->cpus > world_.deployment.cpus + 1e-6 ||
                   ram + job->ram_gb > world_.deployment.ram_gb + 1e-6) {
            task.why = "no_room";
        } else {
            task.job = *job;
            auto [image, added] =
                images_.try_emplace(job->bulb, now_s() + job->pull_gb / world_.deployment.pull_gb_per_s);
            task.until = image->second;
        }
        if (!task.why.empty()) {
            task.stage = "exited";
        }
        tasks_[key] = std::move(task);
        changed_ = true;
    }
    void exit(const Key& key, Task& task, const std::string& why) {
        if (task.stage == "running" || task.stage == "waiting") {
            world_.task_off(key.first, name_, why == "done");
        }
        if (task.job.habit == "ensemble" && why != "done") {
            world_.gang_task_gone(key.first, key.second);
        }
        task.stage = "exited";
        task.why = why;
        changed_ = true;
    }
    void drop_tasks() {
        for (auto& [key, task] : tasks_) {
            if (task.stage == "running" || task.stage == "waiting") {
                world_.task_off(key.first, name_, false);
            }
            if (task.stage != "exited" && task.job.habit == "ensemble") {
                world_.gang_task_gone(key.first, key.second);
            }
        }
        tasks_.clear();
    }
    void advance() {
        double now = now_s();
        if (gone_) {
            return;
        }
        if (now > lease_start_ + world_.deployment.lease_s) {
            if (!tasks_.empty()) {
                world_.record.line("worker " + name_ + ": its lease is over, " +
                                   std::to_string(tasks_.size()) + " tasks are dropped");
            }
            drop_tasks();
            images_.clear();
            ++season_;
            lease_start_ = now;
            changed_ = true;
        }
        for (auto& [key, task] : tasks_) {
            bool gang = task.job.habit == "ensemble";
            if (task.stage == "pulling" && now >= task.until) {
                task.stage = gang ? "waiting" : "running";
                task.until = gang                            ? now + world_.deployment.gang_wait_s
                             : world_.completed(key.first)   ? now
                             : task.job.habit == "standing" ? 1e18
                                                            : now + task.job.run_s;
                world_.task_on(key.first, name_, zone_, spot_);
                changed_ = true;
            }
            if (task.stage == "waiting") {
                double started = world_.gang_started(key.first, key.second);
                if (started > 0) {
                    task.stage = "running";
                    task.until = started + task.job.run_s;
                    changed_ = true;
                } else if (now >= task.until) {
                    exit(key, task, "incomplete");
                }
            }
            if (gang && task.stage == "running" && world_.gang_lost(key.first, key.second) > 0 &&
                now >= world_.gang_lost(key.first, key.second) + world_.deployment.gang_peer_s / 2) {
                exit(key, task, "mates_gone");
            }
            if (task.stage == "running" && now >= task.until) {
                exit(key, task, "done");
            }
        }
    }
    void report_loop() {
        double due = now_s() + 0.05;
        double last = 0;
        while (!gone_) {
            sleep_s(0.02);
            double now = now_s();
            std::string body;
            std::uint64_t season = 0;
            {
                std::lock_guard lock(mutex_);
                if (gone_ || now < hold_until_ || !(now >= due || (changed_ && now >= last + 0.5))) {
                    continue;
                }
                body = pack(report());
                season = season_;
                changed_ = false;
            }
            double r = static_cast<double>(random_() % 1000) / 1000;
            last = now;
            due = now + world_.deployment.report_s * (0.75 + 0.5 * r);
            Answer answer;
            if (cut_) {
                sleep_s(4);
            } else {
                answer = call(controllers_[at_], "POST", "/v1/report", body, 4);
            }
            std::lock_guard lock(mutex_);
            on_answer(answer, season, now);
            if (hold_until_ > now) {
                due = hold_until_;
            }
        }
    }
    void on_answer(const Answer& answer, std::uint64_t season, double sent) {
        double now = now_s();
        advance();
        if (answer.status == 200) {
            std::uint64_t token = answer.body.integer_or("warrant", 0);
            if (season != season_ || !answer.body.find("warrant") || token < token_) {
                return; // dropped
            }
            see_token(token);
            lease_start_ = std::max(lease_start_, sent);
            execute(answer.body);
        } else if (answer.status == 421) {
            std::string name = answer.body.text_or("gardener", "");
            std::size_t named = controllers_.size();
            for (std::size_t k = 0; k < world_.deployment.nodes.size(); ++k) {
                named = world_.deployment.nodes[k] == name ? k : named;
            }
            if (named < controllers_.size() && named != at_) {
                at_ = named;
                hold_until_ = now + 0.1;
            } else {
                next_controller(now);
            }
        } else {
            next_controller(now);
        }
    }
    void next_controller(double now) {
        at_ = (at_ + 1) % controllers_.size();
        hold_until_ = now + 1;
    }

    World& world_;
    const std::string name_, zone_;
    const bool spot_;
    const std::vector<int> controllers_; // their ports
    std::mt19937_64 random_;
    std::mutex mutex_;
    std::atomic<bool> gone_ = false, cut_ = false;
    std::map<Key, Task> tasks_;
    std::map<std::string, double> images_; // when each is there
    std::uint64_t season_ = 1, tick_ = 0, token_ = 0;
    double lease_start_ = 0, token_change_at_ = -1e9, hold_until_ = 0;
    bool changed_ = false;
    std::size_t at_ = 0;
    std::unique_ptr<Server> server_;
};

// ---- The cloud ----

class Cloud {
  public:
    Cloud(World& world, std::vector<int> controllers)
        : world_(world), controllers_(std::move(controllers)), capacity_(world.deployment.capacity),
          requests_(world.deployment.cloud_rps, 2), server_([this](const Request& r) { return serve(r); }) {
        std::thread([this] {
            while (true) {
                sleep_s(0.05);
                boot();
            }
        }).detach();
    }
    std::string address() const { return server_.address(); }
    // Machines that run, by name.
    std::vector<std::string> running() {
        std::lock_guard lock(mutex_);
        std::vector<std::string> names;
        for (const auto& [name, machine] : machines_) {
            if (machine.worker && machine.gone < 0) {
                names.push_back(name);
            }
        }
        return names;
    }
    void set_cut(const std::string& name, bool cut) {
        std::lock_guard lock(mutex_);
        if (auto& worker = machines_[name].worker) {
            worker->set_cut(cut);
            world_.record.line("machine " + name + (cut ? " is cut off" : " is back"));
        }
    }
    // The machine stops with all that is on it; it stays listed as running for 30 s.
    void die(const std::string& name) {
        std::lock_guard lock(mutex_);
        Machine& m = machines_[name];
        if (m.worker && m.gone < 0) {
            m.gone = now_s() + 30;
            ++capacity_[{m.zone, m.spot}];
            m.worker->end();
            world_.record.line("machine " + name + " stops");
        }
    }
    // How many machines run, by zone and kind.
    std::string describe() {
        std::lock_guard lock(mutex_);
        std::map<std::string, int> counts;
        for (const auto& [name, m] : machines_) {
            if (m.worker && m.gone < 0) {
                ++counts[m.zone + (m.spot ? " (spot)" : "")];
            }
        }
        std::string text;
        for (const auto& [kind, count] : counts) {
            text += (text.empty() ? "" : ", ") + std::to_string(count) + " in " + kind;
        }
        return text;
    }
    std::size_t up() {
        std::lock_guard lock(mutex_);
        std::size_t count = 0;
        for (const auto& [name, machine] : machines_) {
            count += machine.worker != nullptr;
        }
        return count;
    }

  private:
    struct Machine {
        std::string zone;
        bool spot = false;
        double rented = 0, up = 0, gone = -1;
        std::shared_ptr<Worker> worker;
    };
    Response serve(const Request& request) {
        sleep_s(0.05);
        std::lock_guard lock(mutex_);
        if (!requests_.take(1)) {
            return {429, Value::make_map({{"error", "too many requests"}})};
        }
        const Deployment& d = world_.deployment;
        if (request.path == "/catalog") {
            Value houses = Value::make_list();
            for (const auto& zone : d.houses) {
                houses.list.push_back(zone);
            }
            Value type = Value::make_map({{"sku", d.bench},
                                          {"cpus", d.cpus},
                                          {"cards", 0.0},
                                          {"ram_gb", d.ram_gb},
                                          {"cache_gb", d.cache_gb},
                                          {"pull_gb_per_s", d.pull_gb_per_s},
                                          {"rate", d.rate},
                                          {"market_price", d.market_price},
                                          {"startup_s", d.startup_s},
                                          {"houses", houses}});
            return {200, Value::make_map({{"benches", Value::make_list({type})}})};
        }
        if (request.path == "/hosts" && request.method == "GET") {
            return list(request);
        }
        if (request.path == "/hosts") {
            return rent(unpack(request.body));
        }
        if (request.path == "/hosts/release") {
            Value body = unpack(request.body);
            for (const auto& name : body.at("pots").list) {
                auto it = machines_.find(name.s);
                if (it != machines_.end() && it->second.gone < 0) {
                    it->second.gone = now_s();
                    ++capacity_[{it->second.zone, it->second.spot}];
                    if (it->second.worker) {
                        it->second.worker->end();
                        it->second.worker.reset();
                    }
                    world_.record.line("cloud: " + name.s + " is released");
                }
            }
            return {200, Value::make_map()};
        }
        return {404, Value::make_map()};
    }
    Response rent(const Value& body) {
        std::string order = body.at("order").s;
        if (auto it = orders_.find(order); it != orders_.end()) {
            return {200, Value::make_map({{"pots", it->second}})};
        }
        std::string zone = body.at("house").s;
        bool spot = body.at("cuttings").b;
        int& left = capacity_[{zone, spot}];
        int count = std::min({static_cast<int>(body.at("count").number()), 50, left});
        if (count <= 0) {
            return {503, Value::make_map({{"error", "no capacity"}})};
        }
        left -= count;
        Value names = Value::make_list();
        for (int k = 0; k < count; ++k) {
            char name[32];
            std::snprintf(name, sizeof name, "i-%06d", ++next_);
            const Deployment& d = world_.deployment;
            double factor = 0.6 + 0.9 * static_cast<double>(random_() % 1000) / 1000;
            double boot_s = d.boot_s > 0 ? d.boot_s : factor * d.startup_s;
            machines_[name] = {zone, spot, now_s(), now_s() + boot_s, -1, nullptr};
            names.list.push_back(std::string(name));
        }
        orders_[order] = names;
        world_.record.line("cloud: order " + order + " rents " + std::to_string(count) + " in " + zone +
                           (spot ? " (spot)" : ""));
        return {200, Value::make_map({{"pots", names}})};
    }
    Response list(const Request& request) {
        auto since = request.query.find("since");
        double at = now_s() - world_.deployment.list_lag_s;
        Value pots = Value::make_list();
        auto it = since == request.query.end() ? machines_.begin() : machines_.upper_bound(since->second);
        for (; it != machines_.end() && pots.list.size() < 500; ++it) {
            const Machine& m = it->second;
            if (m.rented > at || (m.gone >= 0 && m.gone <= at)) {
                continue;
            }
            pots.list.push_back(Value::make_map({{"uid", it->first},
                                                 {"endpoint", m.worker ? Value(m.worker->address()) : Value()},
                                                 {"bench", world_.deployment.bench},
                                                 {"house", m.zone},
                                                 {"cuttings", m.spot},
                                                 {"stage", m.up > at ? "booting" : "running"},
                                                 {"held_s", at - m.rented}}));
        }
        return {200, Value::make_map({{"pots", pots}, {"more", it != machines_.end()}})};
    }
    void boot() {
        std::lock_guard lock(mutex_);
        for (auto& [name, m] : machines_) {
            if (m.gone < 0 && !m.worker && now_s() >= m.up) { // once
                m.worker = std::make_shared<Worker>(world_, name, m.zone, m.spot, controllers_);
                m.worker->start(m.worker);
            }
        }
    }

    World& world_;
    const std::vector<int> controllers_;
    std::mutex mutex_;
    std::map<std::pair<std::string, bool>, int> capacity_;
    Bucket requests_;
    std::mt19937_64 random_{1};
    int next_ = 0;
    std::map<std::string, Machine> machines_;
    std::map<std::string, Value> orders_;
    Server server_;
};

// ---- The controllers ----

class Controllers {
  public:
    Controllers(const Deployment& deployment, Record& record, const std::string& root)
        : deployment_(deployment), record_(record), root_(root) {
        ::setenv("LOG_LEVEL", "info", 1);
        char folder[] = "/tmp/review-2-XXXXXX";
        if (!::mkdtemp(folder)) {
            throw std::runtime_error("no temporary folder");
        }
        folder_ = folder;
        for (std::size_t k = 0; k < deployment.nodes.size(); ++k) {
            ports_.push_back(free_port());
            back_ports_.push_back(free_port());
        }
        pids_.assign(deployment.nodes.size(), -1);
        // The start command of the deploy file: run = "PROGRAM ARGUMENTS".
        std::ifstream in(root + "/deploy/service.toml");
        for (std::string line; std::getline(in, line);) {
            if (line.starts_with("run = \"")) {
                std::istringstream words(line.substr(7, line.rfind('"') - 7));
                for (std::string word; words >> word;) {
                    run_.push_back(word);
                }
            }
        }
        if (run_.empty()) {
            throw std::runtime_error("no run in deploy/service.toml");
        }
        std::string program = run_[0].starts_with("/") ? run_[0] : root + "/" + run_[0];
        if (::access(program.c_str(), X_OK) != 0) {
            throw std::runtime_error(run_[0] + " is not built");
        }
    }
    ~Controllers() {
        end_all();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    const std::vector<int>& ports() const { return ports_; }
    // If set: the port at which a controller finds another one, instead of its own.
    std::function<int(std::size_t from, std::size_t to, int port)> peer_proxy;
    // `state`: where each controller finds the state service.
    void write_settings(const std::vector<std::string>& state, const std::string& cloud) {
        for (std::size_t k = 0; k < ports_.size(); ++k) {
            std::ofstream out(file(k));
            out << "node = \"" << deployment_.nodes[k] << "\"\nzone = \"" << deployment_.node_zones[k]
                << "\"\nlisten = \"127.0.0.1:" << ports_[k] << "\"\nback = \"127.0.0.1:" << back_ports_[k]
                << "\"\n";
            for (std::size_t j = 0; j < ports_.size(); ++j) {
                if (j != k) {
                    out << "[[siblings]]\nnode = \"" << deployment_.nodes[j] << "\"\nzone = \""
                        << deployment_.node_zones[j] << "\"\npeer_addr = \"127.0.0.1:"
                        << (peer_proxy ? peer_proxy(k, j, back_ports_[j]) : back_ports_[j])
                        << "\"\n";
                }
            }
            out << "[external]\ncloud = \"" << cloud << "\"\nstate = \"" << state[k] << "\"\n[facts]\ncount = "
                << ports_.size() << "\nzones = [";
            for (std::size_t j = 0; j < deployment_.zones.size(); ++j) {
                out << (j ? ", \"" : "\"") << deployment_.zones[j] << "\"";
            }
            out << "]\nclock_error_ms = 250.0\n";
            for (const auto& team : deployment_.teams) {
                out << "[[facts.teams]]\nname = \"" << team.name << "\"\ncpus = " << real(team.cpus)
                    << "\ncpus_max = " << real(team.cpus_max) << "\ngpus = 0.0\ngpus_max = 0.0\n";
            }
            // Those of kmwsb-jalghar, as DEPLOY shows them.
            objective(out, "finished", "tender-scan", 150, 0.93);
            objective(out, "finished", "tender-scan", 350, 0.975);
            objective(out, "wait", "vigilance-recheck", 25, 0.975);
            objective(out, "wait", "vigilance-recheck", 50, 0.975);
            objective(out, "finished", "vigilance-recheck", 120, 0.97);
            out << "[[facts.objectives]]\nkind = \"deadline\"\nclass = \"thesis-compare\"\nshare = 0.9\n"
                << "times = 1.0\n[[facts.objectives]]\nkind = \"guarantee\"\nwithin_s = 10.0\nshare = 0.9\n"
                << "[facts.workers]\nreport_s = " << real(deployment_.report_s)
                << "\nlease_s = " << real(deployment_.lease_s) << "\ngang_wait_s = "
                << real(deployment_.gang_wait_s) << "\ngang_peer_s = " << real(deployment_.gang_peer_s)
                << "\ncancel_s = " << real(deployment_.cancel_s) << "\n[facts.state]\nrps = "
                << real(deployment_.state_rps) << "\nwrite_rps = " << real(deployment_.state_write_rps)
                << "\nvalue_kb = " << real(deployment_.value_kb) << "\ntxn_ops = " << deployment_.txn_ops
                << "\n[facts.cloud]\nrps = " << real(deployment_.cloud_rps) << "\nlist_lag_s = "
                << real(deployment_.list_lag_s) << "\n[facts.machine_limits]\ncpu_share = 0.12\n"
                << "mem_mb = 72.0\nsockets = " << deployment_.sockets << "\n";
        }
    }
    void start(std::size_t k) {
        std::string log = folder_ + "/" + deployment_.nodes[k] + ".log";
        std::vector<std::string> words = run_;
        words.push_back(file(k));
        std::vector<char*> arguments;
        for (auto& word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            if (::chdir(root_.c_str()) != 0 || out < 0 || ::dup2(out, 2) < 0) {
                ::_exit(127);
            }
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        pids_[k] = pid;
        record_.line("controller " + deployment_.nodes[k] + " is started");
    }
    void kill(std::size_t k) {
        if (pids_[k] > 0) {
            ::kill(pids_[k], SIGKILL);
            ::waitpid(pids_[k], nullptr, 0);
            pids_[k] = -1;
            record_.line("controller " + deployment_.nodes[k] + " is killed");
        }
    }
    // Returns the name of a controller that has ended by itself, or nothing.
    std::string ended() {
        for (std::size_t k = 0; k < pids_.size(); ++k) {
            if (pids_[k] > 0 && ::waitpid(pids_[k], nullptr, WNOHANG) == pids_[k]) {
                pids_[k] = -1;
                return deployment_.nodes[k];
            }
        }
        return "";
    }
    void end_all() {
        for (std::size_t k = 0; k < pids_.size(); ++k) {
            kill(k);
        }
    }
    bool ready(std::size_t k) const { return call(ports_[k], "GET", "/ready", "", 1).status == 200; }
    bool wait_ready(std::size_t k, double timeout_s) const {
        for (double until = now_s() + timeout_s; now_s() < until; sleep_s(0.05)) {
            if (ready(k)) {
                return true;
            }
        }
        return false;
    }
    // Adds the events of the controllers' logs that help to follow the run to the record.
    void copy_logs() {
        for (const auto& node : deployment_.nodes) {
            std::ifstream in(folder_ + "/" + node + ".log");
            for (std::string line; std::getline(in, line);) {
                if (line.find("event=partition_sampled") == std::string::npos &&
                    line.find("event=capacity_sampled") == std::string::npos &&
                    line.find("event=shard_") == std::string::npos) {
                    record_.line("log of " + node + ": " + line);
                }
            }
        }
    }

  private:
    static void objective(std::ostream& out, const std::string& kind, const std::string& job_class,
                          double within_s, double share) {
        out << "[[facts.objectives]]\nkind = \"" << kind << "\"\nclass = \"" << job_class
            << "\"\nwithin_s = " << real(within_s) << "\nshare = " << real(share) << "\n";
    }
    static std::string real(double v) {
        std::ostringstream out;
        out << std::fixed << v;
        return out.str();
    }
    std::string file(std::size_t k) const { return folder_ + "/" + deployment_.nodes[k] + ".toml"; }

    const Deployment& deployment_;
    Record& record_;
    std::string root_, folder_;
    std::vector<std::string> run_;
    std::vector<int> ports_, back_ports_;
    std::vector<pid_t> pids_;
};

// ---- Users ----

// Their load balancer is a choice of a controller that says it is ready.
class Users {
  public:
    Users(World& world, const Controllers& controllers) : world_(world), controllers_(controllers) {}
    // Repeats as the protocol says: after 1 s, for up to 60 s. Returns the last status.
    int submit(const JobSpec& job) {
        world_.add_job(job);
        std::string body = pack(job.value());
        return repeat("submits " + job.uid + " (" + std::to_string(job.petals) + " tasks of " +
                          std::to_string(job.cpus) + " CPUs, team " + job.grower + ")",
                      [&](int port) { return call(port, "POST", "/work", body, 5); });
    }
    int withdraw(const std::string& uid) {
        return repeat("withdraws " + uid,
                      [&](int port) { return call(port, "POST", "/work/" + uid + "/withdraw", "", 5); });
    }
    // One question; the stage is empty without an answer of 200.
    Answer poll(const std::string& uid) {
        int port = choose();
        return port < 0 ? Answer{} : call(port, "GET", "/work/" + uid, "", 2);
    }

  private:
    int choose() {
        const auto& ports = controllers_.ports();
        for (std::size_t k = 0; k < ports.size(); ++k) {
            std::size_t which = next_++ % ports.size();
            if (controllers_.ready(which)) {
                return ports[which];
            }
        }
        return -1;
    }
    int repeat(const std::string& what, const std::function<Answer(int)>& request) {
        Answer answer;
        for (double until = now_s() + 60; now_s() < until; sleep_s(1)) {
            int port = choose();
            answer = port < 0 ? Answer{} : request(port);
            world_.record.line("user " + what + ": " + std::to_string(answer.status) + " " +
                               answer.body.to_json());
            if (answer.status == 200 || answer.status == 201 || answer.status == 400 || answer.status == 422) {
                break;
            }
        }
        return answer.status;
    }
    World& world_;
    const Controllers& controllers_;
    std::atomic<std::size_t> next_ = 0;
};

// Ends the whole run with status 2 (it could not be carried out) when it takes too long.
inline void limit_time(double seconds) {
    std::thread([seconds] {
        sleep_s(seconds);
        std::fprintf(stderr, "the run took too long\n");
        ::_exit(2); // the controllers end with their parent
    }).detach();
}

inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace standin

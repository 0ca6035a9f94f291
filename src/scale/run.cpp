#include "scale/run.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "scale/checker.h"
#include "scale/http.h"
#include "scale/measure.h"
#include "scale/messages.h"
#include "scale/processes.h"

namespace scheduler::scale {

namespace {
namespace fs = std::filesystem;
constexpr double kStep_s = 0.05;
constexpr double kSample_s = 1;
constexpr double kBegin_s = 20; // for a process to be up
constexpr double kFilled = 0.9; // of the tasks, then the window may begin
constexpr double kSettle_s = 3; // of the steady arrivals before it
constexpr double kLeave_s = 5;  // for a hollow process to write what it holds
constexpr int kUnplayable = 2;  // exit status of a hollow process that could not begin

volatile std::sig_atomic_t interrupted = 0;

void pause_for(double seconds) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Every process that the run has started, ended with it whatever happens.
class Children {
  public:
    ~Children() {
        for (pid_t pid : alive_) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
    }
    template <class Work> pid_t start(Work work) {
        pid_t parent = ::getpid();
        std::cout.flush();
        std::cerr.flush();
        pid_t pid = ::fork();
        if (pid < 0) {
            throw CannotPlay(std::string("fork: ") + std::strerror(errno));
        }
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(kUnplayable);
            }
            std::signal(SIGINT, SIG_IGN); // the supervisor ends it
            std::signal(SIGTERM, SIG_DFL);
            std::signal(SIGPIPE, SIG_IGN);
            work();
            ::_exit(0);
        }
        alive_.push_back(pid);
        return pid;
    }
    // Ended by the supervisor, at once or in its own time.
    void end(pid_t pid, int signal) {
        ::kill(pid, signal);
        Time until = now() + kLeave_s;
        while (::waitpid(pid, nullptr, WNOHANG) == 0) {
            if (now() > until) {
                ::kill(pid, SIGKILL);
                ::waitpid(pid, nullptr, 0);
                break;
            }
            pause_for(0.005);
        }
        std::erase(alive_, pid);
    }
    // A process that has ended by itself: its id and status.
    std::optional<std::pair<pid_t, int>> ended() {
        for (pid_t pid : alive_) {
            int status = 0;
            if (::waitpid(pid, &status, WNOHANG) == pid) {
                std::erase(alive_, pid);
                return std::pair(pid, status);
            }
        }
        return std::nullopt;
    }

  private:
    std::vector<pid_t> alive_;
};

struct Role { // of processes of one kind, over the window
    double cpu_s = 0;
    double core_s = 0;
    double memory = 0; // the largest of one process, bytes
    double memory_sum = 0;
    int samples = 0;
    int sockets = 0;
    double busiest_s = 0; // processor time of the busiest process
};

class Run {
  public:
    explicit Run(const Options& options) : options_(options) {}
    ~Run() {
        if (options_.folder.empty() && !folder_.empty()) {
            std::error_code error;
            fs::remove_all(folder_, error);
        }
    }
    Run(const Run&) = delete;
    Run& operator=(const Run&) = delete;

    Verdict play() {
        make_folder();
        void* shared = ::mmap(nullptr, sizeof(Counters) * std::size_t(options_.regions),
                              PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
        if (shared == MAP_FAILED) {
            throw CannotPlay(std::string("mmap: ") + std::strerror(errno));
        }
        counters_ = static_cast<Counters*>(shared);
        for (int r = 0; r < options_.regions; ++r) {
            new (&counters_[r]) Counters;
            regions_.push_back({Plan(options_, r), {}, 0, 0, 0});
        }
        begin();
        fill();
        window();
        finish();
        Verdict verdict = judge();
        report(verdict);
        ::munmap(shared, sizeof(Counters) * std::size_t(options_.regions));
        return verdict;
    }

  private:
    struct Region {
        Plan plan;
        std::vector<pid_t> nodes;
        pid_t stand_ins = 0;
        pid_t workers = 0;
        pid_t users = 0;
    };

    void make_folder() {
        folder_ = options_.folder.empty()
                      ? fs::temp_directory_path() / ("orchidscale-" + std::to_string(::getpid()))
                      : fs::path(options_.folder);
        std::error_code error;
        fs::create_directories(folder_, error);
        if (error) {
            throw CannotPlay(folder_.string() + ": " + error.message());
        }
    }
    std::string file(int region, const std::string& name) const {
        return (folder_ / (std::to_string(region) + "-" + name)).string();
    }

    template <class Work> pid_t start_hollow(const std::string& name, Work work) {
        return children_.start([&] {
            try {
                work();
            } catch (const std::exception& bad) {
                std::cerr << "orchidscale: " << name << ": " << bad.what() << std::endl;
                ::_exit(kUnplayable);
            }
        });
    }

    pid_t start_node(int region, int node) {
        const Plan& plan = regions_[std::size_t(region)].plan;
        std::string settings = file(region, plan.node_name(node) + ".toml");
        std::ofstream(settings) << plan.settings(node);
        std::string log = file(region, plan.node_name(node) + ".log");
        const char* level = options_.folder.empty() ? "error" : "info";
        return children_.start([&] {
            int to = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(to, STDERR_FILENO);
            ::setenv("LOG_LEVEL", level, 1);
            ::execl(options_.daemon.c_str(), options_.daemon.c_str(), "--config", settings.c_str(),
                    nullptr);
            ::_exit(127);
        });
    }

    void wait_for(const Counters::Count& ready, const std::string& what) {
        for (Time until = now() + kBegin_s; ready == 0;) {
            step();
            if (now() > until) {
                throw CannotPlay(what + ": not up within " + std::to_string(int(kBegin_s)) + " s");
            }
        }
    }

    void begin() {
        for (int r = 0; r < options_.regions; ++r) {
            Region& region = regions_[std::size_t(r)];
            region.stand_ins =
                start_hollow("stand-ins", [&] { run_stand_ins(region.plan, counters_[r]); });
        }
        for (int r = 0; r < options_.regions; ++r) {
            Region& region = regions_[std::size_t(r)];
            wait_for(counters_[r].stand_ins_ready, "stand-ins");
            for (int n = 0; n < options_.controllers; ++n) {
                region.nodes.push_back(start_node(r, n));
            }
            region.workers = start_hollow("workers", [&] {
                run_workers(region.plan, counters_[r], file(r, "workers.history"));
            });
        }
        for (int r = 0; r < options_.regions; ++r) {
            Region& region = regions_[std::size_t(r)];
            wait_for(counters_[r].workers_ready, "workers");
            region.users = start_hollow(
                "users", [&] { run_users(region.plan, counters_[r], file(r, "users.history")); });
        }
        began_ = now();
    }

    // Lets a moment pass. Throws when something has ended by itself, or the run was interrupted.
    void step() {
        pause_for(kStep_s);
        if (interrupted) {
            throw CannotPlay("interrupted");
        }
        if (auto ended = children_.ended()) {
            std::string what = "a process";
            for (std::size_t r = 0; r < regions_.size(); ++r) {
                const auto& nodes = regions_[r].nodes;
                auto it = std::find(nodes.begin(), nodes.end(), ended->first);
                if (it != nodes.end()) {
                    what = regions_[r].plan.node_name(int(it - nodes.begin())) + " of region " +
                           std::to_string(r);
                }
            }
            throw CannotPlay(what + " ended by itself, status " + std::to_string(ended->second));
        }
    }

    double sum(Counters::Count Counters::*count) const {
        double sum = 0;
        for (int r = 0; r < options_.regions; ++r) {
            sum += double((counters_[r].*count).load());
        }
        return sum;
    }

    void fill() {
        Time until = now() + options_.fill_s;
        while (now() < until && sum(&Counters::running) < kFilled * options_.tasks) {
            step();
        }
        filled_ = sum(&Counters::running) >= kFilled * options_.tasks;
        fill_s_ = now() - began_;
        for (Time settled = now() + kSettle_s; now() < settled;) {
            step();
        }
    }

    static constexpr Counters::Count Counters::*kCounts[] = {&Counters::state_requests,
                                                             &Counters::state_watches,
                                                             &Counters::state_transactions,
                                                             &Counters::state_changes,
                                                             &Counters::state_conditions_failed,
                                                             &Counters::state_refused,
                                                             &Counters::state_received,
                                                             &Counters::state_sent,
                                                             &Counters::cloud_calls,
                                                             &Counters::cloud_refused,
                                                             &Counters::rented,
                                                             &Counters::released,
                                                             &Counters::starts,
                                                             &Counters::ends,
                                                             &Counters::reports,
                                                             &Counters::reports_answered,
                                                             &Counters::reports_redirected,
                                                             &Counters::reports_refused,
                                                             &Counters::reports_dropped,
                                                             &Counters::orders,
                                                             &Counters::report_sent,
                                                             &Counters::report_received,
                                                             &Counters::orders_sent,
                                                             &Counters::orders_received,
                                                             &Counters::died,
                                                             &Counters::submissions,
                                                             &Counters::accepted,
                                                             &Counters::polls,
                                                             &Counters::cancellations,
                                                             &Counters::refused,
                                                             &Counters::given_up,
                                                             &Counters::user_sent,
                                                             &Counters::user_received,
                                                             &Counters::changes};
    static constexpr const char* kNames[] = {"state_requests",
                                             "state_watches",
                                             "state_transactions",
                                             "state_changes",
                                             "state_conditions_failed",
                                             "state_refused",
                                             "state_received",
                                             "state_sent",
                                             "cloud_calls",
                                             "cloud_refused",
                                             "rented",
                                             "released",
                                             "starts",
                                             "ends",
                                             "reports",
                                             "reports_answered",
                                             "reports_redirected",
                                             "reports_refused",
                                             "reports_dropped",
                                             "orders",
                                             "report_sent",
                                             "report_received",
                                             "orders_sent",
                                             "orders_received",
                                             "died",
                                             "submissions",
                                             "accepted",
                                             "polls",
                                             "cancellations",
                                             "refused",
                                             "given_up",
                                             "user_sent",
                                             "user_received",
                                             "changes"};

    std::map<std::string, double> counts() const {
        std::map<std::string, double> out;
        for (std::size_t i = 0; i < std::size(kCounts); ++i) {
            out[kNames[i]] = sum(kCounts[i]);
        }
        return out;
    }

    template <class Each> void each_process(Each each) {
        for (auto& region : regions_) {
            for (pid_t pid : region.nodes) {
                each("controller", pid);
            }
            each("stand_ins", region.stand_ins);
            each("workers", region.workers);
            each("users", region.users);
        }
    }

    void sample(bool first) {
        each_process([&](const char* role, pid_t pid) {
            if (pid == 0) {
                return; // a controller that is down
            }
            ProcessUse use = use_of(pid, true);
            if (first) {
                before_[pid] = use;
            }
            Role& r = roles_[role];
            r.memory = std::max(r.memory, use.memory);
            r.memory_sum += use.memory;
            ++r.samples;
            r.sockets = std::max(r.sockets, use.sockets);
        });
        up_sum_ += sum(&Counters::up);
        running_sum_ += sum(&Counters::running);
        open_sum_ += sum(&Counters::jobs_open);
        ++up_samples_;
    }

    void charge(const char* role, pid_t pid) {
        ProcessUse use = use_of(pid);
        auto it = before_.find(pid);
        double cpu = use.cpu_s - (it == before_.end() ? 0 : it->second.cpu_s);
        roles_[role].cpu_s += cpu;
        roles_[role].core_s += use.main_cpu_s - (it == before_.end() ? 0 : it->second.main_cpu_s);
        roles_[role].busiest_s = std::max(roles_[role].busiest_s, cpu);
    }

    void window() {
        window_from_ = now();
        auto before = counts();
        double bytes = loopback_bytes();
        sample(true);
        Time next_sample = now() + kSample_s;
        bool killed = options_.kill_s < 0;
        bool back = killed;
        bool replaced = options_.replace == 0;
        while (now() < window_from_ + options_.for_s) {
            step();
            double at = now() - window_from_;
            if (!killed && at >= options_.kill_s) {
                killed = true;
                for (auto& region : regions_) {
                    charge("controller", region.nodes[0]);
                    children_.end(region.nodes[0], SIGKILL);
                    region.nodes[0] = 0;
                }
            }
            if (killed && !back && at >= options_.kill_s + options_.back_s) {
                back = true;
                for (int r = 0; r < options_.regions; ++r) {
                    regions_[std::size_t(r)].nodes[0] = start_node(r, 0);
                }
            }
            if (!replaced && at >= options_.for_s / 4) {
                replaced = true;
                for (int r = 0; r < options_.regions; ++r) {
                    counters_[r].to_replace =
                        std::uint64_t(options_.replace / options_.regions +
                                      (r < options_.replace % options_.regions ? 1 : 0));
                }
            }
            if (now() >= next_sample) {
                next_sample += kSample_s;
                sample(false);
            }
        }
        window_s_ = now() - window_from_;
        counted_ = counts();
        for (auto& [name, n] : counted_) {
            n -= before[name];
        }
        loopback_ = loopback_bytes() - bytes;
        each_process([&](const char* role, pid_t pid) {
            if (pid != 0) {
                charge(role, pid);
            }
        });
        state_keys_ = sum(&Counters::state_keys);
    }

    // Users first, then workers: what they saw ends before what they asked does.
    void finish() {
        ended_ = now();
        for (auto& region : regions_) {
            children_.end(region.users, SIGTERM);
            children_.end(region.workers, SIGTERM);
            for (pid_t pid : region.nodes) {
                if (pid != 0) {
                    children_.end(pid, SIGKILL);
                }
            }
            children_.end(region.stand_ins, SIGTERM);
        }
    }

    Verdict judge() {
        for (int r = 0; r < options_.regions; ++r) {
            const Plan& plan = regions_[std::size_t(r)].plan;
            Checker::Setting setting;
            setting.teams = plan.teams();
            setting.type = plan.machine_type();
            setting.cancel_s = Plan::kCancel_s;
            setting.lowering_s = Plan::kCancel_s; // docs/configuration.md, "Stated time"
            setting.job = [&plan](const std::string& id) { return plan.job(id); };
            Checker checker(setting);
            std::vector<Event> events = read_history(file(r, "workers.history"));
            auto users = read_history(file(r, "users.history"));
            events.insert(events.end(), std::make_move_iterator(users.begin()),
                          std::make_move_iterator(users.end()));
            std::stable_sort(events.begin(), events.end(),
                             [](const Event& a, const Event& b) { return a.time < b.time; });
            std::erase_if(events, [&](const Event& e) { return e.time > ended_; });
            std::map<std::string, Time> submitted;
            std::map<std::uint64_t, const Event*> asked;
            std::set<TaskId> begun;
            std::map<std::string, std::map<std::uint64_t, Time>> written; // not in force at a node
            for (const Event& e : events) {
                checker.take(e);
                measure(e, submitted, asked, begun);
                measure_force(plan, e, written);
            }
            for (const auto& [node, changes] : written) {
                for (const auto& [revision, when] : changes) {
                    never_in_force_ += ended_ - when > Plan::kReport_s ? 1 : 0;
                }
            }
            checker.end(ended_);
            for (const auto& rule : checker.broken()) {
                broken_.push_back("region " + std::to_string(r) + ": " + rule);
            }
            longest_unanswered_ =
                std::max(longest_unanswered_, checker.judge().longest_unanswered(ended_));
            longest_cancelled_ = std::max(longest_cancelled_, checker.judge().longest_cancelled());
        }
        return broken_.empty() ? Verdict::kept : Verdict::broken;
    }

    void measure(const Event& e, std::map<std::string, Time>& submitted,
                 std::map<std::uint64_t, const Event*>& asked, std::set<TaskId>& begun) {
        using Kind = Event::Kind;
        bool in_window = e.time >= window_from_ && e.time < window_from_ + window_s_;
        if (e.kind == Kind::submit) {
            submitted.emplace(e.task.job, e.time);
        }
        if (e.kind == Kind::submit || e.kind == Kind::poll || e.kind == Kind::cancel) {
            asked[e.request] = &e;
        } else if (e.kind == Kind::answered && in_window) {
            auto it = asked.find(e.request);
            if (it != asked.end() && e.status < 300) {
                times_[it->second->kind == Kind::submit ? "submissions"
                       : it->second->kind == Kind::poll ? "polls"
                                                        : "cancellations"]
                    .add(e.time - it->second->time);
            }
        } else if (e.kind == Kind::came && begun.insert(e.task).second) {
            auto since = submitted.find(e.task.job);
            auto [kind, number] = Plan::kind_of(e.task.job);
            if (since != submitted.end() && since->second >= window_from_ &&
                (kind == Plan::Kind::ordinary || kind == Plan::Kind::urgent)) {
                times_[kind == Plan::Kind::urgent ? "urgent_starts" : "ordinary_starts"].add(
                    e.time - since->second);
            }
        }
    }

    // From the write of a change to each controller's saying that it has it in force.
    void measure_force(const Plan& plan, const Event& e,
                       std::map<std::string, std::map<std::uint64_t, Time>>& written) {
        if (e.kind == Event::Kind::limit) {
            for (int n = 0; n < options_.controllers; ++n) {
                written[plan.node_name(n)][e.request] = e.time;
            }
        } else if (e.kind == Event::Kind::in_force) {
            auto& changes = written[e.machine];
            auto end = changes.upper_bound(e.request);
            for (auto it = changes.begin(); it != end; it = changes.erase(it)) {
                times_["in_force"].add(e.time - it->second);
            }
        }
    }

    void report(Verdict verdict) {
        Json j;
        j["options"] = {{"regions", options_.regions},
                        {"controllers", options_.controllers},
                        {"workers", options_.workers},
                        {"tasks", options_.tasks},
                        {"starts", options_.starts},
                        {"teams", options_.teams},
                        {"waiting", options_.waiting},
                        {"job_tasks", regions_[0].plan.job_tasks()},
                        {"changes", options_.changes},
                        {"kill", options_.kill_s},
                        {"replace", options_.replace},
                        {"state_rps", options_.state_rps},
                        {"state_writes", options_.state_write_rps}};
        j["machine"] = {{"cores", std::thread::hardware_concurrency()},
                        {"memory_mb", machine_memory() / 1e6},
                        {"shared", true}}; // with the hollow side, and with whatever else runs
        j["verdict"] = {{"kept", verdict == Verdict::kept},
                        {"broken", broken_},
                        {"changes_never_in_force", never_in_force_},
                        {"longest_unanswered_s", longest_unanswered_},
                        {"longest_cancelled_s", longest_cancelled_}};
        double samples = std::max(1, up_samples_);
        double up = up_sum_ / samples;
        j["window"] = {{"seconds", window_s_},
                       {"filled", filled_},
                       {"fill_s", fill_s_},
                       {"workers_up", up},
                       {"tasks_running", running_sum_ / samples},
                       {"jobs_open", open_sum_ / samples},
                       {"state_keys", state_keys_}};
        for (auto& [name, n] : counted_) {
            j["per_second"][name] = n / window_s_;
        }
        j["per_second"]["loopback_bytes"] = loopback_ / window_s_;
        for (const auto& [name, r] : roles_) {
            j["roles"][name] = {{"processor_cores", r.cpu_s / window_s_},
                                {"busiest_process_cores", r.busiest_s / window_s_},
                                {"first_thread_cores", r.core_s / window_s_},
                                {"largest_mb", r.memory / 1e6},
                                {"mean_mb", r.memory_sum / std::max(1, r.samples) / 1e6},
                                {"sockets", r.sockets}};
        }
        for (const auto& [name, t] : times_) {
            j["times"][name] = {{"count", t.count()},
                                {"p50_s", t.quantile(0.5)},
                                {"p99_s", t.quantile(0.99)},
                                {"most_s", t.most()}};
        }
        auto per = [](double of, double n) { return n > 0 ? of / n : 0; };
        const Role& c = roles_["controller"];
        j["per"] = {
            {"controller_ms_a_start", per(1e3 * c.cpu_s, counted_["starts"])},
            {"core_thread_ms_a_start", per(1e3 * c.core_s, counted_["starts"])},
            {"controller_ms_a_report", per(1e3 * c.cpu_s, counted_["reports"])},
            {"controller_ms_a_job", per(1e3 * c.cpu_s, counted_["accepted"])},
            {"reports_a_start", per(counted_["reports"], counted_["starts"])},
            {"orders_a_start", per(counted_["orders"], counted_["starts"])},
            {"state_requests_a_job", per(counted_["state_requests"], counted_["accepted"])},
            {"state_changes_a_job", per(counted_["state_changes"], counted_["accepted"])},
            {"worker_bytes_a_second", per(counted_["report_sent"] + counted_["report_received"] +
                                              counted_["orders_sent"] + counted_["orders_received"],
                                          window_s_ * up)},
            {"worker_core_share", per(roles_["workers"].cpu_s, window_s_ * up)},
            {"worker_kb", per(roles_["workers"].memory / 1e3 * options_.regions, up)}};
        std::string text = j.dump(2);
        if (options_.report.empty()) {
            std::cout << text << "\n";
        } else if (!(std::ofstream(options_.report) << text << "\n")) {
            throw CannotPlay("--report: " + options_.report + ": cannot be written");
        }
        if (!options_.table.empty()) {
            add_row(j);
        }
        std::cerr << "rules: " << (broken_.empty() ? "kept" : "BROKEN") << "; "
                  << counted_["starts"] / window_s_ << " starts a second, "
                  << running_sum_ / samples << " tasks on " << up << " workers\n";
        for (std::size_t i = 0; i < std::min<std::size_t>(20, broken_.size()); ++i) {
            std::cerr << "  " << broken_[i] << "\n";
        }
    }

    // A line of the table: how large the run was, then what each role took.
    void add_row(const Json& j) const {
        constexpr const char* kColumns[] = {"/options/regions",
                                            "/options/controllers",
                                            "/options/workers",
                                            "/options/starts",
                                            "/options/teams",
                                            "/options/waiting",
                                            "/options/changes",
                                            "/options/kill",
                                            "/window/filled",
                                            "/window/workers_up",
                                            "/window/tasks_running",
                                            "/per_second/starts",
                                            "/per_second/reports",
                                            "/per_second/orders",
                                            "/roles/controller/processor_cores",
                                            "/roles/controller/first_thread_cores",
                                            "/roles/controller/busiest_process_cores",
                                            "/roles/controller/largest_mb",
                                            "/roles/controller/sockets",
                                            "/per/controller_ms_a_start",
                                            "/per/core_thread_ms_a_start",
                                            "/per_second/state_requests",
                                            "/per_second/state_changes",
                                            "/per_second/state_refused",
                                            "/per/worker_bytes_a_second",
                                            "/per/worker_core_share",
                                            "/per/worker_kb",
                                            "/per_second/loopback_bytes",
                                            "/times/ordinary_starts/p50_s",
                                            "/times/ordinary_starts/p99_s",
                                            "/times/urgent_starts/p50_s",
                                            "/times/urgent_starts/p99_s",
                                            "/times/submissions/p99_s",
                                            "/times/polls/p99_s",
                                            "/times/in_force/p99_s",
                                            "/times/in_force/most_s",
                                            "/verdict/kept"};
        std::error_code error;
        bool fresh = !fs::exists(options_.table, error);
        std::ofstream out(options_.table, std::ios::app);
        for (const char* column : kColumns) {
            out << (fresh
                        ? std::string(column + 1) + (column == std::end(kColumns)[-1] ? "\n" : "\t")
                        : "");
        }
        for (const char* column : kColumns) {
            Json::json_pointer at{column};
            Json value = j.contains(at) ? j.at(at) : Json();
            if (value.is_number_float()) {
                char text[32];
                std::snprintf(text, sizeof text, "%.4g", value.get<double>());
                out << text;
            } else {
                out << value;
            }
            out << (column == std::end(kColumns)[-1] ? "\n" : "\t");
        }
        if (!out) {
            throw CannotPlay("--table: " + options_.table + ": cannot be written");
        }
    }

    Options options_;
    fs::path folder_;
    Counters* counters_ = nullptr;
    std::vector<Region> regions_;
    Children children_;
    Time began_ = 0;
    Time window_from_ = 0;
    double window_s_ = 0;
    Time ended_ = 0;
    bool filled_ = false;
    double fill_s_ = 0;
    double loopback_ = 0;
    double up_sum_ = 0;
    double running_sum_ = 0;
    double open_sum_ = 0;
    int up_samples_ = 0;
    double state_keys_ = 0;
    std::map<pid_t, ProcessUse> before_;
    std::map<std::string, Role> roles_;
    std::map<std::string, double> counted_;
    std::map<std::string, Times> times_;
    std::vector<std::string> broken_;
    int never_in_force_ = 0; // at some controller, older than a report time at the end
    double longest_unanswered_ = 0;
    double longest_cancelled_ = 0;
};

} // namespace

Verdict run(const Options& options) {
    check(options, machine_memory());
    for (int s : {SIGINT, SIGTERM, SIGHUP}) {
        std::signal(s, [](int) { interrupted = 1; });
    }
    std::signal(SIGPIPE, SIG_IGN);
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max; // a socket for each worker to listen on
    ::setrlimit(RLIMIT_NOFILE, &files);
    return Run(options).play();
}

} // namespace scheduler::scale

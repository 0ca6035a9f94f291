#include "scale/plan.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "core/model/partition_assignment.h"

namespace scheduler::scale {

namespace {
constexpr char kMachineType[] = "hollow";
constexpr char kQueueTeam[] = "queue"; // its jobs wait
constexpr double kSpare = 1.1;         // slots over tasks
constexpr int kUrgentTasks = 4;
constexpr std::uint64_t kKinds = 5;
constexpr double kImageGb = 0.1;
} // namespace

Plan::Plan(const Options& options, int region) : options_(options), region_(region) {}

std::string Plan::node_name(int node) const {
    std::string number = std::to_string(node);
    return "node-" + std::string(3 - std::min<std::size_t>(3, number.size()), '0') + number;
}
std::string Plan::node_host(int node) const {
    return "127." + std::to_string(200 + region_) + ".0." + std::to_string(1 + node);
}
std::string Plan::host_of_stand_ins() const {
    return "127." + std::to_string(200 + region_) + ".1.1";
}
std::string Plan::worker_host(int worker) const {
    return "127." + std::to_string(100 + region_) + "." + std::to_string(worker / 250) + "." +
           std::to_string(1 + worker % 250);
}

std::string Plan::zone(int number) const {
    return "zone-" + std::to_string(region_) + std::string(1, static_cast<char>('a' + number));
}

InstanceType Plan::machine_type() const {
    InstanceType type;
    type.name = kMachineType;
    type.cpus = std::max(1.0, std::ceil(kSpare * tasks() / workers()));
    type.ram_gb = 4 * type.cpus;
    type.cache_gb = 50;
    type.fetch_gb_per_s = 1;
    type.price = 1;
    type.spot_price = 0.4;
    type.boot_s = 40;
    for (int z = 0; z < kZones; ++z) {
        type.zones.push_back(zone(z));
    }
    return type;
}

// Each has an even part; its limit is above it, and lets the largest job run.
std::vector<TeamQuota> Plan::teams() const {
    double slots = machine_type().cpus * workers();
    std::vector<TeamQuota> out;
    for (int t = 0; t < options_.teams; ++t) {
        double most = std::max(slots / std::sqrt(options_.teams), 2.0 * job_tasks());
        out.push_back({"team-" + std::to_string(t), slots / options_.teams, most, 0, 0});
    }
    if (options_.waiting > 0) {
        out.push_back({kQueueTeam, 1, 1, 0, 0});
    }
    return out;
}

std::string Plan::settings(int node) const {
    std::ostringstream s;
    s << std::fixed;
    std::string stand_ins = host_of_stand_ins() + ":";
    s << "node = \"" << node_name(node) << "\"\nzone = \"" << zone(node % kZones) << "\"\n"
      << "listen = \"" << node_host(node) << ":" << users_port() << "\"\n"
      << "back = \"" << node_host(node) << ":" << back_port() << "\"\n";
    for (int other = 0; other < options_.controllers; ++other) {
        if (other != node) {
            s << "[[siblings]]\nnode = \"" << node_name(other) << "\"\nzone = \""
              << zone(other % kZones) << "\"\npeer_addr = \"" << node_host(other) << ":"
              << back_port() << "\"\n";
        }
    }
    s << "[external]\ncloud = \"" << stand_ins << cloud_port() << "\"\nstate = \"" << stand_ins
      << state_port() << "\"\n[facts]\nzones = [";
    for (int z = 0; z < kZones; ++z) {
        s << (z > 0 ? ", " : "") << "\"" << zone(z) << "\"";
    }
    s << "]\n";
    for (const auto& t : teams()) {
        s << "[[facts.teams]]\nname = \"" << t.name << "\"\ncpus = " << t.guaranteed_cpus
          << "\ncpus_max = " << t.max_cpus << "\ngpus = 0.0\ngpus_max = 0.0\n";
    }
    s << "[facts.workers]\nreport_s = " << kReport_s << "\nlease_s = " << kLease_s
      << "\ncancel_s = " << kCancel_s << "\ngang_wait_s = 30.0\ngang_peer_s = 5.0\n"
      << "[facts.state]\nrps = " << options_.state_rps
      << "\nwrite_rps = " << options_.state_write_rps << "\nvalue_kb = 4.0\ntxn_ops = 12\n"
      << "[facts.cloud]\nrps = " << options_.cloud_rps << "\nlist_lag_s = 8.0\n"
      << "[facts.machine_limits]\nsockets = " << options_.sockets << "\n";
    return s.str();
}

std::string Plan::machine_name(int worker) const {
    std::string number = std::to_string(worker);
    return "i-" + std::string(6 - std::min<std::size_t>(6, number.size()), '0') + number;
}

int Plan::worker_of(const std::string& machine) const {
    if (!machine.starts_with("i-") || machine.size() < 8) {
        return -1;
    }
    return std::atoi(machine.c_str() + 2);
}

int Plan::job_tasks() const {
    int chosen = options_.job_tasks > 0 ? options_.job_tasks : int(std::lround(2 * starts()));
    return std::clamp(chosen, 1, 100000);
}

int Plan::fill_jobs() const { return int(std::ceil(tasks() / job_tasks())); }

std::string Plan::job_id(Kind kind, int number) const {
    std::uint64_t n = (std::uint64_t(number) * kKinds + std::uint64_t(kind)) * 100 + region_;
    std::string digits = std::to_string(n);
    return "req-" + std::string(9 - std::min<std::size_t>(9, digits.size()), '0') + digits;
}

std::pair<Plan::Kind, int> Plan::kind_of(const std::string& id) {
    std::uint64_t n = std::strtoull(id.c_str() + 4, nullptr, 10) / 100;
    return {static_cast<Kind>(n % kKinds), static_cast<int>(n / kKinds)};
}

std::optional<JobSpec> Plan::job(const std::string& id) const {
    if (!id.starts_with("req-")) {
        return std::nullopt;
    }
    auto [kind, number] = kind_of(id);
    if (kind == Kind::nobody || job_id(kind, number) != id) {
        return std::nullopt;
    }
    JobSpec spec;
    spec.id = id;
    spec.team = "team-" + std::to_string(number % options_.teams);
    spec.tasks = std::uint32_t(job_tasks());
    spec.cpus = 1;
    spec.ram_gb = 2;
    spec.image = "img-" + std::to_string(number % 4);
    spec.image_gb = kImageGb;
    spec.spot = number % 4 == 1;
    spec.estimate_s = usual_run_s();
    if (number % 5 == 3) {
        spec.zone = zone(number % kZones);
    }
    switch (kind) {
    case Kind::urgent:
        spec.job_class = "urgent";
        spec.priority = Priority::high;
        spec.tasks = kUrgentTasks;
        spec.spot = true;
        spec.zone.reset();
        break;
    case Kind::waiting:
        spec.job_class = "waiting";
        spec.team = kQueueTeam;
        spec.tasks = 1;
        spec.estimate_s = 1000;
        break;
    default: spec.job_class = kind == Kind::fill ? "fill" : "ordinary"; break;
    }
    return spec;
}

// Tasks of the first jobs end evenly over a run time, so that from then on as many end as start.
double Plan::run_s(const TaskId& task) const {
    auto [kind, number] = kind_of(task.job);
    if (kind == Kind::waiting) {
        return 1000;
    }
    double drawn =
        double(stable_hash(task.job + "/" + std::to_string(task.index)) % 100000) / 100000;
    return kind == Kind::fill ? usual_run_s() * drawn : usual_run_s() * (0.9 + 0.2 * drawn);
}

} // namespace scheduler::scale

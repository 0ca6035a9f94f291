#include "scale/plan.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <string_view>

#include "core/model/partition_assignment.h"

namespace scheduler::scale {

namespace {
constexpr char kMachineType[] = "hollow";
constexpr char kQueueTeam[] = "queue";          // the team of the jobs that always wait
constexpr double kSlotsPerConcurrentTask = 1.1; // ratio of slots to concurrent tasks
constexpr int kUrgentTasks = 4;
constexpr std::uint64_t kJobKinds = 5;
constexpr double kTaskCpus = 1;
constexpr double kTaskRamGb = 2;
constexpr int kImages = 4;
constexpr double kImageGb = 0.1;
constexpr double kBoot_s = 40;
constexpr double kRamGbPerCpu = 4;
constexpr double kWaitingJobDuration_s = 1000;
constexpr int kMaxJobTasks = 100000; // tasks
// Second bytes of the loopback addresses of the workers, and of the controllers and services.
constexpr int kWorkersNetwork = 100;
constexpr int kControllersNetwork = 200;
constexpr int kWorkersPerSubnet = 250;
constexpr std::size_t kControllerDigits = 3;
constexpr std::size_t kMachineDigits = 6;
constexpr std::size_t kJobDigits = 9;
constexpr std::string_view kMachinePrefix = "i-";
constexpr std::string_view kJobPrefix = "req-";
constexpr std::uint64_t kJobRegions = 100; // the last two digits of a job id are the region

std::string padded(std::uint64_t number, std::size_t digits) {
    std::string text = std::to_string(number);
    return std::string(digits - std::min(digits, text.size()), '0') + text;
}

// Makes the job small and able to run on any machine.
void make_urgent(JobSpec& spec) {
    spec.job_class = "urgent";
    spec.priority = Priority::high;
    spec.tasks = kUrgentTasks;
    spec.spot = true;
    spec.zone.reset();
}

// Makes the job a single task of the team whose limit allows one task.
void make_waiting(JobSpec& spec) {
    spec.job_class = "waiting";
    spec.team = kQueueTeam;
    spec.tasks = 1;
    spec.estimated_run_s = kWaitingJobDuration_s;
}
} // namespace

Plan::Plan(const Options& options, int region) : options_(options), region_(region) {}

std::string Plan::controller_name(int controller) const {
    return "node-" + padded(std::uint64_t(controller), kControllerDigits);
}
std::string Plan::controller_host(int controller) const {
    return "127." + std::to_string(kControllersNetwork + region_) + ".0." +
           std::to_string(1 + controller);
}
std::string Plan::services_host() const {
    return "127." + std::to_string(kControllersNetwork + region_) + ".1.1";
}
std::string Plan::worker_host(int worker) const {
    return "127." + std::to_string(kWorkersNetwork + region_) + "." +
           std::to_string(worker / kWorkersPerSubnet) + "." +
           std::to_string(1 + worker % kWorkersPerSubnet);
}

std::string Plan::zone(int number) const {
    return "zone-" + std::to_string(region_) + std::string(1, static_cast<char>('a' + number));
}

InstanceType Plan::machine_type() const {
    InstanceType type;
    type.name = kMachineType;
    type.cpus = std::max(1.0, std::ceil(kSlotsPerConcurrentTask * tasks() / workers()));
    type.ram_gb = kRamGbPerCpu * type.cpus;
    type.cache_gb = 50;
    type.fetch_gb_per_s = 1;
    type.price = 1;
    type.spot_price = 0.4;
    type.boot_s = kBoot_s;
    for (int z = 0; z < kZones; ++z) {
        type.zones.push_back(zone(z));
    }
    return type;
}

// Each team is guaranteed an equal part of the slots. Its limit is higher, so that the largest job
// can run.
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

std::string Plan::settings(int controller) const {
    std::ostringstream out;
    out << std::fixed;
    write_addresses(out, controller);
    write_cluster_settings(out);
    return out.str();
}

void Plan::write_addresses(std::ostream& out, int controller) const {
    out << "node = \"" << controller_name(controller) << "\"\nzone = \""
        << zone(controller % kZones) << "\"\n"
        << "listen = \"" << controller_host(controller) << ":" << client_port() << "\"\n"
        << "back = \"" << controller_host(controller) << ":" << peer_port() << "\"\n";
    for (int peer = 0; peer < options_.controllers; ++peer) {
        if (peer != controller) {
            out << "[[siblings]]\nnode = \"" << controller_name(peer) << "\"\nzone = \""
                << zone(peer % kZones) << "\"\npeer_addr = \"" << controller_host(peer) << ":"
                << peer_port() << "\"\n";
        }
    }
    std::string services = services_host() + ":";
    out << "[external]\ncloud = \"" << services << cloud_port() << "\"\nstate = \"" << services
        << store_port() << "\"\n";
}

void Plan::write_cluster_settings(std::ostream& out) const {
    out << "[facts]\nzones = [";
    for (int z = 0; z < kZones; ++z) {
        out << (z > 0 ? ", " : "") << "\"" << zone(z) << "\"";
    }
    out << "]\n";
    for (const auto& team : teams()) {
        out << "[[facts.teams]]\nname = \"" << team.name << "\"\ncpus = " << team.guaranteed_cpus
            << "\ncpus_max = " << team.max_cpus << "\ngpus = 0.0\ngpus_max = 0.0\n";
    }
    out << "[facts.workers]\nreport_s = " << kHeartbeatInterval_s
        << "\nlease_s = " << kWorkerLease_s << "\ncancel_s = " << kCancellationTimeout_s
        << "\ngang_wait_s = 30.0\ngang_peer_s = 5.0\n"
        << "[facts.state]\nrps = " << options_.state_rps
        << "\nwrite_rps = " << options_.state_write_rps << "\nvalue_kb = 4.0\ntxn_ops = 12\n"
        << "[facts.cloud]\nrps = " << options_.cloud_rps << "\nlist_lag_s = 8.0\n"
        << "[facts.machine_limits]\nsockets = " << options_.sockets << "\n";
}

std::string Plan::machine_name(int worker) const {
    return std::string(kMachinePrefix) + padded(std::uint64_t(worker), kMachineDigits);
}

int Plan::worker_number(const std::string& machine) const {
    if (!machine.starts_with(kMachinePrefix) ||
        machine.size() < kMachinePrefix.size() + kMachineDigits) {
        return -1;
    }
    return std::atoi(machine.c_str() + kMachinePrefix.size());
}

int Plan::job_tasks() const {
    int chosen = options_.job_tasks > 0 ? options_.job_tasks : int(std::lround(2 * starts()));
    return std::clamp(chosen, 1, kMaxJobTasks);
}

int Plan::fill_jobs() const { return int(std::ceil(tasks() / job_tasks())); }

std::string Plan::job_id(JobKind kind, int number) const {
    std::uint64_t n =
        (std::uint64_t(number) * kJobKinds + std::uint64_t(kind)) * kJobRegions + region_;
    return std::string(kJobPrefix) + padded(n, kJobDigits);
}

Plan::JobNumber Plan::parse_job_id(const std::string& id) {
    std::uint64_t n = std::strtoull(id.c_str() + kJobPrefix.size(), nullptr, 10) / kJobRegions;
    return {static_cast<JobKind>(n % kJobKinds), static_cast<int>(n / kJobKinds)};
}

std::optional<JobSpec> Plan::job(const std::string& id) const {
    if (!id.starts_with(kJobPrefix)) {
        return std::nullopt;
    }
    auto [kind, number] = parse_job_id(id);
    if (kind == JobKind::never_submitted || job_id(kind, number) != id) {
        return std::nullopt;
    }
    JobSpec spec = ordinary_job(id, number);
    switch (kind) {
    case JobKind::urgent: make_urgent(spec); break;
    case JobKind::waiting: make_waiting(spec); break;
    case JobKind::fill: spec.job_class = "fill"; break;
    default: break;
    }
    return spec;
}

// Some jobs allow spot machines, some require a zone.
JobSpec Plan::ordinary_job(const std::string& id, int number) const {
    JobSpec spec;
    spec.id = id;
    spec.job_class = "ordinary";
    spec.team = "team-" + std::to_string(number % options_.teams);
    spec.tasks = std::uint32_t(job_tasks());
    spec.cpus = kTaskCpus;
    spec.ram_gb = kTaskRamGb;
    spec.image = "img-" + std::to_string(number % kImages);
    spec.image_gb = kImageGb;
    spec.spot = number % 4 == 1;
    spec.estimated_run_s = mean_task_duration_s();
    if (number % 5 == 3) {
        spec.zone = zone(number % kZones);
    }
    return spec;
}

// The run times of the fill tasks are spread evenly from 0 to the mean, so that afterwards tasks
// end at the same rate as they start.
double Plan::task_duration_s(const TaskId& task) const {
    auto [kind, number] = parse_job_id(task.job);
    if (kind == JobKind::waiting) {
        return kWaitingJobDuration_s;
    }
    double drawn =
        double(stable_hash(task.job + "/" + std::to_string(task.index)) % 100000) / 100000;
    return kind == JobKind::fill ? mean_task_duration_s() * drawn
                                 : mean_task_duration_s() * (0.9 + 0.2 * drawn);
}

} // namespace scheduler::scale

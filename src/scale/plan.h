// The addresses, machines, settings and jobs of a run. All are functions of the options alone, so
// that the processes of a run need not exchange them.
#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "scale/options.h"

namespace scheduler::scale {

// The plan of one region.
class Plan {
  public:
    Plan(const Options& options, int region);

    const Options& options() const { return options_; }
    int region() const { return region_; }

    // Addresses, all in the loopback range.
    std::string controller_name(int controller) const;
    std::string controller_host(int controller) const;
    std::string services_host() const;
    std::string worker_host(int worker) const;
    // Ports of a controller: for users and workers, and for its peers.
    int client_port() const { return options_.port; }
    int peer_port() const { return options_.port + 1; }
    int store_port() const { return options_.port + 2; }
    int cloud_port() const { return options_.port + 3; }
    int worker_port() const { return options_.port + 4; }
    // Control ports between the workers' process and the cloud: the cloud's, and the workers'.
    int cloud_control_port() const { return options_.port + 5; }
    int workers_control_port() const { return options_.port + 6; }

    // Values of the settings, the same as at the large sites.
    static constexpr double kHeartbeatInterval_s = 3;
    static constexpr double kWorkerLease_s = 17;
    static constexpr double kCancellationTimeout_s = 42;
    static constexpr int kZones = 3;
    // A copy of a request arrives at most two worker leases after it.
    static constexpr double kLatestCopy_s = 2 * kWorkerLease_s;
    std::vector<TeamQuota> teams() const;
    InstanceType machine_type() const;
    std::string zone(int number) const;
    // Returns the contents of a controller's settings file.
    std::string settings(int controller) const;

    // The number of workers of this region. A replacement gets a new number above all initial ones.
    int workers() const { return options_.workers_of(region_); }
    // The number of concurrent tasks of this region, and its task starts per second.
    double tasks() const { return double(options_.tasks) * workers() / options_.workers; }
    double starts() const { return options_.start_rate * workers() / options_.workers; }
    std::string machine_name(int worker) const;
    // Returns the worker's number, or -1 if the name is not one of this plan.
    int worker_number(const std::string& machine) const;
    std::string worker_zone(int worker) const { return zone(worker % kZones); }
    bool worker_spot(int worker) const { return worker % 5 == 4; }

    // Jobs are identified by kind and number; the id encodes both.
    enum class JobKind {
        fill,            // submitted at the beginning to fill the region
        ordinary,        // submitted at the plan's rate
        urgent,          // small ones with a high priority
        waiting,         // always waiting, because their team is at its limit
        never_submitted, // only polled
    };
    struct JobNumber {
        JobKind kind = JobKind::fill;
        int number = 0;
    };
    std::string job_id(JobKind kind, int number) const;
    // Returns the job with this id, or nothing if the plan has no such job.
    std::optional<JobSpec> job(const std::string& id) const;
    static JobNumber parse_job_id(const std::string& id);
    int fill_jobs() const;
    int job_tasks() const;
    double ordinary_job_interval_s() const { return job_tasks() / starts(); }
    // Returns a task's run time in seconds.
    double task_duration_s(const TaskId& task) const;

  private:
    JobSpec ordinary_job(const std::string& id, int number) const;
    void write_addresses(std::ostream& out, int controller) const;
    void write_cluster_settings(std::ostream& out) const;
    double mean_task_duration_s() const { return tasks() / starts(); }

    Options options_;
    int region_;
};

} // namespace scheduler::scale

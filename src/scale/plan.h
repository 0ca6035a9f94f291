// What is where in a run, and which jobs there are: functions of the options alone, so that the
// processes of a run need not tell each other.
#pragma once

#include <string>

#include "scale/options.h"

namespace scheduler::scale {

class Plan {
  public:
    Plan(const Options& options, int region);

    const Options& options() const { return options_; }
    int region() const { return region_; }

    // Addresses, all of the loopback range.
    std::string node_name(int node) const;
    std::string node_host(int node) const;
    std::string host_of_stand_ins() const;
    std::string worker_host(int worker) const;
    int users_port() const { return options_.port; }
    int back_port() const { return options_.port + 1; }
    int state_port() const { return options_.port + 2; }
    int cloud_port() const { return options_.port + 3; }
    int worker_port() const { return options_.port + 4; }
    int control_port() const { return options_.port + 5; }

    // The settings' figures, those of the large sites.
    static constexpr double kReport_s = 3;
    static constexpr double kLease_s = 17;
    static constexpr double kCancel_s = 42;
    static constexpr int kZones = 3;
    std::vector<TeamQuota> teams() const;
    InstanceType machine_type() const;
    std::string zone(int number) const;
    // A controller's settings file.
    std::string settings(int node) const;

    // Workers of this region; a replaced one has a new number, above all of the first.
    int workers() const { return options_.workers_of(region_); }
    double tasks() const { return double(options_.tasks) * workers() / options_.workers; }
    double starts() const { return options_.starts * workers() / options_.workers; }
    std::string machine_name(int worker) const;
    // -1: none of ours.
    int worker_of(const std::string& machine) const;
    std::string worker_zone(int worker) const { return zone(worker % kZones); }
    bool worker_spot(int worker) const { return worker % 5 == 4; }

    // Jobs by kind and number; the id says both.
    enum class Kind { fill, ordinary, urgent, waiting, nobody };
    std::string job_id(Kind kind, int number) const;
    // No job of the plan: none.
    std::optional<JobSpec> job(const std::string& id) const;
    static std::pair<Kind, int> kind_of(const std::string& id);
    int fill_jobs() const;
    int job_tasks() const;
    double job_every_s() const { return job_tasks() / starts(); }
    // A task's run time, seconds.
    double run_s(const TaskId& task) const;

  private:
    double usual_run_s() const { return tasks() / starts(); }

    Options options_;
    int region_;
};

} // namespace scheduler::scale

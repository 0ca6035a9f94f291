// Direct commands that were carried out and answered reach the worker once more. A worker forgets
// an attempt with its clear, and would begin it again.
#include <gtest/gtest.h>

#include <functional>

#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

constexpr int kControllers = 3;
constexpr Time kWorkloadEnd = 60;

// What happens to tasks between their start and the copy of the start command.
struct Scenario {
    const char* name;
    SimulationOptions options;
    std::function<void(SimulatedCluster&)> run;
};

SimulationOptions short_tasks() {
    return {.nodes = kControllers, .run_s = 3, .limits = 12, .capacity = 24};
}

SimulationOptions failing_tasks() {
    SimulationOptions options = short_tasks();
    options.error = 0.3;
    return options;
}

SimulationOptions long_tasks() {
    SimulationOptions options = short_tasks();
    options.run_s = 600;
    return options;
}

// Submits arrays of both teams every four seconds. They run on the machines of all partitions.
void submit_arrays(SimulatedCluster& cluster) {
    for (int k = 0; k < 10; ++k) {
        cluster.at(6 + 4 * k, [&cluster, k] {
            JobSpec spec = cluster.job("req-" + std::to_string(k), 24, 1);
            spec.team = k % 2 ? "red" : "blue";
            cluster.submit(k % kControllers, spec);
        });
    }
}

void submit_services(SimulatedCluster& cluster) {
    for (int k = 0; k < 3; ++k) {
        cluster.at(6 + 2 * k, [&cluster, k] {
            JobSpec spec = cluster.job("svc-" + std::to_string(k), 6, 1);
            spec.kind = JobKind::service;
            spec.job_class = "svc";
            cluster.submit(k, spec);
        });
    }
}

void submit_gangs(SimulatedCluster& cluster) {
    for (int k = 0; k < 8; ++k) {
        cluster.at(6 + 5 * k, [&cluster, k] {
            JobSpec spec = cluster.job("gang-" + std::to_string(k), 6, 2);
            spec.kind = JobKind::gang;
            spec.job_class = "gang";
            cluster.submit(k % kControllers, spec);
        });
    }
}

void every(SimulatedCluster& cluster, double interval_s, const std::function<void(int)>& work) {
    int count = 0;
    for (Time time = 20; time < kWorkloadEnd; time += interval_s, ++count) {
        cluster.at(time, [work, count] { work(count); });
    }
}

void cancel_jobs(SimulatedCluster& cluster) {
    every(cluster, 4,
          [&cluster](int k) { cluster.cancel(k % kControllers, "req-" + std::to_string(k)); });
}

void preempt_machines(SimulatedCluster& cluster) {
    every(cluster, 6, [&cluster](int k) {
        auto machines = cluster.machines_of({"svc-" + std::to_string(k % 3), 0});
        if (!machines.empty()) {
            cluster.preempt_machine(*machines.begin(), 90);
        }
    });
}

void hang_machines(SimulatedCluster& cluster) {
    every(cluster, 3, [&cluster](int k) {
        auto machines = cluster.machines_up();
        if (!machines.empty()) {
            cluster.hang(machines[static_cast<std::size_t>(k) % machines.size()], 0.8);
        }
    });
}

void kill_machines(SimulatedCluster& cluster) {
    every(cluster, 9, [&cluster](int k) {
        auto machines = cluster.machines_of({"gang-" + std::to_string(k), 0});
        if (!machines.empty()) {
            cluster.kill_machine(*machines.begin());
        }
    });
}

void migrate_shards(SimulatedCluster& cluster) {
    every(cluster, 3, [&cluster](int k) {
        int from = k % kControllers;
        auto shards = cluster.held_shards(from);
        if (!shards.empty()) {
            cluster.migrate_shard(from, shards.front(), (from + 1) % kControllers);
        }
    });
}

void restart_controllers(SimulatedCluster& cluster) {
    every(cluster, 13, [&cluster](int) {
        for (int controller = 0; controller < kControllers; ++controller) {
            cluster.crash(controller, 0.2);
        }
    });
}

using Workload = std::function<void(SimulatedCluster&)>;
Workload both(const Workload& first, const Workload& second) {
    return [first, second](SimulatedCluster& cluster) {
        first(cluster);
        second(cluster);
    };
}

const std::vector<Scenario>& scenarios() {
    static const std::vector<Scenario> all{
        {"completed", short_tasks(), submit_arrays},
        {"failed", failing_tasks(), submit_arrays},
        {"refused", short_tasks(),
         both(submit_arrays,
              [](SimulatedCluster& cluster) { cluster.random_faults.refused_starts = 0.3; })},
        {"cancelled", long_tasks(), both(submit_arrays, cancel_jobs)},
        // Tasks of arrays stay on the machines that the replicas leave.
        {"moved", long_tasks(), both(submit_arrays, both(submit_services, preempt_machines))},
        {"machine_back_within_a_second", short_tasks(), both(submit_arrays, hang_machines)},
        {"machine_changes_hands", short_tasks(), both(submit_arrays, migrate_shards)},
        {"all_controllers_restart", failing_tasks(), both(submit_arrays, restart_controllers)},
        {"machines_and_controllers_back_within_a_second", failing_tasks(),
         both(submit_arrays, both(hang_machines, restart_controllers))},
        {"gang", short_tasks(), submit_gangs},
        {"gang_member_replaced", short_tasks(), both(submit_gangs, kill_machines)},
    };
    return all;
}

bool starts_task(const RequestMessage& message) {
    const auto* batch = std::get_if<WorkerCommands>(&message.request.body);
    return batch && std::any_of(batch->commands.begin(), batch->commands.end(),
                                [](const WorkerCommand& command) {
                                    return command.type == CommandType::start;
                                });
}

class LateStartCopies : public testing::TestWithParam<std::size_t> {};

// A start that was carried out must not begin its attempt again, whatever became of the task.
TEST_P(LateStartCopies, BeginNoAttemptASecondTime) {
    const Scenario& scenario = scenarios()[GetParam()];
    for (double after_s : {0.1, 1.0, 4.0, 8.0, 17.0, 34.0}) {
        SCOPED_TRACE(std::to_string(after_s) + " s after the start");
        SimulatedCluster cluster(scenario.options);
        int copies = 0;
        cluster.on_carried_out = [&](const RequestMessage& message) {
            if (starts_task(message)) {
                ++copies;
                cluster.at(cluster.now() + after_s,
                           [&cluster, message] { cluster.deliver_copy(message); });
            }
        };
        scenario.run(cluster);
        cluster.run_until(kWorkloadEnd + 2 * scenario.options.lease_s);
        EXPECT_GT(copies, 0);
        EXPECT_TRUE(cluster.broken.empty())
            << cluster.broken.size() << " times, first: " << cluster.broken.front();
    }
}
INSTANTIATE_TEST_SUITE_P(All, LateStartCopies, testing::Range(std::size_t{0}, scenarios().size()),
                         [](const auto& at) { return scenarios()[at.param].name; });

// Returns the size in bytes of the heartbeat's list of tasks as JSON.
std::size_t task_list_bytes(const Heartbeat& heartbeat) {
    constexpr std::string_view kTask = R"({"petal":"/","sowing":,"stage":"exited","wilt":"done"},)";
    std::size_t bytes = 0;
    for (const auto& status : heartbeat.tasks) {
        bytes += kTask.size() + status.task.job.size() + std::to_string(status.task.index).size() +
                 std::to_string(status.attempt).size();
    }
    return bytes;
}

class HeartbeatSize : public testing::TestWithParam<int> {};

// Exits that wait for their clear fill the heartbeats of a machine with 96 slots and tasks of 1 s.
TEST_P(HeartbeatSize, StaysWithinTheLimitWhileClearsRaiseTheToken) {
    constexpr std::size_t kLimitBytes = 64 * 1024;
    constexpr std::size_t kMachineFieldsBytes = 300;
    SimulationOptions options{.nodes = 3, .run_s = 1, .limits = 400, .capacity = 6};
    options.report_s = GetParam();
    options.lease_s = 38;
    options.cancel_s = 63;
    options.further_types = {{"m96", 96, 0, 384, 100, 1, 1, 1, 10, {"a", "b"}}};
    SimulatedCluster cluster(options);
    cluster.random_faults.copies = 0.5;
    for (int k = 0; k < 12; ++k) {
        cluster.at(6 + 4 * k, [&cluster, k] {
            JobSpec spec = cluster.job("req-" + std::to_string(k), 2000, 1);
            spec.team = k % 2 ? "red" : "blue";
            spec.types = {"m96"};
            cluster.submit(k % 3, spec);
        });
    }
    std::size_t most_tasks = 0;
    std::size_t most_bytes = 0;
    while (cluster.now() < 60) {
        cluster.run_for(0.1);
        for (const auto& machine : cluster.machines_up()) {
            const Heartbeat& heartbeat = cluster.last_sent_heartbeat(machine);
            most_tasks = std::max(most_tasks, heartbeat.tasks.size());
            most_bytes = std::max(most_bytes, kMachineFieldsBytes + task_list_bytes(heartbeat));
        }
    }
    std::printf("at most %zu tasks and %zu bytes in a heartbeat, %.0f starts\n", most_tasks,
                most_bytes, cluster.counts().starts);
    EXPECT_GT(cluster.counts().starts, 1000);
    EXPECT_LT(most_bytes, kLimitBytes);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}
INSTANTIATE_TEST_SUITE_P(HeartbeatIntervalS, HeartbeatSize, testing::Values(3, 6, 8));

// A borrower's task that was refused on a lent slot runs elsewhere when the copy arrives.
TEST(LateStartCopies, OfATaskClearedByTheLenderDoesNotRunItTwice) {
    SimulatedCluster cluster({.nodes = 2, .run_s = 600, .limits = 12, .capacity = 24});
    cluster.run_for(3);
    cluster.submit(0, cluster.job("req-1", 30, 2));
    int job_partition = partition_of_team(cluster.cluster_settings(0), "red");
    std::optional<RequestMessage> first_start;
    cluster.on_carried_out = [&](const RequestMessage& message) {
        const auto* batch = std::get_if<WorkerCommands>(&message.request.body);
        bool is_lent = batch && cluster.controller_of(batch->machine) != job_partition;
        if (!first_start && is_lent && message.controller == job_partition &&
            starts_task(message)) {
            first_start = message;
            cluster.random_faults.refused_starts = 0;
        }
    };
    cluster.random_faults.refused_starts = 1;
    cluster.run_for(60);
    ASSERT_TRUE(first_start);
    const auto& batch = std::get<WorkerCommands>(first_start->request.body);
    const TaskId& task = batch.commands.front().task;
    auto machines = cluster.machines_of(task);
    ASSERT_EQ(machines.size(), 1u);
    cluster.deliver_copy(*first_start);
    cluster.run_for(60);
    EXPECT_EQ(cluster.machines_of(task), machines);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// No controller can prevent it: "Each worker stores the highest token it has seen" (protocol).
TEST(LateStartCopies, AtAWorkerThatLostItsTokenAreLoggedAndStopped) {
    SimulatedCluster cluster({.nodes = 1, .run_s = 3, .limits = 12, .capacity = 4});
    cluster.run_for(3);
    std::optional<RequestMessage> start;
    cluster.on_carried_out = [&](const RequestMessage& message) {
        if (!start && starts_task(message)) {
            start = message;
        }
    };
    std::vector<std::string> explanation;
    cluster.on_log = [&](Time, int, const std::string& line) {
        if (line.starts_with("event=command_was_sent ")) {
            explanation.push_back(line);
        }
    };
    JobSpec service = cluster.job("svc-1", 1, 1); // keeps the machine
    service.kind = JobKind::service;
    cluster.submit(0, service);
    cluster.run_for(20);
    cluster.submit(0, cluster.job("req-1", 4, 1));
    cluster.run_for(20);
    ASSERT_TRUE(start);
    ASSERT_TRUE(cluster.all_done("req-1"));
    EXPECT_EQ(cluster.log_count("event=unexpected_task_reported"), 0u);
    const auto& batch = std::get<WorkerCommands>(start->request.body);
    cluster.forget_token(batch.machine);
    cluster.deliver_copy(*start);
    EXPECT_FALSE(cluster.broken.empty()) << "the protocol leaves this to the worker";
    cluster.run_for(2 * cluster.cluster_settings(0).heartbeat_interval_s);
    EXPECT_TRUE(cluster.machines_of(batch.commands.front().task).empty());
    EXPECT_GE(cluster.log_count("event=unexpected_task_reported"), 1u);
    ASSERT_GE(explanation.size(), 2u);
    EXPECT_NE(explanation[0].find("command=start"), std::string::npos) << explanation[0];
    EXPECT_NE(explanation[1].find("command=clear"), std::string::npos) << explanation[1];
}

} // namespace
} // namespace scheduler::test

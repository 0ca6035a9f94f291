// Measures the cost of the core alone as the fleet grows: heartbeats, placement, slot borrowing,
// failover and timer ticks. Reports time, allocations, and the heap bytes per machine and per
// waiting task. Nothing blocks: an in-memory key-value store responds to the core's requests at
// once.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdlib>
#include <deque>

#include "allocations.h"
#include "core/controller.h"
#include "core/model/partition_assignment.h"
#include "policy/default_policy.h"

namespace scheduler {
namespace {

constexpr double kMachineCpus = 32;
constexpr double kHeartbeatIntervalS = 6;
constexpr std::uint32_t kTasksPerJob = 10000;

ClusterSettings cluster_settings(const char* node, int home, int partitions) {
    ClusterSettings settings;
    settings.node = node;
    settings.home_partition = home;
    for (int p = 0; p < partitions; ++p) {
        settings.partitions.push_back({"n" + std::to_string(p), "a"});
    }
    settings.zones = {"a"};
    settings.teams = {{"red", 1e9, 0, 0, 0}};
    settings.heartbeat_interval_s = kHeartbeatIntervalS;
    settings.worker_lease_s = 31;
    settings.cancel_s = 56;
    settings.store_requests_per_s = 1e9;
    settings.store_writes_per_s = 1e9;
    settings.store_value_limit_kb = 8;
    settings.store_transaction_limit = 12;
    settings.cloud_requests_per_s = 7;
    settings.list_lag_s = 8;
    return settings;
}

InstanceType type() { return {"m32", kMachineCpus, 0, 256, 35, 0.2, 2.3, 0.5, 50, {"a"}}; }

JobSpec job(int number, std::uint32_t tasks) {
    JobSpec spec;
    spec.id = "req-" + std::to_string(number);
    spec.job_class = "export";
    spec.team = "red";
    spec.tasks = tasks;
    spec.cpus = 4;
    spec.ram_gb = 16;
    spec.image = "img-" + std::to_string(number % 14);
    spec.image_gb = 1;
    spec.spot = true;
    spec.estimated_run_s = 25;
    return spec;
}

// Controllers with an in-memory key-value store. Requests between controllers are delivered at
// once.
class FakeRegion {
  public:
    explicit FakeRegion(int nodes) {
        for (int n = 0; n < nodes; ++n) {
            std::string name = "n" + std::to_string(n);
            ClusterSettings settings = cluster_settings(name.c_str(), n, nodes);
            controllers_.push_back(
                std::make_unique<Controller>(settings, policy::defaults(settings)));
        }
    }
    void put(const std::string& key, StoredRecord record) {
        kv_[key] = {key, std::move(record), ++revision_};
    }
    Outputs input(int node, Input in) {
        Outputs out = controllers_[node]->handle(now_, std::move(in));
        for (auto& request : out.requests) {
            requests_.emplace_back(node, std::move(request));
        }
        return out;
    }
    // Responds to requests until only watches are left.
    void settle() {
        while (!requests_.empty()) {
            auto [node, request] = std::move(requests_.front());
            requests_.pop_front();
            if (std::holds_alternative<StoreWatch>(request.body)) {
                watches_.emplace_back(node, std::move(request));
                continue;
            }
            if (const auto* peer = std::get_if<PeerSyncCall>(&request.body)) {
                int to = std::atoi(peer->node.c_str() + 1);
                Outputs out = input(to, PeerSyncReceived{77, peer->sync});
                OutboundResponse response;
                response.request_id = request.id;
                for (auto& a : out.responses) {
                    if (auto* body = std::get_if<PeerSyncResponse>(&a.body)) {
                        response.status = a.status;
                        response.peer_sync = std::move(*body);
                    }
                }
                input(node, std::move(response));
                continue;
            }
            OutboundResponse response = serve(request);
            response.request_id = request.id;
            input(node, std::move(response));
        }
    }
    void step(double seconds) {
        now_ += seconds;
        for (std::size_t n = 0; n < controllers_.size(); ++n) {
            input(static_cast<int>(n), TimerTick{});
        }
        settle();
    }
    // Submits jobs: they reach the controllers through their watches.
    void submit(const std::vector<JobSpec>& specs) {
        OutboundResponse response;
        response.status = 200;
        for (const auto& spec : specs) {
            put("job/" + spec.id, JobRecord{Outcome::none, spec});
            response.entries.push_back(kv_.at("job/" + spec.id));
        }
        response.revision = revision_;
        for (auto& [node, watch] : std::exchange(watches_, {})) {
            OutboundResponse mine = response;
            if (std::get<StoreWatch>(watch.body).prefix != "job/") {
                mine.entries.clear();
            }
            mine.request_id = watch.id;
            input(node, std::move(mine));
        }
        settle();
    }
    // Runs until the partitions have leaders that have loaded them.
    void elect_leaders() {
        for (int k = 0; k < 8; ++k) {
            step(0.5);
        }
    }
    void advance(double seconds) { now_ += seconds; }
    // Commands sent directly to workers so far.
    std::vector<std::pair<int, WorkerCommands>> direct_commands;

  private:
    OutboundResponse serve(const OutboundRequest& request) {
        OutboundResponse response;
        response.status = 200;
        if (const auto* range = std::get_if<StoreRange>(&request.body)) {
            response.revision = revision_;
            auto it = range->after.empty() ? kv_.lower_bound(range->prefix)
                                           : kv_.upper_bound(range->after);
            for (; it != kv_.end() && it->first.starts_with(range->prefix); ++it) {
                if (response.entries.size() == 1000) {
                    response.more = true;
                    break;
                }
                response.entries.push_back(it->second);
            }
        } else if (const auto* transaction = std::get_if<StoreTransaction>(&request.body)) {
            for (const auto& c : transaction->writes) {
                if (c.value) {
                    put(c.key, *c.value);
                } else {
                    kv_.erase(c.key);
                }
            }
            response.revision = revision_;
        } else if (std::holds_alternative<StoreLeaseGrant>(request.body)) {
            response.lease = ++lease_;
        } else if (std::holds_alternative<ListInstanceTypes>(request.body)) {
            response.instance_types = {type()};
        } else if (const auto* commands = std::get_if<WorkerCommands>(&request.body)) {
            response.status = 0;
            direct_commands.emplace_back(0, *commands);
        }
        return response;
    }

    std::vector<std::unique_ptr<Controller>> controllers_;
    std::map<std::string, KeyedRecord> kv_;
    std::uint64_t revision_ = 1;
    std::uint64_t lease_ = 0;
    Time now_ = 1000;
    std::deque<std::pair<int, OutboundRequest>> requests_;
    std::vector<std::pair<int, OutboundRequest>> watches_;
};

std::string machine_name(int machine) {
    char name[16];
    std::snprintf(name, sizeof name, "i-%06d", machine);
    return name;
}

// The workers as the core sees them: one heartbeat each.
struct Workers {
    explicit Workers(int count, int nodes) : heartbeats(static_cast<std::size_t>(count)) {
        ClusterSettings settings = cluster_settings("n0", 0, nodes);
        for (int i = 0; i < count; ++i) {
            Heartbeat& heartbeat = heartbeats[static_cast<std::size_t>(i)];
            heartbeat.machine = machine_name(i);
            heartbeat.endpoint = "10.0.0.1:9000";
            heartbeat.type = "m32";
            heartbeat.zone = "a";
            heartbeat.spot = true;
            heartbeat.agent_epoch = 1;
            partition.push_back(partition_of_machine(settings, heartbeat.machine, heartbeat.zone));
        }
    }
    // Sends a heartbeat to the machine's partition leader and executes the returned commands.
    void send_heartbeat(FakeRegion& region, std::size_t i) {
        Heartbeat& heartbeat = heartbeats[i];
        ++heartbeat.sequence;
        Outputs out = region.input(partition[i], HeartbeatReceived{1, heartbeat});
        for (const auto& a : out.responses) {
            const auto* body = std::get_if<HeartbeatBody>(&a.body);
            if (!body) {
                continue;
            }
            heartbeat.fencing_token = std::max(heartbeat.fencing_token, body->fencing_token);
            for (const auto& command : body->commands) {
                if (command.type == CommandType::start) {
                    heartbeat.tasks.push_back(
                        {command.task, command.attempt, TaskStage::running, ExitReason::none});
                    ++starts;
                } else if (command.type == CommandType::clear) {
                    std::erase_if(heartbeat.tasks, [&](const TaskStatus& status) {
                        return status.task == command.task && status.attempt == command.attempt;
                    });
                }
            }
        }
    }
    // Every machine sends two heartbeats, which registers it.
    void register_all(FakeRegion& region) {
        for (int round = 0; round < 2; ++round) {
            for (std::size_t i = 0; i < heartbeats.size(); ++i) {
                send_heartbeat(region, i);
                region.settle();
            }
        }
    }
    std::vector<Heartbeat> heartbeats;
    std::vector<int> partition;
    std::uint64_t starts = 0;
};

std::vector<JobSpec> jobs(std::int64_t tasks, int from = 0) {
    std::vector<JobSpec> out;
    for (int n = from; tasks > 0; ++n) {
        out.push_back(
            job(n, static_cast<std::uint32_t>(std::min<std::int64_t>(tasks, kTasksPerJob))));
        tasks -= kTasksPerJob;
    }
    return out;
}

std::size_t heap_bytes() { return mallinfo2().uordblks; }

void count_allocations(benchmark::State& state, std::uint64_t before) {
    state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before),
                                                       benchmark::Counter::kAvgIterations);
}

// A fully loaded machine reports that one task has ended; the slot is filled again at once.
void report_and_placement(benchmark::State& state) {
    auto machines = static_cast<int>(state.range(0));
    FakeRegion region(1);
    Workers workers(machines, 1);
    region.elect_leaders();
    std::size_t empty = heap_bytes();
    workers.register_all(region);
    double machine_bytes = static_cast<double>(heap_bytes() - empty) / machines;
    std::int64_t waiting = std::max<std::int64_t>(state.range(1), machines * 10);
    std::size_t before_jobs = heap_bytes();
    region.submit(jobs(waiting));
    double task_bytes =
        static_cast<double>(heap_bytes() - before_jobs) / static_cast<double>(waiting);
    for (std::size_t i = 0; i < workers.heartbeats.size();
         ++i) { // starts the tasks that wait for a slot
        workers.send_heartbeat(region, i);
        workers.send_heartbeat(region, i);
    }
    region.settle();
    std::size_t next = 0;
    std::uint64_t before_starts = workers.starts;
    std::uint64_t before = allocations;
    for (auto _ : state) {
        std::size_t i = next++ % workers.heartbeats.size();
        for (auto& t : workers.heartbeats[i].tasks) {
            if (t.stage == TaskStage::running) {
                t.stage = TaskStage::exited;
                t.exit_reason = ExitReason::done;
                break;
            }
        }
        region.advance(kHeartbeatIntervalS / machines);
        workers.send_heartbeat(region, i);
    }
    count_allocations(state, before);
    state.counters["starts"] = benchmark::Counter(
        static_cast<double>(workers.starts - before_starts), benchmark::Counter::kAvgIterations);
    state.counters["bytes_a_machine"] = machine_bytes;
    state.counters["bytes_a_task"] = task_bytes;
}
BENCHMARK(report_and_placement)
    ->Args({100, 0})
    ->Args({1000, 0})
    ->Args({10000, 0})
    ->Args({100000, 0})
    ->Args({1000, 1000000})
    ->Iterations(2000)
    ->Unit(benchmark::kMicrosecond);

// A job of one task is submitted while most slots are idle: it is placed from the lists of idle
// machines.
void placement_from_the_lists(benchmark::State& state) {
    auto machines = static_cast<int>(state.range(0));
    FakeRegion region(1);
    Workers workers(machines, 1);
    region.elect_leaders();
    workers.register_all(region);
    int number = 0;
    std::uint64_t before = allocations;
    for (auto _ : state) {
        region.submit({job(number++, 1)});
    }
    count_allocations(state, before);
}
BENCHMARK(placement_from_the_lists)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Arg(100000)
    ->Iterations(100)
    ->Unit(benchmark::kMicrosecond);

// The timer of a partition leader whose slots are all taken.
void tick(benchmark::State& state) {
    auto machines = static_cast<int>(state.range(0));
    FakeRegion region(1);
    Workers workers(machines, 1);
    region.elect_leaders();
    workers.register_all(region);
    region.submit(jobs(machines * 10));
    for (std::size_t i = 0; i < workers.heartbeats.size(); ++i) {
        workers.send_heartbeat(region, i);
    }
    std::uint64_t before = allocations;
    for (auto _ : state) {
        region.step(0.001);
    }
    count_allocations(state, before);
}
BENCHMARK(tick)->Arg(100)->Arg(1000)->Arg(10000)->Arg(100000)->Iterations(20)->Unit(
    benchmark::kMicrosecond);

// One partition has a job and both have machines: measures a peer sync with its slot grants and
// starts.
void steal(benchmark::State& state) {
    auto machines = static_cast<int>(state.range(0));
    FakeRegion region(2);
    Workers workers(machines, 2);
    region.elect_leaders();
    workers.register_all(region);
    region.step(1);
    int number = 0;
    std::uint64_t before = allocations;
    std::size_t sent = region.direct_commands.size();
    for (auto _ : state) {
        region.submit({job(number++, 64)});
        region.step(1);
    }
    count_allocations(state, before);
    state.counters["direct_starts"] =
        benchmark::Counter(static_cast<double>(region.direct_commands.size() - sent),
                           benchmark::Counter::kAvgIterations);
}
BENCHMARK(steal)->Arg(100)->Arg(1000)->Arg(10000)->Arg(100000)->Iterations(20)->Unit(
    benchmark::kMicrosecond);

// A new partition leader loads jobs and the machine registry and receives heartbeats from all
// machines, each with its tasks.
void takeover(benchmark::State& state) {
    auto machines = static_cast<int>(state.range(0));
    std::uint64_t before = allocations;
    for (auto _ : state) {
        state.PauseTiming();
        auto region = std::make_unique<FakeRegion>(1);
        Workers workers(machines, 1);
        std::vector<JobSpec> specs = jobs(machines * 10);
        for (const auto& s : specs) {
            region->put("job/" + s.id, JobRecord{Outcome::none, s});
        }
        std::uint32_t task = 0;
        for (auto& r : workers.heartbeats) {
            region->put("machine/0/" + r.machine, MachineRecord{r.endpoint, "m32", "a", true});
            for (int k = 0; k < 8; ++k, ++task) {
                r.tasks.push_back({{specs[task / kTasksPerJob].id, task % kTasksPerJob},
                                   make_attempt(1, task + 1, 0),
                                   TaskStage::running,
                                   ExitReason::none});
            }
        }
        before = allocations;
        state.ResumeTiming();
        region->step(1);
        region->step(0.5);
        for (int round = 0; round < 2; ++round) {
            for (std::size_t i = 0; i < workers.heartbeats.size(); ++i) {
                workers.send_heartbeat(*region, i);
            }
            region->settle();
        }
        state.PauseTiming();
        region.reset();
        state.ResumeTiming();
    }
    count_allocations(state, before);
    state.SetComplexityN(machines);
}
BENCHMARK(takeover)->Arg(100)->Arg(1000)->Arg(10000)->Arg(100000)->Iterations(1)->Unit(
    benchmark::kMillisecond);

} // namespace
} // namespace scheduler

BENCHMARK_MAIN();

// Controllers that crash and restart at once: no task may be lost or run twice, and users of other
// controllers must not be affected. See "What outlives an end" in docs/design.md.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

#include "core/model/partition_assignment.h"
#include "seeds.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

// A controller that restarts before its peers notice the crash leads as many machines and queries
// all of them at once. Machines whose query still waited in the controller's own queue were taken
// for unreachable and released with their tasks: 50 healthy machines at each restart in a cluster
// of 2,000.
TEST(RestartFailover, KeepsMachinesThatStillWaitToBeQueried) {
    SimulatedCluster cluster(
        {.nodes = 2, .run_s = 60, .limits = 40, .capacity = 100, .max_concurrent_commands = 4});
    cluster.run_for(3);
    cluster.submit(0, cluster.job("req-1", 380, 2));
    cluster.run_for(30);
    ASSERT_GE(cluster.machines_up().size(), 90u);
    std::size_t before = cluster.log_count("event=machine_released");
    cluster.crash(0, 0.2);
    cluster.run_for(20);
    EXPECT_GE(cluster.log_count("event=leadership_acquired"), 3u);
    EXPECT_GE(cluster.log_count("event=partition_reconciled"), 3u);
    EXPECT_EQ(cluster.log_count("event=machine_released"), before);
    cluster.run_for(200);
    EXPECT_TRUE(cluster.all_done("req-1"));
    for (std::uint32_t i = 0; i < 380; ++i) {
        EXPECT_EQ(cluster.starts({"req-1", i}), 1) << i;
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// After a restart the lenders fence the slots that the previous incarnation was granted. The new
// incarnation places no task of an older job until the machines with these slots have reported.
// Waiting for periodic heartbeats took two heartbeat intervals; it must query the machines instead.
TEST(RestartFailover, ReconcilesBeforeTheNextHeartbeats) {
    SimulatedCluster cluster({.nodes = 3, .run_s = 60, .limits = 20, .capacity = 40});
    cluster.run_for(3);
    cluster.submit(0, cluster.job("req-1", 300, 2));
    cluster.run_for(5);
    int controller = cluster.owner(partition_of_team(cluster.cluster_settings(0), "red"));
    // Crash the leader right after it has been granted slots that it has not used yet.
    bool granted = false;
    cluster.after_output = [&](int, const OutboundRequest*,
                               const Response* output) -> std::optional<double> {
        const auto* response = output ? std::get_if<PeerSyncResponse>(&output->body) : nullptr;
        if (!granted && response && !response->grants.empty()) {
            granted = true;
            cluster.at(cluster.now(), [&] { cluster.crash(controller, 0.1); });
        }
        return {};
    };
    std::size_t reconciled = cluster.log_count("event=partition_reconciled");
    for (int k = 0; k < 40 && !granted; ++k) {
        cluster.run_for(0.5);
    }
    ASSERT_TRUE(granted);
    cluster.run_for(cluster.cluster_settings(0).heartbeat_interval_s / 2);
    EXPECT_GT(cluster.log_count("event=partition_reconciled"), reconciled);
    cluster.run_for(300);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// A delayed heartbeat of a machine that was released long ago reaches a controller that has just
// restarted and, unlike its previous incarnation, does not know of the release. It must not
// conclude that the replica runs on the released machine: it would treat the actual instance as
// unknown, and start the replica a second time when the released machine does not respond.
TEST(RestartLateMessages, StaleHeartbeatOfAReleasedMachineMovesNoTask) {
    SimulatedCluster cluster({.nodes = 2, .limits = 20, .capacity = 20});
    cluster.run_for(3);
    JobSpec spec = cluster.job("svc-1", 1);
    spec.kind = JobKind::service;
    cluster.submit(0, spec);
    cluster.run_for(25);
    auto machines = cluster.machines_of({"svc-1", 0});
    ASSERT_EQ(machines.size(), 1u);
    Heartbeat before = cluster.last_sent_heartbeat(*machines.begin());
    cluster.preempt_machine(*machines.begin(), 12);
    cluster.run_for(40);
    ASSERT_EQ(cluster.machines_of({"svc-1", 0}).size(), 1u);
    ASSERT_EQ(cluster.starts({"svc-1", 0}), 2);
    for (int n = 0; n < 2; ++n) {
        cluster.crash(n, 0.1);
    }
    cluster.run_for(0.13); // leadership is acquired, stored records are not read yet
    for (int k = 0; k < 20; ++k) {
        for (int n = 0; n < 2; ++n) {
            cluster.deliver_heartbeat_late(n, before);
        }
        cluster.run_for(0.02);
    }
    cluster.run_for(60);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_EQ(cluster.machines_of({"svc-1", 0}).size(), 1u);
    EXPECT_EQ(cluster.starts({"svc-1", 0}), 2);
}

// ---- Availability for users ----

// The instance types come from the store when the cloud does not respond.
TEST(RestartAvailability, ServesUsersBeforeTheCloudResponds) {
    SimulatedCluster cluster({.nodes = 3});
    cluster.run_for(5);
    cluster.intercept = [](int, const OutboundBody& call) {
        return std::holds_alternative<ListInstanceTypes>(call);
    };
    cluster.crash(1, 0.1);
    cluster.run_for(0.4);
    EXPECT_EQ(cluster.probe_readiness(1), 200);
    RequestId request_id = cluster.submit(1, cluster.job("req-1", 4));
    cluster.run_for(0.2);
    EXPECT_EQ(cluster.answers.at(request_id).status, 201);
    EXPECT_EQ(cluster.owner(1), 1);
    // The cloud may offer other types by now: a job that fits none of the stored types gets 503,
    // which is retried, until the cloud has responded.
    request_id = cluster.submit(1, cluster.job("req-2", 1, 9));
    cluster.run_for(0.2);
    EXPECT_EQ(cluster.answers.at(request_id).status, 503);
    cluster.intercept = nullptr;
    cluster.run_for(60);
    EXPECT_TRUE(cluster.all_done("req-1"));
    request_id = cluster.submit(1, cluster.job("req-2", 1, 9));
    cluster.run_for(0.2);
    EXPECT_EQ(cluster.answers.at(request_id).status, 422);
}

// One controller crashes every second, shortly after each start.
TEST(RestartAvailability, CrashLoopOfOneControllerDoesNotAffectOthers) {
    SimulatedCluster cluster({.nodes = 5, .run_s = 10, .limits = 12, .capacity = 64});
    cluster.run_for(3);
    JobSpec other_job = cluster.job("req-1", 600, 2);
    other_job.team = "blue";
    int looping = cluster.owner(partition_of_team(cluster.cluster_settings(0), "red"));
    ASSERT_NE(looping, cluster.owner(partition_of_team(cluster.cluster_settings(0), "blue")));
    cluster.submit((looping + 1) % 5, other_job);
    cluster.run_for(15);
    std::size_t catalog_reads = cluster.request_count("catalog");
    std::size_t leaderships = cluster.log_count("event=leadership_acquired");
    std::vector<std::string> accepted;
    for (int k = 0; k < 60; ++k) {
        cluster.crash(looping, 0.05);
        cluster.run_for(0.9);
        RequestId request_id =
            cluster.submit(looping, cluster.job("req-" + std::to_string(10 + k), 1));
        cluster.run_for(0.1);
        if (cluster.answers.contains(request_id) && cluster.answers.at(request_id).status == 201) {
            accepted.push_back("req-" + std::to_string(10 + k));
        }
        EXPECT_EQ(cluster.owner(looping), looping) << k;
    }
    EXPECT_EQ(accepted.size(), 60u);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_LE(cluster.request_count("catalog"), catalog_reads + 1);
    // The controller reacquires its own partition each time; no partition fails over.
    EXPECT_LE(cluster.log_count("event=leadership_acquired"), leaderships + 60);
    cluster.run_for(120);
    for (const auto& id : accepted) {
        EXPECT_TRUE(cluster.all_done(id)) << id;
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// All controllers start during a store outage. None could serve users better than another, and the
// load balancer would keep avoiding a controller that is not ready long after the outage.
TEST(RestartAvailability, AllControllersAreReadyWhenStartedDuringAStoreOutage) {
    SimulatedCluster cluster({.nodes = 3});
    cluster.run_for(5);
    cluster.set_store_down(true);
    for (int n = 0; n < 3; ++n) {
        cluster.crash(n, 0.3);
    }
    cluster.run_for(1.2);
    for (int n = 0; n < 3; ++n) {
        EXPECT_EQ(cluster.probe_readiness(n), 200) << n;
        RequestId request_id = cluster.submit(n, cluster.job("req-1", 4));
        cluster.run_for(0.2);
        EXPECT_EQ(cluster.answers.at(request_id).status, 503);
        EXPECT_GT(cluster.answers.at(request_id).retry_after_s, 0);
    }
    cluster.set_store_down(false);
    cluster.run_for(1);
    RequestId request_id = cluster.submit(2, cluster.job("req-1", 4));
    cluster.run_for(0.2);
    EXPECT_EQ(cluster.answers.at(request_id).status, 201);
}

TEST(RestartAvailability, ControllerThatAloneIsRefusedByTheStoreIsNotReady) {
    SimulatedCluster cluster({.nodes = 3});
    cluster.run_for(5);
    cluster.set_store_refusing(1, true);
    cluster.crash(1, 0.3);
    for (int k = 0; k < 20; ++k) {
        cluster.run_for(0.5);
        EXPECT_EQ(cluster.probe_readiness(1), 503) << k;
        EXPECT_EQ(cluster.probe_readiness(0), 200) << k;
    }
}

// ---- Crashes right after an output ----

// A request that a controller sends, or a response that it gives; the other member is null.
struct Output {
    const OutboundRequest* request = nullptr;
    const Response* response = nullptr;

    template <class T> const T* request_as() const {
        return request ? std::get_if<T>(&request->body) : nullptr;
    }
    template <class T> const T* response_as() const {
        return response ? std::get_if<T>(&response->body) : nullptr;
    }
    // Returns whether this is a store transaction with a matching write.
    bool writes_any(const std::function<bool(const StoreWrite&)>& matches) const {
        const StoreTransaction* transaction = request_as<StoreTransaction>();
        return transaction &&
               std::any_of(transaction->writes.begin(), transaction->writes.end(), matches);
    }
    template <class R> bool writes_record(const std::string& prefix) const {
        return writes_any([&](const StoreWrite& write) {
            return write.value && std::holds_alternative<R>(*write.value) &&
                   write.key.starts_with(prefix);
        });
    }
    bool writes_outcome(Outcome outcome) const {
        return writes_any([&](const StoreWrite& write) {
            const auto* job = write.value ? std::get_if<JobRecord>(&*write.value) : nullptr;
            return job && job->outcome == outcome;
        });
    }
    bool removes_key(const std::string& prefix, std::size_t length = 0) const {
        return writes_any([&](const StoreWrite& write) {
            return !write.value && write.key.starts_with(prefix) &&
                   (!length || write.key.size() == length);
        });
    }
    bool requests_slots(bool gang) const {
        const auto* peer = request_as<PeerSyncCall>();
        return peer && std::any_of(peer->sync.slot_requests.begin(), peer->sync.slot_requests.end(),
                                   [&](const SlotRequest& slot_request) {
                                       return gang == (slot_request.attempt != 0);
                                   });
    }
    bool grants_slots() const {
        const auto* reply = response_as<PeerSyncResponse>();
        return reply && !reply->grants.empty();
    }
    // Returns whether this carries such a command to a worker, sent directly or in the response to
    // a heartbeat.
    bool sends_command(CommandType type, const std::string& job = "", double grace_s = 0) const {
        const auto* direct = request_as<WorkerCommands>();
        const auto* heartbeat = response_as<HeartbeatBody>();
        auto matches = [&](const WorkerCommand& command) {
            return command.type == type && command.task.job.starts_with(job) &&
                   command.grace_s >= grace_s;
        };
        return (direct && std::any_of(direct->commands.begin(), direct->commands.end(), matches)) ||
               (heartbeat &&
                std::any_of(heartbeat->commands.begin(), heartbeat->commands.end(), matches));
    }
};

struct CrashPoint {
    const char* name;
    std::function<bool(const Output&)> matches;
};

const std::vector<CrashPoint>& crash_points() {
    static const std::vector<CrashPoint> all{
        {"lease_requested",
         [](const Output& output) { return output.request_as<StoreLeaseGrant>() != nullptr; }},
        {"lease_renewed",
         [](const Output& output) { return output.request_as<StoreLeaseRenewal>() != nullptr; }},
        {"leadership_claimed",
         [](const Output& output) {
             return output.writes_record<PartitionRecord>("part/") &&
                    output.writes_any(
                        [](const StoreWrite& write) { return write.key.size() == 6; });
         }},
        {"jobs_read",
         [](const Output& output) {
             const auto* range = output.request_as<StoreRange>();
             return range && range->prefix == kJobPrefix;
         }},
        {"machine_records_read",
         [](const Output& output) {
             const auto* range = output.request_as<StoreRange>();
             return range && range->prefix.starts_with("machine/");
         }},
        {"home_partition_requested",
         [](const Output& output) {
             return output.writes_any([](const StoreWrite& write) {
                 return write.value && write.key.ends_with("/home");
             });
         }},
        {"partition_returned_home",
         [](const Output& output) { return output.removes_key("part/", 6); }},
        {"shard_given",
         [](const Output& output) { return output.writes_record<ShardHoldersRecord>("part/"); }},
        {"shard_transfer_sent",
         [](const Output& output) {
             const auto* peer = output.request_as<PeerSyncCall>();
             return peer && !peer->sync.transfers.empty();
         }},
        {"machine_queried",
         [](const Output& output) {
             const auto* direct = output.request_as<WorkerCommands>();
             return direct && direct->commands.empty();
         }},
        {"slots_requested", [](const Output& output) { return output.requests_slots(false); }},
        {"slots_granted", [](const Output& output) { return output.grants_slots(); }},
        {"task_started",
         [](const Output& output) { return output.sends_command(CommandType::start, "req-"); }},
        {"task_cleared",
         [](const Output& output) { return output.sends_command(CommandType::clear); }},
        {"gang_slots_requested", [](const Output& output) { return output.requests_slots(true); }},
        {"gang_started",
         [](const Output& output) { return output.sends_command(CommandType::start, "gang-"); }},
        {"gang_stopped",
         [](const Output& output) {
             return output.sends_command(CommandType::stop, "gang-", 0.1);
         }},
        {"lease_extension_requested",
         [](const Output& output) { return output.request_as<LeaseExtensionCall>() != nullptr; }},
        {"lease_extension_granted",
         [](const Output& output) {
             const auto* reply = output.response_as<LeaseExtensionResponse>();
             return reply && reply->granted;
         }},
        {"job_written", [](const Output& output) { return output.writes_outcome(Outcome::none); }},
        {"job_cancelled",
         [](const Output& output) { return output.writes_outcome(Outcome::cancelled); }},
        {"task_stopped",
         [](const Output& output) { return output.sends_command(CommandType::stop, "req-"); }},
        {"machine_record_written",
         [](const Output& output) { return output.writes_record<MachineRecord>("machine/"); }},
        {"machine_record_removed",
         [](const Output& output) { return output.removes_key("machine/"); }},
        {"machines_provisioned",
         [](const Output& output) { return output.request_as<ScaleOut>() != nullptr; }},
        {"machines_released",
         [](const Output& output) { return output.request_as<ScaleIn>() != nullptr; }},
        {"progress_saved",
         [](const Output& output) { return output.writes_record<ProgressRecord>("done/"); }},
        {"job_finished", [](const Output& output) { return output.writes_outcome(Outcome::done); }},
    };
    return all;
}

enum class Target { any, same, alternating, all };

// From `from` on, controllers crash right after an output that matches a crash point, `times` times
// in all, and restart after `restart_s`. `target` selects them: any controller, only the first that
// crashed, never the same twice in a row, or all controllers together.
struct CrashPlan {
    Time from = 0;
    double restart_s = 0;
    int times = 1;
    Target target = Target::any;
};

constexpr int kControllers = 5;
constexpr Time kOutageStart_s = 62;   // store outage, longer than a partition leader's lease
constexpr Time kPeersCutStart_s = 95; // controllers cannot reach each other

void crash_after_output(SimulatedCluster& cluster, const CrashPoint& point, const CrashPlan& plan,
                        int& crashes) {
    int last = -1;
    cluster.after_output = [&cluster, &point, plan, &crashes,
                            last](int controller, const OutboundRequest* request,
                                  const Response* response) mutable -> std::optional<double> {
        bool selected = plan.target == Target::same          ? last < 0 || controller == last
                        : plan.target == Target::alternating ? controller != last
                                                             : true;
        if (crashes >= plan.times || cluster.now() < plan.from || !selected ||
            !point.matches({request, response})) {
            return {};
        }
        ++crashes;
        last = controller;
        for (int other = 0; plan.target == Target::all && other < kControllers; ++other) {
            if (other != controller) {
                cluster.at(cluster.now(),
                           [&cluster, other, plan] { cluster.crash(other, plan.restart_s); });
            }
        }
        return plan.restart_s;
    };
}

// Runs jobs of each kind for 150 s with a controller that crashes and comes back, shard migrations,
// a cancellation, a store outage, controllers that cannot reach each other and preempted machines.
void run_workload(SimulatedCluster& cluster) {
    auto job = [&](const std::string& id, std::uint32_t tasks, const std::string& team) {
        JobSpec spec = cluster.job(id, tasks, 2);
        spec.team = team;
        return spec;
    };
    auto gang = [&](const std::string& id) {
        JobSpec spec = job(id, 12, "red");
        spec.kind = JobKind::gang;
        spec.job_class = "gang";
        spec.checkpoint_interval_s = 3;
        spec.save_duration_s = 1;
        return spec;
    };
    std::vector<std::string> services;
    auto submit = [&](Time at, int controller, const JobSpec& spec) {
        // Repeats the submission every two seconds until the job is accepted.
        auto retry = std::make_shared<std::function<void()>>();
        std::weak_ptr<std::function<void()>> weak = retry;
        auto request_id = std::make_shared<RequestId>(0);
        *retry = [&cluster, spec, controller, weak, request_id]() mutable {
            auto answer = cluster.answers.find(*request_id);
            if (answer != cluster.answers.end() && answer->second.status <= 201) {
                return;
            }
            *request_id = cluster.submit(controller++ % kControllers, spec);
            cluster.at(cluster.now() + 2, [self = weak.lock()] { (*self)(); });
        };
        cluster.at(at, [retry] { (*retry)(); });
    };
    submit(3, 0, job("req-base", 600, "blue"));
    for (int k = 0; k < 6; ++k) {
        submit(6 + 18 * k, k % kControllers,
               job("req-" + std::to_string(k), 120, k % 2 ? "red" : "blue"));
        submit(14 + 18 * k, k % kControllers, gang("gang-" + std::to_string(k)));
    }
    JobSpec service = job("svc-1", 4, "red");
    service.kind = JobKind::service;
    service.job_class = "svc";
    submit(8, 1, service);
    submit(40, 2, job("req-cancelled", 40, "red"));
    auto cancel = [&cluster](Time from, const std::string& id) {
        for (int k = 0; k < 60; ++k) { // for longer than any of the faults lasts
            cluster.at(from + 2 * k, [&cluster, id, k] { cluster.cancel(k % kControllers, id); });
        }
    };
    cancel(48, "req-cancelled");
    cancel(190, "svc-1");
    cluster.at(22, [&cluster] { cluster.crash(2, 16); });
    for (Time time : {28, 44, 58, 104, 112}) {
        cluster.at(time, [&cluster] {
            for (int partition = 0; partition < kControllers; ++partition) {
                auto shards = cluster.held_shards(partition);
                if (!shards.empty() && cluster.migrate_shard(partition, shards.front(),
                                                             (partition + 1) % kControllers)) {
                    return;
                }
            }
        });
    }
    cluster.at(kOutageStart_s, [&cluster] { cluster.set_store_down(true); });
    cluster.at(kOutageStart_s + 16, [&cluster] { cluster.set_store_down(false); });
    auto cut_all_peers = [&cluster](bool cut) {
        for (int a = 0; a < kControllers; ++a) {
            for (int b = 0; b <= a; ++b) {
                cluster.cut_peers(a, b, cut);
            }
        }
    };
    cluster.at(kPeersCutStart_s, [cut_all_peers] { cut_all_peers(true); });
    cluster.at(kPeersCutStart_s + 12, [cut_all_peers] { cut_all_peers(false); });
    for (Time time : {50, 88, 116}) { // preempts a machine that runs a gang
        cluster.at(time, [&cluster] {
            for (int k = 5; k >= 0; --k) {
                auto machines = cluster.machines_of({"gang-" + std::to_string(k), 0});
                if (!machines.empty()) {
                    cluster.preempt_machine(*machines.begin(), 8);
                    return;
                }
            }
        });
    }
    cluster.run_until(150);
}

SimulationOptions sixty_machines(std::uint64_t seed) {
    return {.seed = seed, .nodes = kControllers, .run_s = 10, .limits = 12, .capacity = 64};
}

void expect_all_jobs_finish(SimulatedCluster& cluster, Time by) {
    auto all_finished = [&] {
        auto outcomes = cluster.outcomes();
        return std::all_of(outcomes.begin(), outcomes.end(),
                           [](const auto& o) { return o.second != Outcome::none; });
    };
    while (cluster.now() < by && !all_finished()) {
        cluster.run_for(5);
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_EQ(cluster.groups_served_below(0.99), std::vector<std::string>{});
    for (const auto& [id, outcome] : cluster.outcomes()) {
        EXPECT_NE(outcome, Outcome::none) << id << cluster.describe(id);
    }
}

// Each crash point is played with a third of the crash plans, and with all of them if
// SCHEDULER_SEEDS is set.
class RestartAfterOutput : public testing::TestWithParam<std::size_t> {};

TEST_P(RestartAfterOutput, EveryJobFinishes) {
    const CrashPoint& point = crash_points()[GetParam()];
    const std::vector<CrashPlan> plans{{0, 0},
                                       {0, 0.2, 10, Target::same},
                                       {10, 0.02},
                                       {30, 0.2},
                                       {30, 1, 2},
                                       {30, 6},
                                       {30, 0.02, 10, Target::same},
                                       {30, 0.2, 2, Target::alternating},
                                       {30, 0.2, 2, Target::all},
                                       {kOutageStart_s + 1, 0.2, 2, Target::same},
                                       {kOutageStart_s + 1, 0.02, 3},
                                       {kPeersCutStart_s + 1, 0.2, 2, Target::alternating}};
    int total_crashes = 0;
    for (std::size_t k = 0; k < plans.size(); ++k) {
        if (extra_seed_count() == 0 && k % 3 != GetParam() % 3) {
            continue;
        }
        const CrashPlan& plan = plans[k];
        SCOPED_TRACE(std::string(point.name) + " from " + std::to_string(plan.from) +
                     " restart after " + std::to_string(plan.restart_s) + " times " +
                     std::to_string(plan.times) + " target " +
                     std::to_string(static_cast<int>(plan.target)));
        SimulatedCluster cluster(sixty_machines(GetParam() + k));
        int crashes = 0;
        crash_after_output(cluster, point, plan, crashes);
        run_workload(cluster);
        cluster.after_output = nullptr;
        expect_all_jobs_finish(cluster, 700);
        total_crashes += crashes;
        if (HasFailure()) {
            return;
        }
    }
    EXPECT_GT(total_crashes, 0) << point.name;
}
INSTANTIATE_TEST_SUITE_P(All, RestartAfterOutput,
                         testing::Range(std::size_t{0}, crash_points().size()),
                         [](const auto& at) { return crash_points()[at.param].name; });

// Random crashes throughout the workload. The seed selects the additional faults: none, lost and
// late messages, outages and disconnections, or all of these.
// `copies`: share of requests that arrive once more, see MessageCopies.
void play_random_crashes(std::uint64_t seed, double copies = 0) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulationOptions options = sixty_machines(seed);
    options.drop = options.late = seed % 4 == 1 || seed % 4 == 3 ? 0.02 : 0;
    SimulatedCluster cluster(options);
    cluster.random_faults.copies = copies;
    std::mt19937_64 random(seed);
    auto random_below = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    constexpr double kRestartDelays_s[] = {0, 0.02, 0.2, 1, 6};
    int crashes = 0;
    int total_crashes = 0;
    for (Time time = 5; time < 140; time += 2 + static_cast<double>(random_below(5))) {
        CrashPlan plan{time, kRestartDelays_s[random_below(5)],
                       1 + static_cast<int>(random_below(random_below(3) ? 2 : 10)),
                       static_cast<Target>(random_below(4))};
        const CrashPoint& point = crash_points()[random_below(crash_points().size())];
        cluster.at(time, [&cluster, &point, plan, &crashes, &total_crashes] {
            total_crashes += crashes;
            crashes = 0;
            crash_after_output(cluster, point, plan, crashes);
        });
    }
    for (Time time = 10; seed % 4 >= 2 && time < 140;
         time += 5 + static_cast<double>(random_below(10))) {
        int a = static_cast<int>(random_below(kControllers));
        int b = static_cast<int>(random_below(kControllers));
        std::size_t fault = random_below(5);
        double duration_s = 1 + static_cast<double>(random_below(20));
        auto set_fault = [&cluster, a, b, fault](bool on) {
            switch (fault) {
            case 0: cluster.set_store_refusing(a, on); break;
            case 1: cluster.cut_workers(a, on); break;
            case 2: cluster.cut_peers(a, b, on); break;
            case 3: cluster.set_store_down(on); break;
            default: cluster.set_cloud_down(on);
            }
        };
        cluster.at(time, [set_fault] { set_fault(true); });
        cluster.at(time + duration_s, [set_fault] { set_fault(false); });
        if (random_below(2)) {
            cluster.at(time + 1, [&cluster, a, duration_s] { cluster.freeze(a, duration_s); });
        }
    }
    run_workload(cluster);
    cluster.run_until(170);
    cluster.after_output = nullptr;
    EXPECT_GT(total_crashes, 1);
    expect_all_jobs_finish(cluster, 900);
}

class RestartRandom : public testing::TestWithParam<int> {};
TEST_P(RestartRandom, InvariantsHoldAndEveryJobFinishes) {
    play_random_crashes(static_cast<std::uint64_t>(GetParam()));
}
INSTANTIATE_TEST_SUITE_P(Seeds, RestartRandom, testing::Range(1, 13));

TEST(RestartSeeds, InvariantsHoldForAllRequestedSeeds) {
    run_extra_seeds(13, [](std::uint64_t seed) { play_random_crashes(seed); });
}

// The same while requests of every kind arrive once more after they were carried out.
constexpr double kCopies = 0.3;
class RestartWithCopies : public testing::TestWithParam<int> {};
TEST_P(RestartWithCopies, InvariantsHoldAndEveryJobFinishes) {
    play_random_crashes(static_cast<std::uint64_t>(GetParam()), kCopies);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RestartWithCopies, testing::Range(1, 7));

TEST(RestartWithCopiesSeeds, InvariantsHoldForAllRequestedSeeds) {
    run_extra_seeds(13, [](std::uint64_t seed) { play_random_crashes(seed, kCopies); });
}

} // namespace
} // namespace scheduler::test

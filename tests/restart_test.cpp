// Processes that end and are back at once. See "What outlives an end" in docs/design.md.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

#include "core/model/partition_assignment.h"
#include "seeds.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

// A node that is back before anybody has noticed owns as many machines as before, and asks all of
// them at once. Those that wait their turn in its own process were once taken for silent, released,
// and lost what they ran: 50 healthy machines at each restart of a fleet of 2,000.
TEST(RestartTakeover, ReleasesNoMachineThatHasOnlyWaitedToBeAsked) {
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

// The owners of the machines fence the slots that the process before had got. The new one places no
// older task until these have shown, which by the workers' own reports took two report times.
TEST(RestartTakeover, IsSettledBeforeTheWorkersReportByThemselves) {
    SimulatedCluster cluster({.nodes = 3, .run_s = 60, .limits = 20, .capacity = 40});
    cluster.run_for(3);
    cluster.submit(0, cluster.job("req-1", 300, 2));
    cluster.run_for(5);
    int node = cluster.owner(partition_of_team(cluster.cluster_settings(0), "red"));
    // Right after it has got slots that it has not used.
    bool granted = false;
    cluster.after_output = [&](int, const OutboundRequest*,
                               const Response* a) -> std::optional<double> {
        const auto* response = a ? std::get_if<PeerSyncResponse>(&a->body) : nullptr;
        if (!granted && response && !response->grants.empty()) {
            granted = true;
            cluster.at(cluster.now(), [&] { cluster.crash(node, 0.1); });
        }
        return {};
    };
    std::size_t settled = cluster.log_count("event=partition_reconciled");
    for (int k = 0; k < 40 && !granted; ++k) {
        cluster.run_for(0.5);
    }
    ASSERT_TRUE(granted);
    cluster.run_for(cluster.cluster_settings(0).heartbeat_interval_s / 2);
    EXPECT_GT(cluster.log_count("event=partition_reconciled"), settled);
    cluster.run_for(300);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// A report of a machine that was released long ago, held up on the way. The process that released
// it knew it for dead; the one that has just started believed it, took the replica for running
// there and its true place for foreign, and started it a second time when the dead machine did not
// answer.
TEST(RestartLateMessages, AReportOfAReleasedMachineMovesNoTask) {
    SimulatedCluster cluster({.nodes = 2, .limits = 20, .capacity = 20});
    cluster.run_for(3);
    JobSpec spec = cluster.job("svc-1", 1);
    spec.kind = JobKind::service;
    cluster.submit(0, spec);
    cluster.run_for(25);
    auto on = cluster.machines_of({"svc-1", 0});
    ASSERT_EQ(on.size(), 1u);
    Heartbeat before = cluster.last_sent_heartbeat(*on.begin());
    cluster.preempt_machine(*on.begin(), 12);
    cluster.run_for(40);
    ASSERT_EQ(cluster.machines_of({"svc-1", 0}).size(), 1u);
    ASSERT_EQ(cluster.starts({"svc-1", 0}), 2);
    for (int n = 0; n < 2; ++n) {
        cluster.crash(n, 0.1);
    }
    cluster.run_for(0.13); // the parts are claimed, what is durable is not read yet
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

// ---- What it costs users ----

// The types of machines are the state service's to tell when the cloud is slow.
TEST(RestartUsers, AreServedBeforeTheCloudHasAnswered) {
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
    // The cloud may have other types by now, so nothing is refused for good for what is known.
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

// A process that ends again and again, each time as soon as it has begun.
TEST(RestartUsers, OfOtherControllersNoticeNothingOfOneThatEndsEverySecond) {
    SimulatedCluster cluster({.nodes = 5, .run_s = 10, .limits = 12, .capacity = 64});
    cluster.run_for(3);
    JobSpec other = cluster.job("req-1", 600, 2);
    other.team = "blue";
    int looping = cluster.owner(partition_of_team(cluster.cluster_settings(0), "red"));
    ASSERT_NE(looping, cluster.owner(partition_of_team(cluster.cluster_settings(0), "blue")));
    cluster.submit((looping + 1) % 5, other);
    cluster.run_for(15);
    std::size_t catalogs = cluster.request_count("catalog");
    std::size_t claims = cluster.log_count("event=leadership_acquired");
    std::vector<std::string> taken;
    for (int k = 0; k < 60; ++k) {
        cluster.crash(looping, 0.05);
        cluster.run_for(0.9);
        RequestId request_id =
            cluster.submit(looping, cluster.job("req-" + std::to_string(10 + k), 1));
        cluster.run_for(0.1);
        if (cluster.answers.contains(request_id) && cluster.answers.at(request_id).status == 201) {
            taken.push_back("req-" + std::to_string(10 + k));
        }
        EXPECT_EQ(cluster.owner(looping), looping) << k;
    }
    EXPECT_EQ(taken.size(), 60u);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_LE(cluster.request_count("catalog"), catalogs + 1);
    EXPECT_LE(cluster.log_count("event=leadership_acquired"),
              claims + 60); // its own, and no part goes round
    cluster.run_for(120);
    for (const auto& id : taken) {
        EXPECT_TRUE(cluster.all_done(id)) << id;
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// A start of all in an outage: there is no node that could do better, and one that says it is not
// ready is let wait by the load balancer long after the outage.
TEST(RestartUsers, FindAllNodesReadyAfterAStartInAnOutageThatIsEveryones) {
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

TEST(RestartUsers, AreKeptFromANodeThatStartsAndIsAloneRefused) {
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

// ---- An end after each single output ----

struct Output {
    const OutboundRequest* call = nullptr;
    const Response* answer = nullptr;

    template <class T> const T* asks() const {
        return call ? std::get_if<T>(&call->body) : nullptr;
    }
    template <class T> const T* says() const {
        return answer ? std::get_if<T>(&answer->body) : nullptr;
    }
    // A transaction with a change of this kind.
    bool changes(const std::function<bool(const StoreWrite&)>& is) const {
        const StoreTransaction* transaction = asks<StoreTransaction>();
        return transaction &&
               std::any_of(transaction->writes.begin(), transaction->writes.end(), is);
    }
    template <class R> bool puts(const std::string& prefix) const {
        return changes([&](const StoreWrite& c) {
            return c.value && std::holds_alternative<R>(*c.value) && c.key.starts_with(prefix);
        });
    }
    bool ends_job(Outcome outcome) const {
        return changes([&](const StoreWrite& c) {
            const auto* job = c.value ? std::get_if<JobRecord>(&*c.value) : nullptr;
            return job && job->outcome == outcome;
        });
    }
    bool drops(const std::string& prefix, std::size_t length = 0) const {
        return changes([&](const StoreWrite& c) {
            return !c.value && c.key.starts_with(prefix) && (!length || c.key.size() == length);
        });
    }
    bool wants(bool gang) const {
        const auto* peer = asks<PeerSyncCall>();
        return peer && std::any_of(peer->sync.slot_requests.begin(), peer->sync.slot_requests.end(),
                                   [&](const SlotRequest& request) {
                                       return gang == (request.attempt != 0);
                                   });
    }
    bool hands_over() const {
        const auto* reply = says<PeerSyncResponse>();
        return reply && !reply->grants.empty();
    }
    // A command to a worker, directly or in the answer to its report.
    bool commands(CommandType op, const std::string& job = "", double grace_s = 0) const {
        const auto* orders = asks<WorkerCommands>();
        const auto* report = says<HeartbeatBody>();
        auto is = [&](const WorkerCommand& command) {
            return command.type == op && command.task.job.starts_with(job) &&
                   command.grace_s >= grace_s;
        };
        return (orders && std::any_of(orders->commands.begin(), orders->commands.end(), is)) ||
               (report && std::any_of(report->commands.begin(), report->commands.end(), is));
    }
};

struct Point {
    const char* name;
    std::function<bool(const Output&)> is;
};

const std::vector<Point>& points() {
    static const std::vector<Point> all{
        {"lease_asked", [](const Output& o) { return o.asks<StoreLeaseGrant>() != nullptr; }},
        {"lease_renewed", [](const Output& o) { return o.asks<StoreLeaseRenewal>() != nullptr; }},
        {"part_claimed",
         [](const Output& o) {
             return o.puts<PartitionRecord>("part/") &&
                    o.changes([](const StoreWrite& c) { return c.key.size() == 6; });
         }},
        {"jobs_read",
         [](const Output& o) {
             const auto* range = o.asks<StoreRange>();
             return range && range->prefix == kJobPrefix;
         }},
        {"roster_read",
         [](const Output& o) {
             const auto* range = o.asks<StoreRange>();
             return range && range->prefix.starts_with("machine/");
         }},
        {"home_asked",
         [](const Output& o) {
             return o.changes(
                 [](const StoreWrite& c) { return c.value && c.key.ends_with("/home"); });
         }},
        {"part_handed_home", [](const Output& o) { return o.drops("part/", 6); }},
        {"share_given", [](const Output& o) { return o.puts<ShardHoldersRecord>("part/"); }},
        {"share_told",
         [](const Output& o) {
             const auto* peer = o.asks<PeerSyncCall>();
             return peer && !peer->sync.transfers.empty();
         }},
        {"machine_asked",
         [](const Output& o) {
             const auto* orders = o.asks<WorkerCommands>();
             return orders && orders->commands.empty();
         }},
        {"slots_wanted", [](const Output& o) { return o.wants(false); }},
        {"slots_handed_over", [](const Output& o) { return o.hands_over(); }},
        {"task_started", [](const Output& o) { return o.commands(CommandType::start, "req-"); }},
        {"task_cleared", [](const Output& o) { return o.commands(CommandType::clear); }},
        {"gang_wanted", [](const Output& o) { return o.wants(true); }},
        {"gang_started", [](const Output& o) { return o.commands(CommandType::start, "gang-"); }},
        {"gang_stopped",
         [](const Output& o) { return o.commands(CommandType::stop, "gang-", 0.1); }},
        {"promise_asked", [](const Output& o) { return o.asks<LeaseExtensionCall>() != nullptr; }},
        {"promise_given",
         [](const Output& o) {
             const auto* reply = o.says<LeaseExtensionResponse>();
             return reply && reply->granted;
         }},
        {"job_written", [](const Output& o) { return o.ends_job(Outcome::none); }},
        {"job_cancelled", [](const Output& o) { return o.ends_job(Outcome::cancelled); }},
        {"task_stopped", [](const Output& o) { return o.commands(CommandType::stop, "req-"); }},
        {"machine_entered", [](const Output& o) { return o.puts<MachineRecord>("machine/"); }},
        {"machine_dropped", [](const Output& o) { return o.drops("machine/"); }},
        {"machines_rented", [](const Output& o) { return o.asks<ScaleOut>() != nullptr; }},
        {"machines_released", [](const Output& o) { return o.asks<ScaleIn>() != nullptr; }},
        {"progress_saved", [](const Output& o) { return o.puts<ProgressRecord>("done/"); }},
        {"job_finished", [](const Output& o) { return o.ends_job(Outcome::done); }},
    };
    return all;
}

enum class Who { any, same, in_turn, all };

// From then on, the node that does it ends right after it, so many times.
struct Strike {
    Time from = 0;
    double back_s = 0;
    int times = 1;
    Who who = Who::any;
};

constexpr int kNodes = 5;
constexpr Time kOutage = 62;  // of the state service, for longer than an owner's lease
constexpr Time kRefusal = 95; // of calls between nodes

void strike(SimulatedCluster& cluster, const Point& point, const Strike& s, int& struck) {
    int last = -1;
    cluster.after_output = [&cluster, &point, s, &struck,
                            last](int node, const OutboundRequest* call,
                                  const Response* answer) mutable -> std::optional<double> {
        bool turn = s.who == Who::same      ? last < 0 || node == last
                    : s.who == Who::in_turn ? node != last
                                            : true;
        if (struck >= s.times || cluster.now() < s.from || !turn || !point.is({call, answer})) {
            return {};
        }
        ++struck;
        last = node;
        for (int other = 0; s.who == Who::all && other < kNodes; ++other) {
            if (other != node) {
                cluster.at(cluster.now(), [&cluster, other, s] { cluster.crash(other, s.back_s); });
            }
        }
        return s.back_s;
    };
}

// Jobs of each kind, a controller lost and back, a share that moves, a cancellation, an outage,
// peers that refuse and a machine that is taken, in 150 s.
void day(SimulatedCluster& cluster) {
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
    auto submit = [&](Time at, int node, const JobSpec& spec) {
        // As users do, until it is taken.
        auto again = std::make_shared<std::function<void()>>();
        std::weak_ptr<std::function<void()>> weak = again;
        auto asked = std::make_shared<RequestId>(0);
        *again = [&cluster, spec, node, weak, asked]() mutable {
            auto answer = cluster.answers.find(*asked);
            if (answer != cluster.answers.end() && answer->second.status <= 201) {
                return;
            }
            *asked = cluster.submit(node++ % kNodes, spec);
            cluster.at(cluster.now() + 2, [self = weak.lock()] { (*self)(); });
        };
        cluster.at(at, [again] { (*again)(); });
    };
    submit(3, 0, job("req-base", 600, "blue"));
    for (int k = 0; k < 6; ++k) {
        submit(6 + 18 * k, k % kNodes,
               job("req-" + std::to_string(k), 120, k % 2 ? "red" : "blue"));
        submit(14 + 18 * k, k % kNodes, gang("gang-" + std::to_string(k)));
    }
    JobSpec service = job("svc-1", 4, "red");
    service.kind = JobKind::service;
    service.job_class = "svc";
    submit(8, 1, service);
    submit(40, 2, job("req-cancelled", 40, "red"));
    auto cancel = [&cluster](Time from, const std::string& id) {
        for (int k = 0; k < 60; ++k) { // longer than anything goes wrong
            cluster.at(from + 2 * k, [&cluster, id, k] { cluster.cancel(k % kNodes, id); });
        }
    };
    cancel(48, "req-cancelled");
    cancel(190, "svc-1");
    cluster.at(22, [&cluster] { cluster.crash(2, 16); });
    for (Time t : {28, 44, 58, 104, 112}) {
        cluster.at(t, [&cluster] {
            for (int partition = 0; partition < kNodes; ++partition) {
                auto shards = cluster.held_shards(partition);
                if (!shards.empty() &&
                    cluster.migrate_shard(partition, shards.front(), (partition + 1) % kNodes)) {
                    return;
                }
            }
        });
    }
    cluster.at(kOutage, [&cluster] { cluster.set_store_down(true); });
    cluster.at(kOutage + 16, [&cluster] { cluster.set_store_down(false); });
    auto refuse = [&cluster](bool cut) {
        for (int a = 0; a < kNodes; ++a) {
            for (int b = 0; b <= a; ++b) {
                cluster.cut_peers(a, b, cut);
            }
        }
    };
    cluster.at(kRefusal, [refuse] { refuse(true); });
    cluster.at(kRefusal + 12, [refuse] { refuse(false); });
    for (Time t : {50, 88, 116}) { // one that a gang runs on
        cluster.at(t, [&cluster] {
            for (int k = 5; k >= 0; --k) {
                auto on = cluster.machines_of({"gang-" + std::to_string(k), 0});
                if (!on.empty()) {
                    cluster.preempt_machine(*on.begin(), 8);
                    return;
                }
            }
        });
    }
    cluster.run_until(150);
}

SimulationOptions sixty_machines(std::uint64_t seed) {
    return {.seed = seed, .nodes = kNodes, .run_s = 10, .limits = 12, .capacity = 64};
}

void expect_all_jobs_end(SimulatedCluster& cluster, Time by) {
    auto over = [&] {
        auto outcomes = cluster.outcomes();
        return std::all_of(outcomes.begin(), outcomes.end(),
                           [](const auto& o) { return o.second != Outcome::none; });
    };
    while (cluster.now() < by && !over()) {
        cluster.run_for(5);
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_EQ(cluster.groups_served_below(0.99), std::vector<std::string>{});
    for (const auto& [id, outcome] : cluster.outcomes()) {
        EXPECT_NE(outcome, Outcome::none) << id << cluster.describe(id);
    }
}

// SCHEDULER_SEEDS asks for all strikes and so many more seeds; without it, each point has a
// part of them.
class RestartPoints : public testing::TestWithParam<std::size_t> {};

TEST_P(RestartPoints, AreSurvivedByEveryJob) {
    const Point& point = points()[GetParam()];
    const std::vector<Strike> strikes{{0, 0},
                                      {0, 0.2, 10, Who::same},
                                      {10, 0.02},
                                      {30, 0.2},
                                      {30, 1, 2},
                                      {30, 6},
                                      {30, 0.02, 10, Who::same},
                                      {30, 0.2, 2, Who::in_turn},
                                      {30, 0.2, 2, Who::all},
                                      {kOutage + 1, 0.2, 2, Who::same},
                                      {kOutage + 1, 0.02, 3},
                                      {kRefusal + 1, 0.2, 2, Who::in_turn}};
    int struck_in_all = 0;
    for (std::size_t k = 0; k < strikes.size(); ++k) {
        if (extra_seed_count() == 0 && k % 3 != GetParam() % 3) {
            continue;
        }
        const Strike& s = strikes[k];
        SCOPED_TRACE(std::string(point.name) + " from " + std::to_string(s.from) + " back after " +
                     std::to_string(s.back_s) + " times " + std::to_string(s.times) + " who " +
                     std::to_string(static_cast<int>(s.who)));
        SimulatedCluster cluster(sixty_machines(GetParam() + k));
        int struck = 0;
        strike(cluster, point, s, struck);
        day(cluster);
        cluster.after_output = nullptr;
        expect_all_jobs_end(cluster, 700);
        struck_in_all += struck;
        if (HasFailure()) {
            return;
        }
    }
    EXPECT_GT(struck_in_all, 0) << point.name;
}
INSTANTIATE_TEST_SUITE_P(All, RestartPoints, testing::Range(std::size_t{0}, points().size()),
                         [](const auto& at) { return points()[at.param].name; });

// Strikes at random all through the day, crossed with other faults: none, messages lost and late,
// outages and refusals, all of them.
void play(std::uint64_t seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulationOptions options = sixty_machines(seed);
    options.drop = options.late = seed % 4 == 1 || seed % 4 == 3 ? 0.02 : 0;
    SimulatedCluster cluster(options);
    std::mt19937_64 random(seed);
    auto any = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    constexpr double kBack[] = {0, 0.02, 0.2, 1, 6};
    int struck = 0;
    int in_all = 0;
    for (Time t = 5; t < 140; t += 2 + static_cast<double>(any(5))) {
        Strike s{t, kBack[any(5)], 1 + static_cast<int>(any(any(3) ? 2 : 10)),
                 static_cast<Who>(any(4))};
        const Point& point = points()[any(points().size())];
        cluster.at(t, [&cluster, &point, s, &struck, &in_all] {
            in_all += struck;
            struck = 0;
            strike(cluster, point, s, struck);
        });
    }
    for (Time t = 10; seed % 4 >= 2 && t < 140; t += 5 + static_cast<double>(any(10))) {
        int a = static_cast<int>(any(kNodes));
        int b = static_cast<int>(any(kNodes));
        std::size_t fault = any(5);
        double for_s = 1 + static_cast<double>(any(20));
        auto set = [&cluster, a, b, fault](bool on) {
            switch (fault) {
            case 0: cluster.set_store_refusing(a, on); break;
            case 1: cluster.cut_workers(a, on); break;
            case 2: cluster.cut_peers(a, b, on); break;
            case 3: cluster.set_store_down(on); break;
            default: cluster.set_cloud_down(on);
            }
        };
        cluster.at(t, [set] { set(true); });
        cluster.at(t + for_s, [set] { set(false); });
        if (any(2)) {
            cluster.at(t + 1, [&cluster, a, for_s] { cluster.freeze(a, for_s); });
        }
    }
    day(cluster);
    cluster.run_until(170);
    cluster.after_output = nullptr;
    EXPECT_GT(in_all, 1);
    expect_all_jobs_end(cluster, 900);
}

class RestartRandom : public testing::TestWithParam<int> {};
TEST_P(RestartRandom, RulesHoldAndEverybodyIsServed) {
    play(static_cast<std::uint64_t>(GetParam()));
}
INSTANTIATE_TEST_SUITE_P(Seeds, RestartRandom, testing::Range(1, 13));

TEST(RestartSeeds, AsManyAsAreAskedFor) { run_extra_seeds(13, play); }

} // namespace
} // namespace scheduler::test

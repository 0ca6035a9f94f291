// Two faults at once: from a cancellation that users were told of to the last task. See "From a
// cancellation to the last task" in docs/meetings.md.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "core/leadership/staleness_bound.h"
#include "core/model/partition_assignment.h"
#include "seeds.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

int red(const SimulatedCluster& cluster) {
    return partition_of_team(cluster.cluster_settings(0), "red");
}

// What meets the refusal of the leader, the cancellations and the outage.
enum class With {
    nothing,
    confirming_node_ends_briefly, // right after its answer, back after 0.02 s
    confirming_node_ends,         // back after 0.3 s
    confirming_node_ends_long,    // back after 6 s
    peers_refuse,
    sibling_cut_off,
    leader_frozen,
    many_cancellations,
    deaf_machines,
    late_heartbeats,
    late_writes,
    delayed_commands,
    share_moves,
    leader_ends,
    confirmed_in_the_outage_too, // by the nodes that reach the state service at its end
    silent_state,                // the leader gets no answers instead of refusals
    count
};
constexpr const char* kWith[] = {"nothing",
                                 "confirming_node_ends_briefly",
                                 "confirming_node_ends",
                                 "confirming_node_ends_long",
                                 "peers_refuse",
                                 "sibling_cut_off",
                                 "leader_frozen",
                                 "many_cancellations",
                                 "deaf_machines",
                                 "late_reports",
                                 "late_writes",
                                 "held_orders",
                                 "share_moves",
                                 "leader_ends",
                                 "confirmed_in_the_outage_too",
                                 "silent_state"};
constexpr int kWiths = static_cast<int>(With::count);

// The lease times of the deployments, with the largest of the three ratios of lease to cancel_s.
struct Times {
    double report_s, lease_s, cancel_s;
};
constexpr Times kTimes[] = {{3, 17, 42}, {6, 31, 56}, {8, 38, 63}};

struct Day {
    With with = With::nothing;
    int times = 0;
    double refused_s = 4; // before the outage
    double told_at = 0;   // of that time: when the users are told
    bool by_several = false;
};

// A leader that the state service refuses alone; cancellations confirmed by others; then an outage
// for all, longer than `cancel_s`. Long tasks: arrays, a gang and replicas, of two teams, on the
// machines of all parts. Returns how long the last task of a cancelled job was left.
double play(const Day& day) {
    const Times& t = kTimes[day.times];
    bool many = day.with == With::many_cancellations;
    SimulatedCluster cluster({.seed = 1 + static_cast<std::uint64_t>(day.with),
                              .nodes = 5,
                              .run_s = 3000,
                              .limits = 30,
                              .capacity = 60,
                              .report_s = t.report_s,
                              .lease_s = t.lease_s,
                              .cancel_s = t.cancel_s,
                              .state_rps = many ? 4000.0 : 300.0,
                              .state_write_rps = many ? 2000.0 : 100.0});
    cluster.run_for(t.lease_s + 3);
    std::vector<std::string> to_cancel;
    auto submit = [&](const std::string& id, JobKind kind, std::uint32_t tasks, const char* team) {
        JobSpec spec = cluster.job(id, tasks);
        spec.kind = kind;
        spec.team = team;
        cluster.submit(static_cast<int>(to_cancel.size()) % 5, spec);
        to_cancel.push_back(id);
    };
    for (const char* team : {"red", "blue"}) {
        std::string n = team;
        submit("arr-" + n, JobKind::array, 30, team);
        submit("gang-" + n, JobKind::gang, 6, team);
        submit("svc-" + n, JobKind::service, 6, team);
        submit("stay-" + n, JobKind::array, 20, team);
        to_cancel.pop_back(); // that one is not cancelled
    }
    cluster.run_for(6 * t.report_s + 40);
    for (int i = 0; many && i < 1100; ++i) {
        submit("more-" + std::to_string(i), JobKind::array, 1, "red");
        cluster.run_for(0.02);
    }
    int leader = cluster.owner(red(cluster));
    auto other = [&](int n) { return (leader + 1 + n % 4) % 5; };
    EXPECT_GE(leader, 0);
    for (const auto& id : to_cancel) {
        if (!id.starts_with("more-")) {
            EXPECT_EQ(cluster.machines_of({id, 0}).size(), 1u) << id;
        }
    }

    if (day.with == With::share_moves) {
        auto shards = cluster.held_shards(red(cluster));
        for (std::size_t i = 0; i < shards.size() / 2; ++i) {
            cluster.migrate_shard(red(cluster), shards[i],
                                  partition_of_team(cluster.cluster_settings(0), "blue"));
        }
    }
    if (day.with == With::late_heartbeats) {
        cluster.random_faults.late_heartbeats = 0.3;
    }
    if (day.with == With::late_writes) {
        cluster.random_faults.late_writes = 0.2;
    }
    if (day.with == With::delayed_commands) {
        cluster.random_faults.delayed_commands = 0.5;
    }
    if (day.with == With::deaf_machines) {
        int n = 0;
        for (const auto& machine : cluster.machines_up()) {
            if (++n % 4 == 0) {
                cluster.cut_inbound(machine, true);
            }
        }
    }
    bool silent = day.with == With::silent_state;
    silent ? cluster.set_store_silent(leader, true) : cluster.set_store_refusing(leader, true);
    Time refused = cluster.now();
    cluster.run_for(day.refused_s * day.told_at);
    int n = 0;
    std::vector<std::pair<std::string, RequestId>> asked;
    for (const auto& id : to_cancel) {
        asked.emplace_back(id, cluster.cancel(other(day.by_several ? n++ : 0), id));
    }
    std::optional<double> back;
    switch (day.with) {
    case With::confirming_node_ends_briefly: back = 0.02; break;
    case With::confirming_node_ends: back = 0.3; break;
    case With::confirming_node_ends_long: back = 6; break;
    default: break;
    }
    if (back) {
        cluster.after_output = [&, back](int node, const OutboundRequest*,
                                         const Response* a) -> std::optional<double> {
            const auto* body = a ? std::get_if<JobStatusBody>(&a->body) : nullptr;
            return body && body->stage == "cancelled" && node == other(0) ? back : std::nullopt;
        };
    }
    // An answer takes a moment, and there may be many.
    cluster.run_for(std::max(0.3, refused + day.refused_s - cluster.now()));
    cluster.after_output = nullptr;
    cluster.set_store_down(true);
    std::size_t told = 0;
    for (const auto& [id, request] : asked) {
        auto answer = cluster.answers.find(request);
        told += answer != cluster.answers.end() && answer->second.status == 200;
    }
    EXPECT_GE(told, 1u);
    switch (day.with) {
    case With::peers_refuse:
    case With::sibling_cut_off:
        for (int a = 0; a < 5; ++a) {
            for (int b = 0; b < (day.with == With::peers_refuse ? 5 : 1); ++b) {
                cluster.cut_peers(a, day.with == With::peers_refuse ? b : other(1), true);
            }
        }
        break;
    case With::leader_frozen: cluster.freeze(leader, t.lease_s); break;
    case With::leader_ends: cluster.crash(leader, 0.3); break;
    default: break;
    }
    cluster.run_for(t.cancel_s + 30);
    if (day.with == With::confirmed_in_the_outage_too) {
        // Back for the others and not for the leader, for as long as it takes to tell a user; the
        // promises that the leader had have not ended.
        cluster.set_store_down(false);
        cluster.run_for(0.4);
        cluster.cancel(other(1), "stay-red");
        cluster.cancel(other(2), "stay-blue");
        cluster.run_for(0.4);
        cluster.set_store_down(true);
        cluster.run_for(t.cancel_s + 30);
    }
    cluster.set_store_down(false);
    cluster.set_store_silent(leader, false);
    cluster.set_store_refusing(leader, false);
    cluster.random_faults = {};
    for (const auto& machine : cluster.machines_up()) {
        cluster.cut_inbound(machine, false);
    }
    for (int a = 0; a < 5; ++a) {
        for (int b = 0; b < 5; ++b) {
            cluster.cut_peers(a, b, false);
        }
    }
    cluster.run_for(t.cancel_s + 3 * t.lease_s);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    for (const auto& [id, request] : asked) {
        auto answer = cluster.answers.find(request);
        if (answer != cluster.answers.end() && answer->second.status == 200) {
            EXPECT_EQ(cluster.outcomes().at(id), Outcome::cancelled) << id;
        }
    }
    if (day.with != With::confirmed_in_the_outage_too) {
        for (const char* id : {"stay-red", "stay-blue"}) { // not lost with the others
            EXPECT_EQ(cluster.machines_of({id, 0}).size(), 1u) << id << cluster.describe(id);
        }
    }
    return cluster.longest_cancelled() / t.cancel_s;
}

class Meetings : public testing::TestWithParam<int> {};

TEST_P(Meetings, OfARefusalOfOneAndAnOutageOfAllKeepNoCancelledTask) {
    int with = GetParam();
    int rounds = extra_seed_count() > 0 ? 27 : 3;
    double longest = 0;
    int round = 0;
    for (int times = 0; times < 3; ++times) {
        const Times& t = kTimes[times];
        // From half a second to longer than the part's lease.
        const double refused[] = {0.5, 0.4 * t.lease_s, 0.8 * t.lease_s};
        for (int r = 0; r < 3; ++r) {
            for (double told_at : {0.0, 0.5, 0.95}) {
                // In CI one of nine for each of the times, another one with each trouble.
                int k = static_cast<int>(told_at * 2 + 0.2) + 3 * r;
                if (rounds == 27 || k == (with * 4 + times * 5) % 9) {
                    SCOPED_TRACE(std::string(kWith[with]) + " lease " + std::to_string(t.lease_s) +
                                 " refused " + std::to_string(refused[r]) + " told at " +
                                 std::to_string(told_at));
                    longest = std::max(longest, play({static_cast<With>(with), times, refused[r],
                                                      told_at, round % 2 != 0}));
                    ++round;
                }
            }
        }
    }
    EXPECT_EQ(round, rounds);
    std::printf("last task of a cancelled job gone after %.2f of cancel_s\n", longest);
    RecordProperty("longest_of_cancel_s", std::to_string(longest));
}
INSTANTIATE_TEST_SUITE_P(RandomFaults, Meetings, testing::Range(0, kWiths),
                         [](const auto& p) { return kWith[p.param]; });

// ---- At random ----

// An operator changes both teams' limits and guarantees again and again, within a second at times,
// until `end`; then they are as at first.
void change_limits(SimulatedCluster& cluster, std::shared_ptr<std::mt19937_64> random, Time end) {
    auto between = [&](double from, double to) {
        return std::uniform_real_distribution<>(from, to)(*random);
    };
    for (TeamQuota quota : cluster.cluster_settings(0).teams) {
        if (cluster.now() < end) {
            quota.max_cpus *= between(0.15, 1.3);
            quota.guaranteed_cpus = between(0, quota.max_cpus);
        }
        cluster.configure(quota); // refused in an outage, as its writer is
    }
    if (cluster.now() < end) {
        cluster.at(cluster.now() + between(0, 1) * between(0, 20),
                   [&cluster, random, end] { change_limits(cluster, random, end); });
    }
}

// Three faults at once, again and again, with users who submit, ask and cancel; then none.
void play_at_random(std::uint64_t seed, bool limits_change = false) {
    const Times& t = kTimes[seed % 3];
    SimulatedCluster cluster({.seed = seed,
                              .nodes = 5,
                              .drop = seed % 2 ? 0.01 : 0.0,
                              .run_s = 30,
                              .limits = 12,
                              .capacity = 60,
                              .report_s = t.report_s,
                              .lease_s = t.lease_s,
                              .cancel_s = t.cancel_s,
                              .state_rps = 250,
                              .state_write_rps = 50,
                              .cancellation_broadcasts = seed % 4 < 2});
    std::mt19937_64 random(seed * 7919);
    auto any = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    auto up = [&] {
        auto all = cluster.machines_up();
        std::shuffle(all.begin(), all.end(), random);
        all.resize(all.size() / 4);
        return all;
    };
    cluster.run_for(t.lease_s + 3);
    cluster.start_polling_open_jobs();
    if (limits_change) {
        change_limits(cluster, std::make_shared<std::mt19937_64>(seed), 300);
    }
    int jobs = 0;
    auto submit = [&] {
        JobSpec spec =
            cluster.job("req-" + std::to_string(++jobs), 2 + any(any(3) ? 2 : 20), 1 + any(3));
        spec.team = any(2) ? "red" : "blue";
        spec.kind = any(5) ? JobKind::array : any(2) ? JobKind::gang : JobKind::service;
        spec.one_zone = spec.kind == JobKind::gang && any(2) != 0;
        cluster.submit(any(5), spec);
    };
    auto cancel = [&] { cluster.cancel(any(5), "req-" + std::to_string(1 + any(jobs))); };
    for (int round = 0; round < 4; ++round) {
        for (int k = 0; k < 5; ++k) {
            submit();
            cluster.run_for(2);
        }
        std::vector<std::function<void()>> undo;
        std::set<std::string> cut;
        int node = any(5); // most faults are this one's
        for (int k = 2 + any(3); k > 0; --k) {
            switch (any(26)) {
            case 0:
                cluster.set_store_refusing(node, true);
                undo.emplace_back([&cluster, node] { cluster.set_store_refusing(node, false); });
                break;
            case 1: // from state service and peers, not from workers and users
                cluster.set_store_silent(node, true);
                for (int to = 0; to < 5; ++to) {
                    cluster.cut_peers(node, to, true);
                }
                undo.emplace_back([&cluster, node] {
                    cluster.set_store_silent(node, false);
                    for (int to = 0; to < 5; ++to) {
                        cluster.cut_peers(node, to, false);
                    }
                });
                break;
            case 2: cluster.random_faults.late_writes = 0.2; break;
            case 3: cluster.random_faults.late_heartbeats = 0.3; break;
            case 4: cluster.random_faults.delayed_commands = 0.4; break;
            case 5: cluster.random_faults.store_delay_s = 0.2 * t.report_s * (1 + any(4)); break;
            case 6:
                for (const auto& machine : up()) {
                    cluster.cut_inbound(machine, true);
                    cut.insert(machine);
                }
                break;
            case 7:
                for (const auto& machine : up()) {
                    cluster.cut_machine(machine, true);
                    cut.insert(machine);
                }
                break;
            case 8: cluster.crash(node, any(2) ? 0.02 : any(8)); break;
            case 9:
                for (int n = 0; n < 5; ++n) { // all end, one is back within a second
                    cluster.crash(n, n == node ? 0.2 : 2 + any(10));
                }
                break;
            case 10: cluster.freeze(node, 2 + any(30)); break;
            case 11:
                cluster.cut_workers(node, true);
                undo.emplace_back([&cluster, node] { cluster.cut_workers(node, false); });
                break;
            case 12:
                for (int a = 0; a < 5; ++a) {
                    for (int b = 0; b < 5; ++b) {
                        cluster.cut_peers(a, b, true);
                    }
                }
                undo.emplace_back([&cluster] {
                    for (int a = 0; a < 5; ++a) {
                        for (int b = 0; b < 5; ++b) {
                            cluster.cut_peers(a, b, false);
                        }
                    }
                });
                break;
            case 14: cluster.random_faults.lost_responses = 0.3; break;
            case 15: cluster.random_faults.heartbeats_for_next_leader = 0.3; break;
            case 16: cluster.random_faults.quick_boots = 0.8; break;
            case 17: cluster.random_faults.outbound_cut_boots = 0.2; break;
            case 18: cluster.random_faults.link_delay_s = 0.1 * t.report_s; break;
            case 19: cluster.random_faults.concurrent_status_reads = 0.5; break;
            case 20: cluster.random_faults.cancel_at_end = 0.5; break;
            case 21: // up to a quarter hangs within the lease or beyond it
                for (const auto& machine : up()) {
                    cluster.hang(machine, t.lease_s * (1 + any(15)) / 10);
                }
                break;
            case 22:
                for (const auto& machine : up()) {
                    cluster.cut_outbound(machine, true);
                    cut.insert(machine);
                }
                break;
            case 23: // many called off at once that run and have long to go; their machines hang
                for (int n = 0; n < 6 && jobs > 0; ++n) {
                    std::string id = "req-" + std::to_string(1 + any(jobs));
                    for (const auto& machine : cluster.machines_of({id, 0})) {
                        cluster.hang(machine, t.lease_s * (1 + any(15)) / 10);
                    }
                    cluster.cancel(any(5), id);
                }
                break;
            case 24:
                for (int n = 0; n < 5; ++n) {
                    cluster.send_edge_case_requests("req-" + std::to_string(1 + any(jobs)));
                }
                break;
            case 25: // leaders change again and again
                for (int n = 0; n < 10; ++n) {
                    cluster.at(cluster.now() + n * 12, [&cluster, n, node] {
                        cluster.crash((node + n) % 5, n % 3 == 0 ? 0.02 : 6);
                    });
                }
                break;
            case 13: {
                auto shards = cluster.held_shards(node);
                for (std::size_t i = 0; i < shards.size() / 2; ++i) {
                    cluster.migrate_shard(node, shards[i], any(5));
                }
                break;
            }
            }
            cluster.run_for(any(4));
            cancel();
        }
        cluster.run_for(any(static_cast<int>(t.lease_s)));
        if (any(2)) {
            cluster.set_store_down(true);
            cluster.run_for(5 + any(static_cast<int>(t.cancel_s + 20)));
            cancel();
            cluster.set_store_down(false);
        }
        cluster.run_for(any(10));
        cancel();
        for (const auto& back : undo) {
            back();
        }
        cluster.random_faults = {};
        for (const auto& machine : cut) {
            auto all = cluster.machines_up();
            if (std::find(all.begin(), all.end(), machine) != all.end()) {
                cluster.cut_inbound(machine, false);
                cluster.cut_machine(machine, false);
            }
        }
        for (const auto& machine : cluster.machines_up()) {
            cluster.cut_outbound(machine, false);
        }
        cluster.run_for(any(40));
        ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front() << " at " << cluster.now();
    }
    cluster.run_for(t.cancel_s + 120); // the last changes of leaders
    for (const TeamQuota& quota : cluster.cluster_settings(0).teams) {
        if (limits_change) {
            cluster.configure(quota);
        }
    }
    cluster.start_polling_open_jobs(); // all faults are over
    for (int k = 0; k < 100; ++k) {
        cluster.run_for(10);
        for (const auto& [id, outcome] : cluster.outcomes()) {
            if (cluster.spec_of(id).kind == JobKind::service) {
                cluster.cancel(k % 5, id);
            }
        }
    }
    ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_LT(cluster.longest_unanswered(), 75);
    EXPECT_LT(cluster.history_checker().longest_idle(), 90)
        << cluster.history_checker().longest_idle_job()
        << cluster.describe(cluster.history_checker().longest_idle_job());
    for (const auto& [id, outcome] : cluster.outcomes()) {
        EXPECT_NE(outcome, Outcome::none) << id << cluster.describe(id);
    }
    EXPECT_LT(cluster.longest_cancelled(), t.cancel_s);
}

class MeetingsRandom : public testing::TestWithParam<int> {};
TEST_P(MeetingsRandom, KeepTheRulesAndForgetNobody) {
    play_at_random(static_cast<std::uint64_t>(GetParam()));
}
INSTANTIATE_TEST_SUITE_P(Seeds, MeetingsRandom, testing::Range(1, 13));

TEST(MeetingsSeeds, AsManyAsAreAskedFor) {
    run_extra_seeds(1000, [](std::uint64_t seed) { play_at_random(seed); });
}

// The same while an operator changes the teams' limits: quota by the limit in force.
class ConfigRandom : public testing::TestWithParam<int> {};
TEST_P(ConfigRandom, KeepTheRulesAndForgetNobody) {
    play_at_random(static_cast<std::uint64_t>(GetParam()), true);
}
INSTANTIATE_TEST_SUITE_P(Seeds, ConfigRandom, testing::Range(1, 7));

TEST(ConfigSeeds, AsManyAsAreAskedFor) {
    run_extra_seeds(1000, [](std::uint64_t seed) { play_at_random(seed, true); });
}

// ---- One by one ----

// The day on which `red`'s owner is back at once, and then nobody has the state service: its claim
// stands and all siblings promise, but it could not read the jobs. It answered its workers for as
// long as the outage lasted, while another node had told users of a cancellation.
TEST(MeetingsAlone, AnOwnerThatCouldNotReadTheJobsKeepsNoTask) {
    SimulatedCluster cluster({.nodes = 5, .run_s = 3000, .limits = 30, .capacity = 60});
    cluster.run_for(40);
    cluster.submit(0, cluster.job("req-1", 20));
    cluster.submit(1, cluster.job("req-2", 20));
    cluster.run_for(40);
    int leader = cluster.owner(red(cluster));
    ASSERT_EQ(cluster.machines_of({"req-1", 0}).size(), 1u);
    cluster.crash(leader, 0.02);
    int life = 0; // the jobs do not come in time
    cluster.intercept = [&](int node, const OutboundBody& call) {
        const auto* range = std::get_if<StoreRange>(&call);
        return node == leader && range && range->prefix == kJobPrefix && ++life > 0;
    };
    RequestId id = cluster.cancel((leader + 1) % 5, "req-1");
    cluster.run_for(2);
    ASSERT_EQ(cluster.answers.at(id).status, 200);
    ASSERT_GT(life, 0);
    cluster.set_store_down(true);
    cluster.run_for(80);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_LT(cluster.longest_cancelled(), cluster.cluster_settings(0).cancel_s);
    cluster.intercept = nullptr;
    cluster.set_store_down(false);
    cluster.run_for(60);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_EQ(cluster.machines_of({"req-2", 0}).size(), 1u);
}

// Guests of a cancelled job on the machines of the node that alone is refused: their own owner told
// users and cannot reach this one with its words, only promises get through.
TEST(MeetingsAlone, APromiseStopsGuestsOfTheCancelledJobToo) {
    SimulatedCluster cluster({.nodes = 5, .run_s = 3000, .limits = 30, .capacity = 60});
    cluster.run_for(40);
    cluster.submit(0, cluster.job("req-1", 60)); // on the machines of every part
    cluster.run_for(60);
    int leader = cluster.owner(red(cluster));
    // The node with the most guests among those that own no team's part.
    int host = (leader + 1) % 5;
    auto guests_at = [&](int node) {
        int n = 0;
        for (std::uint32_t i = 0; i < 60; ++i) {
            for (const auto& machine : cluster.machines_of({"req-1", i})) {
                n += cluster.controller_of(machine) == node;
            }
        }
        return n;
    };
    ASSERT_GT(guests_at(host), 0);
    cluster.set_store_refusing(host, true);
    cluster.intercept = [&](int node, const OutboundBody& call) {
        const auto* peer = std::get_if<PeerSyncCall>(&call);
        return peer && (node == host || peer->node == "n" + std::to_string(host));
    };
    cluster.run_for(0.5);
    RequestId id = cluster.cancel((host + 1) % 5, "req-1");
    cluster.run_for(0.5);
    ASSERT_EQ(cluster.answers.at(id).status, 200);
    cluster.set_store_down(true);
    cluster.run_for(80);
    EXPECT_EQ(guests_at(host), 0);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_LT(cluster.longest_cancelled(), cluster.cluster_settings(0).cancel_s);
}

// The owner ends while a machine with a long task cannot be reached. The machine comes back at the
// end of its lease for one report, and does not hear another answer for a while: that one answer
// has to carry the stop, though the machine has not shown the new owner's token.
TEST(MeetingsAlone, OneAnswerToAMachineThatWasCutOffCarriesTheStop) {
    SimulatedCluster cluster({.nodes = 5,
                              .run_s = 3000,
                              .limits = 30,
                              .capacity = 60,
                              .report_s = 6,
                              .lease_s = 31,
                              .cancel_s = 56});
    cluster.run_for(60);
    cluster.submit(0, cluster.job("req-1", 4));
    cluster.run_for(60);
    std::string machine = *cluster.machines_of({"req-1", 0}).begin();
    int leader = cluster.controller_of(machine);
    cluster.cut_machine(machine, true);
    cluster.set_cloud_down(true); // nor can it be released
    cluster.run_for(0.5);
    RequestId id = cluster.cancel((leader + 1) % 5, "req-1");
    cluster.run_for(0.5);
    ASSERT_EQ(cluster.answers.at(id).status, 200);
    cluster.crash(leader, 0.3);
    cluster.run_for(27);
    ASSERT_EQ(cluster.machines_of({"req-1", 0}).size(), 1u); // its lease has not ended
    cluster.cut_machine(machine, false);
    Time back = cluster.now();
    for (int k = 0; k < 1000 && cluster.last_lease_renewal(machine) < back; ++k) {
        cluster.run_for(0.01);
    }
    ASSERT_GE(cluster.last_lease_renewal(machine), back);
    cluster.cut_inbound(machine, true);
    cluster.run_for(60);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_LT(cluster.longest_cancelled(), cluster.cluster_settings(0).cancel_s);
}

// No worker reaches any controller, direct commands reach them. Each node takes itself for deaf,
// gives its parts up and stays away from them for longer each time; once workers are heard again
// they are to be served at once all the same.
TEST(MeetingsAlone, WorkersHeardAgainAfterAllWereMuteAreServedSoon) {
    for (double mute_s : {8.0, 20.0, 45.0, 90.0}) {
        SCOPED_TRACE(std::to_string(mute_s));
        SimulatedCluster cluster({.nodes = 5,
                                  .run_s = 20,
                                  .limits = 10,
                                  .capacity = 60,
                                  .cancellation_broadcasts = true});
        cluster.run_for(40);
        for (int k = 1; k <= 10; ++k) {
            cluster.submit(k % 5, cluster.job("req-" + std::to_string(k), 12));
        }
        cluster.run_for(25);
        auto cut_outbound = [&](bool is) {
            for (const auto& machine : cluster.machines_up()) {
                cluster.cut_outbound(machine, is);
            }
        };
        cut_outbound(true);
        cluster.run_for(mute_s);
        cut_outbound(false);
        Time heard = cluster.now();
        cluster.submit(1, cluster.job("req-99", 4));
        while (cluster.starts({"req-99", 0}) == 0 && cluster.now() < heard + 200) {
            cluster.run_for(0.5);
        }
        std::printf("mute %.0f s: served after %.1f s, given up as deaf %zu times\n", mute_s,
                    cluster.now() - heard, cluster.log_count("event=leadership_resigned"));
        EXPECT_LT(cluster.now() - heard, cluster.cluster_settings(0).worker_lease_s);
        cluster.run_for(60);
        EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    }
}

} // namespace
} // namespace scheduler::test

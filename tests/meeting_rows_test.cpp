// One test for each meeting of the table in docs/meetings.md, by the name that stands there: five
// controllers, sixty machines, arrays, gangs, replicas, guests on lent slots; nobody, the owner,
// the node that confirms cancellations or both end in it, and it falls into different instants.
#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "core/model/partition_assignment.h"
#include "seeds.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

int part_of(const SimulatedCluster& cluster, const char* team) {
    return partition_of_team(cluster.cluster_settings(0), team);
}

// A fleet at work, and what a row does with it.
struct Scene {
    explicit Scene(std::uint64_t seed, SimulationOptions options = usual())
        : w(with_seed(options, seed)), random(seed) {
        w.run_for(40);
        for (const char* team : {"red", "blue"}) {
            submit(JobKind::array, 30, team, 2); // on the machines of all parts
            submit(JobKind::array, 3, team, 1);
            submit(JobKind::array, 2, team, 1);
            submit(JobKind::gang, 6, team, 2);
            submit(JobKind::service, 4, team, 1);
            submit(JobKind::array, 3, team, 2, "b");
        }
        w.run_for(35);
        leader = w.owner(part_of(w, "red"));
        confirming = (leader + 1) % 5;
    }
    static SimulationOptions usual() {
        return {.nodes = 5,
                .run_s = 60,
                .limits = 10,
                .capacity = 60,
                .state_rps = 400,
                .state_write_rps = 100,
                .cancellation_broadcasts = true};
    }
    static SimulationOptions with_seed(SimulationOptions o, std::uint64_t seed) {
        o.seed = seed;
        o.cancellation_broadcasts = seed % 2 != 0;
        return o;
    }
    int any(int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); }
    std::string submit(JobKind kind, std::uint32_t tasks, const char* team, double cpus,
                       const char* zone = nullptr) {
        JobSpec spec = w.job("req-" + std::to_string(++jobs), tasks, cpus);
        spec.kind = kind;
        spec.team = team;
        spec.one_zone = kind == JobKind::gang && jobs % 2 != 0;
        if (zone) {
            spec.zone = zone;
        }
        insist(spec, 30);
        return spec.id;
    }
    // As users do: again, at another node, until it is accepted.
    void insist(const JobSpec& spec, int tries) {
        RequestId request_id = w.submit(any(5), spec);
        w.at(w.now() + 2, [this, spec, request_id, tries] {
            auto answer = w.answers.find(request_id);
            bool taken = answer != w.answers.end() && answer->second.status < 500;
            if (!taken && tries > 0) {
                insist(spec, tries - 1);
            }
        });
    }
    // A third of the jobs, of each kind.
    void cancel_some(int node) {
        for (int k = 1 + any(3); k <= jobs; k += 3) {
            w.cancel(node, "req-" + std::to_string(k));
        }
    }
    std::vector<std::string> some_machines(int of) {
        std::vector<std::string> out;
        for (const auto& machine : w.machines_up()) {
            if (any(of) == 0) {
                out.push_back(machine);
            }
        }
        return out;
    }
    void all_peers(int node, bool cut) {
        for (int n = 0; n < 5; ++n) {
            w.cut_peers(node, n, cut);
        }
    }
    double lease() const { return w.cluster_settings(0).worker_lease_s; }

    SimulatedCluster w;
    std::mt19937_64 random;
    int jobs = 0;
    int leader = -1;
    int confirming = -1;
    std::vector<std::function<void()>> undo; // what the row did
};

// What ends in it.
enum class Ends { nobody, owner, confirming, both };
constexpr double kBack[] = {0, 0.02, 0.3, 6};

struct Row {
    const char* name;
    // The trouble; `end` ends who is to end, once, and may be called at any instant. `instant`: 0,
    // 1 or 2, early to late.
    std::function<void(Scene&, int instant, const std::function<void()>& end)> play;
    SimulationOptions options = Scene::usual();
};

SimulationOptions quick(SimulationOptions o = Scene::usual()) {
    o.run_s = 15;
    return o;
}
SimulationOptions narrow(SimulationOptions o = Scene::usual()) {
    o.limits = 2; // every team is at its limit
    return o;
}

const std::vector<Row>& rows() {
    static const std::vector<Row> all = {
        {"LeaderCutFromStateAndPeersWhileJobsAreCancelledElsewhere",
         [](Scene& s, int instant, const auto& end) {
             s.w.set_store_silent(s.leader, true);
             s.all_peers(s.leader, true);
             s.w.run_for(std::array{0.1, 5.0, 14.0}[instant]);
             s.cancel_some(s.confirming);
             s.w.run_for(0.5);
             end();
             s.cancel_some(s.leader); // users reach it too: 503
             s.w.run_for(2 * s.lease());
             s.w.set_store_silent(s.leader, false);
             s.all_peers(s.leader, false);
         }},
        {"SmallJobsWhoseTasksEndFarApartAcrossAChangeOfLeader",
         [](Scene& s, int instant, const auto& end) {
             for (int k = 0; k < 12; ++k) {
                 s.submit(JobKind::array, 2 + k % 2, k % 2 ? "red" : "blue", 1);
             }
             s.w.run_for(std::array{25.0, 40.0, 55.0}[instant]); // tasks end after 30 to 90 s
             end();
             s.w.crash(s.leader, 30); // its part changes hands, and back
             s.w.run_for(40);
             end();
             s.w.run_for(20);
         }},
        {"MuteWorkers",
         [](Scene& s, int instant, const auto& end) {
             s.w.random_faults.outbound_cut_boots = 0.5; // also from their boot on
             for (const auto& machine : s.some_machines(4)) {
                 s.w.cut_outbound(machine, true);
             }
             for (int k = 0; k < 8; ++k) {
                 s.submit(JobKind::array, 12, "red", 2);
             }
             s.w.run_for(std::array{0.5, 8.0, 20.0}[instant]);
             s.cancel_some(s.confirming);
             end();
             s.w.run_for(2 * s.lease());
             s.w.random_faults.outbound_cut_boots = 0;
             for (const auto& machine : s.w.machines_up()) {
                 s.w.cut_outbound(machine, false);
             }
         }},
        {"AHeldCommandOrItsAnswerAndTheMachineGoesOn",
         [](Scene& s, int instant, const auto& end) {
             s.w.random_faults.delayed_commands = 0.7;
             for (int k = 0; k < 8; ++k) {
                 s.submit(k % 3 ? JobKind::array : JobKind::gang, 6, k % 2 ? "red" : "blue", 2);
                 s.w.run_for(0.3);
             }
             for (const auto& machine : s.some_machines(6)) {
                 s.w.hang(machine, 1 + s.any(20));
             }
             s.w.run_for(std::array{0.05, 1.0, 4.0}[instant]);
             s.cancel_some(s.confirming);
             end();
             s.w.run_for(s.lease());
         }},
        {"AllControllersAwayForLongerThanTheLease",
         [](Scene& s, int instant, const auto& end) {
             s.cancel_some(s.confirming);
             s.w.run_for(std::array{0.01, 0.05, 1.0}[instant]);
             for (int n = 0; n < 5; ++n) {
                 s.w.crash(n, s.lease() + 3 + 4 * s.any(3));
             }
             s.w.run_for(s.lease() + 15);
             end();
             s.cancel_some(s.confirming);
             s.w.run_for(5);
         }},
        {"AZoneWithWorkersAndAControllerCutOffForLongerThanTheLease",
         [](Scene& s, int instant, const auto& end) {
             s.w.cut_zone(instant % 2 ? "a" : "b");
             s.w.run_for(std::array{1.0, 6.0, 20.0}[instant]);
             s.cancel_some(instant % 2 ? 1 : 0); // in the other zone
             for (int k = 0; k < 4; ++k) {
                 s.submit(JobKind::array, 4, "blue", 2);
             }
             end();
             s.w.run_for(2.5 * s.lease());
             s.w.cut_zone("");
         }},
        {"LeadersChangeTenTimesInTwoMinutes",
         [](Scene& s, int instant, const auto& end) {
             for (int k = 0; k < 10; ++k) {
                 int now = s.w.owner(part_of(s.w, k % 2 ? "red" : "blue"));
                 s.w.crash(now < 0 ? s.any(5) : now, std::array{0.02, 4.0, 14.0}[instant]);
                 s.w.run_for(6);
                 s.cancel_some(s.any(5));
                 s.submit(JobKind::array, 3, "red", 1);
                 s.w.run_for(6);
             }
             end();
         }},
        {"LeadersChangeTenTimesInTwoMinutesInsideAnOutage",
         [](Scene& s, int instant, const auto& end) {
             s.cancel_some(s.confirming);
             s.w.run_for(0.5);
             s.w.set_store_down(true);
             for (int k = 0; k < 10; ++k) {
                 s.w.crash((s.leader + k) % 5, std::array{0.02, 4.0, 9.0}[instant]);
                 s.w.run_for(12);
             }
             end();
             s.w.run_for(3);
             s.w.set_store_down(false);
         }},
        {"JobsBoundToOneZoneAndArraysLoseMachines",
         [](Scene& s, int instant, const auto& end) {
             for (int k = 0; k < 6; ++k) {
                 s.submit(k % 2 ? JobKind::array : JobKind::gang, 5, "red", 2, "b");
             }
             s.w.run_for(std::array{1.0, 13.0, 25.0}[instant]);
             for (const auto& machine : s.some_machines(3)) {
                 if (s.w.zone_of(machine) == "b") {
                     s.w.kill_machine(machine);
                 }
             }
             for (const auto& machine : s.some_machines(5)) {
                 s.w.preempt_machine(machine, 5);
             }
             end();
             s.w.run_for(10);
             s.cancel_some(s.confirming);
             s.w.run_for(20);
         }},
        {"MoreWorkThanRoomUrgentAndNotOverSlowLinks",
         [](Scene& s, int instant, const auto& end) {
             s.w.set_cloud_capacity(20);
             s.w.random_faults.link_delay_s = 0.4;
             for (int k = 0; k < 20; ++k) {
                 JobSpec j = s.w.job("req-" + std::to_string(++s.jobs), 4 + 10 * (k % 3), 2);
                 j.priority = k % 3 == 0 ? Priority::high : Priority::normal;
                 j.team = k % 2 ? "red" : "blue";
                 s.insist(j, 30);
                 s.w.run_for(1);
             }
             s.w.run_for(std::array{1.0, 10.0, 30.0}[instant]);
             s.cancel_some(s.confirming);
             end();
             s.w.run_for(20);
             s.w.set_cloud_capacity(60);
         },
         quick()},
        {"EveryTeamAtItsLimitJobsCancelledOnMachinesCutOffOrHungAndANewLeader",
         [](Scene& s, int instant, const auto& end) {
             for (int k = 0; k < 12; ++k) {
                 s.submit(k % 4 ? JobKind::array : JobKind::gang, 5, k % 2 ? "red" : "blue", 2);
             }
             s.w.run_for(20);
             for (const auto& machine : s.some_machines(2)) {
                 if (s.any(2)) {
                     s.w.cut_machine(machine, true);
                     s.undo.emplace_back([&s, machine] {
                         auto up = s.w.machines_up();
                         if (std::find(up.begin(), up.end(), machine) != up.end()) {
                             s.w.cut_machine(machine, false);
                         }
                     });
                 } else {
                     s.w.hang(machine, 4 + s.any(30));
                 }
             }
             auto change = [&] { s.w.crash(s.w.owner(part_of(s.w, "red")), 25); };
             if (instant == 0) { // seen before, during or after the takeover's reading
                 s.cancel_some(s.confirming);
                 s.w.run_for(0.2);
                 change();
             } else {
                 change();
                 s.w.run_for(instant == 1 ? 11.3 : 20.0);
                 s.cancel_some(s.confirming);
             }
             end();
             s.w.run_for(1.5 * s.lease());
         },
         narrow()},
        {"NewMachinesUpInTwoSecondsWritesLagAndTheLeaderEnds",
         [](Scene& s, int instant, const auto& end) {
             s.w.random_faults.quick_boots = 1;
             s.w.random_faults.late_writes = 0.5;
             s.w.random_faults.lost_responses = instant == 2 ? 0.5 : 0;
             for (int k = 0; k < 6; ++k) {
                 s.submit(JobKind::array, 20, "red", 2);
                 s.submit(JobKind::gang, 4, "blue", 2);
             }
             s.w.run_for(std::array{0.5, 2.0, 4.0}[instant]);
             s.w.crash(s.w.owner(0), std::array{0.02, 6.0, 20.0}[instant]); // who rents for all
             end();
             s.w.run_for(6);
             end();
             s.cancel_some(s.confirming);
             s.w.run_for(20);
         }},
        {"AnOldReportReachesEveryControllerAsANewLeaderBegins",
         [](Scene& s, int instant, const auto& end) {
             s.w.random_faults.heartbeats_for_next_leader = 0.6;
             for (int k = 0; k < 4; ++k) {
                 s.submit(JobKind::array, 8, "red", 1);
                 s.w.run_for(5);
                 for (const auto& machine : s.some_machines(8)) { // earlier sessions
                     s.w.hang(machine, 1.3 * s.lease() * s.any(2));
                 }
             }
             s.w.run_for(std::array{1.0, 6.0, 25.0}[instant]);
             s.cancel_some(s.confirming);
             s.w.crash(s.leader, 14);
             end();
             s.w.run_for(30); // claimed, and home again: both get them
             s.w.crash((s.leader + 2) % 5, 0.02);
             s.w.run_for(20);
         },
         quick()},
        {"ATransactionCarriedOutLateAfterNewerOnes",
         [](Scene& s, int instant, const auto& end) {
             s.w.random_faults.late_writes = 0.4;
             for (int k = 0; k < 10; ++k) {
                 s.submit(k % 3 ? JobKind::array : JobKind::gang, 3, k % 2 ? "red" : "blue", 1);
                 s.w.run_for(1 + instant);
             }
             s.cancel_some(s.confirming);
             end();
             s.w.run_for(15);
             end();
             s.w.run_for(10);
         },
         quick()},
        {"ControllersHandOverAndBackAllEndAndOneReturnsWithinASecond",
         [](Scene& s, int instant, const auto& end) {
             auto shards = s.w.held_shards(part_of(s.w, "red"));
             for (std::size_t k = 0; k < shards.size() / 2; ++k) {
                 s.w.migrate_shard(part_of(s.w, "red"), shards[k], part_of(s.w, "blue"));
             }
             s.w.crash(s.leader, 8);
             s.w.run_for(std::array{9.0, 14.0, 32.0}[instant]); // about when it is handed back
             s.cancel_some(s.confirming);
             s.w.run_for(0.03);
             int first = s.any(5);
             for (int n = 0; n < 5; ++n) {
                 s.w.crash(n, n == first ? 0.6 : 9 + s.any(8));
             }
             s.w.run_for(10);
             end();
             s.w.run_for(20);
         }},
        {"CancelledInTheSecondsInWhichOneControllersWorkChangesHands",
         [](Scene& s, int instant, const auto& end) {
             // Away, claimed by another, read, listed, settled, and handed home: one cancellation
             // in each fifth of a second of it.
             s.w.crash(s.leader, std::array{0.3, 13.0, 22.0}[instant]);
             int id = 0;
             for (int k = 0; k < 200; ++k) {
                 s.w.run_for(0.2);
                 if (k % 8 == 0) {
                     s.submit(k % 3 == 0   ? JobKind::gang
                              : k % 3 == 1 ? JobKind::service
                                           : JobKind::array,
                              4, "red", 1);
                 }
                 if (k % 4 == 0 && id < s.jobs) {
                     s.w.cancel((s.leader + 1 + s.any(4)) % 5, "req-" + std::to_string(++id));
                 }
                 if (k == 70 + 30 * instant) {
                     end();
                 }
             }
         }},
        {"ALeaderEndsWhileMachinesWithLongTasksCannotBeReachedOrDoNotHear",
         [](Scene& s, int instant, const auto& end) {
             std::vector<std::string> machines = s.some_machines(3);
             for (const auto& machine : machines) {
                 instant == 1 ? s.w.cut_machine(machine, true) : s.w.cut_inbound(machine, true);
             }
             s.w.run_for(std::array{0.5, 3.0, 12.0}[instant]);
             s.w.crash(s.leader, instant ? 25 : 0.02);
             s.w.run_for(8);
             s.cancel_some(s.confirming);
             end();
             s.w.run_for(std::array{6.0, 12.0, 30.0}[instant]); // within the lease and beyond it
             auto up = s.w.machines_up();
             for (const auto& machine : machines) {
                 if (std::find(up.begin(), up.end(), machine) != up.end()) {
                     s.w.cut_machine(machine, false);
                     s.w.cut_inbound(machine, false);
                 }
             }
             s.w.run_for(10);
         }},
        {"TheStateServiceIsSlowOrRefusesTheLeaderThenAllWhileUsersCancelAndAsk",
         [](Scene& s, int instant, const auto& end) {
             s.w.random_faults.store_delay_s = instant == 0 ? 2 : 0.3;
             s.w.set_store_refusing(s.leader, instant != 0);
             for (int k = 0; k < 12; ++k) {
                 s.submit(JobKind::array, 2, "red", 1);
                 s.w.poll(s.any(5), "req-" + std::to_string(1 + s.any(s.jobs)));
                 s.w.run_for(0.3);
             }
             s.cancel_some(s.confirming);
             s.w.run_for(1);
             s.w.set_store_down(true);
             s.w.run_for(std::array{5.0, 20.0, 50.0}[instant]);
             s.cancel_some(s.confirming);
             end();
             s.w.run_for(10);
             s.w.set_store_down(false);
             s.w.set_store_refusing(s.leader, false);
             s.w.run_for(5);
         }},
        {"ACancellationAQuestionOrARepeatMeetsTheEndOfTheLastTask",
         [](Scene& s, int instant, const auto& end) {
             s.w.random_faults.cancel_at_end = 1;
             s.w.random_faults.concurrent_status_reads = 0.5;
             for (int k = 0; k < 16; ++k) {
                 s.submit(k % 4 ? JobKind::array : JobKind::gang, 1 + k % 3, k % 2 ? "red" : "blue",
                          1);
                 s.w.run_for(1);
             }
             s.w.run_for(std::array{1.0, 6.0, 12.0}[instant]);
             end();
             s.w.run_for(30);
         },
         quick()},
    };
    return all;
}

void play(const Row& row, int instant, Ends ends, double back, std::uint64_t seed) {
    Scene s(seed, row.options);
    SimulatedCluster& cluster = s.w;
    ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    auto end = [&] {
        if (ends == Ends::owner || ends == Ends::both) {
            int leader = cluster.owner(part_of(cluster, "red"));
            cluster.crash(leader < 0 ? s.leader : leader, back);
        }
        if (ends == Ends::confirming || ends == Ends::both) {
            cluster.crash(s.confirming, back);
        }
    };
    row.play(s, instant, end);
    cluster.random_faults = {};
    for (const auto& f : s.undo) {
        f();
    }
    ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front() << " at " << cluster.now();
    cluster.run_for(cluster.cluster_settings(0).cancel_s);
    cluster.start_polling_open_jobs(); // the faults are over
    cluster.run_for(260);
    for (const auto& [id, outcome] : cluster.outcomes()) {
        if (cluster.spec_of(id).kind == JobKind::service && outcome == Outcome::none) {
            EXPECT_EQ(cluster.machines_of({id, 0}).size(), 1u) << id;
            cluster.cancel(0, id);
        }
    }
    cluster.run_for(100);
    ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_LT(cluster.longest_unanswered(), 75);
    EXPECT_LT(cluster.history_checker().longest_idle(), 90)
        << cluster.history_checker().longest_idle_job();
    for (const auto& [id, outcome] : cluster.outcomes()) {
        EXPECT_NE(outcome, Outcome::none) << id << cluster.describe(id);
    }
    EXPECT_EQ(cluster.groups_served_below(0.5), std::vector<std::string>{});
}

class MeetingRows : public testing::TestWithParam<int> {};

// In CI each row is played at each instant, with another one that ends each time; all crossings
// with SCHEDULER_SEEDS.
TEST_P(MeetingRows, KeepTheRulesAndForgetNobody) {
    const Row& row = rows().at(static_cast<std::size_t>(GetParam()));
    bool all = extra_seed_count() > 0;
    int played = 0;
    for (int instant = 0; instant < 3; ++instant) {
        for (int k = 0; k < 16; ++k) {
            if (!all && k != (5 * instant + 3 * GetParam()) % 16) {
                continue;
            }
            SCOPED_TRACE(std::string(row.name) + " instant " + std::to_string(instant) + " ends " +
                         std::to_string(k / 4) + " back " + std::to_string(kBack[k % 4]));
            play(row, instant, static_cast<Ends>(k / 4), kBack[k % 4],
                 1 + static_cast<std::uint64_t>(instant * 16 + k));
            ++played;
        }
    }
    EXPECT_EQ(played, all ? 48 : 3);
}
INSTANTIATE_TEST_SUITE_P(Of, MeetingRows, testing::Range(0, static_cast<int>(rows().size())),
                         [](const auto& p) {
                             return rows().at(static_cast<std::size_t>(p.param)).name;
                         });

// ---- Only the answer is lost ----

bool all_digits(const std::string& s) {
    return !s.empty() &&
           std::all_of(s.begin(), s.end(), [](char c) { return c >= '0' && c <= '9'; });
}

// Each of our transactions, by what it changes.
struct Kind {
    const char* name;
    std::function<bool(const StoreCondition* when, const StoreWrite&)> is;
};
const std::vector<Kind>& kinds() {
    auto job = [](const StoreWrite& c, Outcome outcome) {
        const auto* record = c.value ? std::get_if<JobRecord>(&*c.value) : nullptr;
        return record && c.key.starts_with(kJobPrefix) && record->outcome == outcome;
    };
    static const std::vector<Kind> all = {
        {"Claim",
         [](auto*, const StoreWrite& c) {
             return c.value && c.key.starts_with("part/") && all_digits(c.key.substr(5));
         }},
        {"HandOverHome",
         [](auto*, const StoreWrite& c) {
             return !c.value && c.key.starts_with("part/") && all_digits(c.key.substr(5));
         }},
        {"RequestForTheHomePart",
         [](auto*, const StoreWrite& c) { return c.value && c.key.ends_with("/home"); }},
        {"MoveOfAShareAndTheMap",
         [](auto*, const StoreWrite& c) { return c.key.ends_with("/shares"); }},
        {"RosterEntry",
         [](auto*, const StoreWrite& c) { return c.value && c.key.starts_with("machine/"); }},
        {"RosterDrop",
         [](auto*, const StoreWrite& c) { return !c.value && c.key.starts_with("machine/"); }},
        {"DoneBits",
         [](auto*, const StoreWrite& c) { return c.value && c.key.starts_with("done/"); }},
        {"Outcome", [job](auto*, const StoreWrite& c) { return job(c, Outcome::done); }},
        {"Submission", [job](auto*, const StoreWrite& c) { return job(c, Outcome::none); }},
        {"Cancellation", [job](auto*, const StoreWrite& c) { return job(c, Outcome::cancelled); }},
        {"Listing",
         [](auto*, const StoreWrite& c) { return c.value && c.key.starts_with("account/"); }},
        {"ListingRead",
         [](auto*, const StoreWrite& c) { return !c.value && c.key.starts_with("account/"); }},
        {"Catalog", [](auto*, const StoreWrite& c) { return c.key == "catalog"; }},
    };
    return all;
}

class OnlyTheAnswerIsLost : public testing::TestWithParam<int> {};

// Of one transaction each, the first, the second, every other one and all of a minute; the writer
// goes on or ends. Users look closely at all nodes.
TEST_P(OnlyTheAnswerIsLost, TheWriterLearnsByReadingAndUsersSeeOneHistory) {
    const Kind& kind = kinds().at(static_cast<std::size_t>(GetParam()));
    for (int which = 0; which < 4; ++which) {
        for (double back : {-1.0, 0.02, 6.0}) {
            SCOPED_TRACE(std::string(kind.name) + " " + std::to_string(which) + " back " +
                         std::to_string(back));
            Scene s(17, quick());
            SimulatedCluster& cluster = s.w;
            int seen = 0;
            int lost = 0;
            Time from = cluster.now();
            cluster.random_faults.concurrent_status_reads = 1;
            cluster.lose_response = [&](int node, const StoreTransaction& transaction) {
                bool is = std::any_of(transaction.writes.begin(), transaction.writes.end(),
                                      [&](const StoreWrite& c) { return kind.is(nullptr, c); });
                if (!is || cluster.now() > from + 60) {
                    return false;
                }
                int n = seen++;
                bool lose = which == 3 ? true : which == 2 ? n % 2 == 0 : n == which;
                if (lose && ++lost == 1 && back >= 0) {
                    cluster.at(cluster.now() + 0.1,
                               [&cluster, node, back] { cluster.crash(node, back); });
                }
                return lose;
            };
            // All that there is to write: jobs, ends, cancellations, machines that come and go, a
            // part that changes hands while calls are refused, goes home, and shares that move.
            for (int k = 0; k < 4; ++k) {
                s.submit(k % 2 ? JobKind::gang : JobKind::array, 3, "red", 2);
            }
            for (int n = 0; n < 5; ++n) {
                s.all_peers(n, true);
            }
            cluster.crash(s.leader, 14);
            cluster.run_for(20);
            for (int n = 0; n < 5; ++n) {
                s.all_peers(n, false);
            }
            s.cancel_some((s.leader + 2) % 5);
            for (const auto& shard : cluster.held_shards(part_of(cluster, "blue"))) {
                cluster.migrate_shard(part_of(cluster, "blue"), shard, s.any(5));
            }
            for (const auto& machine : s.some_machines(8)) {
                cluster.kill_machine(machine);
            }
            cluster.crash((s.leader + 3) % 5, 0.02); // it fetches the types again
            for (int k = 0; k < 6; ++k) {
                s.submit(JobKind::array, 40, k % 2 ? "red" : "blue", 2);
                cluster.run_for(6);
                s.cancel_some((s.leader + 2) % 5);
            }
            cluster.random_faults = {};
            cluster.run_for(cluster.cluster_settings(0).cancel_s);
            cluster.lose_response = nullptr;
            cluster.start_polling_open_jobs();
            for (int k = 0; k < 10; ++k) {
                cluster.run_for(30);
                for (const auto& [id, outcome] : cluster.outcomes()) {
                    if (cluster.spec_of(id).kind == JobKind::service && outcome == Outcome::none) {
                        cluster.cancel(0, id);
                    }
                }
            }
            EXPECT_GT(seen, 0);
            EXPECT_TRUE(lost > 0 || which == 1) << seen;
            ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
            EXPECT_LT(cluster.longest_unanswered(), 75);
            EXPECT_LT(cluster.history_checker().longest_idle(), 90)
                << cluster.history_checker().longest_idle_job();
            for (const auto& [id, outcome] : cluster.outcomes()) {
                EXPECT_NE(outcome, Outcome::none) << id;
            }
        }
    }
}
INSTANTIATE_TEST_SUITE_P(Of, OnlyTheAnswerIsLost,
                         testing::Range(0, static_cast<int>(kinds().size())), [](const auto& p) {
                             return kinds().at(static_cast<std::size_t>(p.param)).name;
                         });

// ---- One-task jobs ----

// Four a second for ten minutes, a quarter cancelled, with an outage and an end in it, at the
// limits of the smallest deployment: 100 requests and 20 changes a second for all.
TEST(OneTaskJobs, FourASecondForTenMinutesAQuarterCancelled) {
    SimulatedCluster cluster({.seed = 5,
                              .nodes = 3,
                              .run_s = 6,
                              .limits = 4,
                              .capacity = 14,
                              .cancellation_broadcasts = true});
    std::mt19937_64 random(5);
    auto any = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    cluster.run_for(30);
    std::map<std::string, std::pair<RequestId, int>> open; // submissions without a 20x, tries
    cluster.start_polling_open_jobs();
    int jobs = 0;
    Time from = cluster.now();
    int claims = 0;
    cluster.on_log = [&](Time, int, const std::string& text) {
        claims += text.starts_with("event=leadership_acquired");
    };
    int node = 0;
    while (cluster.now() < from + 600) {
        JobSpec spec = cluster.job("req-" + std::to_string(++jobs), 1, 1);
        spec.team = any(2) ? "red" : "blue";
        open[spec.id] = {cluster.submit(any(3), spec), 0};
        if (jobs % 4 == 0) {
            std::string id = "req-" + std::to_string(std::max(1, jobs - any(16)));
            cluster.at(cluster.now() + 1, [&cluster, id, n = any(3)] { cluster.cancel(n, id); });
        }
        if (jobs == 800) {
            cluster.set_store_down(true);
            cluster.at(cluster.now() + 25, [&cluster] { cluster.set_store_down(false); });
        }
        if (jobs == 1600) {
            cluster.crash(
                node = cluster.owner(partition_of_team(cluster.cluster_settings(0), "red")), 0.3);
        }
        cluster.run_for(0.25);
        for (auto it = open.begin(); it != open.end();) { // again after a second or two
            auto a = cluster.answers.find(it->second.first);
            bool taken = a != cluster.answers.end() && a->second.status < 500;
            if (!taken && ++it->second.second % 8 == 0) {
                it->second.first = cluster.submit(any(3), cluster.spec_of(it->first));
            }
            it = taken ? open.erase(it) : std::next(it);
        }
    }
    cluster.run_for(90);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_TRUE(open.empty()) << open.size() << " not accepted, " << open.begin()->first;
    EXPECT_EQ(jobs, 2400);
    EXPECT_LT(cluster.longest_unanswered(), 75);
    EXPECT_LT(cluster.longest_cancelled(), 42);
    EXPECT_EQ(cluster.history_checker().late_starts().sent_after_response, 0);
    std::size_t left = 0;
    for (const auto& [id, outcome] : cluster.outcomes()) {
        left += outcome == Outcome::none;
    }
    EXPECT_EQ(left, 0u);
    EXPECT_EQ(claims, 1); // by the process that had ended: no lease was lost by the load
    std::printf("%zu transactions, %zu reads, %zu compared or watched; last task of a cancelled "
                "job after %.1f s; "
                "longest unanswered %.1f s\n",
                cluster.request_count("txn"), cluster.request_count("get"),
                cluster.request_count("watch"), cluster.longest_cancelled(),
                cluster.longest_unanswered());
}

} // namespace
} // namespace scheduler::test
